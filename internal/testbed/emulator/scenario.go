// Package emulator plays a fleet in virtual time: shard servers, halls, links, discovery, clients, what goes wrong
// with them, and gatherers that run the project's real decisions, each an instance that shares nothing. A scenario
// and a seed give the same day to the byte, on any machine and on any number of cores.
//
// Its figures are its own. Arrivals are Poisson; work is lognormal with, where told, a Pareto tail (M. Harchol-Balter,
// M. Crovella and C. Murta, 1999, found such sizes in practice); hot keys follow Zipf's law (L. Breslau and others,
// 1999); a lost segment is sent again after 200 ms and twice as long each time (RFC 6298 with Linux' least time-out).
// What the model lacks: gatherers' CPU, bandwidth, and anything about a server beyond a queue before its cores.
package emulator

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"yokeroute/gather"
	"yokeroute/internal/config/directive"
	"yokeroute/internal/rulecheck"
	"yokeroute/internal/suggest"
)

// Scenario is a day to be played. Times are milliseconds, rates a second.
type Scenario struct {
	Name   string
	Length float64 // in which clients ask
	Warmup float64 // of these, which do not count
	Tick   float64

	Halls     []string
	Local     float64 // one-way latency inside a hall
	Links     []Link
	Kinds     []Kind
	Groups    []Group
	Layout    Layout
	Gatherers Gatherers
	Indexes   []Index
	Customers []Customer
	Clients   Clients
	Discovery Discovery
	Rules     Rules
	Planned   bool // gatherers follow weights worked out from what the scenario tells
	Owned     Owned
	Troubles  []Trouble
	Seed      uint64   // of a day that is kept
	Expect    []Expect // of it
}

// Owned is who owns which keys, where segments have owners of their own and move.
type Owned struct {
	Segments int // at first; 0 where the layout says who holds what
	Most     int
	Owners   int     // of each
	Every    float64 // between two hand-overs, 0 for none
	Takes    float64 // a step of one
	Undone   float64 // share of hand-overs that are taken back before they are published
}

// Expect is what a day that is kept has to come to at least.
type Expect struct {
	What  string
	Least float64
}

// Link is a path between two halls, both ways.
type Link struct {
	From, To string
	Latency  float64 // one way
	Jitter   float64 // standard deviation over the mean, lognormal
	Loss     float64 // share of messages that have to be sent again
	line     *directive.Values
}

// Kind is a kind of machines.
type Kind struct {
	Name     string
	Cores    int
	Speed    float64
	Queue    int     // parts that wait; further ones are turned away
	Conns    int     // connections held at once, 0 for any number
	Setup    float64 // work of a new connection
	Call     float64 // work of a call beside its parts'
	Crowding float64 // by this much slower for each time that its cores' number of parts waits
	Brief    bool    // answers first passes
}

// Group is servers of one kind, dealt out over halls and sets in turns.
type Group struct {
	Count int
	Kind  string
	Halls []string // all where none is told
	line  *directive.Values
}

// Layout is which servers hold which shards.
type Layout struct {
	Sets   int // whose servers hold the same shards
	Row    int // sets in a row that hold a shard
	Shards int
}

// Gatherers are those of the fleet.
type Gatherers struct {
	Count int
	Skew  float64 // the busiest has so many times the load of the mean one
	Clock float64 // by which their clocks may be off, either way
	Held  int     // lookups and parts that one may hold, 0 for any number
	Lag   float64 // time from a round's decision to its bytes
}

// Index is an index of lookups.
type Index struct {
	Name       string
	Share      float64 // of the lookups
	Parts, To  int
	Work       float64 // of a part, milliseconds of one core at speed 1
	Spread     float64 // of work among parts, standard deviation over the mean
	Markov     bool    // work is exponential instead
	Tail       float64 // share of parts with a Pareto tail,
	TailTimes  float64 // whose least is so many times the mean
	Hint       float64 // by how much hints of cost are off, standard deviation over the mean; below 0 for no hints
	Need       float64
	Least      float64
	Soft, Hard float64
	Late       float64 // share of the gain that a late answer earns
	Partial    float64 // share that an answer earns for what is in of what is needed
	Gain       float64
	Effect     string
	Window     float64
	Prune      float64 // share of parts that hold nothing; below 0 for an index in one phase
	Brief      float64 // work of a first pass's part over one in full
	False      float64 // share of empty parts that a summary calls not empty
	line       *directive.Values
}

// Customer is who asks.
type Customer struct {
	Name  string
	Share float64
}

