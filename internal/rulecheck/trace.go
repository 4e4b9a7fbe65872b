// Package rulecheck checks the six rules on a trace of what gatherers took, sent, heard and answered. A trace comes
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

// Form is the first word of every trace; a reader of another form has to refuse it.
const Form = "yokeroute trace 1"

// Header is what the rules' figures are, and what is told of servers. Times are milliseconds.
type Header struct {
	Form    string            `json:"trace"`
	Source  string            `json:"source"` // who recorded it
	Truth   bool              `json:"truth"`  // it tells what servers took and ran, not only what gatherers saw
	Begin   float64           `json:"begin"`
	Unix    float64           `json:"unix,omitempty"` // of the trace's time 0, where it can be joined with others
	Grace   float64           `json:"grace"`          // after which nothing may go to a server that drains
	Slack   float64           `json:"slack"`          // by which a final answer may pass its client's time
	Budget  *Budget           `json:"budget,omitempty"`
	Cold    *Cold             `json:"cold,omitempty"`
	Indexes map[string]Index  `json:"indexes"`
	Servers map[uint32]Server `json:"servers,omitempty"`
}

// Budget bounds part calls beyond each part's first in any window of Span.
type Budget struct {
	Span  float64 `json:"span"`
	Free  float64 `json:"free"`
	Share float64 `json:"share"` // of the lookups and parts taken in that window
}

// Cold is when a server that has just started falls over: sent more than Multiple times what it can do for Span.
type Cold struct {
	Share    float64 `json:"share"` // of its capacity at the start
	Time     float64 `json:"time"`  // until it is warm
	Span     float64 `json:"span"`
	Multiple float64 `json:"multiple"`
}

// Index is what the rules need to know of one.
type Index struct {
	Effect string  `json:"effect"` // idempotent, fingerprinted or once-only
	Window float64 `json:"window,omitempty"`
	Whole  float64 `json:"whole"`
	Least  float64 `json:"least"`
}

// Server is what one can do warm, in milliseconds of work a millisecond.
type Server struct {
	Capacity float64 `json:"capacity"`
}

// Kind is what an event tells.
type Kind string

// The kinds of events.
const (
	Taken    Kind = "take"    // a gatherer has taken a lookup
	Sent     Kind = "send"    // a part call went out
	Ended    Kind = "end"     // the gatherer heard how a part call ended
	Answered Kind = "answer"  // final answers
	Nacked   Kind = "nack"    //
	Aborted  Kind = "abort"   //
	Left     Kind = "left"    // the client has gone
	Died     Kind = "died"    // the gatherer, with all that it held
	Told     Kind = "told"    // the gatherer was told a server's state
	Came     Kind = "came"    // truth: a part reached a server, with so much work
	Ran      Kind = "ran"     // truth: a server began a part's work
	Started  Kind = "started" // truth: a server's process started
	Over     Kind = "over"    // the trace is whole up to here
)

// Part is one of a lookup's parts.
type Part struct {
	Shard  int     `json:"s"`
	Weight float64 `json:"w"`
	Keys   *Keys   `json:"key,omitempty"` // that the shard has, where a map says who owns which
}

// Keys are some of a shard's keys, where a map says who owns which; both ends belong to them.
type Keys struct {
	Lo uint64 `json:"lo"`
	Hi uint64 `json:"hi"`
}

// overlaps reports whether two ranges share a key; nil is all of a shard's keys.
func (k *Keys) overlaps(o *Keys) bool { return k == nil || o == nil || k.Lo <= o.Hi && o.Lo <= k.Hi }

// within reports whether all keys of a range are in another.
func (k *Keys) within(o *Keys) bool { return o == nil || k != nil && k.Lo >= o.Lo && k.Hi <= o.Hi }

// size is how many keys a range has.
func (k *Keys) size() float64 { return float64(k.Hi-k.Lo) + 1 }

// Event is one line of a trace. Which fields are set follows from its kind.
type Event struct {
	At       float64 `json:"t"` // milliseconds by one clock for all gatherers of the trace
	Kind     Kind    `json:"k"`
	Gatherer int     `json:"g,omitempty"`
	Lookup   uint64  `json:"l,omitempty"`
	Name     string  `json:"n,omitempty"` // that the client gave the lookup
	Index    string  `json:"i,omitempty"`
	Until    float64 `json:"u,omitempty"` // when the client gives up
	Parts    []Part  `json:"p,omitempty"`
	Shard    int     `json:"s,omitempty"`
	Server   uint32  `json:"v,omitempty"`
	Call     int     `json:"c,omitempty"` // of its part, from 0 in each pass
	First    bool    `json:"f,omitempty"` // the call asks for no more than a summary
	Outcome  string  `json:"o,omitempty"` // answered, erred, full, late, unreached, cut, off or stale
	Empty    bool    `json:"e,omitempty"` // a summary that proved its part empty
	Whole    bool    `json:"h,omitempty"`
	Keys     *Keys   `json:"key,omitempty"` // of the shard, nil for all
	In       []int   `json:"in,omitempty"`  // shards whose values, or proofs, make up the answer
	InKeys   []*Keys `json:"ink,omitempty"` // of each of these the keys, where some are not all
	Work     float64 `json:"w,omitempty"`   // milliseconds of one core
	State    string  `json:"x,omitempty"`   // running, draining or gone
	Count    int     `json:"count,omitempty"`
	Sum      string  `json:"sum,omitempty"`
	Why      string  `json:"why,omitempty"` // a trace that ends before its time says why
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
	h.Form = Form
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

// See writes an event.
func (w *Writer) See(e Event) {
	w.count++
	w.line(e)
}

// Flush hands what was written on, so that a process that is killed leaves all of it.
func (w *Writer) Flush() {
	if err := w.to.Flush(); w.err == nil {
		w.err = err
	}
}

// Bytes is how much was written, buffered or not.
func (w *Writer) Bytes() int64 { return w.bytes }

// End closes the trace at a time; why is empty where it ends because all is over.
func (w *Writer) End(at float64, why string) error {
	last := Event{At: at, Kind: Over, Count: w.count, Why: why}
	last.Sum = last.seal(w.hash)
	w.line(last)
	if err := w.to.Flush(); w.err == nil {
		w.err = err
	}
	return w.err
}

// seal is the sum over all lines before a last one and what that says itself.
func (e Event) seal(hash *xxhash.Digest) string {
	fmt.Fprint(hash, e.At, e.Count, e.Why)
	return fmt.Sprintf("%016x", hash.Sum64())
}

// ErrCut is a trace that does not reach its last line.
var ErrCut = errors.New("the trace is cut off")

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
			return fmt.Errorf("line %d: %w before its last line", number, ErrCut)
		}
		if number == 1 {
			var h Header
			if err := json.Unmarshal(text, &h); err != nil {
				return fmt.Errorf("line 1: no header of a trace: %w", err)
			}
			if h.Form != Form {
				return fmt.Errorf("line 1: the form is %q, this reader knows %q", h.Form, Form)
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
		if e.Kind == Over {
			if sum := e.seal(hash); e.Count != count || e.Sum != sum {
				return fmt.Errorf("line %d: the trace had %d events with sum %s, here are %d with %s: something is missing or changed", number, e.Count, e.Sum, count, sum)
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
