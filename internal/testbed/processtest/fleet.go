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
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
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

// Gatherer is one gatherer of a fleet, through all of its processes.
type Gatherer struct {
	Name, Hall string
	Number     int // from 1
	Address    string
	Reports    string // where it tells of itself, empty where it does not
	Folder     string
	Binary     string // for the next start
	Operator   string // further text of the operator's file, for the next start or SIGHUP
	Known      string // JSON of the list that the platform says it last held, for the next start

	fleet     *Fleet
	mu        sync.Mutex
	process   *process.Process
	started   int
	traces    []*tape
	processes []*process.Process
	struck    map[*Fault]*process.Process // by faults; the process of each
	restarts  sync.Mutex                  // held while a fault starts a process
	agent     net.Listener
	taken     net.Listener // something else on its port
	backup    string       // its state folder as it was at its process' own start
}

// tape is the trace of one process. It comes over a pipe, so that the process writes it even where its files may not
// grow, and what it has written before it is killed is there.
type tape struct {
	file  string
	whole chan struct{} // closed once all of it is in the file
}

// record begins a tape; the pipe's end is for the process.
func record(file string) (*tape, *os.File, error) {
	to, err := os.Create(file)
	if err != nil {
		return nil, nil, err
	}
	from, end, err := os.Pipe()
	if err != nil {
		to.Close()
		return nil, nil, err
	}
	t := &tape{file, make(chan struct{})}
	go func() {
		defer close(t.whole)
		io.Copy(to, from)
		to.Close()
		from.Close()
	}()
	return t, end, nil
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
		f.Discovery.ServeView(g.agent, g.entry)
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

// fault notes what went wrong with the rig or a process.
func (f *Fleet) fault(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, err)
}

// noteStart notes how long a gatherer's process took until it was ready.
func (f *Fleet) noteStart(took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.longestStart = max(f.longestStart, took)
}

// LongestStart returns how long a gatherer's process took until it was ready, at most.
func (f *Fleet) LongestStart() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.longestStart
}

// SaveLogs writes what each process has written to a file of its own.
func (f *Fleet) SaveLogs(folder string) error {
	var errs []error
	for _, p := range f.allProcesses() {
		errs = append(errs, os.WriteFile(filepath.Join(folder, p.Name+".log"), []byte(p.Log()), 0o644))
	}
	return errors.Join(errs...)
}

