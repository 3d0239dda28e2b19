package scale

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
)

// Print writes the result as text with several tables. It returns the errors of w.
func (r *Result) Print(w io.Writer) error {
	var text strings.Builder
	r.printPhases(&text)
	r.printControllers(&text)
	r.printTotals(&text)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return err
	}
	return table.Flush()
}

// printPhases prints the size of the run, its phases and its recoveries.
func (r *Result) printPhases(text *strings.Builder) {
	fmt.Fprintf(text, "%d workers, %d controllers, %d teams, %d tasks running; load of the host %.1f before, %.1f after, %d CPUs\n\n", r.Size.Workers, r.Size.Controllers,
		r.Size.Teams, r.Size.Running, r.Host.LoadBefore, r.Host.LoadAfter, r.Host.CPUs)
	fmt.Fprintln(text, "PHASE\tS\tSTARTS/S ASKED\tHELD\tLOWEST 10 S\tNO START S\tURGENT\tIN TIME\tP50 S\tP99 S\tACCEPTED P99 S\tWRITES/START\tBUSIEST CPU\tSTOPPED\tREFUSED\tUNANSWERED")
	for _, p := range r.Phases {
		fmt.Fprintf(text, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%d\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\n", p.Name, p.Seconds, p.StartsRequested, p.StartsAchieved, p.StartsLow10, p.GapS,
			p.Urgent, p.UrgentShare, p.UrgentP50S, p.UrgentP99S, p.AcceptP99S, p.Writes, p.BusiestCPU, p.Stopped, p.Refused, p.Unanswered)
	}
	fmt.Fprintln(text, "\nEVENT\tWORKERS\tTASKS\tRESTORED\tP50 S\tP99 S\tMAX S")
	for _, e := range r.Recoveries {
		fmt.Fprintf(text, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\n", e.Event, e.Workers, e.Tasks, e.Restored, e.P50S, e.P99S, e.MaxS)
	}
}

// printControllers prints the resource usage of the controllers.
func (r *Result) printControllers(text *strings.Builder) {
	fmt.Fprintln(text, "\nCONTROLLER\tCPU\tPEAK\tMB\tCONNECTIONS\tREADS/S\tWATCHES/S\tTXNS/S\tWRITES/S\tREFUSED\tREPORT KB/S")
	for _, c := range r.Controllers {
		fmt.Fprintf(text, "%s\t%.2f\t%.2f\t%.0f\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%.1f\n", c.Name, c.CPUMean, c.CPUPeak, c.MemoryMB, c.Connections, c.StateReads, c.StateWatches,
			c.StateTxns, c.StateWrites, c.StateRefused, c.ReportBytes/1024)
	}
}

// printTotals prints how many tasks completed, and the rule violations.
func (r *Result) printTotals(text *strings.Builder) {
	least := slices.MinFunc(r.Teams, func(a, b TeamResult) int { return a.Completed*max(1, b.Requested) - b.Completed*max(1, a.Requested) })
	fmt.Fprintf(text, "\narrays' tasks: %d of %d completed, %d left\tteam served least: %s, %d of %d\n", r.Tasks.Completed, r.Tasks.Asked, r.Tasks.Left, least.Name, least.Completed, least.Requested)
	fmt.Fprintf(text, "hollow workers, services and users together: %.0f s of processor, %.0f MB\n", r.Host.CPUSeconds, r.Host.MemoryMB)
	fmt.Fprintf(text, "rules: ran twice %d, starts above a limit %d, called over too early %d, accepted jobs unknown %d\n", r.Rules.RanTwice, r.Rules.OverLimit, r.Rules.NotDone, r.Rules.Unknown)
}

// plotSeries holds the series of a chart by name.
type plotSeries map[string]func(Sample) any

// Plot writes an HTML page with charts of the samples. The page loads its chart library from the
// network.
func (r *Result) Plot(w io.Writer) error {
	page := components.NewPage()
	page.PageTitle = "wallrack scale"
	all := func(Sample) bool { return true }
	r.addChart(page, "starts a second", plotSeries{"starts": func(s Sample) any { return s.Starts }}, all)
	r.addChart(page, "tasks", plotSeries{"running": func(s Sample) any { return s.Running }, "of arrays, uncompleted": func(s Sample) any { return s.Unfinished }}, all)
	shares := plotSeries{}
	for i, c := range r.Controllers {
		shares[c.Name] = func(s Sample) any { return s.Controllers[i] }
	}
	r.addChart(page, "controllers, shares of a core", shares, func(s Sample) bool { return s.Controllers != nil })
	if err := page.Render(w); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

// addChart adds a line chart of the samples for which include returns true.
func (r *Result) addChart(page *components.Page, title string, series plotSeries, include func(Sample) bool) {
	chart := charts.NewLine()
	chart.SetGlobalOptions(charts.WithTitleOpts(opts.Title{Title: title}), charts.WithInitializationOpts(opts.Initialization{Height: "280px", Width: "1100px"}),
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(true), Top: "25"}))
	var at []string
	data := map[string][]opts.LineData{}
	for _, sample := range r.Samples {
		if !include(sample) {
			continue
		}
		at = append(at, fmt.Sprintf("%.0f s, %s", sample.AtS, sample.Phase))
		for name, value := range series {
			data[name] = append(data[name], opts.LineData{Value: value(sample)})
		}
	}
	chart.SetXAxis(at)
	for name := range series {
		chart.AddSeries(name, data[name])
	}
	page.AddCharts(chart)
}
