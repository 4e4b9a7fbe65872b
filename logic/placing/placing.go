// Package placing works out which hosts hold which segments.
//
// It decides, for a model of logic/placement, where the replicas of each segment are put: the least greatest
// utilisation first, then the least cost, then the fewest copies made. Replicas stand in as many zones as
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

// MaxExactHosts is up to how many hosts that run a placement is proven best.
const MaxExactHosts = 12

// Config are how long to look and from which seed chance comes.
type Config struct {
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
	Model          *placement.Model `json:"Model"` // normal, with the new places
	Moves          []Move           `json:"Moves"`
	MaxUtilisation placement.Ratio  `json:"Greatest"` // when all hosts are warm
	Cost           int64            `json:"Cost"`
	Bound          placement.Ratio  `json:"Bound"`  // no placement is under it
	CostBound      int64            `json:"Floor"`  // nor, at the bound, under this cost
	Proven         bool             `json:"Proven"` // no placement is better
	Attempts       int              `json:"Tries"`
	TimedOut       bool             `json:"Stopped"` // the time ran out before the effort
}

// value is what placements are compared by.
type value struct {
	utilisation placement.Ratio
	cost        int64
	moves       int
}

func (v value) less(o value) bool {
	switch {
	case v.utilisation.Less(o.utilisation):
		return true
	case o.utilisation.Less(v.utilisation):
		return false
	}
	return cmp.Or(cmp.Compare(v.cost, o.cost), cmp.Compare(v.moves, o.moves)) < 0
}

// relaxed are limits that are left out, for finding which of them clash.
type relaxed struct {
	moves, spread, slots, capacity bool
	zones                          []bool
}

// job is a placement being looked for.
type job struct {
	model        *placement.Model
	problem      *balance.Problem
	relaxed      relaxed
	usable       []int   // hosts that may hold something
	wanted       []int   // replicas of each segment
	minZones     []int   // zones in which each has to stand at least
	currentHosts [][]int // hosts that hold each now
	demands      []int64
	order        []int // segments, the heaviest first
	hasTime      func() bool
	attempts     int
	effort       int
}

func newJob(m *placement.Model, free relaxed, effort int, more func() bool) *job {
	j := &job{model: m, relaxed: free, hasTime: more, effort: effort}
	j.problem, _ = warmProblem(m)
	j.problem.RelaxLimits(free.zones, free.capacity)
	zones := map[string]bool{}
	for i, h := range m.Hosts {
		if h.State == gather.Running {
			j.usable = append(j.usable, i)
			zones[h.Zone] = true
		}
	}
	for i, s := range m.Segments {
		j.currentHosts = append(j.currentHosts, slices.Clone(j.problem.Hosts(i)))
		want := wantedReplicas(&s)
		j.wanted = append(j.wanted, want)
		spread := min(want, len(zones))
		if free.spread {
			spread = 0
		}
		j.minZones = append(j.minZones, spread)
		j.order = append(j.order, i)
	}
	j.demands = j.problem.SegmentDemands()
	slices.SortStableFunc(j.order, func(a, b int) int { return cmp.Compare(j.demands[b], j.demands[a]) })
	return j
}

// moves counts the replicas of a segment that its hosts do not hold yet. A segment that stands nowhere is
// new: putting it somewhere moves nothing.
func (j *job) moves(segment int, hosts []int) int {
	if len(j.currentHosts[segment]) == 0 {
		return 0
	}
	n := 0
	for _, h := range hosts {
		if !slices.Contains(j.currentHosts[segment], h) {
			n++
		}
	}
	return n
}

// maxMoves is how many copies a placement may make.
func (j *job) maxMoves() int {
	if j.model.MaxMoves < 0 || j.relaxed.moves {
		return int(placement.MaxRate)
	}
	return j.model.MaxMoves
}

// maxSegments is how many segments a host may hold.
func (j *job) maxSegments(host int) int {
	if holds := j.model.Hosts[host].MaxSegments; holds > 0 && !j.relaxed.slots {
		return holds
	}
	return len(j.model.Segments)
}

// inEnoughZones reports whether hosts stand in enough zones for the segment.
func (j *job) inEnoughZones(segment int, hosts []int) bool {
	if j.minZones[segment] < 2 {
		return true
	}
	seen := make([]bool, len(j.model.Zones))
	n := 0
	for _, h := range hosts {
		if zone := j.problem.Zone(h); !seen[zone] {
			seen[zone] = true
			n++
		}
	}
	return n >= j.minZones[segment]
}

// evaluate gives the value of a whole placement, or false where demand does not fit it.
func (j *job) evaluate(places [][]int) (value, bool) {
	v := value{}
	for s, hosts := range places {
		j.problem.SetHosts(s, hosts)
		v.moves += j.moves(s, hosts)
	}
	u, fits := j.problem.MinUtilisation(false)
	if !fits || v.moves > j.maxMoves() {
		return v, false
	}
	v.utilisation = u
	_, v.cost, _ = j.problem.MinCost(u, false, nil)
	return v, true
}

// Search looks for a placement. Where none fits it says why; that is proven unless the misfit says otherwise.
func Search(m *placement.Model, terms Config, more func() bool) (*Result, *Infeasibility, error) {
	if faults := m.Validate(); len(faults) > 0 {
		return nil, nil, faults[0]
	}
	m = m.Normalized()
	if bad := findInfeasibility(m); bad != nil {
		return nil, bad, nil
	}
	j := newJob(m, relaxed{zones: make([]bool, len(m.Zones))}, terms.Effort, more)
	r := &Result{}
	r.Bound, r.CostBound = j.lowerBound()
	places, v, found := j.search(terms.Seed, r.Bound)
	exact := len(j.usable) <= MaxExactHosts
	if exact {
		b := branchAndBound{job: j, best: v, places: places, found: found}
		r.Proven = b.run()
		places, v, found = b.places, b.best, b.found
	}
	r.Attempts, r.TimedOut = j.attempts, !more()
	if !found {
		if exact && r.Proven {
			return nil, j.conflictingLimits(), nil
		}
		return nil, &Infeasibility{Kind: NotFound, Unproven: true, Attempts: j.attempts}, nil
	}
	r.MaxUtilisation, r.Cost = v.utilisation, v.cost
	r.Proven = r.Proven || !r.Bound.Less(v.utilisation) && r.CostBound == v.cost && v.moves == 0
	if r.Proven {
		r.Bound, r.CostBound = v.utilisation, v.cost
	}
	j.describe(r, places)
	return r, nil, nil
}

// describe names the places of a result.
func (j *job) describe(r *Result, places [][]int) {
	m := *j.model
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

// lowerBound is what no placement can be under: the ratio at which all demand as one finds room anywhere,
// and at which each segment finds it on as many of the largest hosts as it has replicas; and the cost at
// that ratio of demand that may go anywhere.
func (j *job) lowerBound() (placement.Ratio, int64) {
	p, _ := warmProblem(OneSegmentModel(j.model))
	p.RelaxLimits(j.relaxed.zones, j.relaxed.capacity)
	u, fits := p.MinUtilisation(false)
	if !fits {
		return placement.Ratio{Load: 1, Capacity: 1}, 0
	}
	for s, want := range j.wanted {
		largest := largestHosts(j.model, j.problem, want)
		if own, ok := j.problem.MinUtilisationOn(largest, j.demands[s]); ok && u.Less(own) {
			u = own
		}
	}
	if u.Load > u.Capacity {
		u = placement.Ratio{Load: 1, Capacity: 1}
	}
	_, cost, _ := p.MinCost(u, false, nil)
	return u, cost
}
