package formats_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/placementfile"
	"yokeroute/internal/control/policyapi"
	"yokeroute/internal/control/policylease"
	"yokeroute/internal/control/policyserver"
	"yokeroute/internal/control/rollout"
	"yokeroute/internal/control/segments"
	"yokeroute/internal/gatherer/report"
	"yokeroute/internal/rulecheck"
	"yokeroute/internal/storage/formats"
	"yokeroute/internal/storage/statedir"
	"yokeroute/internal/testbed/emulator"
)

// TestVersionsPageContainsTheTable tests that docs/operate/versions.md contains the output of formats.Table.
func TestVersionsPageContainsTheTable(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "operate", "versions.md"))
	if err != nil || !strings.Contains(string(text), formats.Table()) {
		t.Errorf("docs/operate/versions.md does not contain the current table: error %v, want\n%s", err, formats.Table())
	}
}

// TestKeptFilesOfEachNumberAreRead reads files that were written by the versions that introduced each number. The files
// must not be changed: if a change makes one of them unreadable, the program needs a separate reader for its number.
func TestKeptFilesOfEachNumberAreRead(t *testing.T) {
	kept := func(name string) string { return filepath.Join("testdata", name) }
	// The state directory is copied, since opening it may write to it.
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(kept("state-1"))); err != nil {
		t.Fatal(err)
	}
	g, found, err := statedir.OpenGathererState(folder, 1<<20, 1e12, 1e12)
	if err != nil || found.Damaged || found.Claims != 3 || !g.MayHaveRun("first", false, 1e12) ||
		g.MayHaveRun("unrun", false, 1e12) || found.Epoch != 4 {
		t.Errorf("state 1: %v, %+v", err, found)
	}
	h, err := statedir.OpenHandover(folder)
	if err != nil || strings.Join(h.DrainingNames(), " ") != "s1 s2" {
		t.Errorf("handover 1: %v, %v", err, h)
	}
	trace, err := os.Open(kept("trace-1"))
	if err != nil {
		t.Fatal(err)
	}
	defer trace.Close()
	if r, err := rulecheck.Check(trace); err != nil || !r.Passed() || r.Queries < 5 {
		t.Errorf("trace 1: %v, %+v", err, r)
	}
	reported, err := os.Open(kept("report-1.json"))
	if err != nil {
		t.Fatal(err)
	}
	defer reported.Close()
	if d, err := report.Read(reported); err != nil || d.Name != "g1" || d.Classes["find"].Queries == 0 ||
		d.Classes["find"].Latency.TotalCount() == 0 {
		t.Errorf("report 1: %v, %+v", err, d)
	}
	if s, err := rollout.ReadStatus(kept("rollout-1")); err != nil || s.Phase != "ended" || len(s.Gatherers) != 4 {
		t.Errorf("rollout 1: %v, %+v", err, s)
	}
	if lines, err := rollout.JournalLines(kept("rollout-1")); err != nil || len(lines) < 10 {
		t.Errorf("rollout 1, journal: %v, %v", err, lines)
	}
	if operatorFile, err := operator.Read(kept("operator-1.conf")); err != nil || operatorFile.NameRetention == 0 ||
		operatorFile.ReportAddress == "" || len(operatorFile.TwoPhase) != 1 {
		t.Errorf("operator file 1: %v, %+v", err, operatorFile)
	}
	if _, err := placementfile.Read(kept("placement-1.conf"), 0); err != nil {
		t.Errorf("placement file 1: %v", err)
	}
	if m, _, err := segments.ReadMap(kept("segments-1.conf")); err != nil || m.Epoch == 0 {
		t.Errorf("segment map 1: %v", err)
	}
	answer, err := os.Open(kept("policy-1.json"))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	if a, err := policyapi.ReadPollResponse(answer); err != nil || a.Update.Pending.Number != 5 ||
		len(a.Update.Policy) != 2 || a.Update.Lease != 10_000 {
		t.Errorf("policy 1: %v, %+v", err, a)
	}
	fence, err := os.ReadFile(kept("fence-1"))
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(filepath.Join(folder, "policy"), fence, 0o644)
	if f, err := policylease.LoadRevision(folder); err != nil || f.Epoch != 41 || f.LastEnded != 43 ||
		f.Pending != 44 {
		t.Errorf("fence 1: %v, %+v", err, f)
	}
	record, err := os.Open(kept("policies-1.json"))
	if err != nil {
		t.Fatal(err)
	}
	if r, err := policyserver.ReadSnapshot(record); err != nil || r.Epoch != 1 || len(r.History) != 2 ||
		len(r.Members) != 1 || r.History[1].OutcomeReason == "" {
		t.Errorf("policies 1: %v, %+v", err, r)
	}
	if _, err := emulator.Read(kept("scenario-1.conf")); err != nil {
		t.Errorf("scenario 1: %v", err)
	}
}

