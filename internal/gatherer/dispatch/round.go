package dispatch

import (
	"context"
	"math"
	"time"

	"yokeroute/gather"
	"yokeroute/internal/millis"
)

// Actions lists what the network layer must carry out after a round, in the order of the fields.
type Actions struct {
	// StopWriting lists the unfinished attempts of decided queries. What is not completely written yet must not be
	// written any more.
	StopWriting []*Attempt
	Cancel      []*Attempt // attempts to cancel, notifying their shard servers
	Send        []*Attempt // new attempts; those to the same server may share frames
	CheckHealth []uint32   // servers to request a load report from
}

// schedule determines when rounds are due. Times are milliseconds on the picker's clock.
type schedule struct {
	interval    float64 // minimum time between rounds
	lastRoundAt float64
	wakeAt      float64 // time of the round that the module requested, infinite if it requested none
}

// nextAt returns when the next round is due: at once if input is pending, else when the module requested it, but never
// less than an interval after the previous round.
func (s *schedule) nextAt(pending bool) float64 {
	dueAt := s.wakeAt
	if pending {
		dueAt = 0
	}
	return max(dueAt, s.lastRoundAt+s.interval)
}

// begin records the start of a round. It returns by how many milliseconds the round starts later than the module
// requested.
func (s *schedule) begin(now float64) (heldUp float64) {
	requestedAt := s.nextAt(false)
	s.lastRoundAt = now
	if s.wakeAt <= now {
		s.wakeAt = math.Inf(1)
	}
	return max(now-requestedAt, 0)
}

// RunRound blocks until a round is due, runs it on all pending input and returns its actions. It returns an error only
// if ctx ends.
func (p *Picker) RunRound(ctx context.Context) (Actions, error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		dueAt := p.schedule.nextAt(p.intake.pending())
		now := p.Now()
		if now >= dueAt {
			return p.runRound(now), nil
		}
		var due <-chan time.Time
		if !math.IsInf(dueAt, 1) {
			timer.Reset(millis.Duration(dueAt-now) + 1)
			due = timer.C
		}
		select {
		case <-ctx.Done():
			return Actions{}, ctx.Err()
		case <-p.intake.wake:
		case <-due:
		}
	}
}

// runRound runs the module once on all pending input. The order of the steps affects the module's decisions.
func (p *Picker) runRound(now float64) Actions {
	in := p.intake.drain()
	p.actions = Actions{}
	in.WakeDelay = p.schedule.begin(now)
	p.applyEndpointLists(in.EndpointLists)
	if in.Weights != nil {
		p.module.weights = in.Weights
	}
	if p.gate != nil {
		p.applyPolicy(&in.Round, now)
	}
	p.applyFirstPassServers(&in)
	mapChanged := p.ownership != nil && p.applyMapUpdates(&in)
	for i := range in.attemptEnds {
		p.recordEnd(now, &in.attemptEnds[i])
	}
	if p.ownership != nil {
		p.reassignPieces(&in.Round, mapChanged, now)
	}
	p.addSecondPasses(&in.Round)
	for _, query := range in.admitted {
		p.startQuery(&in.Round, query, now)
	}
	p.twoPass.replaceAbandonedIDs(in.Abandoned)
	in.Now = now
	p.runModule(&in.Round)
	if p.gate != nil {
		p.reportDrained()
	}
	p.module.sendViews(in.viewRequests)
	p.observeUnadmitted(in.unadmitted)
	for _, id := range in.Abandoned {
		p.finish(p.queries.byID[id], Result{Kind: Abandoned})
	}
	p.intake.release(p.queries.releaseFinished())
	p.intake.recycle(&in)
	return p.actions
}

// applyEndpointLists updates the endpoint table, from which a module that restarts after a panic gets its endpoints.
func (p *Picker) applyEndpointLists(lists []gather.EndpointList) {
	for i := range lists {
		for _, restarted := range p.endpoints.apply(&lists[i]) { // the new process may run another build
			delete(p.twoPass.answersFirstPass, restarted)
		}
	}
}
