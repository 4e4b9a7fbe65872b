package emulator

import (
	"fmt"
	"math"
	"testing"
)

// TestColdTogether: what one, eight and thirty gatherers of uneven traffic send to one and to many cold servers together,
// retries, second copies and probes counted, also where gatherers start anew amid the ramp, where some hear of the start
// late, and where the load is near the fleet's capacity. Beyond the budget of N calls of mean work twice the root of N
// and two are chance; the checker itself grants none of it.
func TestColdTogether(t *testing.T) {
	const work, span, falls, cores = 20.0, 1000.0, 2.0, 2.0 // milliseconds; of one server
	// The budget is least while a server is coldest, where chance counts most. The bound here takes the share of chance
	// that a warm one has, which is the smallest.
	n := falls * cores * span / work
	bound := 1 + (2*math.Sqrt(n)+2)/n
	for _, gatherers := range []int{1, 8, 30} {
		for _, cold := range []int{1, 8} {
			for name, more := range map[string]string{"plain": "", "gatherers start anew": "trouble gatherers-die at 8500ms for 600ms gatherers 0.4\n",
				"told late": "trouble late-list at 5s for 6s times 8\n", "others slow": "trouble slow at 8s for 6s servers 0.2 times 5\n"} {
				t.Run(fmt.Sprintf("%d gatherers, %d cold, %s", gatherers, cold, name), func(t *testing.T) {
					t.Parallel()
					day := fmt.Sprintf("time length 16s warm-up 1s\nkind one cores %g setup 1ms\nlayout sets 3 shards 18\nservers 12 kind one\ngatherers %d skew 1.5\n"+
						"index any share 60%% parts 4 to 6 work %gms need 75%% soft 400ms hard 1s\nindex once share 40%% parts 1 to 2 work %gms soft 400ms hard 1s effect once-only\n"+
						"clients rate 150/s retries 2 wait 100ms\nbudget free 6 share 5%% in 1s\ndiscovery lag 10ms to 300ms\ncold from 20%% warms 6s falls %g in %gms\n"+
						"trouble crash at 6s for 1s servers %d\n%s", cores, gatherers, work, work, falls, span, cold, more)
					for seed := range uint64(2) {
						r := play(t, parse(t, day), Options{Seed: 1 + seed, Variant: Ours})
						near := r.Rules.ClosestToLimit[4]
						if near.Share > bound || near.Share == 0 {
							t.Errorf("seed %d: %.2f of what cold servers bear, %.2f with chance: %s", 1+seed, near.Share, bound, near.Message)
						}
						for rule, times := range r.Rules.Counts {
							t.Errorf("seed %d: rule %d broken %d times: %v", 1+seed, rule, times, r.Rules.Violations[0])
						}
					}
				})
			}
		}
	}
}
