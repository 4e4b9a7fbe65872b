package shardcall

import (
	"errors"
	"time"

	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/millis"
)

// attempt is the state of an attempt from its decision to its end. The pool's lock guards it.
type attempt struct {
	decision   *dispatch.Attempt
	id         string
	server     *server // nil if the server is not listed
	conn       *conn   // nil until the attempt is queued
	timeout    *time.Timer
	written    bool
	cancelling bool // the attempt ends when its cancellation has been written
}

// newAttempt registers an attempt and starts its timeout.
func (p *Pool) newAttempt(decision *dispatch.Attempt) *attempt {
	a := &attempt{decision: decision, id: decision.ID(), server: p.servers[decision.Server]}
	p.attempts[decision] = a
	if a.server != nil {
		a.timeout = time.AfterFunc(millis.Duration(decision.Timeout), func() {
			p.cancel(decision, TimedOut, errTimedOut)
		})
	}
	return a
}

// inFlight reports whether the frame of the attempt is being written or has been written.
func (a *attempt) inFlight() bool { return a.conn != nil && a.conn.inFlight[a.id] == a }

// stopWriting keeps an attempt of an ended query from being written. It also stops a write in progress, because the
// answer to the query waits for that write and a server that has stopped reading would delay it.
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

// cancelLocked ends an attempt that has not been answered. An attempt that is not yet being written is reported as not
// sent.
func (p *Pool) cancelLocked(decision *dispatch.Attempt, stage Stage, err error) {
	a := p.attempts[decision]
	if a == nil {
		return
	}
	if !a.inFlight() {
		p.finish(a, &Error{NotSent, err}, nil)
		return
	}
	if !a.written { // the answer to the query must not wait for a server that has stopped reading
		setWriteDeadline(a.conn.nc, time.Now())
	}
	// Without hedging, the next attempt of this shard request starts when the end of this one is reported. The end
	// must not be reported before the server can read the cancellation or the connection has ended.
	if stage == Cancelled && !p.limits.hedgingAllowed {
		if !a.cancelling {
			a.cancelling = true
			a.conn.enqueue(outgoingFrame{cancelID: a.id, cancelled: a})
		}
		return
	}
	c := a.conn
	p.finish(a, &Error{stage, err}, nil)
	c.enqueue(outgoingFrame{cancelID: a.id})
}

// finish reports the outcome of an attempt, once, and frees its reservation on the connection. The pool's lock must be
// held.
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
				c.lateAnswers.add(a.id, time.Now())
			}
		}
		c.release()
	}
	p.reporter.Report(a.decision, Outcome(err), value)
}

// mayStillBeAnswered reports whether the answer to an attempt that ended with err may still arrive.
func mayStillBeAnswered(err error) bool {
	var e *Error
	return errors.As(err, &e) && (e.Stage == Cancelled || e.Stage == TimedOut)
}
