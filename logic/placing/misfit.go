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

// MisfitKind is why no placement fits.
type MisfitKind string

// The kinds of misfits.
const (
	TooFewHosts MisfitKind = "too few hosts" // for the replicas of a segment
	NoRoom      MisfitKind = "no room"       // for all replicas on the hosts
	TooMuch     MisfitKind = "too much"      // demand for all hosts together, wherever replicas stand
	TooHeavy    MisfitKind = "too heavy"     // a segment for as many of the largest hosts as it has replicas
	MustMove    MisfitKind = "must move"     // more replicas have to move than may
	Together    MisfitKind = "together"      // each limit could be kept, but not all of them
	NotFound    MisfitKind = "not found"     // in the effort given; nothing is proven
)

// Limits of a placement, as Together names them; a hall's is "hall " and its name.
const (
	limitCopies   = "most-moved"
	limitSpread   = "replicas in different halls"
	limitHolds    = "segments that hosts have room for"
	limitCapacity = "capacity of hosts"
)

// Misfit says why no placement fits.
type Misfit struct {
	Kind     MisfitKind               `json:"Kind"`
	Segment  string                   `json:"Segment"`
	Need     int64                    `json:"Need"`
	Takes    int64                    `json:"Takes"`
	Hosts    []string                 `json:"Hosts"`
	Clash    *placement.Infeasibility `json:"Clash"`  // of TooMuch: of a model in which all segments are one that stands everywhere
	Limits   []string                 `json:"Limits"` // of Together: no placement keeps these, and without any one of them some does
	Lifts    []string                 `json:"Lifts"`  // what would do by itself
	Unproven bool                     `json:"Unproven"`
	Tries    int                      `json:"Tries"`
}

// running are the hosts that may hold something.
func running(m *placement.Model) (names []string) {
	for _, h := range m.Hosts {
		if h.State == gather.Running {
			names = append(names, h.Name)
		}
	}
	return names
}

func wanted(s *placement.Segment) int {
	if s.Replicas > 0 {
		return s.Replicas
	}
	return max(len(s.Hosts), 1)
}

// Anywhere is the model in which all segments are one that stands on every host: what does not fit it fits no
// placement.
func Anywhere(m *placement.Model) *placement.Model {
	whole := *m
	whole.Segments, whole.Demands = []placement.Segment{{Name: "all", ReplicaSet: -1, Hosts: running(m)}}, nil
	for _, hall := range m.Zones {
		sum := int64(0)
		for _, d := range m.Demands {
			if d.Zone == hall.Name {
				sum += d.Rate
			}
		}
		whole.Demands = append(whole.Demands, placement.Demand{Segment: "all", Zone: hall.Name, Rate: sum})
	}
	return &whole
}

// warm sets a problem to the moment at which all hosts are warm, which is what a placement is for.
func warm(m *placement.Model) (*balance.Problem, float64) {
	p := balance.NewProblem(m)
	times := m.StepTimes()
	at := times[len(times)-1]
	p.Set(at, nil)
	return p, at
}

// heaviest gives as many of the hosts that can do most as a segment has replicas.
func heaviest(m *placement.Model, p *balance.Problem, want int) (hosts []int) {
	for i, h := range m.Hosts {
		if h.State == gather.Running {
			hosts = append(hosts, i)
		}
	}
	slices.SortStableFunc(hosts, func(a, b int) int { return cmp.Compare(p.Can(b), p.Can(a)) })
	return hosts[:min(want, len(hosts))]
}

// obvious finds the misfits that show without a search.
func obvious(m *placement.Model) *Misfit {
	there := running(m)
	replicas, room, endless, forced := int64(0), int64(0), false, int64(0)
	for _, h := range m.Hosts {
		if h.State == gather.Running {
			room += int64(h.MaxSegments)
			endless = endless || h.MaxSegments == 0
		}
	}
	p, _ := warm(m)
	asked := p.Asked()
	for i := range m.Segments {
		s := &m.Segments[i]
		want := wanted(s)
		if want > len(there) {
			return &Misfit{Kind: TooFewHosts, Segment: s.Name, Need: int64(want), Takes: int64(len(there)),
				Hosts: there, Lifts: []string{fmt.Sprintf("%d replicas of %s", len(there), s.Name),
					fmt.Sprintf("%d hosts more", want-len(there))}}
		}
		replicas += int64(want)
		if len(s.Hosts) > 0 {
			kept := 0
			for _, h := range s.Hosts {
				if slices.Contains(there, h) {
					kept++
				}
			}
			forced += int64(max(want-kept, 0))
		}
	}
	if !endless && replicas > room {
		return &Misfit{Kind: NoRoom, Need: replicas, Takes: room, Hosts: there,
			Lifts: []string{fmt.Sprintf("hosts with room for %d segments more", replicas-room),
				fmt.Sprintf("%d replicas fewer", replicas-room)}}
	}
	if m.MaxMoves >= 0 && forced > int64(m.MaxMoves) {
		return &Misfit{Kind: MustMove, Need: forced, Takes: int64(m.MaxMoves),
			Lifts: []string{fmt.Sprintf("most-moved %d", forced)}}
	}
	whole, at := warm(Anywhere(m))
	if c := whole.Clash(at); c != nil {
		whole.Lift(c)
		return &Misfit{Kind: TooMuch, Clash: c}
	}
	for i, s := range m.Segments {
		hosts, can := heaviest(m, p, wanted(&s)), int64(0)
		var names []string
		for _, h := range hosts {
			can += p.Can(h)
			names = append(names, m.Hosts[h].Name)
		}
		if asked[i] > can {
			bad := &Misfit{Kind: TooHeavy, Segment: s.Name, Need: asked[i], Takes: can, Hosts: names}
			for want := wanted(&s) + 1; want <= len(there); want++ {
				more := int64(0)
				for _, h := range heaviest(m, p, want) {
					more += p.Can(h)
				}
				if more >= asked[i] {
					bad.Lifts = append(bad.Lifts, fmt.Sprintf("%d replicas of %s", want, s.Name))
					break
				}
			}
			return bad
		}
	}
	return nil
}

