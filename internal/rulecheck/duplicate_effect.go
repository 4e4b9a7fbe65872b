package rulecheck

// finishedWatch is how long after its final answer a non-idempotent query's execution is still checked, as a multiple
// of the longest time that any query had.
const finishedWatch = 4

// neverRan holds the outcomes that prove that an attempt never ran.
var neverRan = map[string]bool{"full": true, "unreached": true, "stale": true, "moved": true}

// NeverRan reports whether an outcome in a trace proves that the attempt never ran.
func NeverRan(outcome string) bool { return neverRan[outcome] }

// checkRepeatedAttempt checks rule 2 when keys are sent again that an earlier attempt may have run.
func (c *Checker) checkRepeatedAttempt(e *Event, request *shardRequest, class Class) {
	if !request.mayHaveRun(e.Keys) {
		return
	}
	switch class.Effect {
	case effectNonIdempotent:
		c.report.addViolation(ruleDuplicateEffect, e,
			"lookup %d, shard %d: a once-only part is sent again though an earlier call may have run", e.Query, e.Shard)
	case effectIdempotencyKeyed:
		for _, before := range request.attempts {
			age := e.At - before.at
			if before.neverRan || !before.keys.overlaps(e.Keys) || age <= class.IdempotencyWindow+epsilon {
				continue
			}
			c.report.addViolation(ruleDuplicateEffect, e,
				"lookup %d, shard %d: a fingerprinted part is sent again %.3f ms after a call that may have run; "+
					"its mark is known for %g", e.Query, e.Shard, age, class.IdempotencyWindow)
			return
		}
	}
}

// checkRejection checks rule 2: a non-idempotent query is rejected only if none of its attempts may have run, as its
// client will try it again.
func (c *Checker) checkRejection(e *Event, q *query, shards []int) {
	for _, shard := range shards {
		if q.shards[shard].mayHaveRun(nil) {
			c.report.addViolation(ruleDuplicateEffect, e,
				"lookup %d of a once-only index is nacked though a call of shard %d may have run", e.Query, shard)
			return
		}
	}
}

// finishedQuery is a non-idempotent query after its final answer.
type finishedQuery struct {
	at       float64
	id       uint64
	rejected bool
	executed map[int][]*KeyRange
}

// finishedQueries is a queue of finished queries in the order of their final answers.
type finishedQueries struct {
	queue     []finishedQuery
	removed   int            // how many have left the queue
	positions map[uint64]int // by query, counted from the first that ever was in the queue
}

func (f *finishedQueries) add(q finishedQuery) {
	f.positions[q.id] = f.removed + len(f.queue)
	f.queue = append(f.queue, q)
}

// get returns a finished query, or nil.
func (f *finishedQueries) get(id uint64) *finishedQuery {
	position, known := f.positions[id]
	if !known {
		return nil
	}
	return &f.queue[position-f.removed]
}

// removeBefore removes the queries that finished before a time.
func (f *finishedQueries) removeBefore(at float64) {
	for len(f.queue) > 0 && f.queue[0].at < at {
		delete(f.positions, f.queue[0].id)
		f.queue = f.queue[1:]
		f.removed++
	}
}

// watchFinishedQuery checks what a finished non-idempotent query has run, and keeps it to check what it runs later.
func (c *Checker) watchFinishedQuery(e *Event, q *query, shards []int) {
	rejected := e.Kind == QueryRejected
	executed := map[int][]*KeyRange{}
	for _, shard := range shards {
		executed[shard] = q.shards[shard].executed
		if rejected && len(executed[shard]) > 0 {
			c.report.addViolation(ruleDuplicateEffect, e,
				"lookup %d is nacked though its once-only part at shard %d has run", e.Query, shard)
		}
	}
	c.finished.add(finishedQuery{at: e.At, id: e.Query, rejected: rejected, executed: executed})
	c.finished.removeBefore(e.At - finishedWatch*c.longestTimeout)
}

// checkExecution checks rule 2 when a server starts a shard request's work, by the ground truth.
func (c *Checker) checkExecution(e *Event) {
	if q := c.queries[e.Query]; q != nil && q.shards[e.Shard] != nil {
		request := q.shards[e.Shard]
		if c.header.Classes[q.class].Effect == effectNonIdempotent {
			c.checkExecutedOnce(e, request.executed)
		}
		request.executed = append(request.executed, e.Keys)
		return
	}
	finished := c.finished.get(e.Query)
	if finished == nil {
		return
	}
	c.checkExecutedOnce(e, finished.executed[e.Shard])
	finished.executed[e.Shard] = append(finished.executed[e.Shard], e.Keys)
	if finished.rejected {
		c.report.addViolation(ruleDuplicateEffect, e,
			"lookup %d, shard %d: a once-only part runs though its lookup was nacked", e.Query, e.Shard)
	}
}

// checkExecutedOnce checks that none of an execution's keys were executed before.
func (c *Checker) checkExecutedOnce(e *Event, executed []*KeyRange) {
	if n := countOverlapping(e.Keys, executed); n > 0 {
		c.report.addViolation(ruleDuplicateEffect, e,
			"lookup %d, shard %d: a once-only part has run %d times", e.Query, e.Shard, n+1)
	}
}