// Clients are how they ask.
type Clients struct {
	Rate      float64 // lookups a second, all together
	Retries   int
	Wait      float64 // before a retry that has no advice
	Impatient float64 // share that comes again at once, whatever the advice
	Patience  float64 // a try is given up after at least this share of the hard deadline
	Neighbors bool    // a lookup's shards are neighbours
	Keys      int     // distinct keys
	Zipf      float64 // exponent of their popularity, 0 for all alike
	Latency   float64 // one way to a gatherer
	Notice    float64 // after which a client notices that its gatherer has died
	Leave     bool    // a client tells its gatherer that it has given up
}

// Discovery is how gatherers learn of servers.
type Discovery struct{ Lag, To float64 }

// Rules are the figures of the six rules and of what gatherers may do.
type Rules struct {
	Grace, Slack        float64
	Free, Share, Span   float64
	ColdFrom, ColdTime  float64
	FallSpan, FallTimes float64
	Calls               int
	Copies              bool
	Cancel              string // what stops work that nobody waits for: running, waiting or nothing
	CallParts           int
	Connect, Idle       float64
	ComeBack            float64
	Restart             float64 // after which a server that fell over is back, 0 for never
}

func newScenario() *Scenario {
	return &Scenario{Seed: 1, Length: 40_000, Warmup: 2000, Tick: 5, Local: 0.1, Layout: Layout{Sets: 1, Row: 1},
		Gatherers: Gatherers{Count: 3, Skew: 1},
		Clients:   Clients{Rate: 20, Retries: 2, Wait: 200, Patience: 0.8, Neighbors: true, Keys: 10_000, Latency: 0.2, Notice: 1000, Leave: true},
		Discovery: Discovery{500, 1500},
		Rules: Rules{Grace: 250, Slack: 20, Free: 10, Share: 0.05, Span: 2000, ColdFrom: 0.2, ColdTime: 15_000, FallSpan: 2000, FallTimes: 3,
			Calls: 3, Copies: true, Cancel: "waiting", CallParts: 16, Connect: 250, Idle: 15_000, ComeBack: 1000}}
}

