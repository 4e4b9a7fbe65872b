package twopass

const (
	summaryWindow = 100.0   // number of summaries over which the empty share is averaged
	minSummaries  = 40.0    // number of summaries below which the estimate is not used
	summaryMemory = 60000.0 // milliseconds without a new summary after which the number of summaries decays

	// maxAnsweredStep limits the weight of one attempt in the answered share, so that the initial value of 1
	// persists for a while.
	maxAnsweredStep = 0.05
)

// classStats holds the observations of one class.
type classStats struct {
	settings         Settings
	firstPassLatency latencySample
	fullLatency      latencySample
	emptyShare       float64 // fraction of summaries that proved their shard empty
	summaries        float64 // number of summaries received, up to summaryWindow
	answeredShare    float64 // fraction of first-pass attempts that were answered in time
	lastSummaryAt    float64
	trials           int
	lastTwoPass      bool // the estimate last favored two passes; trials don't count
}

// RecordSent records that an attempt was sent.
func (d *Decider) RecordSent(now float64, firstPass bool) {
	d.load.decay(now)
	if !firstPass {
		d.load.sent++
		d.load.inFlight++
	}
}

// AttemptEnd describes how an attempt ended.
type AttemptEnd struct {
	Class       string
	FirstPass   bool
	Succeeded   bool
	ProvedEmpty bool // the shard holds no match; only for a successful attempt of a first pass
	Latency     float64
}

// RecordEnded records how an attempt ended. Attempts of classes that are not enabled count for the load only.
func (d *Decider) RecordEnded(now float64, end AttemptEnd) {
	if !end.FirstPass {
		d.load.inFlight = max(d.load.inFlight-1, 0)
	}
	class := d.classes[end.Class]
	switch {
	case class == nil:
	case end.FirstPass:
		class.recordFirstPass(now, end)
	case end.Succeeded:
		class.fullLatency.add(end.Latency)
	}
}

func (c *classStats) recordFirstPass(now float64, end AttemptEnd) {
	step := 1 / min(c.summaries+1, summaryWindow)
	c.answeredShare += (indicator(end.Succeeded) - c.answeredShare) * min(step, maxAnsweredStep)
	if !end.Succeeded {
		return
	}
	c.firstPassLatency.add(end.Latency)
	c.summaries = min(c.summaries+1, summaryWindow)
	c.emptyShare += (indicator(end.ProvedEmpty) - c.emptyShare) / c.summaries
	c.lastSummaryAt = now
}

func indicator(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}
