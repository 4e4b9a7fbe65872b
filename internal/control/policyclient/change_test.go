package policyclient_test

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"

	"yokeroute/internal/control/policyapi"
	"yokeroute/internal/control/policyclient"
	"yokeroute/internal/process"
	"yokeroute/internal/testbed/processtest"
	"yokeroute/logic/policy"
)

// TestChangeIsAppliedEverywhere checks that a change is applied everywhere while one gatherer is suspended until the
// change is applied, one is killed and restarted, one is cut off from the policy servers, and the leader is killed
// before the change is committed. No gatherer applies the old policy once one applies the new one.
func TestChangeIsAppliedEverywhere(t *testing.T) {
	const gatherers = 12
	f := startFleet(t, gatherers, 150, threeServers)
	f.awaitApplied(f.propose(closeS1Text))
	f.checkFrom = unixMilliseconds()
	f.awaitServed(50)
	suspended, killed := f.fleet.Gatherers[2], f.fleet.Gatherers[7]
	if err := suspended.Process().Stop(f.ctx); err != nil {
		t.Fatal(err)
	}
	for _, link := range f.fleet.Links("g5:w*") {
		link.Change(func(w *processtest.Weather) { w.Silent = [2]bool{true, true} })
	}
	killed.Kill()
	second := f.propose(closeS3Text)
	leader := f.fleet.Leader(f.ctx)
	if leader == nil {
		t.Fatal("no policy server is the leader")
	}
	leader.Process().Kill()
	if err := killed.Start(f.ctx); err != nil {
		t.Fatal(err)
	}
	f.awaitApplied(second)
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	suspended.Process().Continue()
	for _, link := range f.fleet.Links("g5:w*") {
		if err := link.Mend(); err != nil {
			t.Fatal(err)
		}
	}
	f.awaitStatus("all gatherers apply the second change", allApply(gatherers, second))
	f.awaitServed(50)
	f.check([2]string{"s3", "s1"})
}

// TestRejectedChangeIsNotApplied checks that a change that a gatherer rejects is abandoned with the gatherer's reason,
// that a proposal that a fallback policy violates is rejected, that one of two concurrent proposals is rejected, and
// that a pending change can be abandoned.
func TestRejectedChangeIsNotApplied(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 4, 40, threeServers)
	for text, reason := range map[string]string{
		"no-copies\nindex nowhere no-copies\n":              "there is no index nowhere",
		"no-copies\nclose zone west host s7\n":              "closed west/s7: the endpoint list has host s7 in zone ",
		closeS1Text + "turns s9 50%\n":                      "",
		closeS3Text + closeS1Text + "index any no-copies\n": "",
	} {
		c := f.propose(text)
		ended, err := f.fleet.PolicyClient().Await(f.ctx, c.Number, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		if reason == "" {
			if ended.Outcome != policy.Committed {
				t.Errorf("%q: not committed: %+v", text, ended)
			}
			continue
		}
		byGatherer := strings.HasPrefix(ended.OutcomeReason, "g")
		if ended.Outcome != policy.Abandoned || !strings.Contains(ended.OutcomeReason, reason) || !byGatherer {
			t.Errorf("%q: %+v, want abandoned by a gatherer with the reason %q", text, ended, reason)
		}
	}
	before := f.status()
	for text, reason := range map[string]string{
		"close zone north host s5\n": "if g1 loses contact, " +
			"its fallback policy permits what this change forbids: closed north/s5",
		"index any once-only\n": "its fallback policy permits what this change forbids",
	} {
		proposal := policyclient.Proposal{Base: before.Record.Epoch, Policy: f.parse(text)}
		_, err := f.fleet.PolicyClient().Propose(f.ctx, proposal)
		if err == nil || !strings.Contains(err.Error(), reason) {
			t.Errorf("%q: error %v, want %q", text, err, reason)
		}
	}
	// While one gatherer is suspended a change stays pending until the gatherer's lease expires.
	if err := f.fleet.Gatherers[3].Process().Stop(f.ctx); err != nil {
		t.Fatal(err)
	}
	pending := f.proposeTwoAtOnce(before.Record.Epoch, "no-copies\n", closeS3Text)
	if err := f.fleet.PolicyClient().Abandon(f.ctx, pending.Number, "reverted while it was being prepared"); err != nil {
		t.Fatal(err)
	}
	f.fleet.Gatherers[3].Process().Continue()
	f.awaitStatus("all gatherers apply the previous policy", func(s *policyapi.Status) bool {
		policyUnchanged := s.Record.Epoch == before.Record.Epoch && s.Record.LastEnded == pending.Number
		return s.AppliedEverywhere && policyUnchanged && len(s.Members) == 4 && s.Members[3].State == policy.StateApplied
	})
	f.check()
}

