package dispatch

import (
	"sync/atomic"
	"testing"

	"yokeroute/gather"
)

// switchedGate is a policy that uses the initial settings and, once switched is set, the restricted ones.
type switchedGate struct {
	PolicyGate
	initial, restricted *gather.Settings
	switched            atomic.Bool
}

func (g *switchedGate) Effective(float64) (uint64, *gather.Settings) {
	if g.switched.Load() {
		return 2, g.restricted
	}
	return 1, g.initial
}
func (g *switchedGate) Blocked(uint32) bool               { return false }
func (g *switchedGate) BlockedRevision() uint64           { return 0 }
func (g *switchedGate) Weight(uint32) float64             { return 1 }
func (g *switchedGate) Permits(PolicyCheck, float64) bool { return true }
func (g *switchedGate) MarkDrained(uint64)                {}
func (g *switchedGate) Drained() bool                     { return true }
func (g *switchedGate) ReviewResult(_ PolicyCheck, r Result, _ float64, _ bool, _ float64) Result {
	return r
}

// TestQueryIsRecordedIfPolicyMakesItsClassNonIdempotent guards against sending unrecorded queries of a class that a
// policy change makes non-idempotent. A query that arrives after the change is recorded before it is sent; one that
// arrived before it is not recorded and is rejected.
func TestQueryIsRecordedIfPolicyMakesItsClassNonIdempotent(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	close(store.gate)
	gate := &switchedGate{initial: p.settings, restricted: p.settings.Clone()}
	gate.restricted.FindClass("any").Effect = gather.NonIdempotent
	p.SetPolicyGate(gate)
	p.SetNonIdempotentStore(store)
	unrecorded := newQuery("any", 2, p.Now()+30_000)
	unrecorded.ID = "before"
	if !p.reserve(unrecorded) || p.needsRecord(unrecorded) {
		t.Fatal("an idempotent query is not reserved, or needs a record")
	}
	gate.switched.Store(true)
	p.admit(unrecorded)
	if actions := runDueRound(t, p); len(actions.Send) > 0 {
		t.Error("a query that arrived before the policy change is sent without a record")
	}
	if result, ended := pollResult(unrecorded); !ended || result.Kind != Rejected || result.RetryAfter <= 0 {
		t.Errorf("result %+v, ended %t, want Rejected with RetryAfter", result, ended)
	}
	recorded := newQuery("any", 2, p.Now()+30_000)
	recorded.ID = "after"
	pickAsync(t.Context(), p, recorded)
	attempt := runUntilSent(t, p)
	if !store.MayHaveRun("after", false, 0) || attempt.Query() != recorded {
		t.Error("a query that arrived after the policy change is sent without a record")
	}
}
