package shardcall

import (
	"fmt"
	"net"
	"runtime/debug"
	"slices"
	"time"
)

// outgoingFrame is a frame that waits to be written: the requests of a set of attempts, a cancellation or a health
// check.
type outgoingFrame struct {
	attempts  []*attempt
	cancelID  string
	cancelled *attempt // attempt to end once the cancellation is written; nil if it has already ended
	check     *healthCheck
}

// conn is a connection to a shard server, with one goroutine that writes and one that reads. The pool's lock guards
// its fields.
type conn struct {
	pool    *Pool
	server  *server
	address string
	nc      net.Conn // nil until the connection is established
	queue   []outgoingFrame
	// wake receives a value when a frame is queued. It is closed with the connection.
	wake chan struct{}

	pendingChecks []*healthCheck      // written health checks, in the order in which they will be answered
	inFlight      map[string]*attempt // attempts that are being written or are written, by ID
	reserved      int                 // number of attempts and health checks that are queued, being written or written
	writeDeadline time.Time           // deadline of the request frame that is being written

	// accumulatedSilence is how long attempts were in flight and nothing was received, not counting the time since
	// silentSince.
	accumulatedSilence time.Duration
	// silentSince is when attempts were last put in flight on a connection without any, or when the last frame arrived
	// if that is later.
	silentSince time.Time

	lastAnsweredID string // ID of the last answered attempt; a server may repeat its answer
	lateAnswers    lateAnswerSet

	idleTimer *time.Timer
	retired   bool // gets no new attempts, and closes once none is left
	unusable  bool // sends nothing more, not even queued frames
	closed    bool
}

func newConn(p *Pool, s *server) *conn {
	return &conn{
		pool:        p,
		server:      s,
		address:     s.HostPort,
		wake:        make(chan struct{}, 1),
		inFlight:    map[string]*attempt{},
		lateAnswers: lateAnswerSet{window: p.limits.lateAnswerWindow},
	}
}

// enqueue queues a frame for the writing goroutine. The pool's lock must be held.
func (c *conn) enqueue(frame outgoingFrame) {
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
	default: // a value is already pending
	}
}

// release frees one reservation. A connection without reservations closes after the idle timeout, or immediately if it
// is retired.
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

// silence returns how long attempts have been in flight since the last frame was received.
func (c *conn) silence() time.Duration {
	if len(c.inFlight) == 0 {
		return c.accumulatedSilence
	}
	return c.accumulatedSilence + time.Since(c.silentSince)
}

// pauseSilence stops the measurement of silence when no attempt is in flight, since nothing can be received then.
func (c *conn) pauseSilence() {
	if len(c.inFlight) == 0 {
		c.accumulatedSilence += time.Since(c.silentSince)
	}
}

// resetSilence restarts the measurement of silence after something was received.
func (c *conn) resetSilence() {
	c.accumulatedSilence = 0
	c.silentSince = time.Now()
}

// detachFromServer removes the connection from those that may get new attempts.
func (c *conn) detachFromServer() {
	c.server.conns = slices.DeleteFunc(c.server.conns, func(other *conn) bool { return other == c })
}

// retire excludes the connection from new attempts, and closes it once it has no reservations. The pool's lock must be
// held.
func (c *conn) retire(err error) {
	c.detachFromServer()
	c.retired = true
	if c.reserved == 0 {
		c.closeLocked(err)
	}
}

// closeLocked closes the connection and ends everything on it, except for attempts that are being written: the writing
// goroutine ends these. The pool's lock must be held.
func (c *conn) closeLocked(err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.pool.openConns--
	c.detachFromServer()
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

// close closes the connection after an error. The pool's lock must not be held.
func (c *conn) close(err error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !c.closed {
		c.pool.log.WithField("server", c.server.HostPort).WithError(err).Debug("shard call: connection closed")
	}
	c.closeLocked(err)
}

// recoverPanic limits a panic to the connection, which it closes. It must be deferred.
func (c *conn) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	c.pool.log.WithField("panic", cause).WithField("stack", string(debug.Stack())).
		Error("shard call: connection panicked")
	c.close(fmt.Errorf("panic: %v", cause))
}

// run establishes the connection and then writes queued frames until the connection is closed.
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

// setUp sets the network connection. It returns false if the conn was closed in the meantime.
func (c *conn) setUp(nc net.Conn) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.closed {
		return false
	}
	c.nc = nc
	return true
}
