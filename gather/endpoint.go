package gather

// State is the lifecycle state of an endpoint as listed by discovery.
type State int

// The lifecycle states of an endpoint.
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
	StartedAt        float64 // start time of its process, 0 if that is long ago; see Restarted
	AnswersFirstPass bool
	// ReplicaSets holds the replica sets whose shards the server holds. If it is nil, these are its own
	// ReplicaSet and the ones before it, Settings.ReplicaSetsPerShard in all.
	ReplicaSets []int
}

// Restarted reports whether a server that was listed with one start time, and is now listed with another, has another
// process than before. Start times are in milliseconds. A start time of 0 names no process: once its start is long ago,
// a process is listed with 0, and from when on a start is long ago is up to discovery.
func Restarted(known, listed float64) bool { return listed != 0 && listed != known }

// NewestStart returns the start time to keep for a server that was listed with one start time, and is now listed with
// another. It is the listed one, or the known one if the listed one names no process.
func NewestStart(known, listed float64) float64 {
	if listed == 0 {
		return known
	}
	return listed
}

// EndpointList is a message from discovery: the full list, a delta, or the failure of a call.
type EndpointList struct {
	Full      bool
	Failed    bool
	Endpoints []Endpoint
}

// Weight is a server's share of the requests of a replica set, relative to the shares of the other servers.
type Weight struct {
	Server uint32
	Share  float64
}

// HealthCheckResult is the result of a health check, with the load report of the server.
type HealthCheckResult struct {
	Server      uint32
	Elapsed     float64
	Succeeded   bool
	QueueLength float64 // number of requests waiting at the server, below 0 if not reported
	Latency     float64 // latency of recent requests, excluding the time in the queue; below 0 if not reported
}

// EndpointView holds what a module has recorded about a server, for display and not for decisions.
type EndpointView struct {
	Server        uint32
	ReplicaSet    int
	State         State
	Latency       float64
	FailureShare  float64
	ExtraLatency  float64 // mean extra latency of failed attempts
	Rate          float64 // attempts per second sent by this gatherer
	InFlight      int     // attempts of this gatherer in flight
	CapacityShare float64 // least share of its capacity that it has warmed up to, 1 when warm
}
