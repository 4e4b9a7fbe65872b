// Package baselines has the textbook ways of picking a replica, to hold the project's decisions against.
//
// It decides what logic decides, from the same rounds: which server gets a part, whether it is sent
// again, when a lookup ends. A baseline sends as many parts as make a whole answer, to a replica each by
// its one idea, sends a lost part again elsewhere while the budget lasts, and refuses nothing at
// landing. It keeps the six rules in the plainest way: nothing to servers that drain, cold ones only
// where no other replica is there and then one part at a time, no resend or nack without proof. It is
// never used in service.
package baselines

import (
	"cmp"
	"math"
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

// Idea is what makes one baseline differ from another.
type Idea struct {
	Name   string
	Choose Choose
	Hedge  float64 // quantile of latencies after which a second copy goes out, 0 for none
}

// Choose gives one of the candidates, by their places; out is how many calls of this gatherer each has.
type Choose func(chance *pcg.Source, turn *int, servers []uint32, out []int) int

// Random takes any replica.
func Random(chance *pcg.Source, _ *int, servers []uint32, _ []int) int {
	return int(chance.Uint32() % uint32(len(servers)))
}

// Turns takes replicas one after the other.
func Turns(_ *pcg.Source, turn *int, servers []uint32, _ []int) int {
	*turn++
	return *turn % len(servers)
}

// LeastOut takes a replica with the fewest calls of this gatherer out, by chance among equals.
func LeastOut(chance *pcg.Source, _ *int, servers []uint32, out []int) int {
	best, ties := 0, uint32(0)
	for i := range servers {
		switch {
		case i == 0 || out[i] < out[best]:
			best, ties = i, 1
		case out[i] == out[best]:
			if ties++; chance.Uint32()%ties == 0 {
				best = i
			}
		}
	}
	return best
}

// TwoChoices takes the one with fewer calls out of two drawn by chance (M. Mitzenmacher, 2001).
func TwoChoices(chance *pcg.Source, _ *int, servers []uint32, out []int) int {
	a, b := Random(chance, nil, servers, nil), Random(chance, nil, servers, nil)
	if out[b] < out[a] {
		return b
	}
	return a
}

// Ideas are the baselines by name. Hedging sends a second copy at the 95th percentile of latencies, as
// J. Dean and L. Barroso tell (The Tail at Scale, 2013).
var Ideas = []Idea{{Name: "random", Choose: Random}, {Name: "turns", Choose: Turns},
	{Name: "least-out", Choose: LeastOut},
	{Name: "two-choices", Choose: TwoChoices}, {Name: "hedge-95", Choose: TwoChoices, Hedge: 0.95}}

const (
	kept     = 256 // latencies from which the quantile for hedging is taken
	fewest   = 20  // latencies before which nothing is hedged
	comeBack = 400.0
	eps      = 5e-5
)

type call struct {
	server uint32
	at     float64
	ended  bool
	unrun  bool
}

type part struct {
	gather.ShardRequest
	lk    *lookup
	calls []call
	out   int
	asked bool
	in    bool
	over  bool
}

type lookup struct {
	gather.Query
	parts  []*part
	opened bool
	over   bool
}

type server struct {
	gather.Endpoint
	out int
}

// Module is a gatherer that goes by one idea; it is a gather.Module.
type Module struct {
	settings *gather.Settings
	idea     Idea
	chance   *pcg.Source
	now      float64
	w        gather.Writer
	servers  map[uint32]*server
	holders  [][]uint32
	turns    []int
	held     []*lookup
	numbers  map[uint64]*lookup
	parts    map[uint64]*part
	taken    []float64
	further  []float64
	took     []float64 // ring of latencies
	next     int
	wakeAt   float64
}

// New makes a gatherer that knows only its terms.
func New(seed uint64, settings *gather.Settings, idea Idea) *Module {
	m := &Module{settings: settings, idea: idea, chance: pcg.New(seed), servers: map[uint32]*server{},
		numbers: map[uint64]*lookup{}, parts: map[uint64]*part{}}
	m.turns = make([]int, max(settings.ReplicaSets, 1))
	for i := range m.turns {
		m.turns[i] = int(m.chance.Uint32() >> 8)
	}
	return m
}

func (m *Module) tick() float64 { return max(m.settings.Tick, 1) }

// RetryBudgetLeft is how many further part calls the budget has left.
func (m *Module) RetryBudgetLeft() float64 {
	allowed := m.settings.RetryBudgetFloor + m.settings.RetryBudgetRatio*float64(len(m.taken))
	return allowed - float64(len(m.further))
}

// Round takes in all that came at one moment and decides.
func (m *Module) Round(in *gather.Round, w gather.Writer) {
	m.now, m.w = in.Now, w
	for i := range in.EndpointLists {
		m.follow(&in.EndpointLists[i])
	}
	for i := range in.Results {
		m.ended(&in.Results[i])
	}
	for _, l := range in.Queries {
		lk := &lookup{Query: l}
		m.held, m.numbers[l.Number] = append(m.held, lk), lk
		m.taken = append(m.taken, m.now)
	}
	for _, pt := range in.Requests {
		m.taken = append(m.taken, m.now)
		if lk := m.numbers[pt.Number]; lk != nil {
			p := &part{ShardRequest: pt, lk: lk}
			lk.parts = append(lk.parts, p)
			m.parts[pt.ID] = p
		}
	}
	for _, lk := range m.held {
		if slices.Contains(in.Abandoned, lk.ID) {
			m.drop(lk)
		}
	}
	span := m.settings.RetryBudgetWindow
	m.taken, m.further = m.since(m.taken, span-m.tick()), m.since(m.further, span+m.tick())
	for _, lk := range m.held {
		if !lk.over {
			m.tend(lk)
		}
	}
	m.held = slices.DeleteFunc(m.held, func(lk *lookup) bool { return lk.over })
	if m.now >= m.wakeAt && len(m.held) > 0 {
		m.wakeAt = m.now + 2*m.tick()
		w.Wake(2 * m.tick())
	}
}

func (m *Module) since(times []float64, length float64) []float64 {
	old, _ := slices.BinarySearch(times, m.now-length)
	return times[old:]
}

func (m *Module) follow(l *gather.EndpointList) {
	if l.Failed {
		return
	}
	if l.Full {
		for _, s := range m.servers {
			s.State = gather.Removed
		}
	}
	for _, e := range l.Endpoints {
		if s := m.servers[e.ID]; s != nil {
			s.Endpoint = e
		} else {
			m.servers[e.ID] = &server{Endpoint: e}
		}
	}
	ids := make([]uint32, 0, len(m.servers))
	for id := range m.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids) // against the order of a map
	groups, row := len(m.turns), max(m.settings.ReplicaSetsPerShard, 1)
	m.holders = make([][]uint32, groups)
	for _, id := range ids {
		s := m.servers[id]
		for j := 0; s.State == gather.Running && s.ReplicaSet >= 0 && s.ReplicaSet < groups && j < row; j++ {
			base := ((s.ReplicaSet-j)%groups + groups) % groups
			m.holders[base] = append(m.holders[base], id)
		}
	}
}

