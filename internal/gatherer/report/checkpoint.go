package report

import (
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"syscall"

	"yokeroute/gather"
	"yokeroute/internal/process"
)

// maxCheckpoints limits the number of checkpoints in a collector, each of which takes some kilobytes per class. A new
// checkpoint replaces the oldest one. A report since a dropped checkpoint contains all counts since the process
// started.
const maxCheckpoints = 8

// checkpoint contains all counts at one point in time. A reader names the checkpoint from which it requests counts, so
// that it loses no counts if a response is lost.
type checkpoint struct {
	id                string
	createdAt         float64                // Unix milliseconds
	classes           map[string]*ClassStats // read-only
	connectionsOpened int64
	cpuTime           float64 // milliseconds of one core
}

// SinceCheckpoint builds a report of the counts since the checkpoint with this ID, and takes a new checkpoint.
func (c *Collector) SinceCheckpoint(id string, ready bool) *Document {
	d := c.newDocument(ready)
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.addCounts(d)
	if i := slices.IndexFunc(c.checkpoints, func(s checkpoint) bool { return s.id == id }); i >= 0 {
		d.subtract(&c.checkpoints[i])
	}
	c.lastCheckpoint++
	current.id = fmt.Sprintf("%s.%d", c.header.Incarnation, c.lastCheckpoint)
	d.Checkpoint = current.id
	c.checkpoints = append(c.checkpoints, current)
	if len(c.checkpoints) > maxCheckpoints {
		c.checkpoints = slices.Delete(c.checkpoints, 0, 1)
	}
	return d
}

// SinceStart builds a report of all counts since the process started. It takes no checkpoint.
func (c *Collector) SinceStart(ready bool) *Document {
	d := c.newDocument(ready)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addCounts(d)
	return d
}

// newDocument builds a report without the fields that depend on data guarded by c.mu.
func (c *Collector) newDocument(ready bool) *Document {
	d := c.header
	d.OpenConnections, d.ConnectionsOpened = c.connections.Connections()
	d.ReportedAt = c.now()
	d.Interval = d.ReportedAt - d.StartedAt
	d.Ready = ready
	d.ResidentMemory = process.UsageOf(os.Getpid()).Memory * bytesPerMegabyte
	d.Goroutines = runtime.NumGoroutine()
	d.CPUTime = processCPUTime()
	if c.PolicyState != nil {
		d.Policy = c.PolicyState()
	}
	return &d
}

const bytesPerMegabyte = 1 << 20

// addCounts sets the fields of a report that depend on data guarded by c.mu, which the caller holds. It returns the
// counts as a checkpoint without an ID.
func (c *Collector) addCounts(d *Document) checkpoint {
	d.Files = maps.Clone(c.files)
	d.ShuttingDown = c.shuttingDown
	d.Ready = d.Ready && !c.shuttingDown
	if c.claim != nil && c.claim.ExpiresAt > d.ReportedAt {
		claim := *c.claim
		d.Claim = &claim
	}
	for _, state := range c.endpointStates {
		if state == gather.Running {
			d.RunningServers++
		} else {
			d.DrainingServers++
		}
	}
	classes := make(map[string]*ClassStats, len(c.classes))
	for name, stats := range c.classes {
		classes[name] = stats.clone()
	}
	d.Classes = maps.Clone(classes)
	return checkpoint{
		createdAt:         d.ReportedAt,
		classes:           classes,
		connectionsOpened: d.ConnectionsOpened,
		cpuTime:           d.CPUTime,
	}
}

// subtract turns a report of all counts into a report of the counts since a checkpoint.
func (d *Document) subtract(from *checkpoint) {
	d.SinceCheckpoint = from.id
	d.Interval = d.ReportedAt - from.createdAt
	d.ConnectionsOpened -= from.connectionsOpened
	d.CPUTime = max(d.CPUTime-from.cpuTime, 0)
	for name, stats := range d.Classes {
		d.Classes[name] = stats.since(from.classes[name])
	}
}

// processCPUTime returns the CPU time that the process has used, in milliseconds of one core.
func processCPUTime() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e6
}
