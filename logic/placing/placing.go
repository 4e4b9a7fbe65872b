// Package placing decides which hosts hold the replicas of which segments.
//
// For a model of package placement it minimises the maximum utilisation first, then the cost, then the number
// of moved replicas. The replicas of a segment are spread over as many zones as possible, hosts hold no more
// segments than they have room for, and no more replicas move than the model allows. With up to a dozen
// running hosts the result is proven optimal by branch and bound. With more hosts it is the best placement
// that a local search of the given effort finds, together with a lower bound for all placements. It must
// never put a replica on a host that is draining or removed. The reasons for the design are in
// docs/design/placement.md.
package placing

import (
	"cmp"
	"slices"

	"yokeroute/gather"
	"yokeroute/logic/balance"
	"yokeroute/logic/placement"
)

// MaxExactHosts is the maximum number of running hosts for which a placement is proven optimal.
const MaxExactHosts = 12

// Config configures a search.
type Config struct {
	// Effort is the number of tried changes after which the search ends. It does not depend on the speed
	// of the machine.
	Effort int
	Seed   uint64 // seed of the random numbers
}

// Move is a replica that is copied to a host which does not hold it yet. From is the host that drops its
// replica of the segment in exchange, empty if the move adds a replica.
type Move struct {
	Segment string `json:"Segment"`
	From    string `json:"From"`
	To      string `json:"To"`
}

// Result is the result of a search that has found a placement.
type Result struct {
	Model          *placement.Model `json:"Model"` // the normalized model with the new hosts of segments
	Moves          []Move           `json:"Moves"`
	MaxUtilisation placement.Ratio  `json:"Greatest"` // maximum utilisation when all hosts are warm
	Cost           int64            `json:"Cost"`
	Bound          placement.Ratio  `json:"Bound"`   // lower bound of MaxUtilisation for all placements
	CostBound      int64            `json:"Floor"`   // lower bound of the cost at the utilisation Bound
	Proven         bool             `json:"Proven"`  // whether it is proven that no placement is better
	TriedChanges   int              `json:"Tries"`   // number of changes that the search has tried
	TimedOut       bool             `json:"Stopped"` // whether the time ran out before the effort was used up
}

// value holds the criteria by which placements are compared, in the order of their priority.
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

// relaxed lists the limits that a search ignores, to find out which limits conflict.
type relaxed struct {
	moves, spread, slots, capacity bool
	zones                          []bool
}

// job holds the input of a search and counts the changes that it tries.
type job struct {
	model         *placement.Model
	problem       *balance.Problem
	relaxed       relaxed
	usableHosts   []int   // hosts that may hold replicas
	replicaCounts []int   // number of replicas of each segment
	minZones      []int   // minimum number of zones for each segment
	currentHosts  [][]int // hosts that hold each segment now
	demands       []int64 // demand for each segment
	order         []int   // segments, sorted by descending demand
	hasTime       func() bool
	triedChanges  int
	effort        int
}

func newJob(m *placement.Model, relax relaxed, effort int, hasTime func() bool) *job {
	j := &job{model: m, relaxed: relax, hasTime: hasTime, effort: effort}
	j.problem, _ = warmProblem(m)
	j.problem.RelaxLimits(relax.zones, relax.capacity)
	zones := map[string]bool{}
	for i, h := range m.Hosts {
		if h.State == gather.Running {
			j.usableHosts = append(j.usableHosts, i)
			zones[h.Zone] = true
		}
	}
	for i, s := range m.Segments {
		j.currentHosts = append(j.currentHosts, slices.Clone(j.problem.Hosts(i)))
		want := wantedReplicas(&s)
		j.replicaCounts = append(j.replicaCounts, want)
		spread := min(want, len(zones))
		if relax.spread {
			spread = 0
		}
		j.minZones = append(j.minZones, spread)
		j.order = append(j.order, i)
	}
	j.demands = j.problem.SegmentDemands()
	slices.SortStableFunc(j.order, func(a, b int) int { return cmp.Compare(j.demands[b], j.demands[a]) })
	return j
}

// moves returns how many of the hosts do not hold a replica of the segment yet. It returns zero for a new
// segment, which no host holds yet.
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

// maxMoves returns the maximum number of replicas that a placement may move.
func (j *job) maxMoves() int {
	if j.model.MaxMoves < 0 || j.relaxed.moves {
		return int(placement.MaxRate)
	}
	return j.model.MaxMoves
}

