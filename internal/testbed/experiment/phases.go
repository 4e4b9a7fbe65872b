package experiment

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"yokeroute/internal/testbed/standin/shardserver"
)

// PhaseOptions are the options of a comparison of queries in one phase with queries in two where two gain.
type PhaseOptions struct {
	Binary      string        // of the gatherer
	WarmUp      time.Duration // before the measurement, for learning
	Duration    time.Duration // of the measurement
	EmptyShares []float64     // shares of segments in which a query matches nothing
	Days        []string      // of PhaseDays
	Seed        uint64
	Progress    func(format string, args ...any)
}

// The kinds of days.
const (
	dayCalm       = "calm"
	daySlowServer = "slow server" // one machine is five times slower
	dayOverload   = "jam"         // more load than the fleet's capacity
)

// PhaseDays are all kinds of days.
var PhaseDays = []string{dayCalm, daySlowServer, dayOverload}

// The modes of gatherers.
const (
	modeOnePhase = "one phase"
	modeTwoPhase = "two where they gain"
)

// Load and fault of the days.
const (
	overloadRate   = 1.15 // over the fleet's capacity
	slowServer     = "m-00"
	slowdownFactor = 5
	partialShare   = 0.75 // of an answer that is complete if a partial one suffices
)

// PhaseRow is the measurement of one mode on one day.
type PhaseRow struct {
	Day        string    `json:"Day"`
	Mode       string    `json:"Way"`
	EmptyShare float64   `json:"Prune"`
	Case       PhaseCase `json:"Case"`
	Measurement
}

// PhaseCase is what a day is like besides its kind.
type PhaseCase struct {
	Rate              float64 `json:"Rate"`  // over the fleet's capacity in one phase
	FirstPassCost     float64 `json:"Brief"` // the work of a first pass's request over that of a full one
	FalsePositiveRate float64 `json:"False"` // of summaries
	ShardRequests     int     `json:"Parts"` // of a query
	PartialSuffices   bool    `json:"AnyN"`
}

var plainCase = PhaseCase{Rate: 0.5, FirstPassCost: 0.1, FalsePositiveRate: 0.01, ShardRequests: 8}

// Phases compares both modes on the same machines, loads and contents.
func Phases(ctx context.Context, options PhaseOptions) (rows []PhaseRow, err error) {
	for _, day := range options.Days {
		for _, emptyShare := range options.EmptyShares {
			for _, mode := range []string{modeOnePhase, modeTwoPhase} {
				row := PhaseRow{Day: day, Mode: mode, EmptyShare: emptyShare, Case: plainCase}
				if day == dayOverload {
					row.Case.Rate = overloadRate
				}
				options.Progress("%s, %.0f%% of the parts empty, load %.2f: %s", day, 100*emptyShare, row.Case.Rate, mode)
				if row.Measurement, err = runPhaseDay(ctx, options, row); err != nil {
					return nil, err
				}
				rows = append(rows, row)
			}
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
		}
	}
	return rows, nil
}

// The fleet of these days.
const (
	phaseSets       = 4
	phaseReplicas   = 3
	phaseCores      = 4
	phaseWork       = 20.0 // milliseconds of a shard request
	phaseQueueLimit = 400
	phaseShards     = 24
	phaseQueries    = 500 // different ones
	phaseGatherers  = 2
	phaseZone       = "hall"
)

// startPhaseFleet starts the fleet of a day.
func startPhaseFleet(row PhaseRow, seed uint64) (*Fleet, error) {
	var machines []Machine
	for set := range phaseSets {
		for i := range phaseReplicas {
			config := shardserver.Config{
				Cores:         phaseCores,
				MeanWork:      phaseWork,
				WorkVariation: 0.5,
				QueueLimit:    phaseQueueLimit,
				FirstPassWork: row.Case.FirstPassCost * phaseWork,
				Seed:          seed + uint64(len(machines)),
			}
			name := fmt.Sprintf("m-%d%d", set, i)
			machines = append(machines, Machine{Name: name, Zone: phaseZone, Kind: "m", ReplicaSet: set, Config: config})
		}
	}
	fleet, err := StartFleet(machines)
	if err != nil {
		return nil, err
	}
	content := &shardserver.Content{
		Queries:           phaseQueries,
		HitShare:          1 - row.EmptyShare,
		FalsePositiveRate: row.Case.FalsePositiveRate,
		Seed:              seed,
	}
	for _, s := range fleet.Servers {
		s.SetContent(content)
	}
	if row.Day == daySlowServer {
		fleet.Servers[slowServer].SetSlowdown(slowdownFactor)
	}
	return fleet, nil
}

