package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yokeroute/internal/gatherer/report"
	"yokeroute/internal/testbed/processtest"
)

// reportingGatherer is a gatherer of which there is only its report.
func reportingGatherer(t *testing.T, name string, drainingServers func() int) *processtest.Gatherer {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		document := report.Document{
			Format:          report.Format,
			Name:            name,
			Incarnation:     "1",
			DrainingServers: drainingServers(),
		}
		if err := json.NewEncoder(w).Encode(document); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return &processtest.Gatherer{Name: name, Reports: strings.TrimPrefix(server.URL, "http://")}
}

// TestDrainCheckTellsWhatEachGathererReportedLast guards against an error that names every gatherer, and not
// what they report: the time that one of them uses up is not taken from the others.
func TestDrainCheckTellsWhatEachGathererReportedLast(t *testing.T) {
	var readings atomic.Int32
	late := reportingGatherer(t, "g4", func() int { return int(min(readings.Add(1)/10, 1)) })
	gatherers := []*processtest.Gatherer{
		reportingGatherer(t, "g1", func() int { return 2 }),
		reportingGatherer(t, "g2", func() int { return 1 }),
		{Name: "g3", Reports: "127.0.0.1:1"}, // nobody listens there
		late,
	}
	err := awaitDrain(t.Context(), gatherers, 2*time.Second)
	if err == nil {
		t.Fatal("no error")
	}
	text := err.Error()
	for _, want := range []string{"g1: ", "2 draining servers", "g3: ", "connection refused"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in %q", want, text)
		}
	}
	for _, other := range []string{"g2", "g4"} {
		if strings.Contains(text, other) {
			t.Errorf("%s, which knows of the drain, is named in %q", other, text)
		}
	}
}

// TestDrainCheckDoesNotBreakOffAReading guards against the end of the time being told in place of a
// gatherer's report: each reading takes longer than the time that is left.
func TestDrainCheckDoesNotBreakOffAReading(t *testing.T) {
	const limit = 100 * time.Millisecond
	slow := reportingGatherer(t, "g1", func() int {
		time.Sleep(3 * limit)
		return 2
	})
	err := awaitDrain(t.Context(), []*processtest.Gatherer{slow}, limit)
	if err == nil || !strings.Contains(err.Error(), "2 draining servers") {
		t.Errorf("error %v", err)
	}
	ended, end := context.WithCancel(t.Context())
	end()
	if err := awaitDrain(ended, []*processtest.Gatherer{slow}, limit); err == nil {
		t.Error("no error after the day has ended")
	}
}
