package emulator

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// fleet is a day of so many servers and gatherers at 40% of its capacity, long enough for some thousand lookups.
func fleet(servers, gatherers int, seconds float64) string {
	sets := max(servers/4, 1)
	rate := 0.4 * float64(servers) * 4 / (4 * 0.02)
	return fmt.Sprintf("time length %.2fs warm-up 100ms\nhall a\nhall b\nkind m cores 4\nlayout sets %d shards %d\nservers %d kind m\ngatherers %d\nindex i parts 4 work 20ms soft 400ms hard 2s\nclients rate %.0f/s retries 1\n",
		seconds, sets, 6*sets, servers, gatherers, rate)
}

// BenchmarkDay tells how many lookups are played in a second of real time, how many rounds of the module that takes,
// and what a round costs, as the fleet grows.
func BenchmarkDay(b *testing.B) {
	for _, size := range []struct{ servers, gatherers int }{{20, 5}, {20, 50}, {300, 5}, {300, 50}, {300, 300}, {1000, 50}, {1000, 300}, {3000, 50}, {3000, 300}} {
		b.Run(fmt.Sprintf("%dx%d", size.servers, size.gatherers), func(b *testing.B) {
			rate := 0.4 * float64(size.servers) * 4 / (4 * 0.02)
			sc := parse(b, fleet(size.servers, size.gatherers, 0.1+4000/rate))
			lookups, rounds := 0, 0
			began := time.Now()
			for i := range b.N {
				r := play(b, sc, Options{Seed: uint64(i), Variant: Ours})
				lookups, rounds = lookups+r.Lookups, rounds+r.Rounds
			}
			took := time.Since(began).Seconds()
			b.ReportMetric(float64(lookups)/took, "lookups/s")
			b.ReportMetric(took/float64(rounds)*1e6, "us/round")
			b.ReportMetric(float64(rounds)/float64(max(lookups, 1)), "rounds/lookup")
		})
	}
}

// BenchmarkMemory tells what a gatherer takes that knows so many servers, after a short day.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ servers, gatherers int }{{20, 50}, {300, 50}, {1000, 50}, {3000, 50}} {
		b.Run(fmt.Sprintf("%dx%d", size.servers, size.gatherers), func(b *testing.B) {
			sc := parse(b, fleet(size.servers, size.gatherers, 0.3))
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				w, err := begin(sc, Options{Seed: 1, Variant: Ours})
				if err != nil {
					b.Fatal(err)
				}
				if err := w.day(Options{}); err != nil {
					b.Fatal(err)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size.gatherers)/1024, "KB/gatherer")
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size.gatherers*size.servers), "B/server-gatherer")
				runtime.KeepAlive(w)
			}
		})
	}
}
