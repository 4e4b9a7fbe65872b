package shardcall

import (
	"errors"
	"fmt"

	"yokeroute/gather"
)

// Stage is how far a part call had come when it ended.
type Stage int

const (
	NotSent    Stage = iota // it had become forbidden before its first byte
	Connecting              // the connection was refused or never came up
	Writing                 // the connection broke before the frame's last byte
	Written                 // the connection broke or lost its framing after that
	Rejected                // the shard server said busy
	Failed                  // the shard server said err
	TimedOut                // no answer while it was waited for
	Cancelled               // the module gave it up after it was written
	NotOwner                // the shard server said moved: the keys are not its, under that epoch
	stageCount              // how many there are
)

// outcomeOfStage says what each stage proves, for the module. It is the one place where that is said: a once-only
// part is sent again only on the word of this table. Where the frame's last byte may be out, it may have run.
var outcomeOfStage = [stageCount]gather.Outcome{
	NotSent:    gather.NotSent,
	Connecting: gather.ConnectFailed,
	Writing:    gather.ConnectFailed,
	Written:    gather.ConnectionReset,
	Rejected:   gather.Rejected,
	Failed:     gather.Failed,
	TimedOut:   gather.TimedOut,
	Cancelled:  gather.Cancelled,
	NotOwner:   gather.NotOwner,
}

// Error tells how far a part call had come, and why it went no further.
type Error struct {
	Stage Stage
	Err   error
}

func (e *Error) Error() string { return fmt.Sprintf("part call ended at stage %d: %v", e.Stage, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Outcome is what the module is told of a part call that ended so; one that is no *Error may have run.
func Outcome(err error) gather.Outcome {
	var e *Error
	switch {
	case err == nil:
		return gather.Succeeded
	case errors.As(err, &e) && e.Stage >= 0 && e.Stage < stageCount:
		return outcomeOfStage[e.Stage]
	}
	return gather.ConnectionReset
}

var (
	errNotAllowed   = errors.New("no longer allowed")
	errRejected     = errors.New("shard server is busy")
	errFailed       = errors.New("shard server failed")
	errNotOwner     = errors.New("keys are not the shard server's")
	errTimedOut     = errors.New("time is up")
	errCancelled    = errors.New("given up")
	errConnIdle     = errors.New("idle")
	errConnRetired  = errors.New("shard server has gone or moved")
	errConnSilent   = errors.New("connection has been silent")
	errFrameRefused = errors.New("shard server could not use a frame")
	errNotListed    = errors.New("shard server is not on the list")
)
