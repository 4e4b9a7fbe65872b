package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/config/directive"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/placementfile"
	"yokeroute/internal/config/policyfile"
	"yokeroute/internal/control/policyserver"
	"yokeroute/internal/control/rollout"
	"yokeroute/internal/control/segments"
	"yokeroute/logic/balance"
	"yokeroute/logic/placement"
	"yokeroute/logic/placing"
)

func unixMilli() float64 { return float64(time.Now().UnixMilli()) }

// checkPlans reads the files that an operator's file names.
func checkPlans(own *operator.File) error {
	for _, name := range []string{own.Plan, own.Placement} {
		if name == "" {
			continue
		}
		f, err := placementfile.Read(name, unixMilli())
		switch {
		case err != nil:
			return err
		case name == own.Plan && f.Plan == nil:
			return fmt.Errorf("%s: holds no weights; make them by yokeroute plan solve", name)
		case name == own.Placement && !f.FromList:
			return fmt.Errorf("%s: lacks from-list; without it, make a plan by yokeroute plan solve", name)
		}
	}
	return nil
}

// output is the flag that a command with results for programs has.
func output(cmd *cobra.Command, to *string) {
	cmd.Flags().StringVarP(to, "output", "o", "text", "form of the answer: text or json")
	cmd.PreRunE = func(*cobra.Command, []string) error {
		if *to != "text" && *to != "json" {
			return fmt.Errorf("--output %q: is neither text nor json", *to)
		}
		return nil
	}
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func planCommand() *cobra.Command {
	plan := &cobra.Command{Use: "plan", Short: "work out and look at weights and placements"}
	plan.AddCommand(planSolve(), planCheck(), planExplain(), planDiff())
	return plan
}

// solved is what plan solve tells a program.
type solved struct {
	Fits      bool             `json:"fits"`
	Why       string           `json:"why,omitempty"`
	Plan      *placement.Plan  `json:"plan,omitempty"`
	Placement *placing.Result  `json:"placement,omitempty"`
	Clash     *placement.Clash `json:"clash,omitempty"`
	Misfit    *placing.Misfit  `json:"misfit,omitempty"`
}

func planSolve() *cobra.Command {
	var place bool
	var inForce, out, form string
	var limit time.Duration
	var terms placing.Terms
	cmd := &cobra.Command{Use: "solve FILE", Short: "work out weights, or with --place first where replicas stand", Args: cobra.ExactArgs(1),
		Example: "  yokeroute plan solve examples/placement/farm.conf --out plan.conf\n  yokeroute plan solve --place --out plan.conf examples/placement/farm.conf",
		Long: "Reads a placement file and works out its plan: weights for now and while hosts warm up, and for the loss of each hall,\n" +
			"of half of each hall's hosts and of each host. Exit status 1 says that nothing fits, and the answer why.",
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := readModel(args[0])
			if err != nil {
				return err
			}
			var before *placement.Plan
			if inForce != "" {
				old, err := readPlan(inForce)
				if err != nil {
					return err
				}
				before = old.Plan
			} else if f.Plan != nil {
				before = f.Plan // a plan that is solved again is itself in force
			}
			until := time.Now().Add(limit)
			more := func() bool { return time.Now().Before(until) }
			answer := solved{Fits: true}
			model := &f.Model
			if place {
				answer.Placement, answer.Misfit, err = placing.Search(model, terms, more)
				if err != nil {
					return err
				}
				if answer.Placement != nil {
					model = answer.Placement.Model
					until = time.Now().Add(limit) // the weights have their own
				}
			}
			if answer.Misfit == nil {
				if answer.Plan, answer.Clash, err = balance.Solve(model, before, more); err != nil {
					return fmt.Errorf("%s: %w", args[0], err)
				}
			}
			rate := func(units int64) string { return placementfile.FormatUnits(model.Unit, units) }
			switch {
			case answer.Misfit != nil:
				answer.Fits, answer.Why = false, answer.Misfit.Words(rate)
			case answer.Clash != nil:
				answer.Fits, answer.Why = false, answer.Clash.Words(rate)
			}
			if out != "" && answer.Plan != nil {
				if err := replace(out, func(w io.Writer) error { return placementfile.WritePlan(w, answer.Plan) }); err != nil {
					return err
				}
			}
			w := cmd.OutOrStdout()
			switch {
			case form == "json":
				if err := writeJSON(w, answer); err != nil {
					return err
				}
			case !answer.Fits:
				fmt.Fprintf(w, "Nothing fits. %s\n", answer.Why)
			default:
				if out == "" {
					if err := placementfile.WritePlan(w, answer.Plan); err != nil {
						return err
					}
					w = cmd.ErrOrStderr()
				}
				summarise(w, &answer, rate)
			}
			if !answer.Fits {
				return errNegative
			}
			return nil
		}}
	cmd.Flags().BoolVar(&place, "place", false, "work out which hosts hold which segments first")
	cmd.Flags().StringVar(&inForce, "in-force", "", "plan that is in force, from which to change as little as can be")
	cmd.Flags().StringVar(&out, "out", "", "file for the plan; it is replaced at once or not at all")
	cmd.Flags().DurationVar(&limit, "time", 30*time.Second, "longest time for weights, and for a placement")
	cmd.Flags().IntVar(&terms.Effort, "effort", 20000, "tries of a placement; the same number gives the same plan on every machine")
	cmd.Flags().Uint64Var(&terms.Seed, "seed", 1, "for the chance in a placement's search")
	output(cmd, &form)
	return cmd
}

