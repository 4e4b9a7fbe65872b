package policy

import (
	"math"
	"slices"
)

// transitions collects the states that may follow a state.
type transitions struct {
	from    *modelState
	omitted omittedSafeguards
	next    []*modelState
}

// add adds the state after an event.
func (s *transitions) add(event func(w *modelState)) {
	w := s.from.clone()
	event(w)
	s.next = append(s.next, w)
}

// successors returns all states that may follow the state.
func (w *modelState) successors(omitted omittedSafeguards) []*modelState {
	s := &transitions{from: w, omitted: omitted}
	s.add((*modelState).passTime)
	if !w.proposed {
		s.add(func(w *modelState) {
			w.proposed = true
			w.commit(Command{Propose: &Change{Base: w.record.Epoch, ID: "new", Policy: newPolicy}})
		})
	}
	if w.record.Pending != nil {
		s.add(func(w *modelState) { w.decide(omitted) })
	}
	if w.faults.elections > 0 {
		s.add(func(w *modelState) { w.elect(omitted) })
	}
	for i := range w.nodes {
		s.addMessages(i)
		s.addCrashes(i)
		if w.nodes[i].suspended {
			s.add(func(w *modelState) { w.resume(i) })
			continue
		}
		s.addActions(i)
	}
	return s.next
}

// passTime advances the time by one unit.
func (w *modelState) passTime() {
	w.now++
	for i := range w.nodes {
		n := &w.nodes[i]
		if !n.suspended { // a suspended process notices the time when it resumes
			n.noticeGeneration(w.now, n.holder.effective, n.holder.generation)
		}
	}
}

// decide lets the leader commit or abandon the pending change, or wait.
func (w *modelState) decide(omitted omittedSafeguards) {
	if omitted.noDraining {
		for i := range w.leader.instances {
			w.leader.instances[i].heartbeat.Drained = true
		}
	}
	if omitted.noElectionWait {
		w.leader.electedAt = math.Inf(-1)
	}
	if command, _ := w.leader.Decide(w.now); command != nil {
		w.commit(*command)
	}
}

// elect replaces the leader by a newly elected one.
func (w *modelState) elect(omitted omittedSafeguards) {
	w.faults.elections--
	previous := w.leader
	previous.instances = slices.Clone(previous.instances)
	if omitted.noVerification {
		w.deposed = &previous
	}
	w.leader = *NewLeader(w.record, w.leader.Lease, w.leader.ChangeTimeout, w.now)
}

// addMessages adds the arrival of a delayed poll, and the loss of a poll or its answer.
func (s *transitions) addMessages(i int) {
	n := &s.from.nodes[i]
	if n.polledAt < 0 {
		return
	}
	if n.answer == nil {
		s.add(func(w *modelState) {
			update := w.leader.Handle(w.now, w.nodes[i].heartbeat)
			w.nodes[i].answer = &update
		})
	}
	if s.from.faults.losses > 0 {
		s.add(func(w *modelState) {
			w.faults.losses--
			w.nodes[i].polledAt = notPolling
			w.nodes[i].answer = nil
		})
	}
}

// addCrashes adds crashes of a gatherer, which restarts with or without its stored revision.
func (s *transitions) addCrashes(i int) {
	if s.from.faults.crashes == 0 {
		return
	}
	for _, stored := range []Revision{s.from.nodes[i].holder.revision, {}} {
		s.add(func(w *modelState) {
			w.faults.crashes--
			w.nodes[i] = newNode(stored, w.nodes[i].incarnation+1)
		})
	}
}

// addActions adds the events of a gatherer that is not suspended: suspension, polls, answers and drained
// queries.
func (s *transitions) addActions(i int) {
	n := &s.from.nodes[i]
	if s.from.faults.suspensions > 0 {
		s.add(func(w *modelState) {
			w.faults.suspensions--
			w.nodes[i].suspended = true
		})
	}
	if n.polledAt < 0 {
		s.addPolls(i)
	}
	if n.answer != nil {
		s.add(func(w *modelState) { w.handleAnswer(i, s.omitted) })
	}
	if len(n.olderPolicies) > 0 || !n.holder.Drained() { // queries in flight have ended
		s.add(func(w *modelState) {
			n := &w.nodes[i]
			_, generation := n.holder.Effective(w.now)
			n.holder.MarkDrained(generation)
			n.olderPolicies = nil
		})
	}
}

// addPolls adds polls of a gatherer: one that arrives, one that is delayed, and one at a deposed leader.
func (s *transitions) addPolls(i int) {
	s.add(func(w *modelState) {
		n := w.poll(i)
		update := w.leader.Handle(w.now, n.heartbeat)
		n.answer = &update
	})
	if s.from.faults.losses > 0 {
		s.add(func(w *modelState) {
			w.faults.losses--
			w.poll(i)
		})
	}
	if s.omitted.noVerification && s.from.deposed != nil {
		s.add(func(w *modelState) {
			n := w.poll(i)
			update := w.deposed.Handle(w.now, n.heartbeat)
			n.answer = &update
		})
	}
}

// poll records that a gatherer sends a poll.
func (w *modelState) poll(i int) *node {
	n := &w.nodes[i]
	n.heartbeat = n.holder.Heartbeat(w.now)
	n.heartbeat.Member = Member{Name: nodeNames[i], Fallback: bothClosed, KnownKinds: Kinds()}
	n.heartbeat.Incarnation = incarnations[n.incarnation]
	n.polledAt = w.now
	return n
}

// handleAnswer lets a gatherer handle the answer to its poll.
func (w *modelState) handleAnswer(i int, omitted omittedSafeguards) {
	n := &w.nodes[i]
	previous, generation := n.holder.effective, n.holder.generation
	n.holder.Handle(n.polledAt, w.now, *n.answer)
	if omitted.noIntersection && n.answer.Pending != nil && n.holder.leased {
		n.holder.effective = n.answer.Pending.Policy
	}
	if omitted.noExpiry && n.holder.leased {
		n.holder.expiresAt = math.Inf(1)
	}
	n.noticeGeneration(w.now, previous, generation)
	n.polledAt = notPolling
	n.answer = nil
}

// resume resumes a suspended gatherer.
func (w *modelState) resume(i int) {
	n := &w.nodes[i]
	n.suspended = false
	n.noticeGeneration(w.now, n.holder.effective, n.holder.generation)
}

// noticeGeneration keeps the policy by which queries in flight were decided if another policy has taken
// effect.
func (n *node) noticeGeneration(now float64, previous Policy, generation uint64) {
	if _, current := n.holder.Effective(now); current == generation {
		return
	}
	n.olderPolicies = append(slices.Clone(n.olderPolicies), previous)
	if n.holder.Drained() { // earlier decisions are no longer permitted
		n.expiredPolicies = append(slices.Clone(n.expiredPolicies), n.olderPolicies...)
		n.olderPolicies = nil
	}
}
