package front

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
)

// clientConn is a client's connection whose bytes are looked at as they come. net/http takes Content-Length out of
// a head that has Transfer-Encoding too, and what a body of two lengths hides would then be passed on: only the
// raw head tells of both.
type clientConn struct {
	*net.TCPConn
	twoLengths atomic.Bool // for good: nothing that comes after may be served

	// The rest belongs to whoever reads; net/http reads from one goroutine at a time.
	line           []byte // the beginning of the line that is being read
	length, coding bool   // which headers have stood since the last empty line
}

type connKey struct{}

var (
	lengthHeader = []byte("content-length")
	codingHeader = []byte("transfer-encoding")
)

// listener hands out connections as clientConn.
type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &clientConn{TCPConn: tcp}, nil
	}
	return c, nil
}

// connOf is the connection that a request came on, or nil where it is another kind.
func connOf(ctx context.Context) *clientConn {
	t, _ := ctx.Value(connKey{}).(*clientConn)
	return t
}

func (t *clientConn) Read(p []byte) (int, error) {
	n, err := t.TCPConn.Read(p)
	t.look(p[:n])
	return n, err
}

// look goes through the bytes line by line. It need not know where a body ends: header lines begin lines in
// any head, and a body that holds such lines is none of a lookup.
func (t *clientConn) look(p []byte) {
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
		t.endLine()
		p = p[at+1:]
	}
}

func (t *clientConn) endLine() {
	name, _, found := bytes.Cut(t.line, []byte{':'})
	switch {
	case len(bytes.TrimRight(t.line, "\r")) == 0:
		t.length, t.coding = false, false
	case found && bytes.EqualFold(name, lengthHeader):
		t.length = true
	case found && bytes.EqualFold(name, codingHeader):
		t.coding = true
	}
	if t.length && t.coding {
		t.twoLengths.Store(true)
	}
	t.line = t.line[:0]
}
