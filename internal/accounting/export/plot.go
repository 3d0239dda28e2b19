package export

import (
	"fmt"
	"io"
	"time"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"

	"github.com/wallrack/wallrack/internal/slurm"
)

// plotPoints is the number of points of each curve.
const plotPoints = 480

// Plot writes an HTML page with plots of the waiting jobs, the running tasks and the accumulated
// cost between two times. The page loads its chart library from the network.
func Plot(w io.Writer, title string, records []*slurm.Record, from, to time.Time, zone *time.Location) error {
	points := Series(records, from, to, plotPoints)
	times := make([]string, len(points))
	for i, p := range points {
		times[i] = p.At.In(zone).Format("15:04")
	}
	page := components.NewPage()
	page.PageTitle = title
	for _, curve := range []struct {
		name  string
		value func(Point) any
	}{
		{"jobs waiting", func(p Point) any { return p.Waiting }},
		{"tasks running", func(p Point) any { return p.Running }},
		{"cost so far", func(p Point) any { return p.Cost }},
	} {
		data := make([]opts.LineData, len(points))
		for i, p := range points {
			data[i].Value = curve.value(p)
		}
		chart := charts.NewLine()
		chart.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: curve.name, Subtitle: title}), charts.WithInitializationOpts(opts.Initialization{Height: "280px", Width: "1100px"}))
		chart.SetXAxis(times).AddSeries(curve.name, data, charts.WithLineChartOpts(opts.LineChart{Step: "end"}))
		page.AddCharts(chart)
	}
	if err := page.Render(w); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
