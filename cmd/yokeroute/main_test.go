package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"yokeroute/internal/standin"
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

func freeAddress(t *testing.T) string {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer free.Close()
	return free.Addr().String()
}

// start runs the program and waits until it is ready; its log comes line by line.
func start(t *testing.T, path, address string) (ended chan error, log *bufio.Scanner) {
	out, in := io.Pipe()
	ended = make(chan error, 1)
	cmd := command()
	cmd.SetArgs([]string{"serve", "--config", path})
	cmd.SetErr(in)
	go func() {
		ended <- cmd.ExecuteContext(t.Context())
		in.Close()
	}()
	log = bufio.NewScanner(out)
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
func await(t *testing.T, log *bufio.Scanner, words string) {
	t.Helper()
	for log.Scan() {
		if strings.Contains(log.Text(), words) {
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
	if f := conn.Read(); len(f.Parts) != 1 || f.Parts[0].ID != "a.2" || f.Parts[0].Shard != 2 || f.Parts[0].Text != "c41e" {
		t.Errorf("frame %+v", f)
	}
	conn.Answer("a.2", "ok", "5be2")
	if got := <-first; got != served {
		t.Errorf("answer %s", got)
	}
	second := ask(address, "b")
	conn.Read()
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	await(t, log, "leaving")
	conn.Answer("b.2", "ok", "5be2")
	if got := <-second; got != served {
		t.Errorf("answer %s", got)
	}
	await(t, log, "left")
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
	await(t, log, "in force")
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
	await(t, log, "left")
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
