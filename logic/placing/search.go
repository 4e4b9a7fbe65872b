package placing

import (
	"cmp"
	"math"
	"slices"

	"yokeroute/internal/pcg"
	"yokeroute/logic/balance"
	"yokeroute/logic/flow"
	"yokeroute/logic/placement"
)

// hill is a placement on which a search works: a network at a target ratio in which segments' arcs can be led
// to other hosts, and how much demand does not fit it. That shortage falls by small steps where the greatest
// utilisation itself stands still for long, so that the search sees where it gets on.
type hill struct {
	*job
	chance  *pcg.Source
	net     *flow.Network
	into    []int
	slots   [][]int // arcs of each segment, in the order of its places
	out     []int
	hallOut []int
	hosts   int // number of the first host's node
	halls   int
	places  [][]int // not in order
	held    []int   // segments on each host
	copied  int
	short   int64
	saved   []int64
}

// start puts each segment where it is, as far as that is allowed, and fills up: to halls that it is not in
// yet and then to the host that is asked for least, the heaviest segments first.
func (j *job) start() ([][]int, bool) {
	places := make([][]int, len(j.wanted))
	held := make([]int, len(j.m.Hosts))
	load := make([]float64, len(j.m.Hosts))
	put := func(s, h int) {
		places[s] = append(places[s], h)
		held[h]++
		load[h] += float64(j.asked[s]) / float64(j.wanted[s])
	}
	for _, s := range j.order {
		for _, h := range j.had[s] {
			if len(places[s]) < j.wanted[s] && slices.Contains(j.usable, h) && held[h] < j.room(h) {
				put(s, h)
			}
		}
	}
	for _, s := range j.order {
		for len(places[s]) < j.wanted[s] || !j.spreadOK(s, places[s]) {
			in := make([]bool, len(j.m.Zones))
			seen := 0
			for _, h := range places[s] {
				if !in[j.p.Hall(h)] {
					seen++
				}
				in[j.p.Hall(h)] = true
			}
			best, least := -1, math.Inf(1)
			for _, h := range j.usable {
				if held[h] >= j.room(h) || slices.Contains(places[s], h) || seen < j.spread[s] && in[j.p.Hall(h)] {
					continue
				}
				if u := (load[h] + float64(j.asked[s])/float64(j.wanted[s])) / max(float64(j.p.Can(h)), 0.1); u < least {
					best, least = h, u
				}
			}
			if best < 0 {
				return nil, false
			}
			if len(places[s]) == j.wanted[s] { // one in a hall that has two makes room for the new hall
				at := slices.IndexFunc(places[s], func(h int) bool {
					n := 0
					for _, o := range places[s] {
						if j.p.Hall(o) == j.p.Hall(h) {
							n++
						}
					}
					return n > 1
				})
				if at < 0 {
					return nil, false
				}
				held[places[s][at]]--
				load[places[s][at]] -= float64(j.asked[s]) / float64(j.wanted[s])
				places[s] = slices.Delete(places[s], at, at+1)
			}
			put(s, best)
		}
	}
	return places, true
}

// search gives the best placement that a search of the job's effort finds.
func (j *job) search(seed uint64, bound placement.Ratio) (best [][]int, v value, found bool) {
	places, ok := j.start()
	if !ok {
		return nil, value{}, false
	}
	take := func(places [][]int) {
		sorted := make([][]int, len(places))
		for s := range places {
			sorted[s] = slices.Sorted(slices.Values(places[s]))
		}
		if got, fits := j.judge(sorted); fits && (!found || got.less(v)) {
			best, v, found = sorted, got, true
		}
	}
	take(places)
	chance := pcg.New(seed)
	// Half of the effort goes to the ratio: first to the bound itself, then by halves between the bound and what
	// is found, since a target too low makes all changes look alike.
	target := bound
	for round := 0; round < 6 && j.tries < j.effort/2 && j.more(); round++ {
		if found && !bound.Less(v.u) {
			break
		}
		h := j.climb(places, target, chance)
		h.improve(j.tries + max(j.effort/12, 1))
		if places = h.places; h.short == 0 {
			take(places)
		}
		high := 1.0
		if found {
			high = v.u.Float()
		}
		target = placement.Ratio{Load: int64(math.Ceil((bound.Float() + high) / 2 * 1e6)), Capacity: 1e6}
	}
	if !found {
		h := j.climb(places, placement.Ratio{Load: 1, Capacity: 1}, chance)
		h.improve(max(j.effort/2, j.tries+1))
		take(h.places)
	}
	if !found {
		return nil, v, false
	}
	// The rest goes to the cost and to copies not made.
	h := j.climb(best, v.u, chance)
	h.cheapen(take, func() value { return v })
	return best, v, found
}

