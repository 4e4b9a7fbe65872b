// Package placing works out which hosts hold which segments.
//
// It decides, for a model of logic/placement, where the replicas of each segment are put: the least greatest
// utilisation first, then the least cost, then the fewest copies made. Replicas stand in as many halls as
// there are, hosts hold no more segments than they have room for, and no more replicas move than the model
// allows. Up to a dozen hosts the answer is proven best (branch and bound); beyond that it is the best that a
// search of a stated effort finds, with the gap to a bound that no placement can pass. It may never put a
// replica on a host that drains or has gone. Why this way: docs/design/placement.md.
package placing

import (
	"cmp"
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/balance"
	"yokeroute/logic/placement"
)

// Exact is up to how many hosts that run a placement is proven best.
const Exact = 12

// Terms are how long to look and from which seed chance comes.
type Terms struct {
	Effort int // tries of a change; the search is over with them, whatever machine it runs on
	Seed   uint64
}

// Move is one replica that is copied to a host which does not hold it yet. From is the host that holds one
// less for it, empty where a replica is added.
type Move struct {
	Segment string `json:"Segment"`
	From    string `json:"From"`
	To      string `json:"To"`
}

// Result is a placement.
type Result struct {
	Model    *placement.Model `json:"Model"` // normal, with the new places
	Moves    []Move           `json:"Moves"`
	Greatest placement.Ratio  `json:"Greatest"` // when all hosts are warm
	Cost     int64            `json:"Cost"`
	Bound    placement.Ratio  `json:"Bound"`  // no placement is under it
	Floor    int64            `json:"Floor"`  // nor, at the bound, under this cost
	Proven   bool             `json:"Proven"` // no placement is better
	Tries    int              `json:"Tries"`
	Stopped  bool             `json:"Stopped"` // the time ran out before the effort
}

// value is what placements are compared by.
type value struct {
	u     placement.Ratio
	cost  int64
	moves int
}

func (v value) less(o value) bool {
	switch {
	case v.u.Less(o.u):
		return true
	case o.u.Less(v.u):
		return false
	}
	return cmp.Or(cmp.Compare(v.cost, o.cost), cmp.Compare(v.moves, o.moves)) < 0
}

// lifted are limits that are left out, for finding which of them clash.
type lifted struct {
	copies, spread, holds, capacity bool
	halls                           []bool
}

// job is a placement being looked for.
type job struct {
	m      *placement.Model
	p      *balance.Problem
	free   lifted
	usable []int   // hosts that may hold something
	wanted []int   // replicas of each segment
	spread []int   // halls in which each has to stand at least
	had    [][]int // hosts that hold each now
	asked  []int64
	order  []int // segments, the heaviest first
	more   func() bool
	tries  int
	effort int
}

func newJob(m *placement.Model, free lifted, effort int, more func() bool) *job {
	j := &job{m: m, free: free, more: more, effort: effort}
	j.p, _ = warm(m)
	j.p.Free(free.halls, free.capacity)
	halls := map[string]bool{}
	for i, h := range m.Hosts {
		if h.State == gather.Running {
			j.usable = append(j.usable, i)
			halls[h.Zone] = true
		}
	}
	for i, s := range m.Segments {
		j.had = append(j.had, slices.Clone(j.p.Places(i)))
		want := wanted(&s)
		j.wanted = append(j.wanted, want)
		spread := min(want, len(halls))
		if free.spread {
			spread = 0
		}
		j.spread = append(j.spread, spread)
		j.order = append(j.order, i)
	}
	j.asked = j.p.Asked()
	slices.SortStableFunc(j.order, func(a, b int) int { return cmp.Compare(j.asked[b], j.asked[a]) })
	return j
}

// copies counts the replicas of a segment that its hosts do not hold yet. A segment that stands nowhere is
// new: putting it somewhere moves nothing.
func (j *job) copies(segment int, hosts []int) int {
	if len(j.had[segment]) == 0 {
		return 0
	}
	n := 0
	for _, h := range hosts {
		if !slices.Contains(j.had[segment], h) {
			n++
		}
	}
	return n
}

// mostCopies is how many copies a placement may make.
func (j *job) mostCopies() int {
	if j.m.MaxMoves < 0 || j.free.copies {
		return int(placement.MaxRate)
	}
	return j.m.MaxMoves
}

