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

// PolicyFault is what befalls the fleet while a change is made.
type PolicyFault string

// The faults.
const (
	NoFault       PolicyFault = "none"
	LeaderKilled  PolicyFault = "leader-killed"
	LeaderStopped PolicyFault = "leader-stopped" // by SIGSTOP
	ManyKilled    PolicyFault = "many-killed"    // one gatherer in twelve, at once
	OneKilled     PolicyFault = "one-killed"
	OneEnded      PolicyFault = "one-ended"  // a planned end
	RegionCut     PolicyFault = "region-cut" // one region in three, by relays, for a minute
)

// PolicyFaults are all of them, in the order in which they are measured.
var PolicyFaults = []PolicyFault{NoFault, OneKilled, OneEnded, ManyKilled, LeaderKilled, LeaderStopped, RegionCut}

// PolicyTerms are stewards as processes and hollow gatherers in this one, which follow them over HTTP.
type PolicyTerms struct {
	Stewards  int
	Gatherers int
	Changes   int           // in a row
	Rest      time.Duration // measured with nothing to do
	Fault     PolicyFault   // in each change
	Binary    string        // the gatherer's program, which holds the stewards as well
	Folder    string        // for their state
}

// PolicyCost is what it came to.
type PolicyCost struct {
	Start       time.Duration // until all gatherers that started at once went by the stewards' word
	RestLeader  float64       // cores of the steward that leads
	RestEach    float64       // cores of one gatherer
	RestBytes   float64       // read and written by one gatherer, a second
	LeaderMB    float64
	EachBytes   float64 // memory of one gatherer
	InForce     []time.Duration
	P50, P99    []time.Duration // of gatherers, by change
	Returned    []time.Duration // until a region that was cut off went by the stewards' word again
	Unfinished  int             // changes that were given up, or not everywhere within the wait
	ChangeCores float64         // of the leader while changes were made
}

// Times of the stewards of a scale test: those that operators' pages recommend.
const (
	stewardLease   = 10_000.0
	stewardLimit   = 60_000.0
	stewardBeat    = 100.0
	longestChange  = 40 * time.Second
	longestStart   = 90 * time.Second
	regionCut      = time.Minute
	manyShare      = 12 // one gatherer in so many
	stewardPort    = 8700
	stewardLogPort = 8701
)

// policyFleet is the stewards and the hollow gatherers of one measurement.
type policyFleet struct {
	terms    PolicyTerms
	ctx      context.Context
	stewards []*process.Process
	names    []operator.PolicyServer
	client   *policyclient.Client
	hollow   []*hollowGatherer
	relays   []*processtest.Link     // of the region that is cut off, one to each steward
	far      []operator.PolicyServer // the stewards as that region reaches them
	cut      bool
	returned []time.Duration // of the region
	log      *logrus.Logger
}

// hollowGatherer is the control side of a gatherer without clients: the real lease and the real poller.
type hollowGatherer struct {
	lease *policylease.Lease
	far   bool // it stands in the region that is cut off
	stop  context.CancelFunc
	ended chan struct{}

	mu    sync.Mutex
	epoch uint64    // that it has come to
	at    time.Time // when
}

// loopbackAddress is a loopback address for one steward of this process; processes don't share any.
func loopbackAddress(steward int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)%64, pid%256, 1+steward)
}

