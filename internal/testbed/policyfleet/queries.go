package policyfleet

import (
	"fmt"
	"slices"

	"yokeroute/logic/policy"
)

const (
	classCount = 6
	// A query lasts minQueryTime and up to queryTimeRange longer, in milliseconds.
	minQueryTime   = 50.0
	queryTimeRange = 1450.0
	hedgesPerQuery = 2
)

func className(i int) string { return fmt.Sprint("x", i) }

// fallbackPolicy forbids hedging for all classes.
func fallbackPolicy() policy.Policy {
	var p policy.Policy
	for i := range classCount {
		p = append(p, policy.Entry{Kind: policy.NoHedging, Subject: className(i)})
	}
	return p
}

// query is a query in flight. It keeps the policy that was in effect when it arrived.
type query struct {
	generation uint64
	policy     policy.Policy
	class      string
	endsAt     float64
}

// startQuery starts a query, and schedules the next one.
func (f *fleet) startQuery(g *gatherer) {
	f.schedule(f.exponential(1000/f.config.QueriesPerSecond), func() { f.startQuery(g) })
	if !g.up || f.now < g.suspendedUntil {
		return
	}
	effective, generation := g.holder.Effective(g.clock(f.now))
	q := &query{generation: generation, policy: effective}
	q.class = className(int(f.random.Uint32()) % classCount)
	q.endsAt = f.now + minQueryTime + queryTimeRange*f.random.Float64()*f.random.Float64()
	g.inFlight = append(g.inFlight, q)
	incarnation := g.incarnation
	later := func(after float64, do func()) {
		f.schedule(after, func() {
			if g.incarnation == incarnation {
				f.whenRunning(g, do)
			}
		})
	}
	for range hedgesPerQuery {
		later((q.endsAt-f.now)*f.random.Float64(), func() { f.hedge(g, q) })
	}
	later(q.endsAt-f.now, func() { f.endQuery(g, q) })
}

func (f *fleet) endQuery(g *gatherer, q *query) {
	if i := slices.Index(g.inFlight, q); i >= 0 {
		g.inFlight = slices.Delete(g.inFlight, i, i+1)
	}
	f.markDrained(g)
}

// hedge sends a hedged request where the gatherer may, and checks that the committed policy permits it.
func (f *fleet) hedge(g *gatherer, q *query) {
	if q.policy.Has(policy.NoHedging, q.class) {
		return
	}
	now := g.clock(f.now)
	effective, _ := g.holder.Effective(now)
	checked := f.config.Without != WithoutPermitCheck
	if checked && !g.holder.Permits(q.generation, now) && effective.Has(policy.NoHedging, q.class) {
		f.result.Suppressed++
		return
	}
	f.result.Hedges++
	if f.record.Policy.Has(policy.NoHedging, q.class) {
		f.result.Violation = fmt.Sprintf("at %.1f s %s made a copy for %s, which epoch %d forbids",
			f.now/1000, g.name, q.class, f.record.Epoch)
	}
}
