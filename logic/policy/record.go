package policy

import (
	"fmt"
	"slices"
	"strings"
)

// kept is how many ended changes a record keeps with their policies, or up to a quarter more. What is
// older is counted alone, against a record that grows for as long as its fleet lives.
const kept = 1000

// Change is a policy that was proposed.
type Change struct {
	Number uint64  `json:"number"`
	Base   uint64  `json:"base"` // the epoch that it was written for
	ID     string  `json:"id"`   // the proposer's own, by which one that is sent twice is known
	Policy Policy  `json:"policy"`
	Why    string  `json:"why,omitempty"`
	At     float64 `json:"at,omitempty"` // Unix milliseconds by the steward's clock: for people alone
	End    End     `json:"end,omitempty"`
	Word   string  `json:"word,omitempty"` // why it was given up, and whose word that was
}

// End is what became of a change.
type End string

// The ends; a change without one is being prepared.
const (
	Decided End = "decided"
	GivenUp End = "given up"
)

// Member is a gatherer that the stewards know, with what it acts by when it is alone.
type Member struct {
	Name  string `json:"name"`
	Zone  string `json:"zone,omitempty"`
	Floor Policy `json:"floor,omitempty"`
	Knows []Kind `json:"knows,omitempty"`
}

// against gives what of a policy the gatherer's floor would not keep, and what of it the gatherer does not
// know.
func (m *Member) against(p Policy) (wrong, unknown []Entry) {
	for _, e := range p {
		if !slices.Contains(m.Knows, e.Kind) {
			unknown = append(unknown, e)
		}
	}
	return Within(m.Floor, p), unknown
}

// Record is what the stewards agree on: the policy in force, the change being prepared, those before, and the
// gatherers. The same commands in the same order always make the same record.
type Record struct {
	Epoch   uint64   `json:"epoch"` // number of the change in force, 0 for the platform's settings alone
	Policy  Policy   `json:"policy,omitempty"`
	Last    uint64   `json:"last"` // the highest number that has ended
	Change  *Change  `json:"change,omitempty"`
	History []Change `json:"history,omitempty"` // ended ones, the newest last
	Earlier uint64   `json:"earlier,omitempty"` // ended ones before these
	Members []Member `json:"members,omitempty"` // by name
}

// Command is one entry of the stewards' log; one of its parts is set.
type Command struct {
	Propose  *Change `json:"propose,omitempty"` // Number and End are the record's
	Decide   uint64  `json:"decide,omitempty"`
	GiveUp   uint64  `json:"give-up,omitempty"`
	Word     string  `json:"word,omitempty"` // of what is given up
	Register *Member `json:"register,omitempty"`
	Forget   string  `json:"forget,omitempty"`
}

// Refusal is a command that changes nothing, and why.
type Refusal struct{ Text string }

func (r Refusal) Error() string { return r.Text }

func refuse(format string, args ...any) error { return Refusal{fmt.Sprintf(format, args...)} }

// Apply carries a command out. An error is a Refusal: the record is as it was. Sent twice, a command does
// what it did once. A copy of the record from before stays as it was: what lists hold is never changed in
// place.
func (r *Record) Apply(c Command) (*Change, error) {
	switch {
	case c.Propose != nil:
		return r.propose(*c.Propose)
	case c.Decide > 0 || c.GiveUp > 0:
		return r.end(max(c.Decide, c.GiveUp), c.Decide > 0, c.Word)
	case c.Register != nil:
		return nil, r.register(*c.Register)
	case c.Forget != "":
		i, found := r.member(c.Forget)
		if !found {
			return nil, refuse("no gatherer %s is known", c.Forget)
		}
		r.Members = slices.Delete(slices.Clone(r.Members), i, i+1)
		return nil, nil
	}
	return nil, refuse("an empty command")
}

// Word is what a gatherer is told of the record, without a lease.
func (r *Record) Word() Word {
	return Word{Epoch: r.Epoch, Policy: r.Policy, Last: r.Last, Change: r.Change}
}

// Find is the change that was proposed under an ID.
func (r *Record) Find(id string) *Change {
	if r.Change != nil && r.Change.ID == id {
		return r.Change
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
	if r.Change != nil {
		return nil, refuse("change %d is being prepared; wait for its end, or give it up", r.Change.Number)
	}
	if c.Base != r.Epoch {
		return nil, refuse("was written for epoch %d, and epoch %d is in force; see what has changed", c.Base,
			r.Epoch)
	}
	if len(Diff(r.Policy, c.Policy)) == 0 {
		return nil, refuse("changes nothing")
	}
	// Whoever is away acts within its floor and can't be told otherwise, so that no policy may forbid what
	// it does.
	for _, m := range r.Members {
		if wrong, unknown := m.against(c.Policy); len(wrong) > 0 {
			return nil, refuse("%s, cut off, would do what this forbids: %s; tighten its floor first", m.Name,
				wrong[0])
		} else if len(unknown) > 0 {
			return nil, refuse("%s does not know the kind %s; it is of an older version", m.Name, unknown[0].Kind)
		}
	}
	c.Number, c.End, c.Word = r.Last+1, "", ""
	r.Change = &c
	return r.Change, nil
}

func (r *Record) end(number uint64, decided bool, word string) (*Change, error) {
	if r.Change == nil || r.Change.Number != number {
		for i := range r.History { // sent twice
			if h := &r.History[i]; h.Number == number && (h.End == Decided) == decided {
				return h, nil
			}
		}
		return nil, refuse("change %d is not being prepared", number)
	}
	c := *r.Change
	r.Change, r.Last = nil, number
	c.End, c.Word = GivenUp, word
	if decided {
		c.End, c.Word, r.Epoch, r.Policy = Decided, "", number, c.Policy
	}
	r.History = append(r.History, c)
	if over := len(r.History) - kept; over > kept/4 { // not one by one, since each time all that stay are copied
		r.History = slices.Clone(r.History[over:])
		r.Earlier += uint64(over)
	}
	return &r.History[len(r.History)-1], nil
}

func (r *Record) member(name string) (int, bool) {
	return slices.BinarySearchFunc(r.Members, name, func(m Member, name string) int {
		return strings.Compare(m.Name, name)
	})
}

// Known reports whether a gatherer is known just so.
func (r *Record) Known(m Member) bool {
	i, found := r.member(m.Name)
	if !found {
		return false
	}
	is := r.Members[i]
	return is.Zone == m.Zone && slices.Equal(is.Floor, m.Floor) && slices.Equal(is.Knows, m.Knows)
}

// register takes a gatherer in. One whose floor allows what is forbidden is refused: cut off, it would do
// that.
func (r *Record) register(m Member) error {
	policies := []Policy{r.Policy}
	if r.Change != nil {
		policies = append(policies, r.Change.Policy)
	}
	for _, p := range policies {
		if wrong, unknown := m.against(p); len(wrong) > 0 {
			return refuse("its floor allows what is forbidden: %s", wrong[0])
		} else if len(unknown) > 0 {
			return refuse("it does not know the kind %s; it is of an older version", unknown[0].Kind)
		}
	}
	i, found := r.member(m.Name)
	r.Members = slices.Clone(r.Members)
	if found {
		r.Members[i] = m
	} else {
		r.Members = slices.Insert(r.Members, i, m)
	}
	return nil
}
