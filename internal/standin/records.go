package standin

import (
	"io"
	"net/http"
	"strconv"

	"github.com/goccy/go-json"
	"go.etcd.io/bbolt"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/wire"
)

const maxBodyBytes = 64 << 10 // per request

// Buckets of the database, and keys of the meta bucket.
var (
	itemsBucket        = []byte("items")
	leasesBucket       = []byte("leases")
	metaBucket         = []byte("meta")
	provisionsBucket   = []byte("hires")
	machinesBucket     = []byte("machines")
	descriptionsBucket = []byte("descriptions")

	revisionKey    = []byte("revision")
	nextLeaseKey   = []byte("next-lease")
	nextMachineKey = []byte("next-machine")
)

// update runs change in a transaction of db and commits the transaction. If db is nil, it does
// nothing.
func update(db *bbolt.DB, change func(*bbolt.Tx) error) error {
	if db == nil {
		return nil
	}
	return db.Update(change)
}

// createBuckets creates the buckets that don't exist.
func createBuckets(tx *bbolt.Tx, names ...[]byte) error {
	for _, name := range names {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return nil
}

// putJSON stores a value as JSON.
func putJSON(tx *bbolt.Tx, bucket []byte, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return tx.Bucket(bucket).Put([]byte(key), data)
}

// parseNumber decodes the output of formatNumber. It returns 0 for missing or invalid data.
func parseNumber(data []byte) uint64 {
	n, _ := strconv.ParseUint(string(data), 10, 64) // 0 if data is not a number
	return n
}

func formatNumber(n uint64) []byte { return strconv.AppendUint(nil, n, 10) }

// parseLimit parses a listing's limit. It returns maximum if the limit is missing, malformed, below
// 1 or above maximum.
func parseLimit(text string, maximum int) int {
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maximum {
		return maximum
	}
	return limit
}

// decodeBody decodes a request's JSON body. If the body is malformed or too large, it responds with status 400
// and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, dest any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, dest)
	}
	if err != nil {
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "malformed: " + err.Error()})
		return false
	}
	return true
}

// writeUnavailable responds with status 503 to a change that could not be made.
func writeUnavailable(w http.ResponseWriter, err error) {
	httpjson.Write(w, http.StatusServiceUnavailable, wire.Problem{Error: err.Error()})
}
