package dispatch

import (
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/ownership"
)

// minPieceShare is the least weight of a shard request that a piece's weight is divided by. It keeps the piece's share
// finite if the shard request's weight is tiny.
const minPieceShare = 1e-9

// piece is a shard request, or a part of its key range, that the module decides on in place of the shard request when
// queries are routed by a segment map.
type piece struct {
	ownership.Piece
	replaced bool // true once other pieces cover its keys
}

// addAttempt records a new attempt at the piece and sets the attempt's ownership fields.
func (pc *piece) addAttempt(a *Attempt) {
	a.hasOwnership = true
	a.keys = pc.Range
	a.segment = pc.Segment
	a.ownerSince = pc.OwnedSince
	a.usesRetryBudget = a.usesRetryBudget || pc.Attempted && a.number == 0
	pc.InFlight++
}

// coversShardRequest reports whether piece i covers its whole shard request.
func (q *Query) coversShardRequest(i int) bool {
	for j := range q.pieces {
		if j != i && !q.pieces[j].replaced && q.pieces[j].Request == q.pieces[i].Request {
			return false
		}
	}
	return true
}

// ownershipState holds the picker's knowledge of which servers own which keys.
type ownershipState struct {
	ownership.Tracker
	index               *ownership.ReplicaSetIndex
	shards              int // number of shards that the keys are divided into
	serverNames         map[uint32]string
	replicaSetsByServer map[string][]int // replica sets of the segments that each server owns, keyed by server name
	mapRequested        chan struct{}    // receives a value when a newer map is needed
	deferredPieces      int              // number of pieces that wait for a newer map
	rejectedPieces      int              // number of pieces rejected since the last round by servers that do not own them
}

// EnableOwnership routes queries to the owners of their keys, by the segment maps passed to SetMap and ApplyMapChange.
// A map has at most maxSegments segments. The module's settings must come from OwnershipSettings.
func (p *Picker) EnableOwnership(maxSegments, shards int) {
	p.ownership = &ownershipState{
		index:        ownership.NewReplicaSetIndex(maxSegments),
		shards:       shards,
		serverNames:  map[uint32]string{},
		mapRequested: make(chan struct{}, 1),
	}
}

// OwnershipSettings returns the settings for a module that routes by segment maps of up to maxSegments segments. Each
// segment has two replica sets: one with all its owners, one with its writer alone.
func OwnershipSettings(settings *gather.Settings, maxSegments int) *gather.Settings {
	s := settings.Clone()
	s.ReplicaSets = ownership.NewReplicaSetIndex(maxSegments).NoOwner() + 1
	s.ReplicaSetsPerShard = 1
	return s
}

// MapRequested returns a channel that receives a value when the picker needs the newest full map.
func (p *Picker) MapRequested() <-chan struct{} { return p.ownership.mapRequested }

// mapUpdate is a change of the segment map, or a full map.
type mapUpdate struct {
	change ownership.Change
	full   *ownership.Map
}

// ApplyMapChange queues a change of the segment map for the next round.
func (p *Picker) ApplyMapChange(c ownership.Change) {
	p.intake.enqueue(func(in *inbox) { in.mapUpdates = append(in.mapUpdates, mapUpdate{change: c}) })
}

// SetMap queues a full segment map for the next round.
func (p *Picker) SetMap(m *ownership.Map) {
	p.intake.enqueue(func(in *inbox) { in.mapUpdates = append(in.mapUpdates, mapUpdate{full: m}) })
}

// SetServerNames queues the names of the listed servers for the next round. Segment maps refer to servers by name.
func (p *Picker) SetServerNames(names map[uint32]string) {
	p.intake.enqueue(func(in *inbox) { in.serverNames = names })
}

// Map returns the newest known segment map, and whether the sources of maps contradict each other. It must be called on
// the goroutine that runs rounds.
func (p *Picker) Map() (m *ownership.Map, contradicted bool) {
	return p.ownership.Map, p.ownership.ConflictEpoch > 0
}

func (o *ownershipState) requestMap() {
	select {
	case o.mapRequested <- struct{}{}:
	default: // a request is already pending
	}
}

