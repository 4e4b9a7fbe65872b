package rollout

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ClassCounts are what one gatherer told of one index for one interval.
type ClassCounts struct {
	Queries       float64 // lookups
	EarnedValue   float64 // that they earned, each from 0 to 1
	Rejected      float64
	Failed        float64 // and broken
	ShardRequests float64 // that they had
	Attempts      float64 // part calls made
	ExtraAttempts float64
	Latency       *hdrhistogram.Histogram // of satisfied ones, tenths of a millisecond; nil for none
	// of Satisfied those over the limits, where who observes has counted them already
	OverLimit [2]float64
	Served    float64
}

// Variant is what a gatherer serves as.
type Variant int

const (
	Unknown Variant = iota
	Old
	New
	Other // neither: another version, or files of which the plan knows nothing
)

var variantNames = []string{"unknown", "old", "new", "other"}

func (k Variant) String() string { return variantNames[k] }

// StepState is how far the change of a gatherer has come, as its carrier tells.
type StepState int

const (
	Idle StepState = iota
	Running
	Failed    // the command ended with an error, or in no time
	Succeeded // the command has ended; what the gatherer now is it tells itself
)

// GathererSample is what was heard of one gatherer in an interval.
type GathererSample struct {
	Reachable   bool // it told of itself; the rest is empty where it did not
	Variant     Variant
	Ready       bool
	Incarnation string  // another one with each start
	Uptime      float64 // milliseconds since that start
	Classes     []ClassCounts
	Connections float64 // now
	Memory      float64 // now, bytes
	Step        StepState
	Fault       string // why it was not reached, or why its step failed, for people
}

// Observation is what was heard of all gatherers, in the plan's order, at a time in milliseconds.
type Observation struct {
	Now       float64
	Gatherers []GathererSample
}

// metric is one thing in which new and old are compared. All are shares from 0 to 1 of which more is worse,
// or costs over what the old ones' were at the baseline.
type metric int

const (
	lostValue metric = iota
	rejected
	failedQueries
	slowQueries        // of satisfied lookups, over the median of the baseline
	latencyTail        // over its 95th percentile
	extraAttempts      // of part calls
	attemptsPerRequest // part calls a part, over the baseline's
	metricCount        // how many there are
)

// gauges are compared by gatherer, not by lookup.
type gauge int

const (
	openConnections gauge = iota
	residentMemory
	gaugeCount
)

var metricFindings = [...]string{
	lostValue:          "loses more of the value of its lookups",
	rejected:           "nacks more",
	failedQueries:      "aborts more",
	slowQueries:        "answers more of its lookups slower than the usual",
	latencyTail:        "has more lookups in the slow tail",
	extraAttempts:      "makes more further part calls",
	attemptsPerRequest: "makes more part calls for the same lookups",
}

var gaugeFindings = [...]string{openConnections: "keeps more connections open", residentMemory: "takes more memory"}

// thresholds are what is borne of a metric, and what has to be found.
type thresholds struct{ tolerated, detectable float64 }

// thresholds are a metric's bounds. Value, nacks and aborts are the same coin: a share of what lookups could earn. A
// quarter of the harm is borne, since two equal versions are never quite the same. Latency by itself harms
// nobody until it costs value, so that more of it is borne; the tail is told before it does.
func (p *Plan) thresholds(m metric) thresholds {
	switch m {
	case slowQueries:
		return thresholds{0.08, 0.25}
	case latencyTail:
		return thresholds{0.5 * p.Harm, 1.5 * p.Harm}
	case extraAttempts:
		return thresholds{0.25 * p.Harm, p.Harm}
	case attemptsPerRequest:
		return thresholds{p.ExtraCost / 3, p.ExtraCost}
	}
	return thresholds{0.25 * p.Harm, p.Harm}
}

// tally are a group's counts of one index in one interval, or over many.
type tally struct {
	total [metricCount]float64 // what the metric is a share of
	bad   [metricCount]float64
}

// add takes a gatherer's counts in. Limits are the latencies that slow and tail go by, in tenths of a
// millisecond.
func (s *tally) add(c *ClassCounts, limits [2]int64) {
	put := func(m metric, n, bad float64) {
		s.total[m] += n
		s.bad[m] += bad
	}
	put(lostValue, c.Queries, max(c.Queries-c.EarnedValue, 0))
	put(rejected, c.Queries, c.Rejected)
	put(failedQueries, c.Queries, c.Failed)
	put(extraAttempts, c.Attempts, c.ExtraAttempts)
	put(attemptsPerRequest, c.ShardRequests, min(c.Attempts, 3*c.ShardRequests))
	if c.Served > 0 {
		put(slowQueries, c.Served, c.OverLimit[0])
		put(latencyTail, c.Served, c.OverLimit[1])
	} else if c.Latency != nil && limits[0] > 0 {
		s.addLatencies(c.Latency.Distribution(), limits)
	}
}

