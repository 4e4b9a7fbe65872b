// Package jobs decides which background job runs next beside queries.
//
// Jobs have a class and a name. The queue decides which one runs, for how long, or that none may run for
// a while. Its budget is a token bucket: over any time, jobs get at most their share of that time and one
// burst. Classes share the budget by weight, by stride scheduling (Waldspurger and Weihl 1995), so that
// no class starves while a more important one is busy.
package jobs

import "slices"

// Class is the priority class of a job.
type Class int

// The classes, from the most important on.
const (
	High Class = iota
	Normal
	Low
	classes
)

// weight is the share of CPU of a class in relation to the others that have jobs.
var weight = [classes]float64{High: 16, Normal: 4, Low: 1}

// minSliceDivisor shortens a slice to the least that a job runs, also where fewer tokens are left.
const minSliceDivisor = 8

// Budget is how much CPU jobs may use. Slice is short, since on one core a query that arrives waits for it.
type Budget struct {
	Share float64 // of one core
	Burst float64 // milliseconds of CPU that may be saved up
	Slice float64 // milliseconds for which a job runs at a time
}

// job is a piece of work that waits or runs.
type job struct {
	id        uint64
	name      string
	class     Class
	started   bool
	repeat    bool // added once more since it was started
	cancelled bool
}

// Queue holds the jobs that are not done.
type Queue struct {
	budget      Budget
	jobs        []*job // in the order in which they were added
	pass        [classes]float64
	virtualTime float64 // the pass of the class that ran last
	tokens      float64 // milliseconds of CPU that may be used now; below 0 where a slice ran over
	refilledAt  float64
	lastID      uint64
}

// New makes an empty queue; now and all times are in milliseconds.
func New(now float64, budget Budget) *Queue {
	return &Queue{budget: budget, refilledAt: now, tokens: budget.Burst}
}

// Add adds a job. A job of the same name that has not started stands for both. One that has started runs once
// more when it is done, since it may have read what has changed by now. Add returns the ID of the job that
// stands for this one, and whether it is new.
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

// activate moves a class that had no jobs to the present, so that it does not make up for its idle time.
func (q *Queue) activate(class Class) {
	if !slices.ContainsFunc(q.jobs, func(j *job) bool { return j.class == class }) {
		q.pass[class] = max(q.pass[class], q.virtualTime)
	}
}

// Cancel cancels the jobs of a name. A job that has not started is removed; for one that has started,
// IsCancelled is true until RecordUsage says that it is done.
func (q *Queue) Cancel(name string) {
	q.jobs = slices.DeleteFunc(q.jobs, func(j *job) bool { return j.name == name && !j.started })
	for _, j := range q.jobs {
		if j.name == name {
			j.cancelled, j.repeat = true, false
		}
	}
}

// IsCancelled reports whether a job has been cancelled, or is not known any more.
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

// Len is how many jobs are not done.
func (q *Queue) Len() int { return len(q.jobs) }

// Next returns the job that runs now and for how many milliseconds of CPU. Without one it returns ID 0
// and after how many milliseconds to call again, negative where there are no jobs. Within a class the job
// that was added first goes first.
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
	case q.tokens <= 0 && !best.cancelled: // a cancelled job runs only to learn that it is
		return 0, 0, (q.budget.Slice/2 - q.tokens) / q.budget.Share
	}
	best.started = true
	q.virtualTime = q.pass[best.class]
	return best.id, min(q.budget.Slice, max(q.tokens, q.budget.Slice/minSliceDivisor)), 0
}

// RecordUsage records the CPU that a job has used in its slice, and whether it is done. A job that was added
// again while it ran waits behind the others under a new ID, which is returned; 0 where there is none.
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

// refill adds the tokens of the time since the last call.
func (q *Queue) refill(now float64) {
	q.tokens = min(q.tokens+max(now-q.refilledAt, 0)*q.budget.Share, q.budget.Burst)
	q.refilledAt = max(q.refilledAt, now)
}
