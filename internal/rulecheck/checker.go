// Package rulecheck checks the six rules on a trace of what gatherers admitted, sent, received and answered. A trace
// is recorded by the emulator, which knows what ran where, or by a gatherer in service, which does not. Rules that a
// trace cannot show are reported as unchecked, and a truncated trace never passes.
package rulecheck

import (
	"errors"
	"fmt"
	"io"
	"slices"
)

// epsilon is the rounding error of weights and times that the checks accept.
const epsilon = 5e-5

// Checker checks a trace event by event. Events must come in the order of their times.
type Checker struct {
	header         Header
	now            float64 // the time of the latest event
	queries        map[uint64]*query
	gatherers      map[int]*gatherer
	starting       map[uint32]*startingServer
	finished       finishedQueries
	longestTimeout float64 // the longest time from a query's admission to its deadline
	ended          bool
	report         Report
	onRetry        func(at float64) // called after each retry or hedge that rule 6 counts; may be nil
}

// NewChecker returns a checker of a trace with this header.
func NewChecker(h Header) (*Checker, error) {
	if len(h.Classes) == 0 {
		return nil, errors.New("a trace without indexes")
	}
	for name, class := range h.Classes {
		switch class.Effect {
		case effectIdempotent, effectIdempotencyKeyed, effectNonIdempotent:
		default:
			return nil, fmt.Errorf("index %q has the effect %q", name, class.Effect)
		}
	}
	c := &Checker{
		header:    h,
		now:       h.StartedAt,
		queries:   map[uint64]*query{},
		gatherers: map[int]*gatherer{},
		starting:  map[uint32]*startingServer{},
		finished:  finishedQueries{positions: map[uint64]int{}},
		report:    newReport(),
	}
	switch {
	case h.SlowStart == nil:
		c.report.Unchecked[ruleSlowStart] = "the trace tells no figures of cold servers"
	case !h.GroundTruth || len(h.Servers) == 0:
		c.report.Unchecked[ruleSlowStart] = "the trace tells neither what reached the servers nor what they can do"
	}
	if h.Budget == nil {
		c.report.Unchecked[ruleRetryBudget] = "the trace tells no budget"
	}
	return c, nil
}

// Check checks a trace as it is read. An error says what cannot be read. A truncated trace is no error, but its
// report never passes.
func Check(from io.Reader) (*Report, error) {
	var c *Checker
	start := func(h Header) (err error) {
		c, err = NewChecker(h)
		return err
	}
	err := Read(from, start, func(e Event) { c.Observe(e) })
	if c == nil || err != nil && !errors.Is(err, ErrTruncated) {
		return nil, err
	}
	r := c.Finish()
	if err != nil {
		r.Incomplete = err.Error()
	}
	return r, nil
}

// gatherer is the state of one gatherer that rules 3 and 6 need.
type gatherer struct {
	tally               retryTally         // of the process that runs: each tallies from its start
	tallyAcrossRestarts retryTally         // of all of its processes, for what the fleet's retries come to
	drainingSince       map[uint32]float64 // when it learned that a server is draining or gone
}

func (c *Checker) gatherer(number int) *gatherer {
	g := c.gatherers[number]
	if g == nil {
		g = &gatherer{drainingSince: map[uint32]float64{}}
		c.gatherers[number] = g
	}
	return g
}

// Observe checks the next event.
func (c *Checker) Observe(e Event) {
	if e.At < c.now-epsilon {
		c.report.markIncomplete(fmt.Sprintf(
			"at %.3f ms an event stands behind one of %.3f ms: the trace is out of order", e.At, c.now))
	}
	c.now = max(c.now, e.At)
	switch e.Kind {
	case QueryAdmitted:
		c.admitQuery(&e)
	case AttemptSent:
		c.sendAttempt(&e)
	case AttemptEnded:
		c.endAttempt(&e)
	case QueryServed, QueryRejected, QueryFailed:
		c.finishQuery(&e)
	case QueryAbandoned:
		delete(c.queries, e.Query)
	case GathererStopped:
		c.stopGatherer(e.Gatherer)
	case EndpointStateLearned:
		c.learnServerState(&e)
	case ServerStarted:
		c.starting[e.Server] = &startingServer{startedAt: e.At, knownTo: map[int]bool{}}
	case WorkArrived:
		c.checkSlowStart(&e)
	case WorkStarted:
		c.checkExecution(&e)
	case TraceEnd:
		c.ended = true
		c.report.markIncomplete(e.Reason)
	default:
		c.report.markIncomplete(fmt.Sprintf("at %.3f ms an event of the unknown kind %q", e.At, e.Kind))
	}
}

