package emulator

import (
	"fmt"
	"slices"

	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/pcg"
	"yokeroute/internal/rulecheck"
	"yokeroute/logic/ownership"
)

// ask is what a client wants, with all of its tries. It is drawn ahead of the day, whatever the decisions.
type ask struct {
	number    uint64
	at        float64
	ix        *Index
	customer  *Customer
	parts     []askPart
	until     float64 // when its client has no more time
	patience  float64 // of one try, milliseconds
	tries     int     // that it may make
	impatient bool
	gatherer  int
	draws     *pcg.Source

	tried  int
	ended  bool
	earned float64
	took   float64
	whole  bool
}

type askPart struct {
	shard           int
	weight          float64
	work, hint      float64
	empty, mistaken bool
}

func (k *ask) part(shard int) *askPart {
	for i := range k.parts {
		if k.parts[i].shard == shard {
			return &k.parts[i]
		}
	}
	return nil
}

// lookup is one try, at one gatherer.
type lookup struct {
	number uint64
	ask    *ask
	g      *gatherer
	pick   *dispatch.Query
	over   bool // its gatherer has answered it or died
	gone   bool // its client has given it up
}

// arrivals draws the day's lookups.
func (w *World) arrivals() {
	sc := w.sc
	chance := w.stream("arrivals", 0)
	var keys *zipf
	if sc.Clients.Zipf > 0 {
		keys = newZipf(sc.Clients.Keys, sc.Clients.Zipf)
	}
	load := newSkew(sc.Gatherers.Count, sc.Gatherers.Skew)
	most := 1.0
	for _, t := range sc.Troubles {
		if t.Kind == "burst" {
			most = max(most, t.Times)
		}
	}
	for at, number := 0.0, uint64(1); ; {
		at += exponential(chance) * 1000 / (sc.Clients.Rate * most)
		if at >= sc.Length {
			return
		}
		times := 1.0
		if t := sc.during("burst", at); t != nil {
			times = t.Times
		}
		keep := chance.Float64() < times/most
		k := w.draw(number, at, chance, keys)
		k.gatherer = load.draw(chance)
		if keep { // thinned, so that a burst leaves the rest of the day as it would have been
			w.asks = append(w.asks, k)
		}
		number++
	}
}

// draw draws one lookup.
func (w *World) draw(number uint64, at float64, chance *pcg.Source, keys *zipf) *ask {
	sc := w.sc
	u, v, spot, key := chance.Float64(), chance.Float64(), chance.Float64(), 0
	if keys != nil {
		key = keys.draw(chance)
	} else {
		key = int(chance.Float64() * float64(sc.Clients.Keys))
	}
	k := &ask{number: number, at: at, draws: w.stream("ask", number)}
	for i := range sc.Indexes {
		k.ix = &sc.Indexes[i]
		if u -= k.ix.Share; u < 0 {
			break
		}
	}
	for i := range sc.Customers {
		k.customer = &sc.Customers[i]
		if v -= k.customer.Share; v < 0 {
			break
		}
	}
	c := k.draws
	n := k.ix.Parts + int(c.Float64()*float64(k.ix.To-k.ix.Parts+1))
	k.until = at + k.ix.Hard
	k.patience = k.ix.Hard * (sc.Clients.Patience + (1-sc.Clients.Patience)*c.Float64())
	k.tries = 1 + sc.Clients.Retries
	k.impatient = c.Float64() < sc.Clients.Impatient
	if t := sc.during("retry-storm", at); t != nil && c.Float64() < t.Share {
		k.impatient, k.tries = true, 11
	}
	if t := sc.during("short-patience", at); t != nil {
		k.patience = t.Share * k.ix.Soft
		k.tries, k.impatient = 11, true
	}
	costs := 1.0
	if t := sc.during("costly", at); t != nil && (t.Index == "" || t.Index == k.ix.Name) && c.Float64() < t.Share {
		costs = t.Times
	}
	if t := sc.during("hot-keys", at); t != nil && spot < t.Share {
		key = int(spot / t.Share * 3)
	}
	// A key's shards are always the same.
	place := pcg.New(w.seed*31 + uint64(key))
	from := int(place.Uint32() % uint32(sc.Layout.Shards))
	var shards []int
	for i := range n {
		if sc.Clients.Neighbors {
			shards = append(shards, (from+i)%sc.Layout.Shards)
			continue
		}
		for shard := from; ; shard = int(place.Uint32() % uint32(sc.Layout.Shards)) {
			if !slices.Contains(shards, shard) {
				shards = append(shards, shard)
				break
			}
		}
	}
	for _, shard := range shards {
		p := askPart{shard: shard, weight: 1 / float64(n), work: k.ix.Work * lognormal(c, k.ix.Spread) * costs}
		if k.ix.Markov {
			p.work = k.ix.Work * exponential(c) * costs
		}
		if k.ix.Tail > 0 && c.Float64() < k.ix.Tail {
			p.work = k.ix.Work * k.ix.TailTimes * pareto(c) * costs
		}
		if k.ix.Hint >= 0 {
			p.hint = p.work * lognormal(c, k.ix.Hint)
		}
		p.empty = k.ix.Prune >= 0 && c.Float64() < k.ix.Prune
		p.mistaken = c.Float64() < k.ix.False
		k.parts = append(k.parts, p)
	}
	return k
}

