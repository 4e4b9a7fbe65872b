package rulecheck

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// ErrTruncated is the error of a trace without its last line.
var ErrTruncated = errors.New("the trace is cut off")

// maxLineBytes bounds a line of a trace.
const maxLineBytes = 4 << 20

// Read reads a trace: it calls start with the header and observe with each event. An error names its line. A
// truncated trace is ErrTruncated, after all of its complete events.
func Read(from io.Reader, start func(Header) error, observe func(Event)) error {
	r := &reader{from: bufio.NewReaderSize(from, bufferBytes), hash: xxhash.New(), start: start, observe: observe}
	for number := 1; ; number++ {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) { // a line without its end is incomplete
			err = fmt.Errorf("%w before its last line", ErrTruncated)
		}
		ended := false
		switch {
		case err != nil:
		case number == 1:
			err = r.readHeader(line)
		default:
			ended, err = r.readEvent(line)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if !ended {
			continue
		}
		if _, err := r.from.ReadByte(); err == nil {
			return fmt.Errorf("line %d: something follows the last line", number+1)
		}
		return nil
	}
}

// reader reads a trace line by line.
type reader struct {
	from    *bufio.Reader
	hash    *xxhash.Digest
	count   int
	start   func(Header) error
	observe func(Event)
}

func (r *reader) readHeader(line []byte) error {
	var h Header
	if err := json.Unmarshal(line, &h); err != nil {
		return fmt.Errorf("no header of a trace: %w", err)
	}
	if h.Format != Format {
		return fmt.Errorf("the form is %q, this reader knows %q", h.Format, Format)
	}
	_, _ = r.hash.Write(line) // a hash accepts any bytes
	return r.start(h)
}

// readEvent reads an event, and reports whether it is the trace's last.
func (r *reader) readEvent(line []byte) (ended bool, err error) {
	var e Event
	if err := json.Unmarshal(line, &e); err != nil {
		return false, err
	}
	if e.Kind == TraceEnd {
		if sum := e.checksum(r.hash); e.EventCount != r.count || e.Checksum != sum {
			return false, fmt.Errorf("the trace had %d events with sum %s, here are %d with %s: something is missing or changed",
				e.EventCount, e.Checksum, r.count, sum)
		}
		r.observe(e)
		return true, nil
	}
	_, _ = r.hash.Write(line)
	r.count++
	r.observe(e)
	return false, nil
}

// readLine reads one line with its end.
func (r *reader) readLine() ([]byte, error) {
	var line []byte
	for {
		fragment, err := r.from.ReadSlice('\n')
		line = append(line, fragment...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
		if len(line) > maxLineBytes {
			return nil, fmt.Errorf("longer than %d MB", maxLineBytes>>20)
		}
	}
}
