package rollout_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"yokeroute/internal/control/rollout"
	"yokeroute/internal/gatherer/report"
	"yokeroute/internal/process"
	"yokeroute/internal/rulecheck"
	"yokeroute/internal/testbed/processtest"
	logic "yokeroute/logic/rollout"
)

func TestMain(m *testing.M) {
	if len(os.Args) == 6 && os.Args[1] == "order" { // this is a plan's command
		os.Exit(processtest.Order(os.Args[2], os.Args[3], os.Args[4], os.Args[5]))
	}
	status := m.Run()
	processtest.Unbuild()
	os.Exit(status)
}

// scene is a fleet of processes, the versions it may serve, and a plan.
type scene struct {
	*testing.T
	f        *processtest.Fleet
	steps    *processtest.Steps
	folder   string
	old, new string // programs
	newFile  string // text of the new operator's file; the old one has none of it
	ctx      context.Context
	tear     atomic.Pointer[func(s processtest.Step) error] // before a step
	stop     func()
	n        int
	making   sync.Map               // locks by gatherer
	newer    atomic.Pointer[string] // the program that is new, where it is not that of the controller
}

const fleetText = `hall north
hall south
kind box cores 4 queue 100
layout sets 2 shards 12
servers 6 kind box
index any share 65% parts 4 need 75% work 6ms spread 0.5 soft 500ms hard 1.5s
index once share 30% parts 2 work 6ms soft 500ms hard 1.5s late 0% effect once-only
index rare share 5% parts 2 work 6ms soft 500ms hard 1.5s
clients retries 2 wait 50ms notice 300ms rate %d/s
discovery lag 100ms
budget free 6 share 5%% in 1s
cold from 20%% warms 5s falls 3 in 2s
time length 10min warm-up 0s
gatherers %d
`

// begin starts a fleet of so many gatherers under load. Where a step to the new is ordered, the gatherer is ended as in
// a planned restart and started as the new program, with the new operator's text.
func begin(t *testing.T, gatherers, rate int, newFile string) *scene {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Second)
	t.Cleanup(cancel)
	s := &scene{T: t, folder: t.TempDir(), newFile: newFile, ctx: ctx}
	var err error
	if s.old, err = processtest.Build("yokeroute", "yokeroute/internal/version.Set=1"); err == nil {
		s.new, err = processtest.Build("yokeroute", "yokeroute/internal/version.Set=2")
	}
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("5%", "5%%", "65%", "65%%", "75%", "75%%", "30%", "30%%").Replace(strings.ReplaceAll(fleetText, "%%", "%"))
	text = fmt.Sprintf(strings.NewReplacer("0% ", "0%% ", "20% ", "20%% ").Replace(text), rate, gatherers)
	sc, err := processtest.Parse(t.Name(), text, 0)
	if err != nil {
		t.Fatal(err)
	}
	if s.f, err = processtest.StartFleet(ctx, sc, processtest.Terms{Binary: s.old, Folder: filepath.Join(s.folder, "fleet"), State: true, Report: true}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.f.Close)
	if s.steps, err = s.f.TakeSteps(s.step); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.steps.Close)
	s.stop = s.f.Load(ctx)
	t.Cleanup(s.stop)
	return s
}

func (s *scene) step(ctx context.Context, order processtest.Step) error {
	if tear := s.tear.Load(); tear != nil {
		if err := (*tear)(order); err != nil {
			return err
		}
	}
	g := s.f.Gatherer(order.Gatherer)
	one, _ := s.making.LoadOrStore(g.Name, &sync.Mutex{})
	if !one.(*sync.Mutex).TryLock() {
		s.Errorf("two steps of %s at once", g.Name)
		return fmt.Errorf("another step is under way")
	}
	defer one.(*sync.Mutex).Unlock()
	ctx = context.WithoutCancel(ctx)
	if p := g.Process(); p.Alive() {
		if err := p.Terminate(ctx); err != nil {
			return err
		}
	}
	g.Binary, g.Operator = s.old, ""
	if order.To == "new" {
		g.Binary, g.Operator = s.new, s.newFile
		if newer := s.newer.Load(); newer != nil {
			g.Binary = *newer
		}
	}
	if s.newer.Load() != nil {
		return g.StartFrail(s.ctx)
	}
	return g.Start(s.ctx)
}

