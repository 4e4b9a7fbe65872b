package twopass

import (
	"flag"
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"yokeroute/internal/pcg"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same verdict always

var common = Settings{LatencyObjective: 400, CompleteShare: 1, MinShare: 1, FirstPassShare: 0.3, TrialShare: 0.02}

// world is servers as an index sees them: a call waits, then is worked on.
type world struct {
	p      *Decider
	chance *pcg.Source
	now    float64
	prune  float64 // share of parts that hold nothing
	wait   float64
	brief  float64
	loss   float64 // share of first calls that are lost
}

func newWorld(t Settings, seed uint64) *world {
	return &world{p: New(seed, map[string]Settings{"i": t}), chance: pcg.New(seed + 9), prune: 0.5, brief: 2}
}

func (w *world) call(first bool) {
	work := 20.0
	if first {
		work = w.brief
	}
	w.p.RecordSent(w.now, first)
	answered := !first || w.chance.Float64() >= w.loss
	w.p.RecordEnded(w.now, "i", first, answered, first && answered && w.chance.Float64() < w.prune, w.wait+work*(0.7+0.6*w.chance.Float64()))
}

// lookup plays one of eight parts and gives how it went.
func (w *world) lookup() Decision {
	c := w.p.Decide(w.now, Query{Class: "i", ShardRequests: 8, FirstPassRequests: 8, Deadline: w.now + 2000, RunningServers: 12, RetryBudgetLeft: 100})
	rest := 8.0
	if c.TwoPass {
		for range 8 {
			w.call(true)
		}
		rest = math.Round(8 * (1 - w.prune*(1-w.loss)))
	}
	for range int(rest) {
		w.call(false)
	}
	w.now += 20
	return c
}

func (w *world) play(n int) (two, trials float64) {
	for range n {
		if c := w.lookup(); c.TwoPass {
			two++
			if c.Reason == Trial {
				trials++
			}
		}
	}
	return two / float64(n), trials / float64(n)
}

// TestSign: two phases where much is proved empty, one where little is, and the estimate goes on learning where it
// decides for one, at a bounded price.
func TestSign(t *testing.T) {
	for _, c := range []struct{ prune, low, high float64 }{{0, 0, 0.04}, {0.1, 0, 0.04}, {0.95, 0.99, 1}, {1, 0.99, 1}} {
		w := newWorld(common, 3)
		w.prune = c.prune
		w.play(100)
		if two, _ := w.play(2000); two < c.low || two > c.high {
			t.Errorf("%g empty: %g of the lookups in two phases", c.prune, two)
		}
	}
	// The content changes: what was decided for one phase is found to be better in two, and the other way round.
	w := newWorld(common, 4)
	w.prune = 0
	w.play(500)
	w.prune = 0.95
	if w.play(1500); true {
		if two, _ := w.play(200); two < 0.99 {
			t.Errorf("after the change %g in two phases", two)
		}
	}
	w.prune = 0
	w.play(100)
	if two, trials := w.play(2000); two > 0.04 || trials < 0.005 {
		t.Errorf("after the change back %g in two phases, %g trials", two, trials)
	}
}

// TestDear: a first pass that costs nearly as much as the call itself is not worth it even where half is empty; a
// jam in which it only adds load is not made worse by trials.
func TestDear(t *testing.T) {
	w := newWorld(common, 5)
	w.prune, w.brief = 0.5, 15
	w.play(200)
	if two, _ := w.play(1000); two > 0.04 {
		t.Errorf("%g in two phases", two)
	}
	w = newWorld(common, 6)
	w.prune = 0.05
	w.play(100)
	w.wait = 300 // a jam: calls wait
	w.play(100)
	if two, trials := w.play(1000); two > 0 || trials > 0 {
		t.Errorf("%g in two phases in a jam, %g trials", two, trials)
	}
}

// TestBounds: a first pass never takes more than its share of the time, leaves the second what it usually needs,
// and is not begun where further calls don't suffice for what is usually lost, and for a quarter in any case.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := common
		terms.FirstPassShare = rapid.Float64Range(0.01, 0.9).Draw(t, "first")
		terms.TrialShare = 0.5
		w := newWorld(terms, rapid.Uint64().Draw(t, "seed"))
		w.prune, w.wait = rapid.Float64Range(0, 1).Draw(t, "prune"), rapid.Float64Range(0, 200).Draw(t, "wait")
		w.loss = rapid.Float64Range(0, 1).Draw(t, "loss")
		w.play(rapid.IntRange(0, 150).Draw(t, "learnt"))
		lk := Query{Class: "i", ShardRequests: 8, FirstPassRequests: rapid.IntRange(0, 8).Draw(t, "spoken"), Deadline: w.now + rapid.Float64Range(1, 3000).Draw(t, "left"),
			RunningServers: 12, RetryBudgetLeft: float64(rapid.IntRange(-3, 12).Draw(t, "room"))}
		c := w.p.Decide(w.now, lk)
		if !c.TwoPass {
			return
		}
		left := min(terms.LatencyObjective, lk.Deadline-w.now)
		if took := c.FirstPassDeadline - w.now; took <= 0 || took > terms.FirstPassShare*left+1e-9 {
			t.Fatalf("%g of %g ms for the first pass, at most %g", took, left, terms.FirstPassShare)
		}
		if lost := max(1-w.p.classes["i"].answeredShare, 0.25); lk.FirstPassRequests == 0 || lk.RetryBudgetLeft < float64(lk.FirstPassRequests)*lost {
			t.Fatalf("begun with %d parts to be asked, %g of them lost and room for %g", lk.FirstPassRequests, lost, lk.RetryBudgetLeft)
		}
	})
}

