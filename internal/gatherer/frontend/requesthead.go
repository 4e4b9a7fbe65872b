package frontend

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
)

// maxHeaderLines limits the lines of a request head. net/http takes much more memory for a line than its bytes.
const maxHeaderLines = 100

// admitHead checks the head that is arriving against its limits, and reserves memory for it if it is large. If the head
// is not admitted, it responds, closes the connection and returns an error that net/http does not answer.
func (c *clientConn) admitHead() error {
	c.mu.Lock()
	serving := c.serving
	c.mu.Unlock()
	status := 0
	switch {
	case serving: // the bytes belong to a body
	case c.scanner.headLines > maxHeaderLines:
		c.rejections.add(closedForHeadLines)
		status = http.StatusRequestHeaderFieldsTooLarge
	case c.scanner.headBytes > includedBytes && !c.head.grow(largeHeadCost):
		c.rejections.add(rejectedForMemory)
		status = http.StatusServiceUnavailable
	}
	if status == 0 {
		return nil
	}
	c.respondUnread(status)
	_ = c.Close()
	return io.EOF
}

// rejectWithoutTurn rejects a request that has to wait too long for a turn to be read on. It returns the error for
// net/http, which does not answer the one in place of a head.
func (c *clientConn) rejectWithoutTurn() error {
	c.mu.Lock()
	serving := c.serving
	c.mu.Unlock()
	if serving { // the handler answers
		return errNoTurn
	}
	c.rejections.add(rejectedForTurn)
	c.respondUnread(http.StatusServiceUnavailable)
	_ = c.Close()
	return io.EOF
}

// respondUnread responds to a request that is not read to its end, or not at all. The connection must be closed after it.
// No response can be in progress: net/http reads a head only after the response to the request before. If the client has
// left no room for the response, it gets none.
func (c *clientConn) respondUnread(status int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.Sendto(int(fd), []byte(text), syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, nil)
	})
}
