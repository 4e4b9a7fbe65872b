// Package shardcall carries part calls to shard servers and tells how each one ended.
//
// It speaks frames on plain TCP, which http.Transport cannot: docs/sockets.md shows it. It decides nothing:
// which server is asked, when and how often is the module's word.
package shardcall

import (
	"errors"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
)

// Reporter hears how part calls ended and what came of probes; it must not block.
type Reporter interface {
	Report(c *dispatch.Attempt, outcome gather.Outcome, value []byte)
	ReportHealthCheck(s gather.HealthCheckResult)
}

// Address is where a server of the list is reached.
type Address struct {
	ID       uint32
	Name     string // by which discovery knows it
	HostPort string
	State    gather.State
	Started  float64 // as in the list
}

// Pool holds the connections to all shard servers. One lock guards it all: there are a few hundred part calls
// a second at the most, and none holds it while it waits for the network.
type Pool struct {
	reporter    Reporter
	log         *logrus.Logger
	connectTime time.Duration
	idleTime    time.Duration
	silence     time.Duration
	memory      time.Duration // for which an answer may still come after its part was given up
	dial        func(address string) (net.Conn, error)
	grace       time.Duration // after a drain is told, in which a first byte may still go
	copies      bool          // two calls of a part may be out at once
	perFrame    int
	perConn     int
	most        int // connections open at once

	mu       sync.Mutex
	open     int
	opened   int64
	speaks   func(server uint32, yes bool) // nil where first passes are not used
	agreeing chan struct{}
	again    time.Duration // after which a server that could not be reached is asked again
	servers  map[uint32]*server
	attempts map[*dispatch.Attempt]*attempt
}

// server is one shard server and the connections to it that may take calls.
type server struct {
	Address
	conns  []*conn
	agreed *agreement
}

// Connections tells how many are open, and how many were opened so far.
func (p *Pool) Connections() (open int, opened int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.opened
}

// retire leaves all connections without new calls.
func (s *server) retire() {
	for _, c := range slices.Clone(s.conns) {
		c.retire(errRetired)
	}
}

// attempt is a part call between its decision and its end.
type attempt struct {
	call    *dispatch.Attempt
	id      string
	srv     *server
	on      *conn
	timer   *time.Timer
	written bool
	leaving bool // given up: it ends once the shard server has been told
}

// defaultConnect is how long a connection may take to come up, and a word that a part is given up to be written, where the
// terms tell nothing of it: without it the one would wait for ever and the other not at all.
const defaultConnect = time.Second

// New makes a pool that keeps the limits in the terms, and to so many connections where it can.
func New(settings *gather.Settings, most int, reporter Reporter, log *logrus.Logger) *Pool {
	span := func(ms float64) time.Duration { return time.Duration(ms * 1e6) }
	p := &Pool{reporter: reporter, most: most, log: log, connectTime: span(settings.ConnectTimeout),
		grace: span(settings.DrainGrace), copies: settings.HedgingAllowed, perFrame: max(settings.RequestsPerCall, 1), perConn: settings.StreamsPerConnection,
		servers: map[uint32]*server{}, attempts: map[*dispatch.Attempt]*attempt{}}
	p.dial = func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, p.connectTime) }
	if p.connectTime == 0 {
		p.connectTime = defaultConnect
	}
	// A connection that has stood idle for the time in the terms swallows what is written to it. It is closed
	// before that by the time that setting one up may take, against a call that crosses the other side's close.
	p.idleTime = math.MaxInt64
	if settings.IdleTimeout > 0 {
		p.idleTime = max(span(settings.IdleTimeout)-p.connectTime, span(settings.IdleTimeout)/2)
	}
	if p.perConn < 1 { // no limit is told
		p.perConn = math.MaxInt32
	}
	// On a machine that vanished, and where a connection has fallen silent, only a new one shows what is there.
	p.silence = math.MaxInt64
	if ms := dispatch.SilenceTimeout(settings); ms < 1e9 {
		p.silence = time.Duration(ms * 1e6)
	}
	for i := range settings.Classes {
		p.memory = max(p.memory, 2*span(settings.Classes[i].Deadline))
	}
	return p
}

// Follow takes over the addresses of all servers that are on the list. Those of servers that have left it, or
// that are found elsewhere now, take no new calls; what is out on them may still be answered.
func (p *Pool) Follow(list []Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[uint32]bool, len(list))
	for _, a := range list {
		listed[a.ID] = true
		s := p.servers[a.ID]
		if s == nil {
			s = &server{}
			p.servers[a.ID] = s
		} else if s.HostPort != a.HostPort {
			s.retire()
		}
		s.Address = a
		p.hasten(s)
		p.agree(s)
	}
	for id, s := range p.servers {
		if !listed[id] || s.State == gather.Removed {
			s.State = gather.Removed
			p.hasten(s)
			s.retire()
			delete(p.servers, id)
		}
	}
}

