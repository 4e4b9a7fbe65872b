package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// clientConn is a client's connection. It stands between net/http and the socket for what net/http does not do:
//
//   - net/http takes Content-Length out of a head that has Transfer-Encoding too, and would pass on what a body of two
//     lengths hides: only the raw head shows both (headerscan.go).
//   - net/http reads one byte behind a request being served and no more, and so does not notice that a client which
//     has sent more closes its connection (readahead.go).
//   - net/http closes a connection that it takes for idle while bytes of the next request are on their way to it, goes
//     on with what it has read of them, and closes over unread bytes, which resets the connection under the last
//     response (Close).
type clientConn struct {
	*net.TCPConn
	lingering *lingeringConns // nil in tests

	conflictingLengths atomic.Bool // for good: nothing that follows may be served

	mu             sync.Mutex
	serving        bool      // a request is being served; until its response the connection is not ours to close
	requestRead    bool      // and all of it has been read
	arrivingSince  time.Time // since when an incomplete request arrives, or one behind that being served; else zero
	closedByServer bool      // whatever is still read belongs to no request
	lingerFor      time.Duration
	ahead          readAhead

	scanner headerScanner // belongs to the reader; net/http reads from one goroutine at a time
}

type connContextKey struct{}

// withClientConn is the http.Server's ConnContext hook.
func withClientConn(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*clientConn); ok {
		return context.WithValue(ctx, connContextKey{}, conn)
	}
	return ctx
}

// clientConnOf returns the connection that a request came on, or nil where it is not a clientConn.
func clientConnOf(ctx context.Context) *clientConn {
	conn, _ := ctx.Value(connContextKey{}).(*clientConn)
	return conn
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	n := c.ahead.consume(p)
	c.mu.Unlock()
	if n > 0 {
		c.scan(p[:n])
		return n, nil
	}
	n, err := c.receive(p)
	c.scan(p[:n])
	return n, err
}

func (c *clientConn) scan(p []byte) {
	if c.scanner.scan(p) {
		c.conflictingLengths.Store(true)
	}
}

// receive reads from the socket and notes in the same step, under the lock, that a request arrives: between a read
// and its note the connection would look idle and be closed.
func (c *clientConn) receive(p []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	waitErr := raw.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closedByServer { // while this read waited; n may be -1 from the attempt before
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

// received turns what a system call returned into what Read returns, and notes that a request arrives. The lock is
// held.
func (c *clientConn) received(n, size int, err error) (int, error) {
	switch {
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(),
			Err: os.NewSyscallError("read", err)}
	case n == 0 && size > 0:
		return 0, io.EOF
	}
	if c.arrivingSince.IsZero() {
		c.arrivingSince = time.Now()
	}
	// net/http reads a single byte only behind a request being served, and no further while it serves.
	c.ahead.byteConsumed = size == 1 && c.ahead.onDisconnect == nil
	if c.ahead.onDisconnect != nil && c.ahead.done == nil {
		c.startReadAhead()
	}
	return n, nil
}

// beginRequest takes the connection for a request. It reports false where the connection is closed already: nothing
// of the request may be forwarded then.
func (c *clientConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedByServer || c.ahead.overflow {
		return false
	}
	c.serving = true
	return true
}

// arrivingFor is how long an incomplete request has been arriving.
func (c *clientConn) arrivingFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrivingSince.IsZero() {
		return 0
	}
	return time.Since(c.arrivingSince)
}

// markIdle ends a request after its response.
func (c *clientConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestRead { // answered before all of it was read
		c.arrivingSince = time.Time{}
	}
	c.serving = false
	c.requestRead = false
	c.ahead.byteConsumed = false
}

// closeIfIdle closes the connection if no request is served on it and no byte of one has been read or waits to be. A
// request that comes afterwards is read by nobody, and its client repeats it elsewhere.
func (c *clientConn) closeIfIdle() bool {
	c.mu.Lock()
	idle := !c.serving && c.arrivingSince.IsZero() && len(c.ahead.buffered) == 0 && !hasUnreadBytes(c.TCPConn)
	return c.unlockAndCloseIf(idle)
}

// closeIfSlow closes the connection if a request has been arriving on it since before a time and is not complete:
// nobody serves it yet.
func (c *clientConn) closeIfSlow(before time.Time) bool {
	c.mu.Lock()
	slow := !c.requestRead && !c.arrivingSince.IsZero() && c.arrivingSince.Before(before)
	return c.unlockAndCloseIf(slow)
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
// linger time: a close over unread bytes would reset the connection under the response.
func (c *clientConn) Close() error {
	c.mu.Lock()
	c.closedByServer = true
	wait := c.lingerFor
	c.lingerFor = 0 // the first call closes
	c.mu.Unlock()
	if wait == 0 {
		return nil
	}
	if c.CloseWrite() != nil { // reset, or closed already
		return c.TCPConn.Close()
	}
	_ = c.SetReadDeadline(longAgo) // wakes a pending read, which returns that the connection is closed
	c.lingering.add(c)
	go c.discardUntilClosed(wait)
	return nil
}

// discardUntilClosed reads and drops what the client still sends, and releases the descriptor. lingeringConns waits
// for its end.
func (c *clientConn) discardUntilClosed(wait time.Duration) {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	buf := make([]byte, discardBufferBytes)
	for {
		if _, err := c.TCPConn.Read(buf); err != nil {
			break
		}
	}
	_ = c.TCPConn.Close()
	c.lingering.remove(c)
}

const discardBufferBytes = 4 << 10

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)
