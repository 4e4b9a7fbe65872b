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

// TestDrainsAreHandedOverToTheNextProcess: a server that one process has heard to drain gets nothing from its
// successor, which was told an old list and can't reach discovery.
func TestDrainsAreHandedOverToTheNextProcess(t *testing.T) {
	t.Parallel()
	s := startScene(t, 2, 20, "")
	g := s.fleet.Gatherers[0]
	heard := func() bool {
		text, err := os.ReadFile(filepath.Join(g.StateFolder(), "handover"))
		return err == nil && strings.Contains(string(text), `"s1"`)
	}
	s.fleet.SetPhase("terminating", "s1")
	if err := process.WaitUntil(s.ctx, "the drain is written down", heard); err != nil {
		t.Fatal(err)
	}
	s.stop()
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
	others := func() int { return s.fleet.Servers["s3"].Counts().Requests + s.fleet.Servers["s5"].Counts().Requests }
	before, other := s.fleet.Servers["s1"].Counts().Requests, others()
	for i := range 30 {
		s.postQuery(g, fmt.Sprint("drained-", i))
	}
	if n := s.fleet.Servers["s1"].Counts().Requests - before; n > 0 || others() == other {
		t.Errorf("%d parts went to a server that was heard to drain; others got %d: %s", n, others()-other, g.Process().Log())
	}
}

// silentTimeout is how long a gatherer keeps a new connection that carries nothing.
const silentTimeout = 1800 * time.Millisecond

// postQuery sends a gatherer a query on a connection of its own. The gatherer may close the connection where this
// process, short of processor time, writes the request later than silentTimeout: it is sent once more then, as clients
// do.
func (s *scene) postQuery(g *processtest.Gatherer, id string) {
	s.Helper()
	for {
		var connecting, written atomic.Pointer[time.Time]
		note := func(at *atomic.Pointer[time.Time]) {
			now := time.Now()
			at.Store(&now)
		}
		ctx := httptrace.WithClientTrace(s.ctx, &httptrace.ClientTrace{
			ConnectStart: func(_, _ string) { note(&connecting) },
			WroteRequest: func(httptrace.WroteRequestInfo) { note(&written) },
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
		if written.Load() == nil { // the error came first
			note(&written)
		}
		delay := written.Load().Sub(*connecting.Load())
		if delay < silentTimeout {
			s.Fatalf("%s, written %v after connecting: %v; the gatherer's failure: %v; its log: %s",
				id, delay, err, g.Process().Failure(), g.Process().Log())
		}
		s.Logf("%s, written %v after connecting: %v", id, delay, err)
	}
}

// TestBuiltInStepperRestartsAndReloads: the built-in runner takes processes that others have started from one program
// to another, and then, by SIGHUP alone, from one operator's file to another; a faulty file stops the rollout before
// the first gatherer.
func TestBuiltInStepperRestartsAndReloads(t *testing.T) {
	t.Parallel()
	s := startScene(t, 4, 60, "")
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
		was, err := os.ReadFile(g.OperatorFile())
		if err != nil {
			t.Fatal(err)
		}
		// What the rig has put in alone goes: the record is a pipe of its own.
		text := string(was[strings.IndexByte(string(was), '\n')+1:])
		text = strings.Replace(text, "state in state", "state in "+g.StateFolder(), 1)
		write(g.Name+"-old.conf", string(was))
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
		code, last := s.waitEnd(c)
		if code != want {
			t.Fatalf("%s: status %d: %s", name, code, c.Log())
		}
		return c, last
	}
	sides := func(newOperator string) string {
		return fmt.Sprintf("old operator \"{name}-old.conf\" program %q\nnew operator %q program %q\n",
			s.oldProgram, newOperator, s.newProgram)
	}
	c, _ := run("faulty", sides("{name}-faulty.conf"), 2)
	if !strings.Contains(c.Log(), `g1-faulty.conf`) || !strings.Contains(c.Log(), `"many"`) {
		t.Errorf("%s", c.Log())
	}
	if _, last := run("programs", sides("{name}-new.conf"), 0); last.Phase != logic.Completed {
		t.Errorf("%+v", last)
	}
	if v := s.countVersions(); v["2"] != 4 {
		t.Errorf("serving: %v", v)
	}
	c, last := run("settings", "runner hangup\nold operator \"{name}-new.conf\"\nnew operator \"{name}-newest.conf\"\n", 0)
	if last.Phase != logic.Completed || s.countVersions()["2"] != 4 {
		t.Errorf("%+v: %s", last, c.Log())
	}
	s.stop()
}
