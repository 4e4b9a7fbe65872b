package shardcall

import (
	"bufio"
	"errors"
	"fmt"
	"net"
)

var errMovedWithoutKeys = errors.New("server answered moved to a request without keys")

// readLoop reads frames until the connection ends or a frame is invalid.
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

// handleFrame handles one frame. trailingBytes is true if more bytes have arrived after it.
func (c *conn) handleFrame(letter byte, body []byte, trailingBytes bool) error {
	switch letter {
	case frameAnswer:
		ans, err := parseAnswer(body)
		if err != nil {
			return err
		}
		return c.handleAnswer(ans, trailingBytes)
	case frameError:
		c.pool.revokeFirstPass(c)
		c.pool.log.WithField("server", c.server.HostPort).WithField("reason", fmt.Sprintf("%.200q", body)).
			Warn("shard call: server rejected a frame")
		return errFrameRejected
	case frameLoad:
		c.handleLoadReport(body)
		return nil
	case framePong:
		return nil // an answer to a ping; the pool sends no pings
	}
	return fmt.Errorf("frame has the unknown type %q", letter)
}

// handleAnswer ends the attempt that an answer belongs to. It ignores an answer to an ended attempt and a repeated
// answer. Any other ID is corrupt, and the answer with the correct ID will not arrive: handleAnswer returns an error,
// which closes the connection.
func (c *conn) handleAnswer(ans answer, trailingBytes bool) error {
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
	if trailingBytes && len(c.inFlight) == 1 && c.lateAnswers.count() == 0 {
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
