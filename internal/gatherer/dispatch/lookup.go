package dispatch

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"yokeroute/gather"
	"yokeroute/logic/ownership"
)

// Part is one part of a lookup, at one shard.
type Part struct {
	Shard        int
	Weight, Cost float64
	Key          string
}

// Lookup is one lookup as its client asked for it.
type Lookup struct {
	ID                   string // the client's name for it, from which its parts are named
	Index, Customer, Key string
	Cost                 float64
	GiveUpAt             float64 // by the clock of Now
	Retry                bool
	Parts                []Part
	Text                 []byte // what each part carries, as it came
	Tag                  any    // the caller's own

	ref    uint64    // its parts' refs follow it
	values [][]byte  // by part, or by piece where there are pieces
	calls  [][]*Call // the same
	pieces []piece   // where a map says who owns which keys
	done   chan Verdict
	pass           // of a lookup in two phases: what the module holds in its place
	phased *phased // of one in two phases: where it stands
	landed float64
	known  bool        // the ledger knows its name
	way    uint64      // in which it was decided
	ran    atomic.Bool // bytes of a call of it have begun to go

	// gate is held for reading while a part call is being written, so that no byte of one follows the answer.
	gate   sync.RWMutex
	sealed bool
}

// hits adds the values that are in to others.
func (lk *Lookup) hits(to []Hit) []Hit {
	for i, value := range lk.values {
		if value == nil {
			continue
		}
		h := Hit{Shard: lk.Parts[lk.partOf(i)].Shard, Value: value}
		if lk.pieces != nil && !lk.wholePart(i) {
			keys := lk.pieces[i].Range
			h.Keys = &keys
		}
		to = append(to, h)
	}
	return to
}

// partOf is the part that a piece is of; without pieces it is the part itself.
func (lk *Lookup) partOf(i int) int {
	if lk.pieces != nil {
		return lk.pieces[i].Part
	}
	return i
}

// wholePart reports whether a piece is all of its part.
func (lk *Lookup) wholePart(i int) bool {
	for j := range lk.pieces {
		if j != i && !lk.pieces[j].gone && lk.pieces[j].Part == lk.pieces[i].Part {
			return false
		}
	}
	return true
}

// refOf is the module's number of a part, or of a piece.
func (lk *Lookup) refOf(i int) uint64 {
	if lk.pieces != nil {
		return lk.pieces[i].ID
	}
	return lk.ref + 1 + uint64(i)
}

// Landed is when it was taken, by the picker's clock; 0 where its answer was known at once.
func (lk *Lookup) Landed() float64 { return lk.landed }

// seal waits for calls that are being written and lets none begin after it.
func (lk *Lookup) seal() {
	lk.gate.Lock()
	lk.sealed = true
	lk.gate.Unlock()
}

// Kind is how a lookup ended.
type Kind int

const (
	Satisfied Kind = iota
	Nacked
	Aborted
	Broken // the module failed while it held the lookup
	Left   // its client has gone
)

// Verdict is a lookup's final answer.
type Verdict struct {
	Kind     Kind
	Whole    bool
	Hits     []Hit   // of the parts that were in at the decision
	Empty    []int   // shards whose parts are in since they proved to hold nothing
	ComeBack float64 // milliseconds after which a nacked client may come again, 0 for no advice
}

// Hit is what a shard server gave for a part.
type Hit struct {
	Shard int
	Value []byte
	Keys  *ownership.Range // of the shard's keys, where it is not for all of them
}

// Verdict is the final answer, if it is decided. It is for who plays rounds; others wait in Pick.
func (lk *Lookup) Verdict() (Verdict, bool) {
	select {
	case v := <-lk.done:
		lk.seal()
		return v, true
	default:
		return Verdict{}, false
	}
}

// Call is one part call that the module has decided on.
type Call struct {
	Server  uint32
	Timeout float64 // milliseconds from the decision
	Tag     any     // the carrier's own

	lk       *Lookup
	part     int // or piece
	number   int
	place    int
	alone    bool
	further  bool // it is one beyond its part's first: by its number, or as a first pass's call of the part was lost
	at       float64
	p        *Picker
	keys     ownership.Range // of a piece,
	segment  string          // by whom they were owned
	owned    bool            // it is of a piece
	shard    int
	since    uint64
	onceOnly bool
	ref      uint64  // of its part, by which the module knows it
	before   []*Call // earlier calls of a fingerprinted part, and how long the mark of one that ran is known
	window   float64
	off      atomic.Bool
	told     atomic.Bool
	unrun    atomic.Bool // once told: it is proved that it never ran
	begun    atomic.Bool
}

// ID names the part on the wire; a second copy bears the same name. In a first pass a mark follows, so that an
// answer can't be taken for the other pass's.
func (c *Call) ID() string {
	id := c.lk.ID + "." + strconv.Itoa(c.Shard())
	if c.owned { // several pieces of a part may be out at one server
		id += "." + strconv.Itoa(c.part)
	}
	if c.First() {
		id += "~"
	}
	return id
}

// Lookup is the lookup that the call is for, as its client asked for it.
func (c *Call) Lookup() *Lookup { return c.lk.root() }

// Pass is the pass that the call belongs to.
func (c *Call) Pass() gather.Pass { return c.lk.kind }

// First reports whether the call asks for no more than a summary.
func (c *Call) First() bool { return c.lk.kind == gather.FirstPass }

