package inflight

import (
	"context"
	"errors"
	"testing"
	"time"
)

// call is a request that a test ends.
type call struct {
	result    chan error // nil for a response
	cancelled <-chan struct{}
}

// start starts a request whose response is its info.
func start(t *testing.T, s *Set[int, int], info int) (*Request[int], call) {
	t.Helper()
	started := make(chan call, 1)
	request := s.Start(t.Context(), info, func(ctx context.Context, r *Request[int]) (int, error) {
		c := call{make(chan error, 1), ctx.Done()}
		started <- c
		select {
		case err := <-c.result:
			return r.Info, err
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	})
	return request, <-started
}

func isCancelled(c call) bool {
	select {
	case <-c.cancelled:
		return true
	default:
		return false
	}
}

// TestSetIsBoundedAndKeepsOldest starts more requests than a set may hold. The oldest and the newest must stay.
func TestSetIsBoundedAndKeepsOldest(t *testing.T) {
	const maxRequests, started = 3, 10
	s := NewSet[int, int](maxRequests)
	defer s.Close()
	var calls []call
	for i := range started {
		_, c := start(t, s, i)
		calls = append(calls, c)
	}
	cancelled := 0
	for _, c := range calls {
		if isCancelled(c) {
			cancelled++
		}
	}
	if cancelled != started-maxRequests || isCancelled(calls[0]) || isCancelled(calls[started-1]) {
		t.Errorf("%d requests cancelled, the oldest %t, the newest %t; want %d, false, false",
			cancelled, isCancelled(calls[0]), isCancelled(calls[started-1]), started-maxRequests)
	}
}

// TestAwaitUsesResponseOfEarlierRequest has a first request get its response only after the wait for it has ended. The
// next wait must return it, and cancel the second request.
func TestAwaitUsesResponseOfEarlierRequest(t *testing.T) {
	s := NewSet[int, int](3)
	defer s.Close()
	never := func(error) bool { return false }
	first, firstCall := start(t, s, 1)
	if _, err := s.Await(t.Context(), first, time.Millisecond, never); !errors.Is(err, ErrNoResponse) {
		t.Errorf("error %v, want ErrNoResponse", err)
	}
	second, secondCall := start(t, s, 2)
	firstCall.result <- nil
	response, err := s.Await(t.Context(), second, time.Minute, never)
	if response != 1 || err != nil || !isCancelled(secondCall) || len(s.Requests()) != 0 {
		t.Errorf("response %d, %v, the second request cancelled %t, %d in flight; want 1, nil, true, 0",
			response, err, isCancelled(secondCall), len(s.Requests()))
	}
}

// TestAwaitIgnoresErrorsOfEarlierRequestsUnlessFinal has earlier requests fail. Only a final error must end the wait.
func TestAwaitIgnoresErrorsOfEarlierRequestsUnlessFinal(t *testing.T) {
	errBroken, errRejected := errors.New("broken"), errors.New("rejected")
	isFinal := func(err error) bool { return errors.Is(err, errRejected) }
	for _, c := range []struct{ earlier, newest, want error }{
		{errBroken, nil, nil},
		{errBroken, errBroken, errBroken},
		{errRejected, nil, errRejected},
	} {
		s := NewSet[int, int](3)
		_, earlier := start(t, s, 1)
		newest, newestCall := start(t, s, 2)
		earlier.result <- c.earlier
		if !isFinal(c.earlier) {
			newestCall.result <- c.newest
		}
		if _, err := s.Await(t.Context(), newest, time.Minute, isFinal); !errors.Is(err, c.want) {
			t.Errorf("earlier request %v, newest %v: %v, want %v", c.earlier, c.newest, err, c.want)
		}
		s.Close()
	}
}
