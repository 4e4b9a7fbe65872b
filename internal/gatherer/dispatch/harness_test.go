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

func newPicker(t *testing.T, change func(s *gather.Settings)) *Picker {
	of, err := settings.Read([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(of)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := New(5, of, log)
	list := gather.EndpointList{Full: true}
	for i := range uint32(6) {
		list.Endpoints = append(list.Endpoints, gather.Endpoint{ID: 10 + i, ReplicaSet: int(i % 2)})
	}
	p.UpdateEndpoints(list)
	return p
}

func newQuery(class string, shards int, deadline float64) *Query {
	query := &Query{ID: "a", Class: class, Deadline: deadline}
	for shard := range shards {
		query.ShardRequests = append(query.ShardRequests, ShardRequest{Shard: shard, Weight: 1 / float64(shards)})
	}
	return query
}

// runDueRound runs one round and fails where none comes due.
func runDueRound(t *testing.T, p *Picker) Actions {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	o, err := p.RunRound(ctx)
	if err != nil {
		t.Fatal("no round came due")
	}
	return o
}

// runUntilSent runs rounds until one sends an attempt, and returns the first. A round that the module itself has asked
// for may come before a query that is handed in by another goroutine.
func runUntilSent(t *testing.T, p *Picker) *Attempt {
	t.Helper()
	for {
		if actions := runDueRound(t, p); len(actions.Send) > 0 {
			return actions.Send[0]
		}
	}
}

func pickAsync(ctx context.Context, p *Picker, query *Query) <-chan Result {
	done := make(chan Result, 1)
	go func() { done <- p.Pick(ctx, query) }()
	return done
}

// newTwoPassPicker is a picker whose index any may go in two passes, and always does as far as time and budget allow.
func newTwoPassPicker(t *testing.T, change func(s *gather.Settings)) *Picker {
	p := newPicker(t, func(s *gather.Settings) {
		anyClass := s.FindClass("any")
		anyClass.CompleteShare, anyClass.MinShare, anyClass.LatencyObjective = 1, 1, 400
		s.RetryBudgetWindow, s.RetryBudgetFloor, s.RetryBudgetRatio, s.CancelAllowed = 2000, 20, 0.05, true
		if change != nil {
			change(s)
		}
	})
	completeShare, minShare := p.settings.Class("any").CompleteShare, p.settings.Class("any").MinShare
	p.EnableTwoPass(map[string]twopass.Settings{"any": {LatencyObjective: 400, CompleteShare: completeShare, MinShare: minShare, FirstPassShare: 0.3, TrialShare: 0.5}})
	p.clock.override = func() float64 { return p.schedule.lastAt + 4 } // what is reported before a round came just before it
	p.runRound(1000)
	for id := uint32(10); id < 16; id++ {
		p.SetAnswersFirstPass(id, true)
	}
	p.runRound(1005)
	return p
}

// submitTwoPass hands a query in and gives it with its first attempts.
func submitTwoPass(p *Picker, now float64, id string, shards int) (*Query, Actions) {
	query := newQuery("any", shards, now+2000)
	query.ID = id
	p.submit(query)
	return query, p.runRound(now)
}

func takeResult(query *Query) (Result, bool) {
	select {
	case v := <-query.result:
		return v, true
	default:
		return Result{}, false
	}
}

func countFirstPass(o Actions) (n int) {
	for _, c := range o.Send {
		if c.FirstPass() {
			n++
		}
	}
	return n
}

// Hosts h0 to h5 are the servers 10 to 15. There are four shards; at first segment s0 has shards 0 and 1, s1 the
// rest.
func newOwnershipPicker(t *testing.T, change func(s *gather.Settings)) (*Picker, *ownership.Map) {
	p := newPicker(t, func(s *gather.Settings) {
		for _, name := range []string{"any", "all"} {
			class := s.FindClass(name)
			class.CompleteShare, class.MinShare, class.LatencyObjective = 1, 1, 400
		}
		s.RetryBudgetWindow, s.RetryBudgetFloor, s.RetryBudgetRatio, s.CancelAllowed = 2000, 20, 0.05, true
		if change != nil {
			change(s)
		}
		*s = *OwnershipSettings(s, 16)
	})
	p.EnableOwnership(16, 4)
	p.module.Module = p.module.build(5, p.settings)
	p.clock.override = func() float64 { return p.schedule.lastAt + 4 }
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

// submitAndRun hands a query in and gives it with its first attempts.
func submitAndRun(p *Picker, now float64, class, id string, shards int) (*Query, []*Attempt) {
	query := newQuery(class, shards, now+2000)
	query.ID = id
	p.submit(query)
	return query, p.runRound(now).Send
}

func mustChange(t *testing.T, c ownership.Change, err error) ownership.Change {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// applyChange applies a change to a map and hands it in.
func applyChange(t *testing.T, p *Picker, m *ownership.Map, c ownership.Change, err error) *ownership.Map {
	t.Helper()
	next, wrong := m.Apply(mustChange(t, c, err))
	if wrong != nil {
		t.Fatal(wrong)
	}
	p.ApplyMapChange(c)
	return next
}

// checkKeysCoveredOnce reports whether hits cover all keys of a query's shard requests, none twice.
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
				return fmt.Errorf("shard %d: keys %v, %s comes where %016x should", request.Shard, got, r.Text(), from)
			}
			if from = r.Hi + 1; i == len(got)-1 && r.Hi != want.Hi {
				return fmt.Errorf("shard %d: keys %v end before %s", request.Shard, got, want.Text())
			}
		}
		if len(got) == 0 {
			return fmt.Errorf("shard %d: no keys", request.Shard)
		}
	}
	return nil
}

func answerAll(p *Picker, attempts []*Attempt) {
	for _, c := range attempts {
		p.Report(c, gather.Succeeded, []byte("x"))
	}
}

// brokenContext panics under its user.
type brokenContext struct{ context.Context }
