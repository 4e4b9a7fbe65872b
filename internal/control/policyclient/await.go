package policyclient

import (
	"context"
	"fmt"
	"strings"
	"time"

	"yokeroute/internal/control/policyapi"
	"yokeroute/logic/policy"
)

// Await waits until a change is abandoned, or is committed and applied everywhere. It calls onProgress with what the
// change waits for, each time that this text changes.
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

// changeProgress returns the change if Await is to return it, and otherwise what the change waits for.
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
		return nil, "", fmt.Errorf("change %d has ended and is no longer in the history", number)
	case ended.Outcome != policy.Committed || s.AppliedEverywhere:
		return ended, "", nil
	}
	return nil, "committed; not yet applied by " + strings.Join(s.Missing, ", "), nil
}
