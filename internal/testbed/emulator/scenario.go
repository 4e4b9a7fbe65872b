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
	"math"
	"slices"

	"yokeroute/gather"
	"yokeroute/internal/config/directive"
	"yokeroute/internal/rulecheck"
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
	Queue    int     // maximum number of waiting parts; further ones are rejected
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
