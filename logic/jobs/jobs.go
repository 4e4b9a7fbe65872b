// Package jobs schedules background jobs that run beside queries.
//
// Jobs have a class and a name. The queue decides which job runs next and for how long, or that no job may
// run for a while. Its budget is a token bucket: over any period, jobs get at most their share of that period
// and one burst. Classes share the budget by weight, by stride scheduling (Waldspurger and Weihl 1995), so
// that no class starves while a more important one is busy.
package jobs

import "slices"

// Class is the priority class of a job.
type Class int

// The classes, in decreasing order of importance.
const (
	High Class = iota
	Normal
	Low
	classCount
)

// weight holds the CPU shares of the classes, relative to those of the other classes that have jobs.
var weight = [classCount]float64{High: 16, Normal: 4, Low: 1}

// minSliceDivisor is the divisor of Budget.Slice that gives the shortest time for which a job runs, even if
// fewer tokens are left.
const minSliceDivisor = 8

// Budget limits the CPU that jobs may use. Slice should be short, since on a single core a query that arrives
// waits until the slice ends.
type Budget struct {
	Share float64 // share of one core
	Burst float64 // milliseconds of CPU that may accumulate unused
	Slice float64 // milliseconds for which a job runs at a time
}

// job is a piece of work that is waiting or running.
type job struct {
	id        uint64
	name      string
	class     Class
	started   bool
	repeat    bool // added again since it started
	cancelled bool
}

// Queue schedules the jobs that are not done.
type Queue struct {
	budget Budget
	jobs   []*job // in the order in which they were added
	// pass holds the virtual time of each class, which grows by the CPU that the class uses, divided by its
	// weight. The class with the lowest pass runs next.
	pass        [classCount]float64
	virtualTime float64 // the pass of the class that ran last
	tokens      float64 // milliseconds of CPU that may be used now; below 0 after a slice was exceeded
	refilledAt  float64
	lastID      uint64
}

// New returns an empty queue with a full budget. All times are in milliseconds.
func New(now float64, budget Budget) *Queue {
	return &Queue{budget: budget, refilledAt: now, tokens: budget.Burst}
}

// Add adds a job. If a job of the same name has not started, it stands for both. If one has started, it runs
// once more when it is done, since it may have read data that has changed since. Add returns the ID of the
// job that stands for the added one, and whether that job is new.
func (q *Queue) Add(name string, class Class) (id uint64, added bool) {
	for _, j := range q.jobs {
		if j.name != name || j.cancelled {
			continue
		}
		if j.started {
			j.repeat = true
		} else if class < j.class {
			j.class = class
		}
		return j.id, false
	}
	q.lastID++
	j := &job{id: q.lastID, name: name, class: class}
	q.activate(class)
	q.jobs = append(q.jobs, j)
	return j.id, true
}

// activate advances the pass of a class without jobs to the virtual time, so that the class is not
// compensated for its idle time.
func (q *Queue) activate(class Class) {
	if !slices.ContainsFunc(q.jobs, func(j *job) bool { return j.class == class }) {
		q.pass[class] = max(q.pass[class], q.virtualTime)
	}
}

// Cancel cancels the jobs of a name. A job that has not started is removed. For a job that has started,
// IsCancelled returns true until RecordUsage reports that it is done.
func (q *Queue) Cancel(name string) {
	q.jobs = slices.DeleteFunc(q.jobs, func(j *job) bool { return j.name == name && !j.started })
	for _, j := range q.jobs {
		if j.name == name {
			j.cancelled, j.repeat = true, false
		}
	}
}

// IsCancelled reports whether a job has been cancelled or is no longer in the queue.
func (q *Queue) IsCancelled(id uint64) bool {
	j := q.find(id)
	return j == nil || j.cancelled
}

func (q *Queue) find(id uint64) *job {
	for _, j := range q.jobs {
		if j.id == id {
			return j
		}
	}
	return nil
}

// Len returns the number of jobs that are not done.
func (q *Queue) Len() int { return len(q.jobs) }

// Next returns the ID of the job to run now and the milliseconds of CPU for which it may run. If no job may
// run now, it returns ID 0 and the milliseconds to wait before the next call, negative if there are no jobs.
// Within a class, jobs run in the order in which they were added.
func (q *Queue) Next(now float64) (id uint64, slice, wait float64) {
	q.refill(now)
	var best *job
	for _, j := range q.jobs {
		if best == nil || q.pass[j.class] < q.pass[best.class] {
			best = j
		}
	}
	switch {
	case best == nil:
		return 0, 0, -1
	case q.tokens <= 0 && !best.cancelled: // a cancelled job runs even without budget, to notice that and end
		return 0, 0, (q.budget.Slice/2 - q.tokens) / q.budget.Share
	}
	best.started = true
	q.virtualTime = q.pass[best.class]
	return best.id, min(q.budget.Slice, max(q.tokens, q.budget.Slice/minSliceDivisor)), 0
}

// RecordUsage records the CPU that a job has used in its slice, and whether it is done. If a job that is done
// was added again while it ran, it is queued behind the others under a new ID, which is returned, else 0.
func (q *Queue) RecordUsage(now float64, id uint64, cpu float64, done bool) (next uint64) {
	q.refill(now)
	q.tokens -= cpu
	j := q.find(id)
	if j == nil {
		return 0
	}
	q.pass[j.class] += cpu / weight[j.class]
	if !done {
		return 0
	}
	q.jobs = slices.DeleteFunc(q.jobs, func(other *job) bool { return other == j })
	if j.repeat {
		next, _ = q.Add(j.name, j.class)
	}
	return next
}

// refill adds the tokens for the time since the last call.
func (q *Queue) refill(now float64) {
	q.tokens = min(q.tokens+max(now-q.refilledAt, 0)*q.budget.Share, q.budget.Burst)
	q.refilledAt = max(q.refilledAt, now)
}
