package kit2

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Part is one part of a call, as it came.
type Part struct {
	Server string
	ID     string // the query's, a dot, the shard
	Query  string
	Shard  int
	D      int // milliseconds that the gatherer will wait, as told
	Text   string
	Frame  byte
	At     time.Time
	Conn   int
}

// Answer is what a shard server does with a part.
type Answer struct {
	After  time.Duration
	End    string // ok, err, busy; none: nothing is ever answered
	Value  string // by default ValueOf
	Before func() // right before the answer is written
}

// ValueOf is the value that a sound shard server makes for a part.
func ValueOf(query string, shard int, text string) string {
	return fmt.Sprintf("v-%s-%d-%s", query, shard, text)
}

// Shard is a stand-in for a shard server.
type Shard struct {
	Name   string
	Cell   int
	Zone   string
	Record *Record
	// Serve says what is done with a part; nil: ok after Work.
	Serve func(p Part) Answer
	Work  time.Duration

	listener net.Listener
	address  string

	mu    sync.Mutex
	parts []Part
	conns map[net.Conn]int
	count int
}

// Start listens on a free port, or on the one that it had.
func (s *Shard) Start() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener = l
	s.address = l.Addr().String()
	s.conns = map[net.Conn]int{}
	go s.accept(l)
	return nil
}

// Address is where it listens.
func (s *Shard) Address() string { return s.address }

// Parts are all parts that came.
func (s *Shard) Parts() []Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Part(nil), s.parts...)
}

// Kill ends it as a process that dies: its connections are reset, new ones refused.
func (s *Shard) Kill() {
	s.listener.Close()
	s.ResetConns()
	s.Record.Printf("%s dies", s.Name)
}

// ResetConns resets all its connections.
func (s *Shard) ResetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.conns = map[net.Conn]int{}
}

func (s *Shard) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.count++
		n := s.count
		s.conns[c] = n
		s.mu.Unlock()
		s.Record.Printf("%s connection %d opened", s.Name, n)
		go s.serve(c, n)
	}
}

func (s *Shard) serve(c net.Conn, n int) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.Close()
		s.Record.Printf("%s connection %d ended", s.Name, n)
	}()
	w := &frameWriter{c: c}
	r := bufio.NewReaderSize(c, 64<<10)
	for {
		letter, body, err := readFrame(r)
		if err != nil {
			return
		}
		switch letter {
		case 'Q':
			s.call(w, n, body)
		case 'X':
			s.Record.Printf("%s X %s", s.Name, body)
		case 'P':
			w.write('P', "ok")
		case 'L':
			w.write('L', "-")
		default:
			w.write('E', "unknown letter")
			return
		}
	}
}

func (s *Shard) call(w *frameWriter, conn int, body string) {
	for len(body) > 0 {
		line, rest, ok := strings.Cut(body, "\n")
		f := strings.Split(line, " ")
		if !ok || len(f) != 4 {
			w.write('E', "bad line")
			return
		}
		shard, _ := strconv.Atoi(f[1])
		n, _ := strconv.Atoi(f[3])
		d := -1
		for _, item := range strings.Split(f[2], ",") {
			if v, is := strings.CutPrefix(item, "d="); is {
				d, _ = strconv.Atoi(v)
			}
		}
		text := rest[:n]
		body = rest[n:]
		p := Part{Server: s.Name, ID: f[0], Shard: shard, D: d, Text: text, Frame: 'Q', At: time.Now(), Conn: conn}
		if i := strings.LastIndexByte(p.ID, '.'); i >= 0 {
			p.Query = p.ID[:i]
		}
		s.mu.Lock()
		s.parts = append(s.parts, p)
		s.mu.Unlock()
		s.Record.At(p.At, "%s Q %s shard %d d=%d on connection %d", s.Name, p.ID, shard, d, conn)
		a := Answer{After: s.Work}
		if s.Serve != nil {
			a = s.Serve(p)
		}
		if a.End == "none" {
			continue
		}
		go s.answer(w, p, a)
	}
}

func (s *Shard) answer(w *frameWriter, p Part, a Answer) {
	if a.After > 0 {
		time.Sleep(a.After)
	}
	if a.Before != nil {
		a.Before()
	}
	end := a.End
	value := ""
	if end == "" || end == "ok" {
		end = "ok"
		value = a.Value
		if value == "" {
			value = ValueOf(p.Query, p.Shard, p.Text)
		}
	}
	err := w.write('A', fmt.Sprintf("%s %s 1 -\n%s", p.ID, end, value))
	s.Record.Printf("%s A %s %s (%v)", s.Name, p.ID, end, err)
}

type frameWriter struct {
	mu sync.Mutex
	c  net.Conn
}

func (w *frameWriter) write(letter byte, rest string) error {
	b := make([]byte, 4, 5+len(rest))
	binary.LittleEndian.PutUint32(b, uint32(1+len(rest)))
	b = append(b, letter)
	b = append(b, rest...)
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := w.c.Write(b)
	return err
}

func readFrame(r *bufio.Reader) (byte, string, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, "", err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < 1 || n > 16<<20 {
		return 0, "", fmt.Errorf("frame of %d bytes", n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, "", err
	}
	return body[0], string(body[1:]), nil
}
