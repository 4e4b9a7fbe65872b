package shardcall

import (
	"fmt"
	"net"
	"runtime/debug"
	"slices"
	"time"
)

// outgoing is a frame that waits to be written: the requests of one call, a cancellation or a health check.
type outgoing struct {
	attempts  []*attempt
	cancelID  string
	cancelled *attempt // ends once the cancellation is written, nil where it has ended already
	check     *healthCheck
}

// conn is one connection to a shard server, with a goroutine that writes and one that reads. The pool's lock guards
// its fields.
type conn struct {
	pool    *Pool
	server  *server
	address string
	nc      net.Conn // nil until it is up
	queue   []outgoing
	wake    chan struct{} // has a value when something is queued; closed with the connection

	pendingChecks []*healthCheck      // written, in the order in which they will be answered
	inFlight      map[string]*attempt // being written or written, by ID
	reserved      int                 // attempts and health checks queued, being written or written
	writeDeadline time.Time           // of the frame of requests that is being written

	silentBefore time.Duration // with attempts in flight and nothing received, before silentSince
	silentSince  time.Time     // since when attempts are in flight, or the last frame arrived if that is later

	lastAnswered string // a server may repeat its answer
	late         lateAnswers

	idleTimer *time.Timer
	retired   bool // gets no new attempts, and closes once none is left
	unusable  bool // sends nothing more, not even what is queued
	closed    bool
}

func newConn(p *Pool, s *server) *conn {
	return &conn{
		pool:     p,
		server:   s,
		address:  s.HostPort,
		wake:     make(chan struct{}, 1),
		inFlight: map[string]*attempt{},
		late:     lateAnswers{window: p.limits.lateAnswerWindow},
	}
}

// enqueue leaves a frame for the goroutine that writes. The lock must be held.
func (c *conn) enqueue(frame outgoing) {
	if c.closed {
		return
	}
	for _, a := range frame.attempts {
		a.conn = c
	}
	c.reserved += len(frame.attempts)
	if frame.check != nil {
		frame.check.conn = c
		c.reserved++
	}
	c.queue = append(c.queue, frame)
	select {
	case c.wake <- struct{}{}:
	default: // it has a value already
	}
}

// release gives back one place. A connection without any use closes after the idle timeout, at once if it is retired.
func (c *conn) release() {
	c.reserved--
	if c.reserved > 0 || c.closed {
		return
	}
	timeout := c.pool.limits.idleTimeout
	if c.retired {
		timeout = 0
	}
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(timeout, c.closeIfIdle)
	} else {
		c.idleTimer.Reset(timeout)
	}
}

func (c *conn) closeIfIdle() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.reserved == 0 {
		c.closeLocked(errConnIdle)
	}
}

// silence is for how long attempts have been in flight since anything was received.
func (c *conn) silence() time.Duration {
	if len(c.inFlight) == 0 {
		return c.silentBefore
	}
	return c.silentBefore + time.Since(c.silentSince)
}

// pauseSilence stops counting once no attempt is in flight, since nothing can be received then.
func (c *conn) pauseSilence() {
	if len(c.inFlight) == 0 {
		c.silentBefore += time.Since(c.silentSince)
	}
}

// resetSilence begins to count anew: something was received.
func (c *conn) resetSilence() {
	c.silentBefore = 0
	c.silentSince = time.Now()
}

// leaveServer takes the connection out of those that may get attempts.
func (c *conn) leaveServer() {
	c.server.conns = slices.DeleteFunc(c.server.conns, func(other *conn) bool { return other == c })
}

// retire closes the connection once it has no use any more. The lock must be held.
func (c *conn) retire(err error) {
	c.leaveServer()
	c.retired = true
	if c.reserved == 0 {
		c.closeLocked(err)
	}
}

// closeLocked closes the connection and ends all that is on it, except for attempts that are being written: the
// goroutine that writes ends these. The lock must be held.
func (c *conn) closeLocked(err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.pool.openConns--
	c.leaveServer()
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	stage := Writing
	if c.nc == nil {
		stage = Connecting
	} else {
		c.nc.Close()
	}
	for _, frame := range c.queue {
		for _, a := range frame.attempts {
			c.pool.finish(a, &Error{stage, err}, nil)
		}
		if frame.check != nil {
			c.pool.finishHealthCheck(frame.check, nil)
		}
	}
	c.queue = nil
	for _, check := range c.pendingChecks {
		c.pool.finishHealthCheck(check, nil)
	}
	c.pendingChecks = nil
	for _, a := range c.inFlight {
		if a.written {
			c.pool.finish(a, &Error{Written, err}, nil)
		}
	}
	close(c.wake)
}

// close closes the connection after an error, for a goroutine that does not hold the lock.
func (c *conn) close(err error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !c.closed {
		c.pool.log.WithField("server", c.server.HostPort).WithError(err).Debug("shard call: connection closed")
	}
	c.closeLocked(err)
}

// recoverPanic limits the effect of a panic to the connection. It must be deferred.
func (c *conn) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	c.pool.log.WithField("panic", cause).WithField("stack", string(debug.Stack())).
		Error("shard call: connection panicked")
	c.close(fmt.Errorf("panic: %v", cause))
}

// run sets the connection up and then writes what is queued until it is closed.
func (c *conn) run() {
	defer c.recoverPanic()
	nc, err := c.pool.dial(c.address)
	if err != nil {
		c.close(err)
		return
	}
	if !c.setUp(nc) {
		nc.Close()
		return
	}
	go c.readLoop(nc)
	c.writeLoop(nc)
}

// setUp takes over the network connection, unless this one was closed meanwhile.
func (c *conn) setUp(nc net.Conn) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.closed {
		return false
	}
	c.nc = nc
	return true
}
