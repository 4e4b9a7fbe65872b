package policyserver

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"yokeroute/internal/control/policyapi"
	"yokeroute/logic/policy"
)

// keptFolder returns a copy of a state folder that a released version wrote: its log, a snapshot of a part of the log,
// and its incarnations. The files that it is copied from must not be changed.
func keptFolder(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	from := filepath.Join("testdata", "kept", "state-1")
	if err := os.CopyFS(filepath.Join(folder, "snapshots"), os.DirFS(filepath.Join(from, "snapshots"))); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"boots", "log"} {
		packed, err := os.Open(filepath.Join(from, name+".gz"))
		if err != nil {
			t.Fatal(err)
		}
		defer packed.Close()
		r, err := gzip.NewReader(packed)
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(r)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(folder, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// keptText returns a file that a released version wrote.
func keptText(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "kept", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// keptServer starts a server with a copy of the kept state folder. It returns its address and its configuration.
func keptServer(t *testing.T) (address string, c *Config, stop func()) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "s1.conf")
	text := "steward s1 in state listen 127.0.0.1:0 raft 127.0.0.1:0\n" +
		"peer s1 raft 127.0.0.1:1 http 127.0.0.1:1\n" +
		"lease 1min limit 2min\n" +
		"beat 20ms\n"
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	c, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	c.Folder = keptFolder(t)
	ctx, cancel := context.WithCancel(t.Context())
	s, err := Open(ctx, c, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	return s.listener.Addr().String(), c, func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// awaitRecord waits until a server is the leader, and returns its record.
func awaitRecord(t *testing.T, address string) policy.Record {
	t.Helper()
	e := policyapi.Endpoint{Method: http.MethodGet, Address: address, Path: "/policy/status"}
	for timeout := time.After(20 * time.Second); ; {
		r, err := policyapi.Call(t.Context(), http.DefaultClient, e, nil, policyapi.Read[policyapi.StatusResponse])
		if err == nil {
			return r.Status.Record
		}
		select {
		case <-timeout:
			t.Fatalf("the server did not become the leader within 20 s: %v", err)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// TestKeptFolder checks that a server that is started with the state folder of a released version becomes the leader
// with the stored record, continues its incarnations, and answers each request with the same bytes as that version.
func TestKeptFolder(t *testing.T) {
	address, config, stop := keptServer(t)
	record, err := json.Marshal(awaitRecord(t, address))
	if err != nil || string(record) != strings.TrimSpace(keptText(t, "record.json")) {
		t.Errorf("record %s, %v; want the one in record.json", record, err)
	}
	for _, c := range []struct {
		name, path string
		status     int
	}{
		{"ask-news", "/policy/ask", 200},    // answered at once, since the poll's revision is older
		{"ask-nothing", "/policy/ask", 200}, // answered once the poll's wait is over
		{"ask-unread", "/policy/ask", 400},
		{"ask-refused", "/policy/ask", 200},       // granted no lease because of its fallback policy
		{"propose-again", "/policy/propose", 200}, // repeats a proposal from before the restart
		{"propose-second", "/policy/propose", 409},
		{"propose-unread", "/policy/propose", 400},
		{"give-up-again", "/policy/give-up", 200},
		{"give-up-unknown", "/policy/give-up", 409},
		{"forget-unknown", "/policy/forget", 409},
		{"forget-unread", "/policy/forget", 400},
		{"boot-old", "/policy/boot", 200}, // incarnation 3 of a server that has had 5
		{"boot-own", "/policy/boot", 200}, // incarnation 2 of this server
		{"boot-new", "/policy/boot", 200},
	} {
		request := strings.NewReader(keptText(t, c.name+".request"))
		resp, err := http.Post("http://"+address+c.path, "application/json", request)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if want := keptText(t, c.name+".answer"); err != nil || string(got) != want {
			t.Errorf("%s: response %s, %v; want %s", c.name, got, err, want)
		}
		if resp.StatusCode != c.status || resp.Header.Get("Content-Type") != "application/json" {
			t.Errorf("%s: status %s, header %v; want status %d", c.name, resp.Status, resp.Header, c.status)
		}
	}
	stop()
	incarnations, err := openIncarnations(config.Folder)
	if err != nil {
		t.Fatal(err)
	}
	defer incarnations.Close()
	for name, want := range map[string]uint64{"s1": 2, "s7": 5, "s8": 1} {
		if got, err := incarnations.latest(name); got != want || err != nil {
			t.Errorf("latest incarnation of %s: %d, %v; want %d", name, got, err, want)
		}
	}
}

// TestKeptSnapshot checks that a snapshot of a released version is restored, and written again with the same bytes.
func TestKeptSnapshot(t *testing.T) {
	found, err := filepath.Glob(filepath.Join("testdata", "kept", "state-1", "snapshots", "*", "state.bin"))
	if err != nil || len(found) != 1 {
		t.Fatal(found, err)
	}
	text, err := os.ReadFile(found[0])
	if err != nil {
		t.Fatal(err)
	}
	m := newStateMachine(0)
	if err := m.Restore(io.NopCloser(bytes.NewReader(text))); err != nil {
		t.Fatal(err)
	}
	snap, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var sink snapshotBuffer
	if err := snap.Persist(&sink); err != nil || !bytes.Equal(sink.Bytes(), text) {
		t.Errorf("written as %s, %v; want %s", sink.String(), err, text)
	}
}

// TestKeptNotLeader checks that a server that is not the leader answers every request with the same bytes as a released
// version.
func TestKeptNotLeader(t *testing.T) {
	s := newServer(&Config{Name: "s1"}, quietLog())
	for path, body := range map[string]string{
		"GET /policy/status":   "",
		"POST /policy/ask":     keptText(t, "ask-news.request"),
		"POST /policy/propose": keptText(t, "propose-second.request"),
		"POST /policy/give-up": keptText(t, "give-up-again.request"),
		"POST /policy/forget":  keptText(t, "forget-unknown.request"),
		"POST /policy/steward": `{"policy":1,"name":"s4"}`,
	} {
		method, path, _ := strings.Cut(path, " ")
		w := httptest.NewRecorder()
		s.handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		if want := `{"policy":1,"error":"this steward does not lead"}` + "\n"; w.Code != 421 || w.Body.String() != want {
			t.Errorf("%s: status %d, %s; want status 421, %s", path, w.Code, w.Body, want)
		}
	}
}

// TestKeptAnnouncement checks that an incarnation is announced with the same bytes as by a released version, and that
// the response is read.
func TestKeptAnnouncement(t *testing.T) {
	for answer, want := range map[string]string{
		`{"policy":1,"boot":5}`:     "5 <nil>",
		`{"policy":1}`:              "0 <nil>",
		`{"policy":1,"error":"no"}`: "0 <nil>",
	} {
		var got string
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			got = r.Method + " " + r.URL.Path + " " + string(body)
			io.WriteString(w, answer)
		}))
		previous, err := announce(t.Context(), strings.TrimPrefix(server.URL, "http://"), "s1", 6)
		server.Close()
		if fmt.Sprint(previous, err) != want || got != `POST /policy/boot {"policy":1,"number":6,"name":"s1"}` {
			t.Errorf("%s: %d, %v, want %s; sent %s", answer, previous, err, want, got)
		}
	}
}
