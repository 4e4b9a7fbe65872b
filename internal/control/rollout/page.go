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
)

//go:embed page.html
var pageText string

// pageView is a rollout as its page shows it.
type pageView struct {
	*Status
	Style  template.CSS
	When   string
	Charts []pageChart
	Log    []string
}

type pageChart struct {
	Title, Words string
	SVG          template.HTML
}

// Page makes one page of a rollout that stands alone: where it is, what it did, what old and new earned.
func Page(folder string) ([]byte, error) {
	s, err := ReadStatus(folder)
	if err != nil {
		return nil, err
	}
	moments, err := History(folder)
	if err != nil {
		return nil, err
	}
	v := pageView{Status: s, Style: htmlreport.Style, When: time.UnixMilli(int64(s.At)).UTC().Format(time.RFC3339)}
	if v.Log, err = Log(folder); err != nil {
		return nil, err
	}
	if len(moments) > 0 {
		v.Charts = charts(moments)
	}
	t, err := template.New("rollout").Parse(pageText)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err = t.Execute(&out, v)
	return out.Bytes(), err
}

func charts(moments []Moment) (all []pageChart) {
	minutes := func(m *Moment) float64 { return (m.At - moments[0].At) / 60_000 }
	var marks []htmlreport.Mark
	stage := ""
	for i := range moments {
		m := &moments[i]
		if now := fmt.Sprintf("%s %s", m.Stage, m.Phase); now != stage && (m.Phase == "changing" || m.Phase == "going back") {
			name := m.Stage
			if m.Phase == "going back" {
				name = "back"
			}
			marks = append(marks, htmlreport.Mark{X: minutes(m), Name: name})
			stage = now
		}
	}
	count := htmlreport.Chart{X: "minutes", Y: "gatherers", Marks: marks, Lines: []htmlreport.Line{{Name: "old"}, {Name: "new"}, {Name: "not reached"}}}
	indexes := map[string]bool{}
	for i := range moments {
		m := &moments[i]
		for l, n := range []int{m.Old, m.New, m.Away} {
			count.Lines[l].Points = append(count.Lines[l].Points, htmlreport.Point{X: minutes(m), Y: float64(n)})
		}
		for name := range m.Indexes {
			indexes[name] = true
		}
	}
	all = append(all, pageChart{"Gatherers", "How many served as what, at each look.", count.SVG()})
	for _, index := range slices.Sorted(maps.Keys(indexes)) {
		for _, what := range []struct {
			title, words string
			share        func(s Sum) float64
		}{{"Value", "What lookups earned of what they could, old and new side by side.", func(s Sum) float64 { return s.Value / s.Lookups }},
			{"Nacked", "Share of lookups that were nacked.", func(s Sum) float64 { return s.Nacked / s.Lookups }}} {
			c := htmlreport.Chart{X: "minutes", Y: "share of lookups", High: 1, Marks: marks, Lines: []htmlreport.Line{{Name: "old"}, {Name: "new"}}}
			for i := range moments {
				m := &moments[i]
				for side := range 2 {
					y := math.NaN()
					if s := m.Indexes[index][side]; s.Lookups > 0 {
						y = what.share(s)
					}
					c.Lines[side].Points = append(c.Lines[side].Points, htmlreport.Point{X: minutes(m), Y: y})
				}
			}
			all = append(all, pageChart{what.title + ", index " + index, what.words, c.SVG()})
		}
	}
	return all
}