// startPolicyFleet starts the stewards and waits until one leads.
func startPolicyFleet(ctx context.Context, t PolicyTerms) (*policyFleet, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &policyFleet{terms: t, ctx: ctx, client: &policyclient.Client{}, log: log}
	var peers strings.Builder
	for i := range t.Stewards {
		name, host := fmt.Sprint("s", i+1), loopbackAddress(i)
		address := fmt.Sprintf("%s:%d", host, stewardPort)
		f.names = append(f.names, operator.PolicyServer{Name: name, Address: address})
		f.client.Servers = append(f.client.Servers, address)
		fmt.Fprintf(&peers, "peer %s raft %s:%d http %s\n", name, host, stewardLogPort, address)
	}
	for i, s := range f.names {
		file := filepath.Join(t.Folder, s.Name+".conf")
		text := fmt.Sprintf("steward %s in %s-state listen %s raft %s:%d\nlease %gms limit %gms\nbeat %gms\n%s", s.Name, s.Name, s.Address,
			loopbackAddress(i), stewardLogPort, stewardLease, stewardLimit, stewardBeat, peers.String())
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			return f, err
		}
		p, err := process.Start(s.Name, t.Binary, []string{"steward", "--log-level", "error", file}, nil)
		if err != nil {
			return f, err
		}
		f.stewards = append(f.stewards, p)
	}
	if err := f.layRelays(); err != nil {
		return f, err
	}
	waiting, cancel := context.WithTimeout(ctx, longestStart)
	defer cancel()
	return f, process.WaitUntil(waiting, "a steward leads", func() bool {
		one, end := context.WithTimeout(waiting, 2*time.Second)
		defer end()
		_, err := f.client.Status(one)
		return err == nil
	})
}

// layRelays lays a relay to each steward where a region is to be cut off.
func (f *policyFleet) layRelays() error {
	if f.terms.Fault != RegionCut {
		return nil
	}
	for i, s := range f.names {
		relay, err := processtest.NewLink("region", s.Name, "127.0.0.1", s.Address, uint64(i))
		if err != nil {
			return err
		}
		f.relays = append(f.relays, relay)
		f.far = append(f.far, operator.PolicyServer{Name: s.Name, Address: relay.Address()})
	}
	return nil
}

// close ends all of it.
func (f *policyFleet) close() {
	for _, h := range f.hollow {
		h.end()
	}
	for _, relay := range f.relays {
		relay.Close()
	}
	for _, p := range f.stewards {
		if p.Stopped() {
			p.Continue()
		}
		p.Kill()
	}
}

// leader is the process of the steward that leads.
func (f *policyFleet) leader() (*process.Process, error) {
	s, err := f.client.Status(f.ctx)
	if err != nil {
		return nil, err
	}
	for i, n := range f.names {
		if n.Name == s.Server {
			return f.stewards[i], nil
		}
	}
	return nil, fmt.Errorf("no steward is named %s", s.Server)
}

// hollowFloor forbids what the policies of a scale test may.
var hollowFloor = decisions.Policy{{Kind: decisions.NoHedging}}

// startHollow starts one gatherer's control side.
func (f *policyFleet) startHollow(number int) *hollowGatherer {
	start := time.Now()
	clock := func() float64 { return float64(time.Since(start)) / 1e6 }
	h := &hollowGatherer{ended: make(chan struct{}), far: len(f.far) > 0 && number%DesignRegions == 0}
	stewards := f.names
	if h.far {
		stewards = f.far
	}
	h.lease = policylease.New(policylease.Config{
		Platform: &gather.Settings{},
		Fallback: hollowFloor,
		Clock:    clock,
		OnChange: func() { h.changed(clock()) },
	})
	poller := policylease.NewPoller(h.lease, policylease.PollerConfig{
		Servers: stewards,
		Member: decisions.Member{
			Name:     fmt.Sprintf("g%05d", number),
			Zone:     fmt.Sprint("z", number%DesignZones),
			Fallback: hollowFloor,
		},
		Incarnation: fmt.Sprintf("%d-%d", number, start.UnixNano()),
		Log:         f.log,
	})
	ctx, stop := context.WithCancel(f.ctx)
	h.stop = stop
	go func() {
		defer close(h.ended)
		poller.Run(ctx)
	}()
	return h
}

