// Package hoststate decides the state and weight of each host as published to proxies: whether requests may
// be sent to it, and with which weight.
//
// The decisions are based on the list of hosts, on observations by serving gatherers (latency and share of
// failures of each host, and the number of requests behind them), and on the planned weights. A drain is
// published at once. A host is ejected only after a delay, and only if more than one observer finds it
// unhealthy, unless there is only one. Ejection is suspended if so many hosts would be ejected that a fault
// of the observers is more likely. Weights follow latency and warm-up in small steps, so that proxies which
// all receive the same weights do not move to the same host together. A host that is draining or was removed
// must never be published as available for new requests (rule 3), and a host that is warming up must never
// get more than its warm-up share of a warm host's weight (rule 4). docs/design/control.md gives the reasons.
package hoststate

import (
	"cmp"
	"math"
	"slices"

	"yokeroute/gather"
)

// Tuned constants. Times are in milliseconds.
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

	baseWeight       = 100.0  // weight of a warm host with the median latency
	maxWeightStep    = 0.2    // maximum relative change of a weight in one step
	minWeightChange  = 0.1    // relative change from which a new weight is published
	weightInterval   = 1000.0 // time between two updates of the weights
	minLatencyFactor = 0.25   // weight of the slowest hosts, relative to one with the median latency
	// warmupMargin is the fraction of its safe weight that a host gets while warming up. The decision module
	// uses the same.
	warmupMargin     = 0.6
	latencySmoothing = 0.3 // weight of a new latency in the moving average

	// observerTimeout is the time without any observations after which ejection is suspended.
	observerTimeout = 15_000.0
	// reinstatedShare is the fraction of its weight that a host has when it is reinstated. Steps of the weight
	// restore the rest.
	reinstatedShare = 0.1

	// maxVanishedShare is the fraction of the running hosts that, if they vanish together without a drain,
	// indicates a fault of the list.
	maxVanishedShare = 0.3
	// minVanished is the number of hosts below which maxVanishedShare does not apply.
	minVanished = 3.0
	// vanishedGrace is the time for which hosts that vanished by a fault of the list are kept.
	vanishedGrace = 30_000.0
)

// Host is an entry of the list of hosts.
type Host struct {
	Name          string
	Zone          string
	Address       string
	Groups        []int // groups of segments that the host holds; at least one
	State         gather.State
	StartedAt     float64 // start time of the process; 0 if it started long ago
	PlannedWeight float64 // relative weight in a plan, 1 on average; 0 if there is no plan
}

// Observation holds what one observer recently measured of one host.
type Observation struct {
	Host string
	// Latency is in milliseconds. FailureLatency is the extra latency that a failure causes.
	Latency, FailureShare, FailureLatency float64
	Rate                                  float64 // shard requests per second
	InFlight                              float64 // shard requests in flight
}

// rateWindow is the time in seconds over which the requests behind an observation are counted.
const rateWindow = 5

func (o *Observation) requests() float64 { return o.Rate * rateWindow }

// expectedLatency returns the latency to expect of one more request to the host: the measured latency or, if
// it is larger, that of the requests in flight by Little's law, plus the extra latency by failures.
func (o *Observation) expectedLatency() float64 {
	l := o.Latency
	if o.Rate > 0 {
		l = max(l, 1000*o.InFlight/o.Rate)
	}
	return l + min(o.FailureShare, 1)*o.FailureLatency
}

// Health is the health of a host as published to proxies.
type Health int

// Health values.
const (
	Healthy   Health = iota
	Unhealthy        // ejected: no requests are sent to the host while others are available
	Draining
)

// Endpoint is a host as published to proxies.
type Endpoint struct {
	Name      string
	Zone      string
	Address   string
	Groups    []int
	Health    Health
	Weight    uint32
	StartedAt float64 // start time of the process; distinguishes successive processes of the same name
}

// WarmupSettings describes how the capacity of a host grows after a cold start: from InitialShare of its full
// capacity, linearly, over Duration in milliseconds.
type WarmupSettings struct{ InitialShare, Duration float64 }

