package twopass

import (
	"flag"
	"math"
	"testing"

	"pgregory.net/rapid"

	"yokeroute/internal/pcg"
)

func init() { flag.Set("rapid.seed", "20261201") } // every run uses the same random draws

var commonSettings = Settings{
	LatencyObjective: 400,
	CompleteShare:    1,
	MinShare:         1,
	FirstPassShare:   0.3,
	TrialShare:       0.02,
}

// simulation simulates a class's shard servers. An attempt takes the queueing time plus its processing time.
type simulation struct {
	decider       *Decider
	random        *pcg.Source
	now           float64
	emptyShare    float64 // fraction of the shards without a match
	queueing      float64
	firstPassWork float64
	lostShare     float64 // fraction of first-pass attempts that are lost
}

func newSimulation(settings Settings, seed uint64) *simulation {
	return &simulation{
		decider:       New(seed, map[string]Settings{"i": settings}),
		random:        pcg.New(seed + 9),
		emptyShare:    0.5,
		firstPassWork: 2,
	}
}

// attempt simulates an attempt, of a first pass or of a full request.
func (sim *simulation) attempt(first bool) {
	work := 20.0
	if first {
		work = sim.firstPassWork
	}
	sim.decider.RecordSent(sim.now, first)
	answered := !first || sim.random.Float64() >= sim.lostShare
	proved := first && answered && sim.random.Float64() < sim.emptyShare
	latency := sim.queueing + work*(0.7+0.6*sim.random.Float64())
	sim.decider.RecordEnded(sim.now, AttemptEnd{
		Class:       "i",
		FirstPass:   first,
		Succeeded:   answered,
		ProvedEmpty: proved,
		Latency:     latency,
	})
}

// runQuery simulates a query of eight shard requests and returns how it was sent.
func (sim *simulation) runQuery() Decision {
	decision := sim.decider.Decide(sim.now, Query{
		Class:             "i",
		ShardRequests:     8,
		FirstPassRequests: 8,
		Deadline:          sim.now + 2000,
		RunningServers:    12,
		RetryBudgetLeft:   100,
	})
	fullRequests := 8.0
	if decision.TwoPass {
		for range 8 {
			sim.attempt(true)
		}
		fullRequests = math.Round(8 * (1 - sim.emptyShare*(1-sim.lostShare)))
	}
	for range int(fullRequests) {
		sim.attempt(false)
	}
	sim.now += 20
	return decision
}

// run simulates n queries. It returns the share of them sent in two passes, and the share that were trials.
func (sim *simulation) run(n int) (twoPass, trials float64) {
	for range n {
		if decision := sim.runQuery(); decision.TwoPass {
			twoPass++
			if decision.Reason == Trial {
				trials++
			}
		}
	}
	return twoPass / float64(n), trials / float64(n)
}

// TestDecideChoosesTwoPassesIfMostShardsAreEmpty checks that queries go in two passes if most shards are
// proved empty, and in one pass if few are. While one pass is chosen, a limited number of trials keeps the
// estimate up to date, so that the decision follows a change of the content.
func TestDecideChoosesTwoPassesIfMostShardsAreEmpty(t *testing.T) {
	for _, c := range []struct{ emptyShare, low, high float64 }{
		{0, 0, 0.04},
		{0.1, 0, 0.04},
		{0.95, 0.99, 1},
		{1, 0.99, 1},
	} {
		sim := newSimulation(commonSettings, 3)
		sim.emptyShare = c.emptyShare
		sim.run(100)
		if twoPass, _ := sim.run(2000); twoPass < c.low || twoPass > c.high {
			t.Errorf("empty share %g: share of queries in two passes is %g, out of bounds", c.emptyShare, twoPass)
		}
	}
	// The content changes so that two passes become better, and later back.
	sim := newSimulation(commonSettings, 4)
	sim.emptyShare = 0
	sim.run(500)
	sim.emptyShare = 0.95
	if sim.run(1500); true {
		if twoPass, _ := sim.run(200); twoPass < 0.99 {
			t.Errorf("after the change: share in two passes %g, want at least 0.99", twoPass)
		}
	}
	sim.emptyShare = 0
	sim.run(100)
	if twoPass, trials := sim.run(2000); twoPass > 0.04 || trials < 0.005 {
		t.Errorf("after the change back: share in two passes %g, want at most 0.04; trials %g, want at least 0.005",
			twoPass, trials)
	}
}

