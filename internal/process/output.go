package process

import (
	"bytes"
	"sync"
)

// maxOutputBytes keeps a process that writes without end from filling the memory.
const maxOutputBytes = 4 << 20

// Output keeps what a process writes, the first 4 MiB of it. It may be read while the process runs.
type Output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer. It never fails.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.text.Len() < maxOutputBytes {
		o.text.Write(p)
	}
	return len(p), nil
}

// String returns what has been written so far.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}
