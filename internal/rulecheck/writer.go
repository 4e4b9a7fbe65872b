package rulecheck

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// bufferBytes is the size of the buffers of readers and writers.
const bufferBytes = 64 << 10

// Writer writes a trace: a header, events, and a last line by which a reader knows that nothing is missing.
type Writer struct {
	to    *bufio.Writer
	hash  *xxhash.Digest
	count int
	bytes int64
	err   error
}

// NewWriter returns a writer that has written the header. Close returns the first error of any write.
func NewWriter(to io.Writer, h Header) *Writer {
	h.Format = Format
	w := &Writer{to: bufio.NewWriterSize(to, bufferBytes), hash: xxhash.New()}
	w.writeLine(h)
	return w
}

func (w *Writer) writeLine(v any) {
	line, err := json.Marshal(v)
	if err == nil {
		line = append(line, '\n')
		_, _ = w.hash.Write(line) // a hash accepts any bytes
		w.bytes += int64(len(line))
		_, err = w.to.Write(line)
	}
	w.keepError(err)
}

// keepError keeps the first error.
func (w *Writer) keepError(err error) {
	if w.err == nil {
		w.err = err
	}
}

// Write writes an event.
func (w *Writer) Write(e Event) {
	w.count++
	w.writeLine(e)
}

// Flush writes what is buffered, so that none of it is lost if the process is killed.
func (w *Writer) Flush() {
	w.keepError(w.to.Flush())
}

// BytesWritten returns how many bytes were written, including those that are buffered.
func (w *Writer) BytesWritten() int64 { return w.bytes }

// Close writes the last line of the trace. The reason is empty unless the trace ends early.
func (w *Writer) Close(at float64, reason string) error {
	last := Event{At: at, Kind: TraceEnd, EventCount: w.count, Reason: reason}
	last.Checksum = last.checksum(w.hash)
	w.writeLine(last)
	w.keepError(w.to.Flush())
	return w.err
}

// checksum returns the checksum of a last line's fields and of all lines before it.
func (e *Event) checksum(hash *xxhash.Digest) string {
	fmt.Fprint(hash, e.At, e.EventCount, e.Reason)
	return fmt.Sprintf("%016x", hash.Sum64())
}
