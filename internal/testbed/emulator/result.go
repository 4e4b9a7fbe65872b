package emulator

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/rulecheck"
)

// Result is what a day came to. Shares are of lookups that clients asked for after the warm-up, with all their tries.
type Result struct {
	Scenario string `json:"scenario"`
	Variant  string `json:"variant"`
	Seed     uint64 `json:"seed"`

	Lookups   int     `json:"lookups"`
	Gain      float64 `json:"gain"`      // earned over asked for
	WorstTen  float64 `json:"worst_ten"` // the same in the worst 10 s
	InAim     float64 `json:"in_aim"`    // satisfied within the soft deadline
	Satisfied float64 `json:"satisfied"`
	Whole     float64 `json:"whole"`
	Tries     float64 `json:"tries"` // a lookup
	Nacked    float64 `json:"nacked"`
	Aborted   float64 `json:"aborted"` // tries that ended so, a lookup

	Latency  Latency            `json:"latency"`
	Buckets  []Bucket           `json:"buckets"` // of latencies, for charts
	Seconds  []Second           `json:"seconds"`
	Indexes  []Share            `json:"indexes"`
	Tenants  []Share            `json:"customers"`
	Servers  []Used             `json:"servers"`
	Calls    float64            `json:"calls"`  // part calls a lookup
	Causes   map[string]float64 `json:"causes"` // of these, by cause
	Ends     map[string]int     `json:"ends"`   // of part calls
	Crossing float64            `json:"crossing"`
	Wasted   float64            `json:"wasted"`            // share of the work done that was for nobody
	Fallen   int                `json:"fallen"`            // servers that were pushed over
	Handed   int                `json:"handed,omitempty"`  // hand-overs of segments carried out
	Undone   int                `json:"undone,omitempty"`  // and taken back
	Refused  int                `json:"refused,omitempty"` // calls that came to who did not own their keys
	Rounds   int                `json:"rounds"`            // of all gatherers
	Faults   int                `json:"faults"`            // lookups lost to a panic of the module
	Rules    *rulecheck.Report  `json:"rules,omitempty"`

	hist    *hdrhistogram.Histogram
	indexes map[string]*Share
	tenants map[string]*Share
	asked   float64
	earned  float64
	took    float64
	inAim   int
	whole   int
	served  int
	tried   int
}

// Latency is of satisfied lookups, from the client's first try, in milliseconds.
type Latency struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Bucket is how many satisfied lookups took up to so many milliseconds, and more than the bucket before.
type Bucket struct {
	Up    float64 `json:"up"`
	Count int64   `json:"n"`
}

// Second is one second of the day.
type Second struct {
	Asked  float64 `json:"asked"`
	Earned float64 `json:"earned"`
}

// Share is what an index or a customer was served.
type Share struct {
	Name    string  `json:"name"`
	Lookups int     `json:"lookups"`
	Gain    float64 `json:"gain"`
	InAim   float64 `json:"in_aim"`

	asked, earned, aim float64
}

// Used is what a server did.
type Used struct {
	Set    int     `json:"set"`
	Hall   string  `json:"hall"`
	Kind   string  `json:"kind"`
	Use    float64 `json:"use"` // share of its cores' time that it worked
	Wasted float64 `json:"wasted"`
	Parts  int     `json:"parts"`
	Turned int     `json:"turned_away"`
}

func newResult(sc *Scenario, o Options) *Result {
	r := &Result{Scenario: sc.Name, Variant: o.Variant.Name, Seed: o.Seed, hist: hdrhistogram.New(1, 600_000_000, 3), indexes: map[string]*Share{}, tenants: map[string]*Share{},
		Seconds: make([]Second, int(math.Ceil(sc.Length/1000)))}
	for _, ix := range sc.Indexes {
		r.indexes[ix.Name] = &Share{Name: ix.Name}
	}
	for _, c := range sc.Customers {
		r.tenants[c.Name] = &Share{Name: c.Name}
	}
	return r
}

// book takes a client's lookup that is over.
func (r *Result) book(w *World, k *ask) {
	if k.at < w.sc.Warmup {
		return
	}
	r.Lookups++
	r.tried += k.tried
	r.asked += k.ix.Gain
	r.earned += k.earned
	s := &r.Seconds[int(k.at/1000)]
	s.Asked += k.ix.Gain
	s.Earned += k.earned
	aim := 0
	if k.took > 0 {
		r.served++
		r.took += k.took
		r.hist.RecordValue(int64(math.Round(k.took * 1000)))
		if k.took <= k.ix.Soft {
			aim = 1
		}
		if k.whole {
			r.whole++
		}
	}
	r.inAim += aim
	for _, share := range []*Share{r.indexes[k.ix.Name], r.tenants[k.customer.Name]} {
		share.Lookups++
		share.asked += k.ix.Gain
		share.earned += k.earned
		share.aim += float64(aim)
	}
}

