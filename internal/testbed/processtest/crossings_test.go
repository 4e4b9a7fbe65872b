package processtest

import (
	"math"
	"strings"
	"testing"
)

// TestColdByTwenty: twenty processes of uneven traffic send to four servers that come back cold together, while some of
// them are killed and start anew amid the ramp and others hear of the start late. The sum over all of them, retries and
// copies counted, stays within what the servers bear and twice its root and two; every other rule is kept as well.
func TestColdByTwenty(t *testing.T) {
	plain, err := BuildPlain("yokeroute")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("gatherers 4", "gatherers 20 skew 1.5", "length 3s", "length 6s", "rate 40/s", "rate 120/s",
		"falls 3 in 2s", "falls 2 in 1s").Replace(small) + `
fault server-kill on s1 s2 s3 s4 at 1s for 500ms
fault kill on g1 g2 g3 g4 g5 at 2s for 300ms state gone
fault term on g6 g7 at 2.5s for 200ms
fault delay on g8:discovery g9:discovery at 500ms for 3s delay 800ms
`
	ctx := minute(t)
	sc := scenarioOf(t, text)
	f, err := StartFleet(ctx, sc, Terms{Binary: plain, Folder: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.Play(ctx); err != nil {
		t.Fatal(err)
	}
	all := f.Front.Total()
	j := end(t, f)
	if all.Operations < 400 || all.Endings[Satisfied] < all.Operations/2 {
		t.Errorf("%+v", all)
	}
	if len(j.Unchecked) > 0 || j.KilledProcesses < 5 {
		t.Errorf("%d killed, not checked: %v", j.KilledProcesses, j.Unchecked)
	}
	near := j.ClosestToLimit[4]
	n := 2.0 * 2 * 1000 / 8 // falls, cores and span over the work of a part: of a warm server, where chance counts least
	if bound := 1 + (2*math.Sqrt(n)+2)/n; near.Share > bound || near.Share == 0 {
		t.Errorf("%.2f of what cold servers bear, %.2f with chance: %s", near.Share, bound, near.Message)
	}
	t.Logf("cold servers: %.2f of what they bear; %s", near.Share, near.Message)
}
