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

// reservedSockets is the number of file descriptors set aside for uses other than the connections of queries: standard
// streams, the listeners, the poller, the runtime, the record, calls to discovery and for the segment map while they are
// not answered, and a file being reloaded.
const reservedSockets = 30

// assembly holds a gatherer and the state that is needed only while its parts are added.
type assembly struct {
	*Service
	operatorFile operator.File
	settings     *gather.Settings // settings for decisions: the platform's, adapted if segments have owners
	journal      *statedir.GathererState
	handover     *handover
	policy       *policyPart
	traces       *trace.Recorder
}

func newAssembly(c *platform.Config, operatorFile *operator.File, log *logrus.Logger) (*assembly, error) {
	a := &assembly{Service: &Service{log: log, config: c}, operatorFile: *operatorFile, settings: c.Settings}
	if a.ownedSegments() {
		if c.Settings.Shards < 1 {
			return nil, errors.New("segments: settings.domain.shards is not set; a segment map needs at least 1 shard")
		}
		a.settings = dispatch.OwnershipSettings(c.Settings, operatorFile.MaxSegments)
		if operatorFile.Plan+operatorFile.Placement != "" || len(operatorFile.TwoPhase) > 0 {
			log.Error("service: plans and two-pass queries ignored; they cannot be combined with a segment map")
			a.operatorFile.Plan = ""
			a.operatorFile.Placement = ""
			a.operatorFile.TwoPhase = nil
		}
	}
	a.Picker = dispatch.New(c.Seed, a.settings, log)
	return a, nil
}

// ownedSegments reports whether a segment map assigns keys to servers.
func (a *assembly) ownedSegments() bool { return a.operatorFile.MaxSegments > 0 }

// addIDJournal adds the journal of the IDs of non-idempotent queries.
func (a *assembly) addIDJournal() error {
	if a.operatorFile.NameRetention <= 0 {
		return nil
	}
	journal, recovered, err := statedir.OpenGathererState(a.operatorFile.State,
		int64(a.operatorFile.JournalMaxBytes), a.operatorFile.NameRetention, a.Picker.Now())
	if err != nil {
		return err
	}
	a.journal = journal
	a.Picker.SetNonIdempotentStore(journal)
	a.hooks.close = append(a.hooks.close, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), storeCloseTimeout)
		defer cancel()
		if !a.Picker.CloseNonIdempotentStore(ctx) {
			a.log.Warn("state: journal not closed; the disk is still writing")
			return nil
		}
		if err := journal.Close(); err != nil {
			return fmt.Errorf("state: %w", err)
		}
		return nil
	})
	log := a.log.WithFields(logrus.Fields{
		"folder": a.operatorFile.State, "names": recovered.Claims, "epoch": recovered.Epoch, "records": recovered.Records,
		"bytes": recovered.BytesRead, "torn": recovered.TornBytes, "took": recovered.Duration,
	})
	if recovered.UnknownUntil > 0 {
		log.Warn("state: recovery incomplete; retried non-idempotent queries fail for a while")
	} else {
		log.Info("state: recovered")
	}
	return nil
}

// shardServerSockets returns the limit on connections to shard servers: a quarter of the sockets beyond
// reservedSockets. A connection to a shard server carries many shard requests, one from a client a single query.
func shardServerSockets(l platform.Limits) int { return (l.Sockets - reservedSockets) / 4 }

// addShardServers adds the connection pool for shard servers.
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