func (s *Scenario) table() *directive.Table {
	span := func(name, help string) directive.Field {
		return directive.Field{Name: name, Kind: directive.Duration, Help: help}
	}
	share := func(name, help string) directive.Field {
		return directive.Field{Name: name, Kind: directive.Share, Help: help}
	}
	times := func(name, help string) directive.Field {
		return directive.Field{Name: name, Kind: directive.Number, Max: 1000, Help: help}
	}
	count := func(name string, least, most float64, help string) directive.Field {
		return directive.Field{Name: name, Kind: directive.Count, Min: least, Max: most, Help: help}
	}
	hall := func(v *directive.Values, field string) error {
		for i, h := range v.List(field) {
			if !slices.Contains(s.Halls, h) {
				f := v.Errorf(field, "is no hall given above%s", suggest.Hint(h, s.Halls))
				f.Position, f.Token = v.Pos(field, i), h
				return f
			}
		}
		return nil
	}
	t := &directive.Table{Name: "scenario file", Intro: "A day for the emulator: `yokeroute-testbed run FILE`. Halls stand before what is in them, kinds before servers of them. What is left out has the value named here.", Directives: []*directive.Directive{
		{Name: "scenario", Once: true, Args: []directive.Field{{Name: "name", Kind: directive.Name}}, Help: "Names the day.", Example: "scenario crash-of-a-third",
			Apply: func(v *directive.Values) error { s.Name = v.Text("name"); return nil }},
		{Name: "time", Once: true, Options: []directive.Field{{Name: "length", Kind: directive.Duration, Min: 1, Max: 86_400_000, Help: "in which clients ask; 40s"}, span("warm-up", "of these, which do not count; 2s"),
			{Name: "tick", Kind: directive.Duration, Min: 0.1, Max: 1000, Help: "between a gatherer's rounds at least; 5ms"}}, Help: "How long the day is.", Example: "time length 60s warm-up 5s tick 5ms",
			Apply: func(v *directive.Values) error {
				s.Length, s.Warmup, s.Tick = v.Number("length", s.Length), v.Number("warm-up", s.Warmup), v.Number("tick", s.Tick)
				return nil
			}},
		{Name: "hall", Args: []directive.Field{{Name: "name", Kind: directive.Name}}, Help: "A place for machines and gatherers.", Example: "hall north",
			Apply: func(v *directive.Values) error {
				if slices.Contains(s.Halls, v.Text("name")) {
					return v.Errorf("name", "is given twice")
				}
				s.Halls = append(s.Halls, v.Text("name"))
				return nil
			}},
		{Name: "local", Once: true, Options: []directive.Field{{Name: "latency", Kind: directive.Duration, Required: true, Help: "one way, inside a hall; 0.1ms"}}, Help: "Paths inside a hall.", Example: "local latency 0.1ms",
			Apply: func(v *directive.Values) error { s.Local = v.Number("latency", 0); return nil }},
		{Name: "link", Args: []directive.Field{{Name: "from", Kind: directive.Name}, {Name: "to", Kind: directive.Name}}, Options: []directive.Field{span("latency", "one way; 0.5ms"),
			{Name: "jitter", Kind: directive.Number, Max: 10, Help: "its standard deviation over the mean; 0.2"}, share("loss", "of messages that have to be sent again; none")},
			Help: "The path between two halls, both ways.", Example: "link north south latency 0.6ms jitter 0.2 loss 0.1%",
			Apply: func(v *directive.Values) error {
				if err := errors.Join(hall(v, "from"), hall(v, "to")); err != nil {
					return first(err)
				}
				s.Links = append(s.Links, Link{v.Text("from"), v.Text("to"), v.Number("latency", 0.5), v.Number("jitter", 0.2), v.Number("loss", 0), v})
				return nil
			}},
		{Name: "kind", Args: []directive.Field{{Name: "name", Kind: directive.Name}}, Options: []directive.Field{count("cores", 1, 1024, "4"), {Name: "speed", Kind: directive.Number, Min: 0.01, Max: 100, Help: "of a core; 1"},
			count("queue", 1, 1e6, "parts that wait; 200"), count("connections", 0, 1e6, "held at once; any number"), span("setup", "work of a new connection; 1ms"), span("call", "work of a call beside its parts'; 0"),
			{Name: "crowding", Kind: directive.Number, Max: 10, Help: "by so much slower for each time that its cores' number of parts waits; 0"}, {Name: "old", Kind: directive.Flag, Help: "knows no first passes"}},
			Help: "A kind of machines.", Example: "kind big cores 4 speed 1 queue 200 call 2ms",
			Apply: func(v *directive.Values) error {
				if slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Name == v.Text("name") }) {
					return v.Errorf("name", "is given twice")
				}
				s.Kinds = append(s.Kinds, Kind{v.Text("name"), int(v.Number("cores", 4)), v.Number("speed", 1), int(v.Number("queue", 200)), int(v.Number("connections", 0)),
					v.Number("setup", 1), v.Number("call", 0), v.Number("crowding", 0), !v.Has("old")})
				return nil
			}},
		{Name: "servers", Args: []directive.Field{count("count", 1, 1e5, "")}, Options: []directive.Field{{Name: "kind", Kind: directive.Name, Required: true}, {Name: "in", Kind: directive.Names, Help: "halls; all, in turns"}},
			Help: "So many machines, dealt out over the sets and halls in turns.", Example: "servers 12 kind big in north south",
			Apply: func(v *directive.Values) error {
				if !slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Name == v.Text("kind") }) {
					return v.Errorf("kind", "is no kind given above")
				}
				if err := hall(v, "in"); err != nil {
					return err
				}
				s.Groups = append(s.Groups, Group{int(v.Number("count", 0)), v.Text("kind"), v.List("in"), v})
				return nil
			}},
		{Name: "layout", Once: true, Options: []directive.Field{count("sets", 1, 1e5, "whose servers hold the same shards; 1"), count("row", 1, 100, "sets in a row that hold a shard; 1"), count("shards", 1, 1e6, "six a set")},
			Help: "Which servers hold which shards: shard s is held by the sets from s modulo their number on.", Example: "layout sets 3 shards 18",
			Apply: func(v *directive.Values) error {
				s.Layout = Layout{int(v.Number("sets", 1)), int(v.Number("row", 1)), int(v.Number("shards", 0))}
				return nil
			}},
		{Name: "gatherers", Once: true, Args: []directive.Field{count("count", 1, 10_000, "")}, Options: []directive.Field{{Name: "skew", Kind: directive.Number, Min: 1, Max: 100, Help: "the busiest has so many times the mean's load; 1"},
			span("clock", "by which their clocks are off, either way; 0"), count("held", 1, 1e7, "lookups and parts that one may hold; any number"), span("lag", "from a decision to its bytes; 0")},
			Help: "The gatherers, dealt out over the halls in turns.", Example: "gatherers 5 skew 2 clock 20ms",
			Apply: func(v *directive.Values) error {
				s.Gatherers = Gatherers{int(v.Number("count", 0)), v.Number("skew", 1), v.Number("clock", 0), int(v.Number("held", 0)), v.Number("lag", 0)}
				return nil
			}},
		{Name: "index", Args: []directive.Field{{Name: "name", Kind: directive.Name}}, Options: []directive.Field{share("share", "of the lookups; all that is left, evenly"), count("parts", 1, 10_000, "4"), count("to", 1, 10_000, "parts at most; as many as at least"),
			span("work", "of a part, of one core at speed 1; 20ms"), times("spread", "of work among parts, standard deviation over the mean; 0.4"), {Name: "exponential", Kind: directive.Flag, Help: "work is distributed so, whatever the spread"}, share("tail", "of parts with a Pareto tail (exponent 1.5); none"), times("tail-times", "its least over the mean; 4"),
			times("hint", "by how much hints of cost are off, standard deviation over the mean; 0.3"), {Name: "no-hint", Kind: directive.Flag, Help: "parts tell no cost"},
			share("need", "of the weight that makes a whole answer; 100%"), share("least", "under which no answer is given; as needed"), span("soft", "soft deadline; 400ms"), span("hard", "hard deadline; 2s"),
			share("late", "of the gain that a late answer earns; 10%"), share("partial", "of the gain that an answer in part earns, for what is in of what is needed; 0%"), times("gain", "of a lookup; 1"),
			{Name: "effect", Kind: directive.Choice, Choices: []string{"idempotent", "fingerprinted", "once-only"}, Help: "idempotent"}, span("window", "of fingerprints; 1s"),
			share("prune", "of parts that hold nothing, for lookups that may go in two phases"), share("brief", "work of a first pass's part over one in full; 10%"), share("false", "of empty parts that a summary calls not empty; 1%")},
			Help: "An index of lookups.", Example: "index find parts 4 to 7 work 80ms spread 0.4 soft 1.2s hard 2.5s",
			Apply: func(v *directive.Values) error {
				ix := Index{Name: v.Text("name"), Share: v.Number("share", -1), Parts: int(v.Number("parts", 4)), Work: v.Number("work", 20), Spread: v.Number("spread", 0.4),
					Tail: v.Number("tail", 0), TailTimes: v.Number("tail-times", 4), Hint: v.Number("hint", 0.3), Need: v.Number("need", 1), Soft: v.Number("soft", 400), Hard: v.Number("hard", 2000),
					Late: v.Number("late", 0.1), Partial: v.Number("partial", 0), Gain: v.Number("gain", 1), Effect: "idempotent", Window: v.Number("window", 1000), Prune: v.Number("prune", -1),
					Brief: v.Number("brief", 0.1), False: v.Number("false", 0.01), line: v}
				ix.To, ix.Least = int(v.Number("to", float64(ix.Parts))), v.Number("least", ix.Need)
				if v.Has("effect") {
					ix.Effect = v.Text("effect")
				}
				ix.Markov = v.Has("exponential")
				if v.Has("no-hint") {
					ix.Hint = -1
				}
				switch {
				case slices.ContainsFunc(s.Indexes, func(o Index) bool { return o.Name == ix.Name }):
					return v.Errorf("name", "is given twice")
				case ix.To < ix.Parts:
					return v.Errorf("to", "is less than the %d parts that a lookup has at least", ix.Parts)
				case ix.Least > ix.Need:
					return v.Errorf("least", "is more than the %s that make a whole answer", directive.FormatShare(ix.Need))
				case ix.Soft > ix.Hard:
					return v.Errorf("soft", "is later than the hard deadline of %s", directive.FormatDuration(ix.Hard))
				case !(ix.Work > 0):
					return v.Errorf("work", "is no work at all")
				case ix.Prune >= 0 && ix.Effect != "idempotent":
					return v.Errorf("prune", "stands at an index that is %s: its parts may not run twice, which two phases may make them", ix.Effect)
				}
				s.Indexes = append(s.Indexes, ix)
				return nil
			}},
		{Name: "customer", Args: []directive.Field{{Name: "name", Kind: directive.Name}}, Options: []directive.Field{{Name: "share", Kind: directive.Share, Required: true, Help: "of the lookups"}}, Help: "Who asks. Without any, one customer does.", Example: "customer mainline share 70%",
			Apply: func(v *directive.Values) error {
				s.Customers = append(s.Customers, Customer{v.Text("name"), v.Number("share", 0)})
				return nil
			}},
		{Name: "clients", Once: true, Options: []directive.Field{{Name: "rate", Kind: directive.Rate, Min: 0.001, Max: 1e6, Help: "lookups a second, all together; 20/s"}, count("retries", 0, 100, "2"), span("wait", "before a retry that has no advice; 200ms"),
			share("impatient", "that come again at once, whatever the advice; none"), share("patience", "of the hard deadline after which a try is given up, at least; 80%"), count("keys", 1, 1e7, "distinct; 10000"),
			{Name: "zipf", Kind: directive.Number, Max: 5, Help: "exponent of their popularity; 0, all alike"}, {Name: "scattered", Kind: directive.Flag, Help: "a lookup's shards are no neighbours"},
			span("latency", "one way to a gatherer; 0.2ms"), span("notice", "after which a client notices that its gatherer has died; 1s")},
			Help: "How clients ask: at random times, whether or not earlier lookups are answered.", Example: "clients rate 40/s retries 2 wait 100ms impatient 10% zipf 0.8",
			Apply: func(v *directive.Values) error {
				c := &s.Clients
				c.Rate, c.Retries, c.Wait, c.Impatient, c.Patience = v.Number("rate", c.Rate), int(v.Number("retries", float64(c.Retries))), v.Number("wait", c.Wait), v.Number("impatient", 0), v.Number("patience", c.Patience)
				c.Keys, c.Zipf, c.Neighbors, c.Latency, c.Notice = int(v.Number("keys", float64(c.Keys))), v.Number("zipf", 0), !v.Has("scattered"), v.Number("latency", c.Latency), v.Number("notice", c.Notice)
				return nil
			}},
		{Name: "discovery", Once: true, Options: []directive.Field{{Name: "lag", Kind: directive.Duration, Required: true, Help: "until a gatherer hears of a change; 500ms"}, span("to", "at most; 1.5s")}, Help: "How late the list of servers is.", Example: "discovery lag 500ms to 2s",
			Apply: func(v *directive.Values) error {
				s.Discovery = Discovery{v.Number("lag", 0), v.Number("to", v.Number("lag", 0))}
				if s.Discovery.To < s.Discovery.Lag {
					return v.Errorf("to", "is less than the least lag")
				}
				return nil
			}},
		{Name: "budget", Once: true, Options: []directive.Field{{Name: "free", Kind: directive.Number, Required: true, Max: 1e6, Help: "part calls beyond each part's first"}, {Name: "share", Kind: directive.Share, Required: true, Help: "more of them, of the lookups and parts taken"}, {Name: "in", Kind: directive.Duration, Min: 1, Required: true, Help: "any window of this length"}},
			Help: "Rule 6. Without it 10 and 5% in 2s.", Example: "budget free 10 share 5% in 2s",
			Apply: func(v *directive.Values) error {
				s.Rules.Free, s.Rules.Share, s.Rules.Span = v.Number("free", 0), v.Number("share", 0), v.Number("in", 0)
				return nil
			}},
		{Name: "cold", Once: true, Options: []directive.Field{share("from", "of its capacity that a server has when it starts; 20%"), {Name: "warms", Kind: directive.Duration, Min: 1, Help: "to all of it, evenly, in; 15s"},
			{Name: "falls", Kind: directive.Number, Min: 1, Max: 100, Help: "over when it is sent so many times what it can do; 3"}, {Name: "in", Kind: directive.Duration, Min: 1, Help: "a window of; 2s"}, span("back", "after having fallen over in; never")},
			Help: "Rule 4: how servers start.", Example: "cold from 18% warms 17s falls 3 in 2s",
			Apply: func(v *directive.Values) error {
				r := &s.Rules
				r.ColdFrom, r.ColdTime, r.FallTimes, r.FallSpan, r.Restart = v.Number("from", r.ColdFrom), v.Number("warms", r.ColdTime), v.Number("falls", r.FallTimes), v.Number("in", r.FallSpan), v.Number("back", 0)
				return nil
			}},
		{Name: "drain", Once: true, Options: []directive.Field{{Name: "grace", Kind: directive.Duration, Required: true, Help: "after being told, in which something may still go to a server; 250ms"}}, Help: "Rule 3.", Example: "drain grace 250ms",
			Apply: func(v *directive.Values) error { s.Rules.Grace = v.Number("grace", 0); return nil }},
		{Name: "calls", Once: true, Options: []directive.Field{count("most", 1, 100, "of a part; 3"), {Name: "copies", Kind: directive.Switch, Help: "a second one while the first is out; on"}, {Name: "cancel", Kind: directive.Choice, Choices: []string{"running", "waiting", "nothing"}, Help: "what a part given up stops; waiting"},
			count("together", 1, 1000, "parts of a call; 16"), {Name: "connect", Kind: directive.Duration, Min: 1, Help: "time for a new connection; 250ms"}, {Name: "idle", Kind: directive.Duration, Min: 1, Help: "after which a connection closes; 15s"}, span("come-back", "advice to a nacked client, at most; 1s")},
			Help: "What part calls may do.", Example: "calls most 3 copies on cancel waiting together 16",
			Apply: func(v *directive.Values) error {
				r := &s.Rules
				r.Calls, r.Copies, r.CallParts = int(v.Number("most", float64(r.Calls))), v.Bool("copies", r.Copies), int(v.Number("together", float64(r.CallParts)))
				r.Connect, r.Idle, r.ComeBack = v.Number("connect", r.Connect), v.Number("idle", r.Idle), v.Number("come-back", r.ComeBack)
				if v.Has("cancel") {
					r.Cancel = v.Text("cancel")
				}
				return nil
			}},
		{Name: "segments", Once: true, Args: []directive.Field{count("count", 1, 1e5, "at first, as many keys each")}, Options: []directive.Field{count("most", 1, 1e5, "at any time; twice as many"), count("owners", 1, 100, "of each; 2"),
			span("every", "between two hand-overs; none"), span("takes", "a step of one; 20ms"), share("undone", "of hand-overs that are taken back before they are published; none")},
			Help: "Segments of keys with owners of their own, split, merged and moved while lookups run. The layout's sets say nothing then.", Example: "segments 24 owners 2 every 500ms takes 20ms undone 10%",
			Apply: func(v *directive.Values) error {
				n := int(v.Number("count", 0))
				s.Owned = Owned{n, int(v.Number("most", 2*float64(n))), int(v.Number("owners", 2)), v.Number("every", 0), v.Number("takes", 20), v.Number("undone", 0)}
				return nil
			}},
		{Name: "seed", Once: true, Args: []directive.Field{count("seed", 0, 1<<53, "")}, Help: "The seed of a day that is kept; 1.", Example: "seed 17",
			Apply: func(v *directive.Values) error { s.Seed = uint64(v.Number("seed", 1)); return nil }},
		{Name: "expect", Args: []directive.Field{{Name: "what", Kind: directive.Choice, Choices: Figures()}}, Options: []directive.Field{{Name: "least", Kind: directive.Share, Required: true}},
			Help: "What a day that is kept has to come to, with ours; that every rule is kept goes without saying.", Example: "expect gain least 90%",
			Apply: func(v *directive.Values) error {
				s.Expect = append(s.Expect, Expect{v.Text("what"), v.Number("least", 0)})
				return nil
			}},
		{Name: "weights", Once: true, Args: []directive.Field{{Name: "on", Kind: directive.Switch}}, Help: "Gatherers follow weights worked out from capacities and demand, as by `yokeroute plan`.", Example: "weights on",
			Apply: func(v *directive.Values) error { s.Planned = v.Bool("on", false); return nil }},
	}}
	t.Directives = append(t.Directives, s.troubleTable(hall))
	return t
}

