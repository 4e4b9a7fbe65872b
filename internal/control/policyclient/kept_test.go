package policyclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/config/operator"
	"yokeroute/logic/policy"
)

// kept reads a document as a version that was released wrote it. None of these files may be changed.
func kept(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "kept", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func keptPolicy() policy.Policy {
	return policy.Policy{
		{Kind: policy.RetryAllowance, Value: 4},
		{Kind: policy.RetryShare, Value: 0.02},
		{Kind: policy.Closed, Subject: "north/s1"},
		{Kind: policy.Closed, Subject: "south/"},
		{Kind: policy.WarmUpShare, Value: 0.5},
		{Kind: policy.MinShare, Subject: "find", Value: 0.8},
		{Kind: policy.NoHedging},
		{Kind: policy.NoHedging, Subject: "resolve"},
		{Kind: policy.NonIdempotent, Subject: "claim"},
		{Kind: policy.HostWeight, Subject: "s9", Value: 0.5},
	}
}

func keptMember() policy.Member {
	return policy.Member{Name: "g1", Zone: "north", Fallback: keptPolicy(), KnownKinds: policy.Kinds()}
}

func keptChange() policy.Change {
	return policy.Change{Number: 44, Base: 41, ID: "0123456789abcdef01234567", Policy: keptPolicy(), Reason: "host s9 <is> \"repaired\"", ProposedAt: 1.7648e12}
}

func keptRecord() policy.Record {
	change := keptChange()
	decided, givenUp := keptChange(), keptChange()
	decided.Number, decided.Base, decided.ID, decided.Outcome = 41, 12, "a", policy.Committed
	givenUp.Number, givenUp.ID, givenUp.Outcome, givenUp.OutcomeReason = 43, "b", policy.Abandoned, "g2 refuses it: no index find"
	return policy.Record{
		Epoch:          41,
		Policy:         keptPolicy(),
		LastEnded:      43,
		Pending:        &change,
		History:        []policy.Change{decided, givenUp},
		TrimmedChanges: 39,
		Members:        []policy.Member{keptMember(), {Name: "g2"}},
	}
}

func keptStatus() *Status {
	return &Status{
		Steward: "s1",
		Record:  keptRecord(),
		Standings: []policy.MemberStatus{
			{Name: "g1", Zone: "north", Applied: policy.Revision{Epoch: 41, LastEnded: 43, Pending: 44}, State: policy.StatePrepared, SinceLastPoll: 250.5, Version: "1.2"},
			{Name: "g2", Applied: policy.Revision{Epoch: 41, LastEnded: 41}, State: policy.StateStale, SinceLastPoll: 3},
			{Name: "g3", State: policy.StateDetached, SinceLastPoll: -1},
			{Name: "g4", State: policy.StateRefusing, Detail: "no index find"},
			{Name: "g5", State: policy.StateNotAdmitted, Detail: "its floor allows what is forbidden, or it does not know a kind"},
			{Name: "g6", State: policy.StateApplied},
		},
		Missing: []string{"g2"},
		Waits:   "not prepared yet: g2",
	}
}

// TestKeptDocuments: each document of the protocol is read as the values that it was written from, and these are
// written again byte for byte.
func TestKeptDocuments(t *testing.T) {
	hello := policy.Heartbeat{
		Member:          keptMember(),
		Incarnation:     "123-456",
		Applied:         policy.Revision{Epoch: 41, LastEnded: 43, Pending: 44},
		Drained:         true,
		RefusedChange:   44,
		RefusalReason:   "no index find",
		Version:         "1.2",
		ExpiredLeases:   7,
		RejectedUpdates: 3,
	}
	change := keptChange()
	for name, want := range map[string]any{
		"ask.json":               &Ask{Form, hello, 2000},
		"ask-first.json":         &Ask{Form, policy.Heartbeat{Member: policy.Member{Name: "g1"}, Incarnation: "1"}, 0},
		"answer-word.json":       &Answer{Form: Form, Word: &policy.Update{Epoch: 41, Policy: keptPolicy(), LastEnded: 43, Lease: 10_000}},
		"answer-change.json":     &Answer{Form: Form, Word: &policy.Update{Epoch: 41, Policy: keptPolicy(), LastEnded: 43, Pending: &change, Lease: 10_000}},
		"answer-refused.json":    &Answer{Form: Form, Word: &policy.Update{Epoch: 41, LastEnded: 43, RefusalReason: "it does not know the kind turns; it is of an older version"}},
		"answer-proposed.json":   &Answer{Form: Form, Change: &change},
		"answer-status.json":     &Answer{Form: Form, Status: keptStatus()},
		"answer-everywhere.json": &Answer{Form: Form, Status: &Status{Steward: "s1", Everywhere: true}},
		"answer-boot.json":       &Answer{Form: Form, Boot: 5},
		"answer-empty.json":      &Answer{Form: Form},
		"answer-elsewhere.json":  &Answer{Form: Form, Leader: "s2", Error: "this steward does not lead"},
		"answer-no-leader.json":  &Answer{Form: Form, Error: "this steward does not lead"},
		"proposal.json":          &Proposal{Form, policy.Change{ID: "0123456789abcdef01234567", Base: 41, Policy: keptPolicy(), Reason: "host s9 <is> \"repaired\""}},
		"proposal-empty.json":    &Proposal{Form, policy.Change{ID: "x"}},
		"give-up.json":           &Name{Form: Form, Number: 44, Why: "reverted"},
		"forget.json":            &Name{Form: Form, Name: "g7"},
		"member-in.json":         &Name{Form: Form, Name: "s4"},
		"member-out.json":        &Name{Form: Form, Name: "s4", Out: true},
		"boot.json":              &Name{Form: Form, Name: "s1", Number: 6},
	} {
		text := kept(t, name)
		var got any
		var err error
		switch want.(type) {
		case *Ask:
			got, err = ReadAsk(bytes.NewReader(text))
		case *Answer:
			got, err = ReadAnswer(bytes.NewReader(text))
		case *Proposal:
			got, err = ReadProposal(bytes.NewReader(text))
		case *Name:
			got, err = ReadName(bytes.NewReader(text))
		}
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as %+v, %v", name, got, err)
		}
		for _, doc := range []any{got, want} {
			if again, err := json.Marshal(doc); err != nil || !bytes.Equal(again, text) {
				t.Errorf("%s is written as %s, %v", name, again, err)
			}
		}
	}
}

