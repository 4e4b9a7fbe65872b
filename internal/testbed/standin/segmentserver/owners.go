// Package owners is a stand-in for hosts that own ranges of keys and for the authority that hands these over: logs
// that outlive hosts, hosts that speak the platform's frames with keys (docs/protocol-owners.md), and the map of who
// owns what told over HTTP. Any step of a hand-over can be held up, and hosts be killed, cut off from the authority or
// from the logs.
package segmentserver

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"yokeroute/internal/control/segments"
	"yokeroute/internal/testbed/standin/shardserver"
	"yokeroute/logic/ownership"
)

// Ran is one claim that ran.
type Ran struct {
	Part  string // its name on the wire
	Key   uint64
	By    string // who claims
	Given bool   // the key was free
	Host  string
}

// Logs are what ran in each segment. They outlive hosts and can be reached by all that are not cut off.
type Logs struct {
	Unfenced bool // records of any epoch are taken, as if there were no fence: for showing that it is needed

	mu   sync.Mutex
	logs map[string]*ownership.SegmentLog
	held map[uint64]string // who has a key
	ran  []Ran
}

// append writes a claim into a segment's log, under the epoch from which its owner holds the segment.
func (l *Logs) append(segment string, since uint64, part string, key uint64, by, host string, view map[uint64]string) (given, taken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.held
	if l.Unfenced { // each host goes by what it has seen itself
		held = view
	} else if log := l.logs[segment]; log == nil || !log.Append(since) {
		return false, false
	}
	_, has := held[key]
	if !has {
		held[key] = by
		l.held[key] = by
	}
	l.ran = append(l.ran, Ran{part, key, by, !has, host})
	return !has, true
}

// Ran are all claims that ran, in their order.
func (l *Logs) Ran() []Ran {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.ran)
}

func (l *Logs) raise(c ownership.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range c.Removed {
		if log := l.logs[name]; log != nil {
			log.RaiseEpoch(c.Epoch)
			log.Sealed = true
		}
	}
	for _, s := range c.Added {
		log := l.logs[s.Name]
		if log == nil {
			log = &ownership.SegmentLog{}
			l.logs[s.Name] = log
		}
		log.RaiseEpoch(c.Epoch)
		log.Sealed = false
	}
}

// Host is one machine.
type Host struct {
	Name string
	Work time.Duration // that a part takes

	logs *Logs

	mu       sync.Mutex
	l        net.Listener
	address  string
	conns    map[net.Conn]bool
	own      ownership.Host
	draining bool
	cut      bool // the authority can't reach it
	noLogs   bool // it can't reach the logs
	silent   int  // so many answers more are lost
	view     map[uint64]string
	moved    int
	busy     int
}

// NewHost starts a host that owns nothing.
func NewHost(name string, logs *Logs, work time.Duration) (*Host, error) {
	h := &Host{Name: name, Work: work, logs: logs, address: "127.0.0.1:0", view: map[uint64]string{}}
	return h, h.Revive()
}

// Revive starts a killed host again at its old address. It believes what it believed before.
func (h *Host) Revive() error {
	l, err := net.Listen("tcp", h.Address())
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.l, h.address, h.conns = l, l.Addr().String(), map[net.Conn]bool{}
	h.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			if h.l != l {
				h.mu.Unlock()
				c.Close()
				return
			}
			h.conns[c] = true
			h.mu.Unlock()
			go h.serve(c)
		}
	}()
	return nil
}

// Address is where it is reached.
func (h *Host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// Kill ends it: connections are reset, what it works on is lost or has run unheard.
func (h *Host) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.l == nil {
		return
	}
	h.l.Close()
	h.l = nil
	for c := range h.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	h.conns = nil
}

func (h *Host) set(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// Cut cuts the authority off from it, or lets it through again.
func (h *Host) Cut(on bool) { h.set(func() { h.cut = on }) }

// CutLogs cuts it off from the logs, or lets it through again.
func (h *Host) CutLogs(on bool) { h.set(func() { h.noLogs = on }) }

// Drain lets it turn away what is new.
func (h *Host) Drain(on bool) { h.set(func() { h.draining = on }) }

// Lose loses its next answers.
func (h *Host) Lose(answers int) { h.set(func() { h.silent = answers }) }

// Moved is how many parts it has refused since it did not own their keys.
func (h *Host) Moved() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.moved
}

// Owns is what it believes to own.
func (h *Host) Owns() []ownership.OwnedSegment {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.own.Segments)
}

var errCut = errors.New("the host can't be reached")

// order has the authority tell a host something.
func (h *Host) order(do func(own *ownership.Host)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cut || h.l == nil {
		return errCut
	}
	do(&h.own)
	return nil
}

