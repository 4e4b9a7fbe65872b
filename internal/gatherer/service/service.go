// Package service assembles a gatherer from its parts: the front end, the decision loop, the shard server connections,
// discovery, and the optional parts that the operator's file enables. `yokeroute serve` runs it, and demonstrations and
// tests run it inside their own process.
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

// storeCloseTimeout limits how long the process waits at its end for a write that no client waits for.
const storeCloseTimeout = 20 * time.Millisecond

// Service is an assembled gatherer.
type Service struct {
	Picker *dispatch.Picker

	log    *logrus.Logger
	pool   *shardcall.Pool
	server *frontend.Server
	hooks  hooks
	listed atomic.Bool // whether the endpoint list has ever had an endpoint

	mu     sync.Mutex
	config *platform.Config // the configuration in force
}

// hooks holds the callbacks that the parts of a gatherer register. They are in the order in which the parts are
// assembled.
type hooks struct {
	// run functions serve until ctx ends. Service.Run starts each on its own goroutine and waits for them.
	run []func(ctx context.Context)
	// endpoints functions receive each watch event of the endpoint list, with the addresses of the whole list.
	endpoints []func(event gather.EndpointList, addresses []shardcall.Address)
	// platformConfigAccepted functions receive a reloaded platform configuration that was accepted.
	platformConfigAccepted []func(c *platform.Config)
	// operatorFileRead functions apply the operator's file when it is read again. After an error the remaining ones are
	// not called.
	operatorFileRead []func(operatorFile *operator.File) error
	// operatorFileAccepted functions receive a reloaded operator's file that every operatorFileRead function accepted.
	operatorFileAccepted []func(operatorFile *operator.File)
	// draining functions are called when the gatherer starts draining.
	draining []func()
	// close functions release the resources of a part. They are called in reverse order, after all run functions have
	// returned.
	close []func() error
}

// New assembles a gatherer that does not serve until Run is called. Plans and two-pass settings of the operator's file
// that are invalid are logged and left out, because serving without them is better than not serving. After any other
// error New closes the parts assembled so far.
func New(c *platform.Config, operatorFile *operator.File, log *logrus.Logger) (*Service, error) {
	a, err := newAssembly(c, operatorFile, log)
	if err != nil {
		return nil, err
	}
	// The order of the endpoint hooks matters. The record's comes first, so that the record has no call before the
	// endpoint update that allows it. The pool's comes before the picker's, so that no server is chosen whose address
	// is not known. The policy's come before the picker's, those of traces after it.
	for _, add := range []func() error{
		a.addIDJournal, a.addRecord, a.addShardServers, a.addSegments, a.addTwoPass, a.addPolicy, a.addPicker,
		a.addPlans, a.addReports, a.addHandover, a.addTraces, a.addDiscovery, a.addFrontend,
	} {
		if err := add(); err != nil {
			return nil, errors.Join(err, a.closeParts())
		}
	}
	return a.Service, nil
}

// Run serves on a listener until ctx ends, and then until all accepted queries are answered. It returns at once if the
// listener fails.
func (s *Service) Run(ctx context.Context, l net.Listener) error {
	// The parts keep running after ctx has ended, until the last query is answered.
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

// serve serves clients until ctx ends, then drains the front end.
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
	l.Close() // Shutdown has closed it already, unless Serve had not yet started
	return errors.Join(err, <-served)
}

// closeParts calls the close functions of the parts in reverse order.
func (s *Service) closeParts() error {
	var errs []error
	for i := len(s.hooks.close) - 1; i >= 0; i-- {
		errs = append(errs, s.hooks.close[i]())
	}
	return errors.Join(errs...)
}

// drainDeadline returns the time until which the end of the process may wait for the disk. The platform kills the
// process soon after the last query.
func (s *Service) drainDeadline() time.Time {
	deadline := time.Now().Add(storeCloseTimeout)
	if s.server != nil && s.server.AnswerDeadline().After(deadline) {
		return s.server.AnswerDeadline()
	}
	return deadline
}

// updateEndpoints passes a watch event of the endpoint list to the parts.
func (s *Service) updateEndpoints(event gather.EndpointList, addresses []shardcall.Address) {
	for _, update := range s.hooks.endpoints {
		update(event, addresses)
	}
	if len(addresses) > 0 {
		s.listed.Store(true)
	}
}
