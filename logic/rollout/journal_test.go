package rollout

import (
	"errors"
	"strings"
	"testing"
)

// TestReplayReturnsUnfinishedSteps: a journal is continued from any of its ends: steps that were started and have no
// recorded end are repeated, in their order, and no others; another plan's journal is refused.
func TestReplayReturnsUnfinishedSteps(t *testing.T) {
	all := []Record{
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
	redo := []string{"", "", "", "a", "a b", "b", "b", "b", "b a", "a", ""}
	for n := range len(all) + 1 {
		r, err := Replay("p", all[:n])
		var names []string
		for _, rec := range r.UnfinishedSteps {
			names = append(names, rec.Gatherer)
		}
		if err != nil || strings.Join(names, " ") != redo[n] {
			t.Errorf("after %d records: %v, made again: %v", n, err, names)
		}
		phase := Updating
		if n >= 7 {
			phase = RollingBack
		}
		if n >= 2 && r.Position.Phase != phase || n >= 6 && r.Command != "back 7" {
			t.Errorf("after %d records: %+v", n, r)
		}
	}
	if _, err := Replay("q", all); !errors.Is(err, ErrPlanChanged) {
		t.Errorf("another plan: %v", err)
	}
	if _, err := Replay("p", []Record{{Kind: "later"}}); !errors.Is(err, ErrRecord) {
		t.Errorf("an unknown kind of record: %v", err)
	}
	for _, rec := range all {
		if rec.Describe() == "" {
			t.Errorf("no description of %+v", rec)
		}
	}
}