func summarise(w io.Writer, s *solved, rate func(int64) string) {
	if r := s.Placement; r != nil {
		switch {
		case r.Proven:
			fmt.Fprintf(w, "placement: greatest utilisation %.1f%% when all are warm, %s; no placement is better\n", 100*r.Greatest.Float(), plural(len(r.Moves), "replica moves", "replicas move"))
		default:
			gap := 0.0
			if b := r.Bound.Float(); b > 0 {
				gap = 100 * (r.Greatest.Float()/b - 1)
			}
			fmt.Fprintf(w, "placement: greatest utilisation %.1f%% when all are warm, within %.1f%% of the least that can be; %s; %d tries\n",
				100*r.Greatest.Float(), gap, plural(len(r.Moves), "replica moves", "replicas move"), r.Tries)
		}
		if r.Stopped {
			fmt.Fprintln(w, "placement: the time ran out before the effort; another run may find another one")
		}
		for _, m := range r.Moves {
			if m.From == "" {
				fmt.Fprintf(w, "  copy %s to %s\n", m.Segment, m.To)
			} else {
				fmt.Fprintf(w, "  move %s from %s to %s\n", m.Segment, m.From, m.To)
			}
		}
	}
	p := s.Plan
	first := &p.Steps[0]
	fmt.Fprintf(w, "weights: greatest utilisation %.1f%%, cost %g a second, %s, %s made ready\n", 100*first.Greatest.Float(),
		float64(first.Cost)/1000, plural(len(p.Steps), "step", "steps"), plural(len(p.Cases), "loss", "losses"))
	worst, short := -1, 0
	for i := range p.Cases {
		if p.Cases[i].Clash != nil {
			short++
		}
		if worst < 0 || p.Cases[worst].Steps[0].Greatest.Less(p.Cases[i].Steps[0].Greatest) {
			worst = i
		}
	}
	if worst >= 0 {
		c := &p.Cases[worst]
		fmt.Fprintf(w, "worst loss: %s, greatest utilisation %.1f%%\n", c.Name, 100*c.Steps[0].Greatest.Float())
	}
	if short > 0 {
		fmt.Fprintf(w, "%s too much for what is left; yokeroute plan explain --case tells which\n", plural(short, "loss is", "losses are"))
	}
	if len(p.Left) > 0 {
		fmt.Fprintf(w, "no time for %s: %s\n", plural(len(p.Left), "loss", "losses"), strings.Join(p.Left, ", "))
	}
}

func plural(n int, one, many string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %s", n, many)
}

// replace writes a file beside the old one and puts it in its place, so that nobody reads half of it.
func replace(name string, write func(io.Writer) error) error {
	return place(name, 0o644, os.Rename, write)
}

