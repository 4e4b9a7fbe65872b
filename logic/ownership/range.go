package ownership

import (
	"fmt"
	"strconv"
	"strings"
)

const maxKey = ^uint64(0)

// keyDigits is the length of the text of a key, in hex digits.
const keyDigits = 16

// keySpace is the number of keys.
const keySpace = 1 << 64

// Range is the set of keys from Lo to Hi. Both are included, so that a Range can hold all keys.
type Range struct{ Lo, Hi uint64 }

// AllKeys is the range of all keys.
var AllKeys = Range{0, maxKey}

// ShardRange returns the keys of one shard, given the number of shards into which clients divide the keys
// evenly.
func ShardRange(shard, shards int) Range {
	if shards <= 1 {
		return AllKeys
	}
	width := maxKey/uint64(shards) + 1
	lo := uint64(shard) * width
	r := Range{lo, lo + width - 1}
	if shard == shards-1 || r.Hi < r.Lo { // rounding shortens the last shard
		r.Hi = maxKey
	}
	return r
}

// Fraction returns the size of the range as a fraction of all keys.
func (r Range) Fraction() float64 { return (float64(r.Hi-r.Lo) + 1) / keySpace }

// Overlaps reports whether two ranges share a key.
func (r Range) Overlaps(o Range) bool { return r.Lo <= o.Hi && o.Lo <= r.Hi }

// Within reports whether o contains all keys of r.
func (r Range) Within(o Range) bool { return r.Lo >= o.Lo && r.Hi <= o.Hi }

// Text returns the range as it is written in files and documents: two keys in hex, separated by a dash. The
// method is not named String, since types that embed a Range would inherit it.
func (r Range) Text() string { return fmt.Sprintf("%016x-%016x", r.Lo, r.Hi) }

// ParseRange parses a range in the format of Text.
func ParseRange(text string) (Range, error) {
	lo, hi, found := strings.Cut(text, "-")
	first, errFirst := strconv.ParseUint(lo, 16, 64)
	last, errLast := strconv.ParseUint(hi, 16, 64)
	if !found || len(lo) != keyDigits || len(hi) != keyDigits || errFirst != nil || errLast != nil {
		return Range{}, fmt.Errorf(
			"%q is not a range of keys; write sixteen hex digits, a dash and sixteen more hex digits", text)
	}
	if last < first {
		return Range{}, fmt.Errorf("the range %s ends before it begins", text)
	}
	return Range{first, last}, nil
}
