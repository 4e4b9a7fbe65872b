package segments

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/logic/ownership"
)

const validMapFile = "epoch 7\nshards 16\nsegment a keys 0000000000000000-7fffffffffffffff on h-1 h-2 since 3\nsegment b keys 8000000000000000-ffffffffffffffff on h-2\n"

// TestMapFileRoundTripAndErrorPositions checks that a formatted map file parses to the same map, and that each mistake
// is reported in a single message with its position.
func TestMapFileRoundTripAndErrorPositions(t *testing.T) {
	m, shards, err := ParseMap("m.conf", validMapFile)
	if err != nil || m.Epoch != 7 || shards != 16 || len(m.Segments) != 2 || m.Segments[0].OwnedSince != 3 ||
		m.Segments[1].OwnedSince != 7 || m.Segments[0].Owners[1] != "h-2" {
		t.Fatalf("valid map file: parsed to %+v, %d shards, error %v", m, shards, err)
	}
	reparsed, _, err := ParseMap("again.conf", FormatMap(m, shards))
	if err != nil || !reflect.DeepEqual(reparsed, m) {
		t.Errorf("formatted and parsed again: got %+v, %v; want the same map", reparsed, err)
	}
	for _, c := range []struct{ text, want string }{
		{"segment a keys 0000000000000000-ffffffffffffffff on h\n", "m.conf:1:1: lacks its epoch"},
		{"epoch 7\nsegment a keys 0-9 on h\n", `m.conf:2:16: "0-9": "0-9" is not a range of keys`},
		{"epoch 7\nsegment a keys 8000000000000000-0000000000000000 on h\n", "ends before it begins"},
		{"epoch 7\nsegment a on h\n", `m.conf:2:1: "segment": lacks "keys"`},
		{"epoch 7\nsegment a keys 0000000000000000-8000000000000000 on h\nsegment b keys 8000000000000000-ffffffffffffffff on g\n", `m.conf:3:1: segments "a" and "b" both own the key 8000000000000000`},
		{"epoch 7\nsegment a keys 0000000000000000-7fffffffffffffff\nsegment a keys 8000000000000000-ffffffffffffffff on g\n", `m.conf:3:1: segment "a" is defined twice`},
		{"epoch 7\nsegment a keys 0000000000000000-7fffffffffffffff on h h\n", "is empty or listed twice"},
		{"epoch 7\nsegment a keys 0000000000000000-7fffffffffffffff on h since 9\n",
			`m.conf:2:1: segment "a" is owned since epoch 9, the map's is 7`},
		{"epoch -1\n", `"-1"`},
		{"epoch 1\nepoch 2\n", "stands already at m.conf:1:1"},
		{"epoc 1\n", "did you mean epoch?"},
	} {
		if _, _, err := ParseMap("m.conf", c.text); err == nil || !strings.Contains(err.Error(), c.want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("parsing %q: got error %v, want a single line that contains %q", c.text, err, c.want)
		}
	}
	page := filepath.Join("..", "..", "..", "docs", "operate", "reference-segments.md")
	if text, err := os.ReadFile(page); err != nil || string(text) != MapReference() {
		t.Errorf("%s differs from the output of yokeroute reference segments (read error: %v)", page, err)
	}
}

// TestResponseRoundTripAndFaultyFieldNamed checks that an encoded response parses to the same value, and that a
// response with an invalid field is rejected with an error that names the field.
func TestResponseRoundTripAndFaultyFieldNamed(t *testing.T) {
	m, _, _ := ParseMap("m.conf", validMapFile)
	split, err := m.SplitSegment("a", 5, "c", "d")
	if err != nil {
		t.Fatal(err)
	}
	r := &Response{Full: m, Changes: []ownership.Change{split}}
	reparsed, err := ParseResponse(r.Encode())
	if err != nil || !reflect.DeepEqual(reparsed, r) {
		t.Fatalf("encoded and parsed again: got %+v, %v; want the same response", reparsed, err)
	}
	text := string(r.Encode())
	for _, c := range []struct{ old, new, want string }{
		{`"keys":"0000000000000000-7fffffffffffffff"`, `"keys":"0-7"`, "whole.segments[0].keys"},
		{`"name":"b"`, `"name":""`, "whole.segments[1].name"},
		{`"sum":"`, `"sum":"x`, "whole.sum"},
		{`"was":"`, `"was":"-`, "changes[0].was"},
		{`"epoch":7`, `"epoch":-7`, "epoch"},
		{`{`, ``, "invalid"},
	} {
		if _, err := ParseResponse([]byte(strings.Replace(text, c.old, c.new, 1))); err == nil ||
			!strings.Contains(err.Error(), c.want) {
			t.Errorf("response with %s: got error %v, want one that contains %q", c.new, err, c.want)
		}
	}
}

