package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"yokeroute/internal/control/segments"
	"yokeroute/logic/ownership"
)

func segmentsCommand() *cobra.Command {
	root := &cobra.Command{Use: "segments", Short: "who owns which keys, and what a move would do"}
	root.AddCommand(segmentsShow(), segmentsCheck(), segmentsMove())
	return root
}

// withShards reads a map file; shards are those of the flag, of the file, or none.
func withShards(file string, flag int) (*ownership.Map, int, error) {
	m, shards, err := segments.ReadMap(file)
	if flag > 0 {
		shards = flag
	}
	return m, shards, err
}

// shardsOf says which shards have keys in a range.
func shardsOf(r ownership.Range, shards int) string {
	if shards == 0 {
		return "-"
	}
	first, last := -1, -1
	for s := range shards {
		if ownership.ShardRange(s, shards).Overlaps(r) {
			if first < 0 {
				first = s
			}
			last = s
		}
	}
	if first == last {
		return strconv.Itoa(first)
	}
	return fmt.Sprintf("%d-%d", first, last)
}

func percent(share float64) string { return strconv.FormatFloat(100*share, 'f', 3, 64) + "%" }

func segmentsShow() *cobra.Command {
	var shards int
	var form, host string
	cmd := &cobra.Command{Use: "show FILE", Short: "show what is owned by whom, and what by nobody", Args: cobra.ExactArgs(1), Example: "  yokeroute segments show examples/segments/farm.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			m, shards, err := withShards(args[0], shards)
			if err != nil {
				return err
			}
			if form == "json" {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(newMapDocument(m))
			}
			showMap(cmd.OutOrStdout(), m, shards, host)
			return nil
		}}
	cmd.Flags().IntVar(&shards, "shards", 0, "into how many shards clients part the keys; the file's number unless told")
	cmd.Flags().StringVar(&host, "host", "", "only what this host owns")
	cmd.Flags().StringVarP(&form, "output", "o", "text", "form of the answer: text or json")
	return cmd
}

// mapDocument is a segment map as show prints it for programs.
type mapDocument struct {
	Epoch    uint64            `json:"Epoch"`
	Checksum uint64            `json:"Sum"`
	Segments []segmentDocument `json:"Segments"`
}

type segmentDocument struct {
	Name       string   `json:"Name"`
	First      uint64   `json:"Lo"`
	Last       uint64   `json:"Hi"`
	Owners     []string `json:"Owners"`
	OwnedSince uint64   `json:"Since"`
}

func newMapDocument(m *ownership.Map) mapDocument {
	document := mapDocument{Epoch: m.Epoch, Checksum: m.Checksum}
	if m.Segments != nil { // null and an empty list are different texts
		document.Segments = make([]segmentDocument, 0, len(m.Segments))
	}
	for _, s := range m.Segments {
		document.Segments = append(document.Segments, segmentDocument{s.Name, s.Lo, s.Hi, s.Owners, s.OwnedSince})
	}
	return document
}

func showMap(w io.Writer, m *ownership.Map, shards int, host string) {
	fmt.Fprintf(w, "epoch %d, %d segments\n\n", m.Epoch, len(m.Segments))
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "segment\tkeys\tof all\tshards\tsince\twriter\tother owners")
	for _, s := range m.Segments {
		if host != "" && !slices.Contains(s.Owners, host) {
			continue
		}
		writer, others := "nobody", ""
		if len(s.Owners) > 0 {
			writer, others = s.Owners[0], strings.Join(s.Owners[1:], " ")
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", s.Name, s.Range.Text(), percent(s.Fraction()), shardsOf(s.Range, shards), s.OwnedSince, writer, others)
	}
	tab.Flush()
	if gaps := m.UnownedRanges(); len(gaps) > 0 && host == "" {
		fmt.Fprintln(w, "\nunowned:")
		for _, g := range gaps {
			fmt.Fprintf(w, "  %s, %s of all, shards %s: no lookup that needs these keys is answered whole\n", g.Text(), percent(g.Fraction()), shardsOf(g, shards))
		}
	}
}

