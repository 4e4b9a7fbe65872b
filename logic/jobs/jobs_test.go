package jobs

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same verdict always

var budget = Budget{Share: 0.1, Burst: 20, Slice: 1}

// TestBudget draws jobs that run over their slices and wants the budget kept over every span of time.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(0, budget)
		type use struct{ at, cpu float64 }
		var uses []use
		now := 0.0
		for i := range 300 {
			if rapid.IntRange(0, 4).Draw(t, "add") == 0 {
				q.Add(fmt.Sprint(i%7), Class(rapid.IntRange(0, 2).Draw(t, "class")))
			}
			id, slice, wait := q.Next(now)
			if id == 0 {
				now += max(wait, rapid.Float64Range(0, 5).Draw(t, "idle"))
				continue
			}
			cpu := slice * rapid.Float64Range(0.1, 2).Draw(t, "over") // a job looks at the clock between pieces only
			now += cpu
			uses = append(uses, use{now, cpu})
			q.RecordUsage(now, id, cpu, rapid.Bool().Draw(t, "done"))
		}
		for i := range uses {
			sum := 0.0
			for _, u := range uses[i:] {
				sum += u.cpu
				span := u.at - uses[i].at + uses[i].cpu
				if limit := budget.Share*span + budget.Burst + 2*budget.Slice; sum > limit+1e-9 {
					t.Fatalf("%g ms of CPU in %g ms, %g at most", sum, span, limit)
				}
			}
		}
	})
}

// TestFair wants each class its part while all have work, and the first asked for served first in a class.
func TestFair(t *testing.T) {
	q := New(0, Budget{Share: 1, Burst: 1000, Slice: 1})
	for i := range 3 {
		q.Add(fmt.Sprint("high ", i), High)
		q.Add(fmt.Sprint("low ", i), Low)
		q.Add(fmt.Sprint("normal ", i), Normal)
	}
	used := map[uint64]float64{}
	now := 0.0
	for range 2100 {
		id, slice, _ := q.Next(now)
		now += slice
		used[id] += slice
		q.RecordUsage(now, id, slice, false)
	}
	if used[1] < 1590 || used[1] > 1610 || used[2] < 99 || used[2] > 101 || used[3] < 399 || used[3] > 401 {
		t.Errorf("used %v, by weight it is 1600, 100, 400 for the first of each class", used)
	}
	// A class that was idle does not make up for it.
	q = New(0, Budget{Share: 1, Burst: 1000, Slice: 1})
	q.Add("low", Low)
	for range 500 {
		id, slice, _ := q.Next(now)
		now += slice
		q.RecordUsage(now, id, slice, false)
	}
	late, _ := q.Add("late", Low)
	high, _ := q.Add("high", High)
	run := 0
	for range 34 {
		id, slice, _ := q.Next(now)
		now += slice
		if q.RecordUsage(now, id, slice, false); id == high {
			run++
		}
	}
	if run < 31 || late == high {
		t.Errorf("high ran %d of 34 times", run)
	}
}

// TestNames wants a job asked for twice to run once if it has not begun, and once more if it has.
func TestNames(t *testing.T) {
	q := New(0, budget)
	a, fresh := q.Add("plan", Low)
	b, again := q.Add("plan", Normal)
	if a != b || !fresh || again || q.Len() != 1 {
		t.Fatalf("%d %t, %d %t, %d jobs", a, fresh, b, again, q.Len())
	}
	q.Next(0)
	q.Add("plan", Normal)
	q.Add("plan", Normal)
	next := q.RecordUsage(1, a, 1, true)
	if next == 0 || next == a || q.Len() != 1 {
		t.Fatalf("next %d, %d jobs", next, q.Len())
	}
	// Called off before it began it is gone; after, it is told so, at once even without budget.
	if q.Cancel("plan"); q.Len() != 0 || !q.IsCancelled(next) {
		t.Errorf("%d jobs", q.Len())
	}
	c, _ := q.Add("plan", Low)
	q.Next(1)
	q.RecordUsage(2, c, 50, false)
	if id, _, wait := q.Next(2); id != 0 || wait < 100 {
		t.Errorf("job %d, wait %g", id, wait)
	}
	q.Cancel("plan")
	d, _ := q.Add("plan", Low)
	if id, _, _ := q.Next(2); id != c || !q.IsCancelled(c) || d == c {
		t.Errorf("job %d of %d and %d", id, c, d)
	}
	if q.RecordUsage(2, c, 0, true); q.Len() != 1 || q.IsCancelled(d) {
		t.Errorf("%d jobs", q.Len())
	}
}
