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
	"yokeroute/logic/rollout"
	"yokeroute/logic/twopass"
)

// marks are how many a gatherer keeps; one more and the oldest is forgotten, and who asks with it gets all since the
// process' start. Each takes some kilobytes an index.
const marks = 8

// Counter counts what becomes of lookups. It is a pick.Tracer and a pick.Witness.
type Counter struct {
	settings *gather.Settings
	now      func() float64
	pool     Pool
	head     Document
	process  string
	Policy   func() any // what the gatherer tells of the operators' policy, nil for nothing; set before the first report

	mu       sync.Mutex
	indexes  map[string]*Index
	limits   map[string]limits
	states   map[uint32]gather.State
	files    map[string]string
	leaving  bool
	claim    *rollout.Claim
	snaps    []snapshot
	sequence int
}

// limits are what an index's value hangs on.
type limits struct{ soft, late, whole, partial float64 }

// snapshot is all counts at a mark.
type snapshot struct {
	mark    string
	at      float64
	indexes map[string]*Index
	opened  int64
	cpu     float64
}

// Pool tells of the connections to shard servers; package shardcall's does.
type Pool interface {
	Connections() (open int, opened int64)
}

// NewCounter makes a counter of a gatherer of that name, by its terms and clock.
func NewCounter(name string, settings *gather.Settings, now func() float64, pool Pool) *Counter {
	c := &Counter{settings: settings, now: now, pool: pool, indexes: map[string]*Index{}, limits: map[string]limits{}, states: map[uint32]gather.State{}, files: map[string]string{}}
	for _, ix := range settings.ClassNames() {
		c.indexes[ix] = newIndex()
		c.limits[ix] = limits{settings.Class(ix).LatencyObjective, settings.Class(ix).LateValue, settings.Class(ix).CompleteShare, settings.Class(ix).PartialValue}
	}
	at := now()
	c.process = process.Identity(at)
	c.head = Document{Form: Form, Name: name, Zone: settings.Zone, Version: version.Name(), Program: version.Program(), Formats: formats.Numbers(), Process: c.process, Started: at}
	return c
}

func newIndex() *Index { return &Index{Outcomes: map[string]int64{}, Took: NewHistogram()} }

// InForce tells the fingerprint of a file that is in force from now on; an empty one for none.
func (c *Counter) InForce(kind, fingerprint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if delete(c.files, kind); fingerprint != "" {
		c.files[kind] = fingerprint
	}
}

// Leave tells that the gatherer was asked to end.
func (c *Counter) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}

// Follow takes news of the list.
func (c *Counter) Follow(l gather.EndpointList) {
	if l.Failed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.Full {
		clear(c.states)
	}
	for _, s := range l.Endpoints {
		if c.states[s.ID] = s.State; s.State == gather.Removed {
			delete(c.states, s.ID)
		}
	}
}

// QueryAdmitted is counted by its end.
func (c *Counter) QueryAdmitted(*dispatch.Query, *twopass.Decision, float64) {}

// AttemptDecided is a decision; Written tells what went.
func (c *Counter) AttemptDecided(*dispatch.Attempt, float64) {}

// FirstPassEnded is no end.
func (c *Counter) FirstPassEnded(*dispatch.Query, *twopass.Plan, float64) {}

// QueryAnswered is counted by Ended.
func (c *Counter) QueryAnswered(*dispatch.Query, dispatch.Result, float64) {}

// AttemptWritten counts a part call whose bytes go.
func (c *Counter) AttemptWritten(call *dispatch.Attempt, _ float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ix := c.indexes[call.Query().Class]
	if ix == nil {
		return
	}
	ix.Calls++
	if call.UsesRetryBudget() {
		ix.Further++
	}
}

// AttemptEnded counts the end of a part call.
func (c *Counter) AttemptEnded(call *dispatch.Attempt, outcome gather.Outcome, waited float64, _ *twopass.Summary) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ix := c.indexes[call.Query().Class]
	if ix == nil {
		return
	}
	ix.Outcomes[outcome.String()]++
	ix.Waited += max(waited, 0)
}

// QueryDecided counts a lookup.
func (c *Counter) QueryDecided(lk *dispatch.Query, v dispatch.Result, at float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ix := c.indexes[lk.Class]
	if ix == nil {
		return
	}
	of := c.limits[lk.Class]
	ix.Ended++
	ix.Parts += int64(len(lk.ShardRequests))
	took := at - lk.AdmittedAt()
	switch v.Kind {
	case dispatch.Served:
		value := 1.0
		if v.Complete {
			ix.Satisfied++
		} else {
			ix.Partial++
			value = of.partial * min(weight(lk, &v)/max(of.whole, 1e-9), 1)
		}
		if took <= of.soft {
			ix.InAim++
		} else {
			value *= of.late
		}
		ix.Value += min(value, 1)
		ix.Took.Add(took)
	case dispatch.Rejected:
		ix.Nacked++
	case dispatch.Failed:
		ix.Aborted++
	case dispatch.Abandoned:
		ix.Left++
	default:
		ix.Broken++
	}
}

