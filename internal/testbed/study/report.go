package study

import (
	"bytes"
	_ "embed"
	"html/template"
	"regexp"
	"strings"

	"yokeroute/internal/htmlreport"
)

//go:embed report.html
var reportText string

// view is a results folder as its page shows it.
type view struct {
	*Results
	Style  template.CSS
	Table  [][]string
	Charts []chartView
	Texts  []text
	Breaks []string
}

type chartView struct {
	Title, Words string
	SVG          template.HTML // drawn by us, never from what others wrote
}

type text struct{ Name, Text string }

var head = regexp.MustCompile(`(?s)^.*?(<svg)`)

// Report makes one page that stands alone: tables, charts and the scenarios' texts.
func (r *Results) Report() ([]byte, error) {
	charts, err := r.Charts()
	if err != nil {
		return nil, err
	}
	v := view{Results: r, Style: htmlreport.Style}
	for _, c := range charts {
		svg := head.ReplaceAllString(string(c.SVG), "$1")
		v.Charts = append(v.Charts, chartView{c.Title, c.Words, template.HTML(svg)})
	}
	var table bytes.Buffer
	if err := r.Table(&table); err != nil {
		return nil, err
	}
	for line := range strings.SplitSeq(table.String(), "\n") {
		if strings.HasPrefix(line, "  ") || strings.TrimSpace(line) == "" {
			continue
		}
		if cells := columns.Split(strings.TrimSpace(line), -1); len(cells) > 10 {
			v.Table = append(v.Table, cells)
		}
	}
	names, _ := r.variants()
	for _, name := range names {
		for _, one := range r.rowsOf(name, "") {
			if one.Result.Rules == nil {
				continue
			}
			for _, b := range one.Result.Rules.Violations[:min(len(one.Result.Rules.Violations), 3)] {
				v.Breaks = append(v.Breaks, name+", "+row(one)+": "+b.String())
			}
		}
	}
	for _, name := range r.names() {
		v.Texts = append(v.Texts, text{name, r.Scenarios[name]})
	}
	t, err := template.New("report").Parse(reportText)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err = t.Execute(&out, v)
	return out.Bytes(), err
}

var columns = regexp.MustCompile(`\s{2,}`)

// names are those of the scenarios, in the order of the rows.
func (r *Results) names() (names []string) {
	seen := map[string]bool{}
	for _, one := range r.Rows {
		if !seen[one.Scenario] {
			names = append(names, one.Scenario)
		}
		seen[one.Scenario] = true
	}
	return names
}
