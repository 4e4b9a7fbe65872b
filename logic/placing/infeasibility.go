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

// InfeasibilityKind is why no placement fits.
type InfeasibilityKind string

// The kinds of infeasibility.
const (
	TooFewHosts          InfeasibilityKind = "too few hosts" // for the replicas of a segment
	TooFewSlots          InfeasibilityKind = "no room"       // for all replicas on the hosts
	DemandTooHigh        InfeasibilityKind = "too much"      // demand for all hosts, wherever replicas are
	SegmentDemandTooHigh InfeasibilityKind = "too heavy"     // a segment, on as many hosts as it has replicas
	TooManyMoves         InfeasibilityKind = "must move"     // more replicas have to move than may
	ConflictingLimits    InfeasibilityKind = "together"      // each limit could be kept, but not all of them
	NotFound             InfeasibilityKind = "not found"     // in the effort given; nothing is proven
)

// Limits of a placement, as ConflictingLimits names them; a zone's is "hall " and its name.
const (
	limitCopies   = "most-moved"
	limitSpread   = "replicas in different halls"
	limitHolds    = "segments that hosts have room for"
	limitCapacity = "capacity of hosts"
)

// Infeasibility says why no placement fits.
type Infeasibility struct {
	Kind        InfeasibilityKind        `json:"Kind"`
	Segment     string                   `json:"Segment"`
	Need        int64                    `json:"Need"`
	Available   int64                    `json:"Takes"`
	Hosts       []string                 `json:"Hosts"`
	Proof       *placement.Infeasibility `json:"Clash"`  // of DemandTooHigh: of OneSegmentModel
	Limits      []string                 `json:"Limits"` // of ConflictingLimits: a minimal set
	Relaxations []string                 `json:"Lifts"`  // what would do by itself
	Unproven    bool                     `json:"Unproven"`
	Attempts    int                      `json:"Tries"`
}

// runningHosts are the hosts that may hold something.
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

// OneSegmentModel is the model in which all segments are one that stands on every host: what does not fit
// it fits no placement.
func OneSegmentModel(m *placement.Model) *placement.Model {
	whole := *m
	whole.Segments = []placement.Segment{{Name: "all", ReplicaSet: -1, Hosts: runningHosts(m)}}
	whole.Demands = nil
	for _, zone := range m.Zones {
		sum := int64(0)
		for _, d := range m.Demands {
			if d.Zone == zone.Name {
				sum += d.Rate
			}
		}
		whole.Demands = append(whole.Demands, placement.Demand{Segment: "all", Zone: zone.Name, Rate: sum})
	}
	return &whole
}

// warmProblem sets a problem to the moment at which all hosts are warm, which is what a placement is for.
func warmProblem(m *placement.Model) (*balance.Problem, float64) {
	p := balance.NewProblem(m)
	times := m.StepTimes()
	at := times[len(times)-1]
	p.SetTime(at, nil)
	return p, at
}

// largestHosts gives as many of the hosts that can do most as a segment has replicas.
func largestHosts(m *placement.Model, p *balance.Problem, want int) (hosts []int) {
	for i, h := range m.Hosts {
		if h.State == gather.Running {
			hosts = append(hosts, i)
		}
	}
	slices.SortStableFunc(hosts, func(a, b int) int { return cmp.Compare(p.Capacity(b), p.Capacity(a)) })
	return hosts[:min(want, len(hosts))]
}

// findInfeasibility finds why no placement can fit, where that shows without a search.
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

// checkHosts checks that there are as many hosts as each segment has replicas.
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