// TestKeptCommands: the commands of the log that policy servers replicate are written as before, and read again.
func TestKeptCommands(t *testing.T) {
	change, member := keptChange(), keptMember()
	for name, want := range map[string]policy.Command{
		"log-propose.json":  {Propose: &change},
		"log-decide.json":   {Commit: 44},
		"log-give-up.json":  {Abandon: 44, Reason: "g2 refuses it: no index find"},
		"log-register.json": {Register: &member},
		"log-forget.json":   {Forget: "g7"},
	} {
		text := kept(t, name)
		var got policy.Command
		if err := json.Unmarshal(text, &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as %+v, %v", name, got, err)
		}
		if again, err := json.Marshal(want); err != nil || !bytes.Equal(again, text) {
			t.Errorf("%s is written as %s, %v", name, again, err)
		}
	}
}

// TestKeptFence: how far a gatherer has come is read from the file that an earlier version wrote, and written again
// byte for byte.
func TestKeptFence(t *testing.T) {
	folder := t.TempDir()
	want := policy.Revision{Epoch: 41, LastEnded: 43, Pending: 44}
	text := kept(t, "fence")
	file := filepath.Join(folder, "policy")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		t.Fatal(err)
	}
	if got, err := OpenFence(folder); got != want || err != nil {
		t.Errorf("%+v, %v", got, err)
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	if err := keepFence(folder, want); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(file); err != nil || !bytes.Equal(got, text) {
		t.Errorf("%s, %v", got, err)
	}
}

// exchange is what a stand-in for a steward was sent.
type exchange struct {
	method, path string
	body         string
}

// standIn answers everything with one kept document, and keeps what it was sent.
func standIn(t *testing.T, answer string) (address string, got func() []exchange) {
	t.Helper()
	sent := make(chan exchange, 100)
	text := kept(t, answer)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if kind := r.Header.Get("Content-Type"); kind != "application/json" {
			t.Errorf("content type %q", kind)
		}
		select {
		case sent <- exchange{r.Method, r.URL.Path, string(body)}:
		default:
		}
		w.Write(text)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), func() (all []exchange) {
		for {
			select {
			case e := <-sent:
				all = append(all, e)
			default:
				return all
			}
		}
	}
}

