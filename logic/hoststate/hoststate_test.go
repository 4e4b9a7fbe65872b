package hoststate

import (
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"yokeroute/gather"
)

func init() { flag.Set("rapid.seed", "20261201") }

// The notation of testdata/*.txt, a line each:
//
//	cold SHARE TIME                     before all else
//	host NAME[,NAME] KEY=VALUE ...      what the list says of hosts: zone, groups, state, started, plan
//	drop NAME[,NAME]                    they are no longer listed
//	see WITNESS NAME[,NAME] KEY=VALUE   what a witness sees from now on: s, f, r, rate, out
//	blind WITNESS                       it sees nothing, and says so; gone: it says nothing any more
//	run MS                              time goes on, with a decision every 250 ms
//	want NAME[,NAME] HEALTH [LOW..HIGH] what is told of them, and the weight
//	want out N; want none NAME; want blind yes|no; want urgent N (decisions since the last want urgent)
//	want changes LOW..HIGH              decisions that changed anything since the last such line
//	resume                              another mind goes on from what was handed out
type story struct {
	t       *testing.T
	m       *Mind
	terms   Terms
	now     float64
	hosts   map[string]Host
	order   []string
	seen    map[string]map[string]Seen
	urgent  int
	changes int
}

func pairs(words []string) (keys, values []string) {
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		keys, values = append(keys, k), append(values, v)
	}
	return keys, values
}

func (s *story) number(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func (s *story) list() {
	var all []Host
	for _, name := range s.order {
		if h, there := s.hosts[name]; there {
			all = append(all, h)
		}
	}
	s.m.List(all, s.now)
}

func (s *story) host(names string, words []string) {
	for _, name := range strings.Split(names, ",") {
		h, known := s.hosts[name]
		if !known {
			h = Host{Name: name, Zone: "a", Groups: []int{0}, Address: name + ":1"}
			s.order = append(s.order, name)
		}
		keys, values := pairs(words)
		for i, k := range keys {
			switch k {
			case "zone":
				h.Zone = values[i]
			case "groups":
				h.Groups = nil
				for _, g := range strings.Split(values[i], "+") {
					h.Groups = append(h.Groups, int(s.number(g)))
				}
			case "state":
				h.State = map[string]gather.State{"running": gather.Running, "draining": gather.Draining, "gone": gather.Removed}[values[i]]
			case "started":
				if h.Started = s.number(values[i]); values[i] == "0" {
					h.Started = s.now
				}
			case "plan":
				h.Weight = s.number(values[i])
			default:
				s.t.Fatalf("host: %s", k)
			}
		}
		s.hosts[name] = h
	}
	s.list()
}

func (s *story) see(witness, names string, words []string) {
	if s.seen[witness] == nil {
		s.seen[witness] = map[string]Seen{}
	}
	for _, name := range strings.Split(names, ",") {
		o := s.seen[witness][name]
		o.Host = name
		keys, values := pairs(words)
		for i, k := range keys {
			*map[string]*float64{"s": &o.S, "f": &o.F, "r": &o.R, "rate": &o.Rate, "out": &o.Out}[k] = s.number(values[i])
		}
		s.seen[witness][name] = o
	}
}

func (s *story) run(ms float64) {
	for until := s.now + ms; s.now < until; s.now += 250 {
		for _, witness := range []string{"w1", "w2", "w3"} {
			if s.seen[witness] == nil {
				continue
			}
			var all []Seen
			for _, name := range s.order {
				if o, sees := s.seen[witness][name]; sees {
					all = append(all, o)
				}
			}
			s.m.See(witness, all, s.now)
		}
		version := s.m.Version()
		c := s.m.Decide(s.now)
		if c.Urgent {
			s.urgent++
		}
		if len(c.Changed) > 0 {
			s.changes++
		}
		if (len(c.Changed) > 0) != (s.m.Version() > version) {
			s.t.Fatalf("at %g: version %d after %d with %v changed", s.now, s.m.Version(), version, c.Changed)
		}
	}
}

func (s *story) within(line, bounds string, got float64) {
	low, high, two := strings.Cut(bounds, "..")
	if !two {
		high = low
	}
	if got < s.number(low) || got > s.number(high) {
		s.t.Errorf("%s: got %g at %g", line, got, s.now)
	}
}

func (s *story) want(line string, words []string) {
	told := map[string]Endpoint{}
	out := 0
	for _, e := range s.m.Endpoints() {
		told[e.Name] = e
		if e.Health == Sick {
			out++
		}
	}
	switch words[0] {
	case "out":
		s.within(line, words[1], float64(out))
	case "none":
		if e, is := told[words[1]]; is {
			s.t.Errorf("%s: %+v", line, e)
		}
	case "blind":
		if s.m.Blind() != (words[1] == "yes") {
			s.t.Errorf("%s: %v at %g", line, s.m.Blind(), s.now)
		}
	case "urgent":
		s.within(line, words[1], float64(s.urgent))
		s.urgent = 0
	case "changes":
		s.within(line, words[1], float64(s.changes))
		s.changes = 0
	default:
		for _, name := range strings.Split(words[0], ",") {
			e, is := told[name]
			if health := []string{"healthy", "sick", "draining"}[e.Health]; !is || health != words[1] {
				s.t.Errorf("%s: %s is %s, %v, at %g", line, name, health, is, s.now)
			}
			if len(words) > 2 {
				s.within(line, words[2], float64(e.Weight))
			}
		}
	}
}

func TestStories(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) < 8 {
		t.Fatal(files)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := &story{t: t, now: 1e6, hosts: map[string]Host{}, seen: map[string]map[string]Seen{}}
			s.m = New(s.terms, 0)
			for _, line := range strings.Split(string(text), "\n") {
				line, _, _ = strings.Cut(line, "#")
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				switch words[0] {
				case "cold":
					s.terms = Terms{s.number(words[1]), s.number(words[2])}
					s.m = New(s.terms, 0)
				case "host":
					s.host(words[1], words[2:])
				case "drop":
					for _, name := range strings.Split(words[1], ",") {
						delete(s.hosts, name)
					}
					s.list()
				case "see":
					s.see(words[1], words[2], words[3:])
				case "blind":
					s.seen[words[1]] = map[string]Seen{}
				case "gone":
					delete(s.seen, words[1])
				case "run":
					s.run(s.number(words[1]))
				case "want":
					s.want(strings.TrimSpace(line), words[1:])
				case "resume":
					before, version := s.m.Endpoints(), s.m.Version()
					s.m = New(s.terms, version)
					s.m.Resume(before, s.now)
					if got := s.m.Endpoints(); !reflect.DeepEqual(got, before) {
						t.Errorf("resumes with %v, not %v", got, before)
					}
				default:
					t.Fatalf("%s?", line)
				}
			}
		})
	}
}

