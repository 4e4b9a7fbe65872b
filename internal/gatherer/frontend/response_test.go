package frontend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"yokeroute/internal/gatherer/dispatch"
)

// TestResponseToEachResultIsUnchanged checks the response to each kind of result, with values forwarded byte for byte,
// and that queries are parsed correctly.
func TestResponseToEachResultIsUnchanged(t *testing.T) {
	hits := []dispatch.Hit{{Shard: 3, Value: []byte("5be2")}, {Shard: 9, Value: []byte("a\"\n")}}
	for _, c := range []struct {
		result           dispatch.Result
		status           int
		body, retryAfter string
	}{
		{dispatch.Result{Kind: dispatch.Served, Complete: true, Hits: hits[:1]}, 200, `{"complete":true,"hits":[{"shard":3,"doc":"5be2"}]}`, ""},
		{dispatch.Result{Kind: dispatch.Served, Hits: hits}, 200,
			`{"complete":false,"hits":[{"shard":3,"doc":"5be2"},{"shard":9,"doc":"a\"\n"}]}`, ""},
		{dispatch.Result{Kind: dispatch.Rejected, RetryAfter: 412.5}, 503, "nacked\n", "0.412"},
		{dispatch.Result{Kind: dispatch.Rejected}, 503, "nacked\n", ""},
		{dispatch.Result{Kind: dispatch.Failed}, 504, "aborted\n", ""},
		{dispatch.Result{Kind: dispatch.InternalError}, 500, "failed\n", ""},
	} {
		f, _, address := startServer(t, 10, func(context.Context, *dispatch.Query) dispatch.Result { return c.result })
		chunked := "POST /find/x HTTP/1.1\r\n" + headers + "X-Route-Key: rk\r\nX-Retried: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
			fmt.Sprintf("5\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", shardsBody[:5], len(shardsBody)-5, shardsBody[5:])
		sent := time.Now()
		status, body, head := exchange(t, address, chunked+post("/find", headers, shardsBody), 2)
		if status[0] != c.status || status[1] != c.status || body != c.body || head.Get("Retry-After") != c.retryAfter {
			t.Errorf("%+v: statuses %v, body %s, header %v", c.result, status, body, head)
		}
		query, elapsed := <-f.picked, float64(time.Since(sent))/1e6
		if query.Deadline > 1480 || query.Deadline < 1480-elapsed { // the timeout runs from the first byte
			t.Errorf("deadline %v, %v ms after the request was sent, want 480 ms after its first byte", query.Deadline, elapsed)
		}
		if query.ID != "a1" || query.Class != "find" || query.Tenant != "acme" || query.RouteKey != "rk" || !query.Retried ||
			string(query.Payload) != "c41e" || len(query.ShardRequests) != 2 || query.ShardRequests[0] != (dispatch.ShardRequest{Shard: 3, Weight: 0.5, Cost: 9, Key: "k"}) {
			t.Errorf("picked an unexpected query %+v", query)
		}
	}
}

// TestPanicIsAnsweredWith500 has the picker panic. The request is answered with 500, and the next one on the connection
// is served.
func TestPanicIsAnsweredWith500(t *testing.T) {
	first := true
	_, _, address := startServer(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		if first {
			first = false
			panic("broken")
		}
		return dispatch.Result{Kind: dispatch.Failed}
	})
	status, _, _ := exchange(t, address, post("/find", headers, shardsBody)+post("/find", headers, shardsBody), 2)
	if status[0] != 500 || status[1] != 504 {
		t.Errorf("statuses %v, want 500 and 504", status)
	}
}
