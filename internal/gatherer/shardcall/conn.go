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

// leastLeft is the least time, in milliseconds, that a call can tell its server.
const leastLeft = 1

// frame is what waits to be written: parts of one call, the name of a part that is given up, or a probe.
type frame struct {
	calls  []*attempt
	giveUp string
	of     *attempt // the call that is given up, if it ends with this
	probe  *probe
}

// conn is one connection to a shard server, with one goroutine that writes and one that reads. Its fields
// are guarded by the pool's lock.
type conn struct {
	pool    *Pool
	srv     *server
	address string
	nc      net.Conn
	queue   []frame
	asked   []*probe            // written, in order; their answers come in the same
	out     map[string]*attempt // begun or written, not ended
	booked  int                 // queued, begun or written, not ended
	quiet   time.Duration       // that calls were out before, all since the last frame came
	since   time.Time           // since when calls are out, or the last frame came if that is later
	until   time.Time           // by which the frame of calls that is being written has to be out
	idle    *time.Timer
	work    chan struct{}
	retired bool
	spoilt  bool // takes nothing more, not even what is queued
	closed  bool

	// Names that an answer may still bear though nothing waits for it. Those of parts given up or out of time are
	// kept for one to two times the pool's memory, against growing with every part that is never answered.
	last        string // answered last: a copy may follow
	late, older map[string]bool
	lateFrom    time.Time // when late was begun
}

// enqueue leaves a frame for the writing goroutine.
func (c *conn) enqueue(f frame) {
	if c.closed {
		return
	}
	for _, a := range f.calls {
		a.on = c
	}
	c.booked += len(f.calls)
	if f.probe != nil {
		f.probe.on = c
		c.booked++
	}
	c.queue = append(c.queue, f)
	select {
	case c.work <- struct{}{}:
	default: // it has been called already
	}
}

// free gives back one place; a connection without calls closes after its idle time, or at once if retired.
func (c *conn) free() {
	c.booked--
	if c.booked > 0 || c.closed {
		return
	}
	wait := c.pool.idleTime
	if c.retired {
		wait = 0
	}
	if c.idle == nil {
		c.idle = time.AfterFunc(wait, c.closeIdle)
	} else {
		c.idle.Reset(wait)
	}
}

// expect notes that an answer may come though nothing waits for it any more.
func (c *conn) expect(id string) {
	if now := time.Now(); c.late == nil || now.Sub(c.lateFrom) > c.pool.memory {
		c.late, c.older, c.lateFrom = map[string]bool{}, c.late, now
	}
	c.late[id] = true
}

// calm notes for how long calls were out once none is any more, against counting the time in which nothing
// could be heard.
func (c *conn) calm() {
	if len(c.out) == 0 {
		c.quiet += time.Since(c.since)
	}
}

// quietFor is for how long calls have been out since anything was heard.
func (c *conn) quietFor() time.Duration {
	if len(c.out) == 0 {
		return c.quiet
	}
	return c.quiet + time.Since(c.since)
}

func (c *conn) closeIdle() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.booked == 0 {
		c.fail(errIdle)
	}
}

// leave takes the connection out of those that may get calls.
func (c *conn) leave() {
	c.srv.conns = slices.DeleteFunc(c.srv.conns, func(other *conn) bool { return other == c })
}

// retire lets a connection end once nothing is out on it. The lock is held.
func (c *conn) retire(err error) {
	c.leave()
	c.retired = true
	if c.booked == 0 {
		c.fail(err)
	}
}

// fail closes the connection and ends all that is on it but what is being written, which its writer ends.
// The lock is held.
func (c *conn) fail(err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.pool.open--
	c.leave()
	if c.idle != nil {
		c.idle.Stop()
	}
	stage := Writing
	if c.nc == nil {
		stage = Connecting
	} else {
		c.nc.Close()
	}
	for _, f := range c.queue {
		for _, a := range f.calls {
			c.pool.end(a, &Error{stage, err}, nil)
		}
		if f.probe != nil {
			c.pool.told(f.probe, nil)
		}
	}
	c.queue = nil
	for _, pr := range c.asked {
		c.pool.told(pr, nil)
	}
	c.asked = nil
	for _, a := range c.out {
		if a.written {
			c.pool.end(a, &Error{Written, err}, nil)
		}
	}
	close(c.work)
}

// broken is fail for a goroutine that does not hold the lock.
func (c *conn) broken(err error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if !c.closed {
		c.pool.log.WithField("server", c.srv.HostPort).Debugf("connection ends: %v", err)
	}
	c.fail(err)
}

// guard keeps a panic from going further than its connection.
func (c *conn) guard() {
	if fault := recover(); fault != nil {
		c.pool.log.WithField("stack", string(debug.Stack())).Errorf("connection to shard server: %v", fault)
		c.broken(fmt.Errorf("panic: %v", fault))
	}
}

