package accounting

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// formatPrefix starts a page's text. Readers reject pages with any other prefix.
	formatPrefix = "1:"
	// maxUnpackedBytes limits the unpacked size of a page. Pages come from the network:
	// without a limit, a malicious one could unpack to any size.
	maxUnpackedBytes = 4 << 20
	windowBytes      = 64 << 10 // compression window of the encoder
)

// KeyPrefix prefixes the keys of all pages in the state service.
const KeyPrefix = "acct/"

const dayLayout = "20060102"

// Day returns the UTC day of a time, as YYYYMMDD. It is part of the pages' keys.
func Day(at time.Time) string { return at.UTC().Format(dayLayout) }

// DayPrefix returns the prefix of the keys of a day's pages. It fails if the day, which may be user
// input, is not in the format that Day returns.
func DayPrefix(day string) (string, error) {
	if _, err := time.Parse(dayLayout, day); err != nil {
		return "", fmt.Errorf("day: %.20q is not YYYYMMDD", day)
	}
	return KeyPrefix + day + "/", nil
}

func newEncoder() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
}

// appendRows appends the encoded rows to a page's uncompressed bytes.
func appendRows(raw []byte, rows []Row) ([]byte, error) {
	for i := range rows {
		data, err := cbor.Marshal(rows[i])
		if err != nil {
			return nil, fmt.Errorf("accounting row: %w", err)
		}
		raw = append(raw, data...)
	}
	return raw, nil
}

// Reader unpacks pages. It is safe for concurrent use.
type Reader struct{ decoder *zstd.Decoder }

// NewReader returns a reader. The caller must close it.
func NewReader() (*Reader, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	if err != nil {
		return nil, fmt.Errorf("accounting: %w", err)
	}
	return &Reader{decoder}, nil
}

// Close releases the reader's goroutines and memory. The reader must not be used after it.
func (r *Reader) Close() { r.decoder.Close() }

// Unpack unpacks a page's text and calls visit with each row, in order. visit may retain the
// row. Unpack stops at the first error; visit has then been called with the rows before it.
func (r *Reader) Unpack(text string, visit func(*Row)) error {
	encoded, ok := strings.CutPrefix(text, formatPrefix)
	if !ok {
		return errors.New("accounting page: unknown format")
	}
	packed, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return fmt.Errorf("accounting page: %w", err)
	}
	raw, err := r.decoder.DecodeAll(packed, nil)
	if err != nil {
		return fmt.Errorf("accounting page: %w", err)
	}
	for len(raw) > 0 {
		var row Row
		if raw, err = cbor.UnmarshalFirst(raw, &row); err != nil {
			return fmt.Errorf("accounting page: %w", err)
		}
		visit(&row)
	}
	return nil
}
