package ownership

import "fmt"

// Verdict is what news of the map came to.
type Verdict string

// The verdicts.
const (
	Applied     Verdict = "applied"
	Repeated    Verdict = "known already"
	Stale       Verdict = "older than what is known"
	Skipped     Verdict = "some epochs are missing before it"
	Contradicts Verdict = "contradicts what is known"
	Garbled     Verdict = "makes no sense by itself"
)

// remembered is how many epochs a follower can tell a repeat from a contradiction for.
const remembered = 64

// Follower keeps the newest map that it has heard of. News may come late, twice, out of order or from two
// sources that contradict each other.
type Follower struct {
	Map *Map // nil where none is known

	// Doubt is the epoch at which sources contradicted each other, 0 for none. In doubt nothing once-only is
	// sent: two owners could each believe a part theirs. It ends with a whole map of a later epoch.
	Doubt uint64

	sums [remembered]struct{ epoch, sum uint64 }
}

func (f *Follower) remember(m *Map) {
	f.Map = m
	slot := &f.sums[m.Epoch%remembered]
	slot.epoch, slot.sum = m.Epoch, m.Sum
}

// known reports whether an epoch's sum is remembered, and whether it is this one.
func (f *Follower) known(epoch, sum uint64) (known, same bool) {
	slot := f.sums[epoch%remembered]
	return slot.epoch == epoch && slot.sum != 0, slot.sum == sum
}

// Take takes a change. Where epochs are missing before it, or it makes no sense, the whole map has to be
// asked for. The error says what is wrong.
func (f *Follower) Take(c Change) (Verdict, error) {
	switch {
	case f.Map == nil || c.Epoch > f.Map.Epoch+1:
		return Skipped, nil
	case c.Epoch <= f.Map.Epoch:
		known, same := f.known(c.Epoch, c.Sum)
		switch {
		case known && same:
			return Repeated, nil
		case known:
			return f.contradicted(c.Epoch, fmt.Errorf("epoch %d is said to have the sum %016x and had another",
				c.Epoch, c.Sum))
		}
		return Stale, nil
	}
	next, err := f.Map.Apply(c)
	switch {
	case err != nil && c.Was != f.Map.Sum: // it follows another story of the epoch that we know
		return f.contradicted(f.Map.Epoch, err)
	case err != nil:
		return Garbled, err
	}
	f.remember(next)
	return Applied, nil
}

// Reset takes a whole map.
func (f *Follower) Reset(m *Map) (Verdict, error) {
	if faults := m.Check(); len(faults) > 0 {
		return Garbled, faults[0]
	}
	switch {
	case f.Map == nil || m.Epoch > f.Map.Epoch:
		f.remember(m)
		f.settle()
		return Applied, nil
	case m.Epoch < f.Map.Epoch:
		if known, same := f.known(m.Epoch, m.Sum); known && !same {
			return f.contradicted(m.Epoch, fmt.Errorf("epoch %d has the sum %016x and had another",
				m.Epoch, m.Sum))
		}
		return Stale, nil
	case m.Sum != f.Map.Sum:
		return f.contradicted(m.Epoch, fmt.Errorf("epoch %d has the sum %016x here and %016x there",
			m.Epoch, f.Map.Sum, m.Sum))
	}
	f.settle()
	return Repeated, nil
}

// settle ends the doubt where the map that is known, told whole, is later than what was doubtful.
func (f *Follower) settle() {
	if f.Map.Epoch > f.Doubt {
		f.Doubt = 0
	}
}

// contradicted keeps the map that there is; what is doubtful goes by the larger epoch, so that a source
// which is wrong about the future can't end the doubt by it.
func (f *Follower) contradicted(epoch uint64, err error) (Verdict, error) {
	f.Doubt = max(f.Doubt, epoch, 1)
	if f.Map != nil {
		f.Doubt = max(f.Doubt, f.Map.Epoch)
	}
	return Contradicts, err
}
