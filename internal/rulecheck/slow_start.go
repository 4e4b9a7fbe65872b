package rulecheck

import "fmt"

// informedShare is the least share of a starting server's work that must come from gatherers which knew of its start
// for an overload to be their fault.
const informedShare = 2.0 / 3

// startingServer is a server during its slow start.
type startingServer struct {
	startedAt    float64
	knownTo      map[int]bool // gatherers that have learned of its start
	arrivals     []arrival    // in the window that ends now
	work         float64      // the sum over arrivals
	informedWork float64      // of work, what gatherers sent that knew of the start
	overloaded   bool
}

// arrival is the arrival of a shard request's work at a starting server.
type arrival struct {
	at, work float64
	informed bool
}

func (s *startingServer) add(a arrival) {
	s.arrivals = append(s.arrivals, a)
	s.work += a.work
	if a.informed {
		s.informedWork += a.work
	}
}

// removeBefore removes the arrivals before a time.
func (s *startingServer) removeBefore(at float64) {
	for s.arrivals[0].at < at {
		a := s.arrivals[0]
		s.work -= a.work
		if a.informed {
			s.informedWork -= a.work
		}
		s.arrivals = s.arrivals[1:]
	}
}

// checkSlowStart checks rule 4 when work arrives at a server: during slow start it is sent no more than it can bear.
func (c *Checker) checkSlowStart(e *Event) {
	s, terms := c.starting[e.Server], c.header.SlowStart
	server, known := c.header.Servers[e.Server]
	if s == nil || terms == nil || !known || !c.header.GroundTruth || e.At-s.startedAt >= terms.Duration {
		delete(c.starting, e.Server)
		return
	}
	s.add(arrival{at: e.At, work: e.Work, informed: s.knownTo[e.Gatherer]})
	s.removeBefore(e.At - terms.Window)
	age := e.At - s.startedAt
	capacity := server.Capacity * (terms.InitialShare + (1-terms.InitialShare)*(e.At-s.startedAt)/terms.Duration)
	limit := terms.OverloadFactor * capacity * terms.Window
	if s.work > limit+epsilon && s.informedWork >= s.work*informedShare && !s.overloaded {
		s.overloaded = true
		c.report.addViolation(ruleSlowStart, e,
			"server %d, cold for %.0f ms, was sent %.1f ms of work within %g; %.1f is what it bears",
			e.Server, age, s.work, terms.Window, limit)
	}
	c.report.addLimitUse(ruleSlowStart, s.work/max(limit, epsilon), e.At, func() string {
		return fmt.Sprintf("server %d, cold for %.0f ms, was sent %.1f ms of work of %.1f", e.Server, age, s.work, limit)
	})
}
