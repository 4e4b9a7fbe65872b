package policyclient_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"yokeroute/internal/config/policyfile"
	"yokeroute/internal/control/policyapi"
	"yokeroute/internal/control/policyclient"
	"yokeroute/internal/process"
	"yokeroute/internal/testbed/processtest"
	"yokeroute/logic/policy"
)

func TestMain(m *testing.M) {
	status := m.Run()
	processtest.Unbuild()
	os.Exit(status)
}

const fleetText = `hall north
hall south
kind box cores 4 queue 100
layout sets 2 shards 12
servers 8 kind box
index any share 70%% parts 4 need 75%% work 4ms spread 0.5 soft 500ms hard 1.5s
index once share 30%% parts 2 work 4ms soft 500ms hard 1.5s late 0%% effect once-only
clients retries 2 wait 50ms notice 300ms rate %d/s
discovery lag 100ms
budget free 6 share 5%% in 1s
cold from 20%% warms 5s falls 3 in 2s
time length 10min warm-up 0s
gatherers %d
seed 5
`

// Two hosts are what the tests' policies open and close: no gatherer that is alone goes to either.
const floorText = "close zone north host s1\nclose zone south host s3\nclose zone west host s7\nno-copies\n"

// scene is a fleet of processes with stewards, under load.
type scene struct {
	*testing.T
	f    *processtest.Fleet
	ctx  context.Context
	stop func()
	from float64 // since when policies are checked against each other, Unix milliseconds
}

func begin(t *testing.T, gatherers, rate int, terms processtest.StewardTerms) *scene {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 280*time.Second)
	t.Cleanup(cancel)
	s := &scene{T: t, ctx: ctx}
	binary, err := processtest.Build("yokeroute")
	if err != nil {
		t.Fatal(err)
	}
	sc, err := processtest.Parse(t.Name(), fmt.Sprintf(fleetText, rate, gatherers), 0)
	if err != nil {
		t.Fatal(err)
	}
	if terms.Floor == "" {
		terms.Floor = floorText
	}
	if s.f, err = processtest.StartFleet(ctx, sc, processtest.Terms{Binary: binary, Folder: filepath.Join(t.TempDir(), "fleet"), State: true, Stewards: terms}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.f.Close)
	s.stop = s.f.Load(ctx)
	t.Cleanup(s.stop)
	s.until("all gatherers hold", func(st *policyapi.Status) bool { return st.AppliedEverywhere && len(st.Members) == gatherers })
	return s
}

// three stewards, with times that a machine full of other tests can keep.
var three = processtest.StewardTerms{Count: 3, Lease: 3000, Limit: 60_000, Beat: 50}

func (s *scene) status() *policyapi.Status {
	ctx, cancel := context.WithTimeout(s.ctx, 10*time.Second)
	defer cancel()
	st, err := s.f.Policies().Status(ctx)
	if err != nil {
		return nil
	}
	return st
}

// until waits for something that the steward that leads tells.
func (s *scene) until(what string, holds func(st *policyapi.Status) bool) {
	s.Helper()
	var last *policyapi.Status
	err := process.WaitUntil(s.ctx, what, func() bool {
		last = s.status()
		return last != nil && holds(last)
	})
	if err != nil {
		s.Fatalf("%v: %+v; %v", err, last, s.f.Faults())
	}
}

// parse reads a policy.
func (s *scene) parse(text string) policy.Policy {
	s.Helper()
	p, err := policyfile.Parse(s.Name(), text)
	if err != nil {
		s.Fatal(err)
	}
	return p
}

// propose puts a policy forward for the epoch in force.
func (s *scene) propose(text string) *policy.Change {
	s.Helper()
	p := s.parse(text)
	st := s.status()
	if st == nil {
		s.Fatal("no steward leads")
	}
	c, err := s.f.Policies().Propose(s.ctx, policyclient.Proposal{Base: st.Record.Epoch, Policy: p, Reason: s.Name()})
	if err != nil {
		s.Fatal(err)
	}
	return c
}

