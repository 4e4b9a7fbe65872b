package emulator

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"runtime"
	"strings"
	"sync"
	"testing"

	"yokeroute/internal/config/directive"
	"yokeroute/internal/rulecheck"
)

const farm = `
scenario farm
time length 20s warm-up 2s
hall north
hall south
link north south latency 0.6ms
kind big cores 2 speed 1 call 5ms
kind small cores 2 speed 0.75 call 5ms
layout sets 3 shards 18
servers 8 kind big
servers 7 kind small
gatherers 3
index resolve share 50% parts 4 to 7 work 80ms soft 1.2s hard 2.5s
index search share 30% parts 8 to 12 work 110ms need 75% soft 1.5s hard 3s gain 2
index claim share 20% parts 1 to 2 work 80ms soft 1s hard 3s late 0% effect once-only
clients rate 25/s retries 3
`

func parse(t testing.TB, text string) *Scenario {
	t.Helper()
	sc, err := Parse("test.conf", text)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

func play(t testing.TB, sc *Scenario, o Options) *Result {
	t.Helper()
	r, err := Run(sc, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// bytesOf plays a day and gives its result and its trace as bytes.
func bytesOf(t testing.TB, sc *Scenario, o Options) []byte {
	var out bytes.Buffer
	o.Trace = func(h rulecheck.Header) (func(rulecheck.Event), func(float64, string) error) {
		w := rulecheck.NewWriter(&out, h)
		return w.Write, w.Close
	}
	r := play(t, sc, o)
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return append(out.Bytes(), text...)
}

const rough = farm + `
clients rate 30/s retries 2 zipf 0.8 impatient 20%
discovery lag 200ms to 900ms
trouble release at 3s for 8s servers 0.4 waves 3
trouble one-sided at 6s for 9s
trouble gatherers-die at 9s for 2s gatherers 1
trouble burst at 12s for 3s times 1.6
`

// TestSameBytes: a seed gives the same trace and result, to the byte, on one core and while others run.
func TestSameBytes(t *testing.T) {
	sc := parse(t, strings.Replace(rough, "clients rate 25/s retries 3\n", "", 1))
	want := bytesOf(t, sc, Options{Seed: 5, Variant: Ours})
	if other := bytesOf(t, sc, Options{Seed: 6, Variant: Ours}); bytes.Equal(want, other) {
		t.Error("another seed gives the same day")
	}
	before := runtime.GOMAXPROCS(1)
	alone := bytesOf(t, sc, Options{Seed: 5, Variant: Ours})
	runtime.GOMAXPROCS(before)
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			if got := bytesOf(t, sc, Options{Seed: 5, Variant: Ours}); !bytes.Equal(got, want) {
				t.Error("the same seed gives other bytes beside other runs")
			}
		})
	}
	wait.Wait()
	if !bytes.Equal(alone, want) {
		t.Error("the same seed gives other bytes on one core")
	}
}

// TestAgenda: events come by time, and those of one instant in the order in which they were put down.
func TestAgenda(t *testing.T) {
	var a agenda
	var got []string
	for i := range 1000 {
		a.put(float64(i*7919%10), func() { got = append(got, fmt.Sprintf("%d-%04d", i*7919%10, i)) })
	}
	for len(a.heap) > 0 {
		a.take().do()
	}
	for i := 1; i < len(got); i++ {
		if got[i-1] >= got[i] {
			t.Fatalf("%s before %s", got[i-1], got[i])
		}
	}
}

