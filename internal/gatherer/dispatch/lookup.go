package dispatch

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"yokeroute/gather"
	"yokeroute/logic/ownership"
)

// ShardRequest is one part of a lookup, at one shard.
type ShardRequest struct {
	Shard        int
	Weight, Cost float64
	Key          string
}

// Query is one lookup as its client asked for it.
type Query struct {
	ID                      string // the client's name for it, from which its parts are named
	Class, Tenant, RouteKey string
	Cost                    float64
	Deadline                float64 // by the clock of Now
	Retried                 bool
	ShardRequests           []ShardRequest
	Payload                 []byte // what each part carries, as it came
	Tag                     any    // the caller's own

	id         uint64       // its parts' refs follow it
	values     [][]byte     // by part, or by piece where there are pieces
	attempts   [][]*Attempt // the same
	pieces     []piece      // where a map says who owns which keys
	result     chan Result
	pass                     // of a lookup in two phases: what the module holds in its place
	twoPass    *passProgress // of one in two phases: where it stands
	admittedAt float64
	recorded   bool        // the ledger knows its name
	generation uint64      // in which it was decided
	mayHaveRun atomic.Bool // bytes of a call of it have begun to go

	// writeGate is held for reading while a part call is being written, so that no byte of one follows the answer.
	writeGate sync.RWMutex
	sealed    bool
}

// appendHits adds the values that are in to others.
func (lk *Query) appendHits(to []Hit) []Hit {
	for i, value := range lk.values {
		if value == nil {
			continue
		}
		h := Hit{Shard: lk.ShardRequests[lk.shardRequestOf(i)].Shard, Value: value}
		if lk.pieces != nil && !lk.coversShardRequest(i) {
			keys := lk.pieces[i].Range
			h.Keys = &keys
		}
		to = append(to, h)
	}
	return to
}

// shardRequestOf is the part that a piece is of; without pieces it is the part itself.
func (lk *Query) shardRequestOf(i int) int {
	if lk.pieces != nil {
		return lk.pieces[i].Part
	}
	return i
}

// coversShardRequest reports whether a piece is all of its part.
func (lk *Query) coversShardRequest(i int) bool {
	for j := range lk.pieces {
		if j != i && !lk.pieces[j].replaced && lk.pieces[j].Part == lk.pieces[i].Part {
			return false
		}
	}
	return true
}

// moduleID is the module's number of a part, or of a piece.
func (lk *Query) moduleID(i int) uint64 {
	if lk.pieces != nil {
		return lk.pieces[i].ID
	}
	return lk.id + 1 + uint64(i)
}

// AdmittedAt is when it was taken, by the picker's clock; 0 where its answer was known at once.
func (lk *Query) AdmittedAt() float64 { return lk.admittedAt }

// seal waits for calls that are being written and lets none begin after it.
func (lk *Query) seal() {
	lk.writeGate.Lock()
	lk.sealed = true
	lk.writeGate.Unlock()
}

// ResultKind is how a lookup ended.
type ResultKind int

const (
	Served ResultKind = iota
	Rejected
	Failed
	InternalError // the module failed while it held the lookup
	Abandoned     // its client has gone
)

// Result is a lookup's final answer.
type Result struct {
	Kind        ResultKind
	Complete    bool
	Hits        []Hit   // of the parts that were in at the decision
	EmptyShards []int   // shards whose parts are in since they proved to hold nothing
	RetryAfter  float64 // milliseconds after which a nacked client may come again, 0 for no advice
}

// Hit is what a shard server gave for a part.
type Hit struct {
	Shard int
	Value []byte
	Keys  *ownership.Range // of the shard's keys, where it is not for all of them
}

// Result is the final answer, if it is decided. It is for who plays rounds; others wait in Pick.
func (lk *Query) Result() (Result, bool) {
	select {
	case v := <-lk.result:
		lk.seal()
		return v, true
	default:
		return Result{}, false
	}
}

