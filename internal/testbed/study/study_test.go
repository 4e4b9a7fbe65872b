package study

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokeroute/internal/testbed/emulator"
)

const day = `scenario small
time length 12s warm-up 2s
kind one cores 2
layout sets 2 shards 12
servers 6 kind one
gatherers 2
index find parts 4 work 20ms
clients rate 30/s
trouble slow at 4s for 4s servers 0.3 times 8
`

func jobs(t *testing.T, variants ...string) (list []Job) {
	for _, name := range variants {
		v, err := emulator.VariantOf(name)
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(4) {
			list = append(list, Job{Scenario: "small", Text: day, Variant: v, Seed: seed})
		}
	}
	return list
}

func results(t *testing.T, terms Terms) *Results {
	rows, err := Play(t.Context(), jobs(t, "ours", "random"), terms)
	if err != nil {
		t.Fatal(err)
	}
	r := &Results{Kind: "compare", Title: "Small", Build: Build(), Figure: "in-aim", Scenarios: map[string]string{"small": day}, Rows: rows}
	if err := r.Compare(); err != nil {
		t.Fatal(err)
	}
	return r
}

func bytesOf(t *testing.T, r *Results) []byte {
	b, err := r.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestResumes: results come out the same on any number of workers, and after having been broken off twice.
func TestResumes(t *testing.T) {
	want := bytesOf(t, results(t, Terms{Workers: 1}))
	if got := bytesOf(t, results(t, Terms{Workers: 8})); !bytes.Equal(got, want) {
		t.Error("other bytes on eight workers")
	}
	folder := t.TempDir()
	for _, after := range []int{2, 3} {
		ctx, stop := context.WithCancel(t.Context())
		_, err := Play(ctx, jobs(t, "ours", "random"), Terms{Workers: 2, Folder: folder, Done: func(done, _ int) {
			if done >= after {
				stop()
			}
		}})
		if !errors.Is(err, context.Canceled) {
			t.Fatalf("broken off: %v", err)
		}
	}
	parts, _ := filepath.Glob(filepath.Join(folder, partsFolder, "*.json"))
	if len(parts) < 3 || len(parts) > 7 {
		t.Fatalf("%d parts are kept", len(parts))
	}
	// One part is cut short, as by a full disk: it is played again.
	if err := os.WriteFile(parts[0], []byte(`{"scenario":"sm`), 0o600); err != nil {
		t.Fatal(err)
	}
	r := results(t, Terms{Folder: folder})
	if got := bytesOf(t, r); !bytes.Equal(got, want) {
		t.Error("other bytes after having been broken off")
	}
	if err := r.Save(folder); err != nil {
		t.Fatal(err)
	}
	again, err := Load(folder)
	if err != nil || !bytes.Equal(bytesOf(t, again), want) {
		t.Errorf("read back otherwise: %v", err)
	}
	if left, _ := filepath.Glob(filepath.Join(folder, partsFolder, "*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
	if differ, err := again.Again(t.Context(), Terms{}); err != nil || len(differ) > 0 {
		t.Errorf("played again: %v, %v", differ, err)
	}
	again.Rows[1].Result.Lookups++
	if differ, _ := again.Again(t.Context(), Terms{}); len(differ) != 1 {
		t.Errorf("a changed row: %v", differ)
	}
}

// TestDiffer holds the paired interval against one worked out by hand, and wants the same days on both sides.
func TestDiffer(t *testing.T) {
	rows := func(variant string, gains ...float64) (list []Row) {
		for seed, g := range gains {
			list = append(list, Row{Scenario: "s", Variant: variant, Seed: uint64(seed), Result: &emulator.Result{Gain: g}})
		}
		return list
	}
	p, err := differ("gain", rows("a", 0.5, 0.6, 0.7, 0.8), rows("b", 0.6, 0.8, 0.8, 1.0))
	// Differences 0.1 0.2 0.1 0.2: mean 0.15, standard error 0.028868, t of 3 degrees at 97.5% is 3.18245.
	if err != nil || math.Abs(p.Mean-0.15) > 1e-9 || math.Abs(p.Low-(0.15-3.18245*0.0288675)) > 1e-5 || !p.Clear() {
		t.Errorf("%+v, %v", p, err)
	}
	if p, _ := differ("gain", rows("a", 0.5, 0.6), rows("b", 0.6, 0.5)); p.Clear() {
		t.Errorf("%+v is told apart", p)
	}
	if p, _ := differ("gain", rows("a", 0.5), rows("b", 0.9)); p.Clear() {
		t.Errorf("%+v: one day tells nothing apart", p)
	}
	if _, err := differ("gain", rows("a", 0.5, 0.6), rows("b", 0.6)); err == nil || !strings.Contains(err.Error(), "the same seeds") {
		t.Errorf("other seeds: %v", err)
	}
}

// TestJoin takes the recorded run of another build as a variant, if it played the same days.
func TestJoin(t *testing.T) {
	r, old := results(t, Terms{}), results(t, Terms{})
	if err := r.Join(old, "ours", "old"); err != nil {
		t.Fatal(err)
	}
	if err := r.Compare(); err != nil {
		t.Fatal(err)
	}
	last := r.Pairs[len(r.Pairs)-1]
	if last.Variant != "old" || last.Mean != 0 || last.Days != 4 {
		t.Errorf("%+v", last)
	}
	old.Scenarios["small"] += "# another\n"
	if err := r.Join(old, "ours", "older"); err == nil || !strings.Contains(err.Error(), "another text") {
		t.Errorf("another text: %v", err)
	}
	if err := r.Join(old, "turns", "older"); err == nil {
		t.Error("no row, no error")
	}
}

// TestReport: the page stands alone, shows what was measured and says which rules were broken.
func TestReport(t *testing.T) {
	r := results(t, Terms{})
	page, err := r.Report()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "two", "No rule was broken", "trouble slow at 4s", "random", "viewport"} {
		if want != "two" && !strings.Contains(string(page), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for _, other := range []string{"http://", "https://", "src="} {
		rest := strings.ReplaceAll(strings.ReplaceAll(string(page), "http://www.w3.org/2000/svg", ""), "http://www.w3.org/1999/xlink", "")
		if strings.Contains(rest, other) {
			t.Errorf("the page needs %q from elsewhere", other)
		}
	}
	if n := strings.Count(string(page), "<svg"); n != 4 {
		t.Errorf("%d charts", n)
	}
	r.Scenarios["small"] = "<script>alert(1)</script>"
	r.Rows[0].Result.Rules.Counts[6] = 1
	r.Rows[0].Result.Rules.Violations = append(r.Rows[0].Result.Rules.Violations, breakOf6)
	if page, err = r.Report(); err != nil || strings.Contains(string(page), "<script>") || !strings.Contains(string(page), "seven part calls too many") {
		t.Errorf("%v", err)
	}
	empty := &Results{Title: "nothing"}
	if _, err := empty.Report(); err != nil {
		t.Error(err)
	}
	if err := empty.Save(t.TempDir()); err != nil {
		t.Error(err)
	}
	if _, err := Load(t.TempDir()); err == nil || !strings.Contains(err.Error(), "results.json") {
		t.Errorf("%v", err)
	}
}

// TestSet changes the option of a directive, on its line or on a new one.
func TestSet(t *testing.T) {
	for _, c := range []struct{ directive, option, value, want string }{
		{"clients", "rate", "40/s", "clients rate 40/s"},
		{"index find", "work", "30ms", "index find parts 4 work 30ms"},
		{"index find", "soft", "300ms", "index find parts 4 work 20ms soft 300ms"},
		{"discovery", "lag", "1s", "\ndiscovery lag 1s\n"},
		{"trouble slow", "times", "3", "trouble slow at 4s for 4s servers 0.3 times 3"},
	} {
		got := Set(day, c.directive, c.option, c.value)
		if !strings.Contains(got, c.want) {
			t.Errorf("%v: %s", c, got)
		}
		if _, err := emulator.Parse("x", got); err != nil {
			t.Error(err)
		}
	}
}

// TestHunt finds a day on which a policy without a memory does badly, makes it smaller, and keeps a file that shows
// the same; a search for broken rules finds one in decisions that break one.
func TestHunt(t *testing.T) {
	turns, _ := emulator.VariantOf("turns")
	seen := func(string, ...any) {}
	calm := strings.Replace(day, "trouble slow at 4s for 4s servers 0.3 times 8\n", "", 1)
	f, err := Hunt(t.Context(), HuntTerms{Name: "small", Text: calm, Seed: 3, Days: 12, Most: 3, Variant: turns, Shrinks: 30, Seen: seen})
	if err != nil {
		t.Fatal(err)
	}
	if f.Gap < 0.05 || len(f.Troubles) == 0 || len(f.Drawn) != 12 {
		t.Fatalf("%+v", f)
	}
	sc, err := emulator.Parse("kept", f.Text)
	if err != nil {
		t.Fatal(err)
	}
	r, err := emulator.Run(sc, emulator.Options{Seed: sc.Seed, Variant: turns})
	if err != nil || math.Abs(r.Gain-f.Gain) > 1e-9 {
		t.Errorf("the kept day has gain %g, found was %g: %v", r.Gain, f.Gain, err)
	}
	again, _ := Hunt(t.Context(), HuntTerms{Name: "small", Text: calm, Seed: 3, Days: 12, Most: 3, Variant: turns, Shrinks: 30, Seen: seen})
	was, _ := json.Marshal(f)
	now, _ := json.Marshal(again)
	if !bytes.Equal(was, now) {
		t.Error("the same search finds another day")
	}
	once := strings.Replace(calm, "index find parts 4", "index find effect once-only parts 4", 1)
	f, err = Hunt(t.Context(), HuntTerms{Name: "small", Text: once, Seed: 3, Days: 6, Most: 3, Rules: true, Variant: lawless, Shrinks: 40, Seen: seen})
	if err != nil || f.Rule != 2 || len(f.Troubles) != 1 {
		t.Errorf("%+v, %v", f, err)
	}
	if f, err := Hunt(t.Context(), HuntTerms{Name: "small", Text: calm, Seed: 3, Days: 4, Most: 2, Rules: true, Variant: emulator.Ours, Seen: seen}); err != nil || f.Text != "" {
		t.Errorf("%+v, %v", f, err)
	}
}
