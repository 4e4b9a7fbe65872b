package shardcall

import (
	"errors"
	"net"
	"os"
	"time"

	"yokeroute/gather"
	"yokeroute/internal/millis"
)

// minRemaining is the smallest remaining time, in milliseconds, that a request can state.
const minRemaining = 1

var errClosedDuringWrite = errors.New("connection was closed during the write")

// writeLoop writes queued frames until the connection is closed.
func (c *conn) writeLoop(nc net.Conn) {
	defer c.recoverPanic()
	var buf []byte
	for range c.wake {
		for frame, more := c.dequeue(); more; frame, more = c.dequeue() {
			var err error
			if buf, err = c.writeFrame(nc, buf[:0], frame); err != nil {
				c.close(err)
			}
			buf = reusable(buf)
		}
	}
}

// setWriteDeadline sets the deadline of the write in progress and of later writes. It fails only on a closed
// connection, which the write reports as well.
func setWriteDeadline(nc net.Conn, deadline time.Time) { _ = nc.SetWriteDeadline(deadline) }

func (c *conn) dequeue() (frame outgoingFrame, ok bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if len(c.queue) == 0 {
		return outgoingFrame{}, false
	}
	frame = c.queue[0]
	c.queue = c.queue[1:]
	return frame, true
}

func (c *conn) writeFrame(nc net.Conn, buf []byte, frame outgoingFrame) ([]byte, error) {
	switch {
	case frame.cancelID != "":
		return c.writeCancel(nc, buf, frame)
	case frame.check != nil:
		return c.writeHealthCheck(nc, buf, frame.check)
	}
	return c.writeRequests(nc, buf, frame.attempts)
}

func (c *conn) writeCancel(nc net.Conn, buf []byte, frame outgoingFrame) ([]byte, error) {
	buf = appendCancelFrame(buf, frame.cancelID)
	setWriteDeadline(nc, time.Now().Add(c.pool.limits.connectTimeout))
	_, err := nc.Write(buf)
	if frame.cancelled != nil && err == nil {
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		c.pool.finish(frame.cancelled, &Error{Cancelled, errCancelled}, nil)
	}
	return buf, err
}

func (c *conn) writeHealthCheck(nc net.Conn, buf []byte, check *healthCheck) ([]byte, error) {
	if !c.beginHealthCheck(check) {
		return buf, nil
	}
	buf = finishFrame(beginFrame(buf, frameLoad), len(buf))
	setWriteDeadline(nc, time.Now().Add(c.pool.limits.connectTimeout))
	_, err := nc.Write(buf)
	return buf, err
}

// writeRequests writes one frame with the requests of the attempts that are still allowed.
func (c *conn) writeRequests(nc net.Conn, buf []byte, attempts []*attempt) ([]byte, error) {
	allowed := c.beginWrite(attempts)
	if len(allowed) == 0 {
		return buf, nil
	}
	request := appendRequestFrame(buf, allowed)
	n, complete, err := request.writeTo(nc)
	c.endWrite(allowed, complete, err)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return request.buf, nil // the write was stopped before its first byte, so that another frame may follow
	}
	return request.buf, err
}

// beginWrite returns the attempts that may be written now. It sets the write deadline of their frame to the longest
// remaining time among them.
func (c *conn) beginWrite(attempts []*attempt) (allowed []*attempt) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	maxRemaining := time.Duration(0)
	for _, a := range attempts {
		if c.pool.attempts[a.decision] != a {
			continue // the attempt has ended
		}
		if a.decision.Remaining() < minRemaining {
			c.pool.finish(a, &Error{NotSent, errTimedOut}, nil)
			continue
		}
		if !c.maySend(a) || !a.decision.BeginWrite() {
			c.pool.finish(a, &Error{NotSent, errNotAllowed}, nil)
			continue
		}
		if len(c.inFlight) == 0 {
			c.silentSince = time.Now()
		}
		c.inFlight[a.id] = a
		allowed = append(allowed, a)
		maxRemaining = max(maxRemaining, millis.Duration(a.decision.Remaining()))
	}
	if len(allowed) > 0 {
		c.writeDeadline = time.Now().Add(maxRemaining)
		// Set under the lock, so that it does not override the deadline that stopWriting sets.
		setWriteDeadline(c.nc, c.writeDeadline)
	}
	return allowed
}

// maySend reports whether the connection can still carry an attempt. A draining server gets no new attempts,
// regardless of the drain grace. If the address of the server has changed, an unrelated server may listen at the old
// one.
func (c *conn) maySend(a *attempt) bool {
	switch {
	case c.closed, c.unusable:
		return false
	case c.server.State != gather.Running, c.server.HostPort != c.address:
		return false
	}
	return c.inFlight[a.id] == nil
}

// endWrite records how far the write of a frame came. A server uses a frame completely or not at all.
func (c *conn) endWrite(attempts []*attempt, complete bool, err error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	for _, a := range attempts {
		a.decision.EndWrite()
		switch {
		case err != nil && !complete:
			c.pool.finish(a, &Error{Writing, err}, nil)
		case c.closed:
			c.pool.finish(a, &Error{Written, errors.Join(err, errClosedDuringWrite)}, nil)
		default:
			a.written = true
		}
	}
}
