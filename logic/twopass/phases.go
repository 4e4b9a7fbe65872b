// Package phases decides whether a lookup goes in one phase or in two, and what its second pass is.
//
// In two phases each part is first asked whether it holds anything at all, which is cheap; then the
// parts that may are asked in full. It decides, for each lookup of an index that an operator has marked:
// one phase or two, by the sign of an estimated net gain in latency, as the module decides its modes;
// how much time the first pass gets; and from what the first pass brought, which parts are in without a
// full call, which are left out, and what is asked. Each pass is then a lookup of the module. It learns
// from the ends of calls. It may never count a part as in that did not prove that it holds nothing (rule
// 5), nor begin a first pass whose calls, were they all lost, could not be made up for within the budget
// of further part calls (rule 6). Why this way: docs/design/phases.md.
package twopass

import (
	"cmp"
	"math"
	"slices"

	"yokeroute/internal/pcg"
)

// Terms are those of one marked index; times are milliseconds.
type Terms struct {
	Soft    float64 // its soft deadline
	Whole   float64 // share of the weight that makes a whole answer
	Least   float64 // share under which no answer is given
	First   float64 // most of a lookup's time that a first pass may take, a share
	Likely  float64 // parts less likely than this to hold anything are left out, 0 for none
	Partial bool    // also where the answer is not whole for it
	Trials  float64 // share of lookups tried in two phases where one seems better, to go on learning
}

const (
	kept      = 256     // latencies kept of either pass, the newest
	span      = 5000.0  // window of calls that count as load, the design's
	forget    = 100.0   // answered summaries over which the prune share is averaged
	unknown   = 40.0    // summaries under which trials are more frequent,
	eager     = 0.1     // this share of the lookups
	memory    = 60000.0 // after so long without a summary nothing is known of them any more
	clamp     = 0.9     // the design's ceiling on L·s
	jam       = 0.3     // usual latency over the soft deadline from which nothing is tried
	loose     = 1.5     // of the first pass's usual latest call, which is waited for
	patient   = 6.0     // the same where further calls are scarce:
	scarce    = 8.0     // fewer are left than so many for each part
	fair      = 1.2     // of the second pass's usual length, which has to be left for it
	stay      = 0.05    // of a lookup's length, by which the other way has to be better
	probation = 20      // trials after which the first estimate is believed
	reserve   = 0.25    // further calls that have to be left for each first one, as the module holds back,
	caution   = 3.0     // or so many times the share that is lost, if that is more
	eps       = 5e-5
)

// sample is the latencies of the newest calls and, sorted, of those that were new some calls ago.
type sample struct {
	ring   []float64
	next   int
	sorted []float64
	stale  int
}

func (s *sample) add(latency float64) {
	if len(s.ring) < kept {
		s.ring = append(s.ring, latency)
	} else {
		s.ring[s.next] = latency
		s.next = (s.next + 1) % kept
	}
	s.stale++
}

// at is a quantile, or otherwise where there is no call. Sorting waits for an eighth of the sample to be
// new.
func (s *sample) at(q, otherwise float64) float64 {
	if len(s.ring) == 0 {
		return otherwise
	}
	if s.stale*8 >= len(s.sorted) {
		s.sorted = append(s.sorted[:0], s.ring...)
		slices.Sort(s.sorted)
		s.stale = 0
	}
	return s.sorted[min(int(q*float64(len(s.sorted))), len(s.sorted)-1)]
}

// latest is how long the last of n calls usually takes: by the mean of the largest of n draws.
func (s *sample) latest(n, otherwise float64) float64 { return s.at(n/(n+1), otherwise) }

// index is what is learnt of one index.
type index struct {
	terms       Terms
	first, full sample
	proved      float64 // share of answered summaries that proved a part empty
	heard       float64 // summaries answered, up to forget
	answered    float64 // share of first calls that were answered in time
	lastHeard   float64
	trials      int
	two         bool // how the last lookup was decided, trials aside
}

// Phases decides for the marked indexes of one gatherer.
type Phases struct {
	chance  *pcg.Source
	indexes map[string]*index
	rate    float64 // calls in full begun, decaying over span
	out     float64 // of these not ended
	at      float64
}

