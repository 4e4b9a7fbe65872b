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

// TestRepeatWaitsForAbandonedQuery has a client close its connection, which ends its query, and repeat the
// request. The repeat waits for the end of the first and is not rejected; one that waits in vain is.
func TestRepeatWaitsForAbandonedQuery(t *testing.T) {
	over := make(chan struct{}, 2)
	f, _, address := startServer(t, 10, func(ctx context.Context, query *dispatch.Query) dispatch.Result {
		if query.RouteKey == "again" {
			return dispatch.Result{Kind: dispatch.Failed}
		}
		<-ctx.Done()
		<-over
		return dispatch.Result{Kind: dispatch.Abandoned}
	})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, post("/find", headers, shardsBody))
	<-f.picked
	late := strings.Replace(headers, "480", "30", 1)
	if status, body, _ := exchange(t, address, post("/find", late, shardsBody), 1); status[0] != 409 {
		t.Errorf("one that waited in vain: %v %s", status, body)
	}
	second := make(chan int, 1)
	go func() {
		status, _, _ := exchange(t, address, post("/find", strings.Replace(headers, "480", "9000", 1)+"X-Route-Key: again\r\n", shardsBody), 1)
		second <- status[0]
	}()
	c.Close()
	over <- struct{}{}
	if status := <-second; status != 504 {
		t.Errorf("the second is answered %d", status)
	}
}

// TestIDInUseIsRejected sends a query under the ID of another client's open query.
func TestIDInUseIsRejected(t *testing.T) {
	hold := make(chan struct{})
	f, _, address := startServer(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		<-hold
		return dispatch.Result{Kind: dispatch.Failed}
	})
	first := make(chan []int, 1)
	go func() {
		status, _, _ := exchange(t, address, post("/find", headers, shardsBody), 1)
		first <- status
	}()
	<-f.picked
	if status, _, _ := exchange(t, address, post("/find", headers, shardsBody), 1); status[0] != 409 || len(f.picked) != 0 {
		t.Errorf("the second is answered %v", status)
	}
	close(hold)
	if status := <-first; status[0] != 504 {
		t.Errorf("the first is answered %v", status)
	}
}

// TestRepeatIsServedOnlyAfterAbandonment has a second request wait for the end of the first. Where that was
// answered, the second client is another one and is rejected; where it was abandoned, it may be the same client
// and is served.
func TestRepeatIsServedOnlyAfterAbandonment(t *testing.T) {
	for _, left := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			a := &activeQueries{byID: map[string]*activeQuery{}}
			client, leave := context.WithCancel(t.Context())
			defer leave()
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
			if left {
				leave()
			}
			a.release("a", first)
			if err := <-second; (err == nil) != left {
				t.Errorf("left %v: the second gets %v", left, err)
			}
		})
	}
}

// TestDisconnectBeforePickAbandonsQuery has a client go before its query is picked. Nothing is decided for it.
func TestDisconnectBeforePickAbandonsQuery(t *testing.T) {
	f, s, _ := startServer(t, 10, failed)
	ctx, leave := context.WithCancel(t.Context())
	leave()
	v, err := s.decide(ctx, &dispatch.Query{ID: "a"}, nil)
	if v.Kind != dispatch.Abandoned || err != nil || len(f.picked) > 0 {
		t.Errorf("result %+v, %v, %d picked", v, err, len(f.picked))
	}
}
