// Package gather defines the interface between the decision module of a gatherer and the adapter around it.
// The adapter collects the events observed since the last round into a Round and passes it to a Module, which
// writes its decisions to a Writer.
//
// A query consists of shard requests. Each attempt sends a shard request to one server. A retry is a further
// attempt of a request whose attempts have ended; a hedged request is a further attempt while another one is
// still in flight. An extra request is a shard request that is sent although a complete answer does not need
// it.
//
// Times are milliseconds with fractions, on a clock of the adapter's choice that never goes back. IDs are
// opaque.
package gather

// Round holds the events observed since the last round, each slice in the order of arrival.
type Round struct {
	Now float64
	// WakeDelay is the delay of this round after the time that Wake had requested.
	WakeDelay float64
	// Settings holds the new settings, nil if they are unchanged. An open query keeps those at its arrival.
	Settings      *Settings
	EndpointLists []EndpointList
	// Weights holds the new weights by replica set, nil if they are unchanged. A replica set without weights
	// uses plain round robin.
	Weights      [][]Weight
	Queries      []Query
	Requests     []ShardRequest
	Results      []AttemptResult
	HealthChecks []HealthCheckResult
	Abandoned    []uint64 // IDs of queries whose client has disconnected
	// Superseded holds the IDs of requests that were replaced by others of their query. None of them has an
	// attempt in flight.
	Superseded []uint64
}

// Writer receives the decisions of a round, in order.
type Writer interface {
	// Send sends an attempt of a shard request to a server.
	Send(request uint64, server uint32, timeout float64)
	// Cancel cancels an attempt of a shard request. Attempts are numbered from 0.
	Cancel(request uint64, attempt int)
	// Answer ends a query with the responses received so far.
	Answer(query uint64, complete bool)
	// Reject ends a query that the client may retry, with the Retry-After for it; 0 stands for none.
	Reject(query uint64, retryAfter float64)
	// Fail ends a query that may have had an effect.
	Fail(query uint64)
	// Wake requests a round after a time, even if no event is observed until then.
	Wake(after float64)
	// Subscribe requests endpoint lists from discovery.
	Subscribe()
	// CheckHealth requests a server's load. It may be called only if Settings.HealthChecksAllowed is set.
	CheckHealth(server uint32)
}

// Module decides about one gatherer's queries. It is implemented by package logic and by the baselines that
// it is compared with.
type Module interface {
	// Round applies the events of a round and writes the decisions that follow from them.
	Round(in *Round, w Writer)
	// RetryBudgetLeft returns how many more retries the budget allowed at the end of the last round.
	RetryBudgetLeft() float64
}
