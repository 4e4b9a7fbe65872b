package placementfile

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokeroute/gather"
	"yokeroute/internal/config/directive"
	"yokeroute/logic/balance"
)

const validFile = `unit 0.5/s
at 2026-12-01T10:00:00Z
clocks 500ms
hall north most 400/s spare 10%
hall south
crossing north south 2.5
kind big capacity 120/s cost 1.5 cold 18% warms 17s
host n-1 hall north kind big
host n-2 hall north kind big capacity 90.5/s cost 0 holds 3
host s-1 hall south kind big started 2026-12-01T09:59:57Z
host s-2 hall south capacity 10/s state draining
segment "a" group 0 replicas 2 on n-1 s-1
segment b on n-2 s-1 s-2
demand * north 40/s
demand b north 20/s
demand b south 2.5/s
`

func alwaysHasTime() bool { return true }

// TestWrittenPlanReadsBackUnchanged checks that a plan that is written, read and written again gives the same text, and
// that solving it again changes nothing.
func TestWrittenPlanReadsBackUnchanged(t *testing.T) {
	f, err := Parse("good", validFile, 0)
	if err != nil {
		t.Fatal(err)
	}
	plan, infeasibility, err := balance.Solve(&f.Model, nil, alwaysHasTime)
	if err != nil || infeasibility != nil {
		t.Fatal(infeasibility, err)
	}
	if len(plan.Steps) < 3 || len(plan.Cases) < 5 {
		t.Errorf("%d steps and %d cases, want at least 3 and 5", len(plan.Steps), len(plan.Cases))
	}
	var written, rewritten strings.Builder
	if err := WritePlan(&written, plan); err != nil {
		t.Fatal(err)
	}
	readBack, err := Parse("plan", written.String(), 0)
	if err != nil {
		t.Fatal(err)
	}
	if violations := readBack.Plan.Violations(); len(violations) > 0 {
		t.Error(violations)
	}
	WritePlan(&rewritten, readBack.Plan)
	if written.String() != rewritten.String() {
		t.Errorf("written\n%s\nread and written again\n%s", written.String(), rewritten.String())
	}
	// A plan is also a placement file. Solving it again must not change the weights.
	solvedAgain, _, err := balance.Solve(&readBack.Model, readBack.Plan, alwaysHasTime)
	if err != nil || solvedAgain.Steps[0].Change != 0 {
		t.Errorf("change of %d units, error %v; want no change", solvedAgain.Steps[0].Change, err)
	}
	var model strings.Builder
	WriteModel(&model, readBack.Plan.Model)
	if m, err := Parse("model", model.String(), 0); err != nil || len(m.Model.Hosts) != 4 {
		t.Errorf("written model read back: %+v, error %v; want 4 hosts", m, err)
	}
}

