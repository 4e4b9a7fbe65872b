package emulator

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"

	"yokeroute/internal/config/directive"
)

const scenarioIntro = "A day for the emulator: `yokeroute-testbed run FILE`. Halls stand before what is in them, " +
	"kinds before servers of them. What is left out has the value named here."

// table is the table of scenario files.
func (s *Scenario) table() *directive.Table {
	return &directive.Table{
		Name:  "scenario file",
		Intro: scenarioIntro,
		Directives: []*directive.Directive{
			s.scenarioDirective(),
			s.timeDirective(),
			s.hallDirective(),
			s.localDirective(),
			s.linkDirective(),
			s.kindDirective(),
			s.serversDirective(),
			s.layoutDirective(),
			s.gatherersDirective(),
			s.indexDirective(),
			s.customerDirective(),
			s.clientsDirective(),
			s.discoveryDirective(),
			s.budgetDirective(),
			s.coldDirective(),
			s.drainDirective(),
			s.callsDirective(),
			s.segmentsDirective(),
			s.seedDirective(),
			s.expectDirective(),
			s.weightsDirective(),
			s.troubleTable(s.checkHalls),
		},
	}
}

// Reference is the page about scenario files.
func Reference() string { return newScenario().table().Reference() }

// Directives are the table of scenario files, for tests of its examples.
func Directives() *directive.Table { return newScenario().table() }

// Read reads a scenario file and checks that it can be met.
func Read(file string) (*Scenario, error) {
	s := newScenario()
	if err := s.table().Read(file); err != nil {
		return nil, err
	}
	return s, s.check(file)
}

// Text is a scenario file's text with what it includes in its place, so that it stands alone in a folder of results.
func Text(file string) (string, error) { return flat(file, 0) }

func flat(file string, depth int) (string, error) {
	if depth > 16 {
		return "", fmt.Errorf("%s: is included 16 files deep", file)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) != 2 || words[0] != "include" {
			out.WriteString(line)
			continue
		}
		names, err := filepath.Glob(filepath.Join(filepath.Dir(file), strings.Trim(words[1], `"'`)))
		if err != nil {
			return "", err
		}
		for _, name := range names {
			inner, err := flat(name, depth+1)
			if err != nil {
				return "", err
			}
			out.WriteString(strings.TrimRight(inner, "\n") + "\n")
		}
	}
	return out.String(), nil
}

// ReadWith reads a scenario file in which further directives may stand, for who plays it otherwise than in virtual
// time. What they take is read before the scenario is checked.
func ReadWith(file string, further func(s *Scenario) []*directive.Directive) (*Scenario, error) {
	s := newScenario()
	t := s.table()
	t.Directives = append(t.Directives, further(s)...)
	if err := t.Read(file); err != nil {
		return nil, err
	}
	return s, s.check(file)
}

// ParseWith is ReadWith for a text.
func ParseWith(name, text string, further func(s *Scenario) []*directive.Directive) (*Scenario, error) {
	s := newScenario()
	t := s.table()
	t.Directives = append(t.Directives, further(s)...)
	if err := t.Parse(name, text); err != nil {
		return nil, err
	}
	return s, s.check(name)
}

// Parse reads the text of a scenario.
func Parse(name, text string) (*Scenario, error) {
	s := newScenario()
	if err := s.table().Parse(name, text); err != nil {
		return nil, err
	}
	return s, s.check(name)
}

// check completes what is left out and says what can't be met, before anything is run.
func (s *Scenario) check(file string) error {
	at := func(v *directive.Values, text string, args ...any) error {
		f := &directive.Error{Position: directive.Position{File: file, Line: 1, Column: 1}, Message: fmt.Sprintf(text, args...)}
		if v != nil {
			f.Position = v.Position
		}
		return directive.ErrorList{f}
	}
	if len(s.Halls) == 0 {
		s.Halls = []string{"hall"}
	}
	switch {
	case len(s.Groups) == 0:
		return at(nil, "has no servers; write servers COUNT kind KIND")
	case len(s.Indexes) == 0:
		return at(nil, "has no index; write index NAME")
	case s.Warmup >= s.Length:
		return at(nil, "its warm-up of %s leaves nothing of its length of %s", directive.FormatDuration(s.Warmup), directive.FormatDuration(s.Length))
	}
	if s.Layout.Shards == 0 {
		s.Layout.Shards = 6 * s.Layout.Sets
	}
	if s.Layout.Row > s.Layout.Sets {
		return at(nil, "layout: %d sets in a row of %d", s.Layout.Row, s.Layout.Sets)
	}
	held := make([]int, s.Layout.Sets)
	dealt := 0
	for _, g := range s.Groups {
		for range g.Count {
			for j := range s.Layout.Row {
				held[((dealt%s.Layout.Sets)-j+s.Layout.Sets)%s.Layout.Sets]++
			}
			dealt++
		}
	}
	for set, n := range held {
		if n == 0 && set < s.Layout.Shards {
			return at(s.Groups[0].line, "no server holds the shards of set %d: %d servers for %d sets", set, dealt, s.Layout.Sets)
		}
	}
	left, open := 1.0, 0
	for i := range s.Indexes {
		ix := &s.Indexes[i]
		if ix.To > s.Layout.Shards {
			return at(ix.line, "index %q: a lookup may have %d parts, and there are %d shards", ix.Name, ix.To, s.Layout.Shards)
		}
		if ix.Share < 0 {
			open++
		} else {
			left -= ix.Share
		}
	}
	if left < -1e-9 || open == 0 && math.Abs(left) > 1e-9 {
		return at(s.Indexes[0].line, "the shares of the indexes add up to %s", directive.FormatShare(1-left))
	}
	for i := range s.Indexes {
		if s.Indexes[i].Share < 0 {
			s.Indexes[i].Share = left / float64(open)
		}
	}
	if len(s.Customers) == 0 {
		s.Customers = []Customer{{"all", 1}}
	}
	sum := 0.0
	for _, c := range s.Customers {
		sum += c.Share
	}
	if math.Abs(sum-1) > 1e-9 {
		return at(nil, "the shares of the customers add up to %s", directive.FormatShare(sum))
	}
	for _, t := range s.Troubles {
		if t.At > s.Length {
			return at(t.line, "trouble %s begins after the day's length of %s", t.Kind, directive.FormatDuration(s.Length))
		}
	}
	return nil
}
