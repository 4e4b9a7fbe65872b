package frontend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"yokeroute/internal/drainable"
	"yokeroute/internal/gatherer/dispatch"
)

// largeBodyMemory suffices for one body of the largest size at a time.
const largeBodyMemory = bodyCopies * maxBodyBytes

// bodyOf returns a valid body with a text of the given size.
func bodyOf(textBytes int) string {
	return `{"shards":[{"shard":3,"weight":1}],"q":"` + strings.Repeat("q", textBytes) + `"}`
}

// withID returns the headers of a request with another ID.
func withID(id string) string { return strings.Replace(headers, "a1", id, 1) }

// awaitReserved waits until the given number of bytes is reserved for requests, and checks that just the rest is free.
// While it waits it takes no memory: a request that arrives just then would be rejected.
func awaitReserved(t *testing.T, s *Server, want int64) {
	t.Helper()
	m := s.memory.current.Load()
	waitUntil(t, fmt.Sprint(want, " bytes are reserved"), func() bool { return m.reserved.Load() == want })
	free := m.limits.Requests - want
	if !m.requests.TryAcquire(free) {
		t.Fatalf("%d bytes are reserved, but the other %d aren't free", want, free)
	}
	defer m.requests.Release(free)
	if m.requests.TryAcquire(1) {
		t.Fatalf("%d bytes are reserved, but more than the other %d are free", want, free)
	}
}

// TestBodiesBeyondMemoryAreRejected guards against clients that drive the process over its memory limit with large
// bodies, whole, unfinished or in chunks. Once the memory for one of them is in use, the next large one is rejected with
// 503 and Retry-After, although its client has not sent all of it; small ones are served. The memory is free again once
// the first one ends.
func TestBodiesBeyondMemoryAreRejected(t *testing.T) {
	unfinished := post("/find", withID("first"), bodyOf(60_000))
	unfinished = unfinished[:len(unfinished)-1]
	var chunked strings.Builder
	fmt.Fprintf(&chunked, "POST /find HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n", withID("first"))
	for range 60 {
		fmt.Fprintf(&chunked, "%x\r\n%s\r\n", 1000, strings.Repeat(" ", 1000))
	}
	for name, request := range map[string]string{
		"whole": post("/find", withID("first"), bodyOf(60_000)), "unfinished": unfinished, "chunked": chunked.String(),
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			_, s, address := startServer(t, 10, func(_ context.Context, query *dispatch.Query) dispatch.Result {
				if query.ID == "first" {
					<-release
				}
				return dispatch.Result{Kind: dispatch.Failed}
			})
			defer close(release)
			s.SetLimits(10, 1, MemoryLimits{Requests: largeBodyMemory})
			s.limits.retryAfter["find"] = 250
			first := dial(t, address)
			io.WriteString(first, request)
			switch name {
			case "whole": // once it is parsed, its text alone is held
				awaitReserved(t, s, 60_000)
			case "unfinished":
				awaitReserved(t, s, bodyCopies*int64(len(bodyOf(60_000))))
			case "chunked": // its buffer has doubled up to the limit
				awaitReserved(t, s, largeBodyMemory)
			}
			second := dial(t, address)
			io.WriteString(second, post("/find", withID("second"), bodyOf(60_000))[:50_000])
			resp := readResponse(t, bufio.NewReader(second))
			if resp.StatusCode != 503 || !resp.Close || resp.Header.Get("Retry-After") != "0.250" {
				t.Errorf("a large body beyond the limit: status %d, close %v, headers %v", resp.StatusCode, resp.Close, resp.Header)
			}
			if status, _, _ := exchange(t, address, post("/find", withID("small"), shardsBody), 1); status[0] != 504 {
				t.Errorf("a small body: status %v, want 504", status)
			}
			first.Close()
			if name == "whole" {
				release <- struct{}{}
			}
			awaitReserved(t, s, 0)
		})
	}
}

// TestHeadsBeyondMemoryAreRejected guards against clients that hold memory with large heads. One is admitted, the next
// one is rejected before its end, and a small one is served. The memory is free again once the first client is gone.
func TestHeadsBeyondMemoryAreRejected(t *testing.T) {
	_, s, address := startServer(t, 10, failed)
	s.SetLimits(10, 1, MemoryLimits{Requests: largeHeadCost})
	head := "POST /find HTTP/1.1\r\nX-Note: " + strings.Repeat("n", 10_000)
	first := dial(t, address)
	io.WriteString(first, head)
	awaitReserved(t, s, largeHeadCost)
	second := dial(t, address)
	io.WriteString(second, head)
	if resp := readResponse(t, bufio.NewReader(second)); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("the second large head: status %d, close %v, want 503 and true", resp.StatusCode, resp.Close)
	}
	if status, _, _ := exchange(t, address, post("/find", headers, shardsBody), 1); status[0] != 504 {
		t.Errorf("a small head: status %v, want 504", status)
	}
	io.WriteString(first, "\r\n"+headers+"Content-Length: "+fmt.Sprint(len(shardsBody))+"\r\n\r\n"+shardsBody)
	r := bufio.NewReader(first)
	if resp := readResponse(t, r); resp.StatusCode != 504 {
		t.Errorf("the first large head: status %d, want 504", resp.StatusCode)
	}
	awaitReserved(t, s, 0) // although the connection stays open
	io.WriteString(first, post("/find", withID("a2"), shardsBody))
	if resp := readResponse(t, r); resp.StatusCode != 504 {
		t.Errorf("the next request on the connection: status %d, want 504", resp.StatusCode)
	}
}

