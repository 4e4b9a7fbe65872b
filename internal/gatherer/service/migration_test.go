package service

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"yokeroute/internal/config/migrate"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/testbed/experiment"
	"yokeroute/internal/testbed/standin/shardserver"
)

// TestGathererServesWithMigratedConfig migrates a configuration to a fleet whose servers report their load only on
// request, whose endpoint list is polled, and which allows no hedged requests, so that no shard has two requests in
// flight at once. The gatherer serves with the migrated configuration, and the load reports let it avoid a server that
// hangs.
func TestGathererServesWithMigratedConfig(t *testing.T) {
	fleet, address, end := startGatherer(t, &operator.File{}, func(i int) experiment.Machine {
		return experiment.Machine{Name: fmt.Sprint("m", i), Zone: []string{"a", "b"}[i%2], Kind: "k", ReplicaSet: i,
			Config: shardserver.Config{Cores: 2, MeanWork: 8, WorkVariation: 0.5, QueueLimit: 40, Seed: uint64(i)}}
	}, func(text string) string {
		oldFile := filepath.Join(t.TempDir(), "old.json")
		if err := os.WriteFile(oldFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		migrated, err := migrate.Move(oldFile, "../../../examples/fleets/probed.json")
		if err != nil {
			t.Fatal(err)
		}
		return string(migrated.Text)
	})
	for _, s := range fleet.Servers {
		s.ReportLoad(20)
	}
	hungServer := fleet.Servers["m2"]
	hungServer.SetHung(true)
	load := experiment.Load{
		Origin: "any", Address: address, Class: "any", Rate: 60, ShardRequests: 4, Shards: 6, Deadline: 1500 * time.Millisecond, Seed: 1,
	}
	outcome := experiment.Play(t.Context(), load, 3*time.Second, time.Second)
	end()
	if outcome.Sent < 100 || outcome.Served < outcome.Sent*95/100 || outcome.Errors > 0 {
		t.Errorf("%+v, want at least 100 queries sent, 95 %% of them served, and no errors", outcome)
	}
	loadReports, shardRequests := 0, 0
	for _, s := range fleet.Servers {
		loadReports += s.Counts().LoadReports
		shardRequests += s.Counts().Requests
	}
	if loadReports == 0 {
		t.Error("no load report was requested")
	}
	if n := hungServer.Counts().Requests; n > shardRequests/20 {
		t.Errorf("the hung server received %d of %d shard requests, want at most 5 %%", n, shardRequests)
	}
}
