package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/control/policyclient"
	"yokeroute/internal/control/policylease"
	"yokeroute/internal/process"
	"yokeroute/internal/stats"
	"yokeroute/internal/testbed/processtest"
	decisions "yokeroute/logic/policy"
)

// PolicyFault is a fault that is injected while a change is made.
type PolicyFault string

// The faults.
const (
	NoFault            PolicyFault = "none"
	LeaderKilled       PolicyFault = "leader-killed"
	LeaderPaused       PolicyFault = "leader-stopped" // by SIGSTOP
	ManyKilled         PolicyFault = "many-killed"    // one gatherer in twelve, at once
	OneKilled          PolicyFault = "one-killed"
	OneStopped         PolicyFault = "one-ended"  // a planned end
	RegionDisconnected PolicyFault = "region-cut" // one region in three, by relays, for a minute
)

// PolicyFaults are all of them, in the order in which they are measured.
var PolicyFaults = []PolicyFault{NoFault, OneKilled, OneStopped, ManyKilled, LeaderKilled, LeaderPaused, RegionDisconnected}

// PolicyConfig describes policy servers as processes, and hollow gatherers in this process that poll them over HTTP.
type PolicyConfig struct {
	Servers   int
	Gatherers int
	Changes   int           // in a row
	IdleTime  time.Duration // measured with nothing to do
	Fault     PolicyFault   // in each change
	Binary    string        // the gatherer's program, which contains the policy server
	Folder    string        // for their state
}

// PolicyCost is what it came to.
type PolicyCost struct {
	StartTime            time.Duration // until all gatherers, which start at once, hold a lease
	IdleLeaderCores      float64       // cores of the leader
	IdleGathererCores    float64       // cores of one gatherer
	IdleGathererBytes    float64       // read and written by one gatherer, a second
	LeaderMB             float64
	GathererMemory       float64 // memory of one gatherer
	AppliedTimes         []time.Duration
	P50, P99             []time.Duration // of gatherers, by change
	ReturnTimes          []time.Duration // until a region that was cut off holds leases again
	Unfinished           int             // changes that were given up, or not everywhere within the wait
	LeaderCoresInChanges float64         // of the leader while changes were made
}

// Times of the policy servers: those that operators' pages recommend.
const (
	policyLease         = 10_000.0
	policyChangeTimeout = 60_000.0
	policyHeartbeat     = 100.0
	changeTimeout       = 40 * time.Second
	startTimeout        = 90 * time.Second
	regionCutTime       = time.Minute
	killedShare         = 12 // one gatherer in so many
	policyHTTPPort      = 8700
	policyRaftPort      = 8701
)

// policyFleet is the policy servers and the hollow gatherers of one scale test.
type policyFleet struct {
	config        PolicyConfig
	ctx           context.Context
	processes     []*process.Process
	servers       []operator.PolicyServer
	client        *policyclient.Client
	gatherers     []*simulatedGatherer
	relays        []*processtest.Link     // of the region that is cut off, one to each policy server
	cutOffServers []operator.PolicyServer // the policy servers as that region reaches them
	isCut         bool
	returnTimes   []time.Duration // of the region
	log           *logrus.Logger
}

// simulatedGatherer is the control side of a gatherer without clients: the real lease and the real poller.
type simulatedGatherer struct {
	lease    *policylease.Lease
	isCutOff bool // it is in the region that is cut off
	stop     context.CancelFunc
	done     chan struct{}

	mu        sync.Mutex
	epoch     uint64    // that it has come to
	appliedAt time.Time // when
}

// loopbackAddress returns an address for one policy server of this process. Processes do not share any.
func loopbackAddress(server int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)%64, pid%256, 1+server)
}

