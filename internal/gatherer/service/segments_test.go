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

// A few seconds, as in CI, are enough for some dozens of handovers.
var (
	moveDuration = flag.Duration("moving", 4*time.Second, "how long segments move under load")
	noMoves      = flag.Bool("still", false, "no segment moves, as a baseline for comparison")
)

// TestSegmentsMoveWithoutDuplicates hands segments over continuously under load: splits, merges and moves, some
// reverted halfway, with hosts disconnected from the authority, hosts killed, and answers lost. No claim runs twice, no
// rejected claim runs, no key is given twice, the history of claims is linearizable, and complete answers cover each
// key once.
func TestSegmentsMoveWithoutDuplicates(t *testing.T) {
	logs := &standin.SegmentLogs{}
	f := startSegmentFleet(t, 6, 2, logs, "")
	for _, a := range f.addresses {
		f.awaitReady(a)
	}
	startedAt := time.Now()
	stopClients := make(chan bool)
	var mu sync.Mutex
	var history []porcupine.Operation
	var clients sync.WaitGroup
	counts := map[string]int{}
	var coverageErrors []string
	for client := range 12 {
		chance := pcg.New(uint64(client) + 100)
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stopClients:
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
							coverageErrors = append(coverageErrors, fmt.Sprintf("%s: %v", id, err))
						}
					}
					mu.Unlock()
					continue
				}
				// Claims collide on 64 keys. Every 40 operations a client moves on to new ones.
				key := uint64(chance.Uint32()%64) << 58
				key += uint64(n / 40)
				op := claim(address, id, key, startedAt)
				op.ClientId = client
				mu.Lock()
				counts["claim "+op.Output.(string)]++
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	moves, reverted := 0, 0
	if *noMoves {
		time.Sleep(*moveDuration)
	} else {
		moves, reverted = f.disturb(startedAt)
	}
	close(stopClients)
	clients.Wait()
	if !*noMoves && (moves < 15 || reverted < 2) {
		t.Errorf("%d handovers, %d reverted, want at least 15 and 2", moves, reverted)
	}
	for _, message := range coverageErrors {
		t.Error(message)
	}
	executions := logs.Executions()
	checkHistory(t, executions, history)
	if counts["claim lost"] > 0 {
		t.Errorf("%d claims got a complete answer that contains no result for the claimed key", counts["claim lost"])
	}
	if counts["claim given"] < 50 || counts["find 200 true"] < 30 {
		t.Errorf("too few claims given or complete reads: %v", counts)
	}
	t.Logf("%d handovers, %d reverted, %d claims executed, %v", moves, reverted, len(executions), counts)
}

