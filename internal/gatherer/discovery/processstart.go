package discovery

// processStart holds what is known about the start of a server's process. Discovery reports the start time, and 0 once
// the start is long ago; it does not say how long that is. A reported 0 therefore orders neither before nor after any
// start time that was reported: it may stand for the same process. Times are Unix milliseconds.
type processStart struct {
	startedAt float64 // the newest start time reported, 0 if none was
	// longAgoAt is when the process was last reported as started long ago, 0 if it was not. startedAt may then be the
	// start time of an earlier process.
	longAgoAt float64
}

// updated returns the start after a report.
func (p processStart) updated(listed, now float64) processStart {
	switch {
	case listed == 0:
		return processStart{p.startedAt, now}
	case listed <= p.longAgoAt:
		return processStart{listed, p.longAgoAt}
	}
	return processStart{startedAt: listed}
}

// isBefore reports whether a process that is listed with the given start time is certainly a later one. A process that
// started after the known one was reported as started long ago is later, even if no start time was reported.
func (p processStart) isBefore(listed float64) bool {
	return listed > p.startedAt && listed > p.longAgoAt
}

// isAfter reports whether a process that is listed with the given start time is certainly an earlier one.
func (p processStart) isAfter(listed float64) bool {
	return listed != 0 && listed < p.startedAt
}