// Attempt is one part call that the module has decided on.
type Attempt struct {
	Server  uint32
	Timeout float64 // milliseconds from the decision
	Tag     any     // the carrier's own

	query           *Query
	index           int // or piece
	number          int
	shardsAttempted int
	onlyInFlight    bool
	usesRetryBudget bool // it is one beyond its part's first: by its number, or as a first pass's call of the part was lost
	decidedAt       float64
	picker          *Picker
	keys            ownership.Range // of a piece,
	segment         string          // by whom they were owned
	owned           bool            // it is of a piece
	shard           int
	ownedSince      uint64
	nonIdempotent   bool
	moduleID        uint64     // of its part, by which the module knows it
	earlier         []*Attempt // earlier calls of a fingerprinted part, and how long the mark of one that ran is known
	window          float64
	cancelled       atomic.Bool
	ended           atomic.Bool
	provedNotRun    atomic.Bool // once told: it is proved that it never ran
	writeBegun      atomic.Bool
}

// ID names the part on the wire; a second copy bears the same name. In a first pass a mark follows, so that an
// answer can't be taken for the other pass's.
func (c *Attempt) ID() string {
	id := c.query.ID + "." + strconv.Itoa(c.Shard())
	if c.owned { // several pieces of a part may be out at one server
		id += "." + strconv.Itoa(c.index)
	}
	if c.FirstPass() {
		id += "~"
	}
	return id
}

// Query is the lookup that the call is for, as its client asked for it.
func (c *Attempt) Query() *Query { return c.query.root() }

// Pass is the pass that the call belongs to.
func (c *Attempt) Pass() gather.Pass { return c.query.kind }

// FirstPass reports whether the call asks for no more than a summary.
func (c *Attempt) FirstPass() bool { return c.query.kind == gather.FirstPass }

// Number counts the calls of its part, in its pass, from 0.
func (c *Attempt) Number() int { return c.number }

// Remaining is how many milliseconds of its time are left: less than at the decision, where it has waited for a connection.
func (c *Attempt) Remaining() float64 { return c.decidedAt + c.Timeout - c.picker.Now() }

// DecidedAt is when it was decided on, by the picker's clock.
func (c *Attempt) DecidedAt() float64 { return c.decidedAt }

// UsesRetryBudget reports whether it is one beyond its part's first, which the budget counts.
func (c *Attempt) UsesRetryBudget() bool { return c.usesRetryBudget }

// OnlyInFlight reports whether no other call of its part was out when it was decided on.
func (c *Attempt) OnlyInFlight() bool { return c.onlyInFlight }

// ShardsAttempted counts the parts of its lookup that were called by then, this one among them.
func (c *Attempt) ShardsAttempted() int { return c.shardsAttempted }

// Shard is the shard asked.
func (c *Attempt) Shard() int { return c.shard }

// Payload is what the part carries.
func (c *Attempt) Payload() []byte { return c.query.Payload }

// BeginWrite reports whether the call may still be written, against one that waited for a connection while its
// lookup was answered or the budget of further calls ran out. Each Begin that allowed it wants an End once its bytes are out. It never waits: a
// lookup that is being sealed is as good as answered, and writers that waited could wait for each other.
func (c *Attempt) BeginWrite() bool {
	lk := c.query.root()
	if c.cancelled.Load() || !lk.writeGate.TryRLock() {
		return false
	}
	now := c.picker.Now()
	if lk.sealed || c.cancelled.Load() || !c.withinWindow(now) || !c.permitted(now) || c.usesRetryBudget && !c.picker.retryBudget.charge(now) {
		lk.writeGate.RUnlock()
		return false
	}
	c.writeBegun.Store(true)
	lk.mayHaveRun.Store(true)
	for _, w := range c.picker.wireObservers {
		w.AttemptWritten(c, now)
	}
	return true
}

