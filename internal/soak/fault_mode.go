package soak

import (
	"fmt"
	"slices"
)

// FaultMode determines whether faults that no seed draws by itself are played in a run.
type FaultMode string

// The modes. In ModeAlone no other fault is played.
const (
	ModeNone   FaultMode = "none"
	ModeBeside FaultMode = "beside"
	ModeAlone  FaultMode = "alone"
)

// ParseFaultMode returns the mode with a name.
func ParseFaultMode(name string) (FaultMode, error) {
	mode := FaultMode(name)
	if !slices.Contains([]FaultMode{ModeNone, ModeBeside, ModeAlone}, mode) {
		return ModeNone, fmt.Errorf("%q is not %q, %q or %q", name, ModeNone, ModeBeside, ModeAlone)
	}
	return mode, nil
}

// enabled reports whether the faults are played; the zero value does not.
func (m FaultMode) enabled() bool { return m == ModeBeside || m == ModeAlone }
