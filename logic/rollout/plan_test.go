package rollout

import (
	"slices"
	"strings"
	"testing"
)

// TestCheckReportsEveryMistake tests that Check reports each kind of mistake in a plan, and none in a valid
// plan.
func TestCheckReportsEveryMistake(t *testing.T) {
	for want, change := range map[string]func(p *Plan){
		"has no stages":                               func(p *Plan) { p.Stages = nil },
		"each stage has to be larger":                 func(p *Plan) { p.Stages[1].Share = 0.05 },
		"no gatherer is in the zone c":                func(p *Plan) { p.Stages[1] = Stage{Name: "z", Zone: "c"} },
		"needs exactly one of count, share and zone":  func(p *Plan) { p.Stages[1].Count = 3 },
		"changes 40 gatherers, and there are only 12": func(p *Plan) { p.Stages[0].Count = 40 },
		"is named twice":                              func(p *Plan) { p.Gatherers[1].Name = "g0" },
		"at least one has to serve":                   func(p *Plan) { p.MaxUnavailable = 12 },
		"may last 60000 ms, and stage half has to be observed": func(p *Plan) {
			p.StageLimit = 60_000
			p.Stages[1].MinObservation = 90_000
		},
		"less than the":      func(p *Plan) { p.WarmUpHarm = 0.01 },
		"needs at least two": func(p *Plan) { p.Gatherers = p.Gatherers[:1] },
	} {
		p := newFleet(12, nil).plan
		p.Stages = slices.Clone(p.Stages)
		p.Gatherers = slices.Clone(p.Gatherers)
		change(&p)
		p = p.Defaults()
		var messages []string
		for _, fault := range p.Check() {
			messages = append(messages, fault.Message)
		}
		if !strings.Contains(strings.Join(messages, "; "), want) {
			t.Errorf("mistakes %q, want one with %q", messages, want)
		}
	}
	if p := newFleet(12, nil).plan; len(p.Check()) > 0 {
		t.Errorf("mistakes in a valid plan: %v", p.Check())
	}
}
