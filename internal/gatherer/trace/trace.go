// Package trace records what became of queries, attempt by attempt.
//
// A Recorder keeps the newest queries in memory, so that an operator can ask over HTTP why one of them went the way
// it did. A File writes every event of a gatherer to a file, from which package rulecheck checks the protocol's
// rulecheck.
package trace

// Query is what became of a query, as it is served at Path. The JSON keys are the published ones.
type Query struct {
	ID              string           `json:"id"`
	Class           string           `json:"index"`
	AdmittedAt      float64          `json:"at"`   // Unix milliseconds
	Timeout         float64          `json:"time"` // milliseconds from its admission to its deadline
	Shards          []int            `json:"shards"`
	Decision        *Decision        `json:"choice,omitempty"` // nil for a class that is never served in two passes
	Attempts        []Attempt        `json:"calls"`
	OmittedAttempts int              `json:"more,omitempty"` // beyond maxAttempts
	FirstPass       *FirstPassResult `json:"first,omitempty"`
	Result          string           `json:"verdict,omitempty"`
	Duration        float64          `json:"took,omitempty"` // milliseconds from its admission to its result
	Hits            int              `json:"hits"`
	EmptyShards     []int            `json:"empty,omitempty"` // proved empty by a first pass
}

// Attempt is one attempt at a shard request.
type Attempt struct {
	Pass      string  `json:"pass"` // only, first or second
	Shard     int     `json:"shard"`
	Server    string  `json:"server"`
	DecidedAt float64 `json:"at"`             // milliseconds after its query was admitted
	Duration  float64 `json:"took,omitempty"` // milliseconds, of one that has ended
	Outcome   string  `json:"end,omitempty"`
	Summary   string  `json:"summary,omitempty"` // of a first pass
}

// Decision is why a query was served in one pass or in two. Latencies are milliseconds.
type Decision struct {
	TwoPass        bool    `json:"two"`
	Reason         string  `json:"why"`
	EmptyShare     float64 `json:"prune"` // share of the shard requests expected to be proved empty
	OwnGain        float64 `json:"own"`   // latency that the query itself is expected to save
	SavedElsewhere float64 `json:"saved"` // by other queries, from attempts that are not made
	FirstPassCost  float64 `json:"spent"` // to other queries, by the attempts of the first pass
	FirstPassTime  float64 `json:"time"`  // what the first pass may take
}

// FirstPassResult is what a first pass led to. Shards are by number.
type FirstPassResult struct {
	EndedAt      float64 `json:"at"`     // milliseconds after its query was admitted
	ProvedWeight float64 `json:"proved"` // weight of the shard requests proved empty
	SecondPass   []int   `json:"asked"`  // shards of the second pass
	LeftOut      []int   `json:"left"`   // shards left out as unlikely to hold anything
	Retried      []int   `json:"again"`  // shards of the second pass whose first attempt was lost
	Complete     bool    `json:"whole"`
}
