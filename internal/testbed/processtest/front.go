package processtest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokeroute/internal/pcg"
	"yokeroute/internal/testbed/emulator"
	"yokeroute/internal/testbed/experiment"
)

// Front stands in for the platform's: it deals lookups out over the gatherers of a client's hall, goes on sending to a
// dead one until it notices, takes one in again once it is ready, and tries again as clients do.
type Front struct {
	f       *Fleet
	places  []*place
	chance  *pcg.Source
	stop    context.CancelFunc
	ctx     context.Context
	wait    sync.WaitGroup
	looking sync.WaitGroup

	mu     sync.Mutex
	total  Tallies
	began  time.Time
	asked  int
	events *Series
}

// place is one gatherer as the front knows it.
type place struct {
	g      *Gatherer
	client *http.Client
	base   string

	mu  sync.Mutex
	in  bool
	bad time.Time // since when it has not answered that it is ready, zero while it does
}

// Ending is how a try ended, as its client saw it.
type Ending string

// The endings of tries.
const (
	Satisfied Ending = "satisfied"
	Partial   Ending = "partial" // satisfied, not whole
	Nacked    Ending = "nacked"
	Failed    Ending = "failed" // aborted, or any other answer
	Lost      Ending = "lost"   // the connection broke, or the client's time was up without an answer
	Refused   Ending = "unreached"
)

// Try is one try of an operation.
type Try struct {
	Name   string // OPERATION-NUMBER
	Index  string
	Began  time.Time
	Took   time.Duration
	Ending Ending
	Value  float64 // earned: of the operation's gain, by the terms of its index
}

// Tally is what tries came to.
type Tally struct {
	Operations, Tries int
	Endings           map[Ending]int
	Value, Asked      float64                 // of operations: earned, and what all could have earned
	Took              *hdrhistogram.Histogram `json:"-"` // microseconds of satisfied tries
}

func newTally() *Tally {
	return &Tally{Endings: map[Ending]int{}, Took: hdrhistogram.New(1, 60_000_000, 2)}
}

// Tallies are tallies by index.
type Tallies map[string]*Tally

// Of is the tally of an index.
func (t Tallies) Of(index string) *Tally {
	if t[index] == nil {
		t[index] = newTally()
	}
	return t[index]
}

// Sum is all of them together.
func (t Tallies) Sum() *Tally {
	all := newTally()
	for _, index := range slices.Sorted(maps.Keys(t)) {
		one := t[index]
		all.Operations += one.Operations
		all.Tries += one.Tries
		all.Value += one.Value
		all.Asked += one.Asked
		all.Took.Merge(one.Took)
		for e, n := range one.Endings {
			all.Endings[e] += n
		}
	}
	return all
}

// Series is what operations earned by the second in which they were first asked.
type Series struct{ Asked, Earned []float64 }

func (s *Series) add(second int, asked, earned float64) {
	for len(s.Asked) <= second {
		s.Asked, s.Earned = append(s.Asked, 0), append(s.Earned, 0)
	}
	s.Asked[second] += asked
	s.Earned[second] += earned
}

// Operation is the operation that a lookup's name is a try of.
func Operation(name string) string {
	if dash := strings.LastIndexByte(name, '-'); dash >= 0 {
		return name[:dash]
	}
	return name
}

func newFront(f *Fleet) *Front {
	fr := &Front{f: f, chance: pcg.New(f.Scenario.Seed + 77), total: Tallies{}, events: &Series{}}
	fr.ctx, fr.stop = context.WithCancel(context.Background())
	for _, g := range f.Gatherers {
		base := f.Link("front:" + g.Name).Address()
		if f.terms.DirectFront {
			base = g.Address
		}
		fr.places = append(fr.places, &place{g: g, base: "http://" + base, in: true, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: time.Second, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}})
	}
	for _, p := range fr.places {
		fr.looking.Go(func() { fr.look(p) })
	}
	return fr
}

// Close ends it once all operations have ended.
func (fr *Front) Close() {
	fr.wait.Wait()
	fr.stop()
	fr.looking.Wait()
	for _, p := range fr.places {
		p.client.CloseIdleConnections()
	}
}

