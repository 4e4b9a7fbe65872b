package frontend

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// clientConn is a client's connection. It stands between net/http and the socket for what net/http does not see to:
//
//   - It takes Content-Length out of a head that has Transfer-Encoding too, and what a body of two lengths hides would
//     then be passed on: only the raw head tells of both.
//   - It reads one byte behind a request in hand and no more, and so misses that a client goes which has sent more.
//   - It closes what it takes for idle while bytes of the next request are on their way to it, goes on with what it has
//     read of them, and closes over unread bytes, which resets the connection under the last answer.
type clientConn struct {
	*net.TCPConn
	conflictingLengths atomic.Bool // for good: nothing that comes after may be served

	mu             sync.Mutex
	serving        bool      // a request is being served; until it is answered the connection is not ours to end
	requestRead    bool      // and all of it has been read
	arrivingSince  time.Time // a request has begun to arrive that is not whole yet, or one behind that in hand; else zero
	closedByServer bool      // ended by us: whatever is still read is nobody's request
	lingerFor      time.Duration
	tracker        *connTracker // told when it lets go of its descriptor; nil in tests
	buffered       []byte       // read while a request was in hand, for net/http
	overflow       bool         // more came behind a request in hand than is kept: nothing that follows can be served
	onClientGone   func()       // tells who serves that the client has gone; nil while nobody asks
	readerDone     chan struct{}
	byteBehind     bool // net/http has read its one byte behind a request that is not watched yet, and reads no further

	// The rest belongs to whoever reads; net/http reads from one goroutine at a time.
	line                 []byte // the beginning of the line that is being read
	sawLength, sawCoding bool   // which headers have stood since the last empty line
}

const (
	// The answer's last bytes and a client's next ones may cross: for this time a connection that is being ended is
	// read, and what comes is dropped, before its descriptor is let go. net/http waits as long where it waits at all.
	lingerTimeout = 500 * time.Millisecond
	// What may come behind a request in hand and is kept for net/http. Clients send one request at a time, so that
	// only bad ones send more; the connection of one that sends more than this ends with its answer.
	maxBuffered = 16 << 10
)

type connContextKey struct{}

var (
	lengthHeader = []byte("content-length")
	codingHeader = []byte("transfer-encoding")
)

// trackingListener hands out connections as clientConn.
type trackingListener struct {
	net.Listener
	conns *connTracker
}

func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &clientConn{TCPConn: tcp, lingerFor: lingerTimeout, tracker: l.conns}, nil
	}
	return c, nil
}

// clientConnOf is the connection that a request came on, or nil where it is another kind.
func clientConnOf(ctx context.Context) *clientConn {
	t, _ := ctx.Value(connContextKey{}).(*clientConn)
	return t
}

func (t *clientConn) Read(p []byte) (int, error) {
	t.mu.Lock()
	if n := copy(p, t.buffered); n > 0 {
		t.buffered = t.buffered[n:]
		t.mu.Unlock()
		t.scanHeaders(p[:n])
		return n, nil
	}
	t.mu.Unlock()
	n, err := t.receive(p)
	t.scanHeaders(p[:n])
	return n, err
}

// receive takes what has come. That it has is noted in the same step: between a read and its note the connection would
// look as if nothing were asked on it, and be ended.
func (t *clientConn) receive(p []byte) (n int, err error) {
	raw, err := t.SyscallConn()
	if err != nil {
		return 0, err
	}
	failed := raw.Read(func(fd uintptr) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.closedByServer { // it was ended while this waited: nothing of it may be served
			n, err = 0, net.ErrClosed // n is -1 since the read before, which had to wait
			return true
		}
		for n, err = syscall.Read(int(fd), p); err == syscall.EINTR; n, err = syscall.Read(int(fd), p) {
		}
		switch {
		case err == syscall.EAGAIN:
			return false
		case err != nil:
			n, err = 0, &net.OpError{Op: "read", Net: "tcp", Source: t.LocalAddr(), Addr: t.RemoteAddr(), Err: os.NewSyscallError("read", err)}
		case n == 0 && len(p) > 0:
			err = io.EOF
		default:
			if t.arrivingSince.IsZero() {
				t.arrivingSince = time.Now()
			}
			t.byteBehind = len(p) == 1 && t.onClientGone == nil // it reads one byte only behind a request in hand
			if t.onClientGone != nil && t.readerDone == nil {   // net/http reads no further while it serves
				t.startReader()
			}
		}
		return true
	})
	if failed != nil {
		return 0, failed
	}
	return n, err
}

// beginRequest takes the connection for a request; false where it has been ended already, and nothing of the request may be
// sent on.
func (t *clientConn) beginRequest() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closedByServer || t.overflow {
		return false
	}
	t.serving = true
	return true
}

// watchClient notes that all of the request in hand has been read. From here on until unwatch, gone is called once the
// client has closed its connection, whatever it sent before.
func (t *clientConn) watchClient(gone func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestRead, t.arrivingSince, t.onClientGone = true, time.Time{}, gone
	if t.byteBehind {
		t.byteBehind = false
		t.startReader()
	}
}

