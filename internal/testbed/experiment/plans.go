package experiment

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"yokeroute/gather"
	"yokeroute/internal/config/placementfile"
	"yokeroute/internal/testbed/standin/shardserver"
	"yokeroute/logic/balance"
)

// PlanOptions are the options of a comparison of plain round robin with plans.
type PlanOptions struct {
	Binary        string        // of the gatherer
	BeforeLoss    time.Duration // measured before half a zone is lost
	AfterLoss     time.Duration // measured after that
	Rate          float64       // shard requests a second
	Rounds        int
	SmallCapacity float64 // shard requests a second of a small machine in the placement; it can answer 100
	Seed          uint64
	Progress      func(format string, args ...any)
}

// PlanRow is the measurement of one variant in one round and phase.
type PlanRow struct {
	Variant string `json:"Variant"`
	Phase   string `json:"Phase"`
	Round   int    `json:"Round"`
	Measurement
}

// The variants.
const (
	variantRoundRobin = "plain turns"
	variantPlan       = "plan"         // read from a file
	variantResolved   = "solved again" // solved whenever the list changes
)

// PlanVariants are all variants.
var PlanVariants = []string{variantRoundRobin, variantPlan, variantResolved}

// The phases of a round.
const (
	phaseBeforeLoss = "calm"
	phaseAfterLoss  = "half of a hall lost"
)

// The fleet and its load.
const (
	planSets          = 3
	planShards        = 18
	planShardRequests = 3 // of a query
	planQueueLimit    = 400
	planWork          = 20 // milliseconds of a shard request
	bigCores          = 6
	smallCores        = 2
	roundSeedStep     = 1000
)

// planZones are the zones, with a letter for the kind of each machine of a replica set and the zone's share of queries.
var planZones = []struct {
	name, kinds string
	share       float64
}{
	{"north", "bbs", 0.6},
	{"south", "bs", 0.4},
}

// lostMachines are half of the northern zone.
var lostMachines = []string{"n-00", "n-11", "n-20", "n-22"}

// Times of a round.
const (
	planSettleTime = 500 * time.Millisecond // for gatherers to connect
	solveTimeout   = 10 * time.Second
	solvePollTime  = 20 * time.Millisecond
	lossDelay      = time.Second // until discovery notices the loss
)

// planFleet returns an uneven fleet: the southern zone lacks machines, and machines are of two kinds.
func planFleet(seed uint64) []Machine {
	var fleet []Machine
	for _, zone := range planZones {
		for set := range planSets {
			for i, kind := range zone.kinds {
				config := shardserver.Config{
					Cores:         bigCores,
					MeanWork:      planWork,
					WorkVariation: 0.5,
					QueueLimit:    planQueueLimit,
					Seed:          seed + uint64(len(fleet)),
				}
				m := Machine{Zone: zone.name, ReplicaSet: set, Kind: "big", Config: config}
				if kind == 's' {
					m.Kind = "small"
					m.Cores = smallCores
				}
				m.Name = fmt.Sprintf("%c-%d%d", zone.name[0], set, i)
				fleet = append(fleet, m)
			}
		}
	}
	return fleet
}

// planSettings returns the platform's settings of the fleet.
func planSettings() settings {
	return settings{
		"tick": 5000, "discovery": "pushed",
		"classes": []any{map[string]any{
			"name": "find", "effect": "pure", "goalTime": 400_000, "hardLimit": 2_000_000, "lateValue": 0.1,
		}},
		"domain": map[string]any{"cells": planSets, "inARow": 1, "shards": planShards, "partsACall": 16},
		"limits": map[string]any{
			"cancel": true, "connectTimeout": 250_000, "idleClose": 15_000_000, "streamsPerConn": 100, "attemptsCap": 3,
			"secondCopies": true, "retryAfter": true, "maxRetryAfter": 1_000_000,
		},
		"rules": map[string]any{
			"budgetShare": 0.05, "extraFloor": 10, "resendSpan": 2_000_000, "drainGrace": 250_000, "answerSlack": 20_000,
			"cold": 10_000_000, "coldShare": 0.2, "fall": 2_000_000, "fallMultiple": 3,
		},
	}
}

