package segments

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/httpfetch"
	"yokeroute/logic/ownership"
)

// Path is the HTTP path at which an authority serves its map.
const Path = "/api/segments"

const (
	// watchDuration is the time after which the authority answers a long poll if the map has not changed.
	watchDuration = 2 * time.Second
	// responseTimeout limits the duration of a request; for a long poll, watchDuration is added to it.
	responseTimeout = time.Second
	// minBackoff and maxBackoff are the initial and the maximum backoff after failed polls.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxBodyBytes limits the size of a response body.
	maxBodyBytes = 16 << 20
)

var (
	// errMapRequested reports that a poll was canceled because the receiver needs the full map.
	errMapRequested = errors.New("poll canceled: the receiver needs the full map")
	// errNotFull reports a response that lacks the requested full map.
	errNotFull = errors.New("response lacks the full map, which was requested")
)

// MapReceiver receives full maps and changes. The Picker of package dispatch implements it.
type MapReceiver interface {
	ApplyMapChange(c ownership.Change)
	SetMap(m *ownership.Map)
	// MapRequested returns a channel that receives a value when the receiver needs the full map.
	MapRequested() <-chan struct{}
}

// Watcher polls an authority for its segment map and passes maps and changes to a receiver.
type Watcher struct {
	client   *http.Client
	url      string
	receiver MapReceiver
	log      *logrus.Logger
	epoch    uint64 // epoch last passed to the receiver; 0 if the full map is needed
	failing  bool   // whether the last poll failed; the first failure of a series has been logged as a warning
	backoff  time.Duration
}

// NewWatcher returns a Watcher that does nothing until Run is called.
func NewWatcher(address string, receiver MapReceiver, log *logrus.Logger) *Watcher {
	transport := &http.Transport{
		MaxIdleConnsPerHost:   1,
		ResponseHeaderTimeout: watchDuration + responseTimeout,
		DisableCompression:    true,
	}
	return &Watcher{
		client:   &http.Client{Transport: transport},
		url:      "http://" + address + Path,
		receiver: receiver,
		log:      log,
		backoff:  minBackoff,
	}
}

// Run polls the authority until ctx is done. When the receiver needs the full map, Run cancels the long poll in
// progress and requests the map at once, since that poll might return changes that the receiver would reject.
func (w *Watcher) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	for ctx.Err() == nil {
		response, err := w.poll(ctx)
		switch {
		case errors.Is(err, errMapRequested):
			w.epoch = 0
		case err == nil:
			w.accept(response)
		case ctx.Err() != nil:
			return
		default:
			w.reportFailure(err)
			w.backOff(ctx)
		}
	}
}

// accept resets the failure state and passes a response to the receiver.
func (w *Watcher) accept(r *Response) {
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
}

// reportFailure logs a failed poll: the first of a series as a warning, the following ones at debug level.
func (w *Watcher) reportFailure(err error) {
	level := logrus.WarnLevel
	if w.failing {
		level = logrus.DebugLevel
	}
	w.failing = true
	w.log.WithError(err).Log(level, "segment map: poll of the authority failed, the last map stays in force")
}

// backOff waits before the next poll and doubles the backoff up to maxBackoff. The wait ends early if the receiver
// needs the full map.
func (w *Watcher) backOff(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.receiver.MapRequested():
		w.epoch = 0
	case <-time.After(w.backoff):
	}
	w.backoff = min(2*w.backoff, maxBackoff)
}

// poll makes one request. It cancels the request and returns errMapRequested if the receiver needs the full map.
func (w *Watcher) poll(ctx context.Context) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	mapRequested := make(chan bool, 1)
	go func() {
		select {
		case <-w.receiver.MapRequested():
			mapRequested <- true
			cancel()
		case <-ctx.Done():
			mapRequested <- false
		}
	}()
	response, err := w.request(ctx)
	cancel()
	if <-mapRequested {
		return nil, errMapRequested
	}
	return response, err
}

// request fetches the full map if w.epoch is 0, and otherwise long-polls for changes since that epoch.
func (w *Watcher) request(ctx context.Context) (*Response, error) {
	url := w.url
	timeout := responseTimeout
	if w.epoch > 0 {
		url += fmt.Sprintf("?after=%d&wait=%d", w.epoch, watchDuration.Milliseconds())
		timeout += watchDuration
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := httpfetch.Get(ctx, w.client, url, httpfetch.Limits{MaxBytes: maxBodyBytes}, nil)
	if err != nil {
		return nil, err
	}
	response, err := ParseResponse(body)
	if err == nil && w.epoch == 0 && response.Full == nil {
		return nil, errNotFull
	}
	return response, err
}