// hasten bounds what is being written to a server that takes nothing new: where not even the first byte has gone,
// since the server had stopped reading, it must not go once the grace is over. Half of that is left to it.
func (p *Pool) hasten(s *server) {
	if s.State == gather.Running {
		return
	}
	until := time.Now().Add(p.grace / 2)
	for _, a := range p.attempts {
		if c := a.on; a.srv == s && c != nil && c.out[a.id] == a && !a.written && until.Before(c.until) {
			c.until = until
			c.nc.SetWriteDeadline(until)
		}
	}
}

// Carry does what a round has ordered. It does not wait for the network.
func (p *Pool) Carry(o dispatch.Actions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// What ends goes first, against giving up a part of the same name that is only now asked for.
	for _, call := range o.StopWriting {
		p.stop(call)
	}
	for _, call := range o.Cancel {
		p.abandonLocked(call, GivenUp, errGivenUp)
	}
	for _, id := range o.CheckHealth {
		p.inquire(id)
	}
	type turn struct { // calls of a first pass travel in frames of their own
		*server
		first bool
	}
	var order []turn
	turns := map[turn][]*attempt{}
	for _, call := range o.Send {
		a := &attempt{call: call, id: call.ID(), srv: p.servers[call.Server]}
		p.attempts[call] = a
		if a.srv == nil {
			p.end(a, &Error{NotSent, errUnknown}, nil)
			continue
		}
		a.timer = time.AfterFunc(time.Duration(call.Timeout*1e6), func() { p.abandon(call, OutOfTime, errTime) })
		t := turn{a.srv, call.FirstPass()}
		if turns[t] == nil {
			order = append(order, t)
		}
		turns[t] = append(turns[t], a)
	}
	for _, t := range order {
		for calls := turns[t]; len(calls) > 0; {
			n := min(len(calls), p.perFrame)
			p.connFor(t.server, n).enqueue(frame{calls: calls[:n:n]})
			calls = calls[n:]
		}
	}
}

// connFor gives a connection with room for so many parts, opening one only where none has.
func (p *Pool) connFor(s *server, n int) *conn {
	for _, c := range slices.Clone(s.conns) {
		if c.quietFor() > p.silence || len(c.asked) >= mostAsked {
			c.retire(errSilent)
		}
	}
	for _, c := range s.conns {
		if c.booked == 0 || c.booked+n <= p.perConn {
			return c
		}
	}
	p.makeRoom()
	c := &conn{pool: p, srv: s, address: s.HostPort, out: map[string]*attempt{}, work: make(chan struct{}, 1)}
	s.conns = append(s.conns, c)
	p.open++
	p.opened++
	go c.run()
	return c
}

// makeRoom closes a connection without calls where as many are open as the process may have. Where each has
// some, one more is opened all the same: the kernel then says whether there is a socket for it.
func (p *Pool) makeRoom() {
	if p.open < p.most {
		return
	}
	for _, s := range p.servers {
		for _, c := range s.conns {
			if c.booked == 0 {
				c.fail(errIdle)
				return
			}
		}
	}
}

// stop keeps a call from being written. One that is being written to a server that has stopped reading would
// hold up its lookup's answer: it gets no more time, which breaks off nothing that the kernel still takes.
func (p *Pool) stop(call *dispatch.Attempt) {
	a := p.attempts[call]
	switch {
	case a == nil || a.written:
	case a.on == nil || a.on.out[a.id] != a:
		p.end(a, &Error{NotSent, errForbidden}, nil)
	default:
		a.on.nc.SetWriteDeadline(time.Now())
	}
}

func (p *Pool) abandon(call *dispatch.Attempt, stage Stage, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abandonLocked(call, stage, err)
}

// abandonLocked gives up a call that is still out; one whose bytes have not begun to go was never sent.
func (p *Pool) abandonLocked(call *dispatch.Attempt, stage Stage, err error) {
	a := p.attempts[call]
	if a == nil {
		return
	}
	if a.on == nil || a.on.out[a.id] != a {
		p.end(a, &Error{NotSent, err}, nil)
		return
	}
	c := a.on
	if !a.written { // its lookup's answer waits for the write, and must not wait for a server that has stopped reading
		c.nc.SetWriteDeadline(time.Now())
	}
	// Where no second copy may be out, its part is called again once this one's end is reported: not before the
	// server could read of it, or the connection has ended.
	if stage == GivenUp && !p.copies {
		if !a.leaving {
			a.leaving = true
			c.enqueue(frame{giveUp: a.id, of: a})
		}
		return
	}
	p.end(a, &Error{stage, err}, nil)
	c.enqueue(frame{giveUp: a.id})
}

// end reports a call, once, and frees its place. The lock is held.
func (p *Pool) end(a *attempt, err error, value []byte) {
	if p.attempts[a.call] != a {
		return
	}
	delete(p.attempts, a.call)
	if a.timer != nil {
		a.timer.Stop()
	}
	if c := a.on; c != nil {
		if c.out[a.id] == a {
			delete(c.out, a.id)
			c.calm()
			if e := (*Error)(nil); errors.As(err, &e) && (e.Stage == GivenUp || e.Stage == OutOfTime) {
				c.expect(a.id)
			}
		}
		c.free()
	}
	p.reporter.Report(a.call, Outcome(err), value)
}
