package policylease

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/control/policyapi"
	"yokeroute/logic/policy"
)

// kept returns a file as a released version wrote it. None of these files may be changed.
func kept(t *testing.T, path ...string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(path...))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestKeptRevision: the revision is read from the file that a released version wrote, and written again byte for
// byte.
func TestKeptRevision(t *testing.T) {
	folder := t.TempDir()
	want := policy.Revision{Epoch: 41, LastEnded: 43, Pending: 44}
	text := kept(t, "testdata", "kept", "fence")
	file := filepath.Join(folder, "policy")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		t.Fatal(err)
	}
	if got, err := LoadRevision(folder); got != want || err != nil {
		t.Errorf("%+v, %v", got, err)
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if err := saveRevision(folder, want); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(file); err != nil || !bytes.Equal(got, text) {
		t.Errorf("%s, %v", got, err)
	}
}

// TestKeptPolls: the first poll and the one after an update are sent as a released version sent them, byte for byte,
// and the revision of the update is stored likewise.
func TestKeptPolls(t *testing.T) {
	answer := kept(t, "..", "policyapi", "testdata", "kept", "answer-change.json")
	polls := make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if kind := r.Header.Get("Content-Type"); kind != "application/json" {
			t.Errorf("content type %q", kind)
		}
		select {
		case polls <- r.Method + " " + r.URL.Path + " " + string(body):
		default:
		}
		w.Write(answer)
	}))
	defer server.Close()
	var response policyapi.PollResponse
	if err := json.Unmarshal(answer, &response); err != nil {
		t.Fatal(err)
	}
	fallback := response.Update.Policy
	folder := t.TempDir()
	lease := New(Config{
		Platform: &gather.Settings{
			RetryBudgetWindow: 1000,
			RetryBudgetRatio:  0.1,
			RetryBudgetFloor:  8,
			OverloadMultiple:  3,
			Classes:           []gather.Class{{Name: "claim"}, {Name: "find", MinShare: 0.5}, {Name: "resolve"}},
		},
		Fallback: fallback,
		Revision: policy.Revision{Epoch: 41, LastEnded: 41},
		Clock:    func() float64 { return 0 },
		OnChange: func() {},
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	poller := NewPoller(lease, PollerConfig{
		Servers:     []operator.PolicyServer{{Name: "s1", Address: strings.TrimPrefix(server.URL, "http://")}},
		Member:      policy.Member{Name: "g1", Zone: "north", Fallback: fallback},
		Incarnation: "123-456",
		Version:     "1.2",
		StateFolder: folder,
		Log:         log,
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		poller.Run(ctx)
		close(ended)
	}()
	var received []string
	for timeout := time.After(20 * time.Second); len(received) < 2; {
		select {
		case poll := <-polls:
			received = append(received, poll)
		case <-timeout:
			t.Fatalf("%q", received)
		}
	}
	stop()
	<-ended
	for i, name := range []string{"poll-first.json", "poll-next.json"} {
		if want := "POST /policy/ask " + string(kept(t, "testdata", "kept", name)); received[i] != want {
			t.Errorf("%s: %s", name, received[i])
		}
	}
	stored, err := os.ReadFile(filepath.Join(folder, "policy"))
	if want := kept(t, "testdata", "kept", "fence"); err != nil || !bytes.Equal(stored, want) {
		t.Errorf("%s, %v", stored, err)
	}
}
