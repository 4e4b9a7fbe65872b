package twopass

import (
	"flag"
	"math"
	"testing"

	"pgregory.net/rapid"

	"yokeroute/internal/pcg"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same verdict always

var commonSettings = Settings{
	LatencyObjective: 400,
	CompleteShare:    1,
	MinShare:         1,
	FirstPassShare:   0.3,
	TrialShare:       0.02,
}

// servers are those of a class: an attempt waits, then is worked on.
type servers struct {
	decider       *Decider
	chance        *pcg.Source
	now           float64
	emptyShare    float64 // of the shards
	queueing      float64
	firstPassWork float64
	lostShare     float64 // of the attempts of first passes
}

func newServers(settings Settings, seed uint64) *servers {
	return &servers{
		decider:       New(seed, map[string]Settings{"i": settings}),
		chance:        pcg.New(seed + 9),
		emptyShare:    0.5,
		firstPassWork: 2,
	}
}

func (w *servers) attempt(first bool) {
	work := 20.0
	if first {
		work = w.firstPassWork
	}
	w.decider.RecordSent(w.now, first)
	answered := !first || w.chance.Float64() >= w.lostShare
	proved := first && answered && w.chance.Float64() < w.emptyShare
	latency := w.queueing + work*(0.7+0.6*w.chance.Float64())
	w.decider.RecordEnded(w.now, AttemptEnd{
		Class:       "i",
		FirstPass:   first,
		Succeeded:   answered,
		ProvedEmpty: proved,
		Latency:     latency,
	})
}

// query plays a query of eight shard requests and returns how it was sent.
func (w *servers) query() Decision {
	c := w.decider.Decide(w.now, Query{
		Class:             "i",
		ShardRequests:     8,
		FirstPassRequests: 8,
		Deadline:          w.now + 2000,
		RunningServers:    12,
		RetryBudgetLeft:   100,
	})
	rest := 8.0
	if c.TwoPass {
		for range 8 {
			w.attempt(true)
		}
		rest = math.Round(8 * (1 - w.emptyShare*(1-w.lostShare)))
	}
	for range int(rest) {
		w.attempt(false)
	}
	w.now += 20
	return c
}

func (w *servers) play(n int) (two, trials float64) {
	for range n {
		if c := w.query(); c.TwoPass {
			two++
			if c.Reason == Trial {
				trials++
			}
		}
	}
	return two / float64(n), trials / float64(n)
}

// TestTwoPassesWhereMuchIsEmpty decides for two passes where much is proved empty and for one where little
// is; the estimate goes on learning where it decides for one, at a bounded price, and follows a change of
// the content.
func TestTwoPassesWhereMuchIsEmpty(t *testing.T) {
	for _, c := range []struct{ emptyShare, low, high float64 }{
		{0, 0, 0.04},
		{0.1, 0, 0.04},
		{0.95, 0.99, 1},
		{1, 0.99, 1},
	} {
		w := newServers(commonSettings, 3)
		w.emptyShare = c.emptyShare
		w.play(100)
		if two, _ := w.play(2000); two < c.low || two > c.high {
			t.Errorf("%g empty: %g of the queries in two passes", c.emptyShare, two)
		}
	}
	// The content changes: two passes become better, and then one again.
	w := newServers(commonSettings, 4)
	w.emptyShare = 0
	w.play(500)
	w.emptyShare = 0.95
	if w.play(1500); true {
		if two, _ := w.play(200); two < 0.99 {
			t.Errorf("after the change %g in two passes", two)
		}
	}
	w.emptyShare = 0
	w.play(100)
	if two, trials := w.play(2000); two > 0.04 || trials < 0.005 {
		t.Errorf("after the change back %g in two passes, %g trials", two, trials)
	}
}

// TestCostlyFirstPassIsAvoided does not take a first pass that costs nearly as much as a call in full, even
// where half is empty, and tries nothing while servers are congested.
func TestCostlyFirstPassIsAvoided(t *testing.T) {
	w := newServers(commonSettings, 5)
	w.emptyShare, w.firstPassWork = 0.5, 15
	w.play(200)
	if two, _ := w.play(1000); two > 0.04 {
		t.Errorf("%g in two passes", two)
	}
	w = newServers(commonSettings, 6)
	w.emptyShare = 0.05
	w.play(100)
	w.queueing = 300 // congested: attempts wait
	w.play(100)
	if two, trials := w.play(1000); two > 0 || trials > 0 {
		t.Errorf("%g in two passes while congested, %g trials", two, trials)
	}
}

// TestFirstPassIsBounded bounds a first pass by its share of the time, and begins none that the retry
// budget could not replace: by what is usually lost, and by a quarter in any case.
func TestFirstPassIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := commonSettings
		settings.FirstPassShare = rapid.Float64Range(0.01, 0.9).Draw(t, "first")
		settings.TrialShare = 0.5
		w := newServers(settings, rapid.Uint64().Draw(t, "seed"))
		w.emptyShare = rapid.Float64Range(0, 1).Draw(t, "empty share")
		w.queueing = rapid.Float64Range(0, 200).Draw(t, "queueing")
		w.lostShare = rapid.Float64Range(0, 1).Draw(t, "loss")
		w.play(rapid.IntRange(0, 150).Draw(t, "learnt"))
		query := Query{
			Class:             "i",
			ShardRequests:     8,
			FirstPassRequests: rapid.IntRange(0, 8).Draw(t, "first pass requests"),
			Deadline:          w.now + rapid.Float64Range(1, 3000).Draw(t, "time left"),
			RunningServers:    12,
			RetryBudgetLeft:   float64(rapid.IntRange(-3, 12).Draw(t, "retries left")),
		}
		c := w.decider.Decide(w.now, query)
		if !c.TwoPass {
			return
		}
		left := min(settings.LatencyObjective, query.Deadline-w.now)
		if took := c.FirstPassDeadline - w.now; took <= 0 || took > settings.FirstPassShare*left+1e-9 {
			t.Fatalf("%g of %g ms for the first pass, at most %g", took, left, settings.FirstPassShare)
		}
		lost := max(1-w.decider.classes["i"].answeredShare, 0.25)
		if query.FirstPassRequests == 0 || query.RetryBudgetLeft < float64(query.FirstPassRequests)*lost {
			t.Fatalf("begun with %d shard requests, %g of them lost and a budget for %g",
				query.FirstPassRequests, lost, query.RetryBudgetLeft)
		}
	})
}