// everywhere waits until a change has been decided and holds everywhere.
func (s *scene) everywhere(c *policy.Change) {
	s.Helper()
	end, err := s.f.Policies().Await(s.ctx, c.Number, func(line string) { s.Logf("change %d: %s", c.Number, line) })
	if err != nil || end.Outcome != policy.Committed {
		s.Fatalf("%+v, %v", end, err)
	}
}

// served waits until so many more lookups were answered.
func (s *scene) served(n int) {
	s.Helper()
	at := s.f.Front.Total().Endings[processtest.Satisfied]
	if err := process.WaitUntil(s.ctx, "lookups are answered", func() bool { return s.f.Front.Total().Endings[processtest.Satisfied] >= at+n }); err != nil {
		s.Fatal(err)
	}
}

// end ends the fleet and checks that all processes together kept the rules, and that no two gatherers ever acted by
// policies of which one forbade what the other did: of each pair of hosts, what was sent to the one that a change closed
// came before what was sent to the one that it opened.
func (s *scene) end(pairs ...[2]string) {
	s.Helper()
	s.stop()
	if _, err := s.f.Verdict(); err != nil {
		s.Error(err)
	}
	sends, err := s.f.Sends()
	if err != nil {
		s.Fatal(err)
	}
	sends = slices.DeleteFunc(sends, func(e processtest.Send) bool { return e.At < s.from })
	counts := map[string]int{}
	for _, e := range sends {
		counts[e.Server]++
	}
	for _, pair := range pairs {
		var before, after processtest.Send
		for _, e := range sends {
			if e.Server == pair[0] {
				before = e
			}
		}
		for i := len(sends) - 1; i >= 0; i-- {
			if sends[i].Server == pair[1] {
				after = sends[i]
			}
		}
		if before.At == 0 || after.At == 0 {
			s.Errorf("sends by server %v: none to one of %v", counts, pair)
		}
		if before.At >= after.At {
			s.Errorf("%s sent to %s, %.1f ms after %s had sent to %s", before.Gatherer, before.Server, before.At-after.At, after.Gatherer, after.Server)
		}
	}
}

// TestEverywhere: a change takes hold everywhere while one gatherer stands still through all of it, one is killed and
// starts again, one is cut off from the stewards, and the steward that leads is killed in its midst. Nobody acts by the
// old policy once somebody acts by the new one.
func TestEverywhere(t *testing.T) {
	s := begin(t, 12, 150, three)
	first := s.propose("close zone north host s1\n") // s3 is open, s1 closed
	s.everywhere(first)
	s.from = float64(time.Now().UnixMilli())
	s.served(50)
	g := s.f.Gatherers
	if err := g[2].Process().Stop(s.ctx); err != nil {
		t.Fatal(err)
	}
	for _, k := range s.f.Links("g5:w*") {
		k.Change(func(w *processtest.Weather) { w.Silent = [2]bool{true, true} })
	}
	g[7].Kill()
	second := s.propose("close zone south host s3\n") // the other way round
	leader := s.f.Leader(s.ctx)
	if leader == nil {
		t.Fatal("nobody leads")
	}
	leader.Process().Kill()
	if err := g[7].Start(s.ctx); err != nil {
		t.Fatal(err)
	}
	s.everywhere(second)
	if err := leader.Start(); err != nil {
		t.Fatal(err)
	}
	g[2].Process().Continue()
	for _, k := range s.f.Links("g5:w*") {
		if err := k.Mend(); err != nil {
			t.Fatal(err)
		}
	}
	s.until("all hold the second change", func(st *policyapi.Status) bool {
		holding := 0
		for _, one := range st.Members {
			if one.State == policy.StateApplied && one.Applied.Epoch == second.Number {
				holding++
			}
		}
		return holding == 12
	})
	s.served(50)
	s.end([2]string{"s3", "s1"})
}

