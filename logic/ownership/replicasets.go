package ownership

import "slices"

// ReplicaSetIndex assigns replica set numbers to segments. The decisions identify groups of servers by these
// numbers. Each segment has two replica sets: one of all its owners and one of its writer only. The number of
// a removed segment is reused as late as possible, so that a piece divided by an old map is not sent to
// another segment that has the same number.
type ReplicaSetIndex struct {
	maxSegments int
	numbers     map[string]int
	free        []int
}

// NewReplicaSetIndex returns an index for at most maxSegments segments.
func NewReplicaSetIndex(maxSegments int) *ReplicaSetIndex {
	x := &ReplicaSetIndex{maxSegments: maxSegments, numbers: map[string]int{}}
	for n := range maxSegments {
		x.free = append(x.free, n)
	}
	return x
}

// Update numbers the new segments of a map and frees the numbers of removed ones. It reports whether the map
// has more segments than there are numbers; the last ones in key order then count as unowned.
func (x *ReplicaSetIndex) Update(m *Map) (full bool) {
	x.release(m)
	for _, s := range m.Segments {
		if _, numbered := x.numbers[s.Name]; numbered {
			continue
		}
		if len(x.free) == 0 {
			full = true
			continue
		}
		x.numbers[s.Name] = x.free[0]
		x.free = x.free[1:]
	}
	return full
}

// release frees the numbers of segments that are not in the map.
func (x *ReplicaSetIndex) release(m *Map) {
	present := map[string]bool{}
	for _, s := range m.Segments {
		present[s.Name] = true
	}
	var removed []string
	for name := range x.numbers {
		if !present[name] {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed) // decisions must not depend on the iteration order of a Go map
	for _, name := range removed {
		x.free = append(x.free, x.numbers[name])
		delete(x.numbers, name)
	}
}

// ReplicaSets returns the replica sets of a segment's owners and of its writer. Both are NoOwner if the
// segment has no number.
func (x *ReplicaSetIndex) ReplicaSets(name string) (owners, writer int) {
	n, numbered := x.numbers[name]
	if !numbered {
		return x.NoOwner(), x.NoOwner()
	}
	return 2 * n, 2*n + 1
}

// NoOwner returns the last replica set, which never has servers.
func (x *ReplicaSetIndex) NoOwner() int { return 2 * x.maxSegments }

// ByHost returns, for each host, the replica sets that it belongs to.
func (x *ReplicaSetIndex) ByHost(m *Map) map[string][]int {
	sets := map[string][]int{}
	for _, s := range m.Segments {
		owners, writer := x.ReplicaSets(s.Name)
		if owners == x.NoOwner() {
			continue
		}
		for i, host := range s.Owners {
			sets[host] = append(sets[host], owners)
			if i == 0 {
				sets[host] = append(sets[host], writer)
			}
		}
	}
	return sets
}
