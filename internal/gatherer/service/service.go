// Package service assembles a gatherer from its parts: the front end, the decisions, the shard servers, discovery, and
// those that the operator's file switches on. It is what `yokeroute serve` runs, and what a demonstration or a test
// runs inside its own process.
package service

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/gatherer/frontend"
	"yokeroute/internal/gatherer/shardcall"
)

// storeCloseTimeout is for how long the end of the process waits for a write that no client waits for.
const storeCloseTimeout = 20 * time.Millisecond

// Service is one gatherer.
type Service struct {
	Picker *dispatch.Picker

	log    *logrus.Logger
	pool   *shardcall.Pool
	server *frontend.Server
	hooks  hooks
	listed atomic.Bool // the endpoint list has had an endpoint

	mu     sync.Mutex
	config *platform.Config // in force
}

// hooks are what the parts of a gatherer take part in. A part adds those that it needs, in the order in which the
// parts are assembled.
type hooks struct {
	// run serves until ctx ends. Each has a goroutine of its own, which Run waits for.
	run []func(ctx context.Context)
	// endpoints takes a watch event of the endpoint list, with the addresses of the whole list.
	endpoints []func(event gather.EndpointList, addresses []shardcall.Address)
	// platformConfigAccepted takes a platform's configuration that was accepted.
	platformConfigAccepted []func(c *platform.Config)
	// operatorFileRead takes the operator's file when it is read again. An error keeps those behind from taking it.
	operatorFileRead []func(own *operator.File) error
	// operatorFileAccepted takes an operator's file that all have accepted.
	operatorFileAccepted []func(own *operator.File)
	// draining is called once the gatherer drains.
	draining []func()
	// close gives back what the part holds, in the opposite order, after all of run have ended.
	close []func() error
}

// New assembles a gatherer that serves nothing yet. Of the operator's file, plans and two passes that do not fit are
// logged and left out: a gatherer serves without them rather than not at all. Any other error undoes what was
// assembled before it.
func New(c *platform.Config, own *operator.File, log *logrus.Logger) (*Service, error) {
	a, err := newAssembly(c, own, log)
	if err != nil {
		return nil, err
	}
	// Of the endpoint hooks the record's comes first, so that it holds no call before the news that allow it; the
	// pool's comes before the picker's, so that no server is chosen whose address is not known; those of the policy
	// come before, those of traces behind the picker's.
	for _, add := range []func() error{
		a.addNameJournal, a.addRecord, a.addShardServers, a.addSegments, a.addTwoPass, a.addPolicy, a.addPicker,
		a.addPlans, a.addReports, a.addHandover, a.addTraces, a.addDiscovery, a.addFrontend,
	} {
		if err := add(); err != nil {
			return nil, errors.Join(err, a.closeParts())
		}
	}
	return a.Service, nil
}

// Run serves on a listener until ctx ends, and then until all queries that were accepted are answered. An error of the
// listener ends it at once.
func (s *Service) Run(ctx context.Context, l net.Listener) error {
	// The parts go on until the last query is answered, past the end of ctx.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var parts sync.WaitGroup
	for _, run := range s.hooks.run {
		parts.Go(func() { run(serving) })
	}
	err := s.serve(ctx, l)
	stop()
	parts.Wait()
	if err := errors.Join(err, s.closeParts()); err != nil {
		return err
	}
	s.log.Info("service: stopped")
	return nil
}

// serve serves clients until ctx ends, and drains then.
func (s *Service) serve(ctx context.Context, l net.Listener) error {
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(l) }()
	select {
	case err := <-served:
		return fmt.Errorf("listen: %w", err)
	case <-ctx.Done():
	}
	s.log.Info("service: draining")
	for _, draining := range s.hooks.draining {
		draining()
	}
	err := s.server.Shutdown(context.WithoutCancel(ctx))
	l.Close() // by Shutdown already, unless Serve had not begun
	return errors.Join(err, <-served)
}

// closeParts gives back what the parts hold, the last one first.
func (s *Service) closeParts() error {
	var errs []error
	for i := len(s.hooks.close) - 1; i >= 0; i-- {
		errs = append(errs, s.hooks.close[i]())
	}
	return errors.Join(errs...)
}

// drainDeadline is until when the end of the process may wait for the disk: the platform kills it soon after the last
// query.
func (s *Service) drainDeadline() time.Time {
	deadline := time.Now().Add(storeCloseTimeout)
	if s.server != nil && s.server.AnswerDeadline().After(deadline) {
		return s.server.AnswerDeadline()
	}
	return deadline
}

// updateEndpoints hands a watch event of the endpoint list to the parts.
func (s *Service) updateEndpoints(event gather.EndpointList, addresses []shardcall.Address) {
	for _, update := range s.hooks.endpoints {
		update(event, addresses)
	}
	if len(addresses) > 0 {
		s.listed.Store(true)
	}
}
