package gather

// Pass says which pass of a two-pass query a Query is.
type Pass int

// The passes of a query.
const (
	SinglePass Pass = iota // the query is sent in a single pass
	FirstPass              // shards are asked whether they hold any match
	SecondPass             // shards that the first pass left open are asked in full
)

// Query is a query that has arrived, or one pass of it. Its shard requests arrive in the same round.
type Query struct {
	ID               uint64
	Number           uint64 // number that the query shares with its shard requests
	Class            string
	Tenant           string
	Cost             float64 // expected work of all shard requests, 0 if unknown
	Key              string
	Deadline         float64
	Retry            bool // the client marked the query as a retry
	Write            bool
	Pass             Pass
	ArrivedAt        float64 // 0 for the time of this round
	ReceivedWeight   float64 // weight already received, in addition to the requests of this round
	FullRequestExtra float64 // first pass only: additional time that a full call would take
}

// ShardRequest is the part of a query that one shard answers.
type ShardRequest struct {
	ID           uint64
	Number       uint64 // Number of its query
	Shard        int
	Weight       float64 // share of the complete answer
	Cost         float64 // expected work, 0 if unknown
	Key          string
	Retry        bool    // its first attempt counts as a retry of an attempt in an earlier pass
	OrderPenalty float64 // added to Cost when requests of equal failure share are ordered
}

// Outcome says how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Succeeded Outcome = iota
	Failed
	Rejected // the server rejected the attempt before it began to work
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	NotSent
	NotOwner // the server rejected the attempt since it does not own the keys; modules receive NotSent instead
)

// outcomeNames holds the names of the outcomes in traces and reports, which are stored and must not change.
var outcomeNames = [...]string{
	Succeeded: "answered", Failed: "erred", Rejected: "full", TimedOut: "late", ConnectFailed: "unreached",
	ConnectionReset: "cut", Cancelled: "off", NotSent: "stale", NotOwner: "moved",
}

// String returns the outcome's name in traces and reports.
func (o Outcome) String() string { return outcomeNames[o] }

// NeverExecuted reports whether the outcome proves that the server did not execute the attempt.
func (o Outcome) NeverExecuted() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent || o == NotOwner
}

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	Request           uint64
	Server            uint32
	Attempt           int // number of the attempt within its request, from 0
	Elapsed           float64
	Outcome           Outcome
	NoFurtherAttempts bool // the request must not have further attempts
}
