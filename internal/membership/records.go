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
	linkPrefix   = "c/link/" // what a controller reports of its links to those that the mesh does not reach
	transfersKey = "c/moves" // when shards were last transferred
)

// nodeRecord is a controller's registration. Its key is attached to the
// controller's lease.
type nodeRecord struct {
	Lease             uint64 `json:"lease"`
	Token             uint64 `json:"term"`
	JoinedMs          int64  `json:"joined,omitempty"` // by the controller's own time of day
	ShortIncarnations int    `json:"short,omitempty"`  // in a row before this one
}

const (
	shortIncarnation = 15 * time.Second
	unstableThreshold     = 3 // short incarnations in a row from which on a controller leaves shards to others
)

func (r *nodeRecord) stable() bool { return r.ShortIncarnations < unstableThreshold }

// shardRecord says which controller leads a shard. Its key is attached to that
// controller's lease.
type shardRecord struct {
	Node  string `json:"node"`
	Token uint64 `json:"term"`
	Lease uint64 `json:"lease"`
}

// transfersRecord is when shards were transferred, by time of day in ms. It is
// attached to no lease, so that a successor counts them too.
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
