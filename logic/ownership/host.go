package ownership

import "slices"

// SegmentLog is the record of what ran in a segment. It outlives its owner: whoever owns the segment writes to it
// and reads it. The fence is the epoch from which its newest owner holds it; what older ones still write is
// refused.
type SegmentLog struct {
	Epoch  uint64
	Sealed bool // by the newest owner's order: nothing more is written under this fence
}

// Append reports whether the log takes a record of an owner who holds the segment since an epoch.
func (l *SegmentLog) Append(since uint64) bool { return since == l.Epoch && !l.Sealed }

// RaiseEpoch sets the fence for a new owner. It reports whether this is the newest.
func (l *SegmentLog) RaiseEpoch(since uint64) bool {
	if since < l.Epoch {
		return false
	}
	if since > l.Epoch {
		l.Epoch, l.Sealed = since, false
	}
	return true
}

// OwnedSegment is a segment that a host believes to own.
type OwnedSegment struct {
	Name string
	Range
	OwnedSince uint64
	Sealed     bool // it takes no more once-only calls: the segment is being handed over
	Writer     bool
}

// Request is a piece as it comes to a host.
type Request struct {
	Segment    string
	OwnedSince uint64 // under which the gatherer cut it
	Range
	NonIdempotent bool
}

// Admission is what a host does with a call.
type Admission int

// The answers. Moved proves that the call never ran here.
const (
	Admitted Admission = iota
	NotOwner
)

// Host decides what a host runs, from what it believes to own. It may be wrong: a host that was cut off
// believes in an epoch that has passed. What it then runs of a once-only index is stopped by the segment's
// log.
type Host struct{ Segments []OwnedSegment }

func (h *Host) find(name string) *OwnedSegment {
	for i := range h.Segments {
		if h.Segments[i].Name == name {
			return &h.Segments[i]
		}
	}
	return nil
}

// Admit decides about a call. Once-only calls that it lets run still have to be taken by the segment's log.
func (h *Host) Admit(c Request) Admission {
	o := h.find(c.Segment)
	if o == nil || o.OwnedSince != c.OwnedSince || !c.Within(o.Range) || c.NonIdempotent && (o.Sealed || !o.Writer) {
		return NotOwner
	}
	return Admitted
}

// Acquire makes a host own a segment; what it owned under that name, or of its keys, it owns no longer.
func (h *Host) Acquire(o OwnedSegment) {
	h.Segments = slices.DeleteFunc(h.Segments, func(was OwnedSegment) bool {
		return was.OwnedSince <= o.OwnedSince && (was.Name == o.Name || was.Overlaps(o.Range))
	})
	if was := h.find(o.Name); was == nil {
		h.Segments = append(h.Segments, o)
	}
}

// Seal has a host take no more once-only calls of a segment, before it is handed over.
func (h *Host) Seal(name string) bool {
	o := h.find(name)
	if o != nil {
		o.Sealed = true
	}
	return o != nil
}

// Release has a host own a segment no longer.
func (h *Host) Release(name string) {
	h.Segments = slices.DeleteFunc(h.Segments, func(o OwnedSegment) bool { return o.Name == name })
}

// Step is a step of a hand-over. They are taken in this order, each of which may fail and be taken again;
// up to Publish the hand-over can be undone, by handing the segments back to who had them in a further
// epoch.
type Step int

// The steps.
const (
	Seal    Step = iota // the old owners take no more once-only calls
	Fence               // the logs of what comes are raised to the new epoch, those of what goes are closed
	Accept              // the new owners own what comes
	Publish             // the map of the new epoch is told to gatherers
	Release             // the old owners own it no longer
	Done
)

// Handover is a change that is being carried out.
type Handover struct {
	Change
	Previous []Segment // that go
	Step     Step
}

// NewHandover begins to carry a change of a map out.
func NewHandover(m *Map, c Change) Handover {
	h := Handover{Change: c}
	for _, name := range c.Removed {
		if i := m.Find(name); i >= 0 {
			h.Previous = append(h.Previous, m.Segments[i])
		}
	}
	return h
}

// CanProceed reports whether the next step may go ahead though old owners could not be reached for this one: a
// host that is cut off can't be sealed, and need not be, since its log refuses it from the next step on.
// New owners have to be reached: else its keys would belong to nobody who knows.
func (h *Handover) CanProceed(old, new bool) bool {
	switch h.Step {
	case Seal, Release:
		return true
	case Accept:
		return new
	}
	return old || new
}

// Revert are the changes by which a hand-over that was not published is taken back: its epoch is told as
// one in which nobody owns the segments, against a new owner that has accepted them in it, and in the next
// one the old owners have them again, under a fence that the new one's has not.
func (h *Handover) Revert(m *Map) ([]Change, error) {
	none, back := slices.Clone(h.Previous), slices.Clone(h.Previous)
	for i := range none {
		none[i].Owners = nil
	}
	first, err := m.newChange("undo "+h.Reason+": owned by nobody", h.Removed, none...)
	if err != nil {
		return nil, err
	}
	between, err := m.Apply(first)
	if err != nil {
		return nil, err
	}
	second, err := between.newChange("undo "+h.Reason, h.Removed, back...)
	return []Change{first, second}, err
}
