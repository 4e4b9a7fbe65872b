package rollout

import "github.com/HdrHistogram/hdrhistogram-go"

// metric identifies a figure by which new and old gatherers are compared. Each is a rate from 0 to 1 or a
// cost relative to the baseline's, and higher is worse.
type metric int

const (
	lostValue metric = iota // share of the value that queries could earn
	rejected
	failedQueries
	slowQueries        // share of served queries above the baseline's median latency
	latencyTail        // share of served queries above the baseline's 95th percentile
	extraAttempts      // share of attempts that are retries or hedged requests
	attemptsPerRequest // attempts per shard request, relative to the baseline's
	metricCount
)

// gauge identifies a figure that is compared per gatherer, not per query.
type gauge int

const (
	openConnections gauge = iota
	residentMemory
	gaugeCount
)

// metricFindings and gaugeFindings describe that new gatherers are worse, for operators. Journals store them.
var metricFindings = [...]string{
	lostValue:          "loses more of the value of its lookups",
	rejected:           "nacks more",
	failedQueries:      "aborts more",
	slowQueries:        "has more lookups above the median latency of the baseline",
	latencyTail:        "has more lookups in the slow tail",
	extraAttempts:      "makes more further part calls",
	attemptsPerRequest: "makes more part calls for the same lookups",
}

var gaugeFindings = [...]string{
	openConnections: "keeps more connections open",
	residentMemory:  "takes more memory",
}

// thresholds are bounds on a metric's difference between new and old: a difference of up to tolerated counts
// as none, and a stage is passed only once a difference of detectable is ruled out.
type thresholds struct{ tolerated, detectable float64 }

// toleratedHarmShare is the share of the plan's harm that is tolerated, since even two equal versions never
// measure exactly alike.
const toleratedHarmShare = 0.25

// thresholds returns the plan's thresholds of a metric. Lost value, rejected and failed queries share one
// scale, the share of what queries could earn. Slower answers do no harm until they cost value, so more of
// them is tolerated; the latency tail is compared because it grows before value is lost.
func (p *Plan) thresholds(m metric) thresholds {
	switch m {
	case slowQueries:
		return thresholds{0.08, 0.25}
	case latencyTail:
		return thresholds{0.5 * p.Harm, 1.5 * p.Harm}
	case attemptsPerRequest:
		return thresholds{p.ExtraCost / 3, p.ExtraCost}
	}
	return thresholds{toleratedHarmShare * p.Harm, p.Harm}
}

// tally holds sums of the counts of one request class over gatherers and intervals, by metric.
type tally struct {
	total  [metricCount]float64 // denominator of the metric's rate
	events [metricCount]float64
}

func (t *tally) addEvents(m metric, total, events float64) {
	t.total[m] += total
	t.events[m] += events
}

// add adds a gatherer's counts. limits are the latencies above which a query counts in slowQueries and in
// latencyTail, in tenths of a millisecond; zero limits leave latencies out.
func (t *tally) add(c *ClassCounts, limits [2]int64) {
	t.addEvents(lostValue, c.Queries, max(c.Queries-c.EarnedValue, 0))
	t.addEvents(rejected, c.Queries, c.Rejected)
	t.addEvents(failedQueries, c.Queries, c.Failed)
	t.addEvents(extraAttempts, c.Attempts, c.ExtraAttempts)
	t.addEvents(attemptsPerRequest, c.ShardRequests, min(c.Attempts, maxAttemptsPerRequest*c.ShardRequests))
	if c.Served > 0 {
		t.addEvents(slowQueries, c.Served, c.OverLimit[0])
		t.addEvents(latencyTail, c.Served, c.OverLimit[1])
	} else if c.Latency != nil && limits[0] > 0 {
		t.addLatencies(c.Latency.Distribution(), limits)
	}
}

// maxAttemptsPerRequest caps the attempts that an interval counts per shard request. Attempts of queries that
// ended in an earlier interval would otherwise distort an interval with few shard requests.
const maxAttemptsPerRequest = 3

// addLatencies adds the latencies of served queries to slowQueries and latencyTail.
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

// merge adds the sums of another tally.
func (t *tally) merge(o *tally) {
	for m := range metricCount {
		t.total[m] += o.total[m]
		t.events[m] += o.events[m]
	}
}

func (t *tally) rate(m metric) float64 { return t.events[m] / max(t.total[m], 1e-9) }

// rateVariance returns the variance of a metric for a single query, assuming that queries are independent. A
// shard request has no, one or two attempts, for which a fixed variance is accurate enough.
func rateVariance(m metric, rate float64) float64 {
	const attemptsVariance, minVariance = 0.25, 0.005
	if m == attemptsPerRequest {
		return attemptsVariance
	}
	return max(rate*(1-rate), minVariance)
}

// welford computes a running mean and variance by Welford's method.
type welford struct{ n, mean, m2 float64 }

func (w *welford) add(x float64) {
	w.n++
	delta := x - w.mean
	w.mean += delta / w.n
	w.m2 += delta * (x - w.mean)
}

func (w *welford) variance() float64 { return w.m2 / max(w.n-1, 1) }