// allProcesses are the processes of gatherers and policy servers, those that have ended included.
func (f *Fleet) allProcesses() (processes []*process.Process) {
	for _, g := range f.Gatherers {
		g.mu.Lock()
		processes = append(processes, g.processes...)
		g.mu.Unlock()
	}
	for _, w := range f.PolicyServers {
		w.mu.Lock()
		processes = append(processes, w.processes...)
		w.mu.Unlock()
	}
	return processes
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

// Faults are what went wrong that nobody asked for: races, panics, processes that ended by themselves, faults of the
// rig.
func (f *Fleet) Faults() error {
	f.mu.Lock()
	all := slices.Clone(f.faults)
	f.mu.Unlock()
	for _, p := range f.allProcesses() {
		if err := p.Failure(); err != nil {
			all = append(all, err)
		}
	}
	return errors.Join(all...)
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

// Check joins the traces of all processes with what the servers ran, and checks the rules. Processes that still serve
// have to be ended before, by Close. That answers come in time is not judged: a process that was stopped gives none,
// and under the race detector on few cores none is sure to.
func (f *Fleet) Check() (*rulecheck.JoinedReport, error) {
	sources, done, err := f.sources()
	defer done()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	truth := f.truth
	truth.Events = slices.Clone(f.truth.Events)
	f.mu.Unlock()
	return rulecheck.Join(sources, &truth, rulecheck.JoinOptions{OperationOf: Operation, DeadlineSlack: 60_000})
}

// sources are the traces of all processes, once they are whole; done closes them.
func (f *Fleet) sources() (all []rulecheck.Source, done func(), err error) {
	done = func() {
		for _, s := range all {
			s.Trace.(*os.File).Close()
		}
	}
	for _, g := range f.Gatherers {
		g.mu.Lock()
		traces := slices.Clone(g.traces)
		g.mu.Unlock()
		for i, t := range traces {
			<-t.whole
			file, err := os.Open(t.file)
			if err != nil {
				return all, done, err
			}
			all = append(all, rulecheck.Source{Name: fmt.Sprintf("%s, process %d", g.Name, i+1), Gatherer: g.Number, Trace: file})
		}
	}
	return all, done, nil
}

// Verdict ends a fleet and says what went wrong: faults of its processes, and rules that they broke together.
func (f *Fleet) Verdict() (*rulecheck.JoinedReport, error) {
	f.Close()
	j, err := f.Check()
	if err == nil && !j.Passed() {
		err = fmt.Errorf("%v; %s", j.Violations, j.Incomplete)
	}
	return j, errors.Join(f.Faults(), err)
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

// disturbedLinks returns the names of the links that are cut or do something to what passes.
func (f *Fleet) disturbedLinks() (names []string) {
	for _, link := range f.Links("*") {
		if weather, gone, _ := link.state(); gone || weather != (Weather{}) {
			names = append(names, link.Name())
		}
	}
	return names
}

// close ends a gatherer.
func (g *Gatherer) close() {
	g.fleet.end(g.Process())
	g.Free()
	if g.agent != nil {
		g.agent.Close()
	}
}

// Process is its newest process, nil before the first.
func (g *Gatherer) Process() *process.Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process
}

// StateFolder is where its state outlasts its processes.
func (g *Gatherer) StateFolder() string { return filepath.Join(g.Folder, "state") }

// ConfigFile and OperatorFile are what it reads.
func (g *Gatherer) ConfigFile() string { return filepath.Join(g.Folder, "config.json") }

// OperatorFile is the operator's own file of the gatherer.
func (g *Gatherer) OperatorFile() string { return filepath.Join(g.Folder, "operator.conf") }

// WriteFiles writes what the next process reads, and what a SIGHUP has the one that serves read again.
func (g *Gatherer) WriteFiles() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.write()
}

func (g *Gatherer) write() error {
	f := g.fleet
	own := f.Scenario.settings(g.Number-1, g.Hall)
	config := map[string]any{"name": g.Name, "listen": g.Address, "discovery": f.Link(g.Name + ":discovery").Address(), "seed": fmt.Sprintf("%x", f.Scenario.Seed*1000+uint64(g.Number)*100+uint64(g.started)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": cmp.Or(f.terms.MemoryMB, 192), "sockets": 1024}, "settings": own}
	if g.Known != "" {
		config["known"] = json.RawMessage(g.Known)
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	var operator strings.Builder
	operator.WriteString("record /proc/self/fd/3 most 256MB at-once\n")
	if f.terms.State {
		operator.WriteString("state in state keep 1min\n")
	}
	if g.Reports != "" {
		fmt.Fprintf(&operator, "report listen %s\n", g.Reports)
	}
	governed, err := g.policyDirectives()
	if err != nil {
		return err
	}
	operator.WriteString(governed)
	operator.WriteString(f.terms.Operator + "\n" + g.Operator + "\n")
	return errors.Join(os.WriteFile(g.ConfigFile(), text, 0o644), os.WriteFile(g.OperatorFile(), []byte(operator.String()), 0o644))
}

// Start starts a process of it and waits until it is ready.
func (g *Gatherer) Start(ctx context.Context) error {
	p, err := g.Launch()
	if err != nil {
		return err
	}
	return g.Ready(ctx, p)
}

// StartFrail is Start for a process that may end by itself, at any time from its start on.
func (g *Gatherer) StartFrail(ctx context.Context) error {
	p, err := g.Launch()
	if err != nil {
		return err
	}
	p.ExpectExit()
	return g.Ready(ctx, p)
}

// Launch starts a process of it and does not wait.
func (g *Gatherer) Launch() (*process.Process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started++
	if err := g.save(); err != nil {
		return nil, err
	}
	if err := g.write(); err != nil {
		return nil, err
	}
	trace, end, err := record(filepath.Join(g.Folder, fmt.Sprintf("trace-%d", g.started)))
	if err != nil {
		return nil, err
	}
	defer end.Close() // the process has its own
	p, err := process.Start(fmt.Sprintf("%s.%d", g.Name, g.started), g.Binary, []string{"serve", "--config", g.ConfigFile(), "--operator", g.OperatorFile()}, nil, end)
	if err != nil {
		return nil, err
	}
	g.process, g.processes, g.traces = p, append(g.processes, p), append(g.traces, trace)
	return p, nil
}

// Ready waits until a process of it takes lookups.
func (g *Gatherer) Ready(ctx context.Context, p *process.Process) error {
	ctx, cancel := context.WithTimeout(ctx, 120*time.Second)
	defer cancel()
	startedAt := time.Now()
	err := process.WaitUntil(ctx, g.Name+" is ready", func() bool { return !p.Alive() || g.answers() })
	if err == nil && p.Alive() && !p.Sent(syscall.SIGSTOP) {
		g.fleet.noteStart(time.Since(startedAt))
	}
	if err == nil && !p.Alive() && !p.ExitExpected() { // another fault may have ended it meanwhile
		err = fmt.Errorf("%s ended at its start: %v: %.2000s", p.Name, p.Err(), p.Log())
	}
	return err
}

func (g *Gatherer) answers() bool { return experiment.IsReady(g.Address) }

// Serves reports whether its newest process runs and is not stopped.
func (g *Gatherer) Serves() bool {
	p := g.Process()
	return p != nil && p.Alive() && !p.Stopped()
}

// Kill ends its process with no warning.
func (g *Gatherer) Kill() {
	if p := g.Process(); p != nil && p.Alive() {
		p.Kill()
	}
}

// save keeps the state folder as it is, for a later start with a stale one.
func (g *Gatherer) save() error {
	if !g.fleet.terms.State {
		return nil
	}
	backup := filepath.Join(g.Folder, fmt.Sprintf("backup-%d", g.started))
	if err := os.MkdirAll(g.StateFolder(), 0o755); err != nil {
		return err
	}
	g.backup = backup
	return os.CopyFS(backup, os.DirFS(g.StateFolder()))
}

// Age makes its state folder what the next process is to find: kept, stale (as it was when its last process started),
// torn (its newest file lacks its last bytes) or gone.
func (g *Gatherer) Age(state string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.fleet.terms.State {
		return nil
	}
	switch state {
	case "stale":
		if err := os.RemoveAll(g.StateFolder()); err != nil {
			return err
		}
		return os.CopyFS(g.StateFolder(), os.DirFS(g.backup))
	case "gone":
		return os.RemoveAll(g.StateFolder())
	case "torn":
		return tear(g.StateFolder())
	}
	return nil
}

// tear takes the last bytes of the newest file of a folder that has any.
func tear(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return err
	}
	newest, size, at := "", int64(0), time.Time{}
	for _, e := range entries {
		if info, err := e.Info(); err == nil && info.Mode().IsRegular() && info.Size() > 0 && !info.ModTime().Before(at) {
			newest, size, at = filepath.Join(folder, e.Name()), info.Size(), info.ModTime()
		}
	}
	if newest == "" {
		return nil
	}
	return os.Truncate(newest, size-min(size, 7))
}

// Occupy has something else listen on its port.
func (g *Gatherer) Occupy() (err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.taken == nil {
		g.taken, err = net.Listen("tcp", g.Address)
	}
	return err
}

// Free takes that away.
func (g *Gatherer) Free() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.taken != nil {
		g.taken.Close()
		g.taken = nil
	}
}

// settings are what the platform would tell a gatherer of this fleet: the scenario's terms in the platform's words,
// times in microseconds.
func (s *Scenario) settings(number int, hall string) map[string]any {
	us := func(ms float64) float64 { return ms * 1000 }
	var classes []map[string]any
	var whole, least, partial []float64
	effects := map[string]string{"idempotent": "pure", "fingerprinted": "token", "once-only": "side_effect"}
	for _, ix := range s.Indexes {
		classes = append(classes, map[string]any{"name": ix.Name, "effect": effects[ix.Effect], "goalTime": us(ix.Soft), "hardLimit": us(ix.Hard), "lateValue": ix.Late, "worth": ix.Gain, "window": us(ix.Window)})
		whole, least, partial = append(whole, ix.Need), append(least, ix.Least), append(partial, ix.Partial)
	}
	r := s.Rules
	return map[string]any{"tick": us(s.Tick), "balancers": s.Gatherers.Count, "myNumber": number, "zone": hall, "discovery": "pushed", "classes": classes,
		"domain": map[string]any{"cells": s.Layout.Sets, "inARow": s.Layout.Row, "shards": s.Layout.Shards, "partsACall": r.CallParts, "call": us(s.CallCost()), "completeFrom": whole, "classFloor": least, "partialEarns": partial},
		"limits": map[string]any{"cancel": r.Cancel != "nothing", "connectTimeout": us(r.Connect), "idleClose": us(r.Idle), "streamsPerConn": 100, "attemptsCap": r.Calls, "secondCopies": r.Copies, "retryAfter": true, "maxRetryAfter": us(r.ComeBack), "mostHeld": s.Gatherers.Held},
		"rules":  map[string]any{"budgetShare": r.Share, "extraFloor": r.Free, "resendSpan": us(r.Span), "drainGrace": us(r.Grace), "answerSlack": us(r.Slack + 50), "cold": us(r.ColdTime), "coldShare": r.ColdFrom, "fall": us(r.FallSpan), "fallMultiple": r.FallTimes}}
}

// entry is an entry of the list as the gatherer's agent tells it: each server's address is that of its own link there.
func (g *Gatherer) entry(m discoveryserver.Member) discoveryserver.Member {
	if k, err := g.fleet.link(g.Name, m.ID, m.HostPort); err == nil {
		m.HostPort = k.Address()
	}
	return m
}

// Members are the list as a gatherer's agent would tell it.
func (f *Fleet) Members(g *Gatherer) []discoveryserver.Member {
	all := f.Discovery.Members()
	for i := range all {
		all[i] = g.entry(all[i])
	}
	return all
}
