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
	ID        uint32
	Name      string // by which discovery knows it
	HostPort  string
	State     gather.State
	StartedAt float64 // as in the list
}

// Pool holds the connections to all shard servers. One lock guards it all: there are a few hundred part calls
// a second at the most, and none holds it while it waits for the network.
type Pool struct {
	reporter         Reporter
	log              *logrus.Logger
	connectTimeout   time.Duration
	idleTimeout      time.Duration
	silenceTimeout   time.Duration
	lateAnswerWindow time.Duration // for which an answer may still come after its part was given up
	dial             func(address string) (net.Conn, error)
	drainGrace       time.Duration // after a drain is told, in which a first byte may still go
	hedgingAllowed   bool          // two calls of a part may be out at once
	requestsPerFrame int
	streamsPerConn   int
	maxConns         int // connections open at once

	mu                  sync.Mutex
	openConns           int
	openedConns         int64
	onFirstPassSupport  func(server uint32, yes bool) // nil where first passes are not used
	handshakeSlots      chan struct{}
	handshakeRetryDelay time.Duration // after which a server that could not be reached is asked again
	servers             map[uint32]*server
	attempts            map[*dispatch.Attempt]*attempt
}

// server is one shard server and the connections to it that may take calls.
type server struct {
	Address
	conns     []*conn
	handshake *handshake
}

// Connections tells how many are open, and how many were opened so far.
func (p *Pool) Connections() (open int, opened int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns, p.openedConns
}

// retire leaves all connections without new calls.
func (s *server) retire() {
	for _, c := range slices.Clone(s.conns) {
		c.retire(errConnRetired)
	}
}

// attempt is a part call between its decision and its end.
type attempt struct {
	decision   *dispatch.Attempt
	id         string
	server     *server
	conn       *conn
	timeout    *time.Timer
	written    bool
	cancelling bool // given up: it ends once the shard server has been told
}

// defaultConnectTimeout is how long a connection may take to come up, and a word that a part is given up to be written, where the
// terms tell nothing of it: without it the one would wait for ever and the other not at all.
const defaultConnectTimeout = time.Second

// New makes a pool that keeps the limits in the terms, and to so many connections where it can.
func New(settings *gather.Settings, most int, reporter Reporter, log *logrus.Logger) *Pool {
	span := func(ms float64) time.Duration { return time.Duration(ms * 1e6) }
	p := &Pool{reporter: reporter, maxConns: most, log: log, connectTimeout: span(settings.ConnectTimeout),
		drainGrace: span(settings.DrainGrace), hedgingAllowed: settings.HedgingAllowed, requestsPerFrame: max(settings.RequestsPerCall, 1), streamsPerConn: settings.StreamsPerConnection,
		servers: map[uint32]*server{}, attempts: map[*dispatch.Attempt]*attempt{}}
	p.dial = func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, p.connectTimeout) }
	if p.connectTimeout == 0 {
		p.connectTimeout = defaultConnectTimeout
	}
	// A connection that has stood idle for the time in the terms swallows what is written to it. It is closed
	// before that by the time that setting one up may take, against a call that crosses the other side's close.
	p.idleTimeout = math.MaxInt64
	if settings.IdleTimeout > 0 {
		p.idleTimeout = max(span(settings.IdleTimeout)-p.connectTimeout, span(settings.IdleTimeout)/2)
	}
	if p.streamsPerConn < 1 { // no limit is told
		p.streamsPerConn = math.MaxInt32
	}
	// On a machine that vanished, and where a connection has fallen silent, only a new one shows what is there.
	p.silenceTimeout = math.MaxInt64
	if ms := dispatch.SilenceTimeout(settings); ms < 1e9 {
		p.silenceTimeout = time.Duration(ms * 1e6)
	}
	for i := range settings.Classes {
		p.lateAnswerWindow = max(p.lateAnswerWindow, 2*span(settings.Classes[i].Deadline))
	}
	return p
}

// SetEndpoints takes over the addresses of all servers that are on the list. Those of servers that have left it, or
// that are found elsewhere now, take no new calls; what is out on them may still be answered.
func (p *Pool) SetEndpoints(list []Address) {
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
		p.limitWritesInProgress(s)
		p.startHandshake(s)
	}
	for id, s := range p.servers {
		if !listed[id] || s.State == gather.Removed {
			s.State = gather.Removed
			p.limitWritesInProgress(s)
			s.retire()
			delete(p.servers, id)
		}
	}
}

// limitWritesInProgress bounds what is being written to a server that takes nothing new: where not even the first byte has gone,
// since the server had stopped reading, it must not go once the grace is over. Half of that is left to it.
func (p *Pool) limitWritesInProgress(s *server) {
	if s.State == gather.Running {
		return
	}
	until := time.Now().Add(p.drainGrace / 2)
	for _, a := range p.attempts {
		if c := a.conn; a.server == s && c != nil && c.inFlight[a.id] == a && !a.written && until.Before(c.writeDeadline) {
			c.writeDeadline = until
			c.nc.SetWriteDeadline(until)
		}
	}
}

