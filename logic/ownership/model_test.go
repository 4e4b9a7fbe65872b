package ownership

import (
	"fmt"
	"slices"
	"testing"
)

// The model has two gatherers, each with one non-idempotent query that claims the same key; two hosts; logs that outlive
// them; and an authority that carries out one change, or reverts it before it is published. Messages arrive in any
// order, at any later time. One message may be lost, and one host may crash and restart with its first state. Every
// reachable state is checked. The decisions are the package's; the model only carries them out.

const (
	hostA = iota
	hostB
)

var hostNames = []string{"a", "b"}

// message is a request or a response in transit.
type message struct {
	kind     string // request or response
	gatherer int    // its number
	host     int
	request  Request
	ran      bool // of a response: whether it ran or the host is not the owner
}

type modelGatherer struct {
	epoch      int // index in published of the map that it knows
	inFlight   bool
	attempts   int
	mayHaveRun bool   // so may an earlier attempt
	answer     string // answered, rejected or failed
}

type modelState struct {
	hosts     [2]Host
	handover  Handover
	step      Step
	reverted  int      // changes of the reversal that are carried out
	published []string // maps that gatherers may know, by their keys in model.maps
	logs      map[string]SegmentLog
	grantedTo map[string]int // by log: the gatherer that has the key, from 1
	copies    [2]int         // without fencing each host has its own copy of grantedTo
	gatherers [2]modelGatherer
	messages  []message
	runs      [2]int
	grants    int
	lost      bool
	crashed   bool
}

func (s *modelState) clone() *modelState {
	c := *s
	for i := range c.hosts {
		c.hosts[i].Segments = slices.Clone(s.hosts[i].Segments)
	}
	c.published = slices.Clone(s.published)
	c.messages = slices.Clone(s.messages)
	c.logs, c.grantedTo = map[string]SegmentLog{}, map[string]int{}
	for k, v := range s.logs {
		c.logs[k] = v
	}
	for k, v := range s.grantedTo {
		c.grantedTo[k] = v
	}
	return &c
}

