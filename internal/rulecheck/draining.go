package rulecheck

import "fmt"

// checkDraining checks rule 3: soon after a gatherer learned that a server is draining or gone, it sends no attempts
// there.
func (c *Checker) checkDraining(e *Event) {
	since, draining := c.gatherer(e.Gatherer).drainingSince[e.Server]
	if !draining {
		return
	}
	late := e.At - since
	if late > c.header.DrainGrace+epsilon {
		c.report.addViolation(ruleDraining, e, "lookup %d, shard %d: a part call to server %d, "+
			"%.3f ms after the gatherer was told that it drains or is gone; %g are allowed",
			e.Query, e.Shard, e.Server, late, c.header.DrainGrace)
	}
	c.report.addLimitUse(ruleDraining, late/max(c.header.DrainGrace, epsilon), e.At, func() string {
		return fmt.Sprintf("server %d, %.3f ms after it was told to drain", e.Server, late)
	})
}
