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
	// watchDuration is after which the agent answers a long poll without a change. The rules of a drain count a
	// change as known two seconds after a watch that missed it, so that it is short; polls cost the machine's own
	// agent nothing.
	watchDuration = 2 * time.Second
	// headerTimeout is how long an agent may take to begin its answer, beyond watchDuration.
	headerTimeout = time.Second
	// retryDelay is the pause after a failed poll of the machine's own agent.
	retryDelay = 50 * time.Millisecond
	// stallTimeout bounds the pauses in an answer, watchBodyTimeout that of a long poll as a whole.
	stallTimeout     = 500 * time.Millisecond
	watchBodyTimeout = 3 * time.Second
	// maxListAge is how long a list may be behind what another agent has told: by the operators' terms a
	// change counts as told 6 s after discovery had it and could be reached.
	maxListAge = 6 * time.Second
	// maxBodyBytes has room for maxMembers entries of over 300 bytes.
	maxBodyBytes = 32 << 20
)

var (
	// errStale is the answer of an agent that is behind the known revision. Only its full list helps.
	errStale = errors.New("discovery is behind")
	// errAddressChanged ends a poll of an agent that is not watched any more.
	errAddressChanged = errors.New("discovery has another address")
	// errNotFull is a change where the full list was requested.
	errNotFull = errors.New("a change, where the full list was requested")
)

// Config is what a Watcher needs.
type Config struct {
	Address string // of the discovery agent, host:port
	// OnChange is called with each list, change or failure, and with the addresses of all listed servers. Calls do
	// not overlap.
	OnChange func(list gather.EndpointList, all []shardcall.Address)
	// RefreshRequested has a value when a list is wanted before the next regular poll. It may be nil.
	RefreshRequested <-chan struct{}
	// SharedService is set where each request costs a service that all gatherers share, in place of an agent on the
	// machine. Requests are then made one at a time, with backoff after failures.
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

	// The rest belongs to the goroutine that calls Run, before that to who calls Apply.
	endpoints           *endpointTable
	fullList            *fullListRequests // in flight, nil for none
	watching            bool              // from the known revision on; otherwise the full list is needed first
	recheckAt           time.Time         // when the full list is requested once more, zero for never
	failing             bool              // the last poll failed, and this is logged
	consecutiveFailures int               // of a shared service
	requests            sync.WaitGroup
}

// New returns a Watcher that does nothing until Run is called.
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

// SetAddress has another agent watched from now on. Requests to the old one are cancelled. Revisions of two agents do
// not compare, so that the new one is asked for its full list first.
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

// target is the URL to poll, and a channel that is closed when it changes.
func (w *Watcher) target() (url string, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.url, w.addressChanged
}

// Apply takes over a response: one that was known at the start, before Run, or one of the agent.
func (w *Watcher) Apply(r *Response) {
	list := w.endpoints.apply(r)
	w.config.OnChange(list, w.endpoints.list())
}

// Run watches the list until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer w.requests.Wait()
	defer func() { w.fullList.cancelAll() }()
	url, addressChanged := w.target()
	w.endpoints.source++ // what was known at the start is of no agent
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
			err = w.check(response)
		}
		switch {
		case err == nil:
			changed := w.accept(response)
			answeredAtOnce := time.Since(startedAt) < watchDuration/2
			if !changed && answeredAtOnce { // an agent that does not wait must not be polled without a pause
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

// startOver forgets how far the watch has come, for another agent.
func (w *Watcher) startOver() {
	w.watching = false
	w.failing = false
	w.recheckAt = time.Time{}
	w.endpoints.source++
	w.fullList.cancelAll()
	w.fullList = nil
	w.client.CloseIdleConnections()
}

// canResume reports whether a watch may begin from the known revision, without a full list before it. Its first
// answer is then what has changed since; that spares a shared service a full list.
func (w *Watcher) canResume() bool {
	return w.config.SharedService && len(w.endpoints.addresses) > 0
}

// check refuses a response that does not follow what is known.
func (w *Watcher) check(r *Response) error {
	switch known := w.endpoints.revision; {
	case r.Full:
		return nil
	case !w.watching:
		return errNotFull
	case r.Revision < known:
		return fmt.Errorf("%w: a change of revision %d, where %d is known", errStale, r.Revision, known)
	}
	return nil
}

// accept takes over a response of the agent, and reports whether it changed anything.
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

// scheduleRecheck has the full list requested once more where what is known contradicts the agent's and was
// kept. This is due once the agent has been reached for maxListAge without a break; a break or an agent that
// falls behind begins that time anew.
func (w *Watcher) scheduleRecheck(anew bool) {
	switch {
	case len(w.endpoints.overruled) == 0:
		w.recheckAt = time.Time{}
	case anew || w.recheckAt.IsZero():
		w.recheckAt = time.Now().Add(maxListAge)
	}
}

// recheckIfDue has the next poll request the full list, and what it says take effect, where a recheck is due.
// A list that is still missing after a break is no recheck: it may have been requested before.
func (w *Watcher) recheckIfDue() {
	if !w.watching || w.recheckAt.IsZero() || time.Now().Before(w.recheckAt) {
		return
	}
	w.endpoints.adoptObservations()
	w.watching = false
}

// reportFailure logs a failed poll, the first in a row at a level that is seen, and notifies the decisions.
func (w *Watcher) reportFailure(err error) {
	level := logrus.WarnLevel
	switch {
	case w.failing: // one line for an outage
		level = logrus.DebugLevel
	case errors.Is(err, httpfetch.ErrTooLarge), errors.Is(err, errTooManyMembers): // a retry will not help
		level = logrus.ErrorLevel
	}
	w.config.Log.WithError(err).Log(level, "discovery: poll failed, the last endpoint list stays in force")
	w.config.OnChange(gather.EndpointList{Failed: true}, w.endpoints.list())
	// A watch that broke may have missed changes.
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

// backOff waits before the next poll of a shared service, longer with each failure in a row.
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

// pause waits before the next poll of the machine's own agent.
func (w *Watcher) pause(ctx context.Context, addressChanged <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-addressChanged:
	case <-w.config.RefreshRequested:
	case <-time.After(retryDelay):
	}
}

// poll requests the full list where it is needed, otherwise what has changed. It ends early where the address
// changes.
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

// requestChanges waits for what follows the known revision.
func (w *Watcher) requestChanges(ctx context.Context, url string) (*Response, error) {
	query := fmt.Sprintf("?index=%d&wait=%d", w.endpoints.revision, watchDuration.Milliseconds())
	return w.get(ctx, url+query, watchBodyTimeout, nil)
}

// get makes one request. onHeader, if it is not nil, is called once the answer has begun.
func (w *Watcher) get(ctx context.Context, url string, bodyTimeout time.Duration, onHeader func()) (*Response, error) {
	limits := httpfetch.Limits{MaxBytes: maxBodyBytes, BodyTimeout: bodyTimeout, StallTimeout: stallTimeout}
	body, err := httpfetch.Get(ctx, w.client, url, limits, onHeader)
	if err != nil {
		return nil, err
	}
	return ParseResponse(body)
}
