package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/internal/testbed/reservedport"
	"yokeroute/logic/backoff"
)

// Faults of the agent, which the tests force: it hangs, truncates, is slow or is behind.

// startWatcher runs a watcher of an agent until the test ends. Its lists arrive on the channel.
func startWatcher(t *testing.T, handle http.HandlerFunc) (watcher *Watcher, lists chan gather.EndpointList) {
	t.Helper()
	agent := httptest.NewServer(handle)
	log := logrus.New()
	log.SetOutput(io.Discard)
	lists = make(chan gather.EndpointList, 1000)
	watcher = New(Config{
		Address:  address(agent),
		OnChange: func(l gather.EndpointList, _ []shardcall.Address) { lists <- l },
		Log:      log,
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { watcher.Run(ctx); close(ended) }()
	t.Cleanup(func() {
		stop()
		<-ended
		agent.CloseClientConnections()
		agent.Close()
	})
	return watcher, lists
}

// nextList is the next list, after any failures.
func nextList(t *testing.T, lists chan gather.EndpointList) gather.EndpointList {
	t.Helper()
	limit := time.After(20 * time.Second)
	for {
		select {
		case l := <-lists:
			if !l.Failed {
				return l
			}
		case <-limit:
			t.Fatal("no list")
		}
	}
}

// TestAgentSlowerThanTheHeaderTimeoutIsUnderstood polls an agent that takes longer than the header timeout for each
// answer. The oldest request is kept in flight for that.
func TestAgentSlowerThanTheHeaderTimeoutIsUnderstood(t *testing.T) {
	var calls atomic.Int32
	slow := make(chan struct{})
	_, lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		switch calls.Add(1) {
		case 1:
			select {
			case <-slow:
				io.WriteString(w, fullDocument)
			case <-r.Context().Done():
			}
		case 14:
			close(slow)
			fallthrough
		default:
			<-r.Context().Done()
		}
	})
	if l := nextList(t, lists); !l.Full || len(l.Endpoints) != 2 {
		t.Errorf("notified of %+v", l)
	}
}

// TestListThatArrivesInPiecesIsUnderstood polls an agent that sends the list in pieces, for longer than the header
// timeout in all.
func TestListThatArrivesInPiecesIsUnderstood(t *testing.T) {
	var calls atomic.Int32
	piece := make(chan struct{}, 100)
	text := strings.ReplaceAll(fullDocument, ",", ",\n  ") // indented as well
	_, lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			piece <- struct{}{}
			<-r.Context().Done()
			return
		}
		for len(text) > 0 {
			n := min(len(text), 20)
			io.WriteString(w, text[:n])
			w.(http.Flusher).Flush()
			text = text[n:]
			select {
			case <-piece:
			case <-r.Context().Done():
				return
			}
		}
	})
	if l := nextList(t, lists); !l.Full || len(l.Endpoints) != 2 {
		t.Errorf("notified of %+v", l)
	}
}

// TestFullListRequestsInFlightAreBounded polls an agent that answers nothing.
func TestFullListRequestsInFlightAreBounded(t *testing.T) {
	var calls, open, most atomic.Int32
	enough := make(chan struct{})
	startWatcher(t, func(_ http.ResponseWriter, r *http.Request) {
		if n := open.Add(1); n > most.Load() {
			most.Store(n)
		}
		if calls.Add(1) == 30 {
			close(enough)
		}
		<-r.Context().Done()
		open.Add(-1)
	})
	<-enough
	if n := most.Load(); n > 6 { // five, and the agent may notice a cancellation late
		t.Errorf("%d requests in flight at once", n)
	}
}