// place writes a file whole, which put then puts in its place: os.Rename over one that is there, os.Link only where
// there is none, however late one came.
func place(name string, mode os.FileMode, put func(from, to string) error, write func(io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	err = errors.Join(write(f), f.Chmod(mode), f.Sync(), f.Close())
	if err != nil {
		return err
	}
	return put(f.Name(), name)
}

func readModel(name string) (*placementfile.File, error) {
	f, err := placementfile.Read(name, unixMilli())
	if err == nil && f.FromList {
		err = fmt.Errorf("%s: from-list takes its hosts from discovery's list; it is for serve, named by placement in the operator's file", name)
	}
	return f, err
}

func readPlan(name string) (*placementfile.File, error) {
	f, err := readModel(name)
	if err == nil && f.Plan == nil {
		err = fmt.Errorf("%s: holds no weights; make them by yokeroute plan solve", name)
	}
	return f, err
}

func planCheck() *cobra.Command {
	var form string
	cmd := &cobra.Command{Use: "check FILE ...", Short: "say whether placement files read well, plans keep their limits, and demand fits", Args: cobra.MinimumNArgs(1),
		Example: "  yokeroute plan check examples/placement/farm.conf plan.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			type checked struct {
				File     string   `json:"file"`
				Kind     string   `json:"kind"`
				Fits     bool     `json:"fits"`
				Greatest float64  `json:"greatest"`
				Wrong    []string `json:"wrong,omitempty"`
			}
			var all []checked
			bad := false
			for _, name := range args {
				f, err := placementfile.Read(name, unixMilli())
				if err != nil {
					return err
				}
				c := checked{File: name, Kind: "placement file", Fits: true}
				switch rate := func(units int64) string { return placementfile.FormatUnits(f.Model.Unit, units) }; {
				case f.FromList:
					c.Kind = "placement file for discovery's list"
				case f.Plan != nil:
					c.Kind = "plan"
					for _, wrong := range f.Plan.Check() {
						c.Wrong = append(c.Wrong, wrong.Error())
					}
					c.Greatest = f.Plan.Steps[0].Greatest.Float()
				default:
					m := f.Model.Normal()
					p := balance.NewProblem(m)
					p.Set(m.At, nil)
					u, fits := p.Least(false)
					if c.Greatest = u.Float(); !fits {
						clash := p.Clash(m.At)
						p.Lift(clash)
						c.Wrong = []string{clash.Words(rate)}
					}
				}
				c.Fits = len(c.Wrong) == 0
				bad = bad || !c.Fits
				all = append(all, c)
			}
			w := cmd.OutOrStdout()
			if form == "json" {
				if err := writeJSON(w, all); err != nil {
					return err
				}
			} else {
				for _, c := range all {
					switch {
					case !c.Fits && c.Kind == "plan":
						fmt.Fprintf(w, "%s: a plan that breaks %s:\n  %s\n", c.File, plural(len(c.Wrong), "limit", "limits"), strings.Join(c.Wrong, "\n  "))
					case !c.Fits:
						fmt.Fprintf(w, "%s: nothing fits. %s\n", c.File, c.Wrong[0])
					case c.Greatest > 0:
						fmt.Fprintf(w, "%s: a %s, greatest utilisation %.1f%%\n", c.File, c.Kind, 100*c.Greatest)
					default:
						fmt.Fprintf(w, "%s: a %s, reads well\n", c.File, c.Kind)
					}
				}
			}
			if bad {
				return errNegative
			}
			return nil
		}}
	output(cmd, &form)
	return cmd
}

func planExplain() *cobra.Command {
	var form, name, moment string
	cmd := &cobra.Command{Use: "explain PLAN", Short: "say why each host has its weight and which limit binds", Args: cobra.ExactArgs(1),
		Example: "  yokeroute plan explain plan.conf\n  yokeroute plan explain plan.conf --case 'hall north'",
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := readPlan(args[0])
			if err != nil {
				return err
			}
			at := f.Plan.Steps[0].From
			if moment != "" {
				when, err := time.Parse(time.RFC3339Nano, moment)
				if err != nil {
					return fmt.Errorf("--at %q: is no moment; write it as 2026-12-01T10:00:00Z", moment)
				}
				at = float64(when.UnixMicro()) / 1000
			}
			r, err := balance.Explain(f.Plan, at, name)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if form == "json" {
				return writeJSON(cmd.OutOrStdout(), r)
			}
			explain(cmd.OutOrStdout(), f, r)
			return nil
		}}
	cmd.Flags().StringVar(&name, "case", "", "loss to explain instead, such as 'hall north'")
	cmd.Flags().StringVar(&moment, "at", "", "moment to explain; the plan's beginning unless told")
	output(cmd, &form)
	return cmd
}