// startPolicyFleet starts the policy servers and waits until one is the leader.
func startPolicyFleet(ctx context.Context, t PolicyConfig) (*policyFleet, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &policyFleet{config: t, ctx: ctx, client: &policyclient.Client{}, log: log}
	var peers strings.Builder
	for i := range t.Servers {
		name, host := fmt.Sprint("s", i+1), loopbackAddress(i)
		address := fmt.Sprintf("%s:%d", host, policyHTTPPort)
		f.servers = append(f.servers, operator.PolicyServer{Name: name, Address: address})
		f.client.Servers = append(f.client.Servers, address)
		fmt.Fprintf(&peers, "peer %s raft %s:%d http %s\n", name, host, policyRaftPort, address)
	}
	for i, s := range f.servers {
		file := filepath.Join(t.Folder, s.Name+".conf")
		text := fmt.Sprintf("steward %s in %s-state listen %s raft %s:%d\nlease %gms limit %gms\nbeat %gms\n%s", s.Name, s.Name, s.Address,
			loopbackAddress(i), policyRaftPort, policyLease, policyChangeTimeout, policyHeartbeat, peers.String())
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			return f, err
		}
		p, err := process.Start(s.Name, t.Binary, []string{"policy-server", "--log-level", "error", file}, nil)
		if err != nil {
			return f, err
		}
		f.processes = append(f.processes, p)
	}
	if err := f.startRelays(); err != nil {
		return f, err
	}
	waiting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return f, process.WaitUntil(waiting, "a policy server leads", func() bool {
		one, end := context.WithTimeout(waiting, 2*time.Second)
		defer end()
		_, err := f.client.Status(one)
		return err == nil
	})
}

// startRelays lays a relay to each policy server where a region is to be cut off.
func (f *policyFleet) startRelays() error {
	if f.config.Fault != RegionDisconnected {
		return nil
	}
	for i, s := range f.servers {
		relay, err := processtest.NewLink("region", s.Name, "127.0.0.1", s.Address, uint64(i))
		if err != nil {
			return err
		}
		f.relays = append(f.relays, relay)
		f.cutOffServers = append(f.cutOffServers, operator.PolicyServer{Name: s.Name, Address: relay.Address()})
	}
	return nil
}

// close ends all of it.
func (f *policyFleet) close() {
	for _, h := range f.gatherers {
		h.crash()
	}
	for _, relay := range f.relays {
		relay.Close()
	}
	for _, p := range f.processes {
		if p.Stopped() {
			_ = p.Continue() // Kill ends it either way
		}
		p.Kill()
	}
}

// leader returns the process of the leader.
func (f *policyFleet) leader() (*process.Process, error) {
	s, err := f.client.Status(f.ctx)
	if err != nil {
		return nil, err
	}
	for i, n := range f.servers {
		if n.Name == s.Server {
			return f.processes[i], nil
		}
	}
	return nil, fmt.Errorf("no policy server is named %s", s.Server)
}

// fallbackPolicy forbids what the policies of a scale test may.
var fallbackPolicy = decisions.Policy{{Kind: decisions.NoHedging}}

// startGatherer starts one gatherer's control side.
func (f *policyFleet) startGatherer(number int) *simulatedGatherer {
	start := time.Now()
	clock := func() float64 { return float64(time.Since(start)) / 1e6 }
	h := &simulatedGatherer{done: make(chan struct{}), isCutOff: len(f.cutOffServers) > 0 && number%DesignRegions == 0}
	stewards := f.servers
	if h.isCutOff {
		stewards = f.cutOffServers
	}
	h.lease = policylease.New(policylease.Config{
		Platform: &gather.Settings{},
		Fallback: fallbackPolicy,
		Clock:    clock,
		OnChange: func() { h.onChange(clock()) },
	})
	poller := policylease.NewPoller(h.lease, policylease.PollerConfig{
		Servers: stewards,
		Member: decisions.Member{
			Name:     fmt.Sprintf("g%05d", number),
			Zone:     fmt.Sprint("z", number%DesignZones),
			Fallback: fallbackPolicy,
		},
		Incarnation: fmt.Sprintf("%d-%d", number, start.UnixNano()),
		Log:         f.log,
	})
	ctx, stop := context.WithCancel(f.ctx)
	h.stop = stop
	go func() {
		defer close(h.done)
		poller.Run(ctx)
	}()
	return h
}

// onChange notes how far the gatherer has come, and settles: it has no lookups in hand.
func (h *simulatedGatherer) onChange(now float64) {
	way, _ := h.lease.Effective(now)
	h.lease.MarkDrained(way)
	state := h.lease.State()
	h.mu.Lock()
	defer h.mu.Unlock()
	if state.Applied.Epoch > h.epoch && state.Applied.Pending == 0 {
		h.epoch, h.appliedAt = state.Applied.Epoch, time.Now()
	}
}