// TestTruncatedAnswerIsDiscarded ends answers early at several places, with a length, in chunks or with neither, by
// an end or a reset. The full list is requested again at once.
func TestTruncatedAnswerIsDiscarded(t *testing.T) {
	for how, head := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(fullDocument)),
		"chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(fullDocument)),
		"none":   "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			for _, at := range []int{0, 1, len(fullDocument) / 2, len(fullDocument) - 1, len(fullDocument)} {
				if at == len(fullDocument) && (how != "none" || !reset) {
					continue // it is complete there, and its end says so
				}
				var calls atomic.Int32
				_, lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
					if calls.Add(1) > 1 {
						if r.URL.RawQuery != "" {
							<-r.Context().Done()
							return
						}
						io.WriteString(w, strings.Replace(fullDocument, "41", "40", 1))
						return
					}
					c, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					io.WriteString(c, head+fullDocument[:at])
					if reset {
						c.(*net.TCPConn).SetLinger(0)
					}
					c.Close()
				})
				if l := <-lists; !l.Failed || len(l.Endpoints) > 0 {
					t.Errorf("%s, cut at %d, reset %v: notified of %+v", how, at, reset, l)
				}
				if l := nextList(t, lists); len(l.Endpoints) != 2 {
					t.Errorf("%s, cut at %d: then notified of %+v", how, at, l)
				}
			}
		}
	}
}

// TestDrainDuringASilentWatchIsNoticedInTime has an agent hang on a watch just as a server begins to drain. The rules
// count the drain as known 6 s later.
func TestDrainDuringASilentWatchIsNoticedInTime(t *testing.T) {
	var calls atomic.Int32
	silent := make(chan time.Time, 1)
	drained := strings.Replace(strings.Replace(fullDocument, "in_service", "terminating", 1), "41", "42", 1)
	_, lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		switch n := calls.Add(1); {
		case n == 1:
			io.WriteString(w, fullDocument)
		case n == 2:
			silent <- time.Now()
			<-r.Context().Done()
		case r.URL.RawQuery == "":
			io.WriteString(w, drained)
		default:
			<-r.Context().Done()
		}
	})
	nextList(t, lists)
	from := <-silent
	l := nextList(t, lists)
	if len(l.Endpoints) != 2 || l.Endpoints[0].State != gather.Draining || time.Since(from) > 6*time.Second {
		t.Errorf("notified of %+v after %v", l, time.Since(from))
	}
}

// TestStalledWatchFallsBackToTheFullList has an agent stop in the middle of a watch's answer.
func TestStalledWatchFallsBackToTheFullList(t *testing.T) {
	var calls atomic.Int32
	_, lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 2 {
			io.WriteString(w, changeDocument[:len(changeDocument)/2])
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			return
		}
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, fullDocument)
	})
	nextList(t, lists)
	if l := nextList(t, lists); !l.Full {
		t.Errorf("notified of %+v", l)
	}
}

// TestChangeOfAnOlderRevisionIsDiscarded answers a watch with a change before its revision. The full list is
// requested instead.
func TestChangeOfAnOlderRevisionIsDiscarded(t *testing.T) {
	var calls atomic.Int32
	_, lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		switch n := calls.Add(1); {
		case n == 2:
			io.WriteString(w, strings.Replace(changeDocument, "43", "40", 1))
		case r.URL.RawQuery == "":
			io.WriteString(w, fullDocument)
		default:
			<-r.Context().Done()
		}
	})
	nextList(t, lists)
	if l := <-lists; !l.Failed {
		t.Errorf("notified of %+v", l)
	}
	if l := nextList(t, lists); !l.Full || len(l.Endpoints) != 2 {
		t.Errorf("then notified of %+v", l)
	}
}

// TestUnreachableAgentIsPolledUntilItAnswers polls an address where nobody listens, then an agent that answers 503
// for a while.
func TestUnreachableAgentIsPolledUntilItAnswers(t *testing.T) {
	address := reservedport.ForTest(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	lists := make(chan gather.EndpointList, 1000)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go New(Config{
		Address:  address,
		OnChange: func(l gather.EndpointList, _ []shardcall.Address) { lists <- l },
		Log:      log,
	}).Run(ctx)
	for range 5 {
		if l := <-lists; !l.Failed {
			t.Errorf("notified of %+v", l)
		}
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	var calls atomic.Int32
	agent := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case calls.Add(1) <= 20:
			w.WriteHeader(http.StatusServiceUnavailable)
			io.WriteString(w, fullDocument)
		case r.URL.RawQuery == "":
			io.WriteString(w, fullDocument)
		default:
			<-r.Context().Done()
		}
	})}
	defer agent.Close()
	go agent.Serve(l)
	if l := nextList(t, lists); len(l.Endpoints) != 2 || calls.Load() <= 20 {
		t.Errorf("notified of %+v after %d requests", l, calls.Load())
	}
}

