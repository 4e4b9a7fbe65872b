package ownership

import "fmt"

// UpdateResult is what an update of the map comes to.
type UpdateResult string

// The results.
const (
	Applied   UpdateResult = "applied"
	Duplicate UpdateResult = "duplicate" // it is known already
	Stale     UpdateResult = "stale"     // it is older than what is known
	Gap       UpdateResult = "gap"       // epochs before it are missing
	Conflict  UpdateResult = "conflict"  // it contradicts what is known
	Invalid   UpdateResult = "invalid"   // it has a fault by itself
)

// checksumHistory is for how many epochs a duplicate can be told from a conflict.
const checksumHistory = 64

// Tracker keeps the newest map. Updates may be late, repeated, out of order, or of two sources that
// contradict each other.
type Tracker struct {
	Map *Map // nil where none is known

	// ConflictEpoch is the epoch on which sources contradict each other, 0 for none. Until a full map of a
	// later epoch arrives nothing non-idempotent may be sent, since two hosts could each believe that they
	// own the keys.
	ConflictEpoch uint64

	checksums [checksumHistory]epochChecksum // by epoch
}

type epochChecksum struct{ epoch, checksum uint64 }

func (t *Tracker) adopt(m *Map) {
	t.Map = m
	t.checksums[m.Epoch%checksumHistory] = epochChecksum{m.Epoch, m.Checksum}
}

// compareChecksum reports whether an epoch's checksum is known, and whether it is this one.
func (t *Tracker) compareChecksum(epoch, checksum uint64) (known, equal bool) {
	entry := t.checksums[epoch%checksumHistory]
	return entry.epoch == epoch && entry.checksum != 0, entry.checksum == checksum
}

// ApplyChange takes over a change. After a gap, a conflict or an invalid change the full map is needed. The
// error says what is wrong.
func (t *Tracker) ApplyChange(c Change) (UpdateResult, error) {
	if t.Map == nil || c.Epoch > t.Map.Epoch+1 {
		return Gap, nil
	}
	if c.Epoch <= t.Map.Epoch {
		return t.compareOldChange(c)
	}
	next, err := t.Map.Apply(c)
	switch {
	case err != nil && c.PreviousChecksum != t.Map.Checksum: // it follows another map of the known epoch
		return t.conflict(t.Map.Epoch, err)
	case err != nil:
		return Invalid, err
	}
	t.adopt(next)
	return Applied, nil
}

func (t *Tracker) compareOldChange(c Change) (UpdateResult, error) {
	known, equal := t.compareChecksum(c.Epoch, c.Checksum)
	switch {
	case known && equal:
		return Duplicate, nil
	case known:
		return t.conflict(c.Epoch, fmt.Errorf("epoch %d is said to have the sum %016x and had another",
			c.Epoch, c.Checksum))
	}
	return Stale, nil
}

// ApplyMap takes over a full map.
func (t *Tracker) ApplyMap(m *Map) (UpdateResult, error) {
	if faults := m.Check(); len(faults) > 0 {
		return Invalid, faults[0]
	}
	switch {
	case t.Map == nil || m.Epoch > t.Map.Epoch:
		t.adopt(m)
		t.clearConflict()
		return Applied, nil
	case m.Epoch < t.Map.Epoch:
		if known, equal := t.compareChecksum(m.Epoch, m.Checksum); known && !equal {
			return t.conflict(m.Epoch, fmt.Errorf("epoch %d has the sum %016x and had another",
				m.Epoch, m.Checksum))
		}
		return Stale, nil
	case m.Checksum != t.Map.Checksum:
		return t.conflict(m.Epoch, fmt.Errorf("epoch %d has the sum %016x here and %016x there",
			m.Epoch, t.Map.Checksum, m.Checksum))
	}
	t.clearConflict()
	return Duplicate, nil
}

// clearConflict ends a conflict on an epoch before that of the map.
func (t *Tracker) clearConflict() {
	if t.Map.Epoch > t.ConflictEpoch {
		t.ConflictEpoch = 0
	}
}

// conflict notes a conflict and keeps the map. The larger epoch counts, so that a source that is wrong about
// a later one can't end the conflict by it.
func (t *Tracker) conflict(epoch uint64, err error) (UpdateResult, error) {
	t.ConflictEpoch = max(t.ConflictEpoch, epoch, 1)
	if t.Map != nil {
		t.ConflictEpoch = max(t.ConflictEpoch, t.Map.Epoch)
	}
	return Conflict, err
}
