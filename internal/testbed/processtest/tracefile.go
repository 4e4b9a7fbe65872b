package processtest

import (
	"io"
	"os"
)

// traceFile is the trace of one process. It comes over a pipe, so that the process writes it even where its files may not
// grow, and what it has written before it is killed is there.
type traceFile struct {
	path     string
	complete chan struct{} // closed once all of it is in the file
}

// recordTrace begins a trace file; the pipe's end is for the process.
func recordTrace(path string) (*traceFile, *os.File, error) {
	to, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	from, end, err := os.Pipe()
	if err != nil {
		to.Close()
		return nil, nil, err
	}
	t := &traceFile{path, make(chan struct{})}
	go func() {
		defer close(t.complete)
		io.Copy(to, from)
		to.Close()
		from.Close()
	}()
	return t, end, nil
}
