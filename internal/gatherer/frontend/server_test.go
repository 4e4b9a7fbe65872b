package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
)

// fake decides what a test tells it to.
type fake struct {
	took   chan *dispatch.Query
	decide func(ctx context.Context, lk *dispatch.Query) dispatch.Result
}

func (f *fake) Now() float64 { return 1000 }

func (f *fake) Pick(ctx context.Context, lk *dispatch.Query) dispatch.Result {
	f.took <- lk
	return f.decide(ctx, lk)
}

func start(t *testing.T, clients int, decide func(context.Context, *dispatch.Query) dispatch.Result) (*fake, *Server, string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fake{make(chan *dispatch.Query, 10), decide}
	s := New(f, &gather.Settings{Shards: 10, Classes: []gather.Class{{Name: "find", Deadline: 3000.0}, {Name: "mark", Effect: gather.IdempotencyKeyed}}, Tenants: []gather.Tenant{{Name: "acme"}}}, clients, clients, func() bool { return true }, log)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() { s.http.Close() })
	return f, s, l.Addr().String()
}

const (
	headers = "Host: h\r\nX-Request-ID: a1\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: 480\r\n"
	parts   = `{"shards":[{"shard":3,"weight":0.5,"cost":9000,"key":"k"},{"shard":9,"weight":0.5}],"q":"c41e"}`
)

func post(path, head, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", path, head, len(body), body)
}

// talk sends the text and reads so many answers.
func talk(t *testing.T, address, text string, answers int) (status []int, last string, head http.Header) {
	status = make([]int, answers)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return status, "", nil
	}
	defer c.Close()
	io.WriteString(c, text)
	r := bufio.NewReader(c)
	for i := range status {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Error(err)
			return status, "", nil
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Error(err)
		}
		if resp.Close { // the client takes the word out of the headers
			resp.Header.Set("Connection", "close")
		}
		status[i], last, head = resp.StatusCode, string(body), resp.Header
	}
	return status, last, head
}

// TestBadInput wants a clear 4xx at once and the connection of use afterwards; the module hears of none.
func TestBadInput(t *testing.T) {
	f, _, address := start(t, 10, nil)
	change := func(old, new string) string { return post("/find", strings.Replace(headers, old, new, 1), parts) }
	body := func(old, new string) string { return post("/find", headers, strings.Replace(parts, old, new, 1)) }
	for _, c := range []struct {
		name, text string
		want       int
	}{
		{"not HTTP", "hello\r\n\r\n", 400},
		{"unknown index", post("/sing", headers, parts), 404},
		{"no index", post("/", headers, parts), 404},
		{"GET", "GET /find HTTP/1.1\r\n" + headers + "\r\n", 405},
		{"a mark that cannot be passed on", post("/mark", headers, parts), 501},
		{"no id", change("X-Request-ID: a1\r\n", ""), 400},
		{"id with a space", change("a1", "a 1"), 400},
		{"id too long", change("a1", strings.Repeat("a", 200)), 400},
		{"unknown customer", change("acme", "other"), 400},
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
		{"no parts", post("/find", headers, `{"shards":[],"q":"x"}`), 400},
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
		{"body too large", post("/find", headers, strings.Repeat(" ", maxBodyBytes)+parts), 413},
		{"headers too large", change("acme", strings.Repeat("a", 2*maxHeaderBytes)), 431},
	} {
		t.Run(c.name, func(t *testing.T) {
			if status, body, _ := talk(t, address, c.text, 1); status[0] != c.want {
				t.Errorf("status %d, %s, want %d", status[0], body, c.want)
			}
		})
	}
	// What was rounded by the client is no mistake of it.
	lk := &dispatch.Query{}
	if err := (&Server{}).parseBody(lk, []byte(`{"shards":[{"shard":1,"weight":0.333333},{"shard":2,"weight":0.666666}],"q":"x"}`)); err != nil {
		t.Error(err)
	}
	if status, _, _ := talk(t, address, change("480", "0")+change("480", "-1"), 2); status[1] != 400 {
		t.Errorf("status %v", status)
	}
	if len(f.took) != 0 {
		t.Errorf("%d lookups taken", len(f.took))
	}
}

