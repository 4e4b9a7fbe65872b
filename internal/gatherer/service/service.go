// Package service puts the parts of a gatherer together: clients, decisions, shard servers, discovery, plans. It is
// what `yokeroute serve` runs, and what a demonstration or a test runs inside its own process.
package service

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/control/segments"
	"yokeroute/internal/gatherer/background"
	"yokeroute/internal/gatherer/discovery"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/gatherer/frontend"
	"yokeroute/internal/gatherer/plans"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/internal/gatherer/trace"
	"yokeroute/internal/storage/statedir"
	"yokeroute/logic/ownership"
)

// ownSockets are descriptors besides connections of lookups: standard streams, listener, poller, the runtime's own,
// calls to discovery while it is silent and the ends of those before them, a file that is read again.
const ownSockets = 20

// Service is one gatherer.
type Service struct {
	Picker *dispatch.Picker

	log       *logrus.Logger
	pool      *shardcall.Pool
	follower  *discovery.Watcher
	keeper    *plans.Keeper
	server    *frontend.Server
	traces    *trace.Recorder
	record    *trace.File
	ledger    *statedir.GathererState
	tells     *tells // nil where it tells nothing of itself
	handover  *handover
	governed  *governed // nil where no policy is followed
	authority *segments.Watcher
	owned     bool // a map says who owns which keys

	mu sync.Mutex
	c  *platform.Config
}

// New makes a gatherer that serves nothing yet. What of the operator's file does not fit is told in the log and left
// out: a gatherer serves without a plan rather than not at all.
func New(c *platform.Config, own *operator.File, log *logrus.Logger) (*Service, error) {
	settings := c.Settings
	if own.MaxSegments > 0 {
		if settings.Shards < 1 {
			return nil, errors.New("segments: the settings don't tell how many shards there are")
		}
		settings = dispatch.OwnershipSettings(settings, own.MaxSegments)
		if own.Plan+own.Placement != "" || len(own.TwoPhase) > 0 {
			log.Error("plans and two phases go by groups of shards and are left out where segments have owners of their own")
			own.Plan, own.Placement, own.TwoPhase = "", "", nil
		}
	}
	s := &Service{c: c, log: log, owned: own.MaxSegments > 0, Picker: dispatch.New(c.Seed, settings, log)}
	if own.NameRetention > 0 {
		ledger, found, err := statedir.OpenGathererState(own.State, int64(own.JournalMaxBytes), own.NameRetention, s.Picker.Now())
		if err != nil {
			return nil, err
		}
		s.ledger = ledger
		s.Picker.SetNonIdempotentStore(ledger)
		tell := log.WithFields(logrus.Fields{"folder": own.State, "names": found.Claims, "epoch": found.Epoch, "records": found.Records, "bytes": found.BytesRead, "torn": found.TornBytes, "took": found.Duration})
		if found.UnknownUntil > 0 {
			tell.Warn("state: what ran before may be unknown; once-only lookups that are marked as repeats are aborted for a while")
		} else {
			tell.Info("state: recovered")
		}
	}
	if own.State != "" {
		var err error
		if s.handover, err = openHandover(own.State, log); err != nil {
			return nil, err
		}
	}
	if own.MaxSegments > 0 {
		s.Picker.EnableOwnership(own.MaxSegments, settings.Shards)
		if s.ledger != nil && s.ledger.Map() != nil {
			s.Picker.SetMap(s.ledger.Map())
		}
		if own.Segments != "" {
			m, _, err := segments.ReadMap(own.Segments)
			if err != nil {
				return nil, err
			}
			s.Picker.SetMap(m)
		}
		if own.SegmentAuthority != "" {
			s.authority = segments.NewWatcher(own.SegmentAuthority, s.Picker, log)
		}
	}
	// One connection to a shard server carries many parts, one from a client a single lookup: of what the process
	// leaves of its sockets a quarter is for shard servers. Clients may pass their share by an eighth for a moment, and as
	// many that were ended may still hold theirs.
	// They get a third of all for requests; of those that have asked a quarter is kept, so that new ones find room.
	rest := c.Limits.Sockets - ownSockets
	clients := (rest - rest/4 - 2) * 8 / 10
	s.pool = shardcall.New(c.Settings, rest/4, s.Picker, log)
	marked, err := own.TwoPhaseSettings(c.Settings)
	if err != nil {
		log.WithError(err).Error("two phases refused for these indexes: one phase")
	}
	if len(marked) > 0 {
		s.Picker.EnableTwoPass(marked)
		s.pool.EnableFirstPass(s.Picker.SetAnswersFirstPass)
	}
	if own.TracesKept > 0 {
		s.traces = trace.New(own.TracesKept, own.TraceShare)
		s.Picker.ObserveDecisions(s.traces)
	}
	governed, err := govern(c, own, settings, s.Picker, log)
	if err != nil {
		return nil, err
	}
	s.governed = governed
	shards := 0
	if own.MaxSegments > 0 {
		shards = settings.Shards
	}
	if own.Record != "" {
		if s.record, err = trace.Create(trace.FileConfig{Name: own.Record, MaxBytes: int64(own.RecordMaxBytes), FlushEach: own.RecordUnbuffered, Settings: c.Settings, Shards: shards, StartedAt: s.Picker.Now()}); err != nil {
			return nil, fmt.Errorf("record: %w", err)
		}
		s.Picker.ObserveDecisions(s.record)
		s.Picker.ObserveWire(s.record)
	}
	s.keeper = plans.New(s.Picker, c.Settings, background.New(own.BackgroundShare, log), log)
	if err := s.keeper.Configure(own); err != nil { // against not serving for want of a plan
		log.WithError(err).Error("plan refused: plain turns")
	}
	var listed atomic.Bool
	if own.ReportAddress != "" {
		if s.tells, err = newTells(c, own, s.Picker, s.pool, s.governed.tells(), listed.Load, log); err != nil {
			return nil, err
		}
	}
	s.follower = discovery.New(discovery.Config{Address: c.Discovery, OnChange: func(list gather.EndpointList, all []shardcall.Address) {
		s.governed.follow(list, all)
		s.pool.SetEndpoints(all) // first, so that the module names no server whose address is not known
		if own.MaxSegments > 0 {
			names := make(map[uint32]string, len(all))
			for _, a := range all {
				names[a.ID] = a.Name
			}
			s.Picker.SetServerNames(names)
		}
		s.Picker.UpdateEndpoints(list)
		s.keeper.UpdateEndpoints(list, all)
		s.tells.follow(list)
		s.handover.follow(list, all)
		if s.traces != nil {
			s.traces.SetServerNames(all)
		}
		if s.record != nil {
			s.record.UpdateEndpoints(list, s.Picker.Now())
		}
		if len(all) > 0 {
			listed.Store(true)
		}
	}, RefreshRequested: s.Picker.EndpointListRequested(), SharedService: settings.EndpointsOnRequest, Log: log})
	if c.KnownEndpoints != nil {
		s.handover.apply(c.KnownEndpoints)
		s.follower.Apply(c.KnownEndpoints)
	}
	s.server = frontend.New(frontend.Config{Picker: s.Picker, Settings: c.Settings, MaxConns: clients, MaxUsedConns: c.Limits.Sockets / 4, Ready: listed.Load, Log: log})
	if s.traces != nil {
		s.server.Handle(trace.Path, s.traces)
	}
	return s, nil
}

