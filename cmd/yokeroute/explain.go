package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/config/directive"
	"yokeroute/internal/gatherer/trace"
)

func explainCommand() *cobra.Command {
	explain := &cobra.Command{Use: "explain", Short: "say what a gatherer decided and why"}
	var gatherer, form string
	lookup := &cobra.Command{Use: "lookup [ID]", Short: "explain a lookup that a gatherer keeps a trace of, or list those", Args: cobra.MaximumNArgs(1),
		Example: "  yokeroute explain lookup --gatherer 127.0.0.1:8000\n  yokeroute explain lookup --gatherer 127.0.0.1:8000 9b1f03aa5c7e2d41",
		RunE: func(cmd *cobra.Command, args []string) error {
			at := "http://" + gatherer + trace.Path
			if len(args) > 0 {
				at += "/" + url.PathEscape(args[0])
			}
			client := http.Client{Timeout: 10 * time.Second}
			resp, err := client.Get(at)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			text, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
			if err != nil {
				return err
			}
			w := cmd.OutOrStdout()
			switch {
			case resp.StatusCode == http.StatusNotFound && len(args) > 0 && strings.Contains(string(text), "kept"):
				fmt.Fprintf(w, "%s keeps no trace of the lookup %s\n", gatherer, args[0])
				return errNegative
			case resp.StatusCode != http.StatusOK:
				return fmt.Errorf("%s keeps no traces (%s): the operator's file switches them on by trace", gatherer, resp.Status)
			case form == "json":
				_, err := w.Write(append(text, '\n'))
				return err
			case len(args) == 0:
				return list(w, text)
			}
			var t trace.Query
			if err := json.Unmarshal(text, &t); err != nil {
				return fmt.Errorf("%s: %w", gatherer, err)
			}
			tell(w, &t)
			return nil
		}}
	lookup.Flags().StringVar(&gatherer, "gatherer", "127.0.0.1:8000", "address of the gatherer")
	output(lookup, &form)
	explain.AddCommand(lookup)
	return explain
}

func list(w io.Writer, text []byte) error {
	var lines []struct {
		ID, Index, Verdict string
		Took               float64
		Two                bool
	}
	if err := json.Unmarshal(text, &lines); err != nil {
		return err
	}
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "lookup\tindex\tphases\tended\ttook")
	for _, l := range lines {
		phases := "one"
		if l.Two {
			phases = "two"
		}
		ended, took := l.Verdict, fmt.Sprintf("%.1f ms", l.Took)
		if ended == "" {
			ended, took = "still held", "-"
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%s\n", l.ID, l.Index, phases, ended, took)
	}
	return tab.Flush()
}

// tell explains one lookup phase by phase.
func tell(w io.Writer, t *trace.Query) {
	fmt.Fprintf(w, "lookup %s of %s, %s, landed at %s with %.0f ms\n", t.ID, t.Class, plural(len(t.Shards), "part", "parts"), directive.FormatTimestamp(t.AdmittedAt), t.Timeout)
	if c := t.Decision; c != nil {
		way := "one phase"
		if c.TwoPass {
			way = "two phases"
		}
		fmt.Fprintf(w, "%s: %s\n", way, c.Reason)
		fmt.Fprintf(w, "  estimate: %.0f%% of the parts hold nothing; latency of its own %+.1f ms, of others saved %.1f ms, spent %.1f ms: net gain %+.1f ms\n",
			100*c.EmptyShare, c.OwnGain, c.SavedElsewhere, c.FirstPassCost, c.OwnGain+c.SavedElsewhere-c.FirstPassCost)
		if c.TwoPass {
			fmt.Fprintf(w, "  the first pass might take %.1f ms\n", c.FirstPassTime)
		}
	}
	calls := func(pass string) {
		tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		seen := map[int]int{}
		for _, c := range t.Attempts {
			if c.Pass != pass {
				continue
			}
			seen[c.Shard]++
			note := c.Summary
			if n := seen[c.Shard]; n > 1 {
				note = fmt.Sprintf("call %d of the part %s", n, note)
			}
			fmt.Fprintf(tab, "  at %.1f ms\tshard %d\t%s\t%s after %.1f ms\t%s\n", c.DecidedAt, c.Shard, c.Server, c.Outcome, c.Duration, note)
		}
		tab.Flush()
	}
	if f := t.FirstPass; f != nil {
		fmt.Fprintln(w, "first pass:")
		calls("first")
		fmt.Fprintf(w, "after %.1f ms: %.0f%% of the weight proved to hold nothing\n", f.EndedAt, 100*f.ProvedWeight)
		if len(f.LeftOut) > 0 {
			fmt.Fprintf(w, "  left out as unlikely: shards %s\n", numbers(f.LeftOut))
		}
		if len(f.Retried) > 0 {
			fmt.Fprintf(w, "  the first call was lost, so that the call in full counts against the budget: shards %s\n", numbers(f.Retried))
		}
		if len(f.SecondPass) == 0 {
			fmt.Fprintln(w, "nothing is left to ask")
		} else {
			fmt.Fprintf(w, "second pass, %s:\n", plural(len(f.SecondPass), "part", "parts"))
			calls("second")
		}
	} else {
		calls("only")
		calls("first")
	}
	if t.OmittedAttempts > 0 {
		fmt.Fprintf(w, "and %s that the trace has no room for\n", plural(t.OmittedAttempts, "call", "calls"))
	}
	if t.Result == "" {
		fmt.Fprintln(w, "still held")
		return
	}
	fmt.Fprintf(w, "%s after %.1f ms, %s", t.Result, t.Duration, plural(t.Hits, "part with a value", "parts with a value"))
	if len(t.EmptyShards) > 0 {
		slices.Sort(t.EmptyShards)
		fmt.Fprintf(w, ", %d proved to hold nothing", len(t.EmptyShards))
	}
	fmt.Fprintln(w)
}

func numbers(list []int) string { return strings.Trim(fmt.Sprint(list), "[]") }