// TestAnswers looks at each verdict on the wire, and at values that go out as they came.
func TestAnswers(t *testing.T) {
	hits := []dispatch.Hit{{Shard: 3, Value: []byte("5be2")}, {Shard: 9, Value: []byte("a\"\n")}}
	for _, c := range []struct {
		verdict     dispatch.Result
		status      int
		body, after string
	}{
		{dispatch.Result{Kind: dispatch.Served, Complete: true, Hits: hits[:1]}, 200, `{"complete":true,"hits":[{"shard":3,"doc":"5be2"}]}`, ""},
		{dispatch.Result{Kind: dispatch.Served, Hits: hits}, 200,
			`{"complete":false,"hits":[{"shard":3,"doc":"5be2"},{"shard":9,"doc":"a\"\n"}]}`, ""},
		{dispatch.Result{Kind: dispatch.Rejected, RetryAfter: 412.5}, 503, "nacked\n", "0.412"},
		{dispatch.Result{Kind: dispatch.Rejected}, 503, "nacked\n", ""},
		{dispatch.Result{Kind: dispatch.Failed}, 504, "aborted\n", ""},
		{dispatch.Result{Kind: dispatch.InternalError}, 500, "failed\n", ""},
	} {
		f, _, address := start(t, 10, func(context.Context, *dispatch.Query) dispatch.Result { return c.verdict })
		chunked := "POST /find/x HTTP/1.1\r\n" + headers + "X-Route-Key: rk\r\nX-Retried: 1\r\nTransfer-Encoding: chunked\r\n\r\n" +
			fmt.Sprintf("5\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", parts[:5], len(parts)-5, parts[5:])
		sent := time.Now()
		status, body, head := talk(t, address, chunked+post("/find", headers, parts), 2)
		if status[0] != c.status || status[1] != c.status || body != c.body || head.Get("Retry-After") != c.after {
			t.Errorf("%+v: %v %s %v", c.verdict, status, body, head)
		}
		lk, passed := <-f.took, float64(time.Since(sent))/1e6
		if lk.Deadline > 1480 || lk.Deadline < 1480-passed { // its time counts from its first byte
			t.Errorf("given up at %v, %v ms after it was sent", lk.Deadline, passed)
		}
		if lk.ID != "a1" || lk.Class != "find" || lk.Tenant != "acme" || lk.RouteKey != "rk" || !lk.Retried ||
			string(lk.Payload) != "c41e" || len(lk.ShardRequests) != 2 || lk.ShardRequests[0] != (dispatch.ShardRequest{Shard: 3, Weight: 0.5, Cost: 9, Key: "k"}) {
			t.Errorf("took %+v", lk)
		}
	}
}

func TestTextOfEscapes(t *testing.T) {
	got, err := queryText([]byte(`"a\u0041\""`))
	if err != nil || string(got) != `aA"` {
		t.Errorf("%q, %v", got, err)
	}
}

// TestPanic wants a request that breaks its handler answered as failed, and the next one served.
func TestPanic(t *testing.T) {
	first := true
	_, _, address := start(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		if first {
			first = false
			panic("broken")
		}
		return dispatch.Result{Kind: dispatch.Failed}
	})
	status, _, _ := talk(t, address, post("/find", headers, parts)+post("/find", headers, parts), 2)
	if status[0] != 500 || status[1] != 504 {
		t.Errorf("status %v", status)
	}
}

// TestGone wants a client that closes its connection to end its lookup. A client whose connection was closed
// under its request sends that once more: the second must wait for the end of the first, not be turned away.
func TestGone(t *testing.T) {
	over := make(chan struct{}, 2)
	f, _, address := start(t, 10, func(ctx context.Context, lk *dispatch.Query) dispatch.Result {
		if lk.RouteKey == "again" {
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
	io.WriteString(c, post("/find", headers, parts))
	<-f.took
	late := strings.Replace(headers, "480", "30", 1)
	if status, body, _ := talk(t, address, post("/find", late, parts), 1); status[0] != 409 {
		t.Errorf("one that waited in vain: %v %s", status, body)
	}
	second := make(chan int, 1)
	go func() {
		status, _, _ := talk(t, address, post("/find", strings.Replace(headers, "480", "9000", 1)+"X-Route-Key: again\r\n", parts), 1)
		second <- status[0]
	}()
	c.Close()
	over <- struct{}{}
	if status := <-second; status != 504 {
		t.Errorf("the second is answered %d", status)
	}
}

// TestSlowBody wants a body that does not come in the client's own time turned away.
func TestSlowBody(t *testing.T) {
	_, _, address := start(t, 10, nil)
	head := strings.Replace(headers, "480", "50", 1)
	if status, _, _ := talk(t, address, "POST /find HTTP/1.1\r\n"+head+"Content-Length: 500\r\n\r\n{", 1); status[0] != 408 {
		t.Errorf("status %v", status)
	}
}

// TestOpenName guards against serving a client that comes with the name of another's open lookup.
func TestOpenName(t *testing.T) {
	hold := make(chan struct{})
	f, _, address := start(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		<-hold
		return dispatch.Result{Kind: dispatch.Failed}
	})
	first := make(chan []int, 1)
	go func() {
		status, _, _ := talk(t, address, post("/find", headers, parts), 1)
		first <- status
	}()
	<-f.took
	if status, _, _ := talk(t, address, post("/find", headers, parts), 1); status[0] != 409 || len(f.took) != 0 {
		t.Errorf("the second is answered %v", status)
	}
	close(hold)
	if status := <-first; status[0] != 504 {
		t.Errorf("the first is answered %v", status)
	}
}

// TestNameAfterWait has a second request wait for the first to end. Where the first was answered its client is
// another one; where it was left the second may be the same client, whose connection was closed under it.
func TestNameAfterWait(t *testing.T) {
	for _, left := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &Server{activeQueries: map[string]*activeQuery{}}
			client, leave := context.WithCancel(t.Context())
			defer leave()
			first, err := s.acquireID(client, "a")
			if err != nil {
				t.Fatal(err)
			}
			second := make(chan error)
			go func() {
				_, err := s.acquireID(t.Context(), "a")
				second <- err
			}()
			synctest.Wait()
			if left {
				leave()
			}
			s.releaseID("a", first)
			if err := <-second; (err == nil) != left {
				t.Errorf("left %v: the second gets %v", left, err)
			}
		})
	}
}

