// Package policy decides what a gatherer may do while the operators' policy changes across a fleet: what
// a policy permits, what two policies permit in common, when a change commits or is abandoned, and which
// policy is in effect in a gatherer.
//
// A change takes two phases. In the first, each gatherer prepares it by applying the intersection of the
// committed policy and the pending one. The change commits once every gatherer is known to have prepared
// it, or has not renewed its lease for so long that it must have expired. A gatherer without a lease
// applies its fallback policy, which is at least as tight as every policy that can be committed. Therefore no
// gatherer ever does what the policy of another forbids, no query waits for a policy server, and a
// gatherer that was partitioned resumes with the committed policy.
//
// A policy never permits more than the platform's settings do, and a gatherer never goes back to an
// earlier revision. Leases depend on no clock but the local one, and on the rates of two clocks only to a
// stated bound. The alternatives are discussed in docs/design/policy.md.
package policy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Entry is one restriction of a policy. The kind determines what Subject names, and whether Value is used.
type Entry struct {
	Kind    Kind    `json:"kind"`
	Subject string  `json:"of,omitempty"`
	Value   float64 `json:"value,omitempty"`
}

// Policy is a list of restrictions, ordered by kind and subject, each of which occurs once. The empty
// policy permits everything that the platform's settings do.
type Policy []Entry

func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
}

// New returns a policy of the given entries, which may be in any order. It returns an error for two entries
// of the same kind and subject, and for an invalid subject or value. Entries of unknown kinds are kept, as
// other versions may know them.
func New(entries []Entry) (Policy, error) {
	p := Policy(slices.Clone(entries))
	slices.SortFunc(p, compareEntries)
	for i, e := range p {
		if i > 0 && compareEntries(p[i-1], e) == 0 {
			return nil, fmt.Errorf("%s is given twice", e)
		}
		if err := e.validate(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// validate returns an error for an invalid subject or value of a known kind.
func (e Entry) validate() error {
	t, known := traits[e.Kind]
	if !known {
		return nil
	}
	zone, _, slash := strings.Cut(e.Subject, "/")
	switch {
	case t.subject == noSubject && e.Subject != "":
		return fmt.Errorf("%s applies to everything and takes no subject, not %q", e.Kind, e.Subject)
	case t.subject != noSubject && e.Subject == "" && e.Kind != NoHedging:
		return fmt.Errorf("%s lacks its %s", e.Kind, t.subject)
	case e.Kind == Closed && (!slash || zone == ""):
		return fmt.Errorf("%s needs a zone and optionally a host: ZONE/ or ZONE/HOST", e)
	case !t.flag && !(e.Value >= 0 && e.Value <= t.maxValue): // rejects NaN as well
		return fmt.Errorf("%s is not between 0 and %g", e, t.maxValue)
	case t.flag && e.Value != 0:
		return fmt.Errorf("%s takes no value, not %g", e, e.Value)
	}
	return nil
}

// String returns the entry in the form that operators read.
func (e Entry) String() string {
	text := string(e.Kind)
	if e.Subject != "" {
		text += " " + e.Subject
	}
	if !traits[e.Kind].flag {
		text += fmt.Sprintf(" %g", e.Value)
	}
	return text
}

// find returns the entry of a kind and subject, and whether there is one.
func (p Policy) find(kind Kind, subject string) (Entry, bool) {
	i, found := slices.BinarySearchFunc(p, Entry{Kind: kind, Subject: subject}, compareEntries)
	if !found {
		return Entry{}, false
	}
	return p[i], true
}

// Has reports whether a policy has an entry of a kind for a subject, or one that covers all subjects.
func (p Policy) Has(kind Kind, subject string) bool {
	_, found := p.find(kind, subject)
	if !found && kind == NoHedging && subject != "" {
		_, found = p.find(kind, "")
	}
	return found
}

// Value returns the value of the entry of a kind and subject, or a default where there is none.
func (p Policy) Value(kind Kind, subject string, defaultValue float64) float64 {
	if e, found := p.find(kind, subject); found {
		return e.Value
	}
	return defaultValue
}

// Closes reports whether a host is closed, by itself or with its zone.
func (p Policy) Closes(zone, host string) bool {
	return len(p) > 0 && (p.Has(Closed, zone+"/") || p.Has(Closed, zone+"/"+host))
}

// UnknownKinds returns the kinds in a policy that this version does not know.
func (p Policy) UnknownKinds() (kinds []Kind) {
	for _, e := range p {
		if _, known := traits[e.Kind]; !known && !slices.Contains(kinds, e.Kind) {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}
