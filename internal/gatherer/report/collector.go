package report

import (
	"sync"

	"yokeroute/gather"
	"yokeroute/internal/process"
	"yokeroute/internal/storage/formats"
	"yokeroute/internal/version"
	"yokeroute/logic/rollout"
)

// Collector counts what becomes of queries, and builds reports. It is a dispatch.DecisionObserver and a dispatch.WireObserver.
type Collector struct {
	// PolicyState returns what reports contain as Policy. It is set before the first report; nil for nothing.
	PolicyState func() any

	now         func() float64 // Unix milliseconds
	connections ConnectionCounter
	header      Document // what all reports have in common
	scoring     map[string]scoring

	mu             sync.Mutex
	classes        map[string]*ClassStats
	endpointStates map[uint32]gather.State
	files          map[string]string
	shuttingDown   bool
	claim          *rollout.Claim
	checkpoints    []checkpoint
	lastCheckpoint int
}

// ConnectionCounter counts the connections to shard servers: those open now, and all that were opened.
type ConnectionCounter interface {
	Connections() (open int, opened int64)
}

// scoring is what the value of a class's queries depends on.
type scoring struct {
	objective     float64 // milliseconds
	lateFactor    float64 // of the value, beyond the objective
	completeFrom  float64 // weight
	partialFactor float64 // of the value, for an incomplete answer
}

// NewCollector returns a collector of a gatherer by its name, settings and clock.
func NewCollector(
	name string, settings *gather.Settings, now func() float64, connections ConnectionCounter,
) *Collector {
	startedAt := now()
	c := &Collector{
		now:            now,
		connections:    connections,
		scoring:        map[string]scoring{},
		classes:        map[string]*ClassStats{},
		endpointStates: map[uint32]gather.State{},
		files:          map[string]string{},
		header: Document{
			Format:      Format,
			Name:        name,
			Zone:        settings.Zone,
			Version:     version.Name(),
			Program:     version.Program(),
			Formats:     formats.Numbers(),
			Incarnation: process.Identity(startedAt),
			StartedAt:   startedAt,
		},
	}
	for _, class := range settings.Classes {
		c.classes[class.Name] = newClassStats()
		c.scoring[class.Name] = scoring{
			objective:     class.LatencyObjective,
			lateFactor:    class.LateValue,
			completeFrom:  class.CompleteShare,
			partialFactor: class.PartialValue,
		}
	}
	return c
}

// SetFile sets the fingerprint of the file of a kind that is in force; an empty one for no file.
func (c *Collector) SetFile(kind, fingerprint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fingerprint == "" {
		delete(c.files, kind)
		return
	}
	c.files[kind] = fingerprint
}

// BeginShutdown makes reports say that the gatherer shuts down and is not ready.
func (c *Collector) BeginShutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shuttingDown = true
}

// UpdateEndpoints takes a watch event of the endpoint list.
func (c *Collector) UpdateEndpoints(list gather.EndpointList) {
	if list.Failed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if list.Full {
		clear(c.endpointStates)
	}
	for _, s := range list.Endpoints {
		if s.State == gather.Removed {
			delete(c.endpointStates, s.ID)
			continue
		}
		c.endpointStates[s.ID] = s.State
	}
}

// AcquireClaim has a rollout claim the gatherer. It returns who holds it from now on.
func (c *Collector) AcquireClaim(claim rollout.Claim) (holder rollout.Claim, granted bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	holder, granted = rollout.Grant(c.claim, claim, now)
	if granted {
		c.claim = &holder
	}
	return holder, granted
}

// ReleaseClaim releases a rollout's claim; one that is not the rollout's stays.
func (c *Collector) ReleaseClaim(runID string, fencingToken uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rollout.Release(c.claim, runID, fencingToken) {
		c.claim = nil
	}
}
