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

// Execution is one claim that ran.
type Execution struct {
	RequestID string // its name on the wire
	Key       uint64
	Claimant  string // who claims
	Granted   bool   // the key was free
	Host      string
}

// SegmentLogs are what ran in each segment. They outlive hosts and can be reached by all that are not cut off.
type SegmentLogs struct {
	WithoutFencing bool // records of any epoch are taken, as if there were no fence: for showing that it is needed

	mu         sync.Mutex
	logs       map[string]*ownership.SegmentLog
	claims     map[uint64]string // who has a key
	executions []Execution
}

// append writes a claim into a segment's log, under the epoch from which its owner holds the segment.
func (l *SegmentLogs) append(segment string, since uint64, part string, key uint64, by, host string, view map[uint64]string) (given, taken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.claims
	if l.WithoutFencing { // each host goes by what it has seen itself
		held = view
	} else if log := l.logs[segment]; log == nil || !log.Append(since) {
		return false, false
	}
	_, has := held[key]
	if !has {
		held[key] = by
		l.claims[key] = by
	}
	l.executions = append(l.executions, Execution{part, key, by, !has, host})
	return !has, true
}

// Executions are all claims that ran, in their order.
func (l *SegmentLogs) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.executions)
}

func (l *SegmentLogs) raiseEpochs(c ownership.Change) {
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
	Name     string
	WorkTime time.Duration // that a part takes

	logs *SegmentLogs

	mu                    sync.Mutex
	listener              net.Listener
	address               string
	conns                 map[net.Conn]bool
	owned                 ownership.Host
	draining              bool
	authorityDisconnected bool // the authority can't reach it
	logsDisconnected      bool // it can't reach the logs
	answersToDrop         int  // so many answers more are lost
	seenClaims            map[uint64]string
	notOwnerCount         int
	rejected              int
}

// NewHost starts a host that owns nothing.
func NewHost(name string, logs *SegmentLogs, work time.Duration) (*Host, error) {
	h := &Host{Name: name, WorkTime: work, logs: logs, address: "127.0.0.1:0", seenClaims: map[uint64]string{}}
	return h, h.Restart()
}

// Restart starts a killed host again at its old address. It believes what it believed before.
func (h *Host) Restart() error {
	l, err := net.Listen("tcp", h.Address())
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.listener, h.address, h.conns = l, l.Addr().String(), map[net.Conn]bool{}
	h.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			if h.listener != l {
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
	if h.listener == nil {
		return
	}
	h.listener.Close()
	h.listener = nil
	for c := range h.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	h.conns = nil
}

func (h *Host) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// SetAuthorityDisconnected cuts the authority off from it, or lets it through again.
func (h *Host) SetAuthorityDisconnected(on bool) { h.update(func() { h.authorityDisconnected = on }) }

// SetLogsDisconnected cuts it off from the logs, or lets it through again.
func (h *Host) SetLogsDisconnected(on bool) { h.update(func() { h.logsDisconnected = on }) }

// SetDraining lets it turn away what is new.
func (h *Host) SetDraining(on bool) { h.update(func() { h.draining = on }) }

// DropAnswers loses its next answers.
func (h *Host) DropAnswers(answers int) { h.update(func() { h.answersToDrop = answers }) }

// NotOwnerCount is how many parts it has refused since it did not own their keys.
func (h *Host) NotOwnerCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.notOwnerCount
}

// OwnedSegments is what it believes to own.
func (h *Host) OwnedSegments() []ownership.OwnedSegment {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.owned.Segments)
}

var errUnreachable = errors.New("the host can't be reached")

// command has the authority tell a host something.
func (h *Host) command(do func(own *ownership.Host)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.authorityDisconnected || h.listener == nil {
		return errUnreachable
	}
	do(&h.owned)
	return nil
}

// Close ends it.
func (h *Host) Close() { h.Kill() }

// shardRequest is one piece of a call as it came.
type shardRequest struct {
	shardserver.ShardRequest
	ownership.Request
}