// TestNowhere: what a gatherer refuses, or what one that is alone would do, holds nowhere, and it is said whose word that
// was: an index that there is not, a share that the platform does not allow, a host that stands elsewhere, a floor that
// is not tight enough. Of two that propose at once one is told to wait; a change that is being prepared can be reverted.
func TestNowhere(t *testing.T) {
	t.Parallel()
	s := begin(t, 4, 40, three)
	for text, word := range map[string]string{
		"no-copies\nindex nowhere no-copies\n":                                      "there is no index nowhere",
		"no-copies\nclose zone west host s7\n":                                      "closed west/s7: s7 stands in ",
		"close zone north host s1\nturns s9 50%\n":                                  "",
		"close zone south host s3\nclose zone north host s1\nindex any no-copies\n": "",
	} {
		c := s.propose(text)
		end, err := s.f.Policies().Await(s.ctx, c.Number, func(string) {})
		switch {
		case err != nil:
			t.Fatal(err)
		case word == "" && end.Outcome != policy.Committed, word != "" && (end.Outcome != policy.Abandoned || !strings.Contains(end.OutcomeReason, word) || !strings.HasPrefix(end.OutcomeReason, "g")):
			t.Errorf("%q: %+v", text, end)
		}
	}
	st := s.status()
	for text, word := range map[string]string{"close zone north host s5\n": "g1, cut off, would do what this forbids: closed north/s5", "index any once-only\n": "would do what this forbids"} {
		_, err := s.f.Policies().Propose(s.ctx, policyclient.Proposal{Base: st.Record.Epoch, Policy: s.parse(text)})
		if err == nil || !strings.Contains(err.Error(), word) {
			t.Errorf("%q: %v", text, err)
		}
	}
	// One stands still, so that the change stays in preparation for as long as its lease.
	if err := s.f.Gatherers[3].Process().Stop(s.ctx); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var made []*policy.Change
	var refused []string
	var both sync.WaitGroup
	for _, text := range []string{"no-copies\n", "close zone south host s3\n"} {
		p := s.parse(text)
		both.Go(func() {
			c, err := s.f.Policies().Propose(s.ctx, policyclient.Proposal{Base: st.Record.Epoch, Policy: p})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				refused = append(refused, err.Error())
			} else {
				made = append(made, c)
			}
		})
	}
	both.Wait()
	if len(made) != 1 || len(refused) != 1 || !strings.Contains(refused[0], "is being prepared") {
		t.Fatalf("%+v, %q", made, refused)
	}
	if err := s.f.Policies().Abandon(s.ctx, made[0].Number, "reverted while it was being prepared"); err != nil {
		t.Fatal(err)
	}
	s.f.Gatherers[3].Process().Continue()
	s.until("all hold what was there before", func(now *policyapi.Status) bool {
		return now.AppliedEverywhere && now.Record.Epoch == st.Record.Epoch && now.Record.LastEnded == made[0].Number && len(now.Members) == 4 && now.Members[3].State == policy.StateApplied
	})
	s.end()
}

