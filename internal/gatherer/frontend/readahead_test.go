package frontend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/gatherer/dispatch"
)

// TestDisconnectAfterPipelinedBytesIsDetected has a client send bytes behind its request and go: by a close, by
// half of one, by a reset; after a few bytes, a further request or more than is buffered.
func TestDisconnectAfterPipelinedBytesIsDetected(t *testing.T) {
	for _, behind := range []string{"", "P", post("/find", headers, shardsBody), strings.Repeat("x", 1<<20)} {
		for how, leave := range map[string]func(c *net.TCPConn){
			"close":      func(c *net.TCPConn) { c.Close() },
			"half-close": func(c *net.TCPConn) { c.CloseWrite() },
			"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		} {
			noticed := make(chan struct{}, 1)
			f, _, address := startServer(t, 10, func(ctx context.Context, _ *dispatch.Query) dispatch.Result {
				<-ctx.Done()
				noticed <- struct{}{}
				return dispatch.Result{Kind: dispatch.Abandoned}
			})
			c := dial(t, address)
			io.WriteString(c, post("/find", headers, shardsBody))
			<-f.picked
			io.WriteString(c, behind)
			leave(c)
			select {
			case <-noticed:
			case <-time.After(5 * time.Second):
				t.Errorf("%s behind %d bytes: not noticed", how, len(behind))
				c.Close()
			}
		}
	}
}

// TestDisconnectIsDetectedAfterNetHTTPReadOneByte has the bytes behind a request come with it, so that net/http has
// read one of them before the query is picked. The client's close is noticed, and the bytes keep their order.
func TestDisconnectIsDetectedAfterNetHTTPReadOneByte(t *testing.T) {
	conn, far := connPair(t)
	io.WriteString(far, "behind")
	if n, err := conn.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Fatalf("read %d, %v", n, err)
	}
	gone := make(chan struct{})
	conn.watchClient(func() { close(gone) })
	far.Close()
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Error("not noticed")
	}
	conn.stopWatching()
	if string(conn.ahead.buffered) != "ehind" {
		t.Errorf("%q is kept", conn.ahead.buffered)
	}
}

// TestPipelinedRequestIsServed sends a further request behind one being served, byte by byte. It is served after
// the first, and its connection stays open.
func TestPipelinedRequestIsServed(t *testing.T) {
	gate := make(chan struct{})
	f, s, address := startServer(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		<-gate
		return dispatch.Result{Kind: dispatch.Failed}
	})
	c := dial(t, address)
	r := bufio.NewReader(c)
	io.WriteString(c, post("/find", headers, shardsBody))
	<-f.picked
	next := post("/find", strings.Replace(headers, "a1", "a2", 1), shardsBody)
	for _, b := range []byte(next[:100]) {
		c.Write([]byte{b})
	}
	s.active.mu.Lock()
	client := s.active.byID["a1"].client
	s.active.mu.Unlock()
	conn := clientConnOf(client)
	waitUntil(t, "bytes behind are read", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return len(conn.ahead.buffered) == 99 // net/http has the first
	})
	close(gate)
	if resp := readResponse(t, r); resp.StatusCode != 504 || resp.Close {
		t.Errorf("the first is answered %d, close %v", resp.StatusCode, resp.Close)
	}
	io.WriteString(c, next[100:])
	if resp := readResponse(t, r); resp.StatusCode != 504 || resp.Close {
		t.Errorf("the second is answered %d, close %v", resp.StatusCode, resp.Close)
	}
	if query := <-f.picked; query.ID != "a2" {
		t.Errorf("the second is %q", query.ID)
	}
	if !bytes.Equal(conn.ahead.buffered, nil) {
		t.Errorf("%d bytes left over", len(conn.ahead.buffered))
	}
}

// TestPipelinedBytesAreBounded has a client flood its connection behind a request. No more than the bound is
// buffered, and the connection ends with the response.
func TestPipelinedBytesAreBounded(t *testing.T) {
	gate := make(chan struct{})
	f, s, address := startServer(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		<-gate
		return dispatch.Result{Kind: dispatch.Failed}
	})
	c := dial(t, address)
	io.WriteString(c, post("/find", headers, shardsBody))
	<-f.picked
	s.active.mu.Lock()
	conn := clientConnOf(s.active.byID["a1"].client)
	s.active.mu.Unlock()
	go func() {
		io.WriteString(c, strings.Repeat(post("/find", headers, shardsBody), 1000))
	}()
	waitUntil(t, "more than is kept", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.ahead.overflow
	})
	conn.mu.Lock()
	if len(conn.ahead.buffered) > maxBuffered {
		t.Errorf("%d bytes are held", len(conn.ahead.buffered))
	}
	conn.mu.Unlock()
	close(gate)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 504 || !resp.Close {
		t.Errorf("answered %v, %v", resp, err)
	}
	if len(f.picked) > 0 {
		t.Error("what came behind was forwarded")
	}
}

// TestFloodBehindRejectedRequestClosesConnection has a client flood its connection behind a request that is
// rejected, as its ID is in use. The connection ends with that response, and the ID is not held.
func TestFloodBehindRejectedRequestClosesConnection(t *testing.T) {
	gate := make(chan struct{})
	f, s, address := startServer(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		<-gate
		return dispatch.Result{Kind: dispatch.Failed}
	})
	defer close(gate)
	io.WriteString(dial(t, address), post("/find", headers, shardsBody))
	<-f.picked
	c := dial(t, address)
	go func() { io.WriteString(c, strings.Repeat(post("/find", headers, shardsBody), 1000)) }()
	if resp := readResponse(t, bufio.NewReader(c)); resp.StatusCode != 409 || !resp.Close {
		t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
	}
	if len(f.picked) > 0 {
		t.Error("what came behind was forwarded")
	}
	s.active.mu.Lock()
	defer s.active.mu.Unlock()
	if len(s.active.byID) != 1 {
		t.Errorf("%d names are held", len(s.active.byID))
	}
}
