// Package processtest is a rig for a fleet of real processes of the program: gatherers on loopback addresses of their
// own, a relay on every way between processes, a front that asks as clients do, shard servers and discovery by the
// stand-ins that there are, and faults between all of them by a seeded timeline. Each gatherer records its trace;
// joined with what the servers truly ran they show whether the fleet kept the six rules (package rules).
//
// What it cannot do: a link that is silent takes new connections, where a machine that is cut off would never answer
// their first packet; clocks are one machine's; and processes share its cores, so that times are measured here as
// ratios within one run alone.
package processtest

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"yokeroute/internal/gatherer/discovery"
	"yokeroute/internal/millis"
	"yokeroute/internal/parallel"
	"yokeroute/internal/pcg"
	"yokeroute/internal/process"
	"yokeroute/internal/rulecheck"
	"yokeroute/internal/testbed/experiment"
	"yokeroute/internal/testbed/standin/discoveryserver"
	"yokeroute/internal/testbed/standin/shardserver"
)

const (
	firstGathererHost = 10 // gatherers have addresses of the fleet from this host number on
	startsAtOnce      = 4
	firstPassShare    = 0.1  // of a part's work
	serverSeeds       = 1000 // seeds that a fleet's servers have for themselves
)

// Terms are what a fleet is started with beside its scenario.
type Terms struct {
	Binary   string // the gatherers' program
	Folder   string // for configurations, states and traces; an empty one
	Operator string // text put into each gatherer's operator's file
	State    bool   // gatherers have a state folder
	Report   bool   // and tell of themselves
	Policy   PolicyConfig
	MemoryMB float64 // what the platform says that each may use, 192 unless told

	// DirectFront has the front connect to gatherers itself: a link accepts a connection that a gatherer which does not
	// run would refuse, and resets it.
	DirectFront bool
}

// Fleet is a running fleet.
type Fleet struct {
	Scenario          *Scenario
	Gatherers         []*Gatherer
	PolicyServers     []*PolicyServer
	Front             *Front
	*experiment.Fleet // the servers and discovery

	terms  Terms
	base   string // of its addresses: 127.X.Y
	guard  net.Listener
	chance *pcg.Source
	mu     sync.Mutex
	links  map[string]*Link
	order  []string
	truth  rulecheck.GroundTruth
	faults []error
	active activeFaults

	longestStart time.Duration // of a gatherer's process that nothing held up
	said         []string
	began        time.Time
}

// addresses gives a /24 of loopback that no other fleet on this machine uses, and what holds it.
func addresses() (base string, guard net.Listener, err error) {
	for i := range 4000 {
		n := os.Getpid()*31 + i
		base = fmt.Sprintf("127.%d.%d", 64+n/250%128, n%250+1)
		if guard, err = net.Listen("tcp", base+".1:4242"); err == nil {
			return base, guard, nil
		}
	}
	return "", nil, fmt.Errorf("no free loopback addresses: %w", err)
}

