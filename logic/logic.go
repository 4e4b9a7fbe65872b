// Package logic is the decision module of yokeroute: all decisions, tables and tuned values are here.
//
// One Gatherer shares nothing with others. Call New once with seed and terms, Round with what came at one
// moment; decisions go into the writer passed with it (terms: internal/config/settings). The same calls decide alike:
// time is the round's, chance the seed's, no map's order counts. Why each piece is so: docs/design.md.
package logic

import (
	"cmp"
	"math"
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
	"yokeroute/internal/stats"
	"yokeroute/logic/callstats"
	"yokeroute/logic/roundrobin"
	"yokeroute/logic/slowstart"
)

const (
	span       = 5000.0  // the design's window of records
	enough     = 4       // records kept beyond the window, against a gatherer too small to fill it,
	memory     = 25000.0 // for so long
	clamp      = 0.9     // the design's ceiling on L·s
	holdLimit  = 1       // our parts out at a server from which extras wait; the design starts at two
	overS      = 2.0     // the design's "over twice s", for records and for the skip
	Silence    = 0.4     // of the shortest soft deadline, unheard for which a connection gets no further calls
	patience   = 4.0     // yardsticks after which a part out no longer counts on the way
	badShare   = 0.25    // share of failures over the group's least from which turns pass a server by
	regained   = 10      // parts answered since one was lost from which a server gets once-only parts again
	unsound    = 0.02    // answered records that a server gets for nothing, against ruling one out for good
	crowd      = 1.0     // parts more than at the emptiest replica with which turns pass a server by
	callParts  = 4       // parts that one turn takes along where calls cost; more would queue up
	sparing    = 0.6     // the part of the budget that second copies may use; lost parts have the rest
	ageing     = 1.5     // mean age of parts out to their expected latency
	noCopies   = 0.3     // usual latency of a call over the soft deadline from which no copies are made
	fresh      = 300.0   // for which a load that a server told holds
	believed   = 2000.0  // and for which it is better than nothing
	abreast    = 2.0     // parts that a server is taken to work on at once
	slower     = 2.0     // times the least expected latency of its group from which turns pass a server by
	pollWait   = 25.0    // that a landing lookup waits for loads it has asked for
	silent     = 1e9     // expected of a server that does not answer even that; the last choice
	toldCounts = 0.5     // of a latency expected by loads told towards a jam, since they are no seconds late
	jamFrom    = 0.35    // slowest part's expected latency over the soft deadline: refusals start here,
	jamFull    = 0.8     // and here all are refused
	Reserve    = 0.25    // further calls held back for each first one out: one replica of four may be lost
	comeBack   = 400.0   // shortest advice to a nacked client
	eps        = 5e-5    // weights come rounded

	// Further part calls where no budget is set, so that resends never feed a jam.
	ownFree, ownShare, ownSpan = 3.0, 0.1, 5000.0
	recalled                   = 10.0 // times as many where each takes the place of one called off
)

type call struct {
	part  *part
	shd   int
	at    float64
	cost  float64 // over that of a call in full
	ended bool
	unrun bool // it is proved that it never ran
	off   bool // called off, to be sent elsewhere once its end is told
}

type part struct {
	gather.ShardRequest
	lk    *lookup
	calls []*call
	first [1]*call // room for the first of them
	out   int      // calls that have not ended
	due   int      // whose turn it was when its lookup was opened, or -1
	asked bool     // to be sent, whether or not a server has room for it now
	extra bool     // beyond the n of normal mode
	in    bool
	over  bool // the wire has told its end: a part call now would come after the final answer
}

type index struct {
	soft, hard, lateShare, whole, least, partialEarns, window, secondStep float64

	alone  bool
	effect gather.Effect
	cost   float64 // mean expected work of a part
	try    float64 // longest time that clients give a first try
}

type lookup struct {
	gather.Query
	ix       *index
	landed   float64
	parts    []*part
	opened   bool    // its mode is decided
	until    float64 // it waits for the loads of its parts' replicas
	answered bool    // this is its second step,
	whole    bool    // and the first was whole
	over     bool
}

// turn is whose turn it is among a group's replicas; parts of one round share it where calls have a price.
type turn struct {
	next, shd, left int
	at              float64
}

