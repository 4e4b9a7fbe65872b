// Package emulated plays rollouts in virtual time: a model of what a fleet of gatherers would tell of itself, interval
// by interval, with troubles of the fleet's own and with versions that do worse in one way each. It is the second ring
// of proof: thousands of seeded rollouts through the real decisions.
//
// It models what is told, not how it comes about: counts are drawn, a zone's servers are one queue that slows all who
// ask there, and what a version does to it falls on old and new alike. Figures from it are of the deciding, not of any
// gatherer's latency. Traffic is skewed (some gatherers get several times the mean), gatherers differ for good, links
// and reports fail by themselves.
package rolloutsim

import (
	"fmt"
	"math"

	"yokeroute/internal/pcg"
	"yokeroute/logic/rollout"
)

// Terms are a fleet and a rollout over it.
type Terms struct {
	Gatherers int
	Zones     int
	Rate      float64 // lookups a second that a gatherer gets on average
	Interval  float64 // milliseconds between two looks
	Length    float64 // milliseconds after which a rollout that has not ended is given up
	Troubles  float64 // of the fleet's own, for each ten minutes
	Kind      string  // of the new version: good, or one of Bad
	Size      float64 // of what is bad of it, 1 for the table's
	Seed      uint64
	Own       *Effect // a version of one's own, in place of Kind's
}

// Indexes of the model, with their shares of the lookups: one of a twentieth is among them.
var (
	indexNames  = []string{"find", "search", "claim"}
	indexShares = []float64{0.60, 0.35, 0.05}
	baseLoss    = []float64{0.02, 0.03, 0.015}
	parts       = []float64{5, 10, 1.5}
)

// Effect is what a version does, over the old one.
type Effect struct {
	Loss    float64 `json:"loss,omitempty"` // points of the lookups, and so on
	Nack    float64 `json:"nack,omitempty"`
	Abort   float64 `json:"abort,omitempty"`
	Latency float64 `json:"latency,omitempty"`     // times
	Tail    float64 `json:"tail,omitempty"`        // share of lookups that take four times as long
	Further float64 `json:"further,omitempty"`     // points of the part calls
	Calls   float64 `json:"calls,omitempty"`       // times
	Conns   float64 `json:"connections,omitempty"` // times
	Leak    float64 `json:"leak,omitempty"`        // of its memory, each minute
	Dies    float64 `json:"dies,omitempty"`        // ends of its process, each minute
	NeverUp float64 `json:"never-up,omitempty"`    // share of starts that fail
	Index   int     `json:"index,omitempty"`       // alone, from 1; 0 for all
	Zone    int     `json:"zone,omitempty"`
	After   float64 `json:"after,omitempty"` // milliseconds of age from which
	Until   float64 `json:"until,omitempty"` // and up to which, 0 for no bound
}

// Bad are the versions that do worse, one way each, at sizes that an operator would want found.
var Bad = map[string]Effect{
	"loses":        {Loss: 0.08},
	"aborts":       {Abort: 0.08},
	"one-index":    {Loss: 0.15, Index: 3},
	"one-zone":     {Loss: 0.10, Zone: 2},
	"slow":         {Latency: 1.6},
	"tail":         {Tail: 0.10, Latency: 0.9},
	"refuses":      {Nack: 0.08, Latency: 0.85},
	"later":        {Loss: 0.10, After: 180_000},
	"only-cold":    {Loss: 0.75, Until: 15_000},
	"storm":        {Further: 0.08, Calls: 1.08},
	"harms-all":    {Calls: 1.5},
	"connections":  {Conns: 2},
	"leaks":        {Leak: 0.25},
	"dies":         {Dies: 1.5},
	"never-up":     {NeverUp: 1},
	"half-the-ups": {NeverUp: 0.6},
}

// gatherer is one of the model.
type gatherer struct {
	zone    int
	rate    float64 // lookups a second
	offset  float64 // by which its loss differs for good, times
	speed   float64 // and its latency
	kind    rollout.Variant
	started float64
	process int
	down    float64 // until then it does not serve
	hidden  float64 // until then it cannot be asked, and serves
	cut     float64 // until then its link loses
	step    rollout.StepState
	stepTo  rollout.Variant
	stepEnd float64
	memory  float64
	open    [3]float64 // lookups of each index under way when an interval ended
}

