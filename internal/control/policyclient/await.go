package policyclient

import (
	"context"
	"fmt"
	"strings"
	"time"

	"yokeroute/internal/control/policyapi"
	"yokeroute/logic/policy"
)

// Await waits until a change was abandoned, or was committed and is applied everywhere. It calls onProgress with what
// is missing, each time that this changes.
func (c *Client) Await(ctx context.Context, number uint64, onProgress func(string)) (*policy.Change, error) {
	reported := ""
	for {
		status, err := c.Status(ctx)
		if err != nil && ctx.Err() != nil {
			return nil, ctx.Err()
		}
		progress := ""
		if err != nil {
			progress = err.Error()
		} else {
			var change *policy.Change
			change, progress, err = changeProgress(status, number)
			if change != nil || err != nil {
				return change, err
			}
		}
		if progress != reported && progress != "" {
			reported = progress
			onProgress(progress)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(awaitInterval):
		}
	}
}

// changeProgress returns a change that has ended and needs no further waiting, or else what is missing.
func changeProgress(s *policyapi.Status, number uint64) (ended *policy.Change, progress string, err error) {
	record := &s.Record
	switch {
	case record.Pending != nil && record.Pending.Number == number:
		return nil, s.WaitingFor, nil
	case record.LastEnded < number:
		return nil, "", nil
	}
	for i := range record.History {
		if record.History[i].Number == number {
			ended = &record.History[i]
		}
	}
	switch {
	case ended == nil:
		return nil, "", fmt.Errorf("change %d ended long ago", number)
	case ended.Outcome != policy.Committed || s.AppliedEverywhere:
		return ended, "", nil
	}
	return nil, "decided; not yet heard by " + strings.Join(s.Missing, ", "), nil
}
