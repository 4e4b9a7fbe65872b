package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"yokeroute/internal/testbed/standin"
	"yokeroute/internal/testbed/standin/discoveryserver"
	"yokeroute/internal/testbed/standin/shardserver"
)

func configure(t *testing.T, listen, discovery string) string {
	path := filepath.Join(t.TempDir(), "config.json")
	rewrite(t, path, listen, discovery)
	return path
}

func rewrite(t *testing.T, path, listen, discovery string) {
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","settings":{"tick":5000,
		"classes":[{"name":"find","effect":"pure","goalTime":1000000,"hardLimit":3000000}],
		"domain":{"cells":1,"inARow":1,"shards":4,"partsACall":16},
		"limits":{"cancel":true,"connectTimeout":250000,"idleClose":30000000,"streamsPerConn":100,"attemptsCap":3}}}`, listen, discovery)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func execute(t *testing.T, args ...string) (string, error) {
	var out bytes.Buffer
	cmd := command()
	cmd.SetArgs(args)
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	err := cmd.ExecuteContext(t.Context())
	return out.String(), err
}

func TestCommands(t *testing.T) {
	if out, err := execute(t, "version"); err != nil || !strings.HasPrefix(out, "yokeroute ") {
		t.Errorf("%q, %v", out, err)
	}
	good := configure(t, "127.0.0.1:8000", "127.0.0.1:8500")
	if out, err := execute(t, "check-config", "--config", good); err != nil || !strings.Contains(out, "127.0.0.1:8000") {
		t.Errorf("%q, %v", out, err)
	}
	if _, err := execute(t, "check-config", "--config", configure(t, "here", "127.0.0.1:8500")); err == nil ||
		!strings.Contains(err.Error(), "listen: ") {
		t.Errorf("error %v", err)
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	if _, err := execute(t, "serve", "--config", configure(t, taken.Addr().String(), "127.0.0.1:8500")); err == nil ||
		!strings.Contains(err.Error(), "listen: ") {
		t.Errorf("an address in use: %v", err)
	}
	if _, err := execute(t, "serve", "--config", good, "--log-level", "loud"); err == nil || !strings.Contains(err.Error(), "log-level") {
		t.Errorf("a level that is none: %v", err)
	}
}

// newAgent is a discovery that lists one server and has no news of it. Once a watch is told of, the list has
// been taken.
func newAgent(t *testing.T, shard *standin.Shard) (address string, watched chan bool) {
	watched = make(chan bool, 100)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			watched <- true
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"revision":1,"complete":true,"members":[{"id":"s-1","host_port":%q,"cell":0,"phase":"in_service"}]}`, shard.Address())
	}))
	t.Cleanup(agent.Close)
	return strings.TrimPrefix(agent.URL, "http://"), watched
}

