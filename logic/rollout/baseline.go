package rollout

import (
	"fmt"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minHalfCount is how many each of two sets of gatherers needs for their rates to be compared at the
	// baseline.
	minHalfCount = 5

	// latencyOverdispersion is the overdispersion of the latency metrics. The baseline cannot show it, since
	// the limits that latencies are held against come from the same latencies.
	latencyOverdispersion = 2.0

	// minBaselineQueries is how many queries of each class the baseline needs.
	minBaselineQueries = 20
)

// baseline describes the fleet before the first change: what is usual for each class, and by how much
// gatherers differ without any new version.
type baseline struct {
	startedAt          float64
	complete           bool
	tallies            [][]tally                 // by gatherer and class
	latency            []*hdrhistogram.Histogram // by class
	latencyBars        [][][]hdrhistogram.Bar    // by gatherer and class, until latencyLimits are known
	latencyLimits      [][2]int64                // by class: median and 95th percentile, once complete
	attemptsPerRequest []float64                 // by class
	classShare         []float64                 // by class, of the fleet's queries
	lossByZone         [][]welford               // by zone and class, one value an interval
	gauges             [gaugeCount]welford       // one value a gatherer and interval

	// dispersionSamples are, by class, squared differences of two halves of the fleet in units of the
	// variance that independent queries would show. Their mean, at least 1, is the overdispersion factor.
	dispersionSamples [][metricCount]welford
	overdispersion    [][metricCount]float64
}

// newBaseline returns an empty baseline.
func newBaseline(p *Plan, now float64) *baseline {
	classes := len(p.Classes)
	b := &baseline{
		startedAt:          now,
		tallies:            make([][]tally, len(p.Gatherers)),
		latency:            make([]*hdrhistogram.Histogram, classes),
		latencyBars:        make([][][]hdrhistogram.Bar, len(p.Gatherers)),
		latencyLimits:      make([][2]int64, classes),
		attemptsPerRequest: make([]float64, classes),
		classShare:         make([]float64, classes),
		dispersionSamples:  make([][metricCount]welford, classes),
		overdispersion:     make([][metricCount]float64, classes),
	}
	for g := range b.tallies {
		b.tallies[g] = make([]tally, classes)
		b.latencyBars[g] = make([][]hdrhistogram.Bar, classes)
	}
	for range p.Zones() {
		b.lossByZone = append(b.lossByZone, make([]welford, classes))
	}
	return b
}

// observe adds an interval before the first change. zoneOf is the zone of each gatherer.
func (b *baseline) observe(p *Plan, zoneOf []int, o *Observation) {
	halves := make([][2]tally, len(p.Classes)) // by class
	byZone := make([][]tally, len(b.lossByZone))
	for z := range byZone {
		byZone[z] = make([]tally, len(p.Classes))
	}
	// Each zone is split evenly, so that zones that differ do not show as overdispersion.
	inZone := make([]int, len(b.lossByZone))
	for g := range o.Gatherers {
		s, z := &o.Gatherers[g], zoneOf[g]
		if !s.Reachable || s.Variant != Old {
			continue
		}
		inZone[z]++
		for class := range min(len(p.Classes), len(s.Classes)) {
			counts := &s.Classes[class]
			b.tallies[g][class].add(counts, [2]int64{})
			halves[class][inZone[z]%2].add(counts, [2]int64{})
			byZone[z][class].add(counts, [2]int64{})
			b.addLatency(g, class, counts.Latency)
		}
		b.gauges[openConnections].add(s.Connections)
		b.gauges[residentMemory].add(s.Memory)
	}
	for class := range halves {
		b.addDispersion(class, &halves[class][0], &halves[class][1])
	}
	for z := range byZone {
		for class := range byZone[z] {
			if byZone[z][class].total[lostValue] >= minHalfCount {
				b.lossByZone[z][class].add(byZone[z][class].rate(lostValue))
			}
		}
	}
}

// addLatency adds a gatherer's latencies of an interval, nil for none.
func (b *baseline) addLatency(g, class int, latency *hdrhistogram.Histogram) {
	if latency == nil {
		return
	}
	if b.latency[class] == nil {
		b.latency[class] = hdrhistogram.New(latency.LowestTrackableValue(), latency.HighestTrackableValue(),
			int(latency.SignificantFigures()))
	}
	b.latency[class].Merge(latency)
	for _, bar := range latency.Distribution() {
		if bar.Count > 0 {
			b.latencyBars[g][class] = append(b.latencyBars[g][class], bar)
		}
	}
}

