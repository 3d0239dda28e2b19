package export

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"

	"github.com/parquet-go/parquet-go"
)

// Write writes rows in a format: "csv", "json" or "parquet". Any other format is an error. T must be
// a struct, and the json and parquet tags of each of its fields must have the same name.
func Write[T any](w io.Writer, format string, rows []T) error {
	switch format {
	case "json":
		return json.NewEncoder(w).Encode(rows)
	case "parquet":
		return writeParquet(w, rows)
	case "csv":
		return writeCSV(w, rows)
	}
	return fmt.Errorf("format: %.20q: csv, json or parquet is needed", format)
}

func writeParquet[T any](w io.Writer, rows []T) error {
	writer := parquet.NewGenericWriter[T](w, parquet.Compression(&parquet.Zstd))
	if _, err := writer.Write(rows); err != nil {
		return fmt.Errorf("parquet: %w", err)
	}
	if err := writer.Close(); err != nil {
		return fmt.Errorf("parquet: %w", err)
	}
	return nil
}

// writeCSV takes the columns and their order from the Parquet schema and the values from the
// JSON encoding, so that all formats contain the same data.
func writeCSV[T any](w io.Writer, rows []T) error {
	writer := csv.NewWriter(w)
	columns := parquet.SchemaOf(new(T)).Columns()
	header := make([]string, len(columns))
	for i, path := range columns {
		header[i] = path[0]
	}
	if err := writer.Write(header); err != nil {
		return fmt.Errorf("csv: %w", err)
	}
	for i := range rows {
		cells, err := csvCells(header, rows[i])
		if err != nil {
			return fmt.Errorf("csv: %w", err)
		}
		if err := writer.Write(cells); err != nil {
			return fmt.Errorf("csv: %w", err)
		}
	}
	writer.Flush()
	return writer.Error()
}

func csvCells[T any](header []string, row T) ([]string, error) {
	data, err := json.Marshal(row)
	if err != nil {
		return nil, err
	}
	var values map[string]any // a map, because T may be any struct type
	if err := json.Unmarshal(data, &values); err != nil {
		return nil, err
	}
	cells := make([]string, len(header))
	for i, name := range header {
		if number, ok := values[name].(float64); ok {
			cells[i] = formatNumber(number)
		} else {
			cells[i] = fmt.Sprint(values[name])
		}
	}
	return cells, nil
}

// formatNumber formats a number; whole numbers have no exponent.
func formatNumber(f float64) string {
	if f == float64(int64(f)) {
		return fmt.Sprintf("%d", int64(f))
	}
	return fmt.Sprintf("%g", f)
}
