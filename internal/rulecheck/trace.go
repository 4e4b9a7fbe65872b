// Package rules checks the six rules on a trace of what gatherers took, sent, heard and answered. A trace comes
// from the emulator, which knows what ran where, or from a gatherer that serves and records, which does not; what a
// trace cannot show is reported as not checked, and a trace that is cut off never passes.
package rulecheck

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Format is the first word of every trace; a reader of another form has to refuse it.
const Format = "yokeroute trace 1"

// Header is what the rules' figures are, and what is told of servers. Times are milliseconds.
type Header struct {
	Format        string            `json:"trace"`
	Recorder      string            `json:"source"` // who recorded it
	GroundTruth   bool              `json:"truth"`  // it tells what servers took and ran, not only what gatherers saw
	StartedAt     float64           `json:"begin"`
	UnixStart     float64           `json:"unix,omitempty"` // of the trace's time 0, where it can be joined with others
	DrainGrace    float64           `json:"grace"`          // after which nothing may go to a server that drains
	DeadlineSlack float64           `json:"slack"`          // by which a final answer may pass its client's time
	Budget        *Budget           `json:"budget,omitempty"`
	SlowStart     *SlowStart        `json:"cold,omitempty"`
	Classes       map[string]Class  `json:"indexes"`
	Servers       map[uint32]Server `json:"servers,omitempty"`
}

// Budget bounds part calls beyond each part's first in any window of Span.
type Budget struct {
	Window      float64 `json:"span"`
	FreeRetries float64 `json:"free"`
	Ratio       float64 `json:"share"` // of the lookups and parts taken in that window
}

// SlowStart is when a server that has just started falls over: sent more than Multiple times what it can do for Span.
type SlowStart struct {
	InitialShare   float64 `json:"share"` // of its capacity at the start
	Duration       float64 `json:"time"`  // until it is warm
	Window         float64 `json:"span"`
	OverloadFactor float64 `json:"multiple"`
}

// Class is what the rules need to know of one.
type Class struct {
	Effect            string  `json:"effect"` // idempotent, fingerprinted or once-only
	IdempotencyWindow float64 `json:"window,omitempty"`
	CompleteShare     float64 `json:"whole"`
	MinShare          float64 `json:"least"`
}

// Server is what one can do warm, in milliseconds of work a millisecond.
type Server struct {
	Capacity float64 `json:"capacity"`
}

// EventKind is what an event tells.
type EventKind string

// The kinds of events.
const (
	QueryAdmitted        EventKind = "take"    // a gatherer has taken a lookup
	AttemptSent          EventKind = "send"    // a part call went out
	AttemptEnded         EventKind = "end"     // the gatherer heard how a part call ended
	QueryServed          EventKind = "answer"  // final answers
	QueryRejected        EventKind = "nack"    //
	QueryFailed          EventKind = "abort"   //
	QueryAbandoned       EventKind = "left"    // the client has gone
	GathererStopped      EventKind = "died"    // the gatherer, with all that it held
	EndpointStateLearned EventKind = "told"    // the gatherer was told a server's state
	WorkArrived          EventKind = "came"    // truth: a part reached a server, with so much work
	WorkStarted          EventKind = "ran"     // truth: a server began a part's work
	ServerStarted        EventKind = "started" // truth: a server's process started
	TraceEnd             EventKind = "over"    // the trace is whole up to here
)

// ShardRequest is one of a lookup's parts.
type ShardRequest struct {
	Shard  int       `json:"s"`
	Weight float64   `json:"w"`
	Keys   *KeyRange `json:"key,omitempty"` // that the shard has, where a map says who owns which
}

// KeyRange are some of a shard's keys, where a map says who owns which; both ends belong to them.
type KeyRange struct {
	Lo uint64 `json:"lo"`
	Hi uint64 `json:"hi"`
}

// overlaps reports whether two ranges share a key; nil is all of a shard's keys.
func (k *KeyRange) overlaps(o *KeyRange) bool {
	return k == nil || o == nil || k.Lo <= o.Hi && o.Lo <= k.Hi
}

// within reports whether all keys of a range are in another.
func (k *KeyRange) within(o *KeyRange) bool {
	return o == nil || k != nil && k.Lo >= o.Lo && k.Hi <= o.Hi
}

// size is how many keys a range has.
func (k *KeyRange) size() float64 { return float64(k.Hi-k.Lo) + 1 }

