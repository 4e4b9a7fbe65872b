package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// farmDocument is what show prints of the worked example for programs.
const farmDocument = `{"Epoch":7,"Sum":12807838646025767513,"Segments":[{"Name":"resolve-a","Lo":0,"Hi":4611686018427387903,"Owners":["h-01","h-02"],"Since":7},` +
	`{"Name":"resolve-b","Lo":4611686018427387904,"Hi":9223372036854775807,"Owners":["h-02","h-03"],"Since":5},` +
	`{"Name":"search-a","Lo":9223372036854775808,"Hi":13835058055282163711,"Owners":["h-03","h-04"],"Since":7},` +
	`{"Name":"search-b","Lo":13835058055282163712,"Hi":16140901064495857663,"Owners":["h-04","h-01"],"Since":6}]}
`

// TestSegmentsCommandsShowCheckAndPlanMoves takes the worked example to a changed map and back. Negative answers and
// bad input differ in their errors.
func TestSegmentsCommandsShowCheckAndPlanMoves(t *testing.T) {
	example := filepath.Join("..", "..", "examples", "segments", "farm.conf")
	dir := t.TempDir()
	next := filepath.Join(dir, "next.conf")
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	whole := write("whole.conf", "epoch 7\nsegment a keys 0000000000000000-7fffffffffffffff on h1\nsegment b keys 8000000000000000-ffffffffffffffff on h2\n")
	sly := write("sly.conf", "epoch 8\nsegment a keys 0000000000000000-7fffffffffffffff on h3 since 7\nsegment b keys 8000000000000000-ffffffffffffffff on h2 since 7\n")
	for _, c := range []struct {
		args string
		fail string // no, or words of the error
		want []string
	}{
		{"segments show " + example, "", []string{"epoch 7, 4 segments", "resolve-b  4000000000000000-7fffffffffffffff  25.000%  4-7     5      h-02", "unowned:", "shards 14-15"}},
		{"segments show --host h-04 " + example, "", []string{"search-a", "search-b"}},
		{"segments show -o json " + example, "", []string{`"Name":"resolve-a"`, farmDocument}},
		{"segments check " + example, "no", []string{"1 ranges are unowned, the first is e000000000000000"}},
		{"segments check " + whole, "", []string{"reads well: epoch 7, 2 segments"}},
		{"segments plan-move " + example + " resolve-b --to h-03,h-01 --out " + next, "", []string{"makes epoch 8", "from h-02 to h-03", "1. seal: h-02, h-03 take no more once-only calls of shards 4-7", "in epoch 9"}},
		{"segments check " + example + " " + next, "", []string{"from h-02 to h-03", "25.000% of all keys have another writer"}},
		{"segments check " + next + " " + example, "no", []string{"does not come after epoch 8"}},
		{"segments check " + whole + " " + sly, "no", []string{"segment a is owned otherwise than before and still says since epoch 7"}},
		{"segments plan-move " + example + " resolve-b --split 6000000000000000 --into x,y", "", []string{"split resolve-b before 6000000000000000 into x and y"}},
		{"segments plan-move " + example + " resolve-a --merge resolve-b --into resolve", "", []string{"merge resolve-a and resolve-b into resolve", "from h-02 to h-01"}},
		{"segments plan-move " + example + " resolve-a --merge search-a", "are not adjacent", nil},
		{"segments plan-move " + example + " resolve-b --split 4000000000000000", "can't be split before", nil},
		{"segments plan-move " + example + " resolve-b --split 4", "sixteen hex digits", nil},
		{"segments plan-move " + example + " resolve-c --to h", `"resolve-c" is not a segment of the map; did you mean`, nil},
		{"segments plan-move " + example + " resolve-b", "say one of --to HOSTS", nil},
		{"segments plan-move " + example + " resolve-b --to h --merge search-a", "say one of --to HOSTS", nil},
		{"segments show " + write("bad.conf", "epoch 7\nsegment a keys 1-2 on h\n"), `bad.conf:2:16: "1-2"`, nil},
	} {
		out, err := execute(t, strings.Fields(c.args)...)
		switch {
		case c.fail == "" && err != nil, c.fail == "no" && !errors.Is(err, errNegative):
			t.Errorf("%s: %v\n%s", c.args, err, out)
		case c.fail != "" && c.fail != "no" && (err == nil || errors.Is(err, errNegative) || !strings.Contains(err.Error(), c.fail)):
			t.Errorf("%s: %v", c.args, err)
		}
		for _, want := range c.want {
			if !strings.Contains(out, want) {
				t.Errorf("%s: lacks %q:\n%s", c.args, want, out)
			}
		}
	}
}
