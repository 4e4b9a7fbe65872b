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

// TestMapFileFormatsAndErrors reads a map file, formats it, and wants one message with its place for each mistake.
func TestMapFileFormatsAndErrors(t *testing.T) {
	m, shards, err := ParseMap("m.conf", validMapFile)
	if err != nil || m.Epoch != 7 || shards != 16 || len(m.Segments) != 2 || m.Segments[0].OwnedSince != 3 ||
		m.Segments[1].OwnedSince != 7 || m.Segments[0].Owners[1] != "h-2" {
		t.Fatalf("%+v, %d, %v", m, shards, err)
	}
	again, _, err := ParseMap("again.conf", FormatMap(m, shards))
	if err != nil || !reflect.DeepEqual(again, m) {
		t.Errorf("written and read: %+v, %v", again, err)
	}
	for _, c := range []struct{ text, want string }{
		{"segment a keys 0000000000000000-ffffffffffffffff on h\n", "m.conf:1:1: lacks its epoch"},
		{"epoch 7\nsegment a keys 0-9 on h\n", `m.conf:2:16: "0-9": "0-9" is no range of keys`},
		{"epoch 7\nsegment a keys 8000000000000000-0000000000000000 on h\n", "ends before it begins"},
		{"epoch 7\nsegment a on h\n", `m.conf:2:1: "segment": lacks "keys"`},
		{"epoch 7\nsegment a keys 0000000000000000-8000000000000000 on h\nsegment b keys 8000000000000000-ffffffffffffffff on g\n", `m.conf:3:1: segments "a" and "b" both own the key 8000000000000000`},
		{"epoch 7\nsegment a keys 0000000000000000-7fffffffffffffff\nsegment a keys 8000000000000000-ffffffffffffffff on g\n", `m.conf:3:1: segment "a" is there twice`},
		{"epoch 7\nsegment a keys 0000000000000000-7fffffffffffffff on h h\n", "is empty or there twice"},
		{"epoch 7\nsegment a keys 0000000000000000-7fffffffffffffff on h since 9\n",
			`m.conf:2:1: segment "a" is owned since epoch 9, the map's is 7`},
		{"epoch -1\n", `"-1"`},
		{"epoch 1\nepoch 2\n", "stands already at m.conf:1:1"},
		{"epoc 1\n", "did you mean epoch?"},
	} {
		if _, _, err := ParseMap("m.conf", c.text); err == nil || !strings.Contains(err.Error(), c.want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", c.text, err)
		}
	}
	page := filepath.Join("..", "..", "..", "docs", "operate", "reference-segments.md")
	if text, err := os.ReadFile(page); err != nil || string(text) != MapReference() {
		t.Errorf("%s is not what yokeroute reference segments prints: %v", page, err)
	}
}

// TestResponsesAreCheckedAndNameTheField reads encoded responses, and wants a faulty one refused with the name of the
// field.
func TestResponsesAreCheckedAndNameTheField(t *testing.T) {
	m, _, _ := ParseMap("m.conf", validMapFile)
	split, err := m.SplitSegment("a", 5, "c", "d")
	if err != nil {
		t.Fatal(err)
	}
	r := &Response{Full: m, Changes: []ownership.Change{split}}
	again, err := ParseResponse(r.Encode())
	if err != nil || !reflect.DeepEqual(again, r) {
		t.Fatalf("%+v, %v", again, err)
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
			t.Errorf("%s: %v", c.new, err)
		}
	}
}

// recordingReceiver records what the watcher hands over.
type recordingReceiver struct {
	mu           sync.Mutex
	epochs       []string
	mapRequested chan struct{}
	received     chan bool
}

func (p *recordingReceiver) add(text string) {
	p.mu.Lock()
	p.epochs = append(p.epochs, text)
	p.mu.Unlock()
	p.received <- true
}
func (p *recordingReceiver) ApplyMapChange(c ownership.Change) { p.add(fmt.Sprint("change ", c.Epoch)) }
func (p *recordingReceiver) SetMap(m *ownership.Map)           { p.add(fmt.Sprint("map ", m.Epoch)) }
func (p *recordingReceiver) MapRequested() <-chan struct{}     { return p.mapRequested }

// TestWatcherRequestsFullMapThenChanges watches an authority that fails first. The full map comes first, then
// changes, and the full map again as soon as the receiver requests it, though a long poll waits.
func TestWatcherRequestsFullMapThenChanges(t *testing.T) {
	m, _, _ := ParseMap("m.conf", validMapFile)
	next, err := m.MoveSegment("a", []string{"h-9"})
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	fails, requests := 2, 0
	release := make(chan bool, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		requests++
		n := requests
		mu.Unlock()
		switch {
		case n <= fails && n%2 == 1:
			http.Error(w, "no", http.StatusInternalServerError)
		case n <= fails:
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
	p := &recordingReceiver{mapRequested: make(chan struct{}, 1), received: make(chan bool, 100)}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan bool)
	go func() {
		NewWatcher(strings.TrimPrefix(server.URL, "http://"), p, log).Run(ctx)
		close(done)
	}()
	wait := func() {
		t.Helper()
		select {
		case <-p.received:
		case <-time.After(10 * time.Second):
			t.Fatal("nothing more is handed over")
		}
	}
	wait()
	release <- true
	wait()
	p.mapRequested <- struct{}{}
	wait()
	stop()
	<-done
	if got := strings.Join(p.epochs, ", "); got != "map 7, change 8, map 7" {
		t.Errorf("handed over %s", got)
	}
}

// FuzzParseResponse reads arbitrary responses. What is read and encoded again reads the same, and a tracker takes it
// without harm.
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
		again, err := ParseResponse(r.Encode())
		if err != nil || again.Full != nil &&
			(again.Full.Epoch != r.Full.Epoch || len(again.Full.Segments) != len(r.Full.Segments)) ||
			len(again.Changes) != len(r.Changes) {
			t.Fatalf("%v: %+v, then %+v", err, r, again)
		}
		follower := ownership.Tracker{}
		follower.ApplyMap(m)
		if r.Full != nil {
			follower.ApplyMap(r.Full)
		}
		for _, c := range r.Changes {
			follower.ApplyChange(c)
		}
		if faults := follower.Map.Check(); len(faults) > 0 {
			t.Fatalf("a map with faults is believed: %v", faults)
		}
	})
}

// FuzzParseMap reads arbitrary map files.
func FuzzParseMap(f *testing.F) {
	f.Add(validMapFile)
	f.Add("epoch 1\nsegment \"a\" keys 0000000000000000-ffffffffffffffff\n")
	f.Fuzz(func(t *testing.T, text string) {
		m, shards, err := ParseMap("m.conf", text)
		if err != nil {
			return
		}
		again, _, err := ParseMap("again.conf", FormatMap(m, shards))
		if err != nil || !reflect.DeepEqual(again.Segments, m.Segments) && len(m.Segments) > 0 {
			t.Fatalf("%v: %+v, then %+v", err, m, again)
		}
	})
}
