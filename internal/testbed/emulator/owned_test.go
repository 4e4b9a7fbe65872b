package emulator

import (
	"strings"
	"testing"
)

// owned is a farm whose segments move twice a second, a seventh of the hand-overs being taken back.
const ownedDay = `
scenario moving
time length 20s warm-up 2s
hall north
hall south
kind big cores 4 queue 200
layout shards 24
servers 24 kind big
gatherers 6
index find share 60% parts 4 to 8 work 20ms soft 400ms hard 2s
index most share 20% parts 8 work 20ms need 75% least 50% partial 80% soft 400ms hard 2s
index claim share 20% parts 1 to 2 work 20ms soft 400ms hard 2s effect once-only
clients rate 120/s retries 2
discovery lag 50ms to 400ms
segments 24 owners 3 every 500ms takes 15ms undone 15%
`

// TestSegmentsMove: with segments moving all the time every rule is kept, service stays near what it is when nothing
// moves, and the refusals that come of it are few.
func TestSegmentsMove(t *testing.T) {
	for seed := range uint64(3) {
		still := play(t, parse(t, strings.Replace(ownedDay, "every 500ms", "", 1)), Options{Seed: seed, Variant: Ours})
		r := play(t, parse(t, ownedDay), Options{Seed: seed, Variant: Ours})
		if !r.Rules.Passed() || !still.Rules.Passed() {
			t.Errorf("seed %d: %v %s; %v", seed, r.Rules.Violations, r.Rules.Incomplete, still.Rules.Violations)
		}
		if r.Handed < 20 || r.Undone < 2 || r.Refused == 0 || still.Refused > 0 {
			t.Errorf("seed %d: %d handed over, %d undone, %d refused; %d refused where nothing moves", seed, r.Handed, r.Undone, r.Refused, still.Refused)
		}
		if still.Gain < 0.98 || r.Gain < still.Gain-0.02 {
			t.Errorf("seed %d: gain %g, %g where nothing moves", seed, r.Gain, still.Gain)
		}
	}
}

// TestSegmentsInTrouble: the same through crashes, vanished machines, late news, gatherers that die and a hall lost.
func TestSegmentsInTrouble(t *testing.T) {
	for i, trouble := range []string{"crash at 4s for 4s servers 0.3", "vanish at 4s for 4s servers 0.3", "late-list at 2s for 14s times 8", "gatherers-die at 5s for 2s gatherers 1",
		"hall-lost at 5s for 5s hall north", "hang at 4s for 4s servers 0.2", "one-sided at 3s for 12s servers 0.5 gatherers 1 share 40%", "fast-errors at 3s for 12s servers 0.3 share 50%", "slow at 3s for 10s servers 0.2 times 8"} {
		t.Run(strings.Fields(trouble)[0], func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				r := play(t, parse(t, ownedDay+"trouble "+trouble+"\n"), Options{Seed: 10*seed + uint64(i), Variant: Ours})
				if !r.Rules.Passed() {
					t.Errorf("seed %d: %v %s", seed, r.Rules.Violations, r.Rules.Incomplete)
				}
				if r.Handed < 10 {
					t.Errorf("seed %d: %d handed over", seed, r.Handed)
				}
			}
		})
	}
}

// BenchmarkOwned tells what lookups pay for a map, and for one that changes.
func BenchmarkOwned(b *testing.B) {
	for _, day := range []struct{ name, segments string }{{"no map", ""}, {"nothing moves", "segments 24 owners 3\n"}, {"twice a second", "segments 24 owners 3 every 500ms\n"}} {
		b.Run(day.name, func(b *testing.B) {
			text := strings.Replace(ownedDay, "segments 24 owners 3 every 500ms takes 15ms undone 15%\n", day.segments, 1)
			if day.segments == "" {
				text = strings.Replace(text, "layout shards 24", "layout sets 8 shards 24", 1)
			}
			sc := parse(b, text)
			lookups := 0
			for i := range b.N {
				r := play(b, sc, Options{Seed: uint64(i), Variant: Ours, Unruled: true})
				lookups += r.Lookups
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(lookups), "us/lookup")
		})
	}
}
