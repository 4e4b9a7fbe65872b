package policy

import (
	"bytes"
	"fmt"
	"slices"
)

var (
	nodeNames    = []string{"g0", "g1", "g2"}
	incarnations = []string{"0", "1", "2", "3"}
)

// Lease and change timeout of the model, in its units of time.
const (
	modelLease   = 1
	modelTimeout = 2
)

// notPolling is the value of node.polledAt if no poll is in flight.
const notPolling = -1

// node is a gatherer of the model.
type node struct {
	holder          LeaseHolder
	incarnation     int
	suspended       bool
	polledAt        float64 // when the poll in flight was sent, or notPolling
	heartbeat       Heartbeat
	answer          *Update  // answer in flight; nil for none
	olderPolicies   []Policy // earlier policies by which queries in flight were decided
	expiredPolicies []Policy // earlier policies whose decisions are no longer permitted
}

// modelState is a state of the model.
type modelState struct {
	now      float64
	record   *Record // never modified in place
	leader   Leader
	deposed  *Leader // with the record at the time of the election; nil for none
	nodes    []node
	faults   faults // faults that may still occur
	proposed bool   // whether the change to the new policy was proposed
}

// newModelState returns the initial state, in which all gatherers hold a lease on the old policy.
func newModelState(gatherers int, f faults) *modelState {
	record := &Record{Epoch: 1, LastEnded: 1, Policy: oldPolicy}
	w := &modelState{record: record, faults: f, leader: *NewLeader(record, modelLease, modelTimeout, -10)}
	for i := range gatherers {
		m := Member{Name: nodeNames[i], Fallback: bothClosed, KnownKinds: Kinds()}
		w.commit(Command{Register: &m})
		n := newNode(Revision{}, 0)
		heartbeat := n.holder.Heartbeat(0)
		heartbeat.Member = m
		heartbeat.Incarnation = incarnations[0]
		n.holder.Handle(0, 0, w.leader.Handle(0, heartbeat))
		w.nodes = append(w.nodes, n)
	}
	return w
}

func newNode(stored Revision, incarnation int) node {
	return node{
		holder:      *NewLeaseHolder(bothClosed, stored, nil),
		incarnation: incarnation,
		polledAt:    notPolling,
	}
}

func (w *modelState) clone() *modelState {
	c := *w
	c.leader.instances = slices.Clone(w.leader.instances)
	c.nodes = slices.Clone(w.nodes)
	if w.deposed != nil {
		deposed := *w.deposed
		deposed.instances = slices.Clone(deposed.instances)
		c.deposed = &deposed
	}
	return &c
}

// commit applies a command to the record, as the replicated log would.
func (w *modelState) commit(c Command) {
	next := *w.record
	next.History = slices.Clone(next.History)
	next.Members = slices.Clone(next.Members)
	if _, err := next.Apply(c); err == nil {
		w.record = &next
		w.leader.Record = w.record
	}
}

// appliesNewPolicy reports whether all gatherers apply the new policy.
func (w *modelState) appliesNewPolicy() bool {
	if w.record.Epoch != 2 {
		return false
	}
	return !slices.ContainsFunc(w.nodes, func(n node) bool {
		return policyCode(n.holder.effective) != newPolicyCode
	})
}

// violation describes what violates the safety properties in the state, empty for nothing.
func (w *modelState) violation(omitted omittedSafeguards) string {
	north, south := -1, -1 // a gatherer that may send to the zone in this state; -1 for none
	for i := range w.nodes {
		n := w.nodes[i]
		if n.suspended {
			continue
		}
		holder := n.holder
		effective, _ := holder.Effective(w.now)
		permitted := append([]Policy{effective}, n.olderPolicies...)
		if omitted.noPermitCheck {
			permitted = append(permitted, n.expiredPolicies...)
		}
		for _, p := range permitted {
			if !p.Closes("north", "h") {
				north = i
			}
			if !p.Closes("south", "h") {
				south = i
			}
		}
	}
	if north >= 0 && south >= 0 {
		return fmt.Sprintf("gatherer %d may send to the north while %d may send to the south", north, south)
	}
	for i, c := range w.record.History {
		for _, earlier := range w.record.History[:i] {
			if earlier.Number == c.Number {
				return fmt.Sprintf("change %d ended twice", c.Number)
			}
		}
	}
	return ""
}

