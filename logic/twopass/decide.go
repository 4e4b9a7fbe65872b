// Package twopass decides whether a query is sent in one pass or in two, and plans its second pass.
//
// In the first of two passes each shard is asked whether it holds any match, which is cheap. In the second
// pass the full request is sent to the shards that may hold one. For each query of an enabled class the
// package decides by the sign of the estimated net gain in latency and limits the time of the first pass.
// From the outcomes of the first pass it plans the second: which shards count as received, which are left
// out, and which are asked. The decision module handles each pass as a query. The package learns from the
// results of attempts.
//
// A shard must never count as received in a first pass unless it proved that it holds no match (rule 5). A
// first pass must not begin if the retry budget could not replace its attempts, were all of them lost (rule
// 6). docs/design/phases.md gives the reasons.
package twopass

import (
	"math"

	"yokeroute/internal/pcg"
)

// Settings holds the settings of one enabled class.
type Settings struct {
	LatencyObjective float64 // milliseconds
	CompleteShare    float64 // fraction of the weight from which an answer is complete
	MinShare         float64 // fraction of the weight below which no answer is given
	FirstPassShare   float64 // maximum fraction of a query's time that its first pass may take
	MinLikelihood    float64 // shards less likely than this to hold a match are left out; 0 disables this
	AllowPartial     bool    // shards may be left out even if the answer is incomplete without them
	// TrialShare is the fraction of queries sent in two passes as trials although one pass seems better,
	// to keep learning.
	TrialShare float64
}

const (
	// earlyTrialShare is the minimum fraction of queries sent as trials once probationTrials were made but
	// fewer than minSummaries summaries are known.
	earlyTrialShare = 0.1
	// probationTrials is the number of trials up to which every query is a trial while fewer than minSummaries
	// summaries are known.
	probationTrials = 20
	// hysteresis is the fraction of a query's latency by which the other choice has to be better to replace
	// the last one.
	hysteresis = 0.05

	// congestedShare is the ratio of typical latency to the objective from which no trials are made.
	congestedShare = 0.3

	// firstPassSlack is the time limit of a first pass, as a multiple of the usual latency of its last attempt.
	firstPassSlack = 1.5
	// scarceFirstPassSlack replaces firstPassSlack if retries are scarce, since each attempt that is cancelled
	// at the time limit has to be replaced by a retry.
	scarceFirstPassSlack = 6.0
	// scarceRetries is the number of retries left per shard request below which retries are scarce.
	scarceRetries = 8.0
	// secondPassSlack is the time to be left for the second pass, as a multiple of its usual length.
	secondPassSlack = 1.2

	// retryReserve is the minimum number of retries that must be left for each attempt of a first pass. The
	// decision module reserves the same.
	retryReserve = 0.25
	// lossMargin times the share of lost attempts is needed instead of retryReserve if it is larger.
	lossMargin = 3.0
)

// Decider decides how the queries of one gatherer's enabled classes are sent.
type Decider struct {
	random  *pcg.Source
	classes map[string]*classStats
	load    load
}

// New returns a decider without any observations.
func New(seed uint64, classes map[string]Settings) *Decider {
	d := &Decider{random: pcg.New(seed), classes: map[string]*classStats{}}
	for name, settings := range classes {
		d.classes[name] = &classStats{settings: settings, answeredShare: 1}
	}
	return d
}

// Enabled reports whether queries of a class may be sent in two passes.
func (d *Decider) Enabled(class string) bool { return d.classes[class] != nil }

// Query describes an arriving query.
type Query struct {
	Class             string
	ShardRequests     int
	FirstPassRequests int // number of shard requests with a replica that answers first passes
	Deadline          float64
	RunningServers    int
	RetryBudgetLeft   float64 // number of retries that the budget allows now
}

// Reason states why a query is sent in one pass or in two. Its text is shown in traces.
type Reason string

// Reasons for a Decision.
const (
	TwoPassFaster      Reason = "two phases gain"
	OnePassFaster      Reason = "one phase is quicker"
	Trial              Reason = "a trial, to go on learning"
	NoTime             Reason = "no time for a first pass"
	NoBudget           Reason = "a lost first pass could not be made up for within the budget"
	NoFirstPassServers Reason = "no shard server answers first passes"
)

