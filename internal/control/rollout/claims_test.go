package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"yokeroute/internal/gatherer/report"
	"yokeroute/internal/storage/runfolder"
	"yokeroute/logic/rollout"
)

// TestRejectedClaimNamesTheHolder checks that the error of a rejected claim tells whether another rollout holds the
// gatherer or a later controller of this one. The latter has to be the same error as that of the rollout's folder,
// since a controller that was stopped may meet either first. A gatherer that does not answer does not count as
// rejecting the claim.
func TestRejectedClaimNamesTheHolder(t *testing.T) {
	holderClaim := rollout.Claim{RunID: "one", FencingToken: 2, ExpiresAt: 1e9}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var requested rollout.Claim
		if err := json.NewDecoder(r.Body).Decode(&requested); err != nil || r.URL.Path != report.ClaimPath {
			t.Errorf("%s: %v", r.URL, err)
		}
		if holder, granted := rollout.GrantClaim(&holderClaim, requested, 0); !granted {
			w.WriteHeader(http.StatusConflict)
			if err := json.NewEncoder(w).Encode(holder); err != nil {
				t.Error(err)
			}
		}
	}))
	defer s.Close()
	p := &Plan{
		Plan:      rollout.Plan{Gatherers: []rollout.Gatherer{{Name: "g1"}, {Name: "g2"}}},
		Processes: []GathererProcess{{ReportAddress: s.Listener.Addr().String()}, {ReportAddress: "127.0.0.1:1"}},
	}
	client := &reportClient{plan: p, http: s.Client(), claims: newSets[struct{}](2, maxClaimRequests)}
	for _, c := range []struct {
		runID        string
		fencingToken uint64
		want         error
		text         string // contained in the error's text
	}{
		{"one", 2, nil, ""},
		{"one", 3, nil, ""},
		{"one", 1, runfolder.ErrSuperseded, "another controller has taken this over: gatherer g1 is held by controller 2"},
		{"other", 9, errClaimedByOtherRun, "gatherer g1 is being changed by another run: one, controller 2"},
	} {
		err := client.claim(context.Background(), 0, c.runID, c.fencingToken)
		if !errors.Is(err, c.want) || claimRejected(err) != (c.want != nil) {
			t.Errorf("run %s, token %d: claim: got error %v, want %v", c.runID, c.fencingToken, err, c.want)
		}
		if err != nil && !strings.Contains(err.Error(), c.text) {
			t.Errorf("run %s, token %d: got error %v, want one that contains %q", c.runID, c.fencingToken, err, c.text)
		}
		if err := client.claimAll(context.Background(), c.runID, c.fencingToken); !errors.Is(err, c.want) {
			t.Errorf("run %s, token %d: claimAll: got error %v, want %v", c.runID, c.fencingToken, err, c.want)
		}
	}
	if err := client.claim(context.Background(), 1, "one", 1); err == nil || claimRejected(err) {
		t.Errorf("unreachable gatherer: got %v, want an error that is not a rejection", err)
	}
}
