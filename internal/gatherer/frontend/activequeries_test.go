package frontend

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"

	"yokeroute/internal/gatherer/dispatch"
)

// TestRetryWaitsForAbandonedQuery has a client close its connection, which ends its query, and retry the request. The
// retry waits until the first query has ended and is served; one whose deadline passes before that is rejected.
func TestRetryWaitsForAbandonedQuery(t *testing.T) {
	endFirst := make(chan struct{}, 2)
	f, _, address := startServer(t, 10, func(ctx context.Context, query *dispatch.Query) dispatch.Result {
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
	shortTimeout := strings.Replace(headers, "480", "30", 1)
	if status, body, _ := exchange(t, address, post("/find", shortTimeout, shardsBody), 1); status[0] != 409 {
		t.Errorf("a retry while the first query is in flight: %v %s, want 409", status, body)
	}
	second := make(chan int, 1)
	go func() {
		status, _, _ := exchange(t, address, post("/find", strings.Replace(headers, "480", "9000", 1)+"X-Route-Key: again\r\n", shardsBody), 1)
		second <- status[0]
	}()
	c.Close()
	endFirst <- struct{}{}
	if status := <-second; status != 504 {
		t.Errorf("the retry got status %d, want 504", status)
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

// TestRequestWithSameIDIsServedOnlyIfFirstWasAbandoned has a second request with the same ID wait for the end of the
// first. If the first one was answered, the second comes from a different client and is rejected. If the first one was
// abandoned, the second may come from the same client and is served.
func TestRequestWithSameIDIsServedOnlyIfFirstWasAbandoned(t *testing.T) {
	for _, abandoned := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			a := &activeQueries{byID: map[string]*activeQuery{}}
			client, disconnect := context.WithCancel(t.Context())
			defer disconnect()
			first, err := a.acquire(client, "a")
			if err != nil {
				t.Fatal(err)
			}
			second := make(chan error)
			go func() {
				_, err := a.acquire(t.Context(), "a")
				second <- err
			}()
			synctest.Wait()
			if abandoned {
				disconnect()
			}
			a.release("a", first)
			if err := <-second; (err == nil) != abandoned {
				t.Errorf("first abandoned %v: acquire for the second returned %v, want an error only if it was not abandoned", abandoned, err)
			}
		})
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
