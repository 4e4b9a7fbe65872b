package report

import (
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"sync"
	"syscall"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/process"
	"yokeroute/internal/storage/formats"
	"yokeroute/internal/version"
	"yokeroute/logic/phases"
	"yokeroute/logic/rollout"
)

// maxCheckpoints are how many a gatherer keeps; one more and the oldest is forgotten, and who asks with it gets all since the
// process' start. Each takes some kilobytes an index.
const maxCheckpoints = 8

// Collector counts what becomes of lookups. It is a pick.Tracer and a pick.Witness.
type Collector struct {
	settings    *gather.Settings
	now         func() float64
	connections Pool
	header      Document
	incarnation string
	PolicyState func() any // what the gatherer tells of the operators' policy, nil for nothing; set before the first report

	mu             sync.Mutex
	classes        map[string]*ClassStats
	scoring        map[string]scoring
	endpointStates map[uint32]gather.State
	files          map[string]string
	shuttingDown   bool
	claim          *rollout.Claim
	checkpoints    []checkpoint
	lastCheckpoint int
}

// scoring are what an index's value hangs on.
type scoring struct{ objective, lateFactor, completeFrom, partialFactor float64 }

// checkpoint is all counts at a mark.
type checkpoint struct {
	id                string
	takenAt           float64
	classes           map[string]*ClassStats
	connectionsOpened int64
	cpuTime           float64
}

// Pool tells of the connections to shard servers; package shardcall's does.
type Pool interface {
	Connections() (open int, opened int64)
}

// NewCollector makes a counter of a gatherer of that name, by its terms and clock.
func NewCollector(name string, settings *gather.Settings, now func() float64, pool Pool) *Collector {
	c := &Collector{settings: settings, now: now, connections: pool, classes: map[string]*ClassStats{}, scoring: map[string]scoring{}, endpointStates: map[uint32]gather.State{}, files: map[string]string{}}
	for _, ix := range settings.ClassNames() {
		c.classes[ix] = newClassStats()
		c.scoring[ix] = scoring{settings.Class(ix).LatencyObjective, settings.Class(ix).LateValue, settings.Class(ix).CompleteShare, settings.Class(ix).PartialValue}
	}
	at := now()
	c.incarnation = process.Name(at)
	c.header = Document{Format: Format, Name: name, Zone: settings.Zone, Version: version.Name(), Program: version.Program(), Formats: formats.Numbers(), Incarnation: c.incarnation, StartedAt: at}
	return c
}

func newClassStats() *ClassStats {
	return &ClassStats{Outcomes: map[string]int64{}, Latency: NewHistogram()}
}

// SetFile tells the fingerprint of a file that is in force from now on; an empty one for none.
func (c *Collector) SetFile(kind, fingerprint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if delete(c.files, kind); fingerprint != "" {
		c.files[kind] = fingerprint
	}
}

// BeginShutdown tells that the gatherer was asked to end.
func (c *Collector) BeginShutdown() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shuttingDown = true
}

// UpdateEndpoints takes news of the list.
func (c *Collector) UpdateEndpoints(l gather.EndpointList) {
	if l.Failed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.Full {
		clear(c.endpointStates)
	}
	for _, s := range l.Endpoints {
		if c.endpointStates[s.ID] = s.State; s.State == gather.Removed {
			delete(c.endpointStates, s.ID)
		}
	}
}

// Opened is counted by its end.
func (c *Collector) Opened(*dispatch.Lookup, *phases.Choice, float64) {}

// Sent is a decision; Written tells what went.
func (c *Collector) Sent(*dispatch.Call, float64) {}

// Closed is no end.
func (c *Collector) Closed(*dispatch.Lookup, *phases.Next, float64) {}

// Answered is counted by Ended.
func (c *Collector) Answered(*dispatch.Lookup, dispatch.Verdict, float64) {}

// Written counts a part call whose bytes go.
func (c *Collector) Written(call *dispatch.Call, _ float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ix := c.classes[call.Lookup().Index]
	if ix == nil {
		return
	}
	ix.Attempts++
	if call.Further() {
		ix.ExtraAttempts++
	}
}

// Heard counts the end of a part call.
func (c *Collector) Heard(call *dispatch.Call, outcome gather.Outcome, waited float64, _ *phases.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ix := c.classes[call.Lookup().Index]
	if ix == nil {
		return
	}
	ix.Outcomes[outcome.String()]++
	ix.AttemptTime += max(waited, 0)
}

// Ended counts a lookup.
func (c *Collector) Ended(lk *dispatch.Lookup, v dispatch.Verdict, at float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ix := c.classes[lk.Index]
	if ix == nil {
		return
	}
	of := c.scoring[lk.Index]
	ix.Queries++
	ix.ShardRequests += int64(len(lk.Parts))
	took := at - lk.Landed()
	switch v.Kind {
	case dispatch.Satisfied:
		value := 1.0
		if v.Whole {
			ix.Served++
		} else {
			ix.ServedPartly++
			value = of.partialFactor * min(answeredWeight(lk, &v)/max(of.completeFrom, 1e-9), 1)
		}
		if took <= of.objective {
			ix.WithinObjective++
		} else {
			value *= of.lateFactor
		}
		ix.EarnedValue += min(value, 1)
		ix.Latency.Record(took)
	case dispatch.Nacked:
		ix.Rejected++
	case dispatch.Aborted:
		ix.Failed++
	case dispatch.Left:
		ix.ClientGone++
	default:
		ix.InternalErrors++
	}
}

