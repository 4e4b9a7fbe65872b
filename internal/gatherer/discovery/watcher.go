package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/internal/httpfetch"
	"yokeroute/internal/inflight"
	"yokeroute/internal/millis"
	"yokeroute/logic/backoff"
)

// retryDelay is the pause after a failed poll of the agent on the same machine.
const retryDelay = 50 * time.Millisecond

// Config holds the parameters of a Watcher.
type Config struct {
	// Address is the host:port of the discovery agent.
	Address string
	// OnChange is called after each full list, change and failed poll, with the addresses of all listed servers. Calls
	// do not overlap.
	OnChange func(list gather.EndpointList, all []shardcall.Address)
	// RefreshRequested holds a value when a list is wanted before the next regular poll. It may be nil.
	RefreshRequested <-chan struct{}
	// SharedService says that requests go to a service that all gatherers share, not to an agent on the same machine.
	// To limit its load, requests are then hedged only after a failure or a late response.
	SharedService bool
	Log           *logrus.Logger
}

// Watcher keeps the endpoint list up to date. It polls an agent: for the full list, and then for the changes since the
// known revision. A request that gets no response in time counts as failed, but stays in flight while others are made,
// so that the responses of a slow agent are used when they arrive.
type Watcher struct {
	config Config
	client *http.Client

	mu             sync.Mutex
	url            string
	addressChanged chan struct{} // closed by the next SetAddress

	// The fields below are used only by the goroutine in Run, and before Run by the caller of Apply.
	endpoints           *endpointTable
	watching            bool      // the next poll requests changes since the known revision, else the full list
	recheckAt           time.Time // when to request the full list again, zero for never
	failing             bool      // the last poll failed, and this has been logged
	tooLargeLogged      bool      // since the last valid response, a list that is too large has been logged
	consecutiveFailures int       // failed polls in a row; it sets the backoff for a shared service

	requests        *requestSet
	downloads       *httpfetch.Quota // limits the bytes of all responses that are not parsed yet
	parsing         chan struct{}    // holds a value while a response is parsed, so that one is at a time
	poll            poll
	slow            bool      // the last poll timed out, or its response came after that time
	pausedUntil     time.Time // no request is made before it
	mayEndPause     bool      // RefreshRequested ends the pause
	lastAcceptedAt  time.Time // when the last valid response arrived, zero if none has
	polledURL       string
	polledURLChange <-chan struct{} // closed when polledURL is no longer the agent's
}

// requestSet holds the requests in flight to one agent.
type requestSet = inflight.Set[requestInfo, *Response]

// New returns a Watcher that makes no request until Run is called.
func New(config Config) *Watcher {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	return &Watcher{
		config:         config,
		client:         &http.Client{Transport: transport},
		url:            targetsURL(config.Address),
		addressChanged: make(chan struct{}),
		endpoints:      newEndpointTable(),
		requests:       inflight.NewSet[requestInfo, *Response](config.maxRequests()),
		downloads:      httpfetch.NewQuota(maxBytesInFlight),
		parsing:        make(chan struct{}, 1),
	}
}

func targetsURL(address string) string { return "http://" + address + "/api/targets" }

// SetAddress makes the watcher use another agent and cancels the requests to the current one. Revisions of two agents
// cannot be compared, so that the new agent is asked for its full list first.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.url == targetsURL(address) {
		return
	}
	w.url = targetsURL(address)
	close(w.addressChanged)
	w.addressChanged = make(chan struct{})
}

// readAddress sets the URL to poll, and the channel that is closed when the URL changes.
func (w *Watcher) readAddress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polledURL, w.polledURLChange = w.url, w.addressChanged
}

// Apply updates the endpoint list from a response of the agent, or from one that is known before Run is called.
func (w *Watcher) Apply(r *Response) {
	list := w.endpoints.apply(r)
	w.config.OnChange(list, w.endpoints.list())
}

// Run watches the list until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.readAddress()
	w.endpoints.source++ // what is known before Run does not come from this agent
	w.scheduleRecheck(true)
	w.watching = w.canResume()
	defer w.requests.Close()
	for ctx.Err() == nil {
		w.recheckIfDue()
		w.startRequestIfDue(ctx)
		w.awaitEvent(ctx)
	}
}

