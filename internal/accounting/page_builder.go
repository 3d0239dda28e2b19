package accounting

import (
	"encoding/base64"
	"fmt"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"
)

const (
	pageOverhead = 64  // upper bound of a page's bytes besides its rows
	rowOverhead  = 110 // upper bound of an encoded row's bytes besides its strings
	quoteBytes   = 2   // bytes of the quotes around a page's text in JSON
)

// PageBuilder builds the pages of one writer. It appends rows to the last page until the page is
// full or the UTC day ends, so that many rows share a key. Each write changes only one key of the
// state service. It is not safe for concurrent use.
type PageBuilder struct {
	id       uint64
	maxBytes int // maximum size of a page, including its JSON quotes
	page     page
	encoder  *zstd.Encoder // created by the first Add
}

// page is the state of the last page after its last applied write.
type page struct {
	day     string
	number  int
	version uint64 // version of the page's key; 0: not written yet
	raw     []byte // encoded rows before compression
}

// PageWrite is a pending write of a page. The caller must find out whether it was applied before the
// next call of PageBuilder.Add.
type PageWrite struct {
	Key     string
	Version uint64 // expected current version of the key; 0: the key must not exist
	Value   string
	next    page
}

// NewPageBuilder returns a builder of pages of at most maxBytes bytes. The id must be unique and
// must never be reused: it is part of the pages' keys, which no other writer may write.
func NewPageBuilder(id uint64, maxBytes int) *PageBuilder {
	return &PageBuilder{id: id, maxBytes: maxBytes}
}

// Capacity returns the maximum total of Row.MaxEncodedBytes for one call of Add. Rows within this
// limit fit into a page even if compression saves nothing. base64 encodes three bytes as four.
func (b *PageBuilder) Capacity() int { return b.maxBytes/4*3 - pageOverhead }

// MaxEncodedBytes returns an upper bound of the row's size in a page before base64 encoding.
func (r *Row) MaxEncodedBytes() int {
	return rowOverhead + len(r.UID) + len(r.State) + len(r.Name) + len(r.User) + len(r.Team) + len(r.Class) + len(r.Priority) + len(r.Array) + len(r.Worker)
}

// Add returns the write that adds rows, whose total of Row.MaxEncodedBytes must not exceed
// Capacity. The builder's state doesn't change until Applied is called. If the write was not
// applied, the caller calls Add again.
func (b *PageBuilder) Add(rows []Row, now time.Time) (PageWrite, error) {
	day := Day(now)
	if b.encoder == nil {
		var err error
		if b.encoder, err = newEncoder(); err != nil {
			return PageWrite{}, fmt.Errorf("accounting: %w", err)
		}
	}
	next := b.page
	if next.day != day {
		next = page{day: day, number: b.page.number + 1}
	}
	for range 2 { // first try the last page, then a new one
		raw, err := appendRows(slices.Clone(next.raw), rows)
		if err != nil {
			return PageWrite{}, err
		}
		if text := formatPrefix + base64.StdEncoding.EncodeToString(b.encoder.EncodeAll(raw, nil)); len(text)+quoteBytes <= b.maxBytes {
			write := PageWrite{Key: fmt.Sprintf("%s%s/%016x-%06d", KeyPrefix, day, b.id, next.number), Version: next.version, Value: text, next: next}
			write.next.raw = raw
			return write, nil
		}
		next = page{day: day, number: next.number + 1}
	}
	return PageWrite{}, fmt.Errorf("%d accounting rows do not fit a page of %d bytes", len(rows), b.maxBytes)
}

// Applied records that a write was applied, and the version that its key has after the write.
func (b *PageBuilder) Applied(w PageWrite, version uint64) {
	b.page = w.next
	b.page.version = version
}
