package processtest

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"yokeroute/internal/millis"
	"yokeroute/internal/pcg"
)

const (
	readinessInterval = 100 * time.Millisecond
	readinessTimeout  = time.Second

	connectTimeout = 2 * time.Second
	idleConnTime   = time.Second
	maxIdleConns   = 32 // to one gatherer
)

// Front stands in for the platform's: it deals lookups out over the gatherers of a client's hall, goes on sending to a
// dead one until it notices, takes one in again once it is ready, and tries again as clients do.
type Front struct {
	fleet      *Fleet
	targets    []*frontTarget
	chance     *pcg.Source
	stop       context.CancelFunc
	ctx        context.Context
	operations sync.WaitGroup
	watchers   sync.WaitGroup

	mu        sync.Mutex
	total     Tallies
	startedAt time.Time
	drawn     int
	habits    ClientHabits
	paused    bool
	events    *Series
	lost      []LostTry
	crossed   []LostTry // sent once more
}

// frontTarget is one gatherer as the front knows it.
type frontTarget struct {
	gatherer      *Gatherer
	client        *http.Client
	newConnClient *http.Client // which opens a connection for each request
	base          string
	starvation    starvation

	mu           sync.Mutex
	inRotation   bool
	unreadySince time.Time // zero while it answers that it is ready
}

func newFront(fleet *Fleet) *Front {
	f := &Front{fleet: fleet, chance: pcg.New(fleet.Scenario.Seed + 77), total: Tallies{}, events: &Series{}}
	f.ctx, f.stop = context.WithCancel(context.Background())
	for _, g := range fleet.Gatherers {
		address := fleet.Link("front:" + g.Name).Address()
		if fleet.terms.DirectFront {
			address = g.Address
		}
		f.targets = append(f.targets, newFrontTarget(g, address))
	}
	for _, target := range f.targets {
		f.watchers.Go(func() { f.watchReadiness(target) })
	}
	return f
}

func newFrontTarget(g *Gatherer, address string) *frontTarget {
	dial := (&net.Dialer{Timeout: connectTimeout}).DialContext
	return &frontTarget{
		gatherer:   g,
		base:       "http://" + address,
		inRotation: true,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTime,
			DialContext:         dial,
		}},
		newConnClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}},
	}
}

// Close ends it once all operations have ended.
func (f *Front) Close() {
	f.operations.Wait()
	f.stop()
	f.watchers.Wait()
	for _, target := range f.targets {
		target.client.CloseIdleConnections()
	}
}

// Total is what has come of all that has ended so far.
func (f *Front) Total() *Tally {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total.Sum()
}

// ByIndex is the same by index; it is for reading once the load has ended.
func (f *Front) ByIndex() Tallies { return f.total }

// Series is the load over time; it is for reading once the load has ended.
func (f *Front) Series() *Series { return f.events }

// SetHabits sets the clients' habits from the next operation on.
func (f *Front) SetHabits(h ClientHabits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.habits = h
}

// Pause has the front hold no connection and ask no gatherer whether it is ready, until resume is called. No load may be
// under way.
func (f *Front) Pause() (resume func()) {
	f.setPaused(true)
	for _, target := range f.targets {
		target.client.CloseIdleConnections()
	}
	return func() { f.setPaused(false) }
}

func (f *Front) setPaused(paused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paused = paused
}

func (f *Front) isPaused() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paused
}

// LostTries returns the tries that were lost so far.
func (f *Front) LostTries() []LostTry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.lost)
}

// CrossedTries returns the requests so far that crossed the close of a kept connection and were sent once more. Whether
// their gatherers have read them is for the traces to tell.
func (f *Front) CrossedTries() []LostTry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.crossed)
}

// noteLost notes a lost try.
func (f *Front) noteLost(try *Try, target *frontTarget, r *reply) {
	lost := f.fleet.lostTry(try, target, r.loss(), r.err)
	f.mu.Lock()
	f.lost = append(f.lost, lost)
	f.mu.Unlock()
	f.fleet.Say("lost: %v", lost)
}

// noteCrossed notes a request that is sent once more.
func (f *Front) noteCrossed(try *Try, target *frontTarget, r *reply) {
	crossed := f.fleet.lostTry(try, target, r.loss(), r.err)
	f.mu.Lock()
	f.crossed = append(f.crossed, crossed)
	f.mu.Unlock()
	f.fleet.Say("sent once more: %v", crossed)
}

// watchReadiness asks a gatherer every now and then whether it is ready, as the platform's front does.
func (f *Front) watchReadiness(target *frontTarget) {
	tick := time.NewTicker(readinessInterval)
	defer tick.Stop()
	notice := millis.Duration(f.fleet.Scenario.Clients.Notice)
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-tick.C:
		}
		if f.isPaused() {
			continue
		}
		target.starvation.sample(target.gatherer.Process())
		target.noteReadiness(target.isReady(f.ctx), notice)
	}
}

func (t *frontTarget) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.base+"/-/ready", nil)
	if err != nil {
		return false
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // so that the connection can be kept
	return resp.StatusCode == http.StatusOK
}

// noteReadiness takes the gatherer in, or out of the rotation once it has not been ready for longer than notice.
func (t *frontTarget) noteReadiness(ready bool, notice time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case ready:
		t.inRotation = true
		t.unreadySince = time.Time{}
	case t.unreadySince.IsZero():
		t.unreadySince = time.Now()
	case time.Since(t.unreadySince) > notice:
		t.inRotation = false
	}
}

func (t *frontTarget) isInRotation() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inRotation
}

// choose picks a gatherer of a hall that is in rotation, or of another where the hall has none.
func (f *Front) choose(hall string, draw float64) *frontTarget {
	var near, all []*frontTarget
	for _, target := range f.targets {
		if !target.isInRotation() {
			continue
		}
		all = append(all, target)
		if target.gatherer.Hall == hall {
			near = append(near, target)
		}
	}
	switch {
	case len(near) > 0:
		return near[int(draw*float64(len(near)))]
	case len(all) > 0:
		return all[int(draw*float64(len(all)))]
	}
	return nil
}

// Play sends the scenario's load for a while and waits until all operations have ended.
func (f *Front) Play(ctx context.Context, length time.Duration) {
	defer f.operations.Wait()
	f.mu.Lock()
	if f.startedAt.IsZero() {
		f.startedAt = time.Now()
	}
	f.mu.Unlock()
	startedAt := time.Now()
	next := startedAt
	for {
		pause, o := f.drawNext()
		next = next.Add(pause)
		if next.Sub(startedAt) > length {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		f.operations.Go(func() { f.run(o) })
	}
}

// drawNext draws the next operation and the pause before it.
func (f *Front) drawNext() (pause time.Duration, o *operation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seconds := -math.Log(1-f.chance.Float64()) / f.fleet.Scenario.Clients.Rate
	f.drawn++
	return time.Duration(seconds * float64(time.Second)), f.draw(f.drawn)
}
