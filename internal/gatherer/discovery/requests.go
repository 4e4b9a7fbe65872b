package discovery

import (
	"context"
	"errors"
	"fmt"
	"time"

	"yokeroute/internal/httpfetch"
	"yokeroute/internal/inflight"
)

const (
	// watchDuration is how long the agent holds a long poll open if nothing changes. It is short because the rules for
	// drains count a change as known two seconds after a watch that missed it, and polls cost the agent on the same
	// machine nothing.
	watchDuration = 2 * time.Second
	// headerTimeout limits the wait for a response, in addition to watchDuration. After it the poll counts as failed.
	headerTimeout = time.Second
	// fullListHedgeDelay is the delay before another request for the full list is made while earlier ones are still in
	// flight. An agent never answers a request that it accepts while it hangs, even after it recovers. The delay is
	// less than half of the shortest drain grace of any known platform, 250 ms.
	fullListHedgeDelay = 100 * time.Millisecond
	// transferHedgeDelay is the delay instead if a response has begun to arrive.
	transferHedgeDelay = time.Second
	// agentWatchHedgeDelay is the delay before another long poll to the agent on the same machine is made beside one
	// without a response. It is less than watchDuration, so that one that never gets a response leaves no gap between
	// the others.
	agentWatchHedgeDelay = time.Second
	// serviceWatchHedgeDelay is the delay with a shared service, which answers few requests a second, once it is slow.
	serviceWatchHedgeDelay = 1250 * time.Millisecond
	// fullListSpacing is how much later than an answered request another one for the full list must have been made to
	// stay in flight. An agent that is only a little slow then sends few lists that are not needed.
	fullListSpacing = 500 * time.Millisecond
	// maxAgentRequests and maxServiceRequests limit the requests in flight to an agent on the same machine, and to a
	// service that all gatherers share.
	maxAgentRequests   = 12
	maxServiceRequests = 8
	// maxListAge is the longest time that a list of one agent may lag behind what another agent has reported. By the
	// operators' terms, a change counts as reported 6 s after discovery has it and can be reached.
	maxListAge = 6 * time.Second
	// recheckHedgeDelay is the delay before another recheck is made beside one without a response. It is longer than
	// maxListAge, as the agent may have been out of reach after the first one was made.
	recheckHedgeDelay = 10 * time.Second
	// maxBodyBytes limits a response body. It has room for maxMembers entries of over 300 bytes each.
	maxBodyBytes = 32 << 20
	// maxBytesInFlight limits the bytes of all responses in transfer or waiting to be parsed. Beside one that does not
	// end, others have room.
	maxBytesInFlight = 2 * maxBodyBytes
)

var (
	// errStale reports that the agent is behind the known revision, so that only its full list can be used.
	errStale = errors.New("discovery agent is behind the known revision")
	// errOutdated reports a response with nothing newer than what has been accepted since its request was made.
	errOutdated = errors.New("response is not newer than an accepted one")
	// errNotFull reports a response with changes to a request for the full list.
	errNotFull = errors.New("response contains changes, want the full list")
)

// requestInfo tells what was requested: the changes since a revision, by a long poll, or else the full list.
type requestInfo struct {
	watch    bool
	revision int64
}

// requestInFlight is a request to the agent.
type requestInFlight = inflight.Request[requestInfo]

// poll is the attempt to learn the list, or the changes since the known revision, by one request or several hedged ones.
// The zero value has not begun.
type poll struct {
	newest    *requestInFlight
	timeoutAt time.Time
}

func (p *poll) isActive() bool { return p.newest != nil }

func (p *poll) timedOut(now time.Time) bool { return p.isActive() && !now.Before(p.timeoutAt) }

// pollTimeout returns the time from the start of a poll until it counts as failed.
func (i requestInfo) pollTimeout() time.Duration {
	if i.watch {
		return watchDuration + headerTimeout
	}
	return headerTimeout
}

// maxRequests returns the limit of requests in flight.
func (c *Config) maxRequests() int {
	if c.SharedService {
		return maxServiceRequests
	}
	return maxAgentRequests
}

