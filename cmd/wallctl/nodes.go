package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/wire"
)

// workersPath is the path of the listing of workers in the operators' interface.
const workersPath = "/ops/machines"

// listWorkers returns the workers known to the controller that responds.
func listWorkers(ctx context.Context, cl *client.Client) (workers []wire.MachineInfo, err error) {
	data, err := cl.Get(ctx, workersPath)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &workers); err != nil {
		return nil, fmt.Errorf("malformed answer: %w", err)
	}
	return workers, nil
}

func (a *app) nodesCommand() *cobra.Command {
	return &cobra.Command{Use: "nodes", Short: "List the machines", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		cl, err := a.client()
		if err != nil {
			return err
		}
		if a.json {
			out, err := cl.Get(cmd.Context(), workersPath)
			_, writeErr := cmd.OutOrStdout().Write(out)
			return errors.Join(err, writeErr)
		}
		workers, err := listWorkers(cmd.Context(), cl)
		if err != nil {
			return err
		}
		t := newTable(cmd.OutOrStdout(), 0)
		t.printf("MACHINE\tTYPE\tZONE\tSPOT\tCPUS\tUSED\tTASKS\tHEARD\n")
		for _, w := range workers {
			t.printf("%s\t%s\t%s\t%v\t%g\t%g\t%d\t%.0f s\n", w.Name, w.Type, w.Zone, w.Spot, w.CPUs, w.UsedCPUs, w.Tasks, w.SinceHeartbeatS)
		}
		return t.flush()
	}}
}
