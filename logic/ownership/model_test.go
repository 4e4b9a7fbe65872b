package ownership

import (
	"fmt"
	"slices"
	"testing"
)

// The model: two gatherers, each with one claim of the same key; two hosts; a log that outlives them; an authority
// that carries one change out, or undoes it before it is published. Calls and answers come in any order, at any time
// later; one message may be lost and one host may crash, to come back believing what it believed at the beginning.
// Every state that can be reached is looked at. Decisions are those of the package; the model only carries them out.

const (
	hostA = iota
	hostB
)

var hostNames = []string{"a", "b"}

// news is a message on its way.
type news struct {
	kind string // call or reply
	from int    // the gatherer's number
	host int
	call Request
	ran  bool // of a reply: it ran; else it was moved
}

type modelGatherer struct {
	epoch int // place in published that it knows
	out   bool
	calls int
	may   bool   // an earlier call may have run
	final string // answered, nacked or aborted
}

type modelState struct {
	hosts     [2]Host
	hand      Handover
	step      Step
	undone    int      // changes of the undoing that are carried out
	published []string // what gatherers may know by now, as keys of maps
	logs      map[string]SegmentLog
	granted   map[string]int // by log: who has the key, 0 for nobody
	copies    [2]int         // without a fence each host has a copy of the record of its own
	g         [2]modelGatherer
	wire      []news
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
	c.wire = slices.Clone(s.wire)
	c.logs, c.granted = map[string]SegmentLog{}, map[string]int{}
	for k, v := range s.logs {
		c.logs[k] = v
	}
	for k, v := range s.granted {
		c.granted[k] = v
	}
	return &c
}

// key tells a state from all others.
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
	b = append(b, byte(s.step), byte(s.undone), byte(len(s.published)))
	for _, name := range []string{"s", "l", "r"} {
		log := s.logs[name]
		b = append(b, byte(log.Epoch), byte(s.granted[name]))
		flag(log.Sealed)
	}
	b = append(b, byte(s.copies[0]), byte(s.copies[1]), byte(s.runs[0]), byte(s.runs[1]), byte(s.grants))
	flag(s.lost)
	flag(s.crashed)
	for _, g := range s.g {
		b = append(append(b, byte(g.epoch), byte(g.calls)), g.final...)
		flag(g.out)
		flag(g.may)
	}
	wire := make([]string, len(s.wire))
	for i, m := range s.wire {
		ran := byte(0)
		if m.ran {
			ran = 1
		}
		wire[i] = m.kind[:1] + m.call.Segment + string([]byte{byte(m.from), byte(m.host), byte(m.call.OwnedSince), ran})
	}
	slices.Sort(wire) // what is on its way has no order
	for _, w := range wire {
		b = append(append(b, w...), ';')
	}
	return string(b)
}

type model struct {
	fence  bool
	maps   map[string]*Map
	first  *Map
	change Change
	key    Range // of the claim
	seen   map[string]bool
}

// spread gives all states that can follow one.
func (m *model) spread(s *modelState, visit func(*modelState)) {
	do := func(f func(*modelState)) {
		c := s.clone()
		f(c)
		visit(c)
	}
	drop := func(c *modelState, i int) news {
		msg := c.wire[i]
		c.wire = slices.Delete(slices.Clone(c.wire), i, i+1)
		return msg
	}
	// The authority.
	if s.undone == 0 && s.step < Done {
		for _, reached := range []bool{true, false} {
			h := s.hand
			h.Step = s.step
			if !h.CanProceed(reached, s.step != Accept || reached) {
				continue
			}
			do(func(c *modelState) { m.carry(c, reached) })
		}
	}
	if s.undone == 0 && s.step > Seal && s.step <= Publish || s.undone == 1 {
		do(func(c *modelState) { m.undo(c) })
	}
	// The gatherers.
	for i := range s.g {
		g := s.g[i]
		if g.final != "" {
			continue
		}
		if g.epoch+1 < len(s.published) {
			do(func(c *modelState) { c.g[i].epoch++ })
		}
		if !g.out && !g.may && g.calls < 2 {
			mp := m.maps[s.published[g.epoch]]
			p := mp.Overlaps(m.key)
			if p[0].Segment >= 0 {
				seg := mp.Segments[p[0].Segment]
				do(func(c *modelState) {
					c.g[i].out, c.g[i].calls = true, g.calls+1
					c.wire = append(c.wire, news{kind: "call", from: i, host: slices.Index(hostNames, seg.Owners[0]), call: Request{seg.Name, seg.OwnedSince, m.key, true}})
				})
			}
		}
		do(func(c *modelState) { // its time is up
			if g.out || g.may {
				c.g[i].final = "aborted"
			} else {
				c.g[i].final = "nacked"
			}
		})
	}
	// The network.
	for i, msg := range s.wire {
		if !s.lost {
			do(func(c *modelState) { drop(c, i); c.lost = true })
		}
		do(func(c *modelState) {
			drop(c, i)
			if msg.kind == "call" {
				c.wire = append(c.wire, news{kind: "reply", from: msg.from, host: msg.host, ran: m.runs(c, msg)})
				return
			}
			g := &c.g[msg.from]
			if g.out = false; msg.ran && g.final == "" {
				g.final = "answered"
			}
		})
	}
	if !s.crashed {
		for h := range s.hosts {
			do(func(c *modelState) {
				c.crashed = true
				c.hosts[h] = believed(m.first, h)
				for i := len(c.wire) - 1; i >= 0; i-- { // its connections are cut: what was on them may have run
					if c.wire[i].host == h {
						from := drop(c, i).from
						c.g[from].out, c.g[from].may = false, true
					}
				}
			})
		}
	}
}

