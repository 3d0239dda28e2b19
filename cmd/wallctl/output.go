package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// table prints aligned columns, which are separated by tabs in the text passed to printf. It stores
// the first error of writing, which flush returns.
type table struct {
	columns *tabwriter.Writer
	err     error
}

// newTable returns an empty table; flags are those of tabwriter.NewWriter.
func newTable(w io.Writer, flags uint) *table {
	return &table{columns: tabwriter.NewWriter(w, 0, 0, 2, ' ', flags)}
}

func (t *table) printf(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.columns, format, args...)
	}
}

func (t *table) flush() error {
	if t.err != nil {
		return t.err
	}
	return t.columns.Flush()
}

// listing is the JSON output of a Slurm command that lists jobs. The order of the fields is that of
// the recorded output.
type listing[T any] struct {
	Errors []string `json:"errors"` // always empty: an error is printed instead of a listing
	Jobs   []T      `json:"jobs"`
}

// writeListing prints jobs as JSON. It prints an empty list, not null, if there are none.
func writeListing[T any](w io.Writer, jobs []T) error {
	if jobs == nil {
		jobs = []T{}
	}
	return json.NewEncoder(w).Encode(listing[T]{Errors: []string{}, Jobs: jobs})
}

// writeOutput calls write with standard output if file is "". Otherwise it calls write with a
// temporary file in the same directory, which it renames to file after a complete write.
func writeOutput(cmd *cobra.Command, file string, write func(io.Writer) error) error {
	if file == "" {
		return write(cmd.OutOrStdout())
	}
	f, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return fmt.Errorf("--output: %w", err)
	}
	defer func() { _ = os.Remove(f.Name()) }() // fails after the rename, when there is nothing to remove
	err = write(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), file)
	}
	return err
}