// TestPlanCommands goes from the worked example to a plan, looks at it, and wants a clear no told from bad input.
func TestPlanCommands(t *testing.T) {
	example := filepath.Join("..", "..", "examples", "placement", "farm.conf")
	dir := t.TempDir()
	plan, next, full := filepath.Join(dir, "plan.conf"), filepath.Join(dir, "next.conf"), filepath.Join(dir, "full.conf")
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	put := func(name, old, new string) {
		os.WriteFile(name, []byte(strings.Replace(string(text), old, new, 1)), 0o600)
	}
	put(full, "demand g-m north 90/s", "demand g-m north 390/s")
	put(next, "demand g-m north 90/s", "demand g-m north 150/s")
	for _, c := range []struct {
		args string
		fail string // no, or words of the error
		want []string
	}{
		{"plan solve " + example + " --out " + plan, "", []string{"weights: greatest utilisation 55.7%, cost 429 a second, 9 steps", "worst loss: hall north"}},
		{"plan check " + example + " " + plan, "", []string{"a placement file, greatest utilisation 55.7%", "a plan, greatest utilisation 55.7%"}},
		{"plan explain " + plan, "", []string{"s-03", "still cold", "Why not less than 55.7%", "draining"}},
		{"plan explain -o json " + plan, "", []string{`"Bottleneck"`}},
		{"plan explain --at 2026-12-01T10:01:00Z " + plan, "", []string{"greatest utilisation 5"}},
		{"plan explain --case 'hall south' " + plan, "", []string{"lost in this case"}},
		{"plan explain --case nothing " + plan, `no case "nothing"`, nil},
		{"plan explain --at noon " + plan, `--at "noon"`, nil},
		{"plan solve " + next + " --in-force " + plan + " --out " + next + ".plan", "", []string{"weights:"}},
		{"plan diff " + plan + " " + next + ".plan", "", []string{"north takes 40/s more", "hosts change by over a tenth", "demand for g-m goes from 120/s to 180/s"}},
		{"plan diff " + plan + " " + plan, "", []string{"no difference in meaning"}},
		{"plan diff -o json " + plan + " " + next + ".plan", "", []string{`"Moved": 26`}},
		{"plan solve --place " + example + " --out " + next, "", []string{"no placement is better", "move t-z from s-04 to n-01"}},
		{"plan solve -o json " + full, "no", []string{`"fits": false`, "33/s short"}},
		{"plan solve " + full, "no", []string{"Nothing fits. g-m needs 420/s", "387/s together: 33/s short"}},
		{"plan check " + full, "no", []string{"nothing fits"}},
		{"plan explain " + example, "holds no weights", nil},
		{"plan solve -o xml " + example, "neither text nor json", nil},
		{"plan solve nowhere.conf", "nowhere.conf", nil},
		{"reference placement", "", []string{"# The placement file"}},
		{"reference colours", "none of operator, placement, segments, rollout, policy and steward", nil},
	} {
		args := strings.Fields(strings.ReplaceAll(c.args, "'hall south'", "hall_south"))
		for i := range args {
			args[i] = strings.ReplaceAll(args[i], "hall_south", "hall south")
		}
		out, err := execute(t, args...)
		switch {
		case c.fail == "" && err != nil, c.fail == "no" && !errors.Is(err, errNegative),
			c.fail != "" && c.fail != "no" && (err == nil || errors.Is(err, errNegative) || !strings.Contains(err.Error(), c.fail)):
			t.Errorf("%s: error %v", c.args, err)
		}
		for _, want := range c.want {
			if !strings.Contains(out, want) {
				t.Errorf("%s: prints\n%s\nwithout %q", c.args, out, want)
			}
		}
	}
	operators := filepath.Join(dir, "operator.conf")
	os.WriteFile(operators, []byte("plan plan.conf most-age 1h\nbackground cpu 5%\n"), 0o600)
	if out, err := execute(t, "check-config", "--operator", operators); err != nil || !strings.Contains(out, "reads well") {
		t.Errorf("%s, %v", out, err)
	}
	for text, want := range map[string]string{"plan full.conf": "holds no weights", "placement plan.conf": "lacks from-list", "plam x": "operator.conf:1:1", "plan gone.conf": "gone.conf"} {
		os.WriteFile(operators, []byte(text), 0o600)
		if _, err := execute(t, "check-config", "--operator", operators); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func freeAddress(t *testing.T) string {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	return free.Addr().String()
}

// start runs the program and waits until it is ready; its log comes line by line.
func start(t *testing.T, path, address string, more ...string) (ended chan error, log <-chan string) {
	out, in := io.Pipe()
	ended = make(chan error, 1)
	cmd := command()
	cmd.SetArgs(append([]string{"serve", "--config", path}, more...))
	cmd.SetErr(in)
	go func() {
		ended <- cmd.ExecuteContext(t.Context())
		in.Close()
	}()
	lines := make(chan string, 1000) // against holding up the program where nobody reads its log
	go func() {
		defer close(lines)
		for scan := bufio.NewScanner(out); scan.Scan(); {
			lines <- scan.Text()
		}
	}()
	log = lines
	await(t, log, "serving")
	for ready := false; !ready; time.Sleep(time.Millisecond) {
		resp, err := http.Get("http://" + address + "/-/ready")
		if err == nil {
			resp.Body.Close()
			ready = resp.StatusCode == http.StatusOK
		}
	}
	return ended, log
}

// await reads the log up to a line with these words.
func await(t *testing.T, log <-chan string, words string) {
	t.Helper()
	for line := range log {
		if strings.Contains(line, words) {
			return
		}
	}
	t.Fatalf("the log ends without %q", words)
}

// ask sends a lookup and gives back how it will be answered.
func ask(address, id string) <-chan string {
	got := make(chan string, 1)
	go func() {
		req, _ := http.NewRequest(http.MethodPost, "http://"+address+"/find",
			strings.NewReader(`{"shards":[{"shard":2,"weight":1}],"q":"c41e"}`))
		req.Header.Set("X-Request-ID", id)
		req.Header.Set("X-Timeout-Ms", "2000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			got <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		got <- string(body)
	}()
	return got
}

const served = `{"complete":true,"hits":[{"shard":2,"doc":"5be2"}]}`

// TestServe takes one lookup through the whole program, and SIGTERM while another is held.
func TestServe(t *testing.T) {
	shard := standin.NewShard(t)
	address := freeAddress(t)
	agent, _ := newAgent(t, shard)
	ended, log := start(t, configure(t, address, agent), address)
	first := ask(address, "a")
	conn := shard.Take()
	if f := conn.Read(); len(f.Requests) != 1 || f.Requests[0].ID != "a.2" || f.Requests[0].Shard != 2 || f.Requests[0].Payload != "c41e" {
		t.Errorf("frame %+v", f)
	}
	conn.Answer("a.2", "ok", "5be2")
	if got := <-first; got != served {
		t.Errorf("answer %s", got)
	}
	second := ask(address, "b")
	conn.Read()
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	await(t, log, "service: draining")
	conn.Answer("b.2", "ok", "5be2")
	if got := <-second; got != served {
		t.Errorf("answer %s", got)
	}
	await(t, log, "service: stopped")
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestReload guards against ending on SIGHUP, as Go programs do unless told otherwise, and against a list that
// goes on being followed at the old place. A faulty file must change nothing and be named by its key.
func TestReload(t *testing.T) {
	before, after := standin.NewShard(t), standin.NewShard(t)
	address := freeAddress(t)
	old, _ := newAgent(t, before)
	path := configure(t, address, old)
	ended, log := start(t, path, address)
	held := ask(address, "a")
	conn := before.Take()
	conn.Read()
	rewrite(t, path, address, "nowhere")
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	await(t, log, "discovery: ")
	next, watched := newAgent(t, after)
	rewrite(t, path, address, next)
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	await(t, log, "service: configuration applied")
	<-watched
	moved := ask(address, "b")
	there := after.Take()
	there.Read()
	there.Answer("b.2", "ok", "5be2")
	conn.Answer("a.2", "ok", "5be2")
	if a, b := <-held, <-moved; a != served || b != served {
		t.Errorf("answers %s, %s", a, b)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	await(t, log, "service: stopped")
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestServeTwoPhases asks lookups in two phases of machines that hold something or nothing, an old build, one that
// dies and one that garbles among them, while the content changes, and wants each answer true: what a part is said
// to hold, or proved not to, is so at a version that was in force while the lookup was held.
func TestServeTwoPhases(t *testing.T) {
	content := &shardserver.Content{Queries: 60, HitShare: 0.3, FalsePositiveRate: 0.2, Seed: 5}
	var members []discoveryserver.Member
	var fleet []*shardserver.Server
	for i := range 6 {
		s, err := shardserver.Start(shardserver.Config{Cores: 8, MeanWork: 4, FirstPassWork: 0.5, QueueLimit: 1000, Seed: uint64(i)}, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		s.SetContent(content)
		fleet = append(fleet, s)
		members = append(members, discoveryserver.Member{ID: fmt.Sprint("m-", i), HostPort: s.Address(), ReplicaSet: i % 2, Phase: "in_service", Size: 1})
	}
	fleet[0].SetFirstPassWork(0)
	fleet[1].SetGarbledShare(0.3)
	list, err := discoveryserver.Start(members)
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	address := freeAddress(t)
	path := configure(t, address, list.Address())
	text, _ := os.ReadFile(path)
	os.WriteFile(path, []byte(strings.Replace(string(text), `"cells":1,"inARow":1,"shards":4`, `"cells":2,"inARow":1,"shards":8`, 1)), 0o600)
	operators := filepath.Join(filepath.Dir(path), "operator.conf")
	os.WriteFile(operators, []byte("two-phase find trials 50%\ntrace keep 1000\n"), 0o600)
	ended, log := start(t, path, address, "--operator", operators)
	for _, s := range fleet { // all have been asked whether they know first passes
		for s.Counts().Handshakes == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	type answer struct {
		Complete bool
		Hits     []struct {
			Shard int
			Doc   string
		}
		Empty []int
	}
	ask := func(id, query string) {
		before := content.Version()
		req, _ := http.NewRequest(http.MethodPost, "http://"+address+"/find", strings.NewReader(`{"shards":[`+
			`{"shard":0,"weight":0.2},{"shard":1,"weight":0.2},{"shard":2,"weight":0.2},{"shard":5,"weight":0.2},{"shard":7,"weight":0.2}],"q":"`+query+`"}`))
		req.Header.Set("X-Request-ID", id)
		req.Header.Set("X-Timeout-Ms", "3000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Error(err)
			return
		}
		defer resp.Body.Close()
		var a answer
		if err := json.NewDecoder(resp.Body).Decode(&a); resp.StatusCode == http.StatusServiceUnavailable {
			return // refused while a machine is gone
		} else if err != nil || resp.StatusCode != http.StatusOK || !a.Complete || len(a.Hits)+len(a.Empty) != 5 {
			t.Errorf("%s: status %d, %+v, %v", id, resp.StatusCode, a, err)
			return
		}
		has := func(shard int, want bool) (ever bool) {
			for v := before; v <= content.Version(); v++ {
				ever = ever || content.Matches(query, shard, v) == want
			}
			return ever
		}
		for _, h := range a.Hits {
			if !has(h.Shard, h.Doc != "") {
				t.Errorf("%s: shard %d is said to hold %q of %s", id, h.Shard, h.Doc, query)
			}
		}
		for _, shard := range a.Empty {
			if !has(shard, false) {
				t.Errorf("%s: shard %d is said to hold nothing of %s", id, shard, query)
			}
		}
	}
	var wait sync.WaitGroup
	for round := range 5 {
		for i := range 40 {
			wait.Go(func() { ask(fmt.Sprintf("r%d-%d", round, i), fmt.Sprint("q", (round*40+i)%60)) })
			time.Sleep(2 * time.Millisecond)
			switch {
			case i%10 == 5:
				content.NextVersion()
			case round == 2 && i == 20:
				fleet[3].Kill()
			case round == 3 && i == 20:
				fleet[3].Restart()
			}
		}
		wait.Wait()
	}
	briefs := 0
	for _, s := range fleet {
		briefs += s.Counts().FirstPassRequests
	}
	if briefs < 200 || fleet[0].Counts().FirstPassRequests > 0 {
		t.Errorf("%d parts of first passes, %d of them at an old build", briefs, fleet[0].Counts().FirstPassRequests)
	}
	out, err := execute(t, "explain", "lookup", "--gatherer", address, "-o", "json")
	if err != nil || strings.Count(out, `"two":true`) < 20 {
		t.Errorf("%.200s, %v", out, err)
	}
	id := regexp.MustCompile(`"id":"([^"]*)","index":"find","verdict":"satisfied","took":[0-9.]*,"two":true`).FindStringSubmatch(out)
	if id == nil {
		t.Fatal("no lookup in two phases is kept")
	}
	out, err = execute(t, "explain", "lookup", "--gatherer", address, id[1])
	for _, want := range []string{"two phases: ", "net gain", "first pass:", "of the weight proved to hold nothing", "satisfied after"} {
		if err != nil || !strings.Contains(out, want) {
			t.Errorf("%s\n%v, without %q", out, err, want)
		}
	}
	if out, err := execute(t, "explain", "lookup", "--gatherer", address, "never"); !errors.Is(err, errNegative) {
		t.Errorf("%s, %v", out, err)
	}
	if out, err := execute(t, "explain", "lookup", "--gatherer", address); err != nil || !strings.Contains(out, id[1]) {
		t.Errorf("%s, %v", out, err)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	await(t, log, "service: stopped")
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestFit wants indexes that cannot go in two phases refused when the files are checked, each at its place, and
// served in one phase all the same.
func TestFit(t *testing.T) {
	path := configure(t, "127.0.0.1:8000", "127.0.0.1:8500")
	text, _ := os.ReadFile(path)
	claim := `{"name":"claim","effect":"side_effect","goalTime":1,"hardLimit":2},{"name":"mark","effect":"token","goalTime":1,"hardLimit":2,"window":1},`
	os.WriteFile(path, []byte(strings.Replace(string(text), `"classes":[`, `"classes":[`+claim, 1)), 0o600)
	operators := filepath.Join(filepath.Dir(path), "operator.conf")
	for line, want := range map[string]string{
		"two-phase claim":                    `:1:11: "claim": is once-only: its parts may not run twice`,
		"two-phase mark":                     `:1:11: "mark": is fingerprinted`,
		"two-phase fnd":                      `:1:11: "fnd": is no index of the settings; did you mean find?`,
		"two-phase find first 95%":           `:1:22: "95%": is more than 90%`,
		"two-phase find first 1.2":           `"1.2": is no share of a whole; it goes from 0% to 100%`,
		"two-phase find first -0.2":          `"-0.2": is no share of a whole`,
		"two-phase find\ntwo-phase find":     `:2:11: "find": is given twice`,
		"trace keep 0":                       `is less than 1`,
		"trace share 10%":                    `lacks "keep"`,
		"two-phase find first 30% trials 5%": "",
	} {
		os.WriteFile(operators, []byte(line), 0o600)
		if _, err := execute(t, "check-config", "--config", path, "--operator", operators); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", line, err, want)
		}
	}
}

// servePlanWork is the work of a shard request in TestServePlan, in milliseconds. Round robin passes by a replica whose
// latency is twice another's: delays of a busy machine have to stay small beside it.
const servePlanWork = 80

// TestServePlan wants lookups to go by a plan's weights, by those of another after SIGHUP, by plain turns without
// one, and a faulty one to change nothing.
func TestServePlan(t *testing.T) {
	var members []discoveryserver.Member
	fleet := map[string]*shardserver.Server{}
	for _, name := range []string{"n-1", "s-1"} {
		s, err := shardserver.Start(shardserver.Config{Cores: 4, MeanWork: servePlanWork, QueueLimit: 100}, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		fleet[name] = s
		members = append(members, discoveryserver.Member{ID: name, HostPort: s.Address(), Zone: "hall", Phase: "in_service", Size: 1})
	}
	list, err := discoveryserver.Start(members)
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	address := freeAddress(t)
	path := configure(t, address, list.Address())
	plan := filepath.Join(filepath.Dir(path), "plan.conf")
	weigh := func(n, s string) {
		text := "hall hall\nhost n-1 hall hall capacity 10/s\nhost s-1 hall hall capacity 10/s\nsegment a group 0 on n-1 s-1\n" +
			"demand a hall 4/s\nstep\nweights a hall n-1=" + n + " s-1=" + s + "\n"
		if err := os.WriteFile(plan, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	operators := filepath.Join(filepath.Dir(path), "operator.conf")
	os.WriteFile(operators, []byte("plan plan.conf\n"), 0o600)
	weigh("4/s", "0/s")
	ended, log := start(t, path, address, "--operator", operators)
	await(t, log, "weights in force") // the list may be known before them
	n := 0
	went := func() string {
		before := map[string]int{"n-1": fleet["n-1"].Counts().Requests, "s-1": fleet["s-1"].Counts().Requests}
		for range 6 {
			n++
			if got := <-ask(address, fmt.Sprint("x", n)); !strings.Contains(got, "c41e") {
				t.Fatalf("answer %s", got)
			}
		}
		return fmt.Sprint(fleet["n-1"].Counts().Requests-before["n-1"], " ", fleet["s-1"].Counts().Requests-before["s-1"])
	}
	if got := went(); got != "6 0" {
		t.Errorf("parts %s", got)
	}
	hup := func(words string) {
		for len(log) > 0 { // what was said before
			<-log
		}
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		await(t, log, words)
	}
	weigh("0/s", "4/s")
	hup("weights in force")
	if got := went(); got != "0 6" {
		t.Errorf("parts %s", got)
	}
	weigh("0/s", "5/s")
	hup("service: operator's file rejected")
	if got := went(); got != "0 6" {
		t.Errorf("parts %s under a faulty plan", got)
	}
	os.WriteFile(operators, nil, 0o600)
	hup("plain round robin")
	if got := went(); got != "3 3" {
		t.Errorf("parts %s without a plan", got)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	await(t, log, "service: stopped")
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
