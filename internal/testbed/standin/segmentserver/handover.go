package segmentserver

import (
	"errors"
	"fmt"
	"slices"

	"yokeroute/logic/ownership"
)

// RunUntil runs a handover's steps up to, and without, the given one. Unreachable previous owners are passed over if
// that is safe. An error names the step that failed; the handover can then be continued or reverted.
func (a *Authority) RunUntil(h *ownership.Handover, until ownership.Step) error {
	for h.Step < until {
		previousErr, nextErr, err := a.runStep(h)
		if err != nil {
			return err
		}
		if !h.CanProceed(previousErr == nil, nextErr == nil) {
			return fmt.Errorf("step %d of %s: %w", h.Step, h.Reason, errors.Join(previousErr, nextErr))
		}
		h.Step++
	}
	return nil
}

// runStep runs a handover's step. It returns the errors of the previous and of the next owners apart, as only some
// steps need the previous ones.
func (a *Authority) runStep(h *ownership.Handover) (previousErr, nextErr, err error) {
	switch h.Step {
	case ownership.Seal:
		previousErr = a.seal(h.Previous)
	case ownership.Fence:
		a.Logs.raiseEpochs(h.Change)
	case ownership.Accept:
		for _, s := range h.Added {
			nextErr = errors.Join(nextErr, a.acquire(s))
		}
	case ownership.Publish:
		err = a.Publish(h.Change)
	case ownership.Release:
		previousErr = a.release(h.Previous)
	}
	return previousErr, nextErr, err
}

// seal has the owners of segments seal them.
func (a *Authority) seal(previous []ownership.Segment) (err error) {
	for _, s := range previous {
		for _, name := range s.Owners {
			err = errors.Join(err, a.hosts[name].command(func(owned *ownership.Host) { owned.Seal(s.Name) }))
		}
	}
	return err
}

// acquire has the owners of a segment acquire it.
func (a *Authority) acquire(s ownership.Segment) error {
	var errs []error
	for i, name := range s.Owners {
		h := a.hosts[name]
		if h == nil {
			return fmt.Errorf("no host %q", name)
		}
		segment := ownership.OwnedSegment{Name: s.Name, Range: s.Range, OwnedSince: s.OwnedSince, Writer: i == 0}
		errs = append(errs, h.command(func(owned *ownership.Host) { owned.Acquire(segment) }))
	}
	return errors.Join(errs...)
}

// release has the owners of segments release those that the published map does not give them.
func (a *Authority) release(previous []ownership.Segment) (err error) {
	published := a.Map()
	for _, s := range previous {
		for _, name := range s.Owners {
			if i := published.Find(s.Name); i >= 0 && slices.Contains(published.Segments[i].Owners, name) {
				continue
			}
			err = errors.Join(err, a.hosts[name].command(func(owned *ownership.Host) { owned.Release(s.Name) }))
		}
	}
	return err
}

// Revert reverts a handover that was not published.
func (a *Authority) Revert(h *ownership.Handover) error {
	changes, err := h.Revert(a.Map())
	if err != nil {
		return err
	}
	for _, c := range changes {
		reverting := ownership.NewHandover(a.Map(), c)
		reverting.Step = ownership.Fence
		if err := a.RunUntil(&reverting, ownership.Done); err != nil {
			return err
		}
	}
	return nil
}
