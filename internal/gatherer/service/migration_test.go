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

// TestGathererServesWithMigratedConfig moves a configuration to a fleet whose servers tell their load only when asked,
// whose list is asked for and which allows no second copies. What comes out serves; a server that hangs is seen by
// what it tells, and no part has two calls out at once.
func TestGathererServesWithMigratedConfig(t *testing.T) {
	fleet, address, end := startGatherer(t, &operator.File{}, func(i int) experiment.Machine {
		return experiment.Machine{Name: fmt.Sprint("m", i), Zone: []string{"a", "b"}[i%2], Kind: "k", ReplicaSet: i,
			Config: shardserver.Config{Cores: 2, MeanWork: 8, WorkVariation: 0.5, QueueLimit: 40, Seed: uint64(i)}}
	}, func(text string) string {
		old := filepath.Join(t.TempDir(), "old.json")
		if err := os.WriteFile(old, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		moved, err := migrate.Move(old, "../../../examples/fleets/probed.json")
		if err != nil {
			t.Fatal(err)
		}
		return string(moved.Text)
	})
	for _, s := range fleet.Servers {
		s.ReportLoad(20)
	}
	hung := fleet.Servers["m2"]
	hung.SetHung(true)
	load := experiment.Load{
		Origin: "any", Address: address, Class: "any", Rate: 60, ShardRequests: 4, Shards: 6, Deadline: 1500 * time.Millisecond, Seed: 1,
	}
	out := experiment.Play(t.Context(), load, 3*time.Second, time.Second)
	end()
	if out.Sent < 100 || out.Served < out.Sent*95/100 || out.Errors > 0 {
		t.Errorf("%+v", out)
	}
	loads, parts := 0, 0
	for _, s := range fleet.Servers {
		loads += s.Counts().LoadReports
		parts += s.Counts().Requests
	}
	if loads == 0 {
		t.Error("no load was asked for")
	}
	if n := hung.Counts().Requests; n > parts/20 {
		t.Errorf("the hung server got %d of %d parts", n, parts)
	}
}
