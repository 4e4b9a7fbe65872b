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

const keptFolder = "testdata/kept"

// folderFiles returns the contents of all files in a rollout's folder by relative path, except for the lock file,
// which is empty.
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

// keptPlan returns the plan of the rollout in testdata/kept.
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

// keptRecords holds records of every kind; each field is set in at least one of them.
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

// keptRecordLines holds the text of each of keptRecords, without the times, which depend on the reader's time zone.
var keptRecordLines = []string{
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

// writeFolder writes a rollout's folder through a controller with a simulated clock.
func writeFolder(t *testing.T, folder string) {
	t.Helper()
	runFolder, err := runfolder.Open(folder, false)
	if err != nil {
		t.Fatal(err)
	}
	defer runFolder.Close()
	if err := runFolder.Recover(func([]byte) error { return nil }); err != nil {
		t.Fatal(err)
	}
	now := 1796168075012.75
	p := keptPlan(folder)
	c := &Controller{
		plan: p, journal: runFolder, fencingToken: runFolder.FencingToken, now: func() float64 { return now },
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
			t.Errorf("status has process ID %d, want that of this process", s.PID)
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

// TestRolloutFolderMatchesKeptFolderByteForByte checks that a rollout's folder (journal with every kind of record,
// status, history, the operator's command, the controller's number) is written byte for byte like the kept one, which
// fixes the format.
func TestRolloutFolderMatchesKeptFolderByteForByte(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "run")
	writeFolder(t, folder)
	want, got := folderFiles(t, filepath.Join(keptFolder, "rollout-1")), folderFiles(t, folder)
	for name, text := range want {
		if !bytes.Equal(got[name], text) {
			t.Errorf("%s: written\n%q\nwant the kept\n%q", name, got[name], text)
		}
	}
	for name := range got {
		if want[name] == nil {
			t.Errorf("%s is written, but is not in the kept folder", name)
		}
	}
}

// TestControllerRecoversFromKeptFolder checks that the status, history and journal of the kept folder are read, and
// that a later controller recovers the position, the last command and the steps whose end is not recorded.
func TestControllerRecoversFromKeptFolder(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "run")
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(keptFolder, "rollout-1"))); err != nil {
		t.Fatal(err)
	}
	s, err := ReadStatus(folder)
	if err != nil || s.Name != "release-42" || s.Plan != "release-42.conf" || s.FencingToken != 1 || s.PID != 18889 ||
		s.Phase != rollout.Stopped || s.Stage != "all" ||
		s.Verdict != "stop" || s.Reason != "stopped: by the operator's word" || s.ObservedAt != 1796168078018.75 {
		t.Fatalf("status of the kept folder: error %v, %+v", err, s)
	}
	if !slices.Equal(s.Gatherers, []GathererStatus{
		{Name: "g1", Zone: "north", Variant: "old", Ready: true, LastReportAt: 1796168077918},
		{
			Name: "g2", Zone: "south", Variant: "new", LastReportAt: 1796168077818, Step: "under way",
			Fault: "step of g2: exit status 1: no room",
		},
		{Name: "g3", Variant: "unknown", Fault: "no answer"},
	}) {
		t.Errorf("unexpected gatherers in the status: %+v", s.Gatherers)
	}
	if s.Classes["any"] != [2]VariantSums{{250, 249.5, 1}, {11, 10, 0}} || s.Classes["once"] != [2]VariantSums{{130, 130, 0}, {}} {
		t.Errorf("unexpected classes in the status: %+v", s.Classes)
	}
	history, err := History(folder)
	if err != nil || len(history) != 2 || history[0].Phase != rollout.RollingBack || history[0].Old != 1 ||
		history[0].New != 1 || history[0].Unreachable != 1 ||
		history[1].Stage != "all" || history[1].Reason != "stopped: by the operator's word" || history[1].ObservedAt != s.ObservedAt ||
		history[1].Classes["any"] != s.Classes["any"] {
		t.Errorf("history of the kept folder: error %v, %+v", err, history)
	}
	lines, err := JournalLines(folder)
	if err != nil || len(lines) != len(keptRecordLines) {
		t.Fatalf("journal of the kept folder: error %v, lines %q", err, lines)
	}
	for i, line := range lines {
		if line[len("15:04:05  "):] != keptRecordLines[i] {
			t.Errorf("record %d is printed as %q, want %q", i, line, keptRecordLines[i])
		}
	}
	runFolder, err := runfolder.Open(folder, false)
	if err != nil {
		t.Fatal(err)
	}
	defer runFolder.Close()
	c := &Controller{plan: keptPlan(folder), journal: runFolder, stepStates: make([]rollout.StepState, 3)}
	err = c.recover()
	if err != nil || c.position != (rollout.Position{Phase: rollout.RollingBack, Stage: 1, Reason: "by the operator's word"}) || runFolder.FencingToken != 2 {
		t.Errorf("recovery: error %v, position %+v, controller %d", err, c.position, runFolder.FencingToken)
	}
	if len(c.unfinished) != 1 || c.unfinished[0].Gatherer != "g1" ||
		c.unfinished[0].Target != rollout.Old || c.unfinished[0].At != 1796168077267.25 ||
		c.lastCommand != "back 1796168075012746800" || c.stepStates[0] != rollout.Running {
		t.Errorf("recovered unfinished steps %+v and last command %q", c.unfinished, c.lastCommand)
	}
	if command, err := runFolder.Command(); err != nil || command != "stop 1796168075012746801" {
		t.Errorf("pending command: error %v, %q", err, command)
	}
}