// TestTightened: an index becomes once-only and the budget of further calls goes to nothing while servers are slow, calls
// are in flight, clients repeat and one gatherer starts anew each second; and back again. While it holds no part of a
// lookup taken then is called again where its first call may have run.
func TestTightened(t *testing.T) {
	t.Parallel()
	terms := three
	terms.Floor = "no-copies\nindex any once-only least 75%\nfurther share 0% free 0\ncold 20%\n"
	s := begin(t, 4, 80, terms)
	for _, name := range []string{"s1", "s2", "s5"} {
		s.f.Servers[name].Slow(30)
	}
	// Connections are reset under calls again and again: what was out on them may have run.
	resetting, calm := context.WithCancel(s.ctx)
	var resets sync.WaitGroup
	cycles := make(chan struct{})
	resets.Go(func() {
		for {
			for _, k := range s.f.Links("g*:s*") {
				k.Reset()
			}
			select {
			case <-resetting.Done():
				return
			case cycles <- struct{}{}:
			case <-time.After(400 * time.Millisecond):
			}
		}
	})
	defer func() { calm(); resets.Wait() }()
	for range 12 {
		<-cycles
		s.served(15)
	}
	flapping, enough := context.WithCancel(s.ctx)
	var flaps sync.WaitGroup
	defer func() { enough(); flaps.Wait() }()
	flaps.Go(func() {
		g := s.f.Gatherers[3]
		for flapping.Err() == nil {
			g.Kill()
			if err := g.Start(s.ctx); err != nil {
				t.Error(err)
				return
			}
			select {
			case <-flapping.Done():
			case <-time.After(time.Second):
			}
		}
	})
	s.everywhere(s.propose("index any once-only\nfurther share 0% free 0\ncold 50%\n"))
	from := float64(time.Now().UnixMilli())
	s.served(150)
	to := float64(time.Now().UnixMilli())
	s.everywhere(s.propose("no-copies\n"))
	loose := float64(time.Now().UnixMilli())
	s.served(150)
	enough()
	flaps.Wait()
	calm()
	resets.Wait()
	s.end()
	sends, err := s.f.Sends()
	if err != nil {
		t.Fatal(err)
	}
	before, after, during := 0, 0, 0
	for _, e := range sends {
		switch {
		case e.Index != "any":
		case e.At < from && e.Again:
			before++
		case e.Taken > from && e.At < to:
			during++
			if e.Again {
				t.Errorf("%s called a part of %s again while the index was once-only, %.0f ms after its lookup was taken", e.Gatherer, e.Index, e.At-e.Taken)
			}
		case e.Taken > loose && e.Again:
			after++
		}
	}
	t.Logf("called again: %d before, %d after; %d calls meanwhile", before, after, during)
	if before == 0 || during < 100 {
		t.Errorf("called again %d times before, %d calls meanwhile: it shows nothing", before, during)
	}
}

// TestOlder: a gatherer of an older version, that does not know a kind, is named, and the change holds nowhere; once it is
// forgotten the change can be made, and it is not taken in again.
func TestOlder(t *testing.T) {
	t.Parallel()
	s := begin(t, 2, 20, three)
	leader := s.f.Leader(s.ctx)
	poll := func() *policy.Update {
		heartbeat := policy.Heartbeat{
			Member: policy.Member{
				Name:       "old",
				Fallback:   s.parse(floorText),
				KnownKinds: []policy.Kind{policy.Closed, policy.NoHedging},
			},
			Incarnation: "1",
		}
		e := policyapi.Endpoint{Method: http.MethodPost, Address: leader.HTTP, Path: policyapi.PollPath}
		request := policyapi.PollRequest{Format: policyapi.Format, Heartbeat: heartbeat}
		r, err := policyapi.Call(s.ctx, http.DefaultClient, e, request, policyapi.ReadPollResponse)
		if err != nil || r.Update == nil {
			t.Fatalf("%v, %+v", err, r)
		}
		return r.Update
	}
	if u := poll(); u.Lease == 0 {
		t.Errorf("%+v", u)
	}
	text := "turns s4 50%\n"
	if _, err := s.f.Policies().Propose(s.ctx, policyclient.Proposal{Policy: s.parse(text)}); err == nil || !strings.Contains(err.Error(), "old does not know the kind turns; it is of an older version") {
		t.Errorf("%v", err)
	}
	if err := s.f.Policies().Forget(s.ctx, "old"); err != nil {
		t.Fatal(err)
	}
	s.everywhere(s.propose(text))
	if u := poll(); u.Lease != 0 || !strings.Contains(u.RefusalReason, "does not know the kind turns") {
		t.Errorf("%+v", u)
	}
	s.served(20)
	s.end()
}

