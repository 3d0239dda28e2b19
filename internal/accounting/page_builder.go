package accounting

import (
	"encoding/base64"
	"fmt"
	"slices"
	"time"

	"github.com/klauspost/compress/zstd"
)

const (
	pageOverhead = 64  // bytes of a page beside its rows
	rowOverhead  = 110 // most bytes of a row beside its texts
	quoteBytes   = 2   // bytes around a page's text in JSON
)

// PageBuilder builds the pages of one writer: it adds rows to the last page until that is full, so
// that rows share a key, and each write changes one key of the state service. It is not safe
// for concurrent use.
type PageBuilder struct {
	id       uint64
	maxBytes int // of a page
	page     page
	encoder  *zstd.Encoder // made with the first page
}

// page is a page as it was last written.
type page struct {
	day     string
	number  int
	version uint64 // of its key; 0: not written yet
	raw     []byte // rows before they are packed
}

// PageWrite is a page to be written. Until its outcome is known, no other one may be made.
type PageWrite struct {
	Key     string
	Version uint64 // that the key must have; 0: it must not exist
	Value   string
	next    page
}

// NewPageBuilder returns a builder of pages of at most so many bytes. The id must never be used
// again: it is part of the pages' keys, which nobody else writes.
func NewPageBuilder(id uint64, maxBytes int) *PageBuilder {
	return &PageBuilder{id: id, maxBytes: maxBytes}
}

// Capacity returns how many bytes of rows, by Row.Bytes, one write surely takes, even if packing
// saves nothing: base64 makes four bytes of three.
func (b *PageBuilder) Capacity() int { return b.maxBytes/4*3 - pageOverhead }

// MaxEncodedBytes returns the most bytes that a row takes in a page.
func (r *Row) MaxEncodedBytes() int {
	return rowOverhead + len(r.UID) + len(r.State) + len(r.Name) + len(r.User) + len(r.Team) + len(r.Class) + len(r.Priority) + len(r.Array) + len(r.Worker)
}

// Add returns the write that adds rows, which must not have more bytes together than Room. The
// book stays as it is until Done: a write that was not applied is made anew by a further Add.
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
	for range 2 { // the last page, then a new one
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

// Applied notes that a write was applied, and the version that its key has since.
func (b *PageBuilder) Applied(w PageWrite, version uint64) {
	b.page = w.next
	b.page.version = version
}