// startReader begins to read ahead; the lock is held, and net/http has no read open.
func (t *clientConn) startReader() {
	t.readerDone = make(chan struct{})
	go t.readAhead(t.onClientGone, t.readerDone)
}

// stopWatching ends watch before the answer is written, so that what a client sends on having its answer is left to
// net/http.
func (t *clientConn) stopWatching() {
	t.mu.Lock()
	t.onClientGone = nil
	reader := t.readerDone
	t.readerDone = nil
	t.mu.Unlock()
	if reader != nil {
		t.SetReadDeadline(time.Unix(1, 0)) // net/http sets its own before it reads on
		<-reader
	}
}

// overflowed reports whether more came behind a request in hand than is kept, so that no next request can be served.
func (t *clientConn) overflowed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.overflow
}

// arrivingFor is for how long a request that is not whole yet has been arriving.
func (t *clientConn) arrivingFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.arrivingSince.IsZero() {
		return 0
	}
	return time.Since(t.arrivingSince)
}

// readAhead reads behind a request in hand until the client has gone or the request is answered.
func (t *clientConn) readAhead(gone func(), done chan struct{}) {
	defer close(done)
	buf := make([]byte, 2<<10)
	for {
		n, err := t.TCPConn.Read(buf)
		t.mu.Lock()
		if len(t.buffered)+n > maxBuffered {
			t.overflow = true
		}
		if !t.overflow {
			t.buffered = append(t.buffered, buf[:n]...)
		}
		t.mu.Unlock()
		if err != nil {
			if e, ok := err.(net.Error); !ok || !e.Timeout() {
				gone()
			}
			return
		}
	}
}

// markIdle gives the connection back after an answer.
func (t *clientConn) markIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.requestRead { // answered without having been read to its end
		t.arrivingSince = time.Time{}
	}
	t.serving, t.requestRead, t.byteBehind = false, false, false
}

// closeIfIdle ends the connection if nothing is asked on it: no request is in hand, and no byte of one has been read or
// waits to be. A request that comes after is read by nobody, and its client sends it again elsewhere.
func (t *clientConn) closeIfIdle() bool {
	t.mu.Lock()
	ends := !t.serving && t.arrivingSince.IsZero() && len(t.buffered) == 0 && !hasUnreadBytes(t.TCPConn)
	return t.closeIf(ends)
}

// closeIfSlow ends the connection if a request has been arriving on it since before a time and is not whole: nobody has
// taken it yet.
func (t *clientConn) closeIfSlow(before time.Time) bool {
	t.mu.Lock()
	return t.closeIf(!t.requestRead && !t.arrivingSince.IsZero() && t.arrivingSince.Before(before))
}

// closeIf lets go of the lock, and of the connection where it ends.
func (t *clientConn) closeIf(ends bool) bool {
	t.closedByServer = t.closedByServer || ends
	t.mu.Unlock()
	if ends {
		t.Close()
	}
	return ends
}

// Close ends the connection. It says so to the client first and lets go of the descriptor once that has closed too, or
// after the time to linger: a close over unread bytes would reset the connection under the answer.
func (t *clientConn) Close() error {
	t.mu.Lock()
	t.closedByServer = true
	wait := t.lingerFor
	t.lingerFor = 0 // once
	t.mu.Unlock()
	if wait == 0 {
		return nil
	}
	if t.CloseWrite() != nil { // reset, or closed already
		return t.TCPConn.Close()
	}
	t.SetReadDeadline(time.Unix(1, 0)) // wakes who reads; it is told that the connection is closed
	t.tracker.addLingering(t)
	go func() {
		t.SetReadDeadline(time.Now().Add(wait))
		buf := make([]byte, 4<<10)
		for {
			if _, err := t.TCPConn.Read(buf); err != nil {
				break
			}
		}
		t.TCPConn.Close()
		t.tracker.removeLingering(t)
	}()
	return nil
}

// scanHeaders goes through the bytes line by line. It need not know where a body ends: header lines begin lines in
// any head, and a body that holds such lines is none of a lookup.
func (t *clientConn) scanHeaders(p []byte) {
	for len(p) > 0 {
		at := bytes.IndexByte(p, '\n')
		end := at
		if at < 0 {
			end = len(p)
		}
		if room := len(codingHeader) + 1 - len(t.line); room > 0 {
			t.line = append(t.line, p[:min(end, room)]...)
		}
		if at < 0 {
			return
		}
		t.scanLine()
		p = p[at+1:]
	}
}

func (t *clientConn) scanLine() {
	name, _, found := bytes.Cut(t.line, []byte{':'})
	switch {
	case len(bytes.TrimRight(t.line, "\r")) == 0:
		t.sawLength, t.sawCoding = false, false
	case found && bytes.EqualFold(name, lengthHeader):
		t.sawLength = true
	case found && bytes.EqualFold(name, codingHeader):
		t.sawCoding = true
	}
	if t.sawLength && t.sawCoding {
		t.conflictingLengths.Store(true)
	}
	t.line = t.line[:0]
}
