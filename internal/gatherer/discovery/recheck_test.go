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

// scriptedAgent is an agent with a list of one server that the test changes. It answers long polls like a real agent.
type scriptedAgent struct {
	*httptest.Server

	mu        sync.Mutex
	revision  int64
	phase     string
	upSince   int64         // start time that it reports, 0 for long ago
	changed   chan struct{} // closed by the next change
	silent    bool
	fullLists int // answered requests for the full list
	// write writes a response, nil to write it at once and in one piece.
	write func(w http.ResponseWriter, r *http.Request, text string)
}

func newScriptedAgent(t *testing.T, revision int64, phase string) *scriptedAgent {
	a := &scriptedAgent{revision: revision, phase: phase, upSince: 9, changed: make(chan struct{})}
	a.Server = httptest.NewServer(a)
	t.Cleanup(func() {
		a.CloseClientConnections()
		a.Close()
	})
	return a
}

// set changes the phase of the server and the revision.
func (a *scriptedAgent) set(revision int64, phase string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision, a.phase = revision, phase
	close(a.changed)
	a.changed = make(chan struct{})
}

// setSilent makes the agent stop answering requests, or answer again.
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

// document returns the list of an agent at the given revision.
func document(revision int64, full bool, phase string) string {
	return documentSince(revision, full, phase, 9)
}