// Run serves on a listener until ctx ends, and then until all that was taken is answered. An error of the listener
// ends it at once.
func (s *Service) Run(ctx context.Context, l net.Listener) error {
	// What serves goes on until the last lookup is answered, past the end of ctx.
	serving, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var wait sync.WaitGroup
	wait.Go(func() { s.follower.Run(serving) })
	wait.Go(func() { s.keeper.Run(serving) })
	wait.Go(func() { s.governed.run(serving) })
	if s.tells != nil {
		wait.Go(func() { s.tells.server.Run(serving) })
	}
	if s.authority != nil {
		wait.Go(func() { s.authority.Run(serving) })
	}
	wait.Go(func() {
		for {
			orders, err := s.Picker.RunRound(serving)
			if err != nil {
				return
			}
			s.pool.Execute(orders)
		}
	})
	failed := make(chan error, 1)
	go func() { failed <- s.server.Serve(l) }()
	select {
	case err := <-failed:
		return fmt.Errorf("listen: %w", err)
	case <-ctx.Done():
	}
	s.log.Info("leaving: answering what is held")
	s.tells.leave()
	if err := s.server.Shutdown(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	if s.record != nil {
		end()
		wait.Wait() // nothing is heard any more
		if err := s.record.Close(s.Picker.Now()); err != nil {
			return fmt.Errorf("record: %w", err)
		}
	}
	if s.ledger != nil {
		end()
		wait.Wait()
		if err := s.ledger.Close(); err != nil {
			return fmt.Errorf("state: %w", err)
		}
	}
	s.log.Info("left")
	return nil
}

// Reload takes over what of a new configuration can change under load. A faulty one changes nothing.
func (s *Service) Reload(load func() (*platform.Config, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.c
	c, err := load()
	if err != nil {
		s.log.WithError(err).Error("new configuration refused; the old one stays in force")
		return
	}
	s.c = c
	s.tells.inForce("config", c.Checksum)
	s.follower.SetAddress(c.Discovery)
	if c.Limits != old.Limits {
		Limit(c.Limits)
	}
	for key, changed := range map[string]bool{"name": c.Name != old.Name, "listen": c.Listen != old.Listen,
		"limits.sockets": c.Limits.Sockets != old.Limits.Sockets, "settings": !reflect.DeepEqual(c.Settings, old.Settings)} {
		if changed { // connections and lookups in hand go by it
			s.log.WithField("key", key).Warn("new configuration: this key counts from the next start")
		}
	}
	s.log.WithField("discovery", c.Discovery).Info("new configuration in force")
}

// Reread reads the operator's file again. A faulty one, or one that names a faulty plan, changes nothing.
func (s *Service) Reread(file string) {
	own, err := operator.Read(file)
	if err == nil && s.owned {
		own.Plan, own.Placement = "", ""
		if own.Segments != "" {
			var m *ownership.Map
			if m, _, err = segments.ReadMap(own.Segments); err == nil {
				s.Picker.SetMap(m) // an older one changes nothing, another one of the same epoch is a contradiction
			}
		}
	}
	if err == nil {
		err = s.governed.reread(own)
	}
	if err == nil {
		err = s.keeper.Configure(own)
	}
	if err != nil {
		s.log.WithError(err).Error("operator's file refused; what it said before stays in force")
		return
	}
	s.tells.files(own)
}

// Limit tells the runtime what the platform allows, against being killed for memory or throttled mid-collection.
func Limit(l platform.Limits) {
	runtime.GOMAXPROCS(max(int(math.Ceil(l.Cores)), 1))
	debug.SetMemoryLimit(int64(l.MemoryMB * (1 << 20) * 3 / 4))
}
