package discovery

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// fullListHedgeDelay is after which the full list is requested once more, beside the requests before. An agent
	// never answers a request that it takes while it hangs, not even once it runs again. The delay is under half of
	// the shortest drain grace that a platform is known to give, 250 ms.
	fullListHedgeDelay = 100 * time.Millisecond
	// maxFullListRequests bounds these requests. The oldest keeps its time, for an agent that is slow; the others
	// make room for new ones.
	maxFullListRequests = 5
	// fullListBodyTimeout bounds the transfer of a full list.
	fullListBodyTimeout = 10 * time.Second
)

var errNoAnswer = errors.New("no answer")

// fullListRequests are the requests for the full list that are in flight at one agent.
type fullListRequests struct {
	ctx      context.Context
	cancel   context.CancelFunc
	results  chan fullListResult
	inFlight []*fullListRequest // the oldest first
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

// cancelAll cancels the requests in flight. It may be called on nil.
func (l *fullListRequests) cancelAll() {
	if l != nil {
		l.cancel()
	}
}

// reserveSlot cancels a request that has no answer yet, where there are as many as there may be. It reports whether
// there is room for one more.
func (l *fullListRequests) reserveSlot() bool {
	if len(l.inFlight) < maxFullListRequests {
		return true
	}
	newer := l.inFlight[1:]
	i := slices.IndexFunc(newer, func(r *fullListRequest) bool { return !r.bodyStarted.Load() })
	if i < 0 {
		return false // answers are arriving
	}
	newer[i].cancel()
	l.inFlight = slices.Delete(l.inFlight, 1+i, 2+i)
	return true
}

// remove drops a request that has ended, unless it was cancelled to make room.
func (l *fullListRequests) remove(request *fullListRequest) {
	if i := slices.Index(l.inFlight, request); i >= 0 {
		l.inFlight = slices.Delete(l.inFlight, i, i+1)
	}
}

// startFullListRequest makes one more request for the full list, if there is room for it.
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

// requestFullList makes hedged requests for the full list until one is answered, or until headerTimeout is over.
// Those in flight then go on, and the next call takes their answers.
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
			return nil, errNoAnswer
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
