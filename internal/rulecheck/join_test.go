package rulecheck

import (
	"bytes"
	"io"
	"math"
	"strings"
	"testing"
)

// traceOf writes a script as the trace of one process that began at a Unix time; one that was killed lacks its end.
func traceOf(t *testing.T, unix float64, text string, killed bool) io.Reader {
	t.Helper()
	h := header()
	h.GroundTruth, h.Servers, h.SlowStart, h.UnixStart = false, nil, nil, unix
	var b bytes.Buffer
	w := NewWriter(&b, h)
	for _, e := range script(text) {
		e.Gatherer = 0
		if e.Kind == QueryAdmitted {
			e.QueryName = "op" + strings.Fields(text)[0] + "-" + string(rune('a'+e.Query))
		}
		w.Write(e)
	}
	if killed {
		w.Flush()
		b.WriteString(`{"t":9`)
		return &b
	}
	if err := w.Close(2000, ""); err != nil {
		t.Fatal(err)
	}
	return &b
}

// TestJoin: what no trace shows alone is seen when they are joined, by the clock of all: once-only operations that ran
// at two gatherers, a cold server under what all send it, a budget that a restart does not renew; and a process that
// was killed takes with it what it held.
func TestJoin(t *testing.T) {
	const once = "0 take 1 once 900 1; 1 send 1 0 1 0; 5 end 1 0 0 answered; 6 answer 1 whole 0"
	cold := "0 take 1 any 900 1; 1 told 1 running; 1 send 1 0 1 0; 5 end 1 0 0 answered; 6 answer 1 whole 0"
	truth := func(events ...Event) *GroundTruth {
		return &GroundTruth{SlowStart: header().SlowStart, Servers: header().Servers, Events: events}
	}
	operation := func(name string) string { op, _, _ := strings.Cut(name, "-"); return op }
	for name, c := range map[string]struct {
		sources []Source
		truth   *GroundTruth
		rule    int
		killed  int
	}{
		"two tries of one once-only operation ran": {[]Source{{"a", 1, traceOf(t, 1000, once, false)}, {"b", 2, traceOf(t, 5000, once, false)}},
			truth(Event{At: 1002, Kind: WorkStarted, QueryName: "op0-b", Server: 1}, Event{At: 5002, Kind: WorkStarted, QueryName: "op0-b", Server: 1}), 0, 0}, // one name: the second trace's own
		"a killed process held a lookup": {[]Source{{"a", 1, traceOf(t, 1000, "0 take 1 once 900 1; 1 send 1 0 1 0", true)}}, nil, 0, 1},
		"one that ended held it":         {[]Source{{"a", 1, traceOf(t, 1000, "0 take 1 once 900 1; 1 send 1 0 1 0", false)}}, nil, 0, 0},
		"a cold server, within its bounds": {[]Source{{"a", 1, traceOf(t, 1000, cold, false)}, {"b", 2, traceOf(t, 1000, cold, false)}},
			truth(Event{At: 1000, Kind: ServerStarted, Server: 1}, Event{At: 1002, Kind: WorkArrived, QueryName: "op0-b", Server: 1, Work: 1300}, Event{At: 1003, Kind: WorkArrived, QueryName: "op0-b", Server: 1, Work: 1000}), 0, 0},
		"pushed over by both": {[]Source{{"a", 1, traceOf(t, 1000, cold, false)}, {"b", 2, traceOf(t, 1000, cold, false)}},
			truth(Event{At: 1000, Kind: ServerStarted, Server: 1}, Event{At: 1002, Kind: WorkArrived, QueryName: "op0-b", Server: 1, Work: 1300}, Event{At: 1003, Kind: WorkArrived, QueryName: "op0-b", Server: 1, Work: 1300}), 4, 0},
		"a budget within":     {[]Source{{"a", 1, traceOf(t, 1000, further(1, 0, 2), true)}, {"a again", 1, traceOf(t, 4000, further(1, 0, 2), false)}}, nil, 0, 1},
		"a restart renews it": {[]Source{{"a", 1, traceOf(t, 1000, further(1, 0, 2), true)}, {"a again", 1, traceOf(t, 2000, further(1, 0, 2), false)}}, nil, 6, 1},
		"two gatherers' own":  {[]Source{{"a", 1, traceOf(t, 1000, further(1, 0, 2), false)}, {"b", 2, traceOf(t, 1000, further(1, 0, 2), false)}}, nil, 0, 0},
		"a drain told to a process is not told to the next": {[]Source{{"a", 1, traceOf(t, 1000, "0 told 1 draining", false)}, {"a again", 1, traceOf(t, 4000, once, false)}}, nil, 0, 0},
		"a drain told": {[]Source{{"a", 1, traceOf(t, 1000, "0 told 1 draining; 500 take 1 once 900 1; 500 send 1 0 1 0; 500 end 1 0 0 answered; 501 answer 1 whole 0", false)}}, nil, 3, 0},
	} {
		j, err := Join(c.sources, c.truth, JoinOptions{OperationOf: operation})
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if want := map[int]int{c.rule: 1}; c.rule == 0 && len(j.Counts) > 0 || c.rule > 0 && (len(j.Counts) != 1 || j.Counts[c.rule] < want[c.rule]) {
			t.Errorf("%s: %v %v", name, j.Counts, j.Violations)
		}
		if j.KilledProcesses != c.killed || j.Incomplete != "" {
			t.Errorf("%s: %d killed, %s", name, j.KilledProcesses, j.Incomplete)
		}
	}
	// Two names, one operation.
	b := strings.Replace(once, "take 1", "take 2", 1)
	b = strings.NewReplacer("send 1", "send 2", "end 1", "end 2", "answer 1", "answer 2").Replace(b)
	j, err := Join([]Source{{"a", 1, traceOf(t, 1000, once, false)}, {"b", 2, traceOf(t, 1500, b, false)}},
		truth(Event{At: 1002, Kind: WorkStarted, QueryName: "op0-b", Server: 1}, Event{At: 1502, Kind: WorkStarted, QueryName: "op0-c", Server: 2}), JoinOptions{OperationOf: operation})
	if err != nil || j.Counts[2] != 1 || !strings.Contains(j.Violations[0].Message, "op0-c of gatherer 2") {
		t.Errorf("%v, %+v", err, j)
	}
	// What the fleet has made of its budget, by the checker's own count: calls for different keys are none beyond the first.
	const calm = "0 take 1 any 900 1; 0 send 1 0 1 0; 5 end 1 0 0 answered; 6 answer 1 whole 0"
	const pieces = "0 take 1 any 900 1; 1 send 1 0 1 0 0..49; 1 send 1 0 2 0 50..99; 5 end 1 0 0 answered 0..49; 5 end 1 0 0 answered 50..99; 6 answer 1 whole 0:0..49 0:50..99"
	for text, want := range map[string]float64{pieces: 0, further(1, 1, 2): 2 / 4.4} {
		j, err = Join([]Source{{"a", 1, traceOf(t, 1000, calm, false)}, {"b", 2, traceOf(t, 1000, text, false)}}, nil, JoinOptions{})
		if err != nil || !j.Passed() || math.Abs(j.PeakBudgetUse.Share-want) > 1e-9 {
			t.Errorf("%v, %+v, %v, want %g", err, j.PeakBudgetUse, j.Violations, want)
		}
	}
	// What no trace has sent is a fault of the records.
	j, err = Join([]Source{{"a", 1, traceOf(t, 1000, once, false)}}, truth(Event{At: 1002, Kind: WorkStarted, QueryName: "nobody", Server: 1}), JoinOptions{})
	if err != nil || j.Passed() || j.UnknownRequests != 1 {
		t.Errorf("%v, %+v", err, j)
	}
}

// TestNoJoin: traces that cannot be joined are errors that name the trace.
func TestNoJoin(t *testing.T) {
	other := strings.NewReader(`{"trace":"yokeroute trace 1","unix":5,"indexes":{"x":{"effect":"idempotent"}}}` + "\n")
	for want, sources := range map[string][]Source{
		"no traces":                   nil,
		"a: tells no Unix time":       {{"a", 1, traceOf(t, 0, "0 take 1 once 900 1", false)}},
		"b: has other indexes":        {{"a", 1, traceOf(t, 1000, "0 take 1 once 900 1", false)}, {"b", 2, other}},
		"no trace has a first line":   {{"a", 1, strings.NewReader("")}},
		"c: line 1: the form is \"\"": {{"c", 1, strings.NewReader("{}\n")}},
	} {
		if _, err := Join(sources, nil, JoinOptions{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}
