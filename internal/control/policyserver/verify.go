package policyserver

import (
	"context"
	"errors"

	"github.com/hashicorp/raft"
)

// leadershipVerifier asks the quorum whether this server is still the leader. One verification serves all requests that
// arrived before it started. It does not serve requests that arrive later: otherwise a server that was suspended, and
// lost its leadership meanwhile, would grant leases.
type leadershipVerifier struct {
	isLeader func() bool  // reports whether this server is the leader according to its own state
	verify   func() error // asks the quorum, and returns nil if this server is the leader
	requests chan chan error
}

func newLeadershipVerifier(isLeader func() bool, verify func() error) *leadershipVerifier {
	return &leadershipVerifier{isLeader: isLeader, verify: verify, requests: make(chan chan error)}
}

// run serves requests until ctx is done.
func (v *leadershipVerifier) run(ctx context.Context) {
	for {
		waiting := v.nextBatch(ctx)
		if waiting == nil {
			return
		}
		// When raft shuts down, it does not answer a verification that it has not started. So this goroutine may
		// outlive ctx.
		verified := make(chan error, 1)
		go func() { verified <- v.verify() }()
		err := raft.ErrRaftShutdown
		select {
		case err = <-verified:
		case <-ctx.Done():
		}
		for _, w := range waiting {
			w <- err
		}
	}
}

// nextBatch waits for a request and returns all that have arrived by then, or nil once ctx is done.
func (v *leadershipVerifier) nextBatch(ctx context.Context) (waiting []chan error) {
	select {
	case <-ctx.Done():
		return nil
	case w := <-v.requests:
		waiting = append(waiting, w)
	}
	for {
		select {
		case w := <-v.requests:
			waiting = append(waiting, w)
		default:
			return waiting
		}
	}
}

// Verify returns nil once a verification that started after the call has succeeded.
func (v *leadershipVerifier) Verify(ctx context.Context) error {
	if !v.isLeader() {
		return raft.ErrNotLeader
	}
	result := make(chan error, 1)
	select {
	case v.requests <- result:
	case <-ctx.Done():
		return errors.Join(raft.ErrNotLeader, ctx.Err())
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return errors.Join(raft.ErrNotLeader, ctx.Err())
	}
}
