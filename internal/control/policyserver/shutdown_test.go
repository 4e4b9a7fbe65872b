package policyserver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"yokeroute/internal/control/policyapi"
	"yokeroute/internal/httpserver"
	"yokeroute/internal/testbed/lateclient"
	"yokeroute/internal/testbed/reservedport"
	"yokeroute/logic/policy"
)

// shutdownLimit is the time within which a policy server has to end once its context is done.
const shutdownLimit = 10 * time.Second

// awaitEnd waits until a server has ended, for shutdownLimit at most.
func awaitEnd(t *testing.T, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(shutdownLimit):
		t.Fatalf("the server has not ended within %s", shutdownLimit)
	}
}

// TestServerEndsDuringSnapshotInstallation guards against a policy server that does not end on SIGTERM because a
// leader that was cut off has sent it only a part of a snapshot.
func TestServerEndsDuringSnapshotInstallation(t *testing.T) {
	c := singleServerConfig(t)
	c.Joins = true
	c.RaftListen = reservedport.ForTest(t)
	ctx, cancel := context.WithCancel(t.Context())
	s, err := Open(ctx, c, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	leader, err := raft.NewTCPTransport("127.0.0.1:0", nil, 1, time.Minute, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	defer leader.Close()
	content, writer := io.Pipe()
	defer writer.Close()
	request := &raft.InstallSnapshotRequest{
		RPCHeader:       raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, ID: []byte("s2"), Addr: []byte("s2")},
		SnapshotVersion: raft.SnapshotVersionMax,
		Term:            7,
		LastLogIndex:    9,
		LastLogTerm:     7,
		Configuration:   raft.EncodeConfiguration(raft.Configuration{}),
		Size:            1 << 20,
	}
	go func() {
		_ = leader.InstallSnapshot("s1", raft.ServerAddress(c.RaftListen), request, &raft.InstallSnapshotResponse{}, content)
	}()
	if _, err := writer.Write([]byte("the beginning")); err != nil {
		t.Fatal(err)
	}
	for s.replica.Load().CurrentTerm() != request.Term { // until the server installs the snapshot
		time.Sleep(time.Millisecond)
	}
	cancel()
	awaitEnd(t, ended)
}

// TestShutdownAnswersPendingRequests guards against requests that are reset when the server shuts down: a request of
// which only a part has arrived, a poll that waits for an update, and a request on a connection that its client has
// established and the server has not accepted yet.
func TestShutdownAnswersPendingRequests(t *testing.T) {
	timeouts := httpserver.Timeouts{Handshakes: time.Second, Requests: shutdownLimit / 2} // long enough for a busy machine
	s, err := open(t.Context(), singleServerConfig(t), quietLog(), timeouts)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	address := s.listener.Addr().String()
	awaitRecord(t, address)
	partial := lateclient.Dial(t, address)
	head, body := requestText(t, policyapi.AbandonPath, policyapi.AbandonRequest{Format: policyapi.Format, Number: 7})
	partial.Send(head + body[:9])
	polling := lateclient.Dial(t, address)
	sendWaitingPoll(t, s, polling)
	lateclient.CompleteHandshakesWithData(t, s.listener)
	queued := lateclient.Dial(t, address)
	cancel()
	lateclient.AwaitRefusal(t, address)
	partial.Send(body[9:])
	queued.Send("GET " + policyapi.StatusPath + " HTTP/1.1\r\nHost: h\r\n\r\n")
	partial.WantLastResponse(http.StatusConflict) // no such change is pending
	polling.WantLastResponse(http.StatusOK)
	queued.WantLastResponse(http.StatusOK)
	awaitEnd(t, ended)
}

// requestText returns the head and the body of a POST request.
func requestText(t *testing.T, path string, doc any) (head, body string) {
	t.Helper()
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, len(text)), string(text)
}

// sendWaitingPoll sends a poll for which there is no update, and returns once the leader has handled it.
func sendWaitingPoll(t *testing.T, s *Server, c *lateclient.Client) {
	t.Helper()
	record, _ := s.fsm.current()
	update := record.Update()
	head, body := requestText(t, policyapi.PollPath, policyapi.PollRequest{
		Format: policyapi.Format,
		Heartbeat: policy.Heartbeat{
			Member:      policy.Member{Name: "g1", KnownKinds: policy.Kinds()},
			Incarnation: "p1",
			Applied:     update.Revision(),
		},
		WaitMillis: 60_000,
	})
	c.Send(head + body)
	for handled := false; !handled; time.Sleep(time.Millisecond) {
		s.withLeader(func(l *policy.Leader, now float64) { handled = len(l.MemberStatuses(now)) > 0 })
	}
}