// proposeTwoAtOnce proposes two policies concurrently, and returns the change that is not rejected.
func (f *fleetTest) proposeTwoAtOnce(base uint64, texts ...string) *policy.Change {
	f.Helper()
	var mu sync.Mutex
	var accepted []*policy.Change
	var rejected []string
	var wait sync.WaitGroup
	for _, text := range texts {
		proposal := policyclient.Proposal{Base: base, Policy: f.parse(text)}
		wait.Go(func() {
			c, err := f.fleet.PolicyClient().Propose(f.ctx, proposal)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				rejected = append(rejected, err.Error())
			} else {
				accepted = append(accepted, c)
			}
		})
	}
	wait.Wait()
	if len(accepted) != 1 || len(rejected) != 1 || !strings.Contains(rejected[0], "is being prepared") {
		f.Fatalf("want one proposal accepted and one rejected; accepted %+v, rejected %q", accepted, rejected)
	}
	return accepted[0]
}

// pollLeader polls the leader. If the leadership changes meanwhile, it polls the new leader, as a gatherer does.
func (f *fleetTest) pollLeader(request policyapi.PollRequest) *policy.Update {
	f.Helper()
	var response *policyapi.PollResponse
	err := process.WaitUntil(f.ctx, "a leader answers", func() bool {
		leader := f.fleet.Leader(f.ctx)
		if leader == nil {
			return false
		}
		var err error
		e := policyapi.Endpoint{Method: http.MethodPost, Address: leader.HTTP, Path: policyapi.PollPath}
		response, err = policyapi.Call(f.ctx, http.DefaultClient, e, request, policyapi.ReadPollResponse)
		var status *policyapi.StatusError
		if errors.As(err, &status) && status.NotLeader() {
			return false
		}
		if err != nil || response.Update == nil {
			f.Fatalf("poll: error %v, response %+v", err, response)
		}
		return true
	})
	if err != nil {
		f.Fatal(err)
	}
	return response.Update
}

// TestErrorNamesGathererOfOlderVersion checks that a change with a policy kind that a gatherer of an older version does
// not know is rejected with an error that names the gatherer. Once that gatherer is removed from the members the change
// is committed, and the gatherer is not admitted again.
func TestErrorNamesGathererOfOlderVersion(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 20, threeServers)
	poll := func() *policy.Update {
		older := policy.Member{
			Name:       "old",
			Fallback:   f.parse(fallbackText),
			KnownKinds: []policy.Kind{policy.Closed, policy.NoHedging},
		}
		request := policyapi.PollRequest{
			Format:    policyapi.Format,
			Heartbeat: policy.Heartbeat{Member: older, Incarnation: "1"},
		}
		return f.pollLeader(request)
	}
	if u := poll(); u.Lease == 0 {
		t.Errorf("gatherer of an older version: no lease granted: %+v", u)
	}
	text := "turns s4 50%\n"
	_, err := f.fleet.PolicyClient().Propose(f.ctx, policyclient.Proposal{Policy: f.parse(text)})
	if err == nil || !strings.Contains(err.Error(), "old does not know the kind turns; it is of an older version") {
		t.Errorf("proposal with an unknown kind: error %v", err)
	}
	if err := f.fleet.PolicyClient().Forget(f.ctx, "old"); err != nil {
		t.Fatal(err)
	}
	f.awaitApplied(f.propose(text))
	if u := poll(); u.Lease != 0 || !strings.Contains(u.RefusalReason, "does not know the kind turns") {
		t.Errorf("after the change: update %+v, want no lease and the unknown kind", u)
	}
	f.awaitServed(20)
	f.check()
}
