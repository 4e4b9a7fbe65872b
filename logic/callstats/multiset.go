package callstats

import "slices"

// maxBlock bounds the values of a block, and so what an insertion or removal moves.
const maxBlock = 512

// Multiset is an ordered multiset of values. Adding, removing and finding the median take time by its
// number of blocks, where selecting among all values would take time by their number.
type Multiset struct {
	blocks [][]float64 // sorted, none empty, the values of one not above those of the next
	count  int
}

// Len is the number of values.
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

// Remove removes one of the values that equal the one given, and reports whether there was any.
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

// Median is the middle value, the upper one of two, or the default where there is none.
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

// findBlock is the first block whose greatest value is not below the one given, or the number of blocks.
func (m *Multiset) findBlock(value float64) int {
	b, _ := slices.BinarySearchFunc(m.blocks, value, func(block []float64, value float64) int {
		if block[len(block)-1] < value {
			return -1
		}
		return 1
	})
	return b
}

// split divides a block into halves.
func (m *Multiset) split(b int) {
	half := len(m.blocks[b]) / 2
	upper := append(make([]float64, 0, maxBlock), m.blocks[b][half:]...)
	m.blocks[b] = m.blocks[b][:half]
	m.blocks = slices.Insert(m.blocks, b+1, upper)
}