// first is the first of joined errors, since a directive has one.
func first(err error) error {
	var f *directive.Error
	if errors.As(err, &f) {
		return f
	}
	return err
}

// Reference is the page about scenario files.
func Reference() string { return newScenario().table().Reference() }

// Directives are the table of scenario files, for tests of its examples.
func Directives() *directive.Table { return newScenario().table() }

// Read reads a scenario file and checks that it can be met.
func Read(file string) (*Scenario, error) {
	s := newScenario()
	if err := s.table().Read(file); err != nil {
		return nil, err
	}
	return s, s.check(file)
}

// Text is a scenario file's text with what it includes in its place, so that it stands alone in a folder of results.
func Text(file string) (string, error) { return flat(file, 0) }

func flat(file string, depth int) (string, error) {
	if depth > 16 {
		return "", fmt.Errorf("%s: is included 16 files deep", file)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) != 2 || words[0] != "include" {
			out.WriteString(line)
			continue
		}
		names, err := filepath.Glob(filepath.Join(filepath.Dir(file), strings.Trim(words[1], `"'`)))
		if err != nil {
			return "", err
		}
		for _, name := range names {
			inner, err := flat(name, depth+1)
			if err != nil {
				return "", err
			}
			out.WriteString(strings.TrimRight(inner, "\n") + "\n")
		}
	}
	return out.String(), nil
}

