// Package shards is a stand-in for shard servers: it speaks the platform's frames on loopback and takes the time
// that a machine of so many cores would take, without using its CPU. It can be drained, killed, hung, slowed and
// made to fail, and keeps count of what it was asked and did.
package shardserver

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokeroute/internal/pcg"
)

// Terms are what a machine is like.
type Terms struct {
	Cores    int
	Work     float64 // milliseconds of one core that a part takes on average
	Spread   float64 // standard deviation of that over the mean; the distribution is lognormal
	CallWork float64 // milliseconds of one core that a call costs beside its parts
	Queue    int     // parts that wait; further ones are turned away
	Keeps    bool    // work goes on after a part was given up
	Brief    float64 // milliseconds of one core that a part of a first pass takes; 0 for a machine that knows no first passes
	Seed     uint64
}

// Extension is how first passes are agreed on.
const Extension = "two-phase 1"

// Part is one part of a call as it came.
type Part struct {
	ID    string // the lookup's name, a dot, the shard
	Shard int
	Text  string
}

// Seen is what became of a part at a server, for who checks what truly ran.
type Seen struct {
	At   time.Time
	What string // came, ran, or started: the process, with no part
	Part
	Brief bool    // of a first pass
	Work  float64 // milliseconds of one core
}

// Counts are what a server was asked and did.
type Counts struct {
	Calls, Parts        int     // that came
	Answered, Busy      int     // parts
	Failed, GivenUp     int     // parts
	Briefs              int     // parts of first passes that came; they count among the parts as well
	Hellos              int     // askings whether it knows first passes
	Loads               int     // askings for its load
	Wasted              int     // parts whose work was done though nobody waited for it any more
	Worked              float64 // milliseconds of all cores together
	Connections, Opened int
}

// Server is one machine.
type Server struct {
	terms Terms
	ran   func(Part) []byte
	sums  func(Part) []byte // the value of a part of a first pass

	mu       sync.Mutex
	l        net.Listener
	address  string
	chance   *pcg.Source
	conns    map[*conn]bool
	waiting  []*task
	busy     int
	slow     float64 // times that work takes
	failing  float64 // share of parts that fail at once
	garbled  float64 // share of first passes' parts that are answered by what can't be read
	draining bool
	tells    bool    // it tells its load,
	latency  float64 // and this as the latency of its calls
	hung     bool
	counts   Counts
	seen     func(Seen)
	took     *hdrhistogram.Histogram // microseconds from a part's coming to its answer
	origin   map[string]int          // parts by what stands before the first dash of their lookup's name
}

// task is a part that waits or is worked on.
type task struct {
	Part
	on    *conn
	came  time.Time
	work  float64
	brief bool // of a first pass
	off   bool
	begun bool
}

type conn struct {
	net.Conn
	s     *Server
	write sync.Mutex
	tasks map[string]*task
}

// Start starts a machine on a free port of loopback. Ran gives the value of a part when its work is done; nil
// gives the shard's number and the text.
func Start(terms Terms, ran func(Part) []byte) (*Server, error) {
	if ran == nil {
		ran = func(p Part) []byte { return fmt.Appendf(nil, "%d:%s", p.Shard, p.Text) }
	}
	some := func(Part) []byte { return []byte("some 1 1 v0") }
	s := &Server{terms: terms, ran: ran, sums: some, chance: pcg.New(terms.Seed), conns: map[*conn]bool{}, slow: 1, origin: map[string]int{},
		took: hdrhistogram.New(1, 60_000_000, 3), address: "127.0.0.1:0"}
	return s, s.Revive()
}

// Hold gives the machine's parts the values of a content, in first passes too.
func (s *Server) Hold(c *Content) { s.set(func() { s.ran, s.sums = c.Answer, c.Summary }) }

// Garble makes a share of the answers to first passes unreadable.
func (s *Server) Garble(share float64) { s.set(func() { s.garbled = share }) }

// Watch has all that comes, runs and starts told, in its order; it must neither block nor call the server.
func (s *Server) Watch(seen func(Seen)) { s.set(func() { s.seen = seen }) }

// see tells what became of a part. The lock is held.
func (s *Server) see(what string, p Part, brief bool, work float64) {
	if s.seen != nil {
		s.seen(Seen{time.Now(), what, p, brief, work})
	}
}

// Speak makes it know first passes that take so much work, or none for 0: another build of it.
func (s *Server) Speak(brief float64) { s.set(func() { s.terms.Brief = brief }) }

// Tell makes it tell its load when it is asked: parts waiting, and what its calls took lately.
func (s *Server) Tell(latency float64) { s.set(func() { s.tells, s.latency = true, latency }) }

