package policyserver

import (
	"context"
	"errors"
	"testing"

	"github.com/hashicorp/raft"
)

// TestVerifierEndsWithoutAnswer: a verification that is never answered, as where raft is shut down before it starts it,
// keeps neither the verifier nor a request from ending.
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
		t.Errorf("%v", err)
	}
	err := newLeadershipVerifier(func() bool { return false }, nil).Verify(t.Context())
	if !errors.Is(err, raft.ErrNotLeader) {
		t.Errorf("%v", err)
	}
}

// TestVerifyEndsWithItsContext: a request that is given up is not a leader's.
func TestVerifyEndsWithItsContext(t *testing.T) {
	v := newLeadershipVerifier(func() bool { return true }, nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := v.Verify(ctx); !errors.Is(err, raft.ErrNotLeader) || !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
}
