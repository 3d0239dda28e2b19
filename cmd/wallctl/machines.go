package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/wire"
)

const machinesPath = "/ops/machines"

// machines lists the machines.
func machines(ctx context.Context, cl *client.Client) (ms []wire.MachineInfo, err error) {
	data, err := cl.Raw(ctx, machinesPath)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &ms); err != nil {
		return nil, fmt.Errorf("malformed answer: %w", err)
	}
	return ms, nil
}
