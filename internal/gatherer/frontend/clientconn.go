package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"yokeroute/internal/socket"
)

// clientConn is a client's connection. It sits between net/http and the socket to handle cases that net/http does not:
//
//   - net/http removes Content-Length from a request head that also has Transfer-Encoding, and would serve a request
//     that is hidden in a body with two lengths: only the raw head shows both (headerscan.go).
//   - net/http reads a single byte after a request being served, and so does not detect that a client which has sent
//     more closes its connection (readahead.go).
//   - net/http closes a connection that it considers idle while bytes of the next request are in transit, still
//     processes the bytes that it has read, and closes the socket with unread bytes, which resets the connection before
//     the client has read the last response (Close).
type clientConn struct {
	*net.TCPConn
	tracker *connTracker // nil in tests

	rejections *rejectionLog // nil in tests

	conflictingLengths atomic.Bool // never reset: no later request on the connection may be served

	mu          sync.Mutex
	serving     bool // a request is being served; closeIfIdle must not close the connection before its response
	requestRead bool // the request being served has been read completely
	// arrivingSince is when the first byte arrived of a request that is incomplete, or that follows the one being
	// served. It is zero if there is none.
	arrivingSince  time.Time
	closedByClient bool          // the close has been read, so that nothing is unread
	closedByServer bool          // bytes that arrive from now on are not read as a request
	lingerFor      time.Duration // how long Close lets the connection linger; 0 after the first call of Close
	bytesRead      uint64        // at least, from the socket
	// readyAt is when the connection became ready for its current request. It is zero before the first one.
	readyAt time.Time
	users   int // net/http until it has ended the connection, and the goroutine that lets it linger
	ahead   readAhead

	// Not guarded by mu: net/http reads from one goroutine at a time, and not while it changes the connection's state.
	scanner headerScanner
	head    reservation // for a large head
	turn    turn
}

type connContextKey struct{}

// withClientConn is the http.Server's ConnContext hook.
func withClientConn(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*clientConn); ok {
		return context.WithValue(ctx, connContextKey{}, conn)
	}
	return ctx
}

// clientConnOf returns the connection that a request arrived on, or nil if it is not a clientConn.
func clientConnOf(ctx context.Context) *clientConn {
	conn, _ := ctx.Value(connContextKey{}).(*clientConn)
	return conn
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	n := c.ahead.consume(p)
	c.mu.Unlock()
	if n == 0 {
		var err error
		if n, err = c.receive(p); err != nil {
			return 0, err
		}
	}
	c.scan(p[:n])
	if !isBackgroundRead(p) && !c.turn.await() {
		return 0, c.rejectWithoutTurn()
	}
	if err := c.admitHead(); err != nil {
		return 0, err
	}
	return n, nil
}

// isBackgroundRead reports whether a read into p is the one that net/http makes, on a goroutine of its own, after a
// request being served. It reads no more until the response is written.
func isBackgroundRead(p []byte) bool { return len(p) == 1 }

// Write implements net.Conn. It ends the turn before it waits for a client that does not read.
func (c *clientConn) Write(p []byte) (written int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	waitErr := raw.Write(func(fd uintptr) (done bool) {
		for written < len(p) && err == nil {
			var n int
			n, err = syscall.Write(int(fd), p[written:])
			switch {
			case errors.Is(err, syscall.EINTR):
				err = nil
			case errors.Is(err, syscall.EAGAIN):
				err = nil
				c.turn.end()
				return false
			case err == nil:
				written += n
			}
		}
		return true
	})
	if err != nil {
		return written, c.opError("write", err)
	}
	return written, waitErr
}

// opError returns the error of a system call as those of net.TCPConn.
func (c *clientConn) opError(operation string, err error) error {
	return &net.OpError{Op: operation, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(),
		Err: os.NewSyscallError(operation, err)}
}

func (c *clientConn) scan(p []byte) {
	if c.scanner.scan(p) {
		c.conflictingLengths.Store(true)
	}
}

