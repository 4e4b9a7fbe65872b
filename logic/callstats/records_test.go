package callstats

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"yokeroute/internal/stats"
)

// reference adds up all records of all servers in every round, as the module did before.
type reference struct {
	limits  Limits
	servers [][]Record
}

func (f *reference) advance(now, recent float64) (sums []Sums, window, answered []float64) {
	for of, records := range f.servers {
		old := 0
		for old < len(records) && (records[old].At < now-f.limits.Memory || len(records) > old+f.limits.Enough && records[old].At < now-f.limits.Span) {
			old++
		}
		f.servers[of] = records[old:]
		s := Sums{Trust: math.Inf(1)}
		for _, r := range f.servers[of] {
			s.add(&r)
			if r.Passed && r.At > now-recent {
				answered = append(answered, r.Latency)
			}
			if r.Passed && r.At > now-f.limits.Span {
				window = append(window, r.Latency)
			}
		}
		sums = append(sums, s)
	}
	return sums, window, answered
}

// TestAgainstReference: after any history of records, of servers that come and are replaced and of time that passes, also
// by just the lengths of the limits, sums and medians are to the last bit those of adding everything up anew.
func TestAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Span: 50, Enough: rapid.IntRange(1, 4).Draw(t, "enough"), Memory: 250}
		recent := rapid.SampledFrom([]float64{10, 49, 80, 300}).Draw(t, "recent")
		table, ref := New(limits), &reference{limits: limits}
		now := 1000.0
		for range rapid.IntRange(1, 120).Draw(t, "rounds") {
			now += rapid.SampledFrom([]float64{0, 1, 5, 7.25, 25, 50, 120, 250}).Draw(t, "gap")
			for range rapid.IntRange(0, 4).Draw(t, "events") {
				n := len(ref.servers)
				kind := rapid.IntRange(0, 9).Draw(t, "kind")
				if n == 0 || kind == 0 && n < 6 {
					table.Grow()
					ref.servers = append(ref.servers, nil)
					continue
				}
				of := rapid.IntRange(0, n-1).Draw(t, "server")
				if kind == 1 {
					table.Forget(of)
					ref.servers[of] = nil
					continue
				}
				r := Record{At: now, Latency: rapid.SampledFrom([]float64{1, 1, 2.5, 3.1, 7, 40}).Draw(t, "latency"), Weight: rapid.SampledFrom([]float64{1, 0.3}).Draw(t, "weight"),
					Passed: rapid.IntRange(0, 3).Draw(t, "passed") > 0}
				r.Failed = !r.Passed || r.Latency > 5
				r.Lost = !r.Passed && rapid.Bool().Draw(t, "lost")
				r.Extra = r.Latency / 3
				table.Add(of, r)
				ref.servers[of] = append(ref.servers[of], r)
			}
			table.Advance(now)
			sums, window, answered := ref.advance(now, recent)
			for of, want := range sums {
				if got := table.Sums(of); got != want || table.Len(of) != len(ref.servers[of]) {
					t.Fatalf("at %v server %d: %+v of %d records, want %+v of %d", now, of, got, table.Len(of), want, len(ref.servers[of]))
				}
			}
			if got, want := table.Median(-1), stats.Median(slices.Clone(window), -1); got != want {
				t.Fatalf("at %v: the median is %v, want %v of %v", now, got, want, window)
			}
			got := table.Answered(now-recent, nil)
			slices.Sort(got)
			slices.Sort(answered)
			if !slices.Equal(got, answered) {
				t.Fatalf("at %v: answered %v, want %v", now, got, answered)
			}
		}
	})
}

// TestNothingKept guards against queues and servers that hold on to what has run out.
func TestNothingKept(t *testing.T) {
	table := New(Limits{Span: 100, Enough: 4, Memory: 500})
	for range 10 {
		table.Grow()
	}
	now := 0.0
	for i := range 100_000 {
		now++
		table.Add(i%10, Record{At: now, Latency: float64(i % 7), Weight: 1, Passed: true})
		table.Advance(now)
	}
	if n := len(table.window.blocks); table.window.count != 100 || n > 2 {
		t.Errorf("the window holds %d records in %d blocks", table.window.count, n)
	}
	if n := table.median.Len(); n != 100 {
		t.Errorf("the median is of %d records", n)
	}
	table.Advance(now + 1000)
	if !table.window.empty() || !table.beyond.empty() || table.median.Len() > 0 {
		t.Errorf("records are left: %d in the window, %d beyond", table.window.count, table.beyond.count)
	}
}

// BenchmarkAdvance takes a round with ten records in fleets of growing size: its cost should not follow them.
func BenchmarkAdvance(b *testing.B) {
	for _, servers := range []int{20, 300, 3000, 28_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			table := New(Limits{Span: 5000, Enough: 4, Memory: 25_000})
			for range servers {
				table.Grow()
			}
			now, next := 0.0, 0
			round := func() {
				now += 5
				for range 10 {
					next = (next + 7919) % servers
					table.Add(next, Record{At: now, Latency: float64(next % 97), Weight: 1, Passed: true})
				}
				table.Advance(now)
			}
			for range 1200 {
				round()
			}
			b.ReportAllocs()
			for b.Loop() {
				round()
			}
		})
	}
}
