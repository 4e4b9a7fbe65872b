package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"yokeroute/internal/config/directive"
	"yokeroute/internal/gatherer/trace"
)

// Passes of attempts, as traces name them.
const (
	onlyPass   = "only"
	firstPass  = "first"
	secondPass = "second"
)

// printQueryTrace explains one query pass by pass.
func printQueryTrace(w io.Writer, q *trace.Query) error {
	fmt.Fprintf(w, "lookup %s of %s, %s, landed at %s with %.0f ms\n", q.ID, q.Class,
		plural(len(q.Shards), "part", "parts"), directive.FormatTimestamp(q.AdmittedAt), q.Timeout)
	if q.Decision != nil {
		printDecision(w, q.Decision)
	}
	if err := printPasses(w, q); err != nil {
		return err
	}
	if q.OmittedAttempts > 0 {
		fmt.Fprintf(w, "and %s that the trace has no room for\n", plural(q.OmittedAttempts, "call", "calls"))
	}
	printResult(w, q)
	return nil
}

// printDecision explains why a query went in one pass or in two.
func printDecision(w io.Writer, d *trace.Decision) {
	passes := "one phase"
	if d.TwoPass {
		passes = "two phases"
	}
	fmt.Fprintf(w, "%s: %s\n", passes, d.Reason)
	fmt.Fprintf(w, "  estimate: %.0f%% of the parts hold nothing; "+
		"latency of its own %+.1f ms, of others saved %.1f ms, spent %.1f ms: net gain %+.1f ms\n",
		100*d.EmptyShare, d.OwnGain, d.SavedElsewhere, d.FirstPassCost,
		d.OwnGain+d.SavedElsewhere-d.FirstPassCost)
	if d.TwoPass {
		fmt.Fprintf(w, "  the first pass might take %.1f ms\n", d.FirstPassTime)
	}
}

// printPasses prints the attempts of each pass, and what the first of two passes came to.
func printPasses(w io.Writer, q *trace.Query) error {
	f := q.FirstPass
	if f == nil { // one pass, or a first one that has not ended
		if err := printAttempts(w, q.Attempts, onlyPass); err != nil {
			return err
		}
		return printAttempts(w, q.Attempts, firstPass)
	}
	fmt.Fprintln(w, "first pass:")
	if err := printAttempts(w, q.Attempts, firstPass); err != nil {
		return err
	}
	printFirstPassResult(w, f)
	if len(f.SecondPass) == 0 {
		fmt.Fprintln(w, "nothing is left to ask")
		return nil
	}
	fmt.Fprintf(w, "second pass, %s:\n", plural(len(f.SecondPass), "part", "parts"))
	return printAttempts(w, q.Attempts, secondPass)
}

func printFirstPassResult(w io.Writer, f *trace.FirstPassResult) {
	fmt.Fprintf(w, "after %.1f ms: %.0f%% of the weight proved to hold nothing\n", f.EndedAt, 100*f.ProvedWeight)
	if len(f.LeftOut) > 0 {
		fmt.Fprintf(w, "  left out as unlikely: shards %s\n", formatShards(f.LeftOut))
	}
	if len(f.Retried) > 0 {
		fmt.Fprintf(w, "  the first call was lost, so that the call in full counts against the budget: shards %s\n",
			formatShards(f.Retried))
	}
}

// printAttempts prints the attempts of a pass in a table. Those of a shard after its first are numbered.
func printAttempts(w io.Writer, attempts []trace.Attempt, pass string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	perShard := map[int]int{}
	for _, a := range attempts {
		if a.Pass != pass {
			continue
		}
		perShard[a.Shard]++
		note := a.Summary
		if n := perShard[a.Shard]; n > 1 {
			note = fmt.Sprintf("call %d of the part %s", n, note)
		}
		fmt.Fprintf(table, "  at %.1f ms\tshard %d\t%s\t%s after %.1f ms\t%s\n",
			a.DecidedAt, a.Shard, a.Server, a.Outcome, a.Duration, note)
	}
	return table.Flush()
}

func printResult(w io.Writer, q *trace.Query) {
	if q.Result == "" {
		fmt.Fprintln(w, "still held")
		return
	}
	fmt.Fprintf(w, "%s after %.1f ms, %s", q.Result, q.Duration,
		plural(q.Hits, "part with a value", "parts with a value"))
	if len(q.EmptyShards) > 0 {
		fmt.Fprintf(w, ", %d proved to hold nothing", len(q.EmptyShards))
	}
	fmt.Fprintln(w)
}

func formatShards(shards []int) string { return strings.Trim(fmt.Sprint(shards), "[]") }