// receive reads from the socket and records under the same lock that a request is arriving. Otherwise the connection
// would appear idle between the two steps and could be closed.
func (c *clientConn) receive(p []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	waitErr := raw.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closedByServer { // closed while this read waited; n may be -1 from the previous attempt
			n = 0
			err = net.ErrClosed
			return true
		}
		for {
			n, err = syscall.Read(int(fd), p)
			if !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		if errors.Is(err, syscall.EAGAIN) {
			if !isBackgroundRead(p) {
				c.turn.end()
			}
			return false
		}
		n, err = c.received(n, len(p), err)
		return true
	})
	if waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// received converts the result of a read system call to that of Read, and records that a request is arriving. The
// caller holds the lock.
func (c *clientConn) received(n, size int, err error) (int, error) {
	switch {
	case err != nil:
		return 0, c.opError("read", err)
	case n == 0 && size > 0:
		c.closedByClient = true
		return 0, io.EOF
	}
	c.bytesRead += uint64(n)
	if c.arrivingSince.IsZero() {
		c.arrivingSince = c.arrivedAt()
	}
	c.ahead.byteConsumed = size == 1 && c.ahead.onDisconnect == nil
	if c.ahead.onDisconnect != nil && c.ahead.done == nil {
		c.startReadAhead()
	}
	return n, nil
}

// kernelTick is the longest tick of the kernel's clock. The kernel counts the time since an arrival in whole ticks.
const kernelTick = 10 * time.Millisecond

// maxArrivalAge limits how long before the read of its first bytes a first request may have arrived.
const maxArrivalAge = idleTimeout

// arrivedAt returns when the bytes that have just been read arrived, or up to two ticks later: the process may read them
// much later than that. The caller holds the lock.
func (c *clientConn) arrivedAt() time.Time {
	now := time.Now()
	maxAge := maxArrivalAge
	if !c.readyAt.IsZero() {
		maxAge = now.Sub(c.readyAt)
	}
	peer, known := c.examinePeer(c.bytesRead)
	if !known || peer.SinceReceived > maxAge {
		return now
	}
	return now.Add(-max(peer.SinceReceived-kernelTick, 0))
}

// examinePeer returns what the kernel knows about the client, if it knows of the given number of bytes.
func (c *clientConn) examinePeer(bytesRead uint64) (peer socket.Peer, known bool) {
	peer, known = socket.ExaminePeer(c.TCPConn)
	return peer, known && bytesRead > 0 && peer.BytesReceived >= bytesRead
}

// clientLeft reports whether the client has closed its connection, as far as the kernel tells: its last bytes may still
// be unread.
func (c *clientConn) clientLeft() bool {
	c.mu.Lock()
	bytesRead := c.bytesRead
	c.mu.Unlock()
	peer, known := c.examinePeer(bytesRead)
	return known && !peer.Connected
}

// beginRequest marks the connection as serving a request. It returns false if the server has already closed the
// connection, or its read-ahead has overflowed: the request must not be forwarded then.
func (c *clientConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedByServer || c.ahead.overflow {
		return false
	}
	c.serving = true
	return true
}

// arrivingFor returns how long an incomplete request has been arriving.
func (c *clientConn) arrivingFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrivingSince.IsZero() {
		return 0
	}
	return time.Since(c.arrivingSince)
}

// markIdle resets the state of a request after its response.
func (c *clientConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestRead { // the response was written before the request had been read completely
		c.arrivingSince = time.Time{}
	}
	c.serving = false
	c.requestRead = false
	c.readyAt = time.Now()
	c.ahead.byteConsumed = false
	c.scanner.startHead()
	c.head.shrink(0)
}

// endRequests releases what is reserved for requests, once net/http has ended the connection.
func (c *clientConn) endRequests() { c.head.shrink(0) }

