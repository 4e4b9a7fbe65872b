package rollout_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"yokeroute/internal/control/rollout"
	"yokeroute/internal/gatherer/report"
	"yokeroute/internal/process"
	"yokeroute/internal/rulecheck"
	"yokeroute/internal/testbed/processtest"
)

func TestMain(m *testing.M) {
	if len(os.Args) == 6 && os.Args[1] == "order" { // this is a plan's command
		os.Exit(processtest.Order(os.Args[2], os.Args[3], os.Args[4], os.Args[5]))
	}
	status := m.Run()
	processtest.Unbuild()
	os.Exit(status)
}

// scene is a fleet of processes under load, the programs that it may run, and a rollout over it.
type scene struct {
	*testing.T
	ctx    context.Context
	fleet  *processtest.Fleet
	steps  *processtest.Steps
	folder string
	stop   func() // ends the load

	oldProgram, newProgram string
	newOperatorFile        string                 // text that the old operator's file lacks
	worse                  atomic.Pointer[string] // a program that takes the place of newProgram in steps

	beforeStep  atomic.Pointer[func(s processtest.Step) error]
	stepLocks   sync.Map // *sync.Mutex by gatherer
	controllers int      // started
}

const fleetText = `hall north
hall south
kind box cores 4 queue 100
layout sets 2 shards 12
servers 6 kind box
index any share 65% parts 4 need 75% work 6ms spread 0.5 soft 500ms hard 1.5s
index once share 30% parts 2 work 6ms soft 500ms hard 1.5s late 0% effect once-only
index rare share 5% parts 2 work 6ms soft 500ms hard 1.5s
clients retries 2 wait 50ms notice 300ms rate {rate}/s
discovery lag 100ms
budget free 6 share 5% in 1s
cold from 20% warms 5s falls 3 in 2s
time length 10min warm-up 0s
gatherers {gatherers}
`

// startScene starts a fleet of so many gatherers under load. Where a step to the new is ordered, the gatherer is ended
// as in a planned restart and started as the new program, with the new operator's text.
func startScene(t *testing.T, gatherers, rate int, newOperatorFile string) *scene {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Second)
	t.Cleanup(cancel)
	s := &scene{T: t, folder: t.TempDir(), newOperatorFile: newOperatorFile, ctx: ctx}
	var err error
	if s.oldProgram, err = processtest.Build("yokeroute", "yokeroute/internal/version.Set=1"); err == nil {
		s.newProgram, err = processtest.Build("yokeroute", "yokeroute/internal/version.Set=2")
	}
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(
		"{rate}", strconv.Itoa(rate), "{gatherers}", strconv.Itoa(gatherers),
	).Replace(fleetText)
	sc, err := processtest.Parse(t.Name(), text, 0)
	if err != nil {
		t.Fatal(err)
	}
	if s.fleet, err = processtest.StartFleet(ctx, sc, processtest.Terms{
		Binary: s.oldProgram, Folder: filepath.Join(s.folder, "fleet"), State: true, Report: true,
	}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.fleet.Close)
	if s.steps, err = s.fleet.TakeSteps(s.step); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.steps.Close)
	s.stop = s.fleet.Load(ctx)
	t.Cleanup(s.stop)
	return s
}

func (s *scene) step(ctx context.Context, order processtest.Step) error {
	if before := s.beforeStep.Load(); before != nil {
		if err := (*before)(order); err != nil {
			return err
		}
	}
	g := s.fleet.Gatherer(order.Gatherer)
	one, _ := s.stepLocks.LoadOrStore(g.Name, &sync.Mutex{})
	if !one.(*sync.Mutex).TryLock() {
		s.Errorf("two steps of %s at once", g.Name)
		return fmt.Errorf("another step is under way")
	}
	defer one.(*sync.Mutex).Unlock()
	ctx = context.WithoutCancel(ctx)
	if p := g.Process(); p.Alive() {
		if err := p.Terminate(ctx); err != nil {
			return err
		}
	}
	g.Binary = s.oldProgram
	g.Operator = ""
	if order.To == "new" {
		g.Binary = s.newProgram
		g.Operator = s.newOperatorFile
		if worse := s.worse.Load(); worse != nil {
			g.Binary = *worse
		}
	}
	if s.worse.Load() != nil {
		return g.StartFrail(s.ctx)
	}
	return g.Start(s.ctx)
}

// plan writes a plan whose steps go to the rig; its gatherers are reached over links.
func (s *scene) plan(name, more string) string {
	s.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "rollout %s in %s every 250ms\n", name, filepath.Join(s.folder, name))
	for _, g := range s.fleet.Gatherers {
		link, err := s.fleet.ReportLink(g)
		if err != nil {
			s.Fatal(err)
		}
		fmt.Fprintf(&b, "gatherer %s zone %s report %s\n", g.Name, g.Hall, link.Address())
	}
	for kind, to := range map[string]string{"step-new": "new", "step-old": "old"} {
		fmt.Fprintf(&b, "%s %q order %q \"{name}\" %s \"{fence}\" limit 100s\n", kind, os.Args[0], s.steps.URL(), to)
	}
	b.WriteString(more)
	file := filepath.Join(s.folder, name+".conf")
	if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
		s.Fatal(err)
	}
	return file
}

