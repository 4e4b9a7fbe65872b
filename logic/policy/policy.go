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
	OnceOnly Kind = "once-only"    // lookups of an index may have an effect: no call that may have run again
	NoCopies Kind = "no-copies"    // no two calls of a part at once, of an index or of all
	Least    Kind = "least"        // least share of an index, under which nothing is answered
	Share    Kind = "budget-share" // further part calls, of the lookups and parts taken
	Free     Kind = "budget-free"  // and so many more
	Cold     Kind = "cold"         // part of what the rule allows that cold servers are sent
	Closed   Kind = "closed"       // ZONE/ or ZONE/HOST: nothing new is sent there
	Turns    Kind = "turns"        // HOST: part of its plain turns that it gets
)

// trait is what is known of a kind.
type trait struct {
	subject  string // what Of names, for people: index, place, host, or nothing
	mark     bool   // it has no value: that it is there is all
	greater  bool   // a greater value is tighter
	soft     bool   // no rule hangs on it: a floor need not have it
	most     float64
	tighten  string // words of a change that tightens, one that loosens and one that takes it away
	loosen   string
	noLonger string
}

var traits = map[Kind]trait{
	OnceOnly: {subject: "index", mark: true, tighten: "is once-only now", noLonger: "is as the platform " +
		"has it again"},
	NoCopies: {subject: "index", mark: true, tighten: "second copies no longer allowed",
		noLonger: "second copies allowed again as the platform has it"},
	Least: {subject: "index", greater: true, most: 1, tighten: "least share raised",
		loosen: "least share lowered", noLonger: "least share is the platform's again"},
	Share: {most: 1, tighten: "budget of further calls lowered", loosen: "budget of further calls raised",
		noLonger: "budget of further calls is the platform's again"},
	Free: {most: 1e6, tighten: "free further calls lowered", loosen: "free further calls raised",
		noLonger: "free further calls are the platform's again"},
	Cold: {most: 1, tighten: "cold servers are sent less", loosen: "cold servers are sent more",
		noLonger: "cold servers are sent what the rule allows again"},
	Closed: {subject: "place", mark: true, tighten: "closed", noLonger: "open again"},
	Turns: {subject: "host", soft: true, most: 1, tighten: "gets fewer turns", loosen: "gets more turns",
		noLonger: "gets its plain turns again"},
}

// Kinds are those that this text knows, in order.
func Kinds() []Kind { return []Kind{Closed, Cold, Free, Least, NoCopies, OnceOnly, Share, Turns} }

// Entry is one line of a policy.
type Entry struct {
	Kind  Kind    `json:"kind"`
	Of    string  `json:"of,omitempty"`
	Value float64 `json:"value,omitempty"`
}

// Policy is what an operator allows less than the platform does, in the order of kind and subject, each
// once. The empty one allows what the platform does.
type Policy []Entry

// compare is a policy's order.
func compare(a, b Entry) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Of, b.Of)) }

// Order puts entries into a policy's order. Two of one kind and subject are an error, and so is what no
// gatherer could keep; unknown kinds are left in: others may know them.
func Order(entries []Entry) (Policy, error) {
	p := Policy(slices.Clone(entries))
	slices.SortFunc(p, compare)
	for i, e := range p {
		if i > 0 && p[i-1].Kind == e.Kind && p[i-1].Of == e.Of {
			return nil, fmt.Errorf("%s is said twice", e)
		}
		t, known := traits[e.Kind]
		switch zone, _, slash := strings.Cut(e.Of, "/"); {
		case !known:
		case t.subject == "" && e.Of != "":
			return nil, fmt.Errorf("%s is of all, not of %q", e.Kind, e.Of)
		case t.subject != "" && e.Of == "" && e.Kind != NoCopies:
			return nil, fmt.Errorf("%s lacks its %s", e.Kind, t.subject)
		case e.Kind == Closed && (!slash || zone == ""):
			return nil, fmt.Errorf("%s wants a zone and maybe a host: ZONE/ or ZONE/HOST", e)
		case !t.mark && !(e.Value >= 0 && e.Value <= t.most): // NaN as well
			return nil, fmt.Errorf("%s is not within 0 and %g", e, t.most)
		case t.mark && e.Value != 0:
			return nil, fmt.Errorf("%s has no value", e)
		}
	}
	return p, nil
}

