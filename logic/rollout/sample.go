package rollout

import "github.com/HdrHistogram/hdrhistogram-go"

// ClassCounts are one gatherer's counts of one request class over one interval.
type ClassCounts struct {
	Queries       float64
	EarnedValue   float64 // summed over the queries, each from 0 to 1
	Rejected      float64
	Failed        float64 // internal errors included
	ShardRequests float64
	Attempts      float64
	ExtraAttempts float64                 // retries and hedged requests
	Latency       *hdrhistogram.Histogram // of served queries, in tenths of a millisecond; nil for none

	// OverLimit counts, of the Served queries, those above the baseline's median and 95th percentile, where
	// the observer has counted them itself. Latency is not looked at then.
	OverLimit [2]float64
	Served    float64
}

// StepState is the state of a gatherer's latest step.
type StepState int

// The states of a step.
const (
	Idle StepState = iota
	Running
	Failed    // it ended with an error, or exceeded its time
	Succeeded // it ended; which variant the gatherer now is comes from its own report
)

// GathererSample is what was observed of one gatherer in one interval. All but Step and Fault is zero where
// the gatherer was not reachable.
type GathererSample struct {
	Reachable   bool
	Variant     Variant
	Ready       bool
	Incarnation string  // differs with each start of the process
	Uptime      float64 // milliseconds
	Classes     []ClassCounts
	Connections float64 // open now
	Memory      float64 // resident now, bytes
	Step        StepState
	Fault       string // why it was not reachable or why its step failed, for operators
}

// Observation is what was observed of all gatherers, in the plan's order.
type Observation struct {
	Now       float64 // milliseconds
	Gatherers []GathererSample
}

// countVariants counts the reachable gatherers of each side.
func (o *Observation) countVariants() (olds, news int) {
	for g := range o.Gatherers {
		s := &o.Gatherers[g]
		switch {
		case s.Reachable && s.Variant == New:
			news++
		case s.Reachable && s.Variant == Old:
			olds++
		}
	}
	return olds, news
}
