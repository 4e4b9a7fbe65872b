package policy

import (
	"math"
	"slices"
)

// steps collects the states that may follow one.
type steps struct {
	from    *world
	variant variant
	next    []*world
}

// add adds the state after an event.
func (s *steps) add(event func(w *world)) {
	w := s.from.clone()
	event(w)
	s.next = append(s.next, w)
}

// successors returns all states that may follow.
func (w *world) successors(v variant) []*world {
	s := &steps{from: w, variant: v}
	s.add((*world).passTime)
	if !w.proposed {
		s.add(func(w *world) {
			w.proposed = true
			w.commit(Command{Propose: &Change{Base: w.record.Epoch, ID: "new", Policy: newPolicy}})
		})
	}
	if w.record.Pending != nil {
		s.add(func(w *world) { w.decide(v) })
	}
	if w.faults.elections > 0 {
		s.add(func(w *world) { w.elect(v) })
	}
	for i := range w.nodes {
		s.addMessages(i)
		s.addCrashes(i)
		if w.nodes[i].suspended {
			s.add(func(w *world) { w.resume(i) })
			continue
		}
		s.addActions(i)
	}
	return s.next
}

// passTime advances time by a step.
func (w *world) passTime() {
	w.now++
	for i := range w.nodes {
		n := &w.nodes[i]
		if !n.suspended { // a suspended process notices the time later
			n.noticeGeneration(w.now, n.holder.effective, n.holder.generation)
		}
	}
}

// decide lets the leader commit or abandon the pending change.
func (w *world) decide(v variant) {
	if v.noDraining {
		for i := range w.leader.instances {
			w.leader.instances[i].heartbeat.Drained = true
		}
	}
	if v.noElectionWait {
		w.leader.electedAt = math.Inf(-1)
	}
	if command, _ := w.leader.Decide(w.now); command != nil {
		w.commit(*command)
	}
}

// elect replaces the leader.
func (w *world) elect(v variant) {
	w.faults.elections--
	before := w.leader
	before.instances = slices.Clone(before.instances)
	if v.noVerification {
		w.deposed = &before
	}
	w.leader = *NewLeader(w.record, w.leader.Lease, w.leader.ChangeTimeout, w.now)
}

// addMessages adds that a late poll arrives, and that a poll or its answer is lost.
func (s *steps) addMessages(i int) {
	n := &s.from.nodes[i]
	if n.polledAt < 0 {
		return
	}
	if n.answer == nil {
		s.add(func(w *world) {
			update := w.leader.Handle(w.now, w.nodes[i].heartbeat)
			w.nodes[i].answer = &update
		})
	}
	if s.from.faults.losses > 0 {
		s.add(func(w *world) {
			w.faults.losses--
			w.nodes[i].polledAt = notPolling
			w.nodes[i].answer = nil
		})
	}
}

// addCrashes adds that a gatherer crashes and restarts, with its disk or without.
func (s *steps) addCrashes(i int) {
	if s.from.faults.crashes == 0 {
		return
	}
	for _, stored := range []Revision{s.from.nodes[i].holder.revision, {}} {
		s.add(func(w *world) {
			w.faults.crashes--
			w.nodes[i] = newNode(stored, w.nodes[i].incarnation+1)
		})
	}
}

// addActions adds what a gatherer that runs may do.
func (s *steps) addActions(i int) {
	n := &s.from.nodes[i]
	if s.from.faults.suspensions > 0 {
		s.add(func(w *world) {
			w.faults.suspensions--
			w.nodes[i].suspended = true
		})
	}
	if n.polledAt < 0 {
		s.addPolls(i)
	}
	if n.answer != nil {
		s.add(func(w *world) { w.handleAnswer(i, s.variant) })
	}
	if len(n.older) > 0 || !n.holder.Drained() { // queries in flight end
		s.add(func(w *world) {
			n := &w.nodes[i]
			_, generation := n.holder.Effective(w.now)
			n.holder.MarkDrained(generation)
			n.older = nil
		})
	}
}

// addPolls adds that a gatherer polls: the poll arrives, is late, or arrives at a deposed leader.
func (s *steps) addPolls(i int) {
	s.add(func(w *world) {
		n := w.poll(i)
		update := w.leader.Handle(w.now, n.heartbeat)
		n.answer = &update
	})
	if s.from.faults.losses > 0 {
		s.add(func(w *world) {
			w.faults.losses--
			w.poll(i)
		})
	}
	if s.variant.noVerification && s.from.deposed != nil {
		s.add(func(w *world) {
			n := w.poll(i)
			update := w.deposed.Handle(w.now, n.heartbeat)
			n.answer = &update
		})
	}
}

// poll sends a gatherer's poll.
func (w *world) poll(i int) *node {
	n := &w.nodes[i]
	n.heartbeat = n.holder.Heartbeat(w.now)
	n.heartbeat.Member = Member{Name: nodeNames[i], Fallback: bothClosed, KnownKinds: Kinds()}
	n.heartbeat.Incarnation = incarnations[n.incarnation]
	n.polledAt = w.now
	return n
}

// handleAnswer lets a gatherer handle the answer to its poll.
func (w *world) handleAnswer(i int, v variant) {
	n := &w.nodes[i]
	before, generation := n.holder.effective, n.holder.generation
	n.holder.Handle(n.polledAt, w.now, *n.answer)
	if v.noIntersection && n.answer.Pending != nil && n.holder.leased {
		n.holder.effective = n.answer.Pending.Policy
	}
	if v.noExpiry && n.holder.leased {
		n.holder.expiresAt = math.Inf(1)
	}
	n.noticeGeneration(w.now, before, generation)
	n.polledAt = notPolling
	n.answer = nil
}

// resume resumes a suspended gatherer.
func (w *world) resume(i int) {
	n := &w.nodes[i]
	n.suspended = false
	n.noticeGeneration(w.now, n.holder.effective, n.holder.generation)
}

// noticeGeneration keeps the policy by which queries in flight were decided, where another one has come
// into effect.
func (n *node) noticeGeneration(now float64, before Policy, generation uint64) {
	if _, current := n.holder.Effective(now); current == generation {
		return
	}
	n.older = append(slices.Clone(n.older), before)
	if n.holder.Drained() { // nothing that was decided before is permitted
		n.expired = append(slices.Clone(n.expired), n.older...)
		n.older = nil
	}
}
