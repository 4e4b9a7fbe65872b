package rollout

import "github.com/HdrHistogram/hdrhistogram-go"

// metric is one figure in which new and old are compared. All are rates from 0 to 1, or costs relative to
// the baseline's, of which more is worse.
type metric int

const (
	lostValue metric = iota
	rejected
	failedQueries
	slowQueries        // of served queries, above the baseline's median
	latencyTail        // above its 95th percentile
	extraAttempts      // of attempts
	attemptsPerRequest // relative to the baseline's
	metricCount
)

// gauge is a figure that is compared by gatherer, not by query.
type gauge int

const (
	openConnections gauge = iota
	residentMemory
	gaugeCount
)

// metricFindings and gaugeFindings are what operators read, and journals keep, of a difference.
var metricFindings = [...]string{
	lostValue:          "loses more of the value of its lookups",
	rejected:           "nacks more",
	failedQueries:      "aborts more",
	slowQueries:        "answers more of its lookups slower than the usual",
	latencyTail:        "has more lookups in the slow tail",
	extraAttempts:      "makes more further part calls",
	attemptsPerRequest: "makes more part calls for the same lookups",
}

var gaugeFindings = [...]string{
	openConnections: "keeps more connections open",
	residentMemory:  "takes more memory",
}

// thresholds bound a metric's difference of new and old: up to tolerated it counts as none, and one of
// detectable has to be found before a stage is passed.
type thresholds struct{ tolerated, detectable float64 }

// The part of the plan's harm that is tolerated, since two equal versions never measure quite the same.
const toleratedHarm = 0.25

// thresholds returns a metric's thresholds by the plan. Lost value, rejected and failed queries share one
// scale, the share of what queries could earn. Slower answers harm nobody until they cost value, so that
// more of them is tolerated; the latency tail is looked at because it grows before value is lost.
func (p *Plan) thresholds(m metric) thresholds {
	switch m {
	case slowQueries:
		return thresholds{0.08, 0.25}
	case latencyTail:
		return thresholds{0.5 * p.Harm, 1.5 * p.Harm}
	case attemptsPerRequest:
		return thresholds{p.ExtraCost / 3, p.ExtraCost}
	}
	return thresholds{toleratedHarm * p.Harm, p.Harm}
}

// tally sums up the counts of one request class over gatherers and intervals, metric by metric.
type tally struct {
	total  [metricCount]float64 // what the metric is a rate of
	events [metricCount]float64
}

func (t *tally) put(m metric, total, events float64) {
	t.total[m] += total
	t.events[m] += events
}

// add adds a gatherer's counts. The limits are the latencies of slowQueries and latencyTail, in tenths of a
// millisecond; zero ones leave latencies out.
func (t *tally) add(c *ClassCounts, limits [2]int64) {
	t.put(lostValue, c.Queries, max(c.Queries-c.EarnedValue, 0))
	t.put(rejected, c.Queries, c.Rejected)
	t.put(failedQueries, c.Queries, c.Failed)
	t.put(extraAttempts, c.Attempts, c.ExtraAttempts)
	t.put(attemptsPerRequest, c.ShardRequests, min(c.Attempts, maxAttemptsPerRequest*c.ShardRequests))
	if c.Served > 0 {
		t.put(slowQueries, c.Served, c.OverLimit[0])
		t.put(latencyTail, c.Served, c.OverLimit[1])
	} else if c.Latency != nil && limits[0] > 0 {
		t.addLatencies(c.Latency.Distribution(), limits)
	}
}

// maxAttemptsPerRequest caps what an interval can count: attempts of queries that ended in an earlier
// interval would otherwise weigh on this one's few.
const maxAttemptsPerRequest = 3

// addLatencies adds latencies of served queries.
func (t *tally) addLatencies(bars []hdrhistogram.Bar, limits [2]int64) {
	for _, bar := range bars {
		for i, m := range [2]metric{slowQueries, latencyTail} {
			t.total[m] += float64(bar.Count)
			if bar.From > limits[i] {
				t.events[m] += float64(bar.Count)
			}
		}
	}
}

// merge adds another tally.
func (t *tally) merge(o *tally) {
	for m := range metricCount {
		t.total[m] += o.total[m]
		t.events[m] += o.events[m]
	}
}

func (t *tally) rate(m metric) float64 { return t.events[m] / max(t.total[m], 1e-9) }

// rateVariance is the variance of a metric for one query, if queries were independent. Attempts for a shard
// request are none, one or two, for which a fixed figure is near enough.
func rateVariance(m metric, rate float64) float64 {
	const attemptsVariance, minVariance = 0.25, 0.005
	if m == attemptsPerRequest {
		return attemptsVariance
	}
	return max(rate*(1-rate), minVariance)
}

// welford keeps a running mean and variance by Welford's method.
type welford struct{ n, mean, m2 float64 }

func (w *welford) add(x float64) {
	w.n++
	delta := x - w.mean
	w.mean += delta / w.n
	w.m2 += delta * (x - w.mean)
}

func (w *welford) variance() float64 { return w.m2 / max(w.n-1, 1) }
