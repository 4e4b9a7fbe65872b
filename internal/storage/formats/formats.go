// Package formats lists the formats of data that is stored or sent between processes. Each format has a number, and
// rules for what older and newer versions of the program do with it. A change that an older reader cannot skip
// requires the next number. The folder testdata contains files of each number, which the tests read.
package formats

import (
	"fmt"
	"strings"
)

// Format describes a stored or transmitted format.
type Format struct {
	Name          string // name of the format, as in the answer to GET /report
	Number        int
	Location      string // where the data is stored or sent
	NumberedBy    string // the part of the data that contains the number
	OlderVersions string // what versions that know only lower numbers do with the data
	NewerVersions string // what versions that know higher numbers do with the data
}

const readsLowerNumbers = "reads every lower number"

// All lists the formats that this version writes.
var All = []Format{
	{
		Name:          "state",
		Number:        1,
		Location:      "directory of `state in`: snapshots and journals",
		NumberedBy:    "first line of a snapshot, `yokeroute state 1`",
		OlderVersions: "refuses the directory and does not start: what may have run would be unknown",
		NewerVersions: "reads every lower number; the next snapshot has its own",
	},
	{
		Name:       "records",
		Number:     1,
		Location:   "records in a state directory",
		NumberedBy: "fields by name; unknown fields are skipped",
		OlderVersions: "skips unknown fields: under this number a later version adds none that an older " +
			"one must heed",
		NewerVersions: "reads them",
	},
	{
		Name:          "handover",
		Number:        1,
		Location:      "file `handover` of a state directory",
		NumberedBy:    "`\"handover\"` in it",
		OlderVersions: "ignores it, logs that, and learns drains from discovery",
		NewerVersions: readsLowerNumbers,
	},
	{
		Name:          "trace",
		Number:        1,
		Location:      "`record` of a gatherer, traces of the emulator",
		NumberedBy:    "first line, `\"trace\"`",
		OlderVersions: "refuses it",
		NewerVersions: "reads every lower number; without `unix` in its header a trace can be checked " +
			"alone and not joined",
	},
	{
		Name:          "report",
		Number:        1,
		Location:      "`GET /report`",
		NumberedBy:    "`\"report\"` in it",
		OlderVersions: "refuses it: the gatherer counts as unreachable, and is neither changed nor judged",
		NewerVersions: "reads every lower number; skips unknown fields",
	},
	{
		Name:          "rollout",
		Number:        1,
		Location:      "folder of a rollout: journal, status, history",
		NumberedBy:    "`f` of each record, `\"rollout\"` of the status",
		OlderVersions: "refuses the folder: the rollout is ended by the version that started it, or by hand",
		NewerVersions: readsLowerNumbers,
	},
	{
		Name:          "results",
		Number:        1,
		Location:      "folders of results of yokeroute-testbed",
		NumberedBy:    "`\"form\"` in results.json",
		OlderVersions: "refuses them",
		NewerVersions: readsLowerNumbers,
	},
	{
		Name:          "segments",
		Number:        1,
		Location:      "segment maps, in files and from an authority",
		NumberedBy:    "`epoch` of the map; the fields of docs/protocol-owners.md",
		OlderVersions: "refuses unknown directives, and keeps the map that it has",
		NewerVersions: "reads every map",
	},
	{
		Name:          "policy",
		Number:        1,
		Location:      "between gatherers, operators and policy servers: docs/protocol-policy.md",
		NumberedBy:    "`\"policy\"` in it",
		OlderVersions: "refuses the document: a gatherer acts by its fallback policy, a policy server answers 400",
		NewerVersions: "reads every lower number; skips unknown fields, but refuses a change with an " +
			"unknown kind of entry",
	},
	{
		Name:          "fence",
		Number:        1,
		Location:      "file `policy` of a state directory",
		NumberedBy:    "`\"fence\"` in it",
		OlderVersions: "ignores it, logs that, and trusts what the policy servers send",
		NewerVersions: readsLowerNumbers,
	},
	{
		Name:       "policies",
		Number:     1,
		Location:   "snapshots in a policy server's folder",
		NumberedBy: "`\"policies\"` in it",
		OlderVersions: "does not start: policy servers are upgraded one by one, and downgraded only " +
			"before a snapshot",
		NewerVersions: readsLowerNumbers,
	},
	{
		Name:       "operator",
		Number:     1,
		Location:   "operator's files, plans, placements, scenarios, rollout plans",
		NumberedBy: "none: each directive is known or not",
		OlderVersions: "refuses a file with an unknown directive, names its place, and serves as before; " +
			"at a start it does not start",
		NewerVersions: "reads every directive of the versions before, or names the replacement",
	},
}

// Numbers returns the numbers of all formats by the formats' names.
func Numbers() map[string]int {
	numbers := map[string]int{}
	for i := range All {
		numbers[All[i].Name] = All[i].Number
	}
	return numbers
}

// Table returns all formats as a Markdown table, for docs/operate/versions.md.
func Table() string {
	var b strings.Builder
	b.WriteString("| format | number | where | numbered by | a version that knows only lower numbers " +
		"| a version that knows higher ones |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for i := range All {
		f := &All[i]
		fmt.Fprintf(&b, "| %s | %d | %s | %s | %s | %s |\n",
			f.Name, f.Number, f.Location, f.NumberedBy, f.OlderVersions, f.NewerVersions)
	}
	return b.String()
}
