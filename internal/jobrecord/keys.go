package jobrecord

import (
	"fmt"
	"strings"
)

// Key prefixes. The key of a job's live or final record is the prefix followed by the job's
// uid.
const (
	LivePrefix  = "live/"
	FinalPrefix = "final/"
	ChunkPrefix = "task/"
	LogPrefix   = "log/"
)

// LogKey returns the key of a slot in the log of a shard.
func LogKey(shard, slot int) string { return fmt.Sprintf("%s%03d/%05d", LogPrefix, shard, slot) }

// ParseLogKey returns the shard and the slot of a key that LogKey returned. It also accepts a key
// without LogPrefix, a negative shard, unpadded numbers, and text after the slot. For other keys and for a negative
// slot it returns an error that contains the start of the key.
func ParseLogKey(key string) (shard, slot int, err error) {
	if _, err := fmt.Sscanf(strings.TrimPrefix(key, LogPrefix), "%d/%d", &shard, &slot); err != nil || slot < 0 {
		return 0, 0, fmt.Errorf("not a log key: %.60q", key)
	}
	return shard, slot, nil
}

// ChunkKey returns the key of the record of a job's chunk.
func ChunkKey(uid string, chunk int) string { return fmt.Sprintf("%s%s/%05d", ChunkPrefix, uid, chunk) }
