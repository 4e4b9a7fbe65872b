package service

import (
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"yokeroute/internal/control/segments"
	"yokeroute/internal/pcg"
	standin "yokeroute/internal/testbed/standin/segmentserver"
	"yokeroute/logic/ownership"
)

// moving is how long segments move under load; CI's few seconds are enough for some dozens of hand-overs.
var (
	moveDuration = flag.Duration("moving", 4*time.Second, "how long segments move under load")
	noMoves      = flag.Bool("still", false, "nothing moves, to compare with")
)

// TestSegmentsMoveWithoutDuplicates moves segments all the time under load: splits, merges and moves, some undone
// halfway, with hosts cut off from the authority, killed, and answers lost. No claim runs twice, none that was
// rejected has run, no key is given twice, histories of claims are linearizable, and complete answers cover each key
// once.
func TestSegmentsMoveWithoutDuplicates(t *testing.T) {
	logs := &standin.SegmentLogs{}
	f := startSegmentFleet(t, 6, 2, logs, "")
	for _, a := range f.addresses {
		f.awaitReady(a)
	}
	startedAt := time.Now()
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
					a := sendOwned(address, "find", id, []int{0, 1, 2, 3}, "read")
					mu.Lock()
					counts[fmt.Sprint("find ", a.status, " ", a.Complete)]++
					if a.status == http.StatusOK && a.Complete {
						if err := a.checkCoverage([]int{0, 1, 2, 3}); err != nil {
							wrong = append(wrong, fmt.Sprintf("%s: %v", id, err))
						}
					}
					mu.Unlock()
					continue
				}
				key := uint64(chance.Uint32()%64) << 58 // of 64 keys, so that claims meet
				key += uint64(n / 40)                   // and of others later on
				op := claim(address, id, key, startedAt)
				op.ClientId = client
				mu.Lock()
				counts["claim "+op.Output.(string)]++
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	moves, undone := 0, 0
	if *noMoves {
		time.Sleep(*moveDuration)
	} else {
		moves, undone = f.disturb(startedAt)
	}
	close(stop)
	wait.Wait()
	if !*noMoves && (moves < 15 || undone < 2) {
		t.Errorf("%d hand-overs, %d undone", moves, undone)
	}
	for _, w := range wrong {
		t.Error(w)
	}
	ran := logs.Executions()
	checkHistory(t, ran, history)
	if counts["claim lost"] > 0 {
		t.Errorf("%d claims were answered whole by nobody who has their key", counts["claim lost"])
	}
	if counts["claim given"] < 50 || counts["find 200 true"] < 30 {
		t.Errorf("%v", counts)
	}
	t.Logf("%d hand-overs, %d undone, %d claims ran, %v", moves, undone, len(ran), counts)
}

// disturb hands segments over, with faults, until the time is up.
func (f *segmentFleet) disturb(startedAt time.Time) (moves, undone int) {
	chance := pcg.New(7)
	draw := func(n int) int { return int(chance.Uint32() % uint32(n)) }
	name := 0
	var cut, killed *standin.Host
	for time.Since(startedAt) < *moveDuration {
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
				err = errRevert
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

// TestPartitionedOwnerDoesNotRunClaimsForMovedSegment: an owner that is cut off still believes it owns; a gatherer with the old map
// goes on asking it. With the fence nothing runs there; without it a key is given twice, which this test sees.
func TestPartitionedOwnerDoesNotRunClaimsForMovedSegment(t *testing.T) {
	for _, unfenced := range []bool{false, true} {
		logs := &standin.SegmentLogs{WithoutFencing: unfenced}
		f := startSegmentFleet(t, 3, 2, logs, "")
		for _, a := range f.addresses {
			f.awaitReady(a)
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
		startedAt := time.Now()
		old := claim(f.addresses[1], "late", 5, startedAt)
		f.authority.SetSilent(false)
		f.awaitReady(f.addresses[0])
		for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			op := claim(f.addresses[0], fmt.Sprint("new-", time.Now().UnixNano()), 5, startedAt)
			if op.Output == "given" || !unfenced && op.Output == "held" {
				break
			}
		}
		twice := findDuplicates(logs.Executions())
		if !unfenced && (len(twice) > 0 || old.Output == "given") {
			t.Errorf("%v, the old owner's answer was %v", twice, old.Output)
		}
		if unfenced && len(twice) == 0 {
			t.Errorf("without a fence nothing was given twice: this test sees nothing; the old owner's answer was %v", old.Output)
		}
	}
}

// TestRestartWithStaleMapRunsNoClaimTwice: a gatherer that restarts with a map three epochs old, while the authority
// is silent, runs nothing at those who own its keys no longer; it serves again when the authority does. A once-only
// lookup that may have run before the crash is aborted when its client asks again.
func TestRestartWithStaleMapRunsNoClaimTwice(t *testing.T) {
	logs, dir := &standin.SegmentLogs{}, t.TempDir()
	f := startSegmentFleet(t, 4, 1, logs, dir)
	f.awaitReady(f.addresses[0])
	startedAt := time.Now()
	if op := claim(f.addresses[0], "before", 7, startedAt); op.Output != "given" {
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
	f.addGatherer(9, dir)
	address := f.addresses[1]
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) { // until it has a list
		id := fmt.Sprint("x", time.Now().UnixNano())
		if a := sendOwned(address, "find", id, []int{2}, "read"); a.status == http.StatusOK {
			break
		}
		if time.Now().After(until) {
			t.Fatal("segments that have not moved are not served")
		}
	}
	if a := sendOwned(address, "find", "all", []int{0, 1, 2, 3}, "read"); a.status == http.StatusOK && a.Complete {
		t.Error("whole by a map three epochs old")
	}
	if op := claim(address, "stale", 8, startedAt); op.Output != "never" {
		t.Errorf("a claim by a map three epochs old: %v", op.Output)
	}
	if op := claim(address, "before", 7, startedAt); op.Output != "unknown" {
		t.Errorf("a once-only lookup asked again after the crash: %v", op.Output)
	}
	f.authority.SetSilent(false)
	f.awaitReady(address)
	if op := claim(address, "after", 8, startedAt); op.Output != "given" {
		t.Errorf("%v", op.Output)
	}
	if twice := findDuplicates(logs.Executions()); len(twice) > 0 {
		t.Error(twice)
	}
}

// TestContradictingAuthorityStopsNonIdempotentQueries: an authority tells one gatherer of a change that never was, and
// later of another one in the same epoch. Non-idempotent queries stop when that comes to light, reads go on, and all go on
// with a later epoch. News that makes no sense changes nothing.
func TestContradictingAuthorityStopsNonIdempotentQueries(t *testing.T) {
	f := startSegmentFleet(t, 3, 1, &standin.SegmentLogs{}, "")
	f.awaitReady(f.addresses[0])
	startedAt := time.Now()
	n := 0
	try := func(key uint64, want string) {
		t.Helper()
		for until := time.Now().Add(8 * time.Second); time.Now().Before(until); {
			if n++; claim(f.addresses[0], fmt.Sprint("l", n), key+uint64(n), startedAt).Output == want {
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
	if a := sendOwned(f.addresses[0], "find", "r", []int{1}, "read"); a.status != http.StatusOK || !a.Complete {
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