// programStages tells old from new by version, with stages and times for a test. No index is judged unless a test says
// so: a few lookups a second beside other tests tell too little within its time.
const programStages = `old version 1
new version 2
stage one count 1 least 1s
stage some share 34% least 1s
stage all share 100% least 1s
out 2 zone 1
watch baseline 2s fresh 300ms settle 90s
limit 250s then back rough 240s
harm 20% fresh 90% cost 100%
evidence 10 judged 100%
seed 3
`

// startController starts a controller.
func (s *scene) startController(args ...string) *process.Process {
	s.Helper()
	s.controllers++
	name := fmt.Sprint("controller.", s.controllers)
	p, err := process.Start(name, s.newProgram, append([]string{"rollout"}, args...), nil)
	if err != nil {
		s.Fatal(err)
	}
	p.ExpectExit()
	s.Cleanup(func() {
		p.Signal(syscall.SIGCONT)
		p.Kill()
	})
	return p
}

// waitUntil waits for something that a controller is to bring about.
func (s *scene) waitUntil(c *process.Process, what string, holds func() bool) {
	s.Helper()
	if err := process.WaitUntil(s.ctx, what, func() bool { return holds() || !c.Alive() }); err != nil {
		s.Fatal(err, c.Log())
	}
	if !c.Alive() && !holds() {
		s.Fatalf("%s: the controller has ended with %d: %s", what, exitStatus(c), c.Log())
	}
}

// waitEnd waits for a controller's end and gives its status, and what it printed last.
func (s *scene) waitEnd(c *process.Process) (code int, last rollout.Status) {
	s.Helper()
	if err := c.Wait(s.ctx); err != nil {
		s.Fatal(err, c.Log())
	}
	if at := strings.LastIndex(c.Log(), `{"rollout"`); at >= 0 {
		if err := json.Unmarshal([]byte(c.Log()[at:]), &last); err != nil {
			s.Fatal(err, c.Log())
		}
	}
	return exitStatus(c), last
}

func exitStatus(p *process.Process) int {
	if err, is := p.Err().(interface{ ExitCode() int }); is {
		return err.ExitCode()
	}
	return 0
}

// countVersions counts the gatherers that tell each version.
func (s *scene) countVersions() map[string]int {
	s.Helper()
	versions := map[string]int{}
	for _, g := range s.fleet.Gatherers {
		resp, err := http.Get("http://" + g.Reports + report.ReportPath)
		if err != nil {
			versions["none"]++
			continue
		}
		d, err := report.Read(resp.Body)
		resp.Body.Close()
		if err != nil {
			s.Fatal(err)
		}
		versions[d.Version]++
	}
	return versions
}

// finish ends the load and the fleet, and checks that all processes together kept the rules.
func (s *scene) finish() *rulecheck.JoinedReport {
	s.Helper()
	s.stop()
	j, err := s.fleet.Verdict()
	if j == nil {
		s.Fatal(err)
	} else if err != nil {
		s.Error(err)
	}
	return j
}

// settingsOnly tells old from new by the operator's file alone: both are the same program. Files differ by gatherer
// only in what the rig puts there, so that each gatherer's own are named.
func (s *scene) settingsOnly(more string) string {
	s.Helper()
	for _, g := range s.fleet.Gatherers {
		for side, text := range map[string]string{"old": "", "new": s.newOperatorFile} {
			g.Operator = text
			if err := g.WriteFiles(); err != nil {
				s.Fatal(err)
			}
			written, err := os.ReadFile(g.OperatorFile())
			if err != nil {
				s.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(s.folder, g.Name+"-"+side+".conf"), written, 0o644); err != nil {
				s.Fatal(err)
			}
		}
		g.Operator = ""
		if err := g.WriteFiles(); err != nil {
			s.Fatal(err)
		}
	}
	return strings.NewReplacer(
		"old version 1", `old operator "{name}-old.conf"`,
		"new version 2", `new operator "{name}-new.conf"`,
	).Replace(programStages) + more
}

// supervise starts a gatherer again where it has died by itself as the new program.
func (s *scene) supervise(ctx context.Context, g *processtest.Gatherer) {
	for ctx.Err() == nil {
		p := g.Process()
		select {
		case <-ctx.Done():
			return
		case <-p.Exited():
		}
		one, _ := s.stepLocks.LoadOrStore(g.Name, &sync.Mutex{})
		one.(*sync.Mutex).Lock() // a step that has ended it starts its successor itself
		if g.Process() == p && ctx.Err() == nil {
			if g.StartFrail(ctx) != nil && g.Process().Alive() && ctx.Err() == nil {
				s.Errorf("%s does not come up again", g.Name)
			}
		}
		one.(*sync.Mutex).Unlock()
	}
}

// startControllerOf starts a controller of a given program.
func (s *scene) startControllerOf(program string, args ...string) *process.Process {
	s.Helper()
	was := s.newProgram
	s.newProgram = program
	defer func() { s.newProgram = was }()
	return s.startController(args...)
}