// load is its report.
func (s *Server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts.Loads++; !s.tells {
		return "-"
	}
	return fmt.Sprintf("queue=%d,latency_ms=%g", len(s.waiting), s.latency)
}

// Revive starts a killed machine again at its old address.
func (s *Server) Revive() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.l, s.address = l, l.Addr().String()
	s.see("started", Part{}, false, 0)
	s.mu.Unlock()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			c := &conn{Conn: nc, s: s, tasks: map[string]*task{}}
			s.mu.Lock()
			if s.l != l {
				s.mu.Unlock()
				nc.Close()
				return
			}
			s.conns[c] = true
			s.counts.Opened++
			s.mu.Unlock()
			go c.read()
		}
	}()
	return nil
}

// Address is where it is reached.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Kill ends it as a process that dies: connections are reset, what it held is gone.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.l == nil {
		return
	}
	s.l.Close()
	s.l = nil
	for c := range s.conns {
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
		for _, t := range c.tasks {
			t.off = true
		}
	}
	s.conns, s.waiting = map[*conn]bool{}, nil
}

// Drain lets it turn away what is new, or take it again.
func (s *Server) Drain(on bool) { s.set(func() { s.draining = on }) }

// Hang lets it take parts and answer none, or go on.
func (s *Server) Hang(on bool) { s.set(func() { s.hung = on }) }

// Slow makes all work that begins from now on take so many times as long.
func (s *Server) Slow(times float64) { s.set(func() { s.slow = times }) }

// Fail makes a share of the parts fail at once.
func (s *Server) Fail(share float64) { s.set(func() { s.failing = share }) }

func (s *Server) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// Counts is what it was asked and did so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Connections = len(s.conns)
	return c
}

// Origins are its parts by what stands before the first dash of their lookup's name.
func (s *Server) Origins() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	of := map[string]int{}
	for name, n := range s.origin {
		of[name] = n
	}
	return of
}

// Took adds to a histogram the microseconds from each answered part's coming to its answer, and forgets them.
func (s *Server) Took(into *hdrhistogram.Histogram) {
	s.mu.Lock()
	defer s.mu.Unlock()
	into.Merge(s.took)
	s.took.Reset()
}

// Close ends it.
func (s *Server) Close() { s.Kill() }

// longestFrame bounds what one frame may hold.
const longestFrame = 1 << 20