func documentSince(revision int64, full bool, phase string, upSince int64) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[{"id":"s-00000001","host_port":"h:1","cell":0,`+
		`"phase":%q,"up_since_ms":%d}]}`, revision, full, phase, upSince)
}

func (a *scriptedAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	watch := err == nil
	timeout := time.After(watchDuration)
	for {
		a.mu.Lock()
		revision, phase, upSince, changed, silent := a.revision, a.phase, a.upSince, a.changed, a.silent
		write := a.write
		if !watch && !silent {
			a.fullLists++
		}
		a.mu.Unlock()
		if write == nil {
			write = func(w http.ResponseWriter, _ *http.Request, text string) { io.WriteString(w, text) }
		}
		switch {
		case silent:
			<-r.Context().Done()
			return
		case !watch:
			write(w, r, documentSince(revision, true, phase, upSince))
			return
		case revision > after:
			write(w, r, documentSince(revision, false, phase, upSince))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			write(w, r, fmt.Sprintf(`{"revision":%d,"complete":false}`, revision))
			return
		case <-r.Context().Done():
			return
		}
	}
}

// stateChange is a new state of the server, and the time at which the watcher reported it.
type stateChange struct {
	state gather.State
	at    time.Time
}

// runStateWatcher runs a watcher until the test ends. It first applies the known response, unless that is nil. Changes
// of the server's state are sent on the channel.
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

// expectState checks that the next state of the server is want and is reported within the given time. It returns the
// time of the report.
func expectState(t *testing.T, changes <-chan stateChange, want gather.State, within time.Duration) time.Time {
	t.Helper()
	select {
	case change := <-changes:
		if change.state != want {
			t.Fatalf("the server is %v, want %v", change.state, want)
		}
		return change.at
	case <-time.After(within):
		t.Fatalf("the server is not %v within %v", want, within)
	}
	return time.Time{}
}

// expectNoChange checks that the state of the server does not change for the given duration.
func expectNoChange(t *testing.T, changes <-chan stateChange, duration time.Duration) {
	t.Helper()
	select {
	case change := <-changes:
		t.Fatalf("the server is now %v, want no change", change.state)
	case <-time.After(duration):
	}
}

// maxRecheckDelay is the time after which a recheck must have taken effect. It includes the end of the watch in
// progress.
const maxRecheckDelay = maxListAge + watchDuration + headerTimeout

// TestDrainUndoneDuringAgentChangeIsReverted guards against a server that never receives a request again: its drain is
// undone while the agent does not answer, and the gatherer switches to another agent with lower revisions. The drain
// must not end before the list of the new agent can no longer be an older one.
func TestDrainUndoneDuringAgentChangeIsReverted(t *testing.T) {
	t.Parallel()
	first := newScriptedAgent(t, 40, "in_service")
	watcher, changes := runStateWatcher(t, first, nil, false)
	expectState(t, changes, gather.Running, time.Second)
	first.set(41, "terminating")
	expectState(t, changes, gather.Draining, time.Second)
	first.setSilent(true)
	second := newScriptedAgent(t, 7, "in_service")
	changedAt := time.Now()
	watcher.SetAddress(address(second.Server))
	undoneAt := expectState(t, changes, gather.Running, maxRecheckDelay)
	if undoneAt.Sub(changedAt) < maxListAge {
		t.Errorf("the drain ended %v after the agent changed, want at least maxListAge: the list may be older",
			undoneAt.Sub(changedAt))
	}
	expectNoChange(t, changes, watchDuration)
	if n := second.answeredFullLists(); n != 2 {
		t.Errorf("%d full lists were requested, want 2", n)
	}
}

// TestRemovalUndoneDuringAgentChangeIsReverted guards against the same failure for a server that discovery had removed
// by name.
func TestRemovalUndoneDuringAgentChangeIsReverted(t *testing.T) {
	t.Parallel()
	first := newScriptedAgent(t, 40, "in_service")
	watcher, changes := runStateWatcher(t, first, nil, false)
	expectState(t, changes, gather.Running, time.Second)
	first.set(41, "terminated")
	expectState(t, changes, gather.Removed, time.Second)
	second := newScriptedAgent(t, 7, "in_service")
	changedAt := time.Now()
	watcher.SetAddress(address(second.Server))
	undoneAt := expectState(t, changes, gather.Running, maxRecheckDelay)
	if undoneAt.Sub(changedAt) < maxListAge {
		t.Errorf("the removal ended %v after the agent changed, want at least maxListAge: the list may be older",
			undoneAt.Sub(changedAt))
	}
}

// TestDrainIsKeptWhileNewAgentIsBehind guards against requests to a draining server: the new agent does not know of
// the drain for most of the time that it may be behind. It must not be asked for a second full list.
func TestDrainIsKeptWhileNewAgentIsBehind(t *testing.T) {
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

// TestDrainIsKeptWhenAgentStopsAnsweringWhileBehind guards against requests to a draining server: the new agent learns
// nothing while it does not answer, and serves an old list again after that.
func TestDrainIsKeptWhenAgentStopsAnsweringWhileBehind(t *testing.T) {
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

// TestDrainIsKeptWhenRecheckReturnsLowerRevision guards against requests to a draining server: the full list of the
// recheck has a lower revision than the one before, so that it may be older.
func TestDrainIsKeptWhenRecheckReturnsLowerRevision(t *testing.T) {
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
		watcher.accept(time.Now(), r)
	}
	accept(41, "terminating")
	watcher.startOver()
	accept(7, "in_service")
	watcher.recheckAt = time.Now()
	watcher.recheckIfDue()
	if watcher.watching {
		t.Error("the recheck does not request the full list")
	}
	accept(6, "in_service")
	if changes[2] != gather.Draining || time.Until(watcher.recheckAt) < maxListAge-time.Second {
		t.Errorf("states %v, next recheck in %v; want draining in the third, and maxListAge",
			changes, time.Until(watcher.recheckAt))
	}
}

// TestStoredDrainThatWasUndoneIsReverted guards against a server that receives no request after a gatherer starts: an
// earlier process stored its drain, which has been undone since. A shared service reports only the changes since the
// known list.
func TestStoredDrainThatWasUndoneIsReverted(t *testing.T) {
	for _, shared := range []bool{false, true} {
		t.Run(fmt.Sprintf("shared service %t", shared), func(t *testing.T) {
			t.Parallel()
			known, err := ParseResponse([]byte(document(41, true, "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			if marked := known.MarkDraining(map[string]float64{"s-00000001": 9}); marked != 1 {
				t.Fatalf("%d servers are marked, want 1", marked)
			}
			agent := newScriptedAgent(t, 41, "in_service")
			startedAt := time.Now()
			_, changes := runStateWatcher(t, agent, known, shared)
			expectState(t, changes, gather.Draining, time.Second)
			undoneAt := expectState(t, changes, gather.Running, maxRecheckDelay)
			if undoneAt.Sub(startedAt) < maxListAge {
				t.Errorf("the drain ended %v after the start, want at least maxListAge", undoneAt.Sub(startedAt))
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

// TestStoredDrainIsKeptUntilDiscoveryReportsIt guards against requests to a draining server, and against an
// unnecessary request for the full list to a shared service: the known list is older than the stored drain, which the
// first watch reports.
func TestStoredDrainIsKeptUntilDiscoveryReportsIt(t *testing.T) {
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