// Gatherer holds what one gatherer knows.
type Gatherer struct {
	settings *gather.Settings
	chance   *pcg.Source
	now      float64
	w        gather.Writer
	indexes  map[string]*index

	// Figures about servers, in parallel arrays under a dense index.
	dense         map[uint32]int
	ids           []uint32
	holds         [][]int // groups that it holds shards of
	state         []gather.State
	brief         []bool    // it answers first passes
	away          []bool    // it stands in another zone
	isBusy        []bool    // it is among those with calls out
	polled, told  []float64 // when it was asked for its load, 0 where no answer is due; when it last told one
	queue, work   []float64 // parts waiting there and their latency without the waiting, as it told
	way           []float64 // what the probe took
	records       *callstats.Table
	slow          slowstart.Table
	out           [][]*call
	busy          []int // servers with calls out, in no order that counts
	last          []*call
	rate, s, f, r []float64 // s is below 0 where no record tells: latency() reads it
	doubt         []float64 // f with two good records added, so that one bad part proves nothing
	sound         []float64 // share of parts answered, late or not
	trust         []float64 // parts answered since the last one lost

	holders    [][]int   // by shard modulo groups, as turns
	leastDoubt []float64 // among them, as of the round in doubtAt
	doubtAt    []uint64
	rounds     uint64
	turns      []turn
	plan       roundrobin.Weighted // for groups of which an operator handed weights down

	soft, normal        float64   // the shortest soft deadline; the median of what the window answered
	unknown             float64   // latency of a server without records: the median as the last round found it
	usual               float64   // latency of a part call, from those out and those lately answered
	sentExtras, dropped float64   // decaying over span
	carried             float64   // parts that warm servers answered since the last round
	budget, elapsed     float64   // further part calls allowed now; time since the last round
	taken, further      []float64 // times of lookups and parts taken, and of further part calls
	scratch             []float64 // kept from round to round, against garbage by the thousand records

	held             []*lookup
	byNumber         map[uint64]*lookup
	parts            map[uint64]*part
	wakeAt, askAt    float64
	subscribed, asks bool // to the list; servers tell their load only when asked
}

// New makes a gatherer that knows only its terms.
func New(seed uint64, settings *gather.Settings) *Gatherer {
	g := &Gatherer{settings: settings, chance: pcg.New(seed), dense: map[uint32]int{}, indexes: map[string]*index{},
		parts: map[uint64]*part{}, byNumber: map[uint64]*lookup{}, soft: math.Inf(1),
		records: callstats.New(callstats.Limits{Span: span, Enough: enough, Memory: memory})}
	g.slow.Take(settings)
	g.asks = settings.HealthChecksAllowed && settings.LoadReports == "pull"
	for _, name := range settings.ClassNames() {
		g.soft = min(g.soft, g.index(name).soft)
	}
	g.normal, g.holders = g.soft/10, make([][]int, max(settings.ReplicaSets, 1))
	g.leastDoubt, g.doubtAt = make([]float64, len(g.holders)), make([]uint64, len(g.holders))
	for range g.holders { // by chance, against all gatherers starting at one replica
		g.turns = append(g.turns, turn{next: int(g.chance.Uint32() >> 8), at: -1})
	}
	g.plan.Lay(g.holders, g.ids, g.chance)
	return g
}

// Round takes in all that came at one moment and decides.
func (g *Gatherer) Round(in *gather.Round, w gather.Writer) {
	fade := math.Exp((g.now - in.Now) / span)
	g.sentExtras, g.dropped = g.sentExtras*fade, g.dropped*fade
	if g.now > 0 {
		g.elapsed = min(in.Now-g.now, span)
	}
	g.now, g.w, g.rounds = in.Now, w, g.rounds+1
	if in.Settings != nil { // an operator's policy: what lands from now on goes by it
		g.settings, g.indexes = in.Settings, map[string]*index{}
		g.slow.Take(g.settings)
		g.slow.Muster(g.now, g.runs)
	}
	for i := range in.EndpointLists {
		g.follow(&in.EndpointLists[i])
	}
	if in.Weights != nil {
		g.plan.Weights = in.Weights
		g.plan.Lay(g.holders, g.ids, g.chance)
	}
	askList := g.settings.EndpointsOnRequest && !g.subscribed
	if askList && g.now >= g.askAt { // against deciding by a list long out of date
		g.askAt = g.now + 1000
		w.Subscribe()
	}
	for i := range in.Results {
		g.ended(&in.Results[i])
	}
	for _, id := range in.Superseded { // other parts take its place
		if p := g.parts[id]; p != nil {
			p.lk.parts = slices.DeleteFunc(p.lk.parts, func(o *part) bool { return o == p })
			delete(g.parts, id)
		}
	}
	for _, smp := range in.HealthChecks {
		if shd, known := g.dense[smp.Server]; known && g.polled[shd] > 0 {
			g.polled[shd], g.told[shd], g.way[shd] = 0, g.now, smp.Elapsed
			g.queue[shd], g.work[shd] = smp.QueueLength, smp.Latency
			if !smp.Succeeded {
				g.queue[shd] = silent
			}
		}
	}
	g.take(in)
	for _, lk := range g.held { // after take: a client may leave in the round that its lookup lands in
		if slices.Contains(in.Abandoned, lk.ID) {
			g.drop(lk)
		}
	}
	g.reckon(fade)
	for _, lk := range g.held {
		g.tend(lk)
	}
	g.held = slices.DeleteFunc(g.held, func(lk *lookup) bool { return lk.over })
	if g.now >= g.wakeAt && (len(g.held) > 0 || askList) {
		g.wakeAt = g.now + 2*g.tick()
		w.Wake(2 * g.tick())
	}
}

