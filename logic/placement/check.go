package placement

import "fmt"

// stepViolations holds one step's weights against the model, without any of the solver's own arithmetic.
func (p *Plan) stepViolations(where string, s *Step, lost []string, limits bool) (wrong []error) {
	m := p.Model
	say := func(format string, args ...any) { wrong = append(wrong, fmt.Errorf(where+format, args...)) }
	gone := map[string]bool{}
	for _, name := range lost {
		gone[name] = true
	}
	hosts, on := map[string]*Host{}, map[[2]string]bool{}
	alive, asked := map[string]bool{}, map[[2]string]int64{}
	for i := range m.Hosts {
		hosts[m.Hosts[i].Name] = &m.Hosts[i]
	}
	safe := func(name string) int64 {
		if gone[name] {
			return 0
		}
		return m.SafeCapacity(hosts[name], s.From)
	}
	for _, seg := range m.Segments {
		for _, h := range seg.Hosts {
			on[[2]string{seg.Name, h}] = true
			alive[seg.Name] = alive[seg.Name] || safe(h) > 0
		}
	}
	for _, d := range m.Demands {
		asked[[2]string{d.Segment, d.Zone}] = d.Rate
	}
	loads, byHall, room := map[string]int64{}, map[string]int64{}, map[string]int64{}
	for _, r := range s.Rows {
		sum := int64(0)
		for _, w := range r.Weights {
			switch {
			case hosts[w.Host] == nil:
				say("%s from %s: no host %s", r.Segment, r.Zone, w.Host)
				continue
			case !on[[2]string{r.Segment, w.Host}]:
				say("%s does not hold %s", w.Host, r.Segment)
			case w.Rate < 0:
				say("%s gets %d of %s", w.Host, w.Rate, r.Segment)
			}
			sum += w.Rate
			loads[w.Host] += w.Rate
			byHall[hosts[w.Host].Zone] += w.Rate
		}
		key := [2]string{r.Segment, r.Zone}
		if want := asked[key]; sum != want && (alive[r.Segment] || lost == nil) {
			say("%s from %s: %d of %d units are shared out", r.Segment, r.Zone, sum, want)
		}
		delete(asked, key)
	}
	for _, d := range m.Demands {
		if asked[[2]string{d.Segment, d.Zone}] > 0 {
			say("%s from %s has no weights", d.Segment, d.Zone)
		}
	}
	if !limits {
		return wrong
	}
	for _, h := range m.Hosts {
		can := safe(h.Name)
		room[h.Zone] += can
		if got := loads[h.Name]; got > can {
			say("%s gets %d of the %d units that it can take", h.Name, got, can)
		}
	}
	for _, h := range m.Zones {
		got := byHall[h.Name]
		if h.MaxLoad >= 0 && got > h.MaxLoad {
			say("hall %s gets %d of its %d units at most", h.Name, got, h.MaxLoad)
		}
		// A hall that has less than it is to keep free may carry nothing.
		keep := max(float64(h.Headroom), float64(room[h.Name])*h.HeadroomShare-1e-6)
		if free := room[h.Name] - got; got > 0 && float64(free) < keep {
			say("hall %s has %d of its %d units free, less than it is to keep", h.Name, free, room[h.Name])
		}
	}
	return wrong
}