// closeIfIdle closes the connection if no request is being served on it and no byte of one has been read or waits to be
// read. It reports whether it did. A request that arrives afterwards is not read, and its client retries it elsewhere.
func (c *clientConn) closeIfIdle() bool {
	c.mu.Lock()
	idle := !c.serving && c.arrivingSince.IsZero() && len(c.ahead.buffered) == 0 && !socket.HasUnreadBytes(c.TCPConn)
	return c.unlockAndCloseIf(idle)
}

// closeIfSlow closes the connection with 503 if an incomplete request, which is not being decided yet, has been arriving
// on it since before cutoff. It reports whether it did. The last bytes of the request may have arrived unnoticed, so that
// its client needs an answer.
func (c *clientConn) closeIfSlow(cutoff time.Time) bool {
	c.mu.Lock()
	slow := !c.requestRead && !c.arrivingSince.IsZero() && c.arrivingSince.Before(cutoff)
	if slow {
		c.rejections.add(closedAsSlow)
		c.respondUnread(http.StatusServiceUnavailable)
	}
	return c.unlockAndCloseIf(slow)
}

// closeNew closes a new connection with 503. Its client may have sent a request already.
func (c *clientConn) closeNew() {
	c.rejections.add(closedUnread)
	c.respondUnread(http.StatusServiceUnavailable)
	_ = c.Close()
}

func (c *clientConn) unlockAndCloseIf(closing bool) bool {
	c.closedByServer = c.closedByServer || closing
	c.mu.Unlock()
	if closing {
		_ = c.Close()
	}
	return closing
}

// Close closes the connection for writing and releases its descriptor once the client has closed it too, or after the
// linger timeout. Closing the socket with unread bytes would reset the connection and could lose the response.
func (c *clientConn) Close() error {
	c.mu.Lock()
	c.closedByServer = true
	wait := c.lingerFor
	c.lingerFor = 0 // only the first call closes the connection
	closedByClient := c.closedByClient
	c.mu.Unlock()
	if wait == 0 {
		return nil
	}
	if closedByClient || c.TCPConn.CloseWrite() != nil { // nothing more can arrive
		return c.TCPConn.Close()
	}
	_ = c.SetReadDeadline(longAgo) // interrupts a pending read
	c.mu.Lock()
	c.users++
	c.mu.Unlock()
	if c.tracker != nil {
		c.tracker.lingering.add(c)
	}
	go c.discardUntilClosed(wait)
	return nil
}

// CloseWrite ends the goroutine that serves the connection; Close then closes it. net/http calls CloseWrite after the
// last response, if the request was too large, and would sleep before it calls Close. Meanwhile the connection would
// count as carrying a request. Nothing that follows the last response is skipped: net/http recovers from this panic and
// ends the connection as after a return.
func (c *clientConn) CloseWrite() error { panic(http.ErrAbortHandler) }

// release ends the use of the connection by one of its users. After the last one it no longer counts as held.
func (c *clientConn) release() {
	c.mu.Lock()
	c.users--
	last := c.users == 0
	c.mu.Unlock()
	if last && c.tracker != nil {
		c.tracker.release()
	}
}

// discardUntilClosed reads and discards what the client still sends, for at most wait, then releases the descriptor.
// lingeringConns.released waits until it returns.
func (c *clientConn) discardUntilClosed(wait time.Duration) {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	buf := make([]byte, discardBufferBytes)
	for discarded := 0; ; {
		n, err := c.TCPConn.Read(buf)
		if err != nil {
			break
		}
		discarded += n
		if discarded > maxDiscarded { // only a client that does not wait for its responses sends so much
			time.Sleep(discardInterval)
		}
	}
	_ = c.TCPConn.Close()
	if c.tracker != nil {
		c.tracker.lingering.remove(c)
	}
	c.release()
}

const (
	discardBufferBytes = 4 << 10

	// maxDiscarded is how much of what a client sends on a closed connection is discarded at its speed.
	maxDiscarded = maxBodyBytes + maxHeaderBytes
)

// longAgo is a time in the past. As a deadline it interrupts pending reads.
var longAgo = time.Unix(1, 0)