// key identifies a state.
func (s *modelState) key() string {
	b := make([]byte, 0, 128)
	flag := func(f bool) {
		if f {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	for i := range s.hosts {
		for _, o := range s.hosts[i].Segments {
			b = append(append(b, o.Name...), byte(o.OwnedSince), byte(o.Hi>>56))
			flag(o.Sealed)
		}
		b = append(b, '|')
	}
	b = append(b, byte(s.step), byte(s.reverted), byte(len(s.published)))
	for _, name := range []string{"s", "l", "r"} {
		log := s.logs[name]
		b = append(b, byte(log.Epoch), byte(s.grantedTo[name]))
		flag(log.Sealed)
	}
	b = append(b, byte(s.copies[0]), byte(s.copies[1]), byte(s.runs[0]), byte(s.runs[1]), byte(s.grants))
	flag(s.lost)
	flag(s.crashed)
	for _, g := range s.gatherers {
		b = append(append(b, byte(g.epoch), byte(g.attempts)), g.answer...)
		flag(g.inFlight)
		flag(g.mayHaveRun)
	}
	wire := make([]string, len(s.messages))
	for i, m := range s.messages {
		ran := byte(0)
		if m.ran {
			ran = 1
		}
		wire[i] = m.kind[:1] + m.request.Segment + string([]byte{byte(m.gatherer), byte(m.host),
			byte(m.request.OwnedSince), ran})
	}
	slices.Sort(wire) // messages have no order
	for _, w := range wire {
		b = append(append(b, w...), ';')
	}
	return string(b)
}

type model struct {
	fencing bool
	maps    map[string]*Map
	first   *Map
	change  Change
	key     Range // that is claimed
	seen    map[string]bool
}

// successors visits all states that can follow one.
func (m *model) successors(s *modelState, visit func(*modelState)) {
	do := func(f func(*modelState)) {
		c := s.clone()
		f(c)
		visit(c)
	}
	drop := func(c *modelState, i int) message {
		msg := c.messages[i]
		c.messages = slices.Delete(slices.Clone(c.messages), i, i+1)
		return msg
	}
	// The authority.
	if s.reverted == 0 && s.step < Done {
		for _, reached := range []bool{true, false} {
			h := s.handover
			h.Step = s.step
			if !h.CanProceed(reached, s.step != Accept || reached) {
				continue
			}
			do(func(c *modelState) { m.carryOut(c, reached) })
		}
	}
	if s.reverted == 0 && s.step > Seal && s.step <= Publish || s.reverted == 1 {
		do(func(c *modelState) { m.revert(c) })
	}
	// The gatherers.
	for i := range s.gatherers {
		g := s.gatherers[i]
		if g.answer != "" {
			continue
		}
		if g.epoch+1 < len(s.published) {
			do(func(c *modelState) { c.gatherers[i].epoch++ })
		}
		if !g.inFlight && !g.mayHaveRun && g.attempts < 2 {
			mp := m.maps[s.published[g.epoch]]
			p := mp.Overlaps(m.key)
			if p[0].Segment >= 0 {
				seg := mp.Segments[p[0].Segment]
				do(func(c *modelState) {
					c.gatherers[i].inFlight, c.gatherers[i].attempts = true, g.attempts+1
					c.messages = append(c.messages,
						message{kind: "request", gatherer: i, host: slices.Index(hostNames, seg.Owners[0]),
							request: Request{seg.Name, seg.OwnedSince, m.key, true}})
				})
			}
		}
		do(func(c *modelState) { // its deadline is over
			if g.inFlight || g.mayHaveRun {
				c.gatherers[i].answer = "failed"
			} else {
				c.gatherers[i].answer = "rejected"
			}
		})
	}
	// The network.
	for i, msg := range s.messages {
		if !s.lost {
			do(func(c *modelState) { drop(c, i); c.lost = true })
		}
		do(func(c *modelState) {
			drop(c, i)
			if msg.kind == "request" {
				c.messages = append(c.messages,
					message{kind: "response", gatherer: msg.gatherer, host: msg.host, ran: m.execute(c, msg)})
				return
			}
			g := &c.gatherers[msg.gatherer]
			if g.inFlight = false; msg.ran && g.answer == "" {
				g.answer = "answered"
			}
		})
	}
	if !s.crashed {
		for h := range s.hosts {
			do(func(c *modelState) {
				c.crashed = true
				c.hosts[h] = ownedByMap(m.first, h)
				for i := len(c.messages) - 1; i >= 0; i-- { // its connections end: what was on them may have run
					if c.messages[i].host == h {
						from := drop(c, i).gatherer
						c.gatherers[from].inFlight, c.gatherers[from].mayHaveRun = false, true
					}
				}
			})
		}
	}
}

// ownedByMap returns a host with what a map says that it owns.
func ownedByMap(mp *Map, h int) (host Host) {
	for _, s := range mp.Segments {
		if slices.Contains(s.Owners, hostNames[h]) {
			host.Acquire(OwnedSegment{Name: s.Name, Range: s.Range, OwnedSince: s.OwnedSince,
				Writer: s.Owners[0] == hostNames[h]})
		}
	}
	return host
}

// execute has a host handle a request and reports whether it ran.
func (m *model) execute(s *modelState, msg message) bool {
	if s.hosts[msg.host].Admit(msg.request) != Admitted {
		return false
	}
	if m.fencing {
		log := s.logs[msg.request.Segment]
		if !log.Append(msg.request.OwnedSince) {
			return false
		}
		if s.grantedTo[msg.request.Segment] == 0 {
			s.grantedTo[msg.request.Segment] = msg.gatherer + 1
			s.grants++
		}
	} else if s.copies[msg.host] == 0 {
		s.copies[msg.host] = msg.gatherer + 1
		s.grants++
	}
	s.runs[msg.gatherer]++
	return true
}

// carryOut carries out the handover's next step.
func (m *model) carryOut(s *modelState, reached bool) {
	next := m.maps["new"]
	switch s.step {
	case Seal:
		for _, name := range m.change.Removed {
			if reached {
				s.hosts[hostA].Seal(name)
			}
		}
	case Fence:
		m.raiseLogs(s, m.change)
	case Accept:
		for _, seg := range m.change.Added {
			h := slices.Index(hostNames, seg.Owners[0])
			s.hosts[h].Acquire(OwnedSegment{Name: seg.Name, Range: seg.Range, OwnedSince: seg.OwnedSince,
				Writer: true})
			if h == hostB {
				s.copies[hostB] = s.copies[hostA]
			}
		}
	case Publish:
		s.published = append(s.published, "new")
	case Release:
		for _, name := range m.change.Removed {
			if i := next.Find(name); reached && (i < 0 || next.Segments[i].Owners[0] != "a") {
				s.hosts[hostA].Release(name)
			}
		}
	}
	s.step++
}

// raiseLogs closes the logs of removed segments and opens those of added ones with what was written.
func (m *model) raiseLogs(s *modelState, c Change) {
	has := 0
	for _, name := range c.Removed {
		log := s.logs[name]
		has = max(has, s.grantedTo[name])
		log.RaiseEpoch(c.Epoch)
		log.Sealed = true
		s.logs[name] = log
	}
	for _, seg := range c.Added {
		log := s.logs[seg.Name]
		log.RaiseEpoch(c.Epoch)
		log.Sealed = false
		s.logs[seg.Name] = log
		if m.key.Within(seg.Range) {
			s.grantedTo[seg.Name] = has
		}
	}
}

// revert carries out the next change of the reversal.
func (m *model) revert(s *modelState) {
	changes, err := s.handover.Revert(m.first)
	if err != nil {
		panic(err)
	}
	c := changes[s.reverted]
	var names []string
	for _, log := range []string{"s", "l", "r"} {
		if _, open := s.logs[log]; open {
			names = append(names, log)
		}
	}
	m.raiseLogs(s, Change{Epoch: c.Epoch, Removed: names, Added: c.Added})
	if s.reverted == 1 {
		for _, seg := range c.Added {
			s.hosts[hostA].Acquire(OwnedSegment{Name: seg.Name, Range: seg.Range, OwnedSince: seg.OwnedSince,
				Writer: true})
		}
	}
	s.published = append(s.published, fmt.Sprint("undone", s.reverted))
	s.reverted++
}

// findFault returns a breach of rule 2 in a state: a double effect, or a rejection of what ran.
func (m *model) findFault(s *modelState) string {
	switch {
	case s.grants > 1:
		return "the key was granted twice"
	case s.runs[0] > 1 || s.runs[1] > 1:
		return "a claim ran twice"
	}
	for i, g := range s.gatherers {
		if g.answer == "rejected" && s.runs[i] > 0 {
			return "a claim was rejected and ran"
		}
	}
	return ""
}

// explore checks every reachable state.
func explore(t *testing.T, fence bool, why string) (states int, broken string) {
	first, err := NewMap(1, []Segment{{Name: "s", Range: All, Owners: []string{"a"}}})
	if err != nil {
		t.Fatal(err)
	}
	m := &model{fencing: fence, first: first, key: Range{1 << 63, 1 << 63}, seen: map[string]bool{}}
	if why == "move" {
		m.change, err = first.MoveSegment("s", []string{"b"})
	} else { // the right half goes to b
		m.change, err = first.newChange("split", []string{"s"},
			Segment{Name: "l", Range: Range{0, 1<<63 - 1}, Owners: []string{"a"}},
			Segment{Name: "r", Range: Range{1 << 63, ^uint64(0)}, Owners: []string{"b"}})
	}
	if err != nil {
		t.Fatal(err)
	}
	next, err := first.Apply(m.change)
	if err != nil {
		t.Fatal(err)
	}
	hand := NewHandover(first, m.change)
	undone, err := hand.Revert(first)
	if err != nil {
		t.Fatal(err)
	}
	between, _ := first.Apply(undone[0])
	back, _ := between.Apply(undone[1])
	m.maps = map[string]*Map{"old": first, "new": next, "undone0": between, "undone1": back}
	start := &modelState{handover: hand, published: []string{"old"}, logs: map[string]SegmentLog{"s": {Epoch: 1}},
		grantedTo: map[string]int{}}
	start.hosts[hostA] = ownedByMap(first, hostA)
	queue := []*modelState{start}
	m.seen[start.key()] = true
	for len(queue) > 0 && len(m.seen) < 3_000_000 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if broken := m.findFault(s); broken != "" {
			return len(m.seen), broken
		}
		m.successors(s, func(c *modelState) {
			if k := c.key(); !m.seen[k] {
				m.seen[k] = true
				queue = append(queue, c)
			}
		})
	}
	return len(m.seen), ""
}

// TestModelCheckOfHandovers explores a move and a split. With fencing nothing runs twice; without it the model must find
// that a key is granted twice.
func TestModelCheckOfHandovers(t *testing.T) {
	for _, why := range []string{"move", "split"} {
		t.Run(why, func(t *testing.T) {
			t.Parallel()
			if states, broken := explore(t, true, why); broken != "" || states < 1000 {
				t.Errorf("with fencing: %d states, %s", states, broken)
			} else {
				t.Logf("%d states", states)
			}
			if states, broken := explore(t, false, why); broken != "the key was granted twice" {
				t.Errorf("without fencing: %d states, %q", states, broken)
			}
		})
	}
}
