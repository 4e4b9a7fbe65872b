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
	"math"
	"slices"

	"yokeroute/gather"
)

// Constants of the list of hosts. Times are in milliseconds.
const (
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
			d.dropObservations(listedHost.Name)
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
	d.expireObservations(now)
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
		if changed, urgent := h.publish(reweigh); changed {
			c.Changed = append(c.Changed, name)
			c.Urgent = c.Urgent || urgent
		}
	}
	d.forget(removed)
	if len(c.Changed) > 0 {
		d.version++
	}
	return c
}

// expireObservations drops the observations of silent observers.
func (d *Decider) expireObservations(now float64) {
	for observer, reportedAt := range d.lastReportAt {
		if now-reportedAt > observationExpiry {
			delete(d.lastReportAt, observer)
			delete(d.observations, observer)
		}
	}
}

// forget drops all that is known of removed hosts.
func (d *Decider) forget(removed []string) {
	if len(removed) == 0 {
		return
	}
	for _, name := range removed {
		delete(d.hosts, name)
		d.dropObservations(name)
	}
	d.sortNames()
}

// dropObservations drops what all observers have measured of a host.
func (d *Decider) dropObservations(name string) {
	for _, observations := range d.observations {
		delete(observations, name)
	}
}

// publish updates the published endpoint of a host. A new weight is published if it is due and differs
// enough. publish reports whether the endpoint has changed, and whether that is urgent.
func (h *host) publish(reweigh bool) (changed, urgent bool) {
	previous := h.published
	e := Endpoint{
		Name:      h.Name,
		Zone:      h.Zone,
		Address:   h.Address,
		Groups:    h.Groups,
		Weight:    previous.Weight,
		StartedAt: h.StartedAt,
	}
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
	if h.isPublished && equalEndpoints(e, previous) {
		return false, false
	}
	startsDraining := e.Health == Draining && previous.Health != Draining
	isMoved := e.Address != previous.Address
	isColdAgain := e.StartedAt != previous.StartedAt // the host has restarted
	urgent = h.isPublished && (startsDraining || isMoved || isColdAgain)
	if e.Health == Unhealthy && previous.Health != Unhealthy {
		h.ejections++
	}
	h.published, h.isPublished = e, true
	return true, urgent
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
