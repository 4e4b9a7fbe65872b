package placing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"yokeroute/gather"
	"yokeroute/logic/balance"
	"yokeroute/logic/placement"
)

// InfeasibilityKind is the kind of reason why no placement fits.
type InfeasibilityKind string

// The kinds of infeasibility.
const (
	TooFewHosts          InfeasibilityKind = "too few hosts" // fewer hosts than replicas of a segment
	TooFewSlots          InfeasibilityKind = "no room"       // hosts have too little room for all replicas
	DemandTooHigh        InfeasibilityKind = "too much"      // total demand too high for any placement
	SegmentDemandTooHigh InfeasibilityKind = "too heavy"     // segment too large for its replica count
	TooManyMoves         InfeasibilityKind = "must move"     // more replicas have to move than allowed
	ConflictingLimits    InfeasibilityKind = "together"      // limits cannot all be met at the same time
	NotFound             InfeasibilityKind = "not found"     // not found within the effort; proves nothing
)

// Names of limits in an Infeasibility of the kind ConflictingLimits. The limit of a zone is named "hall " and
// the name of the zone.
const (
	limitMoves    = "most-moved"
	limitSpread   = "replicas in different halls"
	limitSlots    = "segments that hosts have room for"
	limitCapacity = "capacity of hosts"
)

// Infeasibility is the reason why no placement fits.
type Infeasibility struct {
	Kind         InfeasibilityKind        `json:"Kind"`
	Segment      string                   `json:"Segment"`
	Need         int64                    `json:"Need"`  // required hosts, slots, moves or units, by kind
	Available    int64                    `json:"Takes"` // available or allowed number of them
	Hosts        []string                 `json:"Hosts"`
	Proof        *placement.Infeasibility `json:"Clash"`  // for DemandTooHigh: proof for the OneSegmentModel
	Limits       []string                 `json:"Limits"` // for ConflictingLimits: a minimal set of them
	Relaxations  []string                 `json:"Lifts"`  // changes; each one would be sufficient by itself
	Unproven     bool                     `json:"Unproven"`
	TriedChanges int                      `json:"Tries"` // number of changes that the search has tried
}

// runningHosts returns the names of the hosts that may hold replicas.
func runningHosts(m *placement.Model) (names []string) {
	for _, h := range m.Hosts {
		if h.State == gather.Running {
			names = append(names, h.Name)
		}
	}
	return names
}

func wantedReplicas(s *placement.Segment) int {
	if s.Replicas > 0 {
		return s.Replicas
	}
	return max(len(s.Hosts), 1)
}

// OneSegmentModel returns the model with all segments merged into one that every running host holds. If
// demand does not fit this model, it does not fit any placement.
func OneSegmentModel(m *placement.Model) *placement.Model {
	merged := *m
	merged.Segments = []placement.Segment{{Name: "all", ReplicaSet: -1, Hosts: runningHosts(m)}}
	merged.Demands = nil
	for _, zone := range m.Zones {
		sum := int64(0)
		for _, d := range m.Demands {
			if d.Zone == zone.Name {
				sum += d.Rate
			}
		}
		merged.Demands = append(merged.Demands, placement.Demand{Segment: "all", Zone: zone.Name, Rate: sum})
	}
	return &merged
}

// warmProblem returns the problem of a model at the moment at which all hosts are warm, and that moment. A
// placement is optimised for warm hosts.
func warmProblem(m *placement.Model) (*balance.Problem, float64) {
	p := balance.NewProblem(m)
	times := m.StepTimes()
	at := times[len(times)-1]
	p.SetTime(at, nil)
	return p, at
}

// largestHosts returns the running hosts with the highest capacity, at most count of them.
func largestHosts(m *placement.Model, p *balance.Problem, count int) (hosts []int) {
	for i, h := range m.Hosts {
		if h.State == gather.Running {
			hosts = append(hosts, i)
		}
	}
	slices.SortStableFunc(hosts, func(a, b int) int { return cmp.Compare(p.Capacity(b), p.Capacity(a)) })
	return hosts[:min(count, len(hosts))]
}

// findInfeasibility returns a reason why no placement can fit that is found without a search, or nil.
func findInfeasibility(m *placement.Model) *Infeasibility {
	if f := checkHosts(m); f != nil {
		return f
	}
	if f := checkSlots(m); f != nil {
		return f
	}
	if f := checkMoves(m); f != nil {
		return f
	}
	p, at := warmProblem(OneSegmentModel(m))
	if proof := p.Infeasibility(at); proof != nil {
		p.AddRelaxations(proof)
		return &Infeasibility{Kind: DemandTooHigh, Proof: proof}
	}
	return checkSegmentDemands(m)
}