// TestParseErrorsNameLineColumnAndWord checks that each error in a file gives one message with its line, column and
// word.
func TestParseErrorsNameLineColumnAndWord(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"host n-1 hall north kind big", "host n-1 hall nort kind big", `f:8:15: "nort": is not a hall in this file; did you mean north?`},
		{"host n-1 hall north kind big", "host n-1 hall north kind bog", `f:8:26: "bog": is not a kind in this file; did you mean big?`},
		{"host n-1 hall north kind big", "host n-1 hall north kind big\nhost n-1 hall north kind big", `f:9:6: "n-1": is given twice; every host has its own name`},
		{"hall south", "hall south\nhall south", `f:6:6: "south": is given twice`},
		{"kind big", "kind big capacity 1/s\nkind big", `f:8:6: "big": is given twice`},
		{"capacity 10/s", "capacity -10/s", `f:11:30: "-10/s": may not be negative`},
		{"capacity 10/s", "cost 3", `f:11:1: host s-2 has no capacity, neither here nor from a kind; write capacity 120/s`},
		{"capacity 10/s", "capacity NaN/s", `f:11:30: "NaN/s": is not a rate`},
		{"capacity 10/s", "capacity 9999999999999/s", `f:11:30: "9999999999999/s": is more than 1000000000 units of 0.5/s`},
		{"capacity 10/s", "capacity 10", `f:11:30: "10": has no unit`},
		{"capacity 10/s", "capacity 10MB", `"10MB": has the unit "MB", which is none of /s /min /h`},
		{"capacity 10/s", "capacity 10.3/s", `f:11:30: "10.3/s": is not a multiple of the unit, 0.5/s; write 10.5/s, or a smaller unit`},
		{"on n-2 s-1 s-2", "on n-2 s-9 s-2", `f:13:18: "s-9": is not a host in this file; did you mean s-1?`},
		{"on n-2 s-1 s-2", "on n-2 s-1 n-2", `f:13:22: "n-2": is listed twice; list each host once`},
		{"demand b north", "demand c north", `f:15:8: "c": is not a segment in this file`},
		{"demand b south 2.5/s", "demand b north 2.5/s", `f:16:10: "north": has two demands for segment b; write one with their sum`},
		{"crossing north south 2.5", "crossing north north 2.5", `a crossing leads to another hall; none is needed within one`},
		{"crossing north south 2.5", "crossing north south 2.0005", `f:6:22: "2.0005": has more than three decimal places; round it to thousandths`},
		{"segment b on n-2 s-1 s-2", "segment b on n-2 s-1 s-2\nsegment a on n-2", `f:14:9: "a": is given twice`},
		{"replicas 2", "replicas 9", `f:12:30: "9": is not from 0 to the number of hosts, 4`},
		{"cold 18%", "cold 180%", `"180%": is no share of a whole`},
		{"demand b south 2.5/s", "step\nweights b north n-2=20/s n-1=0/s", `"n-1": does not hold the segment b`},
		{"demand b south 2.5/s", "weights b south n-2=2.5/s", `comes before any step; write a step line first`},
		{"demand b south 2.5/s", "step\nweights b south n-2=2.5/s", `"south": has no demand for segment b in this file`},
		{"demand b south 2.5/s", "step\nweights c south n-2=2.5/s", `"c": is not a segment in this file`},
		{"demand b south 2.5/s", "step\nstep", `is not later than the previous step; sort the steps by time`},
		{"demand b south 2.5/s", "case x lost n-1", `comes before the first step of the plan; write the plan's own steps first`},
		{"demand b south 2.5/s", "step\ncase x lost n-7", `"n-7": is not a host in this file`},
		{"unit 0.5/s", "unit 0.5/s\nfrom-list", "from-list takes hosts and segments from discovery's list; remove these lines or from-list"},
	} {
		text := strings.Replace(validFile, c.old, c.new, 1)
		if text == validFile {
			t.Fatalf("the valid file does not contain %q", c.old)
		}
		var errorList directive.ErrorList
		if _, err := Parse("f", text, 0); !errors.As(err, &errorList) || len(errorList) != 1 || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v\nwant one message with %s", c.new, err, c.want)
		}
	}
}

// TestWithEndpointsTakesHostsFromTheList checks that hosts have the options of their kinds, that replica sets are
// segments, and that a server of an unknown kind is an error.
func TestWithEndpointsTakesHostsFromTheList(t *testing.T) {
	f, err := Parse("f", "from-list\nhall north most 50/s\nkind m2 capacity 100/s\ndemand * north 10/s\ndemand group-1 north 5/s\n", 0)
	if err != nil {
		t.Fatal(err)
	}
	list := []NamedEndpoint{{"a", gather.Endpoint{ReplicaSet: 0, Zone: "north", Kind: "m2", Size: 0.5}}, {"b", gather.Endpoint{ReplicaSet: 1, Zone: "east", Kind: "m2", StartedAt: 900}},
		{"c", gather.Endpoint{ReplicaSet: 7, Zone: "east", Kind: "m2", State: gather.Draining}}}
	settings := &gather.Settings{
		ReplicaSets: 2, ReplicaSetsPerShard: 2, InitialCapacityShare: 0.25, WarmupTime: 1000.0,
	}
	m, err := f.WithEndpoints(list, settings, 1000)
	if err != nil {
		t.Fatal(err)
	}
	if m.Hosts[0].Capacity != 50 || m.Hosts[1].WarmupTime != 1000 || m.SafeCapacity(&m.Hosts[1], 1000) != 32 || m.SafeCapacity(&m.Hosts[2], 1000) != 0 || len(m.Zones) != 2 ||
		strings.Join(m.Segments[0].Hosts, "") != "ab" || m.Segments[1].ReplicaSet != 1 || m.Demands[1].Rate != 10 || m.Demands[0].Rate != 5 {
		t.Errorf("model %+v, want hosts, zones, segments and demand of the list and the file", m)
	}
	list[1].Kind = "m3"
	if _, err := f.WithEndpoints(list, settings, 1000); err == nil || !strings.Contains(err.Error(), `host b is of kind "m3", which the placement file does not describe; did you mean m2?`) {
		t.Errorf("error %v, want one that names host b, its kind m3 and the similar kind m2", err)
	}
}

// TestReferencePageIsCurrent checks that the reference page in docs is the one generated from the directives.
func TestReferencePageIsCurrent(t *testing.T) {
	page := filepath.Join("..", "..", "..", "docs", "operate", "reference-placement.md")
	if text, err := os.ReadFile(page); err != nil || string(text) != Reference() {
		t.Errorf("%s differs from the output of yokeroute reference placement, or cannot be read: %v", page, err)
	}
}