// completeShare is the weight that makes an answer complete.
func (c PhaseCase) completeShare() float64 {
	if c.PartialSuffices {
		return partialShare
	}
	return 1
}

// phaseGatherer returns the configuration of a day's gatherers.
func phaseGatherer(fleet *Fleet, row PhaseRow) GathererConfig {
	complete := []float64{row.Case.completeShare()}
	platform := planSettings()
	platform["classes"] = []any{map[string]any{
		"name": "search", "effect": "pure", "goalTime": 400_000, "hardLimit": 2_000_000, "lateValue": 0.1,
	}}
	platform["domain"] = map[string]any{
		"cells": phaseSets, "inARow": 1, "shards": phaseShards, "partsACall": 16,
		"completeFrom": complete, "classFloor": complete,
	}
	config := GathererConfig{
		Gatherers: phaseGatherers,
		Zone:      phaseZone,
		Discovery: fleet.Discovery.Address(),
		Settings:  platform,
	}
	if row.Mode == modeTwoPhase {
		config.Operator = "two-phase search\n"
	}
	return config
}

// runPhaseDay plays a row's day and measures it.
func runPhaseDay(ctx context.Context, options PhaseOptions, row PhaseRow) (m Measurement, err error) {
	fleet, err := startPhaseFleet(row, options.Seed)
	if err != nil {
		return m, err
	}
	defer fleet.Close()
	config := phaseGatherer(fleet, row)
	var gatherers []*Gatherer
	defer func() {
		for _, g := range gatherers {
			g.Close()
		}
	}()
	// In one phase a query needs its complete share of requests; the rate is relative to the capacity for these.
	const capacity = phaseSets * phaseReplicas * phaseCores / phaseWork * 1000
	rate := row.Case.Rate * capacity / (row.Case.completeShare() * float64(row.Case.ShardRequests))
	var loads []Load
	for i := range phaseGatherers {
		config.Name = fmt.Sprint("n", i)
		config.Number = i
		g, err := StartGatherer(options.Binary, config)
		if err != nil {
			return m, err
		}
		gatherers = append(gatherers, g)
		loads = append(loads, Load{
			Origin:        phaseZone,
			Address:       g.Address,
			Class:         "search",
			Rate:          rate / phaseGatherers,
			ShardRequests: row.Case.ShardRequests,
			Shards:        phaseShards,
			Deadline:      queryDeadline,
			Seed:          options.Seed + uint64(i),
			Queries:       phaseQueries,
		})
	}
	time.Sleep(phaseSettleTime)
	Measure(ctx, fleet, gatherers, loads, MeasureOptions{Duration: options.WarmUp, Objective: latencyObjective})
	for i := range loads {
		loads[i].Seed += measuredSeedOffset
	}
	measured := MeasureOptions{Duration: options.Duration, Objective: latencyObjective}
	return Measure(ctx, fleet, gatherers, loads, measured), nil
}

// phaseSettleTime is what gatherers get to connect before the first load.
const phaseSettleTime = 300 * time.Millisecond

// measuredSeedOffset separates the seeds of the measured load from those of the warm-up.
const measuredSeedOffset = 50

// WritePhaseRows writes a table.
func WritePhaseRows(w io.Writer, rows []PhaseRow) {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "day\tempty\tload\tway\tin aim\twhole\tnacked\tlookup p50 ms\tp99\tcalls in full\tfirst\t"+
		"work ms a lookup\tCPU s / 1000")
	for _, r := range rows {
		fmt.Fprintf(tab, "%s\t%.0f%%\t%.2f\t%s\t%.2f%%\t%.2f%%\t%.2f%%\t%.1f\t%.1f\t%.2f\t%.2f\t%.1f\t%.3f\n",
			r.Day, 100*r.EmptyShare, r.Case.Rate, r.Mode, 100*r.WithinObjective, 100*r.Complete, 100*r.Rejected,
			r.QueryMedian, r.QueryP99, r.Requests-r.FirstPassRequests, r.FirstPassRequests, r.Work, r.CPU)
	}
	_ = tab.Flush() // a failed write to a terminal has nobody to go to
}
