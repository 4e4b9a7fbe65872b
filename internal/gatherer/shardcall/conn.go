package shardcall

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"yokeroute/gather"
)

// minRemaining is the least time, in milliseconds, that a call can tell its server.
const minRemaining = 1

// outgoing is what waits to be written: parts of one call, the name of a part that is given up, or a probe.
type outgoing struct {
	attempts  []*attempt
	cancelID  string
	cancelled *attempt // the call that is given up, if it ends with this
	check     *healthCheck
}

// conn is one connection to a shard server, with one goroutine that writes and one that reads. Its fields
// are guarded by the pool's lock.
type conn struct {
	pool          *Pool
	server        *server
	address       string
	nc            net.Conn
	queue         []outgoing
	pendingChecks []*healthCheck      // written, in order; their answers come in the same
	inFlight      map[string]*attempt // begun or written, not ended
	reserved      int                 // queued, begun or written, not ended
	silentBefore  time.Duration       // that calls were out before, all since the last frame came
	silentSince   time.Time           // since when calls are out, or the last frame came if that is later
	writeDeadline time.Time           // by which the frame of calls that is being written has to be out
	idleTimer     *time.Timer
	wake          chan struct{}
	retired       bool
	unusable      bool // takes nothing more, not even what is queued
	closed        bool

	// Names that an answer may still bear though nothing waits for it. Those of parts given up or out of time are
	// kept for one to two times the pool's memory, against growing with every part that is never answered.
	lastAnswered          string // answered last: a copy may follow
	lateIDs, olderLateIDs map[string]bool
	lateIDsSince          time.Time // when late was begun
}

// enqueue leaves a frame for the writing goroutine.
func (c *conn) enqueue(f outgoing) {
	if c.closed {
		return
	}
	for _, a := range f.attempts {
		a.conn = c
	}
	c.reserved += len(f.attempts)
	if f.check != nil {
		f.check.conn = c
		c.reserved++
	}
	c.queue = append(c.queue, f)
	select {
	case c.wake <- struct{}{}:
	default: // it has been called already
	}
}

// release gives back one place; a connection without calls closes after its idle time, or at once if retired.
func (c *conn) release() {
	c.reserved--
	if c.reserved > 0 || c.closed {
		return
	}
	wait := c.pool.idleTimeout
	if c.retired {
		wait = 0
	}
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(wait, c.closeIdle)
	} else {
		c.idleTimer.Reset(wait)
	}
}

// expectLateAnswer notes that an answer may come though nothing waits for it any more.
func (c *conn) expectLateAnswer(id string) {
	if now := time.Now(); c.lateIDs == nil || now.Sub(c.lateIDsSince) > c.pool.lateAnswerWindow {
		c.lateIDs, c.olderLateIDs, c.lateIDsSince = map[string]bool{}, c.lateIDs, now
	}
	c.lateIDs[id] = true
}

// pauseSilence notes for how long calls were out once none is any more, against counting the time in which nothing
// could be heard.
func (c *conn) pauseSilence() {
	if len(c.inFlight) == 0 {
		c.silentBefore += time.Since(c.silentSince)
	}
}

// silence is for how long calls have been out since anything was heard.
func (c *conn) silence() time.Duration {
	if len(c.inFlight) == 0 {
		return c.silentBefore
	}
	return c.silentBefore + time.Since(c.silentSince)
}

func (c *conn) closeIdle() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.reserved == 0 {
		c.closeLocked(errConnIdle)
	}
}

// removeFromServer takes the connection out of those that may get calls.
func (c *conn) removeFromServer() {
	c.server.conns = slices.DeleteFunc(c.server.conns, func(other *conn) bool { return other == c })
}

// retire lets a connection end once nothing is out on it. The lock is held.
func (c *conn) retire(err error) {
	c.removeFromServer()
	c.retired = true
	if c.reserved == 0 {
		c.closeLocked(err)
	}
}

