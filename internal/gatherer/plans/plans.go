// Package plans keeps the weights of replicas in step with a plan: it follows the endpoint list and the time, solves for
// new weights in the background where the operator wants that, and hands the weights in force to the dispatcher. Package
// logic/placement decides which weights hold when.
package plans

import (
	"context"
	"errors"
	"fmt"
	"math"
	"reflect"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/placementfile"
	"yokeroute/internal/gatherer/background"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/logic/balance"
	"yokeroute/logic/jobs"
	"yokeroute/logic/placement"
)

// Picker takes weights and tells the dispatcher's time. Package dispatch implements it.
type Picker interface {
	SetWeights(weights [][]gather.Weight)
	Now() float64
}

// Keeper keeps a plan in force.
type Keeper struct {
	picker   Picker
	settings *gather.Settings
	jobs     *background.Scheduler
	log      *logrus.Logger

	mu        sync.Mutex
	active    placement.ActivePlan
	placement *placementfile.File // to solve from, nil for none
	endpoints map[uint32]placementfile.NamedEndpoint
	order     []uint32          // of the endpoints, as discovery lists them
	ids       map[string]uint32 // of the endpoints, by name
	applied   [][]gather.Weight
	logged    placement.Effective // the last status that was logged
	timer     *time.Timer         // until the weights may change by themselves
}

// New makes a keeper without a plan.
func New(picker Picker, settings *gather.Settings, jobs *background.Scheduler, log *logrus.Logger) *Keeper {
	return &Keeper{
		picker: picker, settings: settings, jobs: jobs, log: log,
		endpoints: map[uint32]placementfile.NamedEndpoint{}, ids: map[string]uint32{},
	}
}

// Configure applies what the operator's file says of plans. An error names the place of the mistake, and leaves the
// plan in force, or plain round robin where there was none.
func (k *Keeper) Configure(f *operator.File) error {
	now := k.picker.Now()
	plan, err := readPlan(f.Plan, now)
	if err != nil {
		return err
	}
	file, err := readPlacement(f.Placement, now)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if plan != nil || file == nil { // a solved plan stays in force until the next one is solved
		k.active = placement.ActivePlan{Plan: plan, MaxAge: f.PlanMaxAge}
	}
	k.placement = file
	if file == nil {
		k.jobs.Cancel(solveJob)
	}
	if k.active.Plan == nil && k.applied != nil && file == nil {
		k.log.Info("plan: removed, plain round robin")
	}
	k.logged = placement.Effective{MissingHosts: -1} // no real status, so that the next one is logged
	k.applyWeights()
	k.submitSolve()
	return nil
}

// readPlan reads and checks a plan file; an empty name is no plan.
func readPlan(name string, now float64) (*placement.Plan, error) {
	if name == "" {
		return nil, nil
	}
	file, err := placementfile.Read(name, now)
	if err != nil {
		return nil, err
	}
	if file.Plan == nil {
		return nil, errors.New(name + ": holds no weights; make them by yokeroute plan solve")
	}
	if wrong := file.Plan.Violations(); len(wrong) > 0 {
		return nil, fmt.Errorf("%s: %w", name, wrong[0])
	}
	return file.Plan, nil
}

// readPlacement reads and checks a placement file to solve from; an empty name is none.
func readPlacement(name string, now float64) (*placementfile.File, error) {
	if name == "" {
		return nil, nil
	}
	file, err := placementfile.Read(name, now)
	if err != nil {
		return nil, err
	}
	if !file.FromList {
		return nil, errors.New(name + ": lacks from-list; without it, make a plan by yokeroute plan solve")
	}
	return file, nil
}

