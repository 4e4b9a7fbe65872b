package experiment

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"yokeroute/internal/testbed/standin/shardserver"
)

// PhaseOptions are those of a comparison of lookups in one phase with lookups that may go in two.
type PhaseOptions struct {
	Binary      string
	WarmUp      time.Duration // before anything is measured, for learning
	Duration    time.Duration
	EmptyShares []float64 // shares of segments that a query finds nothing in
	Days        []string  // of PhaseDays
	Seed        uint64
	Progress    func(format string, args ...any)
}

// PhaseDays are the kinds of days: calm, one machine five times slower, and more work than the fleet can do.
var PhaseDays = []string{"calm", "slow server", "jam"}

// PhaseRow is what one way came to on one day.
type PhaseRow struct {
	Day        string    `json:"Day"`
	Mode       string    `json:"Way"` // one phase, or two where they gain
	EmptyShare float64   `json:"Prune"`
	Case       PhaseCase `json:"Case"`
	Measurement
}

// PhaseCase is what a day is like beside its kind.
type PhaseCase struct {
	Rate              float64 `json:"Rate"`  // over the fleet's capacity in one phase
	FirstPassCost     float64 `json:"Brief"` // the work of a first pass's request over that of a full one
	FalsePositiveRate float64 `json:"False"` // the false-positive rate of summaries
	ShardRequests     int     `json:"Parts"`
	PartialSuffices   bool    `json:"AnyN"`
}

var plainCase = PhaseCase{Rate: 0.5, FirstPassCost: 0.1, FalsePositiveRate: 0.01, ShardRequests: 8}

// Phases compares both ways, each on the same machines, loads and contents.
func Phases(ctx context.Context, terms PhaseOptions) (rows []PhaseRow, err error) {
	for _, day := range terms.Days {
		for _, prune := range terms.EmptyShares {
			got, err := comparePhases(ctx, terms, day, prune, plainCase, terms.Seed)
			if err != nil {
				return nil, err
			}
			rows = append(rows, got...)
		}
	}
	return rows, nil
}

func comparePhases(ctx context.Context, terms PhaseOptions, day string, prune float64, c PhaseCase, seed uint64) (rows []PhaseRow, err error) {
	for _, way := range []string{"one phase", "two where they gain"} {
		if day == "jam" {
			c.Rate = 1.15
		}
		terms.Progress("%s, %.0f%% of the parts empty, load %.2f: %s", day, 100*prune, c.Rate, way)
		row, err := runPhaseDay(ctx, terms, day, way, prune, c, seed)
		if err != nil {
			return nil, err
		}
		rows = append(rows, *row)
	}
	return rows, ctx.Err()
}

// The fleet of these days: four sets of three machines of four cores that take 20 ms for a part.
const (
	phaseSets, phaseReplicas, phaseCores = 4, 3, 4
	phaseWork                            = 20.0
	phaseShards                          = 24
	phaseQueries                         = 500
)

func runPhaseDay(ctx context.Context, terms PhaseOptions, day, way string, prune float64, c PhaseCase, seed uint64) (*PhaseRow, error) {
	var machines []Machine
	for set := range phaseSets {
		for i := range phaseReplicas {
			machines = append(machines, Machine{Name: fmt.Sprintf("m-%d%d", set, i), Zone: "hall", Kind: "m", ReplicaSet: set,
				Config: shardserver.Config{Cores: phaseCores, MeanWork: phaseWork, WorkVariation: 0.5, QueueLimit: 400, FirstPassWork: c.FirstPassCost * phaseWork, Seed: seed + uint64(len(machines))}})
		}
	}
	fleet, err := StartFleet(machines)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	content := &shardserver.Content{Queries: phaseQueries, HitShare: 1 - prune, FalsePositiveRate: c.FalsePositiveRate, Seed: seed}
	for _, s := range fleet.Servers {
		s.SetContent(content)
	}
	if day == "slow server" {
		fleet.Servers["m-00"].SetSlowdown(5)
	}
	whole := 1.0
	if c.PartialSuffices {
		whole = 0.75
	}
	told := planSettings()
	told["classes"] = []any{map[string]any{"name": "search", "effect": "pure", "goalTime": 400_000, "hardLimit": 2_000_000, "lateValue": 0.1}}
	told["domain"] = map[string]any{"cells": phaseSets, "inARow": 1, "shards": phaseShards, "partsACall": 16, "completeFrom": []float64{whole}, "classFloor": []float64{whole}}
	node := GathererConfig{Gatherers: 2, Zone: "hall", Discovery: fleet.Discovery.Address(), Settings: told}
	if way != "one phase" {
		node.Operator = "two-phase search\n"
	}
	var nodes []*Gatherer
	defer func() {
		for _, n := range nodes {
			n.Close()
		}
	}()
	// A lookup in one phase asks for whole of its parts; the rate is in shares of what the fleet can do of these.
	rate := c.Rate * phaseSets * phaseReplicas * phaseCores / phaseWork * 1000 / (whole * float64(c.ShardRequests))
	var loads []Load
	for i := range 2 {
		node.Name, node.Number = fmt.Sprint("n", i), i
		n, err := StartGatherer(terms.Binary, node)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
		loads = append(loads, Load{Origin: "hall", Address: n.Address, Class: "search", Rate: rate / 2, ShardRequests: c.ShardRequests, Shards: phaseShards, Deadline: 2 * time.Second,
			Seed: seed + uint64(i), Queries: phaseQueries})
	}
	time.Sleep(300 * time.Millisecond)
	Measure(ctx, fleet, nodes, loads, MeasureOptions{Duration: terms.WarmUp, Objective: latencyObjective})
	for i := range loads {
		loads[i].Seed += 50
	}
	options := MeasureOptions{Duration: terms.Duration, Objective: latencyObjective}
	measurement := Measure(ctx, fleet, nodes, loads, options)
	return &PhaseRow{Day: day, Mode: way, EmptyShare: prune, Case: c, Measurement: measurement}, nil
}

// WritePhaseRows writes a table.
func WritePhaseRows(w io.Writer, rows []PhaseRow) {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "day\tempty\tload\tway\tin aim\twhole\tnacked\tlookup p50 ms\tp99\tcalls in full\tfirst\twork ms a lookup\tCPU s / 1000")
	line := func(r PhaseRow) {
		fmt.Fprintf(tab, "%s\t%.0f%%\t%.2f\t%s\t%.2f%%\t%.2f%%\t%.2f%%\t%.1f\t%.1f\t%.2f\t%.2f\t%.1f\t%.3f\n", r.Day, 100*r.EmptyShare, r.Case.Rate, r.Mode, 100*r.WithinObjective, 100*r.Complete,
			100*r.Rejected, r.QueryMedian, r.QueryP99, r.Requests-r.FirstPassRequests, r.FirstPassRequests, r.Work, r.CPU)
	}
	for _, r := range rows {
		line(r)
	}
	tab.Flush()
}
