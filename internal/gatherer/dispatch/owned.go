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
	replaced bool // others have taken its place
}

// ownershipState is what the facade knows of who owns which keys.
type ownershipState struct {
	ownership.Follower
	index         *ownership.Index
	shards        int
	serverNames   map[uint32]string // names of servers
	ownedSegments map[string][]int
	mapRequested  chan struct{} // the map that is known is not the newest
	parked        int           // pieces put aside, in lookups that are held
}

// EnableOwnership has lookups sent to who owns their keys, by maps that are handed in: of so many segments at most, shards
// being so many. The terms of the module have to be those of OwnedTerms. It has to be called before the first Tick.
func (p *Picker) EnableOwnership(most, shards int) {
	p.ownership = &ownershipState{index: ownership.NewIndex(most), shards: shards, serverNames: map[uint32]string{}, mapRequested: make(chan struct{}, 1)}
}

// OwnershipSettings are a module's terms where so many segments can be owned: each is a group of its own, and its writer
// another one.
func OwnershipSettings(settings *gather.Settings, most int) *gather.Settings {
	t := settings.Clone()
	t.ReplicaSets, t.ReplicaSetsPerShard = ownership.NewIndex(most).Nowhere()+1, 1
	return t
}

// MapRequested tells when the newest map has to be asked for.
func (p *Picker) MapRequested() <-chan struct{} { return p.ownership.mapRequested }

// news of the map: a change, or a whole one.
type mapUpdate struct {
	change ownership.Change
	full   *ownership.Map
}

// ApplyMapChange hands in a change of the map.
func (p *Picker) ApplyMapChange(c ownership.Change) {
	p.enqueue(func(in *inbox) { in.mapUpdates = append(in.mapUpdates, mapUpdate{change: c}) })
}

// SetMap hands in a whole map.
func (p *Picker) SetMap(m *ownership.Map) {
	p.enqueue(func(in *inbox) { in.mapUpdates = append(in.mapUpdates, mapUpdate{full: m}) })
}

// SetServerNames hands in the names of the servers on the list, by which maps know them.
func (p *Picker) SetServerNames(names map[uint32]string) {
	p.enqueue(func(in *inbox) { in.serverNames = names })
}

// Map is the newest map known and whether sources contradict each other. It is for tests and for who looks on, on the
// goroutine that calls Tick.
func (p *Picker) Map() (m *ownership.Map, doubt bool) { return p.ownership.Map, p.ownership.Doubt > 0 }

func (o *ownershipState) requestMap() {
	select {
	case o.mapRequested <- struct{}{}:
	default: // it has been asked already
	}
}

// applyMapUpdates takes news of the map and puts into the lists who holds what. It reports whether anything is new.
func (p *Picker) applyMapUpdates(in *inbox) bool {
	o := p.ownership
	news := false
	for _, n := range in.mapUpdates {
		verdict, err := ownership.Verdict(""), error(nil)
		if n.full != nil {
			verdict, err = o.Reset(n.full)
		} else {
			verdict, err = o.Take(n.change)
		}
		log := p.log.WithField("verdict", string(verdict))
		switch verdict {
		case ownership.Applied:
			news = true
			log.WithField("epoch", o.Follower.Map.Epoch).Info("map of segments: a new epoch")
			if p.store != nil {
				if err := p.store.SaveMap(o.Follower.Map); err != nil {
					p.log.WithError(err).Error("the map of segments could not be written down")
				}
			}
		case ownership.Contradicts:
			news = true
			log.WithError(err).Error("map of segments: sources contradict each other; once-only lookups wait for a later map")
			o.requestMap()
		case ownership.Garbled:
			log.WithError(err).Warn("map of segments: news that makes no sense; the map is asked for whole")
			o.requestMap()
		case ownership.Skipped:
			log.Debug("map of segments: asked for whole")
			o.requestMap()
		}
	}
	if news && o.Doubt > 0 && o.Follower.Map != nil && o.Follower.Map.Epoch > o.Doubt {
		o.requestMap() // told whole, this map ends the doubt
	}
	if in.serverNames != nil {
		o.serverNames = in.serverNames
	}
	if o.Follower.Map == nil {
		return false
	}
	if news {
		if o.index.Take(o.Follower.Map) {
			p.log.Error("map of segments: more segments than were reckoned with; the last ones are asked by nobody")
		}
		o.ownedSegments = o.index.Holds(o.Follower.Map)
	}
	if news || in.serverNames != nil {
		all := gather.EndpointList{}
		for _, id := range p.endpointOrder {
			all.Endpoints = append(all.Endpoints, p.endpoints[id])
		}
		in.EndpointLists = append(in.EndpointLists, all)
	}
	for i := range in.EndpointLists {
		l := &in.EndpointLists[i]
		servers := make([]gather.Endpoint, len(l.Endpoints)) // a list may be another's as well
		for j, s := range l.Endpoints {
			if s.ReplicaSets = o.ownedSegments[o.serverNames[s.ID]]; s.ReplicaSets == nil {
				s.ReplicaSets = []int{}
			}
			servers[j] = s
		}
		l.Endpoints = servers
	}
	return news
}

