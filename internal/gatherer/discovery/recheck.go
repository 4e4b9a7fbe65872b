package discovery

import "time"

// A recheck is another request for the full list, made once the agent must know of all changes that another agent, or
// an earlier process, has reported. Its response overrides the known states.

// scheduleRecheck schedules another request for the full list if the known state of a server was kept against the
// agent's list. The request is due once the agent has been reachable for maxListAge without interruption. restart
// makes that time begin anew, after an interruption or when the agent falls behind.
func (w *Watcher) scheduleRecheck(restart bool) {
	switch {
	case len(w.endpoints.overruled) == 0:
		w.recheckAt = time.Time{}
	case restart || w.recheckAt.IsZero():
		w.recheckAt = time.Now().Add(maxListAge)
	}
}

// isRecheck reports whether a request for the full list was made after the recheck was due, so that its response
// overrides the known states. A response to an earlier request may be older than they are.
func (w *Watcher) isRecheck(requestedAt time.Time) bool {
	return !w.recheckAt.IsZero() && !requestedAt.Before(w.recheckAt)
}

// isInterruption reports whether an answered request was made so long after the last response that the agent may not have
// been reachable between them. A recheck that was requested before that, and is still in flight, will show that it was.
func (w *Watcher) isInterruption(answered *requestInFlight) bool {
	reachableUntil := w.lastAcceptedAt.Add(headerTimeout)
	if w.lastAcceptedAt.IsZero() || !answered.StartedAt.After(reachableUntil) {
		return false
	}
	for _, r := range w.requests.Requests() {
		if w.isRecheckBeside(answered, r) && !r.StartedAt.After(reachableUntil) {
			return false
		}
	}
	return true
}

// isRecheckBeside reports whether a request is a recheck that the response to another request does not replace: that of a
// long poll, or a list that was requested before the recheck was due.
func (w *Watcher) isRecheckBeside(answered, other *requestInFlight) bool {
	if other.Info.watch || !w.isRecheck(other.StartedAt) {
		return false
	}
	return answered.Info.watch || !w.isRecheck(answered.StartedAt)
}

// recheckIfDue makes the next poll request the full list if a recheck is due and has not been requested recently.
func (w *Watcher) recheckIfDue() {
	now := time.Now()
	if !w.watching || !w.isRecheck(now) {
		return
	}
	for _, r := range w.requests.Requests() {
		if !r.Info.watch && w.isRecheck(r.StartedAt) && now.Sub(r.StartedAt) < recheckHedgeDelay {
			return
		}
	}
	w.watching = false
	w.poll = poll{}
}
