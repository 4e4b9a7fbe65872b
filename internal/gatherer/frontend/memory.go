package frontend

import (
	"cmp"
	"context"
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// includedBytes is how much of a head, and of a body, the memory of its connection covers. Requests of usual clients
	// are smaller; what exceeds it is reserved.
	includedBytes = 4 << 10

	// largeHeadCost is reserved for a head beyond includedBytes: net/http holds its bytes, its lines and the parsed URL.
	largeHeadCost = 4 * maxHeaderBytes

	// bodyCopies is how many copies of a body exist at most while it is read and parsed.
	bodyCopies = 2

	// parseExpansion is how many times its own size a body takes at most while it is parsed, which is the case for many
	// empty elements.
	parseExpansion = 40
)

// MemoryLimits limits, in bytes, the memory that clients can make the server hold beyond what their connections need. A
// limit of 0 is none.
type MemoryLimits struct {
	Requests int64 // for the parts of heads, bodies and responses that exceed what a connection covers
	Parsing  int64 // for bodies that are being parsed
}

// memory enforces MemoryLimits.
type memory struct {
	limits   MemoryLimits
	requests *semaphore.Weighted
	parsing  *semaphore.Weighted
	reserved atomic.Int64 // bytes taken of requests, readable without taking any
}

func newMemory(limits MemoryLimits) *memory {
	limits.Requests = cmp.Or(limits.Requests, math.MaxInt64)
	limits.Parsing = cmp.Or(limits.Parsing, math.MaxInt64)
	return &memory{
		limits:   limits,
		requests: semaphore.NewWeighted(limits.Requests),
		parsing:  semaphore.NewWeighted(limits.Parsing),
	}
}

// memoryLimiter holds the memory limits in force. Reservations made under earlier limits stay valid.
type memoryLimiter struct {
	current atomic.Pointer[memory]
}

// reservation is the memory that one request has reserved.
type reservation struct {
	limiter *memoryLimiter
	memory  *memory // from which it is reserved; nil while nothing is
	bytes   int64
}

// source returns the memory from which more is reserved: all of a reservation is under the same limits.
func (r *reservation) source() *memory {
	if r.memory == nil {
		return r.limiter.current.Load()
	}
	return r.memory
}

// grow reserves more, up to the given number of bytes in total. It returns false, and reserves nothing, if that would
// exceed the limit.
func (r *reservation) grow(total int64) bool {
	if total <= r.bytes {
		return true
	}
	m := r.source()
	if !m.requests.TryAcquire(total - r.bytes) {
		return false
	}
	r.grownTo(m, total)
	return true
}

// await is grow, but waits until the memory is available or ctx ends. It reserves no more than the limit.
func (r *reservation) await(ctx context.Context, total int64) error {
	m := r.source()
	total = min(total, m.limits.Requests)
	if total <= r.bytes {
		return nil
	}
	if err := m.requests.Acquire(ctx, total-r.bytes); err != nil {
		return err
	}
	r.grownTo(m, total)
	return nil
}

// grownTo records that the reservation has reached the given total.
func (r *reservation) grownTo(m *memory, total int64) {
	m.reserved.Add(total - r.bytes)
	r.memory, r.bytes = m, total
}

// shrink releases all but the given number of bytes.
func (r *reservation) shrink(total int64) {
	if r.bytes <= total {
		return
	}
	r.memory.requests.Release(r.bytes - total)
	r.memory.reserved.Add(total - r.bytes)
	r.bytes = total
	if total == 0 {
		r.memory = nil // the next reservation follows the limits that are then in force
	}
}

// parse calls parse once memory to parse a body of the given size is available. It returns errNoMemory if the deadline
// passes, or ctx ends, before that.
func (l *memoryLimiter) parse(ctx context.Context, deadline time.Time, size int, parse func() error) error {
	m := l.current.Load()
	cost := min(int64(size)*parseExpansion, m.limits.Parsing)
	if !m.parsing.TryAcquire(cost) {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		if m.parsing.Acquire(ctx, cost) != nil {
			return errNoMemory
		}
	}
	defer m.parsing.Release(cost)
	return parse()
}
