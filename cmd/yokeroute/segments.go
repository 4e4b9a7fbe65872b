package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"yokeroute/internal/control/segments"
	"yokeroute/logic/ownership"
)

// nobody is printed in place of the writer of keys without owners.
const nobody = "nobody"

func segmentsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "segments",
		Short: "who owns which keys, and what a move would do",
	}
	cmd.AddCommand(segmentsShowCommand(), segmentsCheckCommand(), segmentsPlanMoveCommand())
	return cmd
}

func addShardsFlag(cmd *cobra.Command, shards *int) {
	cmd.Flags().IntVar(shards, "shards", 0,
		"into how many shards clients part the keys; the file's number unless told")
}

// readMap reads a map file and the number of shards, which the flag overrides. It is 0 where neither gives one.
func readMap(file string, shardsFlag int) (m *ownership.Map, shards int, err error) {
	m, shards, err = segments.ReadMap(file)
	if shardsFlag > 0 {
		shards = shardsFlag
	}
	return m, shards, err
}

// segmentsShowOptions are the flags of segments show.
type segmentsShowOptions struct {
	shards int
	host   string // whose segments are shown; empty for all
	output string
}

func segmentsShowCommand() *cobra.Command {
	var options segmentsShowOptions
	cmd := &cobra.Command{
		Use:     "show FILE",
		Short:   "show what is owned by whom, and what by nobody",
		Args:    cobra.ExactArgs(1),
		Example: "  yokeroute segments show examples/segments/farm.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			return options.show(cmd.OutOrStdout(), args[0])
		},
	}
	addShardsFlag(cmd, &options.shards)
	cmd.Flags().StringVar(&options.host, "host", "", "only what this host owns")
	addOutputFlag(cmd, &options.output)
	return cmd
}

func (o *segmentsShowOptions) show(w io.Writer, file string) error {
	m, shards, err := readMap(file, o.shards)
	if err != nil {
		return err
	}
	if o.output == outputJSON {
		return json.NewEncoder(w).Encode(newMapDocument(m))
	}
	fmt.Fprintf(w, "epoch %d, %d segments\n\n", m.Epoch, len(m.Segments))
	if err := printSegments(w, m.Segments, shards, o.host); err != nil {
		return err
	}
	if o.host == "" {
		printUnowned(w, m.UnownedRanges(), shards)
	}
	return nil
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

// printSegments prints the segments of a host, or all where the host is empty.
func printSegments(w io.Writer, list []ownership.Segment, shards int, host string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "segment\tkeys\tof all\tshards\tsince\twriter\tother owners")
	for _, s := range list {
		if host != "" && !slices.Contains(s.Owners, host) {
			continue
		}
		others := ""
		if len(s.Owners) > 0 {
			others = strings.Join(s.Owners[1:], " ")
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", s.Name, s.Text(), formatFraction(s.Fraction()),
			formatShardRange(s.Range, shards), s.OwnedSince, writerOf(s.Owners), others)
	}
	return table.Flush()
}

func printUnowned(w io.Writer, gaps []ownership.Range, shards int) {
	if len(gaps) == 0 {
		return
	}
	fmt.Fprintln(w, "\nunowned:")
	for _, g := range gaps {
		fmt.Fprintf(w, "  %s, %s of all, shards %s: no lookup that needs these keys is answered whole\n",
			g.Text(), formatFraction(g.Fraction()), formatShardRange(g, shards))
	}
}

// formatShardRange writes which shards have keys in a range, a dash where the number of shards is not known.
func formatShardRange(r ownership.Range, shards int) string {
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

func formatFraction(fraction float64) string {
	return strconv.FormatFloat(100*fraction, 'f', 3, 64) + "%"
}

// writerOf returns the owner that takes writes, the first one.
func writerOf(owners []string) string {
	if len(owners) == 0 {
		return nobody
	}
	return owners[0]
}
