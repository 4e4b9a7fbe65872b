package demo

import (
	"fmt"
	"sync/atomic"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/logic/twopass"
)

// Counts count what the gatherer decided. They can be read at any time.
type Counts struct {
	Queries   atomic.Int64
	Complete  atomic.Int64 // final answers, as the next four
	Partial   atomic.Int64
	Rejected  atomic.Int64
	Failed    atomic.Int64
	Abandoned atomic.Int64

	Attempts     atomic.Int64
	Retries      atomic.Int64
	BeyondQuorum atomic.Int64 // beyond the share that a partial answer needs

	AttemptsSucceeded atomic.Int64
	AttemptsFailed    atomic.Int64
	AttemptsCancelled atomic.Int64
}

// counter counts decisions as a dispatch observer.
type counter struct{ demo *Demo }

func (c counter) QueryAdmitted(*dispatch.Query, *twopass.Decision, float64) {
	c.demo.Counts.Queries.Add(1)
}

func (c counter) AttemptDecided(call *dispatch.Attempt, _ float64) {
	n := &c.demo.Counts
	n.Attempts.Add(1)
	switch lk := call.Query(); {
	case call.Number() > 0:
		n.Retries.Add(1)
	case lk.Class == "search" && 4*call.ShardsAttempted() > 3*len(lk.ShardRequests):
		n.BeyondQuorum.Add(1)
	}
}

func (c counter) AttemptEnded(_ *dispatch.Attempt, outcome gather.Outcome, _ float64, _ *twopass.Summary) {
	switch outcome {
	case gather.Succeeded:
		c.demo.Counts.AttemptsSucceeded.Add(1)
	case gather.Cancelled, gather.NotSent:
		c.demo.Counts.AttemptsCancelled.Add(1)
	default:
		c.demo.Counts.AttemptsFailed.Add(1)
	}
}

func (c counter) FirstPassEnded(*dispatch.Query, *twopass.Plan, float64) {}

func (c counter) QueryDecided(_ *dispatch.Query, v dispatch.Result, _ float64) {
	n := &c.demo.Counts
	switch {
	case v.Kind == dispatch.Served && v.Complete:
		n.Complete.Add(1)
	case v.Kind == dispatch.Served:
		n.Partial.Add(1)
	case v.Kind == dispatch.Rejected:
		n.Rejected.Add(1)
	case v.Kind == dispatch.Abandoned:
		n.Abandoned.Add(1)
	default:
		n.Failed.Add(1)
	}
}

// Summary returns the counts as one line.
func (c *Counts) Summary() string {
	return fmt.Sprintf("lookups %d: satisfied %d, in part %d, nacked %d, aborted %d; part calls %d: further %d, beyond n %d; "+
		"answered %d, failed %d, given up %d", c.Queries.Load(), c.Complete.Load(), c.Partial.Load(),
		c.Rejected.Load(), c.Failed.Load(), c.Attempts.Load(), c.Retries.Load(), c.BeyondQuorum.Load(), c.AttemptsSucceeded.Load(), c.AttemptsFailed.Load(), c.AttemptsCancelled.Load())
}
