// Package phases decides whether a lookup goes in one phase or in two, and what its second pass is.
//
// In two phases each part is first asked whether it holds anything at all, which is cheap; then the
// parts that may are asked in full. It decides, for each lookup of an index that an operator has marked:
// one phase or two, by the sign of an estimated net gain in latency, as the module decides its modes;
// how much time the first pass gets; and from what the first pass brought, which parts are in without a
// full call, which are left out, and what is asked. Each pass is then a lookup of the module. It learns
// from the ends of calls. It may never count a part as in that did not prove that it holds nothing (rule
// 5), nor begin a first pass whose calls, were they all lost, could not be made up for within the budget
// of further part calls (rule 6). Why this way: docs/design/phases.md.
package twopass

import (
	"cmp"
	"math"
	"slices"

	"yokeroute/internal/pcg"
)

// Settings are those of one marked index; times are milliseconds.
type Settings struct {
	LatencyObjective float64 // its soft deadline
	CompleteShare    float64 // share of the weight that makes a whole answer
	MinShare         float64 // share under which no answer is given
	FirstPassShare   float64 // most of a lookup's time that a first pass may take, a share
	MinLikelihood    float64 // parts less likely than this to hold anything are left out, 0 for none
	AllowPartial     bool    // also where the answer is not whole for it
	TrialShare       float64 // share of lookups tried in two phases where one seems better, to go on learning
}

const (
	sampleSize           = 256     // latencies kept of either pass, the newest
	loadWindow           = 5000.0  // window of calls that count as load, the design's
	summaryWindow        = 100.0   // answered summaries over which the prune share is averaged
	minSummaries         = 40.0    // summaries under which trials are more frequent,
	earlyTrialShare      = 0.1     // this share of the lookups
	summaryMemory        = 60000.0 // after so long without a summary nothing is known of them any more
	maxUtilization       = 0.9     // the design's ceiling on L·s
	congestedShare       = 0.3     // usual latency over the soft deadline from which nothing is tried
	firstPassSlack       = 1.5     // of the first pass's usual latest call, which is waited for
	scarceFirstPassSlack = 6.0     // the same where further calls are scarce:
	scarceRetries        = 8.0     // fewer are left than so many for each part
	secondPassSlack      = 1.2     // of the second pass's usual length, which has to be left for it
	hysteresis           = 0.05    // of a lookup's length, by which the other way has to be better
	probationTrials      = 20      // trials after which the first estimate is believed
	retryReserve         = 0.25    // further calls that have to be left for each first one, as the module holds back,
	lossMargin           = 3.0     // or so many times the share that is lost, if that is more
	weightTolerance      = 5e-5
)

// latencySample is the latencies of the newest calls and, sorted, of those that were new some calls ago.
type latencySample struct {
	ring           []float64
	next           int
	sorted         []float64
	addedSinceSort int
}

func (s *latencySample) add(latency float64) {
	if len(s.ring) < sampleSize {
		s.ring = append(s.ring, latency)
	} else {
		s.ring[s.next] = latency
		s.next = (s.next + 1) % sampleSize
	}
	s.addedSinceSort++
}

// quantile is a quantile, or otherwise where there is no call. Sorting waits for an eighth of the sample to be
// new.
func (s *latencySample) quantile(q, otherwise float64) float64 {
	if len(s.ring) == 0 {
		return otherwise
	}
	if s.addedSinceSort*8 >= len(s.sorted) {
		s.sorted = append(s.sorted[:0], s.ring...)
		slices.Sort(s.sorted)
		s.addedSinceSort = 0
	}
	return s.sorted[min(int(q*float64(len(s.sorted))), len(s.sorted)-1)]
}

// meanLargest is how long the last of n calls usually takes: by the mean of the largest of n draws.
func (s *latencySample) meanLargest(n, otherwise float64) float64 {
	return s.quantile(n/(n+1), otherwise)
}

// classStats is what is learnt of one index.
type classStats struct {
	settings                      Settings
	firstPassLatency, fullLatency latencySample
	emptyShare                    float64 // share of answered summaries that proved a part empty
	summaries                     float64 // summaries answered, up to forget
	answeredShare                 float64 // share of first calls that were answered in time
	lastSummaryAt                 float64
	trials                        int
	lastTwoPass                   bool // how the last lookup was decided, trials aside
}

// Decider decides for the marked indexes of one gatherer.
type Decider struct {
	random       *pcg.Source
	classes      map[string]*classStats
	sentInWindow float64 // calls in full begun, decaying over span
	inFlight     float64 // of these not ended
	decayedAt    float64
}

// New makes one that has learnt nothing.
func New(seed uint64, marked map[string]Settings) *Decider {
	p := &Decider{random: pcg.New(seed), classes: map[string]*classStats{}}
	for name, t := range marked {
		p.classes[name] = &classStats{settings: t, answeredShare: 1}
	}
	return p
}

