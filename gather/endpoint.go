package gather

// State is the lifecycle state of an endpoint, as discovery knows it.
type State int

// The states.
const (
	Running State = iota
	Draining
	Removed
)

// Endpoint is a shard server as discovery lists it.
type Endpoint struct {
	ID               uint32
	ReplicaSet       int
	Zone             string
	Kind             string
	Size             float64
	State            State
	StartedAt        float64 // 0 for long ago
	AnswersFirstPass bool
	// ReplicaSets are those whose shards it holds. Where it is nil, these are its own ReplicaSet and as many before
	// it as Settings.ReplicaSetsPerShard says.
	ReplicaSets []int
}

// EndpointList is a message from discovery: the full list, a change of it, or that a call failed.
type EndpointList struct {
	Full      bool
	Failed    bool
	Endpoints []Endpoint
}

// Weight is a server's share of the requests of a replica set, relative to the others' shares.
type Weight struct {
	Server uint32
	Share  float64
}

// HealthCheckResult is the end of a health check.
type HealthCheckResult struct {
	Server      uint32
	Elapsed     float64
	Succeeded   bool
	QueueLength float64 // requests waiting at the server, below 0 where it does not tell
	Latency     float64 // of its recent requests without their waiting, below 0 where it does not tell
}

// EndpointView is what a module knows of a server. It is for display, not for decisions.
type EndpointView struct {
	Server        uint32
	ReplicaSet    int
	State         State
	Latency       float64
	FailureShare  float64
	ExtraLatency  float64 // of failed attempts
	Rate          float64 // our attempts a second
	InFlight      int     // our attempts
	CapacityShare float64 // the least that it has warmed up to
}
