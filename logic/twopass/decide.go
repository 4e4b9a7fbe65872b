// Package twopass decides whether a query is sent in one pass or in two, and what its second pass is.
//
// In two passes each shard is first asked whether it holds any match, which is cheap; then the shards that
// may are asked in full. For each query of an enabled class the package decides by the sign of an estimated
// net gain in latency; it bounds the time of the first pass; and from the first pass's outcomes it plans
// the second: which shards count as received, which are left out, and which are asked. Each pass is then a
// query of the decision module. The package learns from the ends of attempts.
//
// It must never count a shard as received that did not prove that it holds nothing (rule 5), nor begin a
// first pass whose attempts, were they all lost, the retry budget could not replace (rule 6).
// docs/design/phases.md gives the reasons.
package twopass

import (
	"math"

	"yokeroute/internal/pcg"
)

// Settings are those of one enabled class.
type Settings struct {
	LatencyObjective float64 // milliseconds
	CompleteShare    float64 // of the weight, from which an answer is complete
	MinShare         float64 // of the weight, under which no answer is given
	FirstPassShare   float64 // of a query's time, which a first pass may take at most
	MinLikelihood    float64 // shards less likely than this to hold a match are left out, 0 for none
	AllowPartial     bool    // shards may be left out even where the answer is not complete without them
	TrialShare       float64 // of queries tried in two passes where one seems better, to go on learning
}

const (
	earlyTrialShare = 0.1  // of queries, while there are fewer than minSummaries
	probationTrials = 20   // trials after which the estimate is believed
	hysteresis      = 0.05 // of a query's latency, by which the other choice has to be better

	congestedShare = 0.3 // typical latency over the objective, from which nothing is tried

	firstPassSlack       = 1.5 // times the usual latest attempt of a first pass, which is waited for
	scarceFirstPassSlack = 6.0 // the same where retries are scarce: what is cancelled has to be replaced
	scarceRetries        = 8.0 // retries left for each shard request, under which they are scarce
	secondPassSlack      = 1.2 // times the second pass's usual length, which has to be left for it

	retryReserve = 0.25 // retries needed for each attempt of a first pass, as the module holds them back
	lossMargin   = 3.0  // or so many times the share that is lost, if that is more
)

// Decider decides for the enabled classes of one gatherer.
type Decider struct {
	random  *pcg.Source
	classes map[string]*classStats
	load    load
}

// New returns a decider that has learnt nothing.
func New(seed uint64, classes map[string]Settings) *Decider {
	d := &Decider{random: pcg.New(seed), classes: map[string]*classStats{}}
	for name, settings := range classes {
		d.classes[name] = &classStats{settings: settings, answeredShare: 1}
	}
	return d
}

// Enabled reports whether queries of a class may be sent in two passes.
func (d *Decider) Enabled(class string) bool { return d.classes[class] != nil }

// Query is a query that has arrived.
type Query struct {
	Class             string
	ShardRequests     int
	FirstPassRequests int // of shards with a replica that answers first passes
	Deadline          float64
	RunningServers    int
	RetryBudgetLeft   float64 // retries that the budget allows now
}

// Reason says why a query is sent in one pass or in two. Traces show its text.
type Reason string

// The reasons.
const (
	TwoPassFaster      Reason = "two phases gain"
	OnePassFaster      Reason = "one phase is quicker"
	Trial              Reason = "a trial, to go on learning"
	NoTime             Reason = "no time for a first pass"
	NoBudget           Reason = "a lost first pass could not be made up for within the budget"
	NoFirstPassServers Reason = "no shard server answers first passes"
)

// Decision is how a query is sent, with the estimate behind it in milliseconds.
type Decision struct {
	TwoPass           bool
	Reason            Reason
	FirstPassDeadline float64
	FullCallExtra     float64 // how much longer a call in full takes than one of the first pass

	EmptyShare     float64 // of the shards, expected to be proved empty
	OwnGain        float64 // latency that the query itself saves
	SavedElsewhere float64 // latency that other queries save, by attempts that are not made
	FirstPassCost  float64 // latency that the first pass costs other queries
}

// NetGain is the latency saved by two passes, over all queries.
func (d Decision) NetGain() float64 { return d.OwnGain + d.SavedElsewhere - d.FirstPassCost }

// Decide decides how a query is sent.
func (d *Decider) Decide(now float64, query Query) Decision {
	class := d.classes[query.Class]
	e := d.estimate(now, class, query)
	decision := Decision{
		FullCallExtra:  max(e.fullWork-e.firstPassWork, 0),
		EmptyShare:     e.emptyShare,
		OwnGain:        e.onePass - e.firstPass - e.secondPass,
		SavedElsewhere: e.savedElsewhere,
		FirstPassCost:  e.firstPassCost,
	}
	objective := class.settings.LatencyObjective
	timeLeft := min(objective, query.Deadline-now)
	decision.FirstPassDeadline = now + class.firstPassTime(query, &e, timeLeft)

	// A second pass that comes too late for the objective gains nothing, whatever it saves.
	tooLate := e.firstPass+e.secondPass > timeLeft && e.onePass <= timeLeft
	known := class.knownSummaries(now)
	threshold := hysteresis * e.onePass
	if class.lastTwoPass {
		threshold = -threshold
	}
	class.lastTwoPass = decision.NetGain() > threshold && known >= minSummaries && !tooLate
	trial := d.drawTrial(class, known)
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

// firstPassTime is what a first pass may take: some time beyond its usual latest attempt, but no more than
// its share, and only what leaves the second pass its usual length.
func (c *classStats) firstPassTime(query Query, e *estimate, timeLeft float64) float64 {
	slack := firstPassSlack
	if query.RetryBudgetLeft < scarceRetries*float64(query.FirstPassRequests) {
		slack = scarceFirstPassSlack
	}
	late := c.firstPassLatency.quantile(lateQuantile, c.settings.LatencyObjective/assumedFirstPass)
	share := c.settings.FirstPassShare * timeLeft
	return min(share, slack*max(late, e.firstPass), timeLeft-secondPassSlack*e.secondPass)
}

// retriesNeeded is how many retries have to be left for a first pass to begin.
func (c *classStats) retriesNeeded(query Query) float64 {
	lost := lossMargin * (1 - c.answeredShare)
	return float64(query.FirstPassRequests) * min(max(retryReserve, lost), 1)
}

// knownSummaries is how many summaries the estimate rests on: they fade once none has come for a while.
func (c *classStats) knownSummaries(now float64) float64 {
	return c.summaries * math.Exp(-max(now-c.lastSummaryAt-summaryMemory, 0)/summaryMemory)
}

// drawTrial decides whether a query may be a trial.
func (d *Decider) drawTrial(class *classStats, known float64) bool {
	unknown := known < minSummaries
	trial := unknown && class.trials < probationTrials || d.random.Float64() < class.settings.TrialShare
	if unknown && class.trials >= probationTrials {
		trial = d.random.Float64() < max(class.settings.TrialShare, earlyTrialShare)
	}
	return trial
}
