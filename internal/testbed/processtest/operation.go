package processtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"yokeroute/internal/millis"
	"yokeroute/internal/pcg"
	"yokeroute/internal/testbed/emulator"
)

const (
	// minTryTime is what has to be left of an operation's time for a further try.
	minTryTime = 10 * time.Millisecond
	// unreachedWait is the wait after a gatherer that could not be reached: nothing was sent, and another one may do.
	unreachedWait = 20 * time.Millisecond
)

// operation is one lookup with all of its tries.
type operation struct {
	name     string
	index    *emulator.Index
	hall     string
	first    int
	parts    int
	patience float64
	leaving  time.Duration // after which its client goes; zero for one that stays
	hurry    time.Duration // the most that its client gives a try; zero for the usual time
	chance   *pcg.Source
}

// draw is an operation by chance. The lock is held.
func (f *Front) draw(number int) *operation {
	scenario, draw := f.fleet.Scenario, f.chance.Float64()
	o := &operation{
		name:   fmt.Sprintf("op%x.%d", scenario.Seed, number),
		index:  &scenario.Indexes[len(scenario.Indexes)-1],
		chance: pcg.New(uint64(f.chance.Uint32())),
	}
	for i := range scenario.Indexes {
		if draw -= scenario.Indexes[i].Share; draw < 0 {
			o.index = &scenario.Indexes[i]
			break
		}
	}
	o.parts = o.index.Parts + int(f.chance.Float64()*float64(o.index.To-o.index.Parts+1))
	o.first = int(f.chance.Float64() * float64(scenario.Layout.Shards))
	o.hall = scenario.Halls[int(f.chance.Float64()*float64(len(scenario.Halls)))]
	o.patience = scenario.Clients.Patience + (1-scenario.Clients.Patience)*f.chance.Float64()
	f.habits.draw(o, pcg.New(scenario.Seed^uint64(number)<<habitShift))
	return o
}

// run tries until an operation has its answer, may not be repeated, or its time is up.
func (f *Front) run(o *operation) {
	startedAt := time.Now()
	deadline := startedAt.Add(millis.Duration(o.index.Hard))
	earned := 0.0
	for number := 0; ; number++ {
		try, wait := f.try(o, number, startedAt, deadline)
		earned += try.Value
		f.count(o, &try)
		timeLeft := time.Until(deadline) - wait
		if !o.mayRepeat(&try, number, f.fleet.Scenario.Clients.Retries) || timeLeft <= minTryTime {
			break
		}
		select {
		case <-time.After(wait):
		case <-f.ctx.Done():
			return
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	tally := f.total.Of(o.index.Name)
	tally.Operations++
	tally.Asked += o.index.Gain
	tally.Value += earned
	f.events.add(int(startedAt.Sub(f.startedAt).Seconds()), o.index.Gain, earned)
}

// mayRepeat reports whether a client tries again.
func (o *operation) mayRepeat(try *Try, number, retries int) bool {
	switch try.Ending {
	case Satisfied, Partial, Left:
		return false
	case Nacked, Refused: // harmless
		return number < retries
	}
	return number < retries && o.index.Effect == "idempotent"
}

func (f *Front) count(o *operation, try *Try) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total.Of(o.index.Name).add(try)
}

// try tries once; wait is for how long to wait before the next try.
func (f *Front) try(o *operation, number int, startedAt, deadline time.Time) (try Try, wait time.Duration) {
	clients := f.fleet.Scenario.Clients
	try = Try{Name: fmt.Sprintf("%s-%d", o.name, number), Index: o.index.Name, StartedAt: time.Now(), Ending: Refused}
	wait = millis.Duration(clients.Wait)
	target := f.choose(o.hall, o.chance.Float64())
	if target == nil {
		return try, wait
	}
	timeout := min(time.Until(deadline), millis.Duration(o.index.Hard*o.patience))
	if o.hurry > 0 {
		timeout = min(timeout, o.hurry)
	}
	q := &request{operation: o, try: &try, repeated: number > 0, deadline: try.StartedAt.Add(timeout)}
	r := f.sendOrResend(target, q)
	try.Took = time.Since(try.StartedAt)
	switch {
	case r.unreached():
		return try, min(wait, unreachedWait)
	case r.abandoned():
		try.Ending = Left
		return try, wait
	case r.err != nil:
		try.Ending = Lost
		f.noteLost(&try, target, r)
		return try, wait
	}
	try.Ending = endingOf(r, o)
	if try.Ending == Nacked {
		wait = retryAfter(r, wait)
	}
	if try.Took > timeout {
		try.Ending = Late
		return try, wait
	}
	try.Value = o.valueOf(try.Ending, r.hits, time.Since(startedAt))
	return try, wait
}

// endingOf returns what an answer in time is, and reads its hits.
func endingOf(r *reply, o *operation) Ending {
	switch r.status {
	case http.StatusOK:
		var answer struct {
			Complete bool
			Hits     []struct{ Shard int }
		}
		if json.Unmarshal(r.body, &answer) != nil {
			return Failed
		}
		r.hits = float64(len(answer.Hits)) / float64(o.parts)
		if answer.Complete {
			return Satisfied
		}
		return Partial
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return Nacked
	}
	return Failed
}

// valueOf is what an answer earns, so long after the operation's start.
func (o *operation) valueOf(ending Ending, hits float64, since time.Duration) float64 {
	value := 0.0
	switch ending {
	case Satisfied:
		value = o.index.Gain
	case Partial:
		value = o.index.Gain * o.index.Partial * min(hits/o.index.Need, 1)
	}
	if since > millis.Duration(o.index.Soft) {
		value *= o.index.Late
	}
	return value
}

// retryAfter returns the wait that a rejection asks for, or the fallback.
func retryAfter(r *reply, fallback time.Duration) time.Duration {
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		return fallback
	}
	return time.Duration(seconds * float64(time.Second))
}
