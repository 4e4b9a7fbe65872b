package shardcall

import (
	"bufio"
	"errors"
	"fmt"
	"net"
)

var errMovedWithoutKeys = errors.New("answer moved to a request without keys")

// readLoop takes frames until the connection ends or one can't be used.
func (c *conn) readLoop(nc net.Conn) {
	defer c.recoverPanic()
	reader := bufio.NewReader(nc)
	var buf []byte
	for {
		letter, body, reused, err := readFrame(reader, buf)
		buf = reused
		if err == nil {
			err = c.handleFrame(letter, body, reader.Buffered() > 0)
		}
		if err != nil {
			c.close(err)
			return
		}
	}
}

// handleFrame takes one frame. more is set where bytes have arrived behind it.
func (c *conn) handleFrame(letter byte, body []byte, more bool) error {
	switch letter {
	case frameAnswer:
		ans, err := parseAnswer(body)
		if err != nil {
			return err
		}
		return c.handleAnswer(ans, more)
	case frameError:
		c.pool.revokeFirstPass(c)
		c.pool.log.WithField("server", c.server.HostPort).WithField("reason", fmt.Sprintf("%.200q", body)).
			Warn("shard call: server refused a frame")
		return errFrameRefused
	case frameLoad:
		c.handleLoadReport(body)
		return nil
	case framePong:
		return nil // answers pings, which are not sent
	}
	return fmt.Errorf("frame of unknown kind %q", letter)
}

// handleAnswer ends the attempt that an answer is for. An answer to an ended attempt, and a repeated one, are
// ignored. Any other ID is damaged: the answer that it stands for will not arrive, so that the connection ends.
func (c *conn) handleAnswer(ans answer, more bool) error {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	a := c.inFlight[ans.id]
	if a == nil && ans.id != c.lastAnswered && !c.late.expects(ans.id) {
		return fmt.Errorf("answer to %.50q, which was not requested", ans.id)
	}
	c.resetSilence()
	if a == nil {
		c.late.remove(ans.id)
		return nil
	}
	// Where no other answer is awaited, bytes behind this one are noise. The next attempt goes elsewhere, since
	// reading them may end this connection.
	if more && len(c.inFlight) == 1 && c.late.count() == 0 {
		c.unusable = true
		c.retired = true
		c.leaveServer()
	}
	c.lastAnswered = ans.id
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
