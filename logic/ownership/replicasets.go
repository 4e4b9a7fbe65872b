package ownership

import "slices"

// ReplicaSetIndex numbers the replica sets of segments, by which the decisions know servers. Each segment has
// one of all its owners and one of its writer. The number of a removed segment is reused as late as possible,
// so that a piece of an old map does not hit another segment by it.
type ReplicaSetIndex struct {
	maxSegments int
	numbers     map[string]int
	free        []int
}

// NewReplicaSetIndex returns an index for at most so many segments.
func NewReplicaSetIndex(maxSegments int) *ReplicaSetIndex {
	x := &ReplicaSetIndex{maxSegments: maxSegments, numbers: map[string]int{}}
	for n := range maxSegments {
		x.free = append(x.free, n)
	}
	return x
}

// Update numbers the segments of a map. It reports whether these are too many: the last ones then count as
// unowned.
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

// release frees the numbers of segments that a map does not have.
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
	slices.Sort(removed) // decisions must not depend on a map's order
	for _, name := range removed {
		x.free = append(x.free, x.numbers[name])
		delete(x.numbers, name)
	}
}

// ReplicaSets returns the replica sets of a segment's owners and of its writer, NoOwner for both where it has
// no number.
func (x *ReplicaSetIndex) ReplicaSets(name string) (owners, writer int) {
	n, numbered := x.numbers[name]
	if !numbered {
		return x.NoOwner(), x.NoOwner()
	}
	return 2 * n, 2*n + 1
}

// NoOwner is the last replica set, which has no servers.
func (x *ReplicaSetIndex) NoOwner() int { return 2 * x.maxSegments }

// ByHost returns the replica sets that each host is in.
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
