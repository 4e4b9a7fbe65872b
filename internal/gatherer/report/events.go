package report

import (
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/logic/twopass"
)

// The first four methods do nothing: AttemptWritten, AttemptEnded and QueryDecided update all counts.

// QueryAdmitted implements dispatch.DecisionObserver.
func (c *Collector) QueryAdmitted(*dispatch.Query, *twopass.Decision, float64) {}

// AttemptDecided implements dispatch.DecisionObserver.
func (c *Collector) AttemptDecided(*dispatch.Attempt, float64) {}

// FirstPassEnded implements dispatch.DecisionObserver.
func (c *Collector) FirstPassEnded(*dispatch.Query, *twopass.Plan, float64) {}

// QueryAnswered implements dispatch.WireObserver.
func (c *Collector) QueryAnswered(*dispatch.Query, dispatch.Result, float64) {}

// AttemptWritten counts an attempt that is written to a connection.
func (c *Collector) AttemptWritten(attempt *dispatch.Attempt, _ float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.classes[attempt.Query().Class]
	if stats == nil {
		return
	}
	stats.Attempts++
	if attempt.UsesRetryBudget() {
		stats.ExtraAttempts++
	}
}

// AttemptEnded counts the outcome of an attempt and adds its latency.
func (c *Collector) AttemptEnded(
	attempt *dispatch.Attempt, outcome gather.Outcome, latency float64, _ *twopass.Summary,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.classes[attempt.Query().Class]
	if stats == nil {
		return
	}
	stats.Outcomes[outcome.String()]++
	stats.AttemptTime += max(latency, 0)
}

// QueryDecided counts a query by its result.
func (c *Collector) QueryDecided(query *dispatch.Query, result dispatch.Result, at float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.classes[query.Class]
	if stats == nil {
		return
	}
	stats.Queries++
	stats.ShardRequests += int64(len(query.ShardRequests))
	switch result.Kind {
	case dispatch.Served:
		stats.countServed(c.scoring[query.Class], query, &result, at-query.AdmittedAt())
	case dispatch.Rejected:
		stats.Rejected++
	case dispatch.Failed:
		stats.Failed++
	case dispatch.Abandoned:
		stats.ClientDisconnected++
	default:
		stats.InternalErrors++
	}
}

// countServed counts a served query and adds the value that it earned.
func (s *ClassStats) countServed(rules scoring, query *dispatch.Query, result *dispatch.Result, latency float64) {
	value := 1.0
	if result.Complete {
		s.Served++
	} else {
		s.ServedPartly++
		value = rules.partialFactor * min(answeredWeight(query, result)/max(rules.completeWeight, 1e-9), 1)
	}
	if latency <= rules.objective {
		s.WithinObjective++
	} else {
		value *= rules.lateFactor
	}
	s.EarnedValue += min(value, 1)
	s.Latency.Record(latency)
}

// answeredWeight returns the total weight of the shard requests that the result covers.
func answeredWeight(query *dispatch.Query, result *dispatch.Result) (weight float64) {
	for _, request := range query.ShardRequests {
		hasHit := slices.ContainsFunc(result.Hits, func(h dispatch.Hit) bool { return h.Shard == request.Shard })
		if hasHit || slices.Contains(result.EmptyShards, request.Shard) {
			weight += request.Weight
		}
	}
	return weight
}
