package policyserver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"

	"github.com/hashicorp/raft"

	"yokeroute/logic/policy"
)

// snapshotBuffer is a raft.SnapshotSink in memory.
type snapshotBuffer struct{ bytes.Buffer }

func (*snapshotBuffer) ID() string    { return "one" }
func (*snapshotBuffer) Cancel() error { return nil }
func (*snapshotBuffer) Close() error  { return nil }

func apply(t testing.TB, m *stateMachine, c policy.Command) applyResult {
	t.Helper()
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(&raft.Log{Data: text}).(applyResult)
}

// TestStateMachine: a record of 100,000 changes stays small, its snapshot restores the same record, whoever holds an
// older record has it as it was, and an entry that is no command changes nothing.
func TestStateMachine(t *testing.T) {
	m := newStateMachine(7)
	first, changed := m.current()
	for n := range uint64(100_000) {
		p := policy.Policy{{Kind: policy.WarmUpShare, Value: float64(n%2) / 2}}
		change := &policy.Change{Base: 7 + n, ID: fmt.Sprint(n), Policy: p}
		if r := apply(t, m, policy.Command{Propose: change}); r.err != nil {
			t.Fatal(n, r.err)
		}
		if r := apply(t, m, policy.Command{Commit: 8 + n}); r.err != nil {
			t.Fatal(n, r.err)
		}
	}
	select {
	case <-changed:
	default:
		t.Error("nobody was notified")
	}
	if r := m.Apply(&raft.Log{Data: []byte("{")}).(applyResult); r.err == nil {
		t.Error("half a command was applied")
	}
	record, _ := m.current()
	if first.Epoch != 7 || len(first.History) != 0 {
		t.Errorf("the first record is now %+v", first)
	}
	if record.Epoch != 100_007 || len(record.History) < 1000 || len(record.History) > 1250 ||
		record.TrimmedChanges+uint64(len(record.History)) != 100_000 {
		t.Errorf("epoch %d, %d kept, %d trimmed", record.Epoch, len(record.History), record.TrimmedChanges)
	}
	snap, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var to snapshotBuffer
	if err := snap.Persist(&to); err != nil {
		t.Fatal(err)
	}
	t.Logf("a snapshot of %d bytes", to.Len())
	if to.Len() > 1<<20 {
		t.Errorf("a snapshot of %d bytes", to.Len())
	}
	other := newStateMachine(0)
	if err := other.Restore(io.NopCloser(bytes.NewReader(to.Bytes()))); err != nil {
		t.Fatal(err)
	}
	if again, _ := other.current(); !reflect.DeepEqual(again, record) {
		t.Errorf("%+v", again)
	}
	later := strings.Replace(to.String(), `"policies":1`, `"policies":2`, 1)
	err = other.Restore(io.NopCloser(strings.NewReader(later)))
	if err == nil || !strings.Contains(err.Error(), "the form is 2") {
		t.Errorf("%v", err)
	}
}