// maxSegments returns the maximum number of segments that a host may hold.
func (j *job) maxSegments(host int) int {
	if limit := j.model.Hosts[host].MaxSegments; limit > 0 && !j.relaxed.slots {
		return limit
	}
	return len(j.model.Segments)
}

// inEnoughZones reports whether the hosts are in at least the minimum number of zones for the segment.
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

// evaluate returns the value of a complete placement, or false if demand does not fit it or if it moves too
// many replicas.
func (j *job) evaluate(assignment [][]int) (value, bool) {
	v := value{}
	for s, hosts := range assignment {
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

// Search searches for a placement. If it finds none, it returns the reason, which is proven unless the
// infeasibility is marked as unproven. HasTime reports whether there is time to go on.
func Search(m *placement.Model, config Config, hasTime func() bool) (*Result, *Infeasibility, error) {
	if entryErrors := m.Validate(); len(entryErrors) > 0 {
		return nil, nil, entryErrors[0]
	}
	m = m.Normalized()
	if infeasibility := findInfeasibility(m); infeasibility != nil {
		return nil, infeasibility, nil
	}
	j := newJob(m, relaxed{zones: make([]bool, len(m.Zones))}, config.Effort, hasTime)
	r := &Result{}
	r.Bound, r.CostBound = j.lowerBound()
	assignment, v, found := j.search(config.Seed, r.Bound)
	isExact := len(j.usableHosts) <= MaxExactHosts
	if isExact {
		b := branchAndBound{job: j, best: v, assignment: assignment, found: found}
		r.Proven = b.run()
		assignment, v, found = b.assignment, b.best, b.found
	}
	r.TriedChanges, r.TimedOut = j.triedChanges, !hasTime()
	if !found {
		if isExact && r.Proven {
			return nil, j.conflictingLimits(), nil
		}
		return nil, &Infeasibility{Kind: NotFound, Unproven: true, TriedChanges: j.triedChanges}, nil
	}
	r.MaxUtilisation, r.Cost = v.utilisation, v.cost
	r.Proven = r.Proven || !r.Bound.Less(v.utilisation) && r.CostBound == v.cost && v.moves == 0
	if r.Proven {
		r.Bound, r.CostBound = v.utilisation, v.cost
	}
	j.fillResult(r, assignment)
	return r, nil, nil
}

// fillResult sets the model and the moves of a result to those of a placement.
func (j *job) fillResult(r *Result, assignment [][]int) {
	m := *j.model
	m.Segments = slices.Clone(m.Segments)
	for s, hosts := range assignment {
		hostNames := make([]string, len(hosts))
		for i, h := range hosts {
			hostNames[i] = m.Hosts[h].Name
		}
		var droppedBy []string
		for _, name := range m.Segments[s].Hosts {
			if !slices.Contains(hostNames, name) {
				droppedBy = append(droppedBy, name)
			}
		}
		for _, name := range hostNames {
			if len(m.Segments[s].Hosts) == 0 || slices.Contains(m.Segments[s].Hosts, name) {
				continue
			}
			move := Move{Segment: m.Segments[s].Name, To: name}
			if len(droppedBy) > 0 {
				move.From, droppedBy = droppedBy[0], droppedBy[1:]
			}
			r.Moves = append(r.Moves, move)
		}
		m.Segments[s].Hosts = hostNames
	}
	r.Model = &m
}

// lowerBound returns lower bounds for all placements. The bound of the utilisation is the least one at which
// the total demand fits if it may go to any host, and at which the demand for each segment fits on the
// largest hosts, as many as it has replicas. The bound of the cost is the least cost at that utilisation if
// demand may go to any host.
func (j *job) lowerBound() (placement.Ratio, int64) {
	p, _ := warmProblem(OneSegmentModel(j.model))
	p.RelaxLimits(j.relaxed.zones, j.relaxed.capacity)
	u, fits := p.MinUtilisation(false)
	if !fits {
		return placement.Ratio{Load: 1, Capacity: 1}, 0
	}
	for s, want := range j.replicaCounts {
		largest := largestHosts(j.model, j.problem, want)
		if segmentBound, ok := j.problem.MinUtilisationOn(largest, j.demands[s]); ok && u.Less(segmentBound) {
			u = segmentBound
		}
	}
	if u.Load > u.Capacity {
		u = placement.Ratio{Load: 1, Capacity: 1}
	}
	_, cost, _ := p.MinCost(u, false, nil)
	return u, cost
}