// TestHeadWithManyLinesIsRejected guards against heads whose lines take many times their bytes in memory. The limit is
// for heads alone: a body may have any number of lines, and the next head on the connection has a count of its own.
func TestHeadWithManyLinesIsRejected(t *testing.T) {
	_, _, address := startServer(t, 10, failed)
	lines := func(n int) (text string) {
		for i := range n {
			text += fmt.Sprintf("x%d:\r\n", i)
		}
		return text
	}
	const usualLines = 7 // the request line, headers, Content-Length, the empty line
	manyLinesBody := strings.Repeat("\n", 3*maxHeaderLines) + shardsBody
	c := dial(t, address)
	r := bufio.NewReader(c)
	for i := range 3 {
		io.WriteString(c, post("/find", withID(fmt.Sprint("b", i))+lines(maxHeaderLines-usualLines), manyLinesBody))
		if resp := readResponse(t, r); resp.StatusCode != 504 {
			t.Fatalf("request %d with %d lines: status %d, want 504", i, maxHeaderLines, resp.StatusCode)
		}
	}
	io.WriteString(c, "POST /find HTTP/1.1\r\n"+lines(maxHeaderLines+1)) // unfinished
	if resp := readResponse(t, r); resp.StatusCode != 431 || !resp.Close {
		t.Errorf("a head with too many lines: status %d, close %v, want 431 and true", resp.StatusCode, resp.Close)
	}
}

// TestLargeResponseWaitsForMemory guards against clients that read slowly and hold many large responses. A response
// waits for memory until its query's deadline; if there is none, the query fails rather than claim to have had no effect.
func TestLargeResponseWaitsForMemory(t *testing.T) {
	const responseBytes = 20_000
	for _, freed := range []bool{false, true} {
		_, s, address := startServer(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
			hit := dispatch.Hit{Shard: 3, Value: []byte(strings.Repeat("v", responseBytes))}
			return dispatch.Result{Kind: dispatch.Served, Complete: true, Hits: []dispatch.Hit{hit}}
		})
		s.SetLimits(10, 1, MemoryLimits{Requests: responseBytes})
		m := s.memory.current.Load()
		m.requests.TryAcquire(responseBytes)
		if freed {
			time.AfterFunc(50*time.Millisecond, func() { m.requests.Release(responseBytes) })
		}
		want := map[bool]int{false: 504, true: 200}[freed]
		if status, _, _ := exchange(t, address, post("/find", headers, shardsBody), 1); status[0] != want {
			t.Errorf("memory freed %v: status %v, want %d", freed, status, want)
		}
	}
}

// TestLargeResponseUsesMemoryOfItsRequest guards against large requests that hold all memory and wait for each other's to
// write their responses.
func TestLargeResponseUsesMemoryOfItsRequest(t *testing.T) {
	const requests, textBytes = 3, 50_000
	decided := make(chan struct{})
	_, s, address := startServer(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		<-decided
		hit := dispatch.Hit{Shard: 3, Value: []byte(strings.Repeat("v", textBytes))}
		return dispatch.Result{Kind: dispatch.Served, Complete: true, Hits: []dispatch.Hit{hit}}
	})
	limit := (bodyCopies + requests - 1) * int64(len(bodyOf(textBytes)))
	s.SetLimits(10, 1, MemoryLimits{Requests: limit})
	statuses := make(chan int, requests)
	for i := range requests {
		go func() {
			status, _, _ := exchange(t, address, post("/find", withID(fmt.Sprint("r", i)), bodyOf(textBytes)), 1)
			statuses <- status[0]
		}()
		awaitReserved(t, s, int64(i+1)*textBytes)
	}
	if !s.memory.current.Load().requests.TryAcquire(limit - requests*textBytes) {
		t.Fatal("no memory is left for others")
	}
	close(decided)
	for range requests {
		if status := <-statuses; status != 200 {
			t.Errorf("status %d, want 200", status)
		}
	}
}

