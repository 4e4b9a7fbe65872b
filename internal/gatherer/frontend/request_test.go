package frontend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/gatherer/dispatch"
)

// TestInvalidRequestIsRejectedWithItsStatus wants a 4xx at once for each kind of invalid request and the
// connection usable afterwards; the picker gets none of them.
func TestInvalidRequestIsRejectedWithItsStatus(t *testing.T) {
	f, _, address := startServer(t, 10, nil)
	change := func(from, to string) string { return post("/find", strings.Replace(headers, from, to, 1), shardsBody) }
	body := func(from, to string) string { return post("/find", headers, strings.Replace(shardsBody, from, to, 1)) }
	for _, c := range []struct {
		name, text string
		want       int
	}{
		{"not HTTP", "hello\r\n\r\n", 400},
		{"unknown class", post("/sing", headers, shardsBody), 404},
		{"no class", post("/", headers, shardsBody), 404},
		{"GET", "GET /find HTTP/1.1\r\n" + headers + "\r\n", 405},
		{"an idempotency-keyed class", post("/mark", headers, shardsBody), 501},
		{"no id", change("X-Request-ID: a1\r\n", ""), 400},
		{"id with a space", change("a1", "a 1"), 400},
		{"id too long", change("a1", strings.Repeat("a", 200)), 400},
		{"unknown tenant", change("acme", "other"), 400},
		{"no time-out", change("X-Timeout-Ms: 480\r\n", ""), 400},
		{"time-out zero", change("480", "0"), 400},
		{"time-out negative", change("480", "-5"), 400},
		{"time-out huge", change("480", "99999999999999"), 400},
		{"time-out infinite", change("480", "Inf"), 400},
		{"time-out no number", change("480", "soon"), 400},
		{"time-out no whole number", change("480", "1e3"), 400},
		{"time-out with a sign", change("480", "+480"), 400},
		{"two time-outs", change("X-Timeout-Ms: 480", "X-Timeout-Ms: 480\r\nX-Timeout-Ms: 9"), 400},
		{"two ids", change("X-Request-ID: a1", "X-Request-ID: a1\r\nX-Request-ID: a2"), 400},
		{"id not in ASCII", change("a1", "\u00e4"), 400},
		{"no JSON", post("/find", headers, "{"), 400},
		{"no shards", post("/find", headers, `{"shards":[],"q":"x"}`), 400},
		{"no text", body(`,"q":"c41e"`, ""), 400},
		{"text no text", body(`"c41e"`, "7"), 400},
		{"no shard", body(`"shard":3,`, ""), 400},
		{"shard below zero", body(`"shard":3`, `"shard":-1`), 400},
		{"shard unknown", body(`"shard":3`, `"shard":10`), 400},
		{"shard doubled", body(`"shard":3`, `"shard":9`), 400},
		{"shard no number", body(`"shard":3`, `"shard":"x"`), 400},
		{"weight zero", body("0.5", "0"), 400},
		{"weight over one", post("/find", headers, `{"shards":[{"shard":3,"weight":1.5}],"q":"x"}`), 400},
		{"weights that fall short", body("0.5", "0.25"), 400},
		{"weights that go over", body("0.5", "0.75"), 400},
		{"cost negative", body("9000", "-1"), 400},
		{"body too large, none of it sent", "POST /find HTTP/1.1\r\n" + headers + "Content-Length: 60000000\r\n\r\n", 413},
		{"body too large", post("/find", headers, strings.Repeat(" ", maxBodyBytes)+shardsBody), 413},
		{"headers too large", change("acme", strings.Repeat("a", 2*maxHeaderBytes)), 431},
	} {
		t.Run(c.name, func(t *testing.T) {
			if status, body, _ := exchange(t, address, c.text, 1); status[0] != c.want {
				t.Errorf("status %d, %s, want %d", status[0], body, c.want)
			}
		})
	}
	// What was rounded by the client is no mistake of it.
	query := &dispatch.Query{}
	if err := (&queryLimits{}).parseBody(query, []byte(`{"shards":[{"shard":1,"weight":0.333333},{"shard":2,"weight":0.666666}],"q":"x"}`)); err != nil {
		t.Error(err)
	}
	if status, _, _ := exchange(t, address, change("480", "0")+change("480", "-1"), 2); status[1] != 400 {
		t.Errorf("status %v", status)
	}
	if len(f.picked) != 0 {
		t.Errorf("%d queries picked", len(f.picked))
	}
}

// TestQueryTextUnescapes decodes the escapes of a query's text.
func TestQueryTextUnescapes(t *testing.T) {
	got, err := queryText([]byte(`"a\u0041\""`))
	if err != nil || string(got) != `aA"` {
		t.Errorf("%q, %v", got, err)
	}
}

