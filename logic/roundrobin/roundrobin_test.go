package roundrobin

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

func serverID(server int) uint32 { return uint32(server) + 100 }

func noneInFlight(int) int { return 0 }

func acceptAny(int) bool { return true }

// newWeighted returns a Weighted with one replica set, of the servers 0, 1, ...; a server whose share is
// below 0 has no weight.
func newWeighted(seed uint64, shares []float64) *Weighted {
	w := &Weighted{}
	replicas, weights := []int(nil), []gather.Weight{}
	for server, share := range shares {
		replicas = append(replicas, server)
		if share >= 0 {
			weights = append(weights, gather.Weight{Server: serverID(server), Share: share})
		}
	}
	w.SetWeights([][]gather.Weight{weights})
	w.SetReplicas([][]int{replicas}, serverID, pcg.New(seed))
	return w
}

// takeSlots takes a number of slots among the acceptable servers and returns how many each server got.
func takeSlots(w *Weighted, slots, servers int, acceptable func(int) bool) []int {
	counts := make([]int, servers)
	for range slots {
		server := w.Next(0, noneInFlight, acceptable)
		if server < 0 {
			break
		}
		w.RecordChoice(0, server)
		counts[server]++
	}
	return counts
}

// TestReplicasGetSlotsInProportionToShares checks that in any run of slots each replica gets its share, to
// within two slots.
func TestReplicasGetSlotsInProportionToShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := rapid.SliceOfN(rapid.SampledFrom([]float64{0.5, 1, 1, 2, 3}), 1, 6).Draw(t, "shares")
		sum := 0.0
		for _, share := range shares {
			sum += share
		}
		w := newWeighted(rapid.Uint64().Draw(t, "seed"), shares)
		for range 5 {
			slots := rapid.IntRange(1, 60).Draw(t, "slots")
			for server, got := range takeSlots(w, slots, len(shares), acceptAny) {
				want := float64(slots) * shares[server] / sum
				if math.Abs(float64(got)-want) > 2 {
					t.Fatalf("shares %v: server %d got %d of %d slots, want %.1f", shares, server, got, slots, want)
				}
			}
		}
	})
}

// TestSkippedReplicaDoesNotCatchUp checks that a replica that was skipped gets its share of the slots
// afterwards, without a burst.
func TestSkippedReplicaDoesNotCatchUp(t *testing.T) {
	w := newWeighted(1, []float64{1, 1, 1})
	takeSlots(w, 300, 3, func(server int) bool { return server != 2 })
	if got := takeSlots(w, 30, 3, acceptAny)[2]; got > 12 {
		t.Errorf("a replica that was skipped got %d of the next 30 slots, want about 10", got)
	}
}

// TestReplicaWithoutShareComesLast checks that a replica with a share of 0 gets slots only while no other
// replica is acceptable.
func TestReplicaWithoutShareComesLast(t *testing.T) {
	w := newWeighted(1, []float64{1, 0, 2})
	if got := takeSlots(w, 90, 3, acceptAny); got[1] > 0 {
		t.Errorf("with other replicas acceptable a replica of share 0 got %d slots, want 0", got[1])
	}
	if got := w.Next(0, noneInFlight, func(server int) bool { return server == 1 }); got != 1 {
		t.Errorf("with no other replica acceptable the next one is %d, want 1", got)
	}
	if got := w.Next(0, noneInFlight, func(int) bool { return false }); got != -1 {
		t.Errorf("with no replica acceptable the next one is %d, want -1", got)
	}
}

func TestReplicaWithoutWeightGetsTheMeanShare(t *testing.T) {
	w := newWeighted(1, []float64{1, -1, 3})
	got := takeSlots(w, 120, 3, acceptAny)
	for server, want := range []int{20, 40, 60} {
		if got[server] < want-2 || got[server] > want+2 {
			t.Errorf("server %d got %d of 120 slots, want about %d", server, got[server], want)
		}
	}
}

// TestReplicaWithTooManyAttemptsInFlightIsSkipped checks that Next skips a replica that has more attempts in
// flight in proportion to its share than the least busy one would have with one more.
func TestReplicaWithTooManyAttemptsInFlightIsSkipped(t *testing.T) {
	w := newWeighted(1, []float64{1, 2})
	inFlight := []int{3, 1}
	next := func() int { return w.Next(0, func(server int) int { return inFlight[server] }, acceptAny) }
	for range 5 {
		if got := next(); got != 1 {
			t.Fatalf("with %v in flight the next replica is %d, want 1", inFlight, got)
		}
		w.RecordChoice(0, 1)
	}
}

func TestNextReturnsNoReplicaWithoutWeights(t *testing.T) {
	for name, shares := range map[string][]float64{"no weights": {-1, -1}, "only weights of 0": {0, 0}} {
		w := newWeighted(1, shares)
		if got := w.Next(0, noneInFlight, acceptAny); got != -1 {
			t.Errorf("with %s the next replica is %d, want -1", name, got)
		}
		w.RecordChoice(0, 0) // must not panic
	}
}
