package ownership

import (
	"fmt"
	"slices"
	"testing"
)

// This file checks handovers with an explicit-state model. The model has two gatherers, each with one
// non-idempotent query that claims the same key; two hosts; segment logs that outlive the hosts; and an
// authority that carries out one change, or reverts it before it is published. Messages arrive in any order,
// after any delay. One message may be lost, and one host may crash and restart with its initial state. Every
// reachable state is checked. All decisions are made by the code under test; the model only carries them out.

const (
	hostA = iota
	hostB
)

var hostNames = []string{"a", "b"}

// message is a request or a response in transit.
type message struct {
	kind     string // request or response
	gatherer int    // index of the gatherer
	host     int    // hostA or hostB
	request  Request
	ran      bool // in a response: the request ran; false if the host rejected it as not the owner
}

type modelGatherer struct {
	epoch      int // index in modelState.published of the map that the gatherer knows
	inFlight   bool
	attempts   int
	mayHaveRun bool   // an earlier attempt may have run
	answer     string // answered, rejected or failed; empty while the query is open
}

type modelState struct {
	hosts          [2]Host
	handover       Handover
	step           Step
	reverted       int      // number of the reversal's changes that are carried out
	published      []string // keys in model.maps of the maps that gatherers may know
	logs           map[string]SegmentLog
	grantedTo      map[string]int // by segment log: 1 + index of the gatherer that holds the key
	unfencedGrants [2]int         // replaces grantedTo without fencing: a copy for each host
	gatherers      [2]modelGatherer
	messages       []message
	runs           [2]int
	grants         int
	lost           bool
	crashed        bool
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

// key returns a string that identifies the state. Equal states have equal keys.
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
	b = append(b, byte(s.unfencedGrants[0]), byte(s.unfencedGrants[1]), byte(s.runs[0]), byte(s.runs[1]),
		byte(s.grants))
	flag(s.lost)
	flag(s.crashed)
	for _, g := range s.gatherers {
		b = append(append(b, byte(g.epoch), byte(g.attempts)), g.answer...)
		flag(g.inFlight)
		flag(g.mayHaveRun)
	}
	encoded := make([]string, len(s.messages))
	for i, m := range s.messages {
		ran := byte(0)
		if m.ran {
			ran = 1
		}
		encoded[i] = m.kind[:1] + m.request.Segment + string([]byte{byte(m.gatherer), byte(m.host),
			byte(m.request.OwnedSince), ran})
	}
	slices.Sort(encoded) // the order of messages is not part of the state
	for _, w := range encoded {
		b = append(append(b, w...), ';')
	}
	return string(b)
}

type model struct {
	fencing bool
	maps    map[string]*Map
	first   *Map
	change  Change
	key     Range // the claimed key, as a range of one
	seen    map[string]bool
}

// successors calls visit with each state that can directly follow s.
func (m *model) successors(s *modelState, visit func(*modelState)) {
	branch := func(f func(*modelState)) {
		c := s.clone()
		f(c)
		visit(c)
	}
	remove := func(c *modelState, i int) message {
		msg := c.messages[i]
		c.messages = slices.Delete(slices.Clone(c.messages), i, i+1)
		return msg
	}
	// Steps of the authority.
	if s.reverted == 0 && s.step < Done {
		for _, reached := range []bool{true, false} {
			h := s.handover
			h.Step = s.step
			if !h.CanProceed(reached, s.step != Accept || reached) {
				continue
			}
			branch(func(c *modelState) { m.carryOut(c, reached) })
		}
	}
	if s.reverted == 0 && s.step > Seal && s.step <= Publish || s.reverted == 1 {
		branch(func(c *modelState) { m.revert(c) })
	}
	// Steps of the gatherers.
	for i := range s.gatherers {
		g := s.gatherers[i]
		if g.answer != "" {
			continue
		}
		if g.epoch+1 < len(s.published) {
			branch(func(c *modelState) { c.gatherers[i].epoch++ })
		}
		if !g.inFlight && !g.mayHaveRun && g.attempts < 2 {
			mp := m.maps[s.published[g.epoch]]
			p := mp.Overlaps(m.key)
			if p[0].Segment >= 0 {
				seg := mp.Segments[p[0].Segment]
				branch(func(c *modelState) {
					c.gatherers[i].inFlight, c.gatherers[i].attempts = true, g.attempts+1
					c.messages = append(c.messages,
						message{kind: "request", gatherer: i, host: slices.Index(hostNames, seg.Owners[0]),
							request: Request{seg.Name, seg.OwnedSince, m.key, true}})
				})
			}
		}
		branch(func(c *modelState) { // the query's deadline passes
			if g.inFlight || g.mayHaveRun {
				c.gatherers[i].answer = "failed"
			} else {
				c.gatherers[i].answer = "rejected"
			}
		})
	}
	// Loss, delivery and execution of messages.
	for i, msg := range s.messages {
		if !s.lost {
			branch(func(c *modelState) { remove(c, i); c.lost = true })
		}
		branch(func(c *modelState) {
			remove(c, i)
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
			branch(func(c *modelState) {
				c.crashed = true
				c.hosts[h] = ownedByMap(m.first, h)
				// The host's connections are closed. Requests in transit on them may have run.
				for i := len(c.messages) - 1; i >= 0; i-- {
					if c.messages[i].host == h {
						from := remove(c, i).gatherer
						c.gatherers[from].inFlight, c.gatherers[from].mayHaveRun = false, true
					}
				}
			})
		}
	}
}

// ownedByMap returns the host with number h, owning the segments that the map assigns to it.
func ownedByMap(mp *Map, h int) (host Host) {
	for _, s := range mp.Segments {
		if slices.Contains(s.Owners, hostNames[h]) {
			host.Acquire(OwnedSegment{Name: s.Name, Range: s.Range, OwnedSince: s.OwnedSince,
				Writer: s.Owners[0] == hostNames[h]})
		}
	}
	return host
}

// execute delivers a request to its host and reports whether the request ran.
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
	} else if s.unfencedGrants[msg.host] == 0 {
		s.unfencedGrants[msg.host] = msg.gatherer + 1
		s.grants++
	}
	s.runs[msg.gatherer]++
	return true
}

