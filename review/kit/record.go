package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the file of what was sent, answered and run. Each line begins with the milliseconds since the start.
type Record struct {
	mu      sync.Mutex
	start   time.Time
	file    *os.File
	w       *bufio.Writer
	faults  []string
	cannot  []string
	entries int
}

// NewRecord creates record.txt in a folder.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// Add writes a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *Record) addLocked(format string, args ...any) {
	ms := float64(time.Since(r.start).Microseconds()) / 1000
	fmt.Fprintf(r.w, "%10.1f "+format+"\n", append([]any{ms}, args...)...)
	r.entries++
}

// Broken notes that the rule was broken.
func (r *Record) Broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.faults = append(r.faults, text)
	r.addLocked("BROKEN %s", text)
}

// Cannot notes that the case could not run as planned.
func (r *Record) Cannot(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.cannot = append(r.cannot, text)
	r.addLocked("CANNOT RUN %s", text)
}

// Close writes the verdict and returns the exit status: 1 broken, 0 held, 2 could not run.
func (r *Record) Close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	status, verdict := 0, "the rule held"
	switch {
	case len(r.faults) > 0:
		status, verdict = 1, fmt.Sprintf("the rule was broken (%d times)", len(r.faults))
	case len(r.cannot) > 0:
		status, verdict = 2, "the case could not run"
	}
	r.addLocked("VERDICT %s", verdict)
	r.w.Flush()
	r.file.Close()
	for i, f := range r.faults {
		if i == 5 {
			fmt.Println("broken: ... and", len(r.faults)-i, "more, see record.txt")
			break
		}
		fmt.Println("broken:", f)
	}
	for _, c := range r.cannot {
		fmt.Println("could not run:", c)
	}
	fmt.Println(verdict)
	return status
}
