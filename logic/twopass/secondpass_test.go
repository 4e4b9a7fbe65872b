package twopass

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestPlanSecondPassCountsOnlyProvedShards plans second passes for random outcomes. Only shards proved empty
// count as received, no shard request is forgotten, no answer is given from less than the minimum share, and
// no incomplete answer is marked as complete.
func TestPlanSecondPassCountsOnlyProvedShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := commonSettings
		settings.CompleteShare = rapid.SampledFrom([]float64{1, 0.75, 0.5}).Draw(t, "complete share")
		settings.MinShare = settings.CompleteShare * rapid.SampledFrom([]float64{1, 0.5}).Draw(t, "min share")
		settings.MinLikelihood = rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "min likelihood")
		settings.AllowPartial = rapid.Bool().Draw(t, "partial")
		d := New(1, map[string]Settings{"i": settings})
		k := rapid.IntRange(1, 12).Draw(t, "shard requests")
		outcomes := make([]FirstPassOutcome, k)
		sum := 0.0
		for i := range outcomes {
			attempted := rapid.Bool().Draw(t, "attempted")
			answered := attempted && rapid.Bool().Draw(t, "answered")
			outcomes[i] = FirstPassOutcome{
				Weight:      rapid.Float64Range(0.1, 1).Draw(t, "weight"),
				Attempted:   attempted,
				Answered:    answered,
				ProvedEmpty: rapid.Bool().Draw(t, "empty"),
				Likelihood:  rapid.Float64Range(0, 1).Draw(t, "likelihood"),
			}
			sum += outcomes[i].Weight
		}
		proved, reachable := 0.0, 0.0
		for i := range outcomes {
			outcomes[i].Weight /= sum
			if outcomes[i].Answered && outcomes[i].ProvedEmpty {
				proved += outcomes[i].Weight
			}
		}
		plan := d.PlanSecondPass("i", outcomes)
		complete := proved >= settings.CompleteShare-weightTolerance
		if math.Abs(plan.ProvedWeight-proved) > 1e-9 || plan.Complete != complete {
			t.Fatalf("proved weight %g, complete %t; want a proved weight of %g",
				plan.ProvedWeight, plan.Complete, proved)
		}
		tooLittle := plan.Done && proved < settings.MinShare-weightTolerance
		if tooLittle || plan.Complete && !plan.Done || !plan.Done && len(plan.Requests) == 0 {
			t.Fatalf("invalid plan %+v for a proved weight of %g", plan, proved)
		}
		seen := map[int]bool{}
		reachable = proved
		for _, planned := range plan.Requests {
			outcome := outcomes[planned.Index]
			if seen[planned.Index] || outcome.Answered && outcome.ProvedEmpty ||
				planned.Retry != (outcome.Attempted && !outcome.Answered) {
				t.Fatalf("planned request %+v does not fit outcome %+v", planned, outcome)
			}
			seen[planned.Index] = true
			reachable += outcome.Weight
		}
		for _, i := range plan.LeftOut {
			o := &outcomes[i]
			if seen[i] || !o.Answered || o.ProvedEmpty || o.Likelihood >= settings.MinLikelihood {
				t.Fatalf("left out a shard that is needed: %+v", outcomes[i])
			}
			seen[i] = true
		}
		needed := settings.CompleteShare
		if settings.AllowPartial {
			needed = settings.MinShare
		}
		if len(plan.LeftOut) > 0 && reachable < needed-1e-3 {
			t.Fatalf("reachable weight %g is less than the needed %g", reachable, needed)
		}
	})
}

func BenchmarkPlanSecondPass(b *testing.B) {
	for _, k := range []int{4, 12, 64} {
		b.Run(fmt.Sprint(k), func(b *testing.B) {
			settings := commonSettings
			settings.MinLikelihood = 0.2
			d := New(1, map[string]Settings{"i": settings})
			outcomes := make([]FirstPassOutcome, k)
			for i := range outcomes {
				outcomes[i] = FirstPassOutcome{
					Weight:      1 / float64(k),
					Attempted:   true,
					Answered:    i%5 > 0,
					ProvedEmpty: i%2 == 0,
					Likelihood:  float64(i) / float64(k),
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				d.PlanSecondPass("i", outcomes)
			}
		})
	}
}
