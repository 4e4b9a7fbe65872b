package dispatch

import (
	"sync/atomic"
	"testing"

	"yokeroute/gather"
)

// switchedGate is a policy that has the class any be non-idempotent once it is switched.
type switchedGate struct {
	PolicyGate
	plain, restricted *gather.Settings
	switched          atomic.Bool
}

func (g *switchedGate) Effective(float64) (uint64, *gather.Settings) {
	if g.switched.Load() {
		return 2, g.restricted
	}
	return 1, g.plain
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

// TestClassThatAPolicyRestrictsIsRecorded: a query that comes under the policy is recorded, and one that came before it
// and is not recorded is rejected, never sent.
func TestClassThatAPolicyRestrictsIsRecorded(t *testing.T) {
	p, store := newPicker(t, nil), newGatedStore()
	close(store.gate)
	gate := &switchedGate{plain: p.settings, restricted: p.settings.Clone()}
	gate.restricted.FindClass("any").Effect = gather.NonIdempotent
	p.SetPolicyGate(gate)
	p.SetNonIdempotentStore(store)
	before := newQuery("any", 2, p.Now()+30_000)
	before.ID = "before"
	if !p.reserve(before) || p.needsRecord(before) {
		t.Fatal("an idempotent query has to be recorded")
	}
	gate.switched.Store(true)
	p.admit(before)
	if actions := runDueRound(t, p); len(actions.Send) > 0 {
		t.Error("sent without a record")
	}
	if result, ended := takeResult(before); !ended || result.Kind != Rejected || result.RetryAfter <= 0 {
		t.Errorf("%+v, ended %t", result, ended)
	}
	under := newQuery("any", 2, p.Now()+30_000)
	under.ID = "under"
	pickAsync(t.Context(), p, under)
	attempt := runUntilSent(t, p)
	if !store.MayHaveRun("under", false, 0) || attempt.Query() != under {
		t.Error("sent without a record")
	}
}
