package service

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/testbed/experiment"
	"yokeroute/logic/ownership"
)

// slowStore is a store in memory whose writes each take delay, so that no other use of the machine's disk matters.
type slowStore struct {
	delay  time.Duration
	writes atomic.Int64
	sent   sync.Map // the IDs of the queries that are recorded
}

// MayHaveRun implements dispatch.NonIdempotentStore.
func (s *slowStore) MayHaveRun(id string, _ bool, _ float64) bool {
	_, recorded := s.sent.Load(id)
	return recorded
}

// RecordSent implements dispatch.NonIdempotentStore.
func (s *slowStore) RecordSent(ids []string, _ float64) error {
	s.writes.Add(1)
	time.Sleep(s.delay)
	for _, id := range ids {
		s.sent.Store(id, true)
	}
	return nil
}

// RecordNotRun implements dispatch.NonIdempotentStore.
func (s *slowStore) RecordNotRun(id string) error {
	s.sent.Delete(id)
	return nil
}

// SaveMap implements dispatch.NonIdempotentStore.
func (s *slowStore) SaveMap(*ownership.Map) error { return nil }

const (
	slowDiskDeadline  = 500 * time.Millisecond
	slowDiskObjective = 300 * time.Millisecond // latency objective in fixtureSettings
	slowDiskLoadTime  = 3 * time.Second
	answerSlack       = 500 * time.Millisecond // tolerance for answers after their deadline
	warmUpTime        = 300 * time.Millisecond // time for connections to be established
)

// playAsync sends a load of one class in the background and delivers its outcome.
func playAsync(t *testing.T, address, class string, duration time.Duration) <-chan *experiment.Outcome {
	load := experiment.Load{Origin: class, Class: class, Address: address, Rate: 60, ShardRequests: 2, Shards: 12,
		Deadline: slowDiskDeadline, Seed: uint64(len(class))}
	outcome := make(chan *experiment.Outcome, 1)
	go func() { outcome <- experiment.Play(t.Context(), load, duration, slowDiskObjective) }()
	return outcome
}

// TestSlowDiskDoesNotDelayIdempotentQueries guards against a gatherer that answers no query while its disk writes. All
// idempotent queries are served within the objective. Non-idempotent ones are served or rejected within their deadline,
// also when a single write takes longer than the deadline.
func TestSlowDiskDoesNotDelayIdempotentQueries(t *testing.T) {
	for _, delay := range []time.Duration{slowDiskDeadline / 4, 2 * slowDiskDeadline} {
		t.Run(delay.String(), func(t *testing.T) {
			_, s, l := assembleGatherer(t, &operator.File{BackgroundShare: 0.05}, plainMachine,
				func(text string) string { return text })
			store := &slowStore{delay: delay}
			s.Picker.SetNonIdempotentStore(store)
			end := runGatherer(t, s, l)
			<-playAsync(t, l.Addr().String(), "any", warmUpTime)
			idempotentOutcome := playAsync(t, l.Addr().String(), "any", slowDiskLoadTime)
			recordedOutcome := playAsync(t, l.Addr().String(), "once", slowDiskLoadTime)
			idempotent, recorded := <-idempotentOutcome, <-recordedOutcome
			end()
			if !s.Picker.CloseNonIdempotentStore(t.Context()) {
				t.Error("the store did not close")
			}
			if idempotent.Sent < 100 || idempotent.Served != idempotent.Sent || idempotent.WithinObjective != idempotent.Sent {
				t.Errorf("idempotent queries: %+v, want at least 100, all served within the objective", idempotent)
			}
			checkRecorded(t, recorded, delay)
			if maxWrites := int64(slowDiskLoadTime+slowDiskDeadline)/int64(delay) + 1; store.writes.Load() > maxWrites {
				t.Errorf("%d writes, want at most %d in the time of the test", store.writes.Load(), maxWrites)
			}
		})
	}
}

// checkRecorded checks that all non-idempotent queries were served with the short delay, with which two writes fit into
// their deadline, that all were rejected with the long one, and that none was answered late.
func checkRecorded(t *testing.T, recorded *experiment.Outcome, delay time.Duration) {
	t.Helper()
	want := recorded.Sent
	if delay > slowDiskDeadline {
		want = 0
	}
	if recorded.Sent < 100 || recorded.Served != want || recorded.Served+recorded.Rejected != recorded.Sent {
		t.Errorf("non-idempotent queries: %d served, %d expected: %+v", recorded.Served, want, recorded)
	}
	for _, unserved := range recorded.Unserved {
		if unserved.Latency > slowDiskDeadline+answerSlack {
			t.Errorf("answered late: %+v", unserved)
		}
	}
}
