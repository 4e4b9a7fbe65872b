// Package hedging decides which of several overlapping requests to one peer stay in flight. A peer may
// take any time to respond, and may leave some requests without a response for good. Requests of many ages
// are therefore kept: whichever time the peer takes, some request has been in flight for that long, and
// requests without a response do not displace those that will get one.
package hedging

const (
	// denseAgeMS is the age up to which requests are kept at equal distances. Discovery's changes count as
	// known 6 s after discovery has them, so that a peer that responds within that time has to be heard in
	// time.
	denseAgeMS = 7000.0
	// denseDistanceMS is the distance between requests up to denseAgeMS. Beyond it, the distance grows with
	// the age.
	denseDistanceMS = 1000.0
)

// Evict returns the index of the request to cancel before another one is made. startedAt holds the start
// times of the requests in flight in milliseconds, in ascending order. The oldest request is never
// cancelled; there must be another one.
func Evict(startedAt []float64, now float64) int {
	evicted, lowest := len(startedAt)-1, 0.0
	for i := len(startedAt) - 1; i > 0; i-- {
		next := now // the request that is about to be made
		if i+1 < len(startedAt) {
			next = startedAt[i+1]
		}
		gap := next - startedAt[i-1]
		relativeGap := gap / wantedDistance(now-startedAt[i])
		if i == evicted || relativeGap < lowest {
			evicted, lowest = i, relativeGap
		}
	}
	return evicted
}

// wantedDistance returns the wanted distance between requests of an age, in milliseconds.
func wantedDistance(age float64) float64 {
	if age < denseAgeMS {
		return denseDistanceMS
	}
	return age
}
