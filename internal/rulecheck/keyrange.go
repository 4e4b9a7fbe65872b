package rulecheck

// KeyRange is a range of a shard's keys, both ends included. A nil range holds all keys of its shard.
type KeyRange struct {
	Lo uint64 `json:"lo"`
	Hi uint64 `json:"hi"`
}

// overlaps reports whether two ranges share a key.
func (k *KeyRange) overlaps(other *KeyRange) bool {
	return k == nil || other == nil || k.Lo <= other.Hi && other.Lo <= k.Hi
}

// within reports whether all keys of a range are in another.
func (k *KeyRange) within(other *KeyRange) bool {
	return other == nil || k != nil && k.Lo >= other.Lo && k.Hi <= other.Hi
}

// equal reports whether two ranges hold the same keys.
func (k *KeyRange) equal(other *KeyRange) bool { return k.within(other) && other.within(k) }

// size returns the number of keys in a range that is not nil.
func (k *KeyRange) size() float64 { return float64(k.Hi-k.Lo) + 1 }

// countOverlapping returns how many of the ranges share a key with this one.
func countOverlapping(keys *KeyRange, ranges []*KeyRange) (n int) {
	for _, k := range ranges {
		if k.overlaps(keys) {
			n++
		}
	}
	return n
}
