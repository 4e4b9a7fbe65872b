// Package shardserver is a stand-in for shard servers. It speaks the platform's frames on loopback and takes the time
// that a machine of so many cores would take, without using its CPU. It can be drained, killed, hung, slowed and made
// to fail, and counts what it received and did.
package shardserver

import (
	"fmt"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokeroute/internal/pcg"
	"yokeroute/internal/testbed/reservedport"
)

// Config describes a machine.
type Config struct {
	Cores              int
	MeanWork           float64 // milliseconds of one core that a shard request takes on average
	WorkVariation      float64 // the standard deviation of that over its mean; the distribution is lognormal
	CallWork           float64 // milliseconds of one core that a call takes besides its shard requests
	QueueLimit         int     // shard requests that may wait, 0 for no limit; further ones are rejected
	KeepsCancelledWork bool    // cancelled shard requests are executed all the same
	FirstPassWork      float64 // milliseconds of one core that a first pass's request takes; 0 without first passes
	Seed               uint64
}

// ShardRequest is one shard request of a call.
type ShardRequest struct {
	ID      string // the query's name, a dot, the shard
	Shard   int
	Payload string
}

// The kinds of events, as in the traces of rulecheck.
const (
	eventArrived = "came"
	eventRan     = "ran"
	eventStarted = "started" // of the process, without a shard request
)

// Event is something that happened at a server, for checks of what truly ran.
type Event struct {
	At   time.Time
	Kind string // came, ran or started
	ShardRequest
	FirstPass bool
	Work      float64 // milliseconds of one core
}

// Counts are the counts of a server. All but the last five count shard requests, those of first passes included.
type Counts struct {
	Requests          int // received
	Answered          int
	Rejected          int
	Failed            int
	Cancelled         int
	Wasted            int // executed without an answer
	FirstPassRequests int // received
	Calls             int // received
	Handshakes        int // received, to agree on first passes
	LoadReports       int // requested
	Connections       int // open
	ConnectionsOpened int

	WorkDone float64 // milliseconds of all cores together
}

// Latencies are kept in microseconds up to a minute.
const (
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3 // significant
)

// Server is one machine.
type Server struct {
	mu              sync.Mutex
	config          Config
	answer          func(ShardRequest) []byte
	summary         func(ShardRequest) []byte // the answer to a first pass
	port            *reservedport.Port        // its own while it is killed too
	listener        net.Listener              // nil while it is killed
	random          *pcg.Source
	conns           map[*conn]bool
	queue           []*task
	busyCores       int
	slowdown        float64 // the factor by which work takes longer
	failureShare    float64 // the share of shard requests that fail at once
	garbledShare    float64 // the share of first passes' answers that are unreadable
	draining        bool
	hung            bool
	reportsLoad     bool
	reportedLatency float64 // milliseconds
	counts          Counts
	onEvent         func(Event)
	latencies       *hdrhistogram.Histogram // from a shard request's arrival to its answer
	byOrigin        map[string]int          // shard requests by what precedes the first dash of their query's name

	running sync.WaitGroup // goroutines that accept and serve connections
}

// Start starts a machine on a free port of loopback. Answer returns the value of an executed shard request; if nil, it
// is the shard's number and the payload.
func Start(config Config, answer func(ShardRequest) []byte) (*Server, error) {
	if answer == nil {
		answer = func(r ShardRequest) []byte { return fmt.Appendf(nil, "%d:%s", r.Shard, r.Payload) }
	}
	port, err := reservedport.Reserve("127.0.0.1")
	if err != nil {
		return nil, err
	}
	s := &Server{
		config:    config,
		answer:    answer,
		summary:   func(ShardRequest) []byte { return []byte("some 1 1 v0") },
		port:      port,
		random:    pcg.New(config.Seed),
		conns:     map[*conn]bool{},
		slowdown:  1,
		latencies: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		byOrigin:  map[string]int{},
	}
	if err := s.Restart(); err != nil {
		port.Release()
		return nil, err
	}
	return s, nil
}

// Restart starts a killed machine at its old address.
func (s *Server) Restart() error {
	l, err := s.port.Listen()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	s.notify(eventStarted, ShardRequest{}, false, 0)
	s.running.Go(func() { s.accept(l) })
	return nil
}

// accept accepts connections until the listener is closed.
func (s *Server) accept(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		c := &conn{Conn: nc, server: s, tasks: map[string]*task{}}
		if !s.addConn(l, c) {
			nc.Close()
			return
		}
	}
}

// addConn has a connection served, unless the machine was killed since the connection was accepted.
func (s *Server) addConn(l net.Listener, c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != l {
		return false
	}
	s.conns[c] = true
	s.counts.ConnectionsOpened++
	s.running.Go(c.serve)
	return true
}

// Address returns the address that it listens on.
func (s *Server) Address() string { return s.port.Address() }

// Kill ends it as a process that is killed: its connections are reset and its queue is lost.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	s.listener.Close()
	s.listener = nil
	for c := range s.conns {
		ResetOnClose(c.Conn)
		c.Close()
		for _, t := range c.tasks {
			t.cancelled = true
		}
	}
	s.conns = map[*conn]bool{}
	s.queue = nil
}

// Close kills it and waits for its connections to end. Work that has started ends by itself, unanswered.
func (s *Server) Close() {
	s.Kill()
	s.running.Wait()
	s.port.Release()
}

// OnEvent sets a callback for each arrival, execution and start, in their order. It must neither block nor call the
// server.
func (s *Server) OnEvent(onEvent func(Event)) { s.update(func() { s.onEvent = onEvent }) }

// notify calls the callback for events. The lock is held.
func (s *Server) notify(kind string, r ShardRequest, firstPass bool, work float64) {
	if s.onEvent != nil {
		s.onEvent(Event{At: time.Now(), Kind: kind, ShardRequest: r, FirstPass: firstPass, Work: work})
	}
}

func (s *Server) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// Counts returns its counts since it was started first.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Connections = len(s.conns)
	return c
}

// RequestsByOrigin returns its shard requests by what precedes the first dash of their query's name.
func (s *Server) RequestsByOrigin() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.byOrigin)
}

// TakeLatencies merges the latencies of answered shard requests, in microseconds, into a histogram, and forgets them.
func (s *Server) TakeLatencies(into *hdrhistogram.Histogram) {
	s.mu.Lock()
	defer s.mu.Unlock()
	into.Merge(s.latencies)
	s.latencies.Reset()
}
