package ownership

import "slices"

// SegmentLog is the record of what ran in a segment. It outlives the owners, which write and read it. It
// takes nothing under an epoch other than that of the newest owner.
type SegmentLog struct {
	Epoch  uint64
	Sealed bool // by the newest owner: it takes nothing more under this epoch
}

// Append reports whether the log takes a record of a host that owns the segment since an epoch.
func (l *SegmentLog) Append(ownedSince uint64) bool { return ownedSince == l.Epoch && !l.Sealed }

// RaiseEpoch fences off the owners before a new one. It reports whether that is the newest.
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

// OwnedSegment is a segment that a host believes to own.
type OwnedSegment struct {
	Name string
	Range
	OwnedSince uint64
	Sealed     bool // it is being handed over, and takes no non-idempotent requests
	Writer     bool
}

// Request is a piece of a shard request as it arrives at a host.
type Request struct {
	Segment    string
	OwnedSince uint64 // by the gatherer's map
	Range
	NonIdempotent bool
}

// Admission is what a host does with a request.
type Admission int

// The admissions.
const (
	Admitted Admission = iota
	NotOwner           // it proves that the request has not run here
)

// Host decides which requests a host admits, by what it believes to own. A host that was cut off may be
// wrong. What it then admits of non-idempotent requests is refused by the segment's log.
type Host struct{ Segments []OwnedSegment }

func (h *Host) find(name string) *OwnedSegment {
	for i := range h.Segments {
		if h.Segments[i].Name == name {
			return &h.Segments[i]
		}
	}
	return nil
}

// Admit decides on a request. A non-idempotent one that is admitted still needs the segment's log to take it.
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

// Acquire makes the host an owner of a segment, in place of what it owned under that name or of its keys.
func (h *Host) Acquire(segment OwnedSegment) {
	h.Segments = slices.DeleteFunc(h.Segments, func(owned OwnedSegment) bool {
		replaced := owned.Name == segment.Name || owned.Overlaps(segment.Range)
		return replaced && owned.OwnedSince <= segment.OwnedSince
	})
	if h.find(segment.Name) == nil {
		h.Segments = append(h.Segments, segment)
	}
}

// Seal has the host admit no more non-idempotent requests of a segment. It reports whether the host owns it.
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
