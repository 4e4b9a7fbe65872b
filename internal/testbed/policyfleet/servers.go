package policyfleet

import (
	"fmt"
	"math"
	"slices"

	"yokeroute/logic/policy"
)

// Times of the policy servers and of operators, in milliseconds.
const (
	reviewInterval  = 50.0
	proposeInterval = 500.0 // after which a proposal that cannot be made yet is repeated
	minElectionTime = 200.0 // without a leader,
	electionRange   = 3000.0
)

// handlePoll handles a poll that has arrived at the policy servers.
func (f *fleet) handlePoll(p *poll) {
	if f.leader == nil {
		return
	}
	if !f.record.Registered(p.heartbeat.Member) {
		f.commit(policy.Command{Register: &p.heartbeat.Member})
	}
	f.phase.count(p.heartbeat)
	p.incarnation = p.gatherer.incarnation
	p.lease = f.leader.Handle(f.now, p.heartbeat).Lease
	f.decide()
	if update := f.record.Update(); update.IsNewTo(p.heartbeat) {
		f.sendUpdate(p)
		return
	}
	f.waiting = append(f.waiting, p)
	f.schedule(pollWait, func() {
		if i := slices.Index(f.waiting, p); i >= 0 {
			f.waiting = slices.Delete(f.waiting, i, i+1)
			f.sendUpdate(p)
		}
	})
}

// sendUpdate answers a poll.
func (f *fleet) sendUpdate(p *poll) {
	update := f.record.Update()
	update.Lease = p.lease
	delay, arrives := f.delay(p.gatherer, toGatherer)
	if !arrives {
		return
	}
	f.schedule(delay, func() {
		if p.gatherer.incarnation == p.incarnation {
			f.whenRunning(p.gatherer, func() { f.handleUpdate(p, update) })
		}
	})
}

// answerAll answers all polls that wait.
func (f *fleet) answerAll() {
	waiting := f.waiting
	f.waiting = nil
	for _, p := range waiting {
		f.sendUpdate(p)
	}
}

// commit applies a command to a copy of the record, as others hold the old one.
func (f *fleet) commit(c policy.Command) *policy.Change {
	next := *f.record
	change, err := next.Apply(c)
	if err != nil {
		return nil
	}
	f.record = &next
	if f.leader != nil {
		f.leader.Record = f.record
	}
	return change
}

// propose proposes a policy that forbids hedging for each class or not, at random.
func (f *fleet) propose() {
	if f.phase.change > 0 || f.leader == nil {
		f.schedule(proposeInterval, f.propose)
		return
	}
	var p policy.Policy
	for i := range classCount {
		if f.random.Float64() < 0.5 {
			p = append(p, policy.Entry{Kind: policy.NoHedging, Subject: className(i)})
		}
	}
	change := &policy.Change{Base: f.record.Epoch, ID: fmt.Sprint(f.now), Policy: p}
	proposed := f.commit(policy.Command{Propose: change})
	if proposed == nil {
		return
	}
	f.phase.begin(f.now, proposed.Number)
	f.result.Proposed++
	f.answerAll()
	f.decide()
}

// decide commits or abandons the pending change, where the leader decides so.
func (f *fleet) decide() {
	if f.leader == nil || f.record.Pending == nil {
		return
	}
	f.leader.Record = f.record
	command, _ := f.leader.Decide(f.now)
	if command == nil {
		return
	}
	f.commit(*command)
	if command.Commit > 0 {
		f.result.Committed++
		f.phase.committedAt = f.now
		f.result.CommitTimes = append(f.result.CommitTimes, f.now-f.phase.proposedAt)
	} else {
		f.result.Abandoned++
		f.phase.end(f.now)
	}
	f.answerAll()
}

// review is the leader's regular review of the pending change. It also finds out when a change is applied everywhere.
func (f *fleet) review() {
	f.schedule(reviewInterval, f.review)
	f.decide()
	if f.phase.change == 0 || f.phase.committedAt == 0 {
		return
	}
	for _, g := range f.gatherers {
		if !g.reachable(f.now) {
			continue
		}
		applied := g.holder.Heartbeat(g.clock(f.now)).Applied
		if applied.Epoch != f.phase.change && applied != (policy.Revision{}) {
			return
		}
	}
	f.result.ApplyTimes = append(f.result.ApplyTimes, f.now-f.phase.proposedAt)
	f.phase.end(f.now)
}

// loseLeader leaves the policy servers without a leader, until another one is elected.
func (f *fleet) loseLeader() {
	f.leader = nil
	f.waiting = nil
	f.schedule(minElectionTime+electionRange*f.random.Float64()*f.random.Float64(), func() {
		electedAt := f.now
		if f.config.Without == WithoutElectionWait {
			electedAt = math.Inf(-1)
		}
		if f.leader == nil {
			f.leader = policy.NewLeader(f.record, f.config.Lease, f.config.ChangeTimeout, electedAt)
		}
	})
}
