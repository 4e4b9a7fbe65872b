package scale

import (
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/testbed/processtest"
)

func TestMain(m *testing.M) {
	status := m.Run()
	processtest.Unbuild()
	os.Exit(status)
}

// TestFit: the slope of a line is found, its spread is nothing, and a size that was run is not extrapolated.
func TestFit(t *testing.T) {
	f := newFigure("f", "server", "ms", 400, 50)
	for _, size := range []float64{100, 200, 300} {
		f.add(size, 3+size/4)
	}
	f.fit()
	if math.Abs(f.Slope-0.25) > 1e-9 || f.Spread > 1e-9 || math.Abs(f.AtDesign-103) > 1e-9 || !f.Extrapolated || math.Abs(f.Factor()-2.06) > 1e-9 {
		t.Errorf("%+v", f)
	}
	f.add(400, 90)
	f.fit()
	if f.AtDesign != 90 || f.Extrapolated || f.Spread == 0 {
		t.Errorf("%+v", f)
	}
}

// TestFitOfNothing: figures without measurements, and of one size, have no slope.
func TestFitOfNothing(t *testing.T) {
	f := newFigure("f", "server", "ms", 400, 0)
	f.fit()
	if f.Slope != 0 || f.AtDesign != 0 || f.Factor() != 0 {
		t.Errorf("%+v", f)
	}
	f.add(100, 1)
	f.add(100, 3)
	f.fit()
	if f.Slope != 0 || f.AtDesign != 3 || !f.Extrapolated {
		t.Errorf("%+v", f)
	}
}

func quiet(string, ...any) {}

// measured wants at least one measurement of each figure, and none that is no number.
func measured(t *testing.T, figures []Figure, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range figures {
		if len(f.Samples) == 0 {
			t.Errorf("%s was not measured", f.Name)
		}
		for _, s := range f.Samples {
			if math.IsNaN(s.Value) || math.IsInf(s.Value, 0) {
				t.Errorf("%s is %v at %v", f.Name, s.Value, s.Size)
			}
		}
	}
}

// TestShort is the short form of all measurements.
func TestShort(t *testing.T) {
	t.Run("decisions", func(t *testing.T) {
		figures, err := DecisionFigures(t.Context(), DecisionOptions{Replicas: 3, Rate: 20, Seconds: 0.5, Seed: 1}, []int{20, 60}, []int{8}, quiet)
		measured(t, figures, err)
	})
	t.Run("lists", func(t *testing.T) {
		figures, err := ListFigures(t.Context(), []int{24, 48}, quiet)
		measured(t, figures, err)
	})
	t.Run("connections", func(t *testing.T) {
		figures, err := ConnectionFigures(t.Context(), []int{5, 10}, quiet)
		measured(t, figures, err)
	})
	t.Run("reports", func(t *testing.T) {
		figures, err := ReportFigures(t.Context(), []int{5, 10}, quiet)
		measured(t, figures, err)
	})
	t.Run("policies", func(t *testing.T) {
		binary, err := processtest.Build("yokeroute")
		if err != nil {
			t.Fatal(err)
		}
		terms := PolicyConfig{Servers: 1, Changes: 1, IdleTime: 100 * time.Millisecond, Fault: NoFault, Binary: binary}
		figures, err := PolicyFigures(t.Context(), terms, []int{3}, func() (string, error) { return t.TempDir(), nil }, quiet)
		measured(t, figures, err)
	})
}

// TestBadSizes: what can't be measured is told with its bound.
func TestBadSizes(t *testing.T) {
	for want, measure := range map[string]func() error{
		"0 servers, at least 12": func() error { _, err := MeasureLists(t.Context(), 0); return err },
		"connections: 0":         func() error { _, err := MeasureConnections(t.Context(), 0); return err },
		"reports: 0 gatherers":   func() error { _, err := MeasureReports(t.Context(), 0); return err },
		"0 parts": func() error {
			_, err := MeasureDecisions(t.Context(), DecisionOptions{Servers: 1, Replicas: 1, Rate: 1, Seconds: 1})
			return err
		},
		"0 stewards": func() error { _, err := MeasurePolicies(t.Context(), PolicyConfig{Gatherers: 1}); return err },
	} {
		if err := measure(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}
