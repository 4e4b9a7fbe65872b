package callstats

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"yokeroute/internal/stats"
)

// reference is a simple model of Table that sums up all records of all servers in every round.
type reference struct {
	limits  Limits
	servers [][]Record
}

func (f *reference) advance(now, recent float64) (sums []Sums, window, latencies []float64) {
	for server := range f.servers {
		f.expire(server, now)
		s := Sums{SuccessesSinceLoss: math.Inf(1)}
		for _, r := range f.servers[server] {
			s.add(&r)
			if r.Succeeded && r.EndedAt > now-recent {
				latencies = append(latencies, r.Latency)
			}
			if r.Succeeded && r.EndedAt > now-f.limits.Window {
				s.Recent.Succeeded += r.Weight
				s.Recent.Latency += r.Weight * r.Latency
				window = append(window, r.Latency)
			}
		}
		sums = append(sums, s)
	}
	return sums, window, latencies
}

func (f *reference) expire(server int, now float64) {
	records, expiredCount := f.servers[server], 0
	for expiredCount < len(records) && (records[expiredCount].EndedAt < now-f.limits.MaxAge ||
		len(records) > expiredCount+f.limits.MinRecords && records[expiredCount].EndedAt < now-f.limits.Window) {
		expiredCount++
	}
	f.servers[server] = records[expiredCount:]
}

func drawRecord(t *rapid.T, now float64) Record {
	r := Record{
		EndedAt:   now,
		Latency:   rapid.SampledFrom([]float64{1, 1, 2.5, 3.1, 7, 40}).Draw(t, "latency"),
		Weight:    rapid.SampledFrom([]float64{1, 0.3}).Draw(t, "weight"),
		Succeeded: rapid.IntRange(0, 3).Draw(t, "succeeded") > 0,
	}
	r.Failed = !r.Succeeded || r.Latency > 5
	r.Lost = !r.Succeeded && rapid.Bool().Draw(t, "lost")
	r.ExtraLatency = r.Latency / 3
	return r
}

// applyRandomChange adds a server, resets one or adds a record, in both the table and the reference.
func applyRandomChange(t *rapid.T, table *Table, ref *reference, now float64) {
	n := len(ref.servers)
	kind := rapid.IntRange(0, 9).Draw(t, "kind")
	if n == 0 || kind == 0 && n < 6 {
		table.AddServer()
		ref.servers = append(ref.servers, nil)
		return
	}
	server := rapid.IntRange(0, n-1).Draw(t, "server")
	if kind == 1 {
		table.Reset(server)
		ref.servers[server] = nil
		return
	}
	r := drawRecord(t, now)
	table.Add(server, r)
	ref.servers[server] = append(ref.servers[server], r)
}

// TestTableMatchesReference checks that sums, medians and latencies are bit for bit those of the reference,
// after any sequence of added records, added and reset servers, and advanced time. Some time steps are
// exactly as long as one of the limits.
func TestTableMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Window: 50, MinRecords: rapid.IntRange(1, 4).Draw(t, "min records"), MaxAge: 250}
		recent := rapid.SampledFrom([]float64{10, 49, 80, 300}).Draw(t, "recent")
		table, ref := New(limits), &reference{limits: limits}
		now := 1000.0
		for range rapid.IntRange(1, 120).Draw(t, "rounds") {
			now += rapid.SampledFrom([]float64{0, 1, 5, 7.25, 25, 50, 120, 250}).Draw(t, "gap")
			for range rapid.IntRange(0, 4).Draw(t, "events") {
				applyRandomChange(t, table, ref, now)
			}
			table.Advance(now)
			sums, window, latencies := ref.advance(now, recent)
			for server, want := range sums {
				got, count := table.Sums(server), table.Count(server)
				if got != want || count != len(ref.servers[server]) {
					t.Fatalf("at %v server %d: sums %+v of %d records, want %+v of %d", now, server, got, count, want,
						len(ref.servers[server]))
				}
			}
			if got, want := table.Median(-1), stats.Median(slices.Clone(window), -1); got != want {
				t.Fatalf("at %v: the median is %v, want %v (the median of %v)", now, got, want, window)
			}
			got := table.AppendLatencies(now-recent, nil)
			slices.Sort(got)
			slices.Sort(latencies)
			if !slices.Equal(got, latencies) {
				t.Fatalf("at %v: the latencies are %v, want %v", now, got, latencies)
			}
		}
	})
}

// TestExpiredRecordsAreReleased guards against queues and servers that never release expired records.
func TestExpiredRecordsAreReleased(t *testing.T) {
	table := New(Limits{Window: 100, MinRecords: 4, MaxAge: 500})
	for range 10 {
		table.AddServer()
	}
	now := 0.0
	for i := range 100_000 {
		now++
		table.Add(i%10, Record{EndedAt: now, Latency: float64(i % 7), Weight: 1, Succeeded: true})
		table.Advance(now)
	}
	if n := len(table.window.blocks); table.window.count != 100 || n > 2 {
		t.Errorf("the window holds %d records in %d blocks, want 100 records in at most 2 blocks",
			table.window.count, n)
	}
	if n := table.windowLatencies.Len(); n != 100 {
		t.Errorf("the multiset holds %d latencies, want 100", n)
	}
	table.Advance(now + 1000)
	if !table.window.empty() || !table.retained.empty() || table.windowLatencies.Len() > 0 {
		t.Errorf("after all records have expired, %d are in the window and %d beyond it, want none",
			table.window.count, table.retained.count)
	}
}

// BenchmarkAdvance measures a round with ten records in fleets of different size. The cost of a round should
// not depend on the size.
func BenchmarkAdvance(b *testing.B) {
	for _, servers := range []int{20, 300, 3000, 28_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			table := New(Limits{Window: 5000, MinRecords: 4, MaxAge: 25_000})
			for range servers {
				table.AddServer()
			}
			now, next := 0.0, 0
			round := func() {
				now += 5
				for range 10 {
					next = (next + 7919) % servers
					table.Add(next, Record{EndedAt: now, Latency: float64(next % 97), Weight: 1, Succeeded: true})
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
