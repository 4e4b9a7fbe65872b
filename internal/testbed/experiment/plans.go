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

// PlanOptions are those of a comparison of plain turns with plans.
type PlanOptions struct {
	Binary        string        // of the gatherer
	BeforeLoss    time.Duration // before half a hall is lost, and
	AfterLoss     time.Duration // after that
	Rate          float64       // parts a second
	Rounds        int
	SmallCapacity float64 // parts a second that the plan's file gives a small machine; it can answer 100
	Seed          uint64
	Progress      func(format string, args ...any) // progress
}

// PlanRow is what one variant came to in one round and phase.
type PlanRow struct {
	Variant string `json:"Variant"`
	Phase   string `json:"Phase"`
	Round   int    `json:"Round"`
	Measurement
}

// planFleet is uneven: two halls, the south two machines short, two kinds of machines, three sets of six segments.
func planFleet(seed uint64) []Machine {
	var fleet []Machine
	kinds := []struct {
		hall, kinds string
	}{{"north", "bbs"}, {"south", "bs"}}
	for _, hall := range kinds {
		for group := range 3 {
			for i, k := range hall.kinds {
				m := Machine{Zone: hall.hall, ReplicaSet: group, Kind: "big", Config: shardserver.Config{Cores: 6, MeanWork: 20, WorkVariation: 0.5, QueueLimit: 400, Seed: seed + uint64(len(fleet))}}
				if k == 's' {
					m.Kind, m.Cores = "small", 2
				}
				m.Name = fmt.Sprintf("%c-%d%d", hall.hall[0], group, i)
				fleet = append(fleet, m)
			}
		}
	}
	return fleet
}

const placementText = `from-list
hall north
hall south
kind big capacity 300/s cost 1
kind small capacity %.0f/s cost 1
`

// planSettings are what the platform would tell of the fleet.
func planSettings() settings {
	return settings{"tick": 5000, "discovery": "pushed",
		"classes": []any{map[string]any{"name": "find", "effect": "pure", "goalTime": 400_000, "hardLimit": 2_000_000, "lateValue": 0.1}},
		"domain":  map[string]any{"cells": 3, "inARow": 1, "shards": 18, "partsACall": 16},
		"limits": map[string]any{"cancel": true, "connectTimeout": 250_000, "idleClose": 15_000_000, "streamsPerConn": 100, "attemptsCap": 3, "secondCopies": true,
			"retryAfter": true, "maxRetryAfter": 1_000_000},
		"rules": map[string]any{"budgetShare": 0.05, "extraFloor": 10, "resendSpan": 2_000_000, "drainGrace": 250_000, "answerSlack": 20_000,
			"cold": 10_000_000, "coldShare": 0.2, "fall": 2_000_000, "fallMultiple": 3}}
}

// PlanVariants are plain turns, a plan that is read, and one that is worked out whenever the list changes.
var PlanVariants = []string{"plain turns", "plan", "solved again"}

// Plans compares them on the same fleet, in turns, and through the loss of half a hall.
func Plans(ctx context.Context, terms PlanOptions) ([]PlanRow, error) {
	var rows []PlanRow
	for round := range terms.Rounds {
		for i := range PlanVariants {
			variant := PlanVariants[(i+round)%len(PlanVariants)]
			terms.Progress("round %d of %d: %s", round+1, terms.Rounds, variant)
			got, err := runPlanRound(ctx, terms, variant, round)
			if err != nil {
				return nil, err
			}
			rows = append(rows, got...)
		}
	}
	return rows, nil
}

