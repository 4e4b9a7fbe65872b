// Package records keeps, for each shard server, the records of its part calls within a window, their sums,
// and the median of what all servers answered lately. It brings them up to date by what changed: a round
// costs by the records that came and ran out, not by the servers that there are or the records that they
// hold.
//
// It decides nothing. The sums of a server are added up anew, in the order of its records, whenever one came
// or went, so that they are the same to the last bit as if all were added up in every round.
package callstats

import "math"

// Record is how one part call went.
type Record struct {
	At, Latency, Extra float64
	Weight             float64 // 1, or less for a first pass, which says less
	Passed, Failed     bool
	Lost               bool // not answered, and it may have run
}

// Sums are those of a server's records.
type Sums struct {
	Number, Passed, Failed float64 // by weight
	Latency, Extra         float64 // of those passed, of those failed
	Trust                  float64 // answered since the last one lost; infinite where none was
}

// Limits are what a server's records are kept by. Times are milliseconds.
type Limits struct {
	Span   float64 // of the window
	Enough int     // records kept beyond it, against judging by none at all,
	Memory float64 // for so long
}

// server is what is kept of one.
type server struct {
	records    []Record
	sums       Sums
	generation uint32 // counts how often its records were forgotten
	changed    bool   // it is among those to be added up
}

// entry is a record's place in the order of time of all servers.
type entry struct {
	at, latency float64
	server      int32
	generation  uint32
	passed      bool
}

// Table is the records of all servers, by a dense index. Times must not go back.
type Table struct {
	limits  Limits
	servers []server
	changed []int
	window  queue // records of the window, by time
	beyond  queue // records kept though they have left the window, by time
	median  Multiset
	left    float64 // what came at or before this time has left the window
}

// New makes a table without servers.
func New(limits Limits) *Table { return &Table{limits: limits, left: math.Inf(-1)} }

// Grow adds a server behind the last one.
func (t *Table) Grow() {
	t.servers = append(t.servers, server{})
	t.Touch(len(t.servers) - 1)
}

// Len is how many records of a server are kept.
func (t *Table) Len(of int) int { return len(t.servers[of].records) }

// Sums are those of a server as of the last Advance.
func (t *Table) Sums(of int) Sums { return t.servers[of].sums }

// Touch has Advance name a server among those that changed.
func (t *Table) Touch(of int) {
	if s := &t.servers[of]; !s.changed {
		s.changed = true
		t.changed = append(t.changed, of)
	}
}

// Forget drops all records of a server: another process has taken its place.
func (t *Table) Forget(of int) {
	s := &t.servers[of]
	for i := range s.records {
		if r := &s.records[i]; r.Passed && r.At > t.left {
			t.median.Remove(r.Latency)
		}
	}
	s.records = nil
	s.generation++
	t.Touch(of)
}

// Add notes how a part call of a server went.
func (t *Table) Add(of int, r Record) {
	s := &t.servers[of]
	s.records = append(s.records, r)
	t.window.push(entry{r.At, r.Latency, int32(of), s.generation, r.Passed})
	if r.Passed {
		t.median.Add(r.Latency)
	}
	t.Touch(of)
}

// Advance moves the window on and adds up the records of the servers where one came or went, or that were
// touched. It gives these servers, until the next call.
func (t *Table) Advance(now float64) []int {
	left := t.leave(now)
	for !t.beyond.empty() && t.beyond.first().at < now-t.limits.Memory {
		if e := t.beyond.pop(); t.servers[e.server].generation == e.generation {
			t.Touch(int(e.server))
		}
	}
	changed := t.changed
	t.changed = nil
	for _, of := range changed {
		t.servers[of].changed = false
		if t.servers[of].add(now, t.limits) {
			t.Touch(of)
		}
	}
	for _, e := range left { // what is kept all the same ends with the memory
		s := &t.servers[e.server]
		if s.generation == e.generation && len(s.records) > 0 && s.records[0].At <= e.at {
			t.beyond.push(e)
		}
	}
	return changed
}

