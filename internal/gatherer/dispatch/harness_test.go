package dispatch

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/config/settings"
	"yokeroute/logic/ownership"
	"yokeroute/logic/twopass"
)

const settingsText = `{"balancers":2,"tick":5000,"classes":[{"name":"any","effect":"pure","goalTime":1000000,"hardLimit":3000000,` +
	`"lateValue":0.1},{"name":"all","effect":"side_effect","goalTime":1000000,"hardLimit":3000000}],` +
	`"domain":{"cells":2,"inARow":1,"call":27000,"partsACall":16,"classFloor":[0.5,1],"completeFrom":[0.5,1]},` +
	`"limits":{"attemptsCap":3,"cancel":true,"secondCopies":true,"maxRetryAfter":1000000,"retryAfter":true}}`

// newPicker returns a picker with two replica sets of three servers each: 10, 12, 14 and 11, 13, 15.
func newPicker(t *testing.T, configure func(s *gather.Settings)) *Picker {
	config, err := settings.Read([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	if configure != nil {
		configure(config)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := New(5, config, log)
	list := gather.EndpointList{Full: true}
	for i := range uint32(6) {
		list.Endpoints = append(list.Endpoints, gather.Endpoint{ID: 10 + i, ReplicaSet: int(i % 2)})
	}
	p.UpdateEndpoints(list)
	return p
}

// newQuery returns a query with ID a and shard requests of equal weight for shards 0 to shards-1.
func newQuery(class string, shards int, deadline float64) *Query {
	query := &Query{ID: "a", Class: class, Deadline: deadline}
	for shard := range shards {
		query.ShardRequests = append(query.ShardRequests, ShardRequest{Shard: shard, Weight: 1 / float64(shards)})
	}
	return query
}

// runDueRound runs the next due round. It fails the test if none becomes due within 10 s.
func runDueRound(t *testing.T, p *Picker) Actions {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	actions, err := p.RunRound(ctx)
	if err != nil {
		t.Fatal("no round became due within 10 s")
	}
	return actions
}

// runUntilSent runs rounds until one sends an attempt, and returns the first attempt sent. A round that the module
// requested itself may run before a query that another goroutine submits.
func runUntilSent(t *testing.T, p *Picker) *Attempt {
	t.Helper()
	for {
		if actions := runDueRound(t, p); len(actions.Send) > 0 {
			return actions.Send[0]
		}
	}
}

// pickAsync calls Pick on a new goroutine and returns a channel for the result.
func pickAsync(ctx context.Context, p *Picker, query *Query) <-chan Result {
	done := make(chan Result, 1)
	go func() { done <- p.Pick(ctx, query) }()
	return done
}

// newTwoPassPicker returns a picker that runs queries of class any in two passes whenever time and the retry budget
// allow it. All its servers answer first passes.
func newTwoPassPicker(t *testing.T, configure func(s *gather.Settings)) *Picker {
	p := newPicker(t, func(s *gather.Settings) {
		anyClass := s.FindClass("any")
		anyClass.CompleteShare, anyClass.MinShare, anyClass.LatencyObjective = 1, 1, 400
		s.RetryBudgetWindow, s.RetryBudgetFloor, s.RetryBudgetRatio, s.CancelAllowed = 2000, 20, 0.05, true
		if configure != nil {
			configure(s)
		}
	})
	completeShare, minShare := p.settings.Class("any").CompleteShare, p.settings.Class("any").MinShare
	p.EnableTwoPass(map[string]twopass.Settings{"any": {LatencyObjective: 400, CompleteShare: completeShare, MinShare: minShare, FirstPassShare: 0.3, TrialShare: 0.5}})
	// With rounds 5 ms apart, input reported between two rounds is timed 1 ms before the second one.
	p.clock.override = func() float64 { return p.schedule.lastRoundAt + 4 }
	p.runRound(1000)
	for id := uint32(10); id < 16; id++ {
		p.SetAnswersFirstPass(id, true)
	}
	p.runRound(1005)
	return p
}

// submitTwoPass submits a query of class any, runs a round and returns the query and the round's actions.
func submitTwoPass(p *Picker, now float64, id string, shards int) (*Query, Actions) {
	query := newQuery("any", shards, now+2000)
	query.ID = id
	p.submit(query)
	return query, p.runRound(now)
}

// pollResult returns a query's result if it is decided.
func pollResult(query *Query) (Result, bool) {
	select {
	case result := <-query.result:
		return result, true
	default:
		return Result{}, false
	}
}

// countFirstPass counts the first-pass attempts among those sent.
func countFirstPass(actions Actions) (n int) {
	for _, attempt := range actions.Send {
		if attempt.FirstPass() {
			n++
		}
	}
	return n
}

// newOwnershipPicker returns a picker that routes by a segment map, and the map. Hosts h0 to h5 are servers 10 to 15.
// There are four shards: segment s0, owned by h0 and h1, holds shards 0 and 1, and segment s1, owned by h2 and h3,
// holds the others.
func newOwnershipPicker(t *testing.T, configure func(s *gather.Settings)) (*Picker, *ownership.Map) {
	p := newPicker(t, func(s *gather.Settings) {
		for _, name := range []string{"any", "all"} {
			class := s.FindClass(name)
			class.CompleteShare, class.MinShare, class.LatencyObjective = 1, 1, 400
		}
		s.RetryBudgetWindow, s.RetryBudgetFloor, s.RetryBudgetRatio, s.CancelAllowed = 2000, 20, 0.05, true
		if configure != nil {
			configure(s)
		}
		*s = *OwnershipSettings(s, 16)
	})
	p.EnableOwnership(16, 4)
	p.module.Module = p.module.build(5, p.settings)
	p.clock.override = func() float64 { return p.schedule.lastRoundAt + 4 }
	names := map[uint32]string{}
	for i := range uint32(6) {
		names[10+i] = fmt.Sprint("h", i)
	}
	p.SetServerNames(names)
	half := uint64(1) << 63
	m, err := ownership.NewMap(1, []ownership.Segment{{Name: "s0", Range: ownership.Range{Lo: 0, Hi: half - 1}, Owners: []string{"h0", "h1"}},
		{Name: "s1", Range: ownership.Range{Lo: half, Hi: ^uint64(0)}, Owners: []string{"h2", "h3"}}})
	if err != nil {
		t.Fatal(err)
	}
	p.SetMap(m)
	p.runRound(1000)
	return p, m
}

// submitAndRun submits a query, runs a round and returns the query and the attempts sent.
func submitAndRun(p *Picker, now float64, class, id string, shards int) (*Query, []*Attempt) {
	query := newQuery(class, shards, now+2000)
	query.ID = id
	p.submit(query)
	return query, p.runRound(now).Send
}

// requireChange returns c, or fails the test if err is set.
func requireChange(t *testing.T, c ownership.Change, err error) ownership.Change {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// applyChange passes a change to the picker and returns m with the change applied.
func applyChange(t *testing.T, p *Picker, m *ownership.Map, c ownership.Change, err error) *ownership.Map {
	t.Helper()
	next, applyErr := m.Apply(requireChange(t, c, err))
	if applyErr != nil {
		t.Fatal(applyErr)
	}
	p.ApplyMapChange(c)
	return next
}

// checkKeysCoveredOnce returns an error unless the hits cover every key of a query's shard requests exactly once.
func checkKeysCoveredOnce(query *Query, hits []Hit) error {
	for _, request := range query.ShardRequests {
		var got []ownership.Range
		for _, h := range hits {
			if h.Shard != request.Shard {
				continue
			}
			r := ownership.ShardRange(request.Shard, 4)
			if h.Keys != nil {
				r = *h.Keys
			}
			got = append(got, r)
		}
		slices.SortFunc(got, func(a, b ownership.Range) int {
			if a.Lo < b.Lo {
				return -1
			}
			return 1
		})
		want := ownership.ShardRange(request.Shard, 4)
		from := want.Lo
		for i, r := range got {
			if r.Lo != from {
				return fmt.Errorf("shard %d: hits cover keys %v: range %s, want it to start at %016x",
					request.Shard, got, r.Text(), from)
			}
			if from = r.Hi + 1; i == len(got)-1 && r.Hi != want.Hi {
				return fmt.Errorf("shard %d: hits cover keys %v, want them to end as %s does", request.Shard, got, want.Text())
			}
		}
		if len(got) == 0 {
			return fmt.Errorf("shard %d: no hit covers any key", request.Shard)
		}
	}
	return nil
}

// answerAll reports success for each attempt.
func answerAll(p *Picker, attempts []*Attempt) {
	for _, attempt := range attempts {
		p.Report(attempt, gather.Succeeded, []byte("x"))
	}
}

// panickingContext is a context whose methods panic, because the embedded Context is nil.
type panickingContext struct{ context.Context }
