package shardcall

import (
	"errors"
	"fmt"

	"yokeroute/gather"
)

// Stage is the progress of an attempt when it ended without a value.
type Stage int

// Stages at which an attempt can end without a value.
const (
	NotSent    Stage = iota // no byte was written, since the attempt was no longer allowed or its server not listed
	Connecting              // the connection was refused or could not be established
	Writing                 // the connection ended before the last byte of the frame was written
	Written                 // the connection ended or received invalid data after the frame was written
	Rejected                // the server answered busy
	Failed                  // the server answered err
	TimedOut                // no answer arrived in time
	Cancelled               // the decision module cancelled the attempt after it was written
	NotOwner                // the server answered moved: it does not own the keys under that epoch
	stageCount
)

// outcomeOfStage maps each stage to the outcome that it proves. No other code may derive this, because it determines
// whether a non-idempotent request is sent again. Once the last byte of the frame is written, the attempt may have
// been executed.
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

// Error describes why an attempt ended without a value.
type Error struct {
	Stage Stage
	Err   error
}

func (e *Error) Error() string { return fmt.Sprintf("attempt ended at stage %d: %v", e.Stage, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Outcome returns the outcome to report for an attempt that ended with err, which is nil for a value. An error that is
// not an *Error proves nothing: the attempt may have been executed.
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
	errNotAllowed    = errors.New("attempt is no longer allowed")
	errRejected      = errors.New("server is busy")
	errFailed        = errors.New("server returned an error")
	errNotOwner      = errors.New("server does not own the keys")
	errTimedOut      = errors.New("attempt timed out")
	errCancelled     = errors.New("cancelled")
	errConnIdle      = errors.New("connection was idle")
	errConnRetired   = errors.New("server was removed or its address changed")
	errConnSilent    = errors.New("no data received while attempts were in flight")
	errFrameRejected = errors.New("server rejected a frame")
	errNotListed     = errors.New("server is not in the endpoint list")
)
