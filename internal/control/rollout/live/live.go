// Package live plays rollouts over real processes on loopback, by several judges: what a bad version costs where it is
// found, and how long a good one takes. Versions are programs of their own: the gatherer as it is, and package worse's.
package live

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

// Terms are a fleet and a rollout over it.
type Terms struct {
	Gatherers int
	Rate      int    // lookups a second over the fleet
	Kind      string // good, or a fault of package worse
	Seed      uint64
	Folder    string        // an empty one
	Limit     time.Duration // after which it is given up
	Judge     func(p logic.Plan, at logic.Position) logic.Strategy
}

// Outcome is what became of one.
type Outcome struct {
	Kind, Judge string
	Gatherers   int
	Phase       logic.Phase
	Why         string
	Took        float64    // seconds from the controller's start
	MostNew     int        // at any time
	Lost        float64    // operations that earned nothing since the controller's start
	Before      float64    // the same over the same time, at the share lost before it
	Kept        bool       // the six rules, on the joined traces
	Memory      [2]float64 // MB of a gatherer, mean and most, at the end
}

// Harmed are the operations lost by the rollout's doing.
func (o Outcome) Harmed() float64 { return max(o.Lost-o.Before, 0) }

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

// Play plays one. Programs are built from the module in the current folder, without the race detector.
func Play(ctx context.Context, t Terms) (out Outcome, err error) {
	out = Outcome{Kind: t.Kind, Gatherers: t.Gatherers}
	old, err := processtest.BuildPlain("yokeroute", "yokeroute/internal/version.Set=1")
	if err != nil {
		return out, err
	}
	newer := ""
	if t.Kind == "good" {
		newer, err = processtest.BuildPlain("yokeroute", "yokeroute/internal/version.Set=2")
	} else {
		newer, err = processtest.BuildWorse(t.Kind, "2", false)
	}
	if err != nil {
		return out, err
	}
	sc, err := processtest.Parse("live", fmt.Sprintf(fleetText, t.Rate, t.Gatherers, t.Seed), 0)
	if err != nil {
		return out, err
	}
	f, err := processtest.StartFleet(ctx, sc, processtest.Terms{Binary: old, Folder: filepath.Join(t.Folder, "fleet"), State: true, Report: true, MemoryMB: 32})
	if err != nil {
		return out, err
	}
	defer f.Close()
	stop := f.Load(ctx)
	defer stop()
	watched, enough := context.WithCancel(ctx)
	defer enough()
	var watch sync.WaitGroup
	watch.Go(func() { supervise(watched, f) })
	// What the fleet loses without a change, to take off.
	select {
	case <-ctx.Done():
		return out, ctx.Err()
	case <-time.After(8 * time.Second):
	}
	calm := f.Front.Total()
	began := time.Now()
	if err := t.control(ctx, f, old, newer, &out); err != nil {
		return out, err
	}
	out.Took = time.Since(began).Seconds()
	total := f.Front.Total()
	out.Lost = (total.Asked - total.Value) - (calm.Asked - calm.Value)
	out.Before = (calm.Asked - calm.Value) / max(calm.Asked, 1e-9) * (total.Asked - calm.Asked)
	for _, g := range f.Gatherers {
		use := g.Process().Usage()
		out.Memory[0] += use.Memory / float64(len(f.Gatherers))
		out.Memory[1] = max(out.Memory[1], use.Memory)
	}
	enough()
	watch.Wait()
	stop()
	f.Close()
	joint, err := f.Check()
	out.Kept = err == nil && joint.Passed()
	return out, err
}

// control carries the rollout out in this process.
func (t *Terms) control(ctx context.Context, f *processtest.Fleet, old, newer string, out *Outcome) error {
	var b strings.Builder
	fmt.Fprintf(&b, planText, filepath.Join(t.Folder, "run"), max(t.Gatherers/10, 1), max(t.Gatherers/20, 1), t.Seed)
	for _, g := range f.Gatherers {
		fmt.Fprintf(&b, "gatherer %s zone %s report %s\n", g.Name, g.Hall, g.Reports)
	}
	file := filepath.Join(t.Folder, "plan.conf")
	if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
		return err
	}
	plan, err := rollout.ReadPlan(file)
	if err != nil {
		return err
	}
	quiet := logrus.New()
	quiet.SetLevel(logrus.ErrorLevel)
	var mu sync.Mutex
	is := map[string]bool{} // new ones
	step := func(ctx context.Context, name string, to logic.Variant) error {
		g := f.Gatherer(name)
		p := g.Process()
		p.ExpectExit()
		if p.Alive() {
			if err := p.Terminate(ctx); err != nil {
				return err
			}
		}
		g.Binary = old
		if to == logic.New {
			g.Binary = newer
		}
		mu.Lock()
		is[name] = to == logic.New
		news := 0
		for _, n := range is {
			if n {
				news++
			}
		}
		out.MostNew = max(out.MostNew, news)
		mu.Unlock()
		return g.StartFrail(ctx)
	}
	c, err := rollout.OpenWithOverrides(ctx, plan, false, quiet, rollout.Overrides{Strategy: t.Judge, Step: step})
	if err != nil {
		return err
	}
	limited, cancel := context.WithTimeout(ctx, t.Limit)
	defer cancel()
	s, err := c.Run(limited)
	if s != nil {
		out.Phase, out.Why = s.Phase, s.Reason
	}
	if limited.Err() != nil && ctx.Err() == nil {
		return nil // given up: told as it stands
	}
	return err
}

// supervise starts gatherers again that have ended by themselves, as a platform does.
func supervise(ctx context.Context, f *processtest.Fleet) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, g := range f.Gatherers {
		wait.Go(func() {
			for ctx.Err() == nil {
				p := g.Process()
				select {
				case <-ctx.Done():
					return
				case <-p.Exited():
				}
				// One that was ended by a step has its successor by then.
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Second):
				}
				if g.Process() == p && p.Err() != nil {
					if next, err := g.Launch(); err == nil {
						next.ExpectExit()
					}
				}
			}
		})
	}
}
