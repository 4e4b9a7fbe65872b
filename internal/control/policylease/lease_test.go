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

// leaseWith returns a lease on a policy that expires at 1000 by the clock that it returns as well.
func leaseWith(t *testing.T, fallback, leased string) (*Lease, *float64) {
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
	l.Follow(list, []shardcall.Address{{ID: 1, Name: "s1"}, {ID: 2, Name: "s2"}})
	l.handle(0, policy.Update{Epoch: 1, LastEnded: 1, Policy: parse(leased), Lease: 1000})
	return l, &now
}

const (
	testFallback = "no-copies\nindex any once-only least 90%\nfurther share 1% free 1\ncold 10%\n" +
		"close zone north\nclose zone south host s2\n"
	testPolicy = "index any least 60%\nfurther free 4\ncold 50%\nclose zone south host s2\nturns s1 50%\n"
)

// TestLeaseAppliesPolicyToSettings: settings, closed servers and weights follow from the policy, and the platform's
// settings stay as they are.
func TestLeaseAppliesPolicyToSettings(t *testing.T) {
	l, _ := leaseWith(t, testFallback, testPolicy)
	_, settings := l.Effective(1)
	class := settings.Class("any")
	if class.MinShare != 0.6 || class.CompleteShare != 0.75 {
		t.Errorf("%+v", class)
	}
	if settings.RetryBudgetFloor != 4 || settings.RetryBudgetRatio != 0.1 || settings.OverloadMultiple != 1.5 {
		t.Errorf("%+v", settings)
	}
	if !settings.HedgingAllowed || l.platform.OverloadMultiple != 3 {
		t.Errorf("%+v; %+v", settings, l.platform)
	}
	if l.Weight(1) != 0.5 || l.Weight(2) != 1 || l.Blocked(1) || !l.Blocked(2) {
		t.Errorf("%v", l.closed)
	}
}

// TestExpiredLeaseRestrictsDecisions: a request or an answer that was decided before the lease expired goes only as
// far as the fallback policy permits.
func TestExpiredLeaseRestrictsDecisions(t *testing.T) {
	l, now := leaseWith(t, testFallback, testPolicy)
	generation, _ := l.Effective(1)
	call := dispatch.PolicyCheck{Generation: generation, Class: "any", Server: 1, Repeated: true, Hedge: true, UsesRetryBudget: true}
	served := dispatch.Result{Kind: dispatch.Served}
	closed := dispatch.PolicyCheck{Generation: generation, Class: "any", Server: 2}
	if !l.Permits(call, 500) || l.Permits(closed, 500) || l.ReviewResult(call, served, 0.6, true, 500).Kind != dispatch.Served {
		t.Error("under the lease")
	}
	*now = 1000
	for _, a := range []dispatch.PolicyCheck{{Hedge: true}, {Repeated: true}, {UsesRetryBudget: true}} {
		a.Generation, a.Class, a.Server = generation, "any", 9
		if l.Permits(a, 1000) {
			t.Errorf("%+v is sent after the lease", a)
		}
	}
	first := dispatch.PolicyCheck{Generation: generation, Class: "any", Server: 9}
	closed = dispatch.PolicyCheck{Generation: generation, Class: "any", Server: 1}
	if !l.Permits(first, 1000) || l.Permits(closed, 1000) {
		t.Error("a first request is sent, but not to a host that the fallback policy closes")
	}
	for _, c := range []struct {
		result dispatch.Result
		share  float64
		ran    bool
		want   dispatch.ResultKind
	}{
		{served, 0.6, true, dispatch.Failed},
		{served, 0.95, true, dispatch.Served},
		{dispatch.Result{Kind: dispatch.Rejected}, 0, true, dispatch.Failed},
		{dispatch.Result{Kind: dispatch.Rejected}, 0, false, dispatch.Rejected},
	} {
		if got := l.ReviewResult(call, c.result, c.share, c.ran, 1000).Kind; got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
	s := l.State()
	if s.ExpiresAt != 0 || s.ExpiredLeases != 1 || !strings.Contains(s.Effective, "close zone north\n") {
		t.Errorf("%+v", s)
	}
}

// TestHoldAppliesOwnPolicy: a policy of the gatherer's own file is in effect without end; one that the platform's
// settings or the endpoint list rule out is an error.
func TestHoldAppliesOwnPolicy(t *testing.T) {
	l, _ := leaseWith(t, "", "")
	err := l.Hold(policy.Policy{{Kind: policy.Closed, Subject: "north/"}}, 2)
	if err != nil || !l.Blocked(1) || l.Blocked(2) || l.holder.ExpiresAt() != math.Inf(1) {
		t.Errorf("%v, %v", err, l.closed)
	}
	for text, want := range map[string]string{
		"index nowhere no-copies\n":  "there is no index nowhere",
		"index any least 40%\n":      "the platform's least share is 0.5",
		"further share 20%\n":        "budget share is 0.1",
		"further free 9\n":           "8 free further calls",
		"close zone north host s2\n": "s2 stands in south",
	} {
		p, err := policyfile.Parse("p", text)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Hold(p, 3); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// BenchmarkPermits measures the check of a shard request before its first byte is sent.
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
