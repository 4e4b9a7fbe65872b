package callstats

import (
	"slices"
	"testing"

	"yokeroute/internal/pcg"
	"yokeroute/internal/stats"
)

// TestMultisetMatchesSortedSlice checks the length and median of a multiset against a sorted slice, while
// thousands of values are added and removed, with few and with many distinct values.
func TestMultisetMatchesSortedSlice(t *testing.T) {
	for _, distinct := range []uint32{3, 50, 1 << 20} {
		random, m, values := pcg.New(uint64(distinct)), &Multiset{}, []float64(nil)
		for step := range 20_000 {
			growing := step < 6000 || step > 14_000 && step < 17_000
			if remove := random.Uint32()%5 < 2; len(values) > 0 && remove == growing || len(values) > 0 && random.Uint32()%4 == 0 {
				i := int(random.Uint32()) % len(values)
				if !m.Remove(values[i]) {
					t.Fatalf("Remove(%v) did not find the value", values[i])
				}
				values = slices.Delete(values, i, i+1)
			} else {
				value := float64(random.Uint32() % distinct)
				m.Add(value)
				values = append(values, value)
			}
			if m.Len() != len(values) {
				t.Fatalf("Len() = %d, want %d", m.Len(), len(values))
			}
			if step%97 > 0 {
				continue
			}
			if got, want := m.Median(-1), stats.Median(slices.Clone(values), -1); got != want {
				t.Fatalf("step %d: the median is %v, want %v", step, got, want)
			}
		}
		if m.Remove(-5) {
			t.Error("Remove reports that it removed a value that was never added")
		}
	}
}
