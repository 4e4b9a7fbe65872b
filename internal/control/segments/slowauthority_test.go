package segments

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/logic/ownership"
)

// TestSlowAuthorityIsHeard guards against a gatherer that keeps an old map: each request to an authority that responds
// late, before or within its response, was given up and repeated. Every second request is not answered at all.
func TestSlowAuthorityIsHeard(t *testing.T) {
	for _, delay := range []time.Duration{1500 * time.Millisecond, 4 * time.Second} {
		for _, withinResponse := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, within the response %t", delay, withinResponse), func(t *testing.T) {
				t.Parallel()
				testSlowAuthority(t, delay, withinResponse)
			})
		}
	}
}

func testSlowAuthority(t *testing.T, delay time.Duration, withinResponse bool) {
	m, _, _ := ParseMap("m.conf", validMapFile)
	next, err := m.MoveSegment("a", []string{"h-9"})
	if err != nil {
		t.Fatal(err)
	}
	var requests, open, maxOpen atomic.Int32
	var changed atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n := open.Add(1); n > maxOpen.Load() {
			maxOpen.Store(n)
		}
		defer open.Add(-1)
		text := (&Response{Full: m}).Encode()
		if r.URL.Query().Get("after") != "" {
			text = (&Response{}).Encode()
			if changed.Load() {
				text = (&Response{Changes: []ownership.Change{next}}).Encode()
			}
		}
		if withinResponse {
			w.Header().Set("Content-Length", fmt.Sprint(len(text)))
			w.Write(text[:1])
			w.(http.Flusher).Flush()
			text = text[1:]
		}
		answered := time.After(delay)
		if requests.Add(1)%2 == 0 {
			answered = nil
		}
		select {
		case <-answered:
			w.Write(text)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	receiver := &recordingReceiver{mapRequested: make(chan struct{}, 1), received: make(chan bool, 100)}
	var running sync.WaitGroup
	ctx, stop := context.WithCancel(t.Context())
	defer running.Wait()
	defer stop()
	running.Go(func() { NewWatcher(strings.TrimPrefix(server.URL, "http://"), receiver, log).Run(ctx) })
	await := func() {
		select {
		case <-receiver.received:
		case <-time.After(4 * (delay + watchDuration + responseTimeout)):
			t.Error("the receiver got no map or change")
		}
	}
	await()
	changed.Store(true)
	await()
	receiver.mu.Lock()
	defer receiver.mu.Unlock()
	if got := strings.Join(receiver.entries, ", "); got != "map 7, change 8" {
		t.Errorf("the receiver got %s, want map 7, change 8", got)
	}
	if n := maxOpen.Load(); n > maxRequests+1 { // the authority may notice a cancellation late
		t.Errorf("%d requests in flight at once, want at most %d", n, maxRequests+1)
	}
}