func segmentsCheck() *cobra.Command {
	return &cobra.Command{Use: "check FILE [LATER]", Short: "check a map, or whether a later one may follow it", Args: cobra.RangeArgs(1, 2),
		Example: "  yokeroute segments check examples/segments/farm.conf\n  yokeroute segments check farm.conf farm-next.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			m, _, err := segments.ReadMap(args[0])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if len(args) == 1 {
				fmt.Fprintf(out, "%s: reads well: epoch %d, %d segments\n", args[0], m.Epoch, len(m.Segments))
				if gaps := m.UnownedRanges(); len(gaps) > 0 {
					fmt.Fprintf(out, "%d ranges are unowned, the first is %s\n", len(gaps), gaps[0].Text())
					return errNegative
				}
				return nil
			}
			next, _, err := segments.ReadMap(args[1])
			if err != nil {
				return err
			}
			if next.Epoch <= m.Epoch {
				fmt.Fprintf(out, "epoch %d of %s does not come after epoch %d: gatherers would not believe it\n", next.Epoch, args[1], m.Epoch)
				return errNegative
			}
			wrong := follows(m, next)
			for _, text := range wrong {
				fmt.Fprintln(out, text)
			}
			if len(wrong) > 0 {
				return errNegative
			}
			for _, line := range difference(m, next) {
				fmt.Fprintln(out, line)
			}
			return nil
		}}
}

// follows gives why one map can't follow another: a segment that is owned otherwise than before bears an epoch of
// before, under which its old owner would go on.
func follows(m, next *ownership.Map) (wrong []string) {
	for _, s := range next.Segments {
		i := m.Find(s.Name)
		if i < 0 {
			if s.OwnedSince <= m.Epoch {
				wrong = append(wrong, fmt.Sprintf("segment %s is new and says that it is owned since epoch %d; write since %d, or nothing", s.Name, s.OwnedSince, next.Epoch))
			}
			continue
		}
		was := m.Segments[i]
		same := was.Range == s.Range && slices.Equal(was.Owners, s.Owners)
		switch {
		case !same && s.OwnedSince <= m.Epoch:
			wrong = append(wrong, fmt.Sprintf("segment %s is owned otherwise than before and still says since epoch %d: the fence of its log would let its old owner write; write since %d, or nothing", s.Name, s.OwnedSince, next.Epoch))
		case same && s.OwnedSince < was.OwnedSince:
			wrong = append(wrong, fmt.Sprintf("segment %s is owned since epoch %d and says since %d", s.Name, was.OwnedSince, s.OwnedSince))
		}
	}
	return wrong
}

// difference says what a later map changes.
func difference(m, next *ownership.Map) (lines []string) {
	moved := 0.0
	for _, s := range next.Segments {
		for _, p := range m.Overlaps(s.Range) {
			var was []string
			if p.Segment >= 0 {
				was = m.Segments[p.Segment].Owners
			}
			if writerOf(was) != writerOf(s.Owners) {
				moved += p.Fraction()
				lines = append(lines, fmt.Sprintf("%s, %s of all keys: from %s to %s", p.Range.Text(), percent(p.Fraction()), writerOf(was), writerOf(s.Owners)))
			}
		}
	}
	return append(lines, fmt.Sprintf("%d segments, then %d; %s of all keys have another writer", len(m.Segments), len(next.Segments), percent(moved)))
}

func writerOf(owners []string) string {
	if len(owners) == 0 {
		return "nobody"
	}
	return owners[0]
}

