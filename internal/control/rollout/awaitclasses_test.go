package rollout

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/gatherer/report"
	"yokeroute/logic/rollout"
)

// TestControllerWaitsForFirstReport guards against a rollout that ends because no gatherer answers when a controller
// starts.
func TestControllerWaitsForFirstReport(t *testing.T) {
	const failures = 3
	var requests atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) <= failures {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		d := report.Document{Format: report.Format, Name: "g1", Incarnation: "p1", Classes: map[string]*report.ClassStats{}}
		for _, class := range []string{"find", "all"} {
			d.Classes[class] = &report.ClassStats{}
		}
		if err := json.NewEncoder(w).Encode(d); err != nil {
			t.Error(err)
		}
	}))
	defer s.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &Controller{log: log, plan: &Plan{
		Plan:      rollout.Plan{Gatherers: []rollout.Gatherer{{Name: "g1"}}},
		Processes: []GathererProcess{{ReportAddress: s.Listener.Addr().String()}},
		Interval:  10 * time.Millisecond,
	}}
	newClient := func() *reportClient {
		return &reportClient{plan: c.plan, http: s.Client(),
			reports: newSets[*report.Document](1, maxReportRequests), checkpoints: make([]string, 1),
			lastReports: make([]*report.Document, 1), lastReportAt: make([]time.Time, 1),
			oldBuilds: make([]rollout.BuildInfo, 1), newBuilds: make([]rollout.BuildInfo, 1)}
	}
	c.reports = newClient()
	classes, err := c.awaitClasses(t.Context(), 20*time.Second)
	if err != nil || !slices.Equal(classes, []string{"all", "find"}) {
		t.Errorf("classes %v, %v after %d requests", classes, err, requests.Load())
	}
	requests.Store(-1_000_000) // it never answers
	c.reports = newClient()
	if classes, err := c.awaitClasses(t.Context(), 100*time.Millisecond); err == nil {
		t.Errorf("classes %v of a gatherer that does not answer", classes)
	}
}