// Execute does what a round has ordered. It does not wait for the network.
func (p *Pool) Execute(o dispatch.Actions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// What ends goes first, against giving up a part of the same name that is only now asked for.
	for _, call := range o.StopWriting {
		p.stopWriting(call)
	}
	for _, call := range o.Cancel {
		p.cancelLocked(call, Cancelled, errCancelled)
	}
	for _, id := range o.CheckHealth {
		p.startHealthCheck(id)
	}
	type turn struct { // calls of a first pass travel in frames of their own
		*server
		first bool
	}
	var order []turn
	turns := map[turn][]*attempt{}
	for _, call := range o.Send {
		a := &attempt{decision: call, id: call.ID(), server: p.servers[call.Server]}
		p.attempts[call] = a
		if a.server == nil {
			p.finish(a, &Error{NotSent, errNotListed}, nil)
			continue
		}
		a.timeout = time.AfterFunc(time.Duration(call.Timeout*1e6), func() { p.cancel(call, TimedOut, errTimedOut) })
		t := turn{a.server, call.FirstPass()}
		if turns[t] == nil {
			order = append(order, t)
		}
		turns[t] = append(turns[t], a)
	}
	for _, t := range order {
		for calls := turns[t]; len(calls) > 0; {
			n := min(len(calls), p.requestsPerFrame)
			p.connFor(t.server, n).enqueue(outgoing{attempts: calls[:n:n]})
			calls = calls[n:]
		}
	}
}

// connFor gives a connection with room for so many parts, opening one only where none has.
func (p *Pool) connFor(s *server, n int) *conn {
	for _, c := range slices.Clone(s.conns) {
		if c.silence() > p.silenceTimeout || len(c.pendingChecks) >= maxPendingChecks {
			c.retire(errConnSilent)
		}
	}
	for _, c := range s.conns {
		if c.reserved == 0 || c.reserved+n <= p.streamsPerConn {
			return c
		}
	}
	p.closeIdleConn()
	c := &conn{pool: p, server: s, address: s.HostPort, inFlight: map[string]*attempt{}, wake: make(chan struct{}, 1)}
	s.conns = append(s.conns, c)
	p.openConns++
	p.openedConns++
	go c.run()
	return c
}

// closeIdleConn closes a connection without calls where as many are open as the process may have. Where each has
// some, one more is opened all the same: the kernel then says whether there is a socket for it.
func (p *Pool) closeIdleConn() {
	if p.openConns < p.maxConns {
		return
	}
	for _, s := range p.servers {
		for _, c := range s.conns {
			if c.reserved == 0 {
				c.closeLocked(errConnIdle)
				return
			}
		}
	}
}

// stopWriting keeps a call from being written. One that is being written to a server that has stopped reading would
// hold up its lookup's answer: it gets no more time, which breaks off nothing that the kernel still takes.
func (p *Pool) stopWriting(call *dispatch.Attempt) {
	a := p.attempts[call]
	switch {
	case a == nil || a.written:
	case a.conn == nil || a.conn.inFlight[a.id] != a:
		p.finish(a, &Error{NotSent, errNotAllowed}, nil)
	default:
		a.conn.nc.SetWriteDeadline(time.Now())
	}
}

func (p *Pool) cancel(call *dispatch.Attempt, stage Stage, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelLocked(call, stage, err)
}

// cancelLocked gives up a call that is still out; one whose bytes have not begun to go was never sent.
func (p *Pool) cancelLocked(call *dispatch.Attempt, stage Stage, err error) {
	a := p.attempts[call]
	if a == nil {
		return
	}
	if a.conn == nil || a.conn.inFlight[a.id] != a {
		p.finish(a, &Error{NotSent, err}, nil)
		return
	}
	c := a.conn
	if !a.written { // its lookup's answer waits for the write, and must not wait for a server that has stopped reading
		c.nc.SetWriteDeadline(time.Now())
	}
	// Where no second copy may be out, its part is called again once this one's end is reported: not before the
	// server could read of it, or the connection has ended.
	if stage == Cancelled && !p.hedgingAllowed {
		if !a.cancelling {
			a.cancelling = true
			c.enqueue(outgoing{cancelID: a.id, cancelled: a})
		}
		return
	}
	p.finish(a, &Error{stage, err}, nil)
	c.enqueue(outgoing{cancelID: a.id})
}

// finish reports a call, once, and frees its place. The lock is held.
func (p *Pool) finish(a *attempt, err error, value []byte) {
	if p.attempts[a.decision] != a {
		return
	}
	delete(p.attempts, a.decision)
	if a.timeout != nil {
		a.timeout.Stop()
	}
	if c := a.conn; c != nil {
		if c.inFlight[a.id] == a {
			delete(c.inFlight, a.id)
			c.pauseSilence()
			if e := (*Error)(nil); errors.As(err, &e) && (e.Stage == Cancelled || e.Stage == TimedOut) {
				c.expectLateAnswer(a.id)
			}
		}
		c.release()
	}
	p.reporter.Report(a.decision, Outcome(err), value)
}