// splitByOwner parts a lookup into pieces and hands it to the module.
func (p *Picker) splitByOwner(in *gather.Round, lk *Query) {
	o := p.ownership
	ranges, weights := make([]ownership.Range, len(lk.ShardRequests)), make([]float64, len(lk.ShardRequests))
	for i, pt := range lk.ShardRequests {
		ranges[i], weights[i] = ownership.Slot(pt.Shard, o.shards), pt.Weight
	}
	m := o.Follower.Map
	if m == nil {
		m = &ownership.Map{} // nobody owns anything that we know of
	}
	lk.pieces = make([]piece, 0, len(lk.ShardRequests))
	lk.values, lk.attempts = lk.values[:0], lk.attempts[:0]
	for _, f := range m.Begin(ranges, weights, p.nonIdempotent(lk) && o.Doubt > 0) {
		p.addPiece(in, lk, f)
	}
}

func (p *Picker) nonIdempotent(lk *Query) bool {
	return p.settings.Class(lk.Class).Effect == gather.NonIdempotent
}

// addPiece hands one piece to the module.
func (p *Picker) addPiece(in *gather.Round, lk *Query, f ownership.Fresh) {
	o := p.ownership
	h := ownership.Held{Part: f.Part, Range: f.Range, Weight: f.Weight, Called: f.Again, Parked: f.Parked}
	group := o.index.Nowhere()
	if o.Follower.Map != nil {
		h.Since = o.Follower.Map.Epoch
	}
	if f.Segment >= 0 {
		s := &o.Follower.Map.Segments[f.Segment]
		h.Segment, h.Since = s.Name, s.Since
		all, writer := o.index.Groups(s.Name)
		if group = all; p.settings.Class(lk.Class).Effect != gather.Idempotent {
			group = writer
		}
	}
	p.mu.Lock()
	h.ID = p.nextID
	p.nextID++
	p.mu.Unlock()
	p.shardRequests[h.ID] = shardRequestRef{lk, len(lk.pieces)}
	lk.pieces = append(lk.pieces, piece{Held: h})
	lk.values, lk.attempts = append(lk.values, nil), append(lk.attempts, nil)
	pt := &lk.ShardRequests[f.Part]
	share := f.Weight / max(pt.Weight, 1e-9)
	in.Requests = append(in.Requests, gather.ShardRequest{ID: h.ID, Number: lk.id, Shard: group, Weight: f.Weight, Cost: pt.Cost * share, Key: pt.Key, Retry: f.Again})
}

// reassignPieces gives the pieces of held lookups to who owns them now, where the map is new or pieces are put aside or
// were refused.
func (p *Picker) reassignPieces(in *gather.Round, news bool, now float64) {
	o := p.ownership
	m := o.Follower.Map
	if m == nil || !news && o.parked == 0 && len(p.refusedPieces) == 0 {
		return
	}
	refs := make([]uint64, 0, len(p.queries))
	for ref := range p.queries {
		refs = append(refs, ref)
	}
	slices.Sort(refs) // against the order of a map
	o.parked = 0
	for _, ref := range refs {
		lk := p.queries[ref]
		held := make([]ownership.Held, 0, len(lk.pieces))
		for i := range lk.pieces {
			if !lk.pieces[i].replaced {
				held = append(held, lk.pieces[i].Held)
			}
		}
		retired, fresh := m.Rehome(held, p.nonIdempotent(lk), o.Doubt == 0, now)
		for _, id := range retired {
			lk.pieces[p.shardRequests[id].index].replaced = true
			delete(p.shardRequests, id)
		}
		in.Superseded = append(in.Superseded, retired...)
		for _, f := range fresh {
			p.addPiece(in, lk, f)
		}
		for i := range lk.pieces {
			if pc := &lk.pieces[i]; !pc.replaced && pc.Parked > 0 {
				o.parked++
			}
		}
	}
	if len(p.refusedPieces) > 0 {
		o.requestMap()
		p.refusedPieces = p.refusedPieces[:0]
	}
}

// recordPieceEnd books how a call of a piece ended.
func (p *Picker) recordPieceEnd(e *attemptEnd) {
	pc := &e.attempt.query.pieces[e.attempt.index]
	pc.Out--
	switch {
	case e.outcome == gather.Succeeded:
		pc.In = true
	case e.outcome == gather.NotOwner:
		pc.Refused = true
		p.refusedPieces = append(p.refusedPieces, pc.ID)
	case !e.outcome.NeverExecuted():
		pc.MayRun = true
	}
	if e.attempt.WriteBegun() {
		pc.Called = true
	}
}

// Ownership are the keys that a call asks for, the segment that has them and since which epoch; ok is false where no map
// says who owns what.
func (c *Attempt) Ownership() (keys ownership.Range, segment string, since uint64, ok bool) {
	return c.keys, c.segment, c.ownedSince, c.owned
}

// NonIdempotent reports whether the call may never run twice.
func (c *Attempt) NonIdempotent() bool { return c.nonIdempotent }
