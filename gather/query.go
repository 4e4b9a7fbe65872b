package gather

// Pass is which pass of a two-pass query is handed in.
type Pass int

// The passes.
const (
	SinglePass Pass = iota // the query is sent in one pass
	FirstPass              // shards are asked whether they hold any match
	SecondPass             // shards that the first pass left open are asked in full
)

// Query is a query that has arrived, or one pass of it. Its shard requests come in the same round.
type Query struct {
	ID             uint64
	Number         uint64 // shared with the query's shard requests
	Class          string
	Tenant         string
	Cost           float64 // expected work of all shard requests, 0 where it is unknown
	Key            string
	Deadline       float64
	Retry          bool // the client marked it as a repeat
	Write          bool
	Pass           Pass
	ArrivedAt      float64 // 0 for this round
	ReceivedWeight float64 // weight already received, beside the requests handed in here
	FullCallExtra  float64 // first pass only: how much longer a call in full would take
}

// ShardRequest is the part of a query that one shard answers.
type ShardRequest struct {
	ID           uint64
	Number       uint64 // of its query
	Shard        int
	Weight       float64 // share of the complete answer
	Cost         float64 // expected work, 0 where it is unknown
	Key          string
	Retry        bool    // even its first attempt is a retry, of one in an earlier pass
	OrderPenalty float64 // added to Cost when requests of equal failure share are ordered
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	Succeeded Outcome = iota
	Failed
	Rejected // by the server, before it began to work
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	NotSent
	NotOwner // rejected by a server that does not own the keys; modules receive it as NotSent
)

// outcomeNames are the outcomes' names in traces and reports, which are stored.
var outcomeNames = [...]string{
	Succeeded: "answered", Failed: "erred", Rejected: "full", TimedOut: "late", ConnectFailed: "unreached",
	ConnectionReset: "cut", Cancelled: "off", NotSent: "stale", NotOwner: "moved",
}

// String is the outcome's name in traces and reports.
func (o Outcome) String() string { return outcomeNames[o] }

// NeverExecuted reports whether the outcome proves that the server did not execute the attempt.
func (o Outcome) NeverExecuted() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent || o == NotOwner
}

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	Request  uint64
	Server   uint32
	Attempt  int // of its request, from 0
	Elapsed  float64
	Outcome  Outcome
	Finished bool // the request takes no further attempts
}
