package processtest

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/process"
	"yokeroute/internal/rulecheck"
)

// small is a fleet for tests: two halls, two sets of three machines.
const small = `hall north
hall south
kind box cores 2 queue 40
layout sets 2 shards 12
servers 6 kind box
gatherers 4
index any share 60% parts 4 need 75% work 8ms spread 0.5 soft 400ms hard 1.5s
index once share 40% parts 2 work 8ms soft 400ms hard 1.5s late 0% effect once-only
clients rate 40/s retries 2 wait 50ms notice 300ms
discovery lag 100ms
budget free 6 share 5% in 1s
cold from 20% warms 5s falls 3 in 2s
time length 3s warm-up 0s
`

func binary(t testing.TB) string {
	t.Helper()
	file, err := Build("yokeroute")
	if err != nil {
		t.Fatal(err)
	}
	return file
}

func scenarioOf(t testing.TB, text string) *Scenario {
	t.Helper()
	sc, err := Parse(t.Name(), text, 0)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// start starts a fleet that ends with the test, at the latest.
func start(t testing.TB, ctx context.Context, text string, terms Terms) *Fleet {
	t.Helper()
	terms.Binary, terms.Folder = binary(t), t.TempDir()
	f, err := StartFleet(ctx, scenarioOf(t, text), terms)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// end ends a fleet and checks that every rule was kept by all of its processes together, and that none had a fault.
func end(t testing.TB, f *Fleet) *rulecheck.JoinedReport {
	t.Helper()
	f.Close()
	if err := f.Faults(); err != nil {
		t.Error(err)
	}
	j, err := f.Check()
	if err != nil {
		t.Fatal(err)
	}
	if !j.Passed() {
		t.Errorf("%v; %s", j.Violations, j.Incomplete)
	}
	return j
}

func minute(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 240*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestFleetThatDoesNotStartTellsWhy guards against a panic in the place of the error: the fleet's folder is
// no folder, or the gatherers' program is none.
func TestFleetThatDoesNotStartTellsWhy(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name  string
		terms Terms
		want  string
	}{
		{"no folder", Terms{Binary: file, Folder: filepath.Join(file, "fleet")}, "not a directory"},
		{"no program", Terms{Binary: file, Folder: t.TempDir()}, "permission denied"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, err := StartFleet(minute(t), scenarioOf(t, small), c.terms)
			if f != nil || err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("fleet %v, error %v, want %q", f, err, c.want)
			}
		})
	}
}

// TestFleet: processes are killed, stopped, ended and started again, links are cut, fall silent and slow down, servers
// die and drain, all by a timeline; the joined traces of all processes show that every rule was kept, and clients were
// served all the while.
func TestFleet(t *testing.T) {
	t.Parallel()
	f := start(t, minute(t), small+`
fault kill on g1 at 300ms for 500ms
fault stop on g2 at 500ms for 700ms
fault term on g3 at 900ms for 200ms state stale
fault cut on g4:s1 g4:s2 at 200ms for 1s
fault silent on g1:s3 at 1.2s for 600ms
fault silent-back on g2:s* at 1.5s for 300ms
fault jitter on g3:s4 at 100ms for 2s delay 20ms
fault garble on g4:s5 at 1.3s
fault server-kill on s6 at 700ms for 1s
fault drain on s1 at 1.4s for 800ms
fault discovery-silent on discovery at 600ms for 400ms
fault refuse-writes on g4 at 1s for 500ms
fault port-taken on g1 at 2s for 400ms
`, Terms{State: true})
	if err := f.Play(minute(t)); err != nil {
		t.Fatal(err)
	}
	all := f.Front.Total()
	j := end(t, f)
	if all.Operations < 80 || all.Value < all.Asked/3 || all.Endings[Satisfied] == 0 {
		t.Errorf("%+v", all)
	}
	if j.KilledProcesses < 2 || j.Queries < all.Endings[Satisfied] || j.Attempts < j.Queries || len(j.Unchecked) > 0 {
		t.Errorf("%d killed, %d lookups, %d calls, not checked: %v", j.KilledProcesses, j.Queries, j.Attempts, j.Unchecked)
	}
	if len(f.Said()) < 20 {
		t.Errorf("%v", f.Said())
	}
}

