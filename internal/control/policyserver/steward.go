package policyserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/sirupsen/logrus"

	"yokeroute/logic/policy"
)

// Steward is one that runs.
type Steward struct {
	t       *Terms
	log     *logrus.Logger
	machine *machine
	raft    atomic.Pointer[raft.Raft] // nil until it takes part
	poke    chan struct{}             // something was heard
	store   *boltdb.BoltStore
	net     *raft.NetworkTransport
	boots   *boots
	prover  *prover
	start   time.Time
	listen  net.Listener
	http    *http.Server

	mu     sync.Mutex
	leader *policy.Leader // nil while another leads
}

// stream is how stewards reach each other: by their names, which each file turns into addresses of its own.
type stream struct {
	net.Listener
	own   name
	peers map[raft.ServerAddress]string
}

// name is a steward's, as an address.
type name string

func (n name) Network() string { return "steward" }
func (n name) String() string  { return string(n) }

// Addr is the steward's own name, by which the others know it.
func (s stream) Addr() net.Addr { return s.own }

// Dial reaches a peer.
func (s stream) Dial(peer raft.ServerAddress, limit time.Duration) (net.Conn, error) {
	address, known := s.peers[peer]
	if !known {
		return nil, fmt.Errorf("no steward is named %s", peer)
	}
	return net.DialTimeout("tcp", address, limit)
}

// Open starts a steward. It listens once it returns; Run has it serve.
func Open(ctx context.Context, t *Terms, log *logrus.Logger) (_ *Steward, err error) {
	s := &Steward{t: t, log: log, machine: newMachine(t.Begins), poke: make(chan struct{}, 1), start: time.Now()}
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	if err = os.MkdirAll(t.Folder, 0o755); err != nil {
		return nil, err
	}
	if s.listen, err = net.Listen("tcp", t.Listen); err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	s.prover = newProver(func() bool { node := s.raft.Load(); return node != nil && node.State() == raft.Leader },
		func() error { return s.raft.Load().VerifyLeader().Error() })
	if s.boots, err = openBoots(t.Folder); err != nil {
		return nil, err
	}
	go s.http.Serve(s.listen)
	// Against a disk of long ago: with it this steward would vote as if it had never voted what it did.
	if err = s.boots.begin(ctx, t, log); err != nil {
		return nil, err
	}
	if s.store, err = boltdb.New(boltdb.Options{Path: filepath.Join(t.Folder, "log")}); err != nil {
		return nil, fmt.Errorf("log of policies: %w", err)
	}
	quiet := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: log.WriterLevel(logrus.WarnLevel), DisableTime: true})
	snaps, err := raft.NewFileSnapshotStoreWithLogger(t.Folder, 2, quiet)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", t.Raft)
	if err != nil {
		return nil, err
	}
	way := stream{l, name(t.Name), map[raft.ServerAddress]string{}}
	var servers []raft.Server
	for _, p := range t.Peers {
		way.peers[raft.ServerAddress(p.Name)] = p.Raft
		servers = append(servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Name)})
	}
	s.net = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: way, MaxPool: 3, Timeout: time.Duration(20 * t.Beat * 1e6), Logger: quiet})
	c := raft.DefaultConfig()
	c.LocalID, c.Logger = raft.ServerID(t.Name), quiet
	c.HeartbeatTimeout, c.ElectionTimeout = time.Duration(10*t.Beat*1e6), time.Duration(10*t.Beat*1e6)
	c.LeaderLeaseTimeout, c.CommitTimeout = time.Duration(5*t.Beat*1e6), time.Duration(min(t.Beat, 50)*1e6)
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = 2000, 500, 10*time.Second
	c.ShutdownOnRemove = false
	begun, err := raft.HasExistingState(s.store, s.store, snaps)
	if err != nil {
		return nil, err
	}
	if !begun && !t.Joins {
		if err = raft.BootstrapCluster(c, s.store, s.store, snaps, s.net, raft.Configuration{Servers: servers}); err != nil {
			return nil, err
		}
	}
	node, err := raft.NewRaft(c, s.machine, s.store, s.store, snaps, s.net)
	if err != nil {
		return nil, err
	}
	s.raft.Store(node)
	log.WithFields(logrus.Fields{"steward": t.Name, "listen": t.Listen, "raft": t.Raft}).Info("serving policies")
	return s, nil
}

// now is this steward's clock, in milliseconds.
func (s *Steward) now() float64 { return float64(time.Since(s.start)) / 1e6 }

// Run leads where it is this steward's turn, until ctx ends.
func (s *Steward) Run(ctx context.Context) error {
	defer s.Close()
	look := time.NewTicker(time.Duration(min(s.t.Lease/20, 200) * 1e6))
	defer look.Stop()
	node := s.raft.Load()
	leads := node.LeaderCh()
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { s.prover.run(ctx) })
	_, news := s.machine.now()
	for {
		select {
		case <-ctx.Done():
			s.http.Close()
			return node.Shutdown().Error()
		case <-s.poke:
		case is := <-leads:
			s.lead(is)
		case <-news:
		case <-look.C:
		}
		_, news = s.machine.now()
		s.decide()
	}
}

// lead begins to lead once all that was decided before is known here, and ends.
func (s *Steward) lead(is bool) {
	if is {
		if err := s.raft.Load().Barrier(20 * time.Duration(s.t.Beat*1e6)).Error(); err != nil {
			s.log.WithError(err).Warn("policies: elected, and no more")
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader = nil; is {
		r, _ := s.machine.now()
		s.leader = policy.NewLeader(r, s.t.Lease, s.t.Limit, s.now())
	}
	s.log.WithField("leads", is).Info("policies: the lead has moved")
}

// stir has what was heard decided on, once for all that is heard meanwhile.
func (s *Steward) stir() {
	select {
	case s.poke <- struct{}{}:
	default:
	}
}

// decide has the change that is being prepared decided or given up, where it is time.
func (s *Steward) decide() {
	s.mu.Lock()
	var c *policy.Command
	if s.leader != nil {
		s.leader.Record, _ = s.machine.now()
		c, _ = s.leader.Decide(s.now())
	}
	s.mu.Unlock()
	if c == nil {
		return
	}
	change, err := s.apply(*c)
	if err != nil {
		s.log.WithError(err).Warn("policies: the end of a change could not be put into the log")
		return
	}
	s.log.WithFields(logrus.Fields{"change": change.Number, "word": change.OutcomeReason}).Infof("policies: %s", change.Outcome)
}

// apply puts a command into the log. A policy.Refusal is the log's own word; any other error leaves open whether it
// will come to be.
func (s *Steward) apply(c policy.Command) (*policy.Change, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	f := s.raft.Load().Apply(text, time.Duration(30*s.t.Beat*1e6))
	if err := f.Error(); err != nil {
		return nil, err
	}
	r := f.Response().(result)
	return r.change, r.err
}

// Close ends all of it.
func (s *Steward) Close() {
	if s.http != nil {
		s.http.Close()
	}
	var errs []error
	if node := s.raft.Load(); node != nil {
		errs = append(errs, node.Shutdown().Error())
	}
	if s.net != nil {
		errs = append(errs, s.net.Close())
	}
	if s.store != nil {
		errs = append(errs, s.store.Close())
	}
	if s.boots != nil {
		errs = append(errs, s.boots.Close())
	}
	if s.listen != nil {
		s.listen.Close()
	}
	if err := errors.Join(errs...); err != nil {
		s.log.WithError(err).Warn("policies: ending")
	}
}