// carryOut carries out the handover's current step and proceeds to the next one.
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
				s.unfencedGrants[hostB] = s.unfencedGrants[hostA]
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

// raiseLogs closes the logs of the removed segments, and opens the logs of the added ones with the grant that
// the closed logs hold.
func (m *model) raiseLogs(s *modelState, c Change) {
	claimant := 0
	for _, name := range c.Removed {
		log := s.logs[name]
		claimant = max(claimant, s.grantedTo[name])
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
			s.grantedTo[seg.Name] = claimant
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
	s.published = append(s.published, fmt.Sprint("reverted", s.reverted))
	s.reverted++
}

// findFault returns the violation of rule 2 in a state, if any: a non-idempotent request took effect twice,
// or was reported as rejected although it ran.
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

// explore visits every reachable state of a scenario, "move" or "split", and stops at the first fault. It
// returns how many states it found.
func explore(t *testing.T, fencing bool, scenario string) (states int, fault string) {
	first, err := NewMap(1, []Segment{{Name: "s", Range: AllKeys, Owners: []string{"a"}}})
	if err != nil {
		t.Fatal(err)
	}
	m := &model{fencing: fencing, first: first, key: Range{1 << 63, 1 << 63}, seen: map[string]bool{}}
	if scenario == "move" {
		m.change, err = first.MoveSegment("s", []string{"b"})
	} else { // split in two; b becomes the owner of the right half
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
	handover := NewHandover(first, m.change)
	reversal, err := handover.Revert(first)
	if err != nil {
		t.Fatal(err)
	}
	disowned, _ := first.Apply(reversal[0])
	restored, _ := disowned.Apply(reversal[1])
	m.maps = map[string]*Map{"old": first, "new": next, "reverted0": disowned, "reverted1": restored}
	start := &modelState{handover: handover, published: []string{"old"},
		logs: map[string]SegmentLog{"s": {Epoch: 1}}, grantedTo: map[string]int{}}
	start.hosts[hostA] = ownedByMap(first, hostA)
	queue := []*modelState{start}
	m.seen[start.key()] = true
	for len(queue) > 0 && len(m.seen) < 3_000_000 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if fault := m.findFault(s); fault != "" {
			return len(m.seen), fault
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

// TestHandoverModelGrantsKeyOnce explores a move and a split. With fencing no state violates rule 2. Without
// fencing the model must find a state in which the key is granted twice, which shows that it can find faults.
func TestHandoverModelGrantsKeyOnce(t *testing.T) {
	for _, scenario := range []string{"move", "split"} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			if states, fault := explore(t, true, scenario); fault != "" || states < 1000 {
				t.Errorf("with fencing: %d states (want at least 1000), fault %q (want none)", states, fault)
			} else {
				t.Logf("%d states", states)
			}
			if states, fault := explore(t, false, scenario); fault != "the key was granted twice" {
				t.Errorf("without fencing: %d states, fault %q; want the key granted twice", states, fault)
			}
		})
	}
}
