package slowstart

import (
	"testing"

	"pgregory.net/rapid"

	"yokeroute/gather"
)

// reference is a simple model of Table that visits all servers in every round.
type reference struct {
	table     *Table // table under test, for the shares and initial credits
	running   []bool
	credit    []float64
	warmCount float64
}

func (f *reference) isRunning(server int) bool { return f.running[server] }

func (f *reference) earn(in Round) {
	idleCredit, warmCount := in.Elapsed/max(20, 1)/4/3, 0.0
	for server := range f.running {
		if !f.running[server] {
			continue
		}
		share := f.table.Share(server, in.Now)
		if share == 1 {
			warmCount++
			continue
		}
		perServer := max(safetyShare*in.WarmSuccesses/max(f.warmCount, 1), idleCredit)
		f.credit[server] = min(f.credit[server]+3*share*perServer, maxCredit)
	}
	f.warmCount = warmCount
}

// changeServer adds a server or restarts one, in both the table and the reference.
func (f *reference) changeServer(t *rapid.T, now float64) {
	server := rapid.IntRange(0, len(f.running)).Draw(t, "server")
	if server == len(f.running) {
		f.table.AddServer()
		f.running = append(f.running, true)
		f.credit = append(f.credit, 0)
	}
	f.running[server] = rapid.IntRange(0, 3).Draw(t, "running") > 0
	startedAt := rapid.SampledFrom([]float64{0, now, now - 1000, now + 50}).Draw(t, "started at")
	f.table.Start(server, uint32(server), startedAt)
	f.credit[server] = f.table.credit[server]
	f.table.FindWarming(now, f.isRunning)
}

// TestCreditsMatchReference checks that the credits are bit for bit those of the reference, after any
// sequence of started, restarted and stopped servers and advanced time. Some time steps are exactly the
// warm-up time.
func TestCreditsMatchReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := &gather.Settings{
			WarmupTime: 1000.0, InitialCapacityShare: 0.2, OverloadWindow: 500.0, OverloadMultiple: 3.0,
			Gatherers: 3, GathererIndex: 1,
		}
		if rapid.IntRange(0, 9).Draw(t, "no rule") == 0 {
			settings.OverloadWindow = 0
		}
		table := &Table{}
		table.Configure(settings)
		ref := &reference{table: table}
		now := 10_000.0
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			gap := rapid.SampledFrom([]float64{0, 5, 100, 500, 1000}).Draw(t, "gap")
			now += gap
			for range rapid.IntRange(0, 2).Draw(t, "changes") {
				ref.changeServer(t, now)
			}
			succeeded := float64(rapid.IntRange(0, 50).Draw(t, "succeeded"))
			in := Round{Now: now, Elapsed: gap, MedianLatency: 20, WarmSuccesses: succeeded}
			ref.earn(in)
			table.Earn(in, ref.isRunning)
			for server, want := range ref.credit {
				maySend := table.Share(server, now) == 1 || want >= 1
				if table.credit[server] != want || table.MaySend(server, now) != maySend {
					t.Fatalf("at %v server %d: the credit is %v, want %v and a MaySend that follows from it", now, server,
						table.credit[server], want)
				}
			}
			if table.warmCount != ref.warmCount {
				t.Fatalf("at %v: %v servers are warm, want %v", now, table.warmCount, ref.warmCount)
			}
		}
	})
}
