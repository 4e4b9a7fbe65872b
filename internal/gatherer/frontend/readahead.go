package frontend

import (
	"errors"
	"net"
	"time"
)

const (
	// maxBuffered bounds what is kept of what comes behind a request being served. Clients send one request at a
	// time; the connection of one that sends more than this ends with its response.
	maxBuffered = 16 << 10

	readAheadBufferBytes = 2 << 10
)

// readAhead is what a connection reads on its own behind a request being served, in order to notice that the client
// goes. The connection's lock guards it.
type readAhead struct {
	buffered     []byte        // for net/http, which reads it first
	overflow     bool          // more came than is kept: no later request can be served
	byteConsumed bool          // net/http has read its one byte behind a request that is not watched yet
	onDisconnect func()        // nil while nobody watches the client
	done         chan struct{} // closed at the reader's end; nil while none runs
}

// consume moves buffered bytes to p.
func (a *readAhead) consume(p []byte) int {
	n := copy(p, a.buffered)
	if n > 0 {
		a.buffered = a.buffered[n:]
	}
	return n
}

// watchClient begins to watch the client of a request that has been read completely. Until stopWatching, onDisconnect
// is called once the client has closed its connection, whatever it sent before.
func (c *clientConn) watchClient(onDisconnect func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestRead = true
	c.arrivingSince = time.Time{}
	c.ahead.onDisconnect = onDisconnect
	if c.ahead.byteConsumed {
		c.ahead.byteConsumed = false
		c.startReadAhead()
	}
}

// stopWatching ends watchClient before the response is written, so that what the client sends once it has the
// response is left to net/http.
func (c *clientConn) stopWatching() {
	c.mu.Lock()
	c.ahead.onDisconnect = nil
	done := c.ahead.done
	c.ahead.done = nil
	c.mu.Unlock()
	if done != nil {
		_ = c.SetReadDeadline(longAgo) // net/http sets its own before it reads on
		<-done
	}
}

// overflowed reports whether more came behind a request than is kept.
func (c *clientConn) overflowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead.overflow
}

// startReadAhead starts the reader; stopWatching waits for its end. The lock is held, and net/http has no read
// pending.
func (c *clientConn) startReadAhead() {
	c.ahead.done = make(chan struct{})
	go c.readAheadUntilDisconnect(c.ahead.onDisconnect, c.ahead.done)
}

// readAheadUntilDisconnect reads until the client has disconnected or stopWatching interrupts it.
func (c *clientConn) readAheadUntilDisconnect(onDisconnect func(), done chan struct{}) {
	defer close(done)
	buf := make([]byte, readAheadBufferBytes)
	for {
		n, err := c.TCPConn.Read(buf)
		c.mu.Lock()
		if len(c.ahead.buffered)+n > maxBuffered {
			c.ahead.overflow = true
		}
		if !c.ahead.overflow {
			c.ahead.buffered = append(c.ahead.buffered, buf[:n]...)
		}
		c.mu.Unlock()
		if err != nil {
			var netErr net.Error
			if !errors.As(err, &netErr) || !netErr.Timeout() {
				onDisconnect()
			}
			return
		}
	}
}
