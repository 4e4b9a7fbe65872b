package callstats

import "slices"

// maxBlock limits the number of values in a block, and so how many values an insertion or removal moves.
const maxBlock = 512

// Multiset is an ordered multiset of values. The time to add or remove a value or to find the median grows
// with the number of blocks, not with the number of values as a selection among all of them would.
type Multiset struct {
	blocks [][]float64 // sorted and not empty; no value of a block is above one of the next block
	count  int
}

// Len returns the number of values.
func (m *Multiset) Len() int { return m.count }

// Add adds a value.
func (m *Multiset) Add(value float64) {
	m.count++
	if len(m.blocks) == 0 {
		m.blocks = append(m.blocks, append(make([]float64, 0, maxBlock), value))
		return
	}
	b := min(m.findBlock(value), len(m.blocks)-1)
	i, _ := slices.BinarySearch(m.blocks[b], value)
	m.blocks[b] = slices.Insert(m.blocks[b], i, value)
	if len(m.blocks[b]) >= maxBlock {
		m.split(b)
	}
}

// Remove removes one value equal to the given one, and reports whether there was one.
func (m *Multiset) Remove(value float64) bool {
	b := m.findBlock(value)
	if b == len(m.blocks) {
		return false
	}
	i, found := slices.BinarySearch(m.blocks[b], value)
	if !found {
		return false
	}
	m.count--
	m.blocks[b] = slices.Delete(m.blocks[b], i, i+1)
	if len(m.blocks[b]) == 0 {
		m.blocks = slices.Delete(m.blocks, b, b+1)
	}
	return true
}

// Median returns the middle value, the upper one of two, or the default if the multiset is empty.
func (m *Multiset) Median(defaultValue float64) float64 {
	rank := m.count / 2
	for _, block := range m.blocks {
		if rank < len(block) {
			return block[rank]
		}
		rank -= len(block)
	}
	return defaultValue
}

// findBlock returns the index of the first block whose greatest value is not below the given one, or the
// number of blocks.
func (m *Multiset) findBlock(value float64) int {
	b, _ := slices.BinarySearchFunc(m.blocks, value, func(block []float64, value float64) int {
		if block[len(block)-1] < value {
			return -1
		}
		return 1
	})
	return b
}

// split splits a block into halves.
func (m *Multiset) split(b int) {
	half := len(m.blocks[b]) / 2
	upper := append(make([]float64, 0, maxBlock), m.blocks[b][half:]...)
	m.blocks[b] = m.blocks[b][:half]
	m.blocks = slices.Insert(m.blocks, b+1, upper)
}
