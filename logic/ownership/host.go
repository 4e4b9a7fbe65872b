package ownership

import "slices"

// SegmentLog records which requests ran in a segment. The segment's owners read and write the log, which
// outlives them. It accepts records only under the epoch of the newest owner.
type SegmentLog struct {
	Epoch  uint64 // epoch since which the newest owner owns the segment
	Sealed bool   // no more records are accepted under Epoch
}

// Append reports whether the log accepts a record from a host that has owned the segment since epoch
// ownedSince.
func (l *SegmentLog) Append(ownedSince uint64) bool { return ownedSince == l.Epoch && !l.Sealed }

// RaiseEpoch fences off all owners of earlier epochs. It returns false, and changes nothing, if the log is
// already at a later epoch.
func (l *SegmentLog) RaiseEpoch(epoch uint64) bool {
	if epoch < l.Epoch {
		return false
	}
	if epoch > l.Epoch {
		l.Epoch = epoch
		l.Sealed = false
	}
	return true
}

// OwnedSegment is a segment that a host believes it owns.
type OwnedSegment struct {
	Name string
	Range
	OwnedSince uint64
	Sealed     bool // the segment is being handed over; non-idempotent requests are not admitted
	Writer     bool // the host is the owner that runs non-idempotent requests
}

// Request is a piece of a shard request, as received by a host.
type Request struct {
	Segment    string
	OwnedSince uint64 // epoch since which the host owns the segment, according to the gatherer's map
	Range
	NonIdempotent bool
}

// Admission is a host's decision on a request.
type Admission int

// Decisions on a request.
const (
	Admitted Admission = iota
	NotOwner           // the request is rejected, which proves that it has not run on this host
)

// Host decides which requests a host admits, based on the segments that it believes it owns. A host that was
// cut off from the network may be wrong about them; the segment's log then refuses the non-idempotent
// requests that the host admits.
type Host struct{ Segments []OwnedSegment }

func (h *Host) find(name string) *OwnedSegment {
	for i := range h.Segments {
		if h.Segments[i].Name == name {
			return &h.Segments[i]
		}
	}
	return nil
}

// Admit decides whether a request may run. An admitted non-idempotent request must also be accepted by the
// segment's log before it runs.
func (h *Host) Admit(r Request) Admission {
	owned := h.find(r.Segment)
	if owned == nil || owned.OwnedSince != r.OwnedSince || !r.Within(owned.Range) {
		return NotOwner
	}
	if r.NonIdempotent && (owned.Sealed || !owned.Writer) {
		return NotOwner
	}
	return Admitted
}

// Acquire makes the host an owner of a segment. It replaces segments of the same name or with common keys,
// unless they are of a later epoch.
func (h *Host) Acquire(segment OwnedSegment) {
	h.Segments = slices.DeleteFunc(h.Segments, func(owned OwnedSegment) bool {
		replaced := owned.Name == segment.Name || owned.Overlaps(segment.Range)
		return replaced && owned.OwnedSince <= segment.OwnedSince
	})
	if h.find(segment.Name) == nil {
		h.Segments = append(h.Segments, segment)
	}
}

// Seal stops the host from admitting non-idempotent requests for a segment. It reports whether the host owns
// the segment.
func (h *Host) Seal(name string) bool {
	owned := h.find(name)
	if owned == nil {
		return false
	}
	owned.Sealed = true
	return true
}

// Release ends the host's ownership of a segment.
func (h *Host) Release(name string) {
	h.Segments = slices.DeleteFunc(h.Segments, func(owned OwnedSegment) bool { return owned.Name == name })
}