// Enabled reports whether lookups of an index may go in two phases.
func (p *Decider) Enabled(name string) bool { return p.classes[name] != nil }

// Query is a lookup that lands.
type Query struct {
	Class             string
	ShardRequests     int
	FirstPassRequests int     // parts that some replica can be asked about in a first pass
	Deadline          float64 // by its client
	RunningServers    int     // that run
	RetryBudgetLeft   float64 // further part calls that the budget has left
}

// Reason says why a lookup goes the way it goes.
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

// Decision is how a lookup goes, with the estimate behind it in milliseconds.
type Decision struct {
	TwoPass           bool
	FirstPassDeadline float64 // when the first pass ends at the latest
	FullCallExtra     float64 // what a call in full takes longer than one of the first pass
	Reason            Reason

	EmptyShare                             float64 // share of parts that a first pass is believed to prove empty
	OwnGain, SavedElsewhere, FirstPassCost float64 // latency: of the lookup itself, of others by calls not made, by the first pass's
}

// NetGain is the net gain.
func (c Decision) NetGain() float64 { return c.OwnGain + c.SavedElsewhere - c.FirstPassCost }

// affectedRequests is the design's E at the mean server: the parts that one more call would delay.
func (p *Decider) affectedRequests(now, s float64, servers int) float64 {
	p.decay(now)
	n := float64(max(servers, 1))
	load := min(p.sentInWindow/loadWindow/n*s, maxUtilization)
	return load * (p.inFlight/n + 1) / (1 - load)
}

func (p *Decider) decay(now float64) {
	if now > p.decayedAt {
		p.sentInWindow *= math.Exp((p.decayedAt - now) / loadWindow)
		p.decayedAt = now
	}
}

// Decide decides how a lookup goes.
func (p *Decider) Decide(now float64, lk Query) Decision {
	x := p.classes[lk.Class]
	t := &x.settings
	s := x.fullLatency.quantile(0.5, t.LatencyObjective/10)
	// A call without waiting costs a server about what the quickest tenth take.
	work, brief := x.fullLatency.quantile(0.1, t.LatencyObjective/10), x.firstPassLatency.quantile(0.1, t.LatencyObjective/40)
	c := Decision{FullCallExtra: max(work-brief, 0)}
	known := x.summaries * math.Exp(-max(now-x.lastSummaryAt-summaryMemory, 0)/summaryMemory)
	c.EmptyShare = x.emptyShare * x.answeredShare
	need := math.Ceil(t.CompleteShare * float64(lk.ShardRequests))
	rest := need * (1 - c.EmptyShare)
	one := x.fullLatency.meanLargest(need, 2*t.LatencyObjective/10)
	firstPass := x.firstPassLatency.meanLargest(float64(lk.FirstPassRequests), t.LatencyObjective/20)
	second := (1 - math.Pow(c.EmptyShare, need)) * x.fullLatency.meanLargest(max(rest, 1), 2*t.LatencyObjective/10)
	e := p.affectedRequests(now, s, lk.RunningServers)
	c.OwnGain = one - firstPass - second
	c.SavedElsewhere = need * c.EmptyShare * float64(lk.FirstPassRequests) / float64(max(lk.ShardRequests, 1)) * e * work
	c.FirstPassCost = float64(lk.FirstPassRequests) * e * brief

	left := min(t.LatencyObjective, lk.Deadline-now)
	wait := firstPassSlack
	if lk.RetryBudgetLeft < scarceRetries*float64(lk.FirstPassRequests) { // what is given up has to be made up for
		wait = scarceFirstPassSlack
	}
	c.FirstPassDeadline = now + min(t.FirstPassShare*left, wait*max(x.firstPassLatency.quantile(0.95, t.LatencyObjective/20), firstPass), left-secondPassSlack*second)
	gain, margin := c.NetGain(), hysteresis*one
	if x.lastTwoPass {
		margin = -margin
	}
	// A second pass that comes too late for the soft deadline gains nothing, whatever it saves.
	late := firstPass+second > left && one <= left
	x.lastTwoPass = gain > margin && known >= minSummaries && !late
	learning := known < minSummaries && x.trials < probationTrials || p.random.Float64() < t.TrialShare
	if known < minSummaries && x.trials >= probationTrials {
		learning = p.random.Float64() < max(t.TrialShare, earlyTrialShare)
	}
	switch {
	case lk.FirstPassRequests == 0:
		c.Reason = NoFirstPassServers
	case c.FirstPassDeadline-now < x.firstPassLatency.quantile(0.5, t.LatencyObjective/40):
		c.Reason = NoTime
	case lk.RetryBudgetLeft < float64(lk.FirstPassRequests)*min(max(retryReserve, lossMargin*(1-x.answeredShare)), 1):
		c.Reason = NoBudget
	case x.lastTwoPass:
		c.TwoPass, c.Reason = true, TwoPassFaster
	case learning && s < congestedShare*t.LatencyObjective && !late:
		c.TwoPass, c.Reason = true, Trial
		x.trials++
	default:
		c.Reason = OnePassFaster
	}
	return c
}

