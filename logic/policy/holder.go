package policy

// Word is what a steward that leads tells a gatherer: the record, as far as it is the gatherer's business.
type Word struct {
	Epoch  uint64  `json:"epoch"`
	Policy Policy  `json:"policy,omitempty"`
	Last   uint64  `json:"last"`
	Change *Change `json:"change,omitempty"`
	// Lease is for how many milliseconds after it sent its question the gatherer may go by this word; 0 for one
	// that is not taken in, and Refused says why.
	Lease   float64 `json:"lease"`
	Refused string  `json:"refused,omitempty"`
}

// Fence is how far who has heard a word has come.
func (w *Word) Fence() Fence {
	f := Fence{Epoch: w.Epoch, Last: w.Last}
	if w.Change != nil {
		f.Change = w.Change.Number
	}
	return f
}

// News reports whether a word holds what a gatherer has not come to yet. A change that it refuses is none: it
// would ask again at once.
func (w *Word) News(h Hello) bool {
	now := w.Fence()
	refused := h.Refuses > 0 && h.Refuses == now.Change
	return now != h.Holds && !refused
}

// Fence is how far a gatherer has come: what it may never go back behind. It outlasts the process where
// there is a disk; without one a gatherer that starts anew begins at its floor, which needs none.
type Fence struct {
	Epoch  uint64 `json:"epoch"`
	Last   uint64 `json:"last"`
	Change uint64 `json:"change,omitempty"` // being prepared
}

// before reports whether a word is older than the fence: a record only grows.
func (f Fence) before(w *Word) bool {
	told := w.Fence()
	return told.Epoch < f.Epoch || told.Last < f.Last || told.Last == f.Last && told.Change < f.Change
}

// Hello is what a gatherer tells a steward, with each question.
type Hello struct {
	Member
	Process  string `json:"process"`            // another one with each start
	Holds    Fence  `json:"holds"`              // what it acts by; nothing where it acts within its floor
	Settled  bool   `json:"settled"`            // no lookup is in hand that was decided by anything else
	Refuses  uint64 `json:"refuses,omitempty"`  // a change that it can't act by
	Why      string `json:"why,omitempty"`      // and why
	Version  string `json:"version,omitempty"`  // of its program
	Lapses   uint64 `json:"lapses,omitempty"`   // leases that ran out
	Rejected uint64 `json:"rejected,omitempty"` // words that would have gone back
}

// Holder is what one gatherer goes by. Times are milliseconds of its own monotonic clock.
type Holder struct {
	floor Policy
	fit   func(Policy) error // what the platform's settings say to a policy

	fence    Fence
	acts     Policy // in force, or its intersection with the one that is being prepared, or the floor
	leased   bool
	until    float64 // of the lease; questions are asked one after the other, so that it only grows
	ways     uint64  // counts what it has acted by, one after the other
	base     uint64  // the way from which the lookups in hand may still be: what is older has lost its right
	refuses  uint64
	why      string
	lapses   uint64
	rejected uint64
}

// NewHolder begins within its floor, at a fence that an earlier process left.
func NewHolder(floor Policy, fence Fence, fit func(Policy) error) *Holder {
	return &Holder{floor: floor, fit: fit, fence: fence, acts: floor, ways: 1, base: 1}
}

// Hear takes a word that answers a question sent at asked. It gives the fence to be kept before anything
// is acted by, and whether it has moved; and whether the word was taken at all: one that would go back is
// not.
func (h *Holder) Hear(asked, now float64, w Word) (fence Fence, moved, taken bool) {
	h.lapse(now)
	if h.fence.before(&w) {
		h.rejected++
		return h.fence, false, false
	}
	next := w.Fence()
	// What the platform contradicts, or what is not known here, can't be acted by: the floor is within it.
	if err := h.fits(w.Policy); err != nil {
		h.refuses, h.why = w.Epoch, err.Error()
		h.fall()
		return h.fence, false, false
	}
	h.refuses, h.why = 0, ""
	acts := w.Policy
	if w.Change != nil {
		if err := h.fits(w.Change.Policy); err != nil {
			h.refuses, h.why = w.Change.Number, err.Error()
		}
		acts = Intersect(w.Policy, w.Change.Policy)
	}
	// A change that was decided and never prepared here was not waited for: this gatherer counts as cut off.
	if next.Epoch > h.fence.Epoch && h.fence.Change != next.Epoch && h.leased {
		h.lapses++
		h.fall()
	}
	moved = next != h.fence
	fresh := !h.leased
	h.fence = next
	refused := h.refuses > 0 && h.refuses == next.Change
	if asked+w.Lease <= now || refused && fresh {
		// Too late already; or a change that is refused here, so that the intersection can't be acted by.
		return h.fence, moved, true
	}
	h.leased = true
	h.until = asked + w.Lease
	if fresh || moved && !refused { // one that is refused is not acted by until it has been given up
		h.acts = acts
		h.ways++
	}
	if fresh { // what the floor allowed every policy allows
		h.base = h.ways
	}
	return h.fence, moved, true
}

func (h *Holder) fits(p Policy) error {
	if unknown := p.Unknown(); len(unknown) > 0 {
		return refuse("the kind %s is not known to this version", unknown[0])
	}
	if h.fit == nil {
		return nil
	}
	return h.fit(p)
}

// lapse ends a lease that has run out.
func (h *Holder) lapse(now float64) {
	if h.leased && now >= h.until {
		h.lapses++
		h.fall()
	}
}

// fall goes to the floor: all that was decided by anything else loses its right.
func (h *Holder) fall() {
	h.leased, h.acts = false, h.floor
	h.ways++
	h.base = h.ways
}

// Acts is what lookups that land now are decided by, and the number of that way.
func (h *Holder) Acts(now float64) (Policy, uint64) {
	h.lapse(now)
	return h.acts, h.ways
}

// May reports whether what was decided in an earlier way may still be done. Where not, it may only as far
// as what is acted by now allows it.
func (h *Holder) May(way uint64, now float64) bool {
	h.lapse(now)
	return way >= h.base
}

// Settle tells that no lookup is in hand that was decided in a way before this one.
func (h *Holder) Settle(way uint64) { h.base = max(h.base, min(way, h.ways)) }

// Settled reports whether all in hand is by what is acted by now.
func (h *Holder) Settled() bool { return h.base == h.ways }

// Until is when the lease ends, 0 where there is none.
func (h *Holder) Until() float64 {
	if !h.leased {
		return 0
	}
	return h.until
}

// Hello is what to tell a steward now.
func (h *Holder) Hello(now float64) Hello {
	h.lapse(now)
	o := Hello{Settled: h.Settled(), Refuses: h.refuses, Why: h.why, Lapses: h.lapses, Rejected: h.rejected}
	if h.leased {
		o.Holds = h.fence
	}
	if h.refuses > 0 && h.refuses == o.Holds.Change {
		o.Holds.Change = 0
	}
	return o
}