// StartFleet starts a fleet and waits until all of its gatherers are ready. Where that fails nothing of it is
// left.
func StartFleet(ctx context.Context, sc *Scenario, terms Terms) (*Fleet, error) {
	f := &Fleet{Scenario: sc, terms: terms, links: map[string]*Link{},
		chance: pcg.New(sc.Seed), began: time.Now()}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// start starts all parts of a fleet, one after the other.
func (f *Fleet) start(ctx context.Context) (err error) {
	if f.base, f.guard, err = addresses(); err != nil {
		return err
	}
	f.truth = rulecheck.GroundTruth{Servers: map[uint32]rulecheck.Server{}, SlowStart: f.Scenario.Header().SlowStart}
	if f.Fleet, err = experiment.StartFleet(f.machines()); err != nil {
		return err
	}
	for name, s := range f.Servers {
		id := discovery.ServerID(name)
		s.OnEvent(func(seen shardserver.Event) { f.see(id, seen) })
	}
	if err = f.layPolicyServers(); err != nil {
		return err
	}
	if err = f.startPolicyServers(ctx); err != nil {
		return err
	}
	for i := range f.Scenario.Gatherers.Count {
		g, err := f.layGatherer(i)
		if err != nil {
			return err
		}
		f.Gatherers = append(f.Gatherers, g)
	}
	if err = f.startGatherers(ctx); err != nil {
		return err
	}
	f.Front = newFront(f)
	return nil
}

// machines are the servers' machines, which are noted in the ground truth.
func (f *Fleet) machines() (all []experiment.Machine) {
	scenario := f.Scenario
	index := &scenario.Indexes[0]
	cancel := scenario.Rules.Cancel
	for i, m := range scenario.Machines() {
		name := fmt.Sprint("s", i+1)
		config := shardserver.Config{
			Cores:              m.Kind.Cores,
			MeanWork:           index.Work / m.Kind.Speed,
			WorkVariation:      index.Spread,
			CallWork:           m.Kind.Call,
			QueueLimit:         m.Kind.Queue,
			FirstPassWork:      index.Work * firstPassShare,
			KeepsCancelledWork: cancel != "waiting" && cancel != "running",
			Seed:               scenario.Seed*serverSeeds + uint64(i),
		}
		all = append(all, experiment.Machine{
			Name:       name,
			Zone:       scenario.Halls[m.Hall],
			Kind:       m.Kind.Name,
			ReplicaSet: m.Set,
			Config:     config,
		})
		f.truth.Servers[discovery.ServerID(name)] = rulecheck.Server{Capacity: float64(m.Kind.Cores)}
	}
	return all
}

// layGatherer makes a gatherer with its address, its agent and its links, and starts nothing.
func (f *Fleet) layGatherer(i int) (*Gatherer, error) {
	host := fmt.Sprintf("%s.%d", f.base, firstGathererHost+i)
	g := &Gatherer{
		Name:    fmt.Sprint("g", i+1),
		Number:  i + 1,
		Hall:    f.Scenario.Halls[i%len(f.Scenario.Halls)],
		Address: host + ":8000",
		Binary:  f.terms.Binary,
		fleet:   f,
	}
	if f.terms.Report {
		g.Reports = host + ":8001"
	}
	g.Folder = filepath.Join(f.terms.Folder, g.Name)
	err := os.MkdirAll(g.Folder, 0o755)
	if err != nil {
		return nil, err
	}
	// Its agent, which tells it each server's address as that of its own link there.
	if g.agent, err = net.Listen("tcp", f.base+".2:0"); err != nil {
		return nil, err
	}
	g.agentView = f.Discovery.ServeView(g.agent, g.entry)
	if _, err := f.link(g.Name, "discovery", g.agent.Addr().String()); err != nil {
		return nil, err
	}
	_, err = f.link("front", g.Name, g.Address)
	return g, err
}

// startGatherers starts all gatherers, a few at a time: under the race detector a start takes a second of a core.
func (f *Fleet) startGatherers(ctx context.Context) error {
	errs := parallel.Map(len(f.Gatherers), startsAtOnce, func(i int) error { return f.Gatherers[i].Start(ctx) })
	return errors.Join(errs...)
}

// see takes what a server tells of a part.
func (f *Fleet) see(id uint32, seen shardserver.Event) {
	e := rulecheck.Event{
		At:        millis.Of(time.Duration(seen.At.UnixNano())),
		Kind:      rulecheck.EventKind(seen.Kind),
		Server:    id,
		Shard:     seen.Shard,
		FirstPass: seen.FirstPass,
		Work:      seen.Work,
	}
	e.QueryName = strings.TrimSuffix(seen.ID, "~")
	if dot := strings.LastIndexByte(e.QueryName, '.'); dot >= 0 {
		e.QueryName = e.QueryName[:dot]
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.truth.Events = append(f.truth.Events, e)
}

// link gives the link between two processes, and makes it where there is none yet.
func (f *Fleet) link(from, to, target string) (*Link, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := from + ":" + to
	if k := f.links[name]; k != nil {
		return k, nil
	}
	k, err := NewLink(from, to, f.base+".2", target, uint64(f.chance.Uint32()))
	if err != nil {
		return nil, err
	}
	f.links[name] = k
	f.order = append(f.order, name)
	return k, nil
}

// Link is the link of a name, FROM:TO.
func (f *Fleet) Link(name string) *Link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.links[name]
}

// Links are the links that a pattern stands for.
func (f *Fleet) Links(pattern string) (found []*Link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range matching(pattern, f.order) {
		found = append(found, f.links[name])
	}
	return found
}

// Gatherer is the gatherer of a name.
func (f *Fleet) Gatherer(name string) *Gatherer {
	for _, g := range f.Gatherers {
		if g.Name == name {
			return g
		}
	}
	return nil
}

// Say notes a line for who looks on.
func (f *Fleet) Say(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.said = append(f.said, fmt.Sprintf("%7.2fs  ", time.Since(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// Said are the lines so far.
func (f *Fleet) Said() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.said)
}

// Close ends all of it. Gatherers that serve are ended as in a planned restart, so that their traces are whole.
func (f *Fleet) Close() {
	if f.Front != nil {
		f.Front.Close()
	}
	var wait sync.WaitGroup
	for _, g := range f.Gatherers {
		wait.Go(g.close)
	}
	wait.Wait()
	for _, w := range f.PolicyServers {
		wait.Go(func() { f.end(w.Process()) })
	}
	wait.Wait()
	if f.Fleet != nil {
		f.Fleet.Close()
	}
	for _, name := range f.order {
		f.links[name].Close()
	}
	if f.guard != nil {
		f.guard.Close()
	}
}

// Load has the front ask until stop is called, or ctx ends.
func (f *Fleet) Load(ctx context.Context) (stop func()) {
	playing, enough := context.WithCancel(ctx)
	var load sync.WaitGroup
	load.Go(func() { f.Front.Play(playing, time.Hour) })
	return func() {
		enough()
		load.Wait()
	}
}

// end ends a process as in a planned restart, and by force where it does not heed that.
func (f *Fleet) end(p *process.Process) {
	if p == nil || !p.Alive() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := p.Terminate(ctx); err != nil {
		f.fault(fmt.Errorf("%w; disturbed links: %q", err, f.disturbedLinks()))
		p.Kill()
	}
}

// Members are the list as a gatherer's agent would tell it.
func (f *Fleet) Members(g *Gatherer) []discoveryserver.Member {
	all := f.Discovery.Members()
	for i := range all {
		all[i] = g.entry(all[i])
	}
	return all
}
