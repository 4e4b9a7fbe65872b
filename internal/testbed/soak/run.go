package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"yokeroute/internal/testbed/processtest"
)

const (
	dayTimeout   = 3 * time.Minute
	maxStartTime = 10 * time.Second // until a gatherer is ready, by the platform's pages
	recoveryTime = 6 * time.Second  // after the last fault, until the fleet has to serve all: servers warm up for 5 s
	checkTime    = 2 * time.Second  // for which it has to
	servedShare  = 0.95             // of the operations then; the others may be rejected
)

// Result is what a day came to.
type Result struct {
	Day        *Day
	Operations int
	Late       int                   // tries that were answered so late that they only earn nothing
	Crossed    int                   // requests that crossed a close unread, and were sent once more
	Lost       []processtest.LostTry // tries that the platform would count as lost
	Err        error
	Took       time.Duration
	Folder     string // what is kept of a day that failed

	exclusive *exclusiveDay // nil for a day without policies that exclude each other
}

// Options are what a soak is played with.
type Options struct {
	Program      string   // of the gatherers, policy servers and controllers
	Folder       string   // for what days that fail leave
	OrderCommand []string // ends in processtest.Order with the four arguments that follow it
}

// Run plays the day of a seed. What a day that fails leaves is kept in a folder of its own.
func Run(ctx context.Context, o Options, seed uint64) *Result {
	startedAt := time.Now()
	r := &Result{Folder: filepath.Join(o.Folder, fmt.Sprint("seed-", seed))}
	defer func() { r.Took = time.Since(startedAt) }()
	if r.Day, r.Err = DrawDay(seed); r.Err != nil {
		return r
	}
	if r.Err = errors.Join(os.RemoveAll(r.Folder), os.MkdirAll(r.Folder, 0o755)); r.Err != nil {
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, dayTimeout)
	defer cancel()
	terms := processtest.Terms{Binary: o.Program, Folder: r.Folder, State: true, Report: true,
		DirectFront: r.Day.Kind == Restarts}
	if r.Day.Kind == Policies {
		terms.Policy = policyConfig
	}
	if r.Day.Extras.Exclusive {
		terms.Policy.Fallback = exclusiveFallback
	}
	fleet, err := processtest.StartFleet(ctx, r.Day.Scenario, terms)
	if err != nil {
		r.Err = err
		return r
	}
	r.Err = r.play(ctx, fleet, o)
	result, err := fleet.Finish()
	r.Lost, r.Crossed = result.Lost, len(result.Crossed)
	r.Err = errors.Join(r.Err, err, r.judge(fleet, result))
	if r.exclusive != nil && r.exclusive.until > 0 {
		r.Err = errors.Join(r.Err, r.exclusive.check())
	}
	if r.Err == nil {
		r.Err = os.RemoveAll(r.Folder)
		return r
	}
	report := fmt.Sprintf("%s\n%v\n", r.Day, r.Err)
	r.Err = errors.Join(r.Err, fleet.SaveLogs(r.Folder), result.Save(r.Folder),
		os.WriteFile(filepath.Join(r.Folder, "scenario.conf"), []byte(r.Day.Scenario.Text), 0o644),
		os.WriteFile(filepath.Join(r.Folder, "problems.txt"), []byte(report), 0o644))
	return r
}

// play plays the day, and checks that the fleet serves all again after it.
func (r *Result) play(ctx context.Context, f *processtest.Fleet, o Options) error {
	before, err := resourcesBefore(ctx, f)
	if err != nil {
		return err
	}
	if r.Day.Extras.Exclusive {
		if r.exclusive, err = startExclusive(ctx, f); err != nil {
			return err
		}
	}
	if r.Day.Extras.Habits {
		f.Front.SetHabits(processtest.ClientHabits{Leaving: leavingShare, Hurried: hurriedShare})
	}
	err = r.playDisturbed(ctx, f, o)
	r.Operations = f.Front.Total().Operations
	r.Late = f.Front.Total().Endings[processtest.Late]
	if err := errors.Join(ctx.Err(), err); err != nil {
		return err
	}
	if r.Day.Extras.Exclusive {
		if err := r.exclusive.end(ctx); err != nil {
			return err
		}
	}
	if r.Day.Kind == Policies {
		if err := awaitChange(ctx, f); err != nil {
			return err
		}
	}
	wait(ctx, recoveryTime)
	return errors.Join(checkRecovery(ctx, f), checkDiscoveryFollowed(ctx, f), checkResources(ctx, f, before))
}