// ReadWith reads a scenario file in which further directives may stand, for who plays it otherwise than in virtual
// time. What they take is read before the scenario is checked.
func ReadWith(file string, further func(s *Scenario) []*directive.Directive) (*Scenario, error) {
	s := newScenario()
	t := s.table()
	t.Directives = append(t.Directives, further(s)...)
	if err := t.Read(file); err != nil {
		return nil, err
	}
	return s, s.check(file)
}

// ParseWith is ReadWith for a text.
func ParseWith(name, text string, further func(s *Scenario) []*directive.Directive) (*Scenario, error) {
	s := newScenario()
	t := s.table()
	t.Directives = append(t.Directives, further(s)...)
	if err := t.Parse(name, text); err != nil {
		return nil, err
	}
	return s, s.check(name)
}

// Parse reads the text of a scenario.
func Parse(name, text string) (*Scenario, error) {
	s := newScenario()
	if err := s.table().Parse(name, text); err != nil {
		return nil, err
	}
	return s, s.check(name)
}

// check completes what is left out and says what can't be met, before anything is run.
func (s *Scenario) check(file string) error {
	at := func(v *directive.Values, text string, args ...any) error {
		f := &directive.Error{Position: directive.Position{File: file, Line: 1, Column: 1}, Message: fmt.Sprintf(text, args...)}
		if v != nil {
			f.Position = v.Position
		}
		return directive.ErrorList{f}
	}
	if len(s.Halls) == 0 {
		s.Halls = []string{"hall"}
	}
	switch {
	case len(s.Groups) == 0:
		return at(nil, "has no servers; write servers COUNT kind KIND")
	case len(s.Indexes) == 0:
		return at(nil, "has no index; write index NAME")
	case s.Warmup >= s.Length:
		return at(nil, "its warm-up of %s leaves nothing of its length of %s", directive.FormatDuration(s.Warmup), directive.FormatDuration(s.Length))
	}
	if s.Layout.Shards == 0 {
		s.Layout.Shards = 6 * s.Layout.Sets
	}
	if s.Layout.Row > s.Layout.Sets {
		return at(nil, "layout: %d sets in a row of %d", s.Layout.Row, s.Layout.Sets)
	}
	held := make([]int, s.Layout.Sets)
	dealt := 0
	for _, g := range s.Groups {
		for range g.Count {
			for j := range s.Layout.Row {
				held[((dealt%s.Layout.Sets)-j+s.Layout.Sets)%s.Layout.Sets]++
			}
			dealt++
		}
	}
	for set, n := range held {
		if n == 0 && set < s.Layout.Shards {
			return at(s.Groups[0].line, "no server holds the shards of set %d: %d servers for %d sets", set, dealt, s.Layout.Sets)
		}
	}
	left, open := 1.0, 0
	for i := range s.Indexes {
		ix := &s.Indexes[i]
		if ix.To > s.Layout.Shards {
			return at(ix.line, "index %q: a lookup may have %d parts, and there are %d shards", ix.Name, ix.To, s.Layout.Shards)
		}
		if ix.Share < 0 {
			open++
		} else {
			left -= ix.Share
		}
	}
	if left < -1e-9 || open == 0 && math.Abs(left) > 1e-9 {
		return at(s.Indexes[0].line, "the shares of the indexes add up to %s", directive.FormatShare(1-left))
	}
	for i := range s.Indexes {
		if s.Indexes[i].Share < 0 {
			s.Indexes[i].Share = left / float64(open)
		}
	}
	if len(s.Customers) == 0 {
		s.Customers = []Customer{{"all", 1}}
	}
	sum := 0.0
	for _, c := range s.Customers {
		sum += c.Share
	}
	if math.Abs(sum-1) > 1e-9 {
		return at(nil, "the shares of the customers add up to %s", directive.FormatShare(sum))
	}
	for _, t := range s.Troubles {
		if t.At > s.Length {
			return at(t.line, "trouble %s begins after the day's length of %s", t.Kind, directive.FormatDuration(s.Length))
		}
	}
	return nil
}

