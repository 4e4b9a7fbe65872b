// Package hoststate decides what other proxies are told of each host: whether it may be sent to, and its
// weight.
//
// It decides from the list of hosts, from what gatherers that serve have seen of them (s, f and how many
// calls stand behind these), and from the weights of a plan. A drain is handed on at once; sickness only on
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
	badShare   = 0.25     // of failures over the group's least from which a witness calls a host sick, as the
	wellShare  = 0.1      // module does, and under which it calls it well
	fewest     = 8.0      // calls of five seconds behind a witness's word,
	few        = 1.0      // of a host that is out
	settles    = 2000.0   // for so long a host has to be sick before it is out,
	recovers   = 4000.0   // and well before it is in again,
	most       = 60_000.0 // and longer each time that it comes back, up to this
	forgets    = 10_000.0 // a host that nobody sees any more is tried again after
	keep       = 0.5      // of a group's running hosts stay in, whatever is said of them,
	keepFleet  = 0.7      // and of all; where more would be out, nobody is believed
	ownFault   = 0.5      // a witness that calls this share of what it sees sick is cut off itself
	base       = 100.0    // weight of a warm host of usual latency
	step       = 0.2      // by which a weight changes at most at a time
	worth      = 0.1      // by which one has to differ from what was told to be told
	calm       = 1000.0   // between two changes of weights
	slowest    = 0.25     // weight of the slowest host over the usual one's
	coldPush   = 0.6      // part of what is safe that a cold host is sent: the module's
	smoothing  = 0.3      // of a new latency over the ones before
	blindAfter = 15_000.0 // without any word of a witness
	returning  = 0.1      // of its weight that a host has that is in again; steps bring it up
	vanished   = 0.3      // of the running hosts, gone at once without a drain, are the list's fault,
	fewVanish  = 3.0      // from so many on,
	doubts     = 30_000.0 // for so long
)

// Host is one host of the list.
type Host struct {
	Name    string
	Zone    string
	Address string
	Groups  []int // of segments that it holds, one at least
	State   gather.State
	Started float64 // 0 for long ago
	Weight  float64 // of a plan, 0 for none; one on average
}

// Seen is what one witness has seen of one host lately: latency, failure share and extra latency, as the
// design has them, and what it sends.
type Seen struct {
	Host    string
	S, F, R float64
	Rate    float64 // part calls a second
	Out     float64 // part calls that are out
}

// window is how many seconds of calls stand behind a witness's word.
const window = 5

func (s *Seen) calls() float64 { return s.Rate * window }

// latency is what one more call costs there: what calls took, or, where more are out than that explains, what
// those out will take by Little's law; and what the failing ones cost on top.
func (s *Seen) latency() float64 {
	l := s.S
	if s.Rate > 0 {
		l = max(l, 1000*s.Out/s.Rate)
	}
	return l + min(s.F, 1)*s.R
}

// Health is what proxies are told of a host.
type Health int

// The healths.
const (
	Healthy Health = iota
	Sick           // not to be sent to while others are there
	Draining
)

// Endpoint is a host as proxies see it.
type Endpoint struct {
	Name    string
	Zone    string
	Address string
	Groups  []int
	Health  Health
	Weight  uint32
	Started float64 // tells one process under a name from the next
}

// Terms are the figures of cold starts.
type Terms struct{ ColdShare, ColdTime float64 }

// host is what is known and decided of one.
type host struct {
	Host
	told      Endpoint
	weight    float64 // smoothed, not rounded
	latency   float64
	sickFrom  float64 // since when witnesses call it sick, 0 for not
	wellFrom  float64
	out       bool
	times     int // that it went out
	seenAt    float64
	leftAt    float64 // when it left the list, 0 while it is there
	toldReady bool
	fresh     bool // a process that no weight was worked out for yet
}

// Mind decides. One goroutine uses it.
type Mind struct {
	terms    Terms
	hosts    map[string]*host
	order    []string // by name
	seen     map[string]map[string]Seen
	heard    map[string]float64 // when a witness last spoke
	weighed  float64
	begun    float64 // when it first decided or resumed
	version  uint64
	blind    bool
	distrust map[string]bool
}

// New makes a mind that knows no host. Version is that of what was handed out before.
func New(terms Terms, version uint64) *Mind {
	return &Mind{terms: terms, hosts: map[string]*host{}, seen: map[string]map[string]Seen{},
		heard: map[string]float64{}, distrust: map[string]bool{}, version: version}
}

// Version is that of what is handed out. It grows with each change.
func (m *Mind) Version() uint64 { return m.version }