// TestDecideAvoidsCostlyFirstPass checks that queries go in one pass if a first-pass request costs nearly as
// much as a full one, even if half of the shards are empty, and that no trials are made while servers are
// congested.
func TestDecideAvoidsCostlyFirstPass(t *testing.T) {
	sim := newSimulation(commonSettings, 5)
	sim.emptyShare, sim.firstPassWork = 0.5, 15
	sim.run(200)
	if twoPass, _ := sim.run(1000); twoPass > 0.04 {
		t.Errorf("costly first pass: share in two passes %g, want at most 0.04", twoPass)
	}
	sim = newSimulation(commonSettings, 6)
	sim.emptyShare = 0.05
	sim.run(100)
	sim.queueing = 300 // congestion: every attempt queues
	sim.run(100)
	if twoPass, trials := sim.run(1000); twoPass > 0 || trials > 0 {
		t.Errorf("while congested: share in two passes %g, trials %g; want 0", twoPass, trials)
	}
}

// TestFirstPassStaysWithinTimeAndRetryBudget checks that a first pass takes at most its share of the time,
// and that none begins unless the retry budget covers the attempts that are usually lost, and at least a
// quarter.
func TestFirstPassStaysWithinTimeAndRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := commonSettings
		settings.FirstPassShare = rapid.Float64Range(0.01, 0.9).Draw(t, "first pass share")
		settings.TrialShare = 0.5
		sim := newSimulation(settings, rapid.Uint64().Draw(t, "seed"))
		sim.emptyShare = rapid.Float64Range(0, 1).Draw(t, "empty share")
		sim.queueing = rapid.Float64Range(0, 200).Draw(t, "queueing")
		sim.lostShare = rapid.Float64Range(0, 1).Draw(t, "loss")
		sim.run(rapid.IntRange(0, 150).Draw(t, "earlier queries"))
		query := Query{
			Class:             "i",
			ShardRequests:     8,
			FirstPassRequests: rapid.IntRange(0, 8).Draw(t, "first pass requests"),
			Deadline:          sim.now + rapid.Float64Range(1, 3000).Draw(t, "time left"),
			RunningServers:    12,
			RetryBudgetLeft:   float64(rapid.IntRange(-3, 12).Draw(t, "retries left")),
		}
		decision := sim.decider.Decide(sim.now, query)
		if !decision.TwoPass {
			return
		}
		timeLeft := min(settings.LatencyObjective, query.Deadline-sim.now)
		if duration := decision.FirstPassDeadline - sim.now; duration <= 0 ||
			duration > settings.FirstPassShare*timeLeft+1e-9 {
			t.Fatalf("first pass may take %g of %g ms; its maximum share is %g",
				duration, timeLeft, settings.FirstPassShare)
		}
		expectedLoss := max(1-sim.decider.classes["i"].answeredShare, 0.25)
		if query.FirstPassRequests == 0 || query.RetryBudgetLeft < float64(query.FirstPassRequests)*expectedLoss {
			t.Fatalf("first pass begun with %d shard requests, expected loss %g and %g retries left",
				query.FirstPassRequests, expectedLoss, query.RetryBudgetLeft)
		}
	})
}

// TestGatherersDoNotOscillate has two gatherers share servers whose queues grow with the load of both, so
// that the decisions of one change the estimate of the other. Neither may switch often between one and two
// passes, alone or in step with the other.
func TestGatherersDoNotOscillate(t *testing.T) {
	for _, emptyShare := range []float64{0.2, 0.35, 0.5, 0.65} {
		a, b := newSimulation(commonSettings, 11), newSimulation(commonSettings, 12)
		reversals, last := [2]int{}, [2]bool{}
		recent := 8.0 // moving average of the load of a query, in full requests
		for i := range 3000 {
			for j, sim := range []*simulation{a, b} {
				sim.emptyShare = emptyShare
				sim.queueing = max(recent-4, 0) * 4 // servers are near their limit if all queries go in one pass
				decision := sim.runQuery()
				attempts := 8.0
				if decision.TwoPass {
					attempts = 8*sim.firstPassWork/20 + 8*(1-emptyShare)
				}
				recent += (attempts - recent) / 50
				if decision.Reason != Trial && i > 300 {
					if decision.TwoPass != last[j] {
						reversals[j]++
					}
					last[j] = decision.TwoPass
				}
			}
		}
		if reversals[0] > 60 || reversals[1] > 60 {
			t.Errorf("empty share %g: %v switches in 2,700 queries, want at most 60 each", emptyShare, reversals)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	sim := newSimulation(commonSettings, 1)
	sim.emptyShare = 0.6
	sim.run(500)
	query := Query{
		Class:             "i",
		ShardRequests:     12,
		FirstPassRequests: 12,
		Deadline:          sim.now + 2000,
		RunningServers:    100,
		RetryBudgetLeft:   100,
	}
	b.ReportAllocs()
	for b.Loop() {
		sim.decider.Decide(sim.now, query)
		for range 4 {
			sim.decider.RecordSent(sim.now, false)
			sim.decider.RecordEnded(sim.now, AttemptEnd{Class: "i", Succeeded: true, Latency: 20})
		}
	}
}
