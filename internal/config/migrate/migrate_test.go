package migrate

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokeroute/internal/config/platform"
)

const old = `{"name":"n1","listen":"127.0.0.1:8000","discovery":"127.0.0.1:8500","seed":"1f",
 "known":{"revision":3,"complete":true,"members":[]},
 "settings":{"tick":5000,"balancers":2,"myNumber":1,"zone":"a","discovery":"pushed",
 "classes":[{"name":"any","effect":"pure","goalTime":300000,"hardLimit":1000000},{"name":"once","effect":"side_effect","goalTime":300000,"hardLimit":1000000}],
 "domain":{"cells":2,"inARow":1,"shards":12,"completeFrom":[0.75,1],"classFloor":[0.75,1],"partialEarns":[0.9,0.9]},
 "limits":{"cancel":true,"connectTimeout":250000,"attemptsCap":3,"secondCopies":true,"streamsPerConn":64},
 "rules":{"budgetShare":0.05,"extraFloor":6,"resendSpan":1000000,"drainGrace":250000}}}`

const fleet = "../../../examples/fleets/probed.json"

func file(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "f.json")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// TestMove: what stays, what comes from the fleet, what is lost, and that a second time changes nothing.
func TestMove(t *testing.T) {
	r, err := Move(file(t, old), fleet)
	if err != nil {
		t.Fatal(err)
	}
	c, err := platform.Parse(r.Text, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n1" || c.Seed != 0x1f || c.KnownEndpoints != nil || c.Settings.GathererIndex != 1 || c.Settings.StreamsPerConnection != 64 ||
		c.Settings.ReplicaSetsPerShard != 3 || c.Settings.HedgingAllowed || c.Settings.LoadReports != "pull" ||
		c.Settings.RetryBudgetWindow != 0 || !c.Settings.EndpointsOnRequest || c.Settings.Class("every").LatencyObjective != 1000 {
		t.Errorf("%+v", c)
	}
	want := []string{"known: ", "settings.classes: index \"once\"", "settings.domain.partialEarns: ", "settings.rules.budgetShare: ",
		"settings.rules.extraFloor: ", "settings.rules.resendSpan: "}
	if len(r.Lost) != len(want) {
		t.Fatalf("%q", r.Lost)
	}
	for i, lost := range r.Lost {
		if !strings.HasPrefix(lost, want[i]) {
			t.Errorf("%q, want %q", lost, want[i])
		}
	}
	again, err := Move(file(t, string(r.Text)), fleet)
	if err != nil || string(again.Text) != string(r.Text) || len(again.Lost) > 0 {
		t.Errorf("%v, %q", err, again)
	}
}

// TestFaults: what is wrong is named by file and by key or line.
func TestFaults(t *testing.T) {
	with := func(from, to string) string { return strings.Replace(old, from, to, 1) }
	for _, c := range []struct{ name, config, fleet, want string }{
		{"malformed", with(`"tick":5000`, `"tick":5000,,`), "", "f.json: line 3: "},
		{"cut off", old[:40], "", "f.json: line 1: "},
		{"two objects", old + "{}", "", "more than one object"},
		{"no object", "null", "", "no object"},
		{"unknown at the top", with(`"seed"`, `"sead":"1","seed"`), "", "f.json: sead: unknown key"},
		{"unknown setting", with(`"cancel"`, `"cancle"`), "", "f.json: settings.limits.cancle: unknown key"},
		{"unknown in an index", with(`"goalTime"`, `"goalTimes"`), "", "settings.classes.goalTimes: unknown key"},
		{"no settings", `{"name":"n"}`, "", "settings: missing"},
		{"a share", with(`0.75,1]`, `1.75,1]`), "", "settings.domain.completeFrom: 1.75 is no share"},
		{"a number", with(`"attemptsCap":3`, `"attemptsCap":-3`), "", "settings.limits.attemptsCap: -3 is no number"},
		{"a mark", with(`"cancel":true`, `"cancel":1`), "", "settings.limits.cancel: 1 is no true or false"},
		{"a word", with(`"pushed"`, `"shoved"`), "", "settings.discovery: shoved is none of pushed, on_request"},
		{"a list", with(`"cells":2`, `"cells":[2]`), "", "settings.domain.cells: is a list"},
		{"no list", with(`"classes":[{"name":"any","effect":"pure","goalTime":300000,"hardLimit":1000000},{"name":"once","effect":"side_effect","goalTime":300000,"hardLimit":1000000}]`, `"classes":{}`), "", "settings.classes: is no list"},
		{"null in the old", with(`"cells":2`, `"cells":null`), "", "settings.domain.cells: <nil> is no number"},
		{"listen", with("127.0.0.1:8000", "8000"), "", "listen: "},
		{"fleet with a gatherer's key", old, `{"zone":"b"}`, "f.json: zone: belongs to one gatherer"},
		{"fleet with an unknown key", old, `{"limits":{"probe":true}}`, "f.json: limits.probe: unknown key"},
		{"zone", old, `{"dcs":["b"]}`, "settings.zone: a is none"},
		{"number of the gatherer", old, `{"balancers":1}`, "settings.myNumber: 1"},
		{"no layout left", old, `{"domain":{"cells":null}}`, "no layout"},
	} {
		t.Run(c.name, func(t *testing.T) {
			at := fleet
			if c.fleet != "" {
				at = file(t, c.fleet)
			}
			if _, err := Move(file(t, c.config), at); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
	if _, err := Move("there/is/none.json", fleet); err == nil || !strings.Contains(err.Error(), "none.json") {
		t.Error(err)
	}
}
