package emulator

import (
	"yokeroute/gather"
	"yokeroute/internal/pcg"
	"yokeroute/internal/rulecheck"
	"yokeroute/logic/ownership"
)

// server is one shard server.
type server struct {
	number  int // dense
	id      uint32
	set     int
	hall    int
	kind    *Kind
	down    int     // number of reasons why the server is not running
	silent  bool    // being down it says nothing, as a machine that has vanished
	fell    bool    // over, being pushed while cold
	started float64 // 0 for long ago
	epoch   int     // of its process: what an earlier one held is gone

	draining bool
	unlisted int // discovery has not noticed its end
	hung     int
	slow     float64
	setup    float64
	failing  []*failing
	chance   *pcg.Source // whether a part fails at once

	waiting []*task
	head    int // of waiting
	busy    int
	conns   int
	stuck   []*task // done while it hangs
	pushed  []arrival
	push    float64 // sum of pushed

	worked, wasted    float64 // milliseconds of cores
	parts, turnedAway int
}

type arrival struct{ at, work float64 }

type failing struct {
	share float64
	index string
}

// task is a part, or the setting up of a connection, at a server.
type task struct {
	a     *attempt // nil for a connection
	c     *conn    // of a connection that is set up
	work  float64
	epoch int
	off   bool
	begun bool
}

// strength is what share of its warm capacity a server has now.
func (w *World) strength(s *server) float64 {
	age := w.now - s.started
	if s.started == 0 || age >= w.sc.Rules.ColdTime {
		return 1
	}
	return w.sc.Rules.ColdFrom + (1-w.sc.Rules.ColdFrom)*age/w.sc.Rules.ColdTime
}

func (s *server) capacity() float64 { return float64(s.kind.Cores) * s.kind.Speed }

// end ends a server's process, or its machine.
func (w *World) end(s *server, silent bool) {
	s.down++
	if s.down > 1 {
		return
	}
	s.epoch++
	s.silent = silent
	s.waiting, s.head, s.busy, s.conns, s.stuck = nil, 0, 0, 0, nil
	s.pushed, s.push = nil, 0
	if !silent {
		for _, g := range w.gatherers { // their connections are reset
			if c := g.conns[s.number]; c != nil {
				w.reset(g, c)
			}
		}
	}
	w.tell(s)
}

// start starts a server's process anew, cold.
func (w *World) start(s *server) {
	s.down--
	if s.down > 0 {
		return
	}
	s.started, s.fell = w.now, false
	w.see(rulecheck.Event{Kind: rulecheck.ServerStarted, Server: s.id})
	if s.silent { // a machine that is back resets what it does not know
		for _, g := range w.gatherers {
			if c := g.conns[s.number]; c != nil && c.epoch != s.epoch {
				w.reset(g, c)
			}
		}
	}
	s.silent = false
	w.tell(s)
}

// arrive takes the parts of a call, or of a first pass's, that have come over a connection.
func (w *World) arrive(c *conn, calls []*attempt) {
	s := c.s
	if s.down > 0 || c.epoch != s.epoch {
		return // lost with the connection; its reset is on the way, or nothing is
	}
	extra := s.kind.Call
	for _, a := range calls {
		s.parts++
		a.came = true
		w.see(rulecheck.Event{Kind: rulecheck.WorkArrived, Gatherer: c.g.number, Server: s.id, Work: a.work})
		if w.pushes(s, a.work) {
			return
		}
		outcome := gather.Succeeded
		if w.owned != nil && w.owned.asks(s, a) == ownership.NotOwner {
			w.reply(c, a, gather.NotOwner, nil)
			continue
		}
		for _, f := range s.failing {
			if (f.index == "" || f.index == a.lk.ask.ix.Name) && s.chance.Float64() < f.share {
				outcome = gather.Failed
			}
		}
		if s.draining || len(s.waiting)-s.head >= s.kind.Queue || a.stopped {
			outcome = gather.Rejected
			s.turnedAway++
		}
		if outcome != gather.Succeeded {
			if outcome == gather.Failed { // it may have run, and here it did
				w.ran(s, a)
			}
			w.reply(c, a, outcome, nil)
			continue
		}
		t := &task{a: a, work: a.work + extra, epoch: s.epoch}
		extra = 0
		a.task = t
		s.waiting = append(s.waiting, t)
	}
	w.next(s)
}

