package rollout

import (
	"fmt"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minGroupCount is the count (of queries, attempts or shard requests, by metric) that each of two groups
	// of gatherers needs for their rates to be compared at the baseline.
	minGroupCount = 5

	// latencyOverdispersion is the assumed overdispersion of the latency metrics. The baseline cannot measure
	// it, since the limits that latencies are compared with are derived from the same latencies.
	latencyOverdispersion = 2.0

	// minBaselineQueries is the number of queries of each class that the baseline needs.
	minBaselineQueries = 20
)

// baseline describes the fleet before the first change: the usual figures of each class, and by how much
// gatherers differ without any new version.
type baseline struct {
	startedAt          float64
	complete           bool
	tallies            [][]tally                 // by gatherer and class
	latency            []*hdrhistogram.Histogram // by class
	latencyBars        [][][]hdrhistogram.Bar    // by gatherer and class; nil once the baseline is complete
	latencyLimits      [][2]int64                // by class: median and 95th percentile; 0 until complete
	attemptsPerRequest []float64                 // by class
	classShare         []float64                 // by class: share of the fleet's queries
	lossByZone         [][]welford               // lost value by zone and class, one sample per interval
	gauges             [gaugeCount]welford       // one sample per gatherer and interval

	// dispersionSamples holds, by class, the squared differences of two halves of the fleet, in units of the
	// variance that independent queries would have. The overdispersion factor is derived from their mean and
	// is at least 1.
	dispersionSamples [][metricCount]welford
	overdispersion    [][metricCount]float64
}

// newBaseline returns a baseline without observations.
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

// observe adds an interval before the first change. zoneOf holds the zone of each gatherer.
func (b *baseline) observe(p *Plan, zoneOf []int, o *Observation) {
	halves := make([][2]tally, len(p.Classes)) // by class
	byZone := make([][]tally, len(b.lossByZone))
	for z := range byZone {
		byZone[z] = make([]tally, len(p.Classes))
	}
	// Each zone is split evenly, so that differences between zones do not count as overdispersion.
	gatherersInZone := make([]int, len(b.lossByZone))
	for g := range o.Gatherers {
		s, z := &o.Gatherers[g], zoneOf[g]
		if !s.Reachable || s.Variant != Old {
			continue
		}
		gatherersInZone[z]++
		for class := range min(len(p.Classes), len(s.Classes)) {
			counts := &s.Classes[class]
			b.tallies[g][class].add(counts, [2]int64{})
			halves[class][gatherersInZone[z]%2].add(counts, [2]int64{})
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
			if byZone[z][class].total[lostValue] >= minGroupCount {
				b.lossByZone[z][class].add(byZone[z][class].rate(lostValue))
			}
		}
	}
}

// addLatency adds a gatherer's latencies of an interval; latency may be nil.
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

// addDispersion adds a sample of each metric's dispersion, computed from two halves of the fleet in an
// interval.
func (b *baseline) addDispersion(class int, firstHalf, secondHalf *tally) {
	for m := range metricCount {
		if firstHalf.total[m] < minGroupCount || secondHalf.total[m] < minGroupCount {
			continue
		}
		pooled := (firstHalf.events[m] + secondHalf.events[m]) / (firstHalf.total[m] + secondHalf.total[m])
		difference := firstHalf.rate(m) - secondHalf.rate(m)
		if m == attemptsPerRequest {
			difference /= max(pooled, 1e-9)
		}
		size := firstHalf.total[m] * secondHalf.total[m] / (firstHalf.total[m] + secondHalf.total[m])
		b.dispersionSamples[class][m].add(difference * difference * size / rateVariance(m, pooled))
	}
}

// total returns the sum of a class's counts over all gatherers.
func (b *baseline) total(class int) (sum tally) {
	for g := range b.tallies {
		sum.merge(&b.tallies[g][class])
	}
	return sum
}

// precise reports whether the baseline of a class is precise enough to distinguish two halves of the fleet
// that differ by a quarter of the plan's harm. The differences between gatherers at the baseline are
// subtracted from later ones, and an error in them persists for a whole stage.
func (b *baseline) precise(p *Plan, class int) bool {
	sum := b.total(class)
	for _, m := range []metric{lostValue, rejected, failedQueries, extraAttempts} {
		dispersion := max(1, b.dispersionSamples[class][m].mean)
		variance := rateVariance(m, sum.rate(m)) * dispersion / max(sum.total[m], 1)
		if 2*math.Sqrt(variance) > p.Harm/4 {
			return false
		}
	}
	const tailRate = 0.05 // by the definition of the 95th percentile
	variance := tailRate * (1 - tailRate) * latencyOverdispersion / max(sum.total[lostValue], 1)
	return 2*math.Sqrt(variance) <= p.thresholds(latencyTail).detectable/4
}

// hasLatencies reports whether the baseline has latencies of a class.
func (b *baseline) hasLatencies(class int) bool {
	histogram := b.latency[class]
	return histogram != nil && histogram.TotalCount() > 0 || b.total(class).total[latencyTail] > 0
}

// finish completes the baseline by computing its derived figures.
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
			// Few intervals say little about dispersion, so the factor starts with a margin of one half,
			// which shrinks with each interval.
			samples := &b.dispersionSamples[class][m]
			b.overdispersion[class][m] = max(1, samples.mean) * (1 + 4/(samples.n+8))
		}
	}
	for class := range b.classShare {
		b.classShare[class] /= max(queries, 1)
	}
	b.latencyBars = nil
}

// overdispersionOf returns a metric's overdispersion factor in a class.
func (b *baseline) overdispersionOf(class int, m metric) float64 {
	if factor := b.overdispersion[class][m]; factor > 0 {
		return factor
	}
	return latencyOverdispersion
}

// offset returns by how much one group of gatherers was worse than another at the baseline, with the standard
// error. Gatherers differ permanently by their traffic and their links, which no version is responsible for.
func (b *baseline) offset(
	class int, m metric, isNew, isOld func(g int) bool,
) (offset, standardError float64) {
	var newTally, oldTally tally
	for g := range b.tallies {
		switch {
		case isNew(g):
			newTally.merge(&b.tallies[g][class])
		case isOld(g):
			oldTally.merge(&b.tallies[g][class])
		}
	}
	if newTally.total[m] < minGroupCount || oldTally.total[m] < minGroupCount {
		return 0, 0
	}
	pooled := (newTally.events[m] + oldTally.events[m]) / (newTally.total[m] + oldTally.total[m])
	difference := newTally.rate(m) - oldTally.rate(m)
	if m == attemptsPerRequest {
		difference /= max(b.attemptsPerRequest[class], 1e-9)
	}
	size := newTally.total[m] * oldTally.total[m] / (newTally.total[m] + oldTally.total[m])
	standardError = math.Sqrt(rateVariance(m, pooled) * b.overdispersion[class][m] / size)
	// The James-Stein estimator shrinks the difference by the part that chance explains.
	shrinkage := max(0, 1-standardError*standardError/max(difference*difference, 1e-12))
	return difference * shrinkage, standardError
}

// summary describes the baseline for operators.
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
