// Package terms puts the settings, as simulator and platform word them, into the project's words.
package settings

import (
	"encoding/json"
	"fmt"

	"yokeroute/gather"
)

type settings struct {
	Balancers float64 `json:"balancers"`
	MyNumber  float64 `json:"myNumber"`
	Tick      float64 `json:"tick"`
	CountedBy string  `json:"countedBy"`
	OverShare float64 `json:"overShareWorth"`
	Discovery string  `json:"discovery"`
	Zone      string  `json:"zone"`
	Weights   string  `json:"weightSource"`
	Classes   []struct {
		Name      string  `json:"name"`
		GoalTime  float64 `json:"goalTime"`
		HardLimit float64 `json:"hardLimit"`
		Effect    string  `json:"effect"`
		Group     string  `json:"group"`
		Window    float64 `json:"window"`
		LateValue float64 `json:"lateValue"`
		Worth     float64 `json:"worth"`
	} `json:"classes"`
	Tenants []struct {
		Name    string  `json:"name"`
		Portion float64 `json:"portion"`
		Quota   float64 `json:"quotaPerS"`
	} `json:"tenants"`
	Domain struct {
		Cells        float64   `json:"cells"`
		InARow       float64   `json:"inARow"`
		Shards       float64   `json:"shards"`
		Call         float64   `json:"call"`
		PartsACall   float64   `json:"partsACall"`
		ClassFloor   []float64 `json:"classFloor"`
		CompleteFrom []float64 `json:"completeFrom"`
		PartialEarns []float64 `json:"partialEarns"`
		SecondStep   []float64 `json:"secondStep"`
	} `json:"domain"`
	Limits struct {
		AttemptsCap    float64 `json:"attemptsCap"`
		Cancel         bool    `json:"cancel"`
		ConnectTimeout float64 `json:"connectTimeout"`
		MaxRetryAfter  float64 `json:"maxRetryAfter"`
		IdleClose      float64 `json:"idleClose"`
		MostHeld       float64 `json:"mostHeld"`
		Probes         bool    `json:"probes"`
		RetryAfter     bool    `json:"retryAfter"`
		SecondCopies   bool    `json:"secondCopies"`
		Streams        float64 `json:"streamsPerConn"`
	} `json:"limits"`
	LoadInfo struct {
		How string `json:"how"`
	} `json:"loadInfo"`
	Rules struct {
		AnswerSlack  float64  `json:"answerSlack"`
		BudgetShare  *float64 `json:"budgetShare"`
		Cold         float64  `json:"cold"`
		ColdShare    float64  `json:"coldShare"`
		DrainGrace   float64  `json:"drainGrace"`
		ExtraFloor   float64  `json:"extraFloor"`
		Fall         float64  `json:"fall"`
		FallMultiple float64  `json:"fallMultiple"`
		MustAskIn    float64  `json:"mustAskIn"`
		ResendSpan   float64  `json:"resendSpan"`
	} `json:"rules"`
}

func ms(us float64) float64 { return us / 1000 }

var effects = map[string]gather.Effect{"pure": gather.Idempotent, "token": gather.IdempotencyKeyed, "side_effect": gather.NonIdempotent}

// at is a value of a list that goes class by class; a site may leave such a list out.
func at(list []float64, i int, otherwise float64) float64 {
	if i < len(list) {
		return list[i]
	}
	return otherwise
}

// Read takes the settings apart. Their times are microseconds, those of the terms milliseconds.
func Read(info json.RawMessage) (*gather.Settings, error) {
	var s settings
	if err := json.Unmarshal(info, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if len(s.Classes) == 0 || s.Domain.Cells < 1 || s.Domain.InARow < 1 {
		return nil, fmt.Errorf("settings: no classes or no layout of shards")
	}
	switch how, list := s.LoadInfo.How, s.Discovery; {
	case list != "" && list != "pushed" && list != "on_request":
		return nil, fmt.Errorf("settings.discovery: %q is neither pushed nor on_request", list)
	case how != "" && how != "piggyback" && how != "pull" && how != "silent":
		return nil, fmt.Errorf("settings.loadInfo.how: %q is none of piggyback, pull, silent", how)
	}
	for _, c := range s.Classes {
		if c.HardLimit < 0 || c.GoalTime < 0 {
			return nil, fmt.Errorf("settings.classes: %q has a goalTime or hardLimit below 0", c.Name)
		}
	}
	t := &gather.Settings{
		Gatherers: int(s.Balancers), GathererIndex: int(s.MyNumber), Tick: ms(s.Tick), CountedBy: s.CountedBy,
		OverQuotaWeight: s.OverShare, EndpointsOnRequest: s.Discovery == "on_request", Zone: s.Zone,
		WeightSource: s.Weights, ReplicaSets: int(s.Domain.Cells), ReplicaSetsPerShard: int(s.Domain.InARow),
		Shards: int(s.Domain.Shards), CallCost: ms(s.Domain.Call), RequestsPerCall: int(s.Domain.PartsACall),
		MaxAttempts: int(s.Limits.AttemptsCap), CancelAllowed: s.Limits.Cancel,
		HealthChecksAllowed: s.Limits.Probes, ConnectTimeout: ms(s.Limits.ConnectTimeout),
		MaxOpenRequests: int(s.Limits.MostHeld), IdleTimeout: ms(s.Limits.IdleClose),
		StreamsPerConnection: int(s.Limits.Streams), HedgingAllowed: s.Limits.SecondCopies,
		LoadReports: s.LoadInfo.How, AnswerSlack: ms(s.Rules.AnswerSlack),
		DrainGrace: ms(s.Rules.DrainGrace), WarmupTime: ms(s.Rules.Cold),
		InitialCapacityShare: s.Rules.ColdShare, OverloadWindow: ms(s.Rules.Fall),
		OverloadMultiple: s.Rules.FallMultiple, DiscoveryInterval: ms(s.Rules.MustAskIn),
	}
	if s.Rules.BudgetShare != nil {
		t.RetryBudgetWindow, t.RetryBudgetFloor = ms(s.Rules.ResendSpan), s.Rules.ExtraFloor
		t.RetryBudgetRatio = *s.Rules.BudgetShare
	}
	if s.Limits.RetryAfter { // clients that are told no time have a longest of 0
		t.MaxRetryAfter = ms(s.Limits.MaxRetryAfter)
	}
	for i, c := range s.Classes {
		effect, known := effects[c.Effect]
		if !known {
			return nil, fmt.Errorf("settings: class %q has effect %q", c.Name, c.Effect)
		}
		completeShare := at(s.Domain.CompleteFrom, i, 1)
		t.Classes = append(t.Classes, gather.Class{
			Name: c.Name, LatencyObjective: ms(c.GoalTime), Deadline: ms(c.HardLimit), LateValue: c.LateValue,
			Effect: effect, IdempotencyWindow: ms(c.Window), PriorityWeight: c.Worth,
			CompleteShare:    completeShare,
			MinShare:         at(s.Domain.ClassFloor, i, completeShare),
			PartialValue:     at(s.Domain.PartialEarns, i, 0),
			FollowUpRequests: at(s.Domain.SecondStep, i, 0),
		})
	}
	for _, c := range s.Tenants {
		t.Tenants = append(t.Tenants, gather.Tenant{Name: c.Name, CapacityShare: c.Portion, Quota: c.Quota})
	}
	return t, nil
}