// TestTwoLengths guards against a request that hides in the body of one that bears both lengths: nothing on that
// connection is served from there on. A body of either kind alone is fine, and so is what comes in pieces.
func TestTwoLengths(t *testing.T) {
	f, _, address := start(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		return dispatch.Result{Kind: dispatch.Failed}
	})
	hidden := post("/find", headers, parts)
	for _, both := range []string{"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "transfer-encoding: chunked\r\nCONTENT-LENGTH: 4\r\n",
		"Transfer-Encoding: chunked\r\nX: y\r\nContent-Length: 0\r\n"} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		text := post("/find", headers, parts) + "POST /find HTTP/1.1\r\n" + headers + both + "\r\n0\r\n\r\n" + hidden
		for _, piece := range []string{text[:120], text[120:300], text[300:]} {
			io.WriteString(c, piece)
		}
		got, _ := io.ReadAll(c) // until it is closed
		c.Close()
		if strings.Count(string(got), "HTTP/1.1 ") > 2 || !strings.Contains(string(got), "400 Bad Request") {
			t.Errorf("%q: answered %s", both, got)
		}
	}
	for len(f.took) > 0 {
		<-f.took // the first of each connection, unless the mark came with it
	}
	chunked := fmt.Sprintf("POST /find HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", headers, len(parts), parts)
	if status, _, _ := talk(t, address, post("/find", headers, parts)+chunked+hidden, 3); status[0]+status[1]+status[2] != 3*504 {
		t.Errorf("status %v", status)
	}
}

// TestSlow wants a client that says nothing, or half of something, out of the way within the 3 s that it is owed.
func TestSlow(t *testing.T) {
	_, _, address := start(t, 10, nil)
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
			if _, err := c.Read(make([]byte, 1)); err != nil && err != io.EOF {
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

// TestSilent guards against connections that never asked, which once crowded out all others: at the bound they go
// first, but not one on which a request waits to be read.
func TestSilent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := newConnTracker(3, 9)
	open := func(text string) (near, far net.Conn) {
		far, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		near, err = l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { far.Close(); near.Close() })
		io.WriteString(far, text)
		for text != "" && !hasUnreadBytes(near) {
			time.Sleep(time.Millisecond)
		}
		return near, far
	}
	usual, _ := open("")
	c.onStateChange(usual, http.StateNew)
	c.onStateChange(usual, http.StateActive)
	c.onStateChange(usual, http.StateIdle)
	asking, _ := open("POST ")
	c.onStateChange(asking, http.StateNew)
	silent, far := open("")
	c.onStateChange(silent, http.StateNew)
	for _, conn := range []net.Conn{asking, silent} {
		p := c.entries[conn]
		p.since = p.since.Add(-firstByteTimeout)
		c.entries[conn] = p
	}
	last, _ := open("")
	c.onStateChange(last, http.StateNew)
	far.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := far.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the silent one is still open: %v", err)
	}
	for name, conn := range map[string]net.Conn{"idle": usual, "asking": asking, "last": last} {
		if c.uncounted[conn] {
			t.Errorf("the %s one was closed", name)
		}
	}
	// Nothing is silent for long now. A client that has just come is about to ask: closed then, its request
	// fails, where one between two requests just comes again.
	next, _ := open("")
	c.onStateChange(next, http.StateNew)
	if !c.uncounted[usual] || c.uncounted[last] || c.uncounted[next] {
		t.Errorf("idle closed: %v, new ones: %v and %v", c.uncounted[usual], c.uncounted[last], c.uncounted[next])
	}
	c.onStateChange(next, http.StateActive)
	c.onStateChange(last, http.StateActive)
	c.onStateChange(asking, http.StateActive)
	var more []net.Conn // all in use: a few more may come, for an answer that says so, and then none
	for range 3 {
		near, _ := open("POST ")
		c.onStateChange(near, http.StateNew)
		c.onStateChange(near, http.StateActive)
		more = append(more, near)
	}
	if c.uncounted[more[0]] || !c.uncounted[more[1]] || !c.uncounted[more[2]] {
		t.Errorf("of three too many %v were closed", c.uncounted)
	}
}