func (c *Checker) admitQuery(e *Event) {
	c.report.Queries++
	if _, known := c.header.Classes[e.Class]; !known {
		c.report.markIncomplete(fmt.Sprintf(
			"at %.3f ms a lookup of the index %q, of which the header tells nothing", e.At, e.Class))
		return
	}
	if c.queries[e.Query] != nil {
		c.report.addViolation(ruleFinalAnswer, e, "lookup %d is taken twice", e.Query)
	}
	c.queries[e.Query] = newQuery(e)
	c.longestTimeout = max(c.longestTimeout, e.Deadline-e.At)
	if c.header.Budget != nil {
		g := c.gatherer(e.Gatherer)
		g.tally.addQuery(e)
		g.tallyAcrossRestarts.addQuery(e)
	}
}

func (c *Checker) sendAttempt(e *Event) {
	c.report.Attempts++
	c.checkDraining(e)
	q := c.queries[e.Query]
	if q == nil || q.shards[e.Shard] == nil {
		c.report.addViolation(ruleFinalAnswer, e,
			"a part call of lookup %d, shard %d, which is not held: answered already, or never taken", e.Query, e.Shard)
		return
	}
	request := q.shards[e.Shard]
	c.checkRepeatedAttempt(e, request, c.header.Classes[q.class])
	if c.header.Budget != nil && request.isRetry(e.FirstPass, e.Keys) {
		c.checkRetryBudget(e)
	}
	request.attempts = append(request.attempts, attempt{at: e.At, keys: e.Keys, number: e.Attempt, firstPass: e.FirstPass})
}

func (c *Checker) endAttempt(e *Event) {
	q := c.queries[e.Query]
	if q == nil || q.shards[e.Shard] == nil {
		return // the query is finished
	}
	request := q.shards[e.Shard]
	for i := range request.attempts {
		a := &request.attempts[i]
		if a.firstPass == e.FirstPass && a.number == e.Attempt && a.keys.equal(e.Keys) {
			a.neverRan = NeverRan(e.Outcome)
			a.answered = e.Outcome == outcomeAnswered
		}
	}
	if e.Outcome == outcomeAnswered && (!e.FirstPass || e.ProvenEmpty) {
		request.answered = append(request.answered, e.Keys)
	}
}

func (c *Checker) finishQuery(e *Event) {
	c.report.FinalAnswers[e.Kind]++
	q := c.queries[e.Query]
	if q == nil {
		c.report.addViolation(ruleFinalAnswer, e,
			"a final answer to lookup %d, which is not held: answered already, or never taken", e.Query)
		return
	}
	delete(c.queries, e.Query)
	c.checkDeadline(e, q)
	class, shards := c.header.Classes[q.class], q.sortedShards()
	if e.Kind == QueryRejected && class.Effect == effectNonIdempotent {
		c.checkRejection(e, q, shards)
	}
	if e.Kind == QueryServed {
		c.checkHonestAnswer(e, q, class, shards)
	}
	if class.Effect == effectNonIdempotent && c.header.GroundTruth {
		c.watchFinishedQuery(e, q, shards)
	}
}

// stopGatherer drops what a gatherer's process knew, the tally of its retries included.
func (c *Checker) stopGatherer(number int) {
	for id, q := range c.queries {
		if q.gatherer == number {
			delete(c.queries, id)
		}
	}
	if g := c.gatherers[number]; g != nil {
		clear(g.drainingSince)
		g.tally = retryTally{}
	}
}

// learnServerState records what a gatherer learned of a server. Only the first news of draining counts.
func (c *Checker) learnServerState(e *Event) {
	g := c.gatherer(e.Gatherer)
	if e.State == stateRunning {
		delete(g.drainingSince, e.Server)
		if s := c.starting[e.Server]; s != nil {
			s.knownTo[e.Gatherer] = true
		}
		return
	}
	if _, known := g.drainingSince[e.Server]; !known {
		g.drainingSince[e.Server] = e.At
	}
}

// Finish ends the check and returns its report.
func (c *Checker) Finish() *Report {
	r := &c.report
	if !c.ended {
		r.markIncomplete(ErrTruncated.Error() + " before its last line")
	}
	open, unanswered := 0, []uint64{}
	for id, q := range c.queries {
		if c.now > q.deadline+c.header.DeadlineSlack+epsilon {
			unanswered = append(unanswered, id)
		} else {
			open++
		}
	}
	slices.Sort(unanswered)
	for _, id := range unanswered {
		q := c.queries[id]
		e := &Event{At: q.deadline, Gatherer: q.gatherer, Query: id}
		r.addViolation(ruleFinalAnswer, e, "lookup %d has no final answer", id)
	}
	c.queries = map[uint64]*query{}
	if open > 0 {
		r.markIncomplete(fmt.Sprintf("%d lookups were still open when the trace ended, within their time", open))
	}
	return r
}