// run sets the connection up and then writes what is queued until it ends.
func (c *conn) run() {
	defer c.guard()
	nc, err := c.pool.dial(c.address)
	if err != nil {
		c.broken(err)
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
	go c.read(nc)
	c.writeAll(nc)
}

// writeAll writes what is queued until the connection ends.
func (c *conn) writeAll(nc net.Conn) {
	defer c.guard()
	var buf []byte
	for range c.work {
		for f, more := c.next(); more; f, more = c.next() {
			var err error
			if buf, err = c.write(nc, buf[:0], f); err != nil {
				c.broken(err)
			}
			buf = spare(buf)
		}
	}
}

func (c *conn) next() (frame, bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if len(c.queue) == 0 {
		return frame{}, false
	}
	f := c.queue[0]
	c.queue = c.queue[1:]
	return f, true
}

// write puts one frame on the wire. What has become forbidden while it waited is left out.
func (c *conn) write(nc net.Conn, buf []byte, f frame) ([]byte, error) {
	if f.giveUp != "" {
		buf = appendGiveUp(buf, f.giveUp)
		nc.SetWriteDeadline(time.Now().Add(c.pool.connectTime))
		_, err := nc.Write(buf)
		if f.of != nil && err == nil {
			c.pool.mu.Lock()
			c.pool.end(f.of, &Error{GivenUp, errGivenUp}, nil)
			c.pool.mu.Unlock()
		}
		return buf, err
	}
	if f.probe != nil {
		if !c.question(f.probe) {
			return buf, nil
		}
		buf = finish(begin(buf, 'L'), len(buf))
		nc.SetWriteDeadline(time.Now().Add(c.pool.connectTime))
		_, err := nc.Write(buf)
		return buf, err
	}
	live := c.begin(f.calls)
	if len(live) == 0 {
		return buf, nil
	}
	buf = appendCall(buf, live)
	n, err := nc.Write(buf)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	for _, a := range live {
		a.call.EndWrite()
		switch {
		case err != nil && n < len(buf):
			c.pool.end(a, &Error{Writing, err}, nil)
		case c.closed:
			c.pool.end(a, &Error{Written, errors.Join(err, errors.New("connection ended"))}, nil)
		default:
			a.written = true
		}
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return buf, nil // stopped before its first byte, which leaves the framing whole
	}
	return buf, err
}

// begin picks the calls that may still be written, and gives the frame the longest of their times.
func (c *conn) begin(calls []*attempt) (live []*attempt) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	longest := time.Duration(0)
	for _, a := range calls {
		if c.pool.attempts[a.call] != a {
			continue
		}
		if a.call.Remaining() < leastLeft {
			c.pool.end(a, &Error{NotSent, errTime}, nil)
			continue
		}
		// A server that was told to drain while the call waited gets nothing new, grace or not. Where one was
		// that has moved, another may be by now.
		if c.closed || c.spoilt || c.srv.State != gather.Running || c.srv.HostPort != c.address || c.out[a.id] != nil || !a.call.BeginWrite() {
			c.pool.end(a, &Error{NotSent, errForbidden}, nil)
			continue
		}
		if len(c.out) == 0 {
			c.since = time.Now()
		}
		c.out[a.id] = a
		live = append(live, a)
		longest = max(longest, time.Duration(a.call.Remaining()*1e6))
	}
	if len(live) > 0 {
		c.until = time.Now().Add(longest)
		c.nc.SetWriteDeadline(c.until) // under the lock, against undoing a stop
	}
	return live
}

// read takes answers until the connection ends or its framing is lost.
func (c *conn) read(nc net.Conn) {
	defer c.guard()
	r := bufio.NewReader(nc)
	var buf []byte
	for {
		letter, body, kept, err := readFrame(r, buf)
		buf = kept
		if err == nil {
			err = c.heard(letter, body, r.Buffered() > 0)
		}
		if err != nil {
			c.broken(err)
			return
		}
	}
}

// heard takes one frame; more says whether something came right behind it.
func (c *conn) heard(letter byte, body []byte, more bool) error {
	switch letter {
	case 'A':
		ans, err := parseAnswer(body)
		if err != nil {
			return err
		}
		return c.answered(ans, more)
	case 'E':
		c.pool.unspoken(c)
		c.pool.log.WithField("server", c.srv.HostPort).Warnf("shard server could not use a frame: %.200q", body)
		return errUnusable
	case 'L':
		c.replied(body)
		return nil
	case 'P':
		return nil // answers to probes that ask for no load, which are not sent
	}
	return fmt.Errorf("frame with the letter %q", letter)
}

// answered ends the call that an answer is for. One that was given up is no longer waited for, and one that is
// answered already may be copied; a name that was never asked for here is spoilt, and the answer that it stands
// for will not come: the connection ends.
func (c *conn) answered(ans answer, more bool) error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	a := c.out[ans.id]
	if a == nil && ans.id != c.last && !c.late[ans.id] && !c.older[ans.id] {
		return fmt.Errorf("answer for %.50q, which was not asked for", ans.id)
	}
	c.quiet, c.since = 0, time.Now()
	if a == nil {
		delete(c.late, ans.id)
		delete(c.older, ans.id)
		return nil
	}
	// Where nothing else is awaited, what came right behind belongs to nothing. The answer is good; the next call
	// goes elsewhere, against being cut when the noise is read.
	if more && len(c.out) == 1 && len(c.late)+len(c.older) == 0 {
		c.spoilt = true
		c.leave()
		c.retired = true
	}
	c.last = ans.id
	switch ans.end {
	case "ok":
		c.pool.end(a, nil, ans.value)
	case "busy":
		c.pool.end(a, &Error{TurnedAway, errBusy}, nil)
	case "moved":
		if _, _, _, owned := a.call.Ownership(); !owned {
			return errors.New("answer that ends in moved to a call that bore no keys")
		}
		c.pool.end(a, &Error{NotOwned, errMoved}, nil)
	default:
		c.pool.end(a, &Error{Failed, errFailed}, nil)
	}
	return nil
}
