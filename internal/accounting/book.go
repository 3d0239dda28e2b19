package accounting

import (
	"encoding/base64"
	"fmt"
	"time"

	"github.com/klauspost/compress/zstd"
)

// Book writes rows into pages: it adds to the last page until that is full, so
// that rows share a key, and each write costs one change of the state service.
// It is for one goroutine at a time.
type Book struct {
	id   uint64 // of this owner's taking over; never shared
	most int    // bytes of a page
	page page
	enc  *zstd.Encoder // made with the first page
}

type page struct {
	day     string
	n       int
	version uint64
	raw     []byte
}

// Write is a page to be written. Until its outcome is known, no other is made.
type Write struct {
	Key     string
	Version uint64 // that the key must have: 0 for a new page
	Value   string
	next    page
}

// NewBook returns a book whose pages nobody else writes: id is unique for ever.
func NewBook(id uint64, most int) *Book { return &Book{id: id, most: most} }

// Room is how many bytes of rows one write can surely take.
func (b *Book) Room() int { return b.most/4*3 - 64 }

// Bytes is at most what a row takes in a page.
func (r *Row) Bytes() int {
	return 110 + len(r.UID) + len(r.State) + len(r.Name) + len(r.User) + len(r.Team) + len(r.Class) + len(r.Priority) + len(r.Array) + len(r.Machine)
}

// Add makes the write that adds rows, of no more than Room bytes together.
func (b *Book) Add(rows []Row, now time.Time) (Write, error) {
	day := Day(now)
	if b.enc == nil {
		var err error
		if b.enc, err = newEncoder(); err != nil {
			return Write{}, fmt.Errorf("accounting: %w", err)
		}
	}
	next := b.page
	if next.day != day {
		next = page{day: day, n: b.page.n + 1}
	}
	for range 2 {
		raw, err := encode(append([]byte(nil), next.raw...), rows)
		if err != nil {
			return Write{}, err
		}
		if text := format + base64.StdEncoding.EncodeToString(b.enc.EncodeAll(raw, nil)); len(text)+2 <= b.most {
			w := Write{Key: fmt.Sprintf("%s%s/%016x-%06d", Key, day, b.id, next.n), Version: next.version, Value: text, next: next}
			w.next.raw = raw
			return w, nil
		}
		next = page{day: day, n: next.n + 1}
	}
	return Write{}, fmt.Errorf("%d accounting rows do not fit a page of %d bytes", len(rows), b.most)
}

// Done notes that a write was applied at a revision.
func (b *Book) Done(w Write, rev uint64) {
	b.page = w.next
	b.page.version = rev
}
