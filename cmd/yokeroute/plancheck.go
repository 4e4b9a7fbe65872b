package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"yokeroute/internal/config/placementfile"
	"yokeroute/logic/balance"
	"yokeroute/logic/placement"
)

// Kinds of checked files, as printed.
const (
	kindModel    = "placement file"
	kindFromList = "placement file for discovery's list"
	kindPlan     = "plan"
)

// checkedFile is the result of plan check for one file.
type checkedFile struct {
	File                string   `json:"file"`
	Kind                string   `json:"kind"`
	Feasible            bool     `json:"fits"`
	GreatestUtilisation float64  `json:"greatest"`
	Violations          []string `json:"wrong,omitempty"`
}

func planCheckCommand() *cobra.Command {
	var output string
	cmd := &cobra.Command{
		Use:     "check FILE ...",
		Short:   "say whether placement files read well, plans keep their limits, and demand fits",
		Args:    cobra.MinimumNArgs(1),
		Example: "  yokeroute plan check examples/placement/farm.conf plan.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			return checkPlacementFiles(cmd.OutOrStdout(), args, output)
		},
	}
	addCheckedOutputFlag(cmd, &output)
	return cmd
}

// checkPlacementFiles checks each of the files, and reports whether all fit by its error.
func checkPlacementFiles(w io.Writer, names []string, output string) error {
	var files []checkedFile
	feasible := true
	for _, name := range names {
		f, err := placementfile.Read(name, unixMilliseconds())
		if err != nil {
			return err
		}
		checked := checkPlacementFile(name, f)
		feasible = feasible && checked.Feasible
		files = append(files, checked)
	}
	if output == outputJSON {
		if err := writeIndentedJSON(w, files); err != nil {
			return err
		}
	} else {
		for i := range files {
			files[i].print(w)
		}
	}
	if !feasible {
		return errNegative
	}
	return nil
}

func checkPlacementFile(name string, f *placementfile.File) checkedFile {
	c := checkedFile{File: name}
	switch {
	case f.FromList:
		c.Kind = kindFromList
	case f.Plan != nil:
		c.Kind = kindPlan
		for _, violation := range f.Plan.Violations() {
			c.Violations = append(c.Violations, violation.Error())
		}
		c.GreatestUtilisation = f.Plan.Steps[0].MaxUtilisation.Float()
	default:
		c.Kind = kindModel
		utilisation, clash := checkDemand(&f.Model)
		c.GreatestUtilisation = utilisation
		if clash != nil {
			c.Violations = []string{clash.Describe(rateFormatter(&f.Model))}
		}
	}
	c.Feasible = len(c.Violations) == 0
	return c
}

// checkDemand returns the least greatest utilisation at which a model's demand fits, or a proof that it does not.
func checkDemand(model *placement.Model) (utilisation float64, clash *placement.Infeasibility) {
	m := model.Normalized()
	p := balance.NewProblem(m)
	p.SetTime(m.At, nil)
	least, fits := p.MinUtilisation(false)
	if !fits {
		clash = p.Infeasibility(m.At)
		p.AddRelaxations(clash)
	}
	return least.Float(), clash
}

func (c *checkedFile) print(w io.Writer) {
	switch {
	case !c.Feasible && c.Kind == kindPlan:
		fmt.Fprintf(w, "%s: a plan that breaks %s:\n  %s\n",
			c.File, plural(len(c.Violations), "limit", "limits"), strings.Join(c.Violations, "\n  "))
	case !c.Feasible:
		fmt.Fprintf(w, "%s: nothing fits. %s\n", c.File, c.Violations[0])
	case c.GreatestUtilisation > 0:
		fmt.Fprintf(w, "%s: a %s, greatest utilisation %.1f%%\n", c.File, c.Kind, 100*c.GreatestUtilisation)
	default:
		fmt.Fprintf(w, "%s: a %s, reads well\n", c.File, c.Kind)
	}
}