// disturb hands segments over while it injects faults, until moveDuration has passed.
func (f *segmentFleet) disturb(startedAt time.Time) (moves, reverted int) {
	chance := pcg.New(7)
	draw := func(n int) int { return int(chance.Uint32() % uint32(n)) }
	serial := 0 // for the names of new segments
	var disconnected, killed *standin.Host
	for time.Since(startedAt) < *moveDuration {
		m := f.authority.Map()
		i := draw(len(m.Segments))
		s := m.Segments[i]
		serial++
		var c ownership.Change
		var err error
		switch kind := draw(3); {
		case kind == 0 && len(m.Segments) < 12:
			c, err = m.SplitSegment(s.Name, s.Lo+(s.Hi-s.Lo)/2, fmt.Sprint("n", serial, "a"), fmt.Sprint("n", serial, "b"))
		case kind == 1 && i+1 < len(m.Segments) && len(m.Segments) > 4:
			c, err = m.MergeSegments(s.Name, m.Segments[i+1].Name, fmt.Sprint("n", serial))
		default:
			to := f.hosts[draw(len(f.hosts))]
			c, err = m.MoveSegment(s.Name, []string{to.Name, f.hosts[draw(len(f.hosts))].Name})
		}
		if err != nil {
			continue
		}
		switch draw(6) {
		case 0:
			if disconnected == nil {
				disconnected = f.hosts[draw(len(f.hosts))]
				disconnected.SetAuthorityDisconnected(true)
			} else {
				disconnected.SetAuthorityDisconnected(false)
				disconnected = nil
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
		for step := ownership.Fence; step <= ownership.Done; step++ { // one step at a time, with calls in between
			if err = f.authority.RunUntil(&h, step); err != nil {
				break
			}
			time.Sleep(time.Duration(1+draw(8)) * time.Millisecond)
			if step == ownership.Publish && draw(5) == 0 { // not yet published: revert
				err = errRevert
				break
			}
		}
		if err != nil && h.Step <= ownership.Publish {
			for f.authority.Revert(&h) != nil { // until the previous owners can be reached again
				if disconnected != nil {
					disconnected.SetAuthorityDisconnected(false)
					disconnected = nil
				}
				if killed != nil {
					if err := killed.Restart(); err != nil {
						f.t.Error(err)
					}
					killed = nil
				}
			}
			reverted++
			continue
		}
		moves++
		time.Sleep(time.Duration(20+draw(60)) * time.Millisecond)
	}
	if killed != nil {
		killed.Restart()
	}
	return moves, reverted
}

// TestPartitionedOwnerDoesNotRunClaimsForMovedSegment disconnects an owner from the authority, so that it still
// considers itself the owner of a segment that has moved, and a gatherer with the old map keeps calling it. With
// fencing no claim runs there. Without fencing a key is given twice, which shows that the test detects the fault.
func TestPartitionedOwnerDoesNotRunClaimsForMovedSegment(t *testing.T) {
	for _, withoutFencing := range []bool{false, true} {
		logs := &standin.SegmentLogs{WithoutFencing: withoutFencing}
		f := startSegmentFleet(t, 3, 2, logs, "")
		for _, a := range f.addresses {
			f.awaitReady(a)
		}
		// The authority is silent, so that the second gatherer does not learn of the move.
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
		oldClaim := claim(f.addresses[1], "late", 5, startedAt)
		f.authority.SetSilent(false)
		f.awaitReady(f.addresses[0])
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
			op := claim(f.addresses[0], fmt.Sprint("new-", time.Now().UnixNano()), 5, startedAt)
			if op.Output == "given" || !withoutFencing && op.Output == "held" {
				break
			}
		}
		duplicates := findDuplicates(logs.Executions())
		if !withoutFencing && (len(duplicates) > 0 || oldClaim.Output == "given") {
			t.Errorf("duplicates %v, the old owner's answer was %v", duplicates, oldClaim.Output)
		}
		if withoutFencing && len(duplicates) == 0 {
			t.Errorf("without fencing no key was given twice, want a duplicate; the old owner's answer was %v", oldClaim.Output)
		}
	}
}

// TestRestartWithStaleMapRunsNoClaimTwice restarts a gatherer with a map that is three epochs old while the authority
// is silent. No claim runs at the previous owners, and the gatherer serves again when the authority responds. A
// non-idempotent query that may have run before the restart fails when its client retries it.
func TestRestartWithStaleMapRunsNoClaimTwice(t *testing.T) {
	logs, dir := &standin.SegmentLogs{}, t.TempDir()
	f := startSegmentFleet(t, 4, 1, logs, dir)
	f.awaitReady(f.addresses[0])
	startedAt := time.Now()
	if op := claim(f.addresses[0], "before", 7, startedAt); op.Output != "given" {
		t.Fatalf("the first claim: %v, want given", op.Output)
	}
	f.stops[0]()
	f.authority.SetSilent(true)
	for i := range 3 { // moves s0 to h2, h3 and h2 again, which do not own it then
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
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) { // until the gatherer has an endpoint list
		id := fmt.Sprint("x", time.Now().UnixNano())
		if a := sendOwned(address, "find", id, []int{2}, "read"); a.status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("segments that have not moved are not served within 5 s")
		}
	}
	if a := sendOwned(address, "find", "all", []int{0, 1, 2, 3}, "read"); a.status == http.StatusOK && a.Complete {
		t.Error("complete answer with a map three epochs old")
	}
	if op := claim(address, "stale", 8, startedAt); op.Output != "rejected" {
		t.Errorf("a claim with a map three epochs old: %v, want rejected", op.Output)
	}
	if op := claim(address, "before", 7, startedAt); op.Output != "unknown" {
		t.Errorf("a non-idempotent query retried after the restart: %v, want unknown", op.Output)
	}
	f.authority.SetSilent(false)
	f.awaitReady(address)
	if op := claim(address, "after", 8, startedAt); op.Output != "given" {
		t.Errorf("a claim after the authority responds again: %v, want given", op.Output)
	}
	if duplicates := findDuplicates(logs.Executions()); len(duplicates) > 0 {
		t.Error(duplicates)
	}
}

// TestNonIdempotentQueriesAreRejectedIfAuthorityContradictsItself has an authority send a gatherer a change that was
// never made, and later a different one of the same epoch. Non-idempotent queries are rejected once the contradiction
// is detected, reads are still served, and all queries are served again with a later epoch. A change with a wrong
// checksum is ignored.
func TestNonIdempotentQueriesAreRejectedIfAuthorityContradictsItself(t *testing.T) {
	f := startSegmentFleet(t, 3, 1, &standin.SegmentLogs{}, "")
	f.awaitReady(f.addresses[0])
	startedAt := time.Now()
	n := 0
	awaitOutcome := func(key uint64, want string) {
		t.Helper()
		for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); {
			if n++; claim(f.addresses[0], fmt.Sprint("l", n), key+uint64(n), startedAt).Output == want {
				return
			}
		}
		t.Fatalf("no claim had the outcome %q within 8 s", want)
	}
	m := f.authority.Map()
	// falseChange moves s0 to h2. The authority sends it although it has not made that change.
	falseChange, err := m.MoveSegment("s0", []string{"h2"})
	if err != nil {
		t.Fatal(err)
	}
	badChecksum := falseChange
	badChecksum.Checksum++
	// sendChange has the authority send c in place of the actual changes. A full map is sent unchanged.
	sendChange := func(c ownership.Change) {
		f.authority.RewriteResponses(func(r *segments.Response) *segments.Response {
			if r.Full != nil {
				return r
			}
			return &segments.Response{Changes: []ownership.Change{c}}
		})
	}
	sendChange(badChecksum)
	awaitOutcome(1, "given")
	sendChange(falseChange)
	awaitOutcome(1, "rejected") // the host named in the false change rejects it
	c, err := m.MoveSegment("s3", []string{"h2"})
	if err != nil {
		t.Fatal(err)
	}
	h := ownership.NewHandover(m, c)
	if err := f.authority.RunUntil(&h, ownership.Done); err != nil {
		t.Fatal(err)
	}
	f.authority.RewriteResponses(nil)
	awaitOutcome(1, "rejected") // rejected, so the gatherer requests the full map
	otherKey := ownership.ShardRange(1, 4).Lo
	awaitOutcome(otherKey, "rejected") // in a segment that the false change does not concern
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
	awaitOutcome(otherKey, "given")
	awaitOutcome(1, "given")
}
