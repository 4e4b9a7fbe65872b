// Package hoststate decides what other proxies are told of each host: whether it may be sent to, and its
// weight.
//
// It decides from the list of hosts, from what gatherers that serve have seen of them (s, f and how many
// requests stand behind these), and from the weights of a plan. A drain is handed on at once; sickness only on
// the word of more than one witness where there are more, for some time, and never of so many hosts that
// those who look must be thought blind. Weights follow latency and warmth a little at a time, so that
// proxies that all hear the same do not all go to the same host. It may never hand out a host that drains
// or has gone as one to send new work to (rule 3), nor a cold host at more than its warm share of a warm
// one's weight (rule 4). Why this way: docs/design/control.md.
package hoststate

import (
	"cmp"
	"math"
	"slices"

	"yokeroute/gather"
)

// The tuned values. Times are milliseconds.
const (
	outlierThreshold   = 0.25     // observations failures over the group's least from which a witness calls a host sick, as the
	healthyThreshold   = 0.1      // module does, and under which it calls it well
	minRequests        = 8.0      // requests of five seconds behind a witness's word,
	minRequestsEjected = 1.0      // observations a host that is out
	ejectionDelay      = 2000.0   // for so long a host has to be sick before it is out,
	reinstatementDelay = 4000.0   // and well before it is in again,
	maxBackoff         = 60_000.0 // and longer each time that it comes back, up to this
	observationExpiry  = 10_000.0 // a host that nobody sees any more is tried again after
	minGroupShare      = 0.5      // observations a group's running hosts stay in, whatever is said of them,
	minFleetShare      = 0.7      // and of all; where more would be out, nobody is believed
	distrustShare      = 0.5      // a witness that calls this share of what it sees sick is cut off itself
	baseWeight         = 100.0    // weight of a warm host of usual latency
	maxWeightStep      = 0.2      // by which a weight changes at most at a time
	minWeightChange    = 0.1      // by which one has to differ from what was told to be told
	weightInterval     = 1000.0   // between two changes of weights
	minLatencyFactor   = 0.25     // weight of the slowest host over the usual one's
	warmupMargin       = 0.6      // part of what is safe that a cold host is sent: the module's
	latencySmoothing   = 0.3      // observations a new latency over the ones before
	observerTimeout    = 15_000.0 // without any word of a witness
	reinstatedShare    = 0.1      // observations its weight that a host has that is in again; steps bring it up
	maxVanishedShare   = 0.3      // observations the running hosts, gone at once without a drain, are the list's fault,
	minVanished        = 3.0      // from so many on,
	vanishedGrace      = 30_000.0 // for so long
)

// Host is one host of the list.
type Host struct {
	Name          string
	Zone          string
	Address       string
	Groups        []int // observations segments that it holds, one at least
	State         gather.State
	StartedAt     float64 // 0 for long ago
	PlannedWeight float64 // observations a plan, 0 for none; one on average
}

// Observation is what one witness has seen of one host lately: latency, failure share and extra latency, as the
// design has them, and what it sends.
type Observation struct {
	Host                                  string
	Latency, FailureShare, FailureLatency float64
	Rate                                  float64 // part calls a second
	InFlight                              float64 // part calls that are out
}

// rateWindow is how many seconds of calls stand behind a witness's word.
const rateWindow = 5

func (s *Observation) requests() float64 { return s.Rate * rateWindow }

// expectedLatency is what one more call costs there: what calls took, or, where more are out than that explains, what
// those out will take by Little's law; and what the failing ones cost on top.
func (s *Observation) expectedLatency() float64 {
	l := s.Latency
	if s.Rate > 0 {
		l = max(l, 1000*s.InFlight/s.Rate)
	}
	return l + min(s.FailureShare, 1)*s.FailureLatency
}

// Health is what proxies are told of a host.
type Health int

// The healths.
const (
	Healthy   Health = iota
	Unhealthy        // not to be sent to while others are there
	Draining
)

// Endpoint is a host as proxies see it.
type Endpoint struct {
	Name      string
	Zone      string
	Address   string
	Groups    []int
	Health    Health
	Weight    uint32
	StartedAt float64 // tells one process under a name from the next
}

// WarmupSettings are the figures of cold starts.
type WarmupSettings struct{ InitialShare, Duration float64 }