func segmentsMove() *cobra.Command {
	var to []string
	var split, into, merge, out string
	var shards int
	cmd := &cobra.Command{Use: "plan-move FILE SEGMENT", Short: "say what moving, splitting or merging a segment would do, and write the map after it", Args: cobra.ExactArgs(2),
		Example: "  yokeroute segments plan-move examples/segments/farm.conf resolve-b --to h-03,h-01\n  yokeroute segments plan-move examples/segments/farm.conf resolve-b --split 6000000000000000 --into resolve-b1,resolve-b2\n  yokeroute segments plan-move examples/segments/farm.conf resolve-a --merge resolve-b --into resolve",
		RunE: func(cmd *cobra.Command, args []string) error {
			m, shards, err := withShards(args[0], shards)
			if err != nil {
				return err
			}
			names := strings.Split(into, ",")
			var c ownership.Change
			ways := 0
			for _, given := range []bool{len(to) > 0, split != "", merge != ""} {
				if given {
					ways++
				}
			}
			switch {
			case ways != 1:
				return errors.New("say one of --to HOSTS, --split KEY or --merge SEGMENT")
			case len(to) > 0:
				c, err = m.MoveSegment(args[1], to)
			case split != "":
				at, wrong := strconv.ParseUint(split, 16, 64)
				if wrong != nil || len(split) != 16 {
					return fmt.Errorf("--split %q: is no key of sixteen hex digits", split)
				}
				if len(names) != 2 || names[0] == "" {
					names = []string{args[1] + "-1", args[1] + "-2"}
				}
				c, err = m.SplitSegment(args[1], at, names[0], names[1])
			default:
				if names[0] == "" {
					names[0] = args[1] + "+" + merge
				}
				c, err = m.MergeSegments(args[1], merge, names[0])
			}
			if err != nil {
				return err
			}
			next, err := m.Apply(c)
			if err != nil {
				return err
			}
			w := cmd.OutOrStdout()
			fmt.Fprintf(w, "%s: makes epoch %d\n\n", c.Reason, c.Epoch)
			for _, line := range difference(m, next) {
				fmt.Fprintln(w, line)
			}
			h := ownership.NewHandover(m, c)
			fmt.Fprintf(w, "\nsteps:\n")
			for i, line := range steps(&h, shards) {
				fmt.Fprintf(w, "  %d. %s\n", i+1, line)
			}
			fmt.Fprintf(w, "\nto back out before step 4: nobody owns these keys in epoch %d, and who had them has them again in epoch %d\n", c.Epoch, c.Epoch+1)
			if out != "" {
				if err := os.WriteFile(out, []byte(segments.FormatMap(next, shards)), 0o644); err != nil {
					return err
				}
				fmt.Fprintf(w, "the map of epoch %d is in %s\n", c.Epoch, out)
			}
			return nil
		}}
	cmd.Flags().StringSliceVar(&to, "to", nil, "hosts that own it from then on; the first is its writer")
	cmd.Flags().StringVar(&split, "split", "", "part it before this key")
	cmd.Flags().StringVar(&merge, "merge", "", "make one of it and this one, which follows it")
	cmd.Flags().StringVar(&into, "into", "", "names of what comes, parted by a comma")
	cmd.Flags().StringVar(&out, "out", "", "file for the map after it")
	cmd.Flags().IntVar(&shards, "shards", 0, "into how many shards clients part the keys; the file's number unless told")
	return cmd
}

// steps says what a hand-over does, step by step, and what lookups see of it.
func steps(h *ownership.Handover, shards int) []string {
	var olds, news []string
	touched := ""
	for _, s := range h.Previous {
		olds = append(olds, s.Owners...)
		touched = shardsOf(s.Range, shards)
	}
	for _, s := range h.Added {
		for _, o := range s.Owners {
			if !slices.Contains(news, o) {
				news = append(news, o)
			}
		}
	}
	if touched != "" && touched != "-" {
		touched = " of shards " + touched
	} else {
		touched = " of these keys"
	}
	return []string{
		fmt.Sprintf("seal: %s take no more once-only calls%s; a host that can't be reached is passed by", join(olds), touched),
		fmt.Sprintf("fence: the logs take nothing any more from before epoch %d", h.Epoch),
		fmt.Sprintf("accept: %s own what comes since epoch %d; they have to be reached", join(news), h.Epoch),
		fmt.Sprintf("publish: gatherers hear of epoch %d; until one does, what it asks%s of the old owners is refused and asked again, as a further call", h.Epoch, touched),
		fmt.Sprintf("release: %s forget what they owned, as far as they can be reached", join(olds)),
	}
}

func join(hosts []string) string {
	if len(hosts) == 0 {
		return "nobody"
	}
	return strings.Join(hosts, ", ")
}