// RetryBudgetLeft is how many further part calls the budget had left at the last round.
func (g *Gatherer) RetryBudgetLeft() float64 { return g.budget - float64(len(g.further)) }

func (g *Gatherer) tick() float64 { return max(g.settings.Tick, 1) }

// index picks the terms of a lookup's index, once, against building their names in every round.
func (g *Gatherer) index(name string) *index {
	ix := g.indexes[name]
	if ix == nil {
		c := g.settings.Class(name)
		ix = &index{soft: c.LatencyObjective, hard: c.Deadline, lateShare: c.LateValue, whole: c.CompleteShare,
			least: c.MinShare, partialEarns: c.PartialValue, alone: c.HedgingForbidden, window: c.IdempotencyWindow,
			secondStep: c.FollowUpRequests, effect: c.Effect}
		g.indexes[name] = ix
	}
	return ix
}

// follow takes over a list. A failed one leaves the last in force, as the wire has it.
func (g *Gatherer) follow(l *gather.EndpointList) {
	if l.Failed {
		g.subscribed, g.askAt = false, g.now+500+500*g.chance.Float64()
		return
	}
	g.subscribed = g.askAt > 0
	if l.Full {
		listed := make(map[uint32]bool, len(l.Endpoints))
		for i := range l.Endpoints {
			listed[l.Endpoints[i].ID] = true
		}
		for shd, id := range g.ids {
			if !listed[id] {
				g.state[shd] = gather.Removed
			}
		}
	}
	groups, row := len(g.turns), g.settings.ReplicaSetsPerShard
	for i, free := 0, 0; i < len(l.Endpoints); i++ {
		e := &l.Endpoints[i]
		shd, known := g.dense[e.ID]
		if !known { // against arrays that grow with every machine replaced: one that is gone leaves its place
			for ; free < len(g.ids) && (g.state[free] != gather.Removed || len(g.out[free]) > 0); free++ {
			}
			shd = free
			if shd < len(g.ids) {
				delete(g.dense, g.ids[shd])
			} else {
				g.ids, g.holds, g.state = append(g.ids, 0), append(g.holds, nil), append(g.state, 0)
				g.out, g.last = append(g.out, nil), append(g.last, nil)
				g.brief, g.away, g.isBusy = append(g.brief, false), append(g.away, false), append(g.isBusy, false)
				g.records.Grow()
				g.slow.Grow()
				for _, figures := range []*[]float64{&g.rate, &g.s, &g.f, &g.r, &g.doubt, &g.sound, &g.trust,
					&g.polled, &g.told, &g.queue, &g.work, &g.way} {
					*figures = append(*figures, 0)
				}
			}
			g.dense[e.ID], g.ids[shd] = shd, e.ID
		}
		if !known || e.StartedAt != g.slow.Started(shd) { // against judging a process by the one before it
			g.records.Forget(shd)
			g.last[shd], g.rate[shd] = nil, 0
			g.polled[shd], g.told[shd] = 0, math.Inf(-1)
			g.slow.Start(shd, e.ID, e.StartedAt)
		}
		g.state[shd], g.brief[shd], g.holds[shd] = e.State, e.AnswersFirstPass, e.ReplicaSets
		g.away[shd] = e.Zone != g.settings.Zone
		here := e.ReplicaSets == nil && e.ReplicaSet >= 0 && e.ReplicaSet < groups // against sending to one that holds no shard
		for j := 0; here && j < row; j++ {
			g.holds[shd] = append(g.holds[shd], ((e.ReplicaSet-j)%groups+groups)%groups)
		}
	}
	clear(g.holders)
	for shd, holds := range g.holds {
		for _, base := range holds {
			if g.state[shd] == gather.Running && base < groups {
				g.holders[base] = append(g.holders[base], shd)
			}
		}
	}
	g.plan.Lay(g.holders, g.ids, g.chance)
	g.slow.Muster(g.now, g.runs)
}