// TestGatherersDoNotFlapTogether has two gatherers share servers whose queues grow with what both send, so
// that what one decides changes the other's estimate. Neither may flap, alone or in step.
func TestGatherersDoNotFlapTogether(t *testing.T) {
	for _, emptyShare := range []float64{0.2, 0.35, 0.5, 0.65} {
		a, b := newServers(commonSettings, 11), newServers(commonSettings, 12)
		flips, last := [2]int{}, [2]bool{}
		recent := 8.0 // attempts in full a query, lately
		for i := range 3000 {
			for j, w := range []*servers{a, b} {
				w.emptyShare = emptyShare
				w.queueing = max(recent-4, 0) * 4 // the fleet is near its limit with all attempts in full
				c := w.query()
				attempts := 8.0
				if c.TwoPass {
					attempts = 8*w.firstPassWork/20 + 8*(1-emptyShare)
				}
				recent += (attempts - recent) / 50
				if c.Reason != Trial && i > 300 {
					if c.TwoPass != last[j] {
						flips[j]++
					}
					last[j] = c.TwoPass
				}
			}
		}
		if flips[0] > 60 || flips[1] > 60 {
			t.Errorf("%g empty: changed their minds %v times in 2,700 queries", emptyShare, flips)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	w := newServers(commonSettings, 1)
	w.emptyShare = 0.6
	w.play(500)
	query := Query{
		Class:             "i",
		ShardRequests:     12,
		FirstPassRequests: 12,
		Deadline:          w.now + 2000,
		RunningServers:    100,
		RetryBudgetLeft:   100,
	}
	b.ReportAllocs()
	for b.Loop() {
		w.decider.Decide(w.now, query)
		for range 4 {
			w.decider.RecordSent(w.now, false)
			w.decider.RecordEnded(w.now, AttemptEnd{Class: "i", Succeeded: true, Latency: 20})
		}
	}
}
