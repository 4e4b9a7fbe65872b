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

func init() { flag.Set("rapid.seed", "20261201") } // every run uses the same random draws

// scenario runs a text scenario of testdata/*.txt. Each line holds one command:
//
//	cold SHARE TIME                      initial share and duration of the warm-up; must be the first command
//	host NAME[,NAME] KEY=VALUE ...       changes listed hosts; keys: zone, groups, state, started, plan
//	                                     (started: a time, 0 for now, or long-ago)
//	drop NAME[,NAME]                     removes hosts from the list
//	see OBSERVER NAME[,NAME] KEY=VALUE   sets what an observer reports from now on: latency (s), failure share
//	                                     (f), extra latency of a failure (r), rate, in flight (out)
//	blind OBSERVER                       the observer reports that it observes no hosts
//	gone OBSERVER                        the observer stops reporting
//	run MS                               advances the time, with a decision every 250 ms
//	want NAME[,NAME] HEALTH [LOW..HIGH]  checks the published health and, optionally, the weight
//	want out N                           checks the number of ejected hosts
//	want none NAME                       checks that a host is not published
//	want blind yes|no                    checks whether ejection is suspended
//	want urgent N                        checks the number of urgent decisions since the last such line
//	want changes LOW..HIGH               checks the number of decisions with changes since the last such line
//	resume                               continues with a new decider that restores the published endpoints
type scenario struct {
	t            *testing.T
	decider      *Decider
	warmup       WarmupSettings
	now          float64
	hosts        map[string]Host
	names        []string
	observations map[string]map[string]Observation
	urgent       int
	changes      int
}

// parseSettings parses words of the form KEY=VALUE.
func parseSettings(words []string) (keys, values []string) {
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		keys, values = append(keys, k), append(values, v)
	}
	return keys, values
}

func (s *scenario) number(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

// list sets the decider's list of hosts.
func (s *scenario) list() {
	var all []Host
	for _, name := range s.names {
		if h, there := s.hosts[name]; there {
			all = append(all, h)
		}
	}
	s.decider.SetHosts(all, s.now)
}

func (s *scenario) host(names string, words []string) {
	for _, name := range strings.Split(names, ",") {
		h, known := s.hosts[name]
		if !known {
			h = Host{Name: name, Zone: "a", Groups: []int{0}, Address: name + ":1"}
			s.names = append(s.names, name)
		}
		keys, values := parseSettings(words)
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
				h.State = map[string]gather.State{
					"running": gather.Running, "draining": gather.Draining, "gone": gather.Removed,
				}[values[i]]
			case "started":
				switch values[i] {
				case "0":
					h.StartedAt = s.now
				case "long-ago":
					h.StartedAt = 0
				default:
					h.StartedAt = s.number(values[i])
				}
			case "plan":
				h.PlannedWeight = s.number(values[i])
			default:
				s.t.Fatalf("host: unknown key %q", k)
			}
		}
		s.hosts[name] = h
	}
	s.list()
}

func (s *scenario) observe(observer, names string, words []string) {
	if s.observations[observer] == nil {
		s.observations[observer] = map[string]Observation{}
	}
	for _, name := range strings.Split(names, ",") {
		observation := s.observations[observer][name]
		observation.Host = name
		keys, values := parseSettings(words)
		for i, k := range keys {
			*map[string]*float64{
				"s": &observation.Latency, "f": &observation.FailureShare, "r": &observation.FailureLatency,
				"rate": &observation.Rate, "out": &observation.InFlight,
			}[k] = s.number(values[i])
		}
		s.observations[observer][name] = observation
	}
}

