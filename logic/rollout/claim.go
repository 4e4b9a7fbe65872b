package rollout

// Claim is the lease by which one rollout may change a gatherer.
type Claim struct {
	RunID        string  `json:"run"`
	FencingToken uint64  `json:"fence"` // of the rollout's controllers: each later one's is higher
	ExpiresAt    float64 `json:"until"` // by the gatherer's clock, Unix milliseconds
}

// Grant decides over a request for a claim. Held is the one that the gatherer has, nil for none. It returns
// who holds the gatherer from now on, and whether that is the requester.
//
// Another rollout is refused until the claim expires, since its steps may still be running. A controller of
// the same rollout with a lower fencing token is refused too: it has been replaced and must not change
// anything more.
func Grant(held *Claim, requested Claim, now float64) (holder Claim, granted bool) {
	if held == nil || held.ExpiresAt <= now {
		return requested, true
	}
	if held.RunID != requested.RunID || held.FencingToken > requested.FencingToken {
		return *held, false
	}
	return requested, true
}

// Release reports whether a request to release a claim frees the gatherer: it has to come from the rollout
// that holds it, by the controller that took it or a later one.
func Release(held *Claim, runID string, fencingToken uint64) bool {
	return held != nil && held.RunID == runID && held.FencingToken <= fencingToken
}
