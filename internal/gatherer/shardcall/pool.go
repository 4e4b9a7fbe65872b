// Package shardcall sends attempts to shard servers over TCP and reports the outcome of each.
//
// It uses the frames of docs/sockets.md, which http.Transport cannot carry. The package makes no decisions: the
// decision module chooses which server receives an attempt, when, and how often.
package shardcall

import (
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/millis"
)

// defaultConnectTimeout is used if the settings have no ConnectTimeout. The connect timeout also limits the write of a
// cancel frame or a health check, which must not be unlimited.
const defaultConnectTimeout = time.Second

// Reporter receives the outcomes of attempts and health checks. Its methods must not block.
type Reporter interface {
	Report(a *dispatch.Attempt, outcome gather.Outcome, value []byte)
	ReportHealthCheck(result gather.HealthCheckResult)
}

// Address holds the ID, the address and the state of a listed server.
type Address struct {
	ID        uint32
	Name      string // name in discovery
	HostPort  string
	State     gather.State
	StartedAt float64 // the same as in gather.Endpoint
}

// Config holds the parameters of a Pool.
type Config struct {
	Settings *gather.Settings
	// MaxConns is the number of open connections at which an idle one is closed before another is opened.
	MaxConns int
	Reporter Reporter
	Log      *logrus.Logger
}

// Pool holds the connections to all shard servers. Its single lock is never held during network I/O that may block.
type Pool struct {
	reporter Reporter
	log      *logrus.Logger
	limits   limits
	dial     func(address string) (net.Conn, error)

	mu                  sync.Mutex
	openConns           int
	openedConns         int64
	servers             map[uint32]*server
	attempts            map[*dispatch.Attempt]*attempt
	onFirstPassSupport  func(server uint32, supported bool) // nil if first passes are not enabled
	handshakeSlots      chan struct{}
	handshakeRetryDelay time.Duration
}

// limits holds the connection limits that follow from the settings.
type limits struct {
	maxConns       int
	connectTimeout time.Duration
	idleTimeout    time.Duration
	// silenceTimeout is how long a connection with attempts in flight may receive nothing before it gets no new
	// attempts.
	silenceTimeout time.Duration
	// lateAnswerWindow is how long an answer is expected after its attempt has ended.
	lateAnswerWindow time.Duration
	// followingWait is how long an answer waits for the bytes behind it if another response is expected.
	followingWait time.Duration
	// drainGrace is how long the first byte of a frame may still be written after a drain is known.
	drainGrace       time.Duration
	hedgingAllowed   bool // two attempts of one shard request may be in flight at the same time
	requestsPerFrame int
	streamsPerConn   int
}

// server is a shard server with the connections that may receive new attempts.
type server struct {
	Address
	conns     []*conn
	handshake *handshake
}

// New returns a pool without connections.
func New(config Config) *Pool {
	p := &Pool{
		reporter: config.Reporter,
		log:      config.Log,
		limits:   newLimits(config.Settings, config.MaxConns),
		servers:  map[uint32]*server{},
		attempts: map[*dispatch.Attempt]*attempt{},
	}
	p.dial = func(address string) (net.Conn, error) {
		return net.DialTimeout("tcp", address, p.limits.connectTimeout)
	}
	return p
}

func newLimits(settings *gather.Settings, maxConns int) limits {
	l := limits{
		maxConns:         maxConns,
		connectTimeout:   millis.Duration(settings.ConnectTimeout),
		idleTimeout:      math.MaxInt64,
		silenceTimeout:   math.MaxInt64,
		followingWait:    defaultFollowingWait,
		drainGrace:       millis.Duration(settings.DrainGrace),
		hedgingAllowed:   settings.HedgingAllowed,
		requestsPerFrame: max(settings.RequestsPerCall, 1),
		streamsPerConn:   settings.StreamsPerConnection,
	}
	if l.connectTimeout == 0 {
		l.connectTimeout = defaultConnectTimeout
	}
	if l.streamsPerConn < 1 { // unlimited
		l.streamsPerConn = math.MaxInt32
	}
	// A server closes a connection that has been idle for IdleTimeout. The pool closes it one connect timeout
	// earlier, or after half of IdleTimeout if that is later, so that no frame is written while the server closes it.
	if idle := millis.Duration(settings.IdleTimeout); idle > 0 {
		l.idleTimeout = max(idle-l.connectTimeout, idle/2)
	}
	// A connection to a machine that has vanished stays open and receives nothing. Only a new connection shows
	// whether the server can be reached.
	if silence := dispatch.SilenceTimeout(settings); silence < maxMilliseconds {
		l.silenceTimeout = millis.Duration(silence)
	}
	for i := range settings.Classes {
		l.lateAnswerWindow = max(l.lateAnswerWindow, 2*millis.Duration(settings.Classes[i].Deadline))
	}
	return l
}

