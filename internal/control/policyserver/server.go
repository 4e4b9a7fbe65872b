package policyserver

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"yokeroute/logic/policy"
)

// A leader reviews the pending change at least once in leaseReviews parts of a lease, and each maxReviewInterval.
const (
	leaseReviews      = 20
	maxReviewInterval = 200 * time.Millisecond
)

// Server is a running policy server.
type Server struct {
	config       *Config
	log          *logrus.Logger
	startedAt    time.Time
	fsm          *stateMachine
	incarnations *incarnationStore
	verifier     *leadershipVerifier
	replica      atomic.Pointer[replica] // nil until the server takes part in the quorum
	http         *httpServer
	changed      chan struct{} // signalled when the leader has handled a heartbeat

	mu     sync.Mutex
	leader *policy.Leader // nil while another server leads
}

// Open starts a policy server. It listens and takes part in the quorum once Open returns; Run makes it serve. With
// ErrStaleDisk it must not be started again from this disk.
func Open(ctx context.Context, c *Config, log *logrus.Logger) (_ *Server, err error) {
	s := newServer(c, log)
	defer func() {
		if err != nil {
			err = errors.Join(err, s.close())
		}
	}()
	if err := os.MkdirAll(c.Folder, 0o755); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	s.http = newHTTPServer(listener, s.handler())
	if s.incarnations, err = openIncarnations(c.Folder); err != nil {
		return nil, err
	}
	s.http.start()
	if err := s.incarnations.begin(ctx, c, log); err != nil {
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

// isLeader reports whether the server is the leader by its own state.
func (s *Server) isLeader() bool {
	r := s.replica.Load()
	return r != nil && r.State() == raft.Leader
}

// verifyLeader asks the quorum whether the server is still the leader.
func (s *Server) verifyLeader() error { return s.replica.Load().VerifyLeader().Error() }

// now returns the server's monotonic clock, in milliseconds.
func (s *Server) now() float64 { return milliseconds(time.Since(s.startedAt)) }

// Run serves until ctx ends, and closes the server.
func (s *Server) Run(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	defer func() {
		cancel()
		closed := s.close()
		wait.Wait()
		err = errors.Join(err, closed)
	}()
	wait.Go(func() { s.verifier.run(ctx) })
	review := time.NewTicker(min(s.config.Lease/leaseReviews, maxReviewInterval))
	defer review.Stop()
	leadership := s.replica.Load().LeaderCh()
	_, recordChanged := s.fsm.current()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-s.http.failed:
			return err
		case <-s.changed:
		case isLeader := <-leadership:
			s.onLeadership(ctx, isLeader)
		case <-recordChanged:
		case <-review.C:
		}
		_, recordChanged = s.fsm.current()
		s.decide(ctx)
	}
}

// close ends everything that Open has started, in the reverse order, and waits for it.
func (s *Server) close() error {
	var errs []error
	if s.http != nil {
		errs = append(errs, s.http.close())
	}
	if r := s.replica.Load(); r != nil {
		errs = append(errs, r.Close())
	}
	if s.incarnations != nil {
		errs = append(errs, s.incarnations.Close())
	}
	return errors.Join(errs...)
}
