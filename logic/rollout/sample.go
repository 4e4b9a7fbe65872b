package rollout

import "github.com/HdrHistogram/hdrhistogram-go"

// ClassCounts holds one gatherer's counts of one request class over one interval.
type ClassCounts struct {
	Queries       float64
	EarnedValue   float64 // summed over the queries, each from 0 to 1
	Rejected      float64
	Failed        float64 // failed queries, including those with internal errors
	ShardRequests float64
	Attempts      float64
	ExtraAttempts float64                 // retries and hedged requests
	Latency       *hdrhistogram.Histogram // of served queries, in tenths of a millisecond; nil for none

	// OverLimit counts those of the Served queries whose latency exceeded the baseline's median and its 95th
	// percentile. If the observer sets Served and OverLimit, Latency is ignored.
	OverLimit [2]float64
	Served    float64
}

// StepState is the state of a gatherer's latest step.
type StepState int

// The states of a step.
const (
	Idle StepState = iota
	Running
	Failed    // the step ended with an error, or exceeded its time
	Succeeded // the step ended without an error; the gatherer's own report says which variant it serves as
)

// GathererSample holds what was observed of one gatherer in one interval. If the gatherer was not reachable,
// all fields but Step and Fault are zero.
type GathererSample struct {
	Reachable   bool
	Variant     Variant
	Ready       bool
	Incarnation string  // differs with each start of the process
	Uptime      float64 // of the process, in milliseconds
	Classes     []ClassCounts
	Connections float64 // currently open
	Memory      float64 // currently resident, in bytes
	Step        StepState
	Fault       string // for operators: why the gatherer was not reachable or why its step failed
}

// Observation holds what was observed of all gatherers in one interval, in the order of Plan.Gatherers.
type Observation struct {
	Now       float64 // time of the observation, in milliseconds
	Gatherers []GathererSample
}

// countVariants returns how many reachable gatherers serve as old and how many as new.
func (o *Observation) countVariants() (oldCount, newCount int) {
	for g := range o.Gatherers {
		s := &o.Gatherers[g]
		switch {
		case s.Reachable && s.Variant == New:
			newCount++
		case s.Reachable && s.Variant == Old:
			oldCount++
		}
	}
	return oldCount, newCount
}