// addDispersion adds a sample of each metric's dispersion from two halves of the fleet in one interval.
func (b *baseline) addDispersion(class int, one, other *tally) {
	for m := range metricCount {
		if one.total[m] < minHalfCount || other.total[m] < minHalfCount {
			continue
		}
		pooled := (one.events[m] + other.events[m]) / (one.total[m] + other.total[m])
		difference := one.rate(m) - other.rate(m)
		if m == attemptsPerRequest {
			difference /= max(pooled, 1e-9)
		}
		size := one.total[m] * other.total[m] / (one.total[m] + other.total[m])
		b.dispersionSamples[class][m].add(difference * difference * size / rateVariance(m, pooled))
	}
}

// total sums up a class over all gatherers.
func (b *baseline) total(class int) (sum tally) {
	for g := range b.tallies {
		sum.merge(&b.tallies[g][class])
	}
	return sum
}

// precise reports whether a class is known well enough for two halves of the fleet to be distinguished by a
// quarter of the harm. The gatherers' own differences are subtracted later on, and an error in them stays
// for a whole stage.
func (b *baseline) precise(p *Plan, class int) bool {
	sum := b.total(class)
	for _, m := range []metric{lostValue, rejected, failedQueries, extraAttempts} {
		dispersion := max(1, b.dispersionSamples[class][m].mean)
		variance := rateVariance(m, sum.rate(m)) * dispersion / max(sum.total[m], 1)
		if 2*math.Sqrt(variance) > p.Harm/4 {
			return false
		}
	}
	const tailRate = 0.05 // by definition of the 95th percentile
	variance := tailRate * (1 - tailRate) * latencyOverdispersion / max(sum.total[lostValue], 1)
	return 2*math.Sqrt(variance) <= p.thresholds(latencyTail).detectable/4
}

// hasLatencies reports whether a class had latencies at the baseline.
func (b *baseline) hasLatencies(class int) bool {
	histogram := b.latency[class]
	return histogram != nil && histogram.TotalCount() > 0 || b.total(class).total[latencyTail] > 0
}

// finish completes the baseline.
func (b *baseline) finish() {
	b.complete = true
	queries := 0.0
	for class := range b.latencyLimits {
		sum := b.total(class)
		b.classShare[class] = sum.total[lostValue]
		queries += sum.total[lostValue]
		b.attemptsPerRequest[class] = sum.rate(attemptsPerRequest)
		if h := b.latency[class]; h != nil && h.TotalCount() > 0 {
			b.latencyLimits[class] = [2]int64{h.ValueAtQuantile(50), h.ValueAtQuantile(95)}
			for g := range b.tallies {
				b.tallies[g][class].addLatencies(b.latencyBars[g][class], b.latencyLimits[class])
			}
		}
		for m := range metricCount {
			// A few intervals say little about dispersion: the factor starts half as high again and that
			// margin shrinks with each further one.
			samples := &b.dispersionSamples[class][m]
			b.overdispersion[class][m] = max(1, samples.mean) * (1 + 4/(samples.n+8))
		}
	}
	for class := range b.classShare {
		b.classShare[class] /= max(queries, 1)
	}
	b.latencyBars = nil
}

// overdispersionOf is a metric's overdispersion factor in a class.
func (b *baseline) overdispersionOf(class int, m metric) float64 {
	if factor := b.overdispersion[class][m]; factor > 0 {
		return factor
	}
	return latencyOverdispersion
}

// offset returns by how much one set of gatherers was worse than another at the baseline, with the standard
// error. Gatherers differ for good, by traffic and by links, and no version is to be blamed for it.
func (b *baseline) offset(
	class int, m metric, isNew, isOld func(g int) bool,
) (offset, standardError float64) {
	var news, olds tally
	for g := range b.tallies {
		switch {
		case isNew(g):
			news.merge(&b.tallies[g][class])
		case isOld(g):
			olds.merge(&b.tallies[g][class])
		}
	}
	if news.total[m] < minHalfCount || olds.total[m] < minHalfCount {
		return 0, 0
	}
	pooled := (news.events[m] + olds.events[m]) / (news.total[m] + olds.total[m])
	difference := news.rate(m) - olds.rate(m)
	if m == attemptsPerRequest {
		difference /= max(b.attemptsPerRequest[class], 1e-9)
	}
	size := news.total[m] * olds.total[m] / (news.total[m] + olds.total[m])
	standardError = math.Sqrt(rateVariance(m, pooled) * b.overdispersion[class][m] / size)
	// The James-Stein estimator shrinks the difference by the part of it that chance explains.
	shrinkage := max(0, 1-standardError*standardError/max(difference*difference, 1e-12))
	return difference * shrinkage, standardError
}

// summary is what was learned, for operators.
func (b *baseline) summary(p *Plan) string {
	var parts []string
	for class, name := range p.Classes {
		sum := b.total(class)
		queries := sum.total[lostValue]
		earned := 100 * (1 - sum.events[lostValue]/max(queries, 1))
		parts = append(parts, fmt.Sprintf("%s earns %.1f%% (%.0f lookups)", name, earned, queries))
	}
	return strings.Join(parts, ", ")
}
