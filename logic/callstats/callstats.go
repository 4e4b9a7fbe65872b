// Package callstats keeps the records of each server's attempts within a window, their sums, and the median
// latency of all servers' successful attempts. The cost of a round grows with the number of records that
// were added or expired in it, not with the number of servers or of their records.
//
// The package makes no decisions. A server's sums are recomputed in the order of its records whenever one was
// added or expired, so that they do not depend on earlier floating-point operations.
//
// Servers have a dense index. Times are milliseconds and must not go back.
package callstats

import "math"

// Record is the result of one attempt.
type Record struct {
	EndedAt      float64
	Latency      float64
	ExtraLatency float64 // latency beyond the usual one
	Weight       float64 // 1, or less for an attempt that counts less than a full call
	Succeeded    bool
	Failed       bool // the attempt did not succeed, or was late
	Lost         bool // the attempt did not succeed, and may have been executed
}

// Sums holds the weighted sums of a server's records.
type Sums struct {
	Count              float64
	Succeeded          float64
	Failed             float64
	Latency            float64 // latency of the attempts that succeeded
	ExtraLatency       float64 // extra latency of the attempts that failed
	SuccessesSinceLoss float64 // number of successes since the last loss, +Inf if none was lost
	Recent             Recent
}

// Recent holds the weighted sums of the records within the window.
type Recent struct {
	Succeeded float64
	Latency   float64 // latency of the attempts that succeeded
}

// Limits determines which records of a server are kept: those within the window, and the newest MinRecords
// even if they have left the window, unless they are older than MaxAge.
type Limits struct {
	Window     float64
	MinRecords int
	MaxAge     float64
}

// server holds the records of one server.
type server struct {
	records    []Record
	sums       Sums
	generation uint32 // number of times that its records were reset
	changed    bool   // the server is listed in Table.changed
}

// Table holds the records of all servers.
type Table struct {
	limits          Limits
	servers         []server
	changed         []int    // indexes of the servers that the next Advance recomputes
	window          queue    // records within the window, by time
	retained        queue    // records kept beyond the window, by time
	windowLatencies Multiset // latencies of the successful attempts within the window
	windowStart     float64  // start of the window; records that ended at or before it are outside
}

// New returns a table without servers.
func New(limits Limits) *Table { return &Table{limits: limits, windowStart: math.Inf(-1)} }

// AddServer adds a server with the next index.
func (t *Table) AddServer() {
	t.servers = append(t.servers, server{})
	t.MarkChanged(len(t.servers) - 1)
}

// Count returns how many records of a server are kept.
func (t *Table) Count(server int) int { return len(t.servers[server].records) }

// Sums returns the sums of a server as of the last Advance.
func (t *Table) Sums(server int) Sums { return t.servers[server].sums }

// MarkChanged marks a server so that the next Advance recomputes and returns it.
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

// Advance advances the window and recomputes the sums that have changed. It returns the servers whose records
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

// expire removes the records that have left the window from the queue and from the latencies, and marks their
// servers.
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

// current reports whether an entry's server was not reset since the entry was added.
func (t *Table) current(e *entry) bool { return t.servers[e.server].generation == e.generation }

// Median returns the median latency of the successful attempts in the window, or the default if there are
// none.
func (t *Table) Median(defaultLatency float64) float64 {
	return t.windowLatencies.Median(defaultLatency)
}

// AppendLatencies appends the latencies of the attempts that succeeded after a time. If that time is before
// the start of the window, it visits all records.
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

// recompute drops the records that have expired and sums up the others. It reports whether a record leaves
// the window at exactly this time: the next Advance drops it.
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

// expired reports whether a record is no longer kept, given that the records before it are not.
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