// Total is what has come of all that has ended so far.
func (fr *Front) Total() *Tally {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return fr.total.Sum()
}

// ByIndex is the same by index; it is for reading once the load has ended.
func (fr *Front) ByIndex() Tallies { return fr.total }

// Series is the load over time; it is for reading once the load has ended.
func (fr *Front) Series() *Series { return fr.events }

// look asks a gatherer every now and then whether it is ready, as the platform's front does.
func (fr *Front) look(p *place) {
	const every = 100 * time.Millisecond
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-fr.ctx.Done():
			return
		case <-tick.C:
		}
		ctx, cancel := context.WithTimeout(fr.ctx, time.Second)
		ready := false
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.base+"/-/ready", nil)
		if err == nil {
			if resp, err := p.client.Do(req); err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				ready = resp.StatusCode == http.StatusOK
			}
		}
		cancel()
		p.mu.Lock()
		switch {
		case ready:
			p.in, p.bad = true, time.Time{}
		case p.bad.IsZero():
			p.bad = time.Now()
		case time.Since(p.bad) > time.Duration(fr.f.Scenario.Clients.Notice*1e6):
			p.in = false
		}
		p.mu.Unlock()
	}
}

// choose picks a gatherer of a hall that is taken in, or of another where the hall has none.
func (fr *Front) choose(hall string, draw float64) *place {
	var near, any []*place
	for _, p := range fr.places {
		p.mu.Lock()
		if p.in {
			any = append(any, p)
			if p.g.Hall == hall {
				near = append(near, p)
			}
		}
		p.mu.Unlock()
	}
	switch {
	case len(near) > 0:
		return near[int(draw*float64(len(near)))]
	case len(any) > 0:
		return any[int(draw*float64(len(any)))]
	}
	return nil
}

// Play sends the scenario's load for a while and waits until all operations have ended.
func (fr *Front) Play(ctx context.Context, length time.Duration) {
	fr.mu.Lock()
	if fr.began.IsZero() {
		fr.began = time.Now()
	}
	fr.mu.Unlock()
	start := time.Now()
	next := start
	for {
		fr.mu.Lock()
		next = next.Add(time.Duration(-math.Log(1-fr.chance.Float64()) / fr.f.Scenario.Clients.Rate * 1e9))
		fr.asked++
		o := fr.draw(fr.asked)
		fr.mu.Unlock()
		if next.Sub(start) > length {
			break
		}
		select {
		case <-ctx.Done():
			fr.wait.Wait()
			return
		case <-time.After(time.Until(next)):
		}
		fr.wait.Go(func() { fr.run(o) })
	}
	fr.wait.Wait()
}

// operation is one lookup with all of its tries.
type operation struct {
	name     string
	ix       *emulator.Index
	hall     string
	first    int
	parts    int
	patience float64
	chance   *pcg.Source
}

// draw is an operation by chance. The lock is held.
func (fr *Front) draw(n int) *operation {
	sc, draw := fr.f.Scenario, fr.chance.Float64()
	o := &operation{name: fmt.Sprintf("op%x.%d", sc.Seed, n), ix: &sc.Indexes[len(sc.Indexes)-1], chance: pcg.New(uint64(fr.chance.Uint32()))}
	for i := range sc.Indexes {
		if draw -= sc.Indexes[i].Share; draw < 0 {
			o.ix = &sc.Indexes[i]
			break
		}
	}
	o.parts = o.ix.Parts + int(fr.chance.Float64()*float64(o.ix.To-o.ix.Parts+1))
	o.first = int(fr.chance.Float64() * float64(sc.Layout.Shards))
	o.hall = sc.Halls[int(fr.chance.Float64()*float64(len(sc.Halls)))]
	o.patience = sc.Clients.Patience + (1-sc.Clients.Patience)*fr.chance.Float64()
	return o
}