// Plans compares the variants on the same fleet, through the loss of half a zone. Each round begins with another one.
func Plans(ctx context.Context, options PlanOptions) ([]PlanRow, error) {
	var rows []PlanRow
	for round := range options.Rounds {
		for i := range PlanVariants {
			variant := PlanVariants[(i+round)%len(PlanVariants)]
			options.Progress("round %d of %d: %s", round+1, options.Rounds, variant)
			r := planRound{options: options, variant: variant, round: round}
			got, err := r.run(ctx)
			if err != nil {
				return nil, err
			}
			rows = append(rows, got...)
		}
	}
	return rows, nil
}

// planRound is one variant's run in one round.
type planRound struct {
	options   PlanOptions
	variant   string
	round     int
	fleet     *Fleet
	gatherers []*Gatherer // by zone
}

func (r *planRound) seed() uint64 { return r.options.Seed + roundSeedStep*uint64(r.round) }

func (r *planRound) run(ctx context.Context) (rows []PlanRow, err error) {
	if r.fleet, err = StartFleet(planFleet(r.seed())); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	defer func() {
		for _, g := range r.gatherers {
			g.Close()
		}
	}()
	if err := r.startGatherers(); err != nil {
		return nil, err
	}
	time.Sleep(planSettleTime)
	if r.variant == variantResolved {
		if err := r.awaitWeights(); err != nil {
			return nil, err
		}
	}
	before := r.measure(ctx, phaseBeforeLoss, r.options.BeforeLoss, nil)
	// Discovery notices the loss later; what happens in between counts too.
	lost := map[string]bool{}
	for _, name := range lostMachines {
		lost[name] = true
		r.fleet.Servers[name].Kill()
	}
	noticed := time.AfterFunc(lossDelay, func() { r.fleet.SetPhase(phaseTerminated, lostMachines...) })
	defer noticed.Stop()
	after := r.measure(ctx, phaseAfterLoss, r.options.AfterLoss, lost)
	return []PlanRow{before, after}, ctx.Err()
}

// startGatherers starts a gatherer in each zone.
func (r *planRound) startGatherers() error {
	config := GathererConfig{
		Gatherers: len(planZones),
		Discovery: r.fleet.Discovery.Address(),
		Settings:  planSettings(),
	}
	placement := r.placement()
	switch r.variant {
	case variantPlan:
		plan, err := solvePlan(r.fleet, placement)
		if err != nil {
			return err
		}
		config.Operator = "plan plan.conf\n"
		config.Files = map[string]string{"plan.conf": plan}
	case variantResolved:
		config.Operator = "placement halls.conf\nbackground cpu 5%\n"
		config.Files = map[string]string{"halls.conf": placement}
	}
	for i, zone := range planZones {
		config.Name = fmt.Sprint("n", i)
		config.Zone = zone.name
		config.Number = i
		g, err := StartGatherer(r.options.Binary, config)
		if err != nil {
			return err
		}
		r.gatherers = append(r.gatherers, g)
	}
	return nil
}

const placementText = `from-list
hall north
hall south
kind big capacity 300/s cost 1
kind small capacity %.0f/s cost 1
`

// placement returns the placement file of the fleet and its demand.
func (r *planRound) placement() string {
	text := fmt.Sprintf(placementText, r.options.SmallCapacity)
	for _, zone := range planZones {
		text += fmt.Sprintf("demand * %s %.0f/s\n", zone.name, r.options.Rate*zone.share/planSets)
	}
	return text
}

// awaitWeights waits until each gatherer has solved its plan.
func (r *planRound) awaitWeights() error {
	for _, g := range r.gatherers {
		deadline := time.Now().Add(solveTimeout)
		for !strings.Contains(g.Log(), "new weights") {
			if time.Now().After(deadline) {
				return fmt.Errorf("no weights after %s: %s", solveTimeout, g.Log())
			}
			time.Sleep(solvePollTime)
		}
	}
	return nil
}

