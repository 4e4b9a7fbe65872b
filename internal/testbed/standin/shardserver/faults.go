package shardserver

// SetContent has shard requests, those of first passes too, answered from a content.
func (s *Server) SetContent(c *Content) {
	s.update(func() {
		s.answer = c.Answer
		s.summary = c.Summary
	})
}

// SetGarbledShare makes a share of the answers to first passes unreadable.
func (s *Server) SetGarbledShare(share float64) { s.update(func() { s.garbledShare = share }) }

// SetFirstPassWork makes it a build whose first passes take so many milliseconds, or that has none for 0.
func (s *Server) SetFirstPassWork(work float64) { s.update(func() { s.config.FirstPassWork = work }) }

// ReportLoad has load reports tell its queue, and this latency in milliseconds. Before, they are empty.
func (s *Server) ReportLoad(latency float64) {
	s.update(func() {
		s.reportsLoad = true
		s.reportedLatency = latency
	})
}

// SetDraining sets whether it rejects new shard requests.
func (s *Server) SetDraining(draining bool) { s.update(func() { s.draining = draining }) }

// SetHung sets whether it accepts shard requests and answers none.
func (s *Server) SetHung(hung bool) { s.update(func() { s.hung = hung }) }

// SetSlowdown sets the factor by which work that starts from now on takes longer.
func (s *Server) SetSlowdown(factor float64) { s.update(func() { s.slowdown = factor }) }

// SetFailureShare sets the share of shard requests that fail at once.
func (s *Server) SetFailureShare(share float64) { s.update(func() { s.failureShare = share }) }
