package main

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"yokeroute/internal/testbed/emulator"
	"yokeroute/internal/testbed/study"
)

// dayOptions are the flags of the commands that play days of the emulator.
type dayOptions struct {
	out       string
	output    string
	figure    string
	seeds     int
	firstSeed uint64
	workers   int
}

func (o *dayOptions) addFlags(cmd *cobra.Command, defaultSeeds int) {
	flags := cmd.Flags()
	flags.StringVarP(&o.out, "out", "d", "", "folder for the results; a run that was broken off goes on from there")
	addOutputFlag(cmd, &o.output)
	flags.StringVar(&o.figure, "figure", "gain", "what is compared: "+strings.Join(emulator.Figures(), ", "))
	flags.IntVar(&o.seeds, "seeds", defaultSeeds, "days of each kind, each with a seed of its own")
	flags.Uint64Var(&o.firstSeed, "seed", 0, "the first seed; that of the file, or 1, unless told")
	flags.IntVar(&o.workers, "workers", 0, "days played side by side; one a core unless told")
}

func (o *dayOptions) check() error {
	switch {
	case o.output != outputText && o.output != outputJSON:
		return fmt.Errorf("--output %q: is neither text nor json", o.output)
	case o.seeds < 1:
		return fmt.Errorf("--seeds %d: at least one is needed", o.seeds)
	case !slices.Contains(emulator.Figures(), o.figure):
		return fmt.Errorf("--figure %q: is none of %s", o.figure, strings.Join(emulator.Figures(), ", "))
	}
	return nil
}

// day is a scenario that has been read, and the text of its file.
type day struct {
	*emulator.Scenario
	text string
}

// readDay reads a scenario file. A scenario without a name has the file's.
func readDay(file string) (*day, error) {
	scenario, err := emulator.Read(file)
	if err != nil {
		return nil, err
	}
	text, err := emulator.Text(file)
	if err != nil {
		return nil, err
	}
	if scenario.Name == "" {
		scenario.Name = strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	}
	return &day{Scenario: scenario, text: text}, nil
}

// offeredLoad is the note of results that says how much work a day asks for.
func (d *day) offeredLoad() string {
	return fmt.Sprintf("Work asked for is %.0f%% of what the fleet can do warm.", 100*d.Offered())
}

// jobs returns the days to play of a scenario, one for each variant and seed.
func (o *dayOptions) jobs(d *day, variants []emulator.Variant) []study.Job {
	return o.jobsOf(study.Job{Scenario: d.Name, Text: d.text}, d.Seed, variants)
}

// jobsOf returns a copy of a job for each variant and seed.
func (o *dayOptions) jobsOf(job study.Job, scenarioSeed uint64, variants []emulator.Variant) (jobs []study.Job) {
	first := o.firstSeed
	if first == 0 {
		first = scenarioSeed
	}
	for _, v := range variants {
		for i := range o.seeds {
			job.Variant = v
			job.Seed = first + uint64(i)
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// play plays days, with a progress bar on a terminal.
func (o *dayOptions) play(cmd *cobra.Command, jobs []study.Job) ([]study.Row, error) {
	return study.Play(cmd.Context(), jobs, study.Terms{
		Folder:  o.out,
		Workers: o.workers,
		Done:    showProgressBar(cmd),
	})
}

// finish saves and prints results. A rule that the gatherer's own decisions broke is a negative answer.
func (o *dayOptions) finish(cmd *cobra.Command, r *study.Results) error {
	if o.out != "" {
		if err := r.Save(o.out); err != nil {
			return err
		}
		printResultsFolder(cmd, o.out)
	}
	if err := o.print(cmd, r); err != nil {
		return err
	}
	for _, row := range r.Rows {
		rules := row.Result.Rules
		if row.Variant == emulator.Ours.Name && rules != nil && len(rules.Counts) > 0 {
			return errNegative
		}
	}
	return nil
}

func (o *dayOptions) print(cmd *cobra.Command, r *study.Results) error {
	if o.output != outputJSON {
		return r.Table(cmd.OutOrStdout())
	}
	text, err := r.Bytes()
	if err != nil {
		return err
	}
	_, err = cmd.OutOrStdout().Write(text)
	return err
}

func printResultsFolder(cmd *cobra.Command, folder string) {
	fmt.Fprintf(cmd.ErrOrStderr(), "results in %s; yokeroute-testbed report %s makes a page of them\n", folder, folder)
}

func parseVariants(names []string) ([]emulator.Variant, error) {
	var variants []emulator.Variant
	for _, name := range names {
		v, err := emulator.VariantOf(name)
		if err != nil {
			return nil, err
		}
		variants = append(variants, v)
	}
	return variants, nil
}
