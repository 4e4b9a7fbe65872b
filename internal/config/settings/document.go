package settings

import "yokeroute/gather"

// The values that texts of a document may have.
const (
	discoveryPushed    = "pushed"
	discoveryOnRequest = "on_request"

	reportsWithResponses = "piggyback"
	reportsOnHealthCheck = gather.LoadReportsOnHealthCheck
	reportsNone          = "silent"
)

var effects = map[string]gather.Effect{
	"pure":        gather.Idempotent,
	"token":       gather.IdempotencyKeyed,
	"side_effect": gather.NonIdempotent,
}

// document holds the settings as they come. Times are microseconds. Unknown keys are ignored.
type document struct {
	Gatherers       float64          `json:"balancers"`
	GathererIndex   float64          `json:"myNumber"`
	Tick            float64          `json:"tick"`
	CountedBy       string           `json:"countedBy"`
	OverQuotaWeight float64          `json:"overShareWorth"`
	Discovery       string           `json:"discovery"`
	Zone            string           `json:"zone"`
	WeightSource    string           `json:"weightSource"`
	Classes         []classDocument  `json:"classes"`
	Tenants         []tenantDocument `json:"tenants"`
	Layout          layoutDocument   `json:"domain"`
	Limits          limitsDocument   `json:"limits"`
	LoadReports     struct {
		How string `json:"how"`
	} `json:"loadInfo"`
	Rules rulesDocument `json:"rules"`
}

type classDocument struct {
	Name              string  `json:"name"`
	LatencyObjective  float64 `json:"goalTime"`
	Deadline          float64 `json:"hardLimit"`
	Effect            string  `json:"effect"`
	IdempotencyScope  string  `json:"group"` // must be a text, and is not used
	IdempotencyWindow float64 `json:"window"`
	LateValue         float64 `json:"lateValue"`
	PriorityWeight    float64 `json:"worth"`
}

type tenantDocument struct {
	Name          string  `json:"name"`
	CapacityShare float64 `json:"portion"`
	Quota         float64 `json:"quotaPerS"`
}

// layoutDocument says which replica sets hold a shard, and has what differs by class in lists.
type layoutDocument struct {
	ReplicaSets         float64   `json:"cells"`
	ReplicaSetsPerShard float64   `json:"inARow"`
	Shards              float64   `json:"shards"`
	CallCost            float64   `json:"call"`
	RequestsPerCall     float64   `json:"partsACall"`
	MinShares           []float64 `json:"classFloor"`
	CompleteShares      []float64 `json:"completeFrom"`
	PartialValues       []float64 `json:"partialEarns"`
	FollowUpRequests    []float64 `json:"secondStep"`
}

type limitsDocument struct {
	MaxAttempts          float64 `json:"attemptsCap"`
	CancelAllowed        bool    `json:"cancel"`
	ConnectTimeout       float64 `json:"connectTimeout"`
	MaxRetryAfter        float64 `json:"maxRetryAfter"`
	IdleTimeout          float64 `json:"idleClose"`
	MaxOpenRequests      float64 `json:"mostHeld"`
	HealthChecksAllowed  bool    `json:"probes"`
	RetryAfterGiven      bool    `json:"retryAfter"`
	HedgingAllowed       bool    `json:"secondCopies"`
	StreamsPerConnection float64 `json:"streamsPerConn"`
}

type rulesDocument struct {
	AnswerSlack          float64  `json:"answerSlack"`
	RetryBudgetRatio     *float64 `json:"budgetShare"`
	WarmupTime           float64  `json:"cold"`
	InitialCapacityShare float64  `json:"coldShare"`
	DrainGrace           float64  `json:"drainGrace"`
	RetryBudgetFloor     float64  `json:"extraFloor"`
	OverloadWindow       float64  `json:"fall"`
	OverloadMultiple     float64  `json:"fallMultiple"`
	DiscoveryInterval    float64  `json:"mustAskIn"`
	RetryBudgetWindow    float64  `json:"resendSpan"`
}
