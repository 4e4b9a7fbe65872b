package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"yokeroute/internal/control/segments"
	"yokeroute/logic/ownership"
)

// keyDigits is the length of a key in hex digits.
const keyDigits = 16

// segmentChange is what the flags of plan-move ask for.
type segmentChange struct {
	owners      []string
	splitBefore string
	mergeWith   string
	newNames    string
}

func segmentsMove() *cobra.Command {
	var change segmentChange
	var out string
	var shards int
	cmd := &cobra.Command{
		Use:   "plan-move FILE SEGMENT",
		Short: "say what moving, splitting or merging a segment would do, and write the map after it",
		Args:  cobra.ExactArgs(2),
		Example: "  yokeroute segments plan-move examples/segments/farm.conf resolve-b --to h-03,h-01\n" +
			"  yokeroute segments plan-move examples/segments/farm.conf resolve-b" +
			" --split 6000000000000000 --into resolve-b1,resolve-b2\n" +
			"  yokeroute segments plan-move examples/segments/farm.conf resolve-a --merge resolve-b --into resolve",
		RunE: func(cmd *cobra.Command, args []string) error {
			m, shards, err := readMapWithShards(args[0], shards)
			if err != nil {
				return err
			}
			c, err := change.of(m, args[1])
			if err != nil {
				return err
			}
			return planChange(cmd.OutOrStdout(), m, c, shards, out)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&change.owners, "to", nil, "hosts that own it from then on; the first is its writer")
	flags.StringVar(&change.splitBefore, "split", "", "part it before this key")
	flags.StringVar(&change.mergeWith, "merge", "", "make one of it and this one, which follows it")
	flags.StringVar(&change.newNames, "into", "", "names of what comes, parted by a comma")
	flags.StringVar(&out, "out", "", "file for the map after it")
	shardsFlag(cmd, &shards)
	return cmd
}

// of is the change of a map that the flags ask for. Exactly one kind must be given.
func (s *segmentChange) of(m *ownership.Map, segment string) (ownership.Change, error) {
	given := 0
	for _, kind := range []bool{len(s.owners) > 0, s.splitBefore != "", s.mergeWith != ""} {
		if kind {
			given++
		}
	}
	switch {
	case given != 1:
		return ownership.Change{}, errors.New("say one of --to HOSTS, --split KEY or --merge SEGMENT")
	case len(s.owners) > 0:
		return m.MoveSegment(segment, s.owners)
	case s.splitBefore != "":
		return s.split(m, segment)
	}
	name := strings.Split(s.newNames, ",")[0]
	if name == "" {
		name = segment + "+" + s.mergeWith
	}
	return m.MergeSegments(segment, s.mergeWith, name)
}

func (s *segmentChange) split(m *ownership.Map, segment string) (ownership.Change, error) {
	key, err := strconv.ParseUint(s.splitBefore, 16, 64)
	if err != nil || len(s.splitBefore) != keyDigits {
		return ownership.Change{}, fmt.Errorf("--split %q: is no key of sixteen hex digits", s.splitBefore)
	}
	names := strings.Split(s.newNames, ",")
	if len(names) != 2 || names[0] == "" {
		names = []string{segment + "-1", segment + "-2"}
	}
	return m.SplitSegment(segment, key, names[0], names[1])
}

// planChange prints what a change does and in which steps, and writes the map after it where a file is given.
func planChange(w io.Writer, m *ownership.Map, c ownership.Change, shards int, out string) error {
	next, err := m.Apply(c)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s: makes epoch %d\n\n", c.Reason, c.Epoch)
	for _, line := range mapDifference(m, next) {
		fmt.Fprintln(w, line)
	}
	h := ownership.NewHandover(m, c)
	fmt.Fprintf(w, "\nsteps:\n")
	for i, line := range handoverSteps(&h, shards) {
		fmt.Fprintf(w, "  %d. %s\n", i+1, line)
	}
	fmt.Fprintf(w, "\nto back out before step 4: nobody owns these keys in epoch %d, "+
		"and who had them has them again in epoch %d\n", c.Epoch, c.Epoch+1)
	if out == "" {
		return nil
	}
	if err := os.WriteFile(out, []byte(segments.FormatMap(next, shards)), 0o644); err != nil {
		return err
	}
	fmt.Fprintf(w, "the map of epoch %d is in %s\n", c.Epoch, out)
	return nil
}

// handoverSteps says what each step of a handover does, and what queries notice of it.
func handoverSteps(h *ownership.Handover, shards int) []string {
	var oldOwners, newOwners []string
	affected := ""
	for _, s := range h.Previous {
		oldOwners = append(oldOwners, s.Owners...)
		affected = formatShards(s.Range, shards)
	}
	for _, s := range h.Added {
		for _, owner := range s.Owners {
			if !slices.Contains(newOwners, owner) {
				newOwners = append(newOwners, owner)
			}
		}
	}
	keys := " of these keys"
	if affected != "" && affected != "-" {
		keys = " of shards " + affected
	}
	return []string{
		fmt.Sprintf("seal: %s take no more once-only calls%s; a host that can't be reached is passed by",
			formatHosts(oldOwners), keys),
		fmt.Sprintf("fence: the logs take nothing any more from before epoch %d", h.Epoch),
		fmt.Sprintf("accept: %s own what comes since epoch %d; they have to be reached",
			formatHosts(newOwners), h.Epoch),
		fmt.Sprintf("publish: gatherers hear of epoch %d; until one does, "+
			"what it asks%s of the old owners is refused and asked again, as a further call", h.Epoch, keys),
		fmt.Sprintf("release: %s forget what they owned, as far as they can be reached", formatHosts(oldOwners)),
	}
}