// TestInStep lets two gatherers share servers whose queues grow with what both send, so that what one decides
// changes the other's estimate. Neither may flap, alone or in step.
func TestInStep(t *testing.T) {
	for _, prune := range []float64{0.2, 0.35, 0.5, 0.65} {
		a, b := newWorld(common, 11), newWorld(common, 12)
		flips, last := [2]int{}, [2]bool{}
		recent := 8.0 // calls in full a lookup, lately
		for i := range 3000 {
			for j, w := range []*world{a, b} {
				w.prune = prune
				w.wait = max(recent-4, 0) * 4 // the fleet is near its limit with all calls in full
				c := w.lookup()
				calls := 8.0
				if c.TwoPass {
					calls = 8*w.brief/20 + 8*(1-prune)
				}
				recent += (calls - recent) / 50
				if c.Reason != Trial && i > 300 {
					if c.TwoPass != last[j] {
						flips[j]++
					}
					last[j] = c.TwoPass
				}
			}
		}
		if flips[0] > 60 || flips[1] > 60 {
			t.Errorf("%g empty: changed their minds %v times in 2,700 lookups", prune, flips)
		}
	}
}

// TestClose: whatever the first pass brings, only proof counts as in, nothing is lost, and an answer is never given
// from less than its least share nor called whole when it is not.
func TestClose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := common
		terms.CompleteShare = rapid.SampledFrom([]float64{1, 0.75, 0.5}).Draw(t, "whole")
		terms.MinShare = terms.CompleteShare * rapid.SampledFrom([]float64{1, 0.5}).Draw(t, "least")
		terms.MinLikelihood = rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "likely")
		terms.AllowPartial = rapid.Bool().Draw(t, "partial")
		p := New(1, map[string]Settings{"i": terms})
		k := rapid.IntRange(1, 12).Draw(t, "k")
		parts := make([]FirstPassOutcome, k)
		sum := 0.0
		for i := range parts {
			called := rapid.Bool().Draw(t, "called")
			heard := called && rapid.Bool().Draw(t, "heard")
			parts[i] = FirstPassOutcome{Weight: rapid.Float64Range(0.1, 1).Draw(t, "weight"), Attempted: called, Answered: heard, ProvedEmpty: rapid.Bool().Draw(t, "empty"),
				Likelihood: rapid.Float64Range(0, 1).Draw(t, "chance")}
			sum += parts[i].Weight
		}
		in, possible := 0.0, 0.0
		for i := range parts {
			parts[i].Weight /= sum
			if parts[i].Answered && parts[i].ProvedEmpty {
				in += parts[i].Weight
			}
		}
		n := p.PlanSecondPass("i", parts)
		if math.Abs(n.ProvedWeight-in) > 1e-9 || n.Complete != (in >= terms.CompleteShare-weightTolerance) {
			t.Fatalf("in %g, whole %t; proved %g", n.ProvedWeight, n.Complete, in)
		}
		if n.Done && in < terms.MinShare-weightTolerance || n.Complete && !n.Done || !n.Done && len(n.Requests) == 0 {
			t.Fatalf("%+v with %g proved", n, in)
		}
		seen := map[int]bool{}
		possible = in
		for _, a := range n.Requests {
			pt := parts[a.Index]
			if seen[a.Index] || pt.Answered && pt.ProvedEmpty || a.Retry != (pt.Attempted && !pt.Answered) {
				t.Fatalf("asks %+v for %+v", a, pt)
			}
			seen[a.Index] = true
			possible += pt.Weight
		}
		for _, i := range n.LeftOut {
			if seen[i] || !parts[i].Answered || parts[i].ProvedEmpty || parts[i].Likelihood >= terms.MinLikelihood {
				t.Fatalf("left out %+v", parts[i])
			}
			seen[i] = true
		}
		keep := terms.CompleteShare
		if terms.AllowPartial {
			keep = terms.MinShare
		}
		if len(n.LeftOut) > 0 && possible < keep-1e-3 {
			t.Fatalf("%g of the weight can come, %g is kept", possible, keep)
		}
	})
}

