package hoststate

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"yokeroute/gather"
)

// Constants of ejection. Times are in milliseconds.
const (
	// outlierThreshold is the excess of a host's failure share over the lowest one in its group above which an
	// observer counts as a vote for unhealthy. The decision module uses the same threshold.
	outlierThreshold = 0.25
	// healthyThreshold is the excess up to which an observer counts as a vote for healthy.
	healthyThreshold = 0.1
	// minRequests is the number of requests within rateWindow from which an observation counts.
	minRequests = 8.0
	// minRequestsEjected replaces minRequests for a host that is ejected.
	minRequestsEjected = 1.0
	// ejectionDelay is the time for which a host must be unhealthy before it is ejected.
	ejectionDelay = 2000.0
	// reinstatementDelay is the time for which an ejected host must be healthy before it is reinstated for the
	// first time. It doubles with each further ejection.
	reinstatementDelay = 4000.0
	// maxBackoff limits the times that double with each ejection.
	maxBackoff = 60_000.0
	// observationExpiry is the time after which an ejected host without observations is reinstated as a trial,
	// and after which the observations of a silent observer are dropped.
	observationExpiry = 10_000.0
	// minGroupShare is the fraction of a group's running hosts that are never ejected.
	minGroupShare = 0.5
	// minFleetShare is the fraction of all running hosts that are never ejected. If more of them would be,
	// ejection is suspended.
	minFleetShare = 0.7
	// distrustShare is the fraction of its hosts that an observer has to find unhealthy to be distrusted. It is
	// then probably cut off itself.
	distrustShare = 0.5
	// observerTimeout is the time without any observations after which ejection is suspended.
	observerTimeout = 15_000.0
	// reinstatedShare is the fraction of its weight that a host has when it is reinstated. Steps of the weight
	// restore the rest.
	reinstatedShare = 0.1
)

// votes counts the observers that find a host unhealthy or healthy.
type votes struct{ unhealthy, healthy int }

// updateEjections ejects and reinstates hosts by the votes of the observers.
func (d *Decider) updateEjections(now float64) {
	votesByHost, trusted := d.countVotes()
	for _, name := range d.names {
		d.hosts[name].applyVotes(votesByHost[name], trusted, now)
	}
	d.limitEjections(now, trusted)
}

// countVotes returns the votes of the observers that are not distrusted, by host, and the number of these
// observers. An observer that finds half of its hosts unhealthy is distrusted: its own network path is
// probably at fault.
func (d *Decider) countVotes() (votesByHost map[string]*votes, trusted int) {
	votesByHost = map[string]*votes{}
	// Decisions must not depend on the iteration order of a map.
	for _, observer := range slices.Sorted(maps.Keys(d.observations)) {
		outliers, count := d.findOutliers(d.observations[observer])
		if count == 0 {
			continue
		}
		d.distrusted[observer] = len(outliers) > 1 && float64(len(outliers)) >= distrustShare*float64(count)
		if d.distrusted[observer] {
			continue
		}
		trusted++
		d.addVotes(votesByHost, d.observations[observer], outliers)
	}
	return votesByHost, trusted
}

// addVotes adds the votes of one observer.
func (d *Decider) addVotes(
	votesByHost map[string]*votes, observations map[string]Observation, outliers map[string]float64,
) {
	for name, o := range observations {
		if !d.isSignificant(&o) {
			continue
		}
		v := votesByHost[name]
		if v == nil {
			v = &votes{}
			votesByHost[name] = v
		}
		if excess, isOutlier := outliers[name]; isOutlier && excess > outlierThreshold {
			v.unhealthy++
		} else if !isOutlier {
			v.healthy++
		}
	}
}

// applyVotes ejects or reinstates a host by its votes. They are nil if it has none: an ejected host may get
// no requests, and others may not need any.
func (h *host) applyVotes(v *votes, trusted int, now float64) {
	switch {
	case v == nil:
		if h.ejected && now-h.lastObservedAt > h.backoff(observationExpiry) {
			h.reinstate()
		}
	case v.unhealthy > v.healthy && (v.unhealthy >= 2 || trusted == 1):
		if h.healthySince = 0; h.outlierSince == 0 {
			h.outlierSince = now
		}
		h.ejected = h.ejected || now-h.outlierSince >= ejectionDelay
	case v.healthy >= v.unhealthy && h.outlierSince > 0:
		if h.healthySince == 0 {
			h.healthySince = now
		}
		if now-h.healthySince >= h.backoff(reinstatementDelay) || !h.ejected {
			h.reinstate()
		}
	}
}

