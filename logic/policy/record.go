package policy

import (
	"fmt"
	"slices"
	"strings"
)

// maxHistory is how many ended changes a record keeps with their policies, or up to a quarter more. What is
// older is counted alone, against a record that grows for as long as its fleet lives.
const maxHistory = 1000

// Change is a policy that was proposed.
type Change struct {
	Number        uint64  `json:"number"`
	Base          uint64  `json:"base"` // the epoch that it was written for
	ID            string  `json:"id"`   // the proposer's own, by which one that is sent twice is known
	Policy        Policy  `json:"policy"`
	Reason        string  `json:"why,omitempty"`
	ProposedAt    float64 `json:"at,omitempty"` // Unix milliseconds by the steward's clock: for people alone
	Outcome       Outcome `json:"end,omitempty"`
	OutcomeReason string  `json:"word,omitempty"` // why it was given up, and whose word that was
}

// Outcome is what became of a change.
type Outcome string

// The ends; a change without one is being prepared.
const (
	Committed Outcome = "decided"
	Abandoned Outcome = "given up"
)

// Member is a gatherer that the stewards know, with what it acts by when it is alone.
type Member struct {
	Name       string `json:"name"`
	Zone       string `json:"zone,omitempty"`
	Fallback   Policy `json:"floor,omitempty"`
	KnownKinds []Kind `json:"knows,omitempty"`
}

// conflicts gives what of a policy the gatherer's floor would not keep, and what of it the gatherer does not
// know.
func (m *Member) conflicts(p Policy) (wrong, unknown []Entry) {
	for _, e := range p {
		if !slices.Contains(m.KnownKinds, e.Kind) {
			unknown = append(unknown, e)
		}
	}
	return Violations(m.Fallback, p), unknown
}

// Record is what the stewards agree on: the policy in force, the change being prepared, those before, and the
// gatherers. The same commands in the same order always make the same record.
type Record struct {
	Epoch          uint64   `json:"epoch"` // number of the change in force, 0 for the platform's settings alone
	Policy         Policy   `json:"policy,omitempty"`
	LastEnded      uint64   `json:"last"` // the highest number that has ended
	Pending        *Change  `json:"change,omitempty"`
	History        []Change `json:"history,omitempty"` // ended ones, the newest last
	TrimmedChanges uint64   `json:"earlier,omitempty"` // ended ones before these
	Members        []Member `json:"members,omitempty"` // by name
}

// Command is one entry of the stewards' log; one of its parts is set.
type Command struct {
	Propose  *Change `json:"propose,omitempty"` // Number and End are the record's
	Commit   uint64  `json:"decide,omitempty"`
	Abandon  uint64  `json:"give-up,omitempty"`
	Reason   string  `json:"word,omitempty"` // of what is given up
	Register *Member `json:"register,omitempty"`
	Forget   string  `json:"forget,omitempty"`
}

// RejectedError is a command that changes nothing, and why.
type RejectedError struct{ Reason string }

func (r RejectedError) Error() string { return r.Reason }

func reject(format string, args ...any) error { return RejectedError{fmt.Sprintf(format, args...)} }

// Apply carries a command out. An error is a Refusal: the record is as it was. Sent twice, a command does
// what it did once. A copy of the record from before stays as it was: what lists hold is never changed in
// place.
func (r *Record) Apply(c Command) (*Change, error) {
	switch {
	case c.Propose != nil:
		return r.propose(*c.Propose)
	case c.Commit > 0 || c.Abandon > 0:
		return r.finish(max(c.Commit, c.Abandon), c.Commit > 0, c.Reason)
	case c.Register != nil:
		return nil, r.register(*c.Register)
	case c.Forget != "":
		i, found := r.memberIndex(c.Forget)
		if !found {
			return nil, reject("no gatherer %s is known", c.Forget)
		}
		r.Members = slices.Delete(slices.Clone(r.Members), i, i+1)
		return nil, nil
	}
	return nil, reject("an empty command")
}

