package dispatch

import (
	"context"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
)

// NewStepped returns a picker whose rounds the caller runs one by one, on the caller's clock. It is for fleet models
// that run in virtual time. If build is nil, the picker uses the module of package logic. The methods must not be
// called concurrently, and RunRound and Pick must not be called at all.
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

// NextRoundAt returns when the next round is due, or infinity if there is neither input nor a requested round.
func (p *Picker) NextRoundAt() float64 { return p.schedule.nextAt(p.intake.pending()) }

// RunRoundNow runs a round at once, whether or not one is due.
func (p *Picker) RunRoundNow() Actions { return p.runRound(p.Now()) }

// Submit queues a query for the next round. It returns false if the query would exceed the limit on open requests.
func (p *Picker) Submit(query *Query) bool { return p.submit(query) }

// Abandon reports that a query's client has disconnected. The query has its result after the next round.
func (p *Picker) Abandon(query *Query) { p.abandon(query) }

// EndpointViews returns the module's view of the endpoints after the next round, or nil if ctx ends before that.
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