// Pass sees to it that the version is past one that a proxy has heard elsewhere. One that no service can have
// come to is not believed, against a proxy that makes versions run out.
func (m *Mind) Pass(version uint64) bool {
	if version <= m.version || version-m.version > farAhead {
		return false
	}
	m.version = version + 1
	return true
}

// farAhead is a thousand changes a second for a month.
const farAhead = 1 << 32

// Blind reports whether nobody is believed about sickness for now.
func (m *Mind) Blind() bool { return m.blind }

// Resume begins with what was handed out before: hosts stand until the list says otherwise.
func (m *Mind) Resume(endpoints []Endpoint, now float64) {
	m.begun = now
	for _, e := range endpoints {
		h := &host{Host: Host{Name: e.Name, Zone: e.Zone, Address: e.Address, Groups: e.Groups,
			Started: e.Started}, told: e, weight: float64(e.Weight), seenAt: now, toldReady: true}
		if e.Health == Draining {
			h.State = gather.Draining
		}
		if e.Health == Sick {
			h.out, h.sickFrom, h.times = true, now, 1
		}
		m.hosts[e.Name] = h
	}
	m.sort()
}

func (m *Mind) sort() {
	m.order = m.order[:0]
	for name := range m.hosts {
		m.order = append(m.order, name)
	}
	slices.Sort(m.order) // against the order of a map
}

// List takes over the list: all hosts that there are.
func (m *Mind) List(hosts []Host, now float64) {
	here := map[string]bool{}
	for _, given := range hosts {
		here[given.Name] = true
		h := m.hosts[given.Name]
		if h == nil {
			h = &host{fresh: true}
			m.hosts[given.Name] = h
		}
		if h.Started != given.Started || given.State == gather.Removed { // another process than the one judged
			h.out, h.sickFrom, h.wellFrom, h.times, h.latency, h.fresh = false, 0, 0, 0, 0, true
			for _, of := range m.seen {
				delete(of, given.Name)
			}
		}
		h.Host, h.leftAt = given, 0
	}
	for name, h := range m.hosts {
		if !here[name] && h.leftAt == 0 {
			h.leftAt = now
		}
	}
	m.sort()
}

// See takes over what one witness has seen: all that it sees now.
func (m *Mind) See(witness string, seen []Seen, now float64) {
	of := make(map[string]Seen, len(seen))
	for _, s := range seen {
		of[s.Host] = s
		if h := m.hosts[s.Host]; h != nil && m.enough(&s) {
			h.seenAt = now
		}
	}
	m.seen[witness], m.heard[witness] = of, now
}

// Change is what a decision came to.
type Change struct {
	Changed []string // hosts that are told otherwise than before
	Urgent  bool     // drains, hosts that left, addresses: they go ahead of all else
}

// Decide brings what is handed out up to a time.
func (m *Mind) Decide(now float64) (c Change) {
	if m.begun == 0 {
		m.begun = now
	}
	for witness, at := range m.heard {
		if now-at > forgets {
			delete(m.heard, witness)
			delete(m.seen, witness)
		}
	}
	m.judge(now)
	reweigh := now-m.weighed >= calm
	if reweigh {
		m.weighed = now
		m.learn()
	}
	var usual map[int]float64
	if reweigh {
		usual = m.usual()
	}
	believed := m.believed(now)
	var gone []string
	for _, name := range m.order {
		h := m.hosts[name]
		if h.leftAt > 0 && h.State == gather.Running && !believed && now-h.leftAt < doubts {
			continue // it stays as it was told
		}
		if h.State == gather.Removed || h.leftAt > 0 {
			gone = append(gone, name)
			if h.toldReady {
				c.Changed, c.Urgent = append(c.Changed, name), true
			}
			continue
		}
		if reweigh || h.fresh { // one that is fresh has no latency yet to hold against the usual one
			m.weigh(h, usual, now)
		}
		e := Endpoint{Name: name, Zone: h.Zone, Address: h.Address, Groups: h.Groups, Weight: h.told.Weight,
			Started: h.Started}
		switch {
		case h.State == gather.Draining:
			e.Health = Draining
		case h.out:
			e.Health = Sick
		}
		rounded := uint32(max(math.Round(h.weight), 1))
		off := math.Abs(float64(rounded)-float64(e.Weight)) / max(float64(e.Weight), 1)
		if !h.toldReady || h.fresh || reweigh && off >= worth {
			e.Weight = rounded
		}
		h.fresh = false
		was := h.told
		if h.toldReady && same(e, was) {
			continue
		}
		urgent := e.Health == Draining && was.Health != Draining || e.Address != was.Address ||
			e.Started != was.Started // cold again
		c.Urgent = c.Urgent || h.toldReady && urgent
		if e.Health == Sick && was.Health != Sick {
			h.times++
		}
		h.told, h.toldReady = e, true
		c.Changed = append(c.Changed, name)
	}
	for _, name := range gone {
		delete(m.hosts, name)
		for _, of := range m.seen {
			delete(of, name)
		}
	}
	if len(gone) > 0 {
		m.sort()
	}
	if len(c.Changed) > 0 {
		m.version++
	}
	return c
}

