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
	"yokeroute/logic/rollout"
)

//go:embed report.html
var reportTemplate string

// htmlView is what the template takes.
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

// HTMLReport returns a page on a rollout that stands alone: where it is, what was done, and what old and new earned.
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

// charts are those of all classes, none where there are no samples.
func charts(samples []Sample) (all []htmlChart) {
	if len(samples) == 0 {
		return nil
	}
	marks := stageMarks(samples)
	all = append(all, gathererChart(samples, marks))
	classes := map[string]bool{}
	for i := range samples {
		for class := range samples[i].Classes {
			classes[class] = true
		}
	}
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		value := classChart(samples, marks, class, func(s VariantSums) float64 { return s.EarnedValue })
		rejected := classChart(samples, marks, class, func(s VariantSums) float64 { return s.Rejected })
		all = append(all,
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
	return all
}

// minutesInto is the time of a sample since the first.
func minutesInto(samples []Sample, i int) float64 {
	return (samples[i].ObservedAt - samples[0].ObservedAt) / milliseconds(time.Minute)
}

// stageMarks mark where each stage, and a rollback, began.
func stageMarks(samples []Sample) (marks []htmlreport.Mark) {
	last := ""
	for i, s := range samples {
		name := s.Stage
		switch s.Phase {
		case rollout.Updating:
		case rollout.RollingBack:
			name = "back"
		default:
			continue
		}
		if now := fmt.Sprintf("%s %s", s.Stage, s.Phase); now != last {
			marks = append(marks, htmlreport.Mark{X: minutesInto(samples, i), Name: name})
			last = now
		}
	}
	return marks
}

// gathererChart shows how many gatherers served as what.
func gathererChart(samples []Sample, marks []htmlreport.Mark) htmlChart {
	chart := htmlreport.Chart{X: "minutes", Y: "gatherers", Marks: marks,
		Lines: []htmlreport.Line{{Name: "old"}, {Name: "new"}, {Name: "not reached"}}}
	for i, s := range samples {
		for line, n := range []int{s.Old, s.New, s.Unreachable} {
			point := htmlreport.Point{X: minutesInto(samples, i), Y: float64(n)}
			chart.Lines[line].Points = append(chart.Lines[line].Points, point)
		}
	}
	return htmlChart{Title: "Gatherers", Caption: "How many served as what, at each look.", SVG: chart.SVG()}
}

// classChart shows a count of a class as a share of its queries, old and new.
func classChart(
	samples []Sample, marks []htmlreport.Mark, class string, count func(s VariantSums) float64,
) htmlreport.Chart {
	chart := htmlreport.Chart{X: "minutes", Y: "share of lookups", High: 1, Marks: marks,
		Lines: []htmlreport.Line{{Name: "old"}, {Name: "new"}}}
	for i, s := range samples {
		for side, sums := range s.Classes[class] {
			share := math.NaN() // leaves a gap
			if sums.Queries > 0 {
				share = count(sums) / sums.Queries
			}
			point := htmlreport.Point{X: minutesInto(samples, i), Y: share}
			chart.Lines[side].Points = append(chart.Lines[side].Points, point)
		}
	}
	return chart
}