// TestRulesKept: through every kind of trouble, and pairs of them, ours and the baselines keep all rules, and each
// trouble is felt by one of them.
func TestRulesKept(t *testing.T) {
	calm := map[string]*Result{}
	for _, v := range []string{"ours", "two-choices"} {
		variant, _ := VariantOf(v)
		calm[v] = play(t, parse(t, farm), Options{Seed: 3, Variant: variant})
	}
	line := func(kind string) string {
		extra := ""
		for _, o := range []struct{ of, text string }{{"cut loss hall-lost", " hall north"}, {"cut loss", " to south"}, {"index-fails", " index resolve"}, {"slow shared-slow costly", " times 8"}, {"hot-keys", " share 90%"}} {
			if strings.Contains(" "+o.of+" ", " "+kind+" ") {
				extra += o.text
			}
		}
		if kind == "slow-setup" { // when all connections are new
			return "trouble slow-setup at 0s for 12s servers 0.4 times 300\n"
		}
		return fmt.Sprintf("trouble %s at 4s for 8s%s\n", kind, extra)
	}
	kinds := Kinds()
	for i, kind := range kinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			felt := false
			for _, v := range []string{"ours", "two-choices"} {
				variant, _ := VariantOf(v)
				r := play(t, parse(t, farm+line(kind)), Options{Seed: 3, Variant: variant})
				if !r.Rules.Passed() {
					t.Errorf("%s: %v %s", v, r.Rules.Violations, r.Rules.Incomplete)
				}
				felt = felt || r.Latency != calm[v].Latency || r.Gain != calm[v].Gain
			}
			if !felt && kind != "late-list" { // which alone changes nothing: there is no news to be late
				t.Error("nothing is felt of it")
			}
			both := play(t, parse(t, farm+line(kind)+line(kinds[(i+7)%len(kinds)])), Options{Seed: 4, Variant: Ours})
			if !both.Rules.Passed() {
				t.Errorf("with %s: %v %s", kinds[(i+7)%len(kinds)], both.Rules.Violations, both.Rules.Incomplete)
			}
		})
	}
}

// customers is how many a queueing check plays; CI's few leave some per cent to chance.
var customers = flag.Int("customers", 8000, "lookups of each queueing check")

// TestQueues holds the model against closed forms: M/M/1, M/D/1 and M/M/c, at two loads. A round's tick of 1 ms is
// what the model adds; work takes 100 ms.
func TestQueues(t *testing.T) {
	const work = 0.1
	for _, c := range []struct {
		name  string
		cores int
		load  float64
		words string
		want  func(rate, load float64) float64 // mean time in the system, seconds
	}{
		{"M/M/1", 1, 0.5, "exponential", func(rate, load float64) float64 { return work / (1 - load) }},
		{"M/M/1 busy", 1, 0.75, "exponential", func(rate, load float64) float64 { return work / (1 - load) }},
		{"M/D/1", 1, 0.5, "spread 0", func(rate, load float64) float64 { return work + load*work/2/(1-load) }},
		{"M/D/1 busy", 1, 0.75, "spread 0", func(rate, load float64) float64 { return work + load*work/2/(1-load) }},
		{"M/M/4", 4, 0.75, "exponential", func(rate, load float64) float64 {
			a, sum, term := rate*work, 0.0, 1.0
			for k := range 4 {
				sum += term
				term *= a / float64(k+1)
			}
			waits := term / (1 - load) / (sum + term/(1-load)) // Erlang's C
			return work + waits*work/4/(1-load)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			rate := c.load * float64(c.cores) / work
			sc := parse(t, fmt.Sprintf("time length %.0fs warm-up 20s tick 1ms\nlocal latency 0ms\nkind one cores %d queue 100000 setup 0ms\nservers 1 kind one\ngatherers 1\nindex i parts 1 work 100ms %s no-hint soft 900s hard 1000s\nclients rate %.3f/s retries 0 latency 0ms\n",
				float64(*customers)/rate, c.cores, c.words, rate))
			v, _ := VariantOf("turns")
			sum, n := 0.0, 0.0
			for seed := range uint64(3) {
				r := play(t, sc, Options{Seed: seed, Variant: v, Unruled: true})
				sum, n = sum+r.Latency.Mean, n+1
			}
			got, want := sum/n, c.want(rate, c.load)*1000
			if off := got/want - 1; math.Abs(off) > 0.06 {
				t.Errorf("%s at %g: %.2f ms, the closed form has %.2f", c.name, c.load, got, want)
			} else {
				t.Logf("%.2f ms, the closed form has %.2f: %+.1f%%", got, want, 100*off)
			}
		})
	}
}

// TestOutlives: work goes on after its caller has gone, counts as wasted, and is stopped where cancelling stops it.
func TestOutlives(t *testing.T) {
	const day = "time length 20s warm-up 1s\nkind one cores 2 queue 1000\nservers 2 kind one\ngatherers 1\nindex i parts 1 work 800ms spread 0 soft 200ms hard 300ms\nclients rate 3/s retries 0\ncalls cancel %s copies off\n"
	wasted := map[string]float64{}
	worked := map[string]float64{}
	v, _ := VariantOf("turns")
	for _, cancel := range []string{"nothing", "waiting", "running"} {
		r := play(t, parse(t, fmt.Sprintf(day, cancel)), Options{Seed: 1, Variant: v})
		wasted[cancel], worked[cancel] = r.Wasted, r.Servers[0].Use
		if r.Satisfied > 0 || !r.Rules.Passed() {
			t.Errorf("%s: %g satisfied, %v", cancel, r.Satisfied, r.Rules.Violations)
		}
	}
	if wasted["nothing"] < 0.99 || wasted["waiting"] < 0.99 || worked["running"] > 0.5*worked["nothing"] || worked["waiting"] > worked["nothing"] {
		t.Errorf("wasted %v, worked %v", wasted, worked)
	}
}

