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
	d.ResidentMemory = 18771968
	d.Goroutines = 24
	d.CPUTime = 33.5
	var out bytes.Buffer
	if err := json.NewEncoder(&out).Encode(d); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// keptCollector is a collector of a process with a fixed incarnation, by a clock that stands.
func keptCollector(now *float64, process string) *Collector {
	c := newTestCollector(now)
	c.header.Incarnation = process
	c.header.Version = "41"
	c.header.Program = "4cedc032988f2f85"
	c.header.Formats = map[string]int{"report": 1, "rollout": 1, "state": 1}
	return c
}

// fill has a collector count something of each kind.
func fill(c *Collector, now *float64) {
	for kind, sum := range map[string]string{
		"config": "fcdbac570983ceb8", "operator": "68935394c0ab2c77", "plan": "11", "placement": "12",
		"segments": "13", "other": "",
	} {
		c.SetFile(kind, sum)
	}
	c.UpdateEndpoints(gather.EndpointList{Full: true, Endpoints: []gather.Endpoint{
		{ID: 1, State: gather.Running},
		{ID: 2, State: gather.Running},
		{ID: 3, State: gather.Draining},
	}})
	c.PolicyState = func() any { return map[string]any{"revision": 7} }
	c.QueryDecided(query("any"), dispatch.Result{Kind: dispatch.Served, Complete: true}, 50)
	c.QueryDecided(query("any"), dispatch.Result{Kind: dispatch.Served, Complete: true}, 150.25)
	c.QueryDecided(query("any"), dispatch.Result{Kind: dispatch.Served, Hits: []dispatch.Hit{{Shard: 1}}}, 62.5)
	for _, kind := range []dispatch.ResultKind{dispatch.Rejected, dispatch.Failed, dispatch.InternalError, dispatch.Abandoned} {
		c.QueryDecided(query("once"), dispatch.Result{Kind: kind}, 10)
	}
	stats := c.classes["any"]
	stats.Attempts = 9
	stats.ExtraAttempts = 2
	stats.AttemptTime = 146.817
	for o := range outcomes {
		stats.Outcomes[gather.Outcome(o).String()] = int64(o + 1)
	}
	c.AcquireClaim(rollout.Claim{RunID: "release-42 in /var/rollout on host", FencingToken: 3, ExpiresAt: *now + 60_000})
}

// TestReportKeepsItsBytes: a report of each kind is written from the same counts byte for byte as it was when its
// format began, and what is read from the kept one is what was written.
func TestReportKeepsItsBytes(t *testing.T) {
	now := 1000.0
	c := keptCollector(&now, "18889-1")
	fill(c, &now)
	now = 2500
	reports := map[string]*Document{
		"full.json":   c.SinceStart(true),
		"marked.json": c.SinceCheckpoint("", true),
	}
	now = 4000
	c.QueryDecided(query("any"), dispatch.Result{Kind: dispatch.Served, Complete: true}, 75)
	c.classes["any"].Attempts += 3
	c.classes["any"].Outcomes[gather.Outcome(0).String()] += 3
	c.BeginShutdown()
	reports["since.json"] = c.SinceCheckpoint("18889-1.1", true)
	again := keptCollector(&now, "18900-2")
	now = 5000
	reports["restarted.json"] = again.SinceCheckpoint("18889-1.2", true)
	reports["empty.json"] = again.SinceStart(false)
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
		if read.Name != "g" || read.Format != "yokeroute report 1" || read.Files["config"] != d.Files["config"] ||
			len(read.Classes) != 2 || read.SinceCheckpoint != d.SinceCheckpoint || read.Checkpoint != d.Checkpoint ||
			read.Interval != d.Interval || (read.Claim == nil) != (d.Claim == nil) {
			t.Errorf("%s: read as %+v", name, read)
		}
	}
}

// TestReportOfAnotherFormIsRefused: the number of the form decides, not the words.
func TestReportOfAnotherFormIsRefused(t *testing.T) {
	text := strings.Replace(string(keptFile(t, "full.json")), "yokeroute report 1", "yokeroute report 2", 1)
	if _, err := Read(strings.NewReader(text)); !errors.Is(err, ErrFormat) {
		t.Errorf("%v", err)
	}
}

// TestClaimKeepsItsBytes: who holds a gatherer is answered byte for byte as when the path began, granted or not.
func TestClaimKeepsItsBytes(t *testing.T) {
	now := 1000.0
	s := &Server{collector: keptCollector(&now, "18889-1"), ready: func() bool { return true }}
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
		s.serveClaim(w, httptest.NewRequest(http.MethodPost, "/claim", strings.NewReader(c.body)))
		wantKept(t, c.name, w.Body.Bytes())
		if w.Code != c.status {
			t.Errorf("%s: %d", c.name, w.Code)
		}
	}
	if ReportPath != "/report" || ClaimPath != "/claim" || MetricsPath != "/metrics" {
		t.Errorf("%s, %s, %s are not the paths of before", ReportPath, ClaimPath, MetricsPath)
	}
}

// TestMetricsKeepTheirNames: names, help, labels and values of the metrics are as they were, but for what differs from
// machine to machine.
func TestMetricsKeepTheirNames(t *testing.T) {
	now := 1000.0
	c := keptCollector(&now, "18889-1")
	fill(c, &now)
	now = 2500
	registry := prometheus.NewRegistry()
	registry.MustRegister(&prometheusCollector{&Server{collector: c, ready: func() bool { return true }}})
	w := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "/metrics", nil)
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(w, request)
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
