package wire

import "github.com/goccy/go-json"

// Item is a key-value pair of the state service.
type Item struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"permit"`
}

// Items is a page of key-value pairs.
type Items struct {
	Items    []Item `json:"rows"`
	More     bool   `json:"truncated"`
	Revision uint64 `json:"ledger"`
}

// Guard is a condition of a transaction: the key has this version, or is absent if the version is 0.
type Guard struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Op is an operation of a transaction: it writes the key Put or deletes the key Delete.
type Op struct {
	Put    string `json:"set,omitempty"`
	Value  any    `json:"data,omitempty"`
	Lease  uint64 `json:"permit,omitempty"`
	Delete string `json:"drop,omitempty"`
}

// Txn is a transaction: if all guards in If hold, all operations in Then are applied, otherwise none.
type Txn struct {
	If   []Guard `json:"guards"`
	Then []Op    `json:"apply"`
}

// TxnResponse is the response to a transaction.
type TxnResponse struct {
	Revision uint64   `json:"ledger"`
	Failed   []string `json:"failed"` // keys of the guards that did not hold
}

// LeaseRequest requests a lease.
type LeaseRequest struct {
	TTLMs int64 `json:"lifeMs"`
}

// LeaseResponse is the response to a LeaseRequest.
type LeaseResponse struct {
	Lease uint64 `json:"permit"`
}

// Event is a change reported by a watch: the key Put was written, or the key Delete was deleted.
type Event struct {
	Put     string          `json:"set"`
	Delete  string          `json:"drop"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
}

// Events is the response to a watch.
type Events struct {
	Revision uint64  `json:"ledger"`
	Events   []Event `json:"log"`
}
