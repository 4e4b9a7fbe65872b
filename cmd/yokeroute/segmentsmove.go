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
	"yokeroute/internal/storage/atomicfile"
	"yokeroute/logic/ownership"
)

// keyDigits is the number of hex digits of a key.
const keyDigits = 16

// planMoveOptions are the flags of segments plan-move.
type planMoveOptions struct {
	to     []string // hosts that own the segment afterwards
	split  string   // first key of the right half, hex
	merge  string   // segment that follows
	names  string   // of the segments that a split or a merge makes
	out    string
	shards int
}

func segmentsPlanMoveCommand() *cobra.Command {
	var options planMoveOptions
	cmd := &cobra.Command{
		Use:   "plan-move FILE SEGMENT",
		Short: "say what moving, splitting or merging a segment would do, and write the map after it",
		Args:  cobra.ExactArgs(2),
		Example: "  yokeroute segments plan-move examples/segments/farm.conf resolve-b --to h-03,h-01\n" +
			"  yokeroute segments plan-move examples/segments/farm.conf resolve-b " +
			"--split 6000000000000000 --into resolve-b1,resolve-b2\n" +
			"  yokeroute segments plan-move examples/segments/farm.conf resolve-a --merge resolve-b --into resolve",
		RunE: func(cmd *cobra.Command, args []string) error {
			return options.run(cmd.OutOrStdout(), args[0], args[1])
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&options.to, "to", nil, "hosts that own it from then on; the first is its writer")
	flags.StringVar(&options.split, "split", "", "part it before this key")
	flags.StringVar(&options.merge, "merge", "", "make one of it and this one, which follows it")
	flags.StringVar(&options.names, "into", "", "names of what comes, parted by a comma")
	flags.StringVar(&options.out, "out", "", "file for the map after it")
	addShardsFlag(cmd, &options.shards)
	return cmd
}

func (o *planMoveOptions) run(w io.Writer, file, segment string) error {
	m, shards, err := readMap(file, o.shards)
	if err != nil {
		return err
	}
	change, err := o.change(m, segment)
	if err != nil {
		return err
	}
	next, err := m.Apply(change)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s: makes epoch %d\n\n", change.Reason, change.Epoch)
	printLines(w, ownershipChanges(m, next))
	handover := ownership.NewHandover(m, change)
	fmt.Fprintf(w, "\nsteps:\n")
	for i, line := range handoverSteps(&handover, shards) {
		fmt.Fprintf(w, "  %d. %s\n", i+1, line)
	}
	fmt.Fprintf(w, "\nto back out before step 4: nobody owns these keys in epoch %d, "+
		"and who had them has them again in epoch %d\n", change.Epoch, change.Epoch+1)
	if o.out == "" {
		return nil
	}
	if err := os.WriteFile(o.out, []byte(segments.FormatMap(next, shards)), atomicfile.PublicMode); err != nil {
		return err
	}
	fmt.Fprintf(w, "the map of epoch %d is in %s\n", change.Epoch, o.out)
	return nil
}

// change returns the one change of a map that the flags describe.
func (o *planMoveOptions) change(m *ownership.Map, segment string) (ownership.Change, error) {
	given := 0
	for _, isGiven := range []bool{len(o.to) > 0, o.split != "", o.merge != ""} {
		if isGiven {
			given++
		}
	}
	names := strings.Split(o.names, ",")
	switch {
	case given != 1:
		return ownership.Change{}, errors.New("say one of --to HOSTS, --split KEY or --merge SEGMENT")
	case len(o.to) > 0:
		return m.MoveSegment(segment, o.to)
	case o.split != "":
		key, err := strconv.ParseUint(o.split, 16, 64)
		if err != nil || len(o.split) != keyDigits {
			return ownership.Change{}, fmt.Errorf("--split %q: is no key of sixteen hex digits", o.split)
		}
		if len(names) != 2 || names[0] == "" {
			names = []string{segment + "-1", segment + "-2"}
		}
		return m.SplitSegment(segment, key, names[0], names[1])
	}
	name := names[0]
	if name == "" {
		name = segment + "+" + o.merge
	}
	return m.MergeSegments(segment, o.merge, name)
}

// handoverSteps describes the steps of a handover, and how queries notice them.
func handoverSteps(h *ownership.Handover, shards int) []string {
	var oldOwners, newOwners []string
	affected := ""
	for _, s := range h.Previous {
		oldOwners = append(oldOwners, s.Owners...)
		affected = formatShardRange(s.Range, shards)
	}
	for _, s := range h.Added {
		for _, owner := range s.Owners {
			if !slices.Contains(newOwners, owner) {
				newOwners = append(newOwners, owner)
			}
		}
	}
	if affected != "" && affected != "-" {
		affected = " of shards " + affected
	} else {
		affected = " of these keys"
	}
	return []string{
		fmt.Sprintf("seal: %s take no more once-only calls%s; a host that can't be reached is passed by",
			hostList(oldOwners), affected),
		fmt.Sprintf("fence: the logs take nothing any more from before epoch %d", h.Epoch),
		fmt.Sprintf("accept: %s own what comes since epoch %d; they have to be reached", hostList(newOwners), h.Epoch),
		fmt.Sprintf("publish: gatherers hear of epoch %d; until one does, what it asks%s of the old owners "+
			"is refused and asked again, as a further call", h.Epoch, affected),
		fmt.Sprintf("release: %s forget what they owned, as far as they can be reached", hostList(oldOwners)),
	}
}

func hostList(hosts []string) string {
	if len(hosts) == 0 {
		return nobody
	}
	return strings.Join(hosts, ", ")
}
