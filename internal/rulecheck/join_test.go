package rulecheck

import (
	"bytes"
	"io"
	"math"
	"strings"
	"testing"
)

// scriptTrace writes a script as the trace of one process that began at a Unix time; one that was killed lacks its end.
func scriptTrace(t *testing.T, unix float64, text string, killed bool) io.Reader {
	t.Helper()
	h := testHeader()
	h.GroundTruth, h.Servers, h.SlowStart, h.UnixStart = false, nil, nil, unix
	var b bytes.Buffer
	w := NewWriter(&b, h)
	for _, e := range parseScript(text) {
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

// testGroundTruth returns a ground truth of these events of the test header's servers.
func testGroundTruth(events ...Event) *GroundTruth {
	return &GroundTruth{SlowStart: testHeader().SlowStart, Servers: testHeader().Servers, Events: events}
}

func workStarted(at float64, queryName string, server uint32) Event {
	return Event{At: at, Kind: WorkStarted, QueryName: queryName, Server: server}
}

func workArrived(at float64, queryName string, work float64) Event {
	return Event{At: at, Kind: WorkArrived, QueryName: queryName, Server: 1, Work: work}
}

// operationOf returns what stands before the dash of a query's name.
func operationOf(queryName string) string {
	operation, _, _ := strings.Cut(queryName, "-")
	return operation
}

const (
	onceScript = "0 take 1 once 900 1; 1 send 1 0 1 0; 5 end 1 0 0 answered; 6 answer 1 whole 0"
	openScript = "0 take 1 once 900 1; 1 send 1 0 1 0"
	manyShards = "0 take 1 any 900 30; 1 nack 1"
	coldScript = "0 take 1 any 900 1; 1 told 1 running; 1 send 1 0 1 0; 5 end 1 0 0 answered; 6 answer 1 whole 0"
)

// TestJoinFindsWhatNoTraceShowsAlone joins traces by the clock of all. It checks a starting server under what all
// gatherers send it, a budget that each process tallies from its start, and that a killed process takes its queries
// with it.
func TestJoinFindsWhatNoTraceShowsAlone(t *testing.T) {
	const drainingScript = "0 told 1 draining; 500 take 1 once 900 1; 500 send 1 0 1 0; 500 end 1 0 0 answered; " +
		"501 answer 1 whole 0"
	retries := func() string { return retriesScript(1, 0, 2) }
	trace := func(name string, gatherer int, unix float64, script string) Source {
		return Source{name, gatherer, scriptTrace(t, unix, script, false)}
	}
	killed := func(name string, gatherer int, unix float64, script string) Source {
		return Source{name, gatherer, scriptTrace(t, unix, script, true)}
	}
	started := Event{At: 1000, Kind: ServerStarted, Server: 1}
	for name, c := range map[string]struct {
		sources []Source
		truth   *GroundTruth
		rule    int // that is violated, 0 for none
		killed  int
	}{
		"two attempts of one name ran, both the second trace's": {
			sources: []Source{trace("a", 1, 1000, onceScript), trace("b", 2, 5000, onceScript)},
			truth:   testGroundTruth(workStarted(1002, "op0-b", 1), workStarted(5002, "op0-b", 1)),
		},
		"a killed process held a query": {
			sources: []Source{killed("a", 1, 1000, openScript)},
			killed:  1,
		},
		"a process that ended held a query": {
			sources: []Source{trace("a", 1, 1000, openScript)},
		},
		"slow start, within the limit": {
			sources: []Source{trace("a", 1, 1000, coldScript), trace("b", 2, 1000, coldScript)},
			truth:   testGroundTruth(started, workArrived(1002, "op0-b", 1300), workArrived(1003, "op0-b", 1000)),
		},
		"slow start, overloaded by both": {
			sources: []Source{trace("a", 1, 1000, coldScript), trace("b", 2, 1000, coldScript)},
			truth:   testGroundTruth(started, workArrived(1002, "op0-b", 1300), workArrived(1003, "op0-b", 1300)),
			rule:    4,
		},
		"a restart outside the budget's window": {
			sources: []Source{killed("a", 1, 1000, retries()), trace("a again", 1, 4000, retries())},
			killed:  1,
		},
		"a restart within the budget's window: each process tallies from its start": {
			sources: []Source{killed("a", 1, 1000, retries()), trace("a again", 1, 2000, retries())},
			killed:  1,
		},
		"a restarted gatherer exceeds the budget by itself": {
			sources: []Source{killed("a", 1, 1000, openScript), trace("a again", 1, 2000, retriesScript(1, 0, 3))},
			rule:    6,
			killed:  1,
		},
		"a restarted gatherer retries by the queries of its predecessor": {
			sources: []Source{killed("a", 1, 1000, manyShards), trace("a again", 1, 2000, retriesScript(1, 0, 3))},
			rule:    6,
			killed:  1,
		},
		"two gatherers have a budget each": {
			sources: []Source{trace("a", 1, 1000, retries()), trace("b", 2, 1000, retries())},
		},
		"a restarted gatherer was not notified of draining": {
			sources: []Source{trace("a", 1, 1000, "0 told 1 draining"), trace("a again", 1, 4000, onceScript)},
		},
		"a gatherer was notified of draining": {
			sources: []Source{trace("a", 1, 1000, drainingScript)},
			rule:    3,
		},
	} {
		j, err := Join(c.sources, c.truth, JoinOptions{OperationOf: operationOf})
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		violated := len(j.Counts) == 1 && j.Counts[c.rule] >= 1
		if c.rule == 0 && len(j.Counts) > 0 || c.rule > 0 && !violated {
			t.Errorf("%s: %v %v", name, j.Counts, j.Violations)
		}
		if j.KilledProcesses != c.killed || j.Incomplete != "" {
			t.Errorf("%s: %d killed, %s", name, j.KilledProcesses, j.Incomplete)
		}
	}
	// Two queries, one operation.
	second := strings.NewReplacer("take 1", "take 2", "send 1", "send 2", "end 1", "end 2", "answer 1", "answer 2").
		Replace(onceScript)
	sources := []Source{trace("a", 1, 1000, onceScript), trace("b", 2, 1500, second)}
	truth := testGroundTruth(workStarted(1002, "op0-b", 1), workStarted(1502, "op0-c", 2))
	j, err := Join(sources, truth, JoinOptions{OperationOf: operationOf})
	if err != nil || j.Counts[2] != 1 || !strings.Contains(j.Violations[0].Message, "op0-c of gatherer 2") {
		t.Errorf("%v, %+v", err, j)
	}
	// Attempts for different keys use none of the fleet's budget.
	const calm = "0 take 1 any 900 1; 0 send 1 0 1 0; 5 end 1 0 0 answered; 6 answer 1 whole 0"
	const pieces = "0 take 1 any 900 1; 1 send 1 0 1 0 0..49; 1 send 1 0 2 0 50..99; 5 end 1 0 0 answered 0..49; " +
		"5 end 1 0 0 answered 50..99; 6 answer 1 whole 0:0..49 0:50..99"
	for text, want := range map[string]float64{pieces: 0, retriesScript(1, 1, 2): 2 / 4.4} {
		j, err = Join([]Source{trace("a", 1, 1000, calm), trace("b", 2, 1000, text)}, nil, JoinOptions{})
		if err != nil || !j.Passed() || math.Abs(j.PeakBudgetUse.Share-want) > 1e-9 {
			t.Errorf("%v, %+v, %v, want %g", err, j.PeakBudgetUse, j.Violations, want)
		}
	}
	// What the fleet's retries come to is counted on through a restart.
	j, err = Join([]Source{killed("a", 1, 1000, retries()), trace("a again", 1, 2000, retries())}, nil, JoinOptions{})
	if err != nil || !j.Passed() || math.Abs(j.PeakBudgetUse.Share-4/2.4) > 1e-9 {
		t.Errorf("%v, %+v, %v", err, j.PeakBudgetUse, j.Violations)
	}
	// A shard request at a server that no trace has sent makes the trace incomplete.
	truth = testGroundTruth(workStarted(1002, "nobody", 1))
	j, err = Join([]Source{trace("a", 1, 1000, onceScript)}, truth, JoinOptions{})
	if err != nil || j.Passed() || j.UnknownRequests != 1 {
		t.Errorf("%v, %+v", err, j)
	}
}

// TestJoinRefusesTracesThatCannotBeJoined: traces that cannot be joined are errors that name the trace.
func TestJoinRefusesTracesThatCannotBeJoined(t *testing.T) {
	other := strings.NewReader(`{"trace":"yokeroute trace 1","unix":5,"indexes":{"x":{"effect":"idempotent"}}}` + "\n")
	for want, sources := range map[string][]Source{
		"no traces":                   nil,
		"a: tells no Unix time":       {{"a", 1, scriptTrace(t, 0, "0 take 1 once 900 1", false)}},
		"b: has other indexes":        {{"a", 1, scriptTrace(t, 1000, "0 take 1 once 900 1", false)}, {"b", 2, other}},
		"no trace has a first line":   {{"a", 1, strings.NewReader("")}},
		"c: line 1: the form is \"\"": {{"c", 1, strings.NewReader("{}\n")}},
	} {
		if _, err := Join(sources, nil, JoinOptions{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}