// Settings are what a gatherer of a hall is told.
func (s *Scenario) Settings(number int, hall string) *gather.Settings {
	t := &gather.Settings{
		Gatherers: s.Gatherers.Count, GathererIndex: number, Tick: s.Tick, Zone: hall,
		ReplicaSets: s.Layout.Sets, ReplicaSetsPerShard: s.Layout.Row, Shards: s.Layout.Shards,
		CallCost: s.CallCost(), RequestsPerCall: s.Rules.CallParts, MaxAttempts: s.Rules.Calls,
		CancelAllowed: s.Rules.Cancel != "nothing", HedgingAllowed: s.Rules.Copies,
		ConnectTimeout: s.Rules.Connect, IdleTimeout: s.Rules.Idle,
		MaxOpenRequests: s.Gatherers.Held, DrainGrace: s.Rules.Grace, AnswerSlack: s.Rules.Slack,
		WarmupTime: s.Rules.ColdTime, InitialCapacityShare: s.Rules.ColdFrom,
		OverloadWindow: s.Rules.FallSpan, OverloadMultiple: s.Rules.FallTimes,
		RetryBudgetWindow: s.Rules.Span, RetryBudgetFloor: s.Rules.Free,
		RetryBudgetRatio: s.Rules.Share, MaxRetryAfter: s.Rules.ComeBack,
	}
	for _, ix := range s.Indexes {
		t.Classes = append(t.Classes, gather.Class{
			Name: ix.Name, LatencyObjective: ix.Soft, Deadline: ix.Hard, LateValue: ix.Late,
			Effect: gather.Effect(ix.Effect), IdempotencyWindow: ix.Window, PriorityWeight: ix.Gain,
			CompleteShare: ix.Need, MinShare: ix.Least, PartialValue: ix.Partial,
		})
	}
	return t
}

