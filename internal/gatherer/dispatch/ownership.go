package dispatch

import (
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/ownership"
)

// minPieceShare keeps a piece's share of its shard request finite where the weight is tiny.
const minPieceShare = 1e-9

// piece is what the module decides on in place of a shard request where a map says who owns which keys: the request,
// or some of its keys.
type piece struct {
	ownership.Piece
	replaced bool // others stand for its keys
}

// send notes an attempt at the piece.
func (pc *piece) send(a *Attempt) {
	a.owned = true
	a.keys = pc.Range
	a.segment = pc.Segment
	a.ownedSince = pc.OwnedSince
	a.usesRetryBudget = a.usesRetryBudget || pc.Attempted && a.number == 0
	pc.InFlight++
}

// coversShardRequest reports whether a piece stands for all of its shard request.
func (q *Query) coversShardRequest(i int) bool {
	for j := range q.pieces {
		if j != i && !q.pieces[j].replaced && q.pieces[j].Request == q.pieces[i].Request {
			return false
		}
	}
	return true
}

// ownershipState is what the picker knows of who owns which keys.
type ownershipState struct {
	ownership.Tracker
	index          *ownership.ReplicaSetIndex
	shards         int // that the keys are divided into
	serverNames    map[uint32]string
	ownedSets      map[string][]int // replica sets of the segments that a server owns, by its name
	mapRequested   chan struct{}    // has a value while the map that is known is not the newest
	deferred       int              // pieces that wait for another map
	rejectedPieces int              // by servers that do not own them, since the last round
}

// EnableOwnership has queries sent to the owners of their keys, by the maps that are handed in, of maxSegments at
// most. The module's settings must be those of OwnershipSettings.
func (p *Picker) EnableOwnership(maxSegments, shards int) {
	p.ownership = &ownershipState{
		index:        ownership.NewReplicaSetIndex(maxSegments),
		shards:       shards,
		serverNames:  map[uint32]string{},
		mapRequested: make(chan struct{}, 1),
	}
}

// OwnershipSettings are a module's settings where so many segments can be owned: each segment is a replica set, and
// its writer another one.
func OwnershipSettings(settings *gather.Settings, maxSegments int) *gather.Settings {
	s := settings.Clone()
	s.ReplicaSets = ownership.NewReplicaSetIndex(maxSegments).NoOwner() + 1
	s.ReplicaSetsPerShard = 1
	return s
}

// MapRequested returns a channel that has a value when the newest map is needed.
func (p *Picker) MapRequested() <-chan struct{} { return p.ownership.mapRequested }

// mapUpdate is a change of the map, or a full one.
type mapUpdate struct {
	change ownership.Change
	full   *ownership.Map
}

// ApplyMapChange hands in a change of the map.
func (p *Picker) ApplyMapChange(c ownership.Change) {
	p.intake.enqueue(func(in *inbox) { in.mapUpdates = append(in.mapUpdates, mapUpdate{change: c}) })
}

// SetMap hands in a full map.
func (p *Picker) SetMap(m *ownership.Map) {
	p.intake.enqueue(func(in *inbox) { in.mapUpdates = append(in.mapUpdates, mapUpdate{full: m}) })
}

// SetServerNames hands in the names of the listed servers, by which maps know them.
func (p *Picker) SetServerNames(names map[uint32]string) {
	p.intake.enqueue(func(in *inbox) { in.serverNames = names })
}

// Map is the newest map known, and whether sources contradict each other. It must be called on the goroutine that
// runs rounds.
func (p *Picker) Map() (m *ownership.Map, contradicted bool) {
	return p.ownership.Map, p.ownership.ConflictEpoch > 0
}

func (o *ownershipState) requestMap() {
	select {
	case o.mapRequested <- struct{}{}:
	default: // requested already
	}
}

// applyMapUpdates takes over updates of the map and puts into the endpoint lists which segments each server owns. It
// reports whether the map, or whether it is trusted, has changed.
func (p *Picker) applyMapUpdates(in *inbox) bool {
	o := p.ownership
	changed := false
	for i := range in.mapUpdates {
		if p.applyMapUpdate(&in.mapUpdates[i]) {
			changed = true
		}
	}
	if changed && o.ConflictEpoch > 0 && o.Map != nil && o.Map.Epoch > o.ConflictEpoch {
		o.requestMap() // as a full one, this map ends the conflict
	}
	if in.serverNames != nil {
		o.serverNames = in.serverNames
	}
	if o.Map == nil {
		return false
	}
	if changed {
		if o.index.Update(o.Map) {
			p.log.Error("segment map: too many segments, the last ones are not served")
		}
		o.ownedSets = o.index.ByHost(o.Map)
	}
	if changed || in.serverNames != nil {
		in.EndpointLists = append(in.EndpointLists, gather.EndpointList{Endpoints: p.endpoints.all()})
	}
	rewriteEndpoints(in.EndpointLists, func(e *gather.Endpoint) {
		e.ReplicaSets = o.ownedSets[o.serverNames[e.ID]]
		if e.ReplicaSets == nil { // nil would stand for its own
			e.ReplicaSets = []int{}
		}
	})
	return changed
}

