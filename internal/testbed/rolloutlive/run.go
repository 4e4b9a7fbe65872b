// Package rolloutlive runs rollouts over real processes on loopback, by several strategies: what a bad version costs
// until it is found, and how long a good one takes. Versions are programs of their own: the gatherer as it is, and
// package worse's.
package rolloutlive

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/control/rollout"
	"yokeroute/internal/testbed/processtest"
	logic "yokeroute/logic/rollout"
)

// Config is a fleet and a rollout over it.
type Config struct {
	Gatherers int
	QueryRate int    // queries a second, over the fleet
	Version   string // good, or a fault of package worse
	Seed      uint64
	Folder    string        // an empty one
	TimeLimit time.Duration // after which the rollout is abandoned
	Strategy  func(p logic.Plan, at logic.Position) logic.Strategy
}

// Outcome is what became of a rollout.
type Outcome struct {
	Version      string
	Gatherers    int
	Phase        logic.Phase
	Reason       string
	Seconds      float64    // since the controller's start
	MaxNew       int        // gatherers, at any time
	Lost         float64    // operations that earned nothing since the controller's start
	ExpectedLoss float64    // the same, at the rate before the rollout
	RulesHold    bool       // on the joined traces
	MemoryMB     [2]float64 // of a gatherer at the end: mean and greatest
}

// LostByRollout are the operations that were lost by the rollout's doing.
func (o Outcome) LostByRollout() float64 { return max(o.Lost-o.ExpectedLoss, 0) }

const (
	// calmTime is observed before the rollout, for the loss without one.
	calmTime = 8 * time.Second

	// restartDelay is for how long a gatherer that has ended is left to a step, which starts its successor itself.
	restartDelay = time.Second

	gathererMemoryMB = 32
)

const fleetText = `hall north
hall south
kind box cores 4 queue 100
layout sets 2 shards 12
servers 8 kind box
index any share 70%% parts 4 need 75%% work 2ms spread 0.5 soft 400ms hard 1.5s
index once share 30%% parts 2 work 2ms soft 400ms hard 1.5s late 0%% effect once-only
clients retries 1 wait 50ms notice 300ms rate %d/s
discovery lag 100ms
budget free 6 share 5%% in 1s
cold from 20%% warms 5s falls 3 in 2s
time length 1h warm-up 0s
gatherers %d
seed %d
`

const planText = `rollout live in %s every 500ms
old version 1
new version 2
stage one count 1 least 5s
stage some share 15%% least 5s
stage half share 50%% least 5s
stage all share 100%% least 5s
out %d zone %d
watch baseline 8s fresh 2s settle 20s
limit 4min then back
harm 10%% fresh 60%%
evidence 30
step-new true
step-old true
seed %d
`

// Run runs a rollout. Programs are built from the module in the current folder, without the race detector.
func Run(ctx context.Context, c Config) (Outcome, error) {
	r := &run{Config: c, outcome: Outcome{Version: c.Version, Gatherers: c.Gatherers}, isNew: map[string]bool{}}
	if err := r.build(); err != nil {
		return r.outcome, err
	}
	if err := r.startFleet(ctx); err != nil {
		return r.outcome, err
	}
	defer r.fleet.Close()
	err := r.underLoad(ctx)
	if err != nil {
		return r.outcome, err
	}
	r.fleet.Close()
	joint, err := r.fleet.Check()
	r.outcome.RulesHold = err == nil && joint.Passed()
	return r.outcome, err
}

// run is a rollout that is run.
type run struct {
	Config
	oldProgram, newProgram string
	fleet                  *processtest.Fleet
	outcome                Outcome

	mu    sync.Mutex
	isNew map[string]bool // by gatherer
}

// build builds the programs of both versions.
func (r *run) build() (err error) {
	r.oldProgram, err = processtest.BuildPlain("yokeroute", "yokeroute/internal/version.Set=1")
	if err != nil {
		return err
	}
	if r.Version == "good" {
		r.newProgram, err = processtest.BuildPlain("yokeroute", "yokeroute/internal/version.Set=2")
	} else {
		r.newProgram, err = processtest.BuildWorse(r.Version, "2", false)
	}
	return err
}

func (r *run) startFleet(ctx context.Context) error {
	scenario, err := processtest.Parse("live", fmt.Sprintf(fleetText, r.QueryRate, r.Gatherers, r.Seed), 0)
	if err != nil {
		return err
	}
	r.fleet, err = processtest.StartFleet(ctx, scenario, processtest.Terms{
		Binary: r.oldProgram, Folder: filepath.Join(r.Folder, "fleet"),
		State: true, Report: true, MemoryMB: gathererMemoryMB,
	})
	return err
}

