package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"yokeroute/internal/config/placementfile"
	"yokeroute/internal/storage/atomicfile"
	"yokeroute/logic/balance"
	"yokeroute/logic/placement"
	"yokeroute/logic/placing"
)

const (
	defaultSolveTime    = 30 * time.Second
	defaultSearchEffort = 20_000 // attempts to improve a placement
	defaultSearchSeed   = 1
)

// solveOptions are the flags of plan solve.
type solveOptions struct {
	place     bool
	inForce   string // file of the plan in force
	out       string
	output    string
	timeLimit time.Duration // for a placement, and again for weights
	search    placing.Config
}

// solution is what plan solve prints as JSON.
type solution struct {
	Feasible  bool                     `json:"fits"`
	Reason    string                   `json:"why,omitempty"`
	Plan      *placement.Plan          `json:"plan,omitempty"`
	Placement *placing.Result          `json:"placement,omitempty"`
	Clash     *placement.Infeasibility `json:"clash,omitempty"`
	Misfit    *placing.Infeasibility   `json:"misfit,omitempty"`
}

func planSolveCommand() *cobra.Command {
	var options solveOptions
	cmd := &cobra.Command{
		Use:   "solve FILE",
		Short: "work out weights, or with --place first where replicas stand",
		Args:  cobra.ExactArgs(1),
		Example: "  yokeroute plan solve examples/placement/farm.conf --out plan.conf\n" +
			"  yokeroute plan solve --place --out plan.conf examples/placement/farm.conf",
		Long: "Reads a placement file and works out its plan: weights for now and while hosts warm up, and for the loss " +
			"of each hall,\nof half of each hall's hosts and of each host. Exit status 1 says that nothing fits, " +
			"and the answer why.",
		RunE: func(cmd *cobra.Command, args []string) error { return options.run(cmd, args[0]) },
	}
	options.addFlags(cmd)
	return cmd
}

func (o *solveOptions) addFlags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.BoolVar(&o.place, "place", false, "work out which hosts hold which segments first")
	flags.StringVar(&o.inForce, "in-force", "", "plan that is in force, from which to change as little as can be")
	flags.StringVar(&o.out, "out", "", "file for the plan; it is replaced at once or not at all")
	flags.DurationVar(&o.timeLimit, "time", defaultSolveTime, "longest time for weights, and for a placement")
	flags.IntVar(&o.search.Effort, "effort", defaultSearchEffort,
		"tries of a placement; the same number gives the same plan on every machine")
	flags.Uint64Var(&o.search.Seed, "seed", defaultSearchSeed, "for the chance in a placement's search")
	addCheckedOutputFlag(cmd, &o.output)
}

func (o *solveOptions) run(cmd *cobra.Command, name string) error {
	f, err := readModel(name)
	if err != nil {
		return err
	}
	inForce, err := o.planInForce(f)
	if err != nil {
		return err
	}
	s, err := o.solve(name, &f.Model, inForce)
	if err != nil {
		return err
	}
	if o.out != "" && s.Plan != nil {
		file := atomicfile.File{Name: o.out, Mode: atomicfile.PublicMode}
		if err := file.WriteFrom(s.writePlan); err != nil {
			return err
		}
	}
	if err := o.print(cmd, s); err != nil {
		return err
	}
	if !s.Feasible {
		return errNegative
	}
	return nil
}

// planInForce returns the plan from which the new one should differ little, or nil. A plan that is solved again is
// itself in force.
func (o *solveOptions) planInForce(f *placementfile.File) (*placement.Plan, error) {
	if o.inForce == "" {
		return f.Plan, nil
	}
	old, err := readPlan(o.inForce)
	if err != nil {
		return nil, err
	}
	return old.Plan, nil
}

// solve works out a placement where one is wanted, and weights for it.
func (o *solveOptions) solve(name string, model *placement.Model, inForce *placement.Plan) (*solution, error) {
	s := &solution{}
	var err error
	if o.place {
		s.Placement, s.Misfit, err = placing.Search(model, o.search, timeLeft(o.timeLimit))
		if err != nil {
			return nil, err
		}
		if s.Placement != nil {
			model = s.Placement.Model
		}
	}
	if s.Misfit == nil {
		s.Plan, s.Clash, err = balance.Solve(model, inForce, timeLeft(o.timeLimit))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	rate := rateFormatter(model)
	switch {
	case s.Misfit != nil:
		s.Reason = s.Misfit.Describe(rate)
	case s.Clash != nil:
		s.Reason = s.Clash.Describe(rate)
	default:
		s.Feasible = true
	}
	return s, nil
}

// timeLeft returns a function that reports whether a time limit, which starts now, has not passed.
func timeLeft(limit time.Duration) func() bool {
	deadline := time.Now().Add(limit)
	return func() bool { return time.Now().Before(deadline) }
}

func (s *solution) writePlan(w io.Writer) error { return placementfile.WritePlan(w, s.Plan) }

// print writes the answer to standard output. A plan that goes there too has its summary on standard error.
func (o *solveOptions) print(cmd *cobra.Command, s *solution) error {
	out := cmd.OutOrStdout()
	switch {
	case o.output == outputJSON:
		return writeIndentedJSON(out, s)
	case !s.Feasible:
		fmt.Fprintf(out, "Nothing fits. %s\n", s.Reason)
		return nil
	case o.out != "":
		s.summarise(out)
		return nil
	}
	if err := s.writePlan(out); err != nil {
		return err
	}
	s.summarise(cmd.ErrOrStderr())
	return nil
}