// clash finds limits that clash together: those that have to be lifted last, one after the other, until
// something fits. Each is looked at by the same full search as the placement itself.
func (j *job) clash() *Misfit {
	none := make([]bool, len(j.m.Zones))
	all := lifted{halls: none}
	type limit struct {
		name string
		lift func(l *lifted)
	}
	var limits []limit
	if j.m.MaxMoves >= 0 {
		limits = append(limits, limit{limitCopies, func(l *lifted) { l.copies = true }})
	}
	if slices.ContainsFunc(j.spread, func(n int) bool { return n > 1 }) {
		limits = append(limits, limit{limitSpread, func(l *lifted) { l.spread = true }})
	}
	if slices.ContainsFunc(j.m.Hosts, func(h placement.Host) bool { return h.MaxSegments > 0 }) {
		limits = append(limits, limit{limitHolds, func(l *lifted) { l.holds = true }})
	}
	for i, h := range j.m.Zones {
		if h.MaxLoad >= 0 || h.Headroom > 0 || h.HeadroomShare > 0 {
			limits = append(limits, limit{"hall " + h.Name, func(l *lifted) {
				l.halls = slices.Clone(l.halls)
				l.halls[i] = true
			}})
		}
	}
	limits = append(limits, limit{limitCapacity, func(l *lifted) { l.capacity = true }})
	bad := &Misfit{Kind: Together, Tries: j.tries}
	left := all
	for _, l := range limits {
		with := left
		if l.lift(&with); !j.fits(with, bad) {
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
		if l.lift(&one); !j.fits(one, bad) {
			continue
		}
		switch {
		case l.name == limitCopies:
			bad.Lifts = append(bad.Lifts, j.enoughCopies(bad))
		case l.name == limitCapacity:
			bad.Lifts = append(bad.Lifts, "hosts that can do more")
		case strings.HasPrefix(l.name, "hall "):
			bad.Lifts = append(bad.Lifts, "no limit for "+l.name)
		default:
			bad.Lifts = append(bad.Lifts, "no bound on "+l.name)
		}
	}
	return bad
}

// fits reports whether any placement keeps the limits that are not lifted.
func (j *job) fits(free lifted, bad *Misfit) bool {
	t := newJob(j.m, free, j.effort, j.more)
	b := branch{job: t, anything: true}
	done := b.run()
	bad.Tries += t.tries
	bad.Unproven = bad.Unproven || !done && !b.found
	return b.found
}

// enoughCopies finds how many copies would do.
func (j *job) enoughCopies(bad *Misfit) string {
	m := *j.m
	for m.MaxMoves = j.m.MaxMoves + 1; m.MaxMoves < j.m.MaxMoves+len(j.m.Segments)*Exact; m.MaxMoves++ {
		none := lifted{halls: make([]bool, len(m.Zones))}
		if newJob(&m, none, j.effort, j.more).fits(none, bad) {
			return fmt.Sprintf("most-moved %d", m.MaxMoves)
		}
	}
	return "no bound on " + limitCopies
}

// Words tells a misfit to an operator; rate puts units into words.
func (f *Misfit) Words(rate func(int64) string) string {
	var b strings.Builder
	switch f.Kind {
	case TooFewHosts:
		fmt.Fprintf(&b, "%s is to have %d replicas, and there are %d hosts that run.", f.Segment, f.Need, f.Takes)
	case NoRoom:
		fmt.Fprintf(&b, "All segments together are to have %d replicas, and the hosts have room for %d.",
			f.Need, f.Takes)
	case MustMove:
		fmt.Fprintf(&b, "%d replicas have to move, from hosts that do not run or since more are wanted, ", f.Need)
		fmt.Fprintf(&b, "and %d may.", f.Takes)
	case TooMuch:
		fmt.Fprintf(&b, "Wherever replicas stand: %s", f.Clash.Describe(rate))
	case TooHeavy:
		fmt.Fprintf(&b, "%s needs %s, and as many of the largest hosts as it has replicas, %s, take %s: %s short.",
			f.Segment, rate(f.Need), strings.Join(f.Hosts, " "), rate(f.Takes), rate(f.Need-f.Takes))
	case Together:
		fmt.Fprintf(&b, "No placement keeps these together, though one would without any single one of them: %s.",
			strings.Join(f.Limits, "; "))
		if f.Unproven {
			b.WriteString(" There was not enough time to prove that none of them can be left out.")
		}
	default:
		fmt.Fprintf(&b, "No placement was found in %d tries; that proves nothing. Give it more effort.", f.Tries)
	}
	if len(f.Lifts) > 0 {
		fmt.Fprintf(&b, "\nAny one of these would do against it: %s.", strings.Join(f.Lifts, "; "))
	}
	return b.String()
}
