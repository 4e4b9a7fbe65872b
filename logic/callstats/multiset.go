package callstats

import "slices"

// mostInBlock bounds the values of one block, and with it what an insertion or a removal moves.
const mostInBlock = 512

// Multiset keeps values in their order, some of them alike, so that one goes in or out and the middle one is
// found without looking at all: where the values of a window change one by one, selecting among all of them
// each time takes time by the window and not by what changed.
type Multiset struct {
	blocks [][]float64 // each in its order, none empty, the values of one not above those of the next
	count  int
}

// Len is how many values there are.
func (m *Multiset) Len() int { return m.count }

// Add puts a value in.
func (m *Multiset) Add(value float64) {
	m.count++
	if len(m.blocks) == 0 {
		m.blocks = append(m.blocks, append(make([]float64, 0, mostInBlock), value))
		return
	}
	at := min(m.block(value), len(m.blocks)-1)
	i, _ := slices.BinarySearch(m.blocks[at], value)
	m.blocks[at] = slices.Insert(m.blocks[at], i, value)
	if len(m.blocks[at]) >= mostInBlock {
		m.split(at)
	}
}

// Remove takes one value out that equals the one given, and reports whether there was one.
func (m *Multiset) Remove(value float64) bool {
	at := m.block(value)
	if at == len(m.blocks) {
		return false
	}
	i, found := slices.BinarySearch(m.blocks[at], value)
	if !found {
		return false
	}
	m.count--
	m.blocks[at] = slices.Delete(m.blocks[at], i, i+1)
	if len(m.blocks[at]) == 0 {
		m.blocks = slices.Delete(m.blocks, at, at+1)
	}
	return true
}

// Median is the middle value, the upper one of two, or the other where there is none: as order.Median has it.
func (m *Multiset) Median(otherwise float64) float64 {
	rank := m.count / 2
	for _, block := range m.blocks {
		if rank < len(block) {
			return block[rank]
		}
		rank -= len(block)
	}
	return otherwise
}

// block is the first block whose greatest value is not below the one given, or how many blocks there are.
func (m *Multiset) block(value float64) int {
	at, _ := slices.BinarySearchFunc(m.blocks, value, func(block []float64, value float64) int {
		if block[len(block)-1] < value {
			return -1
		}
		return 1
	})
	return at
}

// split parts a block in two.
func (m *Multiset) split(at int) {
	half := len(m.blocks[at]) / 2
	upper := append(make([]float64, 0, mostInBlock), m.blocks[at][half:]...)
	m.blocks[at] = m.blocks[at][:half]
	m.blocks = slices.Insert(m.blocks, at+1, upper)
}