func (m *Module) ended(e *gather.AttemptResult) {
	p := m.parts[e.Request]
	if p == nil || e.Attempt >= len(p.calls) || p.calls[e.Attempt].ended {
		return
	}
	c := &p.calls[e.Attempt]
	c.ended, c.unrun = true, e.Outcome.NeverExecuted()
	p.out--
	p.over = p.over || e.Finished
	if s := m.servers[c.server]; s != nil {
		s.out--
	}
	if e.Outcome == gather.Succeeded {
		p.in = true
		if len(m.took) < kept {
			m.took = append(m.took, m.now-c.at)
		} else {
			m.took[m.next] = m.now - c.at
			m.next = (m.next + 1) % kept
		}
	}
	if p.lk.over && p.out == 0 {
		delete(m.parts, p.ID)
	}
}

// hedgeAfter is how long a call is out before a second copy goes, infinite where none does.
func (m *Module) hedgeAfter() float64 {
	if m.idea.Hedge == 0 || len(m.took) < fewest || !m.settings.HedgingAllowed {
		return math.Inf(1)
	}
	sorted := slices.Clone(m.took)
	slices.Sort(sorted)
	return sorted[int(m.idea.Hedge*float64(len(sorted)-1))]
}

func (m *Module) effect(p *part) gather.Effect { return m.settings.Class(p.lk.Class).Effect }

