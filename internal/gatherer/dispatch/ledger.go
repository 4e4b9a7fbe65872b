package dispatch

import (
	"slices"

	"yokeroute/logic/ownership"
)

// Ledger outlasts the process: it knows which once-only lookups may have run, and the newest map. Package state has
// one. All of it is called on the goroutine that calls Tick.
type Ledger interface {
	MayHaveRun(name string, repeat bool, now float64) bool
	Sent(names []string, now float64) error
	Unrun(name string) error
	SetMap(m *ownership.Map) error
}

// Keep has once-only lookups written into a ledger before any byte of them goes. It has to be called before the first
// Tick.
func (p *Picker) Keep(l Ledger) { p.ledger = l }

// refuseRun answers a once-only lookup of whose name an earlier part call may have run: aborted, at once. It reports
// whether it did.
func (p *Picker) refuseRun(lk *Lookup, now float64) bool {
	if p.ledger == nil || !p.onceOnly(lk) || !p.ledger.MayHaveRun(lk.ID, lk.Retry, now) {
		return false
	}
	p.log.WithField("lookup", lk.ID).Warn("a once-only lookup of this name may have run: aborted")
	p.ended = append(p.ended, lk)
	lk.known = true
	p.answer(lk, Verdict{Kind: Aborted})
	return true
}

// write has the ledger know of the round's once-only calls before they are carried out. What it can't write is not
// sent: whether it ran could not be told after a crash.
func (p *Picker) write(now float64) {
	if p.ledger == nil {
		return
	}
	var names []string
	var fresh []*Lookup
	for _, c := range p.orders.Calls {
		if lk := c.lk.root(); c.onceOnly && !lk.known {
			lk.known = true
			names, fresh = append(names, lk.ID), append(fresh, lk)
		}
	}
	if len(names) == 0 {
		return
	}
	if err := p.ledger.Sent(names, now); err != nil {
		p.log.WithError(err).Error("once-only calls could not be written down, and are not sent")
		for _, c := range p.orders.Calls {
			if slices.Contains(fresh, c.lk.root()) {
				c.off.Store(true)
			}
		}
		for _, lk := range fresh { // against its next call going as if its name were written
			lk.known = false
		}
	}
}

// unrun notes that a lookup ended and nothing of it ran.
func (p *Picker) unrun(lk *Lookup, v Verdict) {
	if p.ledger == nil || !p.onceOnly(lk) || v.Kind != Nacked {
		return
	}
	if err := p.ledger.Unrun(lk.ID); err != nil {
		p.log.WithError(err).Error("that a once-only lookup did not run could not be written down; its name stays known")
	}
}
