package report

import (
	"sync"

	"yokeroute/gather"
	"yokeroute/internal/process"
	"yokeroute/internal/storage/formats"
	"yokeroute/internal/version"
	"yokeroute/logic/rollout"
)

// Collector counts the results of queries and attempts, and builds reports. It implements dispatch.DecisionObserver and
// dispatch.WireObserver.
type Collector struct {
	// PolicyState returns the value of Document.Policy. It is set before the first report; if it is nil, reports contain
	// no policy.
	PolicyState func() any

	now         func() float64 // Unix milliseconds
	connections ConnectionCounter
	header      Document // fields that are the same in all reports
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

// ConnectionCounter returns the number of open connections to shard servers and the total number opened so far.
type ConnectionCounter interface {
	Connections() (open int, opened int64)
}

// scoring contains the settings by which the value of a class's queries is computed.
type scoring struct {
	objective      float64 // latency objective in milliseconds
	lateFactor     float64 // factor on the value of an answer that misses the latency objective
	completeWeight float64 // total weight of shard requests from which an answer is complete
	partialFactor  float64 // factor on the value of an incomplete answer
}

// NewCollector returns a collector for the gatherer with the given name and settings. The clock now returns Unix
// milliseconds.
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
			objective:      class.LatencyObjective,
			lateFactor:     class.LateValue,
			completeWeight: class.CompleteShare,
			partialFactor:  class.PartialValue,
		}
	}
	return c
}

// SetFile sets the fingerprint of the file of a kind that is in force. An empty fingerprint means that there is no such
// file.
func (c *Collector) SetFile(kind, fingerprint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fingerprint == "" {
		delete(c.files, kind)
		return
	}
	c.files[kind] = fingerprint
}

// BeginShutdown marks the gatherer as shutting down and not ready in all further reports.
func (c *Collector) BeginShutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shuttingDown = true
}

// UpdateEndpoints applies a watch event of the endpoint list.
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

// AcquireClaim claims the gatherer for a rollout. It returns the claim that is in force afterwards and whether the
// request was granted.
func (c *Collector) AcquireClaim(claim rollout.Claim) (holder rollout.Claim, granted bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	holder, granted = rollout.GrantClaim(c.claim, claim, now)
	if granted {
		c.claim = &holder
	}
	return holder, granted
}

// ReleaseClaim releases the claim if the rollout with this run ID and fencing token holds it.
func (c *Collector) ReleaseClaim(runID string, fencingToken uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rollout.ReleaseClaim(c.claim, runID, fencingToken) {
		c.claim = nil
	}
}
