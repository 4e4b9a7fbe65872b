package dispatch

import (
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/ownership"
)

// piece is what the module holds in the place of a part where a map says who owns which keys: the part, or some of
// its keys.
type piece struct {
	ownership.Held
	gone bool // others have taken its place
}

// owned is what the facade knows of who owns which keys.
type owned struct {
	ownership.Follower
	index  *ownership.Index
	shards int
	hosts  map[uint32]string // names of servers
	holds  map[string][]int
	behind chan struct{} // the map that is known is not the newest
	parked int           // pieces put aside, in lookups that are held
}

// Segments has lookups sent to who owns their keys, by maps that are handed in: of so many segments at most, shards
// being so many. The terms of the module have to be those of OwnedTerms. It has to be called before the first Tick.
func (p *Picker) Segments(most, shards int) {
	p.owned = &owned{index: ownership.NewIndex(most), shards: shards, hosts: map[uint32]string{}, behind: make(chan struct{}, 1)}
}

// OwnedTerms are a module's terms where so many segments can be owned: each is a group of its own, and its writer
// another one.
func OwnedTerms(settings *gather.Settings, most int) *gather.Settings {
	t := settings.Clone()
	t.ReplicaSets, t.ReplicaSetsPerShard = ownership.NewIndex(most).Nowhere()+1, 1
	return t
}

// Behind tells when the newest map has to be asked for.
func (p *Picker) Behind() <-chan struct{} { return p.owned.behind }

// news of the map: a change, or a whole one.
type mapNews struct {
	change ownership.Change
	whole  *ownership.Map
}

// ChangeMap hands in a change of the map.
func (p *Picker) ChangeMap(c ownership.Change) {
	p.tell(func(in *inbox) { in.maps = append(in.maps, mapNews{change: c}) })
}

// SetMap hands in a whole map.
func (p *Picker) SetMap(m *ownership.Map) {
	p.tell(func(in *inbox) { in.maps = append(in.maps, mapNews{whole: m}) })
}

// Names hands in the names of the servers on the list, by which maps know them.
func (p *Picker) Names(names map[uint32]string) {
	p.tell(func(in *inbox) { in.names = names })
}

// Map is the newest map known and whether sources contradict each other. It is for tests and for who looks on, on the
// goroutine that calls Tick.
func (p *Picker) Map() (m *ownership.Map, doubt bool) { return p.owned.Map, p.owned.Doubt > 0 }

func (o *owned) ask() {
	select {
	case o.behind <- struct{}{}:
	default: // it has been asked already
	}
}

// hearMaps takes news of the map and puts into the lists who holds what. It reports whether anything is new.
func (p *Picker) hearMaps(in *inbox) bool {
	o := p.owned
	news := false
	for _, n := range in.maps {
		verdict, err := ownership.Verdict(""), error(nil)
		if n.whole != nil {
			verdict, err = o.Reset(n.whole)
		} else {
			verdict, err = o.Take(n.change)
		}
		log := p.log.WithField("verdict", string(verdict))
		switch verdict {
		case ownership.Applied:
			news = true
			log.WithField("epoch", o.Follower.Map.Epoch).Info("map of segments: a new epoch")
			if p.ledger != nil {
				if err := p.ledger.SetMap(o.Follower.Map); err != nil {
					p.log.WithError(err).Error("the map of segments could not be written down")
				}
			}
		case ownership.Contradicts:
			news = true
			log.WithError(err).Error("map of segments: sources contradict each other; once-only lookups wait for a later map")
			o.ask()
		case ownership.Garbled:
			log.WithError(err).Warn("map of segments: news that makes no sense; the map is asked for whole")
			o.ask()
		case ownership.Skipped:
			log.Debug("map of segments: asked for whole")
			o.ask()
		}
	}
	if news && o.Doubt > 0 && o.Follower.Map != nil && o.Follower.Map.Epoch > o.Doubt {
		o.ask() // told whole, this map ends the doubt
	}
	if in.names != nil {
		o.hosts = in.names
	}
	if o.Follower.Map == nil {
		return false
	}
	if news {
		if o.index.Take(o.Follower.Map) {
			p.log.Error("map of segments: more segments than were reckoned with; the last ones are asked by nobody")
		}
		o.holds = o.index.Holds(o.Follower.Map)
	}
	if news || in.names != nil {
		all := gather.EndpointList{}
		for _, id := range p.ids {
			all.Endpoints = append(all.Endpoints, p.servers[id])
		}
		in.EndpointLists = append(in.EndpointLists, all)
	}
	for i := range in.EndpointLists {
		l := &in.EndpointLists[i]
		servers := make([]gather.Endpoint, len(l.Endpoints)) // a list may be another's as well
		for j, s := range l.Endpoints {
			if s.ReplicaSets = o.holds[o.hosts[s.ID]]; s.ReplicaSets == nil {
				s.ReplicaSets = []int{}
			}
			servers[j] = s
		}
		l.Endpoints = servers
	}
	return news
}