// Close ends it.
func (h *Host) Close() { h.Kill() }

// part is one piece of a call as it came.
type part struct {
	shardserver.Part
	ownership.Request
}

// parse takes a call's body apart: the platform's lines with keys in their lists.
func parse(body string) (parts []part, err error) {
	for body != "" {
		line, rest, found := strings.Cut(body, "\n")
		words := strings.Fields(line)
		if !found || len(words) != 4 {
			return nil, fmt.Errorf("a part's line %.80q", line)
		}
		length, err := strconv.Atoi(words[3])
		if err != nil || length < 0 || length > len(rest) {
			return nil, fmt.Errorf("a part's line %.80q", line)
		}
		p := part{Part: shardserver.Part{ID: words[0], Text: rest[:length]}}
		for _, item := range strings.Split(words[2], ",") {
			key, value, _ := strings.Cut(item, "=")
			switch key {
			case "s":
				p.Segment = value
			case "e":
				p.OwnedSince, err = strconv.ParseUint(value, 10, 64)
			case "k":
				p.Range, err = ownership.ParseRange(value)
			case "once":
				p.NonIdempotent = true
			}
			if err != nil {
				return nil, fmt.Errorf("a part's list %.80q: %w", words[2], err)
			}
		}
		if p.Segment == "" {
			return nil, fmt.Errorf("a part's list %.80q names no segment", words[2])
		}
		parts = append(parts, p)
		body = rest[length:]
	}
	return parts, nil
}

func (h *Host) serve(c net.Conn) {
	defer func() {
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
		c.Close()
	}()
	var write sync.Mutex
	send := func(letter byte, body string) {
		text := binary.LittleEndian.AppendUint32(nil, uint32(1+len(body)))
		write.Lock()
		defer write.Unlock()
		c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		c.Write(append(append(text, letter), body...))
	}
	r := bufio.NewReaderSize(c, 32<<10)
	for {
		letter, body, err := shardserver.ReadFrame(r)
		if err != nil {
			return
		}
		switch letter {
		case 'O':
			parts, err := parse(body)
			if err != nil {
				send('E', err.Error())
				return
			}
			for _, p := range parts {
				go h.take(p, send)
			}
		case 'X':
		case 'P':
			send('P', "ok")
		case 'L':
			send('L', "-")
		default:
			send('E', fmt.Sprintf("a frame with the letter %q", letter))
			return
		}
	}
}

// take answers one piece.
func (h *Host) take(p part, send func(letter byte, body string)) {
	h.mu.Lock()
	answer := h.own.Admit(p.Request)
	end, value := "ok", ""
	switch {
	case answer == ownership.NotOwner:
		h.moved++
		end = "moved"
	case h.draining:
		h.busy++
		end = "busy"
	}
	h.mu.Unlock()
	if end == "ok" {
		time.Sleep(h.Work) // between deciding to run it and its effect, so that a hand-over can come in between
		end, value = h.run(&p)
	}
	h.mu.Lock()
	lost := h.silent > 0
	if lost {
		h.silent--
	}
	h.mu.Unlock()
	if !lost {
		send('A', p.ID+" "+end+" 1 -\n"+value)
	}
}

// run does a piece's work. The text of a claim is `claim KEY WHO`; it is given by whoever has the key among its keys.
// Any other text reads, and says which keys were read where.
func (h *Host) run(p *part) (end, value string) {
	words := strings.Fields(p.Text)
	if len(words) != 3 || words[0] != "claim" {
		return "ok", fmt.Sprintf("%s %s@%d on %s", p.Range.Text(), p.Segment, p.OwnedSince, h.Name)
	}
	key, err := strconv.ParseUint(words[1], 16, 64)
	if err != nil {
		return "err", ""
	}
	if key < p.Lo || key > p.Hi {
		return "ok", "not here"
	}
	h.mu.Lock()
	cut := h.noLogs
	h.mu.Unlock()
	if cut {
		return "busy", "" // nothing was written, so that nothing has run
	}
	given, taken := h.logs.append(p.Segment, p.OwnedSince, p.ID, key, words[2], h.Name, h.view)
	switch {
	case !taken:
		return "moved", ""
	case given:
		return "ok", "given"
	}
	return "ok", "held"
}

// Authority hands segments over and tells who owns what.
type Authority struct {
	Logs  *Logs
	http  *http.Server
	l     net.Listener
	hosts map[string]*Host

	mu      sync.Mutex
	m       *ownership.Map
	changes []ownership.Change
	news    chan struct{}
	silent  bool
	twist   func(r *segments.Response) *segments.Response // what is told in place of the truth, nil for the truth
}