func same(a, b Endpoint) bool {
	return a.Name == b.Name && a.Zone == b.Zone && a.Address == b.Address && a.Health == b.Health &&
		a.Weight == b.Weight && a.Started == b.Started && slices.Equal(a.Groups, b.Groups)
}

// Endpoints are all hosts as they are told, by name.
func (m *Mind) Endpoints() []Endpoint {
	all := make([]Endpoint, 0, len(m.order))
	for _, name := range m.order {
		if h := m.hosts[name]; h.toldReady {
			all = append(all, h.told)
		}
	}
	return all
}

// judge decides who is sick.
func (m *Mind) judge(now float64) {
	witnesses := make([]string, 0, len(m.seen))
	for name := range m.seen {
		witnesses = append(witnesses, name)
	}
	slices.Sort(witnesses) // against the order of a map
	type votes struct{ sick, well int }
	cast := map[string]*votes{}
	speaking := 0
	for _, witness := range witnesses {
		sick, seen := m.vote(m.seen[witness])
		if seen == 0 {
			continue
		}
		// One that can't reach half of what it asks looks through a broken path of its own.
		m.distrust[witness] = len(sick) > 1 && float64(len(sick)) >= ownFault*float64(seen)
		if m.distrust[witness] {
			continue
		}
		speaking++
		for name, s := range m.seen[witness] {
			if !m.enough(&s) {
				continue
			}
			v := cast[name]
			if v == nil {
				v = &votes{}
				cast[name] = v
			}
			if standing, isSick := sick[name]; isSick && standing > badShare {
				v.sick++
			} else if !isSick {
				v.well++
			}
		}
	}
	for _, name := range m.order {
		h, v := m.hosts[name], cast[name]
		switch {
		case v == nil: // nobody sees it: it is out because nobody asks it, or it is not asked for anything
			if h.out && now-h.seenAt > h.longer(forgets) {
				h.back()
			}
		case v.sick > v.well && (v.sick >= 2 || speaking == 1):
			if h.wellFrom = 0; h.sickFrom == 0 {
				h.sickFrom = now
			}
			h.out = h.out || now-h.sickFrom >= settles
		case v.well >= v.sick && h.sickFrom > 0:
			if h.wellFrom == 0 {
				h.wellFrom = now
			}
			if now-h.wellFrom >= h.longer(recovers) || !h.out {
				h.back()
			}
		}
	}
	m.floor(now, speaking)
}

// back takes a host in again, and not all at once what all proxies have for it.
func (h *host) back() {
	if h.told.Health == Sick {
		h.weight = max(h.weight*returning, 1)
		h.told.Weight = uint32(max(math.Round(h.weight), 1))
	}
	h.out, h.sickFrom, h.wellFrom = false, 0, 0
}

// believed reports whether the list may be right about hosts that have left it. Hosts that go drain first;
// many that vanish at once without are rather what a broken list lost.
func (m *Mind) believed(now float64) bool {
	lost, running := 0.0, 0.0
	for _, h := range m.hosts {
		if !h.toldReady || h.State != gather.Running {
			continue
		}
		running++
		if h.leftAt > 0 && now-h.leftAt < doubts {
			lost++
		}
	}
	return lost < fewVanish || lost < vanished*running
}

// longer is a time that doubles each time that the host goes out again, against flapping.
func (h *host) longer(time float64) float64 {
	return min(time*math.Pow(2, float64(min(max(h.times-1, 0), 10))), most)
}

// enough reports whether a witness's word on a host counts. One that is out gets few calls, and those that
// look whether it is well again are enough to keep it out.
func (m *Mind) enough(s *Seen) bool {
	h := m.hosts[s.Host]
	return s.calls() >= fewest || h != nil && h.out && s.calls() >= few
}