// checkSlots checks that the hosts have room for all replicas.
func checkSlots(m *placement.Model) *Infeasibility {
	slots := int64(0)
	for i := range m.Hosts {
		h := &m.Hosts[i]
		if h.State != gather.Running {
			continue
		}
		if h.MaxSegments == 0 { // it has room for any number
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

// checkMoves checks that no more replicas have to move than may.
func checkMoves(m *placement.Model) *Infeasibility {
	if m.MaxMoves < 0 {
		return nil
	}
	hosts := runningHosts(m)
	moves := int64(0)
	for i := range m.Segments {
		s := &m.Segments[i]
		if len(s.Hosts) == 0 { // new: putting it somewhere moves nothing
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

// checkSegmentDemands checks that each segment's demand fits the largest hosts, as many as it has replicas.
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

// conflictingLimits finds limits that clash together: those that have to be lifted last, one after the
// other, until something fits. Each is looked at by the same full search as the placement itself.
func (j *job) conflictingLimits() *Infeasibility {
	none := make([]bool, len(j.model.Zones))
	all := relaxed{zones: none}
	type limit struct {
		name string
		lift func(l *relaxed)
	}
	var limits []limit
	if j.model.MaxMoves >= 0 {
		limits = append(limits, limit{limitCopies, func(l *relaxed) { l.moves = true }})
	}
	if slices.ContainsFunc(j.minZones, func(n int) bool { return n > 1 }) {
		limits = append(limits, limit{limitSpread, func(l *relaxed) { l.spread = true }})
	}
	if slices.ContainsFunc(j.model.Hosts, func(h placement.Host) bool { return h.MaxSegments > 0 }) {
		limits = append(limits, limit{limitHolds, func(l *relaxed) { l.slots = true }})
	}
	for i, h := range j.model.Zones {
		if h.MaxLoad >= 0 || h.Headroom > 0 || h.HeadroomShare > 0 {
			limits = append(limits, limit{"hall " + h.Name, func(l *relaxed) {
				l.zones = slices.Clone(l.zones)
				l.zones[i] = true
			}})
		}
	}
	limits = append(limits, limit{limitCapacity, func(l *relaxed) { l.capacity = true }})
	bad := &Infeasibility{Kind: ConflictingLimits, Attempts: j.attempts}
	left := all
	for _, l := range limits {
		with := left
		if l.lift(&with); !j.isFeasible(with, bad) {
			left = with // not needed for the clash
			continue
		}
		bad.Limits = append(bad.Limits, l.name)
	}
	for _, l := range limits {
		if !slices.Contains(bad.Limits, l.name) {
			continue
		}
		one := all
		if l.lift(&one); !j.isFeasible(one, bad) {
			continue
		}
		switch {
		case l.name == limitCopies:
			bad.Relaxations = append(bad.Relaxations, j.sufficientMoves(bad))
		case l.name == limitCapacity:
			bad.Relaxations = append(bad.Relaxations, "hosts that can do more")
		case strings.HasPrefix(l.name, "hall "):
			bad.Relaxations = append(bad.Relaxations, "no limit for "+l.name)
		default:
			bad.Relaxations = append(bad.Relaxations, "no bound on "+l.name)
		}
	}
	return bad
}

// isFeasible reports whether any placement keeps the limits that are not lifted.
func (j *job) isFeasible(free relaxed, bad *Infeasibility) bool {
	t := newJob(j.model, free, j.effort, j.hasTime)
	b := branchAndBound{job: t, acceptAny: true}
	done := b.run()
	bad.Attempts += t.attempts
	bad.Unproven = bad.Unproven || !done && !b.found
	return b.found
}

// sufficientMoves finds how many copies would do.
func (j *job) sufficientMoves(bad *Infeasibility) string {
	m := *j.model
	limit := j.model.MaxMoves + len(j.model.Segments)*MaxExactHosts
	for m.MaxMoves = j.model.MaxMoves + 1; m.MaxMoves < limit; m.MaxMoves++ {
		none := relaxed{zones: make([]bool, len(m.Zones))}
		if newJob(&m, none, j.effort, j.hasTime).isFeasible(none, bad) {
			return fmt.Sprintf("most-moved %d", m.MaxMoves)
		}
	}
	return "no bound on " + limitCopies
}

// Describe tells a misfit to an operator; rate puts units into words.
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
		fmt.Fprintf(&b, "No placement was found in %d tries; that proves nothing. Give it more effort.", f.Attempts)
	}
	if len(f.Relaxations) > 0 {
		fmt.Fprintf(&b, "\nAny one of these would do against it: %s.", strings.Join(f.Relaxations, "; "))
	}
	return b.String()
}
