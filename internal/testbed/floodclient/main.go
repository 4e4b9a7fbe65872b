// Command floodclient is a client that floods a gatherer: many connections send requests again and again, and connect
// again as soon as they are closed. It runs as a process of its own, so that it does not slow down the clients of a
// test. It reads a flood as JSON from standard input, runs until that is closed, and writes a tally to standard output.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout         = time.Second
	redialDelay         = 20 * time.Millisecond // after a connection that was refused
	answerTimeoutFactor = 2                     // of the time in which an answer is due
	answerBytes         = 4 << 10
)

// flood describes what the clients send.
type flood struct {
	Address  string
	Clients  int
	Requests []string      // each client sends one of these
	ID       string        // replaced in each request by one of the same length
	Due      time.Duration // in which each request is owed an answer or a close

	// Pipelined clients send the next request without waiting for the answer to the one before. Only the first request
	// of a connection then counts as late.
	Pipelined bool

	// Abrupt clients close their connection as soon as they have written a request.
	Abrupt bool
}

// tally is what came of it.
type tally struct {
	Sent int64
	Late int64 // requests with neither an answer nor a close in time
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "floodclient:", err)
		os.Exit(1)
	}
}

func run() error {
	input := json.NewDecoder(os.Stdin)
	var f flood
	if err := input.Decode(&f); err != nil {
		return fmt.Errorf("read the flood: %w", err)
	}
	var sent, late atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range f.Clients {
		clients.Go(func() {
			for !closed(stop) {
				f.useConnection(f.Requests[i%len(f.Requests)], stop, &sent, &late)
			}
		})
	}
	if _, err := io.Copy(io.Discard, os.Stdin); err != nil {
		return err
	}
	close(stop)
	clients.Wait()
	return json.NewEncoder(os.Stdout).Encode(tally{sent.Load(), late.Load()})
}

// useConnection sends a request again and again on one connection, until that or stop is closed.
func (f *flood) useConnection(request string, stop <-chan struct{}, sent, late *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", f.Address, dialTimeout)
	if err != nil {
		time.Sleep(redialDelay)
		return
	}
	defer conn.Close()
	if f.Pipelined {
		f.pipeline(conn, f.numbered(request), stop, sent, late)
		return
	}
	answer := make([]byte, answerBytes)
	r := f.numbered(request)
	for !closed(stop) {
		r.setNumber(sent, len(f.ID))
		startedAt := time.Now()
		_ = conn.SetDeadline(startedAt.Add(answerTimeoutFactor * f.Due))
		_, err := conn.Write(r.text)
		n := 0
		switch {
		case err != nil:
		case f.Abrupt:
			return
		default:
			n, err = conn.Read(answer)
		}
		if time.Since(startedAt) > f.Due {
			late.Add(1)
		}
		if err != nil || bytes.Contains(answer[:n], []byte("Connection: close")) {
			return
		}
	}
}

// pipeline sends a request again and again without waiting, and discards the answers, until the connection or stop is
// closed.
func (f *flood) pipeline(conn net.Conn, r numberedRequest, stop <-chan struct{}, sent, late *atomic.Int64) {
	startedAt := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		answer := make([]byte, answerBytes)
		for first := true; ; first = false {
			_, err := conn.Read(answer)
			if first && time.Since(startedAt) > f.Due {
				late.Add(1)
			}
			if err != nil {
				conn.Close() // ends a write that waits
				return
			}
		}
	}()
	for !closed(stop) {
		r.setNumber(sent, len(f.ID))
		_ = conn.SetWriteDeadline(time.Now().Add(answerTimeoutFactor * f.Due))
		if _, err := conn.Write(r.text); err != nil {
			break
		}
	}
	conn.Close()
	<-ended
}

// numberedRequest is the text of a request, with the places at which its ID stands.
type numberedRequest struct {
	text []byte
	ids  []int
}

func (f *flood) numbered(request string) numberedRequest {
	r := numberedRequest{text: []byte(request)}
	for from := 0; f.ID != ""; {
		id := strings.Index(request[from:], f.ID)
		if id < 0 {
			break
		}
		r.ids = append(r.ids, from+id)
		from += id + len(f.ID)
	}
	return r
}

// setNumber replaces each ID in the request by a number of the same length. Each place gets a number of its own.
func (r *numberedRequest) setNumber(sent *atomic.Int64, length int) {
	for _, id := range r.ids {
		copy(r.text[id:], fmt.Sprintf("%0*x", length, sent.Add(1)))
	}
	if len(r.ids) == 0 {
		sent.Add(1)
	}
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