// measure measures one phase.
func (r *planRound) measure(ctx context.Context, phase string, duration time.Duration, lost map[string]bool) PlanRow {
	var loads []Load
	for i, zone := range planZones {
		loads = append(loads, Load{
			Origin:        zone.name,
			Address:       r.gatherers[i].Address,
			Class:         "find",
			Rate:          r.options.Rate * zone.share / planShardRequests,
			ShardRequests: planShardRequests,
			Shards:        planShards,
			Deadline:      queryDeadline,
			Seed:          r.seed() + uint64(i) + uint64(len(phase)),
		})
	}
	options := MeasureOptions{Duration: duration, Objective: latencyObjective, Lost: lost}
	measurement := Measure(ctx, r.fleet, r.gatherers, loads, options)
	return PlanRow{Variant: r.variant, Phase: phase, Round: r.round, Measurement: measurement}
}

// solvePlan solves a placement file for a fleet as `yokeroute plan solve` does, and returns the file with its plan.
func solvePlan(fleet *Fleet, text string) (string, error) {
	now := float64(time.Now().UnixMilli())
	f, err := placementfile.Parse("halls.conf", text, now)
	if err != nil {
		return "", err
	}
	var list []placementfile.NamedEndpoint
	for i, m := range fleet.Machines {
		endpoint := placementfile.NamedEndpoint{Name: m.Name}
		endpoint.ID = uint32(i)
		endpoint.ReplicaSet = m.ReplicaSet
		endpoint.Zone = m.Zone
		endpoint.Kind = m.Kind
		list = append(list, endpoint)
	}
	model, err := f.WithEndpoints(list, &gather.Settings{ReplicaSets: planSets, ReplicaSetsPerShard: 1}, now)
	if err != nil {
		return "", err
	}
	plan, clash, err := balance.Solve(model, nil, func() bool { return true })
	if err != nil {
		return "", err
	}
	if clash != nil {
		return "", fmt.Errorf("nothing fits: %s", clash.Describe(func(n int64) string { return fmt.Sprint(n) }))
	}
	var b strings.Builder
	err = placementfile.WritePlan(&b, plan)
	return b.String(), err
}

// WritePlanRows writes the medians over rounds as a table.
func WritePlanRows(w io.Writer, rows []PlanRow) {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "phase\tvariant\tgreatest use\tcrossing\tpart p50 ms\tp99\tlookup p50\tp99\tsatisfied\tnacked\t"+
		"aborted\tcalls a lookup\tCPU s / 1000\tMB")
	for _, phase := range []string{phaseBeforeLoss, phaseAfterLoss} {
		for _, variant := range PlanVariants {
			of := func(get func(PlanRow) float64) float64 {
				var values []float64
				for _, r := range rows {
					if r.Phase == phase && r.Variant == variant {
						values = append(values, get(r))
					}
				}
				return median(values)
			}
			fmt.Fprintf(tab, "%s\t%s\t%.1f%%\t%.1f%%\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f%%\t%.2f%%\t%.2f%%\t%.3f\t%.3f\t%.1f\n",
				phase, variant,
				100*of(func(r PlanRow) float64 { return r.MaxUtilization }),
				100*of(func(r PlanRow) float64 { return r.CrossZoneShare }),
				of(func(r PlanRow) float64 { return r.AttemptMedian }),
				of(func(r PlanRow) float64 { return r.AttemptP99 }),
				of(func(r PlanRow) float64 { return r.QueryMedian }),
				of(func(r PlanRow) float64 { return r.QueryP99 }),
				100*of(func(r PlanRow) float64 { return r.Served }),
				100*of(func(r PlanRow) float64 { return r.Rejected }),
				100*of(func(r PlanRow) float64 { return r.Failed }),
				of(func(r PlanRow) float64 { return r.Requests }),
				of(func(r PlanRow) float64 { return r.CPU }),
				of(func(r PlanRow) float64 { return r.MemoryMB }))
		}
	}
	_ = tab.Flush() // a failed write to a terminal has nobody to go to
}
