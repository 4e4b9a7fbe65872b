package processtest

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"yokeroute/internal/process"
	"yokeroute/internal/storage/atomicfile"
	"yokeroute/internal/testbed/experiment"
	"yokeroute/internal/testbed/standin/discoveryserver"
)

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

	fleet      *Fleet
	mu         sync.Mutex
	process    *process.Process
	started    int
	traces     []*traceFile
	processes  []*process.Process
	struck     map[*Fault]*process.Process // by faults; the process of each
	lastStrike strike                      // the newest of them
	restarts   sync.Mutex                  // held while a fault starts a process
	agent      net.Listener                // of its view of discovery
	agentView  *http.Server
	discovery  string       // what its files call discovery, the link to its first agent unless told
	portHolder net.Listener // something else on its port
	backup     string       // its state folder as it was at its process' own start
}

// close ends a gatherer.
func (g *Gatherer) close() {
	g.fleet.end(g.Process())
	g.Free()
	g.mu.Lock()
	defer g.mu.Unlock()
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

// lastTermination returns the newest of its processes that was sent SIGTERM, whoever sent it, and how long
// ago that was; no name where none was.
func (g *Gatherer) lastTermination() (name string, since time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range slices.Backward(g.processes) {
		if at := p.SentAt(syscall.SIGTERM); !at.IsZero() {
			return p.Name, time.Since(at)
		}
	}
	return "", 0
}

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
	discovery := cmp.Or(g.discovery, f.Link(g.Name+":discovery").Address())
	config := map[string]any{
		"name":      g.Name,
		"listen":    g.Address,
		"discovery": discovery,
		"seed":      fmt.Sprintf("%x", f.Scenario.Seed*1000+uint64(g.Number)*100+uint64(g.started)),
		"limits":    map[string]any{"cores": 1.0, "memory_mb": cmp.Or(f.terms.MemoryMB, 192), "sockets": 1024},
		"settings":  own,
	}
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
	// A process may be reading them.
	return errors.Join(
		atomicfile.Write(g.ConfigFile(), text),
		atomicfile.Write(g.OperatorFile(), []byte(operator.String())),
	)
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
	trace, end, err := recordTrace(filepath.Join(g.Folder, fmt.Sprintf("trace-%d", g.started)))
	if err != nil {
		return nil, err
	}
	defer end.Close() // the process has its own
	name := fmt.Sprintf("%s.%d", g.Name, g.started)
	args := []string{"serve", "--config", g.ConfigFile(), "--operator", g.OperatorFile()}
	p, err := process.Start(name, g.Binary, args, nil, end)
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

// IsReady reports whether it takes lookups.
func (g *Gatherer) IsReady() bool { return g.Serves() && g.answers() }

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

// Occupy has something else listen on its port.
func (g *Gatherer) Occupy() (err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.portHolder == nil {
		g.portHolder, err = net.Listen("tcp", g.Address)
	}
	return err
}

// portTaken reports whether something else listens on its port.
func (g *Gatherer) portTaken() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.portHolder != nil
}

// Free takes that away.
func (g *Gatherer) Free() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.portHolder != nil {
		g.portHolder.Close()
		g.portHolder = nil
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
		classes = append(classes, map[string]any{
			"name":      ix.Name,
			"effect":    effects[ix.Effect],
			"goalTime":  us(ix.Soft),
			"hardLimit": us(ix.Hard),
			"lateValue": ix.Late,
			"worth":     ix.Gain,
			"window":    us(ix.Window),
		})
		whole = append(whole, ix.Need)
		least = append(least, ix.Least)
		partial = append(partial, ix.Partial)
	}
	r := s.Rules
	domain := map[string]any{
		"cells":        s.Layout.Sets,
		"inARow":       s.Layout.Row,
		"shards":       s.Layout.Shards,
		"partsACall":   r.CallParts,
		"call":         us(s.CallCost()),
		"completeFrom": whole,
		"classFloor":   least,
		"partialEarns": partial,
	}
	limits := map[string]any{
		"cancel":         r.Cancel != "nothing",
		"connectTimeout": us(r.Connect),
		"idleClose":      us(r.Idle),
		"streamsPerConn": 100,
		"attemptsCap":    r.Calls,
		"secondCopies":   r.Copies,
		"retryAfter":     true,
		"maxRetryAfter":  us(r.ComeBack),
		"mostHeld":       s.Gatherers.Held,
	}
	rules := map[string]any{
		"budgetShare":  r.Share,
		"extraFloor":   r.Free,
		"resendSpan":   us(r.Span),
		"drainGrace":   us(r.Grace),
		"answerSlack":  us(r.Slack + 50),
		"cold":         us(r.ColdTime),
		"coldShare":    r.ColdFrom,
		"fall":         us(r.FallSpan),
		"fallMultiple": r.FallTimes,
	}
	return map[string]any{
		"tick":      us(s.Tick),
		"balancers": s.Gatherers.Count,
		"myNumber":  number,
		"zone":      hall,
		"discovery": "pushed",
		"classes":   classes,
		"domain":    domain,
		"limits":    limits,
		"rules":     rules,
	}
}

// entry is an entry of the list as the gatherer's agent tells it: each server's address is that of its own link there.
func (g *Gatherer) entry(m discoveryserver.Member) discoveryserver.Member {
	if k, err := g.fleet.link(g.Name, m.ID, m.HostPort); err == nil {
		m.HostPort = k.Address()
	}
	return m
}
