package frontend

import (
	"errors"
	"net"
	"time"

	"yokeroute/internal/socket"
)

const (
	// maxBuffered limits the bytes buffered after a request being served. Clients send one request at a time; if one
	// sends more than this, its connection is closed with the response.
	maxBuffered = includedBytes

	readAheadBufferBytes = 2 << 10

	// discardInterval is the time between two reads from a client that has sent more than is buffered. To read at the
	// client's speed would take the processor from others.
	discardInterval = 10 * time.Millisecond

	// maxDiscardedAtOnce is more than the kernel's buffers of a connection usually hold.
	maxDiscardedAtOnce = 8 << 20
)

// readAhead holds what a connection reads after a request being served, in order to detect that the client disconnects.
// The connection's lock guards it.
type readAhead struct {
	buffered     []byte        // net/http reads these bytes before any from the socket
	overflow     bool          // more arrived than is buffered: no later request can be served
	byteConsumed bool          // net/http read its single byte after a request before watchClient was called
	onDisconnect func()        // nil while the client is not watched
	done         chan struct{} // closed when the reader returns; nil while none runs
	stop         chan struct{} // closed to make the reader return
}

// consume moves buffered bytes to p and returns their number.
func (a *readAhead) consume(p []byte) int {
	n := copy(p, a.buffered)
	if n > 0 {
		a.buffered = a.buffered[n:]
	}
	return n
}

// markRequestRead records that the request being served has been read completely. It returns false if the connection was
// closed before that: the request must not be forwarded then.
func (c *clientConn) markRequestRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestRead = true
	c.arrivingSince = time.Time{}
	return !c.closedByServer
}

// watchClient starts watching the client of a request that has been read completely. Until stopWatching is called,
// onDisconnect is called when the client closes its connection, whatever it sent before.
func (c *clientConn) watchClient(onDisconnect func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.onDisconnect = onDisconnect
	if c.ahead.byteConsumed {
		c.ahead.byteConsumed = false
		c.startReadAhead()
	}
}

// stopWatching ends the watch before the response is written, so that net/http reads what the client sends after it has
// received the response.
func (c *clientConn) stopWatching() {
	c.mu.Lock()
	c.ahead.onDisconnect = nil
	done := c.ahead.done
	c.ahead.done = nil
	c.mu.Unlock()
	if done != nil {
		close(c.ahead.stop)
		_ = c.SetReadDeadline(longAgo) // net/http sets its own deadline before its next read
		<-done
	}
}

// overflowed reports whether more arrived after a request than is buffered.
func (c *clientConn) overflowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead.overflow
}

// startReadAhead starts the reader; stopWatching waits until it returns. The caller holds the lock, and net/http has no
// read pending.
func (c *clientConn) startReadAhead() {
	c.ahead.done = make(chan struct{})
	c.ahead.stop = make(chan struct{})
	go c.readAheadUntilDisconnect(c.ahead.onDisconnect, c.ahead.done, c.ahead.stop)
}

// readAheadUntilDisconnect reads until the client disconnects, which it reports, or stopWatching interrupts it.
func (c *clientConn) readAheadUntilDisconnect(onDisconnect func(), done chan<- struct{}, stop <-chan struct{}) {
	defer close(done)
	buf := make([]byte, readAheadBufferBytes)
	for {
		n, err := c.TCPConn.Read(buf)
		overflow := c.bufferAhead(buf[:n])
		if err != nil {
			var netErr net.Error
			if !errors.As(err, &netErr) || !netErr.Timeout() {
				onDisconnect()
			}
			return
		}
		if overflow {
			if c.discardUntilLeft(stop) {
				onDisconnect()
			}
			return
		}
	}
}

// bufferAhead buffers what arrived after a request being served. It reports whether more arrived than is buffered.
func (c *clientConn) bufferAhead(p []byte) (overflow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead.buffered)+len(p) > maxBuffered {
		c.ahead.overflow = true
	}
	if !c.ahead.overflow {
		c.ahead.buffered = append(c.ahead.buffered, p...)
	}
	return c.ahead.overflow
}

// discardUntilLeft discards what a client sends from time to time, until it has disconnected, which it reports, or stop
// is closed. Unless the bytes before are read, its close does not arrive.
func (c *clientConn) discardUntilLeft(stop <-chan struct{}) (left bool) {
	ticker := time.NewTicker(discardInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return false
		case <-ticker.C:
		}
		if socket.Discard(c.TCPConn, maxDiscardedAtOnce) || c.clientLeft() {
			return true
		}
	}
}