func (r *Result) finish(w *World) {
	n := max(float64(r.Lookups), 1)
	r.Gain = r.earned / max(r.asked, 1e-9)
	r.InAim, r.Satisfied, r.Whole, r.Tries = float64(r.inAim)/n, float64(r.served)/n, float64(r.whole)/n, float64(r.tried)/n
	r.Nacked, r.Aborted = float64(w.verdicts[dispatch.Rejected])/n, float64(w.verdicts[dispatch.Failed])/n
	r.WorstTen = r.Gain
	from := int(math.Ceil(w.sc.Warmup / 1000))
	for i := from; i+10 <= len(r.Seconds); i++ {
		asked, earned := 0.0, 0.0
		for _, s := range r.Seconds[i : i+10] {
			asked, earned = asked+s.Asked, earned+s.Earned
		}
		if asked > 0 {
			r.WorstTen = min(r.WorstTen, earned/asked)
		}
	}
	q := func(p float64) float64 { return float64(r.hist.ValueAtQuantile(p)) / 1000 }
	r.Latency = Latency{r.took / max(float64(r.served), 1), q(50), q(90), q(99), q(99.9)}
	for up := 1.0; up < 60_000; up *= math.Sqrt2 {
		r.Buckets = append(r.Buckets, Bucket{Up: math.Round(up*1000) / 1000})
	}
	for _, bar := range r.hist.Distribution() {
		if bar.Count == 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(r.Buckets, float64(bar.From)/1000, func(b Bucket, ms float64) int { return cmp.Compare(b.Up, ms) })
		r.Buckets[min(i, len(r.Buckets)-1)].Count += bar.Count
	}
	for _, ix := range w.sc.Indexes {
		r.Indexes = append(r.Indexes, r.indexes[ix.Name].over())
	}
	for _, c := range w.sc.Customers {
		r.Tenants = append(r.Tenants, r.tenants[c.Name].over())
	}
	worked, wasted, parts := 0.0, 0.0, 0
	for _, s := range w.servers {
		r.Servers = append(r.Servers, Used{Set: s.set, Hall: w.sc.Halls[s.hall], Kind: s.kind.Name, Use: s.worked / w.sc.Length / float64(s.kind.Cores), Wasted: s.wasted / max(s.worked, 1e-9), Parts: s.parts, Turned: s.turnedAway})
		worked, wasted, parts = worked+s.worked, wasted+s.wasted, parts+s.parts
	}
	r.Wasted = wasted / max(worked, 1e-9)
	r.Crossing = float64(w.crossed) / max(float64(w.sent), 1)
	r.Causes, r.Ends = map[string]float64{}, map[string]int{}
	for i, c := range w.causes {
		r.Causes[CauseNames[i]] = float64(c) / n
		r.Calls += float64(c) / n
	}
	for o := gather.Succeeded; o <= gather.NotOwner; o++ {
		if w.ended[o] > 0 {
			r.Ends[o.String()] = w.ended[o]
		}
	}
	if o := w.owned; o != nil {
		r.Handed, r.Undone, r.Refused = o.done, o.undone, o.refused
	}
	r.Fallen, r.Rounds, r.Faults = w.fallen, w.rounds, w.broken
	if w.checker != nil {
		r.Rules = w.checker.Finish()
	}
}

func (s *Share) over() Share {
	return Share{Name: s.Name, Lookups: s.Lookups, Gain: s.earned / max(s.asked, 1e-9), InAim: s.aim / max(float64(s.Lookups), 1)}
}

// figures are those of a result by which days and variants are compared; more is better for all.
var figures = []struct {
	name string
	of   func(r *Result) float64
}{
	{"gain", func(r *Result) float64 { return r.Gain }},
	{"worst-ten", func(r *Result) float64 { return r.WorstTen }},
	{"in-aim", func(r *Result) float64 { return r.InAim }},
	{"satisfied", func(r *Result) float64 { return r.Satisfied }},
	{"worst-index", func(r *Result) float64 { return worst(r.Indexes) }},
	{"worst-customer", func(r *Result) float64 { return worst(r.Tenants) }},
}

func worst(of []Share) float64 {
	least := 1.0
	for _, s := range of {
		if s.Lookups > 0 {
			least = min(least, s.Gain)
		}
	}
	return least
}

// Figures are the names of the figures by which days and variants are compared.
func Figures() []string {
	var names []string
	for _, f := range figures {
		names = append(names, f.name)
	}
	return names
}

// Figure is a figure by its name.
func (r *Result) Figure(name string) float64 {
	for _, f := range figures {
		if f.name == name {
			return f.of(r)
		}
	}
	return math.NaN()
}

// Short is what of a day falls short of what was expected of it, rules first; empty where nothing does.
func (r *Result) Short(sc *Scenario) (short []string) {
	if r.Rules != nil {
		for _, b := range r.Rules.Violations {
			short = append(short, b.String())
		}
		if r.Rules.Incomplete != "" {
			short = append(short, r.Rules.Incomplete)
		}
	}
	for _, e := range sc.Expect {
		if got := r.Figure(e.What); got < e.Least {
			short = append(short, fmt.Sprintf("%s is %.4f, at least %g was expected", e.What, got, e.Least))
		}
	}
	return short
}
