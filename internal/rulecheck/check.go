package rulecheck

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"sort"
)

// eps is what rounded weights and times may be off by.
const eps = 5e-5

// blame is the share of what a cold server was sent that has to come from gatherers which had heard of its start.
const blame = 2.0 / 3

// mostBreaks is how many breaks are kept in full; all are counted.
const mostBreaks = 50

// Violation is one break of a rule.
type Violation struct {
	Rule     int     `json:"rule"`
	At       float64 `json:"at"`
	Gatherer int     `json:"gatherer"`
	Query    uint64  `json:"lookup,omitempty"`
	Server   uint32  `json:"server,omitempty"`
	Message  string  `json:"words"`
}

func (b Violation) String() string {
	return fmt.Sprintf("rule %d at %.3f ms, gatherer %d: %s", b.Rule, b.At, b.Gatherer, b.Message)
}

// Report is what a check has found.
type Report struct {
	Violations     []Violation       `json:"breaks"`
	Counts         map[int]int       `json:"counts"`     // breaks by rule
	Unchecked      map[int]string    `json:"unchecked"`  // rules that the trace cannot show, and why
	Incomplete     string            `json:"incomplete"` // why the trace does not tell all, empty where it does
	ClosestToLimit map[int]LimitUse  `json:"near"`       // how near to its limit a rule came, where it has one
	Queries        int               `json:"lookups"`
	Attempts       int               `json:"calls"`
	FinalAnswers   map[EventKind]int `json:"finals"`
}

// LimitUse is the nearest that something came to a limit, as a share of it.
type LimitUse struct {
	Share   float64 `json:"share"`
	At      float64 `json:"at"`
	Message string  `json:"words"`
}

// Passed reports whether the trace is whole and breaks no rule. Rules that it cannot show do not count.
func (r *Report) Passed() bool { return len(r.Counts) == 0 && r.Incomplete == "" }

// call is one part call as its gatherer sees it.
type call struct {
	at           float64
	keys         *KeyRange
	number       int
	first        bool
	ended, unrun bool
	answered     bool
}

type part struct {
	weight float64
	keys   *KeyRange // that the shard has
	calls  []call
	in     []*KeyRange // of which an answer in full has come, or a proof that there is nothing
	ran    []*KeyRange
}

// times is how often some of the keys are among others.
func times(keys *KeyRange, among []*KeyRange) (n int) {
	for _, k := range among {
		if k.overlaps(keys) {
			n++
		}
	}
	return n
}

type lookup struct {
	index    string
	gatherer int
	until    float64
	parts    map[int]*part
}

// gone is a once-only lookup after its final answer: what its parts did is looked at for some time more.
type gone struct {
	at     float64
	id     uint64
	nacked bool
	ran    map[int][]*KeyRange
}

// gatherer is what is known of one.
type gatherer struct {
	taken, further []float64
	drains         map[uint32]float64 // since when it knows that a server drains or is gone
}

// cold is a server that has just started.
type cold struct {
	started float64
	told    map[int]bool // gatherers that have heard of its start
	came    []arrival
	sum     float64
	knew    float64 // of sum, what came from these
	fallen  bool
}

type arrival struct {
	at, work float64
	knew     bool
}

// Checker checks a trace event by event. Events have to come in the order of their times.
type Checker struct {
	head      Header
	at        float64
	lookups   map[uint64]*lookup
	gatherers map[int]*gatherer
	colds     map[uint32]*cold
	gone      []gone
	goneAt    map[uint64]int // place in gone, counted from the beginning
	goneFrom  int
	longest   float64
	ended     bool
	report    Report
	further   func(at float64) // called after each further part call; nil for nobody
}

// NewChecker makes a checker.
func NewChecker(h Header) (*Checker, error) {
	c := &Checker{head: h, at: h.StartedAt, lookups: map[uint64]*lookup{}, gatherers: map[int]*gatherer{}, colds: map[uint32]*cold{}, goneAt: map[uint64]int{},
		report: Report{Counts: map[int]int{}, Unchecked: map[int]string{}, ClosestToLimit: map[int]LimitUse{}, FinalAnswers: map[EventKind]int{}}}
	if len(h.Classes) == 0 {
		return nil, errors.New("a trace without indexes")
	}
	for name, ix := range h.Classes {
		if ix.Effect != "idempotent" && ix.Effect != "fingerprinted" && ix.Effect != "once-only" {
			return nil, fmt.Errorf("index %q has the effect %q", name, ix.Effect)
		}
	}
	switch {
	case h.SlowStart == nil:
		c.report.Unchecked[4] = "the trace tells no figures of cold servers"
	case !h.GroundTruth || len(h.Servers) == 0:
		c.report.Unchecked[4] = "the trace tells neither what reached the servers nor what they can do"
	}
	if h.Budget == nil {
		c.report.Unchecked[6] = "the trace tells no budget"
	}
	return c, nil
}