// changed notes how far the gatherer has come, and settles: it has no lookups in hand.
func (h *hollowGatherer) changed(now float64) {
	way, _ := h.lease.Effective(now)
	h.lease.MarkDrained(way)
	state := h.lease.State()
	h.mu.Lock()
	defer h.mu.Unlock()
	if state.Applied.Epoch > h.epoch && state.Applied.Pending == 0 {
		h.epoch, h.at = state.Applied.Epoch, time.Now()
	}
}

// end ends it as a crash does: nothing is given back.
func (h *hollowGatherer) end() {
	h.stop()
	<-h.ended
}

// reached reports whether it has come to an epoch, and when.
func (h *hollowGatherer) reached(epoch uint64) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.at, h.epoch >= epoch
}

// leased reports whether it goes by the stewards' word.
func (h *hollowGatherer) leased() bool { return h.lease.State().ExpiresAt > 0 }

// change proposes a policy, does what befalls the fleet, and waits until the policy is in force at all that are left.
func (f *policyFleet) change(number int) (times []time.Duration, err error) {
	status, err := f.client.Status(f.ctx)
	if err != nil {
		return nil, err
	}
	var p decisions.Policy
	if number%2 == 0 {
		p = hollowFloor
	}
	waiting, cancel := context.WithTimeout(f.ctx, longestChange)
	defer cancel()
	proposed := time.Now()
	change, err := f.client.Propose(waiting, policyclient.Proposal{Base: status.Record.Epoch, Policy: p, Reason: "scale"})
	if err != nil {
		return nil, err
	}
	undo, err := f.befall(number)
	if err != nil {
		return nil, err
	}
	defer undo()
	err = process.WaitUntil(waiting, "the change is in force everywhere", func() bool {
		for _, h := range f.near() {
			if _, there := h.reached(change.Number); !there {
				return false
			}
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	for _, h := range f.near() {
		at, _ := h.reached(change.Number)
		times = append(times, at.Sub(proposed))
	}
	return times, nil
}

// near are the gatherers that are not cut off.
func (f *policyFleet) near() []*hollowGatherer {
	if !f.cut {
		return f.hollow
	}
	var near []*hollowGatherer
	for _, h := range f.hollow {
		if !h.far {
			near = append(near, h)
		}
	}
	return near
}

// cutRegion cuts the region's relays; undo mends them once the minute is over, and waits until the region is back.
func (f *policyFleet) cutRegion() (undo func(), err error) {
	from := time.Now()
	f.cut = true
	for _, relay := range f.relays {
		if err := relay.Cut(true); err != nil {
			return func() {}, err
		}
	}
	return func() {
		select {
		case <-f.ctx.Done():
		case <-time.After(time.Until(from.Add(regionCut))):
		}
		for _, relay := range f.relays {
			if err := relay.Mend(); err != nil {
				f.log.WithError(err).Error("relay")
			}
		}
		f.cut = false
		mended := time.Now()
		if f.awaitLeases() == nil {
			f.returned = append(f.returned, time.Since(mended))
		}
	}, nil
}

// befall brings the fault about; what it gives undoes it once the change is over.
func (f *policyFleet) befall(number int) (undo func(), err error) {
	undo = func() {}
	switch f.terms.Fault {
	case LeaderKilled, LeaderStopped:
		leader, err := f.leader()
		if err != nil {
			return undo, err
		}
		if f.terms.Fault == LeaderStopped {
			return func() { leader.Continue() }, leader.Stop(f.ctx)
		}
		leader.Kill()
		return undo, nil
	case RegionCut:
		return f.cutRegion()
	case OneKilled, OneEnded:
		return f.crash(number, 1), nil
	case ManyKilled:
		return f.crash(number, max(len(f.hollow)/manyShare, 1)), nil
	}
	return undo, nil
}

// crash ends gatherers; undo starts others in their place.
func (f *policyFleet) crash(number, many int) (undo func()) {
	gone := f.hollow[:many]
	f.hollow = f.hollow[many:]
	var wait sync.WaitGroup
	for _, h := range gone {
		wait.Go(h.end)
	}
	wait.Wait()
	return func() {
		for i := range gone {
			f.hollow = append(f.hollow, f.startHollow(100_000*(number+1)+i))
		}
		f.awaitLeases()
	}
}

// awaitLeases waits until all gatherers go by the stewards' word.
func (f *policyFleet) awaitLeases() error {
	waiting, cancel := context.WithTimeout(f.ctx, longestStart)
	defer cancel()
	return process.WaitUntil(waiting, "all gatherers go by the stewards' word", func() bool {
		for _, h := range f.hollow {
			if !h.leased() {
				return false
			}
		}
		return true
	})
}

// Policies measures what the policies of a whole fleet cost at rest and while they change.
func Policies(ctx context.Context, t PolicyTerms) (c PolicyCost, err error) {
	if t.Stewards < 1 || t.Stewards > 9 || t.Gatherers < 1 || t.Changes < 0 {
		return c, fmt.Errorf("policies: %d stewards, %d gatherers, %d changes: 1 to 9, at least 1 and at least 0 can be", t.Stewards, t.Gatherers, t.Changes)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := startPolicyFleet(ctx, t)
	defer func() { f.close() }()
	if err != nil {
		return c, err
	}
	before := memory()
	began := time.Now()
	for i := range t.Gatherers {
		f.hollow = append(f.hollow, f.startHollow(i))
	}
	if err := f.awaitLeases(); err != nil {
		return c, err
	}
	c.Start = time.Since(began)
	if err := f.rest(&c, before); err != nil {
		return c, err
	}
	return c, f.changes(&c)
}

// rest measures the fleet with nothing to do.
func (f *policyFleet) rest(c *PolicyCost, before float64) error {
	if f.terms.Rest <= 0 {
		return nil
	}
	leader, err := f.leader()
	if err != nil {
		return err
	}
	n := float64(len(f.hollow))
	used, own, bytes, began := leader.Usage(), processorTime(), transferred(), time.Now()
	select {
	case <-f.ctx.Done():
		return f.ctx.Err()
	case <-time.After(f.terms.Rest):
	}
	seconds := time.Since(began).Seconds()
	after := leader.Usage()
	c.RestLeader, c.LeaderMB = (after.CPU-used.CPU)/seconds, after.Memory
	c.RestEach = (processorTime() - own).Seconds() / seconds / n
	c.RestBytes = (transferred() - bytes) / seconds / n
	c.EachBytes = (memory() - before) / n
	return nil
}

// changes makes the changes, one behind the other.
func (f *policyFleet) changes(c *PolicyCost) error {
	if f.terms.Changes == 0 {
		return nil
	}
	leader, err := f.leader()
	if err != nil {
		return err
	}
	defer func() { c.Returned = f.returned }()
	used, began := leader.Usage(), time.Now()
	for number := range f.terms.Changes {
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
		c.note(times)
		if f.terms.Fault == LeaderKilled {
			break // the next one would have to wait for a steward that nobody starts
		}
	}
	if leader.Alive() && !leader.Stopped() {
		c.ChangeCores = (leader.Usage().CPU - used.CPU) / time.Since(began).Seconds()
	}
	return nil
}

// note books when a change was in force at each gatherer.
func (c *PolicyCost) note(times []time.Duration) {
	seconds := make([]float64, 0, len(times))
	for _, t := range times {
		seconds = append(seconds, t.Seconds())
	}
	at := func(share float64) time.Duration {
		return time.Duration(stats.Quantile(seconds, share) * float64(time.Second))
	}
	c.InForce, c.P50, c.P99 = append(c.InForce, at(1)), append(c.P50, at(0.5)), append(c.P99, at(0.99))
}

// transferred is how many bytes this process has read and written so far.
func transferred() float64 {
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0
	}
	read, written := 0.0, 0.0
	fmt.Sscanf(string(text), "rchar: %f\nwchar: %f", &read, &written)
	return read + written
}