// Number counts the calls of its part, in its pass, from 0.
func (c *Call) Number() int { return c.number }

// Left is how many milliseconds of its time are left: less than at the decision, where it has waited for a connection.
func (c *Call) Left() float64 { return c.at + c.Timeout - c.p.Now() }

// At is when it was decided on, by the picker's clock.
func (c *Call) At() float64 { return c.at }

// Further reports whether it is one beyond its part's first, which the budget counts.
func (c *Call) Further() bool { return c.further }

// Alone reports whether no other call of its part was out when it was decided on.
func (c *Call) Alone() bool { return c.alone }

// Place counts the parts of its lookup that were called by then, this one among them.
func (c *Call) Place() int { return c.place }

// Shard is the shard asked.
func (c *Call) Shard() int { return c.shard }

// Text is what the part carries.
func (c *Call) Text() []byte { return c.lk.Text }

// Begin reports whether the call may still be written, against one that waited for a connection while its
// lookup was answered or the budget of further calls ran out. Each Begin that allowed it wants an End once its bytes are out. It never waits: a
// lookup that is being sealed is as good as answered, and writers that waited could wait for each other.
func (c *Call) Begin() bool {
	lk := c.lk.root()
	if c.off.Load() || !lk.gate.TryRLock() {
		return false
	}
	now := c.p.Now()
	if lk.sealed || c.off.Load() || !c.known(now) || !c.allows(now) || c.further && !c.p.retries.pass(now) {
		lk.gate.RUnlock()
		return false
	}
	c.begun.Store(true)
	lk.ran.Store(true)
	for _, w := range c.p.witnesses {
		w.Written(c, now)
	}
	return true
}

// known reports whether a fingerprinted part's mark is still known where an earlier call of it may have run: the window
// may end while the call waits for its connection or behind other frames.
func (c *Call) known(now float64) bool {
	for _, b := range c.before {
		if !b.unrun.Load() && now > b.at+c.window-rounding {
			return false
		}
	}
	return true
}

// Begun reports whether its bytes have begun to go.
func (c *Call) Begun() bool { return c.begun.Load() }

// End closes what Begin opened.
func (c *Call) End() { c.lk.root().gate.RUnlock() }

// Orders are what the network has to carry out after a round, in this order.
type Orders struct {
	Stop  []*Call // their lookup is over: what is not written whole by now must not be
	Off   []*Call // given up; the shard server is told
	Calls []*Call // new ones; those to one server are one turn and share frames

	Probes []uint32 // servers to ask for their load
}

// writer puts the decisions of one round into the facade's form; it is the module's gather.Writer.
type writer struct{ p *Picker }

func (w writer) Send(ref uint64, server uint32, timeout float64) {
	s, known := w.p.parts[ref]
	if !known {
		return
	}
	c := &Call{Server: server, Timeout: timeout, lk: s.lk, part: s.part, number: len(s.lk.calls[s.part]), at: w.p.ranAt, p: w.p, ref: ref, shard: s.lk.Parts[s.lk.partOf(s.part)].Shard, owned: s.lk.pieces != nil}
	c.alone, c.further = true, c.number > 0 || s.lk.asks != nil && s.lk.asks[s.part].Again
	c.onceOnly = w.p.onceOnly(s.lk)
	if s.lk.pieces != nil {
		pc := &s.lk.pieces[s.part]
		c.keys, c.segment, c.since, c.further = pc.Range, pc.Segment, pc.Since, c.further || pc.Called && len(s.lk.calls[s.part]) == 0
		pc.Out++
	}
	if index := s.lk.root().Index; w.p.settings.Class(index).Effect == gather.IdempotencyKeyed {
		c.before, c.window = slices.Clone(s.lk.calls[s.part]), w.p.settings.Class(index).IdempotencyWindow
	}
	for _, before := range s.lk.calls[s.part] {
		c.alone = c.alone && before.told.Load()
	}
	s.lk.calls[s.part] = append(s.lk.calls[s.part], c)
	for _, calls := range s.lk.calls {
		c.place += min(len(calls), 1)
	}
	w.p.orders.Calls = append(w.p.orders.Calls, c)
	w.p.sent(c)
}

func (w writer) Cancel(ref uint64, number int) {
	if s, known := w.p.parts[ref]; known && number < len(s.lk.calls[s.part]) {
		w.p.giveUp(s.lk.calls[s.part][number])
	}
}

func (w writer) Answer(ref uint64, whole bool) {
	if lk := w.p.lookups[ref]; lk != nil {
		w.p.end(lk, Verdict{Kind: Satisfied, Whole: whole, Hits: lk.hits(nil)})
	}
}

func (w writer) Reject(ref uint64, comeBack float64) {
	w.p.end(w.p.lookups[ref], Verdict{Kind: Nacked, ComeBack: comeBack})
}

func (w writer) Fail(ref uint64) { w.p.end(w.p.lookups[ref], Verdict{Kind: Aborted}) }

func (w writer) Wake(after float64) { w.p.wakeAt = min(w.p.wakeAt, w.p.ranAt+after) }

func (w writer) Subscribe() {
	select {
	case w.p.asked <- struct{}{}:
	default: // asked for already
	}
}

// CheckHealth asks a server for its load.
func (w writer) CheckHealth(server uint32) { w.p.orders.Probes = append(w.p.orders.Probes, server) }

var _ gather.Writer = writer{}