// CallCost is the most that a call costs a server beside its parts' work.
func (s *Scenario) CallCost() (most float64) {
	for _, k := range s.Kinds {
		most = max(most, k.Call)
	}
	return most
}

// Header is that of a trace of the day; servers are added as they are dealt out.
func (s *Scenario) Header() rulecheck.Header {
	h := rulecheck.Header{Recorder: "emulator, " + s.Name, GroundTruth: true, DrainGrace: s.Rules.Grace, DeadlineSlack: s.Rules.Slack, Classes: map[string]rulecheck.Class{}, Servers: map[uint32]rulecheck.Server{},
		Budget:    &rulecheck.Budget{Window: s.Rules.Span, FreeRetries: s.Rules.Free, Ratio: s.Rules.Share},
		SlowStart: &rulecheck.SlowStart{InitialShare: s.Rules.ColdFrom, Duration: s.Rules.ColdTime, Window: s.Rules.FallSpan, OverloadFactor: s.Rules.FallTimes}}
	for _, ix := range s.Indexes {
		h.Classes[ix.Name] = rulecheck.Class{Effect: ix.Effect, IdempotencyWindow: ix.Window, CompleteShare: ix.Need, MinShare: ix.Least}
	}
	return h
}

// Machine is a server as it is dealt out.
type Machine struct {
	Set, Hall int
	Kind      *Kind
}