// applyMapUpdates applies the queued updates of the segment map and writes the replica sets of each server's segments
// into the endpoint lists. It reports whether the map changed or a conflict between its sources was found.
func (p *Picker) applyMapUpdates(in *inbox) bool {
	o := p.ownership
	changed := false
	for i := range in.mapUpdates {
		if p.applyMapUpdate(&in.mapUpdates[i]) {
			changed = true
		}
	}
	if changed && o.ConflictEpoch > 0 && o.Map != nil && o.Map.Epoch > o.ConflictEpoch {
		o.requestMap() // only a full map of a later epoch ends the conflict
	}
	if in.serverNames != nil {
		o.serverNames = in.serverNames
	}
	if o.Map == nil {
		return false
	}
	if changed {
		if o.index.Update(o.Map) {
			p.log.Error("segment map: too many segments, not serving the last ones")
		}
		o.replicaSetsByServer = o.index.ByHost(o.Map)
	}
	if changed || in.serverNames != nil {
		in.EndpointLists = append(in.EndpointLists, gather.EndpointList{Endpoints: p.endpoints.list()})
	}
	rewriteEndpoints(in.EndpointLists, func(e *gather.Endpoint) {
		e.ReplicaSets = o.replicaSetsByServer[o.serverNames[e.ID]]
		if e.ReplicaSets == nil { // nil would mean the endpoint's own ReplicaSet
			e.ReplicaSets = []int{}
		}
	})
	return changed
}

// applyMapUpdate applies one update. It reports whether the map changed or a conflict between its sources was found.
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
		log.WithError(err).Error("segment map: conflicting sources, delaying non-idempotent queries until a later epoch")
		o.requestMap()
		return true
	case ownership.Invalid:
		log.WithError(err).Warn("segment map: invalid update, requesting the full map")
		o.requestMap()
	case ownership.Gap:
		log.Debug("segment map: missed epochs, requesting the full map")
		o.requestMap()
	}
	return false
}

// splitByOwner splits a query's shard requests into pieces by owner and passes the pieces to the module.
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
		m = &ownership.Map{} // an empty map: no keys have a known owner
	}
	query.pieces = make([]piece, 0, len(query.ShardRequests))
	query.values = query.values[:0]
	query.attempts = query.attempts[:0]
	for _, added := range m.Split(ranges, weights, p.nonIdempotent(query) && o.ConflictEpoch > 0) {
		p.addPiece(in, query, added)
	}
}

// addPiece adds a piece to a query and passes it to the module.
func (p *Picker) addPiece(in *gather.Round, query *Query, added ownership.NewPiece) {
	state := ownership.Piece{
		ID:         p.intake.allocate(1),
		Request:    added.Request,
		Range:      added.Range,
		Weight:     added.Weight,
		Attempted:  added.Retry,
		DeferredAt: added.DeferredAt,
	}
	replicaSet := p.ownership.assignSegment(&state, added.Segment, p.settings.Class(query.Class).Effect)
	p.queries.requests[state.ID] = requestRef{query, len(query.pieces)}
	query.pieces = append(query.pieces, piece{Piece: state})
	query.values = append(query.values, nil)
	query.attempts = append(query.attempts, nil)
	request := &query.ShardRequests[added.Request]
	share := added.Weight / max(request.Weight, minPieceShare)
	in.Requests = append(in.Requests, gather.ShardRequest{
		ID:     state.ID,
		Number: query.id,
		Shard:  replicaSet,
		Weight: added.Weight,
		Cost:   request.Cost * share,
		Key:    request.Key,
		Retry:  added.Retry,
	})
}

// assignSegment records in a piece's state the segment that holds its keys and returns the replica set of the servers
// to use: all owners of the segment for an idempotent query, else its writer alone. Segment is an index into the map's
// segments; below 0, no segment holds the keys.
func (o *ownershipState) assignSegment(state *ownership.Piece, segment int, effect gather.Effect) (replicaSet int) {
	if o.Map != nil {
		state.OwnedSince = o.Map.Epoch
	}
	if segment < 0 {
		return o.index.NoOwner()
	}
	s := &o.Map.Segments[segment]
	state.Segment = s.Name
	state.OwnedSince = s.OwnedSince
	owners, writer := o.index.ReplicaSets(s.Name)
	if effect == gather.Idempotent {
		return owners
	}
	return writer
}

// reassignPieces assigns the pieces of open queries to their current owners if the map has changed or if some pieces
// are deferred or were rejected.
func (p *Picker) reassignPieces(in *gather.Round, mapChanged bool, now float64) {
	o := p.ownership
	if o.Map == nil || !mapChanged && o.deferredPieces == 0 && o.rejectedPieces == 0 {
		return
	}
	ids := make([]uint64, 0, len(p.queries.byID))
	for id := range p.queries.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids) // the module's decisions must not depend on Go's map iteration order
	o.deferredPieces = 0
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
			o.deferredPieces++
		}
	}
}

// recordPieceEnd records the end of an attempt at a piece.
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
