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

// outcomeCount is the number of outcomes of an attempt. The text of each is a key in reports.
const outcomeCount = 9

// keptFile returns a file as it was written when its format was introduced. These files must not be regenerated.
func keptFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "kept", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// wantKept checks that got is identical to the kept file.
func wantKept(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := keptFile(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant the kept\n%s", name, got, want)
	}
}

// encodeReport encodes a report as the server does, with constants in place of the values that depend on the machine.
func encodeReport(t *testing.T, d *Document) []byte {
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

// keptCollector returns a collector with a fixed incarnation, version and program, and a clock that the test sets.
func keptCollector(now *float64, incarnation string) *Collector {
	c := newTestCollector(now)
	c.header.Incarnation = incarnation
	c.header.Version = "41"
	c.header.Program = "4cedc032988f2f85"
	c.header.Formats = map[string]int{"report": 1, "rollout": 1, "state": 1}
	return c
}

// countOneOfEach sets every kind of field and count of a collector.
func countOneOfEach(c *Collector, now *float64) {
	for kind, fingerprint := range map[string]string{
		"config": "fcdbac570983ceb8", "operator": "68935394c0ab2c77", "plan": "11", "placement": "12",
		"segments": "13", "other": "",
	} {
		c.SetFile(kind, fingerprint)
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
	for _, kind := range []dispatch.ResultKind{
		dispatch.Rejected, dispatch.Failed, dispatch.InternalError, dispatch.Abandoned,
	} {
		c.QueryDecided(query("once"), dispatch.Result{Kind: kind}, 10)
	}
	stats := c.classes["any"]
	stats.Attempts = 9
	stats.ExtraAttempts = 2
	stats.AttemptTime = 146.817
	for o := range outcomeCount {
		stats.Outcomes[gather.Outcome(o).String()] = int64(o + 1)
	}
	c.AcquireClaim(rollout.Claim{RunID: "release-42 in /var/rollout on host", FencingToken: 3, ExpiresAt: *now + 60_000})
}

// TestReportEncodingIsUnchanged tests that reports of each kind are encoded to the same bytes as when the format was
// introduced, and that reading a kept report restores the values that were written.
func TestReportEncodingIsUnchanged(t *testing.T) {
	now := 1000.0
	c := keptCollector(&now, "18889-1")
	countOneOfEach(c, &now)
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
	restarted := keptCollector(&now, "18900-2")
	now = 5000
	reports["restarted.json"] = restarted.SinceCheckpoint("18889-1.2", true)
	reports["empty.json"] = restarted.SinceStart(false)
	for name, d := range reports {
		text := encodeReport(t, d)
		wantKept(t, name, text)
		read, err := Read(bytes.NewReader(keptFile(t, name)))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if rewritten := encodeReport(t, read); !bytes.Equal(rewritten, text) {
			t.Errorf("%s: decoded and encoded again\n%s\nwant\n%s", name, rewritten, text)
		}
		if read.Name != "g" || read.Format != "yokeroute report 1" || read.Files["config"] != d.Files["config"] ||
			len(read.Classes) != 2 || read.SinceCheckpoint != d.SinceCheckpoint || read.Checkpoint != d.Checkpoint ||
			read.Interval != d.Interval || (read.Claim == nil) != (d.Claim == nil) {
			t.Errorf("%s: decoded as %+v", name, read)
		}
	}
}

// TestReportOfAnotherFormatIsRejected tests that a report with another format number is rejected even if its content is
// otherwise valid.
func TestReportOfAnotherFormatIsRejected(t *testing.T) {
	text := strings.Replace(string(keptFile(t, "full.json")), "yokeroute report 1", "yokeroute report 2", 1)
	if _, err := Read(strings.NewReader(text)); !errors.Is(err, ErrFormat) {
		t.Errorf("error %v, want ErrFormat", err)
	}
}

// TestClaimResponsesAreUnchanged tests that the responses to granted, rejected and invalid claims have the same bytes
// as when the path was introduced.
func TestClaimResponsesAreUnchanged(t *testing.T) {
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
			t.Errorf("%s: unexpected status %d", c.name, w.Code)
		}
	}
	if ReportPath != "/report" || ClaimPath != "/claim" || MetricsPath != "/metrics" {
		t.Errorf("paths %s, %s, %s differ from the published ones", ReportPath, ClaimPath, MetricsPath)
	}
}

// TestMetricsAreUnchanged tests that the names, help texts, labels and values of the metrics are unchanged, except for
// values that depend on the machine.
func TestMetricsAreUnchanged(t *testing.T) {
	now := 1000.0
	c := keptCollector(&now, "18889-1")
	countOneOfEach(c, &now)
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
		for _, name := range []string{"yokeroute_resident_bytes ", "yokeroute_cpu_seconds_total "} {
			if strings.HasPrefix(line, name) {
				lines[i] = name + "1\n"
			}
		}
	}
	wantKept(t, "metrics.txt", []byte(strings.Join(lines, "")))
}
