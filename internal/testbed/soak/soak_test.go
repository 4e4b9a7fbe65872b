package soak

import (
	"os"
	"testing"

	"yokeroute/internal/parallel"
	"yokeroute/internal/testbed/processtest"
)

func TestMain(m *testing.M) {
	if len(os.Args) == 6 && os.Args[1] == "order" { // this is the command of a rollout's step
		os.Exit(processtest.Order(os.Args[2], os.Args[3], os.Args[4], os.Args[5]))
	}
	status := m.Run()
	processtest.Unbuild()
	os.Exit(status)
}

// seeds are those of the days in CI: one of each kind, and one with a crowd.
var seeds = []uint64{1, 6, 7, 12}

// extraSeeds are those of days with the extras that the others do not have.
var extraSeeds = []uint64{3, 15}

const workers = 2

// TestSoak plays a few days, drawn by fixed seeds, under the race detector. `yokeroute-testbed soak` plays more.
func TestSoak(t *testing.T) {
	played := playSeeds(t, seeds)
	if len(played) != len(kinds) {
		t.Errorf("only %v were played", played)
	}
}

// TestSoakOfExtras plays days of files that change in series, clients that rest, and policies that exclude each other.
func TestSoakOfExtras(t *testing.T) {
	playSeeds(t, extraSeeds)
}

// playSeeds plays the days of seeds and returns their kinds.
func playSeeds(t *testing.T, seeds []uint64) map[Kind]bool {
	t.Helper()
	program, err := processtest.Build("yokeroute")
	if err != nil {
		t.Fatal(err)
	}
	options := Options{Program: program, Folder: folderKeptOnFailure(t), OrderCommand: []string{os.Args[0], "order"}}
	played := map[Kind]bool{}
	results := parallel.Map(len(seeds), workers, func(i int) *Result {
		return Run(t.Context(), options, seeds[i])
	})
	for _, r := range results {
		if r.Err != nil {
			t.Errorf("%v: %.8000v", r.Day, r.Err)
		}
		t.Logf("%v: %d operations, %s, %v", r.Day, r.Operations, r.Tries(), r.Took)
		played[r.Day.Kind] = true
	}
	return played
}

// folderKeptOnFailure returns a folder that stays where the test fails, with what is needed to understand the day.
func folderKeptOnFailure(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("", "yokeroute-soak-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("kept in %s", folder)
			return
		}
		os.RemoveAll(folder)
	})
	return folder
}

// TestDaysAreDrawnBySeed wants a seed to draw the same day each time, and the seeds of a soak all kinds of days.
func TestDaysAreDrawnBySeed(t *testing.T) {
	drawn := map[Kind]int{}
	crowds := 0
	const many = 60
	for seed := range uint64(many) {
		day, err := DrawDay(seed + 1)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DrawDay(seed + 1)
		if err != nil || again.Kind != day.Kind || again.Crowd != day.Crowd || again.Scenario.Text != day.Scenario.Text {
			t.Errorf("%v is drawn as %v, %v", day, again, err)
		}
		drawn[day.Kind]++
		if day.Crowd {
			crowds++
		}
	}
	if len(drawn) != len(kinds) || crowds < many/6 || crowds > many/2 {
		t.Errorf("%v, %d crowds", drawn, crowds)
	}
}