func runPlanRound(ctx context.Context, terms PlanOptions, variant string, round int) ([]PlanRow, error) {
	seed := terms.Seed + 1000*uint64(round)
	fleet, err := StartFleet(planFleet(seed))
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	// Gatherers of the north ask for three fifths.
	shares := map[string]float64{"north": 0.6, "south": 0.4}
	file := fmt.Sprintf(placementText, terms.SmallCapacity)
	for _, hall := range []string{"north", "south"} {
		file += fmt.Sprintf("demand * %s %.0f/s\n", hall, terms.Rate*shares[hall]/3)
	}
	node := GathererConfig{Gatherers: 2, Discovery: fleet.Discovery.Address(), Settings: planSettings()}
	switch variant {
	case "plan":
		text, err := solvePlan(fleet, file)
		if err != nil {
			return nil, err
		}
		node.Operator, node.Files = "plan plan.conf\n", map[string]string{"plan.conf": text}
	case "solved again":
		node.Operator, node.Files = "placement halls.conf\nbackground cpu 5%\n", map[string]string{"halls.conf": file}
	}
	var nodes []*Gatherer
	defer func() {
		for _, n := range nodes {
			n.Close()
		}
	}()
	for i, hall := range []string{"north", "south"} {
		node.Name, node.Zone, node.Number = fmt.Sprint("n", i), hall, i
		n, err := StartGatherer(terms.Binary, node)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	phase := func(name string, length time.Duration, gone map[string]bool) PlanRow {
		var loads []Load
		for i, hall := range []string{"north", "south"} {
			loads = append(loads, Load{Origin: hall, Address: nodes[i].Address, Class: "find", Rate: terms.Rate * shares[hall] / 3, ShardRequests: 3, Shards: 18,
				Deadline: 2 * time.Second, Seed: seed + uint64(i) + uint64(len(name))})
		}
		options := MeasureOptions{Duration: length, Objective: latencyObjective, Lost: gone}
		measurement := Measure(ctx, fleet, nodes, loads, options)
		return PlanRow{Variant: variant, Phase: name, Round: round, Measurement: measurement}
	}
	time.Sleep(500 * time.Millisecond)
	if variant == "solved again" {
		for _, n := range nodes {
			for until := time.Now().Add(10 * time.Second); !strings.Contains(n.Log(), "new weights"); time.Sleep(20 * time.Millisecond) {
				if time.Now().After(until) {
					return nil, fmt.Errorf("no weights after 10 s: %s", n.Log())
				}
			}
		}
	}
	calm := phase("calm", terms.BeforeLoss, nil)
	// Half of the north goes; discovery tells of it a second later. What happens in between is counted too.
	lost := []string{"n-00", "n-11", "n-20", "n-22"}
	gone := map[string]bool{}
	for _, name := range lost {
		gone[name] = true
		fleet.Servers[name].Kill()
	}
	told := time.AfterFunc(time.Second, func() { fleet.SetPhase("terminated", lost...) })
	defer told.Stop()
	return []PlanRow{calm, phase("half of a hall lost", terms.AfterLoss, gone)}, ctx.Err()
}

// solvePlan solves a from-list file for a fleet, as yokeroute plan solve would its own hosts.
func solvePlan(fleet *Fleet, text string) (string, error) {
	now := float64(time.Now().UnixMilli())
	f, err := placementfile.Parse("halls.conf", text, now)
	if err != nil {
		return "", err
	}
	var list []placementfile.NamedEndpoint
	for i, m := range fleet.Machines {
		l := placementfile.NamedEndpoint{Name: m.Name}
		l.ID, l.ReplicaSet, l.Zone, l.Kind = uint32(i), m.ReplicaSet, m.Zone, m.Kind
		list = append(list, l)
	}
	model, err := f.WithEndpoints(list, &gather.Settings{ReplicaSets: 3, ReplicaSetsPerShard: 1}, now)
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

// WritePlanRows writes the rounds' medians as a table.
func WritePlanRows(w io.Writer, rows []PlanRow) {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "phase\tvariant\tgreatest use\tcrossing\tpart p50 ms\tp99\tlookup p50\tp99\tsatisfied\tnacked\taborted\tcalls a lookup\tCPU s / 1000\tMB")
	for _, phase := range []string{"calm", "half of a hall lost"} {
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
			fmt.Fprintf(tab, "%s\t%s\t%.1f%%\t%.1f%%\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f%%\t%.2f%%\t%.2f%%\t%.3f\t%.3f\t%.1f\n", phase, variant,
				100*of(func(r PlanRow) float64 { return r.MaxUtilization }), 100*of(func(r PlanRow) float64 { return r.CrossZoneShare }),
				of(func(r PlanRow) float64 { return r.AttemptMedian }), of(func(r PlanRow) float64 { return r.AttemptP99 }),
				of(func(r PlanRow) float64 { return r.QueryMedian }), of(func(r PlanRow) float64 { return r.QueryP99 }),
				100*of(func(r PlanRow) float64 { return r.Served }), 100*of(func(r PlanRow) float64 { return r.Rejected }),
				100*of(func(r PlanRow) float64 { return r.Failed }), of(func(r PlanRow) float64 { return r.Requests }),
				of(func(r PlanRow) float64 { return r.CPU }), of(func(r PlanRow) float64 { return r.MemoryMB }))
		}
	}
	tab.Flush()
}