// Check checks a trace as it is read. An error says what cannot be read; a trace that is cut off is no error, but
// never kept.
func Check(from io.Reader) (*Report, error) {
	var c *Checker
	err := Read(from, func(h Header) (err error) { c, err = NewChecker(h); return err }, func(e Event) { c.Observe(e) })
	if c == nil || err != nil && !errors.Is(err, ErrTruncated) {
		return nil, err
	}
	r := c.Report()
	if err != nil {
		r.Incomplete = err.Error()
	}
	return r, nil
}

func (c *Checker) broken(rule int, e *Event, format string, args ...any) {
	c.report.Counts[rule]++
	if len(c.report.Violations) < mostBreaks {
		c.report.Violations = append(c.report.Violations, Violation{rule, e.At, e.Gatherer, e.Query, e.Server, fmt.Sprintf(format, args...)})
	}
}

func (c *Checker) near(rule int, share, at float64, words func() string) {
	if share > c.report.ClosestToLimit[rule].Share {
		c.report.ClosestToLimit[rule] = LimitUse{share, at, words()}
	}
}

func (c *Checker) gatherer(number int) *gatherer {
	g := c.gatherers[number]
	if g == nil {
		g = &gatherer{drains: map[uint32]float64{}}
		c.gatherers[number] = g
	}
	return g
}

// NeverRan reports whether an outcome's word proves that a part call never ran.
func NeverRan(outcome string) bool { return unrun[outcome] }

var unrun = map[string]bool{"full": true, "unreached": true, "stale": true, "moved": true}

// Observe takes the next event.
func (c *Checker) Observe(e Event) {
	if e.At < c.at-eps {
		c.report.Incomplete = cmp.Or(c.report.Incomplete, fmt.Sprintf("at %.3f ms an event stands behind one of %.3f ms: the trace is out of order", e.At, c.at))
	}
	c.at = max(c.at, e.At)
	switch e.Kind {
	case QueryAdmitted:
		c.take(&e)
	case AttemptSent:
		c.send(&e)
	case AttemptEnded:
		c.end(&e)
	case QueryServed, QueryRejected, QueryFailed:
		c.final(&e)
	case QueryAbandoned:
		delete(c.lookups, e.Query)
	case GathererStopped:
		for id, lk := range c.lookups {
			if lk.gatherer == e.Gatherer {
				delete(c.lookups, id)
			}
		}
		if g := c.gatherers[e.Gatherer]; g != nil {
			clear(g.drains) // a new process has been told nothing; its calls count on with the old one's
		}
	case EndpointStateLearned:
		g := c.gatherer(e.Gatherer)
		_, known := g.drains[e.Server]
		if e.State == "running" {
			delete(g.drains, e.Server)
			if s := c.colds[e.Server]; s != nil {
				s.told[e.Gatherer] = true
			}
		} else if !known {
			g.drains[e.Server] = e.At
		}
	case ServerStarted:
		c.colds[e.Server] = &cold{started: e.At, told: map[int]bool{}}
	case WorkArrived:
		c.came(&e)
	case WorkStarted:
		c.ran(&e)
	case TraceEnd:
		c.ended = true
		c.report.Incomplete = cmp.Or(c.report.Incomplete, e.Reason)
	default:
		c.report.Incomplete = cmp.Or(c.report.Incomplete, fmt.Sprintf("at %.3f ms an event of the unknown kind %q", e.At, e.Kind))
	}
}

