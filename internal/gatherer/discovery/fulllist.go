package discovery

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// fullListHedgeDelay is the delay before another request for the full list is made while earlier ones are still in
	// flight. An agent never answers a request that it accepts while it hangs, even after it recovers. The delay is
	// less than half of the shortest drain grace of any known platform, 250 ms.
	fullListHedgeDelay = 100 * time.Millisecond
	// maxFullListRequests limits the requests for the full list that are in flight. The oldest is kept, for an agent
	// that is slow; the others are cancelled to make room for new ones.
	maxFullListRequests = 5
	// fullListBodyTimeout limits the transfer of a full list.
	fullListBodyTimeout = 10 * time.Second
)

var errNoResponse = errors.New("no response to the requests for the full list")

// fullListRequests holds the requests for the full list that are in flight to one agent.
type fullListRequests struct {
	ctx      context.Context
	cancel   context.CancelFunc
	results  chan fullListResult
	inFlight []*fullListRequest // oldest first
}

type fullListRequest struct {
	cancel      context.CancelFunc
	bodyStarted atomic.Bool
}

type fullListResult struct {
	request  *fullListRequest
	response *Response
	err      error
}

// cancelAll cancels the requests in flight. It may be called on a nil receiver.
func (l *fullListRequests) cancelAll() {
	if l != nil {
		l.cancel()
	}
}

// reserveSlot reports whether another request may be made. At the limit it makes room by cancelling one whose response
// has not begun: the oldest such request, not counting the first in the list, which is always kept.
func (l *fullListRequests) reserveSlot() bool {
	if len(l.inFlight) < maxFullListRequests {
		return true
	}
	newer := l.inFlight[1:]
	i := slices.IndexFunc(newer, func(r *fullListRequest) bool { return !r.bodyStarted.Load() })
	if i < 0 {
		return false // the responses of all newer requests have begun
	}
	newer[i].cancel()
	l.inFlight = slices.Delete(l.inFlight, 1+i, 2+i)
	return true
}

// remove deletes a finished request from the list, unless it was already cancelled to make room.
func (l *fullListRequests) remove(request *fullListRequest) {
	if i := slices.Index(l.inFlight, request); i >= 0 {
		l.inFlight = slices.Delete(l.inFlight, i, i+1)
	}
}

// startFullListRequest makes another request for the full list unless maxFullListRequests are in flight and
// none of them can be cancelled.
func (w *Watcher) startFullListRequest(url string) {
	l := w.fullList
	if !l.reserveSlot() {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	request := &fullListRequest{cancel: cancel}
	l.inFlight = append(l.inFlight, request)
	w.requests.Go(func() {
		defer cancel()
		response, err := w.get(ctx, url, fullListBodyTimeout, func() { request.bodyStarted.Store(true) })
		select {
		case l.results <- fullListResult{request, response, err}:
		case <-l.ctx.Done():
		}
	})
}

// requestFullList makes hedged requests for the full list until one succeeds, all have failed, or headerTimeout has
// passed. Requests in flight after the timeout continue, and the next call receives their responses.
func (w *Watcher) requestFullList(ctx context.Context, url string) (*Response, error) {
	if w.fullList == nil {
		w.fullList = &fullListRequests{results: make(chan fullListResult)}
		w.fullList.ctx, w.fullList.cancel = context.WithCancel(context.WithoutCancel(ctx))
	}
	l := w.fullList
	timeout := time.NewTimer(headerTimeout)
	defer timeout.Stop()
	hedge := time.NewTicker(fullListHedgeDelay)
	defer hedge.Stop()
	w.startFullListRequest(url)
	for {
		select {
		case result := <-l.results:
			l.remove(result.request)
			if result.err == nil {
				l.cancelAll()
				w.fullList = nil
				return result.response, nil
			}
			if len(l.inFlight) == 0 {
				return nil, result.err
			}
		case <-hedge.C:
			if !w.config.SharedService {
				w.startFullListRequest(url)
			}
		case <-timeout.C:
			return nil, errNoResponse
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
