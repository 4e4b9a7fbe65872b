package discovery

import (
	"testing"
	"time"

	"yokeroute/gather"
)

// TestDrainOfServerStartedLongAgoIsNotIgnored guards against requests to a draining server: the known list, or the
// previous agent, had its start time, and the new agent reports the same start as long ago together with the drain.
func TestDrainOfServerStartedLongAgoIsNotIgnored(t *testing.T) {
	t.Parallel()
	const startedAt = 1796542074205
	t.Run("restart", func(t *testing.T) {
		t.Parallel()
		known, err := ParseResponse([]byte(documentSince(41, true, "in_service", startedAt)))
		if err != nil {
			t.Fatal(err)
		}
		agent := newScriptedAgent(t, 42, "terminating")
		agent.upSince = 0
		_, changes := runStateWatcher(t, agent, known, false)
		expectState(t, changes, gather.Running, time.Second)
		expectState(t, changes, gather.Draining, time.Second)
	})
	t.Run("another agent", func(t *testing.T) {
		t.Parallel()
		first := newScriptedAgent(t, 41, "in_service")
		first.upSince = startedAt
		watcher, changes := runStateWatcher(t, first, nil, false)
		expectState(t, changes, gather.Running, time.Second)
		second := newScriptedAgent(t, 7, "terminating")
		second.upSince = 0
		watcher.SetAddress(address(second.Server))
		expectState(t, changes, gather.Draining, time.Second)
	})
}

// serverStates are the states of a server in order. They are 100 ms apart; each process starts when it is first running.
var serverStates = []struct {
	phase   string
	upSince int64
}{
	{"in_service", 100}, {"terminating", 100}, {"in_service", 300}, {"terminating", 300}, {"in_service", 500},
}

// report is a message about the server: its state at an index of serverStates, with its start time or as long ago.
type report struct {
	index   int
	longAgo bool
	change  bool // a change by the agent that was heard last, not the full list of another one
}

func (r report) parse(t *testing.T) *Response {
	s := serverStates[r.index]
	if r.longAgo {
		s.upSince = 0
	}
	response, err := ParseResponse([]byte(documentSince(int64(r.index), !r.change, s.phase, s.upSince)))
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// TestStartToldAsLongAgoKeepsDrainsAndSlowStarts applies all sequences of three messages: full lists of other agents,
// each as old as may be and with any start reported as long ago, and changes. It guards against requests to a server
// whose drain was reported, against a cold server that counts as warm, against a restarted server that gets no requests,
// and against a drain kept for good against the last list.
func TestStartToldAsLongAgoKeepsDrainsAndSlowStarts(t *testing.T) {
	var messages []report
	for index := range serverStates {
		for _, longAgo := range []bool{false, true} {
			messages = append(messages, report{index, longAgo, false}, report{index, longAgo, true})
		}
	}
	for _, first := range messages {
		for _, second := range messages {
			for _, third := range messages {
				checkReports(t, []report{first, second, third})
			}
		}
	}
}

func checkReports(t *testing.T, reports []report) {
	table := newEndpointTable()
	newest, coldSince := -1, int64(0)
	now := 0.0
	table.now = func() float64 { return now }
	for _, r := range reports {
		if r.change && r.index <= newest {
			return // a change is applied whatever it says
		}
		startedSince := float64(serverStates[r.index].upSince) > now
		if !r.change {
			table.source++
		}
		if r.index > newest {
			newest = r.index
			coldSince = 0
		}
		now = max(now, float64(100*(r.index+1)+50))
		reported := serverStates[r.index]
		if reported.upSince == serverStates[newest].upSince && !r.longAgo {
			coldSince = reported.upSince
		}
		table.apply(r.parse(t))
		got := table.addresses[1]
		listed := stateOfPhase[reported.phase]
		switch {
		case serverStates[newest].phase == phaseDraining && got.State == gather.Running:
			t.Errorf("%+v: the server is running, its drain was reported", reports)
		case r.index == newest && listed == gather.Running && startedSince && !r.longAgo && got.State != gather.Running:
			t.Errorf("%+v: the server is %v, it has restarted since", reports, got.State)
		case got.State == gather.Running && int64(got.StartedAt) < coldSince:
			t.Errorf("%+v: the start time is %v, %d was reported", reports, got.StartedAt, coldSince)
		case got.State != listed && !table.overruled["s-00000001"]:
			t.Errorf("%+v: the state is kept as %v against the list, without a recheck", reports, got.State)
		case got.State == listed && r.longAgo && table.overruled["s-00000001"]:
			t.Errorf("%+v: a recheck of a state that the list agrees with", reports)
		}
		if t.Failed() {
			t.FailNow()
		}
	}
}

// TestStoredDrainMarksServerWhoseStartIsLongAgo guards against requests to a server whose drain an earlier process has
// stored with a start of long ago, or that the known list still has with its start time.
func TestStoredDrainMarksServerWhoseStartIsLongAgo(t *testing.T) {
	for _, c := range []struct {
		stored float64
		listed int64
		want   int
	}{
		{9, 9, 1}, {9, 8, 1}, {9, 10, 0}, // a later process is not draining
		{0, 0, 1}, {9, 0, 1}, {0, 9, 1},
	} {
		known, err := ParseResponse([]byte(documentSince(41, true, "in_service", c.listed)))
		if err != nil {
			t.Fatal(err)
		}
		if marked := known.MarkDraining(map[string]float64{"s-00000001": c.stored}); marked != c.want {
			t.Errorf("stored %v, listed %v: %d servers are marked, want %d", c.stored, c.listed, marked, c.want)
		}
	}
}
