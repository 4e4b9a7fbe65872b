package emulator

import (
	"math"
	"slices"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/pcg"
	"yokeroute/internal/rulecheck"
	"yokeroute/logic/ownership"
	"yokeroute/logic/twopass"
)

// gatherer is one gatherer: the facade that service has, over the decisions of a variant.
type gatherer struct {
	number   int
	hall     int
	seed     uint64
	offset   float64 // of its clock
	picker   *dispatch.Picker
	alive    bool
	down     int
	epoch    int // of its process
	roundAt  float64
	rounds   int
	silence  float64
	settings *gather.Settings
	net      *pcg.Source
	know     *pcg.Source
	lossy    []float64 // share of calls lost, by server
	wrong    []int     // servers that its list has wrongly as draining
	known    []gather.Endpoint
	heard    []float64 // when it will have heard the newest of each server, against news that overtake each other
	conns    []*conn
	ownedBy  *ownership.Map // who owns what, as it was last told
	held     map[*lookup]bool
	order    []*lookup // held, in the order of their coming; those over are skipped
	opened   int
	taken    int
}

// attempt is a part call between its decision and its end.
type attempt struct {
	g        *gatherer
	epoch    int // of the gatherer's process
	lk       *lookup
	call     *dispatch.Attempt
	conn     *conn
	task     *task
	work     float64
	keys     *rulecheck.KeyRange // nil for all of the shard's
	empty    bool                // the part holds nothing,
	mistaken bool                // and its summary does not say so
	written  bool
	came     bool
	ran      bool
	ended    bool
	stopped  bool // given up before it was answered
}

// clock is a gatherer's own.
func (w *World) clock(g *gatherer) float64 { return w.begin + w.now + g.offset }

// boot starts a gatherer's process.
func (w *World) boot(g *gatherer) {
	g.alive = true
	g.epoch++
	g.held, g.order = map[*lookup]bool{}, nil
	g.conns = make([]*conn, len(w.servers))
	log := w.log
	settings := g.settings
	if w.owned != nil {
		settings = dispatch.OwnershipSettings(settings, w.sc.Owned.Most)
	}
	g.picker = dispatch.NewStepped(g.seed+uint64(g.epoch), settings, w.variant.module(w, g), func() float64 { return w.clock(g) }, log)
	if marked := w.marked(); len(marked) > 0 && w.variant.Phases {
		g.picker.EnableTwoPass(marked)
	}
	if w.owned != nil {
		g.picker.EnableOwnership(w.sc.Owned.Most, w.sc.Layout.Shards)
		g.picker.SetServerNames(w.owned.names)
		g.picker.SetMap(g.ownedBy)
	}
	g.picker.UpdateEndpoints(gather.EndpointList{Full: true, Endpoints: slices.Clone(g.known)})
	for _, s := range w.servers {
		if s.kind.Brief && w.variant.Phases {
			g.picker.SetAnswersFirstPass(s.id, true)
		}
	}
	if w.weights != nil {
		g.picker.SetWeights(w.weights[g.hall])
	}
	w.round(g)
}

// marked are the indexes that may go in two phases.
func (w *World) marked() map[string]twopass.Settings {
	marked := map[string]twopass.Settings{}
	for _, ix := range w.sc.Indexes {
		if ix.Prune >= 0 {
			marked[ix.Name] = twopass.Settings{LatencyObjective: ix.Soft, CompleteShare: ix.Need, MinShare: ix.Least, FirstPassShare: 0.3, TrialShare: 0.02}
		}
	}
	return marked
}

// kill ends a gatherer's process with all that it holds.
func (w *World) kill(g *gatherer) {
	g.down++
	if g.down > 1 {
		return
	}
	g.alive = false
	g.epoch++
	w.see(rulecheck.Event{Kind: rulecheck.GathererStopped, Gatherer: g.number})
	for _, c := range g.conns {
		if c != nil {
			w.close(c)
			for _, a := range c.out { // their connection ends, and with it what nobody waits for
				w.send(c, func() { w.giveUp(a) })
			}
		}
	}
	for _, lk := range g.order {
		if !lk.over {
			lk.over = true
			w.in(w.sc.Clients.Notice, func() { w.failed(lk, true) })
		}
	}
	g.held, g.order = nil, nil
}

func (w *World) revive(g *gatherer) {
	g.down--
	if g.down == 0 {
		w.boot(g)
	}
}

// round has a gatherer's next round played when it is due.
func (w *World) round(g *gatherer) {
	due := g.picker.NextRoundAt() - w.begin - g.offset
	if math.IsInf(due, 1) || due >= g.roundAt && g.roundAt > w.now {
		return
	}
	due = max(due, w.now)
	g.roundAt = due
	epoch := g.epoch
	w.at(due, func() {
		if g.epoch != epoch || g.roundAt != due {
			return
		}
		g.roundAt = 0
		w.play(g)
	})
}

// play plays a round of a gatherer and carries out what it decided.
func (w *World) play(g *gatherer) {
	g.rounds++
	w.rounds++
	o := g.picker.RunRoundNow()
	w.behind(g)
	epoch := g.epoch
	if w.sc.Gatherers.Lag > 0 {
		w.in(w.sc.Gatherers.Lag, func() {
			if g.epoch == epoch {
				w.orders(g, o)
			}
		})
	} else {
		w.orders(g, o)
	}
	w.round(g)
}