// reinstate ends the ejection of a host. The host starts with a small weight, so that not all proxies send it
// their full load at once.
func (h *host) reinstate() {
	if h.published.Health == Unhealthy {
		h.weight = max(h.weight*reinstatedShare, 1)
		h.published.Weight = uint32(max(math.Round(h.weight), 1))
	}
	h.ejected, h.outlierSince, h.healthySince = false, 0, 0
}

// backoff returns a time that doubles with each repeated ejection of the host, to dampen flapping.
func (h *host) backoff(time float64) float64 {
	return min(time*math.Pow(2, float64(min(max(h.ejections-1, 0), 10))), maxBackoff)
}

// isSignificant reports whether an observation is based on enough requests to count. An ejected host gets few
// requests, and the trial requests that check whether it has recovered are enough to keep it ejected.
func (d *Decider) isSignificant(o *Observation) bool {
	h := d.hosts[o.Host]
	return o.requests() >= minRequests || h != nil && h.ejected && o.requests() >= minRequestsEjected
}

// findOutliers returns the hosts whose failure share, as observed by one observer, exceeds the lowest of
// their group by more than healthyThreshold, with the excess. count is the number of hosts compared.
func (d *Decider) findOutliers(observations map[string]Observation) (outliers map[string]float64, count int) {
	lowest := map[int]float64{}
	for name, o := range observations {
		h := d.hosts[name]
		if h == nil || !d.isSignificant(&o) || h.State != gather.Running {
			continue
		}
		count++
		for _, g := range h.Groups {
			if f, known := lowest[g]; !known || o.FailureShare < f {
				lowest[g] = o.FailureShare
			}
		}
	}
	outliers = map[string]float64{}
	for name, o := range observations {
		h := d.hosts[name]
		if h == nil || !d.isSignificant(&o) || h.State != gather.Running {
			continue
		}
		excess := math.Inf(1)
		for _, g := range h.Groups {
			excess = min(excess, o.FailureShare-lowest[g])
		}
		if len(h.Groups) > 0 && excess > healthyThreshold {
			outliers[name] = excess
		}
	}
	return outliers, count
}

// limitEjections keeps at least minGroupShare of each group in service; the hosts that have been unhealthy
// longest are ejected first. If so much of the fleet would be ejected that the observers are more likely at
// fault than the hosts, or if there are no observers, it suspends ejection.
func (d *Decider) limitEjections(now float64, trusted int) {
	running, ejected := 0, 0
	groups := map[int][]*host{}
	for _, name := range d.names {
		h := d.hosts[name]
		if h.State != gather.Running || h.removedAt > 0 {
			continue
		}
		running++
		if h.ejected {
			ejected++
		}
		for _, g := range h.Groups {
			groups[g] = append(groups[g], h)
		}
	}
	tooMany := float64(ejected) > max((1-minFleetShare)*float64(running), 1)
	d.suspended = tooMany || trusted == 0 && now-d.latestReportAt() > observerTimeout
	if d.suspended {
		for _, h := range d.hosts {
			h.ejected = false
		}
		return
	}
	groupNumbers := make([]int, 0, len(groups))
	for g := range groups {
		groupNumbers = append(groupNumbers, g)
	}
	slices.Sort(groupNumbers)
	for _, g := range groupNumbers {
		hosts := groups[g]
		slices.SortStableFunc(hosts, func(a, b *host) int { return cmp.Compare(a.outlierSince, b.outlierSince) })
		allowance := int(math.Floor((1 - minGroupShare) * float64(len(hosts))))
		for _, h := range hosts {
			if !h.ejected {
				continue
			}
			if allowance--; allowance < 0 {
				h.ejected = false // outlierSince stays, so that the host is ejected once others have recovered
			}
		}
	}
}

// latestReportAt returns the time of the latest report of any observer, or that of the start if it is later.
func (d *Decider) latestReportAt() float64 {
	latest := d.startedAt // gives observers time to report after the start
	for _, t := range d.lastReportAt {
		latest = max(latest, t)
	}
	return latest
}

// trustedObservers returns the names of the observers whose observations count, in alphabetical order.
func (d *Decider) trustedObservers() (names []string) {
	for name := range d.observations {
		if !d.distrusted[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