// Start starts an authority over hosts, with a first map, which the hosts are told.
func Start(first *ownership.Map, hosts []*Host, logs *Logs) (*Authority, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	logs.logs, logs.held = map[string]*ownership.SegmentLog{}, map[uint64]string{}
	a := &Authority{Logs: logs, l: l, hosts: map[string]*Host{}, m: first, news: make(chan struct{})}
	for _, h := range hosts {
		a.hosts[h.Name] = h
	}
	for _, s := range first.Segments {
		logs.logs[s.Name] = &ownership.SegmentLog{Epoch: s.OwnedSince}
		a.accept(s)
	}
	a.http = &http.Server{Handler: http.HandlerFunc(a.handle)}
	go a.http.Serve(l)
	return a, nil
}

// accept has the owners of a segment own it.
func (a *Authority) accept(s ownership.Segment) error {
	var errs []error
	for i, name := range s.Owners {
		h := a.hosts[name]
		if h == nil {
			return fmt.Errorf("no host %q", name)
		}
		errs = append(errs, h.order(func(own *ownership.Host) {
			own.Acquire(ownership.OwnedSegment{Name: s.Name, Range: s.Range, OwnedSince: s.OwnedSince, Writer: i == 0})
		}))
	}
	return errors.Join(errs...)
}

// Address is where it is asked.
func (a *Authority) Address() string { return a.l.Addr().String() }

// Close ends it.
func (a *Authority) Close() { a.http.Close() }

// Map is the map as it is told.
func (a *Authority) Map() *ownership.Map {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.m
}

// Silence lets it answer nobody, or answer again.
func (a *Authority) Silence(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = on
}

// Twist changes what it tells: nil tells the truth again.
func (a *Authority) Twist(twist func(r *segments.Response) *segments.Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.twist = twist
	close(a.news)
	a.news = make(chan struct{})
}

// Carry takes the steps of a hand-over up to one and not that. Old hosts that can't be reached are passed by where
// that is safe; an error says which step could not be taken, and it can be tried again or undone.
func (a *Authority) Carry(h *ownership.Handover, until ownership.Step) error {
	for h.Step < until {
		var old, new error
		switch h.Step {
		case ownership.Seal:
			for _, s := range h.Previous {
				for _, name := range s.Owners {
					old = errors.Join(old, a.hosts[name].order(func(own *ownership.Host) { own.Seal(s.Name) }))
				}
			}
		case ownership.Fence:
			a.Logs.raise(h.Change)
		case ownership.Accept:
			for _, s := range h.Added {
				new = errors.Join(new, a.accept(s))
			}
		case ownership.Publish:
			if err := a.Publish(h.Change); err != nil {
				return err
			}
		case ownership.Release:
			next := a.Map()
			for _, s := range h.Previous {
				for _, name := range s.Owners {
					if i := next.Find(s.Name); i < 0 || !slices.Contains(next.Segments[i].Owners, name) {
						old = errors.Join(old, a.hosts[name].order(func(own *ownership.Host) { own.Release(s.Name) }))
					}
				}
			}
		}
		if !h.CanProceed(old == nil, new == nil) {
			return fmt.Errorf("step %d of %s: %w", h.Step, h.Reason, errors.Join(old, new))
		}
		h.Step++
	}
	return nil
}

// Undo takes back a hand-over that was not published.
func (a *Authority) Undo(h *ownership.Handover) error {
	changes, err := h.Revert(a.Map())
	if err != nil {
		return err
	}
	for _, c := range changes {
		one := ownership.NewHandover(a.Map(), c)
		one.Step = ownership.Fence
		if err := a.Carry(&one, ownership.Done); err != nil {
			return err
		}
	}
	return nil
}

// Publish tells a change.
func (a *Authority) Publish(c ownership.Change) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	next, err := a.m.Apply(c)
	if err != nil {
		return err
	}
	a.m = next
	a.changes = append(a.changes, c)
	close(a.news)
	a.news = make(chan struct{})
	return nil
}

// handle answers with the whole map, or with what has changed after an epoch, waiting for it.
func (a *Authority) handle(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		a.mu.Lock()
		silent, news, twist := a.silent, a.news, a.twist
		reply := &segments.Response{}
		if after == 0 || len(a.changes) > 0 && after+1 < a.changes[0].Epoch {
			reply.Full = a.m
		} else {
			for _, c := range a.changes {
				if c.Epoch > after {
					reply.Changes = append(reply.Changes, c)
				}
			}
		}
		a.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		if twist != nil {
			reply = twist(reply)
		}
		if reply.Full != nil || len(reply.Changes) > 0 {
			w.Write(reply.Encode())
			return
		}
		select {
		case <-news:
		case <-until:
			w.Write(reply.Encode())
			return
		case <-r.Context().Done():
			return
		}
	}
}
