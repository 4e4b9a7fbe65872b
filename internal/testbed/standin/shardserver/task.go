package shardserver

import (
	"math"
	"strings"
	"time"

	"yokeroute/internal/millis"
)

// garbledSummary is an unreadable answer to a first pass.
const garbledSummary = "some -3 7 v1"

// task is a shard request that waits or is executed.
type task struct {
	ShardRequest
	conn       *conn
	receivedAt time.Time
	work       float64 // milliseconds of one core
	firstPass  bool
	cancelled  bool
	started    bool
}

// receive rejects, fails or queues the shard requests of a call. The call's own work is done with its first task.
func (s *Server) receive(c *conn, requests []ShardRequest, firstPass bool) {
	s.mu.Lock()
	s.counts.Calls++
	callWork := s.config.CallWork
	var rejected, failed []string
	for _, r := range requests {
		s.countRequest(r, firstPass)
		switch {
		case s.draining || s.config.QueueLimit > 0 && len(s.queue) >= s.config.QueueLimit:
			s.counts.Rejected++
			rejected = append(rejected, r.ID)
			s.notify(eventArrived, r, firstPass, s.config.MeanWork)
		case s.failureShare > 0 && s.random.Float64() < s.failureShare:
			s.counts.Failed++
			failed = append(failed, r.ID)
			s.notify(eventArrived, r, firstPass, s.config.MeanWork)
			s.notify(eventRan, r, firstPass, 0) // a failed request may have run
		default:
			work := callWork + s.drawWork(firstPass)
			t := &task{ShardRequest: r, conn: c, receivedAt: time.Now(), work: work, firstPass: firstPass}
			callWork = 0
			c.tasks[r.ID] = t
			s.notify(eventArrived, r, firstPass, t.work)
			s.queue = append(s.queue, t)
		}
	}
	s.startTasks()
	s.mu.Unlock()
	for _, id := range rejected {
		c.sendAnswer(id, endRejected, nil)
	}
	for _, id := range failed {
		c.sendAnswer(id, endFailed, nil)
	}
}

// countRequest counts a received shard request. The lock is held.
func (s *Server) countRequest(r ShardRequest, firstPass bool) {
	s.counts.Requests++
	if firstPass {
		s.counts.FirstPassRequests++
	}
	origin, _, _ := strings.Cut(r.ID, "-")
	s.byOrigin[origin]++
}

// drawWork draws the work of one shard request from a lognormal distribution, by the Box-Muller transform. The lock is
// held.
func (s *Server) drawWork(firstPass bool) float64 {
	mean := s.config.MeanWork
	if firstPass {
		mean = s.config.FirstPassWork
	}
	if s.config.WorkVariation == 0 {
		return mean
	}
	variance := math.Log(1 + s.config.WorkVariation*s.config.WorkVariation)
	normal := math.Sqrt(-2*math.Log(1-s.random.Float64())) * math.Cos(2*math.Pi*s.random.Float64())
	return mean * math.Exp(math.Sqrt(variance)*normal-variance/2)
}

// startTasks starts tasks while cores are free. The lock is held.
func (s *Server) startTasks() {
	for s.busyCores < s.config.Cores && len(s.queue) > 0 && !s.hung {
		t := s.queue[0]
		s.queue = s.queue[1:]
		if t.cancelled {
			continue
		}
		t.started = true
		s.notify(eventRan, t.ShardRequest, t.firstPass, t.work)
		s.busyCores++
		took := t.work * s.slowdown
		time.AfterFunc(millis.Duration(took), func() { s.finishTask(t, took) })
	}
}

// finishTask ends a task that took so many milliseconds of a core.
func (s *Server) finishTask(t *task, took float64) {
	s.mu.Lock()
	s.busyCores--
	s.counts.WorkDone += took
	s.startTasks()
	awaited := s.conns[t.conn] && t.conn.tasks[t.ID] == t && !t.cancelled && !s.hung
	if awaited {
		delete(t.conn.tasks, t.ID)
		s.counts.Answered++
		_ = s.latencies.RecordValue(time.Since(t.receivedAt).Microseconds()) // one beyond the histogram's range is left out
	} else {
		s.counts.Wasted++
	}
	value := s.answer
	if t.firstPass {
		value = s.summary
		if s.garbledShare > 0 && s.random.Float64() < s.garbledShare {
			value = func(ShardRequest) []byte { return []byte(garbledSummary) }
		}
	}
	s.mu.Unlock()
	if v := value(t.ShardRequest); awaited {
		t.conn.sendAnswer(t.ID, endOK, v)
	}
}

// cancelTask cancels a task. Work that has started goes on, and work that has not if the machine keeps cancelled work.
// The lock is held.
func (s *Server) cancelTask(t *task) {
	if !t.cancelled {
		s.counts.Cancelled++
	}
	t.cancelled = t.started || !s.config.KeepsCancelledWork
	delete(t.conn.tasks, t.ID)
}
