// Package shardcall carries attempts to shard servers over TCP, and reports how each one ended.
//
// The frames are those of docs/sockets.md, which http.Transport cannot carry. The package decides nothing: which
// server gets an attempt, when and how often is the decision module's to say.
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
)

// defaultConnectTimeout applies where the settings have no ConnectTimeout. It also bounds the write of a cancel frame
// or a health check, which must not be without a limit.
const defaultConnectTimeout = time.Second

// Reporter takes the ends of attempts and health checks. It must not block.
type Reporter interface {
	Report(a *dispatch.Attempt, outcome gather.Outcome, value []byte)
	ReportHealthCheck(result gather.HealthCheckResult)
}

// Address is where a listed server is reached.
type Address struct {
	ID        uint32
	Name      string // by which discovery knows it
	HostPort  string
	State     gather.State
	StartedAt float64 // as in gather.Endpoint
}

// Config is what a Pool needs.
type Config struct {
	Settings *gather.Settings
	// MaxConns is how many connections there may be before one that is idle is closed for a new one.
	MaxConns int
	Reporter Reporter
	Log      *logrus.Logger
}

// Pool holds the connections to all shard servers. Its one lock is never held while a goroutine waits for the
// network.
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
	onFirstPassSupport  func(server uint32, supported bool) // nil where first passes are not used
	handshakeSlots      chan struct{}
	handshakeRetryDelay time.Duration
}

// limits are what the settings say about connections.
type limits struct {
	maxConns         int
	connectTimeout   time.Duration
	idleTimeout      time.Duration
	silenceTimeout   time.Duration // after which a connection with attempts in flight gets no new ones
	lateAnswerWindow time.Duration // in which an answer may still arrive after its attempt has ended
	drainGrace       time.Duration // after a drain is known, in which a first byte may still be written
	hedgingAllowed   bool          // two attempts of a shard request may be in flight at once
	requestsPerFrame int
	streamsPerConn   int
}

// server is a shard server and its connections that may get attempts.
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
		connectTimeout:   milliseconds(settings.ConnectTimeout),
		idleTimeout:      math.MaxInt64,
		silenceTimeout:   math.MaxInt64,
		drainGrace:       milliseconds(settings.DrainGrace),
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
	// A server closes a connection that has been idle for this time. The pool does so first, by as much as a
	// connection may take to come up, so that no frame is written into the server's close.
	if idle := milliseconds(settings.IdleTimeout); idle > 0 {
		l.idleTimeout = max(idle-l.connectTimeout, idle/2)
	}
	// A connection to a machine that has vanished stays open and silent. Only a new one shows what is there.
	if silence := dispatch.SilenceTimeout(settings); silence < maxMilliseconds {
		l.silenceTimeout = milliseconds(silence)
	}
	for i := range settings.Classes {
		l.lateAnswerWindow = max(l.lateAnswerWindow, 2*milliseconds(settings.Classes[i].Deadline))
	}
	return l
}

// maxMilliseconds is beyond what any timeout comes to, and fits into a time.Duration.
const maxMilliseconds = 1e9

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Connections returns how many connections are open, and how many were opened so far.
func (p *Pool) Connections() (open int, opened int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns, p.openedConns
}

// SetEndpoints takes over the addresses of all listed servers. Connections to servers that have left the list or have
// another address get no new attempts; those in flight may still be answered.
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

// limitWritesInProgress bounds the frames that are being written to a server that drains or is removed: one of which
// the server has not read the first byte must not begin once the drain grace is over. Half of the grace is left to
// it.
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

// retireConns leaves all connections without new attempts.
func (s *server) retireConns() {
	for _, c := range slices.Clone(s.conns) {
		c.retire(errConnRetired)
	}
}

// Execute carries out the decisions of a round. It does not wait for the network.
func (p *Pool) Execute(actions dispatch.Actions) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Ends come first, so that none of them hits a new attempt with the same ID.
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

// batch names the attempts of a round that may share frames: those to one server and of one kind of pass.
type batch struct {
	server    *server
	firstPass bool
}

// send groups new attempts into frames and leaves these for their connections.
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
			p.connFor(b.server, len(attempts)).enqueue(outgoing{attempts: attempts})
		}
	}
}

// connFor returns a connection with room for so many requests. It opens one only where none has.
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

// closeIdleConn closes one connection without attempts. Where there is none, the limit is exceeded: whether there is
// another socket is then the kernel's to say.
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