// Machines deals out the servers: one of each set after the other; a set's members go round the halls.
func (s *Scenario) Machines() (all []Machine) {
	for _, group := range s.Groups {
		halls := group.Halls
		if len(halls) == 0 {
			halls = s.Halls
		}
		kind := slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == group.Kind })
		for i := range group.Count {
			all = append(all, Machine{len(all) % s.Layout.Sets, slices.Index(s.Halls, halls[(i/s.Layout.Sets)%len(halls)]), &s.Kinds[kind]})
		}
	}
	return all
}

// Offered is the work that clients ask for over what the fleet can do warm, in normal mode and without retries.
func (s *Scenario) Offered() float64 {
	work, can := 0.0, 0.0
	for _, ix := range s.Indexes {
		mean := ix.Work
		if ix.Tail > 0 { // a Pareto tail of exponent 1.5 has three times its least as mean, as far as it is cut
			mean = ix.Work * (1 - ix.Tail + ix.Tail*ix.TailTimes*tailMean)
		}
		work += s.Clients.Rate / 1000 * ix.Share * math.Ceil(ix.Need*float64(ix.Parts+ix.To)/2) * mean
	}
	for _, g := range s.Groups {
		for _, k := range s.Kinds {
			if k.Name == g.Kind {
				can += float64(g.Count*k.Cores) * k.Speed
			}
		}
	}
	return work / can
}