// New makes one that has learnt nothing.
func New(seed uint64, marked map[string]Terms) *Phases {
	p := &Phases{chance: pcg.New(seed), indexes: map[string]*index{}}
	for name, t := range marked {
		p.indexes[name] = &index{terms: t, answered: 1}
	}
	return p
}

// Marked reports whether lookups of an index may go in two phases.
func (p *Phases) Marked(name string) bool { return p.indexes[name] != nil }

// Lookup is a lookup that lands.
type Lookup struct {
	Index    string
	Parts    int
	Spoken   int     // parts that some replica can be asked about in a first pass
	GiveUpAt float64 // by its client
	Servers  int     // that run
	Room     float64 // further part calls that the budget has left
}

// Reason says why a lookup goes the way it goes.
type Reason string

// The reasons.
const (
	Gains    Reason = "two phases gain"
	Loses    Reason = "one phase is quicker"
	Trial    Reason = "a trial, to go on learning"
	NoTime   Reason = "no time for a first pass"
	NoBudget Reason = "a lost first pass could not be made up for within the budget"
	Unspoken Reason = "no shard server answers first passes"
)

// Choice is how a lookup goes, with the estimate behind it in milliseconds.
type Choice struct {
	Two   bool
	Until float64 // when the first pass ends at the latest
	Lead  float64 // what a call in full takes longer than one of the first pass
	Why   Reason

	Prune             float64 // share of parts that a first pass is believed to prove empty
	Own, Saved, Spent float64 // latency: of the lookup itself, of others by calls not made, by the first pass's
}

// Gain is the net gain.
func (c Choice) Gain() float64 { return c.Own + c.Saved - c.Spent }

// affected is the design's E at the mean server: the parts that one more call would delay.
func (p *Phases) affected(now, s float64, servers int) float64 {
	p.decay(now)
	n := float64(max(servers, 1))
	load := min(p.rate/span/n*s, clamp)
	return load * (p.out/n + 1) / (1 - load)
}

func (p *Phases) decay(now float64) {
	if now > p.at {
		p.rate *= math.Exp((p.at - now) / span)
		p.at = now
	}
}

// Open decides how a lookup goes.
func (p *Phases) Open(now float64, lk Lookup) Choice {
	x := p.indexes[lk.Index]
	t := &x.terms
	s := x.full.at(0.5, t.Soft/10)
	// A call without waiting costs a server about what the quickest tenth take.
	work, brief := x.full.at(0.1, t.Soft/10), x.first.at(0.1, t.Soft/40)
	c := Choice{Lead: max(work-brief, 0)}
	known := x.heard * math.Exp(-max(now-x.lastHeard-memory, 0)/memory)
	c.Prune = x.proved * x.answered
	need := math.Ceil(t.Whole * float64(lk.Parts))
	rest := need * (1 - c.Prune)
	one := x.full.latest(need, 2*t.Soft/10)
	firstPass := x.first.latest(float64(lk.Spoken), t.Soft/20)
	second := (1 - math.Pow(c.Prune, need)) * x.full.latest(max(rest, 1), 2*t.Soft/10)
	e := p.affected(now, s, lk.Servers)
	c.Own = one - firstPass - second
	c.Saved = need * c.Prune * float64(lk.Spoken) / float64(max(lk.Parts, 1)) * e * work
	c.Spent = float64(lk.Spoken) * e * brief

	left := min(t.Soft, lk.GiveUpAt-now)
	wait := loose
	if lk.Room < scarce*float64(lk.Spoken) { // what is given up has to be made up for
		wait = patient
	}
	c.Until = now + min(t.First*left, wait*max(x.first.at(0.95, t.Soft/20), firstPass), left-fair*second)
	gain, margin := c.Gain(), stay*one
	if x.two {
		margin = -margin
	}
	// A second pass that comes too late for the soft deadline gains nothing, whatever it saves.
	late := firstPass+second > left && one <= left
	x.two = gain > margin && known >= unknown && !late
	learning := known < unknown && x.trials < probation || p.chance.Float64() < t.Trials
	if known < unknown && x.trials >= probation {
		learning = p.chance.Float64() < max(t.Trials, eager)
	}
	switch {
	case lk.Spoken == 0:
		c.Why = Unspoken
	case c.Until-now < x.first.at(0.5, t.Soft/40):
		c.Why = NoTime
	case lk.Room < float64(lk.Spoken)*min(max(reserve, caution*(1-x.answered)), 1):
		c.Why = NoBudget
	case x.two:
		c.Two, c.Why = true, Gains
	case learning && s < jam*t.Soft && !late:
		c.Two, c.Why = true, Trial
		x.trials++
	default:
		c.Why = Loses
	}
	return c
}