// believed is what a host owns by a map.
func believed(mp *Map, h int) (host Host) {
	for _, s := range mp.Segments {
		if slices.Contains(s.Owners, hostNames[h]) {
			host.Acquire(OwnedSegment{Name: s.Name, Range: s.Range, OwnedSince: s.OwnedSince, Writer: s.Owners[0] == hostNames[h]})
		}
	}
	return host
}

// runs has a host take a call; it reports whether it ran.
func (m *model) runs(s *modelState, msg news) bool {
	if s.hosts[msg.host].Admit(msg.call) != Admitted {
		return false
	}
	if m.fence {
		log := s.logs[msg.call.Segment]
		if !log.Append(msg.call.OwnedSince) {
			return false
		}
		if s.granted[msg.call.Segment] == 0 {
			s.granted[msg.call.Segment] = msg.from + 1
			s.grants++
		}
	} else if s.copies[msg.host] == 0 {
		s.copies[msg.host] = msg.from + 1
		s.grants++
	}
	s.runs[msg.from]++
	return true
}

// carry takes the hand-over's next step.
func (m *model) carry(s *modelState, reached bool) {
	next := m.maps["new"]
	switch s.step {
	case Seal:
		for _, name := range m.change.Removed {
			if reached {
				s.hosts[hostA].Seal(name)
			}
		}
	case Fence:
		m.raise(s, m.change)
	case Accept:
		for _, seg := range m.change.Added {
			h := slices.Index(hostNames, seg.Owners[0])
			s.hosts[h].Acquire(OwnedSegment{Name: seg.Name, Range: seg.Range, OwnedSince: seg.OwnedSince, Writer: true})
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

// raise closes the logs of what goes and opens those of what comes with what was written.
func (m *model) raise(s *modelState, c Change) {
	has := 0
	for _, name := range c.Removed {
		log := s.logs[name]
		has = max(has, s.granted[name])
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
			s.granted[seg.Name] = has
		}
	}
}

// undo takes back a hand-over that was not published.
func (m *model) undo(s *modelState) {
	changes, err := s.hand.Revert(m.first)
	if err != nil {
		panic(err)
	}
	c := changes[s.undone]
	var names []string
	for _, log := range []string{"s", "l", "r"} {
		if _, open := s.logs[log]; open {
			names = append(names, log)
		}
	}
	m.raise(s, Change{Epoch: c.Epoch, Removed: names, Added: c.Added})
	if s.undone == 1 {
		for _, seg := range c.Added {
			s.hosts[hostA].Acquire(OwnedSegment{Name: seg.Name, Range: seg.Range, OwnedSince: seg.OwnedSince, Writer: true})
		}
	}
	s.published = append(s.published, fmt.Sprint("undone", s.undone))
	s.undone++
}

// check looks for a double effect, and for a nack that was no truth.
func (m *model) check(s *modelState) string {
	switch {
	case s.grants > 1:
		return "the key was granted twice"
	case s.runs[0] > 1 || s.runs[1] > 1:
		return "a claim ran twice"
	}
	for i, g := range s.g {
		if g.final == "nacked" && s.runs[i] > 0 {
			return "a claim was nacked and ran"
		}
	}
	return ""
}

// explore looks at every state that can be reached.
func explore(t *testing.T, fence bool, why string) (states int, broken string) {
	first, err := NewMap(1, []Segment{{Name: "s", Range: All, Owners: []string{"a"}}})
	if err != nil {
		t.Fatal(err)
	}
	m := &model{fence: fence, first: first, key: Range{1 << 63, 1 << 63}, seen: map[string]bool{}}
	if why == "move" {
		m.change, err = first.MoveSegment("s", []string{"b"})
	} else { // the right half goes to b
		m.change, err = first.newChange("split", []string{"s"}, Segment{Name: "l", Range: Range{0, 1<<63 - 1}, Owners: []string{"a"}},
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
	start := &modelState{hand: hand, published: []string{"old"}, logs: map[string]SegmentLog{"s": {Epoch: 1}}, granted: map[string]int{}}
	start.hosts[hostA] = believed(first, hostA)
	queue := []*modelState{start}
	m.seen[start.key()] = true
	for len(queue) > 0 && len(m.seen) < 3_000_000 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if broken := m.check(s); broken != "" {
			return len(m.seen), broken
		}
		m.spread(s, func(c *modelState) {
			if k := c.key(); !m.seen[k] {
				m.seen[k] = true
				queue = append(queue, c)
			}
		})
	}
	return len(m.seen), ""
}

// TestModelCheckOfHandovers explores a move and a split with the fence, in which nothing runs twice, and without it, which has to be
// caught.
func TestModelCheckOfHandovers(t *testing.T) {
	for _, why := range []string{"move", "split"} {
		t.Run(why, func(t *testing.T) {
			t.Parallel()
			if states, broken := explore(t, true, why); broken != "" || states < 1000 {
				t.Errorf("with the fence: %d states, %s", states, broken)
			} else {
				t.Logf("%d states", states)
			}
			if states, broken := explore(t, false, why); broken != "the key was granted twice" {
				t.Errorf("without the fence: %d states, %q", states, broken)
			}
		})
	}
}