func (g *Gatherer) runs(shd int) bool { return g.state[shd] == gather.Running }

// ended books how a part call went.
func (g *Gatherer) ended(e *gather.AttemptResult) {
	p := g.parts[e.Request]
	if p == nil || e.Attempt < 0 || e.Attempt >= len(p.calls) || p.calls[e.Attempt].ended {
		return
	}
	c := p.calls[e.Attempt]
	c.ended, c.unrun = true, e.Outcome.NeverExecuted()
	p.out--
	p.over = p.over || e.Finished
	g.out[c.shd] = slices.DeleteFunc(g.out[c.shd], func(o *call) bool { return o == c })
	g.records.Touch(c.shd)
	waited, limit, passed := g.now-c.at, overS*g.yard(c), e.Outcome == gather.Succeeded
	rec := callstats.Record{At: g.now, Latency: waited, Extra: waited - limit/overS, Weight: c.cost,
		Passed: passed, Failed: !passed || waited > limit}
	if passed {
		p.in = true
		if g.slow.Share(c.shd, g.now) == 1 {
			g.carried++
		}
	} else {
		rec.Extra, rec.Lost = rec.Extra+limit, !c.unrun // its next call takes its time as well
	}
	// What we ended ourselves before it could be called slow says nothing of the server.
	if passed || e.Outcome != gather.NotSent && (e.Outcome != gather.Cancelled || waited > limit) {
		g.records.Add(c.shd, rec)
	}
	if p.lk.over && p.out == 0 {
		delete(g.parts, p.ID)
	}
}

// yard is what a call should take. The fleet's median holds s down, against a server that slows steadily and
// is never over twice its own s. A heavy part is granted its weight, against blaming the server for it.
func (g *Gatherer) yard(c *call) float64 {
	return min(g.latency(c.shd), g.normal) * max(1, c.part.Cost/max(c.part.lk.ix.cost, 1))
}

// since leaves only the times of the last so many milliseconds.
func (g *Gatherer) since(times []float64, length float64) []float64 {
	old, _ := slices.BinarySearch(times, g.now-length)
	return times[old:]
}

// reckon brings the budget, and s, f and r of all servers, up to the round.
func (g *Gatherer) reckon(fade float64) {
	length, free, share := g.settings.RetryBudgetWindow, g.settings.RetryBudgetFloor, g.settings.RetryBudgetRatio
	if length == 0 {
		length, free, share = ownSpan, ownFree, ownShare
		if !g.settings.HedgingAllowed {
			free, share = free*recalled, share*recalled
		}
	}
	// The taken are counted over a tick less and the sent over a tick more, against rounding at the edges.
	g.taken, g.further = g.since(g.taken, length-g.tick()), g.since(g.further, length+g.tick())
	g.budget = free + share*float64(len(g.taken))
	for _, lk := range g.held { // a first pass that hears nothing is made up for by a further call
		for _, p := range lk.parts {
			if lk.Pass == gather.FirstPass && p.out > 0 {
				g.budget -= Reserve
			}
		}
	}
	for shd := range g.rate {
		g.rate[shd] *= fade
	}
	changed := g.records.Advance(g.now)
	calls := g.records.Answered(g.now-g.soft, g.scratch[:0])
	g.busy = slices.DeleteFunc(g.busy, func(shd int) bool {
		g.isBusy[shd] = len(g.out[shd]) > 0
		return !g.isBusy[shd]
	})
	for _, shd := range g.busy {
		for _, c := range g.out[shd] {
			calls = append(calls, max(g.latency(shd), ageing*(g.now-c.at)))
		}
		g.figure(shd)
	}
	for _, shd := range changed {
		if len(g.out[shd]) == 0 {
			g.figure(shd)
		}
	}
	g.slow.Earn(g.now, g.elapsed, g.normal, g.carried, g.runs)
	g.unknown = g.normal
	g.usual, g.normal, g.carried, g.scratch = stats.Median(calls, 0), g.records.Median(g.soft/10), 0, calls
}

// figure works out what a server's records and its calls that are out say of it.
func (g *Gatherer) figure(shd int) {
	sums := g.records.Sums(shd)
	n, failed, extra := sums.Number, sums.Failed, sums.Extra
	// A part out over twice s has failed by the design's own word: against learning of silence at its end only.
	for _, c := range g.out[shd] {
		if late := g.now - c.at - overS*g.yard(c); late > 0 {
			n++
			failed++
			extra += late
		}
	}
	g.s[shd], g.f[shd], g.r[shd], g.doubt[shd] = -1, failed/max(n, 1), g.soft/2, failed/(n+2)
	g.sound[shd], g.trust[shd] = (sums.Passed+unsound)/(n+unsound), sums.Trust
	if sums.Passed > 0 {
		g.s[shd] = sums.Latency / sums.Passed
	}
	if failed > 0 {
		g.r[shd] = extra / failed
	}
}

