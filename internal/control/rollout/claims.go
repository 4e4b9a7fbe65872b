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
	"yokeroute/internal/inflight"
	"yokeroute/internal/storage/runfolder"
	"yokeroute/logic/rollout"
)

// claimDuration is the time after which a claim expires. The controller renews its claims in each round.
const claimDuration = time.Minute

// maxClaimResponseBytes limits how much of the response to a claim is read.
const maxClaimResponseBytes = 4096

// errClaimedByOtherRun reports that another rollout holds the claim on a gatherer.
var errClaimedByOtherRun = errors.New("is being changed by another run")

// claimRejected reports whether err means that a gatherer rejected a claim. A claim without a response does not count
// as rejected, since possibly nobody holds a claim on the gatherer.
func claimRejected(err error) bool {
	return errors.Is(err, errClaimedByOtherRun) || errors.Is(err, runfolder.ErrSuperseded)
}

// claimRequest is the body of a claim request.
type claimRequest struct {
	FencingToken uint64 `json:"fence"`
	Milliseconds int64  `json:"for"`
	RunID        string `json:"run"`
}

// claim claims a gatherer, or renews the claim, and waits for the response as long as a round does.
func (c *reportClient) claim(ctx context.Context, g int, runID string, fencingToken uint64) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return c.requestClaim(ctx, g, runID, fencingToken)
}

// renewClaim claims a gatherer, or renews the claim. The response may be that to the claim of an earlier round.
func (c *reportClient) renewClaim(ctx context.Context, g int, runID string, fencingToken uint64) error {
	request := c.claims[g].Start(ctx, struct{}{},
		func(ctx context.Context, _ *inflight.Request[struct{}]) (struct{}, error) {
			return struct{}{}, c.requestClaim(ctx, g, runID, fencingToken)
		})
	_, err := c.claims[g].Await(ctx, request, reportTimeout, claimRejected)
	return err
}

// requestClaim sends a claim and reads the response. If the gatherer rejects it, the error tells whether another rollout
// holds the claim or a later controller of this one.
func (c *reportClient) requestClaim(ctx context.Context, g int, runID string, fencingToken uint64) error {
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
		return c.rejectionError(g, runID, resp.Body)
	}
	return fmt.Errorf("claim request got status %s, want 200 OK", resp.Status)
}

// rejectionError returns the error for a rejected claim. The response body names the claim's holder.
func (c *reportClient) rejectionError(g int, runID string, body io.Reader) error {
	var holder rollout.Claim
	if err := json.NewDecoder(io.LimitReader(body, maxClaimResponseBytes)).Decode(&holder); err != nil {
		return err
	}
	name := c.plan.Gatherers[g].Name
	if holder.RunID == runID { // a later controller took over after this one last checked the rollout's folder
		return fmt.Errorf("%w: gatherer %s is held by controller %d", runfolder.ErrSuperseded, name, holder.FencingToken)
	}
	return fmt.Errorf("gatherer %s %w: %s, controller %d", name, errClaimedByOtherRun, holder.RunID, holder.FencingToken)
}

// claimAll claims all reachable gatherers. It returns the error of a rejected claim, or nil if none was rejected.
func (c *reportClient) claimAll(ctx context.Context, runID string, fencingToken uint64) error {
	var mu sync.Mutex
	var rejection error
	c.forEachGatherer(func(g int) {
		if err := c.renewClaim(ctx, g, runID, fencingToken); claimRejected(err) {
			mu.Lock()
			defer mu.Unlock()
			rejection = err
		}
	})
	return rejection
}

// release releases the claim on a gatherer. Errors are ignored, since the claim expires by itself.
func (c *reportClient) release(ctx context.Context, g int, runID string, fencingToken uint64) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	query := "?run=" + url.QueryEscape(runID) + "&fence=" + strconv.FormatUint(fencingToken, 10)
	if resp, err := c.do(ctx, g, http.MethodDelete, report.ClaimPath+query, nil); err == nil {
		resp.Body.Close()
	}
}