// applyMapUpdate takes over one update. It reports whether the map, or whether it is trusted, has changed.
func (p *Picker) applyMapUpdate(update *mapUpdate) bool {
	o := p.ownership
	var result ownership.UpdateResult
	var err error
	if update.full != nil {
		result, err = o.ApplyMap(update.full)
	} else {
		result, err = o.ApplyChange(update.change)
	}
	log := p.log.WithField("result", string(result))
	switch result {
	case ownership.Applied:
		log.WithField("epoch", o.Map.Epoch).Info("segment map: new epoch")
		if p.records != nil {
			p.records.saveMap(o.Map)
		}
		return true
	case ownership.Conflict:
		log.WithError(err).Error("segment map: contradicting sources, non-idempotent queries wait for a later epoch")
		o.requestMap()
		return true
	case ownership.Invalid:
		log.WithError(err).Warn("segment map: invalid update, requesting the full map")
		o.requestMap()
	case ownership.Gap:
		log.Debug("segment map: epochs missed, requesting the full map")
		o.requestMap()
	}
	return false
}

// splitByOwner divides a query's shard requests into pieces by owner and hands them to the module.
func (p *Picker) splitByOwner(in *gather.Round, query *Query) {
	o := p.ownership
	ranges := make([]ownership.Range, len(query.ShardRequests))
	weights := make([]float64, len(query.ShardRequests))
	for i, r := range query.ShardRequests {
		ranges[i] = ownership.ShardRange(r.Shard, o.shards)
		weights[i] = r.Weight
	}
	m := o.Map
	if m == nil {
		m = &ownership.Map{} // no owner is known
	}
	query.pieces = make([]piece, 0, len(query.ShardRequests))
	query.values = query.values[:0]
	query.attempts = query.attempts[:0]
	for _, added := range m.Split(ranges, weights, p.nonIdempotent(query) && o.ConflictEpoch > 0) {
		p.addPiece(in, query, added)
	}
}

// addPiece hands one piece to the module.
func (p *Picker) addPiece(in *gather.Round, query *Query, added ownership.NewPiece) {
	owned := ownership.Piece{
		ID:         p.intake.allocate(1),
		Request:    added.Request,
		Range:      added.Range,
		Weight:     added.Weight,
		Attempted:  added.Retry,
		DeferredAt: added.DeferredAt,
	}
	replicaSet := p.ownership.assignSegment(&owned, added.Segment, p.settings.Class(query.Class).Effect)
	p.queries.requests[owned.ID] = requestRef{query, len(query.pieces)}
	query.pieces = append(query.pieces, piece{Piece: owned})
	query.values = append(query.values, nil)
	query.attempts = append(query.attempts, nil)
	request := &query.ShardRequests[added.Request]
	share := added.Weight / max(request.Weight, minPieceShare)
	in.Requests = append(in.Requests, gather.ShardRequest{
		ID:     owned.ID,
		Number: query.id,
		Shard:  replicaSet,
		Weight: added.Weight,
		Cost:   request.Cost * share,
		Key:    request.Key,
		Retry:  added.Retry,
	})
}

// assignSegment notes the segment that holds a piece's keys, by its place in the map, and returns the replica set
// that stands for its owners: all of them for an idempotent query, else its writer alone. Below 0 no segment holds
// them.
func (o *ownershipState) assignSegment(owned *ownership.Piece, segment int, effect gather.Effect) (replicaSet int) {
	if o.Map != nil {
		owned.OwnedSince = o.Map.Epoch
	}
	if segment < 0 {
		return o.index.NoOwner()
	}
	s := &o.Map.Segments[segment]
	owned.Segment = s.Name
	owned.OwnedSince = s.OwnedSince
	all, writer := o.index.ReplicaSets(s.Name)
	if effect == gather.Idempotent {
		return all
	}
	return writer
}

// reassignPieces gives the pieces of open queries to their present owners, where the map has changed or pieces are
// deferred or were rejected.
func (p *Picker) reassignPieces(in *gather.Round, mapChanged bool, now float64) {
	o := p.ownership
	if o.Map == nil || !mapChanged && o.deferred == 0 && o.rejectedPieces == 0 {
		return
	}
	ids := make([]uint64, 0, len(p.queries.byID))
	for id := range p.queries.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids) // the module must not depend on a map's order
	o.deferred = 0
	for _, id := range ids {
		p.reassignPiecesOf(in, p.queries.byID[id], now)
	}
	if o.rejectedPieces > 0 {
		o.requestMap()
		o.rejectedPieces = 0
	}
}

func (p *Picker) reassignPiecesOf(in *gather.Round, query *Query, now float64) {
	o := p.ownership
	current := make([]ownership.Piece, 0, len(query.pieces))
	for i := range query.pieces {
		if !query.pieces[i].replaced {
			current = append(current, query.pieces[i].Piece)
		}
	}
	replaced, added := o.Map.Reassign(current, p.nonIdempotent(query), o.ConflictEpoch == 0, now)
	for _, id := range replaced {
		query.pieces[p.queries.requests[id].index].replaced = true
		delete(p.queries.requests, id)
	}
	in.Superseded = append(in.Superseded, replaced...)
	for _, next := range added {
		p.addPiece(in, query, next)
	}
	for i := range query.pieces {
		if pc := &query.pieces[i]; !pc.replaced && pc.DeferredAt > 0 {
			o.deferred++
		}
	}
}

// recordPieceEnd notes the end of an attempt at a piece.
func (p *Picker) recordPieceEnd(end *attemptEnd) {
	pc := &end.attempt.query.pieces[end.attempt.index]
	pc.InFlight--
	switch {
	case end.outcome == gather.Succeeded:
		pc.Answered = true
	case end.outcome == gather.NotOwner:
		pc.Rejected = true
		p.ownership.rejectedPieces++
	case !end.outcome.NeverExecuted():
		pc.MayHaveRun = true
	}
	if end.attempt.WriteStarted() {
		pc.Attempted = true
	}
}