// newSkew gives gatherers loads such that the busiest has so many times the mean.
func newSkew(n int, most float64) *zipf {
	low, high := 0.0, 8.0
	for range 60 { // the exponent at which the first of n has that share
		mid := (low + high) / 2
		z := newZipf(n, mid)
		if z.sums[0]/z.sums[n-1]*float64(n) < min(most, float64(n)) {
			low = mid
		} else {
			high = mid
		}
	}
	return newZipf(n, (low+high)/2)
}

// try has a client ask, at a gatherer that lives as far as its front knows.
func (w *World) try(k *ask) {
	if k.ended || w.now >= k.until {
		w.settle(k)
		return
	}
	g := w.gatherers[k.gatherer]
	if k.tried > 0 || !g.alive {
		for range 8 {
			if g = w.gatherers[int(k.draws.Uint32()%uint32(len(w.gatherers)))]; g.alive {
				break
			}
		}
	}
	k.tried++
	w.tries++
	lk := &lookup{number: w.number, ask: k, g: g}
	w.number++
	until := min(k.until, w.now+k.patience)
	w.in(w.sc.Clients.Latency, func() {
		if !g.alive {
			w.in(w.sc.Clients.Notice/10, func() { w.failed(lk, true) }) // refused at once, and tried elsewhere
			return
		}
		w.take(g, lk, until)
	})
	w.at(until, func() {
		if lk.gone {
			return
		}
		lk.gone = true
		w.gaveUp++
		if !lk.over && g.alive && w.sc.Clients.Leave {
			w.in(w.sc.Clients.Latency, func() { w.leave(lk) })
		}
		w.again(k, lk, w.sc.Clients.Wait, false)
	})
}

// take hands a lookup to its gatherer.
func (w *World) take(g *gatherer, lk *lookup, until float64) {
	k := lk.ask
	p := &dispatch.Query{ID: fmt.Sprint(lk.number), Class: k.ix.Name, Tenant: k.customer.Name, Deadline: w.begin + until + g.offset, Retried: k.tried > 1, Tag: lk}
	parts := make([]rulecheck.ShardRequest, 0, len(k.parts))
	for _, pt := range k.parts {
		p.ShardRequests = append(p.ShardRequests, dispatch.ShardRequest{Shard: pt.shard, Weight: pt.weight, Cost: pt.hint})
		p.Cost += pt.hint
		part := rulecheck.ShardRequest{Shard: pt.shard, Weight: pt.weight}
		if w.owned != nil {
			all := ownership.ShardRange(pt.shard, w.sc.Layout.Shards)
			part.Keys = &rulecheck.KeyRange{Lo: all.Lo, Hi: all.Hi}
		}
		parts = append(parts, part)
	}
	lk.pick = p
	w.see(rulecheck.Event{Kind: rulecheck.QueryAdmitted, Gatherer: g.number, Query: lk.number, Class: k.ix.Name, Deadline: until, ShardRequests: parts})
	g.taken++
	if !g.picker.Submit(p) { // more than a gatherer may hold
		lk.over = true
		w.answered(g, lk, dispatch.Result{Kind: dispatch.Rejected})
		return
	}
	g.held[lk] = true
	g.order = append(g.order, lk)
	w.round(g)
}