// TestLaws: whatever is seen and listed, no host that drains or left is told as one to send to, no cold one gets more
// than its share, enough stay in, weights of warm ones move by steps, and all of it comes out alike a second time.
func TestLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{0.3, 20_000}
		minds := []*Mind{New(terms, 5), New(terms, 5)}
		n := rapid.IntRange(1, 12).Draw(t, "hosts")
		hosts := make([]Host, n)
		there := make([]bool, n)
		for i := range hosts {
			hosts[i] = Host{Name: fmt.Sprint("h", i), Zone: fmt.Sprint("a", i%2), Groups: []int{i % 3}, Started: 0}
			there[i] = true
		}
		now := 1e6
		before := map[string]Endpoint{}
		for range rapid.IntRange(5, 80).Draw(t, "rounds") {
			now += float64(rapid.IntRange(50, 3000).Draw(t, "passes"))
			i := rapid.IntRange(0, n-1).Draw(t, "host")
			switch rapid.IntRange(0, 8).Draw(t, "what") {
			case 0:
				hosts[i].State = gather.Draining
			case 1:
				hosts[i].State, hosts[i].Started, there[i] = gather.Running, now, true
			case 2:
				there[i] = rapid.Bool().Draw(t, "there")
			}
			var list []Host
			for i := range hosts {
				if there[i] {
					list = append(list, hosts[i])
				}
			}
			sights := map[string][]Seen{}
			for w := range 3 {
				for i := range hosts {
					if rapid.IntRange(0, 3).Draw(t, "seen") > 0 {
						f := rapid.SampledFrom([]float64{0, 0, 0, 0.05, 0.5, 1}).Draw(t, "f")
						s := rapid.SampledFrom([]float64{10, 10, 11, 40, 400}).Draw(t, "s")
						sights[fmt.Sprint("w", w)] = append(sights[fmt.Sprint("w", w)], Seen{fmt.Sprint("h", i), s, f, 50, 20, float64(rapid.IntRange(0, 9).Draw(t, "out"))})
					}
				}
			}
			var told [2][]Endpoint
			for k, m := range minds {
				m.List(list, now)
				for w := range 3 {
					m.See(fmt.Sprint("w", w), sights[fmt.Sprint("w", w)], now)
				}
				m.Decide(now)
				told[k] = m.Endpoints()
			}
			if !reflect.DeepEqual(told[0], told[1]) {
				t.Fatalf("two minds: %v and %v", told[0], told[1])
			}
			out, running := map[int]int{}, map[int]int{}
			now2 := map[string]Endpoint{}
			for _, e := range told[0] {
				now2[e.Name] = e
				at := slices.IndexFunc(hosts, func(h Host) bool { return h.Name == e.Name })
				h := hosts[at]
				if there[at] && h.State == gather.Draining && e.Health != Draining {
					t.Fatalf("%+v drains", e)
				}
				if e.Weight < 1 {
					t.Fatalf("%+v", e)
				}
				if !there[at] || e.Health == Draining {
					continue
				}
				warm := min(0.3+0.7*(now-h.Started)/20_000, 1)
				if warm < 1 && float64(e.Weight) > max(math.Round(base*warm), 1) {
					t.Fatalf("%+v is %.2f warm", e, warm)
				}
				if was, knew := before[e.Name]; knew && was.Started == e.Started && warm == 1 && (now-h.Started > 30_000) {
					if r := float64(e.Weight) / float64(was.Weight); e.Weight > 8 && was.Health != Sick && (r > 1.35 || r < 0.65) {
						t.Fatalf("%+v after %+v", e, was)
					}
				}
				running[h.Groups[0]]++
				if e.Health == Sick {
					out[h.Groups[0]]++
				}
			}
			before = now2
			for g, n := range out {
				if n > running[g]/2 {
					t.Fatalf("%d of %d are out in group %d", n, running[g], g)
				}
			}
		}
	})
}

