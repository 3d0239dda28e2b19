// Package export writes accounting as CSV, JSON and Parquet for other programs, and as
// an HTML page with plots for people.
package export

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
	"github.com/parquet-go/parquet-go"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/slurm"
)

// Line is an exported row: a job, or an attempt of one of its tasks. Times are
// milliseconds since 1970, 0 if not known.
type Line struct {
	Kind     string  `json:"kind" parquet:"kind,dict"`
	UID      string  `json:"uid" parquet:"uid"`
	Number   uint64  `json:"number" parquet:"number"`
	Task     int     `json:"task" parquet:"task"`
	Attempt  uint64  `json:"attempt" parquet:"attempt"`
	State    string  `json:"state" parquet:"state,dict"`
	Exit     int     `json:"exit_code" parquet:"exit_code"`
	Name     string  `json:"name" parquet:"name,dict"`
	User     string  `json:"user" parquet:"user,dict"`
	Account  string  `json:"account" parquet:"account,dict"`
	Class    string  `json:"partition" parquet:"partition,dict"`
	Priority string  `json:"qos" parquet:"qos,dict"`
	Tasks    int     `json:"tasks" parquet:"tasks"`
	Done     int     `json:"done" parquet:"done"`
	Submit   int64   `json:"submit_ms" parquet:"submit_ms,timestamp"`
	Eligible int64   `json:"eligible_ms" parquet:"eligible_ms,timestamp"`
	Start    int64   `json:"start_ms" parquet:"start_ms,timestamp"`
	End      int64   `json:"end_ms" parquet:"end_ms,timestamp"`
	Machine  string  `json:"machine" parquet:"machine,dict"`
	CPUs     float64 `json:"cpus" parquet:"cpus"`
	GPUs     float64 `json:"gpus" parquet:"gpus"`
	MemoryGB float64 `json:"memory_gb" parquet:"memory_gb"`
	CPUSec   float64 `json:"cpu_seconds" parquet:"cpu_seconds"`
	GBSec    float64 `json:"memory_gb_seconds" parquet:"memory_gb_seconds"`
	Useful   bool    `json:"useful" parquet:"useful"`
	Cost     float64 `json:"cost" parquet:"cost"`
}

func line(j, r *accounting.Row) Line {
	l := Line{
		Kind: "job", UID: r.UID, Number: r.Number, Task: int(r.Task), Attempt: r.Attempt, State: r.State, Exit: int(r.Exit), Name: j.Name, User: j.User,
		Account: j.Team, Class: j.Class, Priority: j.Priority, Tasks: int(j.Tasks), Done: int(j.Done), Submit: j.Submit, Eligible: j.Eligible,
		Start: r.Start, End: r.End, Machine: r.Machine, CPUs: float64(r.CPUs), GPUs: float64(r.GPUs), MemoryGB: float64(r.MemoryGB),
	}
	if r.Kind == accounting.RowAttempt {
		l.Kind, l.Useful, l.Cost = "attempt", r.Useful, r.Cost()
		l.CPUSec, l.GBSec = r.Seconds()*l.CPUs, r.Seconds()*l.MemoryGB
	}
	return l
}

// Lines makes lines of records: each job, then its attempts.
func Lines(records []*slurm.Record) []Line {
	var out []Line
	for _, r := range records {
		out = append(out, line(&r.Job, &r.Job))
		for i := range r.Attempts {
			out = append(out, line(&r.Job, &r.Attempts[i]))
		}
	}
	return out
}

// Write writes lines, or sums, as csv, json or parquet.
func Write[T any](w io.Writer, format string, rows []T) error {
	switch format {
	case "json":
		return json.NewEncoder(w).Encode(rows)
	case "parquet":
		pw := parquet.NewGenericWriter[T](w, parquet.Compression(&parquet.Zstd))
		if _, err := pw.Write(rows); err != nil {
			return fmt.Errorf("parquet: %w", err)
		}
		if err := pw.Close(); err != nil {
			return fmt.Errorf("parquet: %w", err)
		}
		return nil
	case "csv":
		return writeCSV(w, rows)
	}
	return fmt.Errorf("format: %.20q: csv, json or parquet is needed", format)
}