// vote is what a witness says: hosts whose failures stand out over the least of their group, and by how much.
func (m *Mind) vote(seen map[string]Seen) (sick map[string]float64, n int) {
	least := map[int]float64{}
	for name, s := range seen {
		h := m.hosts[name]
		if h == nil || !m.enough(&s) || h.State != gather.Running {
			continue
		}
		n++
		for _, g := range h.Groups {
			if f, known := least[g]; !known || s.F < f {
				least[g] = s.F
			}
		}
	}
	sick = map[string]float64{}
	for name, s := range seen {
		h := m.hosts[name]
		if h == nil || !m.enough(&s) || h.State != gather.Running {
			continue
		}
		standing := math.Inf(1)
		for _, g := range h.Groups {
			standing = min(standing, s.F-least[g])
		}
		if len(h.Groups) > 0 && standing > wellShare {
			sick[name] = standing
		}
	}
	return sick, n
}

// floor keeps enough hosts in: half of each group, whoever is sick longest going first, and of the whole
// fleet so many that the blame may be the hosts' and not the eyes'.
func (m *Mind) floor(now float64, speaking int) {
	running, out := 0, 0
	groups := map[int][]*host{}
	for _, name := range m.order {
		h := m.hosts[name]
		if h.State != gather.Running || h.leftAt > 0 {
			continue
		}
		running++
		if h.out {
			out++
		}
		for _, g := range h.Groups {
			groups[g] = append(groups[g], h)
		}
	}
	many := float64(out) > max((1-keepFleet)*float64(running), 1)
	m.blind = many || speaking == 0 && now-m.lastHeard() > blindAfter
	if m.blind {
		for _, h := range m.hosts {
			h.out = false
		}
		return
	}
	numbers := make([]int, 0, len(groups))
	for g := range groups {
		numbers = append(numbers, g)
	}
	slices.Sort(numbers)
	for _, g := range numbers {
		hosts := groups[g]
		slices.SortStableFunc(hosts, func(a, b *host) int { return cmp.Compare(a.sickFrom, b.sickFrom) })
		may := int(math.Floor((1 - keep) * float64(len(hosts))))
		for _, h := range hosts {
			if !h.out {
				continue
			}
			if may--; may < 0 {
				h.out = false // the next decision sees it as sick as before, and it is its turn once others are well
			}
		}
	}
}

func (m *Mind) lastHeard() float64 {
	at := m.begun // against condemning one's eyes before they had time to open
	for _, t := range m.heard {
		at = max(at, t)
	}
	return at
}

// learn takes over latencies from the witnesses.
func (m *Mind) learn() {
	witnesses := m.speaking()
	for _, name := range m.order {
		h := m.hosts[name]
		sum, n := 0.0, 0.0
		for _, witness := range witnesses {
			if s, seen := m.seen[witness][name]; seen && s.calls() >= fewest && s.S > 0 {
				sum, n = sum+s.latency(), n+1
			}
		}
		if n == 0 {
			continue
		}
		if h.latency == 0 {
			h.latency = sum / n
		}
		h.latency += smoothing * (sum/n - h.latency)
	}
}

// usual are the middle latencies of the groups.
func (m *Mind) usual() map[int]float64 {
	all := map[int][]float64{}
	for _, name := range m.order {
		if h := m.hosts[name]; h.latency > 0 && h.State == gather.Running {
			for _, g := range h.Groups {
				all[g] = append(all[g], h.latency)
			}
		}
	}
	usual := make(map[int]float64, len(all))
	for g, of := range all {
		slices.Sort(of)
		usual[g] = of[(len(of)-1)/2]
	}
	return usual
}

// weigh moves a host's weight towards what latency, warmth and plans say, a step at a time.
func (m *Mind) weigh(h *host, usual map[int]float64, now float64) {
	want := base
	if h.Weight > 0 {
		want *= h.Weight
	}
	if h.latency > 0 {
		factor := 1.0
		for _, g := range h.Groups {
			if usual[g] > 0 {
				factor = min(factor, usual[g]/h.latency)
			}
		}
		want *= max(factor, slowest)
	}
	// A cold host has its warm share of that at once, up or down: a step may not push it over.
	warm := m.warm(h, now)
	switch {
	case warm < 1:
		h.weight = want * warm * coldPush
	case h.weight == 0:
		h.weight = want
	default:
		h.weight = min(max(want, h.weight*(1-step)), max(h.weight*(1+step), 1.5))
	}
	h.weight = max(h.weight, 1)
}

func (m *Mind) speaking() (names []string) {
	for name := range m.seen {
		if !m.distrust[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// warm is the least share of its capacity that a host can have by now.
func (m *Mind) warm(h *host, now float64) float64 {
	age := now - h.Started
	if h.Started == 0 || m.terms.ColdTime == 0 || age >= m.terms.ColdTime {
		return 1
	}
	return m.terms.ColdShare + (1-m.terms.ColdShare)*max(age, 0)/m.terms.ColdTime
}
