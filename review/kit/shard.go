package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Part is one part of a call, as it came to a shard server.
type Part struct {
	ID     string
	Shard  int
	List   string
	Text   string
	Nth    int // which attempt of this part at any server, from 0
	Server *Shard
	Conn   *ShardConn
	At     time.Time
}

// LeftMS returns the time that the part's list tells, -1 if it tells none.
func (p *Part) LeftMS() int {
	for _, pair := range strings.Split(p.List, ",") {
		if v, found := strings.CutPrefix(pair, "d="); found {
			n, _ := strconv.Atoi(v)
			return n
		}
	}
	return -1
}

// Work is what all shard servers of a case have received, run and made.
type Work struct {
	rec *Record

	mu       sync.Mutex
	attempts map[string]int
	ran      map[string]int
	arrivals map[string][]time.Time
	left     map[string][]int
	values   map[string]map[string]time.Time // by part: the values made for it, with when the answer was written
}

// NewWork returns no work.
func NewWork(rec *Record) *Work {
	return &Work{rec: rec, attempts: map[string]int{}, ran: map[string]int{}, arrivals: map[string][]time.Time{},
		left: map[string][]int{}, values: map[string]map[string]time.Time{}}
}

func (w *Work) arrived(p *Part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p.Nth = w.attempts[p.ID]
	w.attempts[p.ID]++
	w.arrivals[p.ID] = append(w.arrivals[p.ID], p.At)
	w.left[p.ID] = append(w.left[p.ID], p.LeftMS())
	w.rec.Add("part      %s arrives at %s (attempt %d) %s", p.ID, p.Server.Name, p.Nth, p.List)
}

// Made reports whether a shard server made a value for a part.
func (w *Work) Made(id, value string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, made := w.values[id][value]
	return made
}

// Run marks a part as run and returns the value made for it.
func (w *Work) Run(p *Part) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran[p.ID]++
	h := fnv.New64a()
	fmt.Fprintf(h, "%s|%d|%s|%s", p.ID, p.Shard, p.Text, p.Server.Name)
	value := fmt.Sprintf("%016x", h.Sum64())
	if w.values[p.ID] == nil {
		w.values[p.ID] = map[string]time.Time{}
	}
	w.values[p.ID][value] = time.Now()
	w.rec.Add("part      %s runs at %s, makes %s", p.ID, p.Server.Name, value)
	return value
}

// Shard is a stand-in for a shard server.
type Shard struct {
	Name string
	Zone string
	Cell int
	rec  *Record
	work *Work
	// OnPart handles a part in a goroutine of its own.
	OnPart   func(p *Part)
	mu       sync.Mutex
	listener net.Listener
	address  string
	conns    map[*ShardConn]bool
}

// ShardConn is a gatherer's connection.
type ShardConn struct {
	net.Conn
	shard *Shard
	wmu   sync.Mutex
	mu    sync.Mutex
	off   map[string]bool // parts given up by X
}

// StartShard starts a shard server.
func StartShard(rec *Record, work *Work, name, zone string, cell int, onPart func(p *Part)) (*Shard, error) {
	s := &Shard{Name: name, Zone: zone, Cell: cell, rec: rec, work: work, OnPart: onPart, conns: map[*ShardConn]bool{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.listener, s.address = l, l.Addr().String()
	go s.accept(l)
	return s, nil
}

// Member returns its entry in the list.
func (s *Shard) Member(phase string, upSince int64) Member {
	return Member{ID: s.Name, HostPort: s.address, Locality: s.Zone, Flavor: "gen-a", Cell: s.Cell, Phase: phase,
		Size: 1, UpSince: upSince}
}

func (s *Shard) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		sc := &ShardConn{Conn: c, shard: s, off: map[string]bool{}}
		s.mu.Lock()
		s.conns[sc] = true
		s.mu.Unlock()
		go sc.serve()
	}
}