// trouble is one of the fleet's own, for a time.
type trouble struct {
	kind     string
	from, to float64
	zone     int
	size     float64
}

// fleet is the model.
type fleet struct {
	t         Terms
	chance    *pcg.Source
	now       float64
	gatherers []gatherer
	troubles  []trouble
	wave      float64
	bad       Effect
	normal    float64 // one kept for the next draw
	has       bool

	Harmed float64 // lookups of the new that came out worse than they would have
}

func newFleet(t Terms) *fleet {
	f := &fleet{t: t, chance: pcg.New(t.Seed*7919 + 13), bad: Bad[t.Kind]}
	if t.Own != nil {
		f.bad = *t.Own
	}
	f.wave = f.chance.Float64() * 2 * math.Pi
	scale := func(v *float64) { *v *= t.Size }
	for _, v := range []*float64{&f.bad.Loss, &f.bad.Nack, &f.bad.Abort, &f.bad.Tail, &f.bad.Further, &f.bad.Leak, &f.bad.Dies} {
		scale(v)
	}
	for i := range t.Gatherers {
		g := gatherer{zone: i % t.Zones, rate: t.Rate * math.Exp(0.6*f.gauss()-0.18), offset: math.Exp(0.25 * f.gauss()), speed: math.Exp(0.08 * f.gauss()), kind: rollout.Old, started: -3_600_000, memory: 18 * math.Exp(0.1*f.gauss())}
		f.gatherers = append(f.gatherers, g)
	}
	// Troubles come at random, some on top of each other.
	for at := 0.0; ; {
		at += -math.Log(1-f.chance.Float64()) * 600_000 / max(t.Troubles, 1e-9)
		if at > t.Length {
			return f
		}
		kinds := []string{"slow", "zone-lost", "burst", "die", "hidden", "cut", "one-sided"}
		tr := trouble{kind: kinds[f.chance.Uint32()%uint32(len(kinds))], from: at, to: at + 1000*(4+26*f.chance.Float64()), zone: int(f.chance.Uint32()) % t.Zones, size: f.chance.Float64()}
		f.troubles = append(f.troubles, tr)
	}
}

func (f *fleet) gauss() float64 {
	if f.has {
		f.has = false
		return f.normal
	}
	r, a := math.Sqrt(-2*math.Log(1-f.chance.Float64())), 2*math.Pi*f.chance.Float64()
	f.normal, f.has = r*math.Sin(a), true
	return r * math.Cos(a)
}

// binomial draws how many of n come about, each with a chance; whole trials by their gaps.
func (f *fleet) binomial(n, p float64) float64 {
	switch {
	case n <= 0 || p <= 0:
		return 0
	case p >= 1:
		return math.Floor(n)
	case n*p*(1-p) > 9: // near enough to a normal one
		return min(max(math.Round(n*p+math.Sqrt(n*p*(1-p))*f.gauss()), 0), n)
	case p > 0.5:
		return math.Floor(n) - f.binomial(n, 1-p)
	}
	count, at, l := 0.0, 0.0, math.Log(1-p)
	for {
		at += math.Floor(math.Log(1-f.chance.Float64())/l) + 1
		if at > n {
			return count
		}
		count++
	}
}

// poisson draws how many come.
func (f *fleet) poisson(mean float64) float64 {
	if mean > 12 {
		return max(math.Round(mean+math.Sqrt(mean)*f.gauss()), 0)
	}
	count, left := 0.0, math.Exp(-mean)
	for p := f.chance.Float64(); p > left; p *= f.chance.Float64() {
		count++
	}
	return count
}

// weather is what a zone's servers are like in an interval.
type weather struct{ load, loss, latency float64 }