// run advances the time. Every 250 ms the observers report and the decider decides. The version must grow
// with each change, and only then.
func (s *scenario) run(ms float64) {
	for until := s.now + ms; s.now < until; s.now += 250 {
		for _, observer := range []string{"w1", "w2", "w3"} {
			if s.observations[observer] == nil {
				continue
			}
			var observations []Observation
			for _, name := range s.names {
				if observation, observes := s.observations[observer][name]; observes {
					observations = append(observations, observation)
				}
			}
			s.decider.SetObservations(observer, observations, s.now)
		}
		version := s.decider.Version()
		c := s.decider.Decide(s.now)
		if c.Urgent {
			s.urgent++
		}
		if len(c.Changed) > 0 {
			s.changes++
		}
		if (len(c.Changed) > 0) != (s.decider.Version() > version) {
			s.t.Fatalf("at %g: version %d after %d, although the changed hosts are %v",
				s.now, s.decider.Version(), version, c.Changed)
		}
	}
}

// within checks that a value lies within bounds of the form LOW..HIGH, or equals a single number.
func (s *scenario) within(line, bounds string, got float64) {
	low, high, isRange := strings.Cut(bounds, "..")
	if !isRange {
		high = low
	}
	if got < s.number(low) || got > s.number(high) {
		s.t.Errorf("%s: got %g at time %g", line, got, s.now)
	}
}

func (s *scenario) want(line string, words []string) {
	published := map[string]Endpoint{}
	unhealthy := 0
	for _, e := range s.decider.Endpoints() {
		published[e.Name] = e
		if e.Health == Unhealthy {
			unhealthy++
		}
	}
	switch words[0] {
	case "out":
		s.within(line, words[1], float64(unhealthy))
	case "none":
		if e, found := published[words[1]]; found {
			s.t.Errorf("%s: the host is published as %+v", line, e)
		}
	case "blind":
		if s.decider.EjectionSuspended() != (words[1] == "yes") {
			s.t.Errorf("%s: ejection suspended is %v at time %g", line, s.decider.EjectionSuspended(), s.now)
		}
	case "urgent":
		s.within(line, words[1], float64(s.urgent))
		s.urgent = 0
	case "changes":
		s.within(line, words[1], float64(s.changes))
		s.changes = 0
	default:
		for _, name := range strings.Split(words[0], ",") {
			e, found := published[name]
			if health := []string{"healthy", "sick", "draining"}[e.Health]; !found || health != words[1] {
				s.t.Errorf("%s: health of %s is %s (published: %v) at time %g", line, name, health, found, s.now)
			}
			if len(words) > 2 {
				s.within(line, words[2], float64(e.Weight))
			}
		}
	}
}

// TestScenarios runs the text scenarios of testdata.
func TestScenarios(t *testing.T) {
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
			s := &scenario{t: t, now: 1e6, hosts: map[string]Host{},
				observations: map[string]map[string]Observation{}}
			s.decider = New(s.warmup, 0)
			for _, line := range strings.Split(string(text), "\n") {
				line, _, _ = strings.Cut(line, "#")
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				switch words[0] {
				case "cold":
					s.warmup = WarmupSettings{s.number(words[1]), s.number(words[2])}
					s.decider = New(s.warmup, 0)
				case "host":
					s.host(words[1], words[2:])
				case "drop":
					for _, name := range strings.Split(words[1], ",") {
						delete(s.hosts, name)
					}
					s.list()
				case "see":
					s.observe(words[1], words[2], words[3:])
				case "blind":
					s.observations[words[1]] = map[string]Observation{}
				case "gone":
					delete(s.observations, words[1])
				case "run":
					s.run(s.number(words[1]))
				case "want":
					s.want(strings.TrimSpace(line), words[1:])
				case "resume":
					before, version := s.decider.Endpoints(), s.decider.Version()
					s.decider = New(s.warmup, version)
					s.decider.Restore(before, s.now)
					if got := s.decider.Endpoints(); !reflect.DeepEqual(got, before) {
						t.Errorf("restored endpoints are %v, want %v", got, before)
					}
				default:
					t.Fatalf("unknown command: %s", line)
				}
			}
		})
	}
}

