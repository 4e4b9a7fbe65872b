package shardcall

import (
	"errors"
	"time"

	"yokeroute/internal/gatherer/dispatch"
)

// attempt is an attempt between its decision and its end. The pool's lock guards it.
type attempt struct {
	decision   *dispatch.Attempt
	id         string
	server     *server // nil where it is not listed
	conn       *conn   // nil until it is queued
	timeout    *time.Timer
	written    bool
	cancelling bool // it ends once the server can read that it is cancelled
}

// newAttempt registers an attempt and starts its timeout.
func (p *Pool) newAttempt(decision *dispatch.Attempt) *attempt {
	a := &attempt{decision: decision, id: decision.ID(), server: p.servers[decision.Server]}
	p.attempts[decision] = a
	if a.server != nil {
		a.timeout = time.AfterFunc(milliseconds(decision.Timeout), func() {
			p.cancel(decision, TimedOut, errTimedOut)
		})
	}
	return a
}

// inFlight reports whether the attempt's frame is being written or is written.
func (a *attempt) inFlight() bool { return a.conn != nil && a.conn.inFlight[a.id] == a }

// stopWriting keeps an attempt of an ended query from being written. The query's answer waits for a write in
// progress, so that a server that has stopped reading would delay it: such a write gets no more time.
func (p *Pool) stopWriting(decision *dispatch.Attempt) {
	a := p.attempts[decision]
	switch {
	case a == nil || a.written:
	case !a.inFlight():
		p.finish(a, &Error{NotSent, errNotAllowed}, nil)
	default:
		setWriteDeadline(a.conn.nc, time.Now())
	}
}

func (p *Pool) cancel(decision *dispatch.Attempt, stage Stage, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelLocked(decision, stage, err)
}

// cancelLocked ends an attempt that has no answer yet. One of which no byte is written counts as not sent.
func (p *Pool) cancelLocked(decision *dispatch.Attempt, stage Stage, err error) {
	a := p.attempts[decision]
	if a == nil {
		return
	}
	if !a.inFlight() {
		p.finish(a, &Error{NotSent, err}, nil)
		return
	}
	if !a.written { // its query's answer must not wait for a server that has stopped reading
		setWriteDeadline(a.conn.nc, time.Now())
	}
	// Without hedging, the next attempt of this shard request follows the report of this one's end. That must not
	// come before the server can read of the cancellation, or the connection has ended.
	if stage == Cancelled && !p.limits.hedgingAllowed {
		if !a.cancelling {
			a.cancelling = true
			a.conn.enqueue(outgoing{cancelID: a.id, cancelled: a})
		}
		return
	}
	c := a.conn
	p.finish(a, &Error{stage, err}, nil)
	c.enqueue(outgoing{cancelID: a.id})
}

// finish reports the end of an attempt, once, and releases its place on the connection. The lock must be held.
func (p *Pool) finish(a *attempt, err error, value []byte) {
	if p.attempts[a.decision] != a {
		return
	}
	delete(p.attempts, a.decision)
	if a.timeout != nil {
		a.timeout.Stop()
	}
	if c := a.conn; c != nil {
		if a.inFlight() {
			delete(c.inFlight, a.id)
			c.pauseSilence()
			if mayStillBeAnswered(err) {
				c.late.expect(a.id, time.Now())
			}
		}
		c.release()
	}
	p.reporter.Report(a.decision, Outcome(err), value)
}

// mayStillBeAnswered reports whether an attempt's answer may arrive after its end.
func mayStillBeAnswered(err error) bool {
	var e *Error
	return errors.As(err, &e) && (e.Stage == Cancelled || e.Stage == TimedOut)
}
