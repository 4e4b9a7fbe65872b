package shardserver

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/bits-and-blooms/bloom/v3"
	"github.com/cespare/xxhash/v2"
)

// Content is what the segments of a fleet hold: it says which of so many queries, q0 to qN, match in which segment, by
// a seed. Its summaries are Bloom filters: they may have false positives, never false negatives.
type Content struct {
	Queries           int
	HitShare          float64 // the share of segments in which a query matches
	FalsePositiveRate float64 // of summaries; 0 for exact ones
	Seed              uint64

	mu      sync.Mutex
	version int
	filters map[int]*bloom.BloomFilter // of the version, by segment
}

// NextVersion changes what all segments hold.
func (c *Content) NextVersion() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.filters = nil
}

// Version returns the version of what the segments hold now.
func (c *Content) Version() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Matches reports whether a query matches in a segment at a version.
func (c *Content) Matches(query string, segment, version int) bool {
	var key [24]byte
	binary.LittleEndian.PutUint64(key[:], c.Seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(segment))
	binary.LittleEndian.PutUint64(key[16:], uint64(version))
	d := xxhash.New()
	_, _ = d.Write(key[:]) // a hash accepts any bytes
	_, _ = d.WriteString(query)
	const randomBits = 53 // those of a float64's mantissa
	return float64(d.Sum64()>>(64-randomBits))/(1<<randomBits) < c.HitShare
}

// minFalsePositiveRate keeps the filters of exact summaries finite.
const minFalsePositiveRate = 1e-9

// filter returns a segment's filter. The lock is held.
func (c *Content) filter(segment int) *bloom.BloomFilter {
	if f := c.filters[segment]; f != nil {
		return f
	}
	if c.filters == nil {
		c.filters = map[int]*bloom.BloomFilter{}
	}
	items := uint(max(float64(c.Queries)*c.HitShare, 1))
	f := bloom.NewWithEstimates(items, max(c.FalsePositiveRate, minFalsePositiveRate))
	for q := range c.Queries {
		if name := "q" + strconv.Itoa(q); c.Matches(name, segment, c.version) {
			f.AddString(name)
		}
	}
	c.filters[segment] = f
	return f
}

// Summary returns the answer to a first pass.
func (c *Content) Summary(r ShardRequest) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	positive := c.Matches(r.Payload, r.Shard, c.version)
	if !positive && c.FalsePositiveRate > 0 {
		positive = c.filter(r.Shard).TestString(r.Payload)
	}
	if !positive {
		return fmt.Appendf(nil, "none v%d", c.version)
	}
	// How often its filter is right about a positive is what a server can know.
	precision := c.HitShare / (c.HitShare + c.FalsePositiveRate*(1-c.HitShare))
	return fmt.Appendf(nil, "some %d %.3f v%d", 1+len(r.Payload)%5, precision, c.version)
}

// Answer returns the answer to a full request, empty if nothing matches.
func (c *Content) Answer(r ShardRequest) []byte {
	version := c.Version()
	if !c.Matches(r.Payload, r.Shard, version) {
		return []byte{}
	}
	return fmt.Appendf(nil, "%d:%s:v%d", r.Shard, r.Payload, version)
}

// QueryName returns the name of the shard request's query.
func (r ShardRequest) QueryName() string {
	name, _, _ := strings.Cut(r.ID, ".")
	return name
}