// Update is what a gatherer is told of the record, without a lease.
func (r *Record) Update() Update {
	return Update{Epoch: r.Epoch, Policy: r.Policy, LastEnded: r.LastEnded, Pending: r.Pending}
}

// Find is the change that was proposed under an ID.
func (r *Record) Find(id string) *Change {
	if r.Pending != nil && r.Pending.ID == id {
		return r.Pending
	}
	for i := len(r.History) - 1; i >= 0; i-- {
		if r.History[i].ID == id {
			return &r.History[i]
		}
	}
	return nil
}

func (r *Record) propose(c Change) (*Change, error) {
	if before := r.Find(c.ID); before != nil && c.ID != "" {
		return before, nil
	}
	if r.Pending != nil {
		return nil, reject("change %d is being prepared; wait for its end, or give it up", r.Pending.Number)
	}
	if c.Base != r.Epoch {
		return nil, reject("was written for epoch %d, and epoch %d is in force; see what has changed", c.Base,
			r.Epoch)
	}
	if len(Diff(r.Policy, c.Policy)) == 0 {
		return nil, reject("changes nothing")
	}
	// Whoever is away acts within its floor and can't be told otherwise, so that no policy may forbid what
	// it does.
	for _, m := range r.Members {
		if wrong, unknown := m.conflicts(c.Policy); len(wrong) > 0 {
			return nil, reject("%s, cut off, would do what this forbids: %s; tighten its floor first", m.Name,
				wrong[0])
		} else if len(unknown) > 0 {
			return nil, reject("%s does not know the kind %s; it is of an older version", m.Name, unknown[0].Kind)
		}
	}
	c.Number, c.Outcome, c.OutcomeReason = r.LastEnded+1, "", ""
	r.Pending = &c
	return r.Pending, nil
}

func (r *Record) finish(number uint64, decided bool, word string) (*Change, error) {
	if r.Pending == nil || r.Pending.Number != number {
		for i := range r.History { // sent twice
			if h := &r.History[i]; h.Number == number && (h.Outcome == Committed) == decided {
				return h, nil
			}
		}
		return nil, reject("change %d is not being prepared", number)
	}
	c := *r.Pending
	r.Pending, r.LastEnded = nil, number
	c.Outcome, c.OutcomeReason = Abandoned, word
	if decided {
		c.Outcome, c.OutcomeReason, r.Epoch, r.Policy = Committed, "", number, c.Policy
	}
	r.History = append(r.History, c)
	if over := len(r.History) - maxHistory; over > maxHistory/4 { // not one by one, since each time all that stay are copied
		r.History = slices.Clone(r.History[over:])
		r.TrimmedChanges += uint64(over)
	}
	return &r.History[len(r.History)-1], nil
}

func (r *Record) memberIndex(name string) (int, bool) {
	return slices.BinarySearchFunc(r.Members, name, func(m Member, name string) int {
		return strings.Compare(m.Name, name)
	})
}

// Registered reports whether a gatherer is known just so.
func (r *Record) Registered(m Member) bool {
	i, found := r.memberIndex(m.Name)
	if !found {
		return false
	}
	is := r.Members[i]
	return is.Zone == m.Zone && slices.Equal(is.Fallback, m.Fallback) && slices.Equal(is.KnownKinds, m.KnownKinds)
}

// register takes a gatherer in. One whose floor allows what is forbidden is refused: cut off, it would do
// that.
func (r *Record) register(m Member) error {
	policies := []Policy{r.Policy}
	if r.Pending != nil {
		policies = append(policies, r.Pending.Policy)
	}
	for _, p := range policies {
		if wrong, unknown := m.conflicts(p); len(wrong) > 0 {
			return reject("its floor allows what is forbidden: %s", wrong[0])
		} else if len(unknown) > 0 {
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
