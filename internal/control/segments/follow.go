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

// Picker takes news of the map; package pick has it.
type Picker interface {
	ApplyMapChange(c ownership.Change)
	SetMap(m *ownership.Map)
	MapRequested() <-chan struct{}
}

const (
	// A watch that brings no news is answered after this time.
	watchWait = 2 * time.Second
	patience  = time.Second
	// The first pause after a failed call and the longest.
	pauseFirst, pauseMost = 50 * time.Millisecond, time.Second
	mostBody              = 16 << 20
)

// Follower follows an authority.
type Follower struct {
	http   *http.Client
	base   string
	picker Picker
	log    *logrus.Logger
	epoch  uint64 // the newest told; 0 where the whole map is wanted
}

// Path is where an authority is asked.
const Path = "/api/segments"

// NewFollower makes a follower of the authority at an address.
func NewFollower(address string, picker Picker, log *logrus.Logger) *Follower {
	return &Follower{base: "http://" + address + Path, picker: picker, log: log,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, ResponseHeaderTimeout: watchWait + patience, DisableCompression: true}}}
}

// Run follows it until ctx ends. Whenever the picker finds that it is behind, the whole map is asked for at once: what
// a watch would bring may be what it could not believe.
func (f *Follower) Run(ctx context.Context) {
	defer f.http.CloseIdleConnections()
	pause := pauseFirst
	for ctx.Err() == nil {
		asking, stop := context.WithCancel(ctx)
		behind := make(chan bool, 1)
		go func() { // breaks off a watch that waits
			select {
			case <-f.picker.MapRequested():
				behind <- true
				stop()
			case <-asking.Done():
				behind <- false
			}
		}()
		reply, err := f.ask(asking)
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
			if pause != pauseFirst { // said already
				level = logrus.DebugLevel
			}
			f.log.WithError(err).Log(level, "the authority of segments does not answer; the last map stays in force")
			select {
			case <-ctx.Done():
			case <-f.picker.MapRequested():
				f.epoch = 0
			case <-time.After(pause):
			}
			pause = min(2*pause, pauseMost)
			continue
		}
		if pause != pauseFirst {
			f.log.Info("the authority of segments answers again")
		}
		pause = pauseFirst
		if reply.Whole != nil {
			f.picker.SetMap(reply.Whole)
			f.epoch = reply.Whole.Epoch
		}
		for _, c := range reply.Changes {
			f.picker.ApplyMapChange(c)
			f.epoch = c.Epoch
		}
	}
}

// ask makes one call: for the whole map, or for what has changed since the newest epoch told.
func (f *Follower) ask(ctx context.Context) (*Reply, error) {
	url, limit := f.base, patience
	if f.epoch > 0 {
		url += fmt.Sprintf("?after=%d&wait=%d", f.epoch, watchWait.Milliseconds())
		limit += watchWait
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostBody))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the authority answers %s", resp.Status)
	}
	reply, err := Parse(body)
	if err == nil && f.epoch == 0 && reply.Whole == nil {
		err = fmt.Errorf("a change, where the whole map was asked for")
	}
	return reply, err
}
