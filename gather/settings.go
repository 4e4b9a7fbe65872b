package gather

import "slices"

// Effect says whether a request of a class may be executed more than once.
type Effect string

// The effects. Their texts stand in operators' files and in traces.
const (
	Idempotent       Effect = "idempotent"
	IdempotencyKeyed Effect = "fingerprinted" // servers drop a repeat within the class's IdempotencyWindow
	NonIdempotent    Effect = "once-only"
)

// LoadReportsOnHealthCheck is the value of Settings.LoadReports where servers publish their load only on a health
// check.
const LoadReportsOnHealthCheck = "pull"

// Settings describe a gatherer's deployment. They are shared by all parts of the process and by
// concurrent goroutines, and never changed: a change works on a Clone. Times are milliseconds.
type Settings struct {
	Gatherers     int // instances of this gatherer in the fleet
	GathererIndex int // which of them this one is, from 0
	Tick          float64
	Zone          string

	// EndpointsOnRequest is set where discovery sends changes only to who has subscribed.
	EndpointsOnRequest bool
	// DiscoveryInterval is how often the endpoint list has to be requested where it is not pushed.
	DiscoveryInterval float64
	WeightSource      string // what the endpoints' Size stands for
	LoadReports       string // how servers publish their load

	ReplicaSets         int
	ReplicaSetsPerShard int // consecutive replica sets that hold a shard
	Shards              int

	CallCost             float64 // work of a call beside that of its requests
	RequestsPerCall      int
	MaxAttempts          int // of one shard request
	MaxOpenRequests      int // queries and shard requests held at once, 0 for no limit
	CancelAllowed        bool
	HedgingAllowed       bool
	HealthChecksAllowed  bool
	ConnectTimeout       float64
	IdleTimeout          float64
	StreamsPerConnection int
	MaxRetryAfter        float64 // 0 where clients get no Retry-After

	AnswerSlack float64 // after a query's deadline in which a final answer still counts
	DrainGrace  float64 // after the notice of a drain in which sends have to stop

	// A server that has started bears InitialCapacityShare of its capacity, and all of it after WarmupTime. It fails
	// when it is sent OverloadMultiple times what it bears for OverloadWindow.
	WarmupTime           float64
	InitialCapacityShare float64
	OverloadWindow       float64
	OverloadMultiple     float64

	// Within each RetryBudgetWindow there may be RetryBudgetFloor retries, and RetryBudgetRatio for each request
	// taken. A window of 0 stands for no budget.
	RetryBudgetWindow float64
	RetryBudgetFloor  float64
	RetryBudgetRatio  float64

	CountedBy       string  // whether value is counted by request or by work
	OverQuotaWeight float64 // what a request beyond its tenant's quota is worth, as a share of its class's weight
	Classes         []Class
	Tenants         []Tenant
}

// Class is a request class.
type Class struct {
	Name              string
	LatencyObjective  float64
	Deadline          float64
	LateValue         float64 // of an answer between objective and deadline, as a share of the full value
	Effect            Effect
	IdempotencyWindow float64
	PriorityWeight    float64
	CompleteShare     float64 // from which an answer is complete
	MinShare          float64 // below which none may be given
	PartialValue      float64
	FollowUpRequests  float64 // shard requests of the second step, 0 where there is none
	HedgingForbidden  bool
}

// Tenant is one of the parties that share the service.
type Tenant struct {
	Name          string
	CapacityShare float64
	Quota         float64 // requests a second over all gatherers
}

// Clone is a copy that may be changed.
func (s *Settings) Clone() *Settings {
	c := *s
	c.Classes = slices.Clone(s.Classes)
	c.Tenants = slices.Clone(s.Tenants)
	return &c
}

// Class finds a class by its name; it is the zero Class where there is none.
func (s *Settings) Class(name string) Class {
	if c := s.FindClass(name); c != nil {
		return *c
	}
	return Class{}
}

// FindClass finds a class by its name, nil where there is none. Only a Clone's classes may be changed through it.
func (s *Settings) FindClass(name string) *Class {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return nil
}

// ClassNames are the names of all classes, in order.
func (s *Settings) ClassNames() []string {
	var names []string
	for i := range s.Classes {
		names = append(names, s.Classes[i].Name)
	}
	return names
}

// TenantNames are the names of all tenants, in order.
func (s *Settings) TenantNames() []string {
	var names []string
	for i := range s.Tenants {
		names = append(names, s.Tenants[i].Name)
	}
	return names
}