// TestDecisionsKeepInvariants applies random lists of hosts and random observations. No draining host is
// published as available, no host that is warming up gets more than its share, no more than half of a group
// is ejected, weights of warm hosts change in limited steps, and a second decider with the same input
// publishes the same.
func TestDecisionsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		warmup := WarmupSettings{0.3, 20_000}
		deciders := []*Decider{New(warmup, 5), New(warmup, 5)}
		n := rapid.IntRange(1, 12).Draw(t, "hosts")
		hosts := make([]Host, n)
		listed := make([]bool, n)
		for i := range hosts {
			hosts[i] = Host{Name: fmt.Sprint("h", i), Zone: fmt.Sprint("a", i%2), Groups: []int{i % 3},
				StartedAt: 0}
			listed[i] = true
		}
		now := 1e6
		previous := map[string]Endpoint{}
		for range rapid.IntRange(5, 80).Draw(t, "rounds") {
			now += float64(rapid.IntRange(50, 3000).Draw(t, "elapsed"))
			i := rapid.IntRange(0, n-1).Draw(t, "host")
			switch rapid.IntRange(0, 8).Draw(t, "change") {
			case 0:
				hosts[i].State = gather.Draining
			case 1:
				hosts[i].State, hosts[i].StartedAt, listed[i] = gather.Running, now, true
			case 2:
				listed[i] = rapid.Bool().Draw(t, "listed")
			}
			var list []Host
			for i := range hosts {
				if listed[i] {
					list = append(list, hosts[i])
				}
			}
			observations := map[string][]Observation{}
			for w := range 3 {
				for i := range hosts {
					if rapid.IntRange(0, 3).Draw(t, "seen") > 0 {
						f := rapid.SampledFrom([]float64{0, 0, 0, 0.05, 0.5, 1}).Draw(t, "failure share")
						s := rapid.SampledFrom([]float64{10, 10, 11, 40, 400}).Draw(t, "latency")
						observations[fmt.Sprint("w", w)] = append(observations[fmt.Sprint("w", w)],
							Observation{fmt.Sprint("h", i), s, f, 50, 20,
								float64(rapid.IntRange(0, 9).Draw(t, "in flight"))})
					}
				}
			}
			var published [2][]Endpoint
			for k, decider := range deciders {
				decider.SetHosts(list, now)
				for w := range 3 {
					decider.SetObservations(fmt.Sprint("w", w), observations[fmt.Sprint("w", w)], now)
				}
				decider.Decide(now)
				published[k] = decider.Endpoints()
			}
			if !reflect.DeepEqual(published[0], published[1]) {
				t.Fatalf("two deciders with the same input published %v and %v", published[0], published[1])
			}
			unhealthy, running := map[int]int{}, map[int]int{}
			current := map[string]Endpoint{}
			for _, e := range published[0] {
				current[e.Name] = e
				index := slices.IndexFunc(hosts, func(h Host) bool { return h.Name == e.Name })
				h := hosts[index]
				if listed[index] && h.State == gather.Draining && e.Health != Draining {
					t.Fatalf("draining host is published as %+v", e)
				}
				if e.Weight < 1 {
					t.Fatalf("weight below 1: %+v", e)
				}
				if !listed[index] || e.Health == Draining {
					continue
				}
				share := min(0.3+0.7*(now-h.StartedAt)/20_000, 1)
				if share < 1 && float64(e.Weight) > max(math.Round(baseWeight*share), 1) {
					t.Fatalf("%+v exceeds its warm-up share of %.2f", e, share)
				}
				if last, known := previous[e.Name]; known && last.StartedAt == e.StartedAt && share == 1 &&
					(now-h.StartedAt > 30_000) {
					if ratio := float64(e.Weight) / float64(last.Weight); e.Weight > 8 && last.Health != Unhealthy &&
						(ratio > 1.35 || ratio < 0.65) {
						t.Fatalf("weight changed too much in one step: %+v after %+v", e, last)
					}
				}
				running[h.Groups[0]]++
				if e.Health == Unhealthy {
					unhealthy[h.Groups[0]]++
				}
			}
			previous = current
			for g, n := range unhealthy {
				if n > running[g]/2 {
					t.Fatalf("%d of %d hosts are ejected in group %d", n, running[g], g)
				}
			}
		}
	})
}

