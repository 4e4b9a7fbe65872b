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

// Content is what the segments of a fleet hold, drawn by a seed: which of so many queries, q0 to qN, find anything
// in which segment. Its summaries are Bloom filters, so that a part may be told to hold something that holds
// nothing, never the other way round.
type Content struct {
	Queries           int
	HitShare          float64 // share of segments in which a query finds something
	FalsePositiveRate float64 // share of empty segments that a summary calls not empty; 0 is an exact one
	Seed              uint64

	mu      sync.Mutex
	version int
	filters map[int]*bloom.BloomFilter // by segment, of the version
}

// NextVersion makes all segments hold something else from now on.
func (c *Content) NextVersion() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.filters = nil
}

// Version is that of the content as it is now.
func (c *Content) Version() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Matches reports whether a query finds anything in a segment, at a version.
func (c *Content) Matches(query string, segment, version int) bool {
	var key [24]byte
	binary.LittleEndian.PutUint64(key[:], c.Seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(segment))
	binary.LittleEndian.PutUint64(key[16:], uint64(version))
	d := xxhash.New()
	d.Write(key[:])
	d.WriteString(query)
	return float64(d.Sum64()>>11)/(1<<53) < c.HitShare
}

// filter is a segment's summary. The lock is held.
func (c *Content) filter(segment int) *bloom.BloomFilter {
	if f := c.filters[segment]; f != nil {
		return f
	}
	if c.filters == nil {
		c.filters = map[int]*bloom.BloomFilter{}
	}
	f := bloom.NewWithEstimates(uint(max(float64(c.Queries)*c.HitShare, 1)), max(c.FalsePositiveRate, 1e-9))
	for q := range c.Queries {
		if name := "q" + strconv.Itoa(q); c.Matches(name, segment, c.version) {
			f.AddString(name)
		}
	}
	c.filters[segment] = f
	return f
}

// Summary is the answer to a first pass.
func (c *Content) Summary(p ShardRequest) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	may := c.Matches(p.Payload, p.Shard, c.version)
	if !may && c.FalsePositiveRate > 0 {
		may = c.filter(p.Shard).TestString(p.Payload)
	}
	if !may {
		return fmt.Appendf(nil, "none v%d", c.version)
	}
	// What a server can know: how often its filter is right when it says yes.
	likely := c.HitShare / (c.HitShare + c.FalsePositiveRate*(1-c.HitShare))
	return fmt.Appendf(nil, "some %d %.3f v%d", 1+len(p.Payload)%5, likely, c.version)
}

// Answer is the answer to a call in full: empty where the segment holds nothing.
func (c *Content) Answer(p ShardRequest) []byte {
	v := c.Version()
	if !c.Matches(p.Payload, p.Shard, v) {
		return []byte{}
	}
	return fmt.Appendf(nil, "%d:%s:v%d", p.Shard, p.Payload, v)
}

// QueryName is the name of the lookup that the part is of.
func (p ShardRequest) QueryName() string {
	name, _, _ := strings.Cut(p.ID, ".")
	return name
}
