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

// Path is where an authority serves its map.
const Path = "/api/segments"

const (
	// watchDuration is after which the authority answers a long poll without a change.
	watchDuration = 2 * time.Second
	// responseTimeout is how long a response may take, beyond watchDuration.
	responseTimeout = time.Second
	// minBackoff and maxBackoff are the first and the longest pause after failed polls.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// maxBodyBytes bounds a response.
	maxBodyBytes = 16 << 20
)

var (
	// errMapRequested ends a poll because the receiver needs the full map.
	errMapRequested = errors.New("the full map is requested")
	// errNotFull is a change where the full map was requested.
	errNotFull = errors.New("a change, where the full map was requested")
)

// MapReceiver takes maps and changes. Package dispatch's Picker is one.
type MapReceiver interface {
	ApplyMapChange(c ownership.Change)
	SetMap(m *ownership.Map)
	// MapRequested returns a channel that has a value when the full map is needed.
	MapRequested() <-chan struct{}
}

// Watcher hands the maps of an authority to a receiver.
type Watcher struct {
	client   *http.Client
	url      string
	receiver MapReceiver
	log      *logrus.Logger
	epoch    uint64 // the newest handed over, 0 where the full map is needed
	failing  bool   // the last poll failed, and this is logged
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

// Run watches the authority until ctx ends. The full map is requested as soon as the receiver needs it: a long poll
// under way might bring what the receiver does not believe.
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

// accept hands a response to the receiver.
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

// reportFailure logs a failed poll, the first in a row at a level that is seen.
func (w *Watcher) reportFailure(err error) {
	level := logrus.WarnLevel
	if w.failing {
		level = logrus.DebugLevel
	}
	w.failing = true
	w.log.WithError(err).Log(level, "segment map: poll of the authority failed, the last map stays in force")
}

// backOff waits before the next poll, twice as long each time.
func (w *Watcher) backOff(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.receiver.MapRequested():
		w.epoch = 0
	case <-time.After(w.backoff):
	}
	w.backoff = min(2*w.backoff, maxBackoff)
}

// poll makes one request. It ends early, with errMapRequested, where the receiver needs the full map.
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

// request gets the full map, or what has changed since the known epoch.
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