// cut parts a lookup into pieces and hands it to the module.
func (p *Picker) cut(in *gather.Round, lk *Lookup) {
	o := p.owned
	ranges, weights := make([]ownership.Range, len(lk.Parts)), make([]float64, len(lk.Parts))
	for i, pt := range lk.Parts {
		ranges[i], weights[i] = ownership.Slot(pt.Shard, o.shards), pt.Weight
	}
	m := o.Follower.Map
	if m == nil {
		m = &ownership.Map{} // nobody owns anything that we know of
	}
	lk.pieces = make([]piece, 0, len(lk.Parts))
	lk.values, lk.calls = lk.values[:0], lk.calls[:0]
	for _, f := range m.Begin(ranges, weights, p.onceOnly(lk) && o.Doubt > 0) {
		p.add(in, lk, f)
	}
}

func (p *Picker) onceOnly(lk *Lookup) bool {
	return p.settings.Class(lk.Index).Effect == gather.NonIdempotent
}

// add hands one piece to the module.
func (p *Picker) add(in *gather.Round, lk *Lookup, f ownership.Fresh) {
	o := p.owned
	h := ownership.Held{Part: f.Part, Range: f.Range, Weight: f.Weight, Called: f.Again, Parked: f.Parked}
	group := o.index.Nowhere()
	if o.Follower.Map != nil {
		h.Since = o.Follower.Map.Epoch
	}
	if f.Segment >= 0 {
		s := &o.Follower.Map.Segments[f.Segment]
		h.Segment, h.Since = s.Name, s.Since
		all, writer := o.index.Groups(s.Name)
		if group = all; p.settings.Class(lk.Index).Effect != gather.Idempotent {
			group = writer
		}
	}
	p.mu.Lock()
	h.ID = p.ref
	p.ref++
	p.mu.Unlock()
	p.parts[h.ID] = place{lk, len(lk.pieces)}
	lk.pieces = append(lk.pieces, piece{Held: h})
	lk.values, lk.calls = append(lk.values, nil), append(lk.calls, nil)
	pt := &lk.Parts[f.Part]
	share := f.Weight / max(pt.Weight, 1e-9)
	in.Requests = append(in.Requests, gather.ShardRequest{ID: h.ID, Number: lk.ref, Shard: group, Weight: f.Weight, Cost: pt.Cost * share, Key: pt.Key, Retry: f.Again})
}

// rehome gives the pieces of held lookups to who owns them now, where the map is new or pieces are put aside or
// were refused.
func (p *Picker) rehome(in *gather.Round, news bool, now float64) {
	o := p.owned
	m := o.Follower.Map
	if m == nil || !news && o.parked == 0 && len(p.refused) == 0 {
		return
	}
	refs := make([]uint64, 0, len(p.lookups))
	for ref := range p.lookups {
		refs = append(refs, ref)
	}
	slices.Sort(refs) // against the order of a map
	o.parked = 0
	for _, ref := range refs {
		lk := p.lookups[ref]
		held := make([]ownership.Held, 0, len(lk.pieces))
		for i := range lk.pieces {
			if !lk.pieces[i].gone {
				held = append(held, lk.pieces[i].Held)
			}
		}
		retired, fresh := m.Rehome(held, p.onceOnly(lk), o.Doubt == 0, now)
		for _, id := range retired {
			lk.pieces[p.parts[id].part].gone = true
			delete(p.parts, id)
		}
		in.Superseded = append(in.Superseded, retired...)
		for _, f := range fresh {
			p.add(in, lk, f)
		}
		for i := range lk.pieces {
			if pc := &lk.pieces[i]; !pc.gone && pc.Parked > 0 {
				o.parked++
			}
		}
	}
	if len(p.refused) > 0 {
		o.ask()
		p.refused = p.refused[:0]
	}
}

// heardPiece books how a call of a piece ended.
func (p *Picker) heardPiece(e *ended) {
	pc := &e.call.lk.pieces[e.call.part]
	pc.Out--
	switch {
	case e.outcome == gather.Succeeded:
		pc.In = true
	case e.outcome == gather.NotOwner:
		pc.Refused = true
		p.refused = append(p.refused, pc.ID)
	case !e.outcome.NeverExecuted():
		pc.MayRun = true
	}
	if e.call.Begun() {
		pc.Called = true
	}
}

// Keys are the keys that a call asks for, the segment that has them and since which epoch; ok is false where no map
// says who owns what.
func (c *Call) Keys() (keys ownership.Range, segment string, since uint64, ok bool) {
	return c.keys, c.segment, c.since, c.owned
}

// OnceOnly reports whether the call may never run twice.
func (c *Call) OnceOnly() bool { return c.onceOnly }
