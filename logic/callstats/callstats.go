// Package callstats keeps the records of each server's attempts within a window, with their sums, and the
// median latency of all servers' successful attempts. A round costs time by the records that came or
// expired in it, not by the servers or by the records that they hold.
//
// It decides nothing. A server's sums are added up anew, in the order of its records, whenever one came or
// expired, so that they do not depend on the history of floating-point operations.
//
// Servers have a dense index. Times are milliseconds and must not go back.
package callstats

import "math"

// Record is how one attempt went.
type Record struct {
	EndedAt      float64
	Latency      float64
	ExtraLatency float64 // over what it should have taken
	Weight       float64 // 1, or less for an attempt that says less
	Succeeded    bool
	Failed       bool // it did not succeed, or was late
	Lost         bool // it did not succeed, and may have been executed
}

// Sums are those of a server's records, by their weights.
type Sums struct {
	Count              float64
	Succeeded          float64
	Failed             float64
	Latency            float64 // of those that succeeded
	ExtraLatency       float64 // of those that failed
	SuccessesSinceLoss float64 // infinite where none was lost
	Recent             Recent
}

// Recent are the sums of the records within the window.
type Recent struct {
	Succeeded float64
	Latency   float64 // of those that succeeded
}

// Limits say which records a server keeps.
type Limits struct {
	Window     float64
	MinRecords int     // kept where fewer are in the window,
	MaxAge     float64 // up to this age
}

// server holds what is kept of one.
type server struct {
	records    []Record
	sums       Sums
	generation uint32 // counts how often its records were reset
	changed    bool   // it is listed in Table.changed
}

// Table holds the records of all servers.
type Table struct {
	limits          Limits
	servers         []server
	changed         []int
	window          queue // records within the window, by time
	retained        queue // records kept beyond the window, by time
	windowLatencies Multiset
	windowStart     float64 // of the window: what ended at or before has left it
}

// New returns a table without servers.
func New(limits Limits) *Table { return &Table{limits: limits, windowStart: math.Inf(-1)} }

// AddServer adds a server behind the last one.
func (t *Table) AddServer() {
	t.servers = append(t.servers, server{})
	t.MarkChanged(len(t.servers) - 1)
}

// Count is how many records of a server are kept.
func (t *Table) Count(server int) int { return len(t.servers[server].records) }

// Sums are those of a server as of the last Advance.
func (t *Table) Sums(server int) Sums { return t.servers[server].sums }

// MarkChanged lets the next Advance return a server.
func (t *Table) MarkChanged(server int) {
	if s := &t.servers[server]; !s.changed {
		s.changed = true
		t.changed = append(t.changed, server)
	}
}

// Reset drops a server's records.
func (t *Table) Reset(server int) {
	s := &t.servers[server]
	for i := range s.records {
		if r := &s.records[i]; r.Succeeded && r.EndedAt > t.windowStart {
			t.windowLatencies.Remove(r.Latency)
		}
	}
	s.records = nil
	s.generation++
	t.MarkChanged(server)
}

// Add adds the record of a server's attempt.
func (t *Table) Add(server int, r Record) {
	s := &t.servers[server]
	s.records = append(s.records, r)
	t.window.push(entry{
		endedAt:    r.EndedAt,
		latency:    r.Latency,
		server:     int32(server),
		generation: s.generation,
		succeeded:  r.Succeeded,
	})
	if r.Succeeded {
		t.windowLatencies.Add(r.Latency)
	}
	t.MarkChanged(server)
}

// Advance moves the window on and adds up the sums that have changed. It returns the servers whose records
// changed or that were marked; the slice is valid until the next call.
func (t *Table) Advance(now float64) []int {
	expired := t.expire(now)
	for !t.retained.empty() && t.retained.oldest().endedAt < now-t.limits.MaxAge {
		if e := t.retained.pop(); t.current(&e) {
			t.MarkChanged(int(e.server))
		}
	}
	changed := t.changed
	t.changed = nil
	for _, index := range changed {
		t.servers[index].changed = false
		if t.servers[index].recompute(now, t.limits) {
			t.MarkChanged(index)
		}
	}
	for _, e := range expired {
		s := &t.servers[e.server]
		if t.current(&e) && len(s.records) > 0 && s.records[0].EndedAt <= e.endedAt { // kept beyond the window
			t.retained.push(e)
		}
	}
	return changed
}

// expire takes what has left the window out of the queue and the median, and marks its servers.
func (t *Table) expire(now float64) (expired []entry) {
	t.windowStart = now - t.limits.Window
	for !t.window.empty() && t.window.oldest().endedAt <= t.windowStart {
		e := t.window.pop()
		if !t.current(&e) {
			continue
		}
		if e.succeeded {
			t.windowLatencies.Remove(e.latency)
		}
		t.MarkChanged(int(e.server))
		expired = append(expired, e)
	}
	return expired
}

// current reports whether an entry's server was not reset since.
func (t *Table) current(e *entry) bool { return t.servers[e.server].generation == e.generation }

// Median is the median latency of the successful attempts in the window, or the default where there is
// none.
func (t *Table) Median(defaultLatency float64) float64 {
	return t.windowLatencies.Median(defaultLatency)
}

// AppendLatencies appends the latencies of the attempts that succeeded after a time. Where that lies before
// the window, all records are looked at.
func (t *Table) AppendLatencies(after float64, latencies []float64) []float64 {
	if after < t.windowStart {
		return t.appendFromRecords(after, latencies)
	}
	for e := range t.window.newestFirst() {
		if e.endedAt <= after {
			break
		}
		if e.succeeded && t.current(e) {
			latencies = append(latencies, e.latency)
		}
	}
	return latencies
}

func (t *Table) appendFromRecords(after float64, latencies []float64) []float64 {
	for i := range t.servers {
		for _, r := range t.servers[i].records {
			if r.Succeeded && r.EndedAt > after {
				latencies = append(latencies, r.Latency)
			}
		}
	}
	return latencies
}

// recompute drops the records that have expired and adds up the others. It reports whether a record leaves the
// window at just this moment: it is dropped by the next Advance.
func (s *server) recompute(now float64, limits Limits) (expiresNext bool) {
	expiredCount := 0
	for expiredCount < len(s.records) && s.expired(expiredCount, now, limits) {
		expiredCount++
	}
	s.records = s.records[expiredCount:]
	s.sums = Sums{SuccessesSinceLoss: math.Inf(1)}
	for i := range s.records {
		s.sums.add(&s.records[i])
		if r := &s.records[i]; r.Succeeded && r.EndedAt > now-limits.Window {
			s.sums.Recent.Succeeded += r.Weight
			s.sums.Recent.Latency += r.Weight * r.Latency
		}
	}
	return len(s.records) > limits.MinRecords && s.records[0].EndedAt <= now-limits.Window
}

// expired reports whether a record is no longer kept, given that those before it are not.
func (s *server) expired(index int, now float64, limits Limits) bool {
	endedAt := s.records[index].EndedAt
	if endedAt < now-limits.MaxAge {
		return true
	}
	return len(s.records) > index+limits.MinRecords && endedAt < now-limits.Window
}

func (s *Sums) add(r *Record) {
	s.Count += r.Weight
	if r.Succeeded {
		s.Succeeded += r.Weight
		s.SuccessesSinceLoss++
		s.Latency += r.Weight * r.Latency
	}
	if r.Failed {
		s.Failed += r.Weight
		s.ExtraLatency += r.Weight * r.ExtraLatency
	}
	if r.Lost {
		s.SuccessesSinceLoss = 0
	}
}