// TestStewardsGone: with two of three stewards gone nothing is decided and lookups go on; a change that was begun is
// ended once they are back. With all gone for longer than a lease, gatherers act within their floor and go on serving,
// also those that start then with a torn or old state or none. A steward with a disk of long ago does not serve.
func TestStewardsGone(t *testing.T) {
	s := begin(t, 4, 60, three)
	w := s.f.Stewards
	s.everywhere(s.propose("close zone north host s1\n"))
	s.from = float64(time.Now().UnixMilli())
	s.served(20)
	leader := s.f.Leader(s.ctx)
	if err := s.f.Gatherers[3].Process().Stop(s.ctx); err != nil { // so that the change is not decided at once
		t.Fatal(err)
	}
	second := s.propose("close zone south host s3\n")
	var others []*processtest.Steward
	for _, one := range w {
		if one != leader {
			others = append(others, one)
			one.Process().Kill()
		}
	}
	old := filepath.Join(t.TempDir(), "old")
	if err := others[0].Copy(old); err != nil {
		t.Fatal(err)
	}
	s.f.Gatherers[3].Process().Continue()
	ctx, cancel := context.WithTimeout(s.ctx, 6*time.Second)
	if _, err := s.f.Policies().Status(ctx); err == nil {
		t.Error("a steward alone of three says that it leads")
	}
	cancel()
	s.served(20)
	leader.Process().Kill()
	for i, state := range []string{"torn", "gone", "stale"} {
		g := s.f.Gatherers[i]
		g.Kill()
		if err := g.Age(state); err != nil {
			t.Fatal(err)
		}
		if err := g.Start(s.ctx); err != nil {
			t.Fatal(err)
		}
	}
	s.served(50) // within their floors
	for _, one := range w {
		if err := one.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.f.Led(s.ctx); err != nil {
		t.Fatal(err)
	}
	s.everywhere(second)
	s.served(20)
	// The disk as it was, after the steward has voted since: the others know.
	others[0].Process().Kill()
	if err := others[0].Paste(old); err != nil {
		t.Fatal(err)
	}
	if err := others[0].Start(); err != nil {
		t.Fatal(err)
	}
	p := others[0].Process()
	p.ExpectExit()
	if err := p.Wait(s.ctx); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(p.Log(), "the disk is older than this steward") {
		t.Errorf("%v: %s", p.Err(), p.Log())
	}
	s.everywhere(s.propose("close zone south host s3\nno-copies\n")) // two of three go on
	s.end([2]string{"s3", "s1"})
}

// TestSplit: the fleet is cut in two, with the steward that leads and some gatherers on one side, and two stewards and
// the rest on the other. The side that can decide decides; the other acts within its floor, and comes after.
func TestSplit(t *testing.T) {
	t.Parallel()
	s := begin(t, 6, 60, three)
	s.everywhere(s.propose("close zone north host s1\n"))
	s.from = float64(time.Now().UnixMilli())
	s.served(20)
	leader := s.f.Leader(s.ctx)
	if err := leader.Isolate(false); err != nil {
		t.Fatal(err)
	}
	for _, w := range s.f.Stewards {
		for i, g := range s.f.Gatherers {
			if (w == leader) != (i < 2) {
				k := s.f.Link(g.Name + ":" + w.Name)
				k.Change(func(w *processtest.Weather) { w.Silent = [2]bool{i%2 == 0, true} }) // some hear, and are not heard
			}
		}
	}
	if err := process.WaitUntil(s.ctx, "another leads", func() bool { now := s.f.Leader(s.ctx); return now != nil && now != leader }); err != nil {
		t.Fatal(err)
	}
	second := s.propose("close zone south host s3\n")
	s.everywhere(second)
	s.served(30)
	if err := s.f.MendStewards(); err != nil {
		t.Fatal(err)
	}
	s.until("all hold the second change", func(st *policyapi.Status) bool {
		for _, one := range st.Members {
			if one.State != policy.StateApplied || one.Applied.Epoch != second.Number {
				return false
			}
		}
		return len(st.Members) == 6
	})
	s.served(20)
	s.end([2]string{"s3", "s1"})
}

// TestLinearizable: what several operators propose and read of the record at once, while stewards are killed, stopped and
// cut off, is as if it had happened one after the other.
func TestLinearizable(t *testing.T) {
	t.Parallel()
	s := begin(t, 2, 10, processtest.StewardTerms{Count: 3, Lease: 3000, Limit: 5000, Beat: 50})
	type input struct {
		read bool
		base uint64
		id   string
	}
	type output struct {
		last    uint64 // of a read, or the number that a proposal got; 0 where it was refused
		unknown bool
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	working, enough := context.WithCancel(s.ctx)
	var wait sync.WaitGroup
	for client := range 3 {
		wait.Go(func() {
			for n := 0; working.Err() == nil; n++ {
				ctx, cancel := context.WithTimeout(working, 12*time.Second)
				in, out := input{read: n%2 == 0, id: fmt.Sprintf("%d-%d", client, n)}, output{}
				call := time.Since(began).Nanoseconds()
				st, err := s.f.Policies().Status(ctx)
				if in.read {
					if err == nil {
						out.last = st.Record.LastEnded
						if st.Record.Pending != nil {
							out.last++
						}
					} else {
						out.unknown = true
					}
				} else if err == nil {
					call = time.Since(began).Nanoseconds()
					in.base = st.Record.Epoch
					p := policy.Policy{{Kind: policy.HostWeight, Subject: in.id, Value: 0.5}}
					var c *policy.Change
					c, err = s.f.Policies().Propose(ctx, policyclient.Proposal{ID: in.id, Base: in.base, Policy: p})
					var refusal policy.RejectedError
					switch {
					case err == nil:
						out.last = c.Number
					case !errors.As(err, &refusal):
						out.unknown = true
					}
				} else {
					cancel()
					continue
				}
				cancel()
				end := time.Since(began).Nanoseconds()
				if out.unknown && in.read {
					continue // it says nothing
				}
				if out.unknown { // it may have come to be, or may yet
					end = int64(time.Hour)
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: end})
				mu.Unlock()
			}
		})
	}
	for i := range 4 {
		leader := s.f.Leader(s.ctx)
		if leader == nil {
			leader = s.f.Stewards[i%3]
		}
		count := func() int { mu.Lock(); defer mu.Unlock(); return len(history) }
		at := count()
		switch i % 3 {
		case 0:
			leader.Process().Kill()
		case 1:
			if err := leader.Process().Stop(s.ctx); err != nil {
				t.Fatal(err)
			}
		case 2:
			if err := leader.Isolate(true); err != nil {
				t.Fatal(err)
			}
		}
		if err := process.WaitUntil(s.ctx, "the others go on", func() bool { return count() >= at+12 }); err != nil {
			t.Fatal(err)
		}
		switch i % 3 {
		case 0:
			if err := leader.Start(); err != nil {
				t.Fatal(err)
			}
		case 1:
			leader.Process().Continue()
		case 2:
			if err := s.f.MendStewards(); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.f.Led(s.ctx); err != nil {
			t.Fatal(err)
		}
	}
	made := func() (n int) {
		mu.Lock()
		defer mu.Unlock()
		for _, o := range history {
			if !o.Input.(input).read && o.Output.(output).last > 0 {
				n++
			}
		}
		return n
	}
	if err := process.WaitUntil(s.ctx, "some changes were made", func() bool { return made() >= 4 }); err != nil {
		t.Fatal(err)
	}
	enough()
	wait.Wait()
	// The state is the highest number that was given out. A number is given once, and each read sees all given before.
	model := porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, in, out any) (bool, any) {
			last, i, o := state.(uint64), in.(input), out.(output)
			switch {
			case i.read:
				return o.last == last, last
			case o.unknown:
				return true, last // as if it had not come to be; that it may have is left to the next
			case o.last == 0:
				return true, last
			}
			return o.last == last+1, o.last
		},
	}
	known := slices.DeleteFunc(slices.Clone(history), func(o porcupine.Operation) bool { return o.Output.(output).unknown })
	open := len(history) - len(known)
	if open > 0 { // one whose end is not known may have taken the next number at any time after its call
		model.Step = func(state, in, out any) (bool, any) {
			last, i, o := state.(uint64), in.(input), out.(output)
			switch {
			case i.read:
				return o.last >= last && o.last <= last+uint64(open), max(o.last, last)
			case o.last == 0:
				return true, last
			}
			return o.last > last && o.last <= last+1+uint64(open), o.last
		}
	}
	if result, _ := porcupine.CheckOperationsVerbose(model, known, 60*time.Second); result != porcupine.Ok {
		t.Errorf("%d operations, %d of unknown ends: %v", len(history), open, result)
	}
	t.Logf("%d operations, %d changes, %d of unknown ends", len(history), made(), open)
	s.end()
}
