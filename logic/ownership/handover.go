package ownership

import "slices"

// Step is a step of a handover. Each step may fail and be repeated. Until Publish is done the handover can be
// reverted.
type Step int

// The steps, in order.
const (
	// Seal stops the old owners from admitting non-idempotent requests.
	Seal Step = iota
	// Fence raises the logs of the added segments to the new epoch and closes the logs of the removed ones.
	Fence
	// Accept makes the new owners acquire the added segments.
	Accept
	// Publish announces the new epoch to the gatherers.
	Publish
	// Release makes the old owners release the removed segments.
	Release
	// Done means that all steps are complete.
	Done
)

// Handover is a change in progress.
type Handover struct {
	Change
	Previous []Segment // the removed segments as they were before the change
	Step     Step
}

// NewHandover returns a handover that carries out a change to a map, at its first step.
func NewHandover(m *Map, c Change) Handover {
	h := Handover{Change: c}
	for _, name := range c.Removed {
		if i := m.Find(name); i >= 0 {
			h.Previous = append(h.Previous, m.Segments[i])
		}
	}
	return h
}

// CanProceed reports whether the handover may go on to the next step, given whether all old and all new
// owners were reached. An unreachable old owner need not be sealed, since the log refuses its records from
// the next step on. New owners must be reached, since a host that does not know of its ownership answers no
// requests.
func (h *Handover) CanProceed(oldReached, newReached bool) bool {
	switch h.Step {
	case Seal, Release:
		return true
	case Accept:
		return newReached
	}
	return oldReached || newReached
}

// Revert returns the two changes that undo a handover that is not published. The first leaves the segments
// without owners in the handover's own epoch, since a new owner may already have accepted them in that epoch.
// The second returns them to the old owners in the next epoch, in which their logs take no records from the
// new owners.
func (h *Handover) Revert(m *Map) ([]Change, error) {
	withoutOwners := slices.Clone(h.Previous)
	for i := range withoutOwners {
		withoutOwners[i].Owners = nil
	}
	disown, err := m.newChange("undo "+h.Reason+": owned by nobody", h.Removed, withoutOwners...)
	if err != nil {
		return nil, err
	}
	disowned, err := m.Apply(disown)
	if err != nil {
		return nil, err
	}
	restore, err := disowned.newChange("undo "+h.Reason, h.Removed, slices.Clone(h.Previous)...)
	return []Change{disown, restore}, err
}
