package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/internal/testbed/reservedport"
)

// The tests in this file make the agent hang, truncate responses, answer slowly or serve old revisions.

// startWatcher runs a watcher against an agent until the test ends. The lists that it reports are sent on the channel.
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

// nextList returns the next list that is not a failure.
func nextList(t *testing.T, lists chan gather.EndpointList) gather.EndpointList {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case l := <-lists:
			if !l.Failed {
				return l
			}
		case <-timeout:
			t.Fatal("no endpoint list within 20 s")
		}
	}
}

// TestListSlowerThanHeaderTimeoutIsAccepted polls an agent that takes longer than the header timeout for each
// response. The oldest request must be kept in flight for it.
func TestListSlowerThanHeaderTimeoutIsAccepted(t *testing.T) {
	var calls atomic.Int32
	releaseFirst := make(chan struct{})
	_, lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		switch calls.Add(1) {
		case 1:
			select {
			case <-releaseFirst:
				io.WriteString(w, fullDocument)
			case <-r.Context().Done():
			}
		case 14:
			close(releaseFirst)
			fallthrough
		default:
			<-r.Context().Done()
		}
	})
	if l := nextList(t, lists); !l.Full || len(l.Endpoints) != 2 {
		t.Errorf("notified of %+v, want a full list with 2 endpoints", l)
	}
}

// TestListSentInPiecesIsAccepted polls an agent that sends the list in small pieces, over more time than the header
// timeout.
func TestListSentInPiecesIsAccepted(t *testing.T) {
	var calls atomic.Int32
	nextPiece := make(chan struct{}, 100)
	text := strings.ReplaceAll(fullDocument, ",", ",\n  ") // with indentation
	_, lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			nextPiece <- struct{}{}
			<-r.Context().Done()
			return
		}
		for len(text) > 0 {
			n := min(len(text), 20)
			io.WriteString(w, text[:n])
			w.(http.Flusher).Flush()
			text = text[n:]
			select {
			case <-nextPiece:
			case <-r.Context().Done():
				return
			}
		}
	})
	if l := nextList(t, lists); !l.Full || len(l.Endpoints) != 2 {
		t.Errorf("notified of %+v, want a full list with 2 endpoints", l)
	}
}

// TestFullListRequestsInFlightAreBounded polls an agent that never answers, and checks the number of requests in
// flight.
func TestFullListRequestsInFlightAreBounded(t *testing.T) {
	var calls, open, maxOpen atomic.Int32
	enoughCalls := make(chan struct{})
	startWatcher(t, func(_ http.ResponseWriter, r *http.Request) {
		if n := open.Add(1); n > maxOpen.Load() {
			maxOpen.Store(n)
		}
		if calls.Add(1) == 30 {
			close(enoughCalls)
		}
		<-r.Context().Done()
		open.Add(-1)
	})
	<-enoughCalls
	if n := maxOpen.Load(); n > maxAgentRequests+1 { // the agent may notice a cancellation late
		t.Errorf("%d requests in flight at once, want at most %d", n, maxAgentRequests+1)
	}
}

// TestTruncatedResponseIsDiscarded truncates responses at several positions, with a Content-Length, with chunks or
// with neither, and by a regular close or a reset. The full list must be requested again immediately.
func TestTruncatedResponseIsDiscarded(t *testing.T) {
	for framing, header := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(fullDocument)),
		"chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(fullDocument)),
		"none":   "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			for _, cut := range []int{0, 1, len(fullDocument) / 2, len(fullDocument) - 1, len(fullDocument)} {
				if cut == len(fullDocument) && (framing != "none" || !reset) {
					continue // at its full length the response is complete, and a close proves it
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
					io.WriteString(c, header+fullDocument[:cut])
					if reset {
						c.(*net.TCPConn).SetLinger(0)
					}
					c.Close()
				})
				if l := <-lists; !l.Failed || len(l.Endpoints) > 0 {
					t.Errorf("%s, cut at %d, reset %v: notified of %+v, want a failure", framing, cut, reset, l)
				}
				if l := nextList(t, lists); len(l.Endpoints) != 2 {
					t.Errorf("%s, cut at %d: then notified of %+v, want 2 endpoints", framing, cut, l)
				}
			}
		}
	}
}

// TestDrainDuringUnansweredWatchIsNoticedWithin6Seconds has an agent hang on a watch while a server begins to drain.
// The rules for drains count the drain as known 6 s later.
func TestDrainDuringUnansweredWatchIsNoticedWithin6Seconds(t *testing.T) {
	var calls atomic.Int32
	watchStarted := make(chan time.Time, 1)
	drained := strings.Replace(strings.Replace(fullDocument, "in_service", "terminating", 1), "41", "42", 1)
	_, lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		switch n := calls.Add(1); {
		case n == 1:
			io.WriteString(w, fullDocument)
		case n == 2:
			watchStarted <- time.Now()
			<-r.Context().Done()
		case r.URL.RawQuery == "":
			io.WriteString(w, drained)
		default:
			<-r.Context().Done()
		}
	})
	nextList(t, lists)
	startedAt := <-watchStarted
	l := nextList(t, lists)
	if len(l.Endpoints) != 2 || l.Endpoints[0].State != gather.Draining || time.Since(startedAt) > 6*time.Second {
		t.Errorf("notified of %+v after %v, want the drain within 6 s", l, time.Since(startedAt))
	}
}

