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

// maxCheckpoints is how many a collector keeps, at some kilobytes a class each. The oldest is dropped for a new one;
// a report since a dropped checkpoint has all counts since the process' start.
const maxCheckpoints = 8

// checkpoint is all counts at one time. Reports since a checkpoint let a reader lose an answer without losing counts.
type checkpoint struct {
	id                string
	createdAt         float64
	classes           map[string]*ClassStats // changed by nobody
	connectionsOpened int64
	cpuTime           float64
}

// SinceCheckpoint builds a report of the counts since a checkpoint, and takes a new one.
func (c *Collector) SinceCheckpoint(id string, ready bool) *Document {
	d := c.gauges(ready)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.count(d)
	if i := slices.IndexFunc(c.checkpoints, func(s checkpoint) bool { return s.id == id }); i >= 0 {
		d.subtract(&c.checkpoints[i])
	}
	c.lastCheckpoint++
	now.id = fmt.Sprintf("%s.%d", c.header.Incarnation, c.lastCheckpoint)
	d.Checkpoint = now.id
	c.checkpoints = append(c.checkpoints, now)
	if len(c.checkpoints) > maxCheckpoints {
		c.checkpoints = slices.Delete(c.checkpoints, 0, 1)
	}
	return d
}

// SinceStart builds a report of all counts since the process' start. It takes no checkpoint.
func (c *Collector) SinceStart(ready bool) *Document {
	d := c.gauges(ready)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count(d)
	return d
}

// gauges builds a report without what the lock guards.
func (c *Collector) gauges(ready bool) *Document {
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

// count adds to a report what the lock guards, which the caller holds. It returns the counts as a checkpoint that has
// no ID yet.
func (c *Collector) count(d *Document) checkpoint {
	d.Files = maps.Clone(c.files)
	d.ShuttingDown = c.shuttingDown
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

// subtract makes a report of all counts one of those since a checkpoint.
func (d *Document) subtract(from *checkpoint) {
	d.SinceCheckpoint = from.id
	d.Interval = d.ReportedAt - from.createdAt
	d.ConnectionsOpened -= from.connectionsOpened
	d.CPUTime = max(d.CPUTime-from.cpuTime, 0)
	for name, stats := range d.Classes {
		d.Classes[name] = stats.since(from.classes[name])
	}
}

// processCPUTime is what the process has used, in milliseconds of a core.
func processCPUTime() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e6
}