// TestDrawn: faults that the seed draws are the same ones each time, and the text that is kept tells them as lines that
// read again.
func TestDrawn(t *testing.T) {
	text := small + "faults 40 from 500ms to 2s\n"
	a, b := scenarioOf(t, text), scenarioOf(t, text)
	if len(a.Faults) != 40 || a.Text != b.Text || strings.Contains(a.Text, "faults 40") {
		t.Errorf("%d faults, %s", len(a.Faults), a.Text)
	}
	again, err := Parse("kept", a.Text, 0)
	if err != nil {
		t.Fatal(err)
	}
	for i := range a.Faults {
		if a.Faults[i].Line() != again.Faults[i].Line() {
			t.Errorf("%q, read again %q", a.Faults[i].Line(), again.Faults[i].Line())
		}
	}
	if other, _ := Parse("other", text, 9); other.Text == a.Text {
		t.Error("another seed draws the same")
	}
}

// TestBadScenarios: what cannot be meant is refused with its place, before anything starts.
func TestBadScenarios(t *testing.T) {
	for line, want := range map[string]string{
		"fault kil on g1 at 1s":                       `"kil"`,
		"fault kill on g9 at 1s":                      `"g9": is none of the gatherers`,
		"fault cut on g1 at 1s":                       `"g1": is none of the links`,
		"fault kill on g1 at 9s":                      "is after the day's length of 3s",
		"fault kill on g1 at 1s times 4":              "is nothing that the fault kill takes; it takes state",
		"faults 3 of kill stopp":                      `"stopp": is no kind of faults; did you mean stop?`,
		"faults 3 from 2s to 1s":                      "is not after the beginning",
		"trouble slow at 1s for 1s":                   "write faults for processes",
		"segments 12":                                 "which a fleet of processes is not given",
		"fault stop on g1 at 1s for 1s for 2s":        "is given twice",
		"fault cut on g1:s9 at 1s for 200ms":          `"g1:s9"`,
		"faults 2 least 2s most 1s from 0ms to 500ms": "is less than the least",
	} {
		_, err := Parse("bad.conf", small+line+"\n", 0)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "bad.conf:") {
			t.Errorf("%s: %v", line, err)
		}
	}
}

// TestProcessFaults: each thing that can be done to a process does what it says.
func TestProcessFaults(t *testing.T) {
	t.Parallel()
	ctx := minute(t)
	f := start(t, ctx, strings.Replace(small, "gatherers 4", "gatherers 1", 1), Terms{State: true})
	g := f.Gatherers[0]
	alive := func(want bool, what string) {
		t.Helper()
		if got := g.answers(); got != want {
			t.Errorf("%s: answers %t", what, got)
		}
	}
	alive(true, "started")
	p := g.Process()
	if err := p.Stop(ctx); err != nil {
		t.Fatal(err)
	}
	if process.State(p.PID()) != 'T' || !p.Alive() {
		t.Errorf("stopped: state %c", process.State(p.PID()))
	}
	resp, err := (&http.Client{Timeout: 200 * time.Millisecond}).Get("http://" + g.Address + "/-/healthy")
	if err == nil {
		resp.Body.Close()
		t.Error("a stopped process answers")
	}
	if err := p.Continue(); err != nil {
		t.Fatal(err)
	}
	if err := process.WaitUntil(ctx, "it goes on", g.answers); err != nil {
		t.Fatal(err)
	}
	// A state folder that refuses writes: a once-only lookup whose call can't be written down is not sent.
	once := func(name string) int { return ask(t, g, "once", name) }
	if status := once("first"); status != http.StatusOK {
		t.Errorf("before: %d", status)
	}
	if err := p.RefuseWrites(true); err != nil {
		t.Fatal(err)
	}
	if status := once("second"); status == http.StatusOK {
		t.Errorf("answered though nothing could be written down: %s", p.Log())
	}
	if err := p.RefuseWrites(false); err != nil {
		t.Fatal(err)
	}
	// SIGKILL and starts with the state as it was, as it was at the last start, torn, and gone.
	if status := once("third"); status == http.StatusOK { // the journal is given up until the next start
		t.Error("answered after a failed write")
	}
	for _, c := range []struct{ state, want string }{{"kept", "names=1"}, {"stale", "names=1"}, {"torn", "recovery incomplete"}, {"gone", "names=0"}} {
		g.Kill()
		alive(false, "killed")
		if err := g.Age(c.state); err != nil {
			t.Fatal(err)
		}
		if err := g.Start(ctx); err != nil {
			t.Fatal(err)
		}
		if log := g.Process().Log(); !strings.Contains(log, c.want) {
			t.Errorf("%s: %s", c.state, log)
		}
		if c.state == "kept" && once("first") != http.StatusGatewayTimeout {
			t.Error("a name that ran before the kill runs again")
		}
	}
	// A port that is taken ends the start with an error that names it.
	g.Kill()
	if err := g.Occupy(); err != nil {
		t.Fatal(err)
	}
	q, err := g.Launch()
	if err != nil {
		t.Fatal(err)
	}
	q.ExpectExit()
	if err := q.Wait(ctx); err != nil {
		t.Fatal(err)
	}
	if q.Err() == nil || !strings.Contains(q.Log(), g.Address) {
		t.Errorf("%v: %s", q.Err(), q.Log())
	}
	g.Free()
	if err := g.Start(ctx); err != nil {
		t.Fatal(err)
	}
	p = g.Process()
	if err := p.Terminate(ctx); err != nil || p.Err() != nil {
		t.Errorf("%v, %v", err, p.Err())
	}
	if err := f.Faults(); err != nil {
		t.Error(err)
	}
}

