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

// snapshotBuffer is an in-memory raft.SnapshotSink.
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

// TestStateMachine checks that a record stays small after 100,000 changes, that its snapshot restores the same record,
// that an earlier record which a reader holds is not modified, and that an invalid log entry has no effect.
func TestStateMachine(t *testing.T) {
	m := newStateMachine(7)
	initial, changed := m.current()
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
		t.Error("the channel of the initial record was not closed when the record changed")
	}
	if r := m.Apply(&raft.Log{Data: []byte("{")}).(applyResult); r.err == nil {
		t.Error("an invalid command was applied")
	}
	record, _ := m.current()
	if initial.Epoch != 7 || len(initial.History) != 0 {
		t.Errorf("the initial record was modified: %+v", initial)
	}
	if record.Epoch != 100_007 || len(record.History) < 1000 || len(record.History) > 1250 ||
		record.TrimmedChanges+uint64(len(record.History)) != 100_000 {
		t.Errorf("epoch %d, %d changes kept, %d trimmed; want epoch 100007, 1000 to 1250 kept, 100000 in total",
			record.Epoch, len(record.History), record.TrimmedChanges)
	}
	snap, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var sink snapshotBuffer
	if err := snap.Persist(&sink); err != nil {
		t.Fatal(err)
	}
	t.Logf("snapshot size: %d bytes", sink.Len())
	if sink.Len() > 1<<20 {
		t.Errorf("snapshot has %d bytes, want at most %d", sink.Len(), 1<<20)
	}
	restored := newStateMachine(0)
	if err := restored.Restore(io.NopCloser(bytes.NewReader(sink.Bytes()))); err != nil {
		t.Fatal(err)
	}
	if again, _ := restored.current(); !reflect.DeepEqual(again, record) {
		t.Errorf("restored %+v, want %+v", again, record)
	}
	nextFormat := strings.Replace(sink.String(), `"policies":1`, `"policies":2`, 1)
	err = restored.Restore(io.NopCloser(strings.NewReader(nextFormat)))
	if err == nil || !strings.Contains(err.Error(), "unsupported format 2") {
		t.Errorf("restore of format 2: error %v", err)
	}
}