// TestHTMLReportMatchesKeptPage checks that the HTML report of the kept rollout, in UTC, is byte for byte the kept
// page.
func TestHTMLReportMatchesKeptPage(t *testing.T) {
	local := time.Local
	time.Local = time.UTC
	defer func() { time.Local = local }()
	got, err := HTMLReport(filepath.Join(keptFolder, "rollout-1"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join(keptFolder, "report.html"))
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("read error %v: written\n%s\nwant the kept\n%s", err, got, want)
	}
}

// TestProcessRecordsAreWrittenAndReadAsBefore checks the format of the records of a gatherer's process and of its
// step's command, and that records of an earlier version are read.
func TestProcessRecordsAreWrittenAndReadAsBefore(t *testing.T) {
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
		t.Errorf("got %d files and process %d, want 2 files and this process", n, (processStepper{p}).runningPID(0))
	}
	earlier := fmt.Sprintf("%d %s\n", pid, process.StartTicks(pid)) // written by versions that did not record the boot ID
	if err := os.WriteFile((processStepper{p}).pidFile(0), []byte(earlier), 0o644); err != nil {
		t.Fatal(err)
	}
	if found := (processStepper{p}).runningPID(0); found != pid {
		t.Errorf("record of an earlier version: got process %d, want this process", found)
	}
}

// TestRequestsToGatherersKeepTheirFormat checks that a controller's requests to gatherers are byte for byte unchanged.
func TestRequestsToGatherersKeepTheirFormat(t *testing.T) {
	var requests []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		requests = append(requests, r.Method+" "+r.URL.RequestURI()+" "+string(body))
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
		plan: p, http: s.Client(), reports: newSets[*report.Document](1, maxReportRequests),
		claims:      newSets[struct{}](1, maxClaimRequests),
		checkpoints: make([]string, 1), lastReports: make([]*report.Document, 1), lastReportAt: make([]time.Time, 1),
		oldBuilds: []rollout.BuildInfo{{Version: "41"}}, newBuilds: []rollout.BuildInfo{{Version: "42"}},
	}
	runID := "release-42 in /var/rollout on host"
	if err := client.claim(context.Background(), 0, runID, 3); err != nil {
		t.Error(err)
	}
	for range 2 {
		sample := client.observe(context.Background(), 1).Gatherers[0]
		if !sample.Reachable || sample.Variant != rollout.Old || sample.Incarnation != "18889-1" || len(sample.Classes) != 2 {
			t.Errorf("unexpected sample: %+v", sample)
		}
	}
	client.release(context.Background(), 0, runID, 3)
	want := strings.Join([]string{
		`POST /claim {"fence":3,"for":60000,"run":"release-42 in /var/rollout on host"}`,
		`GET /report?since= `,
		`GET /report?since=18889-1.1 `,
		`DELETE /claim?run=release-42+in+%2Fvar%2Frollout+on+host&fence=3 `,
	}, "\n")
	if got := strings.Join(requests, "\n"); got != want {
		t.Errorf("requests\n%s\nwant\n%s", got, want)
	}
}
