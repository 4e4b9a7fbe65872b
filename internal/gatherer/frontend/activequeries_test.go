package frontend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"yokeroute/internal/gatherer/dispatch"
)

// TestIDOfAbandonedQueryInFlightIsRejectedAtOnce guards against a second request that waits for the end of the query that
// holds its ID, and is then served in the place of the client that has disconnected. It gets 409 at once, before and
// after the disconnect. Once the first query has ended without an attempt, its ID is free again.
func TestIDOfAbandonedQueryInFlightIsRejectedAtOnce(t *testing.T) {
	endFirst := make(chan struct{})
	f, s, address := startServer(t, 10, func(ctx context.Context, query *dispatch.Query) dispatch.Result {
		if query.RouteKey == "again" {
			return dispatch.Result{Kind: dispatch.Failed}
		}
		<-ctx.Done()
		<-endFirst
		return dispatch.Result{Kind: dispatch.Abandoned}
	})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, post("/find", headers, shardsBody))
	<-f.picked
	again := post("/find", headers+"X-Route-Key: again\r\n", shardsBody)
	for _, disconnected := range []bool{false, true} {
		if disconnected {
			c.Close()
		}
		sentAt := time.Now()
		status, body, _ := exchange(t, address, again, 1)
		if status[0] != 409 || len(f.picked) > 0 {
			t.Errorf("client disconnected %v: %v %s, %d picked, want 409 and none", disconnected, status, body, len(f.picked))
		}
		if waited := time.Since(sentAt); waited >= readBodyTimeout {
			t.Errorf("client disconnected %v: the response came after %v, want at once", disconnected, waited)
		}
	}
	close(endFirst)
	waitUntil(t, "the first query has ended", func() bool {
		s.active.mu.Lock()
		defer s.active.mu.Unlock()
		return len(s.active.active) == 0
	})
	if status, body, _ := exchange(t, address, again, 1); status[0] != 504 {
		t.Errorf("after the end of the first query: %v %s, want 504", status, body)
	}
}

// TestQueryWithIDInUseIsRejected sends a query with the ID of another client's query in flight. The response is 409.
func TestQueryWithIDInUseIsRejected(t *testing.T) {
	release := make(chan struct{})
	f, _, address := startServer(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		<-release
		return dispatch.Result{Kind: dispatch.Failed}
	})
	first := make(chan []int, 1)
	go func() {
		status, _, _ := exchange(t, address, post("/find", headers, shardsBody), 1)
		first <- status
	}()
	<-f.picked
	if status, _, _ := exchange(t, address, post("/find", headers, shardsBody), 1); status[0] != 409 || len(f.picked) != 0 {
		t.Errorf("the second request got status %v, want 409 without a pick", status)
	}
	close(release)
	if status := <-first; status[0] != 504 {
		t.Errorf("the first request got status %v, want 504", status)
	}
}

// TestIDStaysReservedUnlessReusable guards against a second query with the ID of one whose attempts may still run. An ID
// is reserved while its query is in flight, and after its end unless it is reusable.
func TestIDStaysReservedUnlessReusable(t *testing.T) {
	for _, reusable := range []bool{false, true} {
		a := newActiveQueries()
		if err := a.acquire("a"); err != nil {
			t.Fatal(err)
		}
		if err := a.acquire("a"); !errors.Is(err, errIDActive) {
			t.Errorf("ID of a query in flight: %v, want %v", err, errIDActive)
		}
		if err := a.acquire("b"); err != nil {
			t.Errorf("another ID: %v, want none", err)
		}
		a.release("a", reusable)
		err := a.acquire("a")
		if !reusable && !errors.Is(err, errIDUsed) || reusable && err != nil {
			t.Errorf("ID of an ended query, reusable %v: %v", reusable, err)
		}
	}
}

// TestReservedIDsAreBounded has more queries run than IDs are remembered. The newest ones stay reserved, the oldest ones
// are free again, and no memory is kept for these.
func TestReservedIDsAreBounded(t *testing.T) {
	const forgotten = 100
	a := newActiveQueries()
	for i := range rememberedIDs + forgotten {
		id := fmt.Sprint(i)
		if err := a.acquire(id); err != nil {
			t.Fatal(i, err)
		}
		a.release(id, false)
	}
	if len(a.active) != 0 || len(a.used.hashes) != rememberedIDs || len(a.used.ring) != rememberedIDs {
		t.Errorf("%d active, %d remembered, want 0 and %d", len(a.active), len(a.used.hashes), rememberedIDs)
	}
	for i, reserved := range map[int]bool{0: false, forgotten - 1: false, forgotten: true, rememberedIDs + forgotten - 1: true} {
		if err := a.acquire(fmt.Sprint(i)); (err != nil) != reserved {
			t.Errorf("ID %d: %v, reserved %v", i, err, reserved)
		}
	}
}

// TestDisconnectBeforePickAbandonsQuery has a client disconnect before its query is picked. The picker does not get the
// query.
func TestDisconnectBeforePickAbandonsQuery(t *testing.T) {
	f, s, _ := startServer(t, 10, failed)
	ctx, disconnect := context.WithCancel(t.Context())
	disconnect()
	result, err := s.decide(ctx, &dispatch.Query{ID: "a"}, nil)
	if result.Kind != dispatch.Abandoned || err != nil || len(f.picked) > 0 {
		t.Errorf("result %+v, %v, %d picked, want an abandoned query and none picked", result, err, len(f.picked))
	}
}
