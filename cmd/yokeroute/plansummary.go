package main

import (
	"fmt"
	"io"
	"strings"

	"yokeroute/logic/placement"
	"yokeroute/logic/placing"
)

// summarise prints an operator's summary of a solution that fits.
func (s *solution) summarise(w io.Writer) {
	if s.Placement != nil {
		summarisePlacement(w, s.Placement)
	}
	summarisePlan(w, s.Plan)
}

func summarisePlacement(w io.Writer, r *placing.Result) {
	utilisation := 100 * r.MaxUtilisation.Float()
	moves := plural(len(r.Moves), "replica moves", "replicas move")
	if r.Proven {
		fmt.Fprintf(w, "placement: greatest utilisation %.1f%% when all are warm, %s; no placement is better\n",
			utilisation, moves)
	} else {
		fmt.Fprintf(w, "placement: greatest utilisation %.1f%% when all are warm, "+
			"within %.1f%% of the least that can be; %s; %d tries\n",
			utilisation, optimalityGap(r), moves, r.TriedChanges)
	}
	if r.TimedOut {
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

// optimalityGap is the percentage by which a placement may be worse than the best one.
func optimalityGap(r *placing.Result) float64 {
	bound := r.Bound.Float()
	if bound <= 0 {
		return 0
	}
	return 100 * (r.MaxUtilisation.Float()/bound - 1)
}

func summarisePlan(w io.Writer, p *placement.Plan) {
	first := &p.Steps[0]
	fmt.Fprintf(w, "weights: greatest utilisation %.1f%%, cost %g a second, %s, %s made ready\n",
		100*first.MaxUtilisation.Float(), costPerSecond(first.Cost),
		plural(len(p.Steps), "step", "steps"), plural(len(p.Cases), "loss", "losses"))
	worst, short := worstCase(p.Cases)
	if worst != nil {
		fmt.Fprintf(w, "worst loss: %s, greatest utilisation %.1f%%\n",
			worst.Name, 100*worst.Steps[0].MaxUtilisation.Float())
	}
	if short > 0 {
		fmt.Fprintf(w, "%s too much for what is left; yokeroute plan explain --case tells which\n",
			plural(short, "loss is", "losses are"))
	}
	if len(p.OmittedCases) > 0 {
		fmt.Fprintf(w, "no time for %s: %s\n", plural(len(p.OmittedCases), "loss", "losses"), strings.Join(p.OmittedCases, ", "))
	}
}

// worstCase returns the loss with the greatest utilisation, nil without losses, and counts those after which demand
// does not fit.
func worstCase(cases []placement.Case) (worst *placement.Case, short int) {
	for i := range cases {
		c := &cases[i]
		if c.Infeasibility != nil {
			short++
		}
		if worst == nil || worst.Steps[0].MaxUtilisation.Less(c.Steps[0].MaxUtilisation) {
			worst = c
		}
	}
	return worst, short
}
