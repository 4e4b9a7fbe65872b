package policyserver

import (
	"strings"
	"testing"

	"yokeroute/logic/policy"
)

// TestRejectedMemberIsNotLogged checks that a gatherer that the record rejects gets the reason without an entry in the
// log, which it would otherwise fill by polling repeatedly. The server of this test has no log.
func TestRejectedMemberIsNotLogged(t *testing.T) {
	s := &Server{fsm: newStateMachine(0)}
	s.fsm.record.Policy = policy.Policy{{Kind: policy.NoHedging}}
	reason, err := s.register(t.Context(), policy.Member{Name: "g1", KnownKinds: policy.Kinds()})
	if err != nil || !strings.Contains(reason, "its floor allows what is forbidden: no-copies") {
		t.Errorf("reason %q, error %v", reason, err)
	}
	if record, _ := s.fsm.current(); len(record.Members) > 0 {
		t.Errorf("registered members: %+v, want none", record.Members)
	}
}
