// Package plans applies the weights of a plan to the dispatcher. It updates them when the endpoint list changes and
// when the plan's next step begins. If the operator has configured a placement file, it solves for new plans in the
// background. Package logic/placement decides which weights are in effect.
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
	"yokeroute/internal/millis"
	"yokeroute/logic/balance"
	"yokeroute/logic/jobs"
	"yokeroute/logic/placement"
)

// Picker sets the weights of the dispatcher and returns its time in Unix milliseconds. Package dispatch implements it.
type Picker interface {
	SetWeights(weights [][]gather.Weight)
	Now() float64
}

// Keeper holds the plan in force and applies its weights to the dispatcher.
type Keeper struct {
	picker   Picker
	settings *gather.Settings
	jobs     *background.Scheduler
	log      *logrus.Logger

	mu        sync.Mutex
	active    placement.ActivePlan
	placement *placementfile.File // input for solving, nil if plans are not solved
	endpoints map[uint32]placementfile.NamedEndpoint
	order     []uint32                   // server IDs in the order of discovery's list
	serverIDs map[string]uint32          // server IDs by host name
	applied   [][]gather.Weight          // weights that the dispatcher has
	logged    placement.EffectiveWeights // status that was logged last
	timer     *time.Timer                // calls applyWeights when the weights may change with time
}

// New returns a keeper without a plan.
func New(picker Picker, settings *gather.Settings, jobs *background.Scheduler, log *logrus.Logger) *Keeper {
	return &Keeper{
		picker: picker, settings: settings, jobs: jobs, log: log,
		endpoints: map[uint32]placementfile.NamedEndpoint{}, serverIDs: map[string]uint32{},
	}
}

// Configure applies the plan and placement settings of the operator's file. An error names the invalid file, and the
// line if one is invalid. On error nothing changes: the plan in force stays, or plain round robin if there is none.
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
		k.log.Info("plan: removed; using plain round robin")
	}
	k.logged = placement.EffectiveWeights{MissingHosts: -1} // differs from any status, so that the next one is logged
	k.applyWeights()
	k.submitSolve()
	return nil
}

// readPlan reads and checks a plan file. It returns nil if the name is empty.
func readPlan(name string, now float64) (*placement.Plan, error) {
	if name == "" {
		return nil, nil
	}
	file, err := placementfile.Read(name, now)
	if err != nil {
		return nil, err
	}
	if file.Plan == nil {
		return nil, errors.New(name + ": holds no weights; create a plan with yokeroute plan solve")
	}
	if violations := file.Plan.Violations(); len(violations) > 0 {
		return nil, fmt.Errorf("%s: %w", name, violations[0])
	}
	return file.Plan, nil
}

// readPlacement reads and checks a placement file for solving. It returns nil if the name is empty.
func readPlacement(name string, now float64) (*placementfile.File, error) {
	if name == "" {
		return nil, nil
	}
	file, err := placementfile.Read(name, now)
	if err != nil {
		return nil, err
	}
	if !file.FromList {
		return nil, errors.New(name + ": lacks from-list; add it, or create a plan with yokeroute plan solve")
	}
	return file, nil
}

// UpdateEndpoints applies an endpoint list. Addresses holds the addresses of all servers that are on discovery's list
// after that.
func (k *Keeper) UpdateEndpoints(list gather.EndpointList, addresses []shardcall.Address) {
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
	previous := k.endpoints
	k.endpoints = map[uint32]placementfile.NamedEndpoint{}
	k.serverIDs = map[string]uint32{}
	k.order = k.order[:0]
	for _, a := range addresses {
		k.endpoints[a.ID] = placementfile.NamedEndpoint{Name: a.Name, Endpoint: latest[a.ID]}
		k.serverIDs[a.Name] = a.ID
		k.order = append(k.order, a.ID)
	}
	if reflect.DeepEqual(previous, k.endpoints) {
		return
	}
	k.applyWeights()
	k.submitSolve()
}