func explain(w io.Writer, f *placementfile.File, r *balance.Report) {
	rate := func(units int64) string { return placementfile.FormatUnits(f.Model.Unit, units) }
	what := "weights"
	if r.Case != "" {
		what = "case " + r.Case
	}
	fmt.Fprintf(w, "%s at %s: %s asked for, greatest utilisation %.1f%%, %s cross halls, cost %g a second\n\n", what, directive.FormatTimestamp(r.At),
		rate(r.Asked), 100*r.Greatest.Float(), rate(r.Crossing), float64(r.Cost)/1000)
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "host\thall\tcan\tgets\tuse\twhy")
	for _, h := range r.Hosts {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%.1f%%\t%s\n", h.Name, h.Hall, rate(h.Can), rate(h.Load), 100*h.Use, h.Why)
	}
	tab.Flush()
	fmt.Fprintln(w)
	fmt.Fprintln(tab, "hall\tcan\tgets\tof other halls\tlimit")
	for _, h := range r.Halls {
		limit := "none"
		if h.Most >= 0 {
			limit = rate(h.Most)
		}
		if h.Binds {
			limit += ", binds"
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%s\n", h.Name, rate(h.Can), rate(h.Load), rate(h.Crossing), limit)
	}
	tab.Flush()
	if len(r.Dark) > 0 {
		fmt.Fprintf(w, "\nNo host is left for %s.\n", strings.Join(r.Dark, ", "))
	}
	switch {
	case r.Bottleneck != nil:
		fmt.Fprintf(w, "\nWhy not less than %.1f%%: filled any less, hosts would not do. %s\n", 100*r.Greatest.Float(), r.Bottleneck.Words(rate))
	case r.Greatest.Load > r.Greatest.Capacity:
		fmt.Fprintln(w, "\nWhat is left cannot take all that is asked for: hosts are filled evenly beyond what they can do, and lookups will be refused.")
	}
	if n := len(f.Plan.Steps); n > 1 && r.Case == "" {
		fmt.Fprintf(w, "\nHosts warm up; the weights change in %d steps until %s.\n", n, directive.FormatTimestamp(f.Plan.Steps[n-1].From))
	}
}

func planDiff() *cobra.Command {
	var form string
	cmd := &cobra.Command{Use: "diff OLD NEW", Short: "say what a plan changes, in meaning", Args: cobra.ExactArgs(2),
		Example: "  yokeroute plan diff old.conf plan.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			old, err := readPlan(args[0])
			if err != nil {
				return err
			}
			now, err := readPlan(args[1])
			if err != nil {
				return err
			}
			if old.Model.Unit != now.Model.Unit {
				return fmt.Errorf("%s goes by %s and %s by %s: plans of different units cannot be compared", args[0],
					directive.FormatRate(old.Model.Unit), args[1], directive.FormatRate(now.Model.Unit))
			}
			c := placement.Diff(old.Plan, now.Plan, now.Plan.Steps[0].From)
			if form == "json" {
				return writeJSON(cmd.OutOrStdout(), c)
			}
			lines := c.Words(func(units int64) string { return placementfile.FormatUnits(now.Model.Unit, units) })
			if len(lines) == 0 {
				lines = []string{"no difference in meaning"}
			}
			for _, line := range lines {
				fmt.Fprintln(cmd.OutOrStdout(), line)
			}
			return nil
		}}
	output(cmd, &form)
	return cmd
}

// referenceCommand prints the pages about the operators' files, from the tables that read them.
func referenceCommand() *cobra.Command {
	pages := map[string]func() string{"operator": operator.Reference, "placement": placementfile.Reference, "segments": segments.MapReference, "rollout": rollout.Reference, "policy": policyfile.Reference, "steward": policyserver.Reference}
	return &cobra.Command{Use: "reference operator|placement|segments|rollout|policy|steward", Short: "print the page about a kind of file", Args: cobra.ExactArgs(1),
		Example: "  yokeroute reference placement", ValidArgs: []string{"operator", "placement", "segments", "rollout", "policy", "steward"},
		RunE: func(cmd *cobra.Command, args []string) error {
			page := pages[args[0]]
			if page == nil {
				return fmt.Errorf("reference %q: is none of operator, placement, segments, rollout, policy and steward", args[0])
			}
			fmt.Fprint(cmd.OutOrStdout(), page())
			return nil
		}}
}
