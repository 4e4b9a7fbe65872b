package policy

import (
	"fmt"
	"strings"
)

// tighter returns the tighter of two values of a kind.
func tighter(kind Kind, a, b float64) float64 {
	if traits[kind].higherIsTighter {
		return max(a, b)
	}
	return min(a, b)
}

// Intersect returns the loosest policy that permits only what both of two policies permit. It always exists,
// as the tighter of two values is defined for every kind. Otherwise no policy could be in effect while a
// change from one policy to another is prepared.
func Intersect(p, q Policy) Policy {
	intersection := make(Policy, 0, len(p)+len(q))
	i, j := 0, 0
	for i < len(p) && j < len(q) {
		switch order := compareEntries(p[i], q[j]); {
		case order < 0:
			intersection = append(intersection, p[i])
			i++
		case order > 0:
			intersection = append(intersection, q[j])
			j++
		default:
			e := p[i]
			e.Value = tighter(e.Kind, e.Value, q[j].Value)
			intersection = append(intersection, e)
			i++
			j++
		}
	}
	intersection = append(intersection, p[i:]...)
	return append(intersection, q[j:]...)
}

// Violations returns the entries of q that p does not satisfy. There are none if q permits everything that p
// permits. Advisory kinds are ignored.
func Violations(p, q Policy) (violations []Entry) {
	for _, e := range q {
		if !traits[e.Kind].advisory && !p.satisfies(e) {
			violations = append(violations, e)
		}
	}
	return violations
}

// satisfies reports whether a policy is at least as tight as an entry.
func (p Policy) satisfies(e Entry) bool {
	zone, _, _ := strings.Cut(e.Subject, "/")
	switch {
	case e.Kind == Closed && p.Has(Closed, zone+"/"), e.Kind == NoHedging && p.Has(NoHedging, ""):
		return true
	}
	entry, found := p.find(e.Kind, e.Subject)
	if !found {
		return false
	}
	return traits[e.Kind].flag || tighter(e.Kind, entry.Value, e.Value) == entry.Value
}

// Difference describes one difference between two policies for operators.
type Difference struct {
	Tightens bool
	Text     string
}

// Diff returns the differences that a change from one policy to another makes.
func Diff(from, to Policy) (differences []Difference) {
	for _, e := range Intersect(from, to) { // has each kind and subject of either policy once
		before, existed := from.find(e.Kind, e.Subject)
		after, exists := to.find(e.Kind, e.Subject)
		if existed == exists && before.Value == after.Value {
			continue
		}
		differences = append(differences, describe(e, existed, exists, before.Value, after.Value))
	}
	return differences
}

// describe returns the description of a change of one entry.
func describe(e Entry, existed, exists bool, before, after float64) Difference {
	t := traits[e.Kind]
	newValue := ""
	if !t.flag {
		newValue = fmt.Sprintf(" to %g", after)
	}
	d := Difference{Tightens: true}
	switch {
	case t.tightenText == "":
		d.Text = fmt.Sprintf("%s: of a kind that is not known here", e)
	case !exists:
		d.Tightens = false
		d.Text = t.removeText
	case !existed:
		d.Text = t.tightenText + newValue
	case tighter(e.Kind, before, after) == after:
		d.Text = fmt.Sprintf("%s from %g%s", t.tightenText, before, newValue)
	default:
		d.Tightens = false
		d.Text = fmt.Sprintf("%s from %g%s", t.loosenText, before, newValue)
	}
	d.Text = describeSubject(e) + d.Text
	return d
}

// describeSubject returns the subject of an entry as the prefix of a description, empty if it has none.
func describeSubject(e Entry) string {
	switch traits[e.Kind].subject {
	case classSubject:
		if e.Subject == "" {
			return "all indexes: "
		}
		return "index " + e.Subject + ": "
	case placeSubject:
		if zone, isZone := strings.CutSuffix(e.Subject, "/"); isZone {
			return "zone " + zone + ": "
		}
		return "host " + e.Subject + ": "
	case hostSubject:
		return "host " + e.Subject + ": "
	}
	return ""
}
