package config

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/pelletier/go-toml/v2"
)

// minTxnOps is how many operations a transaction has to take.
const minTxnOps = 4

// Platform is the settings that the platform provides.
type Platform struct {
	Node      string    `toml:"node_name"` // this controller's name
	Zone      string    `toml:"domain"`
	Listen    string    `toml:"serve_on"`  // address for users and workers, IP and port
	Mesh      string    `toml:"mesh_addr"` // address for peers, IP and port
	Peers     []Peer    `toml:"siblings"`
	Endpoints Endpoints `toml:"endpoints"`
	Params    Params    `toml:"params"`
}

// Peer is another controller.
type Peer struct {
	Node string `toml:"node_name"`
	Zone string `toml:"domain"`
	Addr string `toml:"address"`
}

// Endpoints are the addresses of the region's services, IP and port.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Params are the platform's figures.
type Params struct {
	Zones      []string    `toml:"zones"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      State       `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Limits     Limits      `toml:"limits"`
}

// Team is a team's guarantee (CPUs, GPUs) and limit (CPUsMax, GPUsMax); a limit of 0
// is none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service level objective for a class of jobs. What its fields mean
// depends on the kind.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"` // of the class's jobs, 0 to 1
	Times   float64 `toml:"times"`
}

// Workers are the intervals of the workers' protocol: of heartbeats, the lease that
// each extends, and the limit for cancels to take effect.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// maxLeaseStretch is by how much longer than lease_s a lease may last by another machine's clock: four
// times what two steady clocks may differ by.
const maxLeaseStretch = 1.002

// MaxLeaseS is for how many seconds of this machine's clock a worker's lease lasts at most.
func (w *Workers) MaxLeaseS() float64 { return w.LeaseS * maxLeaseStretch }

// State are the limits of the state service: requests and writes a second, the size of a
// value, and operations in a transaction.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud are the limits of the cloud: requests a second, and how late its list may be.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits bound this process; 0: none is given. CPU is in cores.
type Limits struct {
	CPU     float64 `toml:"cpu"`
	RAMMB   float64 `toml:"ram_mb"`
	Sockets int     `toml:"sockets"`
}

// LoadPlatform reads and checks the platform's file; unknown fields are ignored.
func LoadPlatform(path string) (*Platform, error) { return Load(path, ParsePlatform) }

// ParsePlatform reads and checks the platform's settings; unknown fields are ignored. The
// error is of the first setting that is wrong.
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

// checkRequired returns an error for figures that must be given.
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
		if !(figure.value > 0) { // NaN is not
			return fmt.Errorf("params.%s: must be above 0", figure.key)
		}
	}
	return nil
}

// check returns an error for limits that no controller can run in: they are named now,
// not found when it ends by them. One that is not given is none.
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

// checkAmounts returns an error for amounts that contradict each other; key is the team's.
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
