package discovery

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"
)

// fullListRequests is the calls for the whole list that are out at one agent.
type fullListRequests struct {
	ctx      context.Context
	cancel   context.CancelFunc
	results  chan fullListResult
	inFlight []*fullListRequest // by age
}

type fullListRequest struct {
	cancel      context.CancelFunc
	bodyStarted atomic.Bool // its answer has
}

type fullListResult struct {
	request  *fullListRequest
	response *Response
	err      error
}

func (o *fullListRequests) cancelAll() {
	if o != nil {
		o.cancel()
	}
}

// start makes one more call, in place of one that has waited for nothing where too many are out.
func (o *fullListRequests) start(f *Watcher, url string) {
	if len(o.inFlight) >= maxFullListRequests {
		at := slices.IndexFunc(o.inFlight[1:], func(c *fullListRequest) bool { return !c.bodyStarted.Load() })
		if at < 0 {
			return // answers are coming
		}
		o.inFlight[1+at].cancel()
		o.inFlight = slices.Delete(o.inFlight, 1+at, 2+at)
	}
	ctx, stop := context.WithCancel(o.ctx)
	c := &fullListRequest{cancel: stop}
	o.inFlight = append(o.inFlight, c)
	go func() {
		defer stop()
		r, err := f.get(ctx, url, fullListBodyTimeout, &c.bodyStarted)
		select {
		case o.results <- fullListResult{c, r, err}:
		case <-o.ctx.Done():
		}
	}()
}

// requestFullList asks for the whole list until one of its calls is answered, for as long as patience lasts. Calls that are still
// out then go on, for the next open to hear.
func (f *Watcher) requestFullList(ctx context.Context, url string) (*Response, error) {
	if f.fullListRequests == nil {
		f.fullListRequests = &fullListRequests{results: make(chan fullListResult)}
		f.fullListRequests.ctx, f.fullListRequests.cancel = context.WithCancel(context.WithoutCancel(ctx))
	}
	o := f.fullListRequests
	limit := time.NewTimer(headerTimeout)
	defer limit.Stop()
	next := time.NewTicker(fullListHedgeDelay)
	defer next.Stop()
	o.start(f, url)
	for {
		select {
		case e := <-o.results:
			at := slices.Index(o.inFlight, e.request)
			if at >= 0 { // else it was given up for another
				o.inFlight = slices.Delete(o.inFlight, at, at+1)
			}
			if e.err == nil {
				o.cancelAll()
				f.fullListRequests = nil
				return e.response, nil
			}
			if len(o.inFlight) == 0 {
				return nil, e.err
			}
		case <-next.C:
			if !f.sharedService {
				o.start(f, url)
			}
		case <-limit.C:
			return nil, errNoAnswer
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// errTooLarge is an answer that is larger than any fleet's; nothing of it is taken over.
var errTooLarge = errors.New("over the bound")

var errNoAnswer = errors.New("no answer")
