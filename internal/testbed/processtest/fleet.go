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
	"yokeroute/internal/pcg"
	"yokeroute/internal/process"
	"yokeroute/internal/rulecheck"
	"yokeroute/internal/testbed/experiment"
	"yokeroute/internal/testbed/standin/discoveryserver"
	"yokeroute/internal/testbed/standin/shardserver"
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

// StartFleet starts a fleet and waits until all of its gatherers are ready.
func StartFleet(ctx context.Context, sc *Scenario, terms Terms) (f *Fleet, err error) {
	f = &Fleet{Scenario: sc, terms: terms, links: map[string]*Link{},
		chance: pcg.New(sc.Seed), began: time.Now()}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if f.base, f.guard, err = addresses(); err != nil {
		return nil, err
	}
	f.truth = rulecheck.GroundTruth{Servers: map[uint32]rulecheck.Server{}, SlowStart: sc.Header().SlowStart}
	var machines []experiment.Machine
	for i, m := range sc.Machines() {
		name := fmt.Sprint("s", i+1)
		machines = append(machines, experiment.Machine{Name: name, Zone: sc.Halls[m.Hall], Kind: m.Kind.Name, ReplicaSet: m.Set,
			Config: shardserver.Config{Cores: m.Kind.Cores, MeanWork: sc.Indexes[0].Work / m.Kind.Speed, WorkVariation: sc.Indexes[0].Spread, CallWork: m.Kind.Call, QueueLimit: m.Kind.Queue,
				FirstPassWork: sc.Indexes[0].Work * 0.1, KeepsCancelledWork: sc.Rules.Cancel != "waiting" && sc.Rules.Cancel != "running", Seed: sc.Seed*1000 + uint64(i)}})
		f.truth.Servers[discovery.ServerID(name)] = rulecheck.Server{Capacity: float64(m.Kind.Cores)}
	}
	if f.Fleet, err = experiment.StartFleet(machines); err != nil {
		return nil, err
	}
	for name, s := range f.Servers {
		id := discovery.ServerID(name)
		s.OnEvent(func(seen shardserver.Event) { f.see(id, seen) })
	}
	if err = f.layPolicyServers(); err != nil {
		return nil, err
	}
	if err = f.startPolicyServers(ctx); err != nil {
		return nil, err
	}
	for i := range sc.Gatherers.Count {
		g := &Gatherer{Name: fmt.Sprint("g", i+1), Number: i + 1, Hall: sc.Halls[i%len(sc.Halls)], Address: fmt.Sprintf("%s.%d:8000", f.base, 10+i), fleet: f, Binary: terms.Binary}
		if terms.Report {
			g.Reports = fmt.Sprintf("%s.%d:8001", f.base, 10+i)
		}
		g.Folder = filepath.Join(terms.Folder, g.Name)
		if err := os.MkdirAll(g.Folder, 0o755); err != nil {
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
		if _, err := f.link("front", g.Name, g.Address); err != nil {
			return nil, err
		}
		f.Gatherers = append(f.Gatherers, g)
	}
	// A few at a time: under the race detector a start takes a second of a core.
	var all []error
	var mu sync.Mutex
	var wait sync.WaitGroup
	places := make(chan struct{}, 4)
	for _, g := range f.Gatherers {
		wait.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			if err := g.Start(ctx); err != nil {
				mu.Lock()
				all = append(all, err)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	if err = errors.Join(all...); err != nil {
		return nil, err
	}
	f.Front = newFront(f)
	return f, nil
}

// see takes what a server tells of a part.
func (f *Fleet) see(id uint32, seen shardserver.Event) {
	e := rulecheck.Event{At: float64(seen.At.UnixNano()) / 1e6, Kind: rulecheck.EventKind(seen.Kind), Server: id, Shard: seen.Shard, FirstPass: seen.FirstPass, Work: seen.Work}
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
