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

// readKeptFile returns a file that a released version wrote. These files must not be changed.
func readKeptFile(t *testing.T, path ...string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(path...))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestKeptRevision checks that the revision file of a released version is read, and that the revision is stored as the
// same bytes.
func TestKeptRevision(t *testing.T) {
	folder := t.TempDir()
	want := policy.Revision{Epoch: 41, LastEnded: 43, Pending: 44}
	text := readKeptFile(t, "testdata", "kept", "fence")
	file := filepath.Join(folder, "policy")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		t.Fatal(err)
	}
	if got, err := LoadRevision(folder); got != want || err != nil {
		t.Errorf("loaded %+v, %v; want %+v", got, err, want)
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if err := saveRevision(folder, want); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(file); err != nil || !bytes.Equal(got, text) {
		t.Errorf("stored %s, %v; want %s", got, err, text)
	}
}

// TestKeptPolls checks that the first poll and the poll after an update have the same bytes as those of a released
// version, and so has the revision file that is stored after the update.
func TestKeptPolls(t *testing.T) {
	answer := readKeptFile(t, "..", "policyapi", "testdata", "kept", "answer-change.json")
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
			t.Fatalf("received %d polls within 20 s, want 2: %q", len(received), received)
		}
	}
	stop()
	<-ended
	for i, name := range []string{"poll-first.json", "poll-next.json"} {
		if want := "POST /policy/ask " + string(readKeptFile(t, "testdata", "kept", name)); received[i] != want {
			t.Errorf("%s: received %s, want %s", name, received[i], want)
		}
	}
	stored, err := os.ReadFile(filepath.Join(folder, "policy"))
	if want := readKeptFile(t, "testdata", "kept", "fence"); err != nil || !bytes.Equal(stored, want) {
		t.Errorf("stored %s, %v; want %s", stored, err, want)
	}
}
