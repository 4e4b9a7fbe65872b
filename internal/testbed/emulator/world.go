package emulator

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/rulecheck"
	"yokeroute/logic/balance"
	"yokeroute/logic/placement"
)

// Variant is the decisions that gatherers run.
type Variant struct {
	Name   string
	Module func(seed uint64, settings *gather.Settings, look Look) gather.Module // nil for the project's own
	Phases bool                                                                  // marked indexes may go in two phases
}

// Look is what only a model can know, for a variant that is a bound and no policy: how long a part would take at a
// server from now on, in milliseconds, infinite where it would fail.
type Look func(server uint32) float64

func (v *Variant) module(w *World, g *gatherer) func(seed uint64, settings *gather.Settings) gather.Module {
	if v.Module == nil {
		return nil
	}
	return func(seed uint64, settings *gather.Settings) gather.Module {
		return v.Module(seed, settings, func(server uint32) float64 { return w.look(g, server) })
	}
}

// Options are what of a run is not the scenario's.
type Options struct {
	Seed    uint64
	Variant Variant
	Trace   func(rulecheck.Header) (see func(rulecheck.Event), end func(at float64, why string) error) // nil for none
	Unruled bool                                                                                       // rules are not checked
	Stop    func() bool                                                                                // asked now and then; true ends the run
}

// World is a day that is played.
type World struct {
	sc      *Scenario
	seed    uint64
	variant *Variant
	begin   float64 // Unix milliseconds of the day's beginning
	now     float64
	agenda  agenda
	log     *logrus.Logger

	servers   []*server
	byID      map[uint32]*server
	gatherers []*gatherer
	paths     []path
	cuts      []cut
	listLag   float64
	weights   [][][]gather.Weight // by hall, nil for none
	asks      []*ask
	owned     *segmentOwners // nil where the layout says who holds what
	number    uint64         // of the next lookup

	header  rulecheck.Header
	checker *rulecheck.Checker
	trace   func(rulecheck.Event)
	result  *Result

	rounds, tries, sent, crossed, fallen, broken, gaveUp, aborted int
	verdicts                                                      map[dispatch.ResultKind]int
	ended                                                         map[gather.Outcome]int
	causes                                                        [causeKinds]int
}

// ErrStopped is a run that was stopped from outside.
var ErrStopped = errors.New("stopped")

// dayBegins is when every day begins: far from 0, so that servers that have always run and times of the day differ.
const dayBegins = 1_000_000_000.0

// Run plays a day and gives what came of it.
func Run(sc *Scenario, o Options) (*Result, error) {
	w, err := begin(sc, o)
	if err != nil {
		return nil, err
	}
	if err := w.day(o); err != nil {
		return nil, err
	}
	w.result.finish(w)
	return w.result, nil
}

// begin sets a day up.
func begin(sc *Scenario, o Options) (*World, error) {
	w := &World{sc: sc, seed: o.Seed, variant: &o.Variant, begin: dayBegins, log: quietLog(), byID: map[uint32]*server{}, listLag: 1, number: 1,
		header: sc.Header(), result: newResult(sc, o), verdicts: map[dispatch.ResultKind]int{}, ended: map[gather.Outcome]int{}}
	w.build()
	if sc.Owned.Segments > 0 {
		if err := w.settleSegments(); err != nil {
			return nil, err
		}
	}
	if sc.Planned {
		if err := w.plan(); err != nil {
			return nil, err
		}
	}
	if !o.Unruled {
		var err error
		if w.checker, err = rulecheck.NewChecker(w.header); err != nil {
			return nil, err
		}
	}
	w.arrivals()
	return w, nil
}

