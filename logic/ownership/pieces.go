package ownership

// Piece is the part of a shard request that is sent to the owners of one segment.
type Piece struct {
	ID         uint64 // assigned by the caller
	Request    int    // index of the shard request in its query
	Range             // keys of the piece
	Segment    string // name of the segment that holds the keys; empty if the keys are unowned
	OwnedSince uint64 // epoch since which the owners own the segment; the map's epoch if Segment is empty
	Weight     float64
	InFlight   int     // number of attempts in flight
	Attempted  bool    // at least one attempt was written to a connection
	MayHaveRun bool    // at least one attempt may have run
	Answered   bool    // a response was received
	Rejected   bool    // the last attempt was rejected by a host that does not own the keys
	DeferredAt float64 // time at which the piece was deferred after a rejection; 0 if it was not
}

// NewPiece is a piece that has not been sent yet.
type NewPiece struct {
	Request int
	Range
	Segment    int // index of the segment in the map, or NoSegment
	Weight     float64
	Retry      bool    // an earlier piece with some of the keys was attempted
	DeferredAt float64 // time at which the piece was deferred; 0 if it is not deferred
}

// DeferralTime is the time in milliseconds for which a piece is deferred after a host rejected it although
// the map lists that host as an owner: the host may learn of the epoch later than the gatherer. A newer map
// ends the deferral.
const DeferralTime = 100.0

// Split divides each shard request of a query into one piece for each segment of the map. A request's weight
// is divided in proportion to the number of keys. If withhold is set, the pieces have NoSegment as their
// segment, so that they are not sent to any host yet.
func (m *Map) Split(ranges []Range, weights []float64, withhold bool) (pieces []NewPiece) {
	for request, keys := range ranges {
		undivided := NewPiece{Request: request, Range: keys, Weight: weights[request]}
		pieces = m.divide(pieces, undivided, withhold)
	}
	return pieces
}

// divide divides a piece by the segments of the map and appends the results.
func (m *Map) divide(pieces []NewPiece, undivided NewPiece, withhold bool) []NewPiece {
	for _, overlap := range m.Overlaps(undivided.Range) {
		piece := undivided
		piece.Range = overlap.Range
		piece.Segment = overlap.Segment
		piece.Weight = undivided.Weight * overlap.Share
		if withhold {
			piece.Segment = NoSegment
		}
		pieces = append(pieces, piece)
	}
	return pieces
}

// IsCurrent reports whether the ownership of a piece's keys is the same as when the piece was created.
func (m *Map) IsCurrent(p *Piece) bool {
	overlaps := m.Overlaps(p.Range)
	if len(overlaps) != 1 {
		return false
	}
	if overlaps[0].Segment == NoSegment {
		return p.Segment == ""
	}
	s := &m.Segments[overlaps[0].Segment]
	return s.Name == p.Segment && s.OwnedSince == p.OwnedSince
}

// Reassign applies the current map to the pieces of a query. It returns the IDs of the pieces that are
// replaced and the pieces that replace them.
//
// An answered piece is kept, since an owner answered it. A piece with attempts in flight is kept until they
// end. A non-idempotent piece that may have run is never replaced, and its query fails. A piece that was
// rejected although the ownership of its keys is unchanged is deferred. While sources of the map contradict
// each other, trusted is false, and no non-idempotent piece is sent.
func (m *Map) Reassign(
	pieces []Piece, nonIdempotent, trusted bool, now float64,
) (replaced []uint64, added []NewPiece) {
	withhold := nonIdempotent && !trusted
	for i := range pieces {
		p := &pieces[i]
		if p.Answered || p.InFlight > 0 || nonIdempotent && p.MayHaveRun {
			continue
		}
		current := m.IsCurrent(p)
		undivided := NewPiece{Request: p.Request, Range: p.Range, Weight: p.Weight, Retry: p.Attempted}
		switch {
		case withhold && p.Segment == "": // already withheld
		case p.remainsDeferred(m, now):
		case !withhold && current && !p.Rejected && p.DeferredAt == 0:
		case p.Rejected && current:
			undivided.Segment = NoSegment
			undivided.DeferredAt = now
			replaced = append(replaced, p.ID)
			added = append(added, undivided)
		default:
			replaced = append(replaced, p.ID)
			added = m.divide(added, undivided, withhold)
		}
	}
	return replaced, added
}

// remainsDeferred reports whether a piece remains deferred: DeferralTime has not elapsed, and the map is not
// newer than the piece.
func (p *Piece) remainsDeferred(m *Map, now float64) bool {
	return p.DeferredAt > 0 && now < p.DeferredAt+DeferralTime && p.OwnedSince >= m.Epoch
}
