package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"yokeroute/internal/gatherer/report"
	"yokeroute/logic/rollout"
)

// slowGatherer starts a report server that responds reportTimeout plus a second late, and not at all to each second
// request. It returns a client of it.
func slowGatherer(t *testing.T, respond func(w http.ResponseWriter, r *http.Request)) *reportClient {
	t.Helper()
	var requests atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil { // the server notices that a client left only then
			return
		}
		late := time.After(reportTimeout + time.Second)
		if requests.Add(1)%2 == 0 {
			late = nil
		}
		select {
		case <-late:
			respond(w, r)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(s.Close)
	c := &reportClient{
		plan: &Plan{
			Plan:      rollout.Plan{Gatherers: []rollout.Gatherer{{Name: "g1"}}},
			Processes: []GathererProcess{{ReportAddress: s.Listener.Addr().String()}},
		},
		http:         s.Client(),
		reports:      newSets[*report.Document](1, maxReportRequests),
		claims:       newSets[struct{}](1, maxClaimRequests),
		checkpoints:  make([]string, 1),
		lastReports:  make([]*report.Document, 1),
		lastReportAt: make([]time.Time, 1),
		oldBuilds:    make([]rollout.BuildInfo, 1),
		newBuilds:    make([]rollout.BuildInfo, 1),
	}
	t.Cleanup(c.close)
	return c
}

// TestReportOfSlowGathererIsUsedInLaterRound guards against a gatherer that counts as unreachable in every round: the
// request of each round was given up.
func TestReportOfSlowGathererIsUsedInLaterRound(t *testing.T) {
	t.Parallel()
	c := slowGatherer(t, func(w http.ResponseWriter, _ *http.Request) {
		d := report.Document{Format: report.Format, Name: "g1", Incarnation: "p1", Checkpoint: "c1"}
		if err := json.NewEncoder(w).Encode(d); err != nil {
			t.Error(err)
		}
	})
	first := c.observe(t.Context(), 0).Gatherers[0]
	second := c.observe(t.Context(), 0).Gatherers[0]
	if first.Reachable || !second.Reachable || c.checkpoints[0] != "c1" {
		t.Errorf("reachable %t, then %t (%s), checkpoint %q; want false, true, c1",
			first.Reachable, second.Reachable, second.Fault, c.checkpoints[0])
	}
}

// TestRejectedClaimOfSlowGathererIsNoticed guards against a rollout that goes on changing a gatherer that another run
// holds: the rejection arrived after the wait for it had ended.
func TestRejectedClaimOfSlowGathererIsNoticed(t *testing.T) {
	t.Parallel()
	c := slowGatherer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		if err := json.NewEncoder(w).Encode(rollout.Claim{RunID: "other", FencingToken: 1}); err != nil {
			t.Error(err)
		}
	})
	first := c.claimAll(context.Background(), "one", 1)
	second := c.claimAll(context.Background(), "one", 1)
	if first != nil || !errors.Is(second, errClaimedByOtherRun) {
		t.Errorf("claims: %v, then %v; want none, then the rejection", first, second)
	}
}
