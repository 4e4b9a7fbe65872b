package scale

import (
	"context"
	"fmt"

	"yokeroute/internal/millis"
)

// Progress is told of each measurement before it begins.
type Progress func(format string, args ...any)

// newFigure is a figure without measurements.
func newFigure(name, per, unit string, design, budget float64) *Figure {
	return &Figure{Name: name, Per: per, Unit: unit, Design: design, Budget: budget}
}

// fitAll fits all figures.
func fitAll(figures ...*Figure) []Figure {
	all := make([]Figure, 0, len(figures))
	for _, f := range figures {
		f.fit()
		all = append(all, *f)
	}
	return all
}

// DecisionFigures measures the decisions at sizes of the fleet with the same parts a query, or at numbers of parts with
// the same fleet where only one size is given.
func DecisionFigures(ctx context.Context, t DecisionOptions, servers, parts []int, say Progress) ([]Figure, error) {
	per, design := "server", float64(DesignServers)
	if len(servers) == 1 {
		per, design = "part", DesignShardRequests
	}
	processor := newFigure("decisions: processor time a query", per, "ms", design, 0)
	cores := newFigure("decisions: cores", per, "cores", design, 0)
	allocated := newFigure("decisions: allocations a query", per, "", design, 0)
	longest := newFigure("decisions: longest round", per, "ms", design, millis.Of(BudgetAnswer))
	landing := newFigure("decisions: round in which a query lands, p99", per, "ms", design, millis.Of(BudgetAnswer))
	memory := newFigure("decisions: heap", per, "MB", design, 0)
	for _, s := range servers {
		for _, p := range parts {
			t.Servers, t.ShardRequests = s, p
			say("decisions: %d servers, %d parts a query, %.0f queries a second", s, p, t.Rate)
			c, err := MeasureDecisions(ctx, t)
			if err != nil {
				return nil, err
			}
			size := float64(s)
			if per == "part" {
				size = float64(p)
			}
			processor.add(size, millis.Of(c.Processor))
			cores.add(size, c.Processor.Seconds()*t.Rate)
			allocated.add(size, c.Allocated)
			longest.add(size, millis.Of(c.LongestRound))
			landing.add(size, millis.Of(c.QueryRoundP99))
			memory.add(size, float64(c.HeapBytes)/(1<<20))
		}
	}
	return fitAll(processor, cores, allocated, longest, landing, memory), nil
}

// PolicyFigures measures policies at numbers of gatherers, with one fault in each change.
func PolicyFigures(ctx context.Context, t PolicyConfig, gatherers []int, folder func() (string, error), say Progress) ([]Figure, error) {
	const per = "gatherer"
	name := func(what string) string { return fmt.Sprintf("policy, %d stewards, %s: %s", t.Servers, t.Fault, what) }
	start := newFigure(name("start of all at once"), per, "s", DesignGatherers, 0)
	leader := newFigure(name("leader at rest"), per, "cores", DesignGatherers, 0)
	leaderMemory := newFigure(name("leader's memory"), per, "MB", DesignGatherers, 0)
	each := newFigure(name("a gatherer at rest"), per, "cores", DesignGatherers, BudgetControlCPU)
	bytes := newFigure(name("a gatherer's bytes at rest"), per, "B/s", DesignGatherers, BudgetControlBytes)
	memory := newFigure(name("a gatherer's memory"), per, "MB", DesignGatherers, float64(BudgetControlMemory)/(1<<20))
	middle := newFigure(name("in force, median gatherer"), per, "s", DesignGatherers, BudgetChange.Seconds())
	late := newFigure(name("in force, 99th percentile"), per, "s", DesignGatherers, BudgetChange.Seconds())
	last := newFigure(name("in force everywhere"), per, "s", DesignGatherers, BudgetChange.Seconds())
	returned := newFigure(name("a region that was cut off is back"), per, "s", DesignGatherers, BudgetChange.Seconds())
	unfinished := newFigure(name("changes not everywhere within 40 s"), per, "", DesignGatherers, 0)
	changing := newFigure(name("leader during changes"), per, "cores", DesignGatherers, 0)
	for _, n := range gatherers {
		say("policies: %d stewards, %d hollow gatherers, %d changes, fault %s", t.Servers, n, t.Changes, t.Fault)
		var err error
		if t.Folder, err = folder(); err != nil {
			return nil, err
		}
		t.Gatherers = n
		c, err := MeasurePolicies(ctx, t)
		if err != nil {
			return nil, err
		}
		size := float64(n)
		start.add(size, c.StartTime.Seconds())
		if t.IdleTime > 0 {
			leader.add(size, c.IdleLeaderCores)
			leaderMemory.add(size, c.LeaderMB)
			each.add(size, c.IdleGathererCores)
			bytes.add(size, c.IdleGathererBytes)
			memory.add(size, c.GathererMemory/(1<<20))
		}
		for i := range c.AppliedTimes {
			middle.add(size, c.P50[i].Seconds())
			late.add(size, c.P99[i].Seconds())
			last.add(size, c.AppliedTimes[i].Seconds())
		}
		for _, back := range c.ReturnTimes {
			returned.add(size, back.Seconds())
		}
		if t.Changes > 0 {
			unfinished.add(size, float64(c.Unfinished))
			changing.add(size, c.LeaderCoresInChanges)
		}
	}
	figures := []*Figure{start, leader, leaderMemory, each, bytes, memory, middle, late, last, unfinished, changing}
	if t.Fault == RegionDisconnected {
		figures = append(figures, returned)
	}
	return fitAll(figures...), nil
}

