package membership

import (
	"fmt"
	"strings"
	"time"
)

const (
	keyPrefix    = "c/"
	tokenKey     = "c/term"
	nodePrefix   = "c/node/"
	shardPrefix  = "c/shard/"
	linkPrefix   = "c/link/" // a controller's report on its links, for those that the mesh does not reach
	transfersKey = "c/moves" // times of the last transfers of shards
)

// nodeRecord is a controller's registration. Its key is attached to the
// controller's lease.
type nodeRecord struct {
	Lease             uint64 `json:"lease"`
	Token             uint64 `json:"term"`
	JoinedMs          int64  `json:"joined,omitempty"` // by the controller's own wall clock
	ShortIncarnations int    `json:"short,omitempty"`  // consecutive, before this one
}

const (
	shortIncarnationLimit = 15 * time.Second
	unstableThreshold     = 3 // number of consecutive short incarnations after which a controller leaves shards to others
)

func (r *nodeRecord) stable() bool { return r.ShortIncarnations < unstableThreshold }

// shardRecord names the controller that leads a shard. Its key is attached to that
// controller's lease.
type shardRecord struct {
	Node  string `json:"node"`
	Token uint64 `json:"term"`
	Lease uint64 `json:"lease"`
}

// transfersRecord holds the times of transfers of shards, in ms of Unix time. It is attached
// to no lease, so that a successor counts them too.
type transfersRecord struct {
	At []int64 `json:"at"`
}

func shardKey(shard int) string { return fmt.Sprintf("%s%03d", shardPrefix, shard) }

// shardOfKey is the inverse of shardKey; ok is false for other keys.
func shardOfKey(key string) (shard int, ok bool) {
	number, ok := strings.CutPrefix(key, shardPrefix)
	if !ok {
		return 0, false
	}
	if _, err := fmt.Sscanf(number, "%d", &shard); err != nil {
		return 0, false
	}
	return shard, true
}
