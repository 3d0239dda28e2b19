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

// table prints aligned columns, separated by tabs in its lines. It keeps the first error of
// writing, which flush returns.
type table struct {
	columns *tabwriter.Writer
	err     error
}

// newTable returns an empty table; flags are tabwriter's.
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

// listing is the JSON form of a listing of a Slurm command. Its fields are in the order of
// the recorded form.
type listing[T any] struct {
	Errors []string `json:"errors"` // always empty: an error is printed instead of a listing
	Jobs   []T      `json:"jobs"`
}

// writeListing prints jobs, none as an empty list.
func writeListing[T any](w io.Writer, jobs []T) error {
	if jobs == nil {
		jobs = []T{}
	}
	return json.NewEncoder(w).Encode(listing[T]{Errors: []string{}, Jobs: jobs})
}

// writeOutput calls write for standard output, or for a file that is written completely or
// not at all.
func writeOutput(cmd *cobra.Command, file string, write func(io.Writer) error) error {
	if file == "" {
		return write(cmd.OutOrStdout())
	}
	f, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return fmt.Errorf("--output: %w", err)
	}
	defer func() { _ = os.Remove(f.Name()) }() // after the rename there is nothing to remove
	err = write(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), file)
	}
	return err
}