func TestParseSummary(t *testing.T) {
	for text, want := range map[string]string{
		"none v3":                          "",
		"some 12 0.5 v3":                   "",
		"none":                             "takes a version",
		"none ":                            "takes a version",
		"none v3 4":                        "takes a version",
		"some 12 0.5":                      "takes a count, a chance and a version",
		"some -1 0.5 v3":                   `the count "-1" is not from 1`,
		"some 0 0.5 v3":                    `the count "0" is not from 1`,
		"some 1e3 0.5 v3":                  `the count "1e3"`,
		"some 99999999999999999999 0.5 v":  `the count`,
		"some 2000000000000 0.5 v":         `the count`,
		"some 3 1.5 v3":                    `the chance "1.5" is not from 0 to 1`,
		"some 3 NaN v3":                    `the chance "NaN"`,
		"some 3 -0.1 v3":                   `the chance "-0.1"`,
		"":                                 "neither none nor some",
		"nope":                             "neither none nor some",
		"none " + strings.Repeat("v", 300): "305 bytes, 256 at most",
	} {
		s, err := ParseSummary([]byte(text))
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%.30q: %+v, %v; want %q", text, s, err, want)
		}
		if err != nil && s != (Summary{}) {
			t.Errorf("%.30q: %+v though it cannot be read", text, s)
		}
	}
}

func FuzzParseSummary(f *testing.F) {
	f.Add([]byte("none v3"))
	f.Add([]byte("some 12 0.5 v3"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := ParseSummary(text)
		if err == nil && (!s.Empty && (s.MaxHits < 1 || !(s.Likelihood >= 0 && s.Likelihood <= 1)) || s.Version == "") {
			t.Errorf("%q reads as %+v", text, s)
		}
		if err == nil && s.Empty != strings.HasPrefix(string(text), "none ") {
			t.Errorf("%q reads as %+v", text, s)
		}
	})
}

func BenchmarkOpen(b *testing.B) {
	w := newWorld(common, 1)
	w.prune = 0.6
	w.play(500)
	lk := Query{Class: "i", ShardRequests: 12, FirstPassRequests: 12, Deadline: w.now + 2000, RunningServers: 100, RetryBudgetLeft: 100}
	b.ReportAllocs()
	for b.Loop() {
		w.p.Decide(w.now, lk)
		for range 4 {
			w.p.RecordSent(w.now, false)
			w.p.RecordEnded(w.now, "i", false, true, false, 20)
		}
	}
}

func BenchmarkClose(b *testing.B) {
	for _, k := range []int{4, 12, 64} {
		b.Run(fmt.Sprint(k), func(b *testing.B) {
			terms := common
			terms.MinLikelihood = 0.2
			p := New(1, map[string]Settings{"i": terms})
			parts := make([]FirstPassOutcome, k)
			for i := range parts {
				parts[i] = FirstPassOutcome{Weight: 1 / float64(k), Attempted: true, Answered: i%5 > 0, ProvedEmpty: i%2 == 0, Likelihood: float64(i) / float64(k)}
			}
			b.ReportAllocs()
			for b.Loop() {
				p.PlanSecondPass("i", parts)
			}
		})
	}
}