// TestPushedOver: a cold server is pushed over by what many gatherers send it together, each no more than a share of
// it; the checker sees it, and ours do not do it.
func TestPushedOver(t *testing.T) {
	const day = "time length 20s warm-up 1s\nkind one cores 2 setup 0ms\nlayout sets 1 shards 6\nservers 3 kind one\ngatherers 24\nindex i parts 2 work 10ms soft 400ms hard 1s\nclients rate 150/s retries 0\ndiscovery lag 10ms\ncalls connect 1s\ncold from 5% warms 60s falls 1.5 in 2s\ntrouble crash at 3s for 1s servers 1\n"
	careless := Variant{Name: "careless", Module: func(seed uint64, terms gatherTerms, look Look) gatherModule { return newCareless(seed, terms) }}
	r := play(t, parse(t, day), Options{Seed: 2, Variant: careless})
	if r.Fallen == 0 || r.Rules.Counts[4] == 0 {
		t.Errorf("%d fallen, %v, %v, %v, %v", r.Fallen, r.Rules.Counts, r.Rules.ClosestToLimit, r.Ends, r.Servers)
	}
	for other := range r.Rules.Counts {
		if other != 4 {
			t.Errorf("rule %d broken too: %v", other, r.Rules.Violations)
		}
	}
	if r := play(t, parse(t, day), Options{Seed: 2, Variant: Ours}); r.Fallen > 0 || !r.Rules.Passed() {
		t.Errorf("ours: %d fallen, %v", r.Fallen, r.Rules.Violations)
	} else if near := r.Rules.ClosestToLimit[4].Share; near == 0 {
		t.Error("nothing was sent to the cold server")
	}
}

// TestClocks: gatherers whose clocks differ by seconds keep the rules through a release.
func TestClocks(t *testing.T) {
	sc := parse(t, strings.Replace(farm, "gatherers 3", "gatherers 6 clock 5s", 1)+"trouble release at 3s for 10s servers 0.5 waves 4\n")
	if r := play(t, sc, Options{Seed: 9, Variant: Ours}); !r.Rules.Passed() || r.Gain < 0.9 {
		t.Errorf("gain %g, %v", r.Gain, r.Rules.Violations)
	}
}

// TestScenarios: what cannot be met, or read, is one clear message with its place.
func TestScenarios(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"kind a\nservers 2 kind a\nlayout sets 3\nindex i\n", "x.conf:2:1: no server holds the shards of set 2"},
		{"kind a\nservers 2 kind a\nindex i parts 9\n", "x.conf:3:1: index \"i\": a lookup may have 9 parts, and there are 6 shards"},
		{"kind a\nservers 2 kind b\nindex i\n", `x.conf:2:16: "b": is no kind given above`},
		{"kind a\nservers 2 kind a\n", "has no index"},
		{"index i\n", "has no servers"},
		{"kind a\nservers 2 kind a\nindex i share 60%\nindex j share 60%\n", "add up to 120%"},
		{"kind a\nservers 2 kind a\nindex i soft 3s hard 2s\n", `"3s": is later than the hard deadline of 2s`},
		{"kind a\nservers 2 kind a\nindex i\ntrouble crash at 90s for 1s\n", "x.conf:4:1: trouble crash begins after the day's length of 40s"},
		{"kind a\nservers 2 kind a\nindex i\ntrouble crash at 1s for 1s times 3\n", `"3": is nothing that the trouble crash takes`},
		{"kind a\nservers 2 kind a\nindex i\ntrouble crush at 1s for 1s\n", `"crush": is not`},
		{"hall n\nkind a\nservers 2 kind a\nindex i\ntrouble cut at 1s for 1s hall n\n", `wants "to"`},
		{"hall n\nkind a\nservers 2 kind a in m\nindex i\n", `x.conf:3:21: "m": is no hall given above`},
		{"kind a\nservers 2 kind a\nindex i effect once-only prune 50%\n", "may not run twice"},
		{"time length 2\nkind a\nservers 2 kind a\nindex i\n", `"2": has no unit`},
	} {
		_, err := Parse("x.conf", c.text)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v", c.text, err)
		} else if faults, ok := err.(directive.ErrorList); !ok || len(faults) != 1 {
			t.Errorf("%q: %d messages", c.text, len(faults))
		}
	}
	for _, d := range Directives().Directives {
		err := Directives().Parse("x.conf", "hall north\nhall south\nkind big\nindex find\n"+d.Example+"\n")
		if err != nil && !strings.Contains(err.Error(), "given twice") {
			t.Errorf("%s: %v", d.Name, err)
		}
	}
}

