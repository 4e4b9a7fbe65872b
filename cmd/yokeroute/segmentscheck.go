package main

import (
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"yokeroute/internal/control/segments"
	"yokeroute/logic/ownership"
)

func segmentsCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE [LATER]",
		Short: "check a map, or whether a later one may follow it",
		Args:  cobra.RangeArgs(1, 2),
		Example: "  yokeroute segments check examples/segments/farm.conf\n" +
			"  yokeroute segments check farm.conf farm-next.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			m, _, err := segments.ReadMap(args[0])
			if err != nil {
				return err
			}
			if len(args) == 1 {
				return checkMap(cmd.OutOrStdout(), args[0], m)
			}
			return checkSuccessor(cmd.OutOrStdout(), m, args[1])
		},
	}
}

// checkMap reports what a map leaves unowned.
func checkMap(w io.Writer, file string, m *ownership.Map) error {
	fmt.Fprintf(w, "%s: reads well: epoch %d, %d segments\n", file, m.Epoch, len(m.Segments))
	unowned := m.UnownedRanges()
	if len(unowned) == 0 {
		return nil
	}
	fmt.Fprintf(w, "%d ranges are unowned, the first is %s\n", len(unowned), unowned[0].Text())
	return errNegative
}

// checkSuccessor reports whether the map in a file may follow another, and what it changes.
func checkSuccessor(w io.Writer, m *ownership.Map, file string) error {
	next, _, err := segments.ReadMap(file)
	if err != nil {
		return err
	}
	if next.Epoch <= m.Epoch {
		fmt.Fprintf(w, "epoch %d of %s does not come after epoch %d: gatherers would not believe it\n",
			next.Epoch, file, m.Epoch)
		return errNegative
	}
	if faults := successorFaults(m, next); len(faults) > 0 {
		for _, line := range faults {
			fmt.Fprintln(w, line)
		}
		return errNegative
	}
	for _, line := range mapDifference(m, next) {
		fmt.Fprintln(w, line)
	}
	return nil
}

// successorFaults says why a map can't follow another: a segment with other keys or owners than before has an epoch of
// before, under which its old owner would go on.
func successorFaults(m, next *ownership.Map) (faults []string) {
	for _, s := range next.Segments {
		i := m.Find(s.Name)
		if i < 0 {
			if s.OwnedSince <= m.Epoch {
				faults = append(faults, fmt.Sprintf("segment %s is new and says that it is owned since epoch %d; "+
					"write since %d, or nothing", s.Name, s.OwnedSince, next.Epoch))
			}
			continue
		}
		previous := m.Segments[i]
		unchanged := previous.Range == s.Range && slices.Equal(previous.Owners, s.Owners)
		switch {
		case !unchanged && s.OwnedSince <= m.Epoch:
			faults = append(faults, fmt.Sprintf("segment %s is owned otherwise than before and still says since epoch %d: "+
				"the fence of its log would let its old owner write; write since %d, or nothing",
				s.Name, s.OwnedSince, next.Epoch))
		case unchanged && s.OwnedSince < previous.OwnedSince:
			faults = append(faults, fmt.Sprintf("segment %s is owned since epoch %d and says since %d",
				s.Name, previous.OwnedSince, s.OwnedSince))
		}
	}
	return faults
}

// mapDifference says which keys get another writer.
func mapDifference(m, next *ownership.Map) (lines []string) {
	moved := 0.0
	for _, s := range next.Segments {
		for _, overlap := range m.Overlaps(s.Range) {
			var previous []string
			if overlap.Segment != ownership.NoSegment {
				previous = m.Segments[overlap.Segment].Owners
			}
			from, to := writerOf(previous), writerOf(s.Owners)
			if from == to {
				continue
			}
			moved += overlap.Fraction()
			lines = append(lines, fmt.Sprintf("%s, %s of all keys: from %s to %s",
				overlap.Text(), formatPercent(overlap.Fraction()), from, to))
		}
	}
	return append(lines, fmt.Sprintf("%d segments, then %d; %s of all keys have another writer",
		len(m.Segments), len(next.Segments), formatPercent(moved)))
}