// read takes frames until the connection ends.
func (c *conn) read() {
	defer func() {
		c.s.mu.Lock()
		delete(c.s.conns, c)
		for _, t := range c.tasks {
			c.s.giveUp(t)
		}
		c.s.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReaderSize(c, 32<<10)
	for {
		letter, body, err := ReadFrame(r)
		if err != nil {
			return
		}
		c.s.mu.Lock()
		speaks := c.s.terms.Brief > 0
		if letter == 'H' {
			c.s.counts.Hellos++
		}
		c.s.mu.Unlock()
		if (letter == 'S' || letter == 'H') && !speaks {
			letter = 0 // as one that has never heard of it
		}
		switch letter {
		case 'Q', 'S':
			parts, err := ParseCall(body)
			if err != nil {
				c.send('E', err.Error())
				return
			}
			c.s.take(c, parts, letter == 'S')
		case 'H':
			if body != Extension {
				c.send('E', "an extension that is not known here")
				return
			}
			c.send('H', Extension)
		case 'X':
			c.s.mu.Lock()
			if t := c.tasks[body]; t != nil {
				c.s.giveUp(t)
			}
			c.s.mu.Unlock()
		case 'P':
			c.send('P', "ok")
		case 'L':
			c.send('L', c.s.load())
		default:
			c.send('E', fmt.Sprintf("a frame with the letter %q", letter))
			return
		}
	}
}

// ReadFrame reads one frame of the platform's protocol.
func ReadFrame(r io.Reader) (letter byte, body string, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, "", err
	}
	n := binary.LittleEndian.Uint32(head[:])
	if n < 1 || n > longestFrame {
		return 0, "", fmt.Errorf("a frame of %d bytes", n)
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(r, text); err != nil {
		return 0, "", err
	}
	return text[0], string(text[1:]), nil
}

// ParseCall takes a call's body apart.
func ParseCall(body string) (parts []Part, err error) {
	for body != "" {
		line, rest, found := strings.Cut(body, "\n")
		words := strings.Fields(line)
		if !found || len(words) != 4 {
			return nil, fmt.Errorf("a part's line %.80q", line)
		}
		shard, err1 := strconv.Atoi(words[1])
		length, err2 := strconv.Atoi(words[3])
		if err := errors.Join(err1, err2); err != nil || length < 0 || length > len(rest) {
			return nil, fmt.Errorf("a part's line %.80q", line)
		}
		parts = append(parts, Part{ID: words[0], Shard: shard, Text: rest[:length]})
		body = rest[length:]
	}
	if len(parts) == 0 {
		return nil, errors.New("a call without parts")
	}
	return parts, nil
}

func (c *conn) send(letter byte, body string) {
	text := binary.LittleEndian.AppendUint32(make([]byte, 0, 5+len(body)), uint32(1+len(body)))
	text = append(append(text, letter), body...)
	c.write.Lock()
	defer c.write.Unlock()
	c.SetWriteDeadline(time.Now().Add(5 * time.Second)) // against one that does not read
	c.Write(text)
}

// answer ends a part on the wire.
func (c *conn) answer(id, end string, value []byte) {
	c.send('A', id+" "+end+" 1 -\n"+string(value))
}

// take takes the parts of a call. The call's own work is done with its first part.
func (s *Server) take(c *conn, parts []Part, brief bool) {
	s.mu.Lock()
	s.counts.Calls++
	extra := s.terms.CallWork
	var busy, failed []string
	for _, p := range parts {
		s.counts.Parts++
		if brief {
			s.counts.Briefs++
		}
		from, _, _ := strings.Cut(p.ID, "-")
		s.origin[from]++
		switch {
		case s.draining || s.terms.Queue > 0 && len(s.waiting) >= s.terms.Queue:
			s.counts.Busy++
			busy = append(busy, p.ID)
			s.see("came", p, brief, s.terms.Work)
		case s.failing > 0 && s.chance.Float64() < s.failing:
			s.counts.Failed++
			failed = append(failed, p.ID)
			s.see("came", p, brief, s.terms.Work)
			s.see("ran", p, brief, 0) // it may have
		default:
			t := &task{Part: p, on: c, came: time.Now(), work: extra + s.draw(brief), brief: brief}
			extra = 0
			c.tasks[p.ID] = t
			s.see("came", p, brief, t.work)
			s.waiting = append(s.waiting, t)
		}
	}
	s.next()
	s.mu.Unlock()
	for _, id := range busy {
		c.answer(id, "busy", nil)
	}
	for _, id := range failed {
		c.answer(id, "err", nil)
	}
}

// draw is the work of one part, lognormal by Box and Muller.
func (s *Server) draw(brief bool) float64 {
	work := s.terms.Work
	if brief {
		work = s.terms.Brief
	}
	if s.terms.Spread == 0 {
		return work
	}
	sigma2 := math.Log(1 + s.terms.Spread*s.terms.Spread)
	z := math.Sqrt(-2*math.Log(1-s.chance.Float64())) * math.Cos(2*math.Pi*s.chance.Float64())
	return work * math.Exp(math.Sqrt(sigma2)*z-sigma2/2)
}

// next begins work while cores are free. The lock is held.
func (s *Server) next() {
	for s.busy < s.terms.Cores && len(s.waiting) > 0 && !s.hung {
		t := s.waiting[0]
		s.waiting = s.waiting[1:]
		if t.off {
			continue
		}
		t.begun = true
		s.see("ran", t.Part, t.brief, t.work)
		s.busy++
		took := t.work * s.slow
		time.AfterFunc(time.Duration(took*1e6), func() { s.done(t, took) })
	}
}

// done ends a part's work.
func (s *Server) done(t *task, took float64) {
	s.mu.Lock()
	s.busy--
	s.counts.Worked += took
	s.next()
	alive := s.conns[t.on] && t.on.tasks[t.ID] == t && !t.off && !s.hung
	if alive {
		delete(t.on.tasks, t.ID)
		s.counts.Answered++
		s.took.RecordValue(time.Since(t.came).Microseconds())
	} else {
		s.counts.Wasted++
	}
	value := s.ran
	if t.brief {
		value = s.sums
		if s.garbled > 0 && s.chance.Float64() < s.garbled {
			value = func(Part) []byte { return []byte("some -3 7 v1") }
		}
	}
	s.mu.Unlock()
	if text := value(t.Part); alive {
		t.on.answer(t.ID, "ok", text)
	}
}

// giveUp takes a part off; work that has begun goes on. The lock is held.
func (s *Server) giveUp(t *task) {
	if !t.off {
		s.counts.GivenUp++
	}
	if t.off = true; s.terms.Keeps && !t.begun {
		t.off = false // it is worked on all the same, for nobody
	}
	delete(t.on.tasks, t.ID)
}
