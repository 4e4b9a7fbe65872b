package service

import (
	"context"
	"errors"
	"fmt"

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
)

// reservedSockets are descriptors besides queries' connections: standard streams, listener, poller, the runtime's own,
// calls to discovery while it is silent and the ends of those before them, a file that is read again.
const reservedSockets = 20

// assembly is a gatherer while its parts are added.
type assembly struct {
	*Service
	operatorFile operator.File
	settings     *gather.Settings // the platform's; with segments those of the decisions
	names        *statedir.GathererState
	handover     *handover
	policy       *policyPart
	traces       *trace.Recorder
}

func newAssembly(c *platform.Config, own *operator.File, log *logrus.Logger) (*assembly, error) {
	a := &assembly{Service: &Service{log: log, config: c}, operatorFile: *own, settings: c.Settings}
	if a.ownedSegments() {
		if c.Settings.Shards < 1 {
			return nil, errors.New("segments: the settings don't tell how many shards there are")
		}
		a.settings = dispatch.OwnershipSettings(c.Settings, own.MaxSegments)
		if own.Plan+own.Placement != "" || len(own.TwoPhase) > 0 {
			log.Error("service: plans and two passes ignored, as segments have owners of their own")
			a.operatorFile.Plan = ""
			a.operatorFile.Placement = ""
			a.operatorFile.TwoPhase = nil
		}
	}
	a.Picker = dispatch.New(c.Seed, a.settings, log)
	return a, nil
}

// ownedSegments reports whether a map says which server owns which keys.
func (a *assembly) ownedSegments() bool { return a.operatorFile.MaxSegments > 0 }

// addNameJournal adds the journal of non-idempotent queries' names.
func (a *assembly) addNameJournal() error {
	if a.operatorFile.NameRetention <= 0 {
		return nil
	}
	names, found, err := statedir.OpenGathererState(a.operatorFile.State, int64(a.operatorFile.JournalMaxBytes), a.operatorFile.NameRetention,
		a.Picker.Now())
	if err != nil {
		return err
	}
	a.names = names
	a.Picker.SetNonIdempotentStore(names)
	a.hooks.close = append(a.hooks.close, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), storeCloseTimeout)
		defer cancel()
		if !a.Picker.CloseNonIdempotentStore(ctx) {
			a.log.Warn("state: not closed, its disk is still writing")
			return nil
		}
		if err := names.Close(); err != nil {
			return fmt.Errorf("state: %w", err)
		}
		return nil
	})
	log := a.log.WithFields(logrus.Fields{
		"folder": a.operatorFile.State, "names": found.Claims, "epoch": found.Epoch, "records": found.Records,
		"bytes": found.BytesRead, "torn": found.TornBytes, "took": found.Duration,
	})
	if found.UnknownUntil > 0 {
		log.Warn("state: recovery incomplete; repeats of non-idempotent queries fail for a while")
	} else {
		log.Info("state: recovered")
	}
	return nil
}

// shardServerSockets and clientSockets divide the sockets that the process leaves. One connection to a shard server
// carries many shard requests, one from a client a single query: a quarter is for shard servers. Clients may exceed
// their share by an eighth for a moment, and as many connections that were ended may still hold their sockets.
func shardServerSockets(l platform.Limits) int { return (l.Sockets - reservedSockets) / 4 }

func clientSockets(l platform.Limits) int {
	left := l.Sockets - reservedSockets
	return (left - left/4 - 2) * 8 / 10
}

// addShardServers adds the connections to shard servers.
func (a *assembly) addShardServers() error {
	a.pool = shardcall.New(shardcall.Config{
		Settings: a.config.Settings,
		MaxConns: shardServerSockets(a.config.Limits),
		Reporter: a.Picker,
		Log:      a.log,
	})
	a.hooks.endpoints = append(a.hooks.endpoints, func(_ gather.EndpointList, addresses []shardcall.Address) {
		a.pool.SetEndpoints(addresses)
	})
	return nil
}

// addSegments adds the map of segments, from the journal, a file and an authority.
func (a *assembly) addSegments() error {
	if !a.ownedSegments() {
		return nil
	}
	a.Picker.EnableOwnership(a.operatorFile.MaxSegments, a.settings.Shards)
	if a.names != nil && a.names.Map() != nil {
		a.Picker.SetMap(a.names.Map())
	}
	if err := a.readSegments(&a.operatorFile); err != nil {
		return err
	}
	if a.operatorFile.SegmentAuthority != "" {
		authority := segments.NewWatcher(a.operatorFile.SegmentAuthority, a.Picker, a.log)
		a.hooks.run = append(a.hooks.run, authority.Run)
	}
	a.hooks.endpoints = append(a.hooks.endpoints, func(_ gather.EndpointList, addresses []shardcall.Address) {
		names := make(map[uint32]string, len(addresses))
		for _, address := range addresses {
			names[address.ID] = address.Name
		}
		a.Picker.SetServerNames(names)
	})
	a.hooks.operatorFileRead = append(a.hooks.operatorFileRead, func(own *operator.File) error {
		own.Plan = ""
		own.Placement = ""
		return a.readSegments(own)
	})
	return nil
}

