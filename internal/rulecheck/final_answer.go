package rulecheck

// checkDeadline checks rule 1: a final answer comes by its client's deadline.
func (c *Checker) checkDeadline(e *Event, q *query) {
	if late := e.At - q.deadline; late > c.header.DeadlineSlack+epsilon {
		c.report.addViolation(ruleFinalAnswer, e, "lookup %d is answered %.3f ms after its client's time; %g are allowed",
			e.Query, late, c.header.DeadlineSlack)
	}
}
