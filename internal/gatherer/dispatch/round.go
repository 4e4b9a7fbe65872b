package dispatch

import (
	"context"
	"math"
	"time"

	"yokeroute/gather"
)

// Actions are what the network has to carry out after a round, in this order.
type Actions struct {
	StopWriting []*Attempt // of queries that are decided: what is not written completely by now must not be
	Cancel      []*Attempt // given up; the shard server is notified
	Send        []*Attempt // new; those to one server may share frames
	CheckHealth []uint32   // servers whose load is requested
}

// schedule says when rounds are due.
type schedule struct {
	interval float64 // between rounds at least
	lastAt   float64
	wakeAt   float64 // requested by the module, infinite where it is not
}

// nextAt is when the next round is due: an interval after the last one at the earliest.
func (s *schedule) nextAt(pending bool) float64 {
	at := s.wakeAt
	if pending {
		at = 0
	}
	return max(at, s.lastAt+s.interval)
}

// begin notes that a round begins. It returns for how long it was held up after the time that the module requested.
func (s *schedule) begin(now float64) (heldUp float64) {
	requestedAt := s.nextAt(false)
	s.lastAt = now
	if s.wakeAt <= now {
		s.wakeAt = math.Inf(1)
	}
	return max(now-requestedAt, 0)
}

// RunRound blocks until a round is due and runs it on all input that has come. It returns an error only when ctx
// ends.
func (p *Picker) RunRound(ctx context.Context) (Actions, error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		at := p.schedule.nextAt(p.intake.pending())
		now := p.Now()
		if now >= at {
			return p.runRound(now), nil
		}
		var due <-chan time.Time
		if !math.IsInf(at, 1) {
			timer.Reset(time.Duration((at-now)*float64(time.Millisecond)) + 1)
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

// runRound runs the module once on all input. The order of its steps is part of what the module decides by.
func (p *Picker) runRound(now float64) Actions {
	in := p.intake.drain()
	p.actions = Actions{}
	in.HeldUp = p.schedule.begin(now)
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
	p.twoPass.abandonPasses(in.Abandoned)
	in.Now = now
	p.runModule(&in.Round)
	if p.gate != nil {
		p.reportDrained()
	}
	p.module.answerViews(in.viewRequests)
	p.observeUnadmitted(in.unadmitted)
	for _, id := range in.Abandoned {
		p.finish(p.queries.byID[id], Result{Kind: Abandoned})
	}
	p.intake.release(p.queries.releaseFinished())
	p.intake.recycle(&in)
	return p.actions
}

// applyEndpointLists keeps the endpoints for a module that has to restart.
func (p *Picker) applyEndpointLists(lists []gather.EndpointList) {
	for i := range lists {
		for _, restarted := range p.endpoints.apply(&lists[i]) { // perhaps of another build
			delete(p.twoPass.answersFirstPass, restarted)
		}
	}
}
