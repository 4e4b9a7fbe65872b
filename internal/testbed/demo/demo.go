// Package demo shows a gatherer at work: stand-in shard servers, discovery and a gatherer on loopback in one process,
// with light traffic, and what the gatherer knows and decides while it goes on.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/gatherer/discovery"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/gatherer/service"
	"yokeroute/internal/testbed/experiment"
	"yokeroute/internal/testbed/standin/shardserver"
	"yokeroute/logic/twopass"
)

// Options are what a demonstration is like.
type Options struct {
	Listen string  // where the gatherer takes lookups
	Rate   float64 // lookups a second of the light traffic, 0 for none
	Seed   uint64
}

// Demo is a running one.
type Demo struct {
	Address string
	Fleet   *experiment.Fleet
	Counts  Counts

	service *service.Service
	names   map[uint32]string
	ids     []uint32 // of the servers, by name
	log     *logBuffer
	stop    context.CancelFunc
	done    chan error
	load    sync.WaitGroup

	mu     sync.Mutex
	faults map[string]string // what was done to a machine, by its name
}

// Counts are what the gatherer has decided; they are for reading while it goes on.
type Counts struct {
	Queries, Complete, Partial, Rejected, Failed, Abandoned atomic.Int64
	Attempts, Retries, BeyondQuorum                         atomic.Int64 // Beyond are calls beyond the n of an any-n lookup
	AttemptsSucceeded, AttemptsFailed, AttemptsCancelled    atomic.Int64 // ends of calls
}

// The fleet of the demonstration: two halls, two sets of three machines.
const (
	sets, replicas, segments = 2, 3, 12
	work                     = 20.0
)

// settings are what the platform would tell of the fleet.
const settings = `{"tick":5000,"balancers":1,"myNumber":0,"zone":"north","discovery":"pushed",
 "classes":[{"name":"find","effect":"pure","goalTime":400000,"hardLimit":2000000,"lateValue":0.1},
  {"name":"search","effect":"pure","goalTime":400000,"hardLimit":2000000,"lateValue":0.1},
  {"name":"claim","effect":"side_effect","goalTime":400000,"hardLimit":2000000}],
 "domain":{"cells":2,"inARow":1,"shards":12,"partsACall":16,"completeFrom":[1,0.75,1],"classFloor":[1,0.75,1]},
 "limits":{"cancel":true,"connectTimeout":250000,"idleClose":15000000,"streamsPerConn":100,"attemptsCap":3,"secondCopies":true,"retryAfter":true,"maxRetryAfter":1000000},
 "rules":{"budgetShare":0.05,"extraFloor":10,"resendSpan":2000000,"drainGrace":250000,"answerSlack":20000,"cold":10000000,"coldShare":0.2,"fall":2000000,"fallMultiple":3}}`

// Start starts everything and waits until the gatherer is ready.
func Start(terms Options) (*Demo, error) {
	var machines []experiment.Machine
	for set := range sets {
		for i := range replicas {
			machines = append(machines, experiment.Machine{Name: fmt.Sprintf("%s-%d%d", []string{"north", "south"}[i%2], set, i), Zone: []string{"north", "south"}[i%2], Kind: "stand-in", ReplicaSet: set,
				Config: shardserver.Config{Cores: 2, MeanWork: work, WorkVariation: 0.5, QueueLimit: 100, FirstPassWork: 2, Seed: terms.Seed + uint64(len(machines))}})
		}
	}
	fleet, err := experiment.StartFleet(machines)
	if err != nil {
		return nil, err
	}
	d := &Demo{Fleet: fleet, names: map[uint32]string{}, log: &logBuffer{}, done: make(chan error, 1), faults: map[string]string{}}
	l, err := net.Listen("tcp", terms.Listen)
	if err != nil { // the address is taken: any other will do, since it is printed
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			fleet.Close()
			return nil, err
		}
	}
	d.Address = l.Addr().String()
	text, err := json.Marshal(map[string]any{"name": "demo", "listen": d.Address, "discovery": fleet.Discovery.Address(), "seed": fmt.Sprintf("%x", terms.Seed), "settings": json.RawMessage(settings)})
	if err != nil {
		return nil, err
	}
	c, err := platform.Parse(text, func(string) string { return "" })
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(d.log)
	log.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true, DisableColors: true})
	if d.service, err = service.New(c, &operator.File{TracesKept: 200, TraceShare: 1, BackgroundShare: 0.05}, log); err != nil {
		return nil, err
	}
	d.service.Picker.ObserveDecisions(counter{d})
	for _, m := range machines {
		id := discovery.ServerID(m.Name)
		d.names[id] = m.Name
		d.ids = append(d.ids, id)
	}
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	go func() { d.done <- d.service.Run(ctx, l) }()
	if terms.Rate > 0 {
		for i, index := range []string{"find", "search", "claim"} {
			d.load.Go(func() {
				experiment.Play(ctx, experiment.Load{Origin: fmt.Sprint("light", i), Address: d.Address, Class: index, Rate: terms.Rate * []float64{0.5, 0.3, 0.2}[i], ShardRequests: []int{4, 8, 2}[i], Shards: segments,
					Deadline: 2 * time.Second, Seed: terms.Seed + uint64(i)}, 1000*time.Hour, 400*time.Millisecond)
			})
		}
	}
	return d, nil
}

