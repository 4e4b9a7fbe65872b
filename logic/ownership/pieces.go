package ownership

// Piece is the keys of a shard request that are sent to one segment's owners.
type Piece struct {
	ID         uint64 // the caller's
	Request    int    // index of the shard request in its query
	Range             // its keys
	Segment    string // that has them, empty where nobody owns them
	OwnedSince uint64
	Weight     float64
	InFlight   int     // attempts
	Attempted  bool    // some attempt was written
	MayHaveRun bool    // so may one of these
	Answered   bool    // its response was received
	Rejected   bool    // the last attempt hit a host that does not own the keys
	DeferredAt float64 // when it was deferred for that, 0 for never
}

// NewPiece is a piece that is to be sent.
type NewPiece struct {
	Request int
	Range
	Segment    int // its index in the map, or NoSegment
	Weight     float64
	Retry      bool    // some of its keys were attempted before
	DeferredAt float64 // 0 where it is not
}

// DeferralTime is for how long, in milliseconds, a piece waits that a host rejected though it is an owner by
// the map: the host may learn of the epoch later than the gatherer. A newer map ends the wait.
const DeferralTime = 100.0

// Split divides a query's shard requests by the map into a piece for each segment. A request's weight is
// divided by keys. Where hold is set, the pieces must not be sent to anybody yet.
func (m *Map) Split(ranges []Range, weights []float64, hold bool) (pieces []NewPiece) {
	for request, keys := range ranges {
		undivided := NewPiece{Request: request, Range: keys, Weight: weights[request]}
		pieces = m.divide(pieces, undivided, hold)
	}
	return pieces
}

// divide appends the pieces of a piece, one for each segment.
func (m *Map) divide(pieces []NewPiece, undivided NewPiece, hold bool) []NewPiece {
	for _, overlap := range m.Overlaps(undivided.Range) {
		piece := undivided
		piece.Range = overlap.Range
		piece.Segment = overlap.Segment
		piece.Weight = undivided.Weight * overlap.Share
		if hold {
			piece.Segment = NoSegment
		}
		pieces = append(pieces, piece)
	}
	return pieces
}

// IsCurrent reports whether a piece's keys are owned as they were when it was divided.
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

// Reassign decides what becomes of a query's pieces under the present map: which are replaced, and by what.
//
// An answered piece stays, since an owner answered it, and so does one with attempts in flight until these
// end. A non-idempotent piece that may have run stays for good, and its query fails. A piece that was
// rejected though its keys are owned as before is deferred. While sources of the map contradict each other,
// the map is not trusted, and nothing non-idempotent is sent.
func (m *Map) Reassign(
	pieces []Piece, nonIdempotent, trusted bool, now float64,
) (replaced []uint64, fresh []NewPiece) {
	hold := nonIdempotent && !trusted
	for i := range pieces {
		p := &pieces[i]
		if p.Answered || p.InFlight > 0 || nonIdempotent && p.MayHaveRun {
			continue
		}
		current := m.IsCurrent(p)
		undivided := NewPiece{Request: p.Request, Range: p.Range, Weight: p.Weight, Retry: p.Attempted}
		switch {
		case hold && p.Segment == "": // it is held already
		case p.deferredUnder(m, now):
		case !hold && current && !p.Rejected && p.DeferredAt == 0:
		case p.Rejected && current:
			undivided.Segment = NoSegment
			undivided.DeferredAt = now
			replaced = append(replaced, p.ID)
			fresh = append(fresh, undivided)
		default:
			replaced = append(replaced, p.ID)
			fresh = m.divide(fresh, undivided, hold)
		}
	}
	return replaced, fresh
}

// deferredUnder reports whether a piece goes on waiting: neither is its time over nor the map newer than it.
func (p *Piece) deferredUnder(m *Map, now float64) bool {
	return p.DeferredAt > 0 && now < p.DeferredAt+DeferralTime && p.OwnedSince >= m.Epoch
}