// host is what is known and decided of one.
type host struct {
	Host
	published      Endpoint
	weight         float64 // smoothed, not rounded
	latency        float64
	outlierSince   float64 // since when witnesses call it sick, 0 for not
	healthySince   float64
	ejected        bool
	ejections      int // that it went out
	lastObservedAt float64
	removedAt      float64 // when it left the list, 0 while it is there
	isPublished    bool
	unweighted     bool // a process that no weight was worked out for yet
}

// Decider decides. One goroutine uses it.
type Decider struct {
	warmup        WarmupSettings
	hosts         map[string]*host
	names         []string // by name
	observations  map[string]map[string]Observation
	lastReportAt  map[string]float64 // when a witness last spoke
	lastWeighedAt float64
	startedAt     float64 // when it first decided or resumed
	version       uint64
	suspended     bool
	distrusted    map[string]bool
}

// New makes a mind that knows no host. Version is that of what was handed out before.
func New(terms WarmupSettings, version uint64) *Decider {
	return &Decider{warmup: terms, hosts: map[string]*host{}, observations: map[string]map[string]Observation{},
		lastReportAt: map[string]float64{}, distrusted: map[string]bool{}, version: version}
}

// Version is that of what is handed out. It grows with each change.
func (m *Decider) Version() uint64 { return m.version }

// AdvanceVersion sees to it that the version is past one that a proxy has heard elsewhere. One that no service can have
// come to is not believed, against a proxy that makes versions run out.
func (m *Decider) AdvanceVersion(version uint64) bool {
	if version <= m.version || version-m.version > maxVersionLead {
		return false
	}
	m.version = version + 1
	return true
}

// maxVersionLead is a thousand changes a second for a month.
const maxVersionLead = 1 << 32

// EjectionSuspended reports whether nobody is believed about sickness for now.
func (m *Decider) EjectionSuspended() bool { return m.suspended }

// Restore begins with what was handed out before: hosts stand until the list says otherwise.
func (m *Decider) Restore(endpoints []Endpoint, now float64) {
	m.startedAt = now
	for _, e := range endpoints {
		h := &host{Host: Host{Name: e.Name, Zone: e.Zone, Address: e.Address, Groups: e.Groups,
			StartedAt: e.StartedAt}, published: e, weight: float64(e.Weight), lastObservedAt: now, isPublished: true}
		if e.Health == Draining {
			h.State = gather.Draining
		}
		if e.Health == Unhealthy {
			h.ejected, h.outlierSince, h.ejections = true, now, 1
		}
		m.hosts[e.Name] = h
	}
	m.sortNames()
}

func (m *Decider) sortNames() {
	m.names = m.names[:0]
	for name := range m.hosts {
		m.names = append(m.names, name)
	}
	slices.Sort(m.names) // against the order of a map
}

// SetHosts takes over the list: all hosts that there are.
func (m *Decider) SetHosts(hosts []Host, now float64) {
	listed := map[string]bool{}
	for _, listedHost := range hosts {
		listed[listedHost.Name] = true
		h := m.hosts[listedHost.Name]
		if h == nil {
			h = &host{unweighted: true}
			m.hosts[listedHost.Name] = h
		}
		if h.StartedAt != listedHost.StartedAt || listedHost.State == gather.Removed { // another process than the one judged
			h.ejected, h.outlierSince, h.healthySince, h.ejections, h.latency, h.unweighted = false, 0, 0, 0, 0, true
			for _, observations := range m.observations {
				delete(observations, listedHost.Name)
			}
		}
		h.Host, h.removedAt = listedHost, 0
	}
	for name, h := range m.hosts {
		if !listed[name] && h.removedAt == 0 {
			h.removedAt = now
		}
	}
	m.sortNames()
}

// SetObservations takes over what one witness has seen: all that it sees now.
func (m *Decider) SetObservations(observer string, observations []Observation, now float64) {
	byHost := make(map[string]Observation, len(observations))
	for _, s := range observations {
		byHost[s.Host] = s
		if h := m.hosts[s.Host]; h != nil && m.isSignificant(&s) {
			h.lastObservedAt = now
		}
	}
	m.observations[observer], m.lastReportAt[observer] = byHost, now
}

// Change is what a decision came to.
type Change struct {
	Changed []string // hosts that are told otherwise than before
	Urgent  bool     // drains, hosts that left, addresses: they go ahead of all else
}