// latency is the design's s: of a server without records what is normal.
func (g *Gatherer) latency(shd int) float64 {
	if g.s[shd] < 0 {
		return g.unknown
	}
	return g.s[shd]
}

func (g *Gatherer) take(in *gather.Round) {
	for _, l := range in.Queries {
		lk := &lookup{Query: l, ix: g.index(l.Class), landed: cmp.Or(l.ArrivedAt, g.now)}
		switch ix, left := lk.ix, l.Deadline-g.now; {
		case !l.Retry && l.ArrivedAt == 0: // the longest of late; some clients give a try less
			ix.try = max(left, ix.try*0.99)
		case l.ArrivedAt == 0 && left < ix.try-4*g.tick(): // cut by the hard deadline, from the first try on
			lk.landed = min(l.Deadline-ix.hard, g.now)
		}
		g.held = append(g.held, lk)
		g.byNumber[l.Number] = lk
		if l.Pass != gather.SecondPass { // its parts were taken with its first pass, and count once
			g.taken = append(g.taken, g.now)
		}
	}
	slab := make([]part, len(in.Requests)) // at once: one by one they were a quarter of all allocations
	for i, pt := range in.Requests {
		lk := g.byNumber[pt.Number]
		if lk == nil || lk.Pass != gather.SecondPass && (!lk.opened || lk.answered) {
			g.taken = append(g.taken, g.now)
		}
		if lk == nil {
			continue
		}
		p := &slab[i]
		p.ShardRequest, p.lk, p.asked = pt, lk, lk.answered // a second step needs all its parts
		p.calls = p.first[:0]
		lk.parts = append(lk.parts, p)
		g.parts[pt.ID] = p
		if pt.Cost > 0 {
			lk.ix.cost = cmp.Or(lk.ix.cost, pt.Cost)
			lk.ix.cost += (pt.Cost - lk.ix.cost) / 100
		}
	}
}

// affected is the design's E: the parts that this one would delay, itself pushed (the paper's section III-C).
func (g *Gatherer) affected(shd int) float64 {
	load := min(g.rate[shd]/span*g.latency(shd), clamp)
	return load * float64(len(g.out[shd])+1) / (1 - load)
}

// open decides the mode of a lookup by the sign of its net gain.
func (g *Gatherer) open(lk *lookup) {
	lk.opened = true
	type choice struct {
		p      *part
		shd    int
		f, tie float64
	}
	all := make([]choice, len(lk.parts))
	for i, p := range lk.parts {
		p.due = g.peek(p)
		all[i] = choice{p: p, shd: p.due, f: 1, tie: p.Cost + p.OrderPenalty + g.chance.Float64()}
		if p.due >= 0 {
			all[i].f = g.f[p.due]
		}
	}
	slices.SortStableFunc(all, func(a, b choice) int {
		return cmp.Or(cmp.Compare(a.f, b.f), cmp.Compare(a.tie, b.tie))
	})
	need, weight, failing, netGain := lk.ix.whole, lk.ReceivedWeight, false, 0.0
	c := g.dropped / max(g.dropped+g.sentExtras, eps)
	for _, ch := range all {
		extra := weight >= need-eps
		weight += ch.p.Weight
		ch.p.asked, ch.p.extra = !extra, extra
		if ch.shd < 0 {
			continue
		}
		e, s := g.affected(ch.shd), g.latency(ch.shd)
		if extra {
			netGain -= e * (1 - c) * s
			continue
		}
		netGain += e * (g.f[ch.shd]*g.r[ch.shd] + c*s)
		failing = failing || g.f[ch.shd] > 0
	}
	if netGain > 0 && failing {
		for _, p := range lk.parts {
			p.asked = true
		}
	}
}

// landing is the expected latency of a part that lands at a server now. s tells it only from parts that have
// ended, seconds late once a queue grows; the age of those still out tells sooner.
func (g *Gatherer) landing(shd int) float64 {
	if g.polled[shd] > 0 && g.now-g.polled[shd] >= pollWait {
		return silent
	}
	age, since := 0.0, 0.0
	for _, c := range g.out[shd] {
		age += g.now - c.at
		if c.at >= g.told[shd] {
			since++
		}
	}
	if g.now-g.told[shd] <= believed {
		// What a server was slow by before is told until it has answered more, and nobody would send it more.
		waiting := max(g.queue[shd]+since, float64(len(g.out[shd])))
		return g.way[shd] + min(max(g.work[shd], g.latency(shd)), patience*g.normal)*(1+waiting/abreast)
	}
	return max(g.latency(shd), ageing*age/float64(max(len(g.out[shd]), 1)))
}