// closeLocked closes the connection and ends all that is on it but what is being written, which its writer ends.
// The lock is held.
func (c *conn) closeLocked(err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.pool.openConns--
	c.removeFromServer()
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	stage := Writing
	if c.nc == nil {
		stage = Connecting
	} else {
		c.nc.Close()
	}
	for _, f := range c.queue {
		for _, a := range f.attempts {
			c.pool.finish(a, &Error{stage, err}, nil)
		}
		if f.check != nil {
			c.pool.finishHealthCheck(f.check, nil)
		}
	}
	c.queue = nil
	for _, pr := range c.pendingChecks {
		c.pool.finishHealthCheck(pr, nil)
	}
	c.pendingChecks = nil
	for _, a := range c.inFlight {
		if a.written {
			c.pool.finish(a, &Error{Written, err}, nil)
		}
	}
	close(c.wake)
}

// close is fail for a goroutine that does not hold the lock.
func (c *conn) close(err error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !c.closed {
		c.pool.log.WithField("server", c.server.HostPort).Debugf("connection ends: %v", err)
	}
	c.closeLocked(err)
}

// recoverPanic keeps a panic from going further than its connection.
func (c *conn) recoverPanic() {
	if fault := recover(); fault != nil {
		c.pool.log.WithField("stack", string(debug.Stack())).Errorf("connection to shard server: %v", fault)
		c.close(fmt.Errorf("panic: %v", fault))
	}
}

// run sets the connection up and then writes what is queued until it ends.
func (c *conn) run() {
	defer c.recoverPanic()
	nc, err := c.pool.dial(c.address)
	if err != nil {
		c.close(err)
		return
	}
	c.pool.mu.Lock()
	if c.closed {
		nc.Close()
		c.pool.mu.Unlock()
		return
	}
	c.nc = nc
	c.pool.mu.Unlock()
	go c.readLoop(nc)
	c.writeLoop(nc)
}

// writeLoop writes what is queued until the connection ends.
func (c *conn) writeLoop(nc net.Conn) {
	defer c.recoverPanic()
	var buf []byte
	for range c.wake {
		for f, more := c.dequeue(); more; f, more = c.dequeue() {
			var err error
			if buf, err = c.writeFrame(nc, buf[:0], f); err != nil {
				c.close(err)
			}
			buf = reusable(buf)
		}
	}
}

func (c *conn) dequeue() (outgoing, bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if len(c.queue) == 0 {
		return outgoing{}, false
	}
	f := c.queue[0]
	c.queue = c.queue[1:]
	return f, true
}

// writeFrame puts one frame on the wire. What has become forbidden while it waited is left out.
func (c *conn) writeFrame(nc net.Conn, buf []byte, f outgoing) ([]byte, error) {
	if f.cancelID != "" {
		buf = appendCancelFrame(buf, f.cancelID)
		nc.SetWriteDeadline(time.Now().Add(c.pool.connectTimeout))
		_, err := nc.Write(buf)
		if f.cancelled != nil && err == nil {
			c.pool.mu.Lock()
			c.pool.finish(f.cancelled, &Error{Cancelled, errCancelled}, nil)
			c.pool.mu.Unlock()
		}
		return buf, err
	}
	if f.check != nil {
		if !c.beginHealthCheck(f.check) {
			return buf, nil
		}
		buf = finishFrame(beginFrame(buf, 'L'), len(buf))
		nc.SetWriteDeadline(time.Now().Add(c.pool.connectTimeout))
		_, err := nc.Write(buf)
		return buf, err
	}
	live := c.beginWrite(f.attempts)
	if len(live) == 0 {
		return buf, nil
	}
	buf = appendRequestFrame(buf, live)
	n, err := nc.Write(buf)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	for _, a := range live {
		a.decision.EndWrite()
		switch {
		case err != nil && n < len(buf):
			c.pool.finish(a, &Error{Writing, err}, nil)
		case c.closed:
			c.pool.finish(a, &Error{Written, errors.Join(err, errors.New("connection ended"))}, nil)
		default:
			a.written = true
		}
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return buf, nil // stopped before its first byte, which leaves the framing whole
	}
	return buf, err
}

