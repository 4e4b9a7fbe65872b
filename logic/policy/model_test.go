package policy

import (
	"flag"
	"fmt"
	"testing"
)

var whole = flag.Bool("whole", false, "explore more gatherers and faults together, for minutes")

// The model has one record, a leader and maybe a deposed one, gatherers, their polls and answers in flight,
// and time in steps. Every order of events is explored, within bounds on faults, and in every state it is
// checked what each gatherer could do right then. Times are told apart only as far as anything depends on
// them, so that the states are finite without a bound on time. Gatherers are alike: states that differ by
// their names alone are one.

// Two policies of which neither is looser: the old one closes the north, the new one the south.
var (
	oldPolicy  = Policy{{Kind: Closed, Subject: "north/"}}
	newPolicy  = Policy{{Kind: Closed, Subject: "south/"}}
	bothClosed = Policy{{Kind: Closed, Subject: "north/"}, {Kind: Closed, Subject: "south/"}}
)

// faults are how many faults of each kind a history may have.
type faults struct{ crashes, suspensions, losses, elections int }

// variant is the model with safeguards left out.
type variant struct {
	noIntersection bool // a pending change is applied at once
	noExpiry       bool // leases do not expire
	noPermitCheck  bool // what was decided is carried out without a check
	noDraining     bool // gatherers claim that they have drained
	noElectionWait bool // a new leader does not wait for earlier leases to expire
	noVerification bool // a deposed leader grants leases
}

// exploration is what was found in all orders of events.
type exploration struct {
	states    int
	applied   int    // states in which all gatherers apply the new policy
	violation string // in the first state that has one
}

// explore explores all orders of events, up to a limit of states where that is not 0.
func explore(v variant, gatherers int, f faults, limit int) (e exploration) {
	first := newWorld(gatherers, f)
	seen := map[string]bool{first.key(): true}
	stack := []*world{first}
	for len(stack) > 0 {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		e.states++
		if e.violation = w.violation(v); e.violation != "" {
			return e
		}
		if w.applied() {
			e.applied++
		}
		if e.states == limit {
			return e
		}
		for _, next := range w.successors(v) {
			if key := next.key(); !seen[key] {
				seen[key] = true
				stack = append(stack, next)
			}
		}
	}
	return e
}

// TestModel: in no order of events does one gatherer do what only the old policy permits while another does
// what only the new one does. Without any one of the safeguards a violation is found.
func TestModel(t *testing.T) {
	t.Parallel()
	type scope struct {
		gatherers int
		faults    faults
	}
	scopes := []scope{
		{2, faults{}},
		{2, faults{crashes: 1}},
		{2, faults{suspensions: 1}},
		{2, faults{losses: 1}},
		{2, faults{elections: 1}},
	}
	if *whole {
		scopes = append(scopes,
			scope{3, faults{}},
			scope{2, faults{crashes: 1, suspensions: 1}},
			scope{2, faults{crashes: 1, elections: 1}},
			scope{2, faults{suspensions: 1, elections: 1}},
			scope{2, faults{suspensions: 1, losses: 1}},
			scope{2, faults{crashes: 1, suspensions: 1, losses: 1, elections: 1}},
			scope{3, faults{suspensions: 1}})
	}
	for _, s := range scopes {
		t.Run(fmt.Sprintf("%d gatherers, faults %+v", s.gatherers, s.faults), func(t *testing.T) {
			t.Parallel()
			e := explore(variant{}, s.gatherers, s.faults, 0)
			t.Logf("%d states, in %d the new policy is applied everywhere", e.states, e.applied)
			if e.violation != "" || e.applied == 0 {
				t.Errorf("after %d states, %d with the new policy: %s", e.states, e.applied, e.violation)
			}
		})
	}
	for _, c := range []struct {
		name    string
		variant variant
		faults  faults
	}{
		{"without the intersection", variant{noIntersection: true}, faults{}},
		{"without a fallback policy", variant{noExpiry: true}, faults{suspensions: 1}},
		{"without the check before the first byte", variant{noPermitCheck: true}, faults{suspensions: 1}},
		{"without draining", variant{noDraining: true}, faults{}},
		{"without the wait of a new leader", variant{noElectionWait: true}, faults{elections: 1}},
		{"without verification of leadership", variant{noVerification: true}, faults{elections: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := explore(c.variant, 2, c.faults, 400_000)
			t.Logf("after %d states: %s", e.states, e.violation)
			if e.violation == "" {
				t.Errorf("not detected in %d states", e.states)
			}
		})
	}
}
