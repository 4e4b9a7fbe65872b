package main

import (
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
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","settings":{"tick":5000,
		"classes":[{"name":"find","effect":"pure","goalTime":1000000,"hardLimit":3000000}],
		"domain":{"cells":1,"inARow":1,"shards":4,"partsACall":16},
		"limits":{"cancel":true,"connectTimeout":250000,"idleClose":30000000,"streamsPerConn":100,"attemptsCap":3}}}`, listen, discovery)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func execute(t *testing.T, args ...string) (string, error) {
	var out bytes.Buffer
	cmd := command()
	cmd.SetArgs(args)
	cmd.SetOut(&out)
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

// TestServe takes one lookup through the whole program, and SIGTERM while another is held.
func TestServe(t *testing.T) {
	shard := standin.NewShard(t)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"revision":1,"complete":true,"members":[{"id":"s-1","host_port":%q,"cell":0,"phase":"in_service"}]}`, shard.Address())
	}))
	defer agent.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := execute(t, "serve", "--config", configure(t, address, strings.TrimPrefix(agent.URL, "http://")), "--log-level", "error")
		ended <- err
	}()
	for ready := false; !ready; time.Sleep(time.Millisecond) {
		resp, err := http.Get("http://" + address + "/-/ready")
		if err == nil {
			resp.Body.Close()
			ready = resp.StatusCode == http.StatusOK
		}
	}
	ask := func(id string) <-chan string {
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
	first := ask("a")
	conn := shard.Take()
	if f := conn.Read(); len(f.Parts) != 1 || f.Parts[0].ID != "a.2" || f.Parts[0].Shard != 2 || f.Parts[0].Text != "c41e" {
		t.Errorf("frame %+v", f)
	}
	conn.Answer("a.2", "ok", "5be2")
	want := `{"complete":true,"hits":[{"shard":2,"doc":"5be2"}]}`
	if got := <-first; got != want {
		t.Errorf("answer %s", got)
	}
	second := ask("b")
	conn.Read()
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	conn.Answer("b.2", "ok", "5be2")
	if got := <-second; got != want {
		t.Errorf("answer %s", got)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