// jammed tells whether a landing lookup should be refused: its slowest part, by more than start values, would
// take so much of its soft deadline that it would only delay others. Nothing is sent yet: any may be nacked.
func (g *Gatherer) jammed(lk *lookup) bool {
	type wait struct{ ms, weight float64 }
	waits, counts := []wait(nil), 1.0
	if g.asks {
		counts = toldCounts
	}
	for _, p := range lk.parts {
		if p.asked && p.due >= 0 && g.landing(p.due) < silent { // an own cut refuses nothing
			waits = append(waits, wait{counts * g.landing(p.due), p.Weight})
		}
	}
	slices.SortFunc(waits, func(a, b wait) int { return cmp.Compare(a.ms, b.ms) })
	slowest, in := 0.0, lk.ReceivedWeight
	for i := 0; i < len(waits) && in < lk.ix.whole-eps; i++ { // of those that it needs
		slowest, in = waits[i].ms, in+waits[i].weight
	}
	// Against storms of clients that wait less than that: they leave before their answer and come again.
	left := max(min(lk.landed+lk.ix.soft, lk.Deadline)-g.now, 1)
	return g.normal != g.soft/10 && (slowest/left-jamFrom)/(jamFull-jamFrom) > g.chance.Float64()
}

// polls asks a landing lookup's replicas for their load where it is told only so; it reports whether to wait.
func (g *Gatherer) polls(lk *lookup) (waits bool) {
	if !g.asks || lk.until > 0 && g.now >= lk.until || lk.Deadline-g.now <= 2*pollWait {
		return false
	}
	lk.until = cmp.Or(lk.until, g.now+pollWait)
	for _, p := range lk.parts {
		for _, shd := range g.holders[p.Shard%len(g.holders)] {
			if g.now-g.told[shd] <= fresh {
				continue
			}
			if g.polled[shd] == 0 || g.now-g.polled[shd] > 1000 {
				g.polled[shd] = g.now
				g.w.CheckHealth(g.ids[shd])
			}
			waits = waits || g.now-g.polled[shd] < pollWait
		}
	}
	return waits
}

// tend takes one lookup as far as it can go now.
func (g *Gatherer) tend(lk *lookup) {
	if lk.over {
		return
	}
	if !lk.opened {
		if g.polls(lk) {
			return
		}
		g.open(lk)
		if lk.Pass != gather.FirstPass && g.jammed(lk) { // a first pass is over soon, and its lookup is judged then
			g.giveUp(lk)
			return
		}
	}
	need, least := lk.ix.whole, lk.ix.least
	if lk.answered {
		need = 1
	}
	in, possible, reach, outs, ins := lk.ReceivedWeight, lk.ReceivedWeight, lk.ReceivedWeight, 0, 0
	for _, p := range lk.parts {
		outs += p.out
		if p.in {
			in += p.Weight
			ins++
		}
		if p.in || p.out > 0 || len(p.calls) == 0 || g.allowed(p) {
			possible += p.Weight
		}
		if g.onTheWay(p) {
			reach += p.Weight
		}
	}
	softLeft := lk.landed + lk.ix.soft - g.now
	timeUp := lk.Deadline-g.now <= 3*g.tick()
	now := timeUp || softLeft <= 2*g.tick() && lk.ix.partialEarns*in/need > lk.ix.lateShare
	whole := in >= need-eps && (need < 1-eps || ins == len(lk.parts)) // a part may weigh less than eps
	switch {
	case len(lk.parts) == 0 && !timeUp:
		return // its second step comes with the next round
	case whole, in > 0 && in >= least-eps && (now || possible < need-eps && in >= possible-eps):
		g.answer(lk, whole && (!lk.answered || lk.whole))
		return
	case timeUp, possible < least-eps, softLeft <= 0 && (lk.ix.lateShare == 0 || outs == 0):
		g.giveUp(lk) // nothing more to earn, or no server found for it before the soft deadline
		return
	}
	for _, p := range lk.parts {
		// Parts not yet asked for make up for lost and late ones first: they are first calls, and cost no budget.
		if !p.asked && reach < need-eps {
			p.asked, p.extra = true, false
			reach += p.Weight
		}
		if p.asked && len(p.calls) == 0 && (!p.Retry || float64(len(g.further)+1) <= g.budget) {
			g.place(p, !p.extra, p.Retry)
		}
	}
	for _, p := range lk.parts {
		if reach < need-eps && !g.onTheWay(p) && g.mayResend(p, (need-in)/need) && g.place(p, true, true) {
			reach += p.Weight
		}
	}
}