// ask asks a gatherer directly, and gives the status.
func ask(t testing.TB, g *Gatherer, index, name string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+g.Address+"/"+index, strings.NewReader(`{"shards":[{"shard":0,"weight":1}],"q":"x"}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-ID", name)
	req.Header.Set("X-Timeout-Ms", "1000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// TestBreakAcrossProcesses: a careless client that asks a second gatherer for what a first may have run makes the
// servers run a once-only operation twice. Neither gatherer breaks a rule, neither trace shows anything; joined they do.
func TestBreakAcrossProcesses(t *testing.T) {
	t.Parallel()
	ctx := minute(t)
	f := start(t, ctx, strings.Replace(small, "gatherers 4", "gatherers 2", 1), Terms{})
	for i, g := range f.Gatherers {
		if status := ask(t, g, "once", fmt.Sprintf("careless-%d", i)); status != http.StatusOK {
			t.Fatalf("%s: %d", g.Name, status)
		}
	}
	f.Close()
	j, err := f.Check()
	if err != nil {
		t.Fatal(err)
	}
	if j.Counts[2] != 1 || len(j.Violations) != 1 || !strings.Contains(j.Violations[0].Message, "careless-1 of gatherer 2") || !strings.Contains(j.Violations[0].Message, "careless-0 of gatherer 1") {
		t.Errorf("%v %v", j.Counts, j.Violations)
	}
	for _, g := range f.Gatherers {
		file, err := os.Open(g.traces[0].path)
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		if alone, err := rulecheck.Check(file); err != nil || len(alone.Counts) > 0 || alone.Incomplete != "" {
			t.Errorf("%s alone: %v, %+v", g.Name, err, alone)
		}
	}
}

// TestNoneOutlives: processes end with the one that started them, also where that is killed and can end nothing.
func TestNoneOutlives(t *testing.T) {
	if os.Getenv("PROCESSES_PARENT") != "" { // this is the one that is killed
		p, err := process.Start("sleeper", "sleep", []string{"1000"}, nil)
		if err != nil {
			t.Fatal(err)
		}
		os.WriteFile(os.Getenv("PROCESSES_PARENT"), []byte(fmt.Sprint(p.PID())), 0o644)
		time.Sleep(time.Minute)
		return
	}
	file := filepath.Join(t.TempDir(), "pid")
	parent := exec.Command(os.Args[0], "-test.run=TestNoneOutlives")
	parent.Env = append(os.Environ(), "PROCESSES_PARENT="+file)
	if err := parent.Start(); err != nil {
		t.Fatal(err)
	}
	var pid string
	err := process.WaitUntil(soon(t), "the child has started", func() bool {
		text, _ := os.ReadFile(file)
		pid = string(text)
		return pid != ""
	})
	parent.Process.Kill()
	parent.Wait()
	if err != nil {
		t.Fatal(err)
	}
	gone := func() bool {
		text, err := os.ReadFile(filepath.Join("/proc", pid, "stat"))
		return err != nil || strings.Contains(string(text), ") Z ")
	}
	if err := process.WaitUntil(soon(t), "the child has ended", gone); err != nil {
		t.Fatal(err)
	}
}