// withinWindow reports whether a fingerprinted part's mark is still known where an earlier call of it may have run: the window
// may end while the call waits for its connection or behind other frames.
func (c *Attempt) withinWindow(now float64) bool {
	for _, b := range c.earlier {
		if !b.provedNotRun.Load() && now > b.decidedAt+c.window-clockTolerance {
			return false
		}
	}
	return true
}

// WriteBegun reports whether its bytes have begun to go.
func (c *Attempt) WriteBegun() bool { return c.writeBegun.Load() }

// EndWrite closes what Begin opened.
func (c *Attempt) EndWrite() { c.query.root().writeGate.RUnlock() }

// Actions are what the network has to carry out after a round, in this order.
type Actions struct {
	StopWriting []*Attempt // their lookup is over: what is not written whole by now must not be
	Cancel      []*Attempt // given up; the shard server is told
	Send        []*Attempt // new ones; those to one server are one turn and share frames

	CheckHealth []uint32 // servers to ask for their load
}

// writer puts the decisions of one round into the facade's form; it is the module's gather.Writer.
type writer struct{ p *Picker }

func (w writer) Send(ref uint64, server uint32, timeout float64) {
	s, known := w.p.shardRequests[ref]
	if !known {
		return
	}
	c := &Attempt{Server: server, Timeout: timeout, query: s.query, index: s.index, number: len(s.query.attempts[s.index]), decidedAt: w.p.lastRoundAt, picker: w.p, moduleID: ref, shard: s.query.ShardRequests[s.query.shardRequestOf(s.index)].Shard, owned: s.query.pieces != nil}
	c.onlyInFlight, c.usesRetryBudget = true, c.number > 0 || s.query.requests != nil && s.query.requests[s.index].Retry
	c.nonIdempotent = w.p.nonIdempotent(s.query)
	if s.query.pieces != nil {
		pc := &s.query.pieces[s.index]
		c.keys, c.segment, c.ownedSince, c.usesRetryBudget = pc.Range, pc.Segment, pc.Since, c.usesRetryBudget || pc.Called && len(s.query.attempts[s.index]) == 0
		pc.Out++
	}
	if index := s.query.root().Class; w.p.settings.Class(index).Effect == gather.IdempotencyKeyed {
		c.earlier, c.window = slices.Clone(s.query.attempts[s.index]), w.p.settings.Class(index).IdempotencyWindow
	}
	for _, before := range s.query.attempts[s.index] {
		c.onlyInFlight = c.onlyInFlight && before.ended.Load()
	}
	s.query.attempts[s.index] = append(s.query.attempts[s.index], c)
	for _, calls := range s.query.attempts {
		c.shardsAttempted += min(len(calls), 1)
	}
	w.p.actions.Send = append(w.p.actions.Send, c)
	w.p.recordDecided(c)
}

func (w writer) Cancel(ref uint64, number int) {
	if s, known := w.p.shardRequests[ref]; known && number < len(s.query.attempts[s.index]) {
		w.p.cancelAttempt(s.query.attempts[s.index][number])
	}
}

func (w writer) Answer(ref uint64, whole bool) {
	if lk := w.p.queries[ref]; lk != nil {
		w.p.finish(lk, Result{Kind: Served, Complete: whole, Hits: lk.appendHits(nil)})
	}
}

func (w writer) Reject(ref uint64, comeBack float64) {
	w.p.finish(w.p.queries[ref], Result{Kind: Rejected, RetryAfter: comeBack})
}

func (w writer) Fail(ref uint64) { w.p.finish(w.p.queries[ref], Result{Kind: Failed}) }

func (w writer) Wake(after float64) { w.p.wakeAt = min(w.p.wakeAt, w.p.lastRoundAt+after) }

func (w writer) Subscribe() {
	select {
	case w.p.listRequested <- struct{}{}:
	default: // asked for already
	}
}

// CheckHealth asks a server for its load.
func (w writer) CheckHealth(server uint32) {
	w.p.actions.CheckHealth = append(w.p.actions.CheckHealth, server)
}

var _ gather.Writer = writer{}