// host holds the observations of a host and the decisions about it.
type host struct {
	Host
	published      Endpoint
	weight         float64 // smoothed weight, before rounding
	latency        float64
	outlierSince   float64 // time since which observers find the host unhealthy; 0 if they don't
	healthySince   float64
	ejected        bool
	ejections      int // number of ejections of this process
	lastObservedAt float64
	removedAt      float64 // time at which the host left the list; 0 while it is listed
	isPublished    bool
	unweighted     bool // no weight has been computed for this process yet
}

// Decider decides which endpoints are published. It is not safe for concurrent use.
type Decider struct {
	warmup        WarmupSettings
	hosts         map[string]*host
	names         []string // names of the hosts, sorted
	observations  map[string]map[string]Observation
	lastReportAt  map[string]float64 // time of the last observations, by observer
	lastWeighedAt float64
	startedAt     float64 // time of the first Decide or Restore
	version       uint64
	suspended     bool
	distrusted    map[string]bool
}

// New returns a decider without hosts. version is the last version that was published before.
func New(warmup WarmupSettings, version uint64) *Decider {
	return &Decider{warmup: warmup, hosts: map[string]*host{}, observations: map[string]map[string]Observation{},
		lastReportAt: map[string]float64{}, distrusted: map[string]bool{}, version: version}
}

// Version returns the version of the published endpoints. It grows with each change.
func (d *Decider) Version() uint64 { return d.version }

// AdvanceVersion raises the version above one that a proxy received from another instance. It returns false,
// and changes nothing, if the version is not ahead, or so far ahead that no instance can have reached it:
// otherwise a faulty proxy could exhaust the version numbers.
func (d *Decider) AdvanceVersion(version uint64) bool {
	if version <= d.version || version-d.version > maxVersionLead {
		return false
	}
	d.version = version + 1
	return true
}

// maxVersionLead limits by how much AdvanceVersion raises the version. It corresponds to a thousand changes a
// second for a month.
const maxVersionLead = 1 << 32

// EjectionSuspended reports whether no host is ejected at present, because the observers are not credible.
func (d *Decider) EjectionSuspended() bool { return d.suspended }

// Restore starts from the endpoints that another decider published before. They stay until the list of hosts
// changes them.
func (d *Decider) Restore(endpoints []Endpoint, now float64) {
	d.startedAt = now
	for _, e := range endpoints {
		h := &host{Host: Host{Name: e.Name, Zone: e.Zone, Address: e.Address, Groups: e.Groups,
			StartedAt: e.StartedAt}, published: e, weight: float64(e.Weight), lastObservedAt: now, isPublished: true}
		if e.Health == Draining {
			h.State = gather.Draining
		}
		if e.Health == Unhealthy {
			h.ejected, h.outlierSince, h.ejections = true, now, 1
		}
		d.hosts[e.Name] = h
	}
	d.sortNames()
}

func (d *Decider) sortNames() {
	d.names = d.names[:0]
	for name := range d.hosts {
		d.names = append(d.names, name)
	}
	slices.Sort(d.names) // decisions must not depend on the iteration order of a map
}

// SetHosts sets the list of hosts. Hosts that are not in it count as removed.
func (d *Decider) SetHosts(hosts []Host, now float64) {
	listed := map[string]bool{}
	for _, listedHost := range hosts {
		listed[listedHost.Name] = true
		h := d.hosts[listedHost.Name]
		if h == nil {
			h = &host{unweighted: true}
			d.hosts[listedHost.Name] = h
		}
		// After a restart or a removal the observations so far concern an earlier process of the same name.
		if gather.Restarted(h.StartedAt, listedHost.StartedAt) || listedHost.State == gather.Removed {
			h.ejected, h.outlierSince, h.healthySince, h.ejections, h.latency, h.unweighted = false, 0, 0, 0, 0, true
			for _, observations := range d.observations {
				delete(observations, listedHost.Name)
			}
		}
		listedHost.StartedAt = gather.NewestStart(h.StartedAt, listedHost.StartedAt)
		h.Host, h.removedAt = listedHost, 0
	}
	for name, h := range d.hosts {
		if !listed[name] && h.removedAt == 0 {
			h.removedAt = now
		}
	}
	d.sortNames()
}

