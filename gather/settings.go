package gather

import "slices"

// Effect says whether a request of a class may be executed more than once.
type Effect string

// The effects. Their texts are used in operators' files and in traces.
const (
	Idempotent       Effect = "idempotent"
	IdempotencyKeyed Effect = "fingerprinted" // servers drop a repetition within the class's IdempotencyWindow
	NonIdempotent    Effect = "once-only"
)

// LoadReportsOnHealthCheck is the value of Settings.LoadReports if servers report their load only on a health
// check.
const LoadReportsOnHealthCheck = "pull"

// Settings describes a gatherer's deployment. It is shared by concurrent goroutines of the whole process and
// must not be modified; changes are made to a Clone. Times are milliseconds.
type Settings struct {
	Gatherers     int // number of instances of this gatherer in the fleet
	GathererIndex int // index of this instance among them, from 0
	Tick          float64
	Zone          string

	// EndpointsOnRequest is set if discovery sends changes only to subscribers.
	EndpointsOnRequest bool
	// DiscoveryInterval is the interval at which the endpoint list has to be requested if it is not pushed.
	DiscoveryInterval float64
	WeightSource      string // meaning of the endpoints' Size
	LoadReports       string // how servers report their load

	ReplicaSets         int
	ReplicaSetsPerShard int // number of consecutive replica sets that hold a shard
	Shards              int

	CallCost             float64 // work of a call in addition to that of its requests
	RequestsPerCall      int
	MaxAttempts          int // limit of the attempts of one shard request
	MaxOpenRequests      int // limit of the open queries and shard requests together, 0 for no limit
	CancelAllowed        bool
	HedgingAllowed       bool
	HealthChecksAllowed  bool
	ConnectTimeout       float64
	IdleTimeout          float64
	StreamsPerConnection int
	MaxRetryAfter        float64 // longest Retry-After, 0 if clients get none

	AnswerSlack float64 // time after a query's deadline in which a final answer still counts
	DrainGrace  float64 // time after the notice of a drain within which sending has to stop

	// A server that has just started has InitialCapacityShare of its capacity, and all of it after
	// WarmupTime. It fails if it is sent OverloadMultiple times the load that it has capacity for during
	// OverloadWindow.
	WarmupTime           float64
	InitialCapacityShare float64
	OverloadWindow       float64
	OverloadMultiple     float64

	// Within each RetryBudgetWindow, RetryBudgetFloor retries are allowed, plus RetryBudgetRatio for each
	// accepted request. A window of 0 means that the deployment sets no budget.
	RetryBudgetWindow float64
	RetryBudgetFloor  float64
	RetryBudgetRatio  float64

	CountedBy       string  // whether value is counted by request or by work
	OverQuotaWeight float64 // value of a request beyond its tenant's quota, as a share of its class's weight
	Classes         []Class
	Tenants         []Tenant
}

// Class is a request class.
type Class struct {
	Name              string
	LatencyObjective  float64
	Deadline          float64
	LateValue         float64 // value of an answer between objective and deadline, as a share of the full value
	Effect            Effect
	IdempotencyWindow float64
	PriorityWeight    float64
	CompleteShare     float64 // least share of the weights with which an answer is complete
	MinShare          float64 // share of the weights below which no answer may be given
	PartialValue      float64 // factor for the value of a partial answer
	FollowUpRequests  float64 // number of shard requests of the second step, 0 if there is none
	HedgingForbidden  bool
}

// Tenant is one of the parties that share the service.
type Tenant struct {
	Name          string
	CapacityShare float64
	Quota         float64 // requests per second over all gatherers
}

// Clone returns a copy that may be modified.
func (s *Settings) Clone() *Settings {
	c := *s
	c.Classes = slices.Clone(s.Classes)
	c.Tenants = slices.Clone(s.Tenants)
	return &c
}

// Class returns the class of a name, or the zero Class if there is none.
func (s *Settings) Class(name string) Class {
	if c := s.FindClass(name); c != nil {
		return *c
	}
	return Class{}
}

// FindClass returns the class of a name, or nil if there is none. Only a Clone's classes may be modified
// through the pointer.
func (s *Settings) FindClass(name string) *Class {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return nil
}

// ClassNames returns the names of all classes, in order.
func (s *Settings) ClassNames() []string {
	var names []string
	for i := range s.Classes {
		names = append(names, s.Classes[i].Name)
	}
	return names
}

// TenantNames returns the names of all tenants, in order.
func (s *Settings) TenantNames() []string {
	var names []string
	for i := range s.Tenants {
		names = append(names, s.Tenants[i].Name)
	}
	return names
}