// addLatencies takes latencies in.
func (s *tally) addLatencies(bars []hdrhistogram.Bar, limits [2]int64) {
	for _, bar := range bars {
		for i, m := range [2]metric{slowQueries, latencyTail} {
			s.total[m] += float64(bar.Count)
			if bar.From > limits[i] {
				s.bad[m] += float64(bar.Count)
			}
		}
	}
}

// merge takes another's sums in.
func (s *tally) merge(o *tally) {
	for m := range metricCount {
		s.total[m] += o.total[m]
		s.bad[m] += o.bad[m]
	}
}

func (s *tally) rate(m metric) float64 { return s.bad[m] / max(s.total[m], 1e-9) }

// rateVariance is the variance of a metric by lookup, as it would be if lookups were independent.
func rateVariance(m metric, share float64) float64 {
	if m == attemptsPerRequest { // of calls a part: some have none, some two
		return 0.25
	}
	return max(share*(1-share), 0.005)
}

// welford keeps a mean and a variance.
type welford struct{ n, mean, m2 float64 }

func (w *welford) add(x float64) {
	w.n++
	d := x - w.mean
	w.mean += d / w.n
	w.m2 += d * (x - w.mean)
}

func (w *welford) variance() float64 { return w.m2 / max(w.n-1, 1) }

// baseline is what the fleet was like before the first change.
type baseline struct {
	startedAt          float64
	tallies            [][]tally              // by gatherer and index
	latencyBars        [][][]hdrhistogram.Bar // their latencies, counted against the limits once these are known
	latency            []*hdrhistogram.Histogram
	latencyLimits      [][2]int64 // by index, once it is over: median and 95th percentile
	attemptsPerRequest []float64  // a part, by index
	classShare         []float64  // of the fleet's lookups, by index
	lossByZone         [][]welford
	// squares of the difference of two halves of the fleet, over what independence makes them
	dispersionSamples [][metricCount]welford
	overdispersion    [][metricCount]float64 // by how much differences spread more than that, 1 at the least
	gauges            [gaugeCount]welford    // of gatherers, over their mean
	complete          bool
}

// newBaseline makes a baseline that has seen nothing.
func newBaseline(p *Plan, now float64) *baseline {
	n := len(p.Classes)
	b := &baseline{startedAt: now, tallies: make([][]tally, len(p.Gatherers)), latency: make([]*hdrhistogram.Histogram, n),
		latencyLimits: make([][2]int64, n), attemptsPerRequest: make([]float64, n), classShare: make([]float64, n),
		dispersionSamples: make([][metricCount]welford, n), overdispersion: make([][metricCount]float64, n)}
	b.latencyBars = make([][][]hdrhistogram.Bar, len(p.Gatherers))
	for i := range b.tallies {
		b.tallies[i], b.latencyBars[i] = make([]tally, n), make([][]hdrhistogram.Bar, n)
	}
	for range p.Zones() {
		b.lossByZone = append(b.lossByZone, make([]welford, n))
	}
	return b
}

// observe takes an interval of the baseline in: all old, warm and alike.
func (b *baseline) observe(p *Plan, zones []int, o *Observation) {
	n := len(p.Classes)
	halves := make([][2]tally, n)
	byZone := make([][]tally, len(b.lossByZone))
	for z := range byZone {
		byZone[z] = make([]tally, n)
	}
	half := make([]int, len(b.lossByZone)) // of each zone alike, so that zones that differ do not show as spread
	for g := range o.Gatherers {
		s := &o.Gatherers[g]
		if !s.Reachable || s.Variant != Old {
			continue
		}
		half[zones[g]]++
		for i := range min(n, len(s.Classes)) {
			c := &s.Classes[i]
			b.tallies[g][i].add(c, [2]int64{})
			halves[i][half[zones[g]]%2].add(c, [2]int64{})
			byZone[zones[g]][i].add(c, [2]int64{})
			if c.Latency != nil {
				if b.latency[i] == nil {
					b.latency[i] = hdrhistogram.New(c.Latency.LowestTrackableValue(), c.Latency.HighestTrackableValue(),
						int(c.Latency.SignificantFigures()))
				}
				b.latency[i].Merge(c.Latency)
				for _, bar := range c.Latency.Distribution() {
					if bar.Count > 0 {
						b.latencyBars[g][i] = append(b.latencyBars[g][i], bar)
					}
				}
			}
		}
		b.gauges[openConnections].add(s.Connections)
		b.gauges[residentMemory].add(s.Memory)
	}
	for i := range halves {
		for m := range metricCount {
			a, c := &halves[i][0], &halves[i][1]
			if a.total[m] < 5 || c.total[m] < 5 {
				continue
			}
			d := a.rate(m) - c.rate(m)
			if m == attemptsPerRequest {
				d /= max((a.bad[m]+c.bad[m])/(a.total[m]+c.total[m]), 1e-9)
			}
			both := a.total[m] * c.total[m] / (a.total[m] + c.total[m])
			pooled := (a.bad[m] + c.bad[m]) / (a.total[m] + c.total[m])
			b.dispersionSamples[i][m].add(d * d * both / rateVariance(m, pooled))
		}
	}
	for z := range byZone {
		for i := range byZone[z] {
			if byZone[z][i].total[lostValue] >= 5 {
				b.lossByZone[z][i].add(byZone[z][i].rate(lostValue))
			}
		}
	}
}

