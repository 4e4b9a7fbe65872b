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

const nobody = "nobody"

func segmentsCommand() *cobra.Command {
	root := &cobra.Command{Use: "segments", Short: "who owns which keys, and what a move would do"}
	root.AddCommand(segmentsShow(), segmentsCheck(), segmentsMove())
	return root
}

// readMapWithShards reads a map file. The number of shards is that of the flag, else that of the file, else 0.
func readMapWithShards(file string, flag int) (*ownership.Map, int, error) {
	m, shards, err := segments.ReadMap(file)
	if flag > 0 {
		shards = flag
	}
	return m, shards, err
}

// formatShards says which shards have keys in a range.
func formatShards(r ownership.Range, shards int) string {
	if shards == 0 {
		return "-"
	}
	first, last := -1, -1
	for shard := range shards {
		if !ownership.ShardRange(shard, shards).Overlaps(r) {
			continue
		}
		if first < 0 {
			first = shard
		}
		last = shard
	}
	if first == last {
		return strconv.Itoa(first)
	}
	return fmt.Sprintf("%d-%d", first, last)
}

func formatPercent(share float64) string { return strconv.FormatFloat(100*share, 'f', 3, 64) + "%" }

func formatHosts(hosts []string) string {
	if len(hosts) == 0 {
		return nobody
	}
	return strings.Join(hosts, ", ")
}

func writerOf(owners []string) string {
	if len(owners) == 0 {
		return nobody
	}
	return owners[0]
}

func shardsFlag(cmd *cobra.Command, shards *int) {
	cmd.Flags().IntVar(shards, "shards", 0,
		"into how many shards clients part the keys; the file's number unless told")
}

func segmentsShow() *cobra.Command {
	var shards int
	var form, host string
	cmd := &cobra.Command{
		Use:     "show FILE",
		Short:   "show what is owned by whom, and what by nobody",
		Args:    cobra.ExactArgs(1),
		Example: "  yokeroute segments show examples/segments/farm.conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			m, shards, err := readMapWithShards(args[0], shards)
			if err != nil {
				return err
			}
			if form == "json" {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(newMapDocument(m))
			}
			showMap(cmd.OutOrStdout(), m, shards, host)
			return nil
		},
	}
	shardsFlag(cmd, &shards)
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

// showMap prints a map as a table, of one host's segments where one is given.
func showMap(w io.Writer, m *ownership.Map, shards int, host string) {
	fmt.Fprintf(w, "epoch %d, %d segments\n\n", m.Epoch, len(m.Segments))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "segment\tkeys\tof all\tshards\tsince\twriter\tother owners")
	for _, s := range m.Segments {
		if host != "" && !slices.Contains(s.Owners, host) {
			continue
		}
		others := ""
		if len(s.Owners) > 1 {
			others = strings.Join(s.Owners[1:], " ")
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", s.Name, s.Text(), formatPercent(s.Fraction()),
			formatShards(s.Range, shards), s.OwnedSince, writerOf(s.Owners), others)
	}
	_ = table.Flush() // a failed write to standard output has nobody to go to
	unowned := m.UnownedRanges()
	if len(unowned) == 0 || host != "" {
		return
	}
	fmt.Fprintln(w, "\nunowned:")
	for _, keys := range unowned {
		fmt.Fprintf(w, "  %s, %s of all, shards %s: no lookup that needs these keys is answered whole\n",
			keys.Text(), formatPercent(keys.Fraction()), formatShards(keys, shards))
	}
}