// Close ends everything, the gatherer as in a planned restart.
func (d *Demo) Close() error {
	d.stop()
	d.load.Wait()
	err := <-d.done
	d.Fleet.Close()
	return err
}

// Curl is a command that is answered with 200.
func (d *Demo) Curl() string {
	return fmt.Sprintf("curl -i http://%s/find -H 'X-Request-ID: by-hand-'$RANDOM -H 'X-Timeout-Ms: 800' -d '{\"shards\":[{\"shard\":3,\"weight\":0.5},{\"shard\":4,\"weight\":0.5}],\"q\":\"c41e77d0\"}'", d.Address)
}

// Machine is one machine as the gatherer knows it, and as it is.
type Machine struct {
	Name, Zone string
	ReplicaSet int
	Fault      string // what was done to it, empty for nothing
	gather.EndpointView
	Utilization float64 // share of its cores' time that it works, lately
}

// Machines are all machines; those that the gatherer does not list have no figures.
func (d *Demo) Machines(ctx context.Context) []Machine {
	views := map[uint32]gather.EndpointView{}
	for _, v := range d.service.Picker.EndpointViews(ctx) {
		views[v.Server] = v
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Machine
	for _, m := range d.Fleet.Machines {
		v, listed := views[discovery.ServerID(m.Name)]
		if !listed {
			v.State = gather.Removed
		}
		list = append(list, Machine{Name: m.Name, Zone: m.Zone, ReplicaSet: m.ReplicaSet, Fault: d.faults[m.Name], EndpointView: v})
	}
	return list
}

// Faults are what can be done to a machine, with the key for each.
var Faults = []struct{ Key, Name, Help string }{
	{"k", "killed", "kill"}, {"h", "hung", "hang"}, {"s", "slow", "slow by 5"}, {"f", "failing", "fail half"}, {"d", "draining", "drain"}, {"r", "", "repair"},
}

// ApplyFault does something to a machine, by its key, after undoing what was done before.
func (d *Demo) ApplyFault(machine, key string) {
	s := d.Fleet.Servers[machine]
	d.mu.Lock()
	was := d.faults[machine]
	for _, t := range Faults {
		if t.Key == key {
			d.faults[machine] = t.Name
		}
	}
	d.mu.Unlock()
	switch was {
	case "killed":
		if s.Restart() == nil {
			d.Fleet.AnnounceRestart(machine)
		}
	case "hung":
		s.SetHung(false)
	case "slow":
		s.SetSlowdown(1)
	case "failing":
		s.SetFailureShare(0)
	case "draining":
		d.Fleet.SetPhase("in_service", machine)
	}
	switch key {
	case "k":
		s.Kill()
		go func() { // discovery is late, as in life
			time.Sleep(2 * time.Second)
			d.mu.Lock()
			dead := d.faults[machine] == "killed"
			d.mu.Unlock()
			if dead {
				d.Fleet.SetPhase("terminated", machine)
			}
		}()
	case "h":
		s.SetHung(true)
	case "s":
		s.SetSlowdown(5)
	case "f":
		s.SetFailureShare(0.5)
	case "d":
		d.Fleet.SetPhase("terminating", machine)
	}
}

// LogLines are the newest lines of the gatherer's log.
func (d *Demo) LogLines(n int) []string { return d.log.last(n) }

// counter counts what is decided; it is a pick.Tracer.
type counter struct{ demo *Demo }

func (c counter) QueryAdmitted(*dispatch.Query, *twopass.Decision, float64) {
	c.demo.Counts.Queries.Add(1)
}

func (c counter) AttemptDecided(call *dispatch.Attempt, _ float64) {
	n := &c.demo.Counts
	n.Attempts.Add(1)
	switch lk := call.Query(); {
	case call.Number() > 0:
		n.Retries.Add(1)
	case lk.Class == "search" && 4*call.ShardsAttempted() > 3*len(lk.ShardRequests):
		n.BeyondQuorum.Add(1)
	}
}

func (c counter) AttemptEnded(_ *dispatch.Attempt, outcome gather.Outcome, _ float64, _ *twopass.Summary) {
	switch outcome {
	case gather.Succeeded:
		c.demo.Counts.AttemptsSucceeded.Add(1)
	case gather.Cancelled, gather.NotSent:
		c.demo.Counts.AttemptsCancelled.Add(1)
	default:
		c.demo.Counts.AttemptsFailed.Add(1)
	}
}

func (c counter) FirstPassEnded(*dispatch.Query, *twopass.Plan, float64) {}

func (c counter) QueryDecided(_ *dispatch.Query, v dispatch.Result, _ float64) {
	n := &c.demo.Counts
	switch {
	case v.Kind == dispatch.Served && v.Complete:
		n.Complete.Add(1)
	case v.Kind == dispatch.Served:
		n.Partial.Add(1)
	case v.Kind == dispatch.Rejected:
		n.Rejected.Add(1)
	case v.Kind == dispatch.Abandoned:
		n.Abandoned.Add(1)
	default:
		n.Failed.Add(1)
	}
}

// Summary is the counts in a line.
func (c *Counts) Summary() string {
	return fmt.Sprintf("lookups %d: satisfied %d, in part %d, nacked %d, aborted %d; part calls %d: further %d, beyond n %d; answered %d, failed %d, given up %d", c.Queries.Load(), c.Complete.Load(), c.Partial.Load(),
		c.Rejected.Load(), c.Failed.Load(), c.Attempts.Load(), c.Retries.Load(), c.BeyondQuorum.Load(), c.AttemptsSucceeded.Load(), c.AttemptsFailed.Load(), c.AttemptsCancelled.Load())
}

// logBuffer keeps the newest lines of a log.
type logBuffer struct {
	mu          sync.Mutex
	lines       []string
	partialLine []byte
}

func (r *logBuffer) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partialLine = append(r.partialLine, p...)
	for {
		i := bytes.IndexByte(r.partialLine, '\n')
		if i < 0 {
			return len(p), nil
		}
		r.lines = append(r.lines, string(r.partialLine[:i]))
		r.partialLine = r.partialLine[i+1:]
		if len(r.lines) > 100 {
			r.lines = slices.Delete(r.lines, 0, 50)
		}
	}
}

func (r *logBuffer) last(n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.lines[max(len(r.lines)-n, 0):])
}

// WriteLines writes a line a second until ctx ends, for where there is no terminal.
func (d *Demo) WriteLines(ctx context.Context, w io.Writer) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
		fmt.Fprintln(w, d.Counts.Summary())
		var words []string
		for _, m := range d.Machines(ctx) {
			words = append(words, fmt.Sprintf("%s s=%.0fms f=%.2f q=%d", m.Name, m.Latency, m.FailureShare, m.InFlight))
		}
		fmt.Fprintln(w, " ", strings.Join(words, "  "))
	}
}
