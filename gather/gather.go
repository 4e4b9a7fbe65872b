// Package gather is the interface of the decision module: what a gatherer hears in a round and
// what it may say. Times are milliseconds with fractions, ids are what the wire gives.
package gather

// Pass is which pass of a lookup in two phases is handed in.
type Pass int

const (
	Only   Pass = iota // a lookup in one phase
	First              // its parts are asked whether they hold anything at all
	Second             // its parts are those that the first pass left, asked in full
)

// Lookup is one lookup taken, or one pass of it; its parts come in the same round.
type Lookup struct {
	ID       uint64
	Number   uint64 // shared by the lookup and its parts
	Index    string
	Customer string
	Cost     float64 // expected work of all parts, 0 where nothing is told
	Key      string
	GiveUpAt float64
	Retry    bool
	Write    bool
	Pass     Pass
	Since    float64 // when the lookup landed, 0 for now
	In       float64 // weight that is in already, without its parts here
	Lead     float64 // of a first pass: what a call in full would take longer
}

// Part is one part of a lookup, at one shard.
type Part struct {
	ID     uint64
	Number uint64
	Shard  int
	Weight float64
	Cost   float64
	Key    string
	Again  bool    // its first call here is a further one: an earlier pass called it and heard nothing
	Later  float64 // by so much cost it goes behind others of equal f
}

// Outcome tells how a part call ended.
type Outcome int

const (
	Answered Outcome = iota
	Erred
	Full // turned away unseen
	TimedOut
	Unreached // no connection
	Cut
	CalledOff
	Stale // never sent
	Moved // refused by a host that does not own its keys; modules hear of it as Stale
)

var outcomeWords = [...]string{Answered: "answered", Erred: "erred", Full: "full", TimedOut: "late", Unreached: "unreached", Cut: "cut",
	CalledOff: "off", Stale: "stale", Moved: "moved"}

// String is the outcome's word in traces and reports.
func (o Outcome) String() string { return outcomeWords[o] }

// Unrun reports whether the outcome proves that the part call never ran.
func (o Outcome) Unrun() bool { return o == Full || o == Unreached || o == Stale || o == Moved }

// Ending is the end of one part call.
type Ending struct {
	Part    uint64
	Server  uint32
	Call    int // from 0, in the order the part's calls were sent
	Waited  float64
	Outcome Outcome
	Over    bool // the part is over: nothing of it may be sent any more
}

// Sample is what came of a probe: whether the server answered it, and the load that it told, -1 where it told none.
type Sample struct {
	Server  uint32
	Waited  float64
	Passed  bool
	Waiting float64 // parts that wait there
	Latency float64 // of its part calls lately, without their waiting
}

// State is what the list knows of a server.
type State int

const (
	Running State = iota
	Draining
	Gone
)

// Server is one entry of a list.
type Server struct {
	ID      uint32
	Group   int
	Zone    string
	Kind    string
	Size    float64
	State   State
	Started float64 // 0 for long ago
	Brief   bool    // it answers first passes
	Holds   []int   // groups that it holds shards of, nil for its own and, where the layout says so, those before
}

// List is news of the servers: everything there is, or only what changed, or only that asking failed.
type List struct {
	Full    bool
	Failed  bool
	Servers []Server
}

// Weight is a server's share of a group's turns, in proportion to the others'.
type Weight struct {
	Server uint32
	Share  float64
}

// Round is all that came in at one moment, each slice in the order of arrival.
type Round struct {
	Now      float64
	Settings *Settings // in place of those before, nil for the same: a query is decided by those at its arrival
	Lists    []List
	Weights  [][]Weight // by group, nil for nothing new; a group without any goes by plain turns
	Lookups  []Lookup
	Parts    []Part
	Endings  []Ending
	Samples  []Sample
	Left     []uint64 // lookups whose client has gone
	Retired  []uint64 // parts whose keys other parts of their lookup take over, none of which has a call out
}

// Writer takes the decisions of a round, in order.
type Writer interface {
	Send(part uint64, server uint32, timeout float64)
	CallOff(part uint64, call int)
	Answer(lookup uint64, whole bool)
	Nack(lookup uint64, comeBack float64)
	Abort(lookup uint64)
	Wake(after float64)
	Subscribe()
	Probe(server uint32) // its answer comes as a sample; only where the terms allow it
}

// Module is what decides: package logic's, or a baseline to compare it with.
type Module interface {
	Round(in *Round, w Writer)
	Room() float64 // further part calls that the budget had left at the last round
}

// View is what a module knows of a server: for people who look on, not for decisions.
type View struct {
	Server  uint32
	Group   int
	State   State
	S, F, R float64 // latency, failure share and extra latency, as the design has them; milliseconds
	Rate    float64 // our part calls a second
	Out     int     // part calls of ours that are out
	Warm    float64 // least share of its capacity that it has by now
}
