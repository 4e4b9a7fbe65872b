package service

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sirupsen/logrus"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/control/segments"
	"yokeroute/internal/pcg"
	"yokeroute/internal/testbed/standin/discoveryserver"
	standin "yokeroute/internal/testbed/standin/segmentserver"
	"yokeroute/logic/ownership"
)

// moving is how long segments move under load; CI's few seconds are enough for some dozens of hand-overs.
var (
	moving = flag.Duration("moving", 4*time.Second, "how long segments move under load")
	still  = flag.Bool("still", false, "nothing moves, to compare with")
)

const ownedSettings = `{"tick":5000,"balancers":1,"myNumber":0,"zone":"a","discovery":"pushed",
 "classes":[{"name":"find","effect":"pure","goalTime":400000,"hardLimit":1500000,"lateValue":0.1},{"name":"claim","effect":"side_effect","goalTime":400000,"hardLimit":1500000}],
 "domain":{"cells":1,"inARow":1,"shards":4,"partsACall":16,"completeFrom":[1,1],"classFloor":[1,1]},
 "limits":{"cancel":true,"connectTimeout":250000,"idleClose":15000000,"streamsPerConn":1000,"attemptsCap":4,"secondCopies":true,"retryAfter":true,"maxRetryAfter":1000000},
 "rules":{"budgetShare":0.1,"extraFloor":20,"resendSpan":1000000,"drainGrace":250000,"answerSlack":20000}}`

// farm is hosts with their authority and discovery, and gatherers before them.
type farm struct {
	t         *testing.T
	hosts     []*standin.Host
	authority *standin.Authority
	directory *discoveryserver.Server
	addresses []string
	stops     []func()
}

// start starts so many hosts, which own four segments at first, two each.
func startFarm(t *testing.T, hosts, gatherers int, logs *standin.SegmentLogs, state string) *farm {
	t.Helper()
	f := &farm{t: t}
	var members []discoveryserver.Member
	for i := range hosts {
		h, err := standin.NewHost(fmt.Sprint("h", i), logs, 3*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(h.Close)
		f.hosts = append(f.hosts, h)
		members = append(members, discoveryserver.Member{ID: h.Name, HostPort: h.Address(), Zone: "a", Phase: "in_service", Size: 1})
	}
	var list []ownership.Segment
	for i := range 4 {
		list = append(list, ownership.Segment{Name: fmt.Sprint("s", i), Range: ownership.ShardRange(i, 4), Owners: []string{f.hosts[i%hosts].Name, f.hosts[(i+1)%hosts].Name}})
	}
	first, err := ownership.NewMap(1, list)
	if err != nil {
		t.Fatal(err)
	}
	if f.authority, err = standin.StartAuthority(first, f.hosts, logs); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.authority.Close)
	if f.directory, err = discoveryserver.Start(members); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.directory.Close)
	for i := range gatherers {
		f.gatherer(uint64(i+1), state)
	}
	return f
}

