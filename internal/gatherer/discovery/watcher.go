package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/internal/httpfetch"
	"yokeroute/logic/backoff"
)

const (
	// watchDuration is how long the agent holds a long poll open if nothing changes. It is short because the rules for
	// drains count a change as known two seconds after a watch that missed it, and polls cost the agent on the same
	// machine nothing.
	watchDuration = 2 * time.Second
	// headerTimeout limits the wait for the response header, in addition to watchDuration.
	headerTimeout = time.Second
	// retryDelay is the pause after a failed poll of the agent on the same machine.
	retryDelay = 50 * time.Millisecond
	// stallTimeout limits each pause within a response body, and watchBodyTimeout the whole body of a long poll.
	stallTimeout     = 500 * time.Millisecond
	watchBodyTimeout = 3 * time.Second
	// maxListAge is the longest time that a list of one agent may lag behind what another agent has reported. By the
	// operators' terms, a change counts as reported 6 s after discovery has it and can be reached.
	maxListAge = 6 * time.Second
	// maxBodyBytes limits a response body. It has room for maxMembers entries of over 300 bytes each.
	maxBodyBytes = 32 << 20
)

var (
	// errStale reports that the agent is behind the known revision, so that only its full list can be used.
	errStale = errors.New("discovery agent is behind the known revision")
	// errAddressChanged cancels a poll of an agent that is no longer watched.
	errAddressChanged = errors.New("address of the discovery agent changed")
	// errNotFull reports a response with changes to a request for the full list.
	errNotFull = errors.New("response contains changes, want the full list")
)

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
	// To limit its load, requests are then made one at a time, with backoff after failures.
	SharedService bool
	Log           *logrus.Logger
}

// Watcher keeps the endpoint list up to date.
type Watcher struct {
	config Config
	client *http.Client

	mu             sync.Mutex
	url            string
	addressChanged chan struct{} // closed by the next SetAddress

	// The fields below are used only by the goroutine in Run, and before Run by the caller of Apply.
	endpoints           *endpointTable
	fullList            *fullListRequests // requests in flight for the full list, nil if there are none
	watching            bool              // the next poll requests changes since the known revision, else the full list
	recheckAt           time.Time         // when to request the full list again, zero for never
	failing             bool              // the last poll failed, and this has been logged
	consecutiveFailures int               // failed polls in a row; it sets the backoff for a shared service
	requests            sync.WaitGroup
}