// day plays it.
func (w *World) day(o Options) error {
	sc := w.sc
	var end func(float64, string) error
	if o.Trace != nil {
		w.trace, end = o.Trace(w.header)
	}
	for _, g := range w.gatherers {
		w.boot(g)
	}
	for _, k := range w.asks {
		w.at(k.at, func() { w.try(k) })
	}
	if w.owned != nil && sc.Owned.Every > 0 {
		w.in(sc.Owned.Every, w.handOver)
	}
	for i := range sc.Troubles {
		t := &sc.Troubles[i]
		w.at(t.At, func() { kindOf(t.Kind).start(w, t) })
	}
	last := sc.Length + w.longest() + 2*sc.Rules.Slack + 100
	for n := 0; len(w.agenda.heap) > 0 && w.agenda.heap[0].at <= last; n++ {
		e := w.agenda.take()
		w.now = e.at
		e.do()
		if n%4096 == 0 && o.Stop != nil && o.Stop() {
			return ErrStopped
		}
	}
	w.now = last
	for _, k := range w.asks {
		w.settle(k)
	}
	w.see(rulecheck.Event{Kind: rulecheck.TraceEnd})
	if end != nil {
		return end(w.now, "")
	}
	return nil
}

func (w *World) longest() (most float64) {
	for _, ix := range w.sc.Indexes {
		most = max(most, ix.Hard)
	}
	return most
}

// see tells the checker and the trace.
func (w *World) see(e rulecheck.Event) {
	e.At = w.now
	if w.checker != nil {
		w.checker.Observe(e)
	}
	if w.trace != nil && e.Kind != rulecheck.TraceEnd {
		w.trace(e)
	}
}

// build deals out servers, paths and gatherers.
func (w *World) build() {
	sc := w.sc
	w.paths = make([]path, len(sc.Halls)*len(sc.Halls))
	for i := range w.paths {
		w.paths[i] = path{latency: sc.Local, jitter: 0.2}
		if i/len(sc.Halls) != i%len(sc.Halls) {
			w.paths[i].latency = 0.5
		}
	}
	for _, l := range sc.Links {
		from, to := slices.Index(sc.Halls, l.From), slices.Index(sc.Halls, l.To)
		for _, i := range []int{from*len(sc.Halls) + to, to*len(sc.Halls) + from} {
			w.paths[i] = path{l.Latency, l.Jitter, l.Loss}
		}
	}
	ids := w.stream("ids", 0) // of no order, as those of machines are
	for n, m := range sc.Machines() {
		id := ids.Uint32()
		for id == 0 || w.byID[id] != nil {
			id = ids.Uint32()
		}
		s := &server{number: n, id: id, set: m.Set, hall: m.Hall, kind: m.Kind, slow: 1, setup: 1, chance: w.stream("server", uint64(n))}
		w.servers = append(w.servers, s)
		w.byID[id] = s
		w.header.Servers[id] = rulecheck.Server{Capacity: s.capacity()}
	}
	clocks := w.stream("clocks", 0)
	for n := range sc.Gatherers.Count {
		g := &gatherer{number: n, hall: n % len(sc.Halls), seed: w.seed*1000003 + uint64(n)*7919, net: w.stream("network", uint64(n)), know: w.stream("news", uint64(n)),
			lossy: make([]float64, len(w.servers)), wrong: make([]int, len(w.servers)), known: make([]gather.Endpoint, len(w.servers)), heard: make([]float64, len(w.servers))}
		g.offset = (2*clocks.Float64() - 1) * sc.Gatherers.Clock
		g.settings = sc.Settings(n, sc.Halls[g.hall])
		g.silence = math.Inf(1)
		if s := dispatch.SilenceTimeout(g.settings); s < 1e9 {
			g.silence = s
		}
		for i, s := range w.servers {
			g.known[i] = w.entry(g, s)
		}
		w.gatherers = append(w.gatherers, g)
	}
}

