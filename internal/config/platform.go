package config

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/pelletier/go-toml/v2"
)

// minTxnOps is the smallest transaction limit with which the controller can run, in operations.
const minTxnOps = 4

// Platform holds the settings provided by the platform.
type Platform struct {
	Node      string    `toml:"node_name"` // name of this controller
	Zone      string    `toml:"domain"`
	Listen    string    `toml:"serve_on"`  // address for users and workers, IP and port
	Mesh      string    `toml:"mesh_addr"` // address for peers, IP and port
	Peers     []Peer    `toml:"siblings"`
	Endpoints Endpoints `toml:"endpoints"`
	Params    Params    `toml:"params"`
}

// Peer is another controller of the cluster.
type Peer struct {
	Node string `toml:"node_name"`
	Zone string `toml:"domain"`
	Addr string `toml:"address"`
}

// Endpoints are the addresses of the region's services, as IP and port.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Params are the zones, teams, objectives, intervals and limits of the platform.
type Params struct {
	Zones      []string    `toml:"zones"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      State       `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Limits     Limits      `toml:"limits"`
}

// Team holds the guarantee (CPUs, GPUs) and the limit (CPUsMax, GPUsMax) of a team. A limit of 0
// means no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service level objective for a class of jobs. The meaning of its fields depends
// on Kind.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"` // share of the class's jobs that must meet the objective, 0 to 1
	Times   float64 `toml:"times"`
}

// Workers are the times of the workers' protocol in seconds: the heartbeat interval, the duration
// of a worker's lease, which each heartbeat renews, and the time within which a cancel must take effect.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// maxLeaseStretch is the factor by which a lease may last longer than lease_s on another machine's
// clock. It allows for four times the largest difference in rate between two steady clocks.
const maxLeaseStretch = 1.002

// MaxLeaseS returns the longest time that a worker's lease may last, in seconds of this machine's clock.
func (w *Workers) MaxLeaseS() float64 { return w.LeaseS * maxLeaseStretch }

// State holds the limits of the state service: requests and writes per second, the size of a
// value, and the number of operations in a transaction.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud holds the limits of the cloud: requests per second, and the maximum age of its machine list.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits are the resource limits of this process. CPU is in cores. For CPU and Sockets, 0 means no
// limit; RAMMB is required.
type Limits struct {
	CPU     float64 `toml:"cpu"`
	RAMMB   float64 `toml:"ram_mb"`
	Sockets int     `toml:"sockets"`
}

// LoadPlatform reads and validates the platform's settings file. Unknown fields are ignored.
func LoadPlatform(path string) (*Platform, error) { return Load(path, ParsePlatform) }

// ParsePlatform parses and validates the platform's settings. Unknown fields are ignored. The
// error describes the first invalid setting.
func ParsePlatform(data []byte) (*Platform, error) {
	var p Platform
	if err := toml.Unmarshal(data, &p); err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			row, _ := decodeErr.Position()
			return nil, fmt.Errorf("line %d: %s: %w", row, decodeErr.Key(), err)
		}
		return nil, err
	}
	for _, check := range []func() error{
		p.checkNodes, p.checkAddresses, p.Params.checkRequired, p.Params.Limits.check, p.Params.State.check, p.Params.checkTeams,
	} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return &p, nil
}

func (p *Platform) checkNodes() error {
	if p.Node == "" {
		return errors.New("node_name: missing")
	}
	for i, peer := range p.Peers {
		if peer.Node == "" || peer.Node == p.Node {
			return fmt.Errorf("siblings[%d].node_name: missing or this node's own", i)
		}
	}
	return nil
}

func (p *Platform) checkAddresses() error {
	type address struct{ key, value string }
	addresses := make([]address, 0, 4+len(p.Peers))
	addresses = append(
		addresses,
		address{"serve_on", p.Listen},
		address{"mesh_addr", p.Mesh},
		address{"endpoints.cloud", p.Endpoints.Cloud},
		address{"endpoints.state", p.Endpoints.State},
	)
	for i, peer := range p.Peers {
		addresses = append(addresses, address{fmt.Sprintf("siblings[%d].address", i), peer.Addr})
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fmt.Errorf("%s: not an IP address with a port: %q", a.key, a.value)
		}
	}
	return nil
}

// checkRequired returns an error if a required setting is missing or not positive.
func (p *Params) checkRequired() error {
	for _, figure := range []struct {
		key   string
		value float64
	}{
		{"workers.report_s", p.Workers.ReportS},
		{"workers.lease_s", p.Workers.LeaseS},
		{"workers.cancel_s", p.Workers.CancelS},
		{"state.rps", p.State.RPS},
		{"state.write_rps", p.State.WriteRPS},
		{"state.value_kb", p.State.ValueKB},
		{"state.txn_ops", float64(p.State.TxnOps)},
		{"cloud.rps", p.Cloud.RPS},
		{"limits.ram_mb", p.Limits.RAMMB},
	} {
		if !(figure.value > 0) { // negated, so that NaN is rejected
			return fmt.Errorf("params.%s: must be above 0", figure.key)
		}
	}
	return nil
}

// check returns an error for limits that are too small for a controller to run. Otherwise the
// controller would fail later, when it exceeds them. A limit of 0 is not checked.
func (l *Limits) check() error {
	for _, limit := range []struct {
		key          string
		value, least float64
	}{
		{"ram_mb", l.RAMMB, 24},
		{"sockets", float64(l.Sockets), 96},
		{"cpu", l.CPU, 0.01},
	} {
		if limit.value != 0 && limit.value < limit.least {
			return fmt.Errorf("params.limits.%s: %v is too small, at least %v are needed", limit.key, limit.value, limit.least)
		}
	}
	return nil
}

func (s *State) check() error {
	if s.TxnOps < minTxnOps {
		return fmt.Errorf("params.state.txn_ops: must be at least %d", minTxnOps)
	}
	return nil
}

func (p *Params) checkTeams() error {
	indexes := map[string]int{}
	for i, team := range p.Teams {
		if team.Name == "" {
			return fmt.Errorf("params.teams[%d].name: missing", i)
		}
		if first, twice := indexes[team.Name]; twice {
			return fmt.Errorf("params.teams[%d].name: %q is the name of params.teams[%d] already", i, team.Name, first)
		}
		indexes[team.Name] = i
		if err := team.checkAmounts(fmt.Sprintf("params.teams[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

// checkAmounts returns an error for negative amounts and for guarantees above the limit; teamKey is
// the key of the team in the error.
func (t *Team) checkAmounts(teamKey string) error {
	if t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
		return fmt.Errorf("%s: negative amount", teamKey)
	}
	if t.CPUsMax > 0 && t.CPUs > t.CPUsMax {
		return fmt.Errorf("%s.cpus: the guarantee of %v is above the limit of %v", teamKey, t.CPUs, t.CPUsMax)
	}
	if t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
		return fmt.Errorf("%s.gpus: the guarantee of %v is above the limit of %v", teamKey, t.GPUs, t.GPUsMax)
	}
	return nil
}