// TestZoneSplitIsStable checks that a zone handles all load of its own proxies while it has the capacity, and
// that small variations and reconnect storms do not change the split.
func TestZoneSplitIsStable(t *testing.T) {
	var all []Endpoint
	add := func(zone string, n int) {
		for range n {
			all = append(all, Endpoint{Name: fmt.Sprint(zone, len(all)), Zone: zone, Groups: []int{0},
				Weight: 100})
		}
	}
	add("a", 10)
	add("b", 10)
	add("c", 1)
	split := NewZoneSplit()
	split.SetProxies(map[string]int{"a": 50, "b": 50, "c": 50}, 0)
	priority := func(localities []Locality, zone string) (p, w uint32) {
		index := slices.IndexFunc(localities, func(l Locality) bool { return l.Zone == zone })
		return localities[index].Priority, localities[index].Weight
	}
	if p, _ := priority(split.Split(all, 0, "a"), "b"); p != 1 {
		t.Error("zone a has capacity for its own proxies, but the other zones don't have priority 1")
	}
	c := split.Split(all, 0, "c")
	own, ownWeight := priority(c, "c")
	other, otherWeight := priority(c, "a")
	if own != 0 || other != 0 || ownWeight > 20 || otherWeight < 35 {
		t.Errorf("zone c, with one host for a third of the proxies, keeps too much load: %+v", c)
	}
	// Small variations of the capacity change nothing.
	split.SetProxies(map[string]int{"a": 80, "b": 50, "c": 20}, 1)
	priorityOfA, _ := priority(split.Split(all, 0, "a"), "a")
	for i := range 6 { // the capacity of zone a falls to nine tenths of its load and recovers
		all[i%2].Weight = 30
		if p, _ := priority(split.Split(all, 0, "a"), "b"); p != 1 {
			t.Fatalf("zone a shares its load after a small variation; its own hosts had priority %d before",
				priorityOfA)
		}
		all[i%2].Weight = 100
	}
	for i := range 10 { // all hosts of zone a drain
		all[i].Health = Draining
	}
	if l := split.Split(all, 0, "a"); l[0].Weight != 0 || l[0].Priority != 0 || l[1].Weight < 50 {
		t.Errorf("zone a is draining, but keeps load: %+v", l)
	}
	// When proxies have just disconnected, as in a reconnect storm, nothing changes at once.
	before := split.Split(all, 0, "c")
	split.SetProxies(nil, 1000)
	if after := split.Split(all, 0, "c"); !reflect.DeepEqual(before, after) {
		t.Errorf("split after a reconnect storm is %+v, want that before, %+v", after, before)
	}
	split.SetProxies(map[string]int{"b": 50}, 80_000)
	if after := split.Split(all, 0, "c"); after[2].Priority != 0 || after[1].Priority != 1 {
		t.Errorf("zone c has no proxies any more, but does not keep its load: %+v", after)
	}
	if l := split.Split(all, 0, "elsewhere"); len(l) != 3 || l[1].Weight == 0 {
		t.Errorf("split for a zone without hosts: %+v", l)
	}
}

// TestAdvanceVersionIgnoresOldAndImplausibleVersions checks that the version is raised above one that a proxy
// holds, unless that is older or implausibly far ahead.
func TestAdvanceVersionIgnoresOldAndImplausibleVersions(t *testing.T) {
	decider := New(WarmupSettings{}, 10)
	if decider.AdvanceVersion(9) || !decider.AdvanceVersion(500) || decider.Version() != 501 ||
		decider.AdvanceVersion(math.MaxUint64) || decider.Version() != 501 {
		t.Error(decider.Version())
	}
}