// Decision holds how a query is sent, and the estimate that led to it. Times are in milliseconds.
type Decision struct {
	TwoPass           bool
	Reason            Reason
	FirstPassDeadline float64
	FullRequestExtra  float64 // processing time of a full request minus that of a first-pass request

	EmptyShare     float64 // fraction of the shards expected to be proved empty
	OwnGain        float64 // latency that two passes save the query itself
	SavedElsewhere float64 // latency saved for other queries by full requests that are not sent
	FirstPassCost  float64 // latency that the first pass adds to other queries
}

// NetGain returns the latency that two passes save, summed over all queries.
func (d Decision) NetGain() float64 { return d.OwnGain + d.SavedElsewhere - d.FirstPassCost }

// Decide decides how a query is sent.
func (d *Decider) Decide(now float64, query Query) Decision {
	class := d.classes[query.Class]
	e := d.estimate(now, class, query)
	decision := Decision{
		FullRequestExtra: max(e.fullWork-e.firstPassWork, 0),
		EmptyShare:       e.emptyShare,
		OwnGain:          e.onePass - e.firstPass - e.secondPass,
		SavedElsewhere:   e.savedElsewhere,
		FirstPassCost:    e.firstPassCost,
	}
	objective := class.settings.LatencyObjective
	timeLeft := min(objective, query.Deadline-now)
	decision.FirstPassDeadline = now + class.firstPassTime(query, &e, timeLeft)

	// A second pass that misses the objective gains nothing, however much load it saves.
	tooLate := e.firstPass+e.secondPass > timeLeft && e.onePass <= timeLeft
	summaries := class.knownSummaries(now)
	threshold := hysteresis * e.onePass
	if class.lastTwoPass {
		threshold = -threshold
	}
	class.lastTwoPass = decision.NetGain() > threshold && summaries >= minSummaries && !tooLate
	trial := d.drawTrial(class, summaries)
	typicalFirstPass := class.firstPassLatency.quantile(median, objective/assumedFirstPassWork)
	switch {
	case query.FirstPassRequests == 0:
		decision.Reason = NoFirstPassServers
	case decision.FirstPassDeadline-now < typicalFirstPass:
		decision.Reason = NoTime
	case query.RetryBudgetLeft < class.retriesNeeded(query):
		decision.Reason = NoBudget
	case class.lastTwoPass:
		decision.TwoPass = true
		decision.Reason = TwoPassFaster
	case trial && e.typical < congestedShare*objective && !tooLate:
		decision.TwoPass = true
		decision.Reason = Trial
		class.trials++
	default:
		decision.Reason = OnePassFaster
	}
	return decision
}

// firstPassTime returns the time limit of a first pass: a multiple of the usual latency of its last attempt,
// but no more than its share of the time left, and short enough to leave the second pass its usual length.
func (c *classStats) firstPassTime(query Query, e *estimate, timeLeft float64) float64 {
	slack := firstPassSlack
	if query.RetryBudgetLeft < scarceRetries*float64(query.FirstPassRequests) {
		slack = scarceFirstPassSlack
	}
	latestAttempt := c.firstPassLatency.quantile(lateQuantile, c.settings.LatencyObjective/assumedFirstPass)
	share := c.settings.FirstPassShare * timeLeft
	return min(share, slack*max(latestAttempt, e.firstPass), timeLeft-secondPassSlack*e.secondPass)
}

// retriesNeeded returns the number of retries that must be left for a first pass to begin.
func (c *classStats) retriesNeeded(query Query) float64 {
	lost := lossMargin * (1 - c.answeredShare)
	return float64(query.FirstPassRequests) * min(max(retryReserve, lost), 1)
}

// knownSummaries returns the number of summaries on which the estimate is based. It decays once no summary
// has been received for summaryMemory.
func (c *classStats) knownSummaries(now float64) float64 {
	return c.summaries * math.Exp(-max(now-c.lastSummaryAt-summaryMemory, 0)/summaryMemory)
}

// drawTrial decides at random whether a query may be sent as a trial.
func (d *Decider) drawTrial(class *classStats, summaries float64) bool {
	tooFewSummaries := summaries < minSummaries
	trial := tooFewSummaries && class.trials < probationTrials || d.random.Float64() < class.settings.TrialShare
	if tooFewSummaries && class.trials >= probationTrials {
		trial = d.random.Float64() < max(class.settings.TrialShare, earlyTrialShare)
	}
	return trial
}