// checkHosts checks that there are at least as many running hosts as replicas of each segment.
func checkHosts(m *placement.Model) *Infeasibility {
	hosts := runningHosts(m)
	for i := range m.Segments {
		s := &m.Segments[i]
		want := wantedReplicas(s)
		if want <= len(hosts) {
			continue
		}
		return &Infeasibility{
			Kind:      TooFewHosts,
			Segment:   s.Name,
			Need:      int64(want),
			Available: int64(len(hosts)),
			Hosts:     hosts,
			Relaxations: []string{
				fmt.Sprintf("%d replicas of %s", len(hosts), s.Name),
				fmt.Sprintf("%d hosts more", want-len(hosts)),
			},
		}
	}
	return nil
}

// checkSlots checks that the running hosts have room for all replicas.
func checkSlots(m *placement.Model) *Infeasibility {
	slots := int64(0)
	for i := range m.Hosts {
		h := &m.Hosts[i]
		if h.State != gather.Running {
			continue
		}
		if h.MaxSegments == 0 { // no limit
			return nil
		}
		slots += int64(h.MaxSegments)
	}
	replicas := int64(0)
	for i := range m.Segments {
		replicas += int64(wantedReplicas(&m.Segments[i]))
	}
	if replicas <= slots {
		return nil
	}
	return &Infeasibility{
		Kind:      TooFewSlots,
		Need:      replicas,
		Available: slots,
		Hosts:     runningHosts(m),
		Relaxations: []string{
			fmt.Sprintf("hosts with room for %d segments more", replicas-slots),
			fmt.Sprintf("%d replicas fewer", replicas-slots),
		},
	}
}

// checkMoves checks that no more replicas have to move than the model allows.
func checkMoves(m *placement.Model) *Infeasibility {
	if m.MaxMoves < 0 {
		return nil
	}
	hosts := runningHosts(m)
	moves := int64(0)
	for i := range m.Segments {
		s := &m.Segments[i]
		if len(s.Hosts) == 0 { // placing a new segment does not count as a move
			continue
		}
		remaining := 0
		for _, h := range s.Hosts {
			if slices.Contains(hosts, h) {
				remaining++
			}
		}
		moves += int64(max(wantedReplicas(s)-remaining, 0))
	}
	if moves <= int64(m.MaxMoves) {
		return nil
	}
	return &Infeasibility{
		Kind:        TooManyMoves,
		Need:        moves,
		Available:   int64(m.MaxMoves),
		Relaxations: []string{fmt.Sprintf("most-moved %d", moves)},
	}
}

// checkSegmentDemands checks that the demand for each segment fits the largest hosts, as many as it has
// replicas.
func checkSegmentDemands(m *placement.Model) *Infeasibility {
	p, _ := warmProblem(m)
	demands := p.SegmentDemands()
	for i := range m.Segments {
		s := &m.Segments[i]
		hosts := largestHosts(m, p, wantedReplicas(s))
		capacity := sumCapacity(p, hosts)
		if demands[i] <= capacity {
			continue
		}
		f := &Infeasibility{Kind: SegmentDemandTooHigh, Segment: s.Name, Need: demands[i], Available: capacity}
		for _, h := range hosts {
			f.Hosts = append(f.Hosts, m.Hosts[h].Name)
		}
		for want := wantedReplicas(s) + 1; want <= len(runningHosts(m)); want++ {
			if sumCapacity(p, largestHosts(m, p, want)) >= demands[i] {
				f.Relaxations = append(f.Relaxations, fmt.Sprintf("%d replicas of %s", want, s.Name))
				break
			}
		}
		return f
	}
	return nil
}

func sumCapacity(p *balance.Problem, hosts []int) (sum int64) {
	for _, h := range hosts {
		sum += p.Capacity(h)
	}
	return sum
}

