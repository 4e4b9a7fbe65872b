package policyserver

import (
	"encoding/json"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"yokeroute/logic/policy"
)

// stateMachine applies the replicated log to the record. It implements raft.FSM: servers that have applied the same
// entries have the same record.
type stateMachine struct {
	mu      sync.Mutex
	record  *policy.Record
	changed chan struct{} // closed when the record is replaced
}

func newStateMachine(firstEpoch uint64) *stateMachine {
	return &stateMachine{
		record:  &policy.Record{Epoch: firstEpoch, LastEnded: firstEpoch},
		changed: make(chan struct{}),
	}
}

// applyResult is the result of applying a log entry.
type applyResult struct {
	change *policy.Change
	err    error // a policy.RejectedError, or nil
}

// Apply applies a log entry. An entry that cannot be parsed has no effect, on any server.
func (m *stateMachine) Apply(entry *raft.Log) any {
	var c policy.Command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return applyResult{err: policy.RejectedError{Reason: "log entry is not a valid command: " + err.Error()}}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := *m.record // a copy: readers may still use the current record, which is not modified
	change, err := next.Apply(c)
	if err == nil {
		m.replace(&next)
	}
	if change != nil {
		copied := *change
		change = &copied
	}
	return applyResult{change: change, err: err}
}

// replace sets the record and wakes the goroutines that wait for a change. The caller holds the lock.
func (m *stateMachine) replace(record *policy.Record) {
	m.record = record
	close(m.changed)
	m.changed = make(chan struct{})
}

// current returns the record, which must not be modified, and a channel that is closed when it is replaced.
func (m *stateMachine) current() (*policy.Record, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.record, m.changed
}

// Snapshot returns a snapshot of the record. Once it is stored, raft may trim the log.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	record, _ := m.current()
	return &snapshot{Format: snapshotFormat, Record: *record}, nil
}

// Restore replaces the record with that of a snapshot.
func (m *stateMachine) Restore(from io.ReadCloser) error {
	record, err := ReadSnapshot(from)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replace(record)
	return nil
}