// writeCSV takes the columns' names and order from the JSON form.
func writeCSV[T any](w io.Writer, rows []T) error {
	cw := csv.NewWriter(w)
	names := parquet.SchemaOf(new(T)).Columns()
	head := make([]string, len(names))
	for i, n := range names {
		head[i] = n[0]
	}
	if err := cw.Write(head); err != nil {
		return fmt.Errorf("csv: %w", err)
	}
	for i := range rows {
		data, err := json.Marshal(rows[i])
		if err != nil {
			return fmt.Errorf("csv: %w", err)
		}
		var values map[string]any
		if err := json.Unmarshal(data, &values); err != nil {
			return fmt.Errorf("csv: %w", err)
		}
		cells := make([]string, len(head))
		for k, h := range head {
			if f, ok := values[h].(float64); ok {
				cells[k] = formatNumber(f)
			} else {
				cells[k] = fmt.Sprint(values[h])
			}
		}
		if err := cw.Write(cells); err != nil {
			return fmt.Errorf("csv: %w", err)
		}
	}
	cw.Flush()
	return cw.Error()
}

func formatNumber(f float64) string {
	if f == float64(int64(f)) {
		return fmt.Sprintf("%d", int64(f))
	}
	return fmt.Sprintf("%g", f)
}

// Point is the state of work at a time.
type Point struct {
	At      time.Time
	Waiting int     // jobs that could start and had not
	Running int     // tasks
	Cost    float64 // spent since the beginning
}

// Series samples a stretch of time at so many points.
func Series(records []*slurm.Record, from, to time.Time, points int) []Point {
	type change struct {
		at        int64
		wait, run int
		rate      float64 // of cost, per ms
	}
	var changes []change
	end := to.UnixMilli()
	for _, r := range records {
		j := &r.Job
		if j.Eligible > 0 {
			until := j.Start
			if until == 0 {
				if until = j.End; until == 0 {
					until = end
				}
			}
			changes = append(changes, change{at: j.Eligible, wait: 1}, change{at: max(j.Eligible, until), wait: -1})
		}
		for i := range r.Attempts {
			a := &r.Attempts[i]
			if a.Start == 0 {
				continue
			}
			until := a.End
			if until == 0 {
				until = end
			}
			rate := float64(a.Price) / 3600 / 1000
			changes = append(changes, change{at: a.Start, run: 1, rate: rate}, change{at: max(a.Start, until), run: -1, rate: -rate})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return int(a.at - b.at) })
	out := make([]Point, 0, points)
	var now Point
	rate, at, k := 0.0, from.UnixMilli(), 0
	for n := range points {
		t := from.UnixMilli() + (end-from.UnixMilli())*int64(n)/int64(max(1, points-1))
		for ; k < len(changes) && changes[k].at <= t; k++ {
			c := changes[k]
			if c.at > at {
				now.Cost += rate * float64(c.at-at)
				at = c.at
			}
			now.Waiting, now.Running, rate = now.Waiting+c.wait, now.Running+c.run, rate+c.rate
		}
		now.Cost += rate * float64(max(0, t-at))
		at = max(at, t)
		now.At = time.UnixMilli(t)
		out = append(out, now)
	}
	return out
}

// plotPoints is how finely a plot is drawn.
const plotPoints = 480

// Plot writes a page with the queue, the running tasks and the cost of a stretch
// of time. The page loads its drawing library from the network.
func Plot(w io.Writer, title string, records []*slurm.Record, from, to time.Time, zone *time.Location) error {
	points := Series(records, from, to, plotPoints)
	var at []string
	for _, p := range points {
		at = append(at, p.At.In(zone).Format("15:04"))
	}
	page := components.NewPage()
	page.PageTitle = title
	for _, c := range []struct {
		name string
		of   func(Point) any
	}{
		{"jobs waiting", func(p Point) any { return p.Waiting }}, {"tasks running", func(p Point) any { return p.Running }}, {"cost so far", func(p Point) any { return p.Cost }},
	} {
		chart := charts.NewLine()
		chart.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: c.name, Subtitle: title}), charts.WithInitializationOpts(opts.Initialization{Height: "280px", Width: "1100px"}))
		data := make([]opts.LineData, len(points))
		for i, p := range points {
			data[i].Value = c.of(p)
		}
		chart.SetXAxis(at).AddSeries(c.name, data, charts.WithLineChartOpts(opts.LineChart{Step: "end"}))
		page.AddCharts(chart)
	}
	if err := page.Render(w); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
