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

// endTimeout is within which a policy server has to end once its context does.
const endTimeout = 10 * time.Second

// awaitEnd wants a server that has been told to end to have ended.
func awaitEnd(t *testing.T, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(endTimeout):
		t.Fatal("the server has not ended")
	}
}

// TestServerEndsWhileSnapshotArrives guards against a policy server that does not end on SIGTERM, as a leader that
// was cut off has sent it a part of a snapshot.
func TestServerEndsWhileSnapshotArrives(t *testing.T) {
	c := singleServer(t)
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
	for s.replica.Load().CurrentTerm() != request.Term { // it has begun to install the snapshot
		time.Sleep(time.Millisecond)
	}
	cancel()
	awaitEnd(t, ended)
}

// TestEndAnswersWhatClientsHaveSent guards against requests that are reset by the end of the server: of one a
// part has come, one is a poll that waits for news, and the last one's connection is established by its
// client and not accepted.
func TestEndAnswersWhatClientsHaveSent(t *testing.T) {
	patient := httpserver.Timeouts{Handshakes: time.Second, Requests: endTimeout / 2} // for a busy machine
	s, err := open(t.Context(), singleServer(t), quietLog(), patient)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	address := s.listener.Addr().String()
	awaitRecord(t, address)
	begun := lateclient.Dial(t, address)
	head, body := requestText(t, policyapi.AbandonPath, policyapi.AbandonRequest{Format: policyapi.Format, Number: 7})
	begun.Send(head + body[:9])
	polling := lateclient.Dial(t, address)
	sendWaitingPoll(t, s, polling)
	lateclient.CompleteHandshakesWithData(t, s.listener)
	queued := lateclient.Dial(t, address)
	cancel()
	lateclient.AwaitRefusal(t, address)
	begun.Send(body[9:])
	queued.Send("GET " + policyapi.StatusPath + " HTTP/1.1\r\nHost: h\r\n\r\n")
	begun.WantLastResponse(http.StatusConflict) // there is no such change
	polling.WantLastResponse(http.StatusOK)
	queued.WantLastResponse(http.StatusOK)
	awaitEnd(t, ended)
}

// requestText returns a request's head and its document.
func requestText(t *testing.T, path string, doc any) (head, body string) {
	t.Helper()
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, len(text)), string(text)
}

// sendWaitingPoll sends a poll for which there is no news, and returns once the leader has handled it.
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
