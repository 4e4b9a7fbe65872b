package policy

import (
	"bytes"
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
)

var whole = flag.Bool("whole", false, "explore more gatherers and faults together, for minutes")

// The model: one record, a steward that leads and maybe one that led before, gatherers, their questions and answers under
// way, time in steps. Every order of what may happen is played, within bounds on faults, and in every state that comes
// about it is asked what each gatherer could do right then. Times are told apart only as far as anybody goes by them, so
// that the states are finite without a bound on time; gatherers are alike, so that states that differ by their names
// alone are one.

// Two policies of which neither is looser: the old one closes the north, the new one the south.
var (
	oldPolicy = Policy{{Kind: Closed, Subject: "north/"}}
	newPolicy = Policy{{Kind: Closed, Subject: "south/"}}
	bothShut  = Policy{{Kind: Closed, Subject: "north/"}, {Kind: Closed, Subject: "south/"}}

	nodeNames = []string{"g0", "g1", "g2"}
	processes = []string{"0", "1", "2", "3"}
)

// node is a gatherer of the model.
type node struct {
	h       LeaseHolder
	process int
	stopped bool
	asked   float64 // of the question under way, -1 for none
	hello   Heartbeat
	word    *Update  // its answer under way
	older   []Policy // by which lookups may be in hand that were decided before what is acted by now,
	lost    []Policy // and such as have lost their right
}

// world is a state of the model.
type world struct {
	now                           float64
	rec                           *Record // never changed in place
	leader                        Leader
	stale                         *Leader // of the steward that led before, with the record as it was then
	nodes                         []node
	crashes, stops, losses, moves int
	proposed                      bool
}

// variant is the model with a piece left out.
type variant struct{ noIntersection, noFloor, noWire, noSettle, noWait, noProof bool }

func (w *world) clone() *world {
	c := *w
	c.leader.instances = slices.Clone(w.leader.instances)
	c.nodes = slices.Clone(w.nodes)
	if w.stale != nil {
		s := *w.stale
		s.instances = slices.Clone(s.instances)
		c.stale = &s
	}
	return &c
}

// commit has the record changed by a command, as the stewards' log would.
func (w *world) commit(c Command) {
	next := *w.rec
	next.History, next.Members = slices.Clone(next.History), slices.Clone(next.Members)
	if _, err := next.Apply(c); err == nil {
		w.rec = &next
		w.leader.Record = w.rec
	}
}

func bit(is bool) byte {
	if is {
		return 1
	}
	return 0
}

// short tells the model's policies apart.
func short(p Policy) byte {
	switch {
	case len(p) != 1:
		return byte(len(p))
	case p[0].Subject == "north/":
		return 3
	}
	return 4
}

// key tells states apart.
func (w *world) key() string {
	ago := func(t, most float64) byte { return byte(min(max(w.now-t, -1), most) + 1) }
	fence := func(f Revision) []byte { return []byte{byte(f.Epoch), byte(f.LastEnded), byte(f.Pending)} }
	var each [][]byte
	for i := range w.nodes {
		n := &w.nodes[i]
		b := fence(n.h.revision)
		b = append(b, bit(n.stopped), short(n.h.effective), bit(n.h.leased), bit(n.h.Drained()))
		if n.h.leased {
			b = append(b, ago(n.h.expiresAt, 1))
		}
		seen := [2][5]bool{}
		for _, p := range n.older {
			seen[0][short(p)] = true
		}
		for _, p := range n.lost {
			seen[1][short(p)] = true
		}
		for _, set := range seen {
			for _, is := range set {
				b = append(b, bit(is))
			}
		}
		if n.asked >= 0 {
			b = append(append(b, '?', ago(n.asked, 2)), fence(n.hello.Applied)...)
			b = append(b, bit(n.hello.Drained))
		}
		if n.word != nil {
			c := byte(0)
			if n.word.Pending != nil {
				c = byte(n.word.Pending.Number)
			}
			b = append(b, '!', byte(n.word.Epoch), byte(n.word.LastEnded), c)
		}
		for _, d := range []*Leader{&w.leader, w.stale} {
			if d == nil {
				continue
			}
			b = append(b, '/')
			for _, in := range d.instances {
				if in.name == nodeNames[i] && w.now <= in.polledAt+d.MaxLeaseAge() {
					b = append(append(b, bit(in.incarnation == processes[n.process]), ago(in.polledAt, 2), byte(in.startedDuring), bit(in.heartbeat.Drained)), fence(in.heartbeat.Applied)...)
				}
			}
		}
		each = append(each, b)
	}
	slices.SortFunc(each, bytes.Compare)
	b := []byte{byte(w.rec.Epoch), byte(w.rec.LastEnded), bit(w.rec.Pending != nil), ago(w.leader.electedAt, 2), byte(w.leader.pendingNumber), ago(w.leader.pendingSince, w.leader.ChangeTimeout+1),
		byte(w.crashes), byte(w.stops), byte(w.losses), byte(w.moves), bit(w.proposed)}
	if w.stale != nil {
		b = append(b, byte(w.stale.Record.Epoch), bit(w.stale.Record.Pending != nil))
	}
	return string(append(b, bytes.Join(each, []byte{0xff})...))
}