// conflictingLimits returns a minimal set of limits that cannot be met together. It relaxes one limit after
// the other and keeps it relaxed while the model stays infeasible; a limit without which a placement fits
// belongs to the set. Feasibility is determined by the same full search as for the placement itself.
func (j *job) conflictingLimits() *Infeasibility {
	none := make([]bool, len(j.model.Zones))
	nothingRelaxed := relaxed{zones: none}
	type limit struct {
		name  string
		relax func(l *relaxed)
	}
	var limits []limit
	if j.model.MaxMoves >= 0 {
		limits = append(limits, limit{limitMoves, func(l *relaxed) { l.moves = true }})
	}
	if slices.ContainsFunc(j.minZones, func(n int) bool { return n > 1 }) {
		limits = append(limits, limit{limitSpread, func(l *relaxed) { l.spread = true }})
	}
	if slices.ContainsFunc(j.model.Hosts, func(h placement.Host) bool { return h.MaxSegments > 0 }) {
		limits = append(limits, limit{limitSlots, func(l *relaxed) { l.slots = true }})
	}
	for i, zone := range j.model.Zones {
		if zone.MaxLoad >= 0 || zone.Headroom > 0 || zone.HeadroomShare > 0 {
			limits = append(limits, limit{"hall " + zone.Name, func(l *relaxed) {
				l.zones = slices.Clone(l.zones)
				l.zones[i] = true
			}})
		}
	}
	limits = append(limits, limit{limitCapacity, func(l *relaxed) { l.capacity = true }})
	infeasibility := &Infeasibility{Kind: ConflictingLimits, TriedChanges: j.triedChanges}
	current := nothingRelaxed
	for _, l := range limits {
		candidate := current
		if l.relax(&candidate); !j.isFeasible(candidate, infeasibility) {
			current = candidate // the other limits conflict even without this one
			continue
		}
		infeasibility.Limits = append(infeasibility.Limits, l.name)
	}
	for _, l := range limits {
		if !slices.Contains(infeasibility.Limits, l.name) {
			continue
		}
		single := nothingRelaxed
		if l.relax(&single); !j.isFeasible(single, infeasibility) {
			continue
		}
		switch {
		case l.name == limitMoves:
			infeasibility.Relaxations = append(infeasibility.Relaxations, j.sufficientMoves(infeasibility))
		case l.name == limitCapacity:
			infeasibility.Relaxations = append(infeasibility.Relaxations, "hosts that can do more")
		case strings.HasPrefix(l.name, "hall "):
			infeasibility.Relaxations = append(infeasibility.Relaxations, "no limit for "+l.name)
		default:
			infeasibility.Relaxations = append(infeasibility.Relaxations, "no bound on "+l.name)
		}
	}
	return infeasibility
}

// isFeasible reports whether any placement meets the limits that are not relaxed. It marks the infeasibility
// as unproven if the search ended early without a placement.
func (j *job) isFeasible(relax relaxed, infeasibility *Infeasibility) bool {
	relaxedJob := newJob(j.model, relax, j.effort, j.hasTime)
	b := branchAndBound{job: relaxedJob, acceptAny: true}
	isComplete := b.run()
	infeasibility.TriedChanges += relaxedJob.triedChanges
	infeasibility.Unproven = infeasibility.Unproven || !isComplete && !b.found
	return b.found
}

// sufficientMoves returns the relaxation that raises the limit of moves to the least sufficient number.
func (j *job) sufficientMoves(infeasibility *Infeasibility) string {
	m := *j.model
	limit := j.model.MaxMoves + len(j.model.Segments)*MaxExactHosts
	for m.MaxMoves = j.model.MaxMoves + 1; m.MaxMoves < limit; m.MaxMoves++ {
		none := relaxed{zones: make([]bool, len(m.Zones))}
		if newJob(&m, none, j.effort, j.hasTime).isFeasible(none, infeasibility) {
			return fmt.Sprintf("most-moved %d", m.MaxMoves)
		}
	}
	return "no bound on " + limitMoves
}

// Describe explains an infeasibility to an operator. Rate formats units as a rate.
func (f *Infeasibility) Describe(rate func(int64) string) string {
	var b strings.Builder
	switch f.Kind {
	case TooFewHosts:
		fmt.Fprintf(&b, "%s is to have %d replicas, and there are %d hosts that run.",
			f.Segment, f.Need, f.Available)
	case TooFewSlots:
		fmt.Fprintf(&b, "All segments together are to have %d replicas, and the hosts have room for %d.",
			f.Need, f.Available)
	case TooManyMoves:
		fmt.Fprintf(&b, "%d replicas have to move, from hosts that do not run or since more are wanted, ", f.Need)
		fmt.Fprintf(&b, "and %d may.", f.Available)
	case DemandTooHigh:
		fmt.Fprintf(&b, "Wherever replicas stand: %s", f.Proof.Describe(rate))
	case SegmentDemandTooHigh:
		fmt.Fprintf(&b, "%s needs %s, and as many of the largest hosts as it has replicas, %s, take %s: %s short.",
			f.Segment, rate(f.Need), strings.Join(f.Hosts, " "), rate(f.Available), rate(f.Need-f.Available))
	case ConflictingLimits:
		fmt.Fprintf(&b, "No placement keeps these together, though one would without any single one of them: %s.",
			strings.Join(f.Limits, "; "))
		if f.Unproven {
			b.WriteString(" There was not enough time to prove that none of them can be left out.")
		}
	default:
		fmt.Fprintf(&b, "No placement was found in %d tries; that proves nothing. Give it more effort.",
			f.TriedChanges)
	}
	if len(f.Relaxations) > 0 {
		fmt.Fprintf(&b, "\nAny one of these would do against it: %s.", strings.Join(f.Relaxations, "; "))
	}
	return b.String()
}
