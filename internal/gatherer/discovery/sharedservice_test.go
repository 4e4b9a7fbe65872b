package discovery

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/logic/backoff"
)

// newSharedWatcher returns a watcher of a shared service that has already been given a list.
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

// TestSharedServiceIsPolledOneRequestAtATimeWithBackoff has a shared service reject requests for a while. Requests for
// the changes since the known revision must be made one at a time with growing delays: a few gatherers that poll
// without delays would keep the service from recovering.
func TestSharedServiceIsPolledOneRequestAtATimeWithBackoff(t *testing.T) {
	const rejections = 5
	type call struct {
		at    time.Time
		query string
	}
	calls := make(chan call, 100)
	var open, maxOpen atomic.Int32
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n := open.Add(1); n > maxOpen.Load() {
			maxOpen.Store(n)
		}
		defer open.Add(-1)
		calls <- call{time.Now(), r.URL.RawQuery}
		if len(calls) <= rejections {
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
	for deadline := time.Now().Add(20 * time.Second); len(calls) <= rejections && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	stop()
	<-ended
	var previousAt time.Time
	for n := range rejections + 1 {
		c := <-calls
		if want := "index=" + strconv.FormatInt(watcher.endpoints.revision, 10) + "&"; !strings.HasPrefix(c.query,
			want) {
			t.Errorf("request %d has the query %q, want the prefix %q", n, c.query, want)
		}
		if minDelay := time.Duration(backoff.Pause(n, 0)) * time.Millisecond; n > 0 && c.at.Sub(previousAt) < minDelay {
			t.Errorf("request %d follows after %s, want at least %s", n, c.at.Sub(previousAt), minDelay)
		}
		previousAt = c.at
	}
	if maxOpen.Load() != 1 {
		t.Errorf("up to %d requests in flight, want 1", maxOpen.Load())
	}
}

// TestStaleSharedServiceIsAskedForFullList has a shared service report a revision lower than the known one.
func TestStaleSharedServiceIsAskedForFullList(t *testing.T) {
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
		t.Errorf("queries %q, then %q; want a watch, then the full list", first, second)
	}
}