func (c *Checker) take(e *Event) {
	c.report.Queries++
	if _, known := c.head.Classes[e.Class]; !known {
		c.report.Incomplete = cmp.Or(c.report.Incomplete, fmt.Sprintf("at %.3f ms a lookup of the index %q, of which the header tells nothing", e.At, e.Class))
		return
	}
	if c.lookups[e.Query] != nil {
		c.broken(1, e, "lookup %d is taken twice", e.Query)
	}
	lk := &lookup{index: e.Class, gatherer: e.Gatherer, until: e.Deadline, parts: make(map[int]*part, len(e.ShardRequests))}
	for _, pt := range e.ShardRequests {
		lk.parts[pt.Shard] = &part{weight: pt.Weight, keys: pt.Keys}
	}
	c.lookups[e.Query] = lk
	c.longest = max(c.longest, e.Deadline-e.At)
	if c.head.Budget != nil {
		g := c.gatherer(e.Gatherer)
		for range 1 + len(e.ShardRequests) {
			g.taken = append(g.taken, e.At)
		}
	}
}

// mayHaveRun reports whether some earlier call for some of the keys is not proved to have never run.
func (p *part) mayHaveRun(keys *KeyRange) bool {
	return slices.ContainsFunc(p.calls, func(c call) bool { return !c.unrun && c.keys.overlaps(keys) })
}

func (c *Checker) send(e *Event) {
	c.report.Attempts++
	if since, drains := c.gatherer(e.Gatherer).drains[e.Server]; drains {
		late := e.At - since
		if late > c.head.DrainGrace+eps {
			c.broken(3, e, "lookup %d, shard %d: a part call to server %d, %.3f ms after the gatherer was told that it drains or is gone; %g are allowed", e.Query, e.Shard, e.Server, late, c.head.DrainGrace)
		}
		c.near(3, late/max(c.head.DrainGrace, eps), e.At, func() string { return fmt.Sprintf("server %d, %.3f ms after it was told to drain", e.Server, late) })
	}
	lk := c.lookups[e.Query]
	if lk == nil || lk.parts[e.Shard] == nil {
		c.broken(1, e, "a part call of lookup %d, shard %d, which is not held: answered already, or never taken", e.Query, e.Shard)
		return
	}
	p, ix := lk.parts[e.Shard], c.head.Classes[lk.index]
	if p.mayHaveRun(e.Keys) {
		switch ix.Effect {
		case "once-only":
			c.broken(2, e, "lookup %d, shard %d: a once-only part is sent again though an earlier call may have run", e.Query, e.Shard)
		case "fingerprinted":
			for _, before := range p.calls {
				if !before.unrun && before.keys.overlaps(e.Keys) && e.At-before.at > ix.IdempotencyWindow+eps {
					c.broken(2, e, "lookup %d, shard %d: a fingerprinted part is sent again %.3f ms after a call that may have run; its mark is known for %g", e.Query, e.Shard, e.At-before.at, ix.IdempotencyWindow)
					break
				}
			}
		}
	}
	if c.head.Budget != nil && p.further(e.FirstPass, e.Keys) {
		c.budget(e)
	}
	p.calls = append(p.calls, call{at: e.At, keys: e.Keys, number: e.Attempt, first: e.FirstPass})
}

// further reports whether a call is one beyond its part's first. A call in full after a first pass's that was
// answered is the first of its kind: a summary cannot answer for its part. One after a first pass that heard
// nothing is another try because one failed.
func (p *part) further(first bool, keys *KeyRange) bool {
	same, summed, any := false, false, false
	for _, before := range p.calls {
		if before.keys.overlaps(keys) {
			same = same || before.first == first
			summed = summed || before.first && before.answered
			any = true
		}
	}
	return same || any && !summed
}

// window gives a gatherer's further part calls in the window that ends now, and how many it may make there.
func (g *gatherer) window(b *Budget, now float64) (further, allowed float64) {
	since := func(times []float64) []float64 { return times[sort.SearchFloat64s(times, now-b.Window-eps):] }
	g.taken, g.further = since(g.taken), since(g.further)
	return float64(len(g.further)), b.FreeRetries + b.Ratio*float64(len(g.taken))
}

// budget checks rule 6 in the window that ends with a further part call, this one counted, as the rule is worded.
func (c *Checker) budget(e *Event) {
	b, g := c.head.Budget, c.gatherer(e.Gatherer)
	g.further = append(g.further, e.At)
	further, allowed := g.window(b, e.At)
	if further > allowed+eps {
		c.broken(6, e, "%g part calls beyond each part's first within %g ms, %.2f are allowed", further, b.Window, allowed)
	}
	c.near(6, further/max(allowed, eps), e.At, func() string { return fmt.Sprintf("%g further part calls of %.2f in a window", further, allowed) })
	if c.further != nil {
		c.further(e.At)
	}
}