// RecordSent notes a call that has begun: first is one of a first pass.
func (p *Decider) RecordSent(now float64, first bool) {
	p.decay(now)
	if !first {
		p.sentInWindow++
		p.inFlight++
	}
}

// RecordEnded notes how a call of an index ended. Waited is in milliseconds; one of a first pass has proved
// that its part is empty or not. Calls of indexes that are not marked count as load alone.
func (p *Decider) RecordEnded(now float64, name string, first, answered, proved bool, waited float64) {
	if !first {
		p.inFlight = max(p.inFlight-1, 0)
	}
	x := p.classes[name]
	if x == nil {
		return
	}
	if !first {
		if answered {
			x.fullLatency.add(waited)
		}
		return
	}
	was := 1 / min(x.summaries+1, summaryWindow)
	hit := func(yes bool) float64 {
		if yes {
			return 1
		}
		return 0
	}
	x.answeredShare += (hit(answered) - x.answeredShare) * min(was, 0.05) // a start of 1 is believed for a while
	if !answered {
		return
	}
	x.firstPassLatency.add(waited)
	x.summaries = min(x.summaries+1, summaryWindow)
	x.emptyShare += (hit(proved) - x.emptyShare) / x.summaries
	x.lastSummaryAt = now
}

// FirstPassOutcome is a part after the first pass.
type FirstPassOutcome struct {
	Weight      float64
	Attempted   bool    // the first pass called it
	Answered    bool    // and heard of it in time
	ProvedEmpty bool    // it is proved to hold nothing
	Likelihood  float64 // chance that it holds anything, as its server told
}

// Plan is what comes after the first pass.
type Plan struct {
	Done         bool // the lookup can be answered now: what is proved makes up the answer
	Complete     bool // and it is whole
	ProvedWeight float64
	Requests     []PlannedRequest // otherwise the second pass
	LeftOut      []int            // parts that are left out, being unlikely
}

// PlannedRequest is a part of the second pass.
type PlannedRequest struct {
	Index        int
	Retry        bool // its call is a further one: the first pass's was made and lost
	OrderPenalty float64
}

// PlanSecondPass decides what comes after a first pass. A part that was not heard of proves nothing and is asked
// in full. The unlikely are left out only as far as the answer stays whole without them, or where the
// operator lets answers be partial at its least share at the lowest; they never count as in.
func (p *Decider) PlanSecondPass(name string, parts []FirstPassOutcome) Plan {
	t := &p.classes[name].settings
	n := Plan{}
	possible := 0.0
	for i, pt := range parts {
		possible += pt.Weight
		if pt.Answered && pt.ProvedEmpty {
			n.ProvedWeight += pt.Weight
			continue
		}
		a := PlannedRequest{Index: i, Retry: pt.Attempted && !pt.Answered}
		if pt.Answered {
			a.OrderPenalty = (1 - pt.Likelihood) * unlikelyPenalty
		}
		n.Requests = append(n.Requests, a)
	}
	keep := t.CompleteShare
	if t.AllowPartial {
		keep = t.MinShare
	}
	if t.MinLikelihood > 0 {
		order := slices.Clone(n.Requests)
		slices.SortStableFunc(order, func(a, b PlannedRequest) int {
			return cmp.Or(cmp.Compare(parts[a.Index].Likelihood, parts[b.Index].Likelihood), cmp.Compare(a.Index, b.Index))
		})
		for _, a := range order {
			pt := &parts[a.Index]
			if pt.Answered && pt.Likelihood < t.MinLikelihood && possible-pt.Weight >= keep-weightTolerance {
				possible -= pt.Weight
				n.LeftOut = append(n.LeftOut, a.Index)
			}
		}
		n.Requests = slices.DeleteFunc(n.Requests, func(a PlannedRequest) bool { return slices.Contains(n.LeftOut, a.Index) })
	}
	n.Complete = n.ProvedWeight >= t.CompleteShare-weightTolerance
	n.Done = n.Complete || len(n.Requests) == 0 && n.ProvedWeight > 0 && n.ProvedWeight >= t.MinShare-weightTolerance
	return n
}

// unlikelyPenalty is by how much cost a part that surely holds nothing goes behind one that surely holds
// something.
const unlikelyPenalty = 1000.0
