package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"yokeroute/internal/pcg"
	"yokeroute/internal/process"
	"yokeroute/internal/testbed/processtest"
	logic "yokeroute/logic/rollout"
)

const (
	maxControllerFaults = 6
	minControllerRun    = 50 * time.Millisecond // until it is killed or stopped
	maxControllerRun    = 2 * time.Second
	controllerStopTime  = 300 * time.Millisecond
	rolloutTimeout      = 100 * time.Second
	stepTimeout         = 30 * time.Second
	rolloutName         = "soak-rollout"
	newOperatorText     = "trace keep 50\n" // what tells the new operator's file from the old one
)

// rolloutStages changes one gatherer, some and all. No class is judged: faults of servers would stop it.
const rolloutStages = `old operator "{name}-old.conf"
new operator "{name}-new.conf"
stage one count 1 least 500ms
stage some share 34% least 500ms
stage all share 100% least 500ms
out 2 zone 1
watch baseline 1s fresh 300ms settle 60s
limit 90s then back rough 80s
harm 20% fresh 90% cost 100%
evidence 10 judged 100%
seed 3
`

// rolloutDay is a rollout over a fleet whose controller is killed and stopped.
type rolloutDay struct {
	fleet   *processtest.Fleet
	program string
	order   []string // the command that orders a step, without its arguments
	folder  string
	random  *pcg.Source
	plan    string // file

	supersessions *pcg.Source      // whether a controller that is stopped is taken over from
	running       *process.Process // the controller that has taken over, nil for none
	controllers   []*process.Process

	mu       sync.Mutex
	stepping map[string]bool // gatherers with a step under way
	steps    int
	faults   []error
}

// runRollout carries a rollout out. Its controller is killed or stopped at drawn moments, and another one goes on.
func runRollout(ctx context.Context, f *processtest.Fleet, o Options, folder string, seed uint64) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	d := &rolloutDay{fleet: f, program: o.Program, order: o.OrderCommand, folder: folder,
		random: pcg.New(seed ^ 0x2011), supersessions: pcg.New(seed ^ 0x7a6e), stepping: map[string]bool{}}
	steps, err := f.TakeSteps(d.step)
	if err != nil {
		return err
	}
	defer steps.Close()
	if err := d.writePlan(steps.URL()); err != nil {
		return err
	}
	disturbed, err := d.runControllers(ctx)
	err = errors.Join(err, d.saveLogs())
	if err != nil {
		return errors.Join(append(d.faults, err)...)
	}
	f.Say("the rollout has taken %d steps and %d controllers", d.steps, disturbed+1)
	if least := len(f.Gatherers); d.steps < least || d.steps > least+disturbed {
		d.faults = append(d.faults, fmt.Errorf("%d steps of %d gatherers with %d faults of the controller", d.steps,
			least, disturbed))
	}
	return errors.Join(d.faults...)
}

// saveLogs writes what each controller has written to a file of its own, which is kept if the day fails.
func (d *rolloutDay) saveLogs() error {
	var errs []error
	for _, p := range d.controllers {
		errs = append(errs, os.WriteFile(filepath.Join(d.folder, p.Name+".log"), []byte(p.Log()), 0o644))
	}
	return errors.Join(errs...)
}

// step makes the step that a command orders.
func (d *rolloutDay) step(ctx context.Context, order processtest.Step) error {
	d.fleet.Say("step of %s to %s, token %s: ordered", order.Gatherer, order.To, order.Fence)
	defer d.fleet.Say("step of %s to %s, token %s: over", order.Gatherer, order.To, order.Fence)
	d.mu.Lock()
	if d.stepping[order.Gatherer] {
		d.faults = append(d.faults, fmt.Errorf("two steps of %s at once", order.Gatherer))
		d.mu.Unlock()
		return errors.New("another step is under way")
	}
	d.stepping[order.Gatherer] = true
	d.steps++
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.stepping[order.Gatherer] = false
	}()
	// A step outlives the command that has ordered it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stepTimeout)
	defer cancel()
	g := d.fleet.Gatherer(order.Gatherer)
	if err := g.Process().Terminate(ctx); err != nil {
		return err
	}
	g.Operator = ""
	if order.To == logic.New.String() {
		g.Operator = newOperatorText
	}
	return g.Start(ctx)
}

// writePlan writes the plan, and the operator's files by which the old and the new are told apart.
func (d *rolloutDay) writePlan(stepsURL string) error {
	var plan strings.Builder
	fmt.Fprintf(&plan, "rollout %s in %s every 250ms\n", rolloutName, filepath.Join(d.folder, rolloutName))
	for _, g := range d.fleet.Gatherers {
		link, err := d.fleet.ReportLink(g)
		if err != nil {
			return err
		}
		fmt.Fprintf(&plan, "gatherer %s zone %s report %s\n", g.Name, g.Hall, link.Address())
		for side, text := range map[string]string{"new": newOperatorText, "old": ""} {
			g.Operator = text
			if err := g.WriteFiles(); err != nil {
				return err
			}
			written, err := os.ReadFile(g.OperatorFile())
			if err != nil {
				return err
			}
			file := filepath.Join(d.folder, g.Name+"-"+side+".conf")
			if err := os.WriteFile(file, written, 0o644); err != nil {
				return err
			}
		}
		g.Operator = ""
		if err := g.WriteFiles(); err != nil {
			return err
		}
	}
	for _, target := range []logic.Variant{logic.New, logic.Old} {
		fmt.Fprintf(&plan, "step-%s", target)
		for _, arg := range d.order {
			fmt.Fprintf(&plan, " %q", arg)
		}
		fmt.Fprintf(&plan, " %q \"{name}\" %s \"{fence}\" limit 60s\n", stepsURL, target)
	}
	plan.WriteString(rolloutStages)
	d.plan = filepath.Join(d.folder, rolloutName+".conf")
	return os.WriteFile(d.plan, []byte(plan.String()), 0o644)
}