// weight is what is in of an answer in part.
func weight(lk *dispatch.Query, v *dispatch.Result) (in float64) {
	for _, pt := range lk.ShardRequests {
		if slices.Contains(v.EmptyShards, pt.Shard) || slices.ContainsFunc(v.Hits, func(h dispatch.Hit) bool { return h.Shard == pt.Shard }) {
			in += pt.Weight
		}
	}
	return in
}

// copyOf is an index's counts as they stand.
func copyOf(ix *Index) *Index {
	c := *ix
	c.Outcomes = maps.Clone(ix.Outcomes)
	c.Took = NewHistogram()
	c.Took.Merge(ix.Took.Histogram)
	return &c
}

// less takes earlier counts away.
func less(ix, before *Index) *Index {
	d := copyOf(ix)
	for _, n := range []struct {
		of *int64
		by int64
	}{{&d.Ended, before.Ended}, {&d.Satisfied, before.Satisfied}, {&d.Partial, before.Partial}, {&d.Nacked, before.Nacked}, {&d.Aborted, before.Aborted}, {&d.Broken, before.Broken},
		{&d.Left, before.Left}, {&d.InAim, before.InAim}, {&d.Parts, before.Parts}, {&d.Calls, before.Calls}, {&d.Further, before.Further}} {
		*n.of -= n.by
	}
	d.Value, d.Waited = max(d.Value-before.Value, 0), max(d.Waited-before.Waited, 0)
	for name, n := range before.Outcomes {
		if d.Outcomes[name] -= n; d.Outcomes[name] == 0 {
			delete(d.Outcomes, name)
		}
	}
	d.Took = NewHistogram()
	then := before.Took.Distribution()
	for i, bar := range ix.Took.Distribution() { // of histograms of the same bounds: the same bars
		n := bar.Count
		if i < len(then) {
			n -= then[i].Count
		}
		if n > 0 {
			d.Took.RecordValues(bar.From, n)
		}
	}
	return d
}

// Document is a report since a mark. It takes a new mark.
func (c *Counter) Document(since string, ready bool) *Document { return c.document(since, ready, true) }

// Peek is a report since the process' start that takes no mark.
func (c *Counter) Peek(ready bool) *Document { return c.document("", ready, false) }

func (c *Counter) document(since string, ready, mark bool) *Document {
	d := c.head
	open, opened := c.pool.Connections()
	d.At, d.Ready, d.Memory, d.Goroutines, d.Connections = c.now(), ready, process.UsageOf(os.Getpid()).Memory*(1<<20), runtime.NumGoroutine(), open
	cpu := cpuUsed()
	if c.Policy != nil {
		d.Policy = c.Policy()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d.Files, d.Leaving, d.Indexes = maps.Clone(c.files), c.leaving, map[string]*Index{}
	d.Ready = d.Ready && !c.leaving
	if c.claim != nil && c.claim.Until > d.At {
		held := *c.claim
		d.Claim = &held
	}
	for _, state := range c.states {
		if state == gather.Running {
			d.Servers++
		} else {
			d.Draining++
		}
	}
	at := slices.IndexFunc(c.snaps, func(s snapshot) bool { return s.mark == since })
	d.Opened, d.CPU, d.Span = opened, cpu, d.At-c.head.Started
	if at >= 0 {
		from := c.snaps[at]
		d.Since, d.Span, d.Opened, d.CPU = since, d.At-from.at, opened-from.opened, max(cpu-from.cpu, 0)
	}
	all := make(map[string]*Index, len(c.indexes)) // as they stand; nobody changes them any more
	for name, ix := range c.indexes {
		all[name] = copyOf(ix)
		if d.Indexes[name] = all[name]; at >= 0 {
			d.Indexes[name] = less(ix, c.snaps[at].indexes[name])
		}
	}
	if !mark {
		return &d
	}
	c.sequence++
	d.Mark = fmt.Sprintf("%s.%d", c.process, c.sequence)
	if c.snaps = append(c.snaps, snapshot{d.Mark, d.At, all, opened, cpu}); len(c.snaps) > marks {
		c.snaps = slices.Delete(c.snaps, 0, 1)
	}
	return &d
}

// Take has a run claim the gatherer. It gives who holds it from now on.
func (c *Counter) Take(claim rollout.Claim) (holder rollout.Claim, granted bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if holder, granted = rollout.Grant(c.claim, claim, now); granted {
		c.claim = &holder
	}
	return holder, granted
}

// Free gives a claim back.
func (c *Counter) Free(run string, fence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rollout.Release(c.claim, run, fence) {
		c.claim = nil
	}
}

// cpuUsed is the process' CPU in milliseconds of a core.
func cpuUsed() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e6
}