// total is what all gatherers came to in an index.
func (b *baseline) total(i int) (sum tally) {
	for g := range b.tallies {
		sum.merge(&b.tallies[g][i])
	}
	return sum
}

// precise reports whether an index is known well enough for two halves of the fleet to be told apart by what a
// quarter of the harm is. What is taken off later as the gatherers' own difference is no better known than
// that, and stays as wrong for as long as a stage lasts.
func (b *baseline) precise(p *Plan, i int) bool {
	sum := b.total(i)
	for _, m := range []metric{lostValue, rejected, failedQueries, extraAttempts} {
		over := max(1, b.dispersionSamples[i][m].mean)
		if err := 2 * math.Sqrt(rateVariance(m, sum.rate(m))*over/max(sum.total[m], 1)); err > p.Harm/4 {
			return false
		}
	}
	// Of the tail there is a twentieth by its meaning, whatever the latencies are.
	return 2*math.Sqrt(0.05*0.95*latencyOverdispersion/max(sum.total[lostValue], 1)) <= p.thresholds(latencyTail).detectable/4
}

// latencyOverdispersion is by how much latencies spread more than independent ones, which no baseline tells: the
// limits that they are held against come from it.
const latencyOverdispersion = 2.0

// hasLatencies reports whether latencies of an index were told at the baseline.
func (b *baseline) hasLatencies(i int) bool {
	return b.latency[i] != nil && b.latency[i].TotalCount() > 0 || b.total(i).total[latencyTail] > 0
}

// finish works out what the baseline comes to.
func (b *baseline) finish() {
	b.complete = true
	all := 0.0
	defer func() { b.latencyBars = nil }()
	for i := range b.latencyLimits {
		sum := b.total(i)
		b.classShare[i] = sum.total[lostValue]
		all += sum.total[lostValue]
		b.attemptsPerRequest[i] = sum.rate(attemptsPerRequest)
		if b.latency[i] != nil && b.latency[i].TotalCount() > 0 {
			b.latencyLimits[i] = [2]int64{b.latency[i].ValueAtQuantile(50), b.latency[i].ValueAtQuantile(95)}
			for g := range b.tallies {
				b.tallies[g][i].addLatencies(b.latencyBars[g][i], b.latencyLimits[i])
			}
		}
		for m := range metricCount {
			// Few intervals say little of the spread: it is taken to be half as much again, then less and less.
			over := &b.dispersionSamples[i][m]
			b.overdispersion[i][m] = max(1, over.mean) * (1 + 4/(over.n+8))
		}
	}
	for i := range b.classShare {
		b.classShare[i] /= max(all, 1)
	}
}

// offset is by how much a set of gatherers was worse than the rest at the baseline, in a metric and index,
// with its standard error: the quiet ones, the busy ones and those with a bad link differ without any
// version's doing.
func (b *baseline) offset(i int, m metric, isNew, isOld func(g int) bool) (offset, err float64) {
	var a, c tally
	for g := range b.tallies {
		switch {
		case isNew(g):
			a.merge(&b.tallies[g][i])
		case isOld(g):
			c.merge(&b.tallies[g][i])
		}
	}
	if a.total[m] < 5 || c.total[m] < 5 {
		return 0, 0
	}
	pooled := (a.bad[m] + c.bad[m]) / (a.total[m] + c.total[m])
	d := a.rate(m) - c.rate(m)
	if m == attemptsPerRequest {
		d /= max(b.attemptsPerRequest[i], 1e-9)
	}
	both := a.total[m] * c.total[m] / (a.total[m] + c.total[m])
	err = math.Sqrt(rateVariance(m, pooled) * b.overdispersion[i][m] / both)
	// What is seen of a difference is chance for the part that chance makes (James and Stein, 1961): taken off
	// whole, it would be a difference of its own.
	return d * max(0, 1-err*err/max(d*d, 1e-12)), err
}