// SetObservations replaces all observations of one observer.
func (d *Decider) SetObservations(observer string, observations []Observation, now float64) {
	byHost := make(map[string]Observation, len(observations))
	for _, o := range observations {
		byHost[o.Host] = o
		if h := d.hosts[o.Host]; h != nil && d.isSignificant(&o) {
			h.lastObservedAt = now
		}
	}
	d.observations[observer], d.lastReportAt[observer] = byHost, now
}

// Change is the result of a decision.
type Change struct {
	Changed []string // names of the hosts whose endpoints have changed
	Urgent  bool     // a drain, a removal, or a change of address or process, to be published before all else
}

// Decide updates the published endpoints for the given time.
func (d *Decider) Decide(now float64) (c Change) {
	if d.startedAt == 0 {
		d.startedAt = now
	}
	for observer, reportedAt := range d.lastReportAt {
		if now-reportedAt > observationExpiry {
			delete(d.lastReportAt, observer)
			delete(d.observations, observer)
		}
	}
	d.updateEjections(now)
	reweigh := now-d.lastWeighedAt >= weightInterval
	if reweigh {
		d.lastWeighedAt = now
		d.updateLatencies()
	}
	var medians map[int]float64
	if reweigh {
		medians = d.medianLatencies()
	}
	listCredible := d.isListCredible(now)
	var removed []string
	for _, name := range d.names {
		h := d.hosts[name]
		if h.removedAt > 0 && h.State == gather.Running && !listCredible && now-h.removedAt < vanishedGrace {
			continue // the host stays as published
		}
		if h.State == gather.Removed || h.removedAt > 0 {
			removed = append(removed, name)
			if h.isPublished {
				c.Changed, c.Urgent = append(c.Changed, name), true
			}
			continue
		}
		if reweigh || h.unweighted { // a new process has no latency to compare with medians
			d.updateWeight(h, medians, now)
		}
		e := Endpoint{Name: name, Zone: h.Zone, Address: h.Address, Groups: h.Groups, Weight: h.published.Weight,
			StartedAt: h.StartedAt}
		switch {
		case h.State == gather.Draining:
			e.Health = Draining
		case h.ejected:
			e.Health = Unhealthy
		}
		rounded := uint32(max(math.Round(h.weight), 1))
		relativeChange := math.Abs(float64(rounded)-float64(e.Weight)) / max(float64(e.Weight), 1)
		if !h.isPublished || h.unweighted || reweigh && relativeChange >= minWeightChange {
			e.Weight = rounded
		}
		h.unweighted = false
		previous := h.published
		if h.isPublished && equalEndpoints(e, previous) {
			continue
		}
		urgent := e.Health == Draining && previous.Health != Draining || e.Address != previous.Address ||
			e.StartedAt != previous.StartedAt // a restarted host is cold again
		c.Urgent = c.Urgent || h.isPublished && urgent
		if e.Health == Unhealthy && previous.Health != Unhealthy {
			h.ejections++
		}
		h.published, h.isPublished = e, true
		c.Changed = append(c.Changed, name)
	}
	for _, name := range removed {
		delete(d.hosts, name)
		for _, observations := range d.observations {
			delete(observations, name)
		}
	}
	if len(removed) > 0 {
		d.sortNames()
	}
	if len(c.Changed) > 0 {
		d.version++
	}
	return c
}

func equalEndpoints(a, b Endpoint) bool {
	return a.Name == b.Name && a.Zone == b.Zone && a.Address == b.Address && a.Health == b.Health &&
		a.Weight == b.Weight && a.StartedAt == b.StartedAt && slices.Equal(a.Groups, b.Groups)
}

// Endpoints returns all published endpoints, sorted by name.
func (d *Decider) Endpoints() []Endpoint {
	all := make([]Endpoint, 0, len(d.names))
	for _, name := range d.names {
		if h := d.hosts[name]; h.isPublished {
			all = append(all, h.published)
		}
	}
	return all
}

