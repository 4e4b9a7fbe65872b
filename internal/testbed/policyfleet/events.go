package policyfleet

import (
	"container/heap"
	"math"
)

// event is a step of a history.
type event struct {
	at    float64
	order int // of scheduling, among events of the same time
	run   func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []event

// Len returns the number of events.
func (q eventQueue) Len() int { return len(q) }

// Less reports whether an event precedes another one.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

// Swap swaps two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event, for package heap.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop removes the last event, for package heap.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// schedule runs a function after some milliseconds.
func (f *fleet) schedule(after float64, run func()) {
	f.scheduled++
	heap.Push(&f.events, event{at: f.now + after, order: f.scheduled, run: run})
}

// exponential draws from an exponential distribution.
func (f *fleet) exponential(mean float64) float64 { return -mean * math.Log(1-f.random.Float64()) }