// crash ends it as a crash does: nothing is given back.
func (h *simulatedGatherer) crash() {
	h.stop()
	<-h.done
}

// appliedEpoch reports whether it has come to an epoch, and when.
func (h *simulatedGatherer) appliedEpoch(epoch uint64) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.appliedAt, h.epoch >= epoch
}

// holdsLease reports whether the gatherer holds a lease.
func (h *simulatedGatherer) holdsLease() bool { return h.lease.State().ExpiresAt > 0 }

// change proposes a policy, injects the fault, and waits until all reachable gatherers apply the policy.
func (f *policyFleet) change(number int) (times []time.Duration, err error) {
	status, err := f.client.Status(f.ctx)
	if err != nil {
		return nil, err
	}
	var p decisions.Policy
	if number%2 == 0 {
		p = fallbackPolicy
	}
	waiting, cancel := context.WithTimeout(f.ctx, changeTimeout)
	defer cancel()
	proposed := time.Now()
	change, err := f.client.Propose(waiting, policyclient.Proposal{Base: status.Record.Epoch, Policy: p, Reason: "scale"})
	if err != nil {
		return nil, err
	}
	undo, err := f.injectFault(number)
	if err != nil {
		return nil, err
	}
	defer undo()
	err = process.WaitUntil(waiting, "the change is in force everywhere", func() bool {
		for _, h := range f.reachable() {
			if _, there := h.appliedEpoch(change.Number); !there {
				return false
			}
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	for _, h := range f.reachable() {
		at, _ := h.appliedEpoch(change.Number)
		times = append(times, at.Sub(proposed))
	}
	return times, nil
}

// reachable are the gatherers that are not cut off.
func (f *policyFleet) reachable() []*simulatedGatherer {
	if !f.isCut {
		return f.gatherers
	}
	var near []*simulatedGatherer
	for _, h := range f.gatherers {
		if !h.isCutOff {
			near = append(near, h)
		}
	}
	return near
}

// disconnectRegion cuts the region's relays; undo mends them once the minute is over, and waits until the region is back.
func (f *policyFleet) disconnectRegion() (undo func(), err error) {
	from := time.Now()
	f.isCut = true
	for _, relay := range f.relays {
		if err := relay.Cut(true); err != nil {
			return func() {}, err
		}
	}
	return func() {
		select {
		case <-f.ctx.Done():
		case <-time.After(time.Until(from.Add(regionCutTime))):
		}
		for _, relay := range f.relays {
			f.logError("relay: not mended", relay.Mend())
		}
		f.isCut = false
		mended := time.Now()
		if f.awaitLeases() == nil {
			f.returnTimes = append(f.returnTimes, time.Since(mended))
		}
	}, nil
}

// injectFault brings the fault about; what it gives undoes it once the change is over.
func (f *policyFleet) injectFault(number int) (undo func(), err error) {
	undo = func() {}
	switch f.config.Fault {
	case LeaderKilled, LeaderPaused:
		leader, err := f.leader()
		if err != nil {
			return undo, err
		}
		if f.config.Fault == LeaderPaused {
			return func() { f.logError("policy server: not continued", leader.Continue()) }, leader.Stop(f.ctx)
		}
		leader.Kill()
		return undo, nil
	case RegionDisconnected:
		return f.disconnectRegion()
	case OneKilled, OneStopped:
		return f.crashGatherers(number, 1), nil
	case ManyKilled:
		return f.crashGatherers(number, max(len(f.gatherers)/killedShare, 1)), nil
	}
	return undo, nil
}

// crashGatherers ends gatherers; undo starts others in their place.
func (f *policyFleet) crashGatherers(number, many int) (undo func()) {
	gone := f.gatherers[:many]
	f.gatherers = f.gatherers[many:]
	var wait sync.WaitGroup
	for _, h := range gone {
		wait.Go(h.crash)
	}
	wait.Wait()
	return func() {
		for i := range gone {
			f.gatherers = append(f.gatherers, f.startGatherer(100_000*(number+1)+i))
		}
		f.logError("gatherers: started again", f.awaitLeases())
	}
}

// logError logs what went wrong while a fault was undone; the changes after it are measured all the same.
func (f *policyFleet) logError(event string, err error) {
	if err != nil {
		f.log.WithError(err).Error(event)
	}
}

// awaitLeases waits until all gatherers hold a lease.
func (f *policyFleet) awaitLeases() error {
	waiting, cancel := context.WithTimeout(f.ctx, startTimeout)
	defer cancel()
	return process.WaitUntil(waiting, "all gatherers hold a lease", func() bool {
		for _, h := range f.gatherers {
			if !h.holdsLease() {
				return false
			}
		}
		return true
	})
}

// MeasurePolicies measures what the policies of a whole fleet cost at rest and while they change.
func MeasurePolicies(ctx context.Context, t PolicyConfig) (c PolicyCost, err error) {
	if t.Servers < 1 || t.Servers > 9 || t.Gatherers < 1 || t.Changes < 0 {
		return c, fmt.Errorf("policies: %d stewards, %d gatherers, %d changes: 1 to 9, at least 1 and at least 0 can be", t.Servers, t.Gatherers, t.Changes)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := startPolicyFleet(ctx, t)
	defer func() { f.close() }()
	if err != nil {
		return c, err
	}
	before := memoryBytes()
	began := time.Now()
	for i := range t.Gatherers {
		f.gatherers = append(f.gatherers, f.startGatherer(i))
	}
	if err := f.awaitLeases(); err != nil {
		return c, err
	}
	c.StartTime = time.Since(began)
	if err := f.measureIdle(&c, before); err != nil {
		return c, err
	}
	return c, f.measureChanges(&c)
}

// measureIdle measures the fleet with nothing to do.
func (f *policyFleet) measureIdle(c *PolicyCost, before float64) error {
	if f.config.IdleTime <= 0 {
		return nil
	}
	leader, err := f.leader()
	if err != nil {
		return err
	}
	n := float64(len(f.gatherers))
	used, own, bytes, began := leader.Usage(), processorTime(), transferredBytes(), time.Now()
	select {
	case <-f.ctx.Done():
		return f.ctx.Err()
	case <-time.After(f.config.IdleTime):
	}
	seconds := time.Since(began).Seconds()
	after := leader.Usage()
	c.IdleLeaderCores, c.LeaderMB = (after.CPU-used.CPU)/seconds, after.Memory
	c.IdleGathererCores = (processorTime() - own).Seconds() / seconds / n
	c.IdleGathererBytes = (transferredBytes() - bytes) / seconds / n
	c.GathererMemory = (memoryBytes() - before) / n
	return nil
}

// measureChanges makes the changes, one behind the other.
func (f *policyFleet) measureChanges(c *PolicyCost) error {
	if f.config.Changes == 0 {
		return nil
	}
	leader, err := f.leader()
	if err != nil {
		return err
	}
	defer func() { c.ReturnTimes = f.returnTimes }()
	used, began := leader.Usage(), time.Now()
	for number := range f.config.Changes {
		times, err := f.change(number)
		if f.ctx.Err() != nil {
			return f.ctx.Err()
		}
		if errors.Is(err, context.DeadlineExceeded) {
			c.Unfinished++
			continue
		}
		if err != nil {
			return err
		}
		c.addTimes(times)
		if f.config.Fault == LeaderKilled {
			break // the next one would wait for a policy server that nobody starts
		}
	}
	if leader.Alive() && !leader.Stopped() {
		c.LeaderCoresInChanges = (leader.Usage().CPU - used.CPU) / time.Since(began).Seconds()
	}
	return nil
}

// addTimes books when a change was in force at each gatherer.
func (c *PolicyCost) addTimes(times []time.Duration) {
	seconds := make([]float64, 0, len(times))
	for _, t := range times {
		seconds = append(seconds, t.Seconds())
	}
	at := func(share float64) time.Duration {
		return time.Duration(stats.Quantile(seconds, share) * float64(time.Second))
	}
	c.AppliedTimes, c.P50, c.P99 = append(c.AppliedTimes, at(1)), append(c.P50, at(0.5)), append(c.P99, at(0.99))
}

// transferredBytes is how many bytes this process has read and written so far.
func transferredBytes() float64 {
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0
	}
	read, written := 0.0, 0.0
	if _, err := fmt.Sscanf(string(text), "rchar: %f\nwchar: %f", &read, &written); err != nil {
		return 0
	}
	return read + written
}
