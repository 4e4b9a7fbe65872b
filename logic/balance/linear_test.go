package balance

import (
	"math"
	"math/rand"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"

	"yokeroute/gather"
	"yokeroute/logic/placement"
)

// minUtilisationBySimplex returns the least maximum utilisation with fractional units, by the simplex method.
// It is a second reference, independent of network flows. The variables are the units of each row at each
// host, the utilisation, and one slack variable for each host.
func minUtilisationBySimplex(p *Problem) (float64, error) {
	var shares [][2]int
	for i, r := range p.rows {
		for _, h := range p.replicas[r.segment] {
			shares = append(shares, [2]int{i, h})
		}
	}
	hosts := len(p.capacity)
	n := len(shares) + 1 + hosts
	a := mat.NewDense(len(p.rows)+hosts, n, nil)
	b, c := make([]float64, len(p.rows)+hosts), make([]float64, n)
	c[len(shares)] = 1
	for k, s := range shares {
		a.Set(s[0], k, 1)
		a.Set(len(p.rows)+s[1], k, 1)
	}
	for i, r := range p.rows {
		b[i] = float64(r.rate)
	}
	for h := range hosts {
		a.Set(len(p.rows)+h, len(shares), -float64(p.capacity[h]))
		a.Set(len(p.rows)+h, len(shares)+1+h, 1)
	}
	u, _, err := lp.Simplex(c, a, b, 1e-9, nil)
	return u, err
}

// randomLinearProblem returns a random problem without zone limits in which all hosts are running.
func randomLinearProblem(r *rand.Rand, hosts int) *Problem {
	m := randomModel(r, hosts)
	for i := range m.Zones {
		m.Zones[i].MaxLoad, m.Zones[i].Headroom = -1, 0
	}
	for i := range m.Hosts {
		m.Hosts[i].Capacity, m.Hosts[i].State = 50+int64(r.Intn(100)), gather.Running
	}
	var demands []placement.Demand
	for _, d := range m.Demands {
		d.Rate *= 11
		demands = append(demands, d)
	}
	m.Demands = demands
	p := NewProblem(m.Normalized())
	p.SetTime(1e9, nil)
	return p
}

// TestMinUtilisationIsWithinOneUnitOfLinearProgram compares the least maximum utilisation in whole units with
// the solution in fractional units. It must not be lower, and must be higher by no more than one unit on the
// smallest host.
func TestMinUtilisationIsWithinOneUnitOfLinearProgram(t *testing.T) {
	r := rand.New(rand.NewSource(4))
	compared := 0
	for range 300 {
		p := randomLinearProblem(r, 8)
		if len(p.rows) == 0 {
			continue
		}
		want, err := minUtilisationBySimplex(p)
		if err != nil {
			continue // the simplex solver fails on some degenerate problems
		}
		got, _ := p.MinUtilisation(true)
		if slack := 1 / 50.0; got.Float() < want-1e-6 || got.Float() > want+slack {
			t.Fatalf("utilisation %v in whole units, %g in fractional units", got, want)
		}
		compared++
	}
	if compared < 100 {
		t.Errorf("%d problems compared, want at least 100", compared)
	}
}

// BenchmarkMinUtilisationBySimplex measures the simplex method on the problem that
// BenchmarkMinUtilisation solves with network flows.
func BenchmarkMinUtilisationBySimplex(b *testing.B) {
	p := NewProblem(modelWithHosts(12).Normalized())
	p.SetTime(1e9, nil)
	for b.Loop() {
		if u, err := minUtilisationBySimplex(p); err != nil || math.IsNaN(u) {
			b.Fatal(u, err)
		}
	}
}

func BenchmarkMinUtilisation(b *testing.B) {
	p := NewProblem(modelWithHosts(12).Normalized())
	p.SetTime(1e9, nil)
	for b.Loop() {
		p.MinUtilisation(true)
	}
}

// modelWithHosts returns a model with the given number of hosts in sets of four, six segments on each set,
// and demand from two zones.
func modelWithHosts(hosts int) *placement.Model {
	m := &placement.Model{Unit: 1, MaxMoves: -1, Zones: []placement.Zone{{Name: "a", MaxLoad: -1}, {Name: "b", MaxLoad: -1}}}
	for i := range hosts {
		m.Hosts = append(m.Hosts, placement.Host{Name: string(rune('A' + i)), Zone: m.Zones[i%2].Name, Capacity: int64(90 + 7*i)})
	}
	for i := range hosts * 6 / 4 {
		s := placement.Segment{Name: string(rune('a' + i)), ReplicaSet: -1}
		for j := range 4 {
			s.Hosts = append(s.Hosts, m.Hosts[(i/6*4+j)%hosts].Name)
		}
		m.Segments = append(m.Segments, s)
		m.Demands = append(m.Demands, placement.Demand{Segment: s.Name, Zone: "a", Rate: int64(13 + i)}, placement.Demand{Segment: s.Name, Zone: "b", Rate: int64(9 + i%5)})
	}
	return m
}
