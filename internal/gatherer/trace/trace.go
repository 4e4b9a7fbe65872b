// Package trace records the course of queries and their attempts.
//
// A Recorder keeps the newest queries in memory and serves them over HTTP, so that an operator can find out how each
// was processed and why. A File writes every event of a gatherer to a file, which package rulecheck checks against
// the rules of the protocol.
package trace

// Query is the trace of a query, as it is served at Path. The JSON keys are part of the published interface.
type Query struct {
	ID              string           `json:"id"`
	Class           string           `json:"index"`
	AdmittedAt      float64          `json:"at"`   // Unix milliseconds
	Timeout         float64          `json:"time"` // milliseconds from admission to the deadline
	Shards          []int            `json:"shards"`
	Decision        *Decision        `json:"choice,omitempty"` // nil for a class that is never served in two passes
	Attempts        []Attempt        `json:"calls"`
	OmittedAttempts int              `json:"more,omitempty"` // number of attempts beyond maxAttempts, which are not listed
	FirstPass       *FirstPassResult `json:"first,omitempty"`
	Result          string           `json:"verdict,omitempty"`
	Duration        float64          `json:"took,omitempty"` // milliseconds from admission to the result
	Hits            int              `json:"hits"`
	EmptyShards     []int            `json:"empty,omitempty"` // shards that a first pass proved empty
}

// Attempt is one attempt at a shard request.
type Attempt struct {
	Pass      string  `json:"pass"` // "only", "first" or "second"
	Shard     int     `json:"shard"`
	Server    string  `json:"server"`
	DecidedAt float64 `json:"at"`             // milliseconds after its query was admitted
	Duration  float64 `json:"took,omitempty"` // milliseconds; 0 while the attempt is in flight
	Outcome   string  `json:"end,omitempty"`
	Summary   string  `json:"summary,omitempty"` // summary that a first-pass attempt returned
}

// Decision records why a query was served in one or in two passes. Latencies and durations are in milliseconds.
type Decision struct {
	TwoPass        bool    `json:"two"`
	Reason         string  `json:"why"`
	EmptyShare     float64 `json:"prune"` // expected share of shard requests that the first pass proves empty
	OwnGain        float64 `json:"own"`   // latency that the query itself is expected to save
	SavedElsewhere float64 `json:"saved"` // latency that other queries save, since attempts are avoided
	FirstPassCost  float64 `json:"spent"` // latency that the attempts of the first pass add to other queries
	FirstPassTime  float64 `json:"time"`  // maximum duration of the first pass
}

// FirstPassResult is the result of a first pass. Shards are given by number.
type FirstPassResult struct {
	EndedAt      float64 `json:"at"`     // milliseconds after its query was admitted
	ProvedWeight float64 `json:"proved"` // total weight of the shard requests proved empty
	SecondPass   []int   `json:"asked"`  // shards of the second pass
	LeftOut      []int   `json:"left"`   // shards left out of the second pass as unlikely to contain hits
	Retried      []int   `json:"again"`  // shards of the second pass whose first-pass attempt was lost
	Complete     bool    `json:"whole"`
}
