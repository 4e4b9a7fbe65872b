package rolloutsim

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"yokeroute/internal/pcg"
)

// HuntTerms are those of a search for versions and fleets that are judged wrongly.
type HuntTerms struct {
	Good    bool // versions as good as the old that are stopped, in place of bad ones that pass
	Drawn   int  // fleets and versions
	Each    int  // rollouts of each drawn one
	Sure    int  // rollouts of one that looked wrong, to be sure, and of each step of making it small
	Workers int
	Seed    uint64
	Seen    func(format string, args ...any)
}

// Wrong is a version and a fleet with how often they were judged wrongly, and why, of so many rollouts.
type Wrong struct {
	Terms Terms          `json:"terms"`
	Runs  int            `json:"runs"`
	Times int            `json:"wrong"`
	Why   map[string]int `json:"why,omitempty"`
	Least int            `json:"least,omitempty"` // of a kept one: of 20 to be judged as they should be
}

func (w Wrong) share() float64 { return float64(w.Times) / float64(max(w.Runs, 1)) }

// drawn draws a fleet and a version. A bad one harms by at least half as much again as the plan says has to be found,
// from the start or from some minutes on, maybe one index or one zone alone, maybe with something better beside it.
// A gatherer gets enough lookups of each index for the plan's evidence within the limit of a stage.
func drawn(c *pcg.Source, good bool) Terms {
	pick := func(all ...float64) float64 { return all[int(c.Uint32())%len(all)] }
	between := func(a, b float64) float64 { return math.Round((a+(b-a)*c.Float64())*100) / 100 }
	t := Terms{Gatherers: int(pick(20, 30, 60, 100, 200)), Zones: int(pick(1, 2, 3, 4)), Rate: pick(4, 8, 16), Interval: pick(2000, 5000, 10_000), Length: 7_200_000,
		Troubles: pick(0, 2, 4, 8, 12), Size: 1, Own: &Effect{}}
	if good {
		return t
	}
	e := t.Own
	harm := Plan(t).Harm * between(1.5, 4)
	switch c.Uint32() % 8 {
	case 0:
		e.Loss = harm
	case 1:
		e.Nack, e.Latency = harm, between(0.7, 1)
	case 2:
		e.Abort = harm
	case 3:
		e.Tail, e.Latency = 2*harm, between(0.8, 1) // of the tail thrice as much is asked for
	case 4:
		e.Calls = 1 + Plan(t).ExtraCost*between(1.5, 3)
	case 5:
		e.Conns = 1 + Plan(t).ExtraCost*between(2, 4)
	case 6:
		e.Latency = between(1.4, 2)
	case 7:
		e.Further, e.Calls = 2*harm, 1+2*harm // of which a part is of the calls, not of the parts
	}
	if e.Conns == 0 && c.Uint32()%3 == 0 {
		e.Index = 1 + int(c.Uint32()%3)
	}
	if c.Uint32()%3 == 0 && t.Zones > 1 {
		e.Zone = 1 + int(c.Uint32())%t.Zones
	}
	// Of what is confined to fewer lookups than the plan judges an index by, nothing is promised.
	if e.Index > 0 && e.Zone > 0 && indexShares[e.Index-1]/float64(t.Zones) < Plan(t).MinClassShare {
		e.Zone = 0
	}
	if c.Uint32()%4 == 0 {
		e.After = pick(30_000, 90_000)
	}
	return t
}

// try plays rollouts of one fleet and version.
func (h *HuntTerms) try(t Terms, runs int) Wrong {
	row := Many(t, "ours", nil, runs, h.Workers)
	w := Wrong{Terms: t, Runs: runs, Times: row.Passed, Why: row.Why}
	if h.Good {
		w.Times = row.Stopped + row.Open
	}
	return w
}

// Hunt draws fleets and versions, and gives those that were judged wrongly the most often, made as small as they stay
// so. One wrong of some rollouts is chance, which the plan allows; so those that looked wrong are played again, with
// other seeds.
func Hunt(h HuntTerms) (all []Wrong) {
	c := pcg.New(h.Seed)
	var suspects []Wrong
	for n := range h.Drawn {
		t := drawn(c, h.Good)
		t.Seed = uint64(n)*1000 + 1
		if w := h.try(t, h.Each); w.Times > 0 {
			suspects = append(suspects, w)
		}
	}
	h.Seen("%d of %d drawn were judged wrongly once at least in %d rollouts each", len(suspects), h.Drawn, h.Each)
	for _, w := range suspects {
		w.Terms.Seed += 500
		if again := h.try(w.Terms, h.Sure); again.share() > 0.1 {
			all = append(all, again)
		}
	}
	slices.SortStableFunc(all, func(a, b Wrong) int { return cmp.Compare(b.share(), a.share()) })
	h.Seen("%d of these in more than a tenth of %d rollouts", len(all), h.Sure)
	if len(all) > 8 {
		all = all[:8]
	}
	for i := range all {
		all[i] = h.shrink(all[i])
		h.Seen("%s: %d of %d wrong", all[i].Terms.words(), all[i].Times, all[i].Runs)
	}
	return all
}

// shrink takes away what a wrong judgement does not need, as long as it stays nearly as wrong.
func (h *HuntTerms) shrink(w Wrong) Wrong {
	smaller := []func(t *Terms, e *Effect){
		func(t *Terms, _ *Effect) { t.Troubles = 0 },
		func(t *Terms, _ *Effect) { t.Zones = 1 },
		func(t *Terms, _ *Effect) { t.Gatherers = 20 },
		func(t *Terms, _ *Effect) { t.Gatherers = 60 },
		func(t *Terms, _ *Effect) { t.Interval = 10_000 },
		func(t *Terms, _ *Effect) { t.Rate = 10 },
		func(_ *Terms, e *Effect) { e.Latency = 0 },
		func(_ *Terms, e *Effect) { e.Index = 0 },
		func(_ *Terms, e *Effect) { e.Zone = 0 },
		func(_ *Terms, e *Effect) { e.After = 0 },
	}
	for _, change := range smaller {
		t, e := w.Terms, *w.Terms.Own
		change(&t, &e)
		t.Own = &e
		same := t
		same.Own = w.Terms.Own
		if e.Zone > t.Zones || same == w.Terms && e == *w.Terms.Own {
			continue
		}
		if !h.Good && e.harmless() {
			continue
		}
		if less := h.try(t, h.Sure); less.share() >= 0.8*w.share() {
			w = less
		}
	}
	return w
}

// harmless reports whether nothing of an effect is worse than the old.
func (e Effect) harmless() bool {
	return e.Loss+e.Nack+e.Abort+e.Tail+e.Further+e.Leak+e.Dies+e.NeverUp == 0 && e.Calls <= 1 && e.Conns <= 1 && e.Latency <= 1
}

// words name a fleet and a version.
func (t Terms) words() string {
	return fmt.Sprintf("%d gatherers in %d zones, %g lookups a second each, a look each %g s, %g troubles in 10 min, %+v", t.Gatherers, t.Zones, t.Rate, t.Interval/1000, t.Troubles, *t.Own)
}

// Judged plays a kept case again and reports how many of so many rollouts ended as they should: a version that harms
// not all new, a good one all new.
func Judged(t Terms, runs, workers int) int {
	row := Many(t, "ours", nil, runs, workers)
	if t.Own.harmless() {
		return row.Passed
	}
	return row.Stopped
}
