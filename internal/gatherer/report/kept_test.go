package report

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/logic/rollout"
)

// outcomes is how many ends of a part call there are; each is a key on the wire.
const outcomes = 9

// keptFile is a file as it was written when its format began. It is never written anew.
func keptFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "kept", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// wantKept wants what was written now to be the kept file, byte for byte.
func wantKept(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := keptFile(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: written\n%s\nkept\n%s", name, got, want)
	}
}

// encoded is a report as the server writes it, with what differs from machine to machine put to fixed values.
func encoded(t *testing.T, d *Document) []byte {
	t.Helper()
	d.Memory, d.Goroutines, d.CPU = 18771968, 24, 33.5
	var out bytes.Buffer
	if err := json.NewEncoder(&out).Encode(d); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// keptCounter is a counter of a process that is told apart by a fixed name, by a clock that stands.
func keptCounter(now *float64, process string) *Counter {
	c := counter(now)
	c.process = process
	c.head.Process, c.head.Version, c.head.Program = process, "41", "4cedc032988f2f85"
	c.head.Formats = map[string]int{"report": 1, "rollout": 1, "state": 1}
	return c
}

// filled counts something of each kind.
func filled(c *Counter, now *float64) {
	lk := func(index string) *dispatch.Query { return &dispatch.Query{Class: index, ShardRequests: halves} }
	for kind, sum := range map[string]string{"config": "fcdbac570983ceb8", "operator": "68935394c0ab2c77", "plan": "11", "placement": "12", "segments": "13", "other": ""} {
		c.InForce(kind, sum)
	}
	c.Follow(gather.EndpointList{Full: true, Endpoints: []gather.Endpoint{{ID: 1, State: gather.Running}, {ID: 2, State: gather.Running}, {ID: 3, State: gather.Draining}}})
	c.Policy = func() any { return map[string]any{"revision": 7} }
	c.QueryDecided(lk("any"), dispatch.Result{Kind: dispatch.Served, Complete: true}, 50)
	c.QueryDecided(lk("any"), dispatch.Result{Kind: dispatch.Served, Complete: true}, 150.25)
	c.QueryDecided(lk("any"), dispatch.Result{Kind: dispatch.Served, Hits: []dispatch.Hit{{Shard: 1}}}, 62.5)
	for _, kind := range []dispatch.ResultKind{dispatch.Rejected, dispatch.Failed, dispatch.InternalError, dispatch.Abandoned} {
		c.QueryDecided(lk("once"), dispatch.Result{Kind: kind}, 10)
	}
	ix := c.indexes["any"]
	ix.Calls, ix.Further, ix.Waited = 9, 2, 146.817
	for o := range outcomes {
		ix.Outcomes[gather.Outcome(o).String()] = int64(o + 1)
	}
	c.Take(rollout.Claim{Run: "release-42 in /var/rollout on host", Fence: 3, Until: *now + 60_000})
}

// TestReportKeepsItsBytes: a report of each kind is written from the same counts byte for byte as it was when its format
// began, and what is read from the kept one is what was written.
func TestReportKeepsItsBytes(t *testing.T) {
	now := 1000.0
	c := keptCounter(&now, "18889-1")
	filled(c, &now)
	now = 2500
	reports := map[string]*Document{"empty.json": nil, "full.json": c.Peek(true), "marked.json": c.Document("", true)}
	now = 4000
	c.QueryDecided(&dispatch.Query{Class: "any", ShardRequests: halves}, dispatch.Result{Kind: dispatch.Served, Complete: true}, 75)
	c.indexes["any"].Calls += 3
	c.indexes["any"].Outcomes[gather.Outcome(0).String()] += 3
	c.Leave()
	reports["since.json"] = c.Document("18889-1.1", true)
	again := keptCounter(&now, "18900-2")
	now = 5000
	reports["restarted.json"] = again.Document("18889-1.2", true)
	reports["empty.json"] = again.Peek(false)
	for name, d := range reports {
		text := encoded(t, d)
		wantKept(t, name, text)
		read, err := Read(bytes.NewReader(keptFile(t, name)))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if again := encoded(t, read); !bytes.Equal(again, text) {
			t.Errorf("%s: read and written again\n%s\nkept\n%s", name, again, text)
		}
		if read.Name != "g" || read.Form != "yokeroute report 1" || read.Files["config"] != d.Files["config"] || len(read.Indexes) != 2 ||
			read.Since != d.Since || read.Mark != d.Mark || read.Span != d.Span || (read.Claim == nil) != (d.Claim == nil) {
			t.Errorf("%s: read as %+v", name, read)
		}
	}
}

// TestReportOfAnotherFormIsRefused: the number of the form decides, not the words.
func TestReportOfAnotherFormIsRefused(t *testing.T) {
	text := strings.Replace(string(keptFile(t, "full.json")), "yokeroute report 1", "yokeroute report 2", 1)
	if _, err := Read(strings.NewReader(text)); !errors.Is(err, ErrForm) {
		t.Errorf("%v", err)
	}
}

// TestClaimKeepsItsBytes: who holds a gatherer is answered byte for byte as when the path began, granted or not.
func TestClaimKeepsItsBytes(t *testing.T) {
	now := 1000.0
	s := &Server{counter: keptCounter(&now, "18889-1"), ready: func() bool { return true }}
	for _, c := range []struct {
		name   string
		body   string
		status int
	}{
		{"claim-granted.json", string(keptFile(t, "claim-request.json")), http.StatusOK},
		{"claim-refused.json", `{"run":"other","fence":1,"for":1000}`, http.StatusConflict},
		{"claim-wrong.txt", `{"run":"other","fence":1,"for":0}`, http.StatusBadRequest},
	} {
		w := httptest.NewRecorder()
		s.claim(w, httptest.NewRequest(http.MethodPost, "/claim", strings.NewReader(c.body)))
		wantKept(t, c.name, w.Body.Bytes())
		if w.Code != c.status {
			t.Errorf("%s: %d", c.name, w.Code)
		}
	}
	for _, path := range []string{Path, ClaimPath, MetricPath} {
		if !strings.Contains("/report /claim /metrics", path) {
			t.Errorf("%s is no path of before", path)
		}
	}
}

// TestMetricsKeepTheirNames: names, help, labels and values of the metrics are as they were, but for what differs from
// machine to machine.
func TestMetricsKeepTheirNames(t *testing.T) {
	now := 1000.0
	c := keptCounter(&now, "18889-1")
	filled(c, &now)
	now = 2500
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{&Server{counter: c, ready: func() bool { return true }}})
	w := httptest.NewRecorder()
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text, err := io.ReadAll(w.Body)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(string(text), "\n")
	for i, line := range lines {
		for _, own := range []string{"yokeroute_resident_bytes ", "yokeroute_cpu_seconds_total "} {
			if strings.HasPrefix(line, own) {
				lines[i] = own + "1\n"
			}
		}
	}
	wantKept(t, "metrics.txt", []byte(strings.Join(lines, "")))
}