// awaitEvent waits until a request ends, another agent is to be used, or a time has come, and handles that.
func (w *Watcher) awaitEvent(ctx context.Context) {
	timer := time.NewTimer(time.Until(w.nextTimeout()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.polledURLChange:
		w.readAddress()
		w.startOver()
	case result := <-w.requests.Results():
		if w.requests.Remove(result.Request) && ctx.Err() == nil {
			w.handleResult(result)
		}
	case <-w.refreshWhilePaused():
		w.pausedUntil = time.Time{}
	case <-timer.C:
		if w.poll.timedOut(time.Now()) {
			w.reportFailure(inflight.ErrNoResponse)
		}
	}
}

// nextTimeout returns when the next request is due or the poll times out.
func (w *Watcher) nextTimeout() time.Time {
	next := w.nextRequestAt()
	if w.poll.isActive() && (next.IsZero() || w.poll.timeoutAt.Before(next)) {
		next = w.poll.timeoutAt
	}
	return next
}

// refreshWhilePaused returns RefreshRequested during a pause that it may end, otherwise nil.
func (w *Watcher) refreshWhilePaused() <-chan struct{} {
	if !w.mayEndPause || !time.Now().Before(w.pausedUntil) {
		return nil
	}
	return w.config.RefreshRequested
}

// startOver resets the state of the watch for a new agent.
func (w *Watcher) startOver() {
	w.watching = false
	w.failing = false
	w.tooLargeLogged = false
	w.slow = false
	w.consecutiveFailures = 0
	w.recheckAt = time.Time{}
	w.lastAcceptedAt = time.Time{}
	w.pausedUntil = time.Time{}
	w.endpoints.source++
	w.poll = poll{}
	w.requests.CancelAll()
	w.client.CloseIdleConnections()
}

// canResume reports whether the watch may start from the known revision without requesting the full list. The first
// response then contains the changes since that revision, which saves a shared service from sending a full list.
func (w *Watcher) canResume() bool {
	return w.config.SharedService && len(w.endpoints.addresses) > 0
}

// handleResult handles the end of a request.
func (w *Watcher) handleResult(result inflight.Result[requestInfo, *Response]) {
	request, err := result.Request, result.Err
	if err == nil {
		err = w.checkContinuity(request, result.Response)
	}
	switch {
	case err == nil:
		w.handleResponse(request, result.Response)
	case errors.Is(err, errOutdated):
		w.config.Log.WithError(err).Debug("discovery: response ignored")
	case w.answerExpectedBeside(request):
		w.logFailure(logrus.DebugLevel, err)
	default:
		w.reportFailure(err)
	}
}

// handleResponse applies a valid response and cancels the requests whose responses it supersedes.
func (w *Watcher) handleResponse(request *requestInFlight, r *Response) {
	now := time.Now()
	if w.isInterruption(request) {
		w.scheduleRecheck(true)
	}
	w.lastAcceptedAt = now
	w.slow = now.Sub(request.StartedAt) >= request.Info.pollTimeout()
	agentRestarted := r.Revision < w.endpoints.revision
	w.requests.CancelIf(func(other *requestInFlight) bool {
		return agentRestarted || supersedes(request, other) && !w.isRecheckBeside(request, other)
	})
	changed := w.accept(request.StartedAt, r)
	w.poll = w.pollInFlight(now)
	answeredImmediately := now.Sub(request.StartedAt) < watchDuration/2
	// The pause keeps an agent that does not hold long polls from being polled in a busy loop.
	if !changed && answeredImmediately {
		w.pause(retryDelay, true)
	}
}

// accept applies a valid response of the agent, and reports whether it changed anything. requestedAt is when its request
// was made.
func (w *Watcher) accept(requestedAt time.Time, r *Response) bool {
	if w.failing {
		w.config.Log.Info("discovery: recovered")
	}
	w.failing = false
	w.tooLargeLogged = false
	w.consecutiveFailures = 0
	w.watching = true // the known list has no gap, whatever was requested beside it
	changed := len(r.members) > 0 && r.Revision != w.endpoints.revision
	if r.Full && w.isRecheck(requestedAt) {
		w.endpoints.adoptObservations()
	}
	sourceBefore := w.endpoints.source
	w.Apply(r)
	w.scheduleRecheck(w.endpoints.source != sourceBefore)
	return changed
}

// reportFailure logs a failed poll, calls OnChange with a failed list, and pauses. Requests in flight go on.
func (w *Watcher) reportFailure(err error) {
	level := logrus.WarnLevel
	if w.failing { // log one visible line per outage
		level = logrus.DebugLevel
	}
	w.logFailure(level, err)
	w.config.OnChange(gather.EndpointList{Failed: true}, w.endpoints.list())
	// A watch that failed may have missed changes.
	w.watching = w.canResume() && !errors.Is(err, errStale)
	if errors.Is(err, inflight.ErrNoResponse) { // whether that was an interruption shows once a response arrives
		w.slow = true
	} else {
		w.scheduleRecheck(true)
	}
	w.failing = true
	w.poll = poll{}
	w.pauseAfterFailure()
}

// logFailure logs a failed poll, or a late failure of a request, at the given level. A list that is too large is logged
// at error level once per outage, since a retry will not help.
func (w *Watcher) logFailure(level logrus.Level, err error) {
	tooLarge := errors.Is(err, httpfetch.ErrTooLarge) || errors.Is(err, errTooManyMembers)
	if tooLarge && !w.tooLargeLogged {
		level = logrus.ErrorLevel
		w.tooLargeLogged = true
	}
	w.config.Log.WithError(err).Log(level, "discovery: poll failed, keeping the last endpoint list")
}

// pauseAfterFailure pauses polling. The pauses of a shared service grow with each failure in a row.
func (w *Watcher) pauseAfterFailure() {
	if !w.config.SharedService {
		w.pause(retryDelay, true)
		return
	}
	w.consecutiveFailures++
	w.pause(millis.Duration(backoff.Pause(w.consecutiveFailures, rand.Float64())), false)
}

// pause makes no request for a duration. If mayEnd is set, RefreshRequested ends the pause.
func (w *Watcher) pause(duration time.Duration, mayEnd bool) {
	w.pausedUntil = time.Now().Add(duration)
	w.mayEndPause = mayEnd
}
