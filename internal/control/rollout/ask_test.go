package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"yokeroute/internal/gatherer/report"
	"yokeroute/internal/storage/statedir"
	"yokeroute/logic/rollout"
)

// TestRefused: a claim that a gatherer refuses says whether another run holds it, or a later controller of this one,
// which is the word that the run's folder gives as well: a controller that was stopped may find either first. A
// gatherer that does not answer refuses nothing.
func TestRefused(t *testing.T) {
	held := rollout.Claim{RunID: "one", FencingToken: 2, ExpiresAt: 1e9}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var asked rollout.Claim
		text, _ := io.ReadAll(r.Body)
		if err := json.Unmarshal(text, &asked); err != nil || r.URL.Path != report.ClaimPath {
			t.Errorf("%s %s: %v", r.URL, text, err)
		}
		if holder, granted := rollout.Grant(&held, asked, 0); !granted {
			w.WriteHeader(http.StatusConflict)
			json.NewEncoder(w).Encode(holder)
		}
	}))
	defer s.Close()
	p := &Plan{Plan: rollout.Plan{Gatherers: []rollout.Gatherer{{Name: "g1"}, {Name: "g2"}}}, Processes: []GathererProcess{{ReportAddress: s.Listener.Addr().String()}, {ReportAddress: "127.0.0.1:1"}}}
	tell := &reportClient{plan: p, http: s.Client()}
	for _, c := range []struct {
		run   string
		fence uint64
		is    error
		words string
	}{
		{"one", 2, nil, ""},
		{"one", 3, nil, ""},
		{"one", 1, statedir.ErrSuperseded, "another controller has taken this over: gatherer g1 is held by controller 2"},
		{"other", 9, errClaimed, "gatherer g1 is being changed by another run: one, controller 2"},
	} {
		err := tell.claim(context.Background(), 0, c.run, c.fence)
		if !errors.Is(err, c.is) || err != nil && !strings.Contains(err.Error(), c.words) || claimRefused(err) != (c.is != nil) {
			t.Errorf("%s %d: %v", c.run, c.fence, err)
		}
		if all := tell.claimAll(context.Background(), c.run, c.fence); !errors.Is(all, c.is) {
			t.Errorf("%s %d, of all: %v", c.run, c.fence, all)
		}
	}
	if err := tell.claim(context.Background(), 1, "one", 1); err == nil || claimRefused(err) {
		t.Errorf("nobody there: %v", err)
	}
}
