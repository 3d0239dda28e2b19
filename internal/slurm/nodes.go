package slurm

import (
	"fmt"
	"strconv"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/wire"
)

// NodeRow is a line of sinfo.
type NodeRow struct {
	wire.MachineInfo
	Partition string
	Cluster   string
	MemoryGB  float64
	GPUs      float64
	Count     int    // machines that the line stands for
	Names     string // of them
}

// silentS is the silence after which sinfo calls a machine down.
const silentS = 10

func (r *NodeRow) state() string {
	switch {
	case r.HeardS > silentS:
		return "down"
	case r.Tasks == 0:
		return "idle"
	case r.UsedCPUs >= r.CPUs-1e-6:
		return "allocated"
	}
	return "mixed"
}

var nodeStates = map[string]string{"down": "down", "idle": "idle", "allocated": "alloc", "mixed": "mix"}

var nodeFields = []field[NodeRow]{
	{'P', "Partition", "PARTITION", 20, func(r *NodeRow) string { return r.Partition }},
	{'a', "Available", "AVAIL", 20, func(*NodeRow) string { return "up" }},
	{'l', "Time", "TIMELIMIT", 20, func(*NodeRow) string { return "infinite" }},
	{'D', "Nodes", "NODES", 20, func(r *NodeRow) string { return strconv.Itoa(r.Count) }},
	{'t', "StateCompact", "STATE", 20, func(r *NodeRow) string { return nodeStates[r.state()] }},
	{'T', "StateLong", "STATE", 20, (*NodeRow).state},
	{'N', "NodeList", "NODELIST", 20, func(r *NodeRow) string { return r.Names }},
	{'n', "NodeHost", "HOSTNAMES", 20, func(r *NodeRow) string { return r.Names }},
	{'c', "CPUs", "CPUS", 20, func(r *NodeRow) string { return amount(r.CPUs) }},
	{'C', "CPUsState", "CPUS(A/I/O/T)", 20, func(r *NodeRow) string {
		a, t := r.UsedCPUs, r.CPUs*float64(r.Count)
		if r.state() == "down" {
			return fmt.Sprintf("0/0/%s/%s", amount(t), amount(t))
		}
		return fmt.Sprintf("%s/%s/0/%s", amount(a), amount(max(0, t-a)), amount(t))
	}},
	{'m', "Memory", "MEMORY", 20, func(r *NodeRow) string { return strconv.Itoa(int(r.MemoryGB * 1024)) }},
	{'G', "Gres", "GRES", 20, func(r *NodeRow) string {
		if r.GPUs == 0 {
			return "(null)"
		}
		return "gpu:" + amount(r.GPUs)
	}},
	{'f', "Features", "AVAIL_FEATURES", 20, func(r *NodeRow) string {
		f := r.Type + "," + r.Zone
		if r.Spot {
			f += ",spot"
		}
		return f
	}},
	{'R', "PartitionName", "PARTITION", 20, func(r *NodeRow) string { return r.Partition }},
	{'V', "Cluster", "CLUSTER", 20, func(r *NodeRow) string { return r.Cluster }},
}

// Nodes makes sinfo's lines: one a machine (-N), or one for the machines of a type
// in a state.
func Nodes(ms []wire.MachineInfo, site *jobquery.Site, each bool) []NodeRow {
	var out []NodeRow
	for _, p := range site.Classes {
		name := p
		if p == site.Class && !each {
			name += "*"
		}
		groups := map[string]int{}
		for _, m := range ms {
			r := NodeRow{MachineInfo: m, Partition: name, Cluster: site.Cluster, Count: 1, Names: m.Name}
			for _, t := range site.Types {
				if t.Name == m.Type {
					r.MemoryGB, r.GPUs = t.MemoryGB, t.GPUs
				}
			}
			key := r.state() + " " + m.Type
			if at, there := groups[key]; there && !each {
				g := &out[at]
				g.Count++
				g.UsedCPUs += m.UsedCPUs
				g.Names += "," + m.Name
				continue
			}
			groups[key] = len(out)
			out = append(out, r)
		}
	}
	return out
}

// NodeTable makes sinfo's layout of -o, or the usual one.
func NodeTable(format string, each bool) (*Table[NodeRow], error) {
	switch {
	case format != "":
		return parsePercent(format, nodeFields)
	case each:
		return parsePercent("%14N %.6D %.9P %6t", nodeFields)
	}
	return parsePercent("%9P %.5a %.10l %.6D %.6t %N", nodeFields)
}