// plan writes a plan whose steps go to the rig; its gatherers are reached over links.
func (s *scene) plan(name, more string) string {
	s.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "rollout %s in %s every 250ms\n", name, filepath.Join(s.folder, name))
	for _, g := range s.f.Gatherers {
		k, err := s.f.ReportLink(g)
		if err != nil {
			s.Fatal(err)
		}
		fmt.Fprintf(&b, "gatherer %s zone %s report %s\n", g.Name, g.Hall, k.Address())
	}
	for kind, to := range map[string]string{"step-new": "new", "step-old": "old"} {
		fmt.Fprintf(&b, "%s %q order %q \"{name}\" %s \"{fence}\" limit 100s\n", kind, os.Args[0], s.steps.URL(), to)
	}
	b.WriteString(more)
	file := filepath.Join(s.folder, name+".conf")
	if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
		s.Fatal(err)
	}
	return file
}

// programs tells old from new by version, with stages and times for a test. No index is judged unless a test says so:
// a few lookups a second beside other tests tell too little within its time.
const programs = `old version 1
new version 2
stage one count 1 least 1s
stage some share 34% least 1s
stage all share 100% least 1s
out 2 zone 1
watch baseline 2s fresh 300ms settle 90s
limit 250s then back rough 240s
harm 20% fresh 90% cost 100%
evidence 10 judged 100%
seed 3
`

// control starts a controller.
func (s *scene) control(args ...string) *process.Process {
	s.Helper()
	s.n++
	p, err := process.Start(fmt.Sprint("controller.", s.n), s.new, append([]string{"rollout"}, args...), nil)
	if err != nil {
		s.Fatal(err)
	}
	p.ExpectExit()
	s.Cleanup(func() {
		p.Signal(syscall.SIGCONT)
		p.Kill()
	})
	return p
}

// until waits for something that a controller is to bring about.
func (s *scene) until(c *process.Process, what string, holds func() bool) {
	s.Helper()
	if err := process.WaitUntil(s.ctx, what, func() bool { return holds() || !c.Alive() }); err != nil {
		s.Fatal(err, c.Log())
	}
	if !c.Alive() && !holds() {
		s.Fatalf("%s: the controller has ended with %d: %s", what, status(c), c.Log())
	}
}

// ended waits for a controller's end and gives its status, and what it printed last.
func (s *scene) ended(c *process.Process) (code int, last rollout.Status) {
	s.Helper()
	if err := c.Wait(s.ctx); err != nil {
		s.Fatal(err, c.Log())
	}
	if at := strings.LastIndex(c.Log(), `{"rollout"`); at >= 0 {
		if err := json.Unmarshal([]byte(c.Log()[at:]), &last); err != nil {
			s.Fatal(err, c.Log())
		}
	}
	return status(c), last
}

func status(p *process.Process) int {
	if err, is := p.Err().(interface{ ExitCode() int }); is {
		return err.ExitCode()
	}
	return 0
}

// serving counts the gatherers that tell each version.
func (s *scene) serving() map[string]int {
	s.Helper()
	versions := map[string]int{}
	for _, g := range s.f.Gatherers {
		resp, err := http.Get("http://" + g.Reports + report.ReportPath)
		if err != nil {
			versions["none"]++
			continue
		}
		d, err := report.Read(resp.Body)
		resp.Body.Close()
		if err != nil {
			s.Fatal(err)
		}
		versions[d.Version]++
	}
	return versions
}

// end ends the load and the fleet, and checks that all processes together kept the rules.
func (s *scene) end() *rulecheck.Joint {
	s.Helper()
	s.stop()
	j, err := s.f.Verdict()
	if j == nil {
		s.Fatal(err)
	} else if err != nil {
		s.Error(err)
	}
	return j
}

