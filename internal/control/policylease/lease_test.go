package policylease

import (
	"math"
	"strings"
	"testing"

	"yokeroute/gather"
	"yokeroute/internal/config/policyfile"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/logic/policy"
)

// newTestLease returns a lease on the policy leased that expires at 1000 ms, and the clock's time in milliseconds,
// which the test may set.
func newTestLease(t *testing.T, fallback, leased string) (*Lease, *float64) {
	t.Helper()
	parse := func(text string) policy.Policy {
		p, err := policyfile.Parse("p", text)
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	now := 0.0
	l := New(Config{
		Platform: &gather.Settings{
			HedgingAllowed:    true,
			RetryBudgetWindow: 1000,
			RetryBudgetRatio:  0.1,
			RetryBudgetFloor:  8,
			OverloadMultiple:  3,
			Classes: []gather.Class{
				{Name: "any", Effect: gather.Idempotent, MinShare: 0.5, CompleteShare: 0.75},
				{Name: "claim", Effect: gather.NonIdempotent},
			},
		},
		Fallback: parse(fallback),
		Clock:    func() float64 { return now },
		OnChange: func() {},
	})
	list := gather.EndpointList{Full: true, Endpoints: []gather.Endpoint{{ID: 1, Zone: "north"}, {ID: 2, Zone: "south"}}}
	l.UpdateEndpoints(list, []shardcall.Address{{ID: 1, Name: "s1"}, {ID: 2, Name: "s2"}})
	l.handle(0, policy.Update{Epoch: 1, LastEnded: 1, Policy: parse(leased), Lease: 1000})
	return l, &now
}

const (
	testFallback = "no-copies\nindex any once-only least 90%\nfurther share 1% free 1\ncold 10%\n" +
		"close zone north\nclose zone south host s2\n"
	testPolicy = "index any least 60%\nfurther free 4\ncold 50%\nclose zone south host s2\nturns s1 50%\n"
)

// TestLeaseAppliesPolicyToSettings checks that settings, closed servers and weights result from the policy, and that
// the platform's settings are not modified.
func TestLeaseAppliesPolicyToSettings(t *testing.T) {
	l, _ := newTestLease(t, testFallback, testPolicy)
	_, settings := l.Effective(1)
	class := settings.Class("any")
	if class.MinShare != 0.6 || class.CompleteShare != 0.75 {
		t.Errorf("class any: %+v, want min share 0.6 and complete share 0.75", class)
	}
	if settings.RetryBudgetFloor != 4 || settings.RetryBudgetRatio != 0.1 || settings.OverloadMultiple != 1.5 {
		t.Errorf("settings %+v, want retry allowance 4, retry share 0.1 and overload multiple 1.5", settings)
	}
	if !settings.HedgingAllowed || l.platform.OverloadMultiple != 3 {
		t.Errorf("settings %+v, want hedging allowed; platform's settings %+v, want overload multiple 3",
			settings, l.platform)
	}
	if l.Weight(1) != 0.5 || l.Weight(2) != 1 || l.Blocked(1) || !l.Blocked(2) {
		t.Errorf("weights %g and %g, want 0.5 and 1; closed servers %v, want server 2",
			l.Weight(1), l.Weight(2), l.closed)
	}
}

// TestExpiredLeaseRestrictsDecisions checks that an attempt or a result that was decided before the lease expired is
// sent afterwards only if the fallback policy permits it.
func TestExpiredLeaseRestrictsDecisions(t *testing.T) {
	l, now := newTestLease(t, testFallback, testPolicy)
	generation, _ := l.Effective(1)
	call := dispatch.PolicyCheck{Generation: generation, Class: "any", Server: 1, Repeated: true, Hedge: true, UsesRetryBudget: true}
	servedResult := dispatch.Result{Kind: dispatch.Served}
	toClosedServer := dispatch.PolicyCheck{Generation: generation, Class: "any", Server: 2}
	if !l.Permits(call, 500) || l.Permits(toClosedServer, 500) ||
		l.ReviewResult(call, servedResult, 0.6, true, 500).Kind != dispatch.Served {
		t.Error("while the lease is held: wrong decision about an attempt, a closed server or a result")
	}
	*now = 1000
	for _, a := range []dispatch.PolicyCheck{{Hedge: true}, {Repeated: true}, {UsesRetryBudget: true}} {
		a.Generation, a.Class, a.Server = generation, "any", 9
		if l.Permits(a, 1000) {
			t.Errorf("%+v is permitted after the lease expired", a)
		}
	}
	firstAttempt := dispatch.PolicyCheck{Generation: generation, Class: "any", Server: 9}
	toClosedServer = dispatch.PolicyCheck{Generation: generation, Class: "any", Server: 1}
	if !l.Permits(firstAttempt, 1000) || l.Permits(toClosedServer, 1000) {
		t.Error("after the lease expired: want a first attempt permitted, except to a host that the fallback policy closes")
	}
	for _, c := range []struct {
		result     dispatch.Result
		share      float64
		mayHaveRun bool
		want       dispatch.ResultKind
	}{
		{servedResult, 0.6, true, dispatch.Failed},
		{servedResult, 0.95, true, dispatch.Served},
		{dispatch.Result{Kind: dispatch.Rejected}, 0, true, dispatch.Failed},
		{dispatch.Result{Kind: dispatch.Rejected}, 0, false, dispatch.Rejected},
	} {
		if got := l.ReviewResult(call, c.result, c.share, c.mayHaveRun, 1000).Kind; got != c.want {
			t.Errorf("%+v: result %v, want %v", c, got, c.want)
		}
	}
	s := l.State()
	if s.ExpiresAt != 0 || s.ExpiredLeases != 1 || !strings.Contains(s.Effective, "close zone north\n") {
		t.Errorf("state %+v, want no lease, 1 expired lease and the fallback policy in effect", s)
	}
}

// TestApplyLocalAppliesLocalPolicy checks that a policy from the gatherer's local file is in effect without expiry, and
// that one that conflicts with the platform's settings or the endpoint list is an error.
func TestApplyLocalAppliesLocalPolicy(t *testing.T) {
	l, _ := newTestLease(t, "", "")
	err := l.ApplyLocal(policy.Policy{{Kind: policy.Closed, Subject: "north/"}}, 2)
	if err != nil || !l.Blocked(1) || l.Blocked(2) || l.holder.ExpiresAt() != math.Inf(1) {
		t.Errorf("error %v, closed servers %v, expires at %g; want server 1 closed without expiry",
			err, l.closed, l.holder.ExpiresAt())
	}
	for text, want := range map[string]string{
		"index nowhere no-copies\n":  "there is no index nowhere",
		"index any least 40%\n":      "the platform's minimum share 0.5",
		"further share 20%\n":        "retry budget share 0.1",
		"further free 9\n":           "retry allowance of 8",
		"close zone north host s2\n": "host s2 in zone south",
	} {
		p, err := policyfile.Parse("p", text)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.ApplyLocal(p, 3); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", text, err, want)
		}
	}
}

// BenchmarkPermits measures the check that precedes the first byte of every shard request.
func BenchmarkPermits(b *testing.B) {
	l := New(Config{
		Platform: &gather.Settings{Classes: []gather.Class{{Name: "any"}}},
		Clock:    func() float64 { return 0 },
		OnChange: func() {},
	})
	l.handle(0, policy.Update{Epoch: 1, LastEnded: 1, Lease: 1e9})
	generation, _ := l.Effective(0)
	for b.Loop() {
		l.Permits(dispatch.PolicyCheck{Generation: generation, Class: "any", Server: 1}, 1)
	}
}
