package rolloutsim

import (
	"fmt"
	"math"

	"yokeroute/logic/rollout"
)

// sample is what a gatherer reports for the interval that ends now.
func (f *fleet) sample(g *gatherer, zone *conditions, traffic float64) rollout.GathererSample {
	f.endStep(g)
	f.growMemory(g)
	lost := rollout.GathererSample{Step: g.stepState, Fault: "no answer"}
	unreachable := f.now < g.downUntil || f.now < g.unreachableUntil || f.random.Float64() < reportLoss
	if f.now < g.downUntil {
		return lost
	}
	s := rollout.GathererSample{
		Reachable:   true,
		Variant:     g.variant,
		Ready:       true,
		Incarnation: fmt.Sprint(g.incarnation),
		Uptime:      f.now - g.startedAt,
		Step:        g.stepState,
		Memory:      g.memory * (1 + 0.03*f.gauss()),
		Connections: 60 * (1 + 0.05*f.gauss()),
	}
	if g.variant == rollout.New && f.effect.Connections > 0 {
		s.Connections *= f.effect.Connections
	}
	for class := range classNames {
		s.Classes = append(s.Classes, f.classCounts(g, class, zone, traffic))
	}
	if unreachable { // it has served all the same
		return lost
	}
	return s
}

// reportLoss is the share of reports that get lost by themselves.
const reportLoss = 0.003

// endStep ends a gatherer's step whose time has come. Where none is in progress, a new version may crash.
func (f *fleet) endStep(g *gatherer) {
	switch {
	case g.stepState == rollout.Running && f.now >= g.stepEnd:
		failures := 0.01
		if g.stepTo == rollout.New {
			failures = max(failures, f.effect.StartFailures)
		}
		if f.random.Float64() < failures {
			g.stepState = rollout.Failed
			g.downUntil = f.now + 4000 // the earlier version is started again
		} else {
			g.stepState = rollout.Succeeded
			g.variant = g.stepTo
		}
		g.incarnation++
		g.startedAt = g.stepEnd
		g.memory = initialMemory
	case g.stepState != rollout.Running && g.variant == rollout.New && f.effect.CrashRate > 0 &&
		f.random.Float64() < f.effect.CrashRate*f.scenario.Interval/millisPerMinute:
		f.crash(g, 2000)
	}
}

func (f *fleet) growMemory(g *gatherer) {
	g.memory += (steadyMemory - g.memory) * 0.02
	if g.variant == rollout.New && f.effect.MemoryGrowth > 0 {
		g.memory *= 1 + f.effect.MemoryGrowth*f.scenario.Interval/millisPerMinute
	}
}

// rates are what a gatherer's queries of a class come out by.
type rates struct {
	loss, reject, fail float64
	latency            float64 // factor
	tail               float64 // share of queries that take four times as long
	extraAttempts      float64 // share of the attempts
	attempts           float64 // factor
	harm               float64 // share of queries that come out worse by the version's doing
}

// ratesOf are a gatherer's rates in a class now.
func (f *fleet) ratesOf(g *gatherer, class int, zone *conditions) rates {
	warmingUp := math.Exp(-max(f.now-g.startedAt, 0) / 4000) // from 1 to 0
	loss := baseLoss[class]*g.lossFactor + zone.loss + 0.10*warmingUp
	r := rates{
		loss:          loss,
		reject:        loss / 2,
		fail:          loss / 6,
		latency:       zone.latency * g.latencyFactor * (1 + 0.4*warmingUp),
		extraAttempts: 0.02 + 0.2*zone.loss + 0.03*warmingUp,
		attempts:      1,
	}
	if f.now < g.lossyUntil {
		r.loss += 0.15
		r.extraAttempts += 0.1
		r.latency *= 1.4
	}
	if f.affects(g, class) {
		r.apply(&f.effect)
	}
	return r
}

// apply applies a version's effect.
func (r *rates) apply(e *Effect) {
	r.loss += e.Loss + e.Reject + e.Fail
	r.reject += e.Reject
	r.fail += e.Fail
	r.extraAttempts += e.ExtraAttempts
	r.tail = e.Tail
	if e.Latency > 0 {
		r.latency *= e.Latency
		r.loss += 0.03 * max(e.Latency-1, 0)
	}
	r.attempts = max(e.Attempts, 1)
	r.harm = e.Loss + e.Reject + e.Fail + e.Tail + 0.3*max(e.Latency-1, 0)
}

// classCounts draws a gatherer's counts of a class for the interval that ends now.
func (f *fleet) classCounts(g *gatherer, class int, zone *conditions, traffic float64) rollout.ClassCounts {
	// A process reports what it has done itself.
	seconds := min(f.scenario.Interval, max(f.now-g.startedAt, 0)) / millisPerSecond
	c := rollout.ClassCounts{Queries: f.poisson(g.queryRate * traffic * classShares[class] * seconds)}
	r := f.ratesOf(g, class, zone)
	lost := f.binomial(c.Queries, min(r.loss, 0.98))
	c.EarnedValue = c.Queries - lost
	c.Rejected = f.binomial(lost, min(r.reject/max(r.loss, 1e-9), 1))
	c.Failed = f.binomial(lost-c.Rejected, min(r.fail/max(r.loss-r.reject, 1e-9), 1))
	// Attempts count when they are sent, shard requests when their query has ended: some are of the next interval.
	c.ShardRequests = c.Queries * requestsPerQuery[class]
	inFlight := min(f.poisson(g.queryRate*traffic*classShares[class]*0.08*r.latency), 1000)
	attempts := max(c.Queries+inFlight-g.inFlight[class], 0) * requestsPerQuery[class] * r.attempts
	g.inFlight[class] = inFlight
	c.ExtraAttempts = f.binomial(attempts, min(r.extraAttempts, 0.9))
	c.Attempts = attempts + c.ExtraAttempts
	c.Served = c.Queries - lost
	for limit, z := range latencyLimits {
		c.OverLimit[limit] = f.binomial(c.Served, (1-r.tail)*overLimit(z, r.latency)+r.tail*overLimit(z, 4*r.latency))
	}
	f.Harmed += c.Queries * r.harm
	return c
}

// latencyLimits are the median and the 95th percentile of a calm day, in standard deviations.
var latencyLimits = []float64{0, 1.645}

// overLimit is the share of latencies over a limit. Latency is lognormal.
func overLimit(limit, latency float64) float64 {
	const sigma = 0.5
	return 0.5 * math.Erfc((limit-math.Log(latency)/sigma)/math.Sqrt2)
}