func (w *World) orders(g *gatherer, o dispatch.Actions) {
	for _, c := range o.StopWriting {
		if a, out := c.Tag.(*attempt); out && !a.written {
			w.ends(a, gather.NotSent, nil)
		}
	}
	for _, c := range o.Cancel {
		if a, out := c.Tag.(*attempt); out {
			w.abandon(a, gather.Cancelled)
		}
	}
	type turn struct {
		server *server
		first  bool
		calls  []*attempt
	}
	var turns []turn
	for _, c := range o.Send {
		lk := c.Query().Tag.(*lookup)
		p := lk.ask.part(c.Shard())
		a := &attempt{g: g, epoch: g.epoch, lk: lk, call: c, work: p.work, empty: p.empty, mistaken: p.mistaken}
		if w.owned != nil {
			keys, _, _, _ := c.Ownership()
			a.keys = &rulecheck.KeyRange{Lo: keys.Lo, Hi: keys.Hi}
			a.work *= keys.Fraction() / ownership.ShardRange(c.Shard(), w.sc.Layout.Shards).Fraction()
		}
		if c.FirstPass() {
			a.work *= lk.ask.ix.Brief
		}
		c.Tag = a
		w.count(a)
		s := w.byID[c.Server]
		at := slices.IndexFunc(turns, func(t turn) bool { return t.server == s && t.first == c.FirstPass() })
		if at < 0 {
			at = len(turns)
			turns = append(turns, turn{server: s, first: c.FirstPass()})
		}
		turns[at].calls = append(turns[at].calls, a)
		w.in(c.Timeout, func() { w.abandon(a, gather.TimedOut) })
	}
	for _, t := range turns {
		w.carry(g, t.server, t.calls)
	}
	// What is decided is told to clients once the round's calls are on their way: verdicts wait for no byte.
	for _, lk := range g.order {
		if lk.over {
			continue
		}
		if v, decided := lk.pick.Result(); decided {
			lk.over = true
			delete(g.held, lk)
			w.answered(g, lk, v)
		}
	}
	if len(g.order) > 64 && len(g.order) > 2*len(g.held) {
		g.order = slices.DeleteFunc(g.order, func(lk *lookup) bool { return lk.over })
	}
}

// abandon gives up a call that is still out; one whose bytes have not gone was never sent.
func (w *World) abandon(a *attempt, outcome gather.Outcome) {
	if a.ended || a.g.epoch != a.epoch {
		return
	}
	if !a.written {
		w.ends(a, gather.NotSent, nil)
		return
	}
	c := a.conn
	w.ends(a, outcome, nil)
	if !c.dead {
		w.send(c, func() { w.giveUp(a) })
	}
}

// ends reports a call's end to its gatherer, once.
func (w *World) ends(a *attempt, outcome gather.Outcome, text []byte) {
	if a.ended || a.g.epoch != a.epoch || !a.g.alive {
		return
	}
	a.ended = true
	if i := slices.Index(a.conn.out, a); i >= 0 {
		a.conn.out = slices.Delete(a.conn.out, i, i+1)
	}
	if a.written {
		w.see(rulecheck.Event{Kind: rulecheck.AttemptEnded, Gatherer: a.g.number, Query: a.lk.number, Shard: a.call.Shard(), Server: a.call.Server, Attempt: a.call.Number(), FirstPass: a.call.FirstPass(),
			Outcome: outcome.String(), Keys: a.keys, ProvenEmpty: a.call.FirstPass() && outcome == gather.Succeeded && a.empty && !a.mistaken})
	}
	w.ended[outcome]++
	a.g.picker.Report(a.call, outcome, text)
	w.round(a.g)
}

func (w *World) sentEvent(a *attempt) {
	w.see(rulecheck.Event{Kind: rulecheck.AttemptSent, Gatherer: a.g.number, Query: a.lk.number, Shard: a.call.Shard(), Server: a.call.Server, Attempt: a.call.Number(), FirstPass: a.call.FirstPass(), Keys: a.keys})
	if a.g.hall != a.conn.s.hall {
		w.crossed++
	}
	w.sent++
}

// tell has all gatherers hear of a server, each with its lag.
func (w *World) tell(s *server) {
	for _, g := range w.gatherers {
		w.tellOne(g, s, w.at)
	}
}

// tellOne has one gatherer hear what discovery says of a server at that time.
func (w *World) tellOne(g *gatherer, s *server, at func(float64, func())) {
	entry := w.entry(g, s)
	lag := (w.sc.Discovery.Lag + (w.sc.Discovery.To-w.sc.Discovery.Lag)*g.know.Float64()) * w.listLag
	when := max(w.now+lag, g.heard[s.number])
	g.heard[s.number] = when
	at(when, func() {
		if known := &g.known[s.number]; known.State == entry.State && known.StartedAt == entry.StartedAt {
			return
		}
		if !g.alive { // it is asked again when it starts
			g.known[s.number] = entry
			return
		}
		w.hear(g, s, entry)
	})
}

func (w *World) hear(g *gatherer, s *server, entry gather.Endpoint) {
	g.known[s.number] = entry
	state := map[gather.State]string{gather.Running: "running", gather.Draining: "draining", gather.Removed: "gone"}[entry.State]
	w.see(rulecheck.Event{Kind: rulecheck.EndpointStateLearned, Gatherer: g.number, Server: s.id, State: state})
	g.picker.UpdateEndpoints(gather.EndpointList{Endpoints: []gather.Endpoint{entry}})
	w.round(g)
}

// entry is what discovery says of a server now.
func (w *World) entry(g *gatherer, s *server) gather.Endpoint {
	e := gather.Endpoint{ID: s.id, ReplicaSet: s.set, Zone: w.sc.Halls[s.hall], Kind: s.kind.Name, Size: 1}
	if s.started > 0 {
		e.StartedAt = w.begin + s.started
	}
	switch {
	case s.down > 0 && s.unlisted == 0:
		e.State = gather.Removed
	case s.draining || g.wrong[s.number] > 0:
		e.State = gather.Draining
	}
	return e
}

func quietLog() *logrus.Logger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}