// solveJob is the name of the background job. Submitting it again replaces a job that is still waiting, so that changes
// in quick succession cause one solve.
const solveJob = "plan"

// submitSolve submits a job that solves for the endpoints at the time when it runs. The caller holds the lock.
func (k *Keeper) submitSolve() {
	if k.placement == nil || len(k.endpoints) == 0 {
		return
	}
	k.jobs.Submit(solveJob, jobs.Normal, k.solve)
}

// solve computes a plan and puts it in force. If demand does not fit, it logs the reason, and the plan in force stays.
func (k *Keeper) solve(pause func() error) error {
	file, inForce, list := k.solveInput()
	if file == nil {
		return nil
	}
	model, err := file.WithEndpoints(list, k.settings, k.picker.Now())
	if err != nil {
		return err
	}
	var cancelled error
	plan, infeasibility, err := balance.Solve(model, inForce, func() bool {
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
	case infeasibility != nil:
		rate := func(units int64) string { return placementfile.FormatUnits(model.Unit, units) }
		k.log.WithFields(logrus.Fields{"hosts": len(model.Hosts), "reason": infeasibility.Describe(rate)}).
			Warn("plan: demand does not fit; keeping the plan in force")
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.placement != file { // another file was configured while solving
		return nil
	}
	k.active = placement.ActivePlan{Plan: plan}
	k.log.WithFields(logrus.Fields{"hosts": len(model.Hosts), "steps": len(plan.Steps), "cases": len(plan.Cases),
		"greatest": plan.Steps[0].MaxUtilisation.Float()}).Info("plan: solved")
	k.applyWeights()
	return nil
}

// solveInput returns the input of a solve: the placement file, the plan in force and the listed endpoints.
func (k *Keeper) solveInput() (*placementfile.File, *placement.Plan, []placementfile.NamedEndpoint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]placementfile.NamedEndpoint, 0, len(k.order))
	for _, id := range k.order {
		list = append(list, k.endpoints[id])
	}
	return k.placement, k.active.Plan, list
}

// applyWeights sets the weights of the dispatcher if they have changed, and schedules its next call for the time at
// which they may change. The caller holds the lock.
func (k *Keeper) applyWeights() {
	now := k.picker.Now()
	s := k.active.At(now, func(host string) bool {
		id, listed := k.serverIDs[host]
		return listed && k.endpoints[id].State == gather.Running
	})
	weights := placement.WeightsForZone(s.Rows, k.settings.Zone, func(host string) (uint32, bool) {
		id, listed := k.serverIDs[host]
		return id, listed
	})
	if k.active.Plan != nil &&
		(s.Stale != k.logged.Stale || s.CaseName != k.logged.CaseName || s.MissingHosts != k.logged.MissingHosts) {
		k.logStatus(s) // before the weights take effect, so that the log shows the reason first
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
		k.timer = time.AfterFunc(millis.Duration(s.ValidUntil-now)+time.Millisecond, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.applyWeights()
		})
	}
}

func (k *Keeper) logStatus(s placement.EffectiveWeights) {
	log := k.log.WithField("missing", s.MissingHosts)
	switch {
	case s.Stale:
		log.Warn("plan: too old; using plain round robin")
	case s.CaseName != "":
		log.WithField("case", s.CaseName).Warn("plan: hosts missing; weights in force are those of a case")
	case s.MissingHosts > 0:
		log.Warn("plan: hosts missing; weights in force are the plan's, for the remaining hosts")
	default:
		log.Info("plan: weights in force")
	}
}

// Run runs background jobs until ctx is done. Then it stops the timer and drops the plan.
func (k *Keeper) Run(ctx context.Context) {
	k.jobs.Run(ctx)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.timer != nil {
		k.timer.Stop()
	}
	k.active, k.placement = placement.ActivePlan{}, nil
}