// leave takes what has run out from the window, and touches its servers.
func (t *Table) leave(now float64) (left []entry) {
	t.left = now - t.limits.Span
	for !t.window.empty() && t.window.first().at <= t.left {
		e := t.window.pop()
		if t.servers[e.server].generation != e.generation {
			continue
		}
		if e.passed {
			t.median.Remove(e.latency)
		}
		t.Touch(int(e.server))
		left = append(left, e)
	}
	return left
}

// Median is the middle latency of what was answered within the window, or the other where there is none.
func (t *Table) Median(otherwise float64) float64 { return t.median.Median(otherwise) }

// Answered appends the latencies of what was answered after a time. A time before the window costs a look at
// all records.
func (t *Table) Answered(after float64, to []float64) []float64 {
	if after < t.left {
		return t.answeredOfAll(after, to)
	}
	for e := range t.window.newest() {
		if e.at <= after {
			break
		}
		if e.passed && t.servers[e.server].generation == e.generation {
			to = append(to, e.latency)
		}
	}
	return to
}

func (t *Table) answeredOfAll(after float64, to []float64) []float64 {
	for i := range t.servers {
		for _, r := range t.servers[i].records {
			if r.Passed && r.At > after {
				to = append(to, r.Latency)
			}
		}
	}
	return to
}

// add drops what has run out and adds the rest up. It reports whether a record has left the window at this
// very moment and is dropped at the next.
func (s *server) add(now float64, limits Limits) (again bool) {
	old := 0
	for old < len(s.records) && (s.records[old].At < now-limits.Memory ||
		len(s.records) > old+limits.Enough && s.records[old].At < now-limits.Span) {
		old++
	}
	s.records = s.records[old:]
	s.sums = Sums{Trust: math.Inf(1)}
	for i := range s.records {
		s.sums.add(&s.records[i])
	}
	return len(s.records) > limits.Enough && s.records[0].At <= now-limits.Span
}

func (s *Sums) add(r *Record) {
	s.Number += r.Weight
	if r.Passed {
		s.Passed += r.Weight
		s.Trust++
		s.Latency += r.Weight * r.Latency
	}
	if r.Failed {
		s.Failed += r.Weight
		s.Extra += r.Weight * r.Extra
	}
	if r.Lost {
		s.Trust = 0
	}
}

// blockLength is how many entries of a queue lie together, against moving all of a long one when it grows.
const blockLength = 1024

// queue is entries by time, the oldest first, in blocks of which only the last may have room.
type queue struct {
	blocks [][]entry
	from   int     // the oldest one's place in the first block
	spare  []entry // a block that has been emptied
	count  int
}

func (q *queue) empty() bool   { return q.count == 0 }
func (q *queue) first() *entry { return &q.blocks[0][q.from] }

func (q *queue) push(e entry) {
	last := len(q.blocks) - 1
	if last < 0 || len(q.blocks[last]) == blockLength {
		if q.spare == nil {
			q.spare = make([]entry, 0, blockLength)
		}
		q.blocks, q.spare = append(q.blocks, q.spare), nil
		last++
	}
	q.blocks[last] = append(q.blocks[last], e)
	q.count++
}

// pop takes the oldest.
func (q *queue) pop() entry {
	e := q.blocks[0][q.from]
	q.from++
	q.count--
	if q.from == len(q.blocks[0]) {
		q.spare, q.blocks, q.from = q.blocks[0][:0], q.blocks[1:], 0
	}
	return e
}

// newest gives all entries, the newest first.
func (q *queue) newest() func(yield func(*entry) bool) {
	return func(yield func(*entry) bool) {
		for b := len(q.blocks) - 1; b >= 0; b-- {
			oldest := 0
			if b == 0 {
				oldest = q.from
			}
			for i := len(q.blocks[b]) - 1; i >= oldest; i-- {
				if !yield(&q.blocks[b][i]) {
					return
				}
			}
		}
	}
}
