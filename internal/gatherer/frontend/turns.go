package frontend

import (
	"errors"
	"math"
	"sync"
	"time"

	"yokeroute/internal/millis"
	"yokeroute/logic/fairqueue"
)

// turnTimeout is how long a request waits for a turn before it is rejected. A client that is owed an error within 3 s may
// wait for a turn with the last byte of its head and with that of its body, after readHeaderTimeout and readBodyTimeout.
const turnTimeout = 150 * time.Millisecond

// maxTurnDuration is how long a turn keeps others from theirs: nothing that takes longer is to be waited for, such as a
// handler that waits or a process that does not run.
const maxTurnDuration = 20 * time.Millisecond

// errNoTurn is the error for a request that is not read on because too many others are being processed.
var errNoTurn = errors.New("no turn for the request")

// turnQueue runs a fairqueue.Queue on the real clock, for goroutines that wait for their turns.
type turnQueue struct {
	startedAt time.Time

	mu      sync.Mutex
	queue   *fairqueue.Queue
	granted map[*fairqueue.Flow]chan struct{} // closed with the grant, by the flow that waits
	holders map[*fairqueue.Flow]float64       // when their turns were granted
	timer   *time.Timer                       // grants the next turn
}

func newTurnQueue(processors int) *turnQueue {
	t := &turnQueue{
		startedAt: time.Now(),
		granted:   map[*fairqueue.Flow]chan struct{}{},
		holders:   map[*fairqueue.Flow]float64{},
	}
	t.queue = fairqueue.NewQueue(processors, 0)
	t.timer = time.AfterFunc(math.MaxInt64, t.grant)
	return t
}

func (t *turnQueue) now() float64 { return millis.Of(time.Since(t.startedAt)) }

func (t *turnQueue) setProcessors(processors int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queue.SetProcessors(processors)
}

// acquire waits for a turn of a flow, which release ends. It returns false if there is none within the timeout.
func (t *turnQueue) acquire(f *fairqueue.Flow, class fairqueue.Class, timeout time.Duration) bool {
	granted := make(chan struct{})
	t.mu.Lock()
	t.queue.Add(f, class)
	t.granted[f] = granted
	t.grantLocked()
	t.mu.Unlock()
	select {
	case <-granted:
		return true
	default:
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-granted:
		return true
	case <-timer.C:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.granted, f)
	return !t.queue.Remove(f) // a flow that does not wait has been granted its turn meanwhile
}

// release ends a flow's turn, which began at a time, unless it has ended because it took too long.
func (t *turnQueue) release(f *fairqueue.Flow, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, held := t.holders[f]; !held {
		return
	}
	delete(t.holders, f)
	t.queue.Finish(f, t.now(), millis.Of(time.Since(began)))
	t.grantLocked()
}

func (t *turnQueue) grant() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grantLocked()
}

// grantLocked grants the turns that are due, and sets the timer for the next one.
func (t *turnQueue) grantLocked() {
	for {
		now := t.now()
		t.expire(now)
		f := t.queue.Next(now)
		if f == nil {
			t.setTimer(now)
			return
		}
		t.holders[f] = now
		close(t.granted[f])
		delete(t.granted, f)
	}
}

// expire ends the turns that have taken too long.
func (t *turnQueue) expire(now float64) {
	for f, grantedAt := range t.holders {
		if took := now - grantedAt; took >= millis.Of(maxTurnDuration) {
			delete(t.holders, f)
			t.queue.Finish(f, now, took)
		}
	}
}

// setTimer sets the timer for the next turn, while any flow waits for one.
func (t *turnQueue) setTimer(now float64) {
	if len(t.granted) == 0 {
		return
	}
	at := t.queue.NextAt(now)
	for _, grantedAt := range t.holders {
		at = min(at, grantedAt+millis.Of(maxTurnDuration))
	}
	t.timer.Reset(millis.Duration(max(at-now, 0)) + 1)
}

// turn is the turn of a connection. Only the goroutine that serves the connection uses it.
type turn struct {
	queue *turnQueue // nil in tests: turns are then always granted
	class fairqueue.Class
	next  fairqueue.Class // from the next request on
	flow  fairqueue.Flow
	began time.Time // zero while none is held
}

// await waits for a turn unless one is held. It returns false if there is none in time.
func (t *turn) await() bool {
	if t.queue == nil || !t.began.IsZero() {
		return true
	}
	if !t.queue.acquire(&t.flow, t.class, turnTimeout) {
		return false
	}
	t.began = time.Now()
	return true
}

// awaitLong waits for a turn for as long as it takes.
func (t *turn) awaitLong() {
	if t.queue == nil {
		return
	}
	t.queue.acquire(&t.flow, t.class, math.MaxInt64)
	t.began = time.Now()
}

// end ends the turn if one is held.
func (t *turn) end() {
	if t.began.IsZero() {
		return
	}
	t.queue.release(&t.flow, t.began)
	t.began = time.Time{}
}

// endRequest ends the turn that is held, if any, and the request that it was for.
func (t *turn) endRequest() {
	t.end()
	t.class = t.next
}
