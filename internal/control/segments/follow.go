package segments

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/logic/ownership"
)

// MapReceiver takes news of the map; package pick has it.
type MapReceiver interface {
	ApplyMapChange(c ownership.Change)
	SetMap(m *ownership.Map)
	MapRequested() <-chan struct{}
}

const (
	// A watch that brings no news is answered after this time.
	watchDuration = 2 * time.Second
	headerTimeout = time.Second
	// The first pause after a failed call and the longest.
	minBackoff, maxBackoff = 50 * time.Millisecond, time.Second
	maxBodyBytes           = 16 << 20
)

// Watcher follows an authority.
type Watcher struct {
	http     *http.Client
	url      string
	receiver MapReceiver
	log      *logrus.Logger
	epoch    uint64 // the newest told; 0 where the whole map is wanted
}

// Path is where an authority is asked.
const Path = "/api/segments"

// NewWatcher makes a follower of the authority at an address.
func NewWatcher(address string, picker MapReceiver, log *logrus.Logger) *Watcher {
	return &Watcher{url: "http://" + address + Path, receiver: picker, log: log,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, ResponseHeaderTimeout: watchDuration + headerTimeout, DisableCompression: true}}}
}

// Run follows it until ctx ends. Whenever the picker finds that it is behind, the whole map is asked for at once: what
// a watch would bring may be what it could not believe.
func (f *Watcher) Run(ctx context.Context) {
	defer f.http.CloseIdleConnections()
	pause := minBackoff
	for ctx.Err() == nil {
		asking, stop := context.WithCancel(ctx)
		behind := make(chan bool, 1)
		go func() { // breaks off a watch that waits
			select {
			case <-f.receiver.MapRequested():
				behind <- true
				stop()
			case <-asking.Done():
				behind <- false
			}
		}()
		reply, err := f.poll(asking)
		stop()
		if <-behind {
			f.epoch = 0
			continue
		}
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			level := logrus.WarnLevel
			if pause != minBackoff { // said already
				level = logrus.DebugLevel
			}
			f.log.WithError(err).Log(level, "the authority of segments does not answer; the last map stays in force")
			select {
			case <-ctx.Done():
			case <-f.receiver.MapRequested():
				f.epoch = 0
			case <-time.After(pause):
			}
			pause = min(2*pause, maxBackoff)
			continue
		}
		if pause != minBackoff {
			f.log.Info("the authority of segments answers again")
		}
		pause = minBackoff
		if reply.Full != nil {
			f.receiver.SetMap(reply.Full)
			f.epoch = reply.Full.Epoch
		}
		for _, c := range reply.Changes {
			f.receiver.ApplyMapChange(c)
			f.epoch = c.Epoch
		}
	}
}

// poll makes one call: for the whole map, or for what has changed since the newest epoch told.
func (f *Watcher) poll(ctx context.Context) (*Response, error) {
	url, limit := f.url, headerTimeout
	if f.epoch > 0 {
		url += fmt.Sprintf("?after=%d&wait=%d", f.epoch, watchDuration.Milliseconds())
		limit += watchDuration
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the authority answers %s", resp.Status)
	}
	reply, err := ParseResponse(body)
	if err == nil && f.epoch == 0 && reply.Full == nil {
		err = fmt.Errorf("a change, where the whole map was asked for")
	}
	return reply, err
}
