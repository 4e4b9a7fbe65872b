// Package settings reads the settings that simulator and platform hand to a gatherer. Their form is fixed by the
// wire's page; its names stand in this package only, in the struct tags of document and in the tables beside it.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"

	"yokeroute/gather"
)

// Read parses and checks settings. Their times are microseconds, those of gather.Settings milliseconds.
func Read(text json.RawMessage) (*gather.Settings, error) {
	var d document
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := d.check(); err != nil {
		return nil, err
	}
	s := d.settings()
	d.setRetryBudget(s)
	d.setRetryAfter(s)
	for i := range d.Classes {
		class, err := d.class(i)
		if err != nil {
			return nil, err
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range d.Tenants {
		s.Tenants = append(s.Tenants, gather.Tenant{Name: t.Name, CapacityShare: t.CapacityShare, Quota: t.Quota})
	}
	return s, nil
}

var errNoLayout = errors.New("settings: no classes or no layout of shards")

// check reports values that the settings cannot have.
func (d *document) check() error {
	if len(d.Classes) == 0 || d.Layout.ReplicaSets < 1 || d.Layout.ReplicaSetsPerShard < 1 {
		return errNoLayout
	}
	switch d.Discovery {
	case "", discoveryPushed, discoveryOnRequest:
	default:
		return fmt.Errorf("settings.discovery: %q is neither pushed nor on_request", d.Discovery)
	}
	switch d.LoadReports.How {
	case "", reportsWithResponses, reportsOnHealthCheck, reportsNone:
	default:
		return fmt.Errorf("settings.loadInfo.how: %q is none of piggyback, pull, silent", d.LoadReports.How)
	}
	for _, c := range d.Classes {
		if c.Deadline < 0 || c.LatencyObjective < 0 {
			return fmt.Errorf("settings.classes: %q has a goalTime or hardLimit below 0", c.Name)
		}
	}
	return nil
}

// settings are those that stand in the document one for one.
func (d *document) settings() *gather.Settings {
	return &gather.Settings{
		Gatherers:     int(d.Gatherers),
		GathererIndex: int(d.GathererIndex),
		Tick:          milliseconds(d.Tick),
		Zone:          d.Zone,

		EndpointsOnRequest: d.Discovery == discoveryOnRequest,
		DiscoveryInterval:  milliseconds(d.Rules.DiscoveryInterval),
		WeightSource:       d.WeightSource,
		LoadReports:        d.LoadReports.How,

		ReplicaSets:         int(d.Layout.ReplicaSets),
		ReplicaSetsPerShard: int(d.Layout.ReplicaSetsPerShard),
		Shards:              int(d.Layout.Shards),

		CallCost:             milliseconds(d.Layout.CallCost),
		RequestsPerCall:      int(d.Layout.RequestsPerCall),
		MaxAttempts:          int(d.Limits.MaxAttempts),
		MaxOpenRequests:      int(d.Limits.MaxOpenRequests),
		CancelAllowed:        d.Limits.CancelAllowed,
		HedgingAllowed:       d.Limits.HedgingAllowed,
		HealthChecksAllowed:  d.Limits.HealthChecksAllowed,
		ConnectTimeout:       milliseconds(d.Limits.ConnectTimeout),
		IdleTimeout:          milliseconds(d.Limits.IdleTimeout),
		StreamsPerConnection: int(d.Limits.StreamsPerConnection),

		AnswerSlack: milliseconds(d.Rules.AnswerSlack),
		DrainGrace:  milliseconds(d.Rules.DrainGrace),

		WarmupTime:           milliseconds(d.Rules.WarmupTime),
		InitialCapacityShare: d.Rules.InitialCapacityShare,
		OverloadWindow:       milliseconds(d.Rules.OverloadWindow),
		OverloadMultiple:     d.Rules.OverloadMultiple,

		CountedBy:       d.CountedBy,
		OverQuotaWeight: d.OverQuotaWeight,
	}
}

// setRetryBudget leaves the budget out where the document has no ratio.
func (d *document) setRetryBudget(s *gather.Settings) {
	if d.Rules.RetryBudgetRatio == nil {
		return
	}
	s.RetryBudgetWindow = milliseconds(d.Rules.RetryBudgetWindow)
	s.RetryBudgetFloor = d.Rules.RetryBudgetFloor
	s.RetryBudgetRatio = *d.Rules.RetryBudgetRatio
}

// setRetryAfter leaves the longest advice at 0 where clients get none.
func (d *document) setRetryAfter(s *gather.Settings) {
	if d.Limits.RetryAfterGiven {
		s.MaxRetryAfter = milliseconds(d.Limits.MaxRetryAfter)
	}
}

// class is a class with its values of the layout's lists.
func (d *document) class(i int) (gather.Class, error) {
	c := &d.Classes[i]
	effect, known := effects[c.Effect]
	if !known {
		return gather.Class{}, fmt.Errorf("settings: class %q has effect %q", c.Name, c.Effect)
	}
	completeShare := classValue(d.Layout.CompleteShares, i, 1)
	return gather.Class{
		Name:              c.Name,
		LatencyObjective:  milliseconds(c.LatencyObjective),
		Deadline:          milliseconds(c.Deadline),
		LateValue:         c.LateValue,
		Effect:            effect,
		IdempotencyWindow: milliseconds(c.IdempotencyWindow),
		PriorityWeight:    c.PriorityWeight,
		CompleteShare:     completeShare,
		MinShare:          classValue(d.Layout.MinShares, i, completeShare),
		PartialValue:      classValue(d.Layout.PartialValues, i, 0),
		FollowUpRequests:  classValue(d.Layout.FollowUpRequests, i, 0),
	}, nil
}

// classValue is a class's value of a list that goes class by class. A document may leave such a list out.
func classValue(list []float64, class int, defaultValue float64) float64 {
	if class < len(list) {
		return list[class]
	}
	return defaultValue
}

func milliseconds(microseconds float64) float64 { return microseconds / 1000 }
