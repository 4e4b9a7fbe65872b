package policyserver

import (
	"context"
	"errors"

	"github.com/hashicorp/raft"
)

// prover asks the other stewards whether this one still leads, once for all who want to know at a time. Only a proof that
// was begun after a question came counts for it: a steward that was stopped and overtaken would else give leases.
type prover struct {
	leads  func() bool  // as far as this steward knows
	verify func() error // by the others' word
	join   chan chan error
}

func newProver(leads func() bool, verify func() error) *prover {
	return &prover{leads, verify, make(chan chan error)}
}

// run proves until ctx ends.
func (p *prover) run(ctx context.Context) {
	for {
		var waiting []chan error
		select {
		case <-ctx.Done():
			return
		case w := <-p.join:
			waiting = append(waiting, w)
		}
		for more := true; more; { // all that are there by now
			select {
			case w := <-p.join:
				waiting = append(waiting, w)
			default:
				more = false
			}
		}
		// The library answers no proof that it has not come to when it is shut down, so that one can't be waited for
		// beyond ctx's end.
		proof := make(chan error, 1)
		go func() { proof <- p.verify() }()
		err := raft.ErrRaftShutdown
		select {
		case err = <-proof:
		case <-ctx.Done():
		}
		for _, w := range waiting {
			w <- err
		}
	}
}

// proved waits for a proof that begins now.
func (p *prover) proved(ctx context.Context) error {
	if !p.leads() {
		return raft.ErrNotLeader
	}
	w := make(chan error, 1)
	select {
	case p.join <- w:
	case <-ctx.Done():
		return errors.Join(raft.ErrNotLeader, ctx.Err())
	}
	select {
	case err := <-w:
		return err
	case <-ctx.Done():
		return errors.Join(raft.ErrNotLeader, ctx.Err())
	}
}
