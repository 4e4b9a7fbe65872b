// Package inflight makes overlapping requests to one peer, for clients that repeat a request until the peer responds.
// A request is not given up because it takes long: the next one is made beside it, so that a slow peer is heard
// however long it takes. Package hedging decides which requests are cancelled once too many are in flight.
package inflight

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yokeroute/internal/millis"
	"yokeroute/logic/hedging"
)

// ErrNoResponse reports that no complete response arrived in time. The request stays in flight.
var ErrNoResponse = errors.New("no complete response in time")

// Request is a request in flight. Info tells what was requested.
type Request[Info any] struct {
	Info      Info
	StartedAt time.Time

	cancel     context.CancelFunc
	responding atomic.Bool
}

// SetResponding records that the response has begun to arrive.
func (r *Request[Info]) SetResponding() { r.responding.Store(true) }

// Responding reports whether the response has begun to arrive.
func (r *Request[Info]) Responding() bool { return r.responding.Load() }

// Result is the end of a request.
type Result[Info, Response any] struct {
	Request  *Request[Info]
	Response Response
	Err      error
}

// Set holds the requests in flight to one peer. Its methods must be called by one goroutine.
type Set[Info, Response any] struct {
	maxRequests int
	results     chan Result[Info, Response]
	requests    []*Request[Info] // oldest first
	running     sync.WaitGroup
}

// NewSet returns a set that never holds more than maxRequests requests; maxRequests is at least 2.
func NewSet[Info, Response any](maxRequests int) *Set[Info, Response] {
	return &Set[Info, Response]{maxRequests: maxRequests, results: make(chan Result[Info, Response])}
}

// Start calls do in a new goroutine. If maxRequests are in flight, it cancels one of them first.
func (s *Set[Info, Response]) Start(
	ctx context.Context, info Info, do func(context.Context, *Request[Info]) (Response, error),
) *Request[Info] {
	now := time.Now()
	if len(s.requests) == s.maxRequests {
		s.evict(now)
	}
	ctx, cancel := context.WithCancel(ctx)
	request := &Request[Info]{Info: info, StartedAt: now, cancel: cancel}
	s.requests = append(s.requests, request)
	s.running.Go(func() {
		defer cancel()
		response, err := do(ctx, request)
		select {
		case s.results <- Result[Info, Response]{request, response, err}:
		case <-ctx.Done():
		}
	})
	return request
}

func (s *Set[Info, Response]) evict(now time.Time) {
	startedAt := make([]float64, len(s.requests))
	for i, r := range s.requests {
		startedAt[i] = -millis.Of(now.Sub(r.StartedAt))
	}
	i := hedging.Evict(startedAt, 0)
	s.requests[i].cancel()
	s.requests = slices.Delete(s.requests, i, i+1)
}

// Results returns the channel on which requests end. Each result has to be passed to Remove.
func (s *Set[Info, Response]) Results() <-chan Result[Info, Response] { return s.results }

// Remove removes a request that has ended. It reports false for a request that was cancelled before, the result of
// which must not be used.
func (s *Set[Info, Response]) Remove(request *Request[Info]) bool {
	i := slices.Index(s.requests, request)
	if i < 0 {
		return false
	}
	s.requests = slices.Delete(s.requests, i, i+1)
	return true
}

// Requests returns the requests in flight, oldest first. The slice is valid until the next call of a method.
func (s *Set[Info, Response]) Requests() []*Request[Info] { return s.requests }

// Await waits until a request or an earlier one succeeds, and then cancels the others. It also ends with an error of the
// request itself, with one of an earlier request for which isFinal reports true, and with ErrNoResponse after a timeout;
// the requests then stay in flight, so that the next call may get their responses.
func (s *Set[Info, Response]) Await(
	ctx context.Context, request *Request[Info], timeout time.Duration, isFinal func(error) bool,
) (response Response, err error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case result := <-s.results:
			switch {
			case !s.Remove(result.Request):
			case result.Err == nil:
				s.CancelAll()
				return result.Response, nil
			case result.Request == request || isFinal(result.Err):
				return response, result.Err
			}
		case <-timer.C:
			return response, ErrNoResponse
		case <-ctx.Done():
			return response, ctx.Err()
		}
	}
}

// CancelIf cancels the requests for which the condition holds.
func (s *Set[Info, Response]) CancelIf(condition func(*Request[Info]) bool) {
	s.requests = slices.DeleteFunc(s.requests, func(r *Request[Info]) bool {
		if !condition(r) {
			return false
		}
		r.cancel()
		return true
	})
}

// CancelAll cancels all requests.
func (s *Set[Info, Response]) CancelAll() { s.CancelIf(func(*Request[Info]) bool { return true }) }

// Close cancels all requests and waits until they have ended.
func (s *Set[Info, Response]) Close() {
	s.CancelAll()
	s.running.Wait()
}