// notice keeps what lookups in hand were decided by, as a gatherer goes from one way to another.
func (n *node) notice(now float64, before Policy, way uint64) {
	if _, ways := n.h.Effective(now); ways == way {
		return
	}
	n.older = append(slices.Clone(n.older), before)
	if n.h.Drained() { // all that was in hand has lost its right
		n.lost, n.older = append(slices.Clone(n.lost), n.older...), nil
	}
}

// steps are all states that may follow.
func (w *world) steps(v variant) (all []*world) {
	then := func(change func(c *world)) {
		c := w.clone()
		change(c)
		all = append(all, c)
	}
	then(func(c *world) {
		c.now++
		for i := range c.nodes {
			n := &c.nodes[i]
			before, way := n.h.effective, n.h.generation
			if !n.stopped { // what stands still learns of it later
				n.notice(c.now, before, way)
			}
		}
	})
	if !w.proposed {
		then(func(c *world) {
			c.proposed = true
			c.commit(Command{Propose: &Change{Base: c.rec.Epoch, ID: "new", Policy: newPolicy}})
		})
	}
	if w.rec.Pending != nil {
		then(func(c *world) {
			if v.noSettle {
				for i := range c.leader.instances {
					c.leader.instances[i].heartbeat.Drained = true
				}
			}
			if v.noWait {
				c.leader.electedAt = math.Inf(-1)
			}
			if cmd, _ := c.leader.Decide(c.now); cmd != nil {
				c.commit(*cmd)
			}
		})
	}
	if w.moves > 0 {
		then(func(c *world) {
			c.moves--
			before := c.leader
			before.instances = slices.Clone(before.instances)
			if v.noProof {
				c.stale = &before
			}
			c.leader = *NewLeader(c.rec, c.leader.Lease, c.leader.ChangeTimeout, c.now)
		})
	}
	for i := range w.nodes {
		n := &w.nodes[i]
		if n.asked >= 0 && n.word == nil { // a question that is late comes to the steward
			then(func(c *world) {
				word := c.leader.Handle(c.now, c.nodes[i].hello)
				c.nodes[i].word = &word
			})
		}
		if n.asked >= 0 && w.losses > 0 {
			then(func(c *world) { c.losses--; c.nodes[i].asked, c.nodes[i].word = -1, nil })
		}
		if w.crashes > 0 {
			for _, disk := range []Revision{n.h.revision, {}} { // kept, or gone
				then(func(c *world) {
					c.crashes--
					c.nodes[i] = node{h: *NewLeaseHolder(bothShut, disk, nil), process: c.nodes[i].process + 1, asked: -1}
				})
			}
		}
		if n.stopped {
			then(func(c *world) {
				m := &c.nodes[i]
				m.stopped = false
				before, way := m.h.effective, m.h.generation
				m.notice(c.now, before, way)
			})
			continue
		}
		if w.stops > 0 {
			then(func(c *world) { c.stops--; c.nodes[i].stopped = true })
		}
		if n.asked < 0 {
			ask := func(c *world) *node {
				m := &c.nodes[i]
				m.hello = m.h.Heartbeat(c.now)
				m.hello.Name, m.hello.Incarnation, m.hello.Fallback, m.hello.KnownKinds = nodeNames[i], processes[m.process], bothShut, Kinds()
				m.asked = c.now
				return m
			}
			then(func(c *world) {
				m := ask(c)
				word := c.leader.Handle(c.now, m.hello)
				m.word = &word
			})
			if w.losses > 0 {
				then(func(c *world) { c.losses--; ask(c) })
			}
			if v.noProof && w.stale != nil {
				then(func(c *world) {
					m := ask(c)
					word := c.stale.Handle(c.now, m.hello)
					m.word = &word
				})
			}
		}
		if n.word != nil {
			then(func(c *world) {
				m := &c.nodes[i]
				before, way := m.h.effective, m.h.generation
				m.h.Handle(m.asked, c.now, *m.word)
				if v.noIntersection && m.word.Pending != nil && m.h.leased {
					m.h.effective = m.word.Pending.Policy
				}
				if v.noFloor && m.h.leased {
					m.h.expiresAt = math.Inf(1)
				}
				m.notice(c.now, before, way)
				m.asked, m.word = -1, nil
			})
		}
		if len(n.older) > 0 || !n.h.Drained() { // lookups in hand come to their end
			then(func(c *world) {
				m := &c.nodes[i]
				_, way := m.h.Effective(c.now)
				m.h.MarkDrained(way)
				m.older = nil
			})
		}
	}
	return all
}