// climb lays out the network of a placement at a target.
func (j *job) climb(places [][]int, target placement.Ratio, chance *pcg.Source) *hill {
	h := &hill{job: j, chance: chance, held: make([]int, len(j.m.Hosts)), hosts: 2 + len(places)}
	h.halls = h.hosts + len(j.m.Hosts)
	h.net = flow.New(h.halls + len(j.m.Zones))
	total := int64(0)
	for s, hosts := range places {
		h.places = append(h.places, slices.Clone(hosts))
		h.into = append(h.into, h.net.Arc(0, 2+s, j.asked[s], flow.Cost{}))
		total += j.asked[s]
		var slots []int
		for _, host := range hosts {
			slots = append(slots, h.net.Arc(2+s, h.hosts+host, j.asked[s], flow.Cost{}))
			h.held[host]++
		}
		h.slots = append(h.slots, slots)
		h.copied += j.copies(s, hosts)
	}
	for host := range j.m.Hosts {
		most := target.MaxLoad(j.p.Can(host))
		h.out = append(h.out, h.net.Arc(h.hosts+host, h.halls+j.p.Hall(host), most, flow.Cost{}))
	}
	for hall := range j.m.Zones {
		most := j.p.HallCan(hall)
		if most < 0 {
			most = placement.MaxRate
		}
		h.hallOut = append(h.hallOut, h.net.Arc(h.halls+hall, 1, most, flow.Cost{}))
	}
	h.short = total - h.net.Fill(0, 1, total)
	return h
}

// allowed reports whether a place of a segment may be taken by another host.
func (h *hill) allowed(s, slot, to int) bool {
	if slices.Contains(h.places[s], to) || h.held[to] >= h.room(to) {
		return false
	}
	old := h.places[s][slot]
	copied := h.copied - h.copies(s, h.places[s])
	h.places[s][slot] = to
	ok := h.spreadOK(s, h.places[s]) && copied+h.copies(s, h.places[s]) <= h.mostCopies()
	h.places[s][slot] = old
	return ok
}

// lead moves a place of a segment to another host and brings the flow up to it.
func (h *hill) lead(s, slot, to int) {
	arc, from := h.slots[s][slot], h.places[s][slot]
	if f := h.net.Flow(arc); f > 0 {
		h.net.Undo(f, h.into[s], arc, h.out[from], h.hallOut[h.p.Hall(from)])
		h.short += f
	}
	h.net.Retarget(arc, h.hosts+to)
	h.copied -= h.copies(s, h.places[s])
	h.places[s][slot] = to
	h.copied += h.copies(s, h.places[s])
	h.held[from]--
	h.held[to]++
	h.short -= h.net.Fill(0, 1, h.short)
}

// try makes a change and keeps it if it is allowed to count as one.
func (h *hill) try(s, slot, to int, keep func() bool) bool {
	from, short := h.places[s][slot], h.short
	h.saved = h.net.Save(h.saved)
	h.tries++
	h.lead(s, slot, to)
	if keep() {
		return true
	}
	h.copied -= h.copies(s, h.places[s])
	h.places[s][slot] = from
	h.copied += h.copies(s, h.places[s])
	h.held[to]--
	h.held[from]++
	h.net.Retarget(h.slots[s][slot], h.hosts+from)
	h.net.Restore(h.saved)
	h.short = short
	return false
}

// improve takes replicas from hosts that are too full, by the cut that proves it, to hosts that have room. A
// change that makes nothing better is kept one time in eight, against standing before a step that takes two.
func (h *hill) improve(until int) {
	for h.short > 0 && h.tries < until && h.more() {
		cut := h.net.Cut(0)
		var from [][2]int
		for s := range h.places {
			for slot, host := range h.places[s] {
				if cut[2+s] && cut[h.hosts+host] {
					from = append(from, [2]int{s, slot})
				}
			}
		}
		var to []int
		for _, host := range h.usable {
			if !cut[h.hosts+host] && h.held[host] < h.room(host) {
				to = append(to, host)
			}
		}
		if len(from) == 0 || len(to) == 0 {
			h.swap(from)
			continue
		}
		changed := false
		for range 32 {
			f, host := from[h.pick(len(from))], to[h.pick(len(to))]
			if h.tries >= until || !h.allowed(f[0], f[1], host) {
				h.tries++ // against looking for ever where nothing is allowed
				continue
			}
			before := h.short
			if h.try(f[0], f[1], host, func() bool {
				return h.short < before || h.short == before && h.pick(8) == 0
			}) {
				changed = true
				break
			}
		}
		if !changed && !h.swap(from) && h.pick(4) == 0 {
			// Against going round in one valley: one change that is worse is kept.
			f, host := from[h.pick(len(from))], to[h.pick(len(to))]
			if h.allowed(f[0], f[1], host) {
				h.try(f[0], f[1], host, func() bool { return true })
			}
		}
	}
}

