package rollout

import (
	"errors"
	"strings"
	"testing"
)

// TestReplayReturnsUnfinishedSteps tests that a journal which ends after any of its records yields exactly
// the steps that have a recorded start and no recorded end, in their order, and that another plan's journal
// is rejected.
func TestReplayReturnsUnfinishedSteps(t *testing.T) {
	records := []Record{
		{Kind: ControllerStarted, PlanSum: "p", FencingToken: 1},
		{Kind: PositionChanged, Position: &Position{Phase: Updating}},
		{Kind: StepStarted, Gatherer: "a", Target: New},
		{Kind: StepStarted, Gatherer: "b", Target: New},
		{Kind: StepEnded, Gatherer: "a", Target: New},
		{Kind: CommandApplied, Command: "back 7"},
		{Kind: PositionChanged, Position: &Position{Phase: RollingBack, Stage: 1, Reason: "x"}},
		{Kind: StepStarted, Gatherer: "a", Target: Old},
		{Kind: StepEnded, Gatherer: "b", Message: "no"},
		{Kind: StepEnded, Gatherer: "a"},
	}
	wantUnfinished := []string{"", "", "", "a", "a b", "b", "b", "b", "b a", "a", ""}
	for n := range len(records) + 1 {
		recovered, err := Replay("p", records[:n])
		var names []string
		for _, rec := range recovered.UnfinishedSteps {
			names = append(names, rec.Gatherer)
		}
		if err != nil || strings.Join(names, " ") != wantUnfinished[n] {
			t.Errorf("after %d records: error %v, unfinished steps %v, want %q", n, err, names, wantUnfinished[n])
		}
		phase := Updating
		if n >= 7 {
			phase = RollingBack
		}
		if n >= 2 && recovered.Position.Phase != phase || n >= 6 && recovered.Command != "back 7" {
			t.Errorf("after %d records: wrong phase or command in %+v, want phase %q", n, recovered, phase)
		}
	}
	if _, err := Replay("q", records); !errors.Is(err, ErrPlanChanged) {
		t.Errorf("another plan: error %v, want %v", err, ErrPlanChanged)
	}
	if _, err := Replay("p", []Record{{Kind: "later"}}); !errors.Is(err, ErrRecord) {
		t.Errorf("an unknown kind of record: error %v, want %v", err, ErrRecord)
	}
	for _, rec := range records {
		if rec.Describe() == "" {
			t.Errorf("empty description of %+v", rec)
		}
	}
}
