package twopass

const (
	summaryWindow = 100.0   // summaries over which the empty share is averaged
	minSummaries  = 40.0    // under which the estimate is not used
	summaryMemory = 60000.0 // milliseconds without a summary after which they begin to fade

	// maxAnsweredStep bounds what one attempt changes in the answered share: its start of 1 is believed for
	// a while.
	maxAnsweredStep = 0.05
)

// classStats is what is learnt of one class.
type classStats struct {
	settings         Settings
	firstPassLatency latencySample
	fullLatency      latencySample
	emptyShare       float64 // of summaries, that proved their shard empty
	summaries        float64 // received, up to summaryWindow
	answeredShare    float64 // of attempts of first passes, that were answered in time
	lastSummaryAt    float64
	trials           int
	lastTwoPass      bool // the estimate's last choice, trials aside
}

// RecordSent notes an attempt that was sent.
func (d *Decider) RecordSent(now float64, firstPass bool) {
	d.load.decay(now)
	if !firstPass {
		d.load.sent++
		d.load.inFlight++
	}
}

// AttemptEnd is the end of an attempt.
type AttemptEnd struct {
	Class       string
	FirstPass   bool
	Succeeded   bool
	ProvedEmpty bool // of a first pass that succeeded
	Latency     float64
}

// RecordEnded notes how an attempt ended. Those of classes that are not enabled count as load alone.
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
