// Package kit2 has the stand-ins of the cases of the second independent review: shard servers, discovery and clients
// by the operators' pages, and the gatherer as a process of its own, started by `run` of the deploy file.
package kit2

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, with the time since its start.
type Record struct {
	mu     sync.Mutex
	file   *os.File
	w      *bufio.Writer
	start  time.Time
	closed bool
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(folder + "/record.txt")
	if err != nil {
		return nil, err
	}
	return &Record{file: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

// Start is the time from which the record counts.
func (r *Record) Start() time.Time { return r.start }

// Printf writes a line with the present time.
func (r *Record) Printf(format string, args ...any) { r.At(time.Now(), format, args...) }

// At writes a line with a time.
func (r *Record) At(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	fmt.Fprintf(r.w, "%9.1f ms  %s\n", float64(at.Sub(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes out the rest.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.w.Flush()
	r.file.Close()
}