// beginWrite picks the calls that may still be written, and gives the frame the longest of their times.
func (c *conn) beginWrite(calls []*attempt) (live []*attempt) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	longest := time.Duration(0)
	for _, a := range calls {
		if c.pool.attempts[a.decision] != a {
			continue
		}
		if a.decision.Remaining() < minRemaining {
			c.pool.finish(a, &Error{NotSent, errTimedOut}, nil)
			continue
		}
		// A server that was told to drain while the call waited gets nothing new, grace or not. Where one was
		// that has moved, another may be by now.
		if c.closed || c.unusable || c.server.State != gather.Running || c.server.HostPort != c.address || c.inFlight[a.id] != nil || !a.decision.BeginWrite() {
			c.pool.finish(a, &Error{NotSent, errNotAllowed}, nil)
			continue
		}
		if len(c.inFlight) == 0 {
			c.silentSince = time.Now()
		}
		c.inFlight[a.id] = a
		live = append(live, a)
		longest = max(longest, time.Duration(a.decision.Remaining()*1e6))
	}
	if len(live) > 0 {
		c.writeDeadline = time.Now().Add(longest)
		c.nc.SetWriteDeadline(c.writeDeadline) // under the lock, against undoing a stop
	}
	return live
}

// readLoop takes answers until the connection ends or its framing is lost.
func (c *conn) readLoop(nc net.Conn) {
	defer c.recoverPanic()
	r := bufio.NewReader(nc)
	var buf []byte
	for {
		letter, body, kept, err := readFrame(r, buf)
		buf = kept
		if err == nil {
			err = c.handleFrame(letter, body, r.Buffered() > 0)
		}
		if err != nil {
			c.close(err)
			return
		}
	}
}

// handleFrame takes one frame; more says whether something came right behind it.
func (c *conn) handleFrame(letter byte, body []byte, more bool) error {
	switch letter {
	case 'A':
		ans, err := parseAnswer(body)
		if err != nil {
			return err
		}
		return c.handleAnswer(ans, more)
	case 'E':
		c.pool.revokeFirstPass(c)
		c.pool.log.WithField("server", c.server.HostPort).Warnf("shard server could not use a frame: %.200q", body)
		return errFrameRefused
	case 'L':
		c.handleLoadReport(body)
		return nil
	case 'P':
		return nil // answers to probes that ask for no load, which are not sent
	}
	return fmt.Errorf("frame with the letter %q", letter)
}

// handleAnswer ends the call that an answer is for. One that was given up is no longer waited for, and one that is
// answered already may be copied; a name that was never asked for here is spoilt, and the answer that it stands
// for will not come: the connection ends.
func (c *conn) handleAnswer(ans answer, more bool) error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	a := c.inFlight[ans.id]
	if a == nil && ans.id != c.lastAnswered && !c.lateIDs[ans.id] && !c.olderLateIDs[ans.id] {
		return fmt.Errorf("answer for %.50q, which was not asked for", ans.id)
	}
	c.silentBefore, c.silentSince = 0, time.Now()
	if a == nil {
		delete(c.lateIDs, ans.id)
		delete(c.olderLateIDs, ans.id)
		return nil
	}
	// Where nothing else is awaited, what came right behind belongs to nothing. The answer is good; the next call
	// goes elsewhere, against being cut when the noise is read.
	if more && len(c.inFlight) == 1 && len(c.lateIDs)+len(c.olderLateIDs) == 0 {
		c.unusable = true
		c.removeFromServer()
		c.retired = true
	}
	c.lastAnswered = ans.id
	switch ans.status {
	case "ok":
		c.pool.finish(a, nil, ans.value)
	case "busy":
		c.pool.finish(a, &Error{Rejected, errRejected}, nil)
	case "moved":
		if _, _, _, owned := a.decision.Ownership(); !owned {
			return errors.New("answer that ends in moved to a call that bore no keys")
		}
		c.pool.finish(a, &Error{NotOwner, errNotOwner}, nil)
	default:
		c.pool.finish(a, &Error{Failed, errFailed}, nil)
	}
	return nil
}
