package ownership

import "slices"

// Log is the record of what ran in a segment. It outlives its owner: whoever owns the segment writes to it
// and reads it. The fence is the epoch from which its newest owner holds it; what older ones still write is
// refused.
type Log struct {
	Fence  uint64
	Sealed bool // by the newest owner's order: nothing more is written under this fence
}

// Append reports whether the log takes a record of an owner who holds the segment since an epoch.
func (l *Log) Append(since uint64) bool { return since == l.Fence && !l.Sealed }

// Raise sets the fence for a new owner. It reports whether this is the newest.
func (l *Log) Raise(since uint64) bool {
	if since < l.Fence {
		return false
	}
	if since > l.Fence {
		l.Fence, l.Sealed = since, false
	}
	return true
}

// Owned is a segment that a host believes to own.
type Owned struct {
	Name string
	Range
	Since  uint64
	Sealed bool // it takes no more once-only calls: the segment is being handed over
	Writer bool
}

// Call is a piece as it comes to a host.
type Call struct {
	Segment string
	Since   uint64 // under which the gatherer cut it
	Range
	OnceOnly bool
}

// Answer is what a host does with a call.
type Answer int

// The answers. Moved proves that the call never ran here.
const (
	Run Answer = iota
	Moved
)

// Host decides what a host runs, from what it believes to own. It may be wrong: a host that was cut off
// believes in an epoch that has passed. What it then runs of a once-only index is stopped by the segment's
// log.
type Host struct{ Owns []Owned }

func (h *Host) find(name string) *Owned {
	for i := range h.Owns {
		if h.Owns[i].Name == name {
			return &h.Owns[i]
		}
	}
	return nil
}

// Ask decides about a call. Once-only calls that it lets run still have to be taken by the segment's log.
func (h *Host) Ask(c Call) Answer {
	o := h.find(c.Segment)
	if o == nil || o.Since != c.Since || !c.Within(o.Range) || c.OnceOnly && (o.Sealed || !o.Writer) {
		return Moved
	}
	return Run
}

// Take makes a host own a segment; what it owned under that name, or of its keys, it owns no longer.
func (h *Host) Take(o Owned) {
	h.Owns = slices.DeleteFunc(h.Owns, func(was Owned) bool {
		return was.Since <= o.Since && (was.Name == o.Name || was.Overlaps(o.Range))
	})
	if was := h.find(o.Name); was == nil {
		h.Owns = append(h.Owns, o)
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

// Leave has a host own a segment no longer.
func (h *Host) Leave(name string) {
	h.Owns = slices.DeleteFunc(h.Owns, func(o Owned) bool { return o.Name == name })
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
	Was  []Segment // that go
	Step Step
}

// Begin begins to carry a change of a map out.
func Begin(m *Map, c Change) Handover {
	h := Handover{Change: c}
	for _, name := range c.Out {
		if i := m.Find(name); i >= 0 {
			h.Was = append(h.Was, m.Segments[i])
		}
	}
	return h
}

// May reports whether the next step may go ahead though old owners could not be reached for this one: a
// host that is cut off can't be sealed, and need not be, since its log refuses it from the next step on.
// New owners have to be reached: else its keys would belong to nobody who knows.
func (h *Handover) May(old, new bool) bool {
	switch h.Step {
	case Seal, Release:
		return true
	case Accept:
		return new
	}
	return old || new
}

// Undone are the changes by which a hand-over that was not published is taken back: its epoch is told as
// one in which nobody owns the segments, against a new owner that has accepted them in it, and in the next
// one the old owners have them again, under a fence that the new one's has not.
func (h *Handover) Undone(m *Map) ([]Change, error) {
	none, back := slices.Clone(h.Was), slices.Clone(h.Was)
	for i := range none {
		none[i].Owners = nil
	}
	first, err := m.change("undo "+h.Why+": owned by nobody", h.Out, none...)
	if err != nil {
		return nil, err
	}
	between, err := m.Apply(first)
	if err != nil {
		return nil, err
	}
	second, err := between.change("undo "+h.Why, h.Out, back...)
	return []Change{first, second}, err
}
