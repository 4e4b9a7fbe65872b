// Package policy decides what a gatherer may do while the operators' policy changes under a whole
// fleet: what a policy says and what both of two allow, when a change is prepared, decided or given
// up, and what a gatherer acts by in each moment from what it has heard and when.
//
// A change is first prepared: each gatherer acts within both policies, the one in force and the one to
// come, by their intersection. It is decided once every gatherer is known to do so, or to have heard
// nothing for so long that it acts within its floor, which every policy has to allow. So no two
// gatherers ever act by policies of which one forbids what the other does; nobody is waited for to
// serve; and whoever is away comes back within what holds.
//
// It never makes anything looser than the platform's settings; never goes back an epoch; and never
// counts on a clock but its own, and on that only to run as fast as others' within a stated bound. Why
// so, with what was weighed: docs/design/policy.md.
package policy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind is what an entry of a policy is about.
type Kind string

// The kinds. What a gatherer does not know it refuses, and a change with it is given up.
const (
	NonIdempotent  Kind = "once-only"    // lookups of an index may have an effect: no call that may have run again
	NoHedging      Kind = "no-copies"    // no two calls of a part at once, of an index or of all
	MinShare       Kind = "least"        // least share of an index, under which nothing is answered
	RetryShare     Kind = "budget-share" // further part calls, of the lookups and parts taken
	RetryAllowance Kind = "budget-free"  // and so many more
	WarmUpShare    Kind = "cold"         // part of what the rule allows that cold servers are sent
	Closed         Kind = "closed"       // ZONE/ or ZONE/HOST: nothing new is sent there
	HostWeight     Kind = "turns"        // HOST: part of its plain turns that it gets
)

// kindTraits is what is known of a kind.
type kindTraits struct {
	subject         string // what Of names, for people: index, place, host, or nothing
	flag            bool   // it has no value: that it is there is all
	higherIsTighter bool   // a greater value is tighter
	advisory        bool   // no rule hangs on it: a floor need not have it
	maxValue        float64
	tightenText     string // words of a change that tightens, one that loosens and one that takes it away
	loosenText      string
	removeText      string
}

var traits = map[Kind]kindTraits{
	NonIdempotent: {subject: "index", flag: true, tightenText: "is once-only now", removeText: "is as the platform " +
		"has it again"},
	NoHedging: {subject: "index", flag: true, tightenText: "second copies no longer allowed",
		removeText: "second copies allowed again as the platform has it"},
	MinShare: {subject: "index", higherIsTighter: true, maxValue: 1, tightenText: "least share raised",
		loosenText: "least share lowered", removeText: "least share is the platform's again"},
	RetryShare: {maxValue: 1, tightenText: "budget of further calls lowered", loosenText: "budget of further calls raised",
		removeText: "budget of further calls is the platform's again"},
	RetryAllowance: {maxValue: 1e6, tightenText: "free further calls lowered", loosenText: "free further calls raised",
		removeText: "free further calls are the platform's again"},
	WarmUpShare: {maxValue: 1, tightenText: "cold servers are sent less", loosenText: "cold servers are sent more",
		removeText: "cold servers are sent what the rule allows again"},
	Closed: {subject: "place", flag: true, tightenText: "closed", removeText: "open again"},
	HostWeight: {subject: "host", advisory: true, maxValue: 1, tightenText: "gets fewer turns", loosenText: "gets more turns",
		removeText: "gets its plain turns again"},
}

// Kinds are those that this text knows, in order.
func Kinds() []Kind {
	return []Kind{Closed, WarmUpShare, RetryAllowance, MinShare, NoHedging, NonIdempotent, RetryShare, HostWeight}
}

// Entry is one line of a policy.
type Entry struct {
	Kind    Kind    `json:"kind"`
	Subject string  `json:"of,omitempty"`
	Value   float64 `json:"value,omitempty"`
}

// Policy is what an operator allows less than the platform does, in the order of kind and subject, each
// once. The empty one allows what the platform does.
type Policy []Entry

// compareEntries is a policy's order.
func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
}

// New puts entries into a policy's order. Two of one kind and subject are an error, and so is what no
// gatherer could keep; unknown kinds are left in: others may know them.
func New(entries []Entry) (Policy, error) {
	p := Policy(slices.Clone(entries))
	slices.SortFunc(p, compareEntries)
	for i, e := range p {
		if i > 0 && p[i-1].Kind == e.Kind && p[i-1].Subject == e.Subject {
			return nil, fmt.Errorf("%s is said twice", e)
		}
		t, known := traits[e.Kind]
		switch zone, _, slash := strings.Cut(e.Subject, "/"); {
		case !known:
		case t.subject == "" && e.Subject != "":
			return nil, fmt.Errorf("%s is of all, not of %q", e.Kind, e.Subject)
		case t.subject != "" && e.Subject == "" && e.Kind != NoHedging:
			return nil, fmt.Errorf("%s lacks its %s", e.Kind, t.subject)
		case e.Kind == Closed && (!slash || zone == ""):
			return nil, fmt.Errorf("%s wants a zone and maybe a host: ZONE/ or ZONE/HOST", e)
		case !t.flag && !(e.Value >= 0 && e.Value <= t.maxValue): // NaN as well
			return nil, fmt.Errorf("%s is not within 0 and %g", e, t.maxValue)
		case t.flag && e.Value != 0:
			return nil, fmt.Errorf("%s has no value", e)
		}
	}
	return p, nil
}

