package shardcall

import (
	"errors"
	"fmt"
	"net"
)

var errMovedWithoutKeys = errors.New("server answered moved to a request without keys")

// readLoop reads frames until the connection ends or a frame is invalid.
func (c *conn) readLoop(nc net.Conn) {
	defer c.recoverPanic()
	reader := newFrameReader(nc, c.pool.limits.followingWait)
	for {
		letter, body, err := reader.next()
		if err == nil {
			err = c.handleFrame(reader, letter, body)
		}
		if err != nil {
			c.close(err)
			return
		}
	}
}

// handleFrame handles the frame that was read last.
func (c *conn) handleFrame(reader *frameReader, letter byte, body []byte) error {
	switch letter {
	case frameAnswer:
		ans, err := parseAnswer(body)
		if err != nil {
			return err
		}
		following, err := c.checkFrameEnd(reader, body, c.othersExpected(ans.id))
		if err != nil {
			return err
		}
		return c.handleAnswer(ans, following)
	case frameError:
		c.pool.revokeFirstPass(c)
		c.pool.log.WithField("server", c.server.HostPort).WithField("reason", fmt.Sprintf("%.200q", body)).
			Warn("shard call: server rejected a frame")
		return errFrameRejected
	case frameLoad:
		if _, err := c.checkFrameEnd(reader, body, c.othersExpected("")); err != nil {
			return err
		}
		c.handleLoadReport(body)
		return nil
	case framePong:
		return nil // an answer to a ping; the pool sends no pings
	}
	return fmt.Errorf("frame has the unknown type %q", letter)
}

// othersExpected reports whether responses are expected on the connection other than the answer to the attempt with the
// given ID or, if that is empty, the load report for the oldest health check.
func (c *conn) othersExpected(id string) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	expected := len(c.inFlight) + len(c.pendingChecks)
	if c.inFlight[id] != nil || id == "" && len(c.pendingChecks) > 0 {
		expected--
	}
	return expected > 0
}

// checkFrameEnd returns the bytes behind the frame that was read last, or an error if they show that the frame does not
// end there. A frame counts only after this check: its own bytes do not show a wrong length, and a value that is cut off
// must not be served.
func (c *conn) checkFrameEnd(reader *frameReader, body []byte, othersExpected bool) (following []byte, err error) {
	following, err = reader.following(othersExpected)
	if err != nil {
		return nil, err
	}
	if !frameEndFits(body, following, othersExpected) {
		return nil, fmt.Errorf("%w: %.40q follows", errFrameEnd, following)
	}
	return following, nil
}

// handleAnswer ends the attempt that an answer belongs to. It ignores an answer to an ended attempt and a repeated
// answer. Any other ID is corrupt, and the answer with the correct ID will not arrive: handleAnswer returns an error,
// which closes the connection.
func (c *conn) handleAnswer(ans answer, following []byte) error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	a := c.inFlight[ans.id]
	if a == nil && ans.id != c.lastAnsweredID && !c.lateAnswers.contains(ans.id) {
		return fmt.Errorf("answer has the ID %.50q, which belongs to no request", ans.id)
	}
	c.resetSilence()
	if a == nil {
		c.lateAnswers.remove(ans.id)
		return nil
	}
	// If no other answer is expected, bytes after this one are invalid. The next attempt uses another connection,
	// because reading these bytes may end this one.
	lateAnswer := c.lateAnswers.count() > 0 && startsFrame(following)
	if len(following) > 0 && len(c.inFlight) == 1 && !lateAnswer {
		c.unusable = true
		c.retired = true
		c.detachFromServer()
	}
	c.lastAnsweredID = ans.id
	switch ans.status {
	case statusOK:
		c.pool.finish(a, nil, ans.value)
	case statusBusy:
		c.pool.finish(a, &Error{Rejected, errRejected}, nil)
	case statusMoved:
		if _, _, _, owned := a.decision.Ownership(); !owned {
			return errMovedWithoutKeys
		}
		c.pool.finish(a, &Error{NotOwner, errNotOwner}, nil)
	default:
		c.pool.finish(a, &Error{Failed, errFailed}, nil)
	}
	return nil
}
