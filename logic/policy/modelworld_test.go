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

// Lease and timeout of the model, in steps.
const (
	modelLease   = 1
	modelTimeout = 2
)

// notPolling is the time of a poll where none is in flight.
const notPolling = -1

// node is a gatherer of the model.
type node struct {
	holder      LeaseHolder
	incarnation int
	suspended   bool
	polledAt    float64 // of the poll in flight, or notPolling
	heartbeat   Heartbeat
	answer      *Update  // in flight
	older       []Policy // earlier than the one in effect, by which queries may be in flight,
	expired     []Policy // and such that are no longer permitted
}

// world is a state of the model.
type world struct {
	now      float64
	record   *Record // never modified in place
	leader   Leader
	deposed  *Leader // with the record as it was then
	nodes    []node
	faults   faults // that may still occur
	proposed bool
}

// newWorld returns the first state: all gatherers hold a lease on the old policy.
func newWorld(gatherers int, f faults) *world {
	record := &Record{Epoch: 1, LastEnded: 1, Policy: oldPolicy}
	w := &world{record: record, faults: f, leader: *NewLeader(record, modelLease, modelTimeout, -10)}
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

func (w *world) clone() *world {
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
func (w *world) commit(c Command) {
	next := *w.record
	next.History = slices.Clone(next.History)
	next.Members = slices.Clone(next.Members)
	if _, err := next.Apply(c); err == nil {
		w.record = &next
		w.leader.Record = w.record
	}
}

// applied reports whether all gatherers apply the new policy.
func (w *world) applied() bool {
	if w.record.Epoch != 2 {
		return false
	}
	return !slices.ContainsFunc(w.nodes, func(n node) bool {
		return policyCode(n.holder.effective) != newPolicyCode
	})
}

// violation describes what must not be in a state, empty where nothing is wrong.
func (w *world) violation(v variant) string {
	north, south := -1, -1 // gatherers that could send there right now
	for i := range w.nodes {
		n := w.nodes[i]
		if n.suspended {
			continue
		}
		holder := n.holder
		effective, _ := holder.Effective(w.now)
		permitted := append([]Policy{effective}, n.older...)
		if v.noPermitCheck {
			permitted = append(permitted, n.expired...)
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

// Codes of the model's policies: their number of entries, or one of these.
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

func bit(is bool) byte {
	if is {
		return 1
	}
	return 0
}

// since returns how long ago a time was as a byte, which is the same for all that is longer ago than a
// maximum.
func (w *world) since(t, maximum float64) byte {
	return byte(min(max(w.now-t, -1), maximum) + 1)
}

func revisionKey(r Revision) []byte { return []byte{byte(r.Epoch), byte(r.LastEnded), byte(r.Pending)} }

// key returns a text that is equal for two states where nothing depends on their difference.
func (w *world) key() string {
	var nodes [][]byte
	for i := range w.nodes {
		nodes = append(nodes, w.nodeKey(i))
	}
	slices.SortFunc(nodes, bytes.Compare)
	key := []byte{
		byte(w.record.Epoch),
		byte(w.record.LastEnded),
		bit(w.record.Pending != nil),
		w.since(w.leader.electedAt, 2),
		byte(w.leader.pendingNumber),
		w.since(w.leader.pendingSince, w.leader.ChangeTimeout+1),
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
func (w *world) nodeKey(i int) []byte {
	n := &w.nodes[i]
	key := revisionKey(n.holder.revision)
	key = append(key, bit(n.suspended), policyCode(n.holder.effective), bit(n.holder.leased), bit(n.holder.Drained()))
	if n.holder.leased {
		key = append(key, w.since(n.holder.expiresAt, 1))
	}
	for _, policies := range [][]Policy{n.older, n.expired} {
		var contains [policyCodeSize]bool
		for _, p := range policies {
			contains[policyCode(p)] = true
		}
		for _, is := range contains {
			key = append(key, bit(is))
		}
	}
	if n.polledAt >= 0 {
		key = append(key, '?', w.since(n.polledAt, 2))
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

// instancesKey returns what a leader knows of a gatherer that may hold a lease.
func (w *world) instancesKey(l *Leader, i int) (key []byte) {
	for _, in := range l.instances {
		if in.name != nodeNames[i] || w.now > in.polledAt+l.MaxLeaseAge() {
			continue
		}
		current := in.incarnation == incarnations[w.nodes[i].incarnation]
		key = append(key, bit(current), w.since(in.polledAt, 2), byte(in.startedDuring), bit(in.heartbeat.Drained))
		key = append(key, revisionKey(in.heartbeat.Applied)...)
	}
	return key
}