// TestLines: a trouble is written as it is read.
func TestLines(t *testing.T) {
	sc := parse(t, farm+"trouble slow at 1500ms for 2s servers 0.25 hall north times 5\ntrouble cut at 1s for 2s hall north to south\ntrouble costly at 1s for 1s share 2% times 8 index search\n")
	text := farm
	for _, tr := range sc.Troubles {
		text += tr.Line() + "\n"
	}
	again := parse(t, text)
	for i, tr := range again.Troubles {
		if tr.Line() != sc.Troubles[i].Line() {
			t.Errorf("%s, then %s", sc.Troubles[i].Line(), tr.Line())
		}
	}
}

// TestPhases: marked indexes go in two phases, and save work where much holds nothing.
func TestPhases(t *testing.T) {
	const day = "time length 20s warm-up 4s\nkind a cores 4\nlayout sets 3 shards 18\nservers 9 kind a\ngatherers 2\nindex i parts 8 work 20ms soft 400ms hard 2s prune 90%\nclients rate 60/s\n"
	one, _ := VariantOf("one-phase")
	two := play(t, parse(t, day), Options{Seed: 1, Variant: Ours})
	plain := play(t, parse(t, day), Options{Seed: 1, Variant: one})
	if !two.Rules.Passed() || !plain.Rules.Passed() {
		t.Errorf("%v, %v", two.Rules.Violations, plain.Rules.Violations)
	}
	if two.Causes["first pass"] < 7 || plain.Causes["first pass"] > 0 || two.Servers[0].Use > 0.5*plain.Servers[0].Use {
		t.Errorf("%v and %v, use %g and %g", two.Causes, plain.Causes, two.Servers[0].Use, plain.Servers[0].Use)
	}
}

// TestWeights: gatherers that follow weights keep most of their calls in their hall, as those do that only prefer it.
func TestWeights(t *testing.T) {
	plain := play(t, parse(t, farm), Options{Seed: 1, Variant: Ours})
	planned := play(t, parse(t, farm+"weights on\n"), Options{Seed: 1, Variant: Ours})
	if planned.Crossing > 0.2 || plain.Crossing > 0.2 || !planned.Rules.Passed() || planned.Gain < 0.99 {
		t.Errorf("crossing %g and %g, gain %g", plain.Crossing, planned.Crossing, planned.Gain)
	}
}

// TestBudgetAtTheWire: further calls that wait for slow connections are written later than they were decided on, in
// windows in which less was taken, and still keep the budget. Found by a search over two-phase days, where 114 calls
// went in a window that allowed 113.95.
func TestBudgetAtTheWire(t *testing.T) {
	const day = "time length 15s warm-up 2s\nkind m cores 4 queue 400 setup 40ms connections 2\nlayout sets 4 shards 24\nservers 12 kind m\ngatherers 2\nindex i parts 8 work 20ms soft 400ms hard 2s prune 60%% brief 30%%\nclients rate 150/s retries 0\nbudget free 4 share 1%% in 2s\n" +
		"trouble fast-errors at 2s for 12s servers 0.7 share 60%%\ntrouble slow at 3s for 9s servers 0.5 times 5\ntrouble burst at 4s for 1s times 3\ntrouble burst at 8s for 1s times 3\n"
	near := 0.0
	for seed := range uint64(4) {
		r := play(t, parse(t, strings.ReplaceAll(day, "%%", "%")), Options{Seed: seed, Variant: Ours})
		if !r.Rules.Passed() {
			t.Errorf("seed %d: %v %s", seed, r.Rules.Violations, r.Rules.Incomplete)
		}
		near = max(near, r.Rules.ClosestToLimit[6].Share)
	}
	if near < 0.95 {
		t.Errorf("no window came nearer than %g to its budget", near)
	}
}