// TestSplit: zones keep to themselves while they hold their proxies, and not by turns.
func TestSplit(t *testing.T) {
	var all []Endpoint
	add := func(zone string, n int) {
		for range n {
			all = append(all, Endpoint{Name: fmt.Sprint(zone, len(all)), Zone: zone, Groups: []int{0}, Weight: 100})
		}
	}
	add("a", 10)
	add("b", 10)
	add("c", 1)
	h := NewZoneSplit()
	h.Follow(map[string]int{"a": 50, "b": 50, "c": 50}, 0)
	priority := func(of []Locality, zone string) (p, w uint32) {
		at := slices.IndexFunc(of, func(l Locality) bool { return l.Zone == zone })
		return of[at].Priority, of[at].Weight
	}
	if p, _ := priority(h.Split(all, 0, "a"), "b"); p != 1 {
		t.Error("a has room for its own: the others come second")
	}
	c := h.Split(all, 0, "c")
	own, ownWeight := priority(c, "c")
	other, otherWeight := priority(c, "a")
	if own != 0 || other != 0 || ownWeight > 20 || otherWeight < 35 {
		t.Errorf("c has one host for a third of the proxies: %+v", c)
	}
	// A little to and fro changes nothing.
	h.Follow(map[string]int{"a": 80, "b": 50, "c": 20}, 1)
	first, _ := priority(h.Split(all, 0, "a"), "a")
	for i := range 6 { // a's room goes down to nine tenths of its load and back
		all[i%2].Weight = 30
		if p, _ := priority(h.Split(all, 0, "a"), "b"); p != 1 {
			t.Fatalf("a opens up at the first breath: %d", first)
		}
		all[i%2].Weight = 100
	}
	for i := range 10 { // all of a drains
		all[i].Health = Draining
	}
	if l := h.Split(all, 0, "a"); l[0].Weight != 0 || l[0].Priority != 0 || l[1].Weight < 50 {
		t.Errorf("a drains: %+v", l)
	}
	// Where proxies have just gone, as in a reconnect storm, nothing changes at once.
	before := h.Split(all, 0, "c")
	h.Follow(nil, 1000)
	if after := h.Split(all, 0, "c"); !reflect.DeepEqual(before, after) {
		t.Errorf("after a storm: %+v, before it %+v", after, before)
	}
	h.Follow(map[string]int{"b": 50}, 80_000)
	if after := h.Split(all, 0, "c"); after[2].Priority != 0 || after[1].Priority != 1 {
		t.Errorf("c's proxies have gone for good: %+v", after)
	}
	if l := h.Split(all, 0, "elsewhere"); len(l) != 3 || l[1].Weight == 0 {
		t.Errorf("from a zone without hosts: %+v", l)
	}
}

// TestPass: versions go past what proxies hold, not where a proxy tells nonsense.
func TestPass(t *testing.T) {
	m := New(Terms{}, 10)
	if m.Pass(9) || !m.Pass(500) || m.Version() != 501 || m.Pass(math.MaxUint64) || m.Version() != 501 {
		t.Error(m.Version())
	}
}