// wrong says what must not be in a state.
func (w *world) wrong(v variant) string {
	north, south := -1, -1 // who could send there right now
	for i := range w.nodes {
		n := w.nodes[i]
		if n.stopped {
			continue
		}
		h := n.h
		acts, _ := h.Effective(w.now)
		could := append([]Policy{acts}, n.older...)
		if v.noWire {
			could = append(could, n.lost...)
		}
		for _, p := range could {
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
	for i, c := range w.rec.History {
		for _, o := range w.rec.History[:i] {
			if o.Number == c.Number {
				return fmt.Sprintf("change %d ended twice", c.Number)
			}
		}
	}
	return ""
}

// explore plays all orders and gives how many states there were, in how many the new policy held everywhere, and what was
// wrong in the first that was.
func explore(v variant, gatherers int, faults [4]int, limit int) (states, through int, wrong string) {
	rec := &Record{Epoch: 1, LastEnded: 1, Policy: oldPolicy}
	first := &world{rec: rec, crashes: faults[0], stops: faults[1], losses: faults[2], moves: faults[3]}
	first.leader = *NewLeader(rec, 1, 2, -10)
	for i := range gatherers {
		m := Member{Name: nodeNames[i], Fallback: bothShut, KnownKinds: Kinds()}
		first.commit(Command{Register: &m})
		n := node{h: *NewLeaseHolder(bothShut, Revision{}, nil), asked: -1}
		hello := n.h.Heartbeat(0)
		hello.Member, hello.Incarnation = m, "0"
		n.h.Handle(0, 0, first.leader.Handle(0, hello)) // all begin with a lease and the old policy
		first.nodes = append(first.nodes, n)
	}
	seen := map[string]bool{first.key(): true}
	queue := []*world{first}
	for len(queue) > 0 {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		states++
		if bad := w.wrong(v); bad != "" {
			return states, through, bad
		}
		if w.rec.Epoch == 2 && !slices.ContainsFunc(w.nodes, func(n node) bool { return short(n.h.effective) != 4 }) {
			through++
		}
		if states == limit {
			return states, through, ""
		}
		for _, next := range w.steps(v) {
			if key := next.key(); !seen[key] {
				seen[key] = true
				queue = append(queue, next)
			}
		}
	}
	return states, through, ""
}

// TestModel: in no order of events does one gatherer do what only the old policy allows while another does what only the
// new one does; and each piece that is there for it is caught missing.
func TestModel(t *testing.T) {
	t.Parallel()
	cases := []struct {
		gatherers int
		faults    [4]int // crashes, stops, losses, moves of the lead
	}{{2, [4]int{}}, {2, [4]int{1, 0, 0, 0}}, {2, [4]int{0, 1, 0, 0}}, {2, [4]int{0, 0, 1, 0}}, {2, [4]int{0, 0, 0, 1}}}
	if *whole {
		cases = append(cases, []struct {
			gatherers int
			faults    [4]int
		}{{3, [4]int{}}, {2, [4]int{1, 1, 0, 0}}, {2, [4]int{1, 0, 0, 1}}, {2, [4]int{0, 1, 0, 1}}, {2, [4]int{0, 1, 1, 0}}, {2, [4]int{1, 1, 1, 1}}, {3, [4]int{0, 1, 0, 0}}}...)
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.gatherers, " gatherers, faults ", c.faults), func(t *testing.T) {
			t.Parallel()
			states, through, wrong := explore(variant{}, c.gatherers, c.faults, 0)
			t.Logf("%d states, in %d the new policy holds everywhere", states, through)
			if wrong != "" || through == 0 {
				t.Errorf("after %d states, %d with the new policy: %s", states, through, wrong)
			}
		})
	}
	for _, c := range []struct {
		name   string
		v      variant
		faults [4]int
	}{{"no intersection", variant{noIntersection: true}, [4]int{}}, {"no floor", variant{noFloor: true}, [4]int{0, 1, 0, 0}}, {"no fence at the wire", variant{noWire: true}, [4]int{0, 1, 0, 0}},
		{"lookups in hand not waited for", variant{noSettle: true}, [4]int{}}, {"a new lead does not wait", variant{noWait: true}, [4]int{0, 0, 0, 1}},
		{"a lead not proved", variant{noProof: true}, [4]int{0, 0, 0, 1}}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			states, _, wrong := explore(c.v, 2, c.faults, 400_000)
			t.Logf("after %d states: %s", states, wrong)
			if wrong == "" {
				t.Errorf("not caught in %d states", states)
			}
		})
	}
}