// leave tells a gatherer that a lookup's client has gone.
func (w *World) leave(lk *lookup) {
	if lk.over || !lk.g.alive || !lk.g.held[lk] {
		return
	}
	lk.g.picker.Abandon(lk.pick)
	w.round(lk.g)
}

// answered carries a lookup's final answer to its client.
func (w *World) answered(g *gatherer, lk *lookup, v dispatch.Result) {
	e := rulecheck.Event{Gatherer: g.number, Query: lk.number}
	switch v.Kind {
	case dispatch.Abandoned:
		e.Kind = rulecheck.QueryAbandoned
	case dispatch.Served:
		e.Kind, e.Complete = rulecheck.QueryServed, v.Complete
		for _, h := range v.Hits {
			e.IncludedShards = append(e.IncludedShards, h.Shard)
			if h.Keys != nil {
				e.IncludedKeys = append(e.IncludedKeys, &rulecheck.KeyRange{Lo: h.Keys.Lo, Hi: h.Keys.Hi})
			} else if w.owned != nil {
				e.IncludedKeys = append(e.IncludedKeys, nil)
			}
		}
		e.IncludedShards = append(e.IncludedShards, v.EmptyShards...)
	case dispatch.Rejected:
		e.Kind = rulecheck.QueryRejected
	default:
		e.Kind = rulecheck.QueryFailed
	}
	if v.Kind == dispatch.InternalError {
		w.broken++
	}
	w.see(e)
	w.verdicts[v.Kind]++
	if v.Kind == dispatch.Abandoned {
		return
	}
	w.in(w.sc.Clients.Latency, func() {
		if lk.gone {
			return
		}
		lk.gone = true
		k := lk.ask
		switch v.Kind {
		case dispatch.Served:
			w.earn(k, &v)
		case dispatch.Rejected:
			wait := v.RetryAfter
			if wait == 0 {
				wait = w.sc.Clients.Wait
			}
			w.again(k, lk, wait, true)
		default:
			w.failed(lk, false)
		}
	})
}

// earn books a satisfied lookup.
func (w *World) earn(k *ask, v *dispatch.Result) {
	if k.ended {
		return
	}
	k.ended, k.took, k.whole = true, w.now-k.at, v.Complete
	k.earned = k.ix.Gain
	if !v.Complete {
		in := 0.0
		for _, h := range v.Hits {
			share := 1.0
			if h.Keys != nil {
				share = h.Keys.Fraction() / ownership.ShardRange(h.Shard, w.sc.Layout.Shards).Fraction()
			}
			in += k.part(h.Shard).weight * share
		}
		for _, shard := range v.EmptyShards {
			in += k.part(shard).weight
		}
		k.earned *= k.ix.Partial * min(in/k.ix.Need, 1)
	}
	if k.took > k.ix.Soft {
		k.earned *= k.ix.Late
	}
	if w.now > k.until {
		k.earned = 0
	}
	w.settle(k)
}

// failed has a client hear that a lookup was not served: by an abort, or by the end of its gatherer.
func (w *World) failed(lk *lookup, died bool) {
	if lk.gone || lk.ask.ended {
		return
	}
	lk.gone = true
	if !died {
		w.aborted++
	}
	w.again(lk.ask, lk, w.sc.Clients.Wait, false)
}

// again has a client come again, if it does. Only a nack says that asking again for a once-only lookup is harmless.
func (w *World) again(k *ask, lk *lookup, wait float64, harmless bool) {
	if k.ended || k.tried >= k.tries || !harmless && k.ix.Effect != effectIdempotent {
		w.settle(k)
		return
	}
	if k.impatient {
		wait = 1
	}
	w.in(wait, func() { w.try(k) })
}

// settle books a client's lookup, once it is over.
func (w *World) settle(k *ask) {
	k.ended = true
	if k.draws == nil {
		return
	}
	k.draws = nil
	w.result.book(w, k)
}
