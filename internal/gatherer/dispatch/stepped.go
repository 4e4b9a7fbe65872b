package dispatch

import (
	"context"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
)

// NewStepped returns a picker whose rounds the caller runs one by one, on the caller's clock: for models of fleets in
// virtual time. A nil build stands for the project's own module. No method may be called by two goroutines at once,
// and RunRound and Pick not at all.
func NewStepped(
	seed uint64, settings *gather.Settings, build ModuleFactory, now func() float64, log *logrus.Logger,
) *Picker {
	p := New(seed, settings, log)
	p.clock.override = now
	if build != nil {
		p.module = newModuleHost(seed, settings, build)
	}
	return p
}

// NextRoundAt is when the next round is due; it is infinite where nothing waits.
func (p *Picker) NextRoundAt() float64 { return p.schedule.nextAt(p.intake.pending()) }

// RunRoundNow runs a round.
func (p *Picker) RunRoundNow() Actions { return p.runRound(p.Now()) }

// Submit submits a query for the next round. It reports false where too many requests are open.
func (p *Picker) Submit(query *Query) bool { return p.submit(query) }

// Abandon reports that a query's client has gone. The query has its result after the next round.
func (p *Picker) Abandon(query *Query) { p.abandon(query) }

// EndpointViews is what the module knows of the endpoints after one more round; nil where ctx ends before that.
func (p *Picker) EndpointViews(ctx context.Context) []gather.EndpointView {
	views := make(chan []gather.EndpointView, 1)
	p.intake.enqueue(func(in *inbox) { in.viewRequests = append(in.viewRequests, views) })
	select {
	case v := <-views:
		return v
	case <-ctx.Done():
		return nil
	}
}