// step plays one interval: steps that were ordered come to their end, troubles begin and end, and everybody tells.
func (f *fleet) step() rollout.Observation {
	before := f.now
	f.now += f.t.Interval
	zones := make([]weather, f.t.Zones)
	burst := 1 + 0.2*math.Sin(f.wave+f.now/400_000)
	for z := range zones {
		zones[z] = weather{load: 0.5, latency: 1}
	}
	for i := range f.troubles {
		tr := &f.troubles[i]
		if tr.from > f.now || tr.to < before {
			continue
		}
		z := &zones[tr.zone]
		switch first := tr.from > before; tr.kind {
		case "slow":
			z.latency *= 1.5 + 2*tr.size
			z.loss += 0.02 + 0.1*tr.size
		case "zone-lost":
			z.loss += 0.3 + 0.3*tr.size
			for o := range zones {
				zones[o].load += 0.25 / float64(max(f.t.Zones-1, 1))
			}
		case "burst":
			burst *= 1.2 + 0.5*tr.size
		case "die":
			for g := range f.gatherers {
				if first && f.chance.Float64() < 0.02+0.08*tr.size {
					f.die(&f.gatherers[g], 1000+8000*f.chance.Float64())
				}
			}
		case "hidden":
			for g := range f.gatherers {
				if first && f.chance.Float64() < 0.05+0.15*tr.size {
					f.gatherers[g].hidden = tr.to
				}
			}
		case "one-sided":
			for g := range f.gatherers {
				if first && f.gatherers[g].zone == tr.zone && f.chance.Float64() < 0.1+0.3*tr.size {
					f.gatherers[g].cut = tr.to
				}
			}
		case "cut":
			for g := range f.gatherers {
				if first && f.gatherers[g].zone == tr.zone {
					f.gatherers[g].hidden = tr.to
				}
			}
			z.loss += 0.15 * tr.size
		}
	}
	// What the new cost their zone's servers falls on all who ask there.
	for z := range zones {
		work, plain := 0.0, 0.0
		for i := range f.gatherers {
			g := &f.gatherers[i]
			if g.zone == z && f.now >= g.down {
				plain += g.rate
				work += g.rate * f.costs(g)
			}
		}
		w := &zones[z]
		w.load *= burst * work / max(plain, 1e-9)
		w.latency *= 0.5 / max(1-min(w.load, 0.95), 0.05)
		w.loss += 0.5 * max(w.load-0.8, 0)
	}
	o := rollout.Observation{Now: f.now, Gatherers: make([]rollout.GathererSample, len(f.gatherers))}
	for i := range f.gatherers {
		o.Gatherers[i] = f.tell(&f.gatherers[i], &zones[f.gatherers[i].zone], burst)
	}
	return o
}

// costs is a gatherer's part calls over an old one's.
func (f *fleet) costs(g *gatherer) float64 {
	if b, on := f.active(g, -1); on {
		return max(b.Calls, 1) * (1 + b.Further)
	}
	return 1
}

// active is what a gatherer's version does to an index now; -1 for what is of no index.
func (f *fleet) active(g *gatherer, index int) (Effect, bool) {
	b := f.bad
	age := f.now - g.started
	on := g.kind == rollout.New && (b.Zone == 0 || b.Zone == g.zone+1) && (index < 0 || b.Index == 0 || b.Index == index+1) && age >= b.After && (b.Until == 0 || age < b.Until)
	return b, on
}

func (f *fleet) die(g *gatherer, away float64) {
	g.down, g.started = f.now+away, f.now+away
	g.process++
}

// order begins steps.
func (f *fleet) order(steps []rollout.Step) {
	for _, s := range steps {
		g := &f.gatherers[s.Gatherer]
		g.step, g.stepTo = rollout.Running, s.To
		g.stepEnd = f.now + 1500 + 4500*f.chance.Float64()
		g.down = g.stepEnd
	}
}

