package policyserver

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"yokeroute/logic/policy"
)

// snapshotForm is the number of a record's snapshot; a steward that knows lower ones alone refuses it.
const snapshotForm = 1

// machine is the record as the log makes it: the same at every steward that has come as far.
type machine struct {
	mu     sync.Mutex
	record *policy.Record
	news   chan struct{} // closed when the record changes
}

func newMachine(begins uint64) *machine {
	return &machine{record: &policy.Record{Epoch: begins, LastEnded: begins}, news: make(chan struct{})}
}

// result is what a command came to.
type result struct {
	change *policy.Change
	err    error // a policy.Refusal
}

// Apply carries an entry of the log out. One that can't be read is skipped by every steward alike.
func (m *machine) Apply(l *raft.Log) any {
	var c policy.Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return result{err: policy.RejectedError{Reason: "the log holds what is no command: " + err.Error()}}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := *m.record // whoever reads the record has one that stays as it is
	change, err := next.Apply(c)
	if err == nil {
		m.record = &next
		close(m.news)
		m.news = make(chan struct{})
	}
	if change != nil {
		one := *change
		change = &one
	}
	return result{change, err}
}

// now is the record, which nobody changes, and what tells of the next one.
func (m *machine) now() (*policy.Record, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.record, m.news
}

type snapshot struct {
	Form   int           `json:"policies"`
	Record policy.Record `json:"record"`
}

// Snapshot keeps the record, so that the log before it may go.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	r, _ := m.now()
	return &snapshot{snapshotForm, *r}, nil
}

// Persist writes it.
func (s *snapshot) Persist(to raft.SnapshotSink) error {
	err := json.NewEncoder(to).Encode(s)
	if err != nil {
		to.Cancel()
		return err
	}
	return to.Close()
}

// Release lets go of it.
func (s *snapshot) Release() {}

// ReadSnapshot reads a record that was kept.
func ReadSnapshot(from io.ReadCloser) (*policy.Record, error) {
	defer from.Close()
	var s snapshot
	if err := json.NewDecoder(from).Decode(&s); err != nil {
		return nil, fmt.Errorf("snapshot of policies: %w", err)
	}
	if s.Form != snapshotForm {
		return nil, fmt.Errorf("snapshot of policies: the form is %d, this version reads %d", s.Form, snapshotForm)
	}
	return &s.Record, nil
}

// Restore takes a snapshot over.
func (m *machine) Restore(from io.ReadCloser) error {
	r, err := ReadSnapshot(from)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record = r
	close(m.news)
	m.news = make(chan struct{})
	return nil
}
