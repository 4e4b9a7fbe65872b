// Package gather is the interface between the decision module and what surrounds it. An adapter collects what was
// observed since the last round into a Round and hands it to a Module, which writes its decisions to a Writer.
//
// Times are milliseconds with fractions, on a clock of the adapter's choice that never goes back. IDs are opaque.
package gather

// Round is all that was observed since the last one, each slice in the order of arrival.
type Round struct {
	Now           float64
	HeldUp        float64   // for how long this round was held up after the time that Wake had requested
	Settings      *Settings // nil where they are unchanged; a query is decided by those at its arrival
	EndpointLists []EndpointList
	Weights       [][]Weight // by replica set, nil where they are unchanged; a set without any uses plain round robin
	Queries       []Query
	Requests      []ShardRequest
	Results       []AttemptResult
	HealthChecks  []HealthCheckResult
	Abandoned     []uint64 // IDs of queries whose client has disconnected
	Superseded    []uint64 // IDs of requests replaced by others of their query; none has an attempt in flight
}

// Writer takes the decisions of a round, in order.
type Writer interface {
	// Send begins an attempt of a shard request.
	Send(request uint64, server uint32, timeout float64)
	// Cancel gives up an attempt of a shard request; attempts count from 0.
	Cancel(request uint64, attempt int)
	// Answer ends a query with the responses received so far.
	Answer(query uint64, complete bool)
	// Reject ends a query that had no effect, with advice for the client; 0 is no advice.
	Reject(query uint64, retryAfter float64)
	// Fail ends a query that may have had an effect.
	Fail(query uint64)
	// Wake requests a round after a time, even if nothing is observed until then.
	Wake(after float64)
	// Subscribe requests endpoint lists from discovery.
	Subscribe()
	// CheckHealth requests a server's load. It may only be called where the settings allow it.
	CheckHealth(server uint32)
}

// Module decides on one gatherer's queries: package logic's, or a baseline to compare it with.
type Module interface {
	// Round takes what was observed and writes what follows from it.
	Round(in *Round, w Writer)
	// RetryBudgetLeft is how many retries the budget allowed at the end of the last round.
	RetryBudgetLeft() float64
}
