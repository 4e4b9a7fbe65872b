package report

import (
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/logic/phases"
)

// The events of a query that are counted by a later one.

// Opened implements dispatch.Tracer.
func (c *Collector) Opened(*dispatch.Lookup, *phases.Choice, float64) {}

// Sent implements dispatch.Tracer.
func (c *Collector) Sent(*dispatch.Call, float64) {}

// Closed implements dispatch.Tracer.
func (c *Collector) Closed(*dispatch.Lookup, *phases.Next, float64) {}

// Answered implements dispatch.Tracer.
func (c *Collector) Answered(*dispatch.Lookup, dispatch.Verdict, float64) {}

// Written counts an attempt that is written to a connection.
func (c *Collector) Written(call *dispatch.Call, _ float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.classes[call.Lookup().Index]
	if stats == nil {
		return
	}
	stats.Attempts++
	if call.Further() {
		stats.ExtraAttempts++
	}
}

// Heard counts the end of an attempt.
func (c *Collector) Heard(call *dispatch.Call, outcome gather.Outcome, waited float64, _ *phases.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.classes[call.Lookup().Index]
	if stats == nil {
		return
	}
	stats.Outcomes[outcome.String()]++
	stats.AttemptTime += max(waited, 0)
}

// Ended counts a query by how it ended.
func (c *Collector) Ended(query *dispatch.Lookup, verdict dispatch.Verdict, at float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.classes[query.Index]
	if stats == nil {
		return
	}
	stats.Queries++
	stats.ShardRequests += int64(len(query.Parts))
	switch verdict.Kind {
	case dispatch.Satisfied:
		stats.countServed(c.scoring[query.Index], query, &verdict, at-query.Landed())
	case dispatch.Nacked:
		stats.Rejected++
	case dispatch.Aborted:
		stats.Failed++
	case dispatch.Left:
		stats.ClientGone++
	default:
		stats.InternalErrors++
	}
}

// countServed counts a served query, with the value that it earned.
func (s *ClassStats) countServed(by scoring, query *dispatch.Lookup, verdict *dispatch.Verdict, latency float64) {
	value := 1.0
	if verdict.Whole {
		s.Served++
	} else {
		s.ServedPartly++
		value = by.partialFactor * min(answeredWeight(query, verdict)/max(by.completeFrom, 1e-9), 1)
	}
	if latency <= by.objective {
		s.WithinObjective++
	} else {
		value *= by.lateFactor
	}
	s.EarnedValue += min(value, 1)
	s.Latency.Record(latency)
}

// answeredWeight is the weight of the shard requests that an answer contains.
func answeredWeight(query *dispatch.Lookup, verdict *dispatch.Verdict) (weight float64) {
	for _, part := range query.Parts {
		hit := slices.ContainsFunc(verdict.Hits, func(h dispatch.Hit) bool { return h.Shard == part.Shard })
		if hit || slices.Contains(verdict.Empty, part.Shard) {
			weight += part.Weight
		}
	}
	return weight
}