// gatherer starts one more and waits until it answers a whole lookup.
func (f *farm) gatherer(seed uint64, state string) (stop func()) {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	c, err := platform.Parse([]byte(fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"%x","settings":%s}`, l.Addr(), f.directory.Address(), seed, ownedSettings)), func(string) string { return "" })
	if err != nil {
		f.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	own := &operator.File{BackgroundShare: 0.05, MaxSegments: 256, SegmentAuthority: f.authority.Address()}
	if state != "" {
		own.State, own.NameRetention, own.JournalMaxBytes = state, 60_000, 1<<20
	}
	s, err := New(c, own, log)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, l) }()
	once := sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Error(err)
		}
	})
	f.t.Cleanup(once)
	f.addresses = append(f.addresses, l.Addr().String())
	f.stops = append(f.stops, once)
	return once
}

// ready waits until a gatherer answers a whole lookup.
func (f *farm) ready(address string) {
	f.t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); {
		if a := ask(address, "find", fmt.Sprint("ready-", time.Now().UnixNano()), []int{0, 1, 2, 3}, "read"); a.status == http.StatusOK {
			return
		}
	}
	f.t.Fatal("the gatherer is never ready")
}

type answer struct {
	status   int
	Complete bool
	Hits     []struct {
		Shard int
		Keys  string
		Doc   string
	}
}

// ask sends a lookup and gives its answer; status 0 is none.
func ask(address, index, id string, shards []int, text string) (a answer) {
	var body strings.Builder
	for i, s := range shards {
		fmt.Fprintf(&body, `%.*s{"shard":%d,"weight":%.6f}`, min(i, 1), ",", s, 1/float64(len(shards)))
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+index, strings.NewReader(fmt.Sprintf(`{"shards":[%s],"q":%q}`, body.String(), text)))
	if err != nil {
		return a
	}
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Timeout-Ms", "1500")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	all, err := io.ReadAll(resp.Body)
	if err != nil {
		return a
	}
	a.status = resp.StatusCode
	if a.status == http.StatusOK && json.Unmarshal(all, &a) != nil {
		a.status = 0
	}
	return a
}

// reads checks that a whole answer covers all keys of its shards, each once, as its documents tell.
func (a *answer) reads(shards []int) error {
	var got []ownership.Range
	for _, h := range a.Hits {
		r, err := ownership.ParseRange(strings.Fields(h.Doc)[0])
		if err != nil {
			return err
		}
		got = append(got, r)
	}
	slices.SortFunc(got, func(x, y ownership.Range) int {
		if x.Lo < y.Lo {
			return -1
		}
		return 1
	})
	for i, s := range shards {
		want := ownership.ShardRange(s, 4)
		for from := want.Lo; ; {
			if len(got) == 0 || got[0].Lo != from || got[0].Hi > want.Hi {
				return fmt.Errorf("shard %d of %d: what was read is not all of %s, once", s, i, want.Text())
			}
			hi := got[0].Hi
			if got = got[1:]; hi == want.Hi {
				break
			}
			from = hi + 1
		}
	}
	if len(got) > 0 {
		return fmt.Errorf("%d documents too many", len(got))
	}
	return nil
}

// claimInput and claimOutput are an operation on one key, for the check of histories.
type claimInput struct {
	key uint64
	who string
}

var claims = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[uint64][]porcupine.Operation{}
		var keys []uint64
		for _, op := range history {
			k := op.Input.(claimInput).key
			if byKey[k] == nil {
				keys = append(keys, k)
			}
			byKey[k] = append(byKey[k], op)
		}
		var parts [][]porcupine.Operation
		for _, k := range keys {
			parts = append(parts, byKey[k])
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		has, who := state.(string), input.(claimInput).who
		switch output.(string) {
		case "given":
			return has == "", who
		case "held":
			return has != "", has
		case "never": // nacked: it had no effect
			return true, has
		}
		if has == "" { // aborted, or no answer: it may have had its effect, or not; if not it may be put last
			return true, who
		}
		return true, has
	},
}

// outcome is what a claim's client learnt.
func outcome(a answer) string {
	switch a.status {
	case http.StatusOK:
		for _, h := range a.Hits {
			if h.Doc == "given" || h.Doc == "held" {
				return h.Doc
			}
		}
		return "lost"
	case http.StatusServiceUnavailable:
		return "never"
	}
	return "unknown"
}

// claim makes one claim and records it.
func claim(address, id string, key uint64, began time.Time) porcupine.Operation {
	shard := 0
	for ownership.ShardRange(shard, 4).Hi < key {
		shard++
	}
	op := porcupine.Operation{Input: claimInput{key, id}, Call: time.Since(began).Nanoseconds()}
	got := outcome(ask(address, "claim", id, []int{shard}, fmt.Sprintf("claim %016x %s", key, id)))
	op.Output, op.Return = got, time.Since(began).Nanoseconds()
	return op
}

// TestMoving moves segments all the time under load: splits, merges and moves, some undone halfway, with hosts cut off
// from the authority, killed, and answers lost. No claim runs twice, none that was nacked has run, no key is given
// twice, histories of claims are linearizable, and whole answers cover each key once.
func TestMoving(t *testing.T) {
	logs := &standin.SegmentLogs{}
	f := startFarm(t, 6, 2, logs, "")
	for _, a := range f.addresses {
		f.ready(a)
	}
	began := time.Now()
	stop := make(chan bool)
	var mu sync.Mutex
	var history []porcupine.Operation
	var wait sync.WaitGroup
	counts := map[string]int{}
	var wrong []string
	for client := range 12 {
		chance := pcg.New(uint64(client) + 100)
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				address := f.addresses[int(chance.Uint32())%2]
				id := fmt.Sprintf("c%d-%d", client, n)
				if client%3 == 0 {
					a := ask(address, "find", id, []int{0, 1, 2, 3}, "read")
					mu.Lock()
					counts[fmt.Sprint("find ", a.status, " ", a.Complete)]++
					if a.status == http.StatusOK && a.Complete {
						if err := a.reads([]int{0, 1, 2, 3}); err != nil {
							wrong = append(wrong, fmt.Sprintf("%s: %v", id, err))
						}
					}
					mu.Unlock()
					continue
				}
				key := uint64(chance.Uint32()%64) << 58 // of 64 keys, so that claims meet
				key += uint64(n / 40)                   // and of others later on
				op := claim(address, id, key, began)
				op.ClientId = client
				mu.Lock()
				counts["claim "+op.Output.(string)]++
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	moves, undone := 0, 0
	if *still {
		time.Sleep(*moving)
	} else {
		moves, undone = f.disturb(began)
	}
	close(stop)
	wait.Wait()
	if !*still && (moves < 15 || undone < 2) {
		t.Errorf("%d hand-overs, %d undone", moves, undone)
	}
	for _, w := range wrong {
		t.Error(w)
	}
	ran := logs.Executions()
	check(t, ran, history)
	if counts["claim lost"] > 0 {
		t.Errorf("%d claims were answered whole by nobody who has their key", counts["claim lost"])
	}
	if counts["claim given"] < 50 || counts["find 200 true"] < 30 {
		t.Errorf("%v", counts)
	}
	t.Logf("%d hand-overs, %d undone, %d claims ran, %v", moves, undone, len(ran), counts)
}

// disturb hands segments over, with faults, until the time is up.
func (f *farm) disturb(began time.Time) (moves, undone int) {
	chance := pcg.New(7)
	draw := func(n int) int { return int(chance.Uint32() % uint32(n)) }
	name := 0
	var cut, killed *standin.Host
	for time.Since(began) < *moving {
		m := f.authority.Map()
		i := draw(len(m.Segments))
		s := m.Segments[i]
		name++
		var c ownership.Change
		var err error
		switch kind := draw(3); {
		case kind == 0 && len(m.Segments) < 12:
			c, err = m.SplitSegment(s.Name, s.Lo+(s.Hi-s.Lo)/2, fmt.Sprint("n", name, "a"), fmt.Sprint("n", name, "b"))
		case kind == 1 && i+1 < len(m.Segments) && len(m.Segments) > 4:
			c, err = m.MergeSegments(s.Name, m.Segments[i+1].Name, fmt.Sprint("n", name))
		default:
			to := f.hosts[draw(len(f.hosts))]
			c, err = m.MoveSegment(s.Name, []string{to.Name, f.hosts[draw(len(f.hosts))].Name})
		}
		if err != nil {
			continue
		}
		switch draw(6) {
		case 0:
			if cut == nil {
				cut = f.hosts[draw(len(f.hosts))]
				cut.SetAuthorityDisconnected(true)
			} else {
				cut.SetAuthorityDisconnected(false)
				cut = nil
			}
		case 1:
			if killed == nil {
				killed = f.hosts[draw(len(f.hosts))]
				killed.Kill()
			} else {
				if err := killed.Restart(); err != nil {
					f.t.Error(err)
				}
				killed = nil
			}
		case 2:
			f.hosts[draw(len(f.hosts))].DropAnswers(1 + draw(3))
		}
		h := ownership.NewHandover(m, c)
		for step := ownership.Fence; step <= ownership.Done; step++ { // a step at a time, with calls in between
			if err = f.authority.RunUntil(&h, step); err != nil {
				break
			}
			time.Sleep(time.Duration(1+draw(8)) * time.Millisecond)
			if step == ownership.Publish && draw(5) == 0 { // before it is published
				err = errUndo
				break
			}
		}
		if err != nil && h.Step <= ownership.Publish {
			for f.authority.Revert(&h) != nil { // until those who had the segments can be reached again
				if cut != nil {
					cut.SetAuthorityDisconnected(false)
					cut = nil
				}
				if killed != nil {
					if err := killed.Restart(); err != nil {
						f.t.Error(err)
					}
					killed = nil
				}
			}
			undone++
			continue
		}
		moves++
		time.Sleep(time.Duration(20+draw(60)) * time.Millisecond)
	}
	if killed != nil {
		killed.Restart()
	}
	return moves, undone
}

var errUndo = fmt.Errorf("undone")

// check holds what ran against what clients learnt.
func check(t *testing.T, ran []standin.Execution, history []porcupine.Operation) {
	t.Helper()
	if twice := duplicates(ran); len(twice) > 0 {
		t.Errorf("%d claims ran, or keys were given, twice: %v", len(twice), twice[:min(len(twice), 5)])
	}
	by := map[string]bool{}
	for _, r := range ran {
		by[r.Claimant] = true
	}
	for _, op := range history {
		if who := op.Input.(claimInput).who; op.Output == "never" && by[who] {
			t.Errorf("%s was nacked and has run", who)
		}
	}
	// A claim whose end is not known may take effect at any time later.
	for i := range history {
		if history[i].Output == "unknown" {
			history[i].Return = 1 << 62
		}
	}
	if result, _ := porcupine.CheckOperationsVerbose(claims, history, 20*time.Second); result != porcupine.Ok {
		t.Errorf("the history of %d claims is not linearizable: %v", len(history), result)
	}
}

// duplicates are claims that ran twice and keys that were given twice.
func duplicates(ran []standin.Execution) (twice []string) {
	claims, keys := map[string]int{}, map[uint64]string{}
	for _, r := range ran {
		if claims[r.Claimant]++; claims[r.Claimant] > 1 {
			twice = append(twice, fmt.Sprintf("%s ran %d times", r.Claimant, claims[r.Claimant]))
		}
		if r.Granted {
			if first := keys[r.Key]; first != "" {
				twice = append(twice, fmt.Sprintf("key %016x to %s and to %s at %s", r.Key, first, r.Claimant, r.Host))
			}
			keys[r.Key] = r.Claimant
		}
	}
	return twice
}

// TestCutOffOwner: an owner that is cut off still believes it owns; a gatherer with the old map goes on asking it. With
// the fence nothing runs there; without it a key is given twice, which this test sees.
func TestCutOffOwner(t *testing.T) {
	for _, unfenced := range []bool{false, true} {
		logs := &standin.SegmentLogs{WithoutFencing: unfenced}
		f := startFarm(t, 3, 2, logs, "")
		for _, a := range f.addresses {
			f.ready(a)
		}
		// The second gatherer hears of nothing any more.
		f.authority.SetSilent(true)
		f.hosts[0].SetAuthorityDisconnected(true)
		m := f.authority.Map()
		c, err := m.MoveSegment("s0", []string{"h2"})
		if err != nil {
			t.Fatal(err)
		}
		h := ownership.NewHandover(m, c)
		if err := f.authority.RunUntil(&h, ownership.Done); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		old := claim(f.addresses[1], "late", 5, began)
		f.authority.SetSilent(false)
		f.ready(f.addresses[0])
		for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			if op := claim(f.addresses[0], fmt.Sprint("new-", time.Now().UnixNano()), 5, began); op.Output == "given" || !unfenced && op.Output == "held" {
				break
			}
		}
		twice := duplicates(logs.Executions())
		if !unfenced && (len(twice) > 0 || old.Output == "given") {
			t.Errorf("%v, the old owner's answer was %v", twice, old.Output)
		}
		if unfenced && len(twice) == 0 {
			t.Errorf("without a fence nothing was given twice: this test sees nothing; the old owner's answer was %v", old.Output)
		}
	}
}

// TestOldMap: a gatherer that restarts with a map three epochs old, while the authority is silent, runs nothing at those
// who own its keys no longer; it serves again when the authority does. A once-only lookup that may have run before
// the crash is aborted when its client asks again.
func TestOldMap(t *testing.T) {
	logs, dir := &standin.SegmentLogs{}, t.TempDir()
	f := startFarm(t, 4, 1, logs, dir)
	f.ready(f.addresses[0])
	began := time.Now()
	if op := claim(f.addresses[0], "before", 7, began); op.Output != "given" {
		t.Fatalf("%v", op.Output)
	}
	f.stops[0]()
	f.authority.SetSilent(true)
	for i := range 3 { // to hosts that have none of it, one after the other
		m := f.authority.Map()
		c, err := m.MoveSegment("s0", []string{f.hosts[[]int{2, 3, 2}[i]].Name})
		if err != nil {
			t.Fatal(err)
		}
		h := ownership.NewHandover(m, c)
		if err := f.authority.RunUntil(&h, ownership.Done); err != nil {
			t.Fatal(err)
		}
	}
	f.gatherer(9, dir)
	address := f.addresses[1]
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) { // until it has a list
		if a := ask(address, "find", fmt.Sprint("x", time.Now().UnixNano()), []int{2}, "read"); a.status == http.StatusOK {
			break
		}
		if time.Now().After(until) {
			t.Fatal("segments that have not moved are not served")
		}
	}
	if a := ask(address, "find", "all", []int{0, 1, 2, 3}, "read"); a.status == http.StatusOK && a.Complete {
		t.Error("whole by a map three epochs old")
	}
	if op := claim(address, "stale", 8, began); op.Output != "never" {
		t.Errorf("a claim by a map three epochs old: %v", op.Output)
	}
	if op := claim(address, "before", 7, began); op.Output != "unknown" {
		t.Errorf("a once-only lookup asked again after the crash: %v", op.Output)
	}
	f.authority.SetSilent(false)
	f.ready(address)
	if op := claim(address, "after", 8, began); op.Output != "given" {
		t.Errorf("%v", op.Output)
	}
	if twice := duplicates(logs.Executions()); len(twice) > 0 {
		t.Error(twice)
	}
}

// TestLies: an authority tells one gatherer of a change that never was, and later of another one in the same epoch. Once-
// only lookups stop when that comes to light, reads go on, and all go on with a later epoch. News that makes no sense
// changes nothing.
func TestLies(t *testing.T) {
	f := startFarm(t, 3, 1, &standin.SegmentLogs{}, "")
	f.ready(f.addresses[0])
	began := time.Now()
	n := 0
	try := func(key uint64, want string) {
		t.Helper()
		for until := time.Now().Add(8 * time.Second); time.Now().Before(until); {
			if n++; claim(f.addresses[0], fmt.Sprint("l", n), key+uint64(n), began).Output == want {
				return
			}
		}
		t.Fatalf("no claim is ever %s", want)
	}
	m := f.authority.Map()
	lie, err := m.MoveSegment("s0", []string{"h2"})
	if err != nil {
		t.Fatal(err)
	}
	nonsense := lie
	nonsense.Checksum++
	tell := func(c ownership.Change) { // in place of the changes that there are; a whole map is told as it is
		f.authority.RewriteResponses(func(r *segments.Response) *segments.Response {
			if r.Full != nil {
				return r
			}
			return &segments.Response{Changes: []ownership.Change{c}}
		})
	}
	tell(nonsense)
	try(1, "given")
	tell(lie)
	try(1, "never") // the host that the lie names refuses
	c, err := m.MoveSegment("s3", []string{"h2"})
	if err != nil {
		t.Fatal(err)
	}
	h := ownership.NewHandover(m, c)
	if err := f.authority.RunUntil(&h, ownership.Done); err != nil {
		t.Fatal(err)
	}
	f.authority.RewriteResponses(nil)
	try(1, "never") // refused, and so the map is asked for whole
	other := ownership.ShardRange(1, 4).Lo
	try(other, "never") // of a segment of which no lie was told
	if a := ask(f.addresses[0], "find", "r", []int{1}, "read"); a.status != http.StatusOK || !a.Complete {
		t.Errorf("reads: %+v", a)
	}
	next := f.authority.Map()
	if c, err = next.MoveSegment("s3", []string{"h0"}); err != nil {
		t.Fatal(err)
	}
	h = ownership.NewHandover(next, c)
	if err := f.authority.RunUntil(&h, ownership.Done); err != nil {
		t.Fatal(err)
	}
	try(other, "given")
	try(1, "given")
}
