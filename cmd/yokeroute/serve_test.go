package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"yokeroute/internal/testbed/reservedport"
	"yokeroute/internal/testbed/standin"
	"yokeroute/internal/testbed/standin/discoveryserver"
	"yokeroute/internal/testbed/standin/shardserver"
)

// startDiscovery starts a discovery agent that lists one server and never reports a change. It sends on watched when
// a watch begins, which is after the list was read.
func startDiscovery(t *testing.T, shard *standin.Shard) (address string, watched chan bool) {
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

// startServe runs the command and waits until it is ready. Its log comes line by line.
func startServe(t *testing.T, path, address string, more ...string) (ended chan error, log <-chan string) {
	out, in := io.Pipe()
	ended = make(chan error, 1)
	cmd := rootCommand()
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
	awaitLog(t, log, "service: serving")
	for ready := false; !ready; time.Sleep(time.Millisecond) {
		resp, err := http.Get("http://" + address + "/-/ready")
		if err == nil {
			resp.Body.Close()
			ready = resp.StatusCode == http.StatusOK
		}
	}
	return ended, log
}

// awaitLog reads the log up to a line that contains a text.
func awaitLog(t *testing.T, log <-chan string, words string) {
	t.Helper()
	for line := range log {
		if strings.Contains(line, words) {
			return
		}
	}
	t.Fatalf("the log ends without %q", words)
}

// sendQuery sends a query and returns a channel of its answer's body.
func sendQuery(address, id string) <-chan string {
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

const servedAnswer = `{"complete":true,"hits":[{"shard":2,"doc":"5be2"}]}`

// TestServeAnswersAndDrainsOnSIGTERM sends one query through the whole program, and SIGTERM while another is in
// flight.
func TestServeAnswersAndDrainsOnSIGTERM(t *testing.T) {
	shard := standin.NewShard(t)
	address := reservedport.ForTest(t)
	agent, _ := startDiscovery(t, shard)
	ended, log := startServe(t, writeConfig(t, address, agent), address)
	first := sendQuery(address, "a")
	conn := shard.Take()
	if f := conn.Read(); len(f.Requests) != 1 || f.Requests[0].ID != "a.2" || f.Requests[0].Shard != 2 || f.Requests[0].Payload != "c41e" {
		t.Errorf("frame %+v", f)
	}
	conn.Answer("a.2", "ok", "5be2")
	if got := <-first; got != servedAnswer {
		t.Errorf("answer %s", got)
	}
	second := sendQuery(address, "b")
	conn.Read()
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	awaitLog(t, log, "service: draining")
	conn.Answer("b.2", "ok", "5be2")
	if got := <-second; got != servedAnswer {
		t.Errorf("answer %s", got)
	}
	awaitLog(t, log, "service: stopped")
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestSIGHUPReloadsAndFaultyFileChangesNothing: SIGHUP, which ends a Go program by default, makes the gatherer follow
// the endpoint list at its new place. A faulty file changes nothing, and the log names the faulty key.
func TestSIGHUPReloadsAndFaultyFileChangesNothing(t *testing.T) {
	before, after := standin.NewShard(t), standin.NewShard(t)
	address := reservedport.ForTest(t)
	old, _ := startDiscovery(t, before)
	path := writeConfig(t, address, old)
	ended, log := startServe(t, path, address)
	held := sendQuery(address, "a")
	conn := before.Take()
	conn.Read()
	rewriteConfig(t, path, address, "nowhere")
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	awaitLog(t, log, "discovery: ")
	next, watched := startDiscovery(t, after)
	rewriteConfig(t, path, address, next)
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	awaitLog(t, log, "service: configuration applied")
	<-watched
	moved := sendQuery(address, "b")
	there := after.Take()
	there.Read()
	there.Answer("b.2", "ok", "5be2")
	conn.Answer("a.2", "ok", "5be2")
	if a, b := <-held, <-moved; a != servedAnswer || b != servedAnswer {
		t.Errorf("answers %s, %s", a, b)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	awaitLog(t, log, "service: stopped")
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// servePlanWork is the work of a shard request in TestServeFollowsPlanInForce, in milliseconds. Round robin skips a
// replica with twice the latency of another, so that delays of a busy machine have to stay small beside it.
const servePlanWork = 80

// TestServeFollowsPlanInForce: queries follow a plan's weights, those of another plan after SIGHUP, and plain round
// robin without one. A faulty plan changes nothing.
func TestServeFollowsPlanInForce(t *testing.T) {
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
	address := reservedport.ForTest(t)
	path := writeConfig(t, address, list.Address())
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
	ended, log := startServe(t, path, address, "--operator", operators)
	awaitLog(t, log, "weights in force") // the list may be known before them
	n := 0
	went := func() string {
		before := map[string]int{"n-1": fleet["n-1"].Counts().Requests, "s-1": fleet["s-1"].Counts().Requests}
		for range 6 {
			n++
			if got := <-sendQuery(address, fmt.Sprint("x", n)); !strings.Contains(got, "c41e") {
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
		awaitLog(t, log, words)
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
	awaitLog(t, log, "service: stopped")
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
