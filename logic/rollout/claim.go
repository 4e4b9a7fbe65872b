package rollout

// Claim is a lease that entitles one rollout to change a gatherer.
type Claim struct {
	RunID        string  `json:"run"`
	FencingToken uint64  `json:"fence"` // increases with each controller of the rollout
	ExpiresAt    float64 `json:"until"` // by the gatherer's clock, Unix milliseconds
}

// GrantClaim decides on a request for a claim. current is the claim that the gatherer holds, nil for none.
// GrantClaim returns the claim that is valid from now on, and whether it is the requested one.
//
// A request from another rollout is rejected until the current claim expires, since steps of the rollout
// that holds it may still be running. A request from a controller of the same rollout with a lower fencing
// token is rejected too: that controller has been replaced and must not change anything any more.
func GrantClaim(current *Claim, requested Claim, now float64) (holder Claim, granted bool) {
	if current == nil || current.ExpiresAt <= now {
		return requested, true
	}
	if current.RunID != requested.RunID || current.FencingToken > requested.FencingToken {
		return *current, false
	}
	return requested, true
}

// ReleaseClaim reports whether a request to release a claim frees the gatherer: it has to come from the
// rollout that holds the claim, by the controller that acquired it or by a later one.
func ReleaseClaim(current *Claim, runID string, fencingToken uint64) bool {
	return current != nil && current.RunID == runID && current.FencingToken <= fencingToken
}
