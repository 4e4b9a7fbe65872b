package rollout

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"maps"
	"math"
	"slices"
	"time"

	"yokeroute/internal/htmlreport"
	"yokeroute/internal/millis"
	"yokeroute/logic/rollout"
)

//go:embed report.html
var reportTemplate string

// htmlView holds the data of the template report.html, which refers to the fields by name.
type htmlView struct {
	*Status
	Style         template.CSS
	ObservedAtUTC string
	Charts        []htmlChart
	Journal       []string
}

type htmlChart struct {
	Title   string
	Caption string
	SVG     template.HTML
}

// HTMLReport returns a self-contained HTML page on a rollout: its status, its journal, and charts that compare old and
// new gatherers.
func HTMLReport(folder string) ([]byte, error) {
	s, err := ReadStatus(folder)
	if err != nil {
		return nil, err
	}
	samples, err := History(folder)
	if err != nil {
		return nil, err
	}
	journal, err := JournalLines(folder)
	if err != nil {
		return nil, err
	}
	parsed, err := template.New("rollout").Parse(reportTemplate)
	if err != nil {
		return nil, err
	}
	var page bytes.Buffer
	err = parsed.Execute(&page, htmlView{
		Status:        s,
		Style:         htmlreport.Style,
		ObservedAtUTC: time.UnixMilli(int64(s.ObservedAt)).UTC().Format(time.RFC3339),
		Charts:        charts(samples),
		Journal:       journal,
	})
	return page.Bytes(), err
}

// charts returns the chart of gatherers and those of each class, or nil if there are no samples.
func charts(samples []Sample) (result []htmlChart) {
	if len(samples) == 0 {
		return nil
	}
	marks := stageMarks(samples)
	result = append(result, gathererChart(samples, marks))
	classes := map[string]bool{}
	for i := range samples {
		for class := range samples[i].Classes {
			classes[class] = true
		}
	}
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		value := classChart(samples, marks, class, func(s VariantSums) float64 { return s.EarnedValue })
		rejected := classChart(samples, marks, class, func(s VariantSums) float64 { return s.Rejected })
		result = append(result,
			htmlChart{
				Title:   "Value, index " + class,
				Caption: "What lookups earned of what they could, old and new side by side.",
				SVG:     value.SVG(),
			},
			htmlChart{
				Title:   "Nacked, index " + class,
				Caption: "Share of lookups that were nacked.",
				SVG:     rejected.SVG(),
			})
	}
	return result
}

// minutesSinceStart returns the time from the first sample to sample i, in minutes.
func minutesSinceStart(samples []Sample, i int) float64 {
	return (samples[i].ObservedAt - samples[0].ObservedAt) / millis.Of(time.Minute)
}

// stageMarks returns the marks of the times at which each stage, and a rollback, began.
func stageMarks(samples []Sample) (marks []htmlreport.Mark) {
	lastPosition := ""
	for i, s := range samples {
		name := s.Stage
		switch s.Phase {
		case rollout.Updating:
		case rollout.RollingBack:
			name = "back"
		default:
			continue
		}
		if position := fmt.Sprintf("%s %s", s.Stage, s.Phase); position != lastPosition {
			marks = append(marks, htmlreport.Mark{X: minutesSinceStart(samples, i), Name: name})
			lastPosition = position
		}
	}
	return marks
}

// gathererChart returns a chart of the number of gatherers that served as old, as new, or were unreachable.
func gathererChart(samples []Sample, marks []htmlreport.Mark) htmlChart {
	chart := htmlreport.Chart{X: "minutes", Y: "gatherers", Marks: marks,
		Lines: []htmlreport.Line{{Name: "old"}, {Name: "new"}, {Name: "not reached"}}}
	for i, s := range samples {
		for line, n := range []int{s.Old, s.New, s.Unreachable} {
			point := htmlreport.Point{X: minutesSinceStart(samples, i), Y: float64(n)}
			chart.Lines[line].Points = append(chart.Lines[line].Points, point)
		}
	}
	return htmlChart{Title: "Gatherers", Caption: "How many served as what, at each look.", SVG: chart.SVG()}
}

// classChart returns a chart of a count of a class as a share of its queries, for old and new gatherers.
func classChart(
	samples []Sample, marks []htmlreport.Mark, class string, count func(s VariantSums) float64,
) htmlreport.Chart {
	chart := htmlreport.Chart{X: "minutes", Y: "share of lookups", High: 1, Marks: marks,
		Lines: []htmlreport.Line{{Name: "old"}, {Name: "new"}}}
	for i, s := range samples {
		for side, sums := range s.Classes[class] {
			share := math.NaN() // leaves a gap in the line
			if sums.Queries > 0 {
				share = count(sums) / sums.Queries
			}
			point := htmlreport.Point{X: minutesSinceStart(samples, i), Y: share}
			chart.Lines[side].Points = append(chart.Lines[side].Points, point)
		}
	}
	return chart
}
