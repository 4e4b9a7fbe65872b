package rulecheck

import (
	"cmp"
	"fmt"
	"slices"
)

// checkHonestAnswer checks rule 5: an answer counts only shards that did answer, each once, and is marked complete
// only if it is.
func (c *Checker) checkHonestAnswer(e *Event, q *query, class Class, shards []int) {
	weight, included := c.checkIncludedShards(e, q)
	if e.Complete && class.CompleteShare > 1-epsilon { // nothing may be missing then, not even a shard without weight
		for _, shard := range shards {
			if missing := q.shards[shard].missingKeys(included[shard]); missing != "" {
				c.report.addViolation(ruleHonestAnswer, e, "lookup %d is marked whole, of shard %d %s", e.Query, shard, missing)
			}
		}
	}
	if weight < class.MinShare-epsilon {
		c.report.addViolation(ruleHonestAnswer, e, "lookup %d is answered from %.4f of its weight, %g is the least",
			e.Query, weight, class.MinShare)
	}
	if e.Complete && weight < class.CompleteShare-epsilon {
		c.report.addViolation(ruleHonestAnswer, e, "lookup %d is marked whole with %.4f of its weight, %g is whole",
			e.Query, weight, class.CompleteShare)
	}
}

// checkIncludedShards checks that each shard of an answer was asked for, answered, and counts once. It returns the
// answer's weight, and the keys that it includes of each shard.
func (c *Checker) checkIncludedShards(e *Event, q *query) (weight float64, included map[int][]*KeyRange) {
	included = map[int][]*KeyRange{}
	for i, shard := range e.IncludedShards {
		request := q.shards[shard]
		if request == nil {
			c.report.addViolation(ruleHonestAnswer, e,
				"lookup %d: shard %d is in the answer and was never asked for", e.Query, shard)
			continue
		}
		keys := request.keys // all that the shard holds
		if i < len(e.IncludedKeys) && e.IncludedKeys[i] != nil {
			keys = e.IncludedKeys[i]
		}
		switch {
		case countOverlapping(keys, included[shard]) > 0:
			c.report.addViolation(ruleHonestAnswer, e,
				"lookup %d: shard %d, or some of its keys, is in the answer twice", e.Query, shard)
		case !request.hasAnswered(keys):
			c.report.addViolation(ruleHonestAnswer, e,
				"lookup %d: shard %d counts as in, and no answer of it has come", e.Query, shard)
		case keys != nil && request.keys != nil:
			weight += request.weight * keys.size() / request.keys.size()
		default:
			weight += request.weight
		}
		included[shard] = append(included[shard], keys)
	}
	return weight, included
}

// hasAnswered reports whether one answer covers all of the keys.
func (r *shardRequest) hasAnswered(keys *KeyRange) bool {
	return slices.ContainsFunc(r.answered, func(answered *KeyRange) bool {
		return answered == nil || keys.within(answered)
	})
}

// missingKeys says which of a shard's keys are not included, empty if all are.
func (r *shardRequest) missingKeys(included []*KeyRange) string {
	if len(included) == 0 {
		return "nothing is in"
	}
	if r.keys == nil {
		return ""
	}
	sorted := slices.Clone(included)
	slices.SortFunc(sorted, func(a, b *KeyRange) int { return cmp.Compare(a.Lo, b.Lo) })
	next := r.keys.Lo
	for _, k := range sorted {
		if k.Lo > next {
			break
		}
		if k.Hi >= r.keys.Hi {
			return ""
		}
		next = k.Hi + 1
	}
	return fmt.Sprintf("the keys from %016x on are not in", next)
}
