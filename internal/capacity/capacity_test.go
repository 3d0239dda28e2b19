package capacity

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestFit(t *testing.T) {
	straight := Fit([]int{1, 2, 4, 8}, []float64{13, 16, 22, 34})
	if straight.Fixed != 10 || straight.Slope != 3 || straight.Error != 0 || straight.SlopeRatio != 1 {
		t.Errorf("10 + 3n: %+v", straight)
	}
	if square := Fit([]int{1, 2, 4, 8}, []float64{1, 4, 16, 64}); square.Error < 0.05 || math.Abs(square.SlopeRatio-4) > 1e-9 {
		t.Errorf("n²: %+v", square)
	}
}

const header = "| slope | of | sizes | fixed | slope | error | kind |\n|---|---|---|---|---|---|---|\n"

func TestParsePage(t *testing.T) {
	rows, err := ParsePage(header + "| `a.x` | bytes, a task | 1 to 8 | 1,024 | 2.5 | 0 % | exact |\n| `a.y` | ns | 1 to 8 | 0 | -1 | 3 % | scatters |\n")
	if err != nil || len(rows) != 2 || rows["a.x"] != (Row{"a.x", 1024, 2.5, true}) || rows["a.y"] != (Row{"a.y", 0, -1, false}) {
		t.Errorf("%+v, %v", rows, err)
	}
	for _, bad := range []string{
		"| `a.x` | b | 1 | ? | 1 | 0 | exact |", "| `a.x` | b | 1 | 1 | 2 to 3 | 0 | exact |", "| `a.x` | b | 1 | 1 | 1 | 0 | about |",
		"| `a.x` | b | 1 | 1 | 1 | 0 | exact |\n| `a.x` | b | 1 | 1 | 1 | 0 | exact |",
	} {
		if _, err := ParsePage(header + bad); err == nil || !strings.Contains(err.Error(), "line ") || !strings.Contains(err.Error(), "a.x") {
			t.Errorf("%s: %v", bad, err)
		}
	}
}

// A slope or fixed part more than a tenth above or below the page's figure fails.
func TestCheckLine(t *testing.T) {
	row := Row{"a.x", 100, 10, true}
	for _, c := range []struct {
		fixed, slope, slack float64
		fails               bool
	}{
		{100, 10, 0, false},
		{109, 10.9, 0, false},
		{91, 9.1, 0, false},
		{100, 11.1, 0, true},
		{111, 10, 0, true},
		{100, 8.9, 0, true},
		{89, 10, 0, true},
		{111, 10, 15, false},
		{116, 10, 15, true},
		{100, 11.1, 15, true},
	} {
		if err := checkLine(row, Line{Fixed: c.fixed, Slope: c.slope}, c.slack); (err != nil) != c.fails {
			t.Errorf("%+v: %v", c, err)
		}
	}
}

func TestPageAndSeriesNamesMatch(t *testing.T) {
	rows := map[string]Row{"a.x": {Name: "a.x", Exact: true}, "b.x": {Name: "b.x", Exact: true}}
	for _, c := range []struct {
		series []Series
		fails  bool
	}{
		{[]Series{{Name: "a.x"}}, false},
		{[]Series{{Name: "a.x", Noisy: true}}, true},
		{[]Series{{Name: "a.x"}, {Name: "a.y"}}, true},
		{[]Series{{Name: "a.z"}}, true},
	} {
		if err := checkNames(rows, c.series); (err != nil) != c.fails {
			t.Errorf("%+v: %v", c.series, err)
		}
	}
	delete(rows, "a.x")
	rows["a.y"] = Row{Name: "a.y", Exact: true}
	rows["a.x"] = Row{Name: "a.x", Exact: true}
	if checkNames(rows, []Series{{Name: "a.x"}}) == nil {
		t.Error("a row without a series passes")
	}
}

// Each row is measured by a test of its package.
func TestEachRowIsMeasured(t *testing.T) {
	rows, err := ReadPage()
	if err != nil || len(rows) == 0 {
		t.Fatalf("%d rows, %v", len(rows), err)
	}
	for name := range rows {
		part, _, _ := strings.Cut(name, ".")
		text, err := os.ReadFile(filepath.Join("..", part, "capacity_test.go"))
		if err != nil || !strings.Contains(string(text), `"`+name+`"`) {
			t.Errorf("%s is measured by no test: %v", name, err)
		}
	}
}
