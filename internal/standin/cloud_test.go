package standin_test

import (
	"fmt"
	"testing"

	"github.com/wallrack/wallrack/internal/standin"
	"github.com/wallrack/wallrack/internal/wire"
)

// noopLauncher starts nothing.
type noopLauncher struct{}

func (noopLauncher) Launch(wire.ListedMachine, wire.MachineType) (string, error) {
	return "127.0.0.1:1", nil
}
func (noopLauncher) End(string) {}

// The number of machines in a zone, and in the whole cloud, stays within its limit.
func TestCloudLimitsMachinesPerZone(t *testing.T) {
	cloud, err := standin.OpenCloud(nil, []wire.MachineType{{Name: "m", Zones: []string{"a", "b"}}}, 7, noopLauncher{})
	if err != nil {
		t.Fatal(err)
	}
	cloud.MaxPerZone = 4
	for i, c := range []struct {
		zone string
		want int
	}{{"a", 3}, {"a", 1}, {"a", 0}, {"b", 3}, {"b", 0}} {
		names, err := cloud.Provision(&wire.ProvisionRequest{Name: fmt.Sprint("r-", i), Type: "m", Zone: c.zone, Number: 3})
		if len(names) != c.want || (err == nil) != (c.want > 0) {
			t.Errorf("request %d in %s: %d machines, want %d; error %v", i, c.zone, len(names), c.want, err)
		}
	}
}
