package processtest

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"yokeroute/internal/htmlreport"
	"yokeroute/internal/process"
	"yokeroute/internal/rulecheck"
	"yokeroute/internal/storage/atomicfile"
)

// ResultForm is the first word of a fleet's results, ResultFile their file in a folder.
const (
	ResultForm = "yokeroute fleet 1"
	ResultFile = "fleet.json"
)

// Result is what a day of processes came to.
type Result struct {
	Form    string                   `json:"form"`
	Name    string                   `json:"name"`
	Seed    uint64                   `json:"seed"`
	Text    string                   `json:"scenario"` // with its faults, so that the day can be told again
	Said    []string                 `json:"said"`
	Indexes Tallies                  `json:"indexes"`
	P99     map[string]int64         `json:"p99"` // microseconds of satisfied tries, by index
	Series  *Series                  `json:"series"`
	Uses    map[string]process.Usage `json:"uses"`
	Rules   *rulecheck.JoinedReport  `json:"rules"`
	Lost    []LostTry                `json:"lost,omitempty"`    // tries that the platform would count as lost
	Crossed []LostTry                `json:"crossed,omitempty"` // requests sent once more, unread before
	Faults  string                   `json:"faults,omitempty"`  // of processes and of the rig
}

// Kept reports whether every rule was kept and no process had a fault.
func (r *Result) Kept() bool { return r.Faults == "" && r.Rules != nil && r.Rules.Passed() }

// Finish ends a fleet and gives what its day came to.
func (f *Fleet) Finish() (*Result, error) {
	r := &Result{
		Form: ResultForm,
		Name: f.Scenario.Name,
		Seed: f.Scenario.Seed,
		Text: f.Scenario.Text,
		Uses: map[string]process.Usage{},
		P99:  map[string]int64{},
	}
	for _, g := range f.Gatherers {
		if p := g.Process(); p != nil {
			r.Uses[g.Name] = p.Usage()
		}
	}
	f.Close()
	r.Said, r.Indexes, r.Series = f.Said(), f.Front.ByIndex(), f.Front.Series()
	for name, t := range r.Indexes {
		r.P99[name] = t.Took.ValueAtQuantile(99)
	}
	if err := f.Faults(); err != nil {
		r.Faults = err.Error()
	}
	var err error
	if r.Rules, err = f.Check(); err != nil {
		return r, err
	}
	r.Lost, r.Crossed = f.losses(r.Rules)
	return r, nil
}

// Save puts results into a folder.
func (r *Result) Save(folder string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	return atomicfile.Write(filepath.Join(folder, ResultFile), append(text, '\n'))
}

// LoadResult reads a folder of results.
func LoadResult(folder string) (*Result, error) {
	name := filepath.Join(folder, ResultFile)
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if r.Form != ResultForm {
		return nil, fmt.Errorf("%s: the form is %.40q, this reader knows %q", name, r.Form, ResultForm)
	}
	return r, nil
}

// Lines are the results in words.
func (r *Result) Lines() (lines []string) {
	for _, name := range slices.Sorted(maps.Keys(r.Indexes)) {
		t := r.Indexes[name]
		lines = append(lines, fmt.Sprintf("%-10s %5d operations, %5d tries: %d satisfied, %d in part, %d nacked, "+
			"%d failed, %d late, %d lost, %d unreached; earned %.1f%%; p99 %.0f ms", name, t.Operations, t.Tries,
			t.Endings[Satisfied], t.Endings[Partial], t.Endings[Nacked], t.Endings[Failed], t.Endings[Late],
			t.Endings[Lost], t.Endings[Refused], 100*t.Value/max(t.Asked, 1e-9), float64(r.P99[name])/1000))
	}
	if j := r.Rules; j != nil {
		lines = append(lines, fmt.Sprintf("joined traces: %d lookups, %d part calls, %d processes killed",
			j.Queries, j.Attempts, j.KilledProcesses))
		for rule := 1; rule <= 6; rule++ {
			switch {
			case j.Counts[rule] > 0:
				lines = append(lines, fmt.Sprintf("rule %d: BROKEN %d times", rule, j.Counts[rule]))
			case j.Unchecked[rule] != "":
				lines = append(lines, fmt.Sprintf("rule %d: not checked: %s", rule, j.Unchecked[rule]))
			}
		}
		for _, b := range j.Violations {
			lines = append(lines, "  "+b.String())
		}
		if j.Incomplete != "" {
			lines = append(lines, "not whole: "+j.Incomplete)
		}
		if j.Passed() {
			lines = append(lines, "every rule kept")
		}
	}
	if r.Faults != "" {
		lines = append(lines, "FAULTS: "+r.Faults)
	}
	return lines
}

//go:embed page.html
var pageText string

// Page is the results as one page that stands alone.
func (r *Result) Page() ([]byte, error) {
	line := htmlreport.Line{Name: "all indexes"}
	if r.Series != nil {
		for s := range r.Series.Asked {
			if r.Series.Asked[s] > 0 {
				share := r.Series.Earned[s] / r.Series.Asked[s]
				line.Points = append(line.Points, htmlreport.Point{X: float64(s), Y: share})
			}
		}
	}
	t, err := template.New("fleet").Parse(pageText)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	chart := htmlreport.Chart{X: "seconds", Y: "earned of what was asked", High: 1, Lines: []htmlreport.Line{line}}
	err = t.Execute(&out, map[string]any{
		"Result": r,
		"Style":  htmlreport.Style,
		"Chart":  chart.SVG(),
		"Lines":  r.Lines(),
		"Kept":   r.Kept(),
	})
	return out.Bytes(), err
}
