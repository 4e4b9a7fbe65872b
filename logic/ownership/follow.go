package ownership

import "fmt"

// UpdateResult is what news of the map came to.
type UpdateResult string

// The verdicts.
const (
	Applied   UpdateResult = "applied"
	Duplicate UpdateResult = "known already"
	Stale     UpdateResult = "older than what is known"
	Gap       UpdateResult = "some epochs are missing before it"
	Conflict  UpdateResult = "contradicts what is known"
	Invalid   UpdateResult = "makes no sense by itself"
)

// checksumHistory is how many epochs a follower can tell a repeat from a contradiction for.
const checksumHistory = 64

// Tracker keeps the newest map that it has heard of. News may come late, twice, out of order or from two
// sources that contradict each other.
type Tracker struct {
	Map *Map // nil where none is known

	// ConflictEpoch is the epoch at which sources contradicted each other, 0 for none. In doubt nothing once-only is
	// sent: two owners could each believe a part theirs. It ends with a whole map of a later epoch.
	ConflictEpoch uint64

	checksums [checksumHistory]struct{ epoch, sum uint64 }
}

func (f *Tracker) adopt(m *Map) {
	f.Map = m
	slot := &f.checksums[m.Epoch%checksumHistory]
	slot.epoch, slot.sum = m.Epoch, m.Checksum
}

// knownChecksum reports whether an epoch's sum is remembered, and whether it is this one.
func (f *Tracker) knownChecksum(epoch, sum uint64) (known, same bool) {
	slot := f.checksums[epoch%checksumHistory]
	return slot.epoch == epoch && slot.sum != 0, slot.sum == sum
}

// ApplyChange takes a change. Where epochs are missing before it, or it makes no sense, the whole map has to be
// asked for. The error says what is wrong.
func (f *Tracker) ApplyChange(c Change) (UpdateResult, error) {
	switch {
	case f.Map == nil || c.Epoch > f.Map.Epoch+1:
		return Gap, nil
	case c.Epoch <= f.Map.Epoch:
		known, same := f.knownChecksum(c.Epoch, c.Checksum)
		switch {
		case known && same:
			return Duplicate, nil
		case known:
			return f.conflict(c.Epoch, fmt.Errorf("epoch %d is said to have the sum %016x and had another",
				c.Epoch, c.Checksum))
		}
		return Stale, nil
	}
	next, err := f.Map.Apply(c)
	switch {
	case err != nil && c.PreviousChecksum != f.Map.Checksum: // it follows another story of the epoch that we know
		return f.conflict(f.Map.Epoch, err)
	case err != nil:
		return Invalid, err
	}
	f.adopt(next)
	return Applied, nil
}

// ApplyMap takes a whole map.
func (f *Tracker) ApplyMap(m *Map) (UpdateResult, error) {
	if faults := m.Check(); len(faults) > 0 {
		return Invalid, faults[0]
	}
	switch {
	case f.Map == nil || m.Epoch > f.Map.Epoch:
		f.adopt(m)
		f.clearConflict()
		return Applied, nil
	case m.Epoch < f.Map.Epoch:
		if known, same := f.knownChecksum(m.Epoch, m.Checksum); known && !same {
			return f.conflict(m.Epoch, fmt.Errorf("epoch %d has the sum %016x and had another",
				m.Epoch, m.Checksum))
		}
		return Stale, nil
	case m.Checksum != f.Map.Checksum:
		return f.conflict(m.Epoch, fmt.Errorf("epoch %d has the sum %016x here and %016x there",
			m.Epoch, f.Map.Checksum, m.Checksum))
	}
	f.clearConflict()
	return Duplicate, nil
}

// clearConflict ends the doubt where the map that is known, told whole, is later than what was doubtful.
func (f *Tracker) clearConflict() {
	if f.Map.Epoch > f.ConflictEpoch {
		f.ConflictEpoch = 0
	}
}

// conflict keeps the map that there is; what is doubtful goes by the larger epoch, so that a source
// which is wrong about the future can't end the doubt by it.
func (f *Tracker) conflict(epoch uint64, err error) (UpdateResult, error) {
	f.ConflictEpoch = max(f.ConflictEpoch, epoch, 1)
	if f.Map != nil {
		f.ConflictEpoch = max(f.ConflictEpoch, f.Map.Epoch)
	}
	return Conflict, err
}
