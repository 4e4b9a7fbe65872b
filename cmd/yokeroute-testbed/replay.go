package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"yokeroute/internal/rulecheck"
	"yokeroute/internal/testbed/study"
)

// replayOptions are the flags of replay.
type replayOptions struct {
	query  uint64 // number of the query whose history is printed; 0 for a check of the rules
	output string
}

func replayCommand() *cobra.Command {
	var options replayOptions
	cmd := &cobra.Command{
		Use:   "replay TRACE|FOLDER",
		Short: "check the rules on a trace, or play a folder's days again and say what differs",
		Args:  cobra.ExactArgs(1),
		Example: "  yokeroute-testbed replay day.trace\n" +
			"  yokeroute-testbed replay day.trace --lookup 17\n" +
			"  yokeroute-testbed replay results",
		RunE: func(cmd *cobra.Command, args []string) error { return options.run(cmd, args[0]) },
	}
	cmd.Flags().Uint64Var(&options.query, "lookup", 0, "tell what became of this lookup instead")
	addOutputFlag(cmd, &options.output)
	return cmd
}

func (o *replayOptions) run(cmd *cobra.Command, path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.IsDir() {
		return replayFolder(cmd, path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if o.query > 0 {
		return printHistory(cmd.OutOrStdout(), text, o.query)
	}
	report, err := rulecheck.Check(bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if o.output == outputJSON {
		if err := json.NewEncoder(cmd.OutOrStdout()).Encode(report); err != nil {
			return err
		}
	} else {
		printRuleReport(cmd.OutOrStdout(), report)
	}
	if !report.Passed() {
		return errNegative
	}
	return nil
}

// replayFolder plays the days of a folder's results again. A difference is a negative answer.
func replayFolder(cmd *cobra.Command, folder string) error {
	results, err := study.Load(folder)
	if err != nil {
		return err
	}
	differences, err := results.Again(cmd.Context(), study.Terms{Done: showProgressBar(cmd)})
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if len(differences) == 0 {
		fmt.Fprintf(out, "all %d days come out the same, to the byte\n", len(results.Rows))
		return nil
	}
	fmt.Fprintf(out, "%d of %d days differ; they were played by %s, this is %s\n%s\n",
		len(differences), len(results.Rows), results.Build, study.Build(), strings.Join(differences, "\n"))
	return errNegative
}

// printRuleReport prints the result of a check of the six rules.
func printRuleReport(w io.Writer, r *rulecheck.Report) {
	fmt.Fprintf(w, "%d lookups, %d part calls; %d answered, %d nacked, %d aborted\n", r.Queries, r.Attempts,
		r.FinalAnswers[rulecheck.QueryServed], r.FinalAnswers[rulecheck.QueryRejected], r.FinalAnswers[rulecheck.QueryFailed])
	const rules = 6
	for rule := 1; rule <= rules; rule++ {
		switch {
		case r.Counts[rule] > 0:
			fmt.Fprintf(w, "rule %d: BROKEN %d times\n", rule, r.Counts[rule])
		case r.Unchecked[rule] != "":
			fmt.Fprintf(w, "rule %d: not checked: %s\n", rule, r.Unchecked[rule])
		case r.ClosestToLimit[rule].Share > 0:
			fmt.Fprintf(w, "rule %d: kept; nearest at %.0f%% of its limit, at %.0f ms: %s\n",
				rule, 100*r.ClosestToLimit[rule].Share, r.ClosestToLimit[rule].At, r.ClosestToLimit[rule].Message)
		default:
			fmt.Fprintf(w, "rule %d: kept\n", rule)
		}
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(w, " ", violation)
	}
	if r.Incomplete != "" {
		fmt.Fprintf(w, "does not pass: %s\n", r.Incomplete)
	}
}

// queryHistory prints the events of one query of a trace.
type queryHistory struct {
	out       io.Writer
	query     uint64
	startedAt float64 // of its first event, milliseconds
	found     bool
}

// printHistory prints what became of one query of a trace, which may be truncated.
func printHistory(w io.Writer, text []byte, query uint64) error {
	h := queryHistory{out: w, query: query}
	acceptHeader := func(rulecheck.Header) error { return nil }
	err := rulecheck.Read(bytes.NewReader(text), acceptHeader, h.print)
	if err != nil && !errors.Is(err, rulecheck.ErrTruncated) {
		return err
	}
	if !h.found {
		return fmt.Errorf("the trace has no lookup %d", query)
	}
	return nil
}

func (h *queryHistory) print(e rulecheck.Event) {
	if e.Query != h.query {
		return
	}
	if !h.found {
		h.found = true
		h.startedAt = e.At
	}
	at := e.At - h.startedAt
	pass := ""
	if e.FirstPass {
		pass = ", first pass"
	}
	switch e.Kind {
	case rulecheck.QueryAdmitted:
		fmt.Fprintf(h.out, "%9.3f ms  taken by gatherer %d: %s, %d parts, %.0f ms\n",
			at, e.Gatherer, e.Class, len(e.ShardRequests), e.Deadline-e.At)
	case rulecheck.AttemptSent:
		fmt.Fprintf(h.out, "%9.3f ms  shard %d: call %d to server %d%s\n", at, e.Shard, e.Attempt+1, e.Server, pass)
	case rulecheck.WorkStarted:
		fmt.Fprintf(h.out, "%9.3f ms  shard %d: server %d begins its work%s\n", at, e.Shard, e.Server, pass)
	case rulecheck.AttemptEnded:
		fmt.Fprintf(h.out, "%9.3f ms  shard %d: call %d: %s%s\n", at, e.Shard, e.Attempt+1, e.Outcome, pass)
	case rulecheck.QueryServed:
		fmt.Fprintf(h.out, "%9.3f ms  answered, whole %t, shards %v\n", at, e.Complete, e.IncludedShards)
	default:
		fmt.Fprintf(h.out, "%9.3f ms  %s\n", at, e.Kind)
	}
}
