package jobs

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "20261201") } // makes runs reproducible

var budget = Budget{Share: 0.1, Burst: 20, Slice: 1}

// TestJobsStayWithinBudgetOverAnySpanOfTime tests with random jobs, some of which exceed their slices, that
// the budget holds over every span of time.
func TestJobsStayWithinBudgetOverAnySpanOfTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(0, budget)
		type usage struct{ at, cpu float64 }
		var usages []usage
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
			// A job checks the clock only between units of its work, so it may exceed its slice.
			cpu := slice * rapid.Float64Range(0.1, 2).Draw(t, "over")
			now += cpu
			usages = append(usages, usage{now, cpu})
			q.RecordUsage(now, id, cpu, rapid.Bool().Draw(t, "done"))
		}
		for i := range usages {
			total := 0.0
			for _, u := range usages[i:] {
				total += u.cpu
				span := u.at - usages[i].at + usages[i].cpu
				if limit := budget.Share*span + budget.Burst + 2*budget.Slice; total > limit+1e-9 {
					t.Fatalf("jobs used %g ms of CPU in %g ms, want at most %g", total, span, limit)
				}
			}
		}
	})
}

// TestClassesShareTheBudgetByWeight tests that classes share the budget by weight while all have jobs, that
// the job added first runs first within a class, and that a class is not compensated for its idle time.
func TestClassesShareTheBudgetByWeight(t *testing.T) {
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
		t.Errorf("used %v, want by weight 1600, 100 and 400 for the first job of each class", used)
	}
	// A class that was idle is not compensated for that time.
	q = New(0, Budget{Share: 1, Burst: 1000, Slice: 1})
	q.Add("low", Low)
	for range 500 {
		id, slice, _ := q.Next(now)
		now += slice
		q.RecordUsage(now, id, slice, false)
	}
	secondLow, _ := q.Add("late", Low)
	high, _ := q.Add("high", High)
	highRuns := 0
	for range 34 {
		id, slice, _ := q.Next(now)
		now += slice
		if q.RecordUsage(now, id, slice, false); id == high {
			highRuns++
		}
	}
	if highRuns < 31 || secondLow == high {
		t.Errorf("the high job ran %d of 34 times, want at least 31", highRuns)
	}
}

// TestJobsWithSameNameAreMergedRepeatedAndCancelled tests that a job which is added twice runs once if it has
// not started, and once more if it has, and that Cancel removes a job that has not started and marks one that
// has.
func TestJobsWithSameNameAreMergedRepeatedAndCancelled(t *testing.T) {
	q := New(0, budget)
	first, added := q.Add("plan", Low)
	second, addedAgain := q.Add("plan", Normal)
	if first != second || !added || addedAgain || q.Len() != 1 {
		t.Fatalf("job %d, added %t, then job %d, added %t; %d jobs, want one job that is added once", first, added, second,
			addedAgain, q.Len())
	}
	q.Next(0)
	q.Add("plan", Normal)
	q.Add("plan", Normal)
	next := q.RecordUsage(1, first, 1, true)
	if next == 0 || next == first || q.Len() != 1 {
		t.Fatalf("next job %d, %d jobs, want one job other than %d", next, q.Len(), first)
	}
	// A job that is cancelled before it starts is removed. One that has started runs again at once to notice the
	// cancellation, even without budget.
	if q.Cancel("plan"); q.Len() != 0 || !q.IsCancelled(next) {
		t.Errorf("%d jobs after the cancellation of job %d, want none", q.Len(), next)
	}
	started, _ := q.Add("plan", Low)
	q.Next(1)
	q.RecordUsage(2, started, 50, false)
	if id, _, wait := q.Next(2); id != 0 || wait < 100 {
		t.Errorf("without budget: job %d, wait %g, want no job and a wait of at least 100", id, wait)
	}
	q.Cancel("plan")
	successor, _ := q.Add("plan", Low)
	if id, _, _ := q.Next(2); id != started || !q.IsCancelled(started) || successor == started {
		t.Errorf("job %d runs, want the cancelled job %d, not %d", id, started, successor)
	}
	if q.RecordUsage(2, started, 0, true); q.Len() != 1 || q.IsCancelled(successor) {
		t.Errorf("%d jobs, want only job %d, not cancelled", q.Len(), successor)
	}
}
