// Package plans keeps a gatherer's weights up with a plan: it follows the list and the time, has weights worked
// out anew in the background where the operator wants that, and hands down what is in force. What holds when is
// decided by logic/placement, which server is picked by the module.
package plans

import (
	"context"
	"errors"
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

// Picker takes weights and has the module's time; package pick has it.
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

	mu      sync.Mutex
	force   placement.Force
	file    *placementfile.File // to solve from, nil for none
	listed  map[uint32]placementfile.Listed
	order   []uint32
	numbers map[string]uint32
	handed  [][]gather.Weight
	told    placement.Standing // what the log has told
	timer   *time.Timer
}

// New makes a keeper without a plan, which hands down nothing.
func New(picker Picker, settings *gather.Settings, jobs *background.Scheduler, log *logrus.Logger) *Keeper {
	return &Keeper{picker: picker, settings: settings, jobs: jobs, log: log, listed: map[uint32]placementfile.Listed{}, numbers: map[string]uint32{}}
}

// Configure takes over what the operator's file says of plans. What cannot be read changes nothing: the plan in
// force stays, or plain turns where there was none, and the error names the place.
func (k *Keeper) Configure(f *operator.File) error {
	now := k.picker.Now()
	var plan *placement.Plan
	var file *placementfile.File
	if f.Plan != "" {
		read, err := placementfile.Read(f.Plan, now)
		if err != nil {
			return err
		}
		if plan = read.Plan; plan == nil {
			return errors.New(f.Plan + ": holds no weights; make them by yokeroute plan solve")
		}
		if wrong := plan.Check(); len(wrong) > 0 {
			return errors.New(f.Plan + ": " + wrong[0].Error())
		}
	}
	if f.Placement != "" {
		read, err := placementfile.Read(f.Placement, now)
		if err != nil {
			return err
		}
		if !read.FromList {
			return errors.New(f.Placement + ": lacks from-list; without it, make a plan by yokeroute plan solve")
		}
		file = read
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if plan != nil || file == nil { // one that was solved goes on until the next is there
		k.force = placement.Force{Plan: plan, MostAge: f.PlanMaxAge}
	}
	if k.file = file; file == nil {
		k.jobs.Cancel(jobName)
	}
	if k.force.Plan == nil && k.handed != nil && file == nil {
		k.log.Info("no plan any more: plain turns")
	}
	k.told = placement.Standing{Missing: -1} // so that what comes of it is told in any case
	k.refresh()
	k.solve()
	return nil
}

// Follow takes over news of the list; all are the servers on it, by name.
func (k *Keeper) Follow(list gather.EndpointList, all []shardcall.Address) {
	if list.Failed {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	figures := map[uint32]gather.Endpoint{}
	for id, l := range k.listed {
		figures[id] = l.Endpoint
	}
	for _, s := range list.Endpoints {
		figures[s.ID] = s
	}
	before := k.listed
	k.listed, k.numbers, k.order = map[uint32]placementfile.Listed{}, map[string]uint32{}, k.order[:0]
	for _, a := range all {
		k.listed[a.ID] = placementfile.Listed{Name: a.Name, Endpoint: figures[a.ID]}
		k.numbers[a.Name] = a.ID
		k.order = append(k.order, a.ID)
	}
	if reflect.DeepEqual(before, k.listed) {
		return
	}
	k.refresh()
	k.solve()
}

// jobName is what a solve is submitted under, so that changes that come close together make one.
const jobName = "plan"

// solve has weights worked out anew. The lock is held.
func (k *Keeper) solve() {
	if k.file == nil || len(k.listed) == 0 {
		return
	}
	k.jobs.Submit(jobName, jobs.Normal, func(pause func() error) error {
		k.mu.Lock()
		file, before := k.file, k.force.Plan
		var list []placementfile.Listed
		for _, id := range k.order {
			list = append(list, k.listed[id])
		}
		k.mu.Unlock()
		if file == nil {
			return nil
		}
		model, err := file.WithList(list, k.settings, k.picker.Now())
		if err != nil {
			return err
		}
		var off error
		plan, clash, err := balance.Solve(model, before, func() bool {
			if off == nil {
				off = pause()
			}
			return off == nil
		})
		switch {
		case off != nil:
			return off
		case err != nil:
			return err
		case clash != nil:
			rate := func(units int64) string { return placementfile.FormatUnits(model.Unit, units) }
			k.log.WithField("hosts", len(model.Hosts)).Warnf("no weights fit, the plan in force stays: %s", clash.Words(rate))
			return nil
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.file != file { // the operator has changed his mind meanwhile
			return nil
		}
		k.force = placement.Force{Plan: plan}
		k.log.WithFields(logrus.Fields{"hosts": len(model.Hosts), "steps": len(plan.Steps), "cases": len(plan.Cases),
			"greatest": plan.Steps[0].Greatest.Float()}).Info("new weights worked out")
		k.refresh()
		return nil
	})
}

// refresh hands down what is in force now, if that is new, and looks again when it may change. The lock is held.
func (k *Keeper) refresh() {
	now := k.picker.Now()
	s := k.force.At(now, func(host string) bool {
		id, listed := k.numbers[host]
		return listed && k.listed[id].State == gather.Running
	})
	weights := placement.Shares(s.Rows, k.settings.Zone, func(host string) (uint32, bool) {
		id, listed := k.numbers[host]
		return id, listed
	})
	if k.force.Plan != nil && (s.Stale != k.told.Stale || s.Case != k.told.Case || s.Missing != k.told.Missing) {
		k.tell(s) // first, so that who sees new weights at work finds the reason in the log
	}
	k.told = s
	if (len(weights) != 0 || len(k.handed) != 0) && !reflect.DeepEqual(weights, k.handed) {
		k.picker.SetWeights(weights)
		k.handed = weights
	}
	if k.timer != nil {
		k.timer.Stop()
	}
	if !math.IsInf(s.Until, 1) {
		k.timer = time.AfterFunc(time.Duration((s.Until-now)*1e6)+time.Millisecond, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.refresh()
		})
	}
}

func (k *Keeper) tell(s placement.Standing) {
	log := k.log.WithField("missing", s.Missing)
	switch {
	case s.Stale:
		log.Warn("the plan is too old: plain turns")
	case s.Case != "":
		log.WithField("case", s.Case).Warn("hosts of the plan are missing: the weights for that loss are in force")
	case s.Missing > 0:
		log.Warn("hosts of the plan are missing: its weights hold among the others")
	default:
		log.Info("the plan's weights are in force")
	}
}

// Run keeps the jobs going until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.jobs.Run(ctx)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.timer != nil {
		k.timer.Stop()
	}
	k.force, k.file = placement.Force{}, nil
}