// playDisturbed plays the scenario with all that happens beside its faults.
func (r *Result) playDisturbed(ctx context.Context, f *processtest.Fleet, o Options) error {
	disturbing, stop := context.WithCancel(ctx)
	defer stop()
	disturbers := r.disturbers(ctx, f, o)
	errs := make([]error, len(disturbers))
	var running sync.WaitGroup
	for i, disturb := range disturbers {
		running.Go(func() { errs[i] = disturb(disturbing) })
	}
	_ = f.Play(ctx) // its faults are part of the result
	stop()
	stopLoad := f.Load(ctx) // a rollout that goes on has to see the new and the old serve
	running.Wait()
	stopLoad()
	return errors.Join(errs...)
}

// disturber is what happens beside a scenario's faults, until its context ends.
type disturber func(ctx context.Context) error

// disturbers are those of the day. A rollout is carried out to its end, whenever its context ends.
func (r *Result) disturbers(day context.Context, f *processtest.Fleet, o Options) (all []disturber) {
	if r.Day.Extras.Reconfigured {
		all = append(all, func(ctx context.Context) error { return runReconfigurations(ctx, f, r.Day) })
	}
	if r.Day.Extras.Resting {
		all = append(all, func(ctx context.Context) error { return runRestingClients(ctx, f) })
	}
	if r.Day.Crowd {
		g := f.Gatherers[r.Day.Seed%uint64(len(f.Gatherers))]
		all = append(all, func(ctx context.Context) error { return crowd(ctx, g) })
	}
	switch r.Day.Kind {
	case Rollouts:
		all = append(all, func(context.Context) error { return runRollout(day, f, o, r.Folder, r.Day.Seed) })
	case Policies:
		proposer := propose
		if r.Day.Extras.Exclusive {
			proposer = proposeExclusive
		}
		all = append(all,
			func(ctx context.Context) error { return disturbPolicyServers(ctx, f, r.Day.Seed) },
			func(ctx context.Context) error { return proposeChanges(ctx, f, proposer) })
	}
	return all
}

// checkRecovery plays a load without faults.
func checkRecovery(ctx context.Context, f *processtest.Fleet) error {
	f.Front.SetHabits(processtest.ClientHabits{})
	before := f.Front.Total()
	f.Front.Play(ctx, checkTime)
	after := f.Front.Total()
	count := func(e processtest.Ending) int { return after.Endings[e] - before.Endings[e] }
	bad := count(processtest.Lost) + count(processtest.Late) + count(processtest.Failed) + count(processtest.Refused)
	operations := after.Operations - before.Operations
	served := count(processtest.Satisfied) + count(processtest.Partial)
	if bad > 0 || float64(served) < servedShare*float64(operations) {
		return fmt.Errorf("%v after the last fault %d of %d operations are served, %d rejected, %d failed, "+
			"%d late, %d lost, %d unreached", recoveryTime, served, operations, count(processtest.Nacked),
			count(processtest.Failed), count(processtest.Late), count(processtest.Lost), count(processtest.Refused))
	}
	return nil
}

// judge checks what a day has left. A planned restart excuses nothing that is lost.
func (r *Result) judge(f *processtest.Fleet, result *processtest.Result) error {
	var errs []error
	if result.Faults != "" {
		errs = append(errs, errors.New(result.Faults))
	}
	if j := result.Rules; j != nil && !j.Passed() {
		errs = append(errs, fmt.Errorf("rules: %v; %s", j.Violations, j.Incomplete))
	}
	if took := f.LongestStart(); took > maxStartTime {
		errs = append(errs, fmt.Errorf("a gatherer was ready %.1f s after its start, %v are allowed", took.Seconds(),
			maxStartTime))
	}
	if r.Day.Kind == Restarts && !r.Day.Crowd && len(r.Lost) > 0 {
		errs = append(errs, fmt.Errorf("%d tries lost on a day of planned restarts", len(r.Lost)))
		for _, try := range r.Lost {
			errs = append(errs, errors.New(try.String()))
		}
	}
	return errors.Join(errs...)
}

// Tries says in a few words what became of the tries that were not answered in time.
func (r *Result) Tries() string {
	kinds := map[processtest.LossKind]int{}
	for _, try := range r.Lost {
		kinds[try.Kind]++
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%d tries lost", len(r.Lost))
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		fmt.Fprintf(&text, " (%d: %s)", kinds[kind], kind)
	}
	fmt.Fprintf(&text, ", %d late, %d sent once more", r.Late, r.Crossed)
	return text.String()
}