// TestSetAddressTakesEffectWhileRequestsAreUnanswered moves the watch while an agent hangs. The new one is asked at
// once, and drains that the old one reported hold where the new one is behind.
func TestSetAddressTakesEffectWhileRequestsAreUnanswered(t *testing.T) {
	var calls atomic.Int32
	open := make(chan struct{})
	drained := strings.Replace(fullDocument, "in_service", "terminating", 1)
	watcher, lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		switch n := calls.Add(1); n {
		case 1:
			io.WriteString(w, drained)
		case 2: // the watch fails, and the requests for the full list are not answered
			w.WriteHeader(http.StatusInternalServerError)
		default:
			if n == 5 {
				close(open)
			}
			<-r.Context().Done()
		}
	})
	nextList(t, lists)
	<-open
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, strings.Replace(fullDocument, "41", "7", 1))
	}))
	defer second.Close()
	defer second.CloseClientConnections()
	watcher.SetAddress(address(second))
	if l := nextList(t, lists); len(l.Endpoints) != 2 || l.Endpoints[0].State != gather.Draining {
		t.Errorf("notified of %+v", l)
	}
}

// TestOlderListRevertsNoDrainAndNoRemoval applies sequences of responses on one server.
func TestOlderListRevertsNoDrainAndNoRemoval(t *testing.T) {
	at := func(revision int, full bool, phase string, up int) string {
		member := ""
		if phase != "" {
			member = fmt.Sprintf(`{"id":"s-00000001","host_port":"h:1","cell":0,"phase":%q,"up_since_ms":%d}`,
				phase, up)
		}
		return fmt.Sprintf(`{"revision":%d,"complete":%t,"members":[%s]}`, revision, full, member)
	}
	const run, drain, removed = "in_service", "terminating", "terminated"
	for _, c := range []struct {
		name      string
		responses []string
		want      []gather.State // after each; Removed where it is not listed
	}{
		{"a drain, then an older full list",
			[]string{at(5, true, run, 9), at(6, false, drain, 9), at(5, true, run, 9)}, []gather.State{0, 1, 1}},
		{"a removal, then an older full list", []string{at(5, true, run, 9), at(6, false, removed, 9),
			at(5, true, run, 9)}, []gather.State{0, 2, 2}},
		{"a removal that names no start", []string{at(5, true, run, 9), at(6, false, removed, 0),
			at(5, true, run, 9)},
			[]gather.State{0, 2, 2}},
		{"a later process", []string{at(5, true, run, 9), at(6, false, removed, 9), at(5, true, run, 10)},
			[]gather.State{0, 2, 0}},
		{"an older list of the process before",
			[]string{at(5, true, drain, 9), at(6, false, run, 10), at(5, true, drain, 9)}, []gather.State{1, 0, 0}},
		{"a drain reverted by a change", []string{at(5, true, run, 9), at(6, false, drain, 9),
			at(7, false, run, 9)}, []gather.State{0, 1, 0}},
		{"a drain reverted by a newer list", []string{at(5, true, drain, 9), at(7, true, run, 9)},
			[]gather.State{1, 0}},
		{"a list that lacks it, then one that has it",
			[]string{at(5, true, run, 9), at(6, true, "", 0), at(5, true, run, 9)}, []gather.State{0, 2, 0}},
		{"a drain, a list that lacks it, an older one",
			[]string{at(5, true, run, 9), at(6, false, drain, 9), at(7, true, "", 0),
				at(5, true, run, 9)}, []gather.State{0, 1, 2, 2}},
		{"an agent that starts anew", []string{at(50, true, run, 9), at(1, true, run, 9), at(2, false, drain, 9),
			at(3, true, drain, 9)}, []gather.State{0, 0, 1, 1}},
	} {
		var all []shardcall.Address
		var list gather.EndpointList
		watcher := New(Config{
			Address:  "127.0.0.1:1",
			OnChange: func(l gather.EndpointList, a []shardcall.Address) { list, all = l, a },
		})
		for i, text := range c.responses {
			r, err := ParseResponse([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			watcher.Apply(r)
			state, listed := gather.Removed, gather.Removed
			for _, a := range all {
				state = a.State
			}
			for _, s := range list.Endpoints {
				listed = s.State
			}
			if state != c.want[i] || listed != c.want[i] {
				t.Errorf("%s: after response %d it is %v, notified as %v, want %v", c.name, i, state, listed,
					c.want[i])
			}
		}
	}
}

// TestRemovedNamesAreBounded removes more servers than are remembered as removed.
func TestRemovedNamesAreBounded(t *testing.T) {
	watcher := New(Config{
		Address:  "127.0.0.1:1",
		OnChange: func(gather.EndpointList, []shardcall.Address) {},
	})
	for i := range 3 * maxRemovedNames {
		r, err := ParseResponse(fmt.Appendf(nil, `{"revision":%d,"members":[{"id":"s-%d","phase":"terminated"}]}`,
			i, i))
		if err != nil {
			t.Fatal(err)
		}
		watcher.Apply(r)
	}
	if len(watcher.endpoints.observations) > maxRemovedNames ||
		len(watcher.endpoints.removedNames) > maxRemovedNames ||
		!slices.Contains(watcher.endpoints.removedNames, fmt.Sprint("s-", 3*maxRemovedNames-1)) {
		t.Errorf("%d observations, %d names", len(watcher.endpoints.observations),
			len(watcher.endpoints.removedNames))
	}
}

// newSharedWatcher returns a watcher of a shared service, with a list that is known already.
func newSharedWatcher(t *testing.T, agent *httptest.Server) *Watcher {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	watcher := New(Config{
		Address:  address(agent),
		OnChange: func(gather.EndpointList, []shardcall.Address) {},
		Log:      log,
	})
	watcher.config.SharedService = true
	known, err := ParseResponse([]byte(fullDocument))
	if err != nil {
		t.Fatal(err)
	}
	watcher.Apply(known)
	return watcher
}

// TestSharedServiceIsPolledOneRequestAtATimeWithBackoff has a shared service refuse requests for a while. Requests
// are made one at a time, with growing pauses, for what follows the known revision: a few gatherers that polled
// without pauses would keep it from recovering.
func TestSharedServiceIsPolledOneRequestAtATimeWithBackoff(t *testing.T) {
	const refusals = 5
	type call struct {
		at    time.Time
		query string
	}
	calls := make(chan call, 100)
	var open, most atomic.Int32
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n := open.Add(1); n > most.Load() {
			most.Store(n)
		}
		defer open.Add(-1)
		calls <- call{time.Now(), r.URL.RawQuery}
		if len(calls) <= refusals {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		<-r.Context().Done()
	}))
	defer agent.Close()
	watcher := newSharedWatcher(t, agent)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { watcher.Run(ctx); close(ended) }()
	for end := time.Now().Add(20 * time.Second); len(calls) <= refusals && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	stop()
	<-ended
	var before time.Time
	for n := range refusals + 1 {
		c := <-calls
		if want := "index=" + strconv.FormatInt(watcher.endpoints.revision, 10) + "&"; !strings.HasPrefix(c.query,
			want) {
			t.Errorf("request %d is %q, not from %q on", n, c.query, want)
		}
		if least := time.Duration(backoff.Pause(n, 0)) * time.Millisecond; n > 0 && c.at.Sub(before) < least {
			t.Errorf("request %d follows after %s, at least %s are due", n, c.at.Sub(before), least)
		}
		before = c.at
	}
	if most.Load() != 1 {
		t.Errorf("%d requests were in flight at once", most.Load())
	}
}