// String is an entry as people read it.
func (e Entry) String() string {
	words := string(e.Kind)
	if e.Of != "" {
		words += " " + e.Of
	}
	if !traits[e.Kind].mark {
		words += fmt.Sprintf(" %g", e.Value)
	}
	return words
}

// find is the entry of a kind and subject.
func (p Policy) find(kind Kind, of string) (Entry, bool) {
	i, found := slices.BinarySearchFunc(p, Entry{Kind: kind, Of: of}, compare)
	if !found {
		return Entry{}, false
	}
	return p[i], true
}

// Has reports whether a mark is set of a subject, or of all.
func (p Policy) Has(kind Kind, of string) bool {
	_, found := p.find(kind, of)
	if !found && kind == NoCopies && of != "" {
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

// Unknown are the kinds that this text does not know.
func (p Policy) Unknown() (kinds []Kind) {
	for _, e := range p {
		if _, known := traits[e.Kind]; !known && !slices.Contains(kinds, e.Kind) {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}

// tighter is the tighter of two values of a kind.
func tighter(kind Kind, a, b float64) float64 {
	if traits[kind].greater {
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
			order = compare(p[i], q[j])
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

// Within gives what p does that q forbids, nothing where all that p allows q allows as well. Soft kinds
// are left out, since no rule hangs on them.
func Within(p, q Policy) (wrong []Entry) {
	for _, e := range q {
		if traits[e.Kind].soft {
			continue
		}
		own, found := p.find(e.Kind, e.Of)
		switch zone, _, _ := strings.Cut(e.Of, "/"); {
		case e.Kind == Closed && p.Has(Closed, zone+"/"), e.Kind == NoCopies && p.Has(NoCopies, ""):
		case !found, !traits[e.Kind].mark && tighter(e.Kind, own.Value, e.Value) != own.Value:
			wrong = append(wrong, e)
		}
	}
	return wrong
}

// Line is one difference of two policies in words.
type Line struct {
	Tightens bool
	Text     string
}

// Diff says what a change from one policy to another means.
func Diff(from, to Policy) (lines []Line) {
	say := func(e Entry, tightens bool, text string) {
		subject := ""
		switch traits[e.Kind].subject {
		case "index":
			if subject = "all indexes"; e.Of != "" {
				subject = "index " + e.Of
			}
			subject += ": "
		case "place":
			if subject = "host " + e.Of + ": "; strings.HasSuffix(e.Of, "/") {
				subject = "zone " + strings.TrimSuffix(e.Of, "/") + ": "
			}
		case "host":
			subject = "host " + e.Of + ": "
		}
		lines = append(lines, Line{tightens, subject + text})
	}
	for _, e := range Intersect(from, to) { // each kind and subject that either has, once
		t := traits[e.Kind]
		old, had := from.find(e.Kind, e.Of)
		now, has := to.find(e.Kind, e.Of)
		value := ""
		if !t.mark {
			value = fmt.Sprintf(" to %g", now.Value)
		}
		switch {
		case t.tighten == "" && (had != has || old.Value != now.Value):
			say(e, true, fmt.Sprintf("%s: of a kind that is not known here", e))
		case had && !has:
			say(e, false, t.noLonger)
		case !had:
			say(e, true, t.tighten+value)
		case old.Value == now.Value:
		case tighter(e.Kind, old.Value, now.Value) == now.Value:
			say(e, true, fmt.Sprintf("%s from %g%s", t.tighten, old.Value, value))
		default:
			say(e, false, fmt.Sprintf("%s from %g%s", t.loosen, old.Value, value))
		}
	}
	return lines
}