// TestGoodRollout: twelve processes go from one program to another in stages under load, while a hall's servers slow
// down, a gatherer is killed and another can't be reached. It ends with all new; no more are out by its doing than
// allowed; no once-only lookup ran twice through any of the replacements.
func TestGoodRollout(t *testing.T) {
	s := begin(t, 12, 150, "")
	file := s.plan("good", programs)
	c := s.control("run", file, "--output", "json")
	folder := filepath.Join(s.folder, "good")
	s.until(c, "the second stage begins", func() bool {
		st, err := rollout.ReadStatus(folder)
		return err == nil && st.Phase == logic.Updating && st.Stage == "some"
	})
	// In the midst of a stage: troubles of the fleet's own.
	for _, name := range []string{"s1", "s4"} {
		s.f.Servers[name].Slow(6)
	}
	g := s.f.Gatherers[11]
	link, err := s.f.ReportLink(s.f.Gatherers[7])
	if err != nil {
		t.Fatal(err)
	}
	link.Change(func(w *processtest.Weather) { w.Silent = [2]bool{true, true} })
	if p := g.Process(); p.Alive() && g.Serves() {
		p.Kill()
		if err := g.Start(s.ctx); err != nil && g.Process().Alive() {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"s1", "s4"} {
		s.f.Servers[name].Slow(1)
	}
	if err := link.Mend(); err != nil {
		t.Fatal(err)
	}
	if code, st := s.ended(c); code != 0 || st.Phase != logic.Completed {
		t.Fatalf("status %d, %s: %s", code, st.Phase, c.Log())
	}
	if v := s.serving(); v["2"] != 12 {
		t.Errorf("serving: %v", v)
	}
	if _, most := s.steps.All(); most > 2 {
		t.Errorf("%d gatherers were out at once", most)
	}
	page, err := rollout.HTMLReport(folder)
	if err != nil || !strings.Contains(string(page), "<svg") || !strings.Contains(string(page), "making g") {
		t.Errorf("%v: %.300s", err, page)
	}
	if j := s.end(); j.Lookups < 500 || j.Finals[rulecheck.Answered] < 400 {
		t.Errorf("%d lookups, %v", j.Lookups, j.Finals)
	}
}

// harmful is an operator's file by which a gatherer does worse: it looks for the owners of keys that nobody has, so that
// its lookups find none and are nacked. The platform's settings stay as they are.
const harmful = "segments from 127.0.0.1:1\n"

// settingsOnly tells old from new by the operator's file alone: both are the same program. Files differ by gatherer only in
// what the rig puts there, so that each gatherer's own are named.
func (s *scene) settingsOnly(more string) string {
	s.Helper()
	for _, g := range s.f.Gatherers {
		for side, text := range map[string]string{"old": "", "new": s.newFile} {
			g.Operator = text
			if err := g.WriteFiles(); err != nil {
				s.Fatal(err)
			}
			written, err := os.ReadFile(g.OperatorFile())
			if err != nil {
				s.Fatal(err)
			}
			if err := os.WriteFile(filepath.Join(s.folder, g.Name+"-"+side+".conf"), written, 0o644); err != nil {
				s.Fatal(err)
			}
		}
		g.Operator = ""
		if err := g.WriteFiles(); err != nil {
			s.Fatal(err)
		}
	}
	return strings.NewReplacer("old version 1", `old operator "{name}-old.conf"`, "new version 2", `new operator "{name}-new.conf"`).Replace(programs) + more
}

// TestBadRollout: new settings that harm are found at the first stage or the second, and all gatherers are made old
// again, though one of the new can't be reached while it goes back and another is killed. Few lookups were harmed.
func TestBadRollout(t *testing.T) {
	s := begin(t, 8, 150, harmful)
	s.new = s.old // settings alone
	file := s.plan("bad", strings.Replace(s.settingsOnly(""), "judged 100%", "judged 10%", 1))
	c := s.control("run", file, "--output", "json")
	folder := filepath.Join(s.folder, "bad")
	s.until(c, "it goes back", func() bool {
		st, err := rollout.ReadStatus(folder)
		return err == nil && st.Phase == logic.RollingBack
	})
	st, err := rollout.ReadStatus(folder)
	if err != nil {
		t.Fatal(err)
	}
	var news []string
	for _, g := range st.Gatherers {
		if g.Variant == "new" {
			news = append(news, g.Name)
		}
	}
	if len(news) > 3 || !strings.Contains(st.Reason, "than the old") {
		t.Errorf("found at %v: %s", news, st.Reason)
	}
	if len(news) > 0 { // a second fault while it goes back
		g := s.f.Gatherer(news[0])
		link, err := s.f.ReportLink(g)
		if err != nil {
			t.Fatal(err)
		}
		if err := link.Cut(true); err != nil {
			t.Fatal(err)
		}
		s.until(c, "it is seen that one can't be reached", func() bool {
			st, err := rollout.ReadStatus(folder)
			if err != nil {
				return false
			}
			for _, one := range st.Gatherers {
				if one.Name == g.Name && one.Fault != "" {
					return true
				}
			}
			return st.Phase == logic.RolledBack // its step was made before the cut
		})
		if err := link.Mend(); err != nil {
			t.Fatal(err)
		}
	}
	code, last := s.ended(c)
	if code != 1 || last.Phase != logic.RolledBack {
		t.Fatalf("status %d, %s: %s", code, last.Phase, c.Log())
	}
	for _, g := range last.Gatherers {
		if g.Variant != "old" {
			t.Errorf("%s serves as %s", g.Name, g.Variant)
		}
	}
	s.end()
}

// TestWorsePrograms: a new program that comes up well and dies again and again, and one that takes more and more memory,
// are found while few gatherers have them, and all are made old again. A platform's supervisor starts what has died.
func TestWorsePrograms(t *testing.T) {
	t.Parallel()
	for fault, words := range map[string]string{"dies": "processes end by themselves more often", "leaks": "takes more memory"} {
		worse, err := processtest.BuildWorse(fault, "2", true)
		if err != nil {
			t.Fatal(err)
		}
		s := begin(t, 6, 60, "")
		s.newer.Store(&worse)
		watched, enough := context.WithCancel(s.ctx)
		var supervisors sync.WaitGroup
		for _, g := range s.f.Gatherers {
			supervisors.Go(func() { s.supervise(watched, g) })
		}
		// Memory takes its time to show.
		file := s.plan(fault, strings.NewReplacer("stage one count 1 least 1s", "stage one count 1 least 30s", "cost 100%", "cost 50%").Replace(programs))
		c := s.control("run", file, "--output", "json")
		code, last := s.ended(c)
		enough()
		supervisors.Wait()
		if code != 1 || last.Phase != logic.RolledBack || !strings.Contains(last.Reason, words) {
			t.Errorf("%s: status %d, %s: %s; %s", fault, code, last.Phase, last.Reason, c.Log())
		}
		if v := s.serving(); v["2"] > 0 {
			t.Errorf("%s: serving: %v", fault, v)
		}
		s.end()
	}
}

// supervise starts a gatherer again where it has died by itself as the new program.
func (s *scene) supervise(ctx context.Context, g *processtest.Gatherer) {
	for ctx.Err() == nil {
		p := g.Process()
		select {
		case <-ctx.Done():
			return
		case <-p.Exited():
		}
		one, _ := s.making.LoadOrStore(g.Name, &sync.Mutex{})
		one.(*sync.Mutex).Lock() // a step that has ended it starts its successor itself
		if g.Process() == p && ctx.Err() == nil {
			if g.StartFrail(ctx) != nil && g.Process().Alive() && ctx.Err() == nil {
				s.Errorf("%s does not come up again", g.Name)
			}
		}
		one.(*sync.Mutex).Unlock()
	}
}

// TestControllerKilled: the process that carries a rollout out is killed before each step and after it, again and
// again; each time another goes on. Nothing is left out, and nothing is done twice but steps of whose end nothing was
// known.
func TestControllerKilled(t *testing.T) {
	t.Parallel()
	s := begin(t, 4, 40, "")
	file := s.plan("killed", programs)
	var mu sync.Mutex
	var c *process.Process
	orders, kills := map[string]int{}, 0
	tear := func(order processtest.Step) error {
		mu.Lock()
		defer mu.Unlock()
		orders[order.Gatherer]++
		if order.To == "new" && kills < 6 && c != nil && c.Alive() { // once before each step, and once while it is made
			kills++
			c.Kill()
			if kills%2 == 0 {
				return fmt.Errorf("killed before it was done")
			}
		}
		return nil
	}
	s.tear.Store(&tear)
	for range 12 {
		mu.Lock()
		c = s.control("run", file, "--output", "json")
		now := c
		mu.Unlock()
		code, last := s.ended(now)
		if code == 0 && last.Phase == logic.Completed {
			if kills < 6 {
				t.Errorf("killed %d times", kills)
			}
			if v := s.serving(); v["2"] != 4 {
				t.Errorf("serving: %v", v)
			}
			total := 0
			for _, n := range orders {
				total += n
			}
			if len(orders) != 4 || total > 4+kills {
				t.Errorf("steps by gatherer: %v, %d kills", orders, kills)
			}
			s.end()
			return
		}
		if code > 0 {
			t.Fatalf("status %d: %s", code, now.Log())
		}
	}
	t.Fatalf("not ended after 12 controllers: %v", orders)
}

// TestSecondController: while one controller carries a rollout out, a second one is refused and names it; where the
// first was stopped and the second takes over, the first does nothing any more when it goes on. A rollout of another
// folder over the same gatherers is refused as well.
func TestSecondController(t *testing.T) {
	t.Parallel()
	s := begin(t, 4, 40, "")
	file := s.plan("one", programs)
	first := s.control("run", file, "--output", "json")
	s.until(first, "it has begun", func() bool {
		st, err := rollout.ReadStatus(filepath.Join(s.folder, "one"))
		return err == nil && len(st.Gatherers) == 4 && st.Gatherers[3].LastReportAt > 0
	})
	second := s.control("run", file)
	if code, _ := s.ended(second); code != 2 || !strings.Contains(second.Log(), fmt.Sprint("process ", first.PID())) {
		t.Errorf("status %d: %s", code, second.Log())
	}
	other := s.control("run", s.plan("other", programs))
	if code, _ := s.ended(other); code != 2 || !strings.Contains(other.Log(), "is being changed by another run: one in ") {
		t.Errorf("status %d: %s", code, other.Log())
	}
	if err := first.Stop(s.ctx); err != nil {
		t.Fatal(err)
	}
	third := s.control("run", file, "--take-over", "--output", "json")
	s.until(third, "the third has begun", func() bool {
		st, err := rollout.ReadStatus(filepath.Join(s.folder, "one"))
		return err == nil && st.PID == third.PID()
	})
	if err := first.Continue(); err != nil {
		t.Fatal(err)
	}
	if code, _ := s.ended(first); code != 2 || !strings.Contains(first.Log(), "another controller has taken this over") {
		t.Errorf("the first: status %d: %s", code, first.Log())
	}
	if code, last := s.ended(third); code != 0 || last.Phase != logic.Completed {
		t.Errorf("the third: status %d: %s", code, third.Log())
	}
	steps, most := s.steps.All()
	seen := map[string]int{}
	for _, one := range steps {
		if one.To == "new" {
			seen[one.Gatherer]++
		}
	}
	if len(seen) != 4 || len(steps) > 5 || most > 2 { // one that the first had begun may be made again
		t.Errorf("%v, %d at once", steps, most)
	}
	s.end()
}

// TestOperatorsWords: stop holds a rollout where it is, also when its controller is started again; resume goes on; back
// makes all old again.
func TestOperatorsWords(t *testing.T) {
	t.Parallel()
	s := begin(t, 4, 100, "")
	file := s.plan("words", strings.Replace(programs, "stage some share 34% least 1s", "stage some share 34% least 80s", 1))
	folder := filepath.Join(s.folder, "words")
	first := s.control("run", file, "--output", "json")
	judging := func() bool {
		st, err := rollout.ReadStatus(folder)
		return err == nil && st.Stage == "some" && st.Phase == logic.Evaluating
	}
	s.until(first, "the second stage is watched", judging)
	say := func(word string) {
		t.Helper()
		p := s.control(word, file)
		if code, _ := s.ended(p); code != 0 {
			t.Fatalf("%s: status %d: %s", word, code, p.Log())
		}
	}
	say("stop")
	if code, last := s.ended(first); code != 1 || last.Phase != logic.Stopped {
		t.Errorf("status %d, %+v", code, last)
	}
	if code, last := s.ended(s.control("run", file, "--output", "json")); code != 1 || last.Phase != logic.Stopped || s.serving()["2"] != 2 {
		t.Errorf("status %d, %s, %v", code, last.Phase, s.serving())
	}
	again := s.control("resume", file, "--output", "json")
	s.until(again, "it goes on", judging)
	say("back")
	if code, last := s.ended(again); code != 1 || last.Phase != logic.RolledBack || s.serving()["1"] != 4 {
		t.Errorf("status %d, %s, %v", code, last.Phase, s.serving())
	}
	// A plan that was changed by hand meanwhile is not gone on with.
	text, _ := os.ReadFile(file)
	os.WriteFile(file, append(text, "\n# changed\n"...), 0o644)
	if p := s.control("run", file); true {
		if code, _ := s.ended(p); code != 2 || !strings.Contains(p.Log(), "has changed since this rollout began") {
			t.Errorf("status %d: %s", code, p.Log())
		}
	}
	s.end()
}

// TestNeverUp: a new program that does not come up, one that comes up as the old, and a command that hangs are each
// found at the first gatherers, with no more out than may be.
func TestNeverUp(t *testing.T) {
	t.Parallel()
	s := begin(t, 4, 40, "")
	for name, fails := range map[string]func(order processtest.Step) error{
		"fails":    func(order processtest.Step) error { return fmt.Errorf("no such image") },
		"the same": nil,
	} {
		s.new = s.old
		s.tear.Store(nil)
		if fails != nil {
			tear := func(order processtest.Step) error {
				if order.To == "new" {
					return fails(order)
				}
				return nil
			}
			s.tear.Store(&tear)
		}
		plan := strings.NewReplacer("settle 90s", "settle 4s").Replace(programs)
		c := s.controlBy(s.f.Gatherers[0].Binary, "run", s.plan(strings.ReplaceAll(name, " ", "-"), plan), "--output", "json")
		code, last := s.ended(c)
		if code != 1 || last.Phase != logic.RolledBack || !strings.Contains(last.Reason, "does not come up") {
			t.Errorf("%s: status %d, %s: %s", name, code, last.Phase, last.Reason)
		}
		if v := s.serving(); v["1"] != 4 {
			t.Errorf("%s: serving %v", name, v)
		}
	}
	if _, most := s.steps.All(); most > 2 {
		t.Errorf("%d at once", most)
	}
	s.end()
}

// controlBy starts a controller of a given program.
func (s *scene) controlBy(program string, args ...string) *process.Process {
	s.Helper()
	was := s.new
	s.new = program
	defer func() { s.new = was }()
	return s.control(args...)
}

// TestDrainsHandedOver: a server that one process has heard to drain gets nothing from its successor, which was told an
// old list and can't reach discovery.
func TestDrainsHandedOver(t *testing.T) {
	t.Parallel()
	s := begin(t, 2, 20, "")
	g := s.f.Gatherers[0]
	heard := func() bool {
		text, err := os.ReadFile(filepath.Join(g.StateFolder(), "handover"))
		return err == nil && strings.Contains(string(text), `"s1"`)
	}
	s.f.Tell("terminating", "s1")
	if err := process.WaitUntil(s.ctx, "the drain is written down", heard); err != nil {
		t.Fatal(err)
	}
	s.stop()
	members, err := json.Marshal(s.f.Members(g))
	if err != nil {
		t.Fatal(err)
	}
	g.Known = `{"revision":1,"complete":true,"members":` + strings.ReplaceAll(string(members), "terminating", "in_service") + `}`
	link := s.f.Link(g.Name + ":discovery")
	if err := link.Cut(true); err != nil {
		t.Fatal(err)
	}
	if err := g.Process().Terminate(s.ctx); err != nil {
		t.Fatal(err)
	}
	if err := g.Start(s.ctx); err != nil {
		t.Fatal(err)
	}
	others := func() int { return s.f.Servers["s3"].Counts().Parts + s.f.Servers["s5"].Counts().Parts }
	before, other := s.f.Servers["s1"].Counts().Parts, others()
	for i := range 30 {
		req, _ := http.NewRequest(http.MethodPost, "http://"+g.Address+"/any", strings.NewReader(`{"shards":[{"shard":0,"weight":1}],"q":"x"}`))
		req.Header.Set("X-Request-ID", fmt.Sprint("drained-", i))
		req.Header.Set("X-Timeout-Ms", "1000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	if n := s.f.Servers["s1"].Counts().Parts - before; n > 0 || others() == other {
		t.Errorf("%d parts went to a server that was heard to drain; others got %d: %s", n, others()-other, g.Process().Log())
	}
}

// TestRunner: the built-in runner takes processes that others have started from one program to another, and then, by
// SIGHUP alone, from one operator's file to another; a faulty file stops the rollout before the first gatherer.
func TestRunner(t *testing.T) {
	t.Parallel()
	s := begin(t, 4, 60, "")
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
	for _, g := range s.f.Gatherers {
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
		lines += fmt.Sprintf("gatherer %s zone %s report %s config %q operator %q\n", g.Name, g.Hall, g.Reports, g.ConfigFile(), g.OperatorFile())
		g.Process().ExpectExit()
	}
	plan := func(name, sides string) string {
		stages := strings.NewReplacer("old version 1\n", "", "new version 2\n", "").Replace(programs)
		write(name+".conf", fmt.Sprintf("rollout %s in %s every 250ms\n%s%s%s", name, name, lines, sides, stages))
		return filepath.Join(s.folder, name+".conf")
	}
	run := func(name, sides string, want int) (*process.Process, rollout.Status) {
		t.Helper()
		c := s.control("run", plan(name, sides), "--output", "json")
		code, last := s.ended(c)
		if code != want {
			t.Fatalf("%s: status %d: %s", name, code, c.Log())
		}
		return c, last
	}
	c, _ := run("faulty", fmt.Sprintf("old operator \"{name}-old.conf\" program %q\nnew operator \"{name}-faulty.conf\" program %q\n", s.old, s.new), 2)
	if !strings.Contains(c.Log(), `g1-faulty.conf`) || !strings.Contains(c.Log(), `"many"`) {
		t.Errorf("%s", c.Log())
	}
	if _, last := run("programs", fmt.Sprintf("old operator \"{name}-old.conf\" program %q\nnew operator \"{name}-new.conf\" program %q\n", s.old, s.new), 0); last.Phase != logic.Completed {
		t.Errorf("%+v", last)
	}
	if v := s.serving(); v["2"] != 4 {
		t.Errorf("serving: %v", v)
	}
	c, last := run("settings", "runner hangup\nold operator \"{name}-new.conf\"\nnew operator \"{name}-newest.conf\"\n", 0)
	if last.Phase != logic.Completed || s.serving()["2"] != 4 {
		t.Errorf("%+v: %s", last, c.Log())
	}
	s.stop()
}

// TestPlans: mistakes in a plan are told with their place and the mend, all at once, and nothing is begun.
func TestPlans(t *testing.T) {
	folder := t.TempDir()
	head := "rollout r in r\ngatherer g1 zone north report 127.0.0.1:1\ngatherer g2 zone south report 127.0.0.1:2\ngatherer g3 zone north report 127.0.0.1:3\n"
	tail := "step-new ./x \"{name}\"\nstep-old ./x \"{name}\"\nold version 1\nnew version 2\n"
	stages := "stage one count 1\nstage all share 100%\n"
	for text, want := range map[string]string{
		head + tail: "has no stages",
		head + tail + "stage one count 1\nstage two count 1\n":                        ":10:1: stage two comes to 1 gatherers, the one before it to 1 already",
		head + tail + "stage z zone west\n":                                           ":9:1: stage z: no gatherer is in the zone west",
		head + tail + stages + "out 3\n":                                              ":11:1: 3 gatherers may be out at once, and there are 3",
		head + tail + stages + "limit 10s\n":                                          ":11:1: a stage may last 10000 ms",
		head + tail + stages + "harm 200%\n":                                          `"200%"`,
		head + tail + stages + "harm 40% fresh 30%\n":                                 "less than the 0.400",
		head + tail + stages + "stag x count 2\n":                                     "did you mean stage?",
		head + stages + "step-new ./x\nold version 1\nnew version 2\n":                "step-new and step-old go together",
		head + stages + tail + "runner restart\n":                                     "by the one or the other",
		head + stages + "old version 1\nnew version 2\n":                              "the built-in runner starts programs",
		head + stages + "step-new ./x\nstep-old ./x\nold version 1\nnew version 1\n":  "old and new are the same",
		head + stages + "step-new ./x\nstep-old ./x\nold version 1\nnew operator x\n": "what is told of one has to be told of the other",
		head + "gatherer g1 zone north report 127.0.0.1:9\n" + stages + tail:          ":5:1: gatherer g1 is named twice",
		head + "gatherer g4 zone north report 127.0.0.1:3\n" + stages + tail:          "as g3 does",
		"rollout r in r\n" + stages + tail:                                            "names 0 gatherers",
	} {
		file := filepath.Join(folder, "plan.conf")
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := rollout.ReadPlan(file); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "plan.conf:") {
			t.Errorf("%q: %v", want, err)
		}
	}
	if _, err := os.Stat(filepath.Join(folder, "r")); err == nil {
		t.Error("a folder was begun")
	}
	page := filepath.Join("..", "..", "..", "docs", "operate", "reference-rollout.md")
	if text, err := os.ReadFile(page); err != nil || string(text) != rollout.Reference() {
		t.Errorf("%s is not what yokeroute reference rollout prints: %v", page, err)
	}
	for _, d := range rollout.Directives().Directives {
		if err := (rollout.Directives()).Parse("example", d.Example+"\n"); err != nil {
			t.Errorf("%s: its example does not read: %v", d.Name, err)
		}
	}
}