// Event is one line of a trace. Which fields are set follows from its kind.
type Event struct {
	At             float64        `json:"t"` // milliseconds by one clock for all gatherers of the trace
	Kind           EventKind      `json:"k"`
	Gatherer       int            `json:"g,omitempty"`
	Query          uint64         `json:"l,omitempty"`
	QueryName      string         `json:"n,omitempty"` // that the client gave the lookup
	Class          string         `json:"i,omitempty"`
	Deadline       float64        `json:"u,omitempty"` // when the client gives up
	ShardRequests  []ShardRequest `json:"p,omitempty"`
	Shard          int            `json:"s,omitempty"`
	Server         uint32         `json:"v,omitempty"`
	Attempt        int            `json:"c,omitempty"` // of its part, from 0 in each pass
	FirstPass      bool           `json:"f,omitempty"` // the call asks for no more than a summary
	Outcome        string         `json:"o,omitempty"` // answered, erred, full, late, unreached, cut, off or stale
	ProvenEmpty    bool           `json:"e,omitempty"` // a summary that proved its part empty
	Complete       bool           `json:"h,omitempty"`
	Keys           *KeyRange      `json:"key,omitempty"` // of the shard, nil for all
	IncludedShards []int          `json:"in,omitempty"`  // shards whose values, or proofs, make up the answer
	IncludedKeys   []*KeyRange    `json:"ink,omitempty"` // of each of these the keys, where some are not all
	Work           float64        `json:"w,omitempty"`   // milliseconds of one core
	State          string         `json:"x,omitempty"`   // running, draining or gone
	EventCount     int            `json:"count,omitempty"`
	Checksum       string         `json:"sum,omitempty"`
	Reason         string         `json:"why,omitempty"` // a trace that ends before its time says why
}

// Writer writes a trace: a header, events, and a last line by which a reader knows that nothing is missing.
type Writer struct {
	to    *bufio.Writer
	hash  *xxhash.Digest
	count int
	bytes int64
	err   error
}

// NewWriter writes the header. An error comes out of End.
func NewWriter(to io.Writer, h Header) *Writer {
	h.Format = Format
	w := &Writer{to: bufio.NewWriterSize(to, 1<<16), hash: xxhash.New()}
	w.line(h)
	return w
}

func (w *Writer) line(v any) {
	text, err := json.Marshal(v)
	if err == nil {
		text = append(text, '\n')
		w.hash.Write(text)
		w.bytes += int64(len(text))
		_, err = w.to.Write(text)
	}
	if w.err == nil {
		w.err = err
	}
}

// Write writes an event.
func (w *Writer) Write(e Event) {
	w.count++
	w.line(e)
}

// Flush hands what was written on, so that a process that is killed leaves all of it.
func (w *Writer) Flush() {
	if err := w.to.Flush(); w.err == nil {
		w.err = err
	}
}

// BytesWritten is how much was written, buffered or not.
func (w *Writer) BytesWritten() int64 { return w.bytes }

// Close closes the trace at a time; why is empty where it ends because all is over.
func (w *Writer) Close(at float64, why string) error {
	last := Event{At: at, Kind: TraceEnd, EventCount: w.count, Reason: why}
	last.Checksum = last.seal(w.hash)
	w.line(last)
	if err := w.to.Flush(); w.err == nil {
		w.err = err
	}
	return w.err
}

// seal is the sum over all lines before a last one and what that says itself.
func (e Event) seal(hash *xxhash.Digest) string {
	fmt.Fprint(hash, e.At, e.EventCount, e.Reason)
	return fmt.Sprintf("%016x", hash.Sum64())
}

// ErrTruncated is a trace that does not reach its last line.
var ErrTruncated = errors.New("the trace is cut off")

// longestLine bounds what one line of a trace may hold.
const longestLine = 4 << 20

// Read reads a trace and hands on its events. It gives the header; an error names the line. One that is cut off
// gives ErrCut after all of its whole events were handed on.
func Read(from io.Reader, begin func(Header) error, see func(Event)) error {
	r := bufio.NewReaderSize(from, 1<<16)
	hash := xxhash.New()
	count := 0
	for number := 1; ; number++ {
		text, err := line(r)
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if err != nil { // a last line without its end is half a line
			return fmt.Errorf("line %d: %w before its last line", number, ErrTruncated)
		}
		if number == 1 {
			var h Header
			if err := json.Unmarshal(text, &h); err != nil {
				return fmt.Errorf("line 1: no header of a trace: %w", err)
			}
			if h.Format != Format {
				return fmt.Errorf("line 1: the form is %q, this reader knows %q", h.Format, Format)
			}
			if err := begin(h); err != nil {
				return fmt.Errorf("line 1: %w", err)
			}
			hash.Write(text)
			continue
		}
		var e Event
		if err := json.Unmarshal(text, &e); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if e.Kind == TraceEnd {
			if sum := e.seal(hash); e.EventCount != count || e.Checksum != sum {
				return fmt.Errorf("line %d: the trace had %d events with sum %s, here are %d with %s: something is missing or changed", number, e.EventCount, e.Checksum, count, sum)
			}
			see(e)
			if _, err := r.ReadByte(); err == nil {
				return fmt.Errorf("line %d: something follows the last line", number+1)
			}
			return nil
		}
		hash.Write(text)
		count++
		see(e)
	}
}

// line reads one line with its end.
func line(r *bufio.Reader) ([]byte, error) {
	var all []byte
	for {
		part, err := r.ReadSlice('\n')
		all = append(all, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return all, err
		}
		if len(all) > longestLine {
			return nil, fmt.Errorf("longer than %d MB", longestLine>>20)
		}
	}
}