func (c *Checker) end(e *Event) {
	lk := c.lookups[e.Query]
	if lk == nil || lk.parts[e.Shard] == nil {
		return // it ends after its lookup
	}
	p := lk.parts[e.Shard]
	for i := range p.calls {
		if one := &p.calls[i]; one.first == e.FirstPass && one.number == e.Attempt && one.keys.within(e.Keys) && e.Keys.within(one.keys) {
			one.ended, one.unrun, one.answered = true, unrun[e.Outcome], e.Outcome == "answered"
		}
	}
	if e.Outcome == "answered" && (!e.FirstPass || e.ProvenEmpty) {
		p.in = append(p.in, e.Keys)
	}
}

func (c *Checker) final(e *Event) {
	c.report.FinalAnswers[e.Kind]++
	lk := c.lookups[e.Query]
	if lk == nil {
		c.broken(1, e, "a final answer to lookup %d, which is not held: answered already, or never taken", e.Query)
		return
	}
	delete(c.lookups, e.Query)
	if late := e.At - lk.until; late > c.head.DeadlineSlack+eps {
		c.broken(1, e, "lookup %d is answered %.3f ms after its client's time; %g are allowed", e.Query, late, c.head.DeadlineSlack)
	}
	ix := c.head.Classes[lk.index]
	shards := make([]int, 0, len(lk.parts))
	for shard := range lk.parts {
		shards = append(shards, shard)
	}
	slices.Sort(shards)
	if e.Kind == QueryRejected && ix.Effect == "once-only" {
		for _, shard := range shards {
			if lk.parts[shard].mayHaveRun(nil) {
				c.broken(2, e, "lookup %d of a once-only index is nacked though a call of shard %d may have run", e.Query, shard)
				break
			}
		}
	}
	if e.Kind == QueryServed {
		c.honest(e, lk, ix, shards)
	}
	if ix.Effect == "once-only" && c.head.GroundTruth {
		ran := map[int][]*KeyRange{}
		for _, shard := range shards {
			ran[shard] = lk.parts[shard].ran
			if e.Kind == QueryRejected && len(ran[shard]) > 0 {
				c.broken(2, e, "lookup %d is nacked though its once-only part at shard %d has run", e.Query, shard)
			}
		}
		c.goneAt[e.Query] = c.goneFrom + len(c.gone)
		c.gone = append(c.gone, gone{e.At, e.Query, e.Kind == QueryRejected, ran})
		for len(c.gone) > 0 && c.gone[0].at < e.At-4*c.longest {
			delete(c.goneAt, c.gone[0].id)
			c.gone = c.gone[1:]
			c.goneFrom++
		}
	}
}

// honest checks rule 5 by what is said to be in, and that it was in.
func (c *Checker) honest(e *Event, lk *lookup, ix Class, shards []int) {
	in, seen := 0.0, map[int][]*KeyRange{}
	for i, shard := range e.IncludedShards {
		var keys *KeyRange
		if i < len(e.IncludedKeys) {
			keys = e.IncludedKeys[i]
		}
		p := lk.parts[shard]
		if p != nil && keys == nil {
			keys = p.keys // all that the shard has
		}
		switch {
		case p == nil:
			c.broken(5, e, "lookup %d: shard %d is in the answer and was never asked for", e.Query, shard)
			continue
		case times(keys, seen[shard]) > 0:
			c.broken(5, e, "lookup %d: shard %d, or some of its keys, is in the answer twice", e.Query, shard)
		case !slices.ContainsFunc(p.in, func(has *KeyRange) bool { return has == nil || keys.within(has) }):
			c.broken(5, e, "lookup %d: shard %d counts as in, and no answer of it has come", e.Query, shard)
		case keys != nil && p.keys != nil:
			in += p.weight * keys.size() / p.keys.size()
		default:
			in += p.weight
		}
		seen[shard] = append(seen[shard], keys)
	}
	if e.Complete && ix.CompleteShare > 1-eps { // then nothing may be missing, however little it weighs
		for _, shard := range shards {
			if missing := lk.parts[shard].missing(seen[shard]); missing != "" {
				c.broken(5, e, "lookup %d is marked whole, of shard %d %s", e.Query, shard, missing)
			}
		}
	}
	if in < ix.MinShare-eps {
		c.broken(5, e, "lookup %d is answered from %.4f of its weight, %g is the least", e.Query, in, ix.MinShare)
	}
	if e.Complete && in < ix.CompleteShare-eps {
		c.broken(5, e, "lookup %d is marked whole with %.4f of its weight, %g is whole", e.Query, in, ix.CompleteShare)
	}
}