// recordingReceiver records the maps and changes that it receives from the watcher.
type recordingReceiver struct {
	mu           sync.Mutex
	entries      []string // such as "map 7" and "change 8", in the order received
	mapRequested chan struct{}
	received     chan bool
}

func (p *recordingReceiver) add(text string) {
	p.mu.Lock()
	p.entries = append(p.entries, text)
	p.mu.Unlock()
	p.received <- true
}
func (p *recordingReceiver) ApplyMapChange(c ownership.Change) { p.add(fmt.Sprint("change ", c.Epoch)) }
func (p *recordingReceiver) SetMap(m *ownership.Map)           { p.add(fmt.Sprint("map ", m.Epoch)) }
func (p *recordingReceiver) MapRequested() <-chan struct{}     { return p.mapRequested }

// TestWatcherRequestsFullMapThenChanges checks that the watcher retries after failed polls, fetches the full map first
// and changes after it, and fetches the full map again as soon as the receiver requests it, during a long poll too.
func TestWatcherRequestsFullMapThenChanges(t *testing.T) {
	m, _, _ := ParseMap("m.conf", validMapFile)
	next, err := m.MoveSegment("a", []string{"h-9"})
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	failedRequests, requests := 2, 0
	release := make(chan bool, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		requests++
		n := requests
		mu.Unlock()
		switch {
		case n <= failedRequests && n%2 == 1:
			http.Error(w, "no", http.StatusInternalServerError)
		case n <= failedRequests:
			w.Write([]byte(`{"whole":{"epoch":7,"sum":"zz"}}`))
		case r.URL.Query().Get("after") == "":
			w.Write((&Response{Full: m}).Encode())
		default:
			select {
			case <-release:
				w.Write((&Response{Changes: []ownership.Change{next}}).Encode())
			case <-r.Context().Done():
			}
		}
	}))
	defer server.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	receiver := &recordingReceiver{mapRequested: make(chan struct{}, 1), received: make(chan bool, 100)}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan bool)
	go func() {
		NewWatcher(strings.TrimPrefix(server.URL, "http://"), receiver, log).Run(ctx)
		close(done)
	}()
	awaitHandover := func() {
		t.Helper()
		select {
		case <-receiver.received:
		case <-time.After(10 * time.Second):
			t.Fatal("the receiver got no further map or change within 10 s")
		}
	}
	awaitHandover()
	release <- true
	awaitHandover()
	receiver.mapRequested <- struct{}{}
	awaitHandover()
	stop()
	<-done
	if got := strings.Join(receiver.entries, ", "); got != "map 7, change 8, map 7" {
		t.Errorf("the receiver got %s, want map 7, change 8, map 7", got)
	}
}

// FuzzParseResponse parses arbitrary responses. A response that parses has to parse alike after it is encoded again,
// and a tracker that applies it must not end up with an invalid map.
func FuzzParseResponse(f *testing.F) {
	m, _, _ := ParseMap("m.conf", validMapFile)
	split, _ := m.SplitSegment("a", 5, "c", "d")
	f.Add((&Response{Full: m, Changes: []ownership.Change{split}}).Encode())
	f.Add([]byte(`{"whole":{"epoch":1,"sum":"0000000000000000","segments":[{"name":"a","keys":"0000000000000000-ffffffffffffffff"}]}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := ParseResponse(text)
		if err != nil {
			return
		}
		reparsed, err := ParseResponse(r.Encode())
		if err != nil || reparsed.Full != nil &&
			(reparsed.Full.Epoch != r.Full.Epoch || len(reparsed.Full.Segments) != len(r.Full.Segments)) ||
			len(reparsed.Changes) != len(r.Changes) {
			t.Fatalf("encoded and parsed again: error %v; want %+v, got %+v", err, r, reparsed)
		}
		tracker := ownership.Tracker{}
		tracker.ApplyMap(m)
		if r.Full != nil {
			tracker.ApplyMap(r.Full)
		}
		for _, c := range r.Changes {
			tracker.ApplyChange(c)
		}
		if faults := tracker.Map.Check(); len(faults) > 0 {
			t.Fatalf("the tracker accepted an invalid map: %v", faults)
		}
	})
}

// FuzzParseMap parses arbitrary map files. A map that parses has to parse alike after it is formatted again.
func FuzzParseMap(f *testing.F) {
	f.Add(validMapFile)
	f.Add("epoch 1\nsegment \"a\" keys 0000000000000000-ffffffffffffffff\n")
	f.Fuzz(func(t *testing.T, text string) {
		m, shards, err := ParseMap("m.conf", text)
		if err != nil {
			return
		}
		reparsed, _, err := ParseMap("again.conf", FormatMap(m, shards))
		if err != nil || !reflect.DeepEqual(reparsed.Segments, m.Segments) && len(m.Segments) > 0 {
			t.Fatalf("formatted and parsed again: error %v; want %+v, got %+v", err, m, reparsed)
		}
	})
}