// Codes of the model's policies in keys of states: the number of entries, or for a single entry one of these.
const (
	oldPolicyCode  = 3
	newPolicyCode  = 4
	policyCodeSize = 5
)

func policyCode(p Policy) byte {
	switch {
	case len(p) != 1:
		return byte(len(p))
	case p[0].Subject == "north/":
		return oldPolicyCode
	}
	return newPolicyCode
}

func bit(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// elapsedCode returns a byte for the time that has elapsed since t, which is the same for all times of at
// least maximum.
func (w *modelState) elapsedCode(t, maximum float64) byte {
	return byte(min(max(w.now-t, -1), maximum) + 1)
}

func revisionKey(r Revision) []byte { return []byte{byte(r.Epoch), byte(r.LastEnded), byte(r.Pending)} }

// key returns a string that is equal for two states if no behavior depends on their difference.
func (w *modelState) key() string {
	var nodes [][]byte
	for i := range w.nodes {
		nodes = append(nodes, w.nodeKey(i))
	}
	slices.SortFunc(nodes, bytes.Compare)
	key := []byte{
		byte(w.record.Epoch),
		byte(w.record.LastEnded),
		bit(w.record.Pending != nil),
		w.elapsedCode(w.leader.electedAt, 2),
		byte(w.leader.pendingNumber),
		w.elapsedCode(w.leader.pendingSince, w.leader.ChangeTimeout+1),
		byte(w.faults.crashes),
		byte(w.faults.suspensions),
		byte(w.faults.losses),
		byte(w.faults.elections),
		bit(w.proposed),
	}
	if w.deposed != nil {
		key = append(key, byte(w.deposed.Record.Epoch), bit(w.deposed.Record.Pending != nil))
	}
	return string(append(key, bytes.Join(nodes, []byte{0xff})...))
}

// nodeKey returns the part of the key that concerns a gatherer.
func (w *modelState) nodeKey(i int) []byte {
	n := &w.nodes[i]
	key := revisionKey(n.holder.revision)
	key = append(key, bit(n.suspended), policyCode(n.holder.effective), bit(n.holder.leased), bit(n.holder.Drained()))
	if n.holder.leased {
		key = append(key, w.elapsedCode(n.holder.expiresAt, 1))
	}
	for _, policies := range [][]Policy{n.olderPolicies, n.expiredPolicies} {
		var contains [policyCodeSize]bool
		for _, p := range policies {
			contains[policyCode(p)] = true
		}
		for _, is := range contains {
			key = append(key, bit(is))
		}
	}
	if n.polledAt >= 0 {
		key = append(key, '?', w.elapsedCode(n.polledAt, 2))
		key = append(key, revisionKey(n.heartbeat.Applied)...)
		key = append(key, bit(n.heartbeat.Drained))
	}
	if n.answer != nil {
		key = append(key, '!')
		key = append(key, revisionKey(n.answer.Revision())...)
	}
	for _, l := range []*Leader{&w.leader, w.deposed} {
		if l != nil {
			key = append(key, '/')
			key = append(key, w.instancesKey(l, i)...)
		}
	}
	return key
}

// instancesKey returns the part of the key for what a leader knows of a gatherer's instances that may hold a
// lease.
func (w *modelState) instancesKey(l *Leader, i int) (key []byte) {
	for _, in := range l.instances {
		if in.name != nodeNames[i] || w.now > in.polledAt+l.MaxLeaseAge() {
			continue
		}
		current := in.incarnation == incarnations[w.nodes[i].incarnation]
		key = append(key, bit(current), w.elapsedCode(in.polledAt, 2), byte(in.startedDuring), bit(in.heartbeat.Drained))
		key = append(key, revisionKey(in.heartbeat.Applied)...)
	}
	return key
}
