// Package formats lists what outlives a process or passes between two: each has a number, and a rule of what versions
// before and after make of it. A change that an older reader can't skip takes the next number; kept files of each
// number are read by tests from then on (testdata).
package formats

import (
	"fmt"
	"strings"
)

// Format is one of them.
type Format struct {
	Name   string
	Number int
	Where  string // it is found
	Mark   string // by which its number is told
	Older  string // what a version that knows a lower number alone makes of it
	Newer  string // what a version that knows a higher number makes of it
}

// All are all formats of this version.
var All = []Format{
	{"state", 1, "folder of `state in`: snapshots and journals", "first line of a snapshot, `yokeroute state 1`", "refuses the folder and does not start: what may have run would be unknown", "reads every lower number; the next snapshot has its own"},
	{"records", 1, "records in a state folder", "fields by name; words that are not known are skipped", "skips words that it does not know: a later version adds none that an older one must heed under this number", "reads them"},
	{"handover", 1, "file `handover` of a state folder", "`\"handover\"` in it", "leaves it alone, says so in the log, and learns drains from discovery", "reads every lower number"},
	{"trace", 1, "`record` of a gatherer, traces of the emulator", "first line, `\"trace\"`", "refuses it", "reads every lower number; without `unix` in its header a trace can be checked alone and not joined"},
	{"report", 1, "`GET /report`", "`\"report\"` in it", "refuses it: the gatherer is not reached, and so neither changed nor judged", "reads every lower number; skips words that it does not know"},
	{"rollout", 1, "folder of a rollout: journal, status, history", "`f` of each record, `\"rollout\"` of the status", "refuses the folder: the rollout is ended by the version that began it, or by hand", "reads every lower number"},
	{"results", 1, "folders of results of yokeroute-testbed", "`\"form\"` in results.json", "refuses them", "reads every lower number"},
	{"segments", 1, "maps of segments, in files and from an authority", "`epoch` of the map; the words of docs/protocol-owners.md", "refuses words that it does not know, and keeps the map that it has", "reads every map"},
	{"policy", 1, "between gatherers, operators and stewards: docs/protocol-policy.md", "`\"policy\"` in it", "refuses the document: a gatherer acts within its floor, a steward answers 400", "reads every lower number; skips words that it does not know, but refuses a change with a kind of entry that it does not know"},
	{"fence", 1, "file `policy` of a state folder", "`\"fence\"` in it", "leaves it alone, says so in the log, and trusts what the stewards tell", "reads every lower number"},
	{"policies", 1, "snapshots in a steward's folder", "`\"policies\"` in it", "does not start: stewards go forward one by one, and back only before a snapshot", "reads every lower number"},
	{"operator", 1, "operator's files, plans, placements, scenarios, rollout plans", "none: each word is known or not", "refuses a file with a word that it does not know, names its place, and serves as before; at a start it does not start", "reads every word of the versions before, or names the mend"},
}

// Numbers are all numbers by name.
func Numbers() map[string]int {
	all := map[string]int{}
	for _, f := range All {
		all[f.Name] = f.Number
	}
	return all
}

// Table is all of it, in Markdown.
func Table() string {
	var b strings.Builder
	b.WriteString("| format | number | where | told by | a version that knows only lower numbers | a version that knows higher ones |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, f := range All {
		fmt.Fprintf(&b, "| %s | %d | %s | %s | %s | %s |\n", f.Name, f.Number, f.Where, f.Mark, f.Older, f.Newer)
	}
	return b.String()
}
