package callstats

// entry is a record in the queue of all servers' records, which is ordered by time.
type entry struct {
	endedAt    float64
	latency    float64
	server     int32
	generation uint32
	succeeded  bool
}

// blockLength is the number of entries in a block of a queue. Blocks avoid copying all entries when a long
// queue grows.
const blockLength = 1024

// queue holds entries in the order of time. Only the last of its blocks may have free space.
type queue struct {
	blocks [][]entry
	head   int     // index of the oldest entry in the first block
	spare  []entry // empty block kept for reuse
	count  int
}

func (q *queue) empty() bool { return q.count == 0 }

func (q *queue) oldest() *entry { return &q.blocks[0][q.head] }

func (q *queue) push(e entry) {
	last := len(q.blocks) - 1
	if last < 0 || len(q.blocks[last]) == blockLength {
		q.addBlock()
		last++
	}
	q.blocks[last] = append(q.blocks[last], e)
	q.count++
}

func (q *queue) addBlock() {
	if q.spare == nil {
		q.spare = make([]entry, 0, blockLength)
	}
	q.blocks = append(q.blocks, q.spare)
	q.spare = nil
}

// pop removes and returns the oldest entry.
func (q *queue) pop() entry {
	e := q.blocks[0][q.head]
	q.head++
	q.count--
	if q.head == len(q.blocks[0]) {
		q.spare = q.blocks[0][:0]
		q.blocks = q.blocks[1:]
		q.head = 0
	}
	return e
}

// newestFirst iterates over all entries from the newest to the oldest.
func (q *queue) newestFirst() func(yield func(*entry) bool) {
	return func(yield func(*entry) bool) {
		for b := len(q.blocks) - 1; b >= 0; b-- {
			oldest := 0
			if b == 0 {
				oldest = q.head
			}
			for i := len(q.blocks[b]) - 1; i >= oldest; i-- {
				if !yield(&q.blocks[b][i]) {
					return
				}
			}
		}
	}
}