// onTheWay reports whether an answer of the part may be counted on.
func (g *Gatherer) onTheWay(p *part) bool {
	if p.in || p.asked && len(p.calls) == 0 {
		return true
	}
	out := func(c *call) bool { return !c.ended && g.now-c.at <= patience*g.yard(c) }
	return slices.ContainsFunc(p.calls, out)
}

// allowed guards against a second effect: it reports whether the part's index lets it be sent once more.
func (g *Gatherer) allowed(p *part) bool {
	if p.over || len(p.calls) >= g.settings.MaxAttempts {
		return false
	}
	return !slices.ContainsFunc(p.calls, func(c *call) bool {
		ix := p.lk.ix
		outside := ix.effect == gather.IdempotencyKeyed && g.now > c.at+ix.window-g.tick()
		return !c.unrun && (outside || ix.effect == gather.NonIdempotent)
	})
}

// mayResend adds what holds only for now: one call of a part more than is out, and the budget.
func (g *Gatherer) mayResend(p *part, missing float64) bool {
	if p.out > 1 || !g.allowed(p) {
		return false
	}
	// Against copies feeding a jam. One of the last parts missing is worth it: else the others are lost.
	sent := float64(len(g.further) + 1)
	feeds := g.usual*missing > noCopies*p.lk.ix.soft || sent > sparing*g.budget
	if p.out == 1 && sent <= g.budget && (p.lk.ix.alone || !g.settings.HedgingAllowed) {
		g.recall(p)
		return false
	}
	return sent <= g.budget && (p.out == 0 || !feeds)
}

// recall calls off a late call where no second one may be out, unless another would take longer than its age.
func (g *Gatherer) recall(p *part) {
	at := len(p.calls) - 1
	shd, c := g.peek(p), p.calls[at]
	if g.settings.CancelAllowed && !c.off && shd >= 0 && g.landing(shd) < g.now-c.at {
		c.off = true
		g.w.Cancel(p.ID, at)
	}
}

// usable reports whether a server may be sent the part at all.
func (g *Gatherer) usable(shd int, p *part) bool {
	if p.lk.Pass == gather.FirstPass && !g.brief[shd] {
		return false
	}
	// The same server would only answer the same again; one that turned away, too.
	seen := slices.ContainsFunc(p.calls, func(c *call) bool {
		return c.shd == shd && (!c.unrun || len(g.holders[p.Shard%len(g.holders)]) > len(p.calls))
	})
	return !seen && g.slow.May(shd, g.now)
}

// standsOut reports whether a server's failures stand out among the replicas of the part's group, not the
// fleet: against half a fleet that fails this gatherer alone, and against blaming anyone for a jam.
func (g *Gatherer) standsOut(shd int, p *part) bool {
	base := p.Shard % len(g.holders)
	if g.doubtAt[base] != g.rounds { // once a round, in which it stays: against replicas x replicas
		g.doubtAt[base], g.leastDoubt[base] = g.rounds, math.Inf(1)
		for _, other := range g.holders[base] {
			g.leastDoubt[base] = min(g.leastDoubt[base], g.doubt[other])
		}
	}
	return g.doubt[shd] > badShare+g.leastDoubt[base]
}

// skipped reports whether the turns pass a server by: the design's companion; one whose failures stand out,
// till its records run out; for parts that can't be sent again, one that has lost a part lately.
func (g *Gatherer) skipped(shd int, p *part) bool {
	c := g.last[shd]
	out := c != nil && !c.ended
	return out && (g.now-c.at > overS*g.latency(shd) || !g.asks && g.records.Len(shd) == 0) ||
		g.standsOut(shd, p) || p.lk.ix.effect == gather.NonIdempotent && g.trust[shd] < regained
}