// TestKept guards against clients that ask once and hold their connection: the share of descriptors that clients
// get was full of idle ones, and a fifth of all lookups found no way in.
func TestKept(t *testing.T) {
	c := newConnTracker(100, 10)
	var all []net.Conn
	for range 50 {
		near, _ := net.Pipe()
		c.onStateChange(near, http.StateNew)
		c.onStateChange(near, http.StateActive)
		c.onStateChange(near, http.StateIdle)
		all = append(all, near)
	}
	if c.open != 10 || c.idle.Len() != 10 || !c.uncounted[all[39]] || c.uncounted[all[40]] {
		t.Errorf("%d open, %d idle", c.open, c.idle.Len())
	}
}

// TestCrowd wants the connection idle longest closed at the bound and no longer counted from then on, before its
// own goroutine has noticed: counted on, it had new clients nacked.
func TestCrowd(t *testing.T) {
	c := newConnTracker(2, 2)
	var far []net.Conn
	open := func() net.Conn {
		near, other := net.Pipe()
		far = append(far, other)
		c.onStateChange(near, http.StateNew)
		c.onStateChange(near, http.StateActive)
		return near
	}
	a, b := open(), open()
	c.onStateChange(a, http.StateIdle)
	c.onStateChange(b, http.StateIdle)
	d := open()
	if _, err := far[0].Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the one idle longest is not closed: %v", err)
	}
	if c.overloaded() {
		t.Error("crowded, though one was closed")
	}
	c.onStateChange(a, http.StateClosed)
	c.onStateChange(b, http.StateActive)
	open()
	if !c.overloaded() {
		t.Error("three in use are not above two")
	}
	c.onStateChange(d, http.StateIdle)
	if c.overloaded() || len(c.uncounted) != 1 {
		t.Error("one that fell idle was not closed")
	}
}

// TestCrowded wants a client that comes while all others are busy nacked and sent away, not left waiting.
func TestCrowded(t *testing.T) {
	hold := make(chan struct{})
	f, _, address := start(t, 1, func(context.Context, *dispatch.Query) dispatch.Result {
		<-hold
		return dispatch.Result{Kind: dispatch.Failed}
	})
	first := make(chan []int, 1)
	go func() {
		status, _, _ := talk(t, address, post("/find", headers, parts), 1)
		first <- status
	}()
	<-f.took
	if status, _, head := talk(t, address, post("/find", headers, parts), 1); status[0] != 503 || head.Get("Connection") != "close" {
		t.Errorf("status %v, %v", status, head)
	}
	close(hold)
	if status := <-first; status[0] != 504 {
		t.Errorf("the first is answered %v", status)
	}
}

// TestShutdown follows a planned restart: what is held is answered, what comes late on new connections is taken,
// and clients are asked to go.
func TestShutdown(t *testing.T) {
	hold := make(chan struct{})
	f, s, address := start(t, 10, func(context.Context, *dispatch.Query) dispatch.Result {
		<-hold
		return dispatch.Result{Kind: dispatch.Failed}
	})
	early := make(chan http.Header, 1)
	go func() {
		_, _, head := talk(t, address, post("/find", headers, parts), 1)
		early <- head
	}()
	<-f.took
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(t.Context()) }()
	for !s.shuttingDown.Load() {
		time.Sleep(time.Millisecond)
	}
	if status, _, _ := talk(t, address, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n", 1); status[0] != 503 {
		t.Errorf("ready says %v", status)
	}
	late := make(chan http.Header, 1)
	go func() {
		_, _, head := talk(t, address, post("/find", strings.Replace(headers, "a1", "a2", 1), parts), 1)
		late <- head
	}()
	<-f.took
	close(hold)
	for _, head := range []http.Header{<-early, <-late} {
		if head.Get("Connection") != "close" {
			t.Errorf("headers %v", head)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", address); err == nil {
		t.Error("still listening")
	}
}