// ListFigures measures the list of shard servers at sizes of the fleet.
func ListFigures(ctx context.Context, servers []int, say Progress) ([]Figure, error) {
	const per = "server"
	figure := func(what, unit string, budget float64) *Figure {
		return newFigure("list: "+what, per, unit, DesignServers, budget)
	}
	inForce := BudgetChange.Seconds()
	bytes, atBudget := figure("whole, bytes", "B", 0), figure("whole, time at 2 KB/s", "s", inForce)
	zone, zoneAtBudget := figure("a zone, bytes", "B", 0), figure("a zone, time at 2 KB/s", "s", inForce)
	startCPU, startTold := figure("start, processor time", "ms", 0), figure("start, until told", "s", inForce)
	changeCPU, changeTold := figure("a change, processor time", "ms", 0), figure("a change, until told", "s", inForce)
	zoneCPU, zoneTold := figure("a zone, processor time", "ms", 0), figure("a zone, until told", "s", inForce)
	returned := figure("discovery's return, until told", "s", inForce)
	memory := figure("memory", "MB", float64(BudgetControlMemory)/(1<<20))
	for _, n := range servers {
		say("lists: %d servers", n)
		c, err := MeasureLists(ctx, n)
		if err != nil {
			return nil, err
		}
		size := float64(n)
		bytes.add(size, float64(c.FullBytes))
		atBudget.add(size, float64(c.FullBytes)/BudgetControlBytes)
		zone.add(size, float64(c.ZoneBytes))
		zoneAtBudget.add(size, float64(c.ZoneBytes)/BudgetControlBytes)
		startCPU.add(size, millis.Of(c.StartCPU))
		startTold.add(size, c.StartTime.Seconds())
		changeCPU.add(size, millis.Of(c.ChangeCPU))
		changeTold.add(size, c.ChangeTime.Seconds())
		zoneCPU.add(size, millis.Of(c.ZoneCPU))
		zoneTold.add(size, c.ZoneTime.Seconds())
		returned.add(size, c.RecoveryTime.Seconds())
		memory.add(size, float64(c.Memory)/(1<<20))
	}
	return fitAll(bytes, atBudget, zone, zoneAtBudget, startCPU, startTold, changeCPU, changeTold, zoneCPU, zoneTold, returned, memory), nil
}

// ConnectionFigures measures connections to shard servers at rest.
func ConnectionFigures(ctx context.Context, counts []int, say Progress) ([]Figure, error) {
	const per = "connection"
	memory := newFigure("connections: memory of all, both sides", per, "MB", DesignServers, float64(BudgetControlMemory)/(1<<20))
	bare := newFigure("connections: memory of all, bare", per, "MB", DesignServers, 0)
	open := newFigure("connections: descriptors", per, "", DesignServers, 0)
	for _, n := range counts {
		say("connections: %d", n)
		c, err := MeasureConnections(ctx, n)
		if err != nil {
			return nil, err
		}
		memory.add(float64(n), c.PooledBytes*float64(n)/(1<<20))
		bare.add(float64(n), c.BareBytes*float64(n)/(1<<20))
		open.add(float64(n), float64(c.Open))
	}
	return fitAll(memory, bare, open), nil
}

// ReportFigures measures a round of questions for reports.
func ReportFigures(ctx context.Context, gatherers []int, say Progress) ([]Figure, error) {
	const per = "gatherer"
	each := newFigure("reports: processor time of all, both sides", per, "ms", DesignGatherers, 0)
	bytes := newFigure("reports: bytes of all", per, "B", DesignGatherers, 0)
	took := newFigure("reports: time of a round", per, "s", DesignGatherers, 0)
	for _, n := range gatherers {
		say("reports: %d hollow gatherers", n)
		c, err := MeasureReports(ctx, n)
		if err != nil {
			return nil, err
		}
		each.add(float64(n), millis.Of(c.ProcessorTime)*float64(n))
		bytes.add(float64(n), c.ReportBytes*float64(n))
		took.add(float64(n), c.RoundTime.Seconds())
	}
	return fitAll(each, bytes, took), nil
}