// answeredWeight is what is in of an answer in part.
func answeredWeight(lk *dispatch.Lookup, v *dispatch.Verdict) (in float64) {
	for _, pt := range lk.Parts {
		if slices.Contains(v.Empty, pt.Shard) || slices.ContainsFunc(v.Hits, func(h dispatch.Hit) bool { return h.Shard == pt.Shard }) {
			in += pt.Weight
		}
	}
	return in
}

// cloneStats is an index's counts as they stand.
func cloneStats(ix *ClassStats) *ClassStats {
	c := *ix
	c.Outcomes = maps.Clone(ix.Outcomes)
	c.Latency = NewHistogram()
	c.Latency.Merge(ix.Latency.Histogram)
	return &c
}

// subtractStats takes earlier counts away.
func subtractStats(ix, before *ClassStats) *ClassStats {
	d := cloneStats(ix)
	for _, n := range []struct {
		of *int64
		by int64
	}{{&d.Queries, before.Queries}, {&d.Served, before.Served}, {&d.ServedPartly, before.ServedPartly}, {&d.Rejected, before.Rejected}, {&d.Failed, before.Failed}, {&d.InternalErrors, before.InternalErrors},
		{&d.ClientGone, before.ClientGone}, {&d.WithinObjective, before.WithinObjective}, {&d.ShardRequests, before.ShardRequests}, {&d.Attempts, before.Attempts}, {&d.ExtraAttempts, before.ExtraAttempts}} {
		*n.of -= n.by
	}
	d.EarnedValue, d.AttemptTime = max(d.EarnedValue-before.EarnedValue, 0), max(d.AttemptTime-before.AttemptTime, 0)
	for name, n := range before.Outcomes {
		if d.Outcomes[name] -= n; d.Outcomes[name] == 0 {
			delete(d.Outcomes, name)
		}
	}
	d.Latency = NewHistogram()
	then := before.Latency.Distribution()
	for i, bar := range ix.Latency.Distribution() { // of histograms of the same bounds: the same bars
		n := bar.Count
		if i < len(then) {
			n -= then[i].Count
		}
		if n > 0 {
			d.Latency.RecordValues(bar.From, n)
		}
	}
	return d
}

// SinceCheckpoint is a report since a mark. It takes a new mark.
func (c *Collector) SinceCheckpoint(since string, ready bool) *Document {
	return c.build(since, ready, true)
}

// SinceStart is a report since the process' start that takes no mark.
func (c *Collector) SinceStart(ready bool) *Document { return c.build("", ready, false) }

func (c *Collector) build(since string, ready, mark bool) *Document {
	d := c.header
	open, opened := c.connections.Connections()
	d.ReportedAt, d.Ready, d.ResidentMemory, d.Goroutines, d.OpenConnections = c.now(), ready, process.Of(os.Getpid()).Memory*(1<<20), runtime.NumGoroutine(), open
	cpu := processCPUTime()
	if c.PolicyState != nil {
		d.Policy = c.PolicyState()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d.Files, d.ShuttingDown, d.Classes = maps.Clone(c.files), c.shuttingDown, map[string]*ClassStats{}
	d.Ready = d.Ready && !c.shuttingDown
	if c.claim != nil && c.claim.ExpiresAt > d.ReportedAt {
		held := *c.claim
		d.Claim = &held
	}
	for _, state := range c.endpointStates {
		if state == gather.Running {
			d.RunningServers++
		} else {
			d.DrainingServers++
		}
	}
	at := slices.IndexFunc(c.checkpoints, func(s checkpoint) bool { return s.id == since })
	d.ConnectionsOpened, d.CPUTime, d.Interval = opened, cpu, d.ReportedAt-c.header.StartedAt
	if at >= 0 {
		from := c.checkpoints[at]
		d.SinceCheckpoint, d.Interval, d.ConnectionsOpened, d.CPUTime = since, d.ReportedAt-from.takenAt, opened-from.connectionsOpened, max(cpu-from.cpuTime, 0)
	}
	all := make(map[string]*ClassStats, len(c.classes)) // as they stand; nobody changes them any more
	for name, ix := range c.classes {
		all[name] = cloneStats(ix)
		if d.Classes[name] = all[name]; at >= 0 {
			d.Classes[name] = subtractStats(ix, c.checkpoints[at].classes[name])
		}
	}
	if !mark {
		return &d
	}
	c.lastCheckpoint++
	d.Checkpoint = fmt.Sprintf("%s.%d", c.incarnation, c.lastCheckpoint)
	if c.checkpoints = append(c.checkpoints, checkpoint{d.Checkpoint, d.ReportedAt, all, opened, cpu}); len(c.checkpoints) > maxCheckpoints {
		c.checkpoints = slices.Delete(c.checkpoints, 0, 1)
	}
	return &d
}

// AcquireClaim has a run claim the gatherer. It gives who holds it from now on.
func (c *Collector) AcquireClaim(claim rollout.Claim) (holder rollout.Claim, granted bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if holder, granted = rollout.Grant(c.claim, claim, now); granted {
		c.claim = &holder
	}
	return holder, granted
}

// ReleaseClaim gives a claim back.
func (c *Collector) ReleaseClaim(run string, fence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rollout.Release(c.claim, run, fence) {
		c.claim = nil
	}
}

// processCPUTime is the process' CPU in milliseconds of a core.
func processCPUTime() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e6
}