// nextRequestAt returns when the next request is due, or the zero time if none is before the poll ends.
func (w *Watcher) nextRequestAt() time.Time {
	var due time.Time
	switch newest := w.poll.newest; {
	case newest == nil:
		due = time.Now()
	case newest.Info.watch && !w.config.SharedService:
		due = newest.StartedAt.Add(agentWatchHedgeDelay)
	case newest.Info.watch && w.slow:
		due = newest.StartedAt.Add(serviceWatchHedgeDelay)
	case w.config.SharedService:
		return time.Time{}
	case newest.Responding():
		due = newest.StartedAt.Add(transferHedgeDelay)
	default:
		due = newest.StartedAt.Add(fullListHedgeDelay)
	}
	if due.Before(w.pausedUntil) {
		return w.pausedUntil
	}
	return due
}

// startRequestIfDue requests the full list if it is needed, otherwise the changes.
func (w *Watcher) startRequestIfDue(ctx context.Context) {
	due := w.nextRequestAt()
	if due.IsZero() || time.Now().Before(due) {
		return
	}
	info := requestInfo{watch: w.watching}
	url := w.polledURL
	if info.watch {
		info.revision = w.endpoints.revision
		url += fmt.Sprintf("?index=%d&wait=%d", info.revision, watchDuration.Milliseconds())
	}
	request := w.requests.Start(ctx, info, func(ctx context.Context, r *requestInFlight) (*Response, error) {
		return w.get(ctx, url, r.SetResponding)
	})
	if !w.poll.isActive() {
		w.poll.timeoutAt = request.StartedAt.Add(info.pollTimeout())
	}
	w.poll.newest = request
}

// get makes one request. onHeader is called when the response header has arrived.
func (w *Watcher) get(ctx context.Context, url string, onHeader func()) (*Response, error) {
	limits := httpfetch.Limits{MaxBytes: maxBodyBytes, Quota: w.downloads}
	return httpfetch.Decode(ctx, w.client, url, limits, onHeader, func(body []byte) (*Response, error) {
		return w.parse(ctx, body)
	})
}

// parse parses a response once no other is being parsed.
func (w *Watcher) parse(ctx context.Context, body []byte) (*Response, error) {
	select {
	case w.parsing <- struct{}{}:
	case <-ctx.Done(): // another response has made this one unnecessary
		return nil, ctx.Err()
	}
	defer func() { <-w.parsing }()
	return ParseResponse(body)
}

// supersedes reports whether the response to a request makes that to another one unnecessary: it is older, or a list
// that is hardly newer. A newer long poll stays, since it lasts until there is a change.
func supersedes(answered, other *requestInFlight) bool {
	if other.Info.watch {
		return other.StartedAt.Before(answered.StartedAt)
	}
	return other.StartedAt.Before(answered.StartedAt.Add(fullListSpacing))
}

// pollInFlight returns a poll of the changes since the known revision that has been in flight since before a response
// arrived and has not timed out, or the zero value.
func (w *Watcher) pollInFlight(now time.Time) poll {
	requests := w.requests.Requests()
	for i := len(requests) - 1; i >= 0; i-- {
		r := requests[i]
		p := poll{newest: r, timeoutAt: r.StartedAt.Add(r.Info.pollTimeout())}
		if w.watching && r.Info.watch && r.Info.revision == w.endpoints.revision && !p.timedOut(now) {
			return p
		}
	}
	return poll{}
}

// checkContinuity rejects a response that cannot be applied to the known list.
func (w *Watcher) checkContinuity(request *requestInFlight, r *Response) error {
	known := w.endpoints.revision
	requestedBefore := request.StartedAt.Before(w.lastAcceptedAt)
	switch {
	case r.Full && r.Revision < known && requestedBefore:
		return errOutdated
	case r.Full:
		return nil
	case !request.Info.watch:
		return errNotFull
	case r.Revision < request.Info.revision:
		return fmt.Errorf("%w: the change has revision %d, the known list %d", errStale, r.Revision, known)
	case r.Revision <= known && request.Info.revision < known:
		return errOutdated
	}
	return nil
}

// answerExpectedBeside reports whether the failure of a request leaves others that may soon be answered: a newer one,
// or for the agent on the same machine an older one for the full list, beside which others are made.
func (w *Watcher) answerExpectedBeside(failed *requestInFlight) bool {
	if failed != w.poll.newest {
		return true
	}
	if failed.Info.watch || w.config.SharedService {
		return false
	}
	for _, r := range w.requests.Requests() {
		if !r.Info.watch {
			return true
		}
	}
	return false
}
