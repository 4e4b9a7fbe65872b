package ownership

import "slices"

// Piece is a piece of a lookup as it was handed to the module.
type Piece struct {
	ID         uint64 // the caller's
	Request    int    // of the lookup, by its place
	Range             // its keys
	Segment    string // that owned them, empty where it was sent to nobody
	OwnedSince uint64
	Weight     float64
	InFlight   int     // calls that have not ended
	Attempted  bool    // some call of it was written
	MayHaveRun bool    // of these, one may have run
	Answered   bool    // its answer has come
	Rejected   bool    // the newest call was refused by a host that does not own its keys
	DeferredAt float64 // when it was put aside for that, 0 for never
}

// NewPiece is a piece that takes the place of a held one.
type NewPiece struct {
	Request int
	Range
	Segment    int // in the map, -1 for nowhere
	Weight     float64
	Retry      bool    // calls of it are further ones: some of its keys were asked for already
	DeferredAt float64 // when it was put aside, 0 where it was not
}

// DeferralTime is for how long a piece is put aside that a host refused though the map names that host: it may
// have heard of the epoch later than the gatherer, or have forgotten it. A newer map ends it at once.
const DeferralTime = 100.0

// Split parts a lookup's parts by the map: each falls into a piece for each segment that has keys of its.
// Their weights share out the part's, by keys. Nowhere is where nothing of it may be sent to anyone yet.
func (m *Map) Split(ranges []Range, weights []float64, nowhere bool) (pieces []NewPiece) {
	for part, r := range ranges {
		for _, p := range m.Overlaps(r) {
			if nowhere {
				p.Segment = -1
			}
			pieces = append(pieces, NewPiece{part, p.Range, p.Segment, weights[part] * p.Share, false, 0})
		}
	}
	return pieces
}

// IsCurrent reports whether a piece stays as it is under a map: its keys are owned as they were when it was
// cut.
func (m *Map) IsCurrent(h *Piece) bool {
	pieces := m.Overlaps(h.Range)
	if len(pieces) != 1 {
		return false
	}
	if pieces[0].Segment < 0 {
		return h.Segment == ""
	}
	s := &m.Segments[pieces[0].Segment]
	return s.Name == h.Segment && s.OwnedSince == h.OwnedSince
}

// Reassign says what becomes of a lookup's held pieces at a time, under the map that is known: which are
// given up, and what takes their place. A piece that is in stays in: it was answered by who owned it. One
// with a call out waits for its end. Of a once-only piece that may have run, nothing is sent to anyone
// again: it stays, and its lookup fails by it. A piece that was refused though the map has not changed is
// put aside for a while. Where nobody is trusted, because sources of the map contradict each other, nothing
// once-only goes anywhere.
func (m *Map) Reassign(held []Piece, onceOnly, trusted bool, now float64) (retired []uint64, fresh []NewPiece) {
	for i := range held {
		h := &held[i]
		if h.Answered || h.InFlight > 0 || onceOnly && h.MayHaveRun {
			continue
		}
		nowhere := onceOnly && !trusted
		switch settled := m.IsCurrent(h); {
		case nowhere && h.Segment == "", h.DeferredAt > 0 && now < h.DeferredAt+DeferralTime && !h.olderThan(m):
			continue
		case !nowhere && settled && !h.Rejected && h.DeferredAt == 0:
			continue
		case h.Rejected && settled:
			retired = append(retired, h.ID)
			fresh = append(fresh, NewPiece{h.Request, h.Range, -1, h.Weight, h.Attempted, now})
			continue
		}
		retired = append(retired, h.ID)
		for _, p := range m.Overlaps(h.Range) {
			if nowhere {
				p.Segment = -1
			}
			fresh = append(fresh, NewPiece{h.Request, p.Range, p.Segment, h.Weight * p.Share, h.Attempted, 0})
		}
	}
	return retired, fresh
}

// olderThan reports whether a piece that was put aside was cut by an older map than this.
func (h *Piece) olderThan(m *Map) bool { return h.OwnedSince < m.Epoch }

// ReplicaSetIndex gives segments dense numbers, by which the module knows groups of servers. A number that is free is
// used again only when all others were, so that what was cut under an old map does not meet a new segment
// by it.
type ReplicaSetIndex struct {
	maxSegments int
	numbers     map[string]int
	free        []int
}

// NewReplicaSetIndex makes one for so many segments at most.
func NewReplicaSetIndex(most int) *ReplicaSetIndex {
	x := &ReplicaSetIndex{maxSegments: most, numbers: map[string]int{}}
	for i := range most {
		x.free = append(x.free, i)
	}
	return x
}

// Update gives numbers to the segments of a map; full reports that there are more than there are numbers, in
// which case the last ones have none and go as if unowned.
func (x *ReplicaSetIndex) Update(m *Map) (full bool) {
	here := map[string]bool{}
	for _, s := range m.Segments {
		here[s.Name] = true
	}
	var gone []string
	for name := range x.numbers {
		if !here[name] {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone) // against the order of a map
	for _, name := range gone {
		x.free = append(x.free, x.numbers[name])
		delete(x.numbers, name)
	}
	for _, s := range m.Segments {
		if _, has := x.numbers[s.Name]; has {
			continue
		}
		if len(x.free) == 0 {
			full = true
			continue
		}
		x.numbers[s.Name] = x.free[0]
		x.free = x.free[1:]
	}
	return full
}

// ReplicaSets are the module's numbers of a segment: of all its owners, and of its writer alone; nowhere for both
// where it has none. There are 2·most + 1 groups in all, the last of which is nowhere.
func (x *ReplicaSetIndex) ReplicaSets(name string) (all, writer int) {
	n, has := x.numbers[name]
	if !has {
		return x.NoOwner(), x.NoOwner()
	}
	return 2 * n, 2*n + 1
}

// NoOwner is the group that no server is in.
func (x *ReplicaSetIndex) NoOwner() int { return 2 * x.maxSegments }

// ByHost are the groups that each host is in.
func (x *ReplicaSetIndex) ByHost(m *Map) map[string][]int {
	holds := map[string][]int{}
	for _, s := range m.Segments {
		all, writer := x.ReplicaSets(s.Name)
		if all == x.NoOwner() {
			continue
		}
		for i, host := range s.Owners {
			holds[host] = append(holds[host], all)
			if i == 0 {
				holds[host] = append(holds[host], writer)
			}
		}
	}
	return holds
}
