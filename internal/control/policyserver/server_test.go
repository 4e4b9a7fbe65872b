package policyserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/control/policyapi"
)

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// singleServerConfig returns the configuration of a policy server without peers.
func singleServerConfig(t *testing.T) *Config {
	return &Config{
		Name:          "s1",
		Folder:        filepath.Join(t.TempDir(), "state"),
		Listen:        "127.0.0.1:0",
		RaftListen:    "127.0.0.1:0",
		Peers:         []Peer{{Name: "s1", Raft: "127.0.0.1:1", HTTP: "127.0.0.1:1"}},
		Lease:         time.Second,
		ChangeTimeout: time.Second,
		Heartbeat:     20 * time.Millisecond,
	}
}

// TestOpenReleasesResourcesOnFailure checks that the earlier steps of Open are undone if a late step fails: the state
// folder can be opened again at once.
func TestOpenReleasesResourcesOnFailure(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	c := singleServerConfig(t)
	c.RaftListen = occupied.Addr().String()
	if _, err := Open(t.Context(), c, quietLog()); err == nil || !strings.Contains(err.Error(), "address already in use") {
		t.Fatalf("Open with an occupied address: error %v", err)
	}
	c.RaftListen = "127.0.0.1:0"
	s, err := Open(t.Context(), c, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.close(); err != nil {
		t.Error(err)
	}
}

// TestOpenRefusesStaleDisk checks that a server does not start if another one knows of a later incarnation of it.
func TestOpenRefusesStaleDisk(t *testing.T) {
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusOK, policyapi.IncarnationResponse{Format: policyapi.Format, Incarnation: 5})
	}))
	defer peer.Close()
	c := singleServerConfig(t)
	c.Peers = append(c.Peers, Peer{Name: "s2", Raft: "127.0.0.1:1", HTTP: strings.TrimPrefix(peer.URL, "http://")})
	if _, err := Open(t.Context(), c, quietLog()); !errors.Is(err, ErrStaleDisk) {
		t.Errorf("error %v, want ErrStaleDisk", err)
	}
}

// TestRunReportsFailureOfHTTP checks that Run returns an error if the HTTP listener fails.
func TestRunReportsFailureOfHTTP(t *testing.T) {
	s, err := Open(t.Context(), singleServerConfig(t), quietLog())
	if err != nil {
		t.Fatal(err)
	}
	s.listener.Close()
	if err := s.Run(t.Context()); err == nil || !strings.Contains(err.Error(), "HTTP server on 127.0.0.1:") {
		t.Errorf("Run: error %v", err)
	}
}