// Sent notes a call that has begun: first is one of a first pass.
func (p *Phases) Sent(now float64, first bool) {
	p.decay(now)
	if !first {
		p.rate++
		p.out++
	}
}

// Ended notes how a call of an index ended. Waited is in milliseconds; one of a first pass has proved
// that its part is empty or not. Calls of indexes that are not marked count as load alone.
func (p *Phases) Ended(now float64, name string, first, answered, proved bool, waited float64) {
	if !first {
		p.out = max(p.out-1, 0)
	}
	x := p.indexes[name]
	if x == nil {
		return
	}
	if !first {
		if answered {
			x.full.add(waited)
		}
		return
	}
	was := 1 / min(x.heard+1, forget)
	hit := func(yes bool) float64 {
		if yes {
			return 1
		}
		return 0
	}
	x.answered += (hit(answered) - x.answered) * min(was, 0.05) // a start of 1 is believed for a while
	if !answered {
		return
	}
	x.first.add(waited)
	x.heard = min(x.heard+1, forget)
	x.proved += (hit(proved) - x.proved) / x.heard
	x.lastHeard = now
}

// Part is a part after the first pass.
type Part struct {
	Weight float64
	Called bool    // the first pass called it
	Heard  bool    // and heard of it in time
	Empty  bool    // it is proved to hold nothing
	Likely float64 // chance that it holds anything, as its server told
}

// Next is what comes after the first pass.
type Next struct {
	Done  bool // the lookup can be answered now: what is proved makes up the answer
	Whole bool // and it is whole
	In    float64
	Ask   []Ask // otherwise the second pass
	Left  []int // parts that are left out, being unlikely
}

// Ask is a part of the second pass.
type Ask struct {
	Part  int
	Again bool // its call is a further one: the first pass's was made and lost
	Later float64
}

// Close decides what comes after a first pass. A part that was not heard of proves nothing and is asked
// in full. The unlikely are left out only as far as the answer stays whole without them, or where the
// operator lets answers be partial at its least share at the lowest; they never count as in.
func (p *Phases) Close(name string, parts []Part) Next {
	t := &p.indexes[name].terms
	n := Next{}
	possible := 0.0
	for i, pt := range parts {
		possible += pt.Weight
		if pt.Heard && pt.Empty {
			n.In += pt.Weight
			continue
		}
		a := Ask{Part: i, Again: pt.Called && !pt.Heard}
		if pt.Heard {
			a.Later = (1 - pt.Likely) * unlikely
		}
		n.Ask = append(n.Ask, a)
	}
	keep := t.Whole
	if t.Partial {
		keep = t.Least
	}
	if t.Likely > 0 {
		order := slices.Clone(n.Ask)
		slices.SortStableFunc(order, func(a, b Ask) int {
			return cmp.Or(cmp.Compare(parts[a.Part].Likely, parts[b.Part].Likely), cmp.Compare(a.Part, b.Part))
		})
		for _, a := range order {
			pt := &parts[a.Part]
			if pt.Heard && pt.Likely < t.Likely && possible-pt.Weight >= keep-eps {
				possible -= pt.Weight
				n.Left = append(n.Left, a.Part)
			}
		}
		n.Ask = slices.DeleteFunc(n.Ask, func(a Ask) bool { return slices.Contains(n.Left, a.Part) })
	}
	n.Whole = n.In >= t.Whole-eps
	n.Done = n.Whole || len(n.Ask) == 0 && n.In > 0 && n.In >= t.Least-eps
	return n
}

// unlikely is by how much cost a part that surely holds nothing goes behind one that surely holds
// something.
const unlikely = 1000.0
