package dispatch

import (
	"slices"

	"yokeroute/logic/ownership"
)

// NonIdempotentStore outlasts the process: it knows which once-only lookups may have run, and the newest map. Package state has
// one. All of it is called on the goroutine that calls Tick.
type NonIdempotentStore interface {
	MayHaveRun(name string, repeat bool, now float64) bool
	RecordSent(names []string, now float64) error
	RecordNotRun(name string) error
	SaveMap(m *ownership.Map) error
}

// SetNonIdempotentStore has once-only lookups written into a ledger before any byte of them goes. It has to be called before the first
// Tick.
func (p *Picker) SetNonIdempotentStore(l NonIdempotentStore) { p.store = l }

// failIfMayHaveRun answers a once-only lookup of whose name an earlier part call may have run: aborted, at once. It reports
// whether it did.
func (p *Picker) failIfMayHaveRun(lk *Query, now float64) bool {
	if p.store == nil || !p.nonIdempotent(lk) || !p.store.MayHaveRun(lk.ID, lk.Retried, now) {
		return false
	}
	p.log.WithField("lookup", lk.ID).Warn("a once-only lookup of this name may have run: aborted")
	p.finished = append(p.finished, lk)
	lk.recorded = true
	p.deliver(lk, Result{Kind: Failed})
	return true
}

// recordNonIdempotent has the ledger know of the round's once-only calls before they are carried out. What it can't write is not
// sent: whether it ran could not be told after a crash.
func (p *Picker) recordNonIdempotent(now float64) {
	if p.store == nil {
		return
	}
	var names []string
	var fresh []*Query
	for _, c := range p.actions.Send {
		if lk := c.query.root(); c.nonIdempotent && !lk.recorded {
			lk.recorded = true
			names, fresh = append(names, lk.ID), append(fresh, lk)
		}
	}
	if len(names) == 0 {
		return
	}
	if err := p.store.RecordSent(names, now); err != nil {
		p.log.WithError(err).Error("once-only calls could not be written down, and are not sent")
		for _, c := range p.actions.Send {
			if slices.Contains(fresh, c.query.root()) {
				c.cancelled.Store(true)
			}
		}
		for _, lk := range fresh { // against its next call going as if its name were written
			lk.recorded = false
		}
	}
}

// recordNotRun notes that a lookup ended and nothing of it ran.
func (p *Picker) recordNotRun(lk *Query, v Result) {
	if p.store == nil || !p.nonIdempotent(lk) || v.Kind != Rejected {
		return
	}
	if err := p.store.RecordNotRun(lk.ID); err != nil {
		p.log.WithError(err).Error("that a once-only lookup did not run could not be written down; its name stays known")
	}
}
