package rollout

import (
	"slices"
	"strings"
	"testing"
)

// TestCheckReportsEveryMistake: a plan that cannot be meant is refused with all of its mistakes.
func TestCheckReportsEveryMistake(t *testing.T) {
	for want, change := range map[string]func(p *Plan){
		"has no stages":                      func(p *Plan) { p.Stages = nil },
		"stages have to grow":                func(p *Plan) { p.Stages[1].Share = 0.05 },
		"no gatherer is in the zone c":       func(p *Plan) { p.Stages[1] = Stage{Name: "z", Zone: "c"} },
		"wants one of count, share and zone": func(p *Plan) { p.Stages[1].Count = 3 },
		"changes 40 gatherers, there are 12": func(p *Plan) { p.Stages[0].Count = 40 },
		"is named twice":                     func(p *Plan) { p.Gatherers[1].Name = "g0" },
		"somebody has to serve":              func(p *Plan) { p.MaxUnavailable = 12 },
		"may last 60000 ms, and half is watched": func(p *Plan) {
			p.StageLimit = 60_000
			p.Stages[1].MinObservation = 90_000
		},
		"less than the": func(p *Plan) { p.WarmUpHarm = 0.01 },
		"two at least":  func(p *Plan) { p.Gatherers = p.Gatherers[:1] },
	} {
		p := newFleet(12, nil).plan
		p.Stages = slices.Clone(p.Stages)
		p.Gatherers = slices.Clone(p.Gatherers)
		change(&p)
		p = p.Defaults()
		var all []string
		for _, w := range p.Check() {
			all = append(all, w.Message)
		}
		if !strings.Contains(strings.Join(all, "; "), want) {
			t.Errorf("%q: %v", want, all)
		}
	}
	if p := newFleet(12, nil).plan; len(p.Check()) > 0 {
		t.Errorf("a good plan: %v", p.Check())
	}
}
