package main

import (
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"yokeroute/internal/control/segments"
	"yokeroute/logic/ownership"
)

func segmentsCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE [LATER]",
		Short: "check a map, or whether a later one may follow it",
		Args:  cobra.RangeArgs(1, 2),
		Example: "  yokeroute segments check examples/segments/farm.conf\n" +
			"  yokeroute segments check farm.conf farm-next.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				return checkMap(cmd.OutOrStdout(), args[0])
			}
			return checkMapChange(cmd.OutOrStdout(), args[0], args[1])
		},
	}
}

// checkMap checks a map by itself. Keys without an owner are a negative answer.
func checkMap(w io.Writer, file string) error {
	m, _, err := segments.ReadMap(file)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s: reads well: epoch %d, %d segments\n", file, m.Epoch, len(m.Segments))
	if gaps := m.UnownedRanges(); len(gaps) > 0 {
		fmt.Fprintf(w, "%d ranges are unowned, the first is %s\n", len(gaps), gaps[0].Text())
		return errNegative
	}
	return nil
}

// checkMapChange checks whether a later map may follow, and prints what it changes.
func checkMapChange(w io.Writer, file, laterFile string) error {
	m, _, err := segments.ReadMap(file)
	if err != nil {
		return err
	}
	later, _, err := segments.ReadMap(laterFile)
	if err != nil {
		return err
	}
	if later.Epoch <= m.Epoch {
		fmt.Fprintf(w, "epoch %d of %s does not come after epoch %d: gatherers would not believe it\n",
			later.Epoch, laterFile, m.Epoch)
		return errNegative
	}
	violations := epochViolations(m, later)
	if len(violations) > 0 {
		printLines(w, violations)
		return errNegative
	}
	printLines(w, ownershipChanges(m, later))
	return nil
}

func printLines(w io.Writer, lines []string) {
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

// epochViolations returns why a map can't follow another: a segment whose range or owners changed must bear a new
// epoch, since its old owner would go on writing under the old one.
func epochViolations(m, later *ownership.Map) (violations []string) {
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	for _, s := range later.Segments {
		i := m.Find(s.Name)
		if i < 0 {
			if s.OwnedSince <= m.Epoch {
				report("segment %s is new and says that it is owned since epoch %d; write since %d, or nothing",
					s.Name, s.OwnedSince, later.Epoch)
			}
			continue
		}
		before := m.Segments[i]
		unchanged := before.Range == s.Range && slices.Equal(before.Owners, s.Owners)
		switch {
		case !unchanged && s.OwnedSince <= m.Epoch:
			report("segment %s is owned otherwise than before and still says since epoch %d: "+
				"the fence of its log would let its old owner write; write since %d, or nothing",
				s.Name, s.OwnedSince, later.Epoch)
		case unchanged && s.OwnedSince < before.OwnedSince:
			report("segment %s is owned since epoch %d and says since %d", s.Name, before.OwnedSince, s.OwnedSince)
		}
	}
	return violations
}

// ownershipChanges describes which ranges of keys have another writer in a later map.
func ownershipChanges(m, later *ownership.Map) (lines []string) {
	changed := 0.0
	for _, s := range later.Segments {
		for _, overlap := range m.Overlaps(s.Range) {
			var ownersBefore []string
			if overlap.Segment >= 0 {
				ownersBefore = m.Segments[overlap.Segment].Owners
			}
			from, to := writerOf(ownersBefore), writerOf(s.Owners)
			if from == to {
				continue
			}
			changed += overlap.Fraction()
			lines = append(lines, fmt.Sprintf("%s, %s of all keys: from %s to %s",
				overlap.Text(), formatFraction(overlap.Fraction()), from, to))
		}
	}
	return append(lines, fmt.Sprintf("%d segments, then %d; %s of all keys have another writer",
		len(m.Segments), len(later.Segments), formatFraction(changed)))
}