// addSegments adds the segment map, which comes from the journal, a file or a segment authority.
func (a *assembly) addSegments() error {
	if !a.ownedSegments() {
		return nil
	}
	a.Picker.EnableOwnership(a.operatorFile.MaxSegments, a.settings.Shards)
	if a.journal != nil && a.journal.Map() != nil {
		a.Picker.SetMap(a.journal.Map())
	}
	if err := a.readSegments(&a.operatorFile); err != nil {
		return err
	}
	if a.operatorFile.SegmentAuthority != "" {
		watcher := segments.NewWatcher(a.operatorFile.SegmentAuthority, a.Picker, a.log)
		a.hooks.run = append(a.hooks.run, watcher.Run)
	}
	a.hooks.endpoints = append(a.hooks.endpoints, func(_ gather.EndpointList, addresses []shardcall.Address) {
		names := make(map[uint32]string, len(addresses))
		for _, address := range addresses {
			names[address.ID] = address.Name
		}
		a.Picker.SetServerNames(names)
	})
	a.hooks.operatorFileRead = append(a.hooks.operatorFileRead, func(operatorFile *operator.File) error {
		operatorFile.Plan = ""
		operatorFile.Placement = ""
		return a.readSegments(operatorFile)
	})
	return nil
}

// readSegments reads the segment map from its file, if one is configured. A map older than the one in force is ignored;
// a different map of the same epoch is a contradiction, which the picker reports.
func (a *assembly) readSegments(operatorFile *operator.File) error {
	if operatorFile.Segments == "" {
		return nil
	}
	m, _, err := segments.ReadMap(operatorFile.Segments)
	if err != nil {
		return err
	}
	a.Picker.SetMap(m)
	return nil
}

// addTwoPass enables two-pass queries for the classes that the operator configured.
func (a *assembly) addTwoPass() error {
	classes, err := a.operatorFile.TwoPhaseSettings(a.config.Settings)
	if err != nil {
		a.log.WithError(err).Error("service: two-pass settings rejected for some classes")
	}
	if len(classes) > 0 {
		a.Picker.EnableTwoPass(classes)
		a.pool.EnableFirstPass(a.Picker.SetAnswersFirstPass)
	}
	return nil
}

// addPicker adds the decision loop, which runs rounds of decisions and executes their orders.
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

// addPlans adds plans and placement, and the background jobs that they need.
func (a *assembly) addPlans() error {
	keeper := plans.New(a.Picker, a.config.Settings, background.New(a.operatorFile.BackgroundShare, a.log), a.log)
	if err := keeper.Configure(&a.operatorFile); err != nil {
		a.log.WithError(err).Error("service: plan rejected; serving without it")
	}
	a.hooks.run = append(a.hooks.run, keeper.Run)
	a.hooks.endpoints = append(a.hooks.endpoints, keeper.UpdateEndpoints)
	a.hooks.operatorFileRead = append(a.hooks.operatorFileRead, keeper.Configure)
	return nil
}

// addTraces adds the recent query traces that operators can view, if they are enabled.
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

// addRecord adds the record of all decisions and calls, against which the rules can be checked, if it is enabled.
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

// addDiscovery adds the watch of the endpoint list. It starts with the list in the platform's configuration, if any.
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
	a.hooks.platformConfigAccepted = append(a.hooks.platformConfigAccepted, func(c *platform.Config) {
		watcher.SetAddress(c.Discovery)
	})
	return nil
}

// addFrontend adds the front end. Connections that have already carried a query may hold at most a quarter of all
// sockets, so that new connections can be accepted.
func (a *assembly) addFrontend() error {
	limits := a.config.Limits
	a.server = frontend.New(frontend.Config{
		Picker:       a.Picker,
		Settings:     a.config.Settings,
		MaxConns:     clientConns(limits, limits.Sockets),
		MaxUsedConns: limits.Sockets / 4,
		Processors:   processors(limits),
		Memory:       clientMemory(limits),
		Ready:        a.listed.Load,
		Log:          a.log,
	})
	a.hooks.platformConfigAccepted = append(a.hooks.platformConfigAccepted, func(c *platform.Config) {
		a.server.SetLimits(clientConns(c.Limits, limits.Sockets), processors(c.Limits), clientMemory(c.Limits))
	})
	if a.traces != nil {
		a.server.Handle(trace.Path, a.traces)
	}
	return nil
}
