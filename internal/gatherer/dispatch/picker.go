// Package dispatch runs a decision module for code that serves queries concurrently.
//
// A module works in rounds: each round takes all input observed since the previous one and writes the module's
// decisions. A Picker hides the rounds behind a blocking interface. Pick submits a query and blocks until its result is
// decided. RunRound blocks until a round is due, runs it and returns the attempts to make and to cancel. Report reports
// how an attempt ended. The goroutine that calls RunRound owns the module; all other goroutines only queue input for
// it.
package dispatch

import (
	"context"
	"math"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/unixclock"
	"yokeroute/logic"
)

// Picker connects the network to one decision module. Its Enable, Set and Observe methods must be called before the
// first round, except for those that hand input to the module: endpoints, weights, server names and the segment map
// may change at any time.
type Picker struct {
	log         *logrus.Logger
	clock       clock
	intake      intake
	retryBudget *retryBudget
	gate        PolicyGate // nil if no policy is configured
	observers   observers
	records     *recordQueue // records non-idempotent queries, nil without a durable store

	// listRequested receives a value when the module requests endpoint lists.
	listRequested chan struct{}

	// Only the goroutine that runs rounds accesses the fields below.
	settings  *gather.Settings
	schedule  schedule
	module    moduleHost
	endpoints endpointTable
	queries   queryTable
	actions   Actions // collected during the current round
	twoPass   twoPassState
	ownership *ownershipState // nil unless queries are routed by a segment map
	policy    policyState
}

// New returns a picker whose module has its settings, but no endpoints yet.
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
		endpoints:     newEndpointTable(),
		queries:       newQueryTable(),
	}
}

// SilenceTimeout returns how long, in milliseconds, a connection with attempts in flight may stay silent before the
// next attempt uses another connection. It is the module's ConnectionSilenceShare of the shortest latency objective.
func SilenceTimeout(settings *gather.Settings) float64 {
	shortest := math.Inf(1)
	for _, class := range settings.ClassNames() {
		shortest = min(shortest, settings.Class(class).LatencyObjective)
	}
	return logic.ConnectionSilenceShare * shortest
}

// Now returns the time on the module's clock, in milliseconds.
func (p *Picker) Now() float64 { return p.clock.now() }

// EndpointListRequested returns a channel that receives a value when the module requests endpoint lists.
func (p *Picker) EndpointListRequested() <-chan struct{} { return p.listRequested }

// UpdateEndpoints queues an endpoint list for the next round.
func (p *Picker) UpdateEndpoints(list gather.EndpointList) {
	p.intake.enqueue(func(in *inbox) { in.EndpointLists = append(in.EndpointLists, list) })
}

// SetWeights queues weights, indexed by replica set, for the next round. Empty weights select plain round robin. The
// module takes ownership of the slices: the caller must not modify them afterwards.
func (p *Picker) SetWeights(weights [][]gather.Weight) {
	p.intake.enqueue(func(in *inbox) { in.Weights = weights })
}

// ReportHealthCheck queues the result of a health check for the next round.
func (p *Picker) ReportHealthCheck(result gather.HealthCheckResult) {
	p.intake.enqueue(func(in *inbox) { in.HealthChecks = append(in.HealthChecks, result) })
}

// Wake makes a round due without any input. A policy gate uses it to have a change applied while no queries arrive.
func (p *Picker) Wake() { p.intake.enqueue(func(*inbox) {}) }

// Pick submits a query and blocks until its result is decided, or until ctx ends because its client has disconnected.
// After Pick returns, no byte of any attempt of the query is written.
func (p *Picker) Pick(ctx context.Context, query *Query) Result {
	if !p.reserve(query) {
		return Result{Kind: Rejected}
	}
	if p.needsRecord(query) {
		return p.pickRecorded(ctx, query)
	}
	return p.pickAdmitted(ctx, query)
}

// pickAdmitted passes a query to the module and blocks until its result is decided, or until ctx ends.
func (p *Picker) pickAdmitted(ctx context.Context, query *Query) Result {
	p.admit(query)
	result := Result{Kind: InternalError} // the result that observers see if the code below panics
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

// submit queues a query for the next round. It returns false if the query would exceed the platform's limit on open
// requests.
func (p *Picker) submit(query *Query) bool {
	if !p.reserve(query) {
		return false
	}
	p.admit(query)
	return true
}

// reserve adds a query to the open requests and assigns its IDs. It returns false, and counts nothing, if the query
// would exceed the platform's limit on open requests.
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

// admit queues a reserved query for the next round.
func (p *Picker) admit(query *Query) {
	p.intake.enqueue(func(in *inbox) { in.admitted = append(in.admitted, query) })
}

// abandon queues the notice that a query's client has disconnected.
func (p *Picker) abandon(query *Query) {
	p.intake.enqueue(func(in *inbox) { in.Abandoned = append(in.Abandoned, query.id) })
}

// clock provides a picker's time: Unix milliseconds, so that its times compare with those in endpoint lists, which a
// change of the machine's clock does not move.
type clock struct {
	unixclock.Clock
	override func() float64 // replaces the real clock in a stepped picker
}

func newClock() clock { return clock{Clock: unixclock.New()} }

func (c *clock) now() float64 {
	if c.override != nil {
		return c.override()
	}
	return c.Now()
}