// swap exchanges the hosts of two replicas, where hosts are full of segments. It reports whether it was kept.
func (h *hill) swap(from [][2]int) bool {
	if len(from) == 0 {
		from = append(from, [2]int{h.pick(len(h.places)), 0})
	}
	for range 16 {
		f := from[h.pick(len(from))]
		s, o := f[0], h.pick(len(h.places))
		slot, other := f[1], h.pick(len(h.places[o]))
		a, b := h.places[s][slot], h.places[o][other]
		h.tries++
		if s == o || a == b || slices.Contains(h.places[s], b) || slices.Contains(h.places[o], a) {
			continue
		}
		h.held[a]--
		h.held[b]--
		ok := h.allowed(s, slot, b) && h.allowed(o, other, a)
		h.held[a]++
		h.held[b]++
		if !ok {
			continue
		}
		before := h.short
		h.lead(s, slot, b)
		h.lead(o, other, a)
		if h.short < before && h.copied <= h.mostCopies() {
			return true
		}
		h.lead(s, slot, a)
		h.lead(o, other, b)
	}
	return false
}

func (h *hill) pick(n int) int { return int(h.chance.Uint32() % uint32(n)) }

// cheapen tries changes that keep the ratio. First those that promise most: a replica in the hall whose
// gatherers are sent elsewhere, on the host with the most room. Then any: on cheaper hosts, or back where
// replicas are now.
func (h *hill) cheapen(take func([][]int), now func() value) {
	p := balance.NewProblem(h.m)
	p.SetLike(h.p)
	for s, hosts := range h.places {
		p.Place(s, slices.Clone(hosts))
	}
	u := now().u
	units, cost, _ := p.Cheapest(u, false, nil)
	copied := h.copied
	// better makes a change and keeps it if the ratio holds and it costs less, or as much with fewer copies.
	better := func(s, slot, to int) bool {
		from := h.places[s][slot]
		if !h.try(s, slot, to, func() bool { return h.short == 0 }) {
			return false
		}
		p.Move(s, slot, to)
		got, c, _ := p.Cheapest(u, false, nil)
		if c < cost || c == cost && h.copied < copied {
			units, cost, copied = got, c, h.copied
			return true
		}
		p.Move(s, slot, from)
		h.try(s, slot, from, func() bool { return true })
		return false
	}
	for again := true; again && h.going(); {
		again = false
		crossing := p.Crossing(units)
		order := slices.Clone(h.order)
		slices.SortStableFunc(order, func(a, b int) int {
			return cmp.Compare(slices.Max(crossing[b]), slices.Max(crossing[a]))
		})
		for _, s := range order {
			hall := slices.Index(crossing[s], slices.Max(crossing[s]))
			if crossing[s][hall] == 0 || !h.going() {
				break
			}
			again = h.bring(s, hall, p.Loads(units), u, better) || again
		}
	}
	for idle := 0; idle < 4*len(h.places)*len(h.usable) && h.going(); idle++ {
		s := h.pick(len(h.places))
		slot, to := h.pick(len(h.places[s])), h.usable[h.pick(len(h.usable))]
		if h.tries++; h.allowed(s, slot, to) && h.worth(s, slot, to) && better(s, slot, to) {
			idle = 0
		}
	}
	take(h.places)
}

func (h *hill) going() bool { return h.tries < h.effort && h.more() }

// worth reports whether a change could lower the cost or the copies at all.
func (h *hill) worth(s, slot, to int) bool {
	from := h.places[s][slot]
	return h.p.Hall(from) != h.p.Hall(to) || h.m.Hosts[to].Cost < h.m.Hosts[from].Cost ||
		h.p.Can(to) > h.p.Can(from) || slices.Contains(h.had[s], to)
}

// bring tries to put a replica of a segment into a hall, on the three hosts with the most room there.
func (h *hill) bring(s, hall int, loads []int64, u placement.Ratio, better func(s, slot, to int) bool) bool {
	room := func(host int) int64 { return u.MaxLoad(h.p.Can(host)) - loads[host] }
	var to []int
	for _, host := range h.usable {
		if h.p.Hall(host) == hall && room(host) > 0 {
			to = append(to, host)
		}
	}
	slices.SortStableFunc(to, func(a, b int) int { return cmp.Compare(room(b), room(a)) })
	for _, host := range to[:min(3, len(to))] {
		for slot := range h.places[s] {
			if h.tries++; h.going() && h.allowed(s, slot, host) && better(s, slot, host) {
				return true
			}
		}
	}
	return false
}