// String is an entry as people read it.
func (e Entry) String() string {
	words := string(e.Kind)
	if e.Subject != "" {
		words += " " + e.Subject
	}
	if !traits[e.Kind].flag {
		words += fmt.Sprintf(" %g", e.Value)
	}
	return words
}

// find is the entry of a kind and subject.
func (p Policy) find(kind Kind, of string) (Entry, bool) {
	i, found := slices.BinarySearchFunc(p, Entry{Kind: kind, Subject: of}, compareEntries)
	if !found {
		return Entry{}, false
	}
	return p[i], true
}

// Has reports whether a mark is set of a subject, or of all.
func (p Policy) Has(kind Kind, of string) bool {
	_, found := p.find(kind, of)
	if !found && kind == NoHedging && of != "" {
		_, found = p.find(kind, "")
	}
	return found
}

// Value is the value of a kind and subject; otherwise where none is said.
func (p Policy) Value(kind Kind, of string, otherwise float64) float64 {
	if e, found := p.find(kind, of); found {
		return e.Value
	}
	return otherwise
}

// Closes reports whether a server is closed, or its whole zone.
func (p Policy) Closes(zone, host string) bool {
	return len(p) > 0 && (p.Has(Closed, zone+"/") || p.Has(Closed, zone+"/"+host))
}

// UnknownKinds are the kinds that this text does not know.
func (p Policy) UnknownKinds() (kinds []Kind) {
	for _, e := range p {
		if _, known := traits[e.Kind]; !known && !slices.Contains(kinds, e.Kind) {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}

// tighter is the tighter of two values of a kind.
func tighter(kind Kind, a, b float64) float64 {
	if traits[kind].higherIsTighter {
		return max(a, b)
	}
	return min(a, b)
}

// Intersect is what both of two policies allow. Every kind has one: where the tighter of two values can't be
// told there could be no time between two policies, and such a kind is not to be had.
func Intersect(p, q Policy) Policy {
	both := make(Policy, 0, len(p)+len(q))
	for i, j := 0, 0; i < len(p) || j < len(q); {
		order := -1
		switch {
		case i == len(p):
			order = 1
		case j < len(q):
			order = compareEntries(p[i], q[j])
		}
		switch {
		case order < 0:
			both = append(both, p[i])
			i++
		case order > 0:
			both = append(both, q[j])
			j++
		default:
			e := p[i]
			e.Value = tighter(e.Kind, e.Value, q[j].Value)
			both = append(both, e)
			i, j = i+1, j+1
		}
	}
	return both
}

// Violations gives what p does that q forbids, nothing where all that p allows q allows as well. Soft kinds
// are left out, since no rule hangs on them.
func Violations(p, q Policy) (wrong []Entry) {
	for _, e := range q {
		if traits[e.Kind].advisory {
			continue
		}
		own, found := p.find(e.Kind, e.Subject)
		switch zone, _, _ := strings.Cut(e.Subject, "/"); {
		case e.Kind == Closed && p.Has(Closed, zone+"/"), e.Kind == NoHedging && p.Has(NoHedging, ""):
		case !found, !traits[e.Kind].flag && tighter(e.Kind, own.Value, e.Value) != own.Value:
			wrong = append(wrong, e)
		}
	}
	return wrong
}

// Difference is one difference of two policies in words.
type Difference struct {
	Tightens bool
	Text     string
}

// Diff says what a change from one policy to another means.
func Diff(from, to Policy) (lines []Difference) {
	say := func(e Entry, tightens bool, text string) {
		subject := ""
		switch traits[e.Kind].subject {
		case "index":
			if subject = "all indexes"; e.Subject != "" {
				subject = "index " + e.Subject
			}
			subject += ": "
		case "place":
			if subject = "host " + e.Subject + ": "; strings.HasSuffix(e.Subject, "/") {
				subject = "zone " + strings.TrimSuffix(e.Subject, "/") + ": "
			}
		case "host":
			subject = "host " + e.Subject + ": "
		}
		lines = append(lines, Difference{tightens, subject + text})
	}
	for _, e := range Intersect(from, to) { // each kind and subject that either has, once
		t := traits[e.Kind]
		old, had := from.find(e.Kind, e.Subject)
		now, has := to.find(e.Kind, e.Subject)
		value := ""
		if !t.flag {
			value = fmt.Sprintf(" to %g", now.Value)
		}
		switch {
		case t.tightenText == "" && (had != has || old.Value != now.Value):
			say(e, true, fmt.Sprintf("%s: of a kind that is not known here", e))
		case had && !has:
			say(e, false, t.removeText)
		case !had:
			say(e, true, t.tightenText+value)
		case old.Value == now.Value:
		case tighter(e.Kind, old.Value, now.Value) == now.Value:
			say(e, true, fmt.Sprintf("%s from %g%s", t.tightenText, old.Value, value))
		default:
			say(e, false, fmt.Sprintf("%s from %g%s", t.loosenText, old.Value, value))
		}
	}
	return lines
}
