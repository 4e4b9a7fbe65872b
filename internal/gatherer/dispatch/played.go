package dispatch

import (
	"context"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
)

// NewStepped makes a picker whose rounds are played one by one by the caller, by a clock of the caller's: for models
// of fleets in which time is not the machine's. Build makes the module; nil is the project's own. Nothing of it may
// be called by two goroutines at once, and Tick and Pick not at all.
func NewStepped(seed uint64, settings *gather.Settings, build func(seed uint64, settings *gather.Settings) gather.Module, clock func() float64, log *logrus.Logger) *Picker {
	p := New(seed, settings, log)
	p.clock = clock
	if build != nil {
		p.newModule = build
		p.module = build(seed, settings)
	}
	return p
}

// NextRoundAt is when the next round is due, by the clock: no sooner than a tick after the last one. It is infinite where
// nothing waits.
func (p *Picker) NextRoundAt() float64 {
	at := p.wakeAt
	if p.inbox.waiting {
		at = 0
	}
	return max(at, p.lastRoundAt+p.roundInterval)
}

// RunRoundNow runs a round now.
func (p *Picker) RunRoundNow() Actions { return p.runRound(p.Now()) }

// Submit hands a lookup in for the next round; false where too much is held already.
func (p *Picker) Submit(lk *Query) bool { return p.admit(lk) }

// Abandon tells that a lookup's client has gone. Its verdict is there after the next round.
func (p *Picker) Abandon(lk *Query) {
	p.enqueue(func(in *inbox) { in.Abandoned = append(in.Abandoned, lk.id) })
}

// EndpointViews is what the module knows of the servers, after one more round; nil where ctx ends before that.
func (p *Picker) EndpointViews(ctx context.Context) []gather.EndpointView {
	to := make(chan []gather.EndpointView, 1)
	p.enqueue(func(in *inbox) { in.viewRequests = append(in.viewRequests, to) })
	select {
	case v := <-to:
		return v
	case <-ctx.Done():
		return nil
	}
}