func (w *World) ran(s *server, a *attempt) {
	w.see(rulecheck.Event{Kind: rulecheck.WorkStarted, Gatherer: a.g.number, Query: a.lk.number, Shard: a.call.Shard(), Server: s.id, FirstPass: a.call.FirstPass(), Keys: a.keys})
}

// pushes notes work sent to a server and reports whether it falls over for it.
func (w *World) pushes(s *server, work float64) bool {
	if w.strength(s) == 1 {
		return false
	}
	r := &w.sc.Rules
	s.pushed, s.push = append(s.pushed, arrival{w.now, work}), s.push+work
	for s.pushed[0].at < w.now-r.FallSpan {
		s.push -= s.pushed[0].work
		s.pushed = s.pushed[1:]
	}
	if s.push <= r.FallTimes*s.capacity()*w.strength(s)*r.FallSpan {
		return false
	}
	w.fallen++
	s.fell = true
	w.end(s, false)
	if r.Restart > 0 {
		w.in(r.Restart, func() { w.start(s) })
	}
	return true
}

// next begins work while cores are free.
func (w *World) next(s *server) {
	if s.hung > 0 || s.down > 0 {
		return
	}
	for _, t := range s.stuck {
		w.finish(s, t)
	}
	s.stuck = s.stuck[:0]
	for s.busy < s.kind.Cores && s.head < len(s.waiting) {
		t := s.waiting[s.head]
		s.waiting[s.head] = nil
		if s.head++; s.head > 64 && 2*s.head > len(s.waiting) {
			s.waiting = append(s.waiting[:0], s.waiting[s.head:]...)
			s.head = 0
		}
		if t.off {
			continue
		}
		if t.a != nil && w.owned != nil && t.a.call.NonIdempotent() && !w.owned.takes(t.a) { // its log is another's by now
			w.reply(t.a.conn, t.a, gather.NotOwner, nil)
			continue
		}
		t.begun = true
		s.busy++
		waits := float64(len(s.waiting)-s.head) / float64(s.kind.Cores)
		took := t.work * s.slow * (1 + s.kind.Crowding*waits) / s.kind.Speed / w.strength(s)
		if t.a != nil && !t.a.ran {
			t.a.ran = true
			w.ran(s, t.a)
		}
		began := w.now
		w.in(took, func() {
			if t.epoch != s.epoch {
				return
			}
			s.busy--
			s.worked += w.now - began
			if t.a != nil && (t.a.ended || t.a.g.epoch != t.a.epoch) {
				s.wasted += w.now - began
			}
			if s.hung > 0 {
				s.stuck = append(s.stuck, t)
			} else {
				w.finish(s, t)
			}
			w.next(s)
		})
	}
}

// finish ends a task whose work is done.
func (w *World) finish(s *server, t *task) {
	if t.c != nil {
		w.isUp(t.c)
		return
	}
	a := t.a
	text := value
	switch {
	case a.call.FirstPass() && a.empty && !a.mistaken:
		text = holdsNone
	case a.call.FirstPass():
		text = mayHold
	}
	w.reply(a.conn, a, gather.Succeeded, text)
}

var value, mayHold, holdsNone = []byte("x"), []byte("some 1 1 v1"), []byte("none v1")

// giveUp takes a part off that its gatherer has given up.
func (w *World) giveUp(a *attempt) {
	a.stopped = true
	t := a.task
	if t == nil || a.conn.s.down > 0 || t.epoch != a.conn.s.epoch {
		return
	}
	s := a.conn.s
	switch w.sc.Rules.Cancel {
	case "waiting":
		t.off = t.off || !t.begun
	case "running":
		if t.off = true; t.begun && t.epoch == s.epoch {
			// Its core is free at once; what it has done was for nobody.
			t.epoch = -1
			s.busy--
			w.next(s)
		}
	}
}
