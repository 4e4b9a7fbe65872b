package policyserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/hashicorp/raft"

	"yokeroute/logic/policy"
)

// sink is a snapshot's file.
type sink struct{ bytes.Buffer }

func (*sink) ID() string    { return "one" }
func (*sink) Cancel() error { return nil }
func (*sink) Close() error  { return nil }

func apply(t testing.TB, m *machine, c policy.Command) result {
	t.Helper()
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(&raft.Log{Data: text}).(result)
}

// TestMachine: a record of 100,000 changes stays small, its snapshot makes the same record again, whoever holds an older
// record has it as it was, and what is no command changes nothing.
func TestMachine(t *testing.T) {
	m := newMachine(7)
	first, news := m.now()
	for n := range uint64(100_000) {
		p := policy.Policy{{Kind: policy.WarmUpShare, Value: float64(n%2) / 2}}
		if r := apply(t, m, policy.Command{Propose: &policy.Change{Base: 7 + n, ID: fmt.Sprint(n), Policy: p}}); r.err != nil {
			t.Fatal(n, r.err)
		}
		if r := apply(t, m, policy.Command{Commit: 8 + n}); r.err != nil {
			t.Fatal(n, r.err)
		}
	}
	select {
	case <-news:
	default:
		t.Error("nobody was told")
	}
	if r := m.Apply(&raft.Log{Data: []byte("{")}).(result); r.err == nil {
		t.Error("half a command was taken")
	}
	record, _ := m.now()
	if first.Epoch != 7 || len(first.History) != 0 || record.Epoch != 100_007 || len(record.History) < 1000 || len(record.History) > 1250 || record.TrimmedChanges+uint64(len(record.History)) != 100_000 {
		t.Errorf("%+v; epoch %d, %d kept, %d before", first, record.Epoch, len(record.History), record.TrimmedChanges)
	}
	snap, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var to sink
	if err := snap.Persist(&to); err != nil {
		t.Fatal(err)
	}
	t.Logf("a snapshot of %d bytes", to.Len())
	if to.Len() > 1<<20 {
		t.Errorf("a snapshot of %d bytes", to.Len())
	}
	other := newMachine(0)
	if err := other.Restore(io.NopCloser(bytes.NewReader(to.Bytes()))); err != nil {
		t.Fatal(err)
	}
	if again, _ := other.now(); !reflect.DeepEqual(again, record) {
		t.Errorf("%+v", again)
	}
	later := strings.Replace(to.String(), `"policies":1`, `"policies":2`, 1)
	if err := other.Restore(io.NopCloser(strings.NewReader(later))); err == nil || !strings.Contains(err.Error(), "the form is 2") {
		t.Errorf("%v", err)
	}
}

// TestTerms: mistakes in a steward's file are told, and nothing is begun; the page in docs is that of the table.
func TestTerms(t *testing.T) {
	peers := "peer s1 raft 127.0.0.1:1 http 127.0.0.1:2\npeer s2 raft 127.0.0.1:3 http 127.0.0.1:4\npeer s3 raft 127.0.0.1:5 http 127.0.0.1:6\n"
	own := "steward s1 in state listen 127.0.0.1:2 raft 127.0.0.1:1\n"
	file := filepath.Join(t.TempDir(), "s.conf")
	for text, want := range map[string]string{
		own + peers: "",
		peers:       "has no line that names it",
		strings.Replace(own, "s1", "s9", 1) + peers:                 "steward s9 is not among the peers",
		own + peers + "peer s4 raft 127.0.0.1:7 http 127.0.0.1:8\n": "names 4 stewards",
		own + peers + "peer s3 raft 127.0.0.1:7 http 127.0.0.1:8\n": "s.conf:5:6: \"s3\": is given twice",
		own + peers + "lease 500ms\nbeat 100ms\n":                   "too short for heartbeats",
		own + peers + "leas 500ms\n":                                "did you mean lease?",
	} {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(file); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
	page := filepath.Join("..", "..", "..", "docs", "operate", "reference-steward.md")
	if text, err := os.ReadFile(page); err != nil || string(text) != Reference() {
		t.Errorf("%s is not what yokeroute reference steward prints: %v", page, err)
	}
}

// TestProver: a proof that is never answered, as where the library is shut down before it comes to it, keeps neither the
// prover from ending nor who waits for it.
func TestProver(t *testing.T) {
	asked := make(chan struct{})
	p := newProver(func() bool { return true }, func() error { close(asked); select {} })
	ctx, stop := context.WithCancel(t.Context())
	ended, answered := make(chan struct{}), make(chan error, 1)
	go func() { p.run(ctx); close(ended) }()
	go func() { answered <- p.proved(t.Context()) }()
	<-asked
	stop()
	<-ended
	if err := <-answered; err != raft.ErrRaftShutdown {
		t.Errorf("%v", err)
	}
	if err := newProver(func() bool { return false }, nil).proved(t.Context()); err != raft.ErrNotLeader {
		t.Errorf("%v", err)
	}
}

// TestRefusedIsNotLogged: a gatherer that the record refuses is told so without an entry of the log, which one that asks
// again and again would fill; this steward has none.
func TestRefusedIsNotLogged(t *testing.T) {
	s := &Steward{machine: newMachine(0)}
	s.machine.record.Policy = policy.Policy{{Kind: policy.NoHedging}}
	refused, err := s.register(policy.Member{Name: "g1", KnownKinds: policy.Kinds()})
	if err != nil || !strings.Contains(refused, "its floor allows what is forbidden: no-copies") {
		t.Errorf("%q, %v", refused, err)
	}
	if r, _ := s.machine.now(); len(r.Members) > 0 {
		t.Errorf("%+v", r.Members)
	}
}
