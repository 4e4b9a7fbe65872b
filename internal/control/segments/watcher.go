package segments

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/httpfetch"
	"yokeroute/internal/inflight"
	"yokeroute/logic/ownership"
)

// Path is the HTTP path at which an authority serves its map.
const Path = "/api/segments"

const (
	// watchDuration is the time after which the authority answers a long poll if the map has not changed.
	watchDuration = 2 * time.Second
	// responseTimeout is the time after which a poll counts as failed; for a long poll, watchDuration is added to it.
	responseTimeout = time.Second
	// maxRequests limits the requests in flight.
	maxRequests = 4
	// minBackoff and maxBackoff are the initial and the maximum backoff after failed polls.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxBodyBytes limits the size of a response body.
	maxBodyBytes = 16 << 20
)

// errNotFull reports a response that lacks the requested full map.
var errNotFull = errors.New("response lacks the full map, which was requested")

// MapReceiver receives full maps and changes. The Picker of package dispatch implements it.
type MapReceiver interface {
	ApplyMapChange(c ownership.Change)
	SetMap(m *ownership.Map)
	// MapRequested returns a channel that receives a value when the receiver needs the full map.
	MapRequested() <-chan struct{}
}

// Watcher polls an authority for its segment map and passes maps and changes to a receiver. A request that gets no
// response in time counts as failed, but stays in flight beside the next ones, so that a slow authority is heard.
type Watcher struct {
	client   *http.Client
	url      string
	receiver MapReceiver
	log      *logrus.Logger
	epoch    uint64 // epoch last passed to the receiver; 0 if the full map is needed
	failing  bool   // whether the last poll failed; the first failure of a series has been logged as a warning
	backoff  time.Duration

	requests    *inflight.Set[requestInfo, *Response]
	newest      *requestInFlight // request of the current poll, nil before it is made
	pausedUntil time.Time        // no request is made before it
}

// requestInfo tells what was requested: the changes since an epoch, by a long poll, or the full map if it is 0.
type requestInfo struct{ epoch uint64 }

// requestInFlight is a request to the authority.
type requestInFlight = inflight.Request[requestInfo]

// NewWatcher returns a Watcher that does nothing until Run is called.
func NewWatcher(address string, receiver MapReceiver, log *logrus.Logger) *Watcher {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	return &Watcher{
		client:   &http.Client{Transport: transport},
		url:      "http://" + address + Path,
		receiver: receiver,
		log:      log,
		backoff:  minBackoff,
		requests: inflight.NewSet[requestInfo, *Response](maxRequests),
	}
}

// Run polls the authority until ctx is done. When the receiver needs the full map, Run cancels the requests in flight
// and requests the map at once, since they might return changes that the receiver would reject.
func (w *Watcher) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	defer w.requests.Close()
	for ctx.Err() == nil {
		if w.newest == nil && !time.Now().Before(w.pausedUntil) {
			w.startRequest(ctx)
		}
		w.awaitEvent(ctx)
	}
}

// awaitEvent waits until a request ends, the receiver needs the full map, or a time has come, and handles that.
func (w *Watcher) awaitEvent(ctx context.Context) {
	timer := time.NewTimer(time.Until(w.nextTimeout()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.receiver.MapRequested():
		w.epoch = 0
		w.requests.CancelAll()
		w.newest = nil
		w.pausedUntil = time.Time{}
	case result := <-w.requests.Results():
		if w.requests.Remove(result.Request) && ctx.Err() == nil {
			w.handleResult(result)
		}
	case <-timer.C:
		if w.newest != nil {
			w.fail(inflight.ErrNoResponse)
		}
	}
}

// nextTimeout returns when the current poll counts as failed, or when the next one begins.
func (w *Watcher) nextTimeout() time.Time {
	if w.newest == nil {
		return w.pausedUntil
	}
	return w.newest.StartedAt.Add(w.newest.Info.timeout())
}

func (i requestInfo) timeout() time.Duration {
	if i.epoch > 0 {
		return watchDuration + responseTimeout
	}
	return responseTimeout
}

// startRequest requests the full map if w.epoch is 0, and otherwise long-polls for changes since that epoch.
func (w *Watcher) startRequest(ctx context.Context) {
	info := requestInfo{epoch: w.epoch}
	url := w.url
	if info.epoch > 0 {
		url += fmt.Sprintf("?after=%d&wait=%d", info.epoch, watchDuration.Milliseconds())
	}
	w.newest = w.requests.Start(ctx, info, func(ctx context.Context, _ *requestInFlight) (*Response, error) {
		limits := httpfetch.Limits{MaxBytes: maxBodyBytes}
		response, err := httpfetch.Decode(ctx, w.client, url, limits, nil, ParseResponse)
		if err == nil && info.epoch == 0 && response.Full == nil {
			return nil, errNotFull
		}
		return response, err
	})
}

// handleResult handles the end of a request. Errors of earlier requests than the current one do not matter.
func (w *Watcher) handleResult(result inflight.Result[requestInfo, *Response]) {
	request := result.Request
	switch {
	case result.Err != nil && request == w.newest:
		w.fail(result.Err)
	case result.Err == nil && (request == w.newest || w.isCurrent(request.Info, result.Response)):
		w.accept(request, result.Response)
	}
}

// isCurrent reports whether a late response is still of use: nothing was accepted since, or it has a newer map.
func (w *Watcher) isCurrent(info requestInfo, r *Response) bool {
	return info.epoch == w.epoch || r.Full != nil && r.Full.Epoch > w.epoch
}

// accept resets the failure state, passes a response to the receiver, and cancels the requests that were made earlier.
func (w *Watcher) accept(request *requestInFlight, r *Response) {
	if w.failing {
		w.log.Info("segment map: authority recovered")
	}
	w.failing = false
	w.backoff = minBackoff
	if r.Full != nil {
		w.receiver.SetMap(r.Full)
		w.epoch = r.Full.Epoch
	}
	for _, c := range r.Changes {
		w.receiver.ApplyMapChange(c)
		w.epoch = c.Epoch
	}
	w.requests.CancelIf(func(other *requestInFlight) bool {
		return other.StartedAt.Before(request.StartedAt) || other.Info.epoch != w.epoch
	})
	w.pausedUntil = time.Time{}
	if request == w.newest || w.newest != nil && w.newest.Info.epoch != w.epoch {
		w.newest = nil
	}
}

// fail logs a failed poll, the first of a series as a warning and the following ones at debug level, and pauses. The
// pauses double up to maxBackoff. Requests in flight go on.
func (w *Watcher) fail(err error) {
	level := logrus.WarnLevel
	if w.failing {
		level = logrus.DebugLevel
	}
	w.failing = true
	w.log.WithError(err).Log(level, "segment map: poll of the authority failed, the last map stays in force")
	w.newest = nil
	w.pausedUntil = time.Now().Add(w.backoff)
	w.backoff = min(2*w.backoff, maxBackoff)
}