// Kill closes the listener and resets all connections.
func (s *Shard) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for c := range s.conns {
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.conns = map[*ShardConn]bool{}
}

// Restart listens at the old address again.
func (s *Shard) Restart() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	go s.accept(l)
	return nil
}

func (c *ShardConn) serve() {
	defer func() {
		c.Close()
		c.shard.mu.Lock()
		delete(c.shard.conns, c)
		c.shard.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		var head [4]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return
		}
		n := binary.LittleEndian.Uint32(head[:])
		if n < 1 || n > 4<<20 {
			c.WriteFrame('E', "length")
			return
		}
		frame := make([]byte, n)
		if _, err := io.ReadFull(r, frame); err != nil {
			return
		}
		switch frame[0] {
		case 'Q':
			if !c.call(string(frame[1:])) {
				c.WriteFrame('E', "a call that can't be read")
				return
			}
		case 'X':
			c.mu.Lock()
			c.off[string(frame[1:])] = true
			c.mu.Unlock()
			c.shard.rec.Add("part      %s is given up at %s", frame[1:], c.shard.Name)
		case 'P':
			c.WriteFrame('P', "ok")
		case 'L':
			c.WriteFrame('L', "-")
		default:
			c.WriteFrame('E', "an unknown letter")
			return
		}
	}
}

func (c *ShardConn) call(body string) bool {
	now := time.Now()
	var parts []*Part
	for body != "" {
		line, rest, found := strings.Cut(body, "\n")
		fields := strings.Fields(line)
		if !found || len(fields) != 4 {
			return false
		}
		shard, err := strconv.Atoi(fields[1])
		length, err2 := strconv.Atoi(fields[3])
		if err != nil || err2 != nil || length < 0 || length > len(rest) {
			return false
		}
		parts = append(parts, &Part{ID: fields[0], Shard: shard, List: fields[2], Text: rest[:length],
			Server: c.shard, Conn: c, At: now})
		body = rest[length:]
	}
	for _, p := range parts {
		c.mu.Lock()
		delete(c.off, p.ID)
		c.mu.Unlock()
		c.shard.work.arrived(p)
	}
	for _, p := range parts {
		go c.shard.OnPart(p)
	}
	return len(parts) > 0
}

// IsOff reports whether the gatherer has given up a part on the connection.
func (c *ShardConn) IsOff(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.off[id]
}

// GivenUp reports whether the gatherer has given up the part.
func (p *Part) GivenUp() bool { return p.Conn.IsOff(p.ID) }

// WriteFrame writes a frame.
func (c *ShardConn) WriteFrame(letter byte, rest string) {
	c.WriteRaw(Frame(letter, rest))
}

// WriteRaw writes bytes in one write.
func (c *ShardConn) WriteRaw(b []byte) {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	c.Write(b)
}

// Frame returns a frame's bytes.
func Frame(letter byte, rest string) []byte {
	b := binary.LittleEndian.AppendUint32(nil, uint32(1+len(rest)))
	b = append(b, letter)
	return append(b, rest...)
}

// AnswerText returns what follows the letter of an answer frame.
func AnswerText(id, end, value string) string {
	return id + " " + end + " 1840277719 latency_ms=20.5\n" + value
}

// Serve is the usual way to handle a part: it works for so long, then answers.
func (p *Part) Serve(work time.Duration) {
	time.Sleep(work)
	if p.GivenUp() {
		return
	}
	value := p.Server.work.Run(p)
	p.Server.rec.Add("answer    %s ok from %s value %s", p.ID, p.Server.Name, value)
	p.Conn.WriteFrame('A', AnswerText(p.ID, "ok", value))
}

// End answers a part with an end other than ok.
func (p *Part) End(end string) {
	p.Server.rec.Add("answer    %s %s from %s", p.ID, end, p.Server.Name)
	p.Conn.WriteFrame('A', AnswerText(p.ID, end, ""))
}
