package slurm

import (
	"fmt"
	"strconv"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/wire"
)

// NodeRow is a line of sinfo: either one worker, or all workers with the same machine type and
// state. For several workers, UsedCPUs is their sum; all other fields of MachineInfo are those of
// the first worker.
type NodeRow struct {
	wire.MachineInfo
	Partition string
	Cluster   string
	MemoryGB  float64
	GPUs      float64
	Count     int    // number of workers
	Names     string // names of the workers, separated by commas
}

// heartbeatTimeoutS is the time in seconds since a worker's last heartbeat after which sinfo
// reports the worker as down.
const heartbeatTimeoutS = 10

// state returns the long name of the worker's state.
func (r *NodeRow) state() string {
	switch {
	case r.SinceHeartbeatS > heartbeatTimeoutS:
		return "down"
	case r.Tasks == 0:
		return "idle"
	case r.UsedCPUs >= r.CPUs-1e-6:
		return "allocated"
	}
	return "mixed"
}

// nodeStates maps the long names of states to the short ones.
var nodeStates = map[string]string{"down": "down", "idle": "idle", "allocated": "alloc", "mixed": "mix"}

// nodeFields defines sinfo's columns.
var nodeFields = []field[NodeRow]{
	{'P', "Partition", "PARTITION", 20, func(r *NodeRow) string { return r.Partition }},
	{'a', "Available", "AVAIL", 20, func(*NodeRow) string { return "up" }},
	{'l', "Time", "TIMELIMIT", 20, func(*NodeRow) string { return "infinite" }},
	{'D', "Nodes", "NODES", 20, func(r *NodeRow) string { return strconv.Itoa(r.Count) }},
	{'t', "StateCompact", "STATE", 20, func(r *NodeRow) string { return nodeStates[r.state()] }},
	{'T', "StateLong", "STATE", 20, (*NodeRow).state},
	{'N', "NodeList", "NODELIST", 20, func(r *NodeRow) string { return r.Names }},
	{'n', "NodeHost", "HOSTNAMES", 20, func(r *NodeRow) string { return r.Names }},
	{'c', "CPUs", "CPUS", 20, func(r *NodeRow) string { return formatNumber(r.CPUs) }},
	{'C', "CPUsState", "CPUS(A/I/O/T)", 20, func(r *NodeRow) string {
		allocated, total := r.UsedCPUs, r.CPUs*float64(r.Count)
		if r.state() == "down" {
			return fmt.Sprintf("0/0/%s/%s", formatNumber(total), formatNumber(total))
		}
		return fmt.Sprintf("%s/%s/0/%s", formatNumber(allocated), formatNumber(max(0, total-allocated)), formatNumber(total))
	}},
	{'m', "Memory", "MEMORY", 20, func(r *NodeRow) string { return strconv.Itoa(int(r.MemoryGB * 1024)) }},
	{'G', "Gres", "GRES", 20, func(r *NodeRow) string {
		if r.GPUs == 0 {
			return "(null)"
		}
		return "gpu:" + formatNumber(r.GPUs)
	}},
	{'f', "Features", "AVAIL_FEATURES", 20, func(r *NodeRow) string {
		features := r.Type + "," + r.Zone
		if r.Spot {
			features += ",spot"
		}
		return features
	}},
	{'R', "PartitionName", "PARTITION", 20, func(r *NodeRow) string { return r.Partition }},
	{'V', "Cluster", "CLUSTER", 20, func(r *NodeRow) string { return r.Cluster }},
}

// NodeRows returns sinfo's rows. For each class of the site, there is one row per worker if
// eachWorker (-N) is set, otherwise one per combination of machine type and state.
func NodeRows(workers []wire.MachineInfo, site *jobquery.Site, eachWorker bool) []NodeRow {
	var rows []NodeRow
	for _, class := range site.Classes {
		partition := class
		if class == site.Class && !eachWorker {
			partition += "*" // marks the default partition
		}
		groups := map[string]int{} // maps state and machine type to the index in rows
		for _, worker := range workers {
			row := newNodeRow(worker, partition, site)
			group := row.state() + " " + worker.Type
			if at, found := groups[group]; found && !eachWorker {
				first := &rows[at]
				first.Count++
				first.UsedCPUs += worker.UsedCPUs
				first.Names += "," + worker.Name
				continue
			}
			groups[group] = len(rows)
			rows = append(rows, row)
		}
	}
	return rows
}

// newNodeRow returns the row of one worker.
func newNodeRow(worker wire.MachineInfo, partition string, site *jobquery.Site) NodeRow {
	row := NodeRow{MachineInfo: worker, Partition: partition, Cluster: site.Cluster, Count: 1, Names: worker.Name}
	for i := range site.Types {
		if t := &site.Types[i]; t.Name == worker.Type {
			row.MemoryGB, row.GPUs = t.MemoryGB, t.GPUs
		}
	}
	return row
}

// NodeTable returns sinfo's layout for a format (the value of -o). If the format is empty, NodeTable
// returns the default layout, or the layout of -N if eachWorker is set. The error is a *UsageError.
func NodeTable(format string, eachWorker bool) (*Table[NodeRow], error) {
	switch {
	case format != "":
		return parseFormat(format, nodeFields)
	case eachWorker:
		return parseFormat("%14N %.6D %.9P %6t", nodeFields)
	}
	return parseFormat("%9P %.5a %.10l %.6D %.6t %N", nodeFields)
}