// parseShardRequests takes a call's body apart: the platform's lines with keys in their lists.
func parseShardRequests(body string) (parts []shardRequest, err error) {
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
		p := shardRequest{ShardRequest: shardserver.ShardRequest{ID: words[0], Payload: rest[:length]}}
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
			parts, err := parseShardRequests(body)
			if err != nil {
				send('E', err.Error())
				return
			}
			for _, p := range parts {
				go h.handle(p, send)
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

// handle answers one piece.
func (h *Host) handle(p shardRequest, send func(letter byte, body string)) {
	h.mu.Lock()
	answer := h.owned.Admit(p.Request)
	end, value := "ok", ""
	switch {
	case answer == ownership.NotOwner:
		h.notOwnerCount++
		end = "moved"
	case h.draining:
		h.rejected++
		end = "busy"
	}
	h.mu.Unlock()
	if end == "ok" {
		time.Sleep(h.WorkTime) // between deciding to run it and its effect, so that a hand-over can come in between
		end, value = h.execute(&p)
	}
	h.mu.Lock()
	lost := h.answersToDrop > 0
	if lost {
		h.answersToDrop--
	}
	h.mu.Unlock()
	if !lost {
		send('A', p.ID+" "+end+" 1 -\n"+value)
	}
}

// execute does a piece's work. The text of a claim is `claim KEY WHO`; it is given by whoever has the key among its keys.
// Any other text reads, and says which keys were read where.
func (h *Host) execute(p *shardRequest) (end, value string) {
	words := strings.Fields(p.Payload)
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
	cut := h.logsDisconnected
	h.mu.Unlock()
	if cut {
		return "busy", "" // nothing was written, so that nothing has run
	}
	given, taken := h.logs.append(p.Segment, p.OwnedSince, p.ID, key, words[2], h.Name, h.seenClaims)
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
	Logs     *SegmentLogs
	http     *http.Server
	listener net.Listener
	hosts    map[string]*Host

	mu      sync.Mutex
	current *ownership.Map
	changes []ownership.Change
	changed chan struct{}
	silent  bool
	rewrite func(r *segments.Response) *segments.Response // what is told in place of the truth, nil for the truth
}

// StartAuthority starts an authority over hosts, with a first map, which the hosts are told.
func StartAuthority(first *ownership.Map, hosts []*Host, logs *SegmentLogs) (*Authority, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	logs.logs, logs.claims = map[string]*ownership.SegmentLog{}, map[uint64]string{}
	a := &Authority{Logs: logs, listener: l, hosts: map[string]*Host{}, current: first, changed: make(chan struct{})}
	for _, h := range hosts {
		a.hosts[h.Name] = h
	}
	for _, s := range first.Segments {
		logs.logs[s.Name] = &ownership.SegmentLog{Epoch: s.OwnedSince}
		a.acquire(s)
	}
	a.http = &http.Server{Handler: http.HandlerFunc(a.handle)}
	go a.http.Serve(l)
	return a, nil
}

// acquire has the owners of a segment own it.
func (a *Authority) acquire(s ownership.Segment) error {
	var errs []error
	for i, name := range s.Owners {
		h := a.hosts[name]
		if h == nil {
			return fmt.Errorf("no host %q", name)
		}
		errs = append(errs, h.command(func(own *ownership.Host) {
			own.Acquire(ownership.OwnedSegment{Name: s.Name, Range: s.Range, OwnedSince: s.OwnedSince, Writer: i == 0})
		}))
	}
	return errors.Join(errs...)
}

// Address is where it is asked.
func (a *Authority) Address() string { return a.listener.Addr().String() }

// Close ends it.
func (a *Authority) Close() { a.http.Close() }

// Map is the map as it is told.
func (a *Authority) Map() *ownership.Map {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// SetSilent lets it answer nobody, or answer again.
func (a *Authority) SetSilent(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = on
}

// RewriteResponses changes what it tells: nil tells the truth again.
func (a *Authority) RewriteResponses(twist func(r *segments.Response) *segments.Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rewrite = twist
	close(a.changed)
	a.changed = make(chan struct{})
}

// RunUntil takes the steps of a hand-over up to one and not that. Old hosts that can't be reached are passed by where
// that is safe; an error says which step could not be taken, and it can be tried again or undone.
func (a *Authority) RunUntil(h *ownership.Handover, until ownership.Step) error {
	for h.Step < until {
		var old, new error
		switch h.Step {
		case ownership.Seal:
			for _, s := range h.Previous {
				for _, name := range s.Owners {
					old = errors.Join(old, a.hosts[name].command(func(own *ownership.Host) { own.Seal(s.Name) }))
				}
			}
		case ownership.Fence:
			a.Logs.raiseEpochs(h.Change)
		case ownership.Accept:
			for _, s := range h.Added {
				new = errors.Join(new, a.acquire(s))
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
						old = errors.Join(old, a.hosts[name].command(func(own *ownership.Host) { own.Release(s.Name) }))
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

// Revert takes back a hand-over that was not published.
func (a *Authority) Revert(h *ownership.Handover) error {
	changes, err := h.Revert(a.Map())
	if err != nil {
		return err
	}
	for _, c := range changes {
		one := ownership.NewHandover(a.Map(), c)
		one.Step = ownership.Fence
		if err := a.RunUntil(&one, ownership.Done); err != nil {
			return err
		}
	}
	return nil
}

// Publish tells a change.
func (a *Authority) Publish(c ownership.Change) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	next, err := a.current.Apply(c)
	if err != nil {
		return err
	}
	a.current = next
	a.changes = append(a.changes, c)
	close(a.changed)
	a.changed = make(chan struct{})
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
		silent, news, twist := a.silent, a.changed, a.rewrite
		reply := &segments.Response{}
		if after == 0 || len(a.changes) > 0 && after+1 < a.changes[0].Epoch {
			reply.Full = a.current
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
