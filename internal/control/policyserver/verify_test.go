package policyserver

import (
	"context"
	"errors"
	"testing"

	"github.com/hashicorp/raft"
)

// TestVerifierEndsWithoutAnswer checks that the verifier and its requests end although a verification is never
// answered, which happens if raft shuts down before it starts the verification.
func TestVerifierEndsWithoutAnswer(t *testing.T) {
	started := make(chan struct{})
	v := newLeadershipVerifier(func() bool { return true }, func() error { close(started); select {} })
	ctx, stop := context.WithCancel(t.Context())
	ended, answered := make(chan struct{}), make(chan error, 1)
	go func() { v.run(ctx); close(ended) }()
	go func() { answered <- v.Verify(t.Context()) }()
	<-started
	stop()
	<-ended
	if err := <-answered; !errors.Is(err, raft.ErrRaftShutdown) {
		t.Errorf("Verify: error %v, want %v", err, raft.ErrRaftShutdown)
	}
	err := newLeadershipVerifier(func() bool { return false }, nil).Verify(t.Context())
	if !errors.Is(err, raft.ErrNotLeader) {
		t.Errorf("Verify on a server that is not the leader: error %v, want %v", err, raft.ErrNotLeader)
	}
}

// TestVerifyEndsWithItsContext checks that a call of Verify whose context is cancelled fails with raft.ErrNotLeader.
func TestVerifyEndsWithItsContext(t *testing.T) {
	v := newLeadershipVerifier(func() bool { return true }, nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := v.Verify(ctx); !errors.Is(err, raft.ErrNotLeader) || !errors.Is(err, context.Canceled) {
		t.Errorf("Verify: error %v, want %v and %v", err, raft.ErrNotLeader, context.Canceled)
	}
}
