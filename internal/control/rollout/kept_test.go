package rollout

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/gatherer/report"
	"yokeroute/internal/process"
	"yokeroute/internal/storage/runfolder"
	"yokeroute/logic/rollout"
)

const kept = "testdata/kept"

// folderFiles are all files of a rollout's folder by their paths in it, but for the lock, which is empty.
func folderFiles(t *testing.T, folder string) map[string][]byte {
	t.Helper()
	files := map[string][]byte{}
	err := filepath.WalkDir(folder, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		name, err := filepath.Rel(folder, path)
		if err != nil {
			return err
		}
		if files[name], err = os.ReadFile(path); name == "lock" {
			delete(files, name)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// keptPlan is the plan of the kept rollout.
func keptPlan(folder string) *Plan {
	p := &Plan{File: "release-42.conf", Fingerprint: "ccb99da814c8b92c", Folder: folder, Interval: 5 * time.Second,
		Processes: []GathererProcess{
			{ReportAddress: "127.0.0.1:1"}, {ReportAddress: "127.0.0.1:2"}, {ReportAddress: "127.0.0.1:3"},
		}}
	p.Name, p.Classes = "release-42", []string{"any", "once"}
	p.Gatherers = []rollout.Gatherer{{Name: "g1", Zone: "north"}, {Name: "g2", Zone: "south"}, {Name: "g3"}}
	p.Stages = []rollout.Stage{{Name: "one", Count: 1}, {Name: "all", Share: 1}}
	return p
}

// keptRecords are records of every kind, with each field set somewhere.
var keptRecords = []rollout.Record{
	{Kind: rollout.ControllerStarted, PlanSum: "ccb99da814c8b92c", FencingToken: 1},
	{Kind: rollout.PositionChanged, Position: &rollout.Position{Phase: rollout.Baselining},
		Message: "watching the old for 2 s more before anything is changed"},
	{Kind: rollout.PositionChanged, Position: &rollout.Position{Phase: rollout.Updating, Stage: 1},
		Message: "stage one is passed; next is all"},
	{Kind: rollout.StepStarted, Gatherer: "g1", Target: rollout.New},
	{Kind: rollout.StepEnded, Gatherer: "g1", Target: rollout.New},
	{Kind: rollout.StepStarted, Gatherer: "g2", Target: rollout.New},
	{Kind: rollout.StepEnded, Gatherer: "g2", Target: rollout.New, Message: "step of g2: exit status 1: no room"},
	{Kind: rollout.CommandApplied, Command: "back 1796168075012746800"},
	{Kind: rollout.PositionChanged,
		Position: &rollout.Position{Phase: rollout.RollingBack, Stage: 1, Reason: "by the operator's word"}},
	{Kind: rollout.StepStarted, Gatherer: "g1", Target: rollout.Old},
	{Kind: rollout.StepStarted, Gatherer: "g3", Target: rollout.Old},
	{Kind: rollout.StepEnded, Gatherer: "g3", Target: rollout.Old},
}

// keptLines are the records in words, without their times, which are the reader's own zone's.
var keptLines = []string{
	"controller 1 begins",
	"baseline, stage 1: watching the old for 2 s more before anything is changed",
	"changing, stage 2: stage one is passed; next is all",
	"making g1 new",
	"g1: its step to new has ended",
	"making g2 new",
	"g2 could not be made new: step of g2: exit status 1: no room",
	"operator: back 1796168075012746800",
	"going back, stage 2: by the operator's word",
	"making g1 old",
	"making g3 old",
	"g3: its step to old has ended",
}

// writeFolder has a controller with a clock that stands write a rollout's folder.
func writeFolder(t *testing.T, folder string) {
	t.Helper()
	own, err := runfolder.Open(folder, false)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	if err := own.Recover(func([]byte) error { return nil }); err != nil {
		t.Fatal(err)
	}
	now := 1796168075012.75
	p := keptPlan(folder)
	c := &Controller{
		plan: p, journal: own, fencingToken: own.FencingToken, now: func() float64 { return now },
		reports: &reportClient{lastReportAt: make([]time.Time, 3)},
	}
	for _, record := range keptRecords {
		if err := c.appendRecord(record); err != nil {
			t.Fatal(err)
		}
		now += 250.5
	}
	c.reports.lastReportAt[0] = time.UnixMilli(int64(now) - 100)
	c.reports.lastReportAt[1] = time.UnixMilli(int64(now) - 200)
	o := &rollout.Observation{Now: now, Gatherers: []rollout.GathererSample{
		{Reachable: true, Variant: rollout.Old, Ready: true, Classes: []rollout.ClassCounts{
			{Queries: 250, EarnedValue: 249.5, Rejected: 1},
			{Queries: 130, EarnedValue: 130},
		}},
		{Reachable: true, Variant: rollout.New, Step: rollout.Running, Fault: "step of g2: exit status 1: no room",
			Classes: []rollout.ClassCounts{{Queries: 11, EarnedValue: 10}}},
		{Fault: "no answer"},
	}}
	for _, d := range []rollout.Decision{
		{Verdict: rollout.RollBack, Phase: rollout.RollingBack, Stage: 1, Reason: "making g1 old again: by the operator's word"},
		{Verdict: rollout.Stop, Phase: rollout.Stopped, Stage: 2, Reason: "stopped: by the operator's word"},
	} {
		s := c.buildStatus(o, d)
		if s.PID != os.Getpid() {
			t.Errorf("process %d", s.PID)
		}
		s.PID = 18889
		if err := c.publish(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := runfolder.SendCommand(folder, "stop", 1796168075012746801); err != nil {
		t.Fatal(err)
	}
}

// TestFolderKeepsItsBytes: a rollout's folder (journal with every kind of record, status, history, the operator's
// command, the controller's number) is written byte for byte as it was when its format began.
func TestFolderKeepsItsBytes(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "run")
	writeFolder(t, folder)
	want, got := folderFiles(t, filepath.Join(kept, "rollout-1")), folderFiles(t, folder)
	for name, text := range want {
		if !bytes.Equal(got[name], text) {
			t.Errorf("%s: written\n%q\nkept\n%q", name, got[name], text)
		}
	}
	for name := range got {
		if want[name] == nil {
			t.Errorf("%s is written and was not", name)
		}
	}
}

// TestKeptFolderIsRead: a kept folder is read by who looks on, and a controller after the one that wrote it goes on
// from it, with what was begun and not ended.
func TestKeptFolderIsRead(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "run")
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(kept, "rollout-1"))); err != nil {
		t.Fatal(err)
	}
	s, err := ReadStatus(folder)
	if err != nil || s.Name != "release-42" || s.Plan != "release-42.conf" || s.FencingToken != 1 || s.PID != 18889 ||
		s.Phase != rollout.Stopped || s.Stage != "all" ||
		s.Verdict != "stop" || s.Reason != "stopped: by the operator's word" || s.ObservedAt != 1796168078018.75 {
		t.Fatalf("%v, %+v", err, s)
	}
	if !slices.Equal(s.Gatherers, []GathererStatus{
		{Name: "g1", Zone: "north", Variant: "old", Ready: true, LastReportAt: 1796168077918},
		{
			Name: "g2", Zone: "south", Variant: "new", LastReportAt: 1796168077818, Step: "under way",
			Fault: "step of g2: exit status 1: no room",
		},
		{Name: "g3", Variant: "unknown", Fault: "no answer"},
	}) {
		t.Errorf("%+v", s.Gatherers)
	}
	if s.Classes["any"] != [2]VariantSums{{250, 249.5, 1}, {11, 10, 0}} || s.Classes["once"] != [2]VariantSums{{130, 130, 0}, {}} {
		t.Errorf("%+v", s.Classes)
	}
	history, err := History(folder)
	if err != nil || len(history) != 2 || history[0].Phase != rollout.RollingBack || history[0].Old != 1 ||
		history[0].New != 1 || history[0].Unreachable != 1 ||
		history[1].Stage != "all" || history[1].Reason != "stopped: by the operator's word" || history[1].ObservedAt != s.ObservedAt ||
		history[1].Classes["any"] != s.Classes["any"] {
		t.Errorf("%v, %+v", err, history)
	}
	lines, err := JournalLines(folder)
	if err != nil || len(lines) != len(keptLines) {
		t.Fatalf("%v, %q", err, lines)
	}
	for i, line := range lines {
		if line[len("15:04:05  "):] != keptLines[i] {
			t.Errorf("record %d reads %q, want %q", i, line, keptLines[i])
		}
	}
	own, err := runfolder.Open(folder, false)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	c := &Controller{plan: keptPlan(folder), journal: own, stepStates: make([]rollout.StepState, 3)}
	err = c.recover()
	if err != nil || c.position != (rollout.Position{Phase: rollout.RollingBack, Stage: 1, Reason: "by the operator's word"}) || own.FencingToken != 2 {
		t.Errorf("%v, %+v, controller %d", err, c.position, own.FencingToken)
	}
	if len(c.unfinished) != 1 || c.unfinished[0].Gatherer != "g1" ||
		c.unfinished[0].Target != rollout.Old || c.unfinished[0].At != 1796168077267.25 ||
		c.lastCommand != "back 1796168075012746800" || c.stepStates[0] != rollout.Running {
		t.Errorf("made again: %+v, after %q", c.unfinished, c.lastCommand)
	}
	if word, err := own.Command(); err != nil || word != "stop 1796168075012746801" {
		t.Errorf("%v, %q", err, word)
	}
}

// TestHTMLReportKeepsItsBytes: the page of the kept rollout is what it was, in UTC.
func TestHTMLReportKeepsItsBytes(t *testing.T) {
	local := time.Local
	time.Local = time.UTC
	defer func() { time.Local = local }()
	got, err := HTMLReport(filepath.Join(kept, "rollout-1"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join(kept, "report.html"))
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%v: written\n%s\nkept\n%s", err, got, want)
	}
}

// TestKeptNotesOfProcesses: who a gatherer's process and the command of its step are is written and read as it was.
func TestKeptNotesOfProcesses(t *testing.T) {
	p := keptPlan(t.TempDir())
	pid := os.Getpid()
	if err := (processStepper{p}).adopt(0, pid); err != nil {
		t.Fatal(err)
	}
	if err := (commandStepper{p}).recordProcess(1, pid); err != nil {
		t.Fatal(err)
	}
	want := fmt.Sprintf("%d %s %s\n", pid, process.StartTicks(pid), process.BootID())
	for name, text := range folderFiles(t, p.Folder) {
		if name != "run/g1.pid" && name != "run/g2.step" || string(text) != want {
			t.Errorf("%s: %q, want %q", name, text, want)
		}
	}
	if n := len(folderFiles(t, p.Folder)); n != 2 || (processStepper{p}).runningPID(0) != pid {
		t.Errorf("%d files, process %d", n, (processStepper{p}).runningPID(0))
	}
	earlier := fmt.Sprintf("%d %s\n", pid, process.StartTicks(pid)) // of versions that did not note the boot
	if err := os.WriteFile((processStepper{p}).pidFile(0), []byte(earlier), 0o644); err != nil {
		t.Fatal(err)
	}
	if found := (processStepper{p}).runningPID(0); found != pid {
		t.Errorf("by an earlier version's note: process %d", found)
	}
}

// TestRequestsKeepTheirBytes: what a controller asks of gatherers is byte for byte what it was.
func TestRequestsKeepTheirBytes(t *testing.T) {
	var asked []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		asked = append(asked, r.Method+" "+r.URL.RequestURI()+" "+string(body))
		if r.Method == http.MethodGet {
			text, err := os.ReadFile(filepath.Join("..", "..", "gatherer", "report", "testdata", "kept", "marked.json"))
			if err != nil {
				t.Error(err)
			}
			w.Write(bytes.Replace(text, []byte(`"name":"g"`), []byte(`"name":"g1"`), 1))
		}
	}))
	defer s.Close()
	p := keptPlan(t.TempDir())
	p.Gatherers, p.Processes = p.Gatherers[:1], []GathererProcess{{ReportAddress: s.Listener.Addr().String()}}
	client := &reportClient{
		plan: p, http: s.Client(),
		checkpoints: make([]string, 1), lastReports: make([]*report.Document, 1), lastReportAt: make([]time.Time, 1),
		oldBuilds: []rollout.BuildInfo{{Version: "41"}}, newBuilds: []rollout.BuildInfo{{Version: "42"}},
	}
	run := "release-42 in /var/rollout on host"
	if err := client.claim(context.Background(), 0, run, 3); err != nil {
		t.Error(err)
	}
	for range 2 {
		sample := client.observe(context.Background(), 1).Gatherers[0]
		if !sample.Reachable || sample.Variant != rollout.Old || sample.Incarnation != "18889-1" || len(sample.Classes) != 2 {
			t.Errorf("%+v", sample)
		}
	}
	client.release(context.Background(), 0, run, 3)
	want := strings.Join([]string{
		`POST /claim {"fence":3,"for":60000,"run":"release-42 in /var/rollout on host"}`,
		`GET /report?since= `,
		`GET /report?since=18889-1.1 `,
		`DELETE /claim?run=release-42+in+%2Fvar%2Frollout+on+host&fence=3 `,
	}, "\n")
	if got := strings.Join(asked, "\n"); got != want {
		t.Errorf("asked\n%s\nwant\n%s", got, want)
	}
}
