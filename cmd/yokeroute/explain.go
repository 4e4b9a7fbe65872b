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

const (
	explainTimeout = 10 * time.Second
	maxTraceBytes  = 16 << 20 // of a gatherer's answer
)

func explainCommand() *cobra.Command {
	explain := &cobra.Command{Use: "explain", Short: "say what a gatherer decided and why"}
	explain.AddCommand(explainQueryCommand())
	return explain
}

func explainQueryCommand() *cobra.Command {
	var gatherer, form string
	cmd := &cobra.Command{
		Use:   "lookup [ID]",
		Short: "explain a lookup that a gatherer keeps a trace of, or list those",
		Args:  cobra.MaximumNArgs(1),
		Example: "  yokeroute explain lookup --gatherer 127.0.0.1:8000\n" +
			"  yokeroute explain lookup --gatherer 127.0.0.1:8000 9b1f03aa5c7e2d41",
		RunE: func(cmd *cobra.Command, args []string) error {
			id := ""
			if len(args) > 0 {
				id = args[0]
			}
			return explainQuery(cmd.OutOrStdout(), gatherer, id, form)
		},
	}
	cmd.Flags().StringVar(&gatherer, "gatherer", "127.0.0.1:8000", "address of the gatherer")
	output(cmd, &form)
	return cmd
}

// explainQuery prints a gatherer's trace of a query, or the list of its traces where the ID is empty.
func explainQuery(w io.Writer, gatherer, id, form string) error {
	status, document, err := fetchTrace(gatherer, id)
	if err != nil {
		return err
	}
	switch {
	case status.code == http.StatusNotFound && id != "" && strings.Contains(string(document), "kept"):
		fmt.Fprintf(w, "%s keeps no trace of the lookup %s\n", gatherer, id)
		return errNegative
	case status.code != http.StatusOK:
		return fmt.Errorf("%s keeps no traces (%s): the operator's file switches them on by trace", gatherer, status.text)
	case form == "json":
		_, err := w.Write(append(document, '\n'))
		return err
	case id == "":
		var list []trace.ListEntry
		if err := json.Unmarshal(document, &list); err != nil {
			return err
		}
		return printTraceList(w, list)
	}
	var query trace.Query
	if err := json.Unmarshal(document, &query); err != nil {
		return fmt.Errorf("%s: %w", gatherer, err)
	}
	printTrace(w, &query)
	return nil
}

type httpStatus struct {
	code int
	text string
}

// fetchTrace requests the trace of a query, or the list where the ID is empty.
func fetchTrace(gatherer, id string) (httpStatus, []byte, error) {
	address := "http://" + gatherer + trace.Path
	if id != "" {
		address += "/" + url.PathEscape(id)
	}
	client := http.Client{Timeout: explainTimeout}
	resp, err := client.Get(address)
	if err != nil {
		return httpStatus{}, nil, err
	}
	defer resp.Body.Close()
	document, err := io.ReadAll(io.LimitReader(resp.Body, maxTraceBytes))
	return httpStatus{resp.StatusCode, resp.Status}, document, err
}

func printTraceList(w io.Writer, list []trace.ListEntry) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "lookup\tindex\tphases\tended\ttook")
	for _, query := range list {
		passes := "one"
		if query.TwoPass {
			passes = "two"
		}
		result := query.Result
		duration := fmt.Sprintf("%.1f ms", query.Duration)
		if result == "" {
			result = "still held"
			duration = "-"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", query.ID, query.Class, passes, result, duration)
	}
	return table.Flush()
}

// printTrace explains one query pass by pass.
func printTrace(w io.Writer, query *trace.Query) {
	fmt.Fprintf(w, "lookup %s of %s, %s, landed at %s with %.0f ms\n", query.ID, query.Class,
		plural(len(query.Shards), "part", "parts"), directive.FormatTimestamp(query.AdmittedAt), query.Timeout)
	if query.Decision != nil {
		printDecision(w, query.Decision)
	}
	if query.FirstPass != nil {
		printPasses(w, query)
	} else {
		printAttempts(w, query, "only")
		printAttempts(w, query, "first")
	}
	if query.OmittedAttempts > 0 {
		fmt.Fprintf(w, "and %s that the trace has no room for\n", plural(query.OmittedAttempts, "call", "calls"))
	}
	printResult(w, query)
}

func printDecision(w io.Writer, d *trace.Decision) {
	passes := "one phase"
	if d.TwoPass {
		passes = "two phases"
	}
	fmt.Fprintf(w, "%s: %s\n", passes, d.Reason)
	netGain := d.OwnGain + d.SavedElsewhere - d.FirstPassCost
	fmt.Fprintf(w, "  estimate: %.0f%% of the parts hold nothing; latency of its own %+.1f ms, of others saved %.1f ms, "+
		"spent %.1f ms: net gain %+.1f ms\n", 100*d.EmptyShare, d.OwnGain, d.SavedElsewhere, d.FirstPassCost, netGain)
	if d.TwoPass {
		fmt.Fprintf(w, "  the first pass might take %.1f ms\n", d.FirstPassTime)
	}
}

// printPasses explains both passes of a query whose first pass has ended.
func printPasses(w io.Writer, query *trace.Query) {
	first := query.FirstPass
	fmt.Fprintln(w, "first pass:")
	printAttempts(w, query, "first")
	fmt.Fprintf(w, "after %.1f ms: %.0f%% of the weight proved to hold nothing\n", first.EndedAt, 100*first.ProvedWeight)
	if len(first.LeftOut) > 0 {
		fmt.Fprintf(w, "  left out as unlikely: shards %s\n", numbers(first.LeftOut))
	}
	if len(first.Retried) > 0 {
		fmt.Fprintf(w, "  the first call was lost, so that the call in full counts against the budget: shards %s\n",
			numbers(first.Retried))
	}
	if len(first.SecondPass) == 0 {
		fmt.Fprintln(w, "nothing is left to ask")
		return
	}
	fmt.Fprintf(w, "second pass, %s:\n", plural(len(first.SecondPass), "part", "parts"))
	printAttempts(w, query, "second")
}

// printAttempts lists the attempts of one pass.
func printAttempts(w io.Writer, query *trace.Query, pass string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	attempts := map[int]int{} // by shard
	for _, a := range query.Attempts {
		if a.Pass != pass {
			continue
		}
		attempts[a.Shard]++
		note := a.Summary
		if n := attempts[a.Shard]; n > 1 {
			note = fmt.Sprintf("call %d of the part %s", n, note)
		}
		fmt.Fprintf(table, "  at %.1f ms\tshard %d\t%s\t%s after %.1f ms\t%s\n",
			a.DecidedAt, a.Shard, a.Server, a.Outcome, a.Duration, note)
	}
	_ = table.Flush()
}

func printResult(w io.Writer, query *trace.Query) {
	if query.Result == "" {
		fmt.Fprintln(w, "still held")
		return
	}
	fmt.Fprintf(w, "%s after %.1f ms, %s", query.Result, query.Duration,
		plural(query.Hits, "part with a value", "parts with a value"))
	if len(query.EmptyShards) > 0 {
		slices.Sort(query.EmptyShards)
		fmt.Fprintf(w, ", %d proved to hold nothing", len(query.EmptyShards))
	}
	fmt.Fprintln(w)
}

func numbers(list []int) string { return strings.Trim(fmt.Sprint(list), "[]") }
