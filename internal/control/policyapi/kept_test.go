package policyapi

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"yokeroute/logic/policy"
)

// readKeptFile returns a document that a released version wrote. These files must not be changed.
func readKeptFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "kept", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// documentCheck checks how one kept document is read and encoded.
type documentCheck func(t *testing.T, name string)

// readAs returns a check that a kept document is read as want, and that both the result and want are encoded as the
// same bytes as the document.
func readAs[T any](want T, read Reader[T]) documentCheck {
	return func(t *testing.T, name string) {
		t.Helper()
		text := readKeptFile(t, name)
		got, err := read(bytes.NewReader(text))
		if err != nil || !reflect.DeepEqual(*got, want) {
			t.Errorf("%s: read %+v, %v; want %+v", name, got, err, want)
		}
		for _, value := range []any{got, want} {
			if again, err := json.Marshal(value); err != nil || !bytes.Equal(again, text) {
				t.Errorf("%s: encoded as %s, %v; want the bytes of the file", name, again, err)
			}
		}
	}
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
	return policy.Change{
		Number:     44,
		Base:       41,
		ID:         "0123456789abcdef01234567",
		Policy:     keptPolicy(),
		Reason:     "host s9 <is> \"repaired\"",
		ProposedAt: 1.7648e12,
	}
}

func keptRecord() policy.Record {
	change := keptChange()
	committed, abandoned := keptChange(), keptChange()
	committed.Number = 41
	committed.Base = 12
	committed.ID = "a"
	committed.Outcome = policy.Committed
	abandoned.Number = 43
	abandoned.ID = "b"
	abandoned.Outcome = policy.Abandoned
	abandoned.OutcomeReason = "g2 refuses it: no index find"
	return policy.Record{
		Epoch:          41,
		Policy:         keptPolicy(),
		LastEnded:      43,
		Pending:        &change,
		History:        []policy.Change{committed, abandoned},
		TrimmedChanges: 39,
		Members:        []policy.Member{keptMember(), {Name: "g2"}},
	}
}

func keptStatus() *Status {
	return &Status{
		Server: "s1",
		Record: keptRecord(),
		Members: []policy.MemberStatus{
			{
				Name:          "g1",
				Zone:          "north",
				Applied:       policy.Revision{Epoch: 41, LastEnded: 43, Pending: 44},
				State:         policy.StatePrepared,
				SinceLastPoll: 250.5,
				Version:       "1.2",
			},
			{
				Name:          "g2",
				Applied:       policy.Revision{Epoch: 41, LastEnded: 41},
				State:         policy.StateStale,
				SinceLastPoll: 3,
			},
			{Name: "g3", State: policy.StateDetached, SinceLastPoll: -1},
			{Name: "g4", State: policy.StateRefusing, Detail: "no index find"},
			{
				Name:   "g5",
				State:  policy.StateNotAdmitted,
				Detail: "its floor allows what is forbidden, or it does not know a kind",
			},
			{Name: "g6", State: policy.StateApplied},
		},
		Missing:    []string{"g2"},
		WaitingFor: "not prepared yet: g2",
	}
}

// TestKeptDocuments checks that each protocol document of a released version is read as the value that it was written
// from, and that this value is encoded as the same bytes.
func TestKeptDocuments(t *testing.T) {
	heartbeat := policy.Heartbeat{
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
	update := func(u policy.Update) documentCheck {
		return readAs(PollResponse{Format: Format, Update: &u}, ReadPollResponse)
	}
	status := func(s Status) documentCheck {
		return readAs(StatusResponse{Format: Format, Status: &s}, Read[StatusResponse])
	}
	failure := func(leader, message string) documentCheck {
		return readAs(ErrorResponse{Format: Format, Leader: leader, Message: message}, Read[ErrorResponse])
	}
	proposal := func(c policy.Change) documentCheck {
		return readAs(ProposeRequest{Format: Format, Change: c}, ReadProposeRequest)
	}
	member := func(name string, remove bool) documentCheck {
		return readAs(MembershipRequest{Format: Format, Name: name, Remove: remove}, Read[MembershipRequest])
	}
	refusalReason := "it does not know the kind turns; it is of an older version"
	withoutPending := policy.Update{Epoch: 41, Policy: keptPolicy(), LastEnded: 43, Lease: 10_000}
	withPending := withoutPending
	withPending.Pending = &change
	firstHeartbeat := policy.Heartbeat{Member: policy.Member{Name: "g1"}, Incarnation: "1"}
	proposed := policy.Change{ID: change.ID, Base: 41, Policy: keptPolicy(), Reason: change.Reason}
	for name, check := range map[string]documentCheck{
		"ask.json":               readAs(PollRequest{Format, heartbeat, 2000}, ReadPollRequest),
		"ask-first.json":         readAs(PollRequest{Format, firstHeartbeat, 0}, ReadPollRequest),
		"answer-word.json":       update(withoutPending),
		"answer-change.json":     update(withPending),
		"answer-refused.json":    update(policy.Update{Epoch: 41, LastEnded: 43, RefusalReason: refusalReason}),
		"answer-proposed.json":   readAs(ChangeResponse{Format, &change}, Read[ChangeResponse]),
		"answer-status.json":     status(*keptStatus()),
		"answer-everywhere.json": status(Status{Server: "s1", AppliedEverywhere: true}),
		"answer-boot.json":       readAs(IncarnationResponse{Format, 5}, Read[IncarnationResponse]),
		"answer-empty.json":      readAs(MembershipResponse{Format}, Read[MembershipResponse]),
		"answer-elsewhere.json":  failure("s2", "this steward does not lead"),
		"answer-no-leader.json":  failure("", "this steward does not lead"),
		"proposal.json":          proposal(proposed),
		"proposal-empty.json":    proposal(policy.Change{ID: "x"}),
		"give-up.json":           readAs(AbandonRequest{Format, 44, "reverted"}, Read[AbandonRequest]),
		"forget.json":            readAs(ForgetRequest{Format, "g7"}, Read[ForgetRequest]),
		"member-in.json":         member("s4", false),
		"member-out.json":        member("s4", true),
		"boot.json":              readAs(IncarnationRequest{Format, 6, "s1"}, Read[IncarnationRequest]),
	} {
		check(t, name)
	}
	for _, read := range []documentCheck{
		readAs(ChangeResponse{Format: Format}, Read[ChangeResponse]),
		readAs(IncarnationResponse{Format: Format}, Read[IncarnationResponse]),
		readAs(PollResponse{Format: Format}, ReadPollResponse),
	} {
		read(t, "answer-empty.json")
	}
}

// TestKeptCommands checks that commands of the replicated log that a released version wrote are read, and encoded as
// the same bytes.
func TestKeptCommands(t *testing.T) {
	change, member := keptChange(), keptMember()
	for name, want := range map[string]policy.Command{
		"log-propose.json":  {Propose: &change},
		"log-decide.json":   {Commit: 44},
		"log-give-up.json":  {Abandon: 44, Reason: "g2 refuses it: no index find"},
		"log-register.json": {Register: &member},
		"log-forget.json":   {Forget: "g7"},
	} {
		text := readKeptFile(t, name)
		var got policy.Command
		if err := json.Unmarshal(text, &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: read %+v, %v; want %+v", name, got, err, want)
		}
		if again, err := json.Marshal(want); err != nil || !bytes.Equal(again, text) {
			t.Errorf("%s: encoded as %s, %v; want the bytes of the file", name, again, err)
		}
	}
}
