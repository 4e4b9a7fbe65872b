package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
)

// scriptedAgent is an agent whose list of one server a test changes. It answers watches as an agent does.
type scriptedAgent struct {
	*httptest.Server

	mu        sync.Mutex
	revision  int64
	phase     string
	changed   chan struct{} // closed by the next change
	silent    bool
	fullLists int // requests for the full list that were answered
}

func newScriptedAgent(t *testing.T, revision int64, phase string) *scriptedAgent {
	a := &scriptedAgent{revision: revision, phase: phase, changed: make(chan struct{})}
	a.Server = httptest.NewServer(a)
	t.Cleanup(func() {
		a.CloseClientConnections()
		a.Close()
	})
	return a
}

// set changes the server's phase and the revision.
func (a *scriptedAgent) set(revision int64, phase string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision, a.phase = revision, phase
	close(a.changed)
	a.changed = make(chan struct{})
}

// setSilent has it answer nobody, or serve again.
func (a *scriptedAgent) setSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
}

func (a *scriptedAgent) answeredFullLists() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullLists
}

// document is its list, with the revision that stands there.
func document(revision int64, full bool, phase string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[`+
		`{"id":"s-00000001","host_port":"h:1","cell":0,"phase":%q,"up_since_ms":9}]}`, revision, full, phase)
}

func (a *scriptedAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	watch := err == nil
	timeout := time.After(watchDuration)
	for {
		a.mu.Lock()
		revision, phase, changed, silent := a.revision, a.phase, a.changed, a.silent
		if !watch && !silent {
			a.fullLists++
		}
		a.mu.Unlock()
		switch {
		case silent:
			<-r.Context().Done()
			return
		case !watch:
			io.WriteString(w, document(revision, true, phase))
			return
		case revision > after:
			io.WriteString(w, document(revision, false, phase))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			fmt.Fprintf(w, `{"revision":%d,"complete":false}`, revision)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// stateChange is a new state of the server, and when the watcher told it.
type stateChange struct {
	state gather.State
	at    time.Time
}

// runStateWatcher runs a watcher until the test ends, after it was given what is known, if anything. The
// changes of the server's state arrive on the channel.
func runStateWatcher(t *testing.T, agent *scriptedAgent, known *Response, shared bool) (*Watcher, <-chan stateChange) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	changes := make(chan stateChange, 1000)
	last := gather.Removed
	watcher := New(Config{
		Address:       address(agent.Server),
		SharedService: shared,
		OnChange: func(_ gather.EndpointList, all []shardcall.Address) {
			state := gather.Removed
			for _, a := range all {
				state = a.State
			}
			if state != last {
				changes <- stateChange{state, time.Now()}
			}
			last = state
		},
		Log: log,
	})
	if known != nil {
		watcher.Apply(known)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { watcher.Run(ctx); close(ended) }()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return watcher, changes
}

// expectState wants the next state of the server, within a limit.
func expectState(t *testing.T, changes <-chan stateChange, want gather.State, within time.Duration) time.Time {
	t.Helper()
	select {
	case change := <-changes:
		if change.state != want {
			t.Fatalf("the server is taken for %v, want %v", change.state, want)
		}
		return change.at
	case <-time.After(within):
		t.Fatalf("the server is not taken for %v within %v", want, within)
	}
	return time.Time{}
}

// expectNoChange wants the server's state to stay for a while.
func expectNoChange(t *testing.T, changes <-chan stateChange, duration time.Duration) {
	t.Helper()
	select {
	case change := <-changes:
		t.Fatalf("the server is taken for %v", change.state)
	case <-time.After(duration):
	}
}

// maxRecheckDelay is after which a recheck has taken effect: it waits for the end of a watch.
const maxRecheckDelay = maxListAge + watchDuration + headerTimeout

// TestDrainUndoneDuringAMoveTakesEffect guards against a server that never gets a request again: its drain is
// undone while the agent is silent, and the gatherer is given another agent, whose revisions are lower. The
// drain ends no earlier than such a list can be older.
func TestDrainUndoneDuringAMoveTakesEffect(t *testing.T) {
	t.Parallel()
	first := newScriptedAgent(t, 40, "in_service")
	watcher, changes := runStateWatcher(t, first, nil, false)
	expectState(t, changes, gather.Running, time.Second)
	first.set(41, "terminating")
	expectState(t, changes, gather.Draining, time.Second)
	first.setSilent(true)
	second := newScriptedAgent(t, 7, "in_service")
	movedAt := time.Now()
	watcher.SetAddress(address(second.Server))
	undoneAt := expectState(t, changes, gather.Running, maxRecheckDelay)
	if undoneAt.Sub(movedAt) < maxListAge {
		t.Errorf("the drain ended %v after the move, by a list that may have been older", undoneAt.Sub(movedAt))
	}
	expectNoChange(t, changes, watchDuration)
	if n := second.answeredFullLists(); n != 2 {
		t.Errorf("%d full lists were requested, want 2", n)
	}
}

// TestRemovalUndoneDuringAMoveTakesEffect guards against the same with a server that discovery had removed by
// name.
func TestRemovalUndoneDuringAMoveTakesEffect(t *testing.T) {
	t.Parallel()
	first := newScriptedAgent(t, 40, "in_service")
	watcher, changes := runStateWatcher(t, first, nil, false)
	expectState(t, changes, gather.Running, time.Second)
	first.set(41, "terminated")
	expectState(t, changes, gather.Removed, time.Second)
	second := newScriptedAgent(t, 7, "in_service")
	movedAt := time.Now()
	watcher.SetAddress(address(second.Server))
	undoneAt := expectState(t, changes, gather.Running, maxRecheckDelay)
	if undoneAt.Sub(movedAt) < maxListAge {
		t.Errorf("the removal ended %v after the move, by a list that may have been older", undoneAt.Sub(movedAt))
	}
}

// TestDrainHoldsAtAnAgentThatIsBehind guards against requests to a draining server: the new agent does not
// know of the drain for most of the time that it may be behind. It is asked for no second full list.
func TestDrainHoldsAtAnAgentThatIsBehind(t *testing.T) {
	t.Parallel()
	first := newScriptedAgent(t, 41, "terminating")
	watcher, changes := runStateWatcher(t, first, nil, false)
	expectState(t, changes, gather.Draining, time.Second)
	second := newScriptedAgent(t, 7, "in_service")
	watcher.SetAddress(address(second.Server))
	expectNoChange(t, changes, maxListAge-time.Second)
	second.set(8, "terminating")
	expectNoChange(t, changes, 2*time.Second+watchDuration)
	if n := second.answeredFullLists(); n != 1 {
		t.Errorf("%d full lists were requested, want 1", n)
	}
}

// TestDrainHoldsAtAnAgentThatFallsSilentWhileBehind guards against requests to a draining server: the new
// agent learns nothing while it is silent, and serves an old list again after that.
func TestDrainHoldsAtAnAgentThatFallsSilentWhileBehind(t *testing.T) {
	t.Parallel()
	first := newScriptedAgent(t, 41, "terminating")
	watcher, changes := runStateWatcher(t, first, nil, false)
	expectState(t, changes, gather.Draining, time.Second)
	second := newScriptedAgent(t, 7, "in_service")
	watcher.SetAddress(address(second.Server))
	expectNoChange(t, changes, time.Second)
	second.setSilent(true)
	second.CloseClientConnections()
	expectNoChange(t, changes, maxListAge)
	second.setSilent(false)
	expectNoChange(t, changes, maxListAge-time.Second)
	second.set(8, "terminating")
	expectNoChange(t, changes, 2*time.Second+watchDuration)
}

// TestDrainHoldsAtAnAgentThatGoesBackDuringARecheck guards against requests to a draining server: the full
// list that is requested once more has a lower revision than the one before, so that it may be older.
func TestDrainHoldsAtAnAgentThatGoesBackDuringARecheck(t *testing.T) {
	t.Parallel()
	watcher, changes := New(Config{}), []gather.State(nil)
	watcher.config.OnChange = func(_ gather.EndpointList, all []shardcall.Address) {
		changes = append(changes, all[0].State)
	}
	accept := func(revision int64, phase string) {
		r, err := ParseResponse([]byte(document(revision, true, phase)))
		if err != nil {
			t.Fatal(err)
		}
		watcher.accept(r)
	}
	accept(41, "terminating")
	watcher.startOver()
	accept(7, "in_service")
	watcher.recheckAt = time.Now()
	watcher.recheckIfDue()
	if watcher.watching {
		t.Error("the full list is not requested")
	}
	accept(6, "in_service")
	if changes[2] != gather.Draining || time.Until(watcher.recheckAt) < maxListAge-time.Second {
		t.Errorf("states %v, the next recheck is in %v", changes, time.Until(watcher.recheckAt))
	}
}

// TestStoredDrainThatIsUndoneTakesEffect guards against a server that never gets a request after a gatherer's
// start: an earlier process stored its drain, which was undone since. A shared service tells only what
// follows the known list.
func TestStoredDrainThatIsUndoneTakesEffect(t *testing.T) {
	for _, shared := range []bool{false, true} {
		t.Run(fmt.Sprintf("shared service %t", shared), func(t *testing.T) {
			t.Parallel()
			known, err := ParseResponse([]byte(document(41, true, "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			if marked := known.MarkDraining(map[string]float64{"s-00000001": 9}); marked != 1 {
				t.Fatalf("%d servers are marked", marked)
			}
			agent := newScriptedAgent(t, 41, "in_service")
			startedAt := time.Now()
			_, changes := runStateWatcher(t, agent, known, shared)
			expectState(t, changes, gather.Draining, time.Second)
			undoneAt := expectState(t, changes, gather.Running, maxRecheckDelay)
			if undoneAt.Sub(startedAt) < maxListAge {
				t.Errorf("the drain ended %v after the start", undoneAt.Sub(startedAt))
			}
			want := 2
			if shared {
				want = 1
			}
			if n := agent.answeredFullLists(); n != want {
				t.Errorf("%d full lists were requested, want %d", n, want)
			}
		})
	}
}

// TestStoredDrainHoldsUntilDiscoveryTellsIt guards against requests to a draining server, and against a full
// list of a shared service that is requested for nothing: the known list is older than the stored drain,
// which the first watch tells.
func TestStoredDrainHoldsUntilDiscoveryTellsIt(t *testing.T) {
	t.Parallel()
	known, err := ParseResponse([]byte(document(41, true, "in_service")))
	if err != nil {
		t.Fatal(err)
	}
	known.MarkDraining(map[string]float64{"s-00000001": 9})
	agent := newScriptedAgent(t, 42, "terminating")
	_, changes := runStateWatcher(t, agent, known, true)
	expectState(t, changes, gather.Draining, time.Second)
	expectNoChange(t, changes, maxRecheckDelay)
	if n := agent.answeredFullLists(); n != 0 {
		t.Errorf("%d full lists were requested, want none", n)
	}
}