// run asks until an operation has its answer, may not be asked again, or its time is up.
func (fr *Front) run(o *operation) {
	sc := fr.f.Scenario
	began := time.Now()
	until := began.Add(time.Duration(o.ix.Hard * 1e6))
	earned := 0.0
	for n := 0; ; n++ {
		t, wait := fr.try(o, n, began, until)
		again := n < sc.Clients.Retries
		switch t.Ending {
		case Satisfied, Partial:
			again = false
		case Nacked, Refused: // asking again is harmless
		default:
			again = again && o.ix.Effect == "idempotent"
		}
		again = again && time.Now().Add(wait).Before(until.Add(-10*time.Millisecond))
		earned += t.Value
		fr.note(o, t)
		if !again {
			break
		}
		select {
		case <-time.After(wait):
		case <-fr.ctx.Done():
			return
		}
	}
	fr.mu.Lock()
	defer fr.mu.Unlock()
	of := fr.total.Of(o.ix.Name)
	of.Operations++
	of.Asked += o.ix.Gain
	of.Value += earned
	fr.events.add(int(began.Sub(fr.began).Seconds()), o.ix.Gain, earned)
}

func (fr *Front) note(o *operation, t Try) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	of := fr.total.Of(o.ix.Name)
	of.Tries++
	of.Endings[t.Ending]++
	if t.Ending == Satisfied || t.Ending == Partial {
		of.Took.RecordValue(t.Took.Microseconds())
	}
}

// try asks once; wait is for how long to wait before the next try.
func (fr *Front) try(o *operation, n int, first, until time.Time) (t Try, wait time.Duration) {
	sc := fr.f.Scenario
	t = Try{Name: fmt.Sprintf("%s-%d", o.name, n), Index: o.ix.Name, Began: time.Now(), Ending: Refused}
	wait = time.Duration(sc.Clients.Wait * 1e6)
	p := fr.choose(o.hall, o.chance.Float64())
	if p == nil {
		return t, wait
	}
	left := min(time.Until(until), time.Duration(o.ix.Hard*o.patience*1e6))
	ctx, cancel := context.WithTimeout(fr.ctx, left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.base+"/"+o.ix.Name, strings.NewReader(experiment.Body(o.first, o.parts, sc.Layout.Shards, o.name)))
	if err != nil {
		fr.f.fault(err)
		return t, wait
	}
	req.GetBody = nil // the transport must not send it again by itself: the front's tries are told apart by name
	req.Header.Set("X-Request-ID", t.Name)
	req.Header.Set("X-Timeout-Ms", strconv.Itoa(max(int(left.Milliseconds()), 1)))
	if n > 0 {
		req.Header.Set("X-Retried", "1")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		t.Took, t.Ending = time.Since(t.Began), Lost
		defer func() {
			if t.Ending == Lost {
				fr.f.Say("lost at %s after %v: %s: %v", p.g.Name, t.Took.Round(time.Millisecond), t.Name, err)
			}
		}()
		var op *net.OpError
		// Refused before anything was sent. A reset may have come after the request was read.
		if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED) {
			t.Ending = Refused
			wait = min(wait, 20*time.Millisecond)
		}
		return t, wait
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	t.Took = time.Since(t.Began)
	var answer struct {
		Complete bool
		Hits     []struct{ Shard int }
	}
	switch {
	case err != nil:
		t.Ending = Lost
		fr.f.Say("lost at %s after %v, in its answer: %s: %v", p.g.Name, t.Took.Round(time.Millisecond), t.Name, err)
	case resp.StatusCode == http.StatusOK && json.Unmarshal(text, &answer) == nil:
		t.Ending = Satisfied
		t.Value = o.ix.Gain
		if !answer.Complete {
			t.Ending = Partial
			t.Value *= o.ix.Partial * min(float64(len(answer.Hits))/float64(o.parts)/o.ix.Need, 1)
		}
		if time.Since(first) > time.Duration(o.ix.Soft*1e6) {
			t.Value *= o.ix.Late
		}
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		t.Ending = Nacked
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			wait = time.Duration(s * 1e9)
		}
	default:
		t.Ending = Failed
	}
	return t, wait
}
