// Package fairqueue decides in which order, and how often, the requests of clients are processed up to their
// admission, so that no client decides how long another one waits.
//
// Each connection is a flow, and each turn of a flow is one request, or a part of one. A turn is granted
// while fewer turns than there are processors are in progress, and while the class of the flow has credit
// left: each class may use a share of the time, as in a token bucket, so that the rest remains for queries
// that are admitted. Within a class the flows are served by start-time fair queueing: a flow that has used
// much time comes behind those that have used little.
//
// The package is pure: its caller passes the time and waits. It must never grant a turn twice, nor leave a
// flow waiting that NextAt does not account for.
//
// Times and costs are milliseconds.
package fairqueue

import (
	"cmp"
	"math"
	"slices"
)

// Class is a kind of flows with a share of the time to itself.
type Class int

// The classes of flows.
const (
	// New flows have not carried a request yet.
	New Class = iota
	// Established flows carried a valid query last.
	Established
	// Other flows carried a request that was no valid query last.
	Other
	classes
)

const (
	// burst is the cost of the turns that a processor may have in a row after a pause.
	burst = 1.0
	// maxCost bounds what a turn is charged: the process may not have run for a part of its duration.
	maxCost = 2.0

	// totalShare is the share of a processor's time that all turns together may use.
	totalShare = 0.6
)

// shares are the shares of a processor's time that the turns of each class may use.
var shares = [classes]float64{New: 0.5, Established: 0.5, Other: 0.2}

// Flow is the state of a connection. Its zero value is that of a new one.
type Flow struct {
	class   Class
	start   float64 // virtual time at which its current or next turn starts
	finish  float64 // virtual time at which its last turn finished
	waiting bool
}

// bucket is a token bucket, whose tokens are milliseconds of turns.
type bucket struct {
	share     float64
	credit    float64
	updatedAt float64
}

// lane holds the flows of a class that wait, and the credit of the class.
type lane struct {
	waiting     []*Flow // in the order in which they came
	virtualTime float64 // start of the turn that was granted last
	bucket      bucket
}

// Queue grants turns. It is not safe for concurrent use.
type Queue struct {
	processors int
	lanes      [classes]lane
	total      bucket
	granted    int   // turns in progress
	lastClass  Class // class of the turn that was granted last
}

// NewQueue returns a queue for a number of processors.
func NewQueue(processors int, now float64) *Queue {
	q := &Queue{total: bucket{share: totalShare, updatedAt: now}}
	for class := range classes {
		q.lanes[class].bucket = bucket{share: shares[class], updatedAt: now}
	}
	q.SetProcessors(processors)
	q.total.credit = q.burst()
	for class := range classes {
		q.lanes[class].bucket.credit = q.burst()
	}
	return q
}

// SetProcessors changes the number of processors.
func (q *Queue) SetProcessors(processors int) { q.processors = max(processors, 1) }

// Add makes a flow wait for a turn in a class. The flow must neither wait nor have a turn.
func (q *Queue) Add(f *Flow, class Class) {
	l := &q.lanes[class]
	if f.class != class { // virtual times of different classes do not compare
		f.class = class
		f.finish = 0
	}
	f.start = max(f.finish, l.virtualTime)
	f.waiting = true
	l.waiting = append(l.waiting, f)
}

// Remove ends a flow's wait. It returns false if the flow does not wait.
func (q *Queue) Remove(f *Flow) bool {
	if !f.waiting {
		return false
	}
	f.waiting = false
	l := &q.lanes[f.class]
	i := slices.Index(l.waiting, f)
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// Next grants the next turn and returns its flow, or nil if none can be granted now. Classes take turns.
func (q *Queue) Next(now float64) *Flow {
	if q.granted >= q.processors || q.dueAt(&q.total, now) > now {
		return nil
	}
	for i := range classes {
		class := (q.lastClass + 1 + i) % classes
		l := &q.lanes[class]
		if len(l.waiting) == 0 || q.dueAt(&l.bucket, now) > now {
			continue
		}
		f := slices.MinFunc(l.waiting, compare)
		q.Remove(f)
		l.virtualTime = f.start
		q.lastClass = class
		q.granted++
		return f
	}
	return nil
}

// compare orders flows by the start of their next turns. Of those that start together, the ones that have not
// used time lately come first.
func compare(a, b *Flow) int {
	return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.finish, b.finish))
}

// NextAt returns when a turn can be granted if none finishes before, or infinity.
func (q *Queue) NextAt(now float64) float64 {
	at := math.Inf(1)
	if q.granted >= q.processors {
		return at
	}
	for class := range classes {
		if l := &q.lanes[class]; len(l.waiting) > 0 {
			at = min(at, q.dueAt(&l.bucket, now))
		}
	}
	return max(at, q.dueAt(&q.total, now))
}

// Finish ends a flow's turn and charges its cost.
func (q *Queue) Finish(f *Flow, now, cost float64) {
	q.granted--
	cost = min(max(cost, 0), maxCost)
	for _, b := range []*bucket{&q.lanes[f.class].bucket, &q.total} {
		q.refill(b, now)
		b.credit -= cost
	}
	f.finish = f.start + cost
}

// dueAt returns from when on a bucket has credit left: at once, or when its debt is paid.
func (q *Queue) dueAt(b *bucket, now float64) float64 {
	q.refill(b, now)
	if b.credit > -creditTolerance {
		return now
	}
	return now - b.credit/q.rate(b)
}

// creditTolerance is the debt that is forgiven: times are rounded.
const creditTolerance = 1e-6

// refill adds the credit that a bucket has gained since the last call.
func (q *Queue) refill(b *bucket, now float64) {
	b.credit = min(b.credit+(now-b.updatedAt)*q.rate(b), q.burst())
	b.updatedAt = now
}

// rate returns how much credit a bucket gains in a millisecond.
func (q *Queue) rate(b *bucket) float64 { return b.share * float64(q.processors) }

func (q *Queue) burst() float64 { return burst * float64(q.processors) }
