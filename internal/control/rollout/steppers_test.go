package rollout_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yokeroute/internal/control/rollout"
	"yokeroute/internal/process"
	"yokeroute/internal/testbed/processtest"
	logic "yokeroute/logic/rollout"
)

// TestRestartedGathererAvoidsServerKnownToDrain checks that a gatherer sends nothing to a server that its previous
// process knew to be draining, although the new process starts with an older endpoint list and can't reach discovery.
func TestRestartedGathererAvoidsServerKnownToDrain(t *testing.T) {
	t.Parallel()
	s := startFixture(t, 2, 20, "")
	g := s.fleet.Gatherers[0]
	drainRecorded := func() bool {
		text, err := os.ReadFile(filepath.Join(g.StateFolder(), "handover"))
		return err == nil && strings.Contains(string(text), `"s1"`)
	}
	s.fleet.SetPhase("terminating", "s1")
	if err := process.WaitUntil(s.ctx, "the drain is recorded in the state folder", drainRecorded); err != nil {
		t.Fatal(err)
	}
	s.stopLoad()
	members, err := json.Marshal(s.fleet.Members(g))
	if err != nil {
		t.Fatal(err)
	}
	g.Known = `{"revision":1,"complete":true,"members":` + strings.ReplaceAll(string(members), "terminating", "in_service") + `}`
	link := s.fleet.Link(g.Name + ":discovery")
	if err := link.Cut(true); err != nil {
		t.Fatal(err)
	}
	if err := g.Process().Terminate(s.ctx); err != nil {
		t.Fatal(err)
	}
	if err := g.Start(s.ctx); err != nil {
		t.Fatal(err)
	}
	otherRequests := func() int { return s.fleet.Servers["s3"].Counts().Requests + s.fleet.Servers["s5"].Counts().Requests }
	drainedBefore, otherBefore := s.fleet.Servers["s1"].Counts().Requests, otherRequests()
	for i := range 30 {
		s.postQuery(g, fmt.Sprint("drained-", i))
	}
	if n := s.fleet.Servers["s1"].Counts().Requests - drainedBefore; n > 0 || otherRequests() == otherBefore {
		t.Errorf("%d shard requests went to a server known to drain, want 0; other servers got %d: %s", n, otherRequests()-otherBefore, g.Process().Log())
	}
}

// newConnTimeout is the time after which a gatherer closes a new connection that carries no request.
const newConnTimeout = 1800 * time.Millisecond

// postQuery sends a query to a gatherer on a new connection. If this process, short of processor time, writes the
// request later than newConnTimeout after connecting, the gatherer may already have closed the connection; the query
// is sent again then, as clients do.
func (s *fixture) postQuery(g *processtest.Gatherer, id string) {
	s.Helper()
	for {
		var connecting, written atomic.Pointer[time.Time]
		setNow := func(at *atomic.Pointer[time.Time]) {
			now := time.Now()
			at.Store(&now)
		}
		ctx := httptrace.WithClientTrace(s.ctx, &httptrace.ClientTrace{
			ConnectStart: func(_, _ string) { setNow(&connecting) },
			WroteRequest: func(httptrace.WroteRequestInfo) { setNow(&written) },
		})
		body := strings.NewReader(`{"shards":[{"shard":0,"weight":1}],"q":"x"}`)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Address+"/any", body)
		if err != nil {
			s.Fatal(err)
		}
		req.Close = true
		req.Header.Set("X-Request-ID", id)
		req.Header.Set("X-Timeout-Ms", "1000")
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			return
		}
		if connecting.Load() == nil {
			s.Fatalf("%s: %v", id, err)
		}
		if written.Load() == nil { // the request failed before it was written
			setNow(&written)
		}
		delay := written.Load().Sub(*connecting.Load())
		if delay < newConnTimeout {
			s.Fatalf("%s, written %v after connecting: %v; the gatherer's failure: %v; its log: %s",
				id, delay, err, g.Process().Failure(), g.Process().Log())
		}
		s.Logf("%s, written %v after connecting: %v", id, delay, err)
	}
}

// TestBuiltInStepperRestartsAndReloads checks that the built-in stepper changes processes that it has not started
// itself from one program to another, and then, by SIGHUP alone, from one operator's file to another. A faulty
// operator's file has to fail the rollout before the first gatherer is changed.
func TestBuiltInStepperRestartsAndReloads(t *testing.T) {
	t.Parallel()
	s := startFixture(t, 4, 60, "")
	sweep, err := processtest.Sweep(s.folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sweep)
	lines := ""
	write := func(name, text string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(s.folder, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for _, g := range s.fleet.Gatherers {
		operatorText, err := os.ReadFile(g.OperatorFile())
		if err != nil {
			t.Fatal(err)
		}
		// The first line, added by the testbed, is removed: it names the trace, a pipe of the testbed's process.
		text := string(operatorText[strings.IndexByte(string(operatorText), '\n')+1:])
		text = strings.Replace(text, "state in state", "state in "+g.StateFolder(), 1)
		write(g.Name+"-old.conf", string(operatorText))
		write(g.Name+"-new.conf", text)
		write(g.Name+"-newest.conf", text+"\ntrace keep 50\n")
		write(g.Name+"-faulty.conf", text+"\ntrace keep many\n")
		lines += fmt.Sprintf("gatherer %s zone %s report %s config %q operator %q\n",
			g.Name, g.Hall, g.Reports, g.ConfigFile(), g.OperatorFile())
		g.Process().ExpectExit()
	}
	plan := func(name, sides string) string {
		stages := strings.NewReplacer("old version 1\n", "", "new version 2\n", "").Replace(programStages)
		write(name+".conf", fmt.Sprintf("rollout %s in %s every 250ms\n%s%s%s", name, name, lines, sides, stages))
		return filepath.Join(s.folder, name+".conf")
	}
	run := func(name, sides string, want int) (*process.Process, rollout.Status) {
		t.Helper()
		c := s.startController("run", plan(name, sides), "--output", "json")
		code, last := s.waitExit(c)
		if code != want {
			t.Fatalf("%s: exit status %d: %s", name, code, c.Log())
		}
		return c, last
	}
	sides := func(newOperator string) string {
		return fmt.Sprintf("old operator \"{name}-old.conf\" program %q\nnew operator %q program %q\n",
			s.oldProgram, newOperator, s.newProgram)
	}
	c, _ := run("faulty", sides("{name}-faulty.conf"), 2)
	if !strings.Contains(c.Log(), `g1-faulty.conf`) || !strings.Contains(c.Log(), `"many"`) {
		t.Errorf("the error does not name the faulty file and value: %s", c.Log())
	}
	if _, last := run("programs", sides("{name}-new.conf"), 0); last.Phase != logic.Completed {
		t.Errorf("change of the program: got %+v, want it completed", last)
	}
	if v := s.countVersions(); v["2"] != 4 {
		t.Errorf("gatherers by version: %v, want 4 of version 2", v)
	}
	c, last := run("settings", "runner hangup\nold operator \"{name}-new.conf\"\nnew operator \"{name}-newest.conf\"\n", 0)
	if last.Phase != logic.Completed || s.countVersions()["2"] != 4 {
		t.Errorf("change of the settings: got %+v, want it completed with 4 gatherers of version 2: %s", last, c.Log())
	}
	s.stopLoad()
}