// New returns a Watcher that makes no request until Run is called.
func New(config Config) *Watcher {
	transport := &http.Transport{
		MaxIdleConnsPerHost:   1,
		ResponseHeaderTimeout: watchDuration + headerTimeout,
		DisableCompression:    true,
	}
	return &Watcher{
		config:         config,
		client:         &http.Client{Transport: transport},
		url:            targetsURL(config.Address),
		addressChanged: make(chan struct{}),
		endpoints:      newEndpointTable(),
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

// target returns the URL to poll, and a channel that is closed when the URL changes.
func (w *Watcher) target() (url string, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.url, w.addressChanged
}

// Apply updates the endpoint list from a response of the agent, or from one that is known before Run is called.
func (w *Watcher) Apply(r *Response) {
	list := w.endpoints.apply(r)
	w.config.OnChange(list, w.endpoints.list())
}

// Run watches the list until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer w.requests.Wait()
	defer func() { w.fullList.cancelAll() }()
	url, addressChanged := w.target()
	w.endpoints.source++ // what is known before Run does not come from this agent
	w.scheduleRecheck(true)
	w.watching = w.canResume()
	for ctx.Err() == nil {
		select {
		case <-addressChanged:
			url, addressChanged = w.target()
			w.startOver()
		default:
		}
		w.recheckIfDue()
		startedAt := time.Now()
		response, err := w.poll(ctx, url, addressChanged)
		if errors.Is(err, errAddressChanged) {
			continue
		}
		if err == nil {
			err = w.checkContinuity(response)
		}
		switch {
		case err == nil:
			changed := w.accept(response)
			answeredImmediately := time.Since(startedAt) < watchDuration/2
			// The pause keeps an agent that does not hold long polls from being polled in a busy loop.
			if !changed && answeredImmediately {
				w.pause(ctx, addressChanged)
			}
		case ctx.Err() != nil:
			return
		default:
			w.reportFailure(err)
			w.waitAfterFailure(ctx, addressChanged)
		}
	}
}

// startOver resets the state of the watch for a new agent.
func (w *Watcher) startOver() {
	w.watching = false
	w.failing = false
	w.recheckAt = time.Time{}
	w.endpoints.source++
	w.fullList.cancelAll()
	w.fullList = nil
	w.client.CloseIdleConnections()
}

// canResume reports whether the watch may start from the known revision without requesting the full list. The first
// response then contains the changes since that revision, which saves a shared service from sending a full list.
func (w *Watcher) canResume() bool {
	return w.config.SharedService && len(w.endpoints.addresses) > 0
}

// checkContinuity rejects a response that cannot be applied to the known list.
func (w *Watcher) checkContinuity(r *Response) error {
	switch known := w.endpoints.revision; {
	case r.Full:
		return nil
	case !w.watching:
		return errNotFull
	case r.Revision < known:
		return fmt.Errorf("%w: the change has revision %d, the known list %d", errStale, r.Revision, known)
	}
	return nil
}

// accept applies a valid response of the agent, and reports whether it changed anything.
func (w *Watcher) accept(r *Response) bool {
	if w.failing {
		w.config.Log.Info("discovery: recovered")
	}
	w.failing = false
	w.consecutiveFailures = 0
	w.watching = w.watching || r.Full
	changed := len(r.members) > 0 && r.Revision != w.endpoints.revision
	sourceBefore := w.endpoints.source
	w.Apply(r)
	w.scheduleRecheck(w.endpoints.source != sourceBefore)
	return changed
}

// scheduleRecheck schedules another request for the full list if the known state of a server was kept against the
// agent's list. The request is due once the agent has been reachable for maxListAge without interruption. restart
// makes that time begin anew, after an interruption or when the agent falls behind.
func (w *Watcher) scheduleRecheck(restart bool) {
	switch {
	case len(w.endpoints.overruled) == 0:
		w.recheckAt = time.Time{}
	case restart || w.recheckAt.IsZero():
		w.recheckAt = time.Now().Add(maxListAge)
	}
}

// recheckIfDue makes the next poll request the full list and lets that list override the known states, if a recheck is
// due. A full list that is still outstanding after an interruption does not count as a recheck, because it may have
// been requested earlier.
func (w *Watcher) recheckIfDue() {
	if !w.watching || w.recheckAt.IsZero() || time.Now().Before(w.recheckAt) {
		return
	}
	w.endpoints.adoptObservations()
	w.watching = false
}

// reportFailure logs a failed poll and calls OnChange with a failed list.
func (w *Watcher) reportFailure(err error) {
	level := logrus.WarnLevel
	switch {
	case w.failing: // log one visible line per outage
		level = logrus.DebugLevel
	case errors.Is(err, httpfetch.ErrTooLarge), errors.Is(err, errTooManyMembers): // a retry will not help
		level = logrus.ErrorLevel
	}
	w.config.Log.WithError(err).Log(level, "discovery: poll failed, keeping the last endpoint list")
	w.config.OnChange(gather.EndpointList{Failed: true}, w.endpoints.list())
	// A watch that failed may have missed changes.
	w.watching = w.canResume() && !errors.Is(err, errStale)
	w.scheduleRecheck(true)
	w.failing = true
}

func (w *Watcher) waitAfterFailure(ctx context.Context, addressChanged <-chan struct{}) {
	if w.config.SharedService {
		w.backOff(ctx, addressChanged)
		return
	}
	w.pause(ctx, addressChanged)
}

// backOff waits before the next poll of a shared service, with a delay that grows with each failure in a row.
func (w *Watcher) backOff(ctx context.Context, addressChanged <-chan struct{}) {
	w.consecutiveFailures++
	milliseconds := backoff.Pause(w.consecutiveFailures, rand.Float64())
	delay := time.Duration(milliseconds * float64(time.Millisecond))
	select {
	case <-ctx.Done():
	case <-addressChanged:
		w.consecutiveFailures = 0
	case <-time.After(delay):
	}
}

// pause waits before the next poll of the agent on the same machine.
func (w *Watcher) pause(ctx context.Context, addressChanged <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-addressChanged:
	case <-w.config.RefreshRequested:
	case <-time.After(retryDelay):
	}
}

// poll requests the full list if it is needed, otherwise the changes. It returns errAddressChanged as soon as the
// address changes.
func (w *Watcher) poll(ctx context.Context, url string, addressChanged <-chan struct{}) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w.requests.Go(func() {
		select {
		case <-addressChanged:
			cancel(errAddressChanged)
		case <-ctx.Done():
		}
	})
	request := w.requestFullList
	if w.watching {
		request = w.requestChanges
	}
	response, err := request(ctx, url)
	if err != nil && errors.Is(context.Cause(ctx), errAddressChanged) {
		return nil, errAddressChanged
	}
	return response, err
}

// requestChanges makes a long poll for the changes since the known revision.
func (w *Watcher) requestChanges(ctx context.Context, url string) (*Response, error) {
	query := fmt.Sprintf("?index=%d&wait=%d", w.endpoints.revision, watchDuration.Milliseconds())
	return w.get(ctx, url+query, watchBodyTimeout, nil)
}

// get makes one request. onHeader is called when the response header has arrived, unless it is nil.
func (w *Watcher) get(ctx context.Context, url string, bodyTimeout time.Duration, onHeader func()) (*Response, error) {
	limits := httpfetch.Limits{MaxBytes: maxBodyBytes, BodyTimeout: bodyTimeout, StallTimeout: stallTimeout}
	body, err := httpfetch.Get(ctx, w.client, url, limits, onHeader)
	if err != nil {
		return nil, err
	}
	return ParseResponse(body)
}
