package ownership

import "fmt"

// UpdateResult is the result of a map update.
type UpdateResult string

// Results of a map update.
const (
	Applied   UpdateResult = "applied"
	Duplicate UpdateResult = "duplicate" // the update is already known
	Stale     UpdateResult = "stale"     // the update is older than the known map; no contradiction was found
	Gap       UpdateResult = "gap"       // updates between the known map and this one are missing
	Conflict  UpdateResult = "conflict"  // the update contradicts the known map or an earlier one
	Invalid   UpdateResult = "invalid"   // the update itself is faulty
)

// checksumHistory is the number of epochs for which checksums are kept, to distinguish duplicates from
// conflicts.
const checksumHistory = 64

// Tracker keeps the newest map. Updates may arrive late, repeatedly or out of order, and may come from
// sources that contradict each other.
type Tracker struct {
	Map *Map // nil until the first map is received

	// ConflictEpoch is the epoch on which sources contradict each other, or 0. Until a full map of a later
	// epoch arrives no non-idempotent request may be sent, since two hosts could each believe that they own
	// the same keys.
	ConflictEpoch uint64

	checksums [checksumHistory]epochChecksum // indexed by epoch modulo checksumHistory
}

type epochChecksum struct{ epoch, checksum uint64 }

func (t *Tracker) adopt(m *Map) {
	t.Map = m
	t.checksums[m.Epoch%checksumHistory] = epochChecksum{m.Epoch, m.Checksum}
}

// compareChecksum reports whether the checksum of an epoch is known, and whether it equals the given one.
func (t *Tracker) compareChecksum(epoch, checksum uint64) (known, equal bool) {
	entry := t.checksums[epoch%checksumHistory]
	return entry.epoch == epoch && entry.checksum != 0, entry.checksum == checksum
}

// ApplyChange applies a change to the known map. After a gap, a conflict or an invalid change the caller has
// to fetch the full map. The error describes a conflict or an invalid change.
func (t *Tracker) ApplyChange(c Change) (UpdateResult, error) {
	if t.Map == nil || c.Epoch > t.Map.Epoch+1 {
		return Gap, nil
	}
	if c.Epoch <= t.Map.Epoch {
		return t.compareOldChange(c)
	}
	next, err := t.Map.Apply(c)
	switch {
	case err != nil && c.PreviousChecksum != t.Map.Checksum: // based on a different map of the known epoch
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
		return t.conflict(c.Epoch, fmt.Errorf(
			"the change to epoch %d has checksum %016x, which differs from the recorded one", c.Epoch, c.Checksum))
	}
	return Stale, nil
}

// ApplyMap replaces the known map by a full map of a later epoch. It compares the checksum of any other map
// with the one recorded for that map's epoch.
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
			return t.conflict(m.Epoch, fmt.Errorf(
				"the map of epoch %d has checksum %016x, which differs from the recorded one", m.Epoch, m.Checksum))
		}
		return Stale, nil
	case m.Checksum != t.Map.Checksum:
		return t.conflict(m.Epoch, fmt.Errorf(
			"the known map of epoch %d has checksum %016x, the received one has %016x",
			m.Epoch, t.Map.Checksum, m.Checksum))
	}
	t.clearConflict()
	return Duplicate, nil
}

// clearConflict ends a conflict on an epoch earlier than that of the map.
func (t *Tracker) clearConflict() {
	if t.Map.Epoch > t.ConflictEpoch {
		t.ConflictEpoch = 0
	}
}

// conflict records a conflict and keeps the map. ConflictEpoch becomes the latest of the epochs involved,
// so that a source that is wrong about a later epoch, too, can't end the conflict with a map of that epoch.
func (t *Tracker) conflict(epoch uint64, err error) (UpdateResult, error) {
	t.ConflictEpoch = max(t.ConflictEpoch, epoch, 1)
	if t.Map != nil {
		t.ConflictEpoch = max(t.ConflictEpoch, t.Map.Epoch)
	}
	return Conflict, err
}
