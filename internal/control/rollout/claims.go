package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"yokeroute/internal/gatherer/report"
	"yokeroute/internal/storage/runfolder"
	"yokeroute/logic/rollout"
)

// claimDuration is for how long a claim holds. The controller renews it each round.
const claimDuration = time.Minute

// maxClaimAnswer bounds the answer to a claim, in bytes.
const maxClaimAnswer = 4096

// errClaimed is a gatherer that another rollout holds.
var errClaimed = errors.New("is being changed by another run")

// claimRefused reports whether a claim was refused. One that was not answered is not: the gatherer may hold nothing.
func claimRefused(err error) bool {
	return errors.Is(err, errClaimed) || errors.Is(err, runfolder.ErrSuperseded)
}

// claimRequest is the body of a claim.
type claimRequest struct {
	FencingToken uint64 `json:"fence"`
	Milliseconds int64  `json:"for"`
	RunID        string `json:"run"`
}

// claim claims a gatherer. The error says whether another rollout holds it, or a later controller of this one.
func (c *reportClient) claim(ctx context.Context, g int, runID string, fencingToken uint64) error {
	body, err := json.Marshal(claimRequest{fencingToken, claimDuration.Milliseconds(), runID})
	if err != nil {
		return err
	}
	resp, err := c.do(ctx, g, http.MethodPost, report.ClaimPath, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return c.refusal(g, runID, resp.Body)
	}
	return fmt.Errorf("answers %s", resp.Status)
}

// refusal is the error of a claim that was refused, by the answer.
func (c *reportClient) refusal(g int, runID string, answer io.Reader) error {
	var holder rollout.Claim
	if err := json.NewDecoder(io.LimitReader(answer, maxClaimAnswer)).Decode(&holder); err != nil {
		return err
	}
	name := c.plan.Gatherers[g].Name
	if holder.RunID == runID { // found here before the folder of the rollout was looked at again
		return fmt.Errorf("%w: gatherer %s is held by controller %d", runfolder.ErrSuperseded, name, holder.FencingToken)
	}
	return fmt.Errorf("gatherer %s %w: %s, controller %d", name, errClaimed, holder.RunID, holder.FencingToken)
}

// claimAll claims all gatherers that can be reached, and returns a refusal, if any.
func (c *reportClient) claimAll(ctx context.Context, runID string, fencingToken uint64) error {
	var mu sync.Mutex
	var refused error
	c.forEachGatherer(func(g int) {
		if err := c.claim(ctx, g, runID, fencingToken); claimRefused(err) {
			mu.Lock()
			defer mu.Unlock()
			refused = err
		}
	})
	return refused
}

// release releases a claim. One that can't be released expires.
func (c *reportClient) release(ctx context.Context, g int, runID string, fencingToken uint64) {
	query := "?run=" + url.QueryEscape(runID) + "&fence=" + strconv.FormatUint(fencingToken, 10)
	if resp, err := c.do(ctx, g, http.MethodDelete, report.ClaimPath+query, nil); err == nil {
		resp.Body.Close()
	}
}