// missing says what of a part is not among the keys that are in, empty where nothing is.
func (p *part) missing(in []*KeyRange) string {
	if len(in) == 0 {
		return "nothing is in"
	}
	if p.keys == nil {
		return ""
	}
	sorted := slices.Clone(in)
	slices.SortFunc(sorted, func(a, b *KeyRange) int { return cmp.Compare(a.Lo, b.Lo) })
	from := p.keys.Lo
	for _, k := range sorted {
		if k.Lo > from {
			break
		}
		if k.Hi >= p.keys.Hi {
			return ""
		}
		from = k.Hi + 1
	}
	return fmt.Sprintf("the keys from %016x on are not in", from)
}

// came checks rule 4 at a part's coming to a server that has just started.
func (c *Checker) came(e *Event) {
	s := c.colds[e.Server]
	f := c.head.SlowStart
	server, known := c.head.Servers[e.Server]
	if s == nil || f == nil || !known || !c.head.GroundTruth || e.At-s.started >= f.Duration {
		delete(c.colds, e.Server)
		return
	}
	book := func(a arrival, sign float64) {
		s.sum += sign * a.work
		if a.knew {
			s.knew += sign * a.work
		}
	}
	s.came = append(s.came, arrival{e.At, e.Work, s.told[e.Gatherer]})
	book(s.came[len(s.came)-1], 1)
	for s.came[0].at < e.At-f.Window {
		book(s.came[0], -1)
		s.came = s.came[1:]
	}
	can := server.Capacity * (f.InitialShare + (1-f.InitialShare)*(e.At-s.started)/f.Duration)
	limit := f.OverloadFactor * can * f.Window
	if s.sum > limit+eps && s.knew >= s.sum*blame && !s.fallen {
		s.fallen = true
		c.broken(4, e, "server %d, cold for %.0f ms, was sent %.1f ms of work within %g; %.1f is what it bears", e.Server, e.At-s.started, s.sum, f.Window, limit)
	}
	c.near(4, s.sum/max(limit, eps), e.At, func() string {
		return fmt.Sprintf("server %d, cold for %.0f ms, was sent %.1f ms of work of %.1f", e.Server, e.At-s.started, s.sum, limit)
	})
}

// ran checks rule 2 by what truly ran.
func (c *Checker) ran(e *Event) {
	if lk := c.lookups[e.Query]; lk != nil && lk.parts[e.Shard] != nil {
		p := lk.parts[e.Shard]
		if n := times(e.Keys, p.ran); n > 0 && c.head.Classes[lk.index].Effect == "once-only" {
			c.broken(2, e, "lookup %d, shard %d: a once-only part has run %d times", e.Query, e.Shard, n+1)
		}
		p.ran = append(p.ran, e.Keys)
		return
	}
	if i, once := c.goneAt[e.Query]; once {
		g := &c.gone[i-c.goneFrom]
		if n := times(e.Keys, g.ran[e.Shard]); n > 0 {
			c.broken(2, e, "lookup %d, shard %d: a once-only part has run %d times", e.Query, e.Shard, n+1)
		}
		g.ran[e.Shard] = append(g.ran[e.Shard], e.Keys)
		if g.nacked {
			c.broken(2, e, "lookup %d, shard %d: a once-only part runs though its lookup was nacked", e.Query, e.Shard)
		}
	}
}

// Report ends the check.
func (c *Checker) Report() *Report {
	r := &c.report
	if !c.ended {
		r.Incomplete = cmp.Or(r.Incomplete, ErrTruncated.Error()+" before its last line")
	}
	open, lost := 0, []uint64{}
	for id, lk := range c.lookups {
		if c.at > lk.until+c.head.DeadlineSlack+eps {
			lost = append(lost, id)
		} else {
			open++
		}
	}
	slices.Sort(lost)
	for _, id := range lost {
		lk := c.lookups[id]
		c.broken(1, &Event{At: lk.until, Gatherer: lk.gatherer, Query: id}, "lookup %d has no final answer", id)
	}
	c.lookups = map[uint64]*lookup{}
	if open > 0 {
		r.Incomplete = cmp.Or(r.Incomplete, fmt.Sprintf("%d lookups were still open when the trace ended, within their time", open))
	}
	return r
}
