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
	"strings"
	"testing"
	"time"

	"yokeroute/internal/gatherer/report"
	"yokeroute/internal/process"
	"yokeroute/internal/storage/statedir"
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
	p := &Plan{File: "release-42.conf", Text: "ccb99da814c8b92c", Folder: folder, Every: 5000,
		Machines: []Machine{{Report: "127.0.0.1:1"}, {Report: "127.0.0.1:2"}, {Report: "127.0.0.1:3"}}}
	p.Name, p.Indexes = "release-42", []string{"any", "once"}
	p.Gatherers = []rollout.Gatherer{{Name: "g1", Zone: "north"}, {Name: "g2", Zone: "south"}, {Name: "g3"}}
	p.Stages = []rollout.Stage{{Name: "one", Count: 1}, {Name: "all", Share: 1}}
	return p
}

// keptRecords are records of every kind, with each field set somewhere.
var keptRecords = []rollout.Record{
	{What: rollout.Began, Plan: "ccb99da814c8b92c", Fence: 1},
	{What: rollout.Moved, Where: &rollout.Position{Phase: rollout.Watching}, Err: "watching the old for 2 s more before anything is changed"},
	{What: rollout.Moved, Where: &rollout.Position{Phase: rollout.Changing, Stage: 1}, Err: "stage one is passed; next is all"},
	{What: rollout.Ordered, Name: "g1", To: rollout.New},
	{What: rollout.Stepped, Name: "g1", To: rollout.New},
	{What: rollout.Ordered, Name: "g2", To: rollout.New},
	{What: rollout.Stepped, Name: "g2", To: rollout.New, Err: "step of g2: exit status 1: no room"},
	{What: rollout.Heeded, Word: "back 1796168075012746800"},
	{What: rollout.Moved, Where: &rollout.Position{Phase: rollout.Backing, Stage: 1, Why: "by the operator's word"}},
	{What: rollout.Ordered, Name: "g1", To: rollout.Old},
	{What: rollout.Ordered, Name: "g3", To: rollout.Old},
	{What: rollout.Stepped, Name: "g3", To: rollout.Old},
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
	own, err := statedir.OpenRunFolder(folder, false)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	if err := own.Recover(func([]byte) error { return nil }); err != nil {
		t.Fatal(err)
	}
	now := 1796168075012.75
	p := keptPlan(folder)
	c := &Controller{p: p, own: own, fence: own.FencingToken, now: func() float64 { return now }, teller: &teller{at: make([]time.Time, 3)}}
	for _, record := range keptRecords {
		if err := c.write(record); err != nil {
			t.Fatal(err)
		}
		now += 250.5
	}
	c.teller.at[0], c.teller.at[1] = time.UnixMilli(int64(now)-100), time.UnixMilli(int64(now)-200)
	o := &rollout.Observation{Now: now, Seen: []rollout.Seen{
		{Reached: true, Kind: rollout.Old, Ready: true, Indexes: []rollout.Counts{{Ended: 250, Value: 249.5, Nacked: 1}, {Ended: 130, Value: 130}}},
		{Reached: true, Kind: rollout.New, Step: rollout.Running, Trouble: "step of g2: exit status 1: no room", Indexes: []rollout.Counts{{Ended: 11, Value: 10}}},
		{Trouble: "no answer"},
	}}
	for _, d := range []rollout.Decision{
		{Verdict: rollout.Back, Phase: rollout.Backing, Stage: 1, Why: "making g1 old again: by the operator's word"},
		{Verdict: rollout.Stop, Phase: rollout.Stopped, Stage: 2, Why: "stopped: by the operator's word"},
	} {
		s := c.status(o, d)
		if s.PID != os.Getpid() {
			t.Errorf("process %d", s.PID)
		}
		s.PID = 18889
		if err := c.show(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := statedir.SendCommand(folder, "stop", 1796168075012746801); err != nil {
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

// TestKeptFolderIsRead: a kept folder is read by who looks on, and a controller after the one that wrote it goes on from
// it, with what was begun and not ended.
func TestKeptFolderIsRead(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "run")
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(kept, "rollout-1"))); err != nil {
		t.Fatal(err)
	}
	s, err := ReadStatus(folder)
	if err != nil || s.Name != "release-42" || s.Plan != "release-42.conf" || s.Fence != 1 || s.PID != 18889 || s.Phase != rollout.Stopped || s.Stage != "all" ||
		s.Verdict != "stop" || s.Why != "stopped: by the operator's word" || s.At != 1796168078018.75 {
		t.Fatalf("%v, %+v", err, s)
	}
	if len(s.Gatherers) != 3 || s.Gatherers[0] != (GathererStatus{Name: "g1", Zone: "north", Serves: "old", Ready: true, Reached: 1796168077918}) ||
		s.Gatherers[1] != (GathererStatus{Name: "g2", Zone: "south", Serves: "new", Reached: 1796168077818, Step: "under way", Trouble: "step of g2: exit status 1: no room"}) ||
		s.Gatherers[2] != (GathererStatus{Name: "g3", Serves: "unknown", Trouble: "no answer"}) {
		t.Errorf("%+v", s.Gatherers)
	}
	if s.Indexes["any"] != [2]Sum{{250, 249.5, 1}, {11, 10, 0}} || s.Indexes["once"] != [2]Sum{{130, 130, 0}, {}} {
		t.Errorf("%+v", s.Indexes)
	}
	history, err := History(folder)
	if err != nil || len(history) != 2 || history[0].Phase != rollout.Backing || history[0].Old != 1 || history[0].New != 1 || history[0].Away != 1 ||
		history[1].Stage != "all" || history[1].Why != "stopped: by the operator's word" || history[1].At != s.At || history[1].Indexes["any"] != s.Indexes["any"] {
		t.Errorf("%v, %+v", err, history)
	}
	lines, err := Log(folder)
	if err != nil || len(lines) != len(keptLines) {
		t.Fatalf("%v, %q", err, lines)
	}
	for i, line := range lines {
		if line[len("15:04:05  "):] != keptLines[i] {
			t.Errorf("record %d reads %q, want %q", i, line, keptLines[i])
		}
	}
	own, err := statedir.OpenRunFolder(folder, false)
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	c := &Controller{p: keptPlan(folder), own: own, steps: make([]rollout.StepState, 3)}
	at, err := c.recover()
	if err != nil || at != (rollout.Position{Phase: rollout.Backing, Stage: 1, Why: "by the operator's word"}) || own.FencingToken != 2 {
		t.Errorf("%v, %+v, controller %d", err, at, own.FencingToken)
	}
	if len(c.redo) != 1 || c.redo[0].Name != "g1" || c.redo[0].To != rollout.Old || c.redo[0].At != 1796168077267.25 || c.word != "back 1796168075012746800" || c.steps[0] != rollout.Running {
		t.Errorf("made again: %+v, after %q", c.redo, c.word)
	}
	if word, err := own.Command(); err != nil || word != "stop 1796168075012746801" {
		t.Errorf("%v, %q", err, word)
	}
}

// TestPageKeepsItsBytes: the page of the kept rollout is what it was, in UTC.
func TestPageKeepsItsBytes(t *testing.T) {
	local := time.Local
	time.Local = time.UTC
	defer func() { time.Local = local }()
	got, err := Page(filepath.Join(kept, "rollout-1"))
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
	if err := (runner{p}).adopt(0, pid); err != nil {
		t.Fatal(err)
	}
	if err := (commands{p}).note(1, pid); err != nil {
		t.Fatal(err)
	}
	want := fmt.Sprintf("%d %s\n", pid, process.StartTicks(pid))
	for name, text := range folderFiles(t, p.Folder) {
		if name != "run/g1.pid" && name != "run/g2.step" || string(text) != want {
			t.Errorf("%s: %q, want %q", name, text, want)
		}
	}
	if n := len(folderFiles(t, p.Folder)); n != 2 || (runner{p}).process(0) != pid {
		t.Errorf("%d files, process %d", n, (runner{p}).process(0))
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
	p.Gatherers, p.Machines = p.Gatherers[:1], []Machine{{Report: s.Listener.Addr().String()}}
	tell := &teller{p: p, http: s.Client(), marks: make([]string, 1), told: make([]*report.Document, 1), at: make([]time.Time, 1),
		old: []rollout.Marks{{Version: "41"}}, new: []rollout.Marks{{Version: "42"}}}
	run := "release-42 in /var/rollout on host"
	if err := tell.claim(context.Background(), 0, run, 3, claimFor); err != nil {
		t.Error(err)
	}
	for range 2 {
		if o := tell.all(context.Background(), 1); !o.Seen[0].Reached || o.Seen[0].Kind != rollout.Old || o.Seen[0].Process != "18889-1" || len(o.Seen[0].Indexes) != 2 {
			t.Errorf("%+v", o.Seen)
		}
	}
	tell.free(context.Background(), 0, run, 3)
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