// TestBodySlowerThanTimeoutIsRejected sends a body that does not come within the client's own timeout.
func TestBodySlowerThanTimeoutIsRejected(t *testing.T) {
	_, _, address := startServer(t, 10, nil)
	head := strings.Replace(headers, "480", "50", 1)
	if status, _, _ := exchange(t, address, "POST /find HTTP/1.1\r\n"+head+"Content-Length: 500\r\n\r\n{", 1); status[0] != 408 {
		t.Errorf("status %v", status)
	}
}

// TestConflictingLengthsCloseConnection hides a request in the body of one that has both Content-Length and
// Transfer-Encoding: nothing on that connection is served from there on. A body of either kind alone is served,
// and so is one that comes in pieces.
func TestConflictingLengthsCloseConnection(t *testing.T) {
	f, _, address := startServer(t, 10, func(context.Context, *dispatch.Query) dispatch.Result { return dispatch.Result{Kind: dispatch.Failed} })
	hidden := post("/find", headers, shardsBody)
	for _, both := range []string{"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "transfer-encoding: chunked\r\nCONTENT-LENGTH: 4\r\n",
		"Transfer-Encoding: chunked\r\nX: y\r\nContent-Length: 0\r\n"} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		text := post("/find", headers, shardsBody) + "POST /find HTTP/1.1\r\n" + headers + both + "\r\n0\r\n\r\n" + hidden
		for _, piece := range []string{text[:120], text[120:300], text[300:]} {
			io.WriteString(c, piece)
		}
		got, _ := io.ReadAll(c) // until it is closed
		c.Close()
		if strings.Count(string(got), "HTTP/1.1 ") > 2 || !strings.Contains(string(got), "400 Bad Request") {
			t.Errorf("%q: answered %s", both, got)
		}
	}
	for len(f.picked) > 0 {
		<-f.picked // the first of each connection, unless the mark came with it
	}
	chunked := fmt.Sprintf("POST /find HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", headers, len(shardsBody), shardsBody)
	if status, _, _ := exchange(t, address, post("/find", headers, shardsBody)+chunked+hidden, 3); status[0]+status[1]+status[2] != 3*504 {
		t.Errorf("status %v", status)
	}
}

// TestSlowClientIsDisconnectedWithin3s has clients send nothing, or a part of a request. Each gets an error or a close
// within the 3 s that it is owed.
func TestSlowClientIsDisconnectedWithin3s(t *testing.T) {
	_, _, address := startServer(t, 10, nil)
	slow := strings.Replace(headers, "480", "60000", 1)
	done := make(chan string)
	texts := []string{"", "POST /find HTTP/1.1\r\nX: ", "POST /find HTTP/1.1\r\n" + slow + "Content-Length: 500\r\n\r\n{",
		"POST /sing HTTP/1.1\r\n" + slow + "Content-Length: 500\r\n\r\n{"}
	start := time.Now()
	for _, text := range texts {
		go func() {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			io.WriteString(c, text)
			c.SetReadDeadline(start.Add(3 * time.Second))
			if _, err := c.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
				done <- fmt.Sprintf("%q: %v", text, err)
			}
			done <- ""
		}()
	}
	for range texts {
		if fault := <-done; fault != "" {
			t.Error(fault)
		}
	}
}

// TestDeadlineRunsFromFirstByte has a client write its request slowly. Its timeout runs from the first byte.
func TestDeadlineRunsFromFirstByte(t *testing.T) {
	const waited = 300 * time.Millisecond
	f, s, address := startServer(t, 10, failed)
	c, _ := idleConn(t, s, address)
	<-f.picked
	conn, text := serverConn(t, s), post("/find", headers, shardsBody)
	io.WriteString(c, text[:20])
	waitUntil(t, "it waits for the rest", func() bool { return conn.arrivingFor() >= waited })
	io.WriteString(c, text[20:])
	if query, most := <-f.picked, f.Now()+480-float64(waited.Milliseconds()); query.Deadline > most {
		t.Errorf("given up at %v, the client at %v or before", query.Deadline, most)
	}
}

// TestRequestOnClosedConnectionIsAborted reads a request completely and closes its connection before it is served.
// The handler aborts: net/http's empty 200 would be a response.
func TestRequestOnClosedConnectionIsAborted(t *testing.T) {
	_, s, _ := startServer(t, 10, failed)
	conn, _ := connPair(t)
	conn.ahead.overflow = true
	defer func() {
		if fault := recover(); fault != http.ErrAbortHandler { //nolint:errorlint // net/http compares it in the same way
			t.Errorf("handled as %v", fault)
		}
	}()
	r := httptest.NewRequestWithContext(context.WithValue(t.Context(), connContextKey{}, conn), "POST", "/find", strings.NewReader(shardsBody))
	s.serveRequest(httptest.NewRecorder(), r)
	t.Error("the request was answered")
}
