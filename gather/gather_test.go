package gather

import "testing"

// TestOutcomeNamesAreStable checks the names of the outcomes, which traces and reports of earlier versions
// contain.
func TestOutcomeNamesAreStable(t *testing.T) {
	for outcome, want := range map[Outcome]string{
		Succeeded: "answered", Failed: "erred", Rejected: "full", TimedOut: "late", ConnectFailed: "unreached",
		ConnectionReset: "cut", Cancelled: "off", NotSent: "stale", NotOwner: "moved",
	} {
		if got := outcome.String(); got != want {
			t.Errorf("Outcome(%d).String() = %q, want %q", outcome, got, want)
		}
	}
}

// TestNeverExecutedOnlyIfExecutionIsRuledOut checks that an attempt that timed out, lost its connection,
// failed or was cancelled counts as possibly executed.
func TestNeverExecutedOnlyIfExecutionIsRuledOut(t *testing.T) {
	ruledOut := map[Outcome]bool{Rejected: true, ConnectFailed: true, NotSent: true, NotOwner: true}
	for outcome := Succeeded; outcome <= NotOwner; outcome++ {
		if got := outcome.NeverExecuted(); got != ruledOut[outcome] {
			t.Errorf("%v.NeverExecuted() = %v, want %v", outcome, got, ruledOut[outcome])
		}
	}
}

func TestCloneDoesNotShareClassesOrTenants(t *testing.T) {
	original := &Settings{Tick: 5, Classes: []Class{{Name: "c", MinShare: 0.5}}, Tenants: []Tenant{{Name: "t", Quota: 1}}}
	clone := original.Clone()
	clone.Tick = 7
	clone.FindClass("c").MinShare = 0.7
	clone.Tenants[0].Quota = 2
	if original.Tick != 5 || original.Class("c").MinShare != 0.5 || original.Tenants[0].Quota != 1 {
		t.Errorf("modifying the clone changed the original to %+v", original)
	}
}

func TestFindClassByName(t *testing.T) {
	s := &Settings{Classes: []Class{{Name: "a"}, {Name: "b", MinShare: 0.5}}}
	if got := s.Class("b").MinShare; got != 0.5 {
		t.Errorf("class b has MinShare %v, want 0.5", got)
	}
	if got := s.FindClass("c"); got != nil {
		t.Errorf("FindClass of an unknown class = %+v, want nil", got)
	}
	if got := s.Class("c"); got != (Class{}) {
		t.Errorf("Class of an unknown class = %+v, want the zero Class", got)
	}
}
