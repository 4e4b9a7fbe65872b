package policyserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"yokeroute/internal/httpserver"
	"yokeroute/internal/millis"
	"yokeroute/logic/policy"
)

// A leader reviews the pending change at least reviewsPerLease times per lease, and at least every maxReviewInterval.
const (
	reviewsPerLease   = 20
	maxReviewInterval = 200 * time.Millisecond
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
)

// httpShutdownTimeouts are short enough that raft can shut down, too, before the process has to end.
var httpShutdownTimeouts = httpserver.Timeouts{Handshakes: 50 * time.Millisecond, Requests: time.Second}

// Server is a running policy server.
type Server struct {
	config       *Config
	log          *logrus.Logger
	startedAt    time.Time
	fsm          *stateMachine
	incarnations *incarnationStore
	verifier     *leadershipVerifier
	replica      atomic.Pointer[replica] // nil until the server takes part in the quorum
	listener     net.Listener
	http         *httpserver.Server // nil until the server listens
	changed      chan struct{}      // receives a value when the leader has handled a heartbeat

	mu     sync.Mutex
	leader *policy.Leader // nil while this server is not the leader
}

// Open starts a policy server. Once Open returns, the server listens and takes part in the quorum; Run makes it serve.
// After ErrStaleDisk it must not be started with this disk again.
func Open(ctx context.Context, c *Config, log *logrus.Logger) (*Server, error) {
	return open(ctx, c, log, httpShutdownTimeouts)
}

// open is Open with other timeouts for the shutdown of the HTTP server.
func open(ctx context.Context, c *Config, log *logrus.Logger, timeouts httpserver.Timeouts) (_ *Server, err error) {
	s := newServer(c, log)
	defer func() {
		if err != nil {
			err = errors.Join(err, s.close())
		}
	}()
	if err := os.MkdirAll(c.Folder, 0o755); err != nil {
		return nil, err
	}
	if s.listener, err = net.Listen("tcp", c.Listen); err != nil {
		return nil, err
	}
	s.http = httpserver.New(s.listener, s.newHTTPServer(), timeouts)
	if s.incarnations, err = openIncarnations(c.Folder); err != nil {
		return nil, err
	}
	s.http.Start()
	if err := s.incarnations.startIncarnation(ctx, c, log); err != nil {
		return nil, err
	}
	replica, err := openReplica(c, s.fsm, log)
	if err != nil {
		return nil, err
	}
	s.replica.Store(replica)
	fields := logrus.Fields{"server": c.Name, "listen": c.Listen, "raft": c.RaftListen}
	log.WithFields(fields).Info("policy server: started")
	return s, nil
}

func newServer(c *Config, log *logrus.Logger) *Server {
	s := &Server{
		config:    c,
		log:       log,
		startedAt: time.Now(),
		fsm:       newStateMachine(c.FirstEpoch),
		changed:   make(chan struct{}, 1),
	}
	s.verifier = newLeadershipVerifier(s.isLeader, s.verifyLeader)
	return s
}

func (s *Server) newHTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// isLeader reports whether the server is the leader according to its own state.
func (s *Server) isLeader() bool {
	r := s.replica.Load()
	return r != nil && r.State() == raft.Leader
}

// verifyLeader asks the quorum whether the server is still the leader.
func (s *Server) verifyLeader() error { return s.replica.Load().VerifyLeader().Error() }

// now returns the time since the server's start by the monotonic clock, in milliseconds.
func (s *Server) now() float64 { return millis.Of(time.Since(s.startedAt)) }

// Run serves until ctx is done, answers the requests that have arrived by then, and closes the server.
func (s *Server) Run(ctx context.Context) (err error) {
	// serving outlasts ctx until the requests that have arrived are answered.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wait sync.WaitGroup
	defer func() {
		closeErr := s.close()
		stop()
		wait.Wait()
		err = errors.Join(err, closeErr)
	}()
	wait.Go(func() { s.verifier.run(serving) })
	stopWatchingContext := context.AfterFunc(ctx, func() {
		_ = s.http.Close() // s.close returns the same error
		stop()
	})
	defer stopWatchingContext()
	review := time.NewTicker(min(s.config.Lease/reviewsPerLease, maxReviewInterval))
	defer review.Stop()
	leadership := s.replica.Load().LeaderCh()
	_, recordChanged := s.fsm.current()
	for {
		select {
		case <-serving.Done():
			return nil
		case err := <-s.http.Failed():
			return err
		case <-s.changed:
		case isLeader := <-leadership:
			s.onLeadership(serving, isLeader)
		case <-recordChanged:
		case <-review.C:
		}
		_, recordChanged = s.fsm.current()
		s.decide(serving)
	}
}

// close stops everything that Open has started, in reverse order, and waits for it to end.
func (s *Server) close() error {
	var errs []error
	if s.http != nil {
		errs = append(errs, s.http.Close())
	}
	if r := s.replica.Load(); r != nil {
		errs = append(errs, r.Close())
	}
	if s.incarnations != nil {
		errs = append(errs, s.incarnations.Close())
	}
	return errors.Join(errs...)
}