// allowed reports whether the rules let a part be sent once more.
func (m *Module) allowed(p *part) bool {
	if p.over || len(p.calls) >= m.settings.MaxAttempts {
		return false
	}
	for _, c := range p.calls {
		outside := m.effect(p) == gather.IdempotencyKeyed && m.now > c.at+m.settings.Class(p.lk.Class).IdempotencyWindow-m.tick()
		if !c.unrun && (outside || m.effect(p) == gather.NonIdempotent) {
			return false
		}
	}
	return true
}

func (m *Module) tend(lk *lookup) {
	need, least := m.settings.Class(lk.Class).CompleteShare, m.settings.Class(lk.Class).MinShare
	if !lk.opened {
		lk.opened = true
		order := slices.Clone(lk.parts)
		for i := len(order) - 1; i > 0; i-- {
			j := int(m.chance.Uint32() % uint32(i+1))
			order[i], order[j] = order[j], order[i]
		}
		weight := 0.0
		for _, p := range order {
			p.asked = weight < need-eps
			weight += p.Weight
		}
	}
	hedge := math.Inf(1)
	if m.idea.Hedge > 0 {
		hedge = m.hedgeAfter()
	}
	in, possible := 0.0, 0.0
	for _, p := range lk.parts {
		if p.in {
			in += p.Weight
		}
		if p.in || p.out > 0 || m.allowed(p) {
			possible += p.Weight
		}
	}
	timeUp := lk.Deadline-m.now <= 3*m.tick()
	switch {
	case in >= need-eps, in > 0 && in >= least-eps && (timeUp || possible < need-eps && in >= possible-eps):
		m.w.Answer(lk.ID, in >= need-eps)
		m.drop(lk)
		return
	case timeUp, possible < least-eps:
		m.giveUp(lk)
		return
	}
	reach := 0.0
	for _, p := range lk.parts {
		if p.in || p.out > 0 || p.asked && len(p.calls) == 0 {
			reach += p.Weight
		}
	}
	for _, p := range lk.parts {
		if !p.asked && reach < need-eps {
			p.asked = true
			reach += p.Weight
		}
		late := p.out == 1 && m.now-p.calls[len(p.calls)-1].at > hedge
		switch {
		case p.in || !p.asked || p.out > 1 || p.out == 1 && !late:
		case len(p.calls) == 0:
			m.send(p, false)
		case m.allowed(p) && m.RetryBudgetLeft() >= 1:
			m.send(p, true)
		}
	}
}

// send sends a part to a replica that has not seen it, a cold one only where there is no other.
func (m *Module) send(p *part, further bool) {
	base := p.Shard % len(m.turns)
	if len(m.holders) == 0 {
		return
	}
	var warm, cold []uint32
	var out []int
	for _, id := range m.holders[base] {
		s := m.servers[id]
		if slices.ContainsFunc(p.calls, func(c call) bool { return c.server == id }) {
			continue
		}
		if s.StartedAt == 0 || m.now-s.StartedAt >= m.settings.WarmupTime {
			warm, out = append(warm, id), append(out, s.out)
		} else if s.out == 0 {
			cold = append(cold, id)
		}
	}
	var to uint32
	switch {
	case len(warm) > 0:
		to = warm[m.idea.Choose(m.chance, &m.turns[base], warm, out)]
	case len(cold) > 0 && m.chance.Float64() < 1/float64(cmp.Or(m.settings.Gatherers, 1)):
		to = cold[int(m.chance.Uint32()%uint32(len(cold)))]
	default:
		return
	}
	p.calls, p.out = append(p.calls, call{server: to, at: m.now}), p.out+1
	m.servers[to].out++
	if further {
		m.further = append(m.further, m.now)
	}
	m.w.Send(p.ID, to, p.lk.Deadline-m.now)
}

func (m *Module) giveUp(lk *lookup) {
	harmless := m.settings.Class(lk.Class).Effect == gather.Idempotent
	unrun := true
	for _, p := range lk.parts {
		for _, c := range p.calls {
			unrun = unrun && c.unrun
		}
	}
	if harmless || unrun {
		m.w.Reject(lk.ID, min(comeBack, m.settings.MaxRetryAfter))
	} else {
		m.w.Fail(lk.ID)
	}
	m.drop(lk)
}

func (m *Module) drop(lk *lookup) {
	lk.over = true
	delete(m.numbers, lk.Number)
	for _, p := range lk.parts {
		for i, c := range p.calls {
			if !c.ended && m.settings.CancelAllowed {
				m.w.Cancel(p.ID, i)
			}
		}
		if p.out == 0 {
			delete(m.parts, p.ID)
		}
	}
}
