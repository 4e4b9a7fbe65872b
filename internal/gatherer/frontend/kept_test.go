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

// Values that differ from run to run, which are replaced in the transcripts: the Date header, and the ports in the
// error text of package net for a body that does not arrive.
var (
	dateHeader = regexp.MustCompile(`(?m)^Date: [^\r\n]*`)
	localPort  = regexp.MustCompile(`127\.0\.0\.1:[0-9]{5}\b`)
)

// transcriptResults holds the function that decides a transcript's queries, by the transcript's name. The requests of a
// transcript that is not listed must not reach the picker.
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

// fixedResult returns a decision function that always returns the same result.
func fixedResult(result dispatch.Result) func(context.Context, *dispatch.Query) dispatch.Result {
	return func(context.Context, *dispatch.Query) dispatch.Result { return result }
}

// TestResponsesMatchTranscripts sends each stored request on a new connection and compares all bytes received with the
// stored response, except for the value of the Date header and ports.
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
			t.Parallel() // some wait for a timeout
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
				t.Errorf("received\n%q, want\n%q", got, want)
			}
			if decide == nil && len(f.picked) > 0 {
				t.Errorf("%d queries reached the picker", len(f.picked))
			}
		})
	}
	if len(unused) > 0 {
		t.Errorf("results without a transcript: %v", unused)
	}
}

// startTranscriptServer starts a server in the state that a transcript's name describes and returns its address.
func startTranscriptServer(t *testing.T, name string, f *fakePicker) string {
	const maxConns = 10
	s := newTestServer(f, maxConns, func() bool { return !strings.HasSuffix(name, "-while-not-ready") })
	switch {
	case strings.HasSuffix(name, "-while-shutting-down"):
		s.shutdown.started.Store(true)
	case strings.HasSuffix(name, "-while-crowded"):
		for range maxConns {
			s.conns.active.PushBack(nil) // in use by other clients
		}
	case name == "repeated-id":
		if err := s.active.acquire("a1"); err != nil {
			t.Fatal(err)
		}
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

// readTranscript sends a request and returns all bytes received until the server has answered and closed its side.
func readTranscript(t *testing.T, address string, request []byte) []byte {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	go c.Write(request) // the write may fail if the server responds before it has read everything
	var got bytes.Buffer
	r := bufio.NewReader(io.TeeReader(c, &got))
	method, _, _ := strings.Cut(string(request), " ")
	for range max(bytes.Count(request, []byte(" HTTP/1.")), 1) {
		resp, err := http.ReadResponse(r, &http.Request{Method: method}) // the response to a HEAD request has no body
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
	// The server closes its side now, unless it has closed it with the last response. Bytes after that one are read too.
	c.(*net.TCPConn).CloseWrite()
	if _, err := io.Copy(io.Discard, r); err != nil {
		t.Fatal(err)
	}
	return localPort.ReplaceAll(dateHeader.ReplaceAll(got.Bytes(), []byte("Date:")), []byte("127.0.0.1:PORT"))
}