// TestReservationFollowsNewLimits guards against a connection that goes on reserving under limits that were replaced. What
// it holds stays reserved under the old ones until it is released.
func TestReservationFollowsNewLimits(t *testing.T) {
	l := &memoryLimiter{}
	l.current.Store(newMemory(MemoryLimits{Requests: 10}))
	r := reservation{limiter: l}
	if !r.grow(8) {
		t.Fatal("not reserved within the limit")
	}
	l.current.Store(newMemory(MemoryLimits{Requests: 20}))
	if r.grow(12) {
		t.Error("the reservation has grown beyond the limit that it was made under")
	}
	r.shrink(0)
	if !r.grow(12) || r.memory.limits.Requests != 20 {
		t.Errorf("%+v, want 12 bytes under the new limit", r)
	}
}

// TestParsingIsBounded starts to parse more bodies than the memory for that allows. They are parsed in turn, and one
// whose deadline passes meanwhile is not parsed.
func TestParsingIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryLimiter{}
		l.current.Store(newMemory(MemoryLimits{Parsing: 100 * parseExpansion}))
		parsing, maxParsing := 0, 0
		parse := func() error {
			parsing++
			maxParsing = max(maxParsing, parsing)
			time.Sleep(time.Second)
			parsing--
			return nil
		}
		errs := make(chan error)
		for range 3 {
			go func() { errs <- l.parse(t.Context(), time.Now().Add(2500*time.Millisecond), 200, parse) }()
		}
		for range 2 {
			if err := <-errs; err != nil {
				t.Error(err)
			}
		}
		if err := l.parse(t.Context(), time.Now().Add(100*time.Millisecond), 60, parse); !errors.Is(err, errNoMemory) {
			t.Errorf("a body whose deadline passes: %v, want %v", err, errNoMemory)
		}
		if err := <-errs; err != nil || maxParsing != 1 {
			t.Errorf("%v, %d bodies parsed at once, want 1", err, maxParsing)
		}
	})
}

// TestAcceptWaitsForEndingConnections guards against goroutines and descriptors of closed connections that pile up while
// clients connect again at once: at the limit the next connection is accepted only when a held one is released.
func TestAcceptWaitsForEndingConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := newConnTracker(1, 1)
	listener := &trackingListener{Listener: drainable.NewListener(l), tracker: c, memory: &memoryLimiter{}}
	var held []net.Conn
	for range HeldConns(1) {
		dial(t, l.Addr().String())
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, conn)
	}
	dial(t, l.Addr().String())
	accepted := make(chan error, 1)
	go func() {
		_, err := listener.Accept()
		accepted <- err
	}()
	select {
	case <-accepted:
		t.Errorf("accepted with %d connections held", len(held))
	case <-time.After(50 * time.Millisecond):
	}
	c.onStateChange(held[0], http.StateClosed) // net/http has ended the connection, which does not linger
	if err := <-accepted; err != nil {
		t.Error(err)
	}
	go func() {
		_, err := listener.Accept()
		accepted <- err
	}()
	l.Close()
	c.stopAwaitingRoom()
	if err := <-accepted; !errors.Is(err, net.ErrClosed) {
		t.Errorf("after the listener was closed: %v, want %v", err, net.ErrClosed)
	}
}

// TestHeldConnsStayWithinLimit checks the largest limit on connections for each number that may be held.
func TestHeldConnsStayWithinLimit(t *testing.T) {
	for held := HeldConns(1); held < 2000; held++ {
		maxConns := MaxConnsWithin(held)
		if HeldConns(maxConns) > held || HeldConns(maxConns+1) <= held && HeldConns(maxConns+2) <= held {
			t.Errorf("%d held: at most %d connections, which hold %d", held, maxConns, HeldConns(maxConns))
		}
	}
}

// TestCompleteRequestIsNotClosedAsSlow guards against a connection that is closed without a response although its
// request was read completely and goes on to be forwarded. If it was closed before, the request is not forwarded, and its
// client gets 503, as the rest of it may have arrived.
func TestCompleteRequestIsNotClosedAsSlow(t *testing.T) {
	for _, closedFirst := range []bool{false, true} {
		conn, client := connPair(t)
		io.WriteString(client, "POST")
		if _, err := conn.Read(make([]byte, 9)); err != nil || !conn.beginRequest() {
			t.Fatal("the request did not begin:", err)
		}
		if closedFirst {
			if !conn.closeIfSlow(time.Now().Add(time.Second)) {
				t.Error("a connection with an incomplete request was not closed")
			}
			if resp := readResponse(t, bufio.NewReader(client)); resp.StatusCode != 503 || !resp.Close {
				t.Errorf("its client got status %d, close %v, want 503 and true", resp.StatusCode, resp.Close)
			}
		}
		if conn.markRequestRead() == closedFirst {
			t.Errorf("closed first %v: the request may be forwarded %v", closedFirst, !closedFirst)
		}
		if !closedFirst && conn.closeIfSlow(time.Now().Add(time.Second)) {
			t.Error("a connection whose request was read completely was closed as slow")
		}
	}
}
