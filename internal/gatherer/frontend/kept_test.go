package frontend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/logic/ownership"
)

// What changes from run to run, which transcripts hold without its value: the header Date, and the ports in the text
// that net gives for a body that does not come.
var (
	dateHeader = regexp.MustCompile(`(?m)^Date: [^\r\n]*`)
	localPort  = regexp.MustCompile(`127\.0\.0\.1:[0-9]{5}\b`)
)

// transcriptResults are the answers that a transcript's query gets; a request that is not listed must not reach the
// picker.
var transcriptResults = map[string]func(ctx context.Context, query *dispatch.Query) dispatch.Result{
	"served-complete": fixedResult(dispatch.Result{Kind: dispatch.Served, Complete: true,
		Hits: []dispatch.Hit{{Shard: 3, Value: []byte("5be2")}, {Shard: 9, Value: []byte("7c01")}}}),
	"served-partial": fixedResult(dispatch.Result{Kind: dispatch.Served, Hits: []dispatch.Hit{{Shard: 3, Value: []byte("5be2")}}}),
	"served-escaped": fixedResult(dispatch.Result{Kind: dispatch.Served, Complete: true,
		Hits: []dispatch.Hit{{Shard: 3, Value: []byte("a\"\\\n<&>\x01")}, {Shard: 9, Value: []byte("\xc3\xa4\xff")}}}),
	"served-keys": fixedResult(dispatch.Result{Kind: dispatch.Served, Complete: true,
		Hits: []dispatch.Hit{{Shard: 3, Value: []byte("5be2"), Keys: &ownership.Range{Lo: 1 << 60, Hi: 1<<61 - 1}}, {Shard: 9, Value: nil}}}),
	"served-empty": fixedResult(dispatch.Result{Kind: dispatch.Served, Complete: true, EmptyShards: []int{3, 9}}),
	"served-some-empty": fixedResult(dispatch.Result{Kind: dispatch.Served, Complete: true,
		Hits: []dispatch.Hit{{Shard: 9, Value: []byte("7c01")}}, EmptyShards: []int{3}}),
	"served-chunked-request": fixedResult(dispatch.Result{Kind: dispatch.Served, Complete: true, Hits: []dispatch.Hit{{Shard: 3, Value: []byte("5be2")}}}),
	"served-below-the-class": fixedResult(dispatch.Result{Kind: dispatch.Served, Complete: true, Hits: []dispatch.Hit{{Shard: 3, Value: []byte("5be2")}}}),
	"served-http-1.0":        fixedResult(dispatch.Result{Kind: dispatch.Served, Complete: true, Hits: []dispatch.Hit{{Shard: 3, Value: []byte("5be2")}}}),
	"rejected":               fixedResult(dispatch.Result{Kind: dispatch.Rejected}),
	"rejected-retry-after":   fixedResult(dispatch.Result{Kind: dispatch.Rejected, RetryAfter: 412.5}),
	"failed":                 fixedResult(dispatch.Result{Kind: dispatch.Failed}),
	"internal-error":         fixedResult(dispatch.Result{Kind: dispatch.InternalError}),
	"panicked":               func(context.Context, *dispatch.Query) dispatch.Result { panic("broken") },
	"abandoned":              fixedResult(dispatch.Result{Kind: dispatch.Abandoned}),
	"deadline-passed": func(_ context.Context, query *dispatch.Query) dispatch.Result {
		time.Sleep(time.Duration(query.Deadline-1000) * time.Millisecond)
		return dispatch.Result{Kind: dispatch.Failed}
	},
	"two-in-a-row":               fixedResult(dispatch.Result{Kind: dispatch.Failed}),
	"bad-then-served":            fixedResult(dispatch.Result{Kind: dispatch.Served, Complete: true, Hits: []dispatch.Hit{{Shard: 3, Value: []byte("5be2")}}}),
	"served-while-shutting-down": fixedResult(dispatch.Result{Kind: dispatch.Served, Complete: true, Hits: []dispatch.Hit{{Shard: 3, Value: []byte("5be2")}}}),
}

func fixedResult(v dispatch.Result) func(context.Context, *dispatch.Query) dispatch.Result {
	return func(context.Context, *dispatch.Query) dispatch.Result { return v }
}

// TestResponsesMatchTranscripts sends the bytes of each kept request over a connection of its own and compares every
// byte that comes back with those kept beside it, the value of Date aside.
func TestResponsesMatchTranscripts(t *testing.T) {
	files, err := filepath.Glob("testdata/kept/*.request")
	if err != nil || len(files) < 60 {
		t.Fatalf("%d transcripts, %v", len(files), err)
	}
	unused := map[string]bool{}
	for name := range transcriptResults {
		unused[name] = true
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".request")
		delete(unused, name)
		t.Run(name, func(t *testing.T) {
			t.Parallel() // some wait for a time-out
			request, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			decide := transcriptResults[name]
			f := &fakePicker{make(chan *dispatch.Query, 10), decide}
			got := readTranscript(t, startTranscriptServer(t, name, f), request)
			want, err := os.ReadFile(strings.TrimSuffix(file, ".request") + ".response")
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, want) {
				t.Errorf("answered\n%q, kept is\n%q", got, want)
			}
			if decide == nil && len(f.picked) > 0 {
				t.Errorf("%d queries reached the picker", len(f.picked))
			}
		})
	}
	if len(unused) > 0 {
		t.Errorf("answers without a transcript: %v", unused)
	}
}

// startTranscriptServer starts a server in the condition that a transcript's name tells and gives its address.
func startTranscriptServer(t *testing.T, name string, f *fakePicker) string {
	const clients = 10
	s := newTestServer(f, clients, func() bool { return !strings.HasSuffix(name, "-while-not-ready") })
	switch {
	case strings.HasSuffix(name, "-while-shutting-down"):
		s.shutdown.started.Store(true)
	case strings.HasSuffix(name, "-while-crowded"):
		for range clients {
			s.conns.active.PushBack(nil) // in use by others
		}
	case name == "repeated-id":
		s.active.byID["a1"] = &activeQuery{client: t.Context(), done: make(chan struct{})}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		s.http.Close()
		<-served
	})
	return l.Addr().String()
}

// readTranscript sends a request and gives every byte that comes back until the server has answered and closed its
// side.
func readTranscript(t *testing.T, address string, request []byte) []byte {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	go c.Write(request) // what is answered before all of it is read may break it off
	var got bytes.Buffer
	r := bufio.NewReader(io.TeeReader(c, &got))
	method, _, _ := strings.Cut(string(request), " ")
	for range max(bytes.Count(request, []byte(" HTTP/1.")), 1) {
		resp, err := http.ReadResponse(r, &http.Request{Method: method}) // one to HEAD has no body
		if err != nil {
			t.Fatalf("%v after %q", err, got.Bytes())
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		if resp.Close {
			break
		}
	}
	c.(*net.TCPConn).CloseWrite() // a connection that is kept open ends now; one that is not brings what it still has
	if _, err := io.Copy(io.Discard, r); err != nil {
		t.Fatal(err)
	}
	return localPort.ReplaceAll(dateHeader.ReplaceAll(got.Bytes(), []byte("Date:")), []byte("127.0.0.1:PORT"))
}
