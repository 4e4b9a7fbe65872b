package policy

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// sameEntries reports whether two policies have the same entries. A nil policy equals an empty one.
func sameEntries(p, q Policy) bool {
	return reflect.DeepEqual(append(Policy{}, p...), append(Policy{}, q...))
}

// TestIntersectIsTheLoosestPolicyWithinBoth tests that an intersection permits only what both policies permit
// and is the loosest such policy, that it is ordered, and that Intersect is commutative, associative and
// idempotent.
func TestIntersectIsTheLoosestPolicyWithinBoth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, q, r := drawPolicy(t, "p"), drawPolicy(t, "q"), drawPolicy(t, "r")
		intersection := Intersect(p, q)
		if !reflect.DeepEqual(intersection, Intersect(q, p)) || !sameEntries(p, Intersect(p, p)) {
			t.Fatalf("Intersect is not commutative or not idempotent for %v and %v: %v", p, q, intersection)
		}
		if ordered, err := New(intersection); err != nil || !sameEntries(ordered, intersection) {
			t.Fatalf("%v is out of order: %v", intersection, err)
		}
		if v := append(Violations(intersection, p), Violations(intersection, q)...); len(v) > 0 {
			t.Fatalf("the intersection of %v and %v permits what one forbids: %v", p, q, v)
		}
		if len(Violations(r, p))+len(Violations(r, q)) == 0 && len(Violations(r, intersection)) > 0 {
			t.Fatalf("%v is within both and not within their intersection %v", r, intersection)
		}
		if !reflect.DeepEqual(Intersect(intersection, r), Intersect(p, Intersect(q, r))) {
			t.Fatalf("Intersect is not associative for %v, %v and %v", p, q, r)
		}
		for _, host := range []string{"s1", "s2"} {
			for _, zone := range []string{"north", "south"} {
				if intersection.Closes(zone, host) != (p.Closes(zone, host) || q.Closes(zone, host)) {
					t.Fatalf("%s/%s is closed wrongly in the intersection of %v and %v", zone, host, p, q)
				}
			}
		}
		if len(Diff(p, p)) > 0 || (len(Diff(p, q)) == 0) != slices.Equal(p, q) || len(Diff(p, q)) != len(Diff(q, p)) {
			t.Fatalf("wrong number of differences between %v and %v: %v", p, q, Diff(p, q))
		}
	})
}

// TestDiffDescribesEachDifference tests that Diff describes what a change does to each entry, and whether it
// tightens the policy.
func TestDiffDescribesEachDifference(t *testing.T) {
	from := mustNew(t,
		Entry{Kind: MinShare, Subject: "find", Value: 0.5},
		Entry{Kind: RetryShare, Value: 0.04},
		Entry{Kind: Closed, Subject: "north/s1"},
		Entry{Kind: HostWeight, Subject: "s9", Value: 1})
	to := mustNew(t,
		Entry{Kind: MinShare, Subject: "find", Value: 0.8},
		Entry{Kind: RetryShare, Value: 0.05},
		Entry{Kind: Closed, Subject: "south/"},
		Entry{Kind: NoHedging, Subject: "resolve"},
		Entry{Kind: NonIdempotent, Subject: "claim"},
		Entry{Kind: HostWeight, Subject: "s9", Value: 0.5},
		Entry{Kind: "newer", Subject: "x"})
	var got []string
	for _, d := range Diff(from, to) {
		got = append(got, fmt.Sprintf("%v %s", d.Tightens, d.Text))
	}
	want := []string{
		"false budget of further calls raised from 0.04 to 0.05",
		"false host north/s1: open again",
		"true zone south: closed",
		"true index find: least share raised from 0.5 to 0.8",
		"true newer x 0: of a kind that is not known here",
		"true index resolve: second copies no longer allowed",
		"true index claim: is once-only now",
		"true host s9: gets fewer turns from 1 to 0.5",
	}
	slices.Sort(got)
	slices.Sort(want)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("differences %q, want %q", got, want)
	}
}

// BenchmarkIntersect measures the intersection of two policies of forty entries, which a gatherer computes
// for each pending change.
func BenchmarkIntersect(b *testing.B) {
	var p, q Policy
	for i := range 40 {
		p = append(p, Entry{Kind: Closed, Subject: fmt.Sprintf("north/s%02d", i)})
		q = append(q, Entry{Kind: Closed, Subject: fmt.Sprintf("north/s%02d", i+20)})
	}
	for b.Loop() {
		Intersect(p, q)
	}
}
