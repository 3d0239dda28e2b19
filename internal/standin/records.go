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

const maxBodyBytes = 64 << 10 // of a request

// Buckets of the database, and keys of the bucket of numbers.
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

// update makes a change of the records durable, if they are on disk.
func update(db *bbolt.DB, change func(*bbolt.Tx) error) error {
	if db == nil {
		return nil
	}
	return db.Update(change)
}

// createBuckets creates the buckets that are missing.
func createBuckets(tx *bbolt.Tx, names ...[]byte) error {
	for _, name := range names {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return nil
}

// putJSON writes a value in JSON.
func putJSON(tx *bbolt.Tx, bucket []byte, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return tx.Bucket(bucket).Put([]byte(key), data)
}

// parseNumber reads what formatNumber wrote; what is absent, or no number, is 0.
func parseNumber(data []byte) uint64 {
	n, _ := strconv.ParseUint(string(data), 10, 64) // see above
	return n
}

func formatNumber(n uint64) []byte { return strconv.AppendUint(nil, n, 10) }

// parseLimit reads a listing's limit; one that is missing, malformed or over most is most.
func parseLimit(text string, most int) int {
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > most {
		return most
	}
	return limit
}

// decodeBody takes a request's JSON body; false: it was malformed, and has been refused.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "malformed: " + err.Error()})
		return false
	}
	return true
}

// writeUnavailable responds to a change that could not be made now, with status 503.
func writeUnavailable(w http.ResponseWriter, err error) {
	httpjson.Write(w, http.StatusServiceUnavailable, wire.Problem{Error: err.Error()})
}