// readSegments reads the file of a map, where there is one. An older map than the one in force changes nothing;
// another one of the same epoch is a contradiction, which the picker reports.
func (a *assembly) readSegments(own *operator.File) error {
	if own.Segments == "" {
		return nil
	}
	m, _, err := segments.ReadMap(own.Segments)
	if err != nil {
		return err
	}
	a.Picker.SetMap(m)
	return nil
}

// addTwoPass adds the classes whose queries go to shard servers in two passes.
func (a *assembly) addTwoPass() error {
	classes, err := a.operatorFile.TwoPhaseSettings(a.config.Settings)
	if err != nil {
		a.log.WithError(err).Error("service: two passes rejected for some classes")
	}
	if len(classes) > 0 {
		a.Picker.EnableTwoPass(classes)
		a.pool.EnableFirstPass(a.Picker.SetAnswersFirstPass)
	}
	return nil
}

// addPicker adds the decision loop.
func (a *assembly) addPicker() error {
	a.hooks.endpoints = append(a.hooks.endpoints, func(event gather.EndpointList, _ []shardcall.Address) {
		a.Picker.UpdateEndpoints(event)
	})
	a.hooks.run = append(a.hooks.run, func(ctx context.Context) {
		for {
			orders, err := a.Picker.RunRound(ctx)
			if err != nil {
				return
			}
			a.pool.Execute(orders)
		}
	})
	return nil
}

// addPlans adds plans and placement, and the work beside queries that they need.
func (a *assembly) addPlans() error {
	keeper := plans.New(a.Picker, a.config.Settings, background.New(a.operatorFile.BackgroundShare, a.log), a.log)
	if err := keeper.Configure(&a.operatorFile); err != nil {
		a.log.WithError(err).Error("service: plan rejected; serving without")
	}
	a.hooks.run = append(a.hooks.run, keeper.Run)
	a.hooks.endpoints = append(a.hooks.endpoints, keeper.UpdateEndpoints)
	a.hooks.operatorFileRead = append(a.hooks.operatorFileRead, keeper.Configure)
	return nil
}

// addTraces adds the traces that operators look at.
func (a *assembly) addTraces() error {
	if a.operatorFile.TracesKept <= 0 {
		return nil
	}
	a.traces = trace.New(a.operatorFile.TracesKept, a.operatorFile.TraceShare)
	a.Picker.ObserveDecisions(a.traces)
	a.hooks.endpoints = append(a.hooks.endpoints, func(_ gather.EndpointList, addresses []shardcall.Address) {
		a.traces.SetServerNames(addresses)
	})
	return nil
}

// addRecord adds the record of everything, on which the rules can be checked.
func (a *assembly) addRecord() error {
	if a.operatorFile.Record == "" {
		return nil
	}
	shards := 0
	if a.ownedSegments() {
		shards = a.settings.Shards
	}
	record, err := trace.Create(trace.FileConfig{
		Name:      a.operatorFile.Record,
		MaxBytes:  int64(a.operatorFile.RecordMaxBytes),
		FlushEach: a.operatorFile.RecordUnbuffered,
		Settings:  a.config.Settings,
		Shards:    shards,
		StartedAt: a.Picker.Now(),
	})
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	a.Picker.ObserveDecisions(record)
	a.Picker.ObserveWire(record)
	a.hooks.endpoints = append(a.hooks.endpoints, func(event gather.EndpointList, _ []shardcall.Address) {
		record.UpdateEndpoints(event, a.Picker.Now())
	})
	a.hooks.close = append(a.hooks.close, func() error {
		if err := record.Close(a.Picker.Now()); err != nil {
			return fmt.Errorf("record: %w", err)
		}
		return nil
	})
	return nil
}

// addDiscovery adds the watch of the endpoint list, which begins with the list that the platform knows.
func (a *assembly) addDiscovery() error {
	watcher := discovery.New(discovery.Config{
		Address:          a.config.Discovery,
		OnChange:         a.updateEndpoints,
		RefreshRequested: a.Picker.EndpointListRequested(),
		SharedService:    a.settings.EndpointsOnRequest,
		Log:              a.log,
	})
	if known := a.config.KnownEndpoints; known != nil {
		if a.handover != nil {
			a.handover.apply(known)
		}
		watcher.Apply(known)
	}
	a.hooks.run = append(a.hooks.run, watcher.Run)
	a.hooks.platformConfigAccepted = append(a.hooks.platformConfigAccepted, func(c *platform.Config) { watcher.SetAddress(c.Discovery) })
	return nil
}

// addFrontend adds the front end. A quarter of all sockets is for connections that have sent a query, so that new ones
// find room.
func (a *assembly) addFrontend() error {
	limits := a.config.Limits
	a.server = frontend.New(frontend.Config{
		Picker:       a.Picker,
		Settings:     a.config.Settings,
		MaxConns:     clientSockets(limits),
		MaxUsedConns: limits.Sockets / 4,
		Ready:        a.listed.Load,
		Log:          a.log,
	})
	if a.traces != nil {
		a.server.Handle(trace.Path, a.traces)
	}
	return nil
}