// TestHigherNumbersAreRejectedAndUnknownFieldsSkipped reads data of later versions and expects what the table says. The
// error for a report with a higher number must contain both numbers.
func TestHigherNumbersAreRejectedAndUnknownFieldsSkipped(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "report-1.json"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := report.Read(strings.NewReader(strings.Replace(string(text), "yokeroute report 1",
		"yokeroute report 2", 1))); err == nil || !strings.Contains(err.Error(), "report 2") ||
		!strings.Contains(err.Error(), "report 1") {
		t.Errorf("report of a higher number: error %v, want one with both numbers", err)
	}
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		t.Fatal(err)
	}
	fields["weather"] = "fine"
	extended, _ := json.Marshal(fields)
	if _, err := report.Read(strings.NewReader(string(extended))); err != nil {
		t.Errorf("report with an unknown field: %v", err)
	}
	folder := t.TempDir()
	os.WriteFile(filepath.Join(folder, "handover"),
		[]byte(`{"handover":"yokeroute handover 2","draining":{"s9":1}}`), 0o644)
	if h, err := statedir.OpenHandover(folder); err == nil || h == nil || len(h.DrainingNames()) > 0 ||
		!strings.Contains(err.Error(), "handover 2") {
		t.Errorf("handover of a higher number: error %v, want one with the number; %+v", err, h)
	}
	if err := os.CopyFS(filepath.Join(folder, "state"), os.DirFS(filepath.Join("testdata", "state-1"))); err != nil {
		t.Fatal(err)
	}
	snapshots, _ := filepath.Glob(filepath.Join(folder, "state", "snapshot-*"))
	snapshot, _ := os.ReadFile(snapshots[0])
	os.WriteFile(snapshots[0], []byte(strings.Replace(string(snapshot), "yokeroute state 1", "yokeroute state 2", 1)),
		0o644)
	if _, found, err := statedir.OpenGathererState(filepath.Join(folder, "state"), 1<<20, 1000, 0); err == nil &&
		!found.Damaged {
		t.Error("a state snapshot of a higher number was accepted")
	}
	os.MkdirAll(filepath.Join(folder, "rollout"), 0o755)
	os.WriteFile(filepath.Join(folder, "rollout", "status.json"), []byte(`{"rollout":"yokeroute rollout 2"}`), 0o644)
	if _, err := rollout.ReadStatus(filepath.Join(folder, "rollout")); err == nil ||
		!strings.Contains(err.Error(), "rollout 2") {
		t.Errorf("rollout status of a higher number: error %v, want one with the number", err)
	}
}

// FuzzReport reads arbitrary reports. The counts of every accepted report must be plausible.
func FuzzReport(f *testing.F) {
	text, err := os.ReadFile(filepath.Join("testdata", "report-1.json"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(text))
	f.Add(`{"report":"yokeroute report 1","name":"x","process":"1","indexes":{"i":{"took":[1,-1]}}}`)
	f.Add(`{"report":"yokeroute report 1","name":"x","process":"1","indexes":{"i":null}}`)
	f.Add(`{"report":"yokeroute report 1","name":"x","process":"1","indexes":{"i":{"value":1e300,"ended":2,"took":[1,2,3]}}}`)
	f.Fuzz(func(t *testing.T, text string) {
		d, err := report.Read(strings.NewReader(text))
		if err != nil {
			return
		}
		for name, stats := range d.Classes {
			if stats.Queries < 0 || stats.EarnedValue > float64(stats.Queries)+1e-6 || stats.Latency.TotalCount() < 0 {
				t.Errorf("%s: %+v", name, stats)
			}
		}
	})
}