// TestStalledWatchFallsBackToFullList has an agent stop in the middle of the response to a watch.
func TestStalledWatchFallsBackToFullList(t *testing.T) {
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
		t.Errorf("notified of %+v, want a full list", l)
	}
}

// TestChangeWithOlderRevisionIsDiscarded answers a watch with a change whose revision is lower than the known one. The
// full list must be requested instead.
func TestChangeWithOlderRevisionIsDiscarded(t *testing.T) {
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
		t.Errorf("notified of %+v, want a failure", l)
	}
	if l := nextList(t, lists); !l.Full || len(l.Endpoints) != 2 {
		t.Errorf("then notified of %+v, want a full list with 2 endpoints", l)
	}
}

// TestUnreachableAgentIsPolledUntilItAnswers polls an address without a listener, then an agent that returns 503 for a
// while.
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
			t.Errorf("notified of %+v, want a failure", l)
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
		t.Errorf("notified of %+v after %d requests, want 2 endpoints after more than 20", l, calls.Load())
	}
}

// TestSetAddressTakesEffectDuringUnansweredRequests changes the address while the agent hangs. The new agent must be
// asked immediately, and a drain that the old agent reported must be kept although the list of the new one is older.
func TestSetAddressTakesEffectDuringUnansweredRequests(t *testing.T) {
	var calls atomic.Int32
	fullListRequested := make(chan struct{})
	drained := strings.Replace(fullDocument, "in_service", "terminating", 1)
	watcher, lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		switch n := calls.Add(1); n {
		case 1:
			io.WriteString(w, drained)
		case 2: // the watch fails, and later requests for the full list are not answered
			w.WriteHeader(http.StatusInternalServerError)
		default:
			if n == 5 {
				close(fullListRequested)
			}
			<-r.Context().Done()
		}
	})
	nextList(t, lists)
	<-fullListRequested
	newAgent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, strings.Replace(fullDocument, "41", "7", 1))
	}))
	defer newAgent.Close()
	defer newAgent.CloseClientConnections()
	watcher.SetAddress(address(newAgent))
	if l := nextList(t, lists); len(l.Endpoints) != 2 || l.Endpoints[0].State != gather.Draining {
		t.Errorf("notified of %+v, want 2 endpoints, the first draining", l)
	}
}

// fleetDocument returns a full list with the given number of servers, one per line.
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

// TestListOfLargestPlannedFleetIsAccepted polls an agent with a list of 28,000 servers, the largest planned fleet.
func TestListOfLargestPlannedFleetIsAccepted(t *testing.T) {
	const servers = 28_000
	text := fleetDocument(servers)
	if len(text) <= 4<<20 {
		t.Errorf("the list has %d bytes, too few for this test: want more than 4 MiB", len(text))
	}
	_, lists := startWatcher(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, text)
	})
	if l := nextList(t, lists); len(l.Endpoints) != servers {
		t.Errorf("%d servers are listed, want 28000", len(l.Endpoints))
	}
}

// TestOversizedListIsLoggedOnceAndDiscarded serves a list with more than maxMembers members, three times, however long
// they take to parse. It must be logged once at error level, and the previous list must stay in use.
func TestOversizedListIsLoggedOnceAndDiscarded(t *testing.T) {
	const oversizedLists = 3
	text := fleetDocument(maxMembers + 1)
	var calls atomic.Int32
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch n := calls.Add(1); {
		case n == 1:
			io.WriteString(w, fullDocument)
		case n <= 1+oversizedLists:
			io.WriteString(w, text)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer agent.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.DebugLevel)
	logs := logtest.NewLocal(log)
	lists := make(chan []shardcall.Address, 1000)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	watcher := New(Config{
		Address:  address(agent),
		OnChange: func(_ gather.EndpointList, all []shardcall.Address) { lists <- all },
		Log:      log,
	})
	go func() { watcher.Run(ctx); close(ended) }()
	rejected := func() (levels []logrus.Level) {
		for _, e := range logs.AllEntries() {
			if text := fmt.Sprint(e.Data["error"]); strings.Contains(text, fmt.Sprint(maxMembers)) {
				levels = append(levels, e.Level)
			}
		}
		return levels
	}
	const patience = time.Minute
	for deadline := time.Now().Add(patience); len(rejected()) < oversizedLists && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	stop()
	agent.CloseClientConnections()
	<-ended
	for range len(lists) {
		if all := <-lists; len(all) != 2 {
			t.Errorf("%d servers are listed, want the 2 of the previous list", len(all))
		}
	}
	errorEntries := 0
	for _, e := range logs.AllEntries() {
		if e.Level == logrus.ErrorLevel {
			errorEntries++
		}
	}
	levels := rejected()
	if len(levels) != oversizedLists || levels[0] != logrus.ErrorLevel || errorEntries != 1 {
		t.Errorf("the limit maxMembers is named at levels %v, with %d entries at error level in all; want %d, of which "+
			"only the first is at error level", levels, errorEntries, oversizedLists)
	}
}
