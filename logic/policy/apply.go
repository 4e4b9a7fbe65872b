package policy

import (
	"fmt"
	"slices"
)

// A record keeps maxHistory ended changes with their policies. It keeps up to maxHistoryExcess more, so that
// the history is not copied after each change. Older changes are only counted, as a record lives as long as
// its fleet.
const (
	maxHistory       = 1000
	maxHistoryExcess = maxHistory / 4
)

// Command is an entry of the replicated log. One of Propose, Commit, Abandon, Register and Forget is set.
type Command struct {
	Propose  *Change `json:"propose,omitempty"` // Apply sets its Number and Outcome
	Commit   uint64  `json:"decide,omitempty"`  // number of the change to commit
	Abandon  uint64  `json:"give-up,omitempty"` // number of the change to abandon
	Reason   string  `json:"word,omitempty"`    // why the change is abandoned
	Register *Member `json:"register,omitempty"`
	Forget   string  `json:"forget,omitempty"` // name of the member to remove
}

// RejectedError reports a command that was rejected and changed nothing.
type RejectedError struct{ Reason string }

// Error implements error.
func (e RejectedError) Error() string { return e.Reason }

func reject(format string, args ...any) error { return RejectedError{fmt.Sprintf(format, args...)} }

// Apply executes a command and returns the change that it concerns, if any. An error is always a
// RejectedError, and the record is then unchanged. Commands are idempotent. Slices are never modified in
// place, so that a shallow copy of the record remains valid.
func (r *Record) Apply(c Command) (*Change, error) {
	switch {
	case c.Propose != nil:
		return r.propose(*c.Propose)
	case c.Commit > 0:
		return r.finish(max(c.Commit, c.Abandon), Committed, "")
	case c.Abandon > 0:
		return r.finish(c.Abandon, Abandoned, c.Reason)
	case c.Register != nil:
		return nil, r.register(*c.Register)
	case c.Forget != "":
		return nil, r.forget(c.Forget)
	}
	return nil, reject("the command is empty")
}

// propose makes a change the pending one. A repeated proposal returns the earlier change.
func (r *Record) propose(c Change) (*Change, error) {
	if earlier := r.Find(c.ID); earlier != nil && c.ID != "" {
		return earlier, nil
	}
	switch {
	case r.Pending != nil:
		return nil, reject("change %d is being prepared; wait for its end, or give it up", r.Pending.Number)
	case c.Base != r.Epoch:
		return nil, reject("was written for epoch %d, and epoch %d is in force; see what has changed", c.Base,
			r.Epoch)
	case len(Diff(r.Policy, c.Policy)) == 0:
		return nil, reject("changes nothing")
	}
	// A member without a lease applies its fallback policy and may be unreachable, so no policy may forbid
	// what a fallback policy permits.
	for _, m := range r.Members {
		violations, unknown := m.conflicts(c.Policy)
		if len(violations) > 0 {
			return nil, reject("if %s loses contact, its fallback policy permits what this change forbids: %s; "+
				"tighten its floor first", m.Name, violations[0])
		}
		if len(unknown) > 0 {
			return nil, reject("%s does not know the kind %s; it is of an older version", m.Name,
				unknown[0].Kind)
		}
	}
	c.Number = r.LastEnded + 1
	c.Outcome = ""
	c.OutcomeReason = ""
	r.Pending = &c
	return r.Pending, nil
}

// finish ends the pending change with an outcome.
func (r *Record) finish(number uint64, outcome Outcome, reason string) (*Change, error) {
	if r.Pending == nil || r.Pending.Number != number {
		for i := range r.History { // the command may be a duplicate
			if h := &r.History[i]; h.Number == number && h.Outcome == outcome {
				return h, nil
			}
		}
		return nil, reject("change %d is not being prepared", number)
	}
	c := *r.Pending
	c.Outcome = outcome
	c.OutcomeReason = reason
	r.Pending = nil
	r.LastEnded = number
	if outcome == Committed {
		r.Epoch = number
		r.Policy = c.Policy
	}
	r.History = append(r.History, c)
	if excess := len(r.History) - maxHistory; excess > maxHistoryExcess {
		r.History = slices.Clone(r.History[excess:])
		r.TrimmedChanges += uint64(excess)
	}
	return &r.History[len(r.History)-1], nil
}

// register adds or replaces a member. A member whose fallback policy permits what the committed or the
// pending policy forbids is rejected, since it would do that without a lease.
func (r *Record) register(m Member) error {
	policies := []Policy{r.Policy}
	if r.Pending != nil {
		policies = append(policies, r.Pending.Policy)
	}
	for _, p := range policies {
		violations, unknown := m.conflicts(p)
		if len(violations) > 0 {
			return reject("its floor allows what is forbidden: %s", violations[0])
		}
		if len(unknown) > 0 {
			return reject("it does not know the kind %s; it is of an older version", unknown[0].Kind)
		}
	}
	i, found := r.memberIndex(m.Name)
	r.Members = slices.Clone(r.Members)
	if found {
		r.Members[i] = m
	} else {
		r.Members = slices.Insert(r.Members, i, m)
	}
	return nil
}

// forget removes a member.
func (r *Record) forget(name string) error {
	i, found := r.memberIndex(name)
	if !found {
		return reject("no gatherer %s is known", name)
	}
	r.Members = slices.Delete(slices.Clone(r.Members), i, i+1)
	return nil
}
