package slowstart

import (
	"testing"

	"pgregory.net/rapid"

	"yokeroute/gather"
)

// TestAgainstAll compares with looking at all servers each time, as the module did before: through starts, ends and time
// that passes, also by just the length of the cold time, shares and credits are the same to the last bit.
func TestAgainstAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := &gather.Settings{
			WarmupTime: 1000.0, InitialCapacityShare: 0.2, OverloadWindow: 500.0, OverloadMultiple: 3.0,
			Gatherers: 3, GathererIndex: 1,
		}
		if rapid.IntRange(0, 9).Draw(t, "no rule") == 0 {
			settings.OverloadWindow = 0
		}
		var table Table
		table.Take(settings)
		var running []bool
		var started, credit []float64
		warmBefore, now := 0.0, 10_000.0
		runs := func(of int) bool { return running[of] }
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			gap := rapid.SampledFrom([]float64{0, 5, 100, 500, 1000}).Draw(t, "gap")
			now += gap
			for range rapid.IntRange(0, 2).Draw(t, "changes") {
				of := rapid.IntRange(0, len(running)).Draw(t, "server")
				if of == len(running) {
					table.Grow()
					running, started, credit = append(running, true), append(started, 0), append(credit, 0)
				}
				running[of] = rapid.IntRange(0, 3).Draw(t, "runs") > 0
				started[of] = rapid.SampledFrom([]float64{0, now, now - 1000, now + 50}).Draw(t, "started")
				table.Start(of, uint32(of), started[of])
				credit[of] = table.credit[of]
				table.Muster(now, runs)
			}
			carried := float64(rapid.IntRange(0, 50).Draw(t, "carried"))
			least, warm := gap/max(20, 1)/4/3, 0.0
			for of := range running {
				if !running[of] {
					continue
				}
				if table.Share(of, now) == 1 {
					warm++
					continue
				}
				credit[of] = min(credit[of]+3*table.Share(of, now)*max(push*carried/max(warmBefore, 1), least), hoard)
			}
			warmBefore = warm
			table.Earn(now, gap, 20, carried, runs)
			for of := range running {
				if table.credit[of] != credit[of] || table.May(of, now) != (table.Share(of, now) == 1 || credit[of] >= 1) {
					t.Fatalf("at %v server %d: credit %v, want %v", now, of, table.credit[of], credit[of])
				}
			}
			if table.warm != warm {
				t.Fatalf("at %v: %v are warm, want %v", now, table.warm, warm)
			}
		}
	})
}
