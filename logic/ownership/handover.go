package ownership

import "slices"

// Step is a step of a handover. Each may fail and be repeated. Before Publish the handover can be reverted.
type Step int

// The steps, in order.
const (
	Seal    Step = iota // the old owners admit no more non-idempotent requests
	Fence               // the added segments' logs are raised to the new epoch, those of the removed are closed
	Accept              // the new owners acquire the added segments
	Publish             // gatherers learn the new epoch
	Release             // the old owners release the removed segments
	Done
)

// Handover is a change that is being carried out.
type Handover struct {
	Change
	Previous []Segment // those removed
	Step     Step
}

// NewHandover returns the handover for a change of a map.
func NewHandover(m *Map, c Change) Handover {
	h := Handover{Change: c}
	for _, name := range c.Removed {
		if i := m.Find(name); i >= 0 {
			h.Previous = append(h.Previous, m.Segments[i])
		}
	}
	return h
}

// CanProceed reports whether the step may be passed, given whether all old and all new owners were reached.
// An old owner that is cut off need not be sealed, since the log refuses it from the next step on. New owners
// must be reached: a host that does not know of its ownership answers nothing.
func (h *Handover) CanProceed(oldReached, newReached bool) bool {
	switch h.Step {
	case Seal, Release:
		return true
	case Accept:
		return newReached
	}
	return oldReached || newReached
}

// Revert returns the changes that take back a handover that is not published. In its own epoch nobody owns
// the segments, since a new owner may have accepted them in it. In the next one the old owners have them
// again, under an epoch that the new owners' logs do not take.
func (h *Handover) Revert(m *Map) ([]Change, error) {
	unowned := slices.Clone(h.Previous)
	for i := range unowned {
		unowned[i].Owners = nil
	}
	first, err := m.newChange("undo "+h.Reason+": owned by nobody", h.Removed, unowned...)
	if err != nil {
		return nil, err
	}
	between, err := m.Apply(first)
	if err != nil {
		return nil, err
	}
	second, err := between.newChange("undo "+h.Reason, h.Removed, slices.Clone(h.Previous)...)
	return []Change{first, second}, err
}
