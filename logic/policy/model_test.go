package policy

import (
	"flag"
	"fmt"
	"testing"
)

var exploreMore = flag.Bool("whole", false, "also explore more gatherers and combined faults, which takes minutes")

// The model consists of one record, a leader and possibly a deposed one, gatherers, their polls and answers
// in flight, and discrete time. The test explores every order of events within bounds on faults, and checks
// in every state what each gatherer could do. Times are distinguished only as far as behavior depends on
// them, which keeps the number of states finite without a bound on time. Gatherers are symmetric: states that
// differ only by the names of gatherers are the same.

// Two policies, neither of which is looser than the other: the old one closes the north, the new one the
// south. Their intersection is the fallback policy.
var (
	oldPolicy  = Policy{{Kind: Closed, Subject: "north/"}}
	newPolicy  = Policy{{Kind: Closed, Subject: "south/"}}
	bothClosed = Policy{{Kind: Closed, Subject: "north/"}, {Kind: Closed, Subject: "south/"}}
)

// faults holds the number of faults of each kind that an order of events may have.
type faults struct{ crashes, suspensions, losses, elections int }

// omittedSafeguards selects safeguards that the model leaves out.
type omittedSafeguards struct {
	noIntersection bool // a pending change is applied without intersecting it
	noExpiry       bool // leases do not expire
	noPermitCheck  bool // decisions are carried out without calling Permits
	noDraining     bool // gatherers always report that they have drained
	noElectionWait bool // a new leader does not wait for earlier leases to expire
	noVerification bool // a deposed leader grants leases
}

// exploration is the result of exploring all orders of events.
type exploration struct {
	states          int
	newPolicyStates int    // states in which all gatherers apply the new policy
	violation       string // in the first state that has one; empty for none
}

// explore explores all orders of events, up to a limit of states unless the limit is 0.
func explore(omitted omittedSafeguards, gatherers int, f faults, limit int) (e exploration) {
	initial := newModelState(gatherers, f)
	seen := map[string]bool{initial.key(): true}
	stack := []*modelState{initial}
	for len(stack) > 0 {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		e.states++
		if e.violation = w.violation(omitted); e.violation != "" {
			return e
		}
		if w.appliesNewPolicy() {
			e.newPolicyStates++
		}
		if e.states == limit {
			return e
		}
		for _, next := range w.successors(omitted) {
			if key := next.key(); !seen[key] {
				seen[key] = true
				stack = append(stack, next)
			}
		}
	}
	return e
}

// TestNoOrderOfEventsMixesOldAndNewPolicy tests that in no order of events one gatherer does what only the
// old policy permits while another does what only the new one permits. Omitting any single safeguard must
// lead to a violation.
func TestNoOrderOfEventsMixesOldAndNewPolicy(t *testing.T) {
	t.Parallel()
	type bounds struct {
		gatherers int
		faults    faults
	}
	allBounds := []bounds{
		{2, faults{}},
		{2, faults{crashes: 1}},
		{2, faults{suspensions: 1}},
		{2, faults{losses: 1}},
		{2, faults{elections: 1}},
	}
	if *exploreMore {
		allBounds = append(allBounds,
			bounds{3, faults{}},
			bounds{2, faults{crashes: 1, suspensions: 1}},
			bounds{2, faults{crashes: 1, elections: 1}},
			bounds{2, faults{suspensions: 1, elections: 1}},
			bounds{2, faults{suspensions: 1, losses: 1}},
			bounds{2, faults{crashes: 1, suspensions: 1, losses: 1, elections: 1}},
			bounds{3, faults{suspensions: 1}})
	}
	for _, b := range allBounds {
		t.Run(fmt.Sprintf("%d gatherers, faults %+v", b.gatherers, b.faults), func(t *testing.T) {
			t.Parallel()
			e := explore(omittedSafeguards{}, b.gatherers, b.faults, 0)
			t.Logf("%d states, in %d the new policy is applied everywhere", e.states, e.newPolicyStates)
			if e.violation != "" || e.newPolicyStates == 0 {
				t.Errorf("after %d states, %d with the new policy: %s", e.states, e.newPolicyStates, e.violation)
			}
		})
	}
	for _, c := range []struct {
		name    string
		omitted omittedSafeguards
		faults  faults
	}{
		{"without the intersection", omittedSafeguards{noIntersection: true}, faults{}},
		{"without the expiry of leases", omittedSafeguards{noExpiry: true}, faults{suspensions: 1}},
		{"without calling Permits", omittedSafeguards{noPermitCheck: true}, faults{suspensions: 1}},
		{"without draining", omittedSafeguards{noDraining: true}, faults{}},
		{"without the wait of a new leader", omittedSafeguards{noElectionWait: true}, faults{elections: 1}},
		{"without verification of leadership", omittedSafeguards{noVerification: true}, faults{elections: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := explore(c.omitted, 2, c.faults, 400_000)
			t.Logf("after %d states: %s", e.states, e.violation)
			if e.violation == "" {
				t.Errorf("no violation found in %d states", e.states)
			}
		})
	}
}