// room is how many segments a host may hold.
func (j *job) room(host int) int {
	if holds := j.m.Hosts[host].MaxSegments; holds > 0 && !j.free.holds {
		return holds
	}
	return len(j.m.Segments)
}

// spreadOK reports whether hosts stand in enough halls for the segment.
func (j *job) spreadOK(segment int, hosts []int) bool {
	if j.spread[segment] < 2 {
		return true
	}
	seen := make([]bool, len(j.m.Zones))
	n := 0
	for _, h := range hosts {
		if hall := j.p.Hall(h); !seen[hall] {
			seen[hall] = true
			n++
		}
	}
	return n >= j.spread[segment]
}

// judge gives the value of a whole placement, or false where demand does not fit it.
func (j *job) judge(places [][]int) (value, bool) {
	v := value{}
	for s, hosts := range places {
		j.p.Place(s, hosts)
		v.moves += j.copies(s, hosts)
	}
	u, fits := j.p.Least(false)
	if !fits || v.moves > j.mostCopies() {
		return v, false
	}
	v.u = u
	_, v.cost, _ = j.p.Cheapest(u, false, nil)
	return v, true
}

// Search looks for a placement. Where none fits it says why; that is proven unless the misfit says otherwise.
func Search(m *placement.Model, terms Terms, more func() bool) (*Result, *Misfit, error) {
	if faults := m.Validate(); len(faults) > 0 {
		return nil, nil, faults[0]
	}
	m = m.Normalized()
	if bad := obvious(m); bad != nil {
		return nil, bad, nil
	}
	j := newJob(m, lifted{halls: make([]bool, len(m.Zones))}, terms.Effort, more)
	r := &Result{}
	r.Bound, r.Floor = j.bound()
	places, v, found := j.search(terms.Seed, r.Bound)
	exact := len(j.usable) <= Exact
	if exact {
		b := branch{job: j, best: v, places: places, found: found}
		r.Proven = b.run()
		places, v, found = b.places, b.best, b.found
	}
	r.Tries, r.Stopped = j.tries, !more()
	if !found {
		if exact && r.Proven {
			return nil, j.clash(), nil
		}
		return nil, &Misfit{Kind: NotFound, Unproven: true, Tries: j.tries}, nil
	}
	r.Greatest, r.Cost = v.u, v.cost
	r.Proven = r.Proven || !r.Bound.Less(v.u) && r.Floor == v.cost && v.moves == 0
	if r.Proven {
		r.Bound, r.Floor = v.u, v.cost
	}
	j.fill(r, places)
	return r, nil, nil
}

// fill names the places of a result.
func (j *job) fill(r *Result, places [][]int) {
	m := *j.m
	m.Segments = slices.Clone(m.Segments)
	for s, hosts := range places {
		on := make([]string, len(hosts))
		for i, h := range hosts {
			on[i] = m.Hosts[h].Name
		}
		var gone []string
		for _, name := range m.Segments[s].Hosts {
			if !slices.Contains(on, name) {
				gone = append(gone, name)
			}
		}
		for _, name := range on {
			if len(m.Segments[s].Hosts) == 0 || slices.Contains(m.Segments[s].Hosts, name) {
				continue
			}
			move := Move{Segment: m.Segments[s].Name, To: name}
			if len(gone) > 0 {
				move.From, gone = gone[0], gone[1:]
			}
			r.Moves = append(r.Moves, move)
		}
		m.Segments[s].Hosts = on
	}
	r.Model = &m
}

// bound is what no placement can be under: the ratio at which all demand as one finds room anywhere, and at
// which each segment finds it on as many of the largest hosts as it has replicas; and the cost at that ratio
// of demand that may go anywhere.
func (j *job) bound() (placement.Ratio, int64) {
	p, _ := warm(Anywhere(j.m))
	p.Free(j.free.halls, j.free.capacity)
	u, fits := p.Least(false)
	if !fits {
		return placement.Ratio{Load: 1, Capacity: 1}, 0
	}
	for s, want := range j.wanted {
		if own, ok := j.p.LeastOn(heaviest(j.m, j.p, want), j.asked[s]); ok && u.Less(own) {
			u = own
		}
	}
	if u.Load > u.Capacity {
		u = placement.Ratio{Load: 1, Capacity: 1}
	}
	_, cost, _ := p.Cheapest(u, false, nil)
	return u, cost
}
