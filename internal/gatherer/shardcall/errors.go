package shardcall

import (
	"errors"
	"fmt"

	"yokeroute/gather"
)

// Stage is how far an attempt had come when it ended without a value.
type Stage int

// The stages.
const (
	NotSent    Stage = iota // it had become forbidden before its first byte
	Connecting              // the connection was refused or did not come up
	Writing                 // the connection ended before the frame's last byte
	Written                 // the connection ended or was misused after that
	Rejected                // the server answered busy
	Failed                  // the server answered err
	TimedOut                // no answer in time
	Cancelled               // by the decisions, after it was written
	NotOwner                // the server answered moved: it does not own the keys under that epoch
	stageCount
)

// outcomeOfStage says what a stage proves. It is the only place that does: whether a non-idempotent request is sent
// again depends on it. From the frame's last byte on, the attempt may have run.
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

// Error is the end of an attempt without a value.
type Error struct {
	Stage Stage
	Err   error
}

func (e *Error) Error() string { return fmt.Sprintf("attempt ended at stage %d: %v", e.Stage, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Outcome is what the decisions learn of an attempt that ended with this error, nil for a value. An error that is no
// *Error proves nothing: the attempt may have run.
func Outcome(err error) gather.Outcome {
	if err == nil {
		return gather.Succeeded
	}
	var e *Error
	if errors.As(err, &e) && e.Stage >= 0 && e.Stage < stageCount {
		return outcomeOfStage[e.Stage]
	}
	return gather.ConnectionReset
}

var (
	errNotAllowed   = errors.New("no longer allowed")
	errRejected     = errors.New("server is busy")
	errFailed       = errors.New("server failed")
	errNotOwner     = errors.New("server does not own the keys")
	errTimedOut     = errors.New("timed out")
	errCancelled    = errors.New("cancelled")
	errConnIdle     = errors.New("connection idle")
	errConnRetired  = errors.New("server is removed or has another address")
	errConnSilent   = errors.New("connection silent")
	errFrameRefused = errors.New("server refused a frame")
	errNotListed    = errors.New("server is not listed")
)