// TestStaleSharedServiceIsAskedForItsFullList has a shared service be behind the known revision.
func TestStaleSharedServiceIsAskedForItsFullList(t *testing.T) {
	queries := make(chan string, 100)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		io.WriteString(w, `{"revision":0,"complete":false,"members":[]}`)
	}))
	defer agent.Close()
	watcher := newSharedWatcher(t, agent)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go watcher.Run(ctx)
	if first, second := <-queries, <-queries; first == "" || second != "" {
		t.Errorf("requested %q, then %q", first, second)
	}
}

// fleetDocument is a full list of so many servers, one a line.
func fleetDocument(servers int) string {
	var b strings.Builder
	b.WriteString(`{"revision":44,"complete":true,"members":[`)
	for i := range servers {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "\n{\"id\":\"s-%08x\",\"host_port\":\"10.%d.%d.%d:8000\",\"locality\":\"region-%d/zone-%d\",\"flavor\":\"m2\",\"cell\":%d,\"phase\":\"in_service\",\"size\":1.0,\"up_since_ms\":1764650000000}",
			i, i>>16, i>>8&255, i&255, i%3, i%12, i/3)
	}
	b.WriteString("]}")
	return b.String()
}

// TestListOfTheDesignSizeIsUnderstood reads the list of the largest fleet that is planned for.
func TestListOfTheDesignSizeIsUnderstood(t *testing.T) {
	const servers = 28_000
	text := fleetDocument(servers)
	if len(text) <= 4<<20 {
		t.Errorf("a list of %d bytes shows nothing", len(text))
	}
	_, lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, text)
	})
	if l := nextList(t, lists); len(l.Endpoints) != servers {
		t.Errorf("%d servers are listed", len(l.Endpoints))
	}
}