// Decide brings what is handed out up to a time.
func (m *Decider) Decide(now float64) (c Change) {
	if m.startedAt == 0 {
		m.startedAt = now
	}
	for observer, reportedAt := range m.lastReportAt {
		if now-reportedAt > observationExpiry {
			delete(m.lastReportAt, observer)
			delete(m.observations, observer)
		}
	}
	m.updateEjections(now)
	reweigh := now-m.lastWeighedAt >= weightInterval
	if reweigh {
		m.lastWeighedAt = now
		m.updateLatencies()
	}
	var medians map[int]float64
	if reweigh {
		medians = m.medianLatencies()
	}
	listCredible := m.isListCredible(now)
	var removed []string
	for _, name := range m.names {
		h := m.hosts[name]
		if h.removedAt > 0 && h.State == gather.Running && !listCredible && now-h.removedAt < vanishedGrace {
			continue // it stays as it was told
		}
		if h.State == gather.Removed || h.removedAt > 0 {
			removed = append(removed, name)
			if h.isPublished {
				c.Changed, c.Urgent = append(c.Changed, name), true
			}
			continue
		}
		if reweigh || h.unweighted { // one that is fresh has no latency yet to hold against the usual one
			m.updateWeight(h, medians, now)
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
			e.StartedAt != previous.StartedAt // cold again
		c.Urgent = c.Urgent || h.isPublished && urgent
		if e.Health == Unhealthy && previous.Health != Unhealthy {
			h.ejections++
		}
		h.published, h.isPublished = e, true
		c.Changed = append(c.Changed, name)
	}
	for _, name := range removed {
		delete(m.hosts, name)
		for _, observations := range m.observations {
			delete(observations, name)
		}
	}
	if len(removed) > 0 {
		m.sortNames()
	}
	if len(c.Changed) > 0 {
		m.version++
	}
	return c
}

func equalEndpoints(a, b Endpoint) bool {
	return a.Name == b.Name && a.Zone == b.Zone && a.Address == b.Address && a.Health == b.Health &&
		a.Weight == b.Weight && a.StartedAt == b.StartedAt && slices.Equal(a.Groups, b.Groups)
}

// Endpoints are all hosts as they are told, by name.
func (m *Decider) Endpoints() []Endpoint {
	all := make([]Endpoint, 0, len(m.names))
	for _, name := range m.names {
		if h := m.hosts[name]; h.isPublished {
			all = append(all, h.published)
		}
	}
	return all
}

// updateEjections decides who is sick.
func (m *Decider) updateEjections(now float64) {
	observers := make([]string, 0, len(m.observations))
	for name := range m.observations {
		observers = append(observers, name)
	}
	slices.Sort(observers) // against the order of a map
	type votes struct{ sick, well int }
	votesByHost := map[string]*votes{}
	trusted := 0
	for _, observer := range observers {
		outliers, count := m.findOutliers(m.observations[observer])
		if count == 0 {
			continue
		}
		// One that can't reach half of what it asks looks through a broken path of its own.
		m.distrusted[observer] = len(outliers) > 1 && float64(len(outliers)) >= distrustShare*float64(count)
		if m.distrusted[observer] {
			continue
		}
		trusted++
		for name, s := range m.observations[observer] {
			if !m.isSignificant(&s) {
				continue
			}
			v := votesByHost[name]
			if v == nil {
				v = &votes{}
				votesByHost[name] = v
			}
			if excess, isOutlier := outliers[name]; isOutlier && excess > outlierThreshold {
				v.sick++
			} else if !isOutlier {
				v.well++
			}
		}
	}
	for _, name := range m.names {
		h, v := m.hosts[name], votesByHost[name]
		switch {
		case v == nil: // nobody sees it: it is out because nobody asks it, or it is not asked for anything
			if h.ejected && now-h.lastObservedAt > h.backoff(observationExpiry) {
				h.reinstate()
			}
		case v.sick > v.well && (v.sick >= 2 || trusted == 1):
			if h.healthySince = 0; h.outlierSince == 0 {
				h.outlierSince = now
			}
			h.ejected = h.ejected || now-h.outlierSince >= ejectionDelay
		case v.well >= v.sick && h.outlierSince > 0:
			if h.healthySince == 0 {
				h.healthySince = now
			}
			if now-h.healthySince >= h.backoff(reinstatementDelay) || !h.ejected {
				h.reinstate()
			}
		}
	}
	m.limitEjections(now, trusted)
}

// reinstate takes a host in again, and not all at once what all proxies have for it.
func (h *host) reinstate() {
	if h.published.Health == Unhealthy {
		h.weight = max(h.weight*reinstatedShare, 1)
		h.published.Weight = uint32(max(math.Round(h.weight), 1))
	}
	h.ejected, h.outlierSince, h.healthySince = false, 0, 0
}

// isListCredible reports whether the list may be right about hosts that have left it. Hosts that go drain first;
// tooMany that vanish at once without are rather what a broken list lost.
func (m *Decider) isListCredible(now float64) bool {
	vanished, running := 0.0, 0.0
	for _, h := range m.hosts {
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

// backoff is a time that doubles each time that the host goes out again, against flapping.
func (h *host) backoff(time float64) float64 {
	return min(time*math.Pow(2, float64(min(max(h.ejections-1, 0), 10))), maxBackoff)
}

// isSignificant reports whether a witness's word on a host counts. One that is out gets few calls, and those that
// look whether it is well again are enough to keep it out.
func (m *Decider) isSignificant(s *Observation) bool {
	h := m.hosts[s.Host]
	return s.requests() >= minRequests || h != nil && h.ejected && s.requests() >= minRequestsEjected
}

// findOutliers is what a witness says: hosts whose failures stand out over the least of their group, and by how much.
func (m *Decider) findOutliers(observations map[string]Observation) (outliers map[string]float64, count int) {
	lowest := map[int]float64{}
	for name, s := range observations {
		h := m.hosts[name]
		if h == nil || !m.isSignificant(&s) || h.State != gather.Running {
			continue
		}
		count++
		for _, g := range h.Groups {
			if f, known := lowest[g]; !known || s.FailureShare < f {
				lowest[g] = s.FailureShare
			}
		}
	}
	outliers = map[string]float64{}
	for name, s := range observations {
		h := m.hosts[name]
		if h == nil || !m.isSignificant(&s) || h.State != gather.Running {
			continue
		}
		excess := math.Inf(1)
		for _, g := range h.Groups {
			excess = min(excess, s.FailureShare-lowest[g])
		}
		if len(h.Groups) > 0 && excess > healthyThreshold {
			outliers[name] = excess
		}
	}
	return outliers, count
}

// limitEjections keeps enough hosts in: half of each group, whoever is sick longest going first, and of the whole
// fleet so many that the blame may be the hosts' and not the eyes'.
func (m *Decider) limitEjections(now float64, trusted int) {
	running, ejected := 0, 0
	groups := map[int][]*host{}
	for _, name := range m.names {
		h := m.hosts[name]
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
	m.suspended = tooMany || trusted == 0 && now-m.lastReport() > observerTimeout
	if m.suspended {
		for _, h := range m.hosts {
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
				h.ejected = false // the next decision sees it as sick as before, and it is its turn once others are well
			}
		}
	}
}

func (m *Decider) lastReport() float64 {
	latest := m.startedAt // against condemning one's eyes before they had time to open
	for _, t := range m.lastReportAt {
		latest = max(latest, t)
	}
	return latest
}

// updateLatencies takes over latencies from the witnesses.
func (m *Decider) updateLatencies() {
	observers := m.trustedObservers()
	for _, name := range m.names {
		h := m.hosts[name]
		sum, n := 0.0, 0.0
		for _, observer := range observers {
			if s, seen := m.observations[observer][name]; seen && s.requests() >= minRequests && s.Latency > 0 {
				sum, n = sum+s.expectedLatency(), n+1
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

// medianLatencies are the middle latencies of the groups.
func (m *Decider) medianLatencies() map[int]float64 {
	byGroup := map[int][]float64{}
	for _, name := range m.names {
		if h := m.hosts[name]; h.latency > 0 && h.State == gather.Running {
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

// updateWeight moves a host's weight towards what latency, warmth and plans say, a step at a time.
func (m *Decider) updateWeight(h *host, medians map[int]float64, now float64) {
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
	// A cold host has its warm share of that at once, up or down: a step may not push it over.
	share := m.warmShare(h, now)
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

func (m *Decider) trustedObservers() (names []string) {
	for name := range m.observations {
		if !m.distrusted[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// warmShare is the least share of its capacity that a host can have by now.
func (m *Decider) warmShare(h *host, now float64) float64 {
	age := now - h.StartedAt
	if h.StartedAt == 0 || m.warmup.Duration == 0 || age >= m.warmup.Duration {
		return 1
	}
	return m.warmup.InitialShare + (1-m.warmup.InitialShare)*max(age, 0)/m.warmup.Duration
}
