package emulator

import (
	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

// cut is a path that loses messages for a time: all of them, or a share.
type cut struct {
	from, to   int
	begin, end float64
	share      float64
}

// path is a link's figures in one direction.
type path struct{ latency, jitter, loss float64 }

// A message that is lost is sent again after retransmit milliseconds and twice as long each time; it is given up
// after tries, which is when a connection would have been broken for long.
const (
	retransmit = 200.0
	tries      = 7
)

// travel is when a message sent now arrives, and whether it ever does.
func (w *World) travel(c *pcg.Source, from, to int) (at float64, arrives bool) {
	p := &w.paths[from*len(w.sc.Halls)+to]
	at, wait := w.now, retransmit
	for range tries {
		loss := p.loss
		for i := range w.cuts {
			if k := &w.cuts[i]; k.from == from && k.to == to && at >= k.begin && at < k.end {
				loss = max(loss, k.share)
			}
		}
		if loss == 0 || loss < 1 && c.Float64() >= loss {
			return at + p.latency*lognormal(c, p.jitter), true
		}
		at += wait
		wait *= 2
	}
	return 0, false
}

// conn is a gatherer's connection to a server. Messages of one direction keep their order.
type conn struct {
	g          *gatherer
	s          *server
	epoch      int // of the server's process that took it
	up, dead   bool
	queue      [][]*attempt // calls that wait for it to come up
	out        []*attempt   // written and not ended
	there      float64      // when the last message arrives at the server, and
	back       float64      // at the gatherer
	used, hear float64      // last written to; last heard from, or since when something is awaited
}

// send carries a message to the server.
func (w *World) send(c *conn, do func()) {
	if at, arrives := w.travel(c.g.net, c.g.hall, c.s.hall); arrives {
		c.there = max(c.there, at)
		w.at(c.there, do)
	}
}

// sendBack carries a message to the gatherer.
func (w *World) sendBack(c *conn, do func()) {
	if at, arrives := w.travel(c.g.net, c.s.hall, c.g.hall); arrives {
		c.back = max(c.back, at)
		w.at(c.back, do)
	}
}

// connect opens a connection: a message each way, and the server's work in between.
func (w *World) connect(g *gatherer, s *server) *conn {
	c := &conn{g: g, s: s, epoch: -1, used: w.now, hear: w.now}
	g.conns[s.number] = c
	g.opened++
	w.send(c, func() {
		switch {
		case s.down > 0 && s.silent:
			return
		case s.down > 0 || s.kind.Conns > 0 && s.conns >= s.kind.Conns:
			w.sendBack(c, func() { w.unreached(c) })
			return
		}
		c.epoch = s.epoch
		s.conns++
		s.waiting = append(s.waiting, &task{c: c, work: s.kind.Setup * s.setup, epoch: s.epoch})
		w.next(s)
	})
	w.in(w.sc.Rules.Connect, func() {
		if !c.up {
			w.unreached(c)
		}
	})
	return c
}

// isUp lets a connection carry what waits for it.
func (w *World) isUp(c *conn) {
	w.sendBack(c, func() {
		if c.dead || c.up {
			return
		}
		c.up, c.hear = true, w.now
		for _, calls := range c.queue {
			w.write(c, calls)
		}
		c.queue = nil
	})
}

// unreached ends a connection that never came up.
func (w *World) unreached(c *conn) {
	if c.dead || c.up {
		return
	}
	w.close(c)
	for _, calls := range c.queue {
		for _, a := range calls {
			w.ends(a, gather.ConnectFailed, nil)
		}
	}
	c.queue = nil
}

// close takes a connection out of use; what is out on it goes on.
func (w *World) close(c *conn) {
	if c.dead {
		return
	}
	c.dead = true
	if c.g.conns[c.s.number] == c {
		c.g.conns[c.s.number] = nil
	}
	if c.epoch == c.s.epoch && c.s.down == 0 && c.s.conns > 0 {
		c.s.conns--
	}
}

// reset has the gatherer hear that a connection is broken: what is out on it may have run.
func (w *World) reset(g *gatherer, c *conn) {
	w.sendBack(c, func() {
		if !c.up {
			w.unreached(c)
			return
		}
		w.close(c)
		out := c.out
		c.out = nil
		for _, a := range out {
			w.ends(a, gather.ConnectionReset, nil)
		}
	})
}

// quiet is for how long something was awaited on a connection and nothing was heard.
func (w *World) quiet(c *conn) float64 {
	if len(c.out) == 0 {
		return 0
	}
	return w.now - c.hear
}

// connTo gives the connection that a call to a server takes.
func (w *World) connTo(g *gatherer, s *server) *conn {
	c := g.conns[s.number]
	if c != nil && (c.up && len(c.out) == 0 && w.now-c.used >= w.sc.Rules.Idle || w.quiet(c) > g.silence) {
		w.close(c)
		c = nil
	}
	if c == nil {
		c = w.connect(g, s)
	}
	return c
}

// carry sends calls of one turn to a server.
func (w *World) carry(g *gatherer, s *server, calls []*attempt) {
	for len(calls) > 0 {
		n := min(len(calls), max(w.sc.Rules.CallParts, 1))
		c := w.connTo(g, s)
		for _, a := range calls[:n] {
			a.conn = c
		}
		if c.up {
			w.write(c, calls[:n:n])
		} else {
			c.queue = append(c.queue, calls[:n:n])
		}
		calls = calls[n:]
	}
}

// write puts a frame on the wire. Before its first byte each call is looked at again, as the pool does in service:
// its lookup may be answered, or its server draining, since the decision.
func (w *World) write(c *conn, calls []*attempt) {
	written := make([]*attempt, 0, len(calls))
	for _, a := range calls {
		if a.ended {
			continue
		}
		if c.g.known[c.s.number].State != gather.Running || !a.call.BeginWrite() {
			w.ends(a, gather.NotSent, nil)
			continue
		}
		a.call.EndWrite()
		a.written = true
		w.sentEvent(a)
		written = append(written, a)
	}
	if len(written) == 0 {
		return
	}
	if len(c.out) == 0 {
		c.hear = w.now
	}
	c.out = append(c.out, written...)
	c.used = w.now
	lossy := c.g.lossy[c.s.number]
	w.send(c, func() {
		if lossy > 0 { // lost on the way there, as often as on the way back
			kept := written[:0:0]
			for _, a := range written {
				if c.g.net.Float64() >= lossy/2 {
					kept = append(kept, a)
				}
			}
			if len(kept) > 0 {
				w.arrive(c, kept)
			}
			return
		}
		w.arrive(c, written)
	})
}

// reply carries a part's end to its gatherer.
func (w *World) reply(c *conn, a *attempt, outcome gather.Outcome, text []byte) {
	if lossy := c.g.lossy[c.s.number]; lossy > 0 && c.g.net.Float64() < lossy/2 {
		return
	}
	w.sendBack(c, func() {
		if c.g.epoch != a.epoch || !c.g.alive {
			return
		}
		c.hear = w.now
		w.ends(a, outcome, text)
	})
}