// UpdateEndpoints takes an endpoint list and the addresses of all servers on it.
func (k *Keeper) UpdateEndpoints(list gather.EndpointList, all []shardcall.Address) {
	if list.Failed {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	latest := map[uint32]gather.Endpoint{}
	for id, l := range k.endpoints {
		latest[id] = l.Endpoint
	}
	for _, s := range list.Endpoints {
		latest[s.ID] = s
	}
	before := k.endpoints
	k.endpoints = map[uint32]placementfile.NamedEndpoint{}
	k.ids = map[string]uint32{}
	k.order = k.order[:0]
	for _, a := range all {
		k.endpoints[a.ID] = placementfile.NamedEndpoint{Name: a.Name, Endpoint: latest[a.ID]}
		k.ids[a.Name] = a.ID
		k.order = append(k.order, a.ID)
	}
	if reflect.DeepEqual(before, k.endpoints) {
		return
	}
	k.applyWeights()
	k.submitSolve()
}

// solveJob is the name of the background job; changes in quick succession share one.
const solveJob = "plan"

// submitSolve queues a job that works weights out for the endpoints as they are then. The lock is held.
func (k *Keeper) submitSolve() {
	if k.placement == nil || len(k.endpoints) == 0 {
		return
	}
	k.jobs.Submit(solveJob, jobs.Normal, k.solve)
}

// solve works weights out and puts them in force.
func (k *Keeper) solve(pause func() error) error {
	file, before, list := k.solveInput()
	if file == nil {
		return nil
	}
	model, err := file.WithEndpoints(list, k.settings, k.picker.Now())
	if err != nil {
		return err
	}
	var cancelled error
	plan, clash, err := balance.Solve(model, before, func() bool {
		if cancelled == nil {
			cancelled = pause()
		}
		return cancelled == nil
	})
	switch {
	case cancelled != nil:
		return cancelled
	case err != nil:
		return err
	case clash != nil:
		rate := func(units int64) string { return placementfile.FormatUnits(model.Unit, units) }
		k.log.WithFields(logrus.Fields{"hosts": len(model.Hosts), "reason": clash.Describe(rate)}).
			Warn("plan: no weights fit, the plan in force stays")
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.placement != file { // another file was configured meanwhile
		return nil
	}
	k.active = placement.ActivePlan{Plan: plan}
	k.log.WithFields(logrus.Fields{"hosts": len(model.Hosts), "steps": len(plan.Steps), "cases": len(plan.Cases),
		"greatest": plan.Steps[0].MaxUtilisation.Float()}).Info("plan: new weights")
	k.applyWeights()
	return nil
}

// solveInput returns what a solve starts from.
func (k *Keeper) solveInput() (*placementfile.File, *placement.Plan, []placementfile.NamedEndpoint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]placementfile.NamedEndpoint, 0, len(k.order))
	for _, id := range k.order {
		list = append(list, k.endpoints[id])
	}
	return k.placement, k.active.Plan, list
}

// applyWeights hands the weights in force to the dispatcher where they have changed, and schedules itself for when they
// may change next. The lock is held.
func (k *Keeper) applyWeights() {
	now := k.picker.Now()
	s := k.active.At(now, func(host string) bool {
		id, listed := k.ids[host]
		return listed && k.endpoints[id].State == gather.Running
	})
	weights := placement.WeightsForZone(s.Rows, k.settings.Zone, func(host string) (uint32, bool) {
		id, listed := k.ids[host]
		return id, listed
	})
	if k.active.Plan != nil && (s.Stale != k.logged.Stale || s.CaseName != k.logged.CaseName || s.MissingHosts != k.logged.MissingHosts) {
		k.logStatus(s) // before the weights take effect, so that the log explains them
	}
	k.logged = s
	if (len(weights) != 0 || len(k.applied) != 0) && !reflect.DeepEqual(weights, k.applied) {
		k.picker.SetWeights(weights)
		k.applied = weights
	}
	if k.timer != nil {
		k.timer.Stop()
	}
	if !math.IsInf(s.ValidUntil, 1) {
		k.timer = time.AfterFunc(time.Duration((s.ValidUntil-now)*float64(time.Millisecond))+time.Millisecond, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.applyWeights()
		})
	}
}

func (k *Keeper) logStatus(s placement.Effective) {
	log := k.log.WithField("missing", s.MissingHosts)
	switch {
	case s.Stale:
		log.Warn("plan: too old, plain round robin")
	case s.CaseName != "":
		log.WithField("case", s.CaseName).Warn("plan: hosts missing, weights in force are those for their loss")
	case s.MissingHosts > 0:
		log.Warn("plan: hosts missing, weights in force among the others")
	default:
		log.Info("plan: weights in force")
	}
}

// Run runs background jobs until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.jobs.Run(ctx)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.timer != nil {
		k.timer.Stop()
	}
	k.active, k.placement = placement.ActivePlan{}, nil
}