// tell is what is heard of a gatherer for the interval that ends now.
func (f *fleet) tell(g *gatherer, w *weather, burst float64) rollout.GathererSample {
	b, _ := f.active(g, -1)
	if g.step == rollout.Running && f.now >= g.stepEnd {
		fails := 0.01
		if g.stepTo == rollout.New {
			fails = max(fails, f.bad.NeverUp)
		}
		if f.chance.Float64() < fails {
			g.step = rollout.Failed
			g.down = f.now + 4000 // the one before it is started again
		} else {
			g.step, g.kind = rollout.Succeeded, g.stepTo
		}
		g.process++
		g.started = g.stepEnd
		g.memory = 12
	} else if g.step != rollout.Running && g.kind == rollout.New && b.Dies > 0 && f.chance.Float64() < b.Dies*f.t.Interval/60_000 {
		f.die(g, 2000)
	}
	s := rollout.GathererSample{Variant: g.kind, Incarnation: fmt.Sprint(g.process), Uptime: f.now - g.started, Step: g.step}
	g.memory += (18 - g.memory) * 0.02
	if g.kind == rollout.New && b.Leak > 0 {
		g.memory *= 1 + b.Leak*f.t.Interval/60_000
	}
	if f.now < g.down || f.now < g.hidden || f.chance.Float64() < 0.003 {
		s = rollout.GathererSample{Step: g.step, Fault: "no answer"}
		if f.now < g.down {
			return s
		}
	}
	reached := s.Variant != rollout.Unknown
	s.Reachable, s.Ready = reached, reached
	s.Memory = g.memory * (1 + 0.03*f.gauss())
	s.Connections = 60 * (1 + 0.05*f.gauss())
	if g.kind == rollout.New && b.Conns > 0 {
		s.Connections *= b.Conns
	}
	young := math.Exp(-max(f.now-g.started, 0) / 4000)
	span := min(f.t.Interval, max(f.now-g.started, 0)) / 1000 // a process tells what it has done itself
	for i := range indexNames {
		c := rollout.ClassCounts{Queries: f.poisson(g.rate * burst * indexShares[i] * span)}
		e, on := f.active(g, i)
		loss := baseLoss[i]*g.offset + w.loss + 0.10*young
		nack, abort, latency, slowTail, more, factor := loss/2, loss/6, w.latency*g.speed*(1+0.4*young), 0.0, 0.02+0.2*w.loss+0.03*young, 1.0
		if f.now < g.cut {
			loss, more, latency = loss+0.15, more+0.1, latency*1.4
		}
		worse := 0.0
		if on {
			loss += e.Loss + e.Nack + e.Abort
			nack += e.Nack
			abort += e.Abort
			more += e.Further
			slowTail = e.Tail
			if e.Latency > 0 {
				latency *= e.Latency
				loss += 0.03 * max(e.Latency-1, 0)
			}
			factor = max(e.Calls, 1)
			worse = e.Loss + e.Nack + e.Abort + e.Tail + 0.3*max(e.Latency-1, 0)
		}
		bad := f.binomial(c.Queries, min(loss, 0.98))
		c.EarnedValue = c.Queries - bad
		c.Rejected = f.binomial(bad, min(nack/max(loss, 1e-9), 1))
		c.Failed = f.binomial(bad-c.Rejected, min(abort/max(loss-nack, 1e-9), 1))
		// Part calls are counted as they go, parts once their lookup has ended: some are of the next interval.
		c.ShardRequests = c.Queries * parts[i]
		open := min(f.poisson(g.rate*burst*indexShares[i]*0.08*latency), 1000)
		went := max(c.Queries+open-g.open[i], 0) * parts[i] * factor
		g.open[i] = open
		c.ExtraAttempts = f.binomial(went, min(more, 0.9))
		c.Attempts = went + c.ExtraAttempts
		// Latency is lognormal; its limits are the median and the 95th percentile of a calm day.
		const sigma = 0.5
		c.Served = c.Queries - bad
		for k, z := range []float64{0, 1.645} {
			p := 0.5 * math.Erfc((z-math.Log(latency)/sigma)/math.Sqrt2)
			p4 := 0.5 * math.Erfc((z-math.Log(4*latency)/sigma)/math.Sqrt2)
			c.OverLimit[k] = f.binomial(c.Served, (1-slowTail)*p+slowTail*p4)
		}
		f.Harmed += c.Queries * worse
		s.Classes = append(s.Classes, c)
	}
	if !reached {
		return rollout.GathererSample{Step: g.step, Fault: "no answer"}
	}
	return s
}
