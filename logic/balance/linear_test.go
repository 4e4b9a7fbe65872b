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

// linear is the least greatest utilisation in fractions of units, by the simplex method: a second witness
// that has nothing in common with flows. Variables are the share of each row at each host, the utilisation,
// and slacks.
func linear(p *Problem) (float64, error) {
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

// witnessed draws a model without hall limits, and rows that all have a host.
func witnessed(r *rand.Rand, hosts int) *Problem {
	m := drawn(r, hosts)
	for i := range m.Zones {
		m.Zones[i].MaxLoad, m.Zones[i].Headroom = -1, 0
	}
	for i := range m.Hosts {
		m.Hosts[i].Capacity, m.Hosts[i].State = 50+int64(r.Intn(100)), gather.Running
	}
	var asked []placement.Demand
	for _, d := range m.Demands {
		d.Rate *= 11
		asked = append(asked, d)
	}
	m.Demands = asked
	p := NewProblem(m.Normalized())
	p.SetTime(1e9, nil)
	return p
}

// TestWholeUnitsAreWithinOneOfTheLinearProgram wants whole units never better than fractions, and worse by
// less than one unit of the smallest host.
func TestWholeUnitsAreWithinOneOfTheLinearProgram(t *testing.T) {
	r := rand.New(rand.NewSource(4))
	compared := 0
	for range 300 {
		p := witnessed(r, 8)
		if len(p.rows) == 0 {
			continue
		}
		want, err := linear(p)
		if err != nil {
			continue // the simplex gives up on some that are degenerate
		}
		got, _ := p.MinUtilisation(true)
		if slack := 1 / 50.0; got.Float() < want-1e-6 || got.Float() > want+slack {
			t.Fatalf("%v in whole units, %g in fractions", got, want)
		}
		compared++
	}
	if compared < 100 {
		t.Errorf("%d compared", compared)
	}
}

// BenchmarkLinear is the simplex on what BenchmarkLeast does by flows.
func BenchmarkLinear(b *testing.B) {
	p := NewProblem(wide(12).Normalized())
	p.SetTime(1e9, nil)
	for b.Loop() {
		if u, err := linear(p); err != nil || math.IsNaN(u) {
			b.Fatal(u, err)
		}
	}
}

func BenchmarkLeast(b *testing.B) {
	p := NewProblem(wide(12).Normalized())
	p.SetTime(1e9, nil)
	for b.Loop() {
		p.MinUtilisation(true)
	}
}

// wide has so many hosts in sets of four, with six segments a set, asked for by two halls.
func wide(hosts int) *placement.Model {
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