// plan works out weights from what the scenario tells, as an operator would.
func (w *World) plan() error {
	sc := w.sc
	m := &placement.Model{Unit: 0.01, At: w.begin, Steps: 1, MaxMoves: -1}
	work, rate := 0.0, 0.0
	for _, ix := range sc.Indexes {
		parts := ix.Share * math.Ceil(ix.Need*float64(ix.Parts+ix.To)/2)
		work, rate = work+parts*ix.Work, rate+parts*sc.Clients.Rate
	}
	mean := work * sc.Clients.Rate / rate
	for _, h := range sc.Halls {
		m.Zones = append(m.Zones, placement.Zone{Name: h, MaxLoad: -1})
	}
	on := make([][]string, sc.Layout.Sets)
	for _, s := range w.servers {
		name := fmt.Sprint("s-", s.number)
		m.Hosts = append(m.Hosts, placement.Host{Name: name, Zone: sc.Halls[s.hall], Capacity: int64(s.capacity() * 1000 / mean / m.Unit), Cost: 1000})
		for j := range sc.Layout.Row {
			set := (s.set - j + sc.Layout.Sets) % sc.Layout.Sets
			on[set] = append(on[set], name)
		}
	}
	for set, hosts := range on {
		m.Segments = append(m.Segments, placement.Segment{Name: fmt.Sprint("group-", set), ReplicaSet: set, Hosts: hosts})
		for _, h := range sc.Halls {
			m.Demands = append(m.Demands, placement.Demand{Segment: fmt.Sprint("group-", set), Zone: h, Rate: int64(rate / float64(sc.Layout.Sets) / float64(len(sc.Halls)) / m.Unit)})
		}
	}
	if faults := m.Validate(); len(faults) > 0 {
		return faults[0]
	}
	plan, clash, err := balance.Solve(m, nil, func() bool { return true })
	if err != nil {
		return err
	}
	if clash != nil {
		return fmt.Errorf("weights on: no weights fit: %s", clash.Describe(func(u int64) string { return fmt.Sprintf("%g/s", float64(u)*m.Unit) }))
	}
	for _, h := range sc.Halls {
		w.weights = append(w.weights, placement.WeightsForZone(plan.RowsAt(w.begin), h, func(host string) (uint32, bool) {
			var n int
			fmt.Sscanf(host, "s-%d", &n)
			return w.servers[n].id, true
		}))
	}
	return nil
}

// look is what a part would take at a server from now on.
func (w *World) look(g *gatherer, id uint32) float64 {
	s := w.byID[id]
	if s == nil || s.down > 0 || s.hung > 0 || s.draining || g.lossy[s.number] > 0 || len(s.failing) > 0 {
		return math.Inf(1)
	}
	work := 0.0
	for _, t := range s.waiting[s.head:] {
		work += t.work
	}
	return (work/float64(s.kind.Cores) + float64(s.busy)/float64(s.kind.Cores)) * s.slow / s.kind.Speed / w.strength(s)
}

// The causes of part calls, as they are counted.
const (
	causeFirst   = iota // a part's first call
	causeExtra          // beyond the n of normal mode
	causeAgain          // after one that failed
	causeCopy           // beside one that is out
	causeSummary        // of a first pass
	causeKinds
)

// CauseNames are the causes of part calls.
var CauseNames = [causeKinds]string{"first", "beyond n", "again", "copy", "first pass"}

// count books the cause of a part call.
func (w *World) count(a *attempt) {
	if w.now < w.sc.Warmup {
		return
	}
	switch {
	case a.call.FirstPass():
		w.causes[causeSummary]++
	case a.call.Number() > 0 && a.call.OnlyInFlight():
		w.causes[causeAgain]++
	case a.call.Number() > 0:
		w.causes[causeCopy]++
	case a.call.ShardsAttempted() > a.lk.needs():
		w.causes[causeExtra]++
	default:
		w.causes[causeFirst]++
	}
}

// needs is how many parts make a whole answer.
func (lk *lookup) needs() int {
	return int(math.Ceil(lk.ask.ix.Need*float64(len(lk.ask.parts)) - 1e-9))
}
