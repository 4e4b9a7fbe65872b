// Package dispatch runs a decision module for code that serves queries concurrently.
//
// A module works in rounds: it takes all that was observed since the last one and writes its decisions. A Picker
// hides that behind a blocking interface. Pick submits a query and blocks until its result is decided. RunRound
// blocks until a round is due, runs it and returns the attempts to make and to cancel. Report reports how an attempt
// ended. One goroutine, the one that calls RunRound, owns the module; all others only leave input for it.
package dispatch

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/logic"
)

// Picker connects the network and one decision module. What it is set up with, by its Enable, Set and Observe
// methods, must be in place before the first round, except for what the module is to learn of later: endpoints,
// weights, server names and the segment map.
type Picker struct {
	log         *logrus.Logger
	clock       clock
	intake      intake
	retryBudget *retryBudget
	gate        PolicyGate // nil where no policy is followed
	observers   observers
	records     *recordQueue // of non-idempotent queries, nil where nothing outlasts the process

	// listRequested has a value when the module requests endpoint lists.
	listRequested chan struct{}

	// The rest belongs to the goroutine that runs rounds.
	settings  *gather.Settings
	schedule  schedule
	module    moduleHost
	endpoints endpointTable
	queries   queryTable
	actions   Actions // of the round that runs
	twoPass   twoPassState
	ownership *ownershipState // nil where no map says who owns which keys
	policy    policyState
}

// New returns a picker whose module knows only its settings.
func New(seed uint64, settings *gather.Settings, log *logrus.Logger) *Picker {
	return &Picker{
		log:           log,
		clock:         newClock(),
		intake:        newIntake(settings.MaxOpenRequests),
		retryBudget:   newRetryBudget(settings),
		listRequested: make(chan struct{}, 1),
		settings:      settings,
		schedule:      schedule{interval: max(settings.Tick, 1), wakeAt: math.Inf(1)},
		module:        newModuleHost(seed, settings, newLogicModule),
		endpoints:     endpointTable{byID: map[uint32]gather.Endpoint{}},
		queries:       newQueryTable(),
	}
}

// SilenceTimeout is how long nothing may arrive on a connection with attempts in flight before the next attempt gets
// another connection. The module decides it.
func SilenceTimeout(settings *gather.Settings) float64 {
	shortest := math.Inf(1)
	for _, class := range settings.ClassNames() {
		shortest = min(shortest, settings.Class(class).LatencyObjective)
	}
	return logic.ConnectionSilenceShare * shortest
}

// Now is the module's clock, in milliseconds.
func (p *Picker) Now() float64 { return p.clock.now() }

// EndpointListRequested returns a channel that has a value when the module requests endpoint lists.
func (p *Picker) EndpointListRequested() <-chan struct{} { return p.listRequested }

// UpdateEndpoints hands in an endpoint list.
func (p *Picker) UpdateEndpoints(list gather.EndpointList) {
	p.intake.enqueue(func(in *inbox) { in.EndpointLists = append(in.EndpointLists, list) })
}

// SetWeights hands in weights by replica set, empty ones for plain round robin. They belong to the module from then
// on.
func (p *Picker) SetWeights(weights [][]gather.Weight) {
	p.intake.enqueue(func(in *inbox) { in.Weights = weights })
}

// ReportHealthCheck hands in the result of a health check.
func (p *Picker) ReportHealthCheck(result gather.HealthCheckResult) {
	p.intake.enqueue(func(in *inbox) { in.HealthChecks = append(in.HealthChecks, result) })
}

// Wake has a round run soon, for a policy gate that has changed while no query comes.
func (p *Picker) Wake() { p.intake.enqueue(func(*inbox) {}) }

// Pick submits a query and blocks until its result is decided, or until ctx ends because its client has gone. Once it
// returns, no byte of an attempt of the query is written any more.
func (p *Picker) Pick(ctx context.Context, query *Query) Result {
	if !p.reserve(query) {
		return Result{Kind: Rejected}
	}
	if p.needsRecord(query) {
		return p.pickRecorded(ctx, query)
	}
	return p.pickAdmitted(ctx, query)
}

// pickAdmitted hands a query to the module and blocks until its result is decided, or until ctx ends.
func (p *Picker) pickAdmitted(ctx context.Context, query *Query) Result {
	p.admit(query)
	result := Result{Kind: InternalError} // unless the code below returns
	defer func() {
		query.seal()
		for _, o := range p.observers.wire {
			o.QueryAnswered(query, result, p.Now())
		}
	}()
	select {
	case result = <-query.result:
		result = p.reviewResult(query, result)
	case <-ctx.Done():
		result.Kind = Abandoned
		p.abandon(query)
	}
	return result
}

// submit leaves a query for the next round. It reports false where the platform's limit of open requests is reached.
func (p *Picker) submit(query *Query) bool {
	if !p.reserve(query) {
		return false
	}
	p.admit(query)
	return true
}

// reserve counts a query among the open ones. It reports false where the platform's limit of them is reached.
func (p *Picker) reserve(query *Query) bool {
	size := query.size()
	id, admitted := p.intake.reserve(size)
	if !admitted {
		return false
	}
	query.assignID(id)
	query.result = make(chan Result, 1)
	p.retryBudget.admit(p.Now(), size)
	return true
}

// admit leaves a query for the next round.
func (p *Picker) admit(query *Query) {
	p.intake.enqueue(func(in *inbox) { in.admitted = append(in.admitted, query) })
}

// abandon hands in that a query's client has gone.
func (p *Picker) abandon(query *Query) {
	p.intake.enqueue(func(in *inbox) { in.Abandoned = append(in.Abandoned, query.id) })
}

// clock is a picker's time.
type clock struct {
	startedAt     time.Time
	startedAtUnix float64        // milliseconds
	override      func() float64 // in place of both, for a stepped picker
}

func newClock() clock {
	now := time.Now()
	return clock{startedAt: now, startedAtUnix: float64(now.UnixNano()) / float64(time.Millisecond)}
}

// now is in Unix milliseconds, which compare with the times of discovery, moved on by the monotonic clock, so that a
// change of the machine's clock does not move the deadlines of open queries.
func (c *clock) now() float64 {
	if c.override != nil {
		return c.override()
	}
	return c.startedAtUnix + float64(time.Since(c.startedAt))/float64(time.Millisecond)
}