// TestOversizedListIsReportedOnceAndDiscarded serves a list over the limit. It is logged once at error level, and the
// list before stays in force.
func TestOversizedListIsReportedOnceAndDiscarded(t *testing.T) {
	text := fleetDocument(maxMembers + 1)
	var calls atomic.Int32
	again := make(chan struct{})
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch n := calls.Add(1); {
		case n == 1:
			io.WriteString(w, fullDocument)
		case n > 4:
			<-r.Context().Done()
		default:
			if n == 4 {
				close(again)
			}
			io.WriteString(w, text)
		}
	}))
	defer agent.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	said := logtest.NewLocal(log)
	lists := make(chan []shardcall.Address, 100)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	watcher := New(Config{
		Address:  address(agent),
		OnChange: func(_ gather.EndpointList, all []shardcall.Address) { lists <- all },
		Log:      log,
	})
	go func() { watcher.Run(ctx); close(ended) }()
	<-again
	stop()
	agent.CloseClientConnections()
	<-ended
	for range len(lists) {
		if all := <-lists; len(all) != 2 {
			t.Errorf("%d servers are held", len(all))
		}
	}
	errors := 0
	for _, e := range said.AllEntries() {
		if e.Level == logrus.ErrorLevel {
			errors++
			if text := fmt.Sprint(e.Data["error"]); !strings.Contains(text, fmt.Sprint(maxMembers)) {
				t.Errorf("logged %q", text)
			}
		}
	}
	if errors != 1 {
		t.Errorf("logged %d times at error level", errors)
	}
}

// TestNamesWithEqualNumbersGetDistinctIDs lists two names with one number, through a removal, a return and a name
// whose own number is taken.
func TestNamesWithEqualNumbersGetDistinctIDs(t *testing.T) {
	const first, second, third = "s-0000002a", "t-0000002a", "s-0000002b"
	if ServerID(first) != ServerID(second) || ServerID(third) != ServerID(first)+1 {
		t.Fatal("they are not alike")
	}
	held := map[string]uint32{}
	watcher := New(Config{Address: "127.0.0.1:1", OnChange: func(_ gather.EndpointList, all []shardcall.Address) {
		clear(held)
		for _, a := range all {
			if a.HostPort != a.Name+":1" {
				t.Errorf("%s is at %s", a.Name, a.HostPort)
			}
			held[a.Name] = a.ID
		}
	}, Log: logrus.New()})
	revision := 0
	take := func(complete bool, phase string, names ...string) {
		revision++
		var entries []string
		for _, name := range names {
			entries = append(entries, fmt.Sprintf(`{"id":"%s","host_port":"%s:1","cell":0,"phase":"%s"}`, name,
				name, phase))
		}
		r, err := ParseResponse(fmt.Appendf(nil, `{"revision":%d,"complete":%t,"members":[%s]}`, revision, complete,
			strings.Join(entries, ",")))
		if err != nil {
			t.Fatal(err)
		}
		watcher.Apply(r)
		numbers := map[uint32]bool{}
		for _, id := range held {
			numbers[id] = true
		}
		if len(numbers) != len(held) {
			t.Errorf("after %v: %v", names, held)
		}
	}
	take(true, "in_service", first, second, third)
	if len(held) != 3 {
		t.Errorf("held %v", held)
	}
	before := held[second]
	take(false, "terminated", first)
	if _, there := held[first]; there || held[second] != before {
		t.Errorf("held %v", held)
	}
	take(false, "in_service", first)
	if len(held) != 3 || held[second] != before {
		t.Errorf("held %v", held)
	}
}