// underLoad runs the rollout under load, with a supervisor, and counts what it cost.
func (r *run) underLoad(ctx context.Context) error {
	stopLoad := r.fleet.Load(ctx)
	defer stopLoad()
	supervised, stop := context.WithCancel(ctx)
	var supervisor sync.WaitGroup
	defer supervisor.Wait()
	defer stop()
	supervisor.Go(func() { supervise(supervised, r.fleet) })
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(calmTime):
	}
	calm := r.fleet.Front.Total()
	startedAt := time.Now()
	if err := r.runController(ctx); err != nil {
		return err
	}
	r.outcome.Seconds = time.Since(startedAt).Seconds()
	total := r.fleet.Front.Total()
	calmLoss := calm.Asked - calm.Value
	r.outcome.Lost = (total.Asked - total.Value) - calmLoss
	r.outcome.ExpectedLoss = calmLoss / max(calm.Asked, 1e-9) * (total.Asked - calm.Asked)
	for _, g := range r.fleet.Gatherers {
		memory := g.Process().Usage().Memory
		r.outcome.MemoryMB[0] += memory / float64(len(r.fleet.Gatherers))
		r.outcome.MemoryMB[1] = max(r.outcome.MemoryMB[1], memory)
	}
	return nil
}

// runController carries the rollout out in this process.
func (r *run) runController(ctx context.Context) error {
	plan, err := r.writePlan()
	if err != nil {
		return err
	}
	quiet := logrus.New()
	quiet.SetLevel(logrus.ErrorLevel)
	overrides := rollout.Overrides{Strategy: r.Strategy, Step: r.step}
	c, err := rollout.OpenWithOverrides(ctx, plan, false, quiet, overrides)
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, r.TimeLimit)
	defer cancel()
	status, err := c.Run(limited)
	if status != nil {
		r.outcome.Phase = status.Phase
		r.outcome.Reason = status.Reason
	}
	if limited.Err() != nil && ctx.Err() == nil {
		return nil // abandoned: the outcome is as it stands
	}
	return err
}

// writePlan writes and reads the rollout's plan.
func (r *run) writePlan() (*rollout.Plan, error) {
	var text strings.Builder
	fmt.Fprintf(&text, planText, filepath.Join(r.Folder, "run"), max(r.Gatherers/10, 1), max(r.Gatherers/20, 1), r.Seed)
	for _, g := range r.fleet.Gatherers {
		fmt.Fprintf(&text, "gatherer %s zone %s report %s\n", g.Name, g.Hall, g.Reports)
	}
	file := filepath.Join(r.Folder, "plan.conf")
	if err := os.WriteFile(file, []byte(text.String()), 0o644); err != nil {
		return nil, err
	}
	return rollout.ReadPlan(file)
}

// step restarts a gatherer as a variant.
func (r *run) step(ctx context.Context, name string, to logic.Variant) error {
	g := r.fleet.Gatherer(name)
	p := g.Process()
	p.ExpectExit()
	if p.Alive() {
		if err := p.Terminate(ctx); err != nil {
			return err
		}
	}
	g.Binary = r.oldProgram
	if to == logic.New {
		g.Binary = r.newProgram
	}
	r.countNew(name, to)
	return g.StartFrail(ctx)
}

// countNew keeps how many gatherers are new.
func (r *run) countNew(name string, to logic.Variant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isNew[name] = to == logic.New
	news := 0
	for _, is := range r.isNew {
		if is {
			news++
		}
	}
	r.outcome.MaxNew = max(r.outcome.MaxNew, news)
}

// supervise restarts gatherers that have ended by themselves, as a platform does, until ctx ends.
func supervise(ctx context.Context, f *processtest.Fleet) {
	var gatherers sync.WaitGroup
	defer gatherers.Wait()
	for _, g := range f.Gatherers {
		gatherers.Go(func() {
			for ctx.Err() == nil {
				restartOnce(ctx, g)
			}
		})
	}
}

// restartOnce waits for the end of a gatherer's process and restarts it, unless a step has.
func restartOnce(ctx context.Context, g *processtest.Gatherer) {
	p := g.Process()
	select {
	case <-ctx.Done():
		return
	case <-p.Exited():
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(restartDelay):
	}
	if g.Process() != p || p.Err() == nil {
		return
	}
	if next, err := g.Launch(); err == nil {
		next.ExpectExit()
	}
}
