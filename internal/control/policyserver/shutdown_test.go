package policyserver

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/raft"
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
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := singleServer(t)
	c.Joins = true
	c.RaftListen = probe.Addr().String()
	probe.Close()
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
