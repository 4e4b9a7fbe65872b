package demo

import (
	"bytes"
	"slices"
	"sync"
)

// logBuffer keeps the newest lines of a log.
type logBuffer struct {
	mu          sync.Mutex
	lines       []string
	partialLine []byte
}

func (r *logBuffer) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partialLine = append(r.partialLine, p...)
	for {
		i := bytes.IndexByte(r.partialLine, '\n')
		if i < 0 {
			return len(p), nil
		}
		r.lines = append(r.lines, string(r.partialLine[:i]))
		r.partialLine = r.partialLine[i+1:]
		if len(r.lines) > 100 {
			r.lines = slices.Delete(r.lines, 0, 50)
		}
	}
}

func (r *logBuffer) last(n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.lines[max(len(r.lines)-n, 0):])
}
