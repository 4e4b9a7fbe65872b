package rulecheck

// Format is the format of traces. A reader refuses any other.
const Format = "yokeroute trace 1"

// Header holds the limits of the rules and what is known of the servers. Times are milliseconds.
type Header struct {
	Format        string            `json:"trace"`
	Recorder      string            `json:"source"`
	GroundTruth   bool              `json:"truth"` // has events of the servers, not only of the gatherers
	StartedAt     float64           `json:"begin"`
	UnixStart     float64           `json:"unix,omitempty"` // the Unix time of time 0; a trace without it cannot be joined
	DrainGrace    float64           `json:"grace"`          // how long attempts may still go to a draining server
	DeadlineSlack float64           `json:"slack"`          // how late after its client's deadline a final answer may come
	Budget        *Budget           `json:"budget,omitempty"`
	SlowStart     *SlowStart        `json:"cold,omitempty"`
	Classes       map[string]Class  `json:"indexes"`
	Servers       map[uint32]Server `json:"servers,omitempty"`
}

// Budget bounds retries and hedges, together, in any window of this length.
type Budget struct {
	Window      float64 `json:"span"`
	FreeRetries float64 `json:"free"`
	Ratio       float64 `json:"share"` // to the queries and shard requests admitted in the window
}

// SlowStart describes a server that has just started. It falls over if it is sent more than OverloadFactor times its
// capacity over a window.
type SlowStart struct {
	InitialShare   float64 `json:"share"` // of the full capacity
	Duration       float64 `json:"time"`  // until the full capacity
	Window         float64 `json:"span"`
	OverloadFactor float64 `json:"multiple"`
}

// The effects of a class's queries.
const (
	effectIdempotent       = "idempotent"
	effectIdempotencyKeyed = "fingerprinted"
	effectNonIdempotent    = "once-only"
)

// Class is what the rules need to know of a request class.
type Class struct {
	Effect            string  `json:"effect"`           // idempotent, fingerprinted or once-only
	IdempotencyWindow float64 `json:"window,omitempty"` // how long a server remembers an idempotency key
	CompleteShare     float64 `json:"whole"`            // the weight that makes an answer complete
	MinShare          float64 `json:"least"`            // the least weight of an answer
}

// Server is the capacity of a server after slow start, in milliseconds of work per millisecond.
type Server struct {
	Capacity float64 `json:"capacity"`
}

// EventKind is the kind of an event.
type EventKind string

// The kinds of events. Those of the ground truth are recorded at the servers, all others at the gatherers.
const (
	QueryAdmitted        EventKind = "take"
	AttemptSent          EventKind = "send"
	AttemptEnded         EventKind = "end"    // the gatherer knows an attempt's outcome
	QueryServed          EventKind = "answer" // a final answer, as the next two
	QueryRejected        EventKind = "nack"
	QueryFailed          EventKind = "abort"
	QueryAbandoned       EventKind = "left"    // the client has disconnected
	GathererStopped      EventKind = "died"    // its process, with all that it held
	EndpointStateLearned EventKind = "told"    // the gatherer was notified of a server's state
	WorkArrived          EventKind = "came"    // ground truth: a shard request arrived at a server
	WorkStarted          EventKind = "ran"     // ground truth: a server began a shard request's work
	ServerStarted        EventKind = "started" // ground truth: a server's process started
	TraceEnd             EventKind = "over"    // the trace is complete up to here
)

// outcomeAnswered is the outcome of an attempt that was answered.
const outcomeAnswered = "answered"

// stateRunning is the state of a server that neither drains nor is gone.
const stateRunning = "running"

// ShardRequest is one of a query's requests to shards.
type ShardRequest struct {
	Shard  int       `json:"s"`
	Weight float64   `json:"w"`
	Keys   *KeyRange `json:"key,omitempty"` // the keys that the shard holds, if a placement says so
}

// Event is one line of a trace. Its kind determines which fields are set.
type Event struct {
	At             float64        `json:"t"` // milliseconds by one clock for all gatherers of the trace
	Kind           EventKind      `json:"k"`
	Gatherer       int            `json:"g,omitempty"`
	Query          uint64         `json:"l,omitempty"`
	QueryName      string         `json:"n,omitempty"` // given by the client
	Class          string         `json:"i,omitempty"`
	Deadline       float64        `json:"u,omitempty"` // the client's
	ShardRequests  []ShardRequest `json:"p,omitempty"`
	Shard          int            `json:"s,omitempty"`
	Server         uint32         `json:"v,omitempty"`
	Attempt        int            `json:"c,omitempty"` // of its shard request, from 0 in each pass
	FirstPass      bool           `json:"f,omitempty"` // the attempt asks for no more than a summary
	Outcome        string         `json:"o,omitempty"` // answered, erred, full, late, unreached, cut, off, stale or moved
	ProvenEmpty    bool           `json:"e,omitempty"` // a summary proves that the shard holds nothing
	Complete       bool           `json:"h,omitempty"`
	Keys           *KeyRange      `json:"key,omitempty"` // nil for all of the shard's keys
	IncludedShards []int          `json:"in,omitempty"`  // shards whose values, or proofs, make up the answer
	IncludedKeys   []*KeyRange    `json:"ink,omitempty"` // the keys of each included shard, if some are not all
	Work           float64        `json:"w,omitempty"`   // milliseconds of one core
	State          string         `json:"x,omitempty"`   // running, draining or gone
	EventCount     int            `json:"count,omitempty"`
	Checksum       string         `json:"sum,omitempty"`
	Reason         string         `json:"why,omitempty"` // why a trace ends early
}