// TestKeptRequests: what operators' commands send goes to the same paths in the same bytes as before.
func TestKeptRequests(t *testing.T) {
	why := "host s9 <is> \"repaired\""
	for path, c := range map[string]struct {
		answer, request string
		do              func(ctx context.Context, c *Client) error
	}{
		"GET /policy/status": {"answer-status.json", "", func(ctx context.Context, c *Client) error {
			got, err := c.Status(ctx)
			if !reflect.DeepEqual(got, keptStatus()) {
				t.Errorf("%+v", got)
			}
			return err
		}},
		"POST /policy/propose": {"answer-proposed.json", "proposal.json", func(ctx context.Context, c *Client) error {
			got, err := c.Propose(ctx, "0123456789abcdef01234567", 41, keptPolicy(), why)
			if want := keptChange(); !reflect.DeepEqual(got, &want) {
				t.Errorf("%+v", got)
			}
			return err
		}},
		"POST /policy/give-up": {"answer-empty.json", "give-up.json", func(ctx context.Context, c *Client) error { return c.GiveUp(ctx, 44, "reverted") }},
		"POST /policy/forget":  {"answer-empty.json", "forget.json", func(ctx context.Context, c *Client) error { return c.Forget(ctx, "g7") }},
		"POST /policy/steward": {"answer-empty.json", "member-in.json", func(ctx context.Context, c *Client) error { return c.Steward(ctx, "s4", false) }},
	} {
		address, got := standIn(t, c.answer)
		if err := c.do(t.Context(), &Client{Stewards: []string{address}}); err != nil {
			t.Errorf("%s: %v", path, err)
		}
		want := "null"
		if c.request != "" {
			want = string(kept(t, c.request))
		}
		all := got()
		if len(all) != 1 || all[0].method+" "+all[0].path != path || all[0].body != want {
			t.Errorf("%s: %q", path, all)
		}
	}
	address, got := standIn(t, "answer-empty.json")
	if err := (&Client{Stewards: []string{address}}).Steward(t.Context(), "s4", true); err != nil {
		t.Error(err)
	}
	if all := got(); len(all) != 1 || all[0].body != string(kept(t, "member-out.json")) {
		t.Errorf("%q", all)
	}
}

// TestKeptPolls: a gatherer's first question and the one after an answer are sent as before, and the fence that an answer
// leaves is kept as before.
func TestKeptPolls(t *testing.T) {
	address, got := standIn(t, "answer-change.json")
	folder := t.TempDir()
	terms := &gather.Settings{
		RetryBudgetWindow: 1000.0, RetryBudgetRatio: 0.1, RetryBudgetFloor: 8.0,
		OverloadMultiple: 3.0,
		Classes: []gather.Class{
			{Name: "claim"},
			{Name: "find", MinShare: 0.5},
			{Name: "resolve"},
		},
	}
	g := NewGovernor(terms, keptPolicy(), policy.Revision{Epoch: 41, LastEnded: 41}, func() float64 { return 0 }, func() {})
	log := logrus.New()
	log.SetOutput(io.Discard)
	me := policy.Heartbeat{Member: policy.Member{Name: "g1", Zone: "north", Fallback: keptPolicy()}, Incarnation: "123-456", Version: "1.2"}
	f := NewFollower(g, []operator.PolicyServer{{Name: "s1", Address: address}}, me, folder, log)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { f.Run(ctx); close(ended) }()
	var all []exchange
	for limit := time.Now().Add(20 * time.Second); len(all) < 2 && time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		all = append(all, got()...)
	}
	stop()
	<-ended
	if len(all) < 2 {
		t.Fatalf("%q", all)
	}
	for i, name := range []string{"poll-first.json", "poll-next.json"} {
		if all[i].method+" "+all[i].path != "POST /policy/ask" || all[i].body != string(kept(t, name)) {
			t.Errorf("%s: %q", name, all[i])
		}
	}
	if fence, err := os.ReadFile(filepath.Join(folder, "policy")); err != nil || !bytes.Equal(fence, kept(t, "fence")) {
		t.Errorf("%s, %v", fence, err)
	}
}
