package policy

import (
	"slices"
	"strings"
)

// Change is a policy that an operator has proposed.
type Change struct {
	Number        uint64  `json:"number"`
	Base          uint64  `json:"base"` // the epoch that the change was written for
	ID            string  `json:"id"`   // the proposer's idempotency key
	Policy        Policy  `json:"policy"`
	Reason        string  `json:"why,omitempty"`
	ProposedAt    float64 `json:"at,omitempty"`  // for operators: Unix ms by the leader's clock
	Outcome       Outcome `json:"end,omitempty"` // empty while the change is pending
	OutcomeReason string  `json:"word,omitempty"`
}

// Outcome is how a change ended. Its values are those of the protocol.
type Outcome string

// The outcomes of a change.
const (
	Committed Outcome = "decided"
	Abandoned Outcome = "given up"
)

// Member is a registered gatherer. Fallback is the policy that it applies without a lease, KnownKinds lists
// the kinds of entries that its version knows.
type Member struct {
	Name       string `json:"name"`
	Zone       string `json:"zone,omitempty"`
	Fallback   Policy `json:"floor,omitempty"`
	KnownKinds []Kind `json:"knows,omitempty"`
}

// conflicts returns the entries of a policy that the member's fallback policy violates, and the entries
// whose kinds the member does not know.
func (m *Member) conflicts(p Policy) (violations, unknown []Entry) {
	for _, e := range p {
		if !slices.Contains(m.KnownKinds, e.Kind) {
			unknown = append(unknown, e)
		}
	}
	return Violations(m.Fallback, p), unknown
}

// equal reports whether two members have the same properties.
func (m *Member) equal(other *Member) bool {
	return m.Name == other.Name &&
		m.Zone == other.Zone &&
		slices.Equal(m.Fallback, other.Fallback) &&
		slices.Equal(m.KnownKinds, other.KnownKinds)
}

// Record is the state that the policy servers replicate. It is deterministic: the same commands in the same
// order always result in the same record.
type Record struct {
	Epoch          uint64   `json:"epoch"` // number of the committed change, 0 where none was ever committed
	Policy         Policy   `json:"policy,omitempty"`
	LastEnded      uint64   `json:"last"` // the highest number of a change that has ended
	Pending        *Change  `json:"change,omitempty"`
	History        []Change `json:"history,omitempty"` // changes that have ended, oldest first
	TrimmedChanges uint64   `json:"earlier,omitempty"` // count of ended changes older than History
	Members        []Member `json:"members,omitempty"` // ordered by name
}

// Update returns the update that gatherers receive for the record, without a lease.
func (r *Record) Update() Update {
	return Update{Epoch: r.Epoch, Policy: r.Policy, LastEnded: r.LastEnded, Pending: r.Pending}
}

// Find returns the change that was proposed with an ID, nil if there is none.
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

// Registered reports whether a gatherer is registered with exactly these properties.
func (r *Record) Registered(m Member) bool {
	i, found := r.memberIndex(m.Name)
	return found && r.Members[i].equal(&m)
}

// memberIndex returns the index of a member and true, or the index to insert it at and false.
func (r *Record) memberIndex(name string) (i int, found bool) {
	return slices.BinarySearchFunc(r.Members, name, func(m Member, name string) int {
		return strings.Compare(m.Name, name)
	})
}
