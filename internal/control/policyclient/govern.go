package policyclient

import (
	"fmt"
	"maps"
	"math"
	"strings"
	"sync"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/logic/policy"
)

// place is where a server stands.
type place struct{ zone, host string }

// Governor keeps what a gatherer goes by where the decisions, the wire and the follower reach it. It is a pick.Governor.
type Governor struct {
	base    *gather.Settings // the platform's
	clock   func() float64
	settled chan struct{} // something is there once all in hand is by what is acted by now
	stir    func()        // has a round run, where nothing else would

	mu       sync.Mutex
	h        *policy.LeaseHolder
	way      uint64 // for which the rest was worked out
	acts     policy.Policy
	settings *gather.Settings
	places   map[uint32]place
	closed   map[uint32]bool
	news     uint64
}

// NewGovernor begins within a floor, at the fence that an earlier process left. Clock and stir are the picker's.
func NewGovernor(base *gather.Settings, floor policy.Policy, fence policy.Revision, clock func() float64, stir func()) *Governor {
	g := &Governor{base: base, clock: clock, stir: stir, settled: make(chan struct{}, 1), places: map[uint32]place{}, closed: map[uint32]bool{}}
	g.h = policy.NewLeaseHolder(floor, fence, g.fit)
	return g
}

// fit says what the platform says to a policy: its settings, and its list, where a host stands elsewhere than the policy
// has it, which would close nothing. The lock is held.
func (g *Governor) fit(p policy.Policy) error {
	if err := Fit(g.base, p); err != nil {
		return err
	}
	for _, e := range p {
		zone, host, _ := strings.Cut(e.Subject, "/")
		if e.Kind != policy.Closed || host == "" {
			continue
		}
		for _, at := range g.places { // whichever it is, the message is the same
			if at.host == host && at.zone != zone {
				return fmt.Errorf("%s: %s stands in %s", e, host, at.zone)
			}
		}
	}
	return nil
}

var _ dispatch.PolicyGate = (*Governor)(nil)

// refresh works out what follows from what is acted by, where that has changed. The lock is held.
func (g *Governor) refresh(now float64) {
	acts, way := g.h.Effective(now)
	if way == g.way {
		return
	}
	g.way, g.acts = way, acts
	g.settings = Apply(g.base, acts)
	g.close()
}

// close works out which servers are closed.
func (g *Governor) close() {
	closed := map[uint32]bool{}
	for id, p := range g.places {
		if g.acts.Closes(p.zone, p.host) {
			closed[id] = true
		}
	}
	if !maps.Equal(closed, g.closed) {
		g.closed = closed
		g.news++
	}
}

// Follow takes over where servers stand.
func (g *Governor) Follow(list gather.EndpointList, all []shardcall.Address) {
	if list.Failed {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	names := make(map[uint32]string, len(all))
	for _, a := range all {
		names[a.ID] = a.Name
	}
	if list.Full {
		clear(g.places)
	}
	for _, s := range list.Endpoints {
		if s.State == gather.Removed {
			delete(g.places, s.ID)
			continue
		}
		g.places[s.ID] = place{s.Zone, names[s.ID]}
	}
	g.close()
}

// Effective is the way and the terms of lookups that land now.
func (g *Governor) Effective(now float64) (uint64, *gather.Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(now)
	return g.way, g.settings
}

// BlockedRevision counts changes of what is closed.
func (g *Governor) BlockedRevision() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.news
}

// Blocked reports whether nothing new may go to a server.
func (g *Governor) Blocked(server uint32) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed[server]
}

// Weight is the part of its plain turns that a server gets.
func (g *Governor) Weight(server uint32) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.acts.Value(policy.HostWeight, g.places[server].host, 1)
}

// Permits reports whether a call may go now: not to a closed server, and where its lookup was decided by what does not
// hold any more, not what is forbidden by now.
func (g *Governor) Permits(a dispatch.PolicyCheck, now float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(now)
	switch {
	case g.closed[a.Server]:
		return false
	case g.h.Permits(a.Generation, now):
		return true
	case a.Hedge && g.acts.Has(policy.NoHedging, a.Class), a.Repeated && g.tightened(a.Class):
		return false
	}
	return !a.UsesRetryBudget || !g.acts.Has(policy.RetryShare, "") && !g.acts.Has(policy.RetryAllowance, "")
}

// tightened reports whether an index is once-only by policy alone. The lock is held.
func (g *Governor) tightened(index string) bool {
	return g.acts.Has(policy.NonIdempotent, index) && g.base.Class(index).Effect != gather.NonIdempotent
}

// ReviewResult gives the verdict that may be given now: one that was decided by what does not hold any more is an abort where
// it would answer under the least share, or nack what may have run.
func (g *Governor) ReviewResult(a dispatch.PolicyCheck, v dispatch.Result, share float64, ran bool, now float64) dispatch.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(now)
	const rounding = 1e-4 // weights come rounded
	switch {
	case g.h.Permits(a.Generation, now):
	case v.Kind == dispatch.Served && share < g.acts.Value(policy.MinShare, a.Class, 0)-rounding, v.Kind == dispatch.Rejected && ran && g.tightened(a.Class):
		return dispatch.Result{Kind: dispatch.Failed}
	}
	return v
}

// MarkDrained tells that nothing is in hand from before a way.
func (g *Governor) MarkDrained(way uint64) {
	g.mu.Lock()
	was := g.h.Drained()
	g.h.MarkDrained(way)
	is := g.h.Drained()
	g.mu.Unlock()
	if is && !was {
		select {
		case g.settled <- struct{}{}:
		default:
		}
	}
}

// Drained reports whether all in hand is by what is acted by now.
func (g *Governor) Drained() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.h.Drained()
}

// hello is what to tell a steward now.
func (g *Governor) hello() policy.Heartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.h.Heartbeat(g.clock())
}

// hear takes a steward's word in; it gives the fence where that has moved.
func (g *Governor) hear(asked float64, w policy.Update) (fence policy.Revision, moved, taken bool) {
	g.mu.Lock()
	now, way := g.clock(), g.way
	fence, moved, taken = g.h.Handle(asked, now, w)
	g.refresh(now)
	news := g.way != way
	g.mu.Unlock()
	if news {
		g.stir()
	}
	return fence, moved, taken
}

// State is what a gatherer tells of itself.
type State struct {
	policy.Heartbeat
	Until float64 `json:"until"` // of the lease, by the gatherer's clock; 0 for none
	Acts  string  `json:"acts"`  // as a policy file has it
}

// State is that of now.
func (g *Governor) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	g.refresh(now)
	return State{g.h.Heartbeat(now), g.h.ExpiresAt(), Text(g.acts)}
}

// Hold has a policy of the gatherer's own file acted by from now on, without stewards: each gatherer for itself, and
// whenever it is told.
func (g *Governor) Hold(p policy.Policy, number uint64) error {
	g.mu.Lock()
	err := g.fit(p)
	g.mu.Unlock()
	if err != nil {
		return err
	}
	g.hear(g.clock(), policy.Update{Epoch: number, LastEnded: number, Policy: p, Lease: math.Inf(1)})
	return nil
}
