package logic

import (
	"slices"
	"testing"

	"yokeroute/gather"
)

// TestIndexIsReusedAfterRemovalAndLastAttempt checks that an index is reused only after its server is removed
// and the server's last attempt has ended.
func TestIndexIsReusedAfterRemovalAndLastAttempt(t *testing.T) {
	table := newServerTable(1)
	for index, id := range []uint32{10, 11} {
		if !table.assign(id, index) {
			t.Fatalf("assigning a new index to server %d does not report that the table has grown", id)
		}
	}
	if got := table.nextReusable(0); got != 2 {
		t.Errorf("with two running servers the next index is %d, want 2", got)
	}
	a := &attempt{server: 0}
	table.addInFlight(a)
	table.get(0).state = gather.Removed
	if got := table.nextReusable(0); got != 2 {
		t.Errorf("with an attempt in flight at the removed server the next index is %d, want 2", got)
	}
	table.removeInFlight(a)
	if got := table.nextReusable(0); got != 0 {
		t.Errorf("without attempts in flight at the removed server the next index is %d, want 0", got)
	}
	if table.assign(12, 0) {
		t.Error("assigning a reused index reports that the table has grown")
	}
	if _, known := table.indexOf[10]; known || table.indexOf[12] != 0 {
		t.Errorf("the index holds servers %v, want only 11 and 12", table.indexOf)
	}
}

// TestBusyListHoldsServersWithAttemptsInFlight checks that a server is listed once, and only until it is
// idle.
func TestBusyListHoldsServersWithAttemptsInFlight(t *testing.T) {
	table := newServerTable(1)
	table.assign(10, 0)
	table.assign(11, 1)
	first, second, other := &attempt{server: 0}, &attempt{server: 0}, &attempt{server: 1}
	for _, a := range []*attempt{first, second, other} {
		table.addInFlight(a)
	}
	if want := []int{0, 1}; !slices.Equal(table.busy, want) {
		t.Errorf("after three attempts at two servers the busy list is %v, want %v", table.busy, want)
	}
	table.removeInFlight(first)
	table.removeInFlight(other)
	table.removeIdle()
	if want := []int{0}; !slices.Equal(table.busy, want) {
		t.Errorf("with one attempt in flight the busy list is %v, want %v", table.busy, want)
	}
	table.removeInFlight(second)
	table.removeIdle()
	table.addInFlight(first)
	if want := []int{0}; !slices.Equal(table.busy, want) {
		t.Errorf("after a new attempt at an idle server the busy list is %v, want %v", table.busy, want)
	}
}

func TestServerHoldsTheShardsOfItsSetAndPrecedingSets(t *testing.T) {
	g := New(1, &gather.Settings{ReplicaSets: 4, ReplicaSetsPerShard: 3})
	for own, want := range map[int][]int{0: {0, 3, 2}, 2: {2, 1, 0}, 4: nil, -1: nil} {
		if got := g.replicaSetsOf(own); !slices.Equal(got, want) {
			t.Errorf("a server of set %d holds the shards of %v, want %v", own, got, want)
		}
	}
}
