// Package config reads the platform's settings (TOML) and the operators' own
// (S-expressions). Every complaint names the file, the key and the reason.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Platform is the file that the platform hands over.
type Platform struct {
	Node      string    `toml:"node_name"`
	Zone      string    `toml:"domain"`
	Listen    string    `toml:"serve_on"`
	Mesh      string    `toml:"mesh_addr"`
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

// Endpoints are the region's services.
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

// Team is a team's guarantee and limit; a limit of 0 is none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is one of the users' aims.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Workers are the figures of the workers' protocol.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// State are the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud are the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits bound this process.
type Limits struct {
	CPU     float64 `toml:"cpu"`
	RAMMB   float64 `toml:"ram_mb"`
	Sockets int     `toml:"sockets"`
}

// Seconds converts a figure of the settings.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LoadPlatform reads and checks the platform's file; unknown fields are ignored.
func LoadPlatform(path string) (*Platform, error) { return Load(path, ParsePlatform) }

// ParsePlatform reads and checks the platform's settings.
func ParsePlatform(data []byte) (*Platform, error) {
	var p Platform
	if err := toml.Unmarshal(data, &p); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, _ := de.Position()
			return nil, fmt.Errorf("line %d: %s: %w", row, de.Key(), err)
		}
		return nil, err
	}
	if p.Node == "" {
		return nil, errors.New("node_name: missing")
	}
	addrs := []struct{ key, addr string }{
		{"serve_on", p.Listen}, {"mesh_addr", p.Mesh},
		{"endpoints.cloud", p.Endpoints.Cloud}, {"endpoints.state", p.Endpoints.State},
	}
	for i, s := range p.Peers {
		if s.Node == "" || s.Node == p.Node {
			return nil, fmt.Errorf("siblings[%d].node_name: missing or this node's own", i)
		}
		addrs = append(addrs, struct{ key, addr string }{fmt.Sprintf("siblings[%d].address", i), s.Addr})
	}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return nil, fmt.Errorf("%s: not an IP address with a port: %q", a.key, a.addr)
		}
	}
	w, st, cl, lim := p.Params.Workers, p.Params.State, p.Params.Cloud, p.Params.Limits
	for _, c := range []struct {
		key string
		v   float64
	}{
		{"report_s", w.ReportS}, {"lease_s", w.LeaseS}, {"cancel_s", w.CancelS},
	} {
		if !(c.v > 0) {
			return nil, fmt.Errorf("params.workers.%s: must be above 0", c.key)
		}
	}
	for _, c := range []struct {
		key string
		v   float64
	}{
		{"state.rps", st.RPS}, {"state.write_rps", st.WriteRPS}, {"state.value_kb", st.ValueKB},
		{"state.txn_ops", float64(st.TxnOps)}, {"cloud.rps", cl.RPS}, {"limits.ram_mb", lim.RAMMB},
	} {
		if !(c.v > 0) {
			return nil, fmt.Errorf("params.%s: must be above 0", c.key)
		}
	}
	// Limits that no controller can run in are named now, not found out by
	// its ends. One that is not given is none.
	for _, c := range []struct {
		key      string
		v, least float64
	}{
		{"ram_mb", lim.RAMMB, 24}, {"sockets", float64(lim.Sockets), 96}, {"cpu", lim.CPU, 0.01},
	} {
		if c.v != 0 && c.v < c.least {
			return nil, fmt.Errorf("params.limits.%s: %v is too small, at least %v are needed", c.key, c.v, c.least)
		}
	}
	if st.TxnOps < 4 {
		return nil, errors.New("params.state.txn_ops: must be at least 4")
	}
	named := map[string]int{}
	for i, t := range p.Params.Teams {
		if t.Name == "" {
			return nil, fmt.Errorf("params.teams[%d].name: missing", i)
		}
		if first, twice := named[t.Name]; twice {
			return nil, fmt.Errorf("params.teams[%d].name: %q is the name of params.teams[%d] already", i, t.Name, first)
		}
		named[t.Name] = i
		if t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0 {
			return nil, fmt.Errorf("params.teams[%d]: negative amount", i)
		}
		if t.CPUsMax > 0 && t.CPUs > t.CPUsMax {
			return nil, fmt.Errorf("params.teams[%d].cpus: the guarantee of %v is above the limit of %v", i, t.CPUs, t.CPUsMax)
		}
		if t.GPUsMax > 0 && t.GPUs > t.GPUsMax {
			return nil, fmt.Errorf("params.teams[%d].gpus: the guarantee of %v is above the limit of %v", i, t.GPUs, t.GPUsMax)
		}
	}
	return &p, nil
}
