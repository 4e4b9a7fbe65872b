package report

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/httpserver"
	"yokeroute/internal/testbed/lateclient"
	"yokeroute/logic/rollout"
)

// startServer runs a server until the test ends and returns a function that sends it a request.
func startServer(t *testing.T, c *Collector) (send func(method, path, body string) (status int, text string)) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := Listen("127.0.0.1:0", c, func() bool { return true }, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	client := &http.Client{Timeout: 10 * time.Second}
	return func(method, path, body string) (int, string) {
		t.Helper()
		req, err := http.NewRequest(method, "http://"+s.Address()+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Error(err)
		}
		return resp.StatusCode, string(text)
	}
}

// TestServerServesReportsAndMetrics tests that the report and the metrics are served over HTTP.
func TestServerServesReportsAndMetrics(t *testing.T) {
	now := 1000.0
	c := newTestCollector(&now)
	c.SetFile("operator", "abc")
	c.QueryDecided(query("any"), dispatch.Result{Kind: dispatch.Served, Complete: true}, 50)
	send := startServer(t, c)
	status, text := send("GET", ReportPath, "")
	d, err := Read(strings.NewReader(text))
	if status != http.StatusOK || err != nil {
		t.Fatalf("report: status %d, %v, %s", status, err, text)
	}
	median := d.Classes["any"].Latency.Quantile(0.5)
	if d.Files["operator"] != "abc" || !d.Ready || d.OpenConnections != 3 || median < 49 || median > 51 {
		t.Errorf("report with a median latency of %g ms, want 49 to 51: %s", median, text)
	}
	_, text = send("GET", MetricsPath, "")
	for _, line := range []string{
		`yokeroute_lookups_total{end="satisfied",index="any"} 1`,
		`yokeroute_lookup_seconds_count{index="any"} 1`,
	} {
		if !strings.Contains(text, line) {
			t.Errorf("metrics lack %s:\n%s", line, text)
		}
	}
}

// TestServerGrantsClaims tests that a claim is held until it expires, against other rollouts and controllers with lower
// fencing tokens, and that invalid claims are rejected.
func TestServerGrantsClaims(t *testing.T) {
	var now atomic.Int64
	now.Store(1000)
	c := NewCollector("g", testSettings(), func() float64 { return float64(now.Load()) }, fixedConnections{})
	send := startServer(t, c)
	for _, request := range []struct {
		body   string
		status int
		holder string
	}{
		{`{"run":"a","fence":2,"for":1000}`, http.StatusOK, "a"},
		{`{"run":"b","fence":9,"for":1000}`, http.StatusConflict, "a"},
		{`{"run":"a","fence":1,"for":1000}`, http.StatusConflict, "a"},
		{`{"run":"a","fence":3,"for":1000}`, http.StatusOK, "a"},
		{`{"run":"a"}`, http.StatusBadRequest, ""},
		{`{"run":"a","for":1e12}`, http.StatusBadRequest, ""},
		{`no`, http.StatusBadRequest, ""},
	} {
		status, text := send("POST", ClaimPath, request.body)
		var holder rollout.Claim
		if err := json.Unmarshal([]byte(text), &holder); err != nil && status != http.StatusBadRequest {
			t.Errorf("response %s to a claim: %v", text, err)
		}
		if status != request.status || holder.RunID != request.holder {
			t.Errorf("claim %s: unexpected status %d or holder: %s", request.body, status, text)
		}
	}
	now.Store(2500) // the claim has expired
	if status, _ := send("POST", ClaimPath, `{"run":"b","fence":1,"for":1000}`); status != http.StatusOK {
		t.Errorf("claim after the previous one expired: status %d", status)
	}
	status, _ := send("DELETE", ClaimPath+"?run=b&fence=1", "")
	if status != http.StatusNoContent || c.SinceCheckpoint("", true).Claim != nil {
		t.Errorf("release: status %d, or the claim is still in force", status)
	}
}

// TestShutdownAnswersPendingRequests guards against resetting requests when the server shuts down. One request has
// arrived in part; the connection of the other one is established on the client's side but not yet accepted.
func TestShutdownAnswersPendingRequests(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	collector := NewCollector("g", testSettings(), func() float64 { return 1000 }, fixedConnections{})
	// These timeouts are long enough for a busy machine.
	longTimeouts := httpserver.Timeouts{Handshakes: time.Second, Requests: 10 * time.Second}
	s, err := listen("127.0.0.1:0", collector, func() bool { return true }, log, longTimeouts)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		s.Run(ctx)
		close(stopped)
	}()
	const body = `{"run":"r1","fence":1,"for":1000}`
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", ClaimPath, len(body))
	partial := lateclient.Dial(t, s.Address())
	partial.Send(head + body[:9])
	lateclient.CompleteHandshakesWithData(t, s.listener)
	queued := lateclient.Dial(t, s.Address())
	stop()
	lateclient.AwaitRefusal(t, s.Address())
	partial.Send(body[9:])
	queued.Send("GET " + ReportPath + " HTTP/1.1\r\nHost: h\r\n\r\n")
	partial.WantLastResponse(http.StatusOK)
	queued.WantLastResponse(http.StatusOK)
	<-stopped
}