// maxMilliseconds is larger than any timeout, and fits into a time.Duration.
const maxMilliseconds = 1e9

// Connections returns the number of open connections, and the number opened since the start.
func (p *Pool) Connections() (open int, opened int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns, p.openedConns
}

// SetEndpoints sets the addresses of all listed servers. Connections to servers that were removed from the list or
// have another address get no new attempts; attempts in flight may still be answered.
func (p *Pool) SetEndpoints(list []Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[uint32]bool, len(list))
	for _, address := range list {
		listed[address.ID] = true
		s := p.servers[address.ID]
		if s == nil {
			s = &server{}
			p.servers[address.ID] = s
		} else if s.HostPort != address.HostPort {
			s.retireConns()
		}
		s.Address = address
		p.limitWritesInProgress(s)
		p.startHandshake(s)
	}
	for id, s := range p.servers {
		if listed[id] && s.State != gather.Removed {
			continue
		}
		s.State = gather.Removed
		p.limitWritesInProgress(s)
		s.retireConns()
		delete(p.servers, id)
	}
}

// limitWritesInProgress limits the writes in progress to a draining or removed server to half of the drain grace. A
// frame of which the server has not read the first byte must not begin after the grace is over; the other half of the
// grace is left to the server.
func (p *Pool) limitWritesInProgress(s *server) {
	if s.State == gather.Running {
		return
	}
	deadline := time.Now().Add(p.limits.drainGrace / 2)
	for _, a := range p.attempts {
		if a.server != s || !a.inFlight() || a.written {
			continue
		}
		if c := a.conn; deadline.Before(c.writeDeadline) {
			c.writeDeadline = deadline
			setWriteDeadline(c.nc, deadline)
		}
	}
}

// retireConns excludes all connections of the server from new attempts.
func (s *server) retireConns() {
	for _, c := range slices.Clone(s.conns) {
		c.retire(errConnRetired)
	}
}

// Execute carries out the actions of a round. It does not wait for the network.
func (p *Pool) Execute(actions dispatch.Actions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Attempts are stopped and cancelled before new ones are sent, so that a new attempt with the same ID is not
	// affected.
	for _, decision := range actions.StopWriting {
		p.stopWriting(decision)
	}
	for _, decision := range actions.Cancel {
		p.cancelLocked(decision, Cancelled, errCancelled)
	}
	for _, id := range actions.CheckHealth {
		p.startHealthCheck(id)
	}
	p.send(actions.Send)
}

// batch identifies the attempts of a round that may share a frame: those to the same server, either all of a first
// pass or none.
type batch struct {
	server    *server
	firstPass bool
}

// send groups new attempts into frames and queues the frames on connections.
func (p *Pool) send(decisions []*dispatch.Attempt) {
	var order []batch
	batches := map[batch][]*attempt{}
	for _, decision := range decisions {
		a := p.newAttempt(decision)
		if a.server == nil {
			p.finish(a, &Error{NotSent, errNotListed}, nil)
			continue
		}
		b := batch{a.server, decision.FirstPass()}
		if batches[b] == nil {
			order = append(order, b)
		}
		batches[b] = append(batches[b], a)
	}
	for _, b := range order {
		for attempts := range slices.Chunk(batches[b], p.limits.requestsPerFrame) {
			p.connFor(b.server, len(attempts)).enqueue(outgoingFrame{attempts: attempts})
		}
	}
}

// connFor returns a connection with room for the given number of requests. It opens a new one only if no connection
// has room.
func (p *Pool) connFor(s *server, requests int) *conn {
	for _, c := range slices.Clone(s.conns) {
		if c.silence() > p.limits.silenceTimeout || len(c.pendingChecks) >= maxPendingChecks {
			c.retire(errConnSilent)
		}
	}
	for _, c := range s.conns {
		if c.reserved == 0 || c.reserved+requests <= p.limits.streamsPerConn {
			return c
		}
	}
	if p.openConns >= p.limits.maxConns {
		p.closeIdleConn()
	}
	c := newConn(p, s)
	s.conns = append(s.conns, c)
	p.openConns++
	p.openedConns++
	go c.run()
	return c
}

// closeIdleConn closes one connection without attempts. If there is none, the limit is exceeded, and it is up to the
// kernel whether another socket can be opened.
func (p *Pool) closeIdleConn() {
	for _, s := range p.servers {
		for _, c := range s.conns {
			if c.reserved == 0 {
				c.closeLocked(errConnIdle)
				return
			}
		}
	}
}
