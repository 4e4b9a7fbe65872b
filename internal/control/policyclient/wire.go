package policyclient

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"yokeroute/logic/policy"
)

// Form is the number of the documents between gatherers, operators and stewards. A reader refuses another number; words
// that it does not know it skips, so that a later version may add some under the same number. What an older reader
// must not skip is a kind of entry, which it refuses by name.
const Form = 1

// Bounds of a document, against reading without end from what is no steward or gatherer.
const (
	MostBytes   = 4 << 20
	mostEntries = 10_000
)

// Paths at a steward.
const (
	AskPath     = "/policy/ask"     // gatherers
	StatusPath  = "/policy/status"  // operators
	ProposePath = "/policy/propose" //
	EndPath     = "/policy/give-up"
	ForgetPath  = "/policy/forget"
	StewardPath = "/policy/steward"
	BootPath    = "/policy/boot" // stewards among themselves
)

// Ask is a gatherer's question.
type Ask struct {
	Form  int              `json:"policy"`
	Hello policy.Heartbeat `json:"hello"`
	Wait  float64          `json:"wait"` // milliseconds that the answer may take where nothing is new
}

// Answer is a steward's to whatever it is asked; what does not apply is empty.
type Answer struct {
	Form   int            `json:"policy"`
	Word   *policy.Update `json:"word,omitempty"`
	Leader string         `json:"leader,omitempty"` // who leads, where the one asked does not
	Error  string         `json:"error,omitempty"`
	Change *policy.Change `json:"change,omitempty"`
	Status *Status        `json:"status,omitempty"`
	Boot   uint64         `json:"boot,omitempty"`
}

// Status is what a steward that leads knows.
type Status struct {
	Steward    string                `json:"steward"`
	Record     policy.Record         `json:"record"`
	Standings  []policy.MemberStatus `json:"standings"`
	Everywhere bool                  `json:"everywhere"`
	Missing    []string              `json:"missing,omitempty"`
	Waits      string                `json:"waits,omitempty"` // for what the change that is being prepared waits
}

// Proposal is an operator's.
type Proposal struct {
	Form   int           `json:"policy"`
	Change policy.Change `json:"change"`
}

// Name names a change or a gatherer.
type Name struct {
	Form   int    `json:"policy"`
	Number uint64 `json:"number,omitempty"`
	Name   string `json:"name,omitempty"`
	Why    string `json:"why,omitempty"`
	Out    bool   `json:"out,omitempty"` // of a steward: it is taken out, not in
}

// decode reads one document of this form.
func decode(from io.Reader, into any) error {
	text, err := io.ReadAll(io.LimitReader(from, MostBytes+1))
	if err != nil {
		return err
	}
	if len(text) > MostBytes {
		return fmt.Errorf("is over %d bytes long", MostBytes)
	}
	var head struct {
		Form int `json:"policy"`
	}
	if err := json.Unmarshal(text, &head); err != nil {
		return err
	}
	if head.Form != Form {
		return fmt.Errorf("is of the form %d, this version takes %d", head.Form, Form)
	}
	return json.Unmarshal(text, into)
}

// whole checks that a policy that came in is one: in order, each entry once and within its bounds.
func whole(where string, p policy.Policy) error {
	if len(p) > mostEntries {
		return fmt.Errorf("%s: %d entries, at most %d can be", where, len(p), mostEntries)
	}
	ordered, err := policy.New(p)
	if err != nil {
		return fmt.Errorf("%s: %w", where, err)
	}
	if !slices.Equal(ordered, p) {
		return fmt.Errorf("%s: its entries are out of order", where)
	}
	return nil
}

// ReadAsk reads a gatherer's question.
func ReadAsk(from io.Reader) (*Ask, error) {
	a := &Ask{}
	if err := decode(from, a); err != nil {
		return nil, err
	}
	switch h := &a.Hello; {
	case h.Name == "" || len(h.Name) > 200:
		return nil, fmt.Errorf("hello.name: wants 1 to 200 bytes")
	case h.Incarnation == "" || len(h.Incarnation) > 200:
		return nil, fmt.Errorf("hello.process: wants 1 to 200 bytes")
	case len(h.KnownKinds) > 100 || len(h.RefusalReason) > 2000 || len(h.Version) > 200 || len(h.Zone) > 200:
		return nil, fmt.Errorf("hello: a text or list is too long")
	case !(a.Wait >= 0 && a.Wait <= 60_000):
		return nil, fmt.Errorf("wait: %g ms, 0 to 60000 can be", a.Wait)
	}
	return a, whole("hello.floor", a.Hello.Fallback)
}

// ReadAnswer reads a steward's answer.
func ReadAnswer(from io.Reader) (*Answer, error) {
	a := &Answer{}
	if err := decode(from, a); err != nil {
		return nil, err
	}
	if w := a.Word; w != nil {
		if err := whole("word.policy", w.Policy); err != nil {
			return nil, err
		}
		if !(w.Lease >= 0 && w.Lease <= 3_600_000) {
			return nil, fmt.Errorf("word.lease: %g ms, at most an hour can be", w.Lease)
		}
		switch {
		case w.LastEnded < w.Epoch:
			return nil, fmt.Errorf("word.last: %d is before epoch %d", w.LastEnded, w.Epoch)
		case w.Pending != nil && w.Pending.Number != w.LastEnded+1:
			return nil, fmt.Errorf("word.change: %d does not follow %d", w.Pending.Number, w.LastEnded)
		case w.Pending != nil:
			return a, whole("word.change", w.Pending.Policy)
		}
	}
	return a, nil
}

// ReadProposal reads an operator's.
func ReadProposal(from io.Reader) (*Proposal, error) {
	p := &Proposal{}
	if err := decode(from, p); err != nil {
		return nil, err
	}
	if p.Change.ID == "" || len(p.Change.ID) > 200 || len(p.Change.Reason) > 2000 {
		return nil, fmt.Errorf("change: wants an id, and no text over 2000 bytes")
	}
	return p, whole("change.policy", p.Change.Policy)
}

// ReadName reads what names a change or a gatherer.
func ReadName(from io.Reader) (*Name, error) {
	n := &Name{}
	return n, decode(from, n)
}
