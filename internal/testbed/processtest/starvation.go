package processtest

import (
	"sync"
	"time"

	"yokeroute/internal/process"
)

// starvationMemory is for how long samples of waits are kept: longer than any try takes.
const starvationMemory = 5 * time.Second

// starvation is how long a gatherer's processes have been ready to run and waited for a processor, by samples.
type starvation struct {
	mu      sync.Mutex
	samples []waitSample
}

// waitSample is the sum of a process' waits at a moment.
type waitSample struct {
	at   time.Time
	pid  int
	wait time.Duration
}

// sample notes how long a process has waited so far.
func (s *starvation) sample(p *process.Process) {
	if p == nil || !p.Alive() {
		return
	}
	now := waitSample{at: time.Now(), pid: p.PID(), wait: process.SchedulerWait(p.PID())}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, now)
	for now.at.Sub(s.samples[0].at) > starvationMemory {
		s.samples = s.samples[1:]
	}
}

// since returns how long the newest process has waited since a time, all of its threads together.
func (s *starvation) since(at time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) == 0 {
		return 0
	}
	newest := s.samples[len(s.samples)-1]
	oldest := newest
	for i := len(s.samples) - 1; i >= 0 && s.samples[i].pid == newest.pid; i-- {
		oldest = s.samples[i]
		if oldest.at.Before(at) {
			break
		}
	}
	return newest.wait - oldest.wait
}