// peek gives the replica whose turn it is, or -1; where all are skipped, the one that is least bad.
func (g *Gatherer) peek(p *part) int {
	base := p.Shard % len(g.turns)
	free := func(shd int) bool { return g.usable(shd, p) && !g.skipped(shd, p) }
	if tn := &g.turns[base]; tn.at == g.now && tn.left > 0 && free(tn.shd) {
		return tn.shd
	}
	if shd := g.plan.Due(base, func(shd int) int { return len(g.out[shd]) }, free); shd >= 0 {
		return shd
	}
	best, far, least, emptiest, quickest := -1, 0, math.Inf(1), math.Inf(1), math.Inf(1)
	n := len(g.holders[base])
	for i := 0; i < n && emptiest > 0; i++ {
		if shd := g.holders[base][i]; g.usable(shd, p) && !g.skipped(shd, p) {
			emptiest = min(emptiest, float64(len(g.out[shd])))
		}
	}
	// A fresh server goes first: with ordinary turns on top, it would stay idle while it warms.
	for i := range 2 * n {
		for j := 0; i == n && j < n; j++ { // only now does it count
			if other := g.holders[base][j]; g.usable(other, p) {
				quickest = min(quickest, g.landing(other))
			}
		}
		shd := g.holders[base][(g.turns[base].next+i)%n]
		if !g.usable(shd, p) || i < n && g.slow.Share(shd, g.now) == 1 {
			continue
		}
		// Against a queue that grows where turns alone send as much to a slow replica as to a fast one.
		ms, out := g.landing(shd), float64(len(g.out[shd]))
		if (i < n || ms <= slower*quickest) && !g.skipped(shd, p) && (g.asks || out <= emptiest+crowd) {
			if !g.away[shd] {
				return shd
			}
			far = cmp.Or(far, shd+1)
		}
		// Against herding in a jam: a server that turns parts away at once has a low s and nothing out.
		if bad := ms * (out + 1) / g.sound[shd]; bad < least {
			best, least = shd, bad
		}
	}
	if far > 0 {
		return far - 1
	}
	return best
}

// place sends the part to the replica whose turn it is; an extra waits while that server has enough of ours.
func (g *Gatherer) place(p *part, wanted, further bool) bool {
	shd := g.peek(p)
	if shd < 0 || !wanted && len(g.out[shd]) >= holdLimit {
		return false
	}
	base := p.Shard % len(g.turns)
	g.plan.Book(base, shd)
	if tn := &g.turns[base]; tn.at == g.now && tn.shd == shd {
		tn.left--
	} else {
		*tn = turn{next: (slices.Index(g.holders[base], shd) + 1) % len(g.holders[base]), at: g.now, shd: shd}
		if g.settings.CallCost > 0 {
			tn.left = min(callParts, g.settings.RequestsPerCall) - 1
		}
	}
	// As if it were one in full, which its records stand for.
	c := &call{part: p, shd: shd, at: g.now - p.lk.FullCallExtra, cost: max(1-p.lk.FullCallExtra/max(g.latency(shd), 1), eps)}
	p.calls, p.out = append(p.calls, c), p.out+1
	if !g.isBusy[shd] {
		g.isBusy[shd], g.busy = true, append(g.busy, shd)
	}
	g.out[shd], g.last[shd] = append(g.out[shd], c), c
	g.rate[shd] += c.cost
	g.slow.Spend(shd, max(1, p.Cost/max(p.lk.ix.cost, 1)))
	if further {
		g.further = append(g.further, g.now)
	} else if p.extra {
		g.sentExtras++
	}
	g.w.Send(p.ID, g.ids[shd], p.lk.Deadline-g.now)
	return true
}

func (g *Gatherer) answer(lk *lookup, whole bool) {
	g.w.Answer(lk.ID, whole)
	g.drop(lk)
	if !lk.answered && lk.ix.secondStep > 0 {
		lk = &lookup{Query: lk.Query, ix: lk.ix, landed: lk.landed, opened: true, answered: true, whole: whole}
		g.held, g.byNumber[lk.Number] = append(g.held, lk), lk
	}
}

// giveUp ends a lookup at once: nacked where that is no lie, so that the client may come again.
func (g *Gatherer) giveUp(lk *lookup) {
	may := func(c *call) bool { return !c.unrun }
	ran := func(p *part) bool { return slices.ContainsFunc(p.calls, may) }
	if !lk.answered && !slices.ContainsFunc(lk.parts, ran) || lk.ix.effect == gather.Idempotent {
		pause := max(comeBack, g.normal)
		if g.now >= lk.landed+lk.ix.soft { // too late to earn anything by coming again
			pause = lk.ix.hard
		}
		g.w.Reject(lk.ID, min(pause, g.settings.MaxRetryAfter))
	} else {
		g.w.Fail(lk.ID)
	}
	g.drop(lk)
}

// drop ends a lookup's parts: waiting ones are dropped, sent ones called off.
func (g *Gatherer) drop(lk *lookup) {
	lk.over = true
	delete(g.byNumber, lk.Number)
	for _, p := range lk.parts {
		if p.asked && p.extra && len(p.calls) == 0 {
			g.dropped++
		}
		for i, c := range p.calls {
			if !c.ended && g.settings.CancelAllowed {
				g.w.Cancel(p.ID, i)
			}
		}
		if p.out == 0 {
			delete(g.parts, p.ID)
		}
	}
}