// updateEjections ejects and reinstates hosts by the votes of the observers.
func (d *Decider) updateEjections(now float64) {
	observers := make([]string, 0, len(d.observations))
	for name := range d.observations {
		observers = append(observers, name)
	}
	slices.Sort(observers) // decisions must not depend on the iteration order of a map
	type votes struct{ unhealthy, healthy int }
	votesByHost := map[string]*votes{}
	trusted := 0
	for _, observer := range observers {
		outliers, count := d.findOutliers(d.observations[observer])
		if count == 0 {
			continue
		}
		// If an observer can't reach half of its hosts, its own network path is probably at fault.
		d.distrusted[observer] = len(outliers) > 1 && float64(len(outliers)) >= distrustShare*float64(count)
		if d.distrusted[observer] {
			continue
		}
		trusted++
		for name, o := range d.observations[observer] {
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
	for _, name := range d.names {
		h, v := d.hosts[name], votesByHost[name]
		switch {
		case v == nil: // no observations: an ejected host may get no requests, and others may not need any
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
	d.limitEjections(now, trusted)
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

// isListCredible reports whether the list can be trusted about hosts that have left it. Hosts normally drain
// before they leave; if many vanish at once without a drain, it is more likely that the list is broken.
func (d *Decider) isListCredible(now float64) bool {
	vanished, running := 0.0, 0.0
	for _, h := range d.hosts {
		if !h.isPublished || h.State != gather.Running {
			continue
		}
		running++
		if h.removedAt > 0 && now-h.removedAt < vanishedGrace {
			vanished++
		}
	}
	return vanished < minVanished || vanished < maxVanishedShare*running
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

// updateLatencies updates the moving average of each host's latency from the trusted observers.
func (d *Decider) updateLatencies() {
	observers := d.trustedObservers()
	for _, name := range d.names {
		h := d.hosts[name]
		sum, n := 0.0, 0.0
		for _, observer := range observers {
			if o, seen := d.observations[observer][name]; seen && o.requests() >= minRequests && o.Latency > 0 {
				sum, n = sum+o.expectedLatency(), n+1
			}
		}
		if n == 0 {
			continue
		}
		if h.latency == 0 {
			h.latency = sum / n
		}
		h.latency += latencySmoothing * (sum/n - h.latency)
	}
}

// medianLatencies returns the median latency of each group.
func (d *Decider) medianLatencies() map[int]float64 {
	byGroup := map[int][]float64{}
	for _, name := range d.names {
		if h := d.hosts[name]; h.latency > 0 && h.State == gather.Running {
			for _, g := range h.Groups {
				byGroup[g] = append(byGroup[g], h.latency)
			}
		}
	}
	medians := make(map[int]float64, len(byGroup))
	for g, latencies := range byGroup {
		slices.Sort(latencies)
		medians[g] = latencies[(len(latencies)-1)/2]
	}
	return medians
}

// updateWeight moves the weight of a host one step towards its target, which follows from latency, warm-up
// and planned weight.
func (d *Decider) updateWeight(h *host, medians map[int]float64, now float64) {
	target := baseWeight
	if h.PlannedWeight > 0 {
		target *= h.PlannedWeight
	}
	if h.latency > 0 {
		factor := 1.0
		for _, g := range h.Groups {
			if medians[g] > 0 {
				factor = min(factor, medians[g]/h.latency)
			}
		}
		target *= max(factor, minLatencyFactor)
	}
	// A host that is warming up gets its warm-up share at once, without steps, since a step could exceed it.
	share := d.warmShare(h, now)
	switch {
	case share < 1:
		h.weight = target * share * warmupMargin
	case h.weight == 0:
		h.weight = target
	default:
		h.weight = min(max(target, h.weight*(1-maxWeightStep)), max(h.weight*(1+maxWeightStep), 1.5))
	}
	h.weight = max(h.weight, 1)
}

func (d *Decider) trustedObservers() (names []string) {
	for name := range d.observations {
		if !d.distrusted[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// warmShare returns the lowest share of its full capacity that a host can have by now.
func (d *Decider) warmShare(h *host, now float64) float64 {
	age := now - h.StartedAt
	if h.StartedAt == 0 || d.warmup.Duration == 0 || age >= d.warmup.Duration {
		return 1
	}
	return d.warmup.InitialShare + (1-d.warmup.InitialShare)*max(age, 0)/d.warmup.Duration
}
