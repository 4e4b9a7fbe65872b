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

// Config are what a machine is like.
type Config struct {
	Cores              int
	MeanWork           float64 // milliseconds of one core that a part takes on average
	WorkVariation      float64 // standard deviation of that over the mean; the distribution is lognormal
	CallWork           float64 // milliseconds of one core that a call costs beside its parts
	QueueLimit         int     // parts that wait; further ones are turned away
	KeepsCancelledWork bool    // work goes on after a part was given up
	FirstPassWork      float64 // milliseconds of one core that a part of a first pass takes; 0 for a machine that knows no first passes
	Seed               uint64
}

// FirstPassExtension is how first passes are agreed on.
const FirstPassExtension = "two-phase 1"

// ShardRequest is one part of a call as it came.
type ShardRequest struct {
	ID      string // the lookup's name, a dot, the shard
	Shard   int
	Payload string
}

// Event is what became of a part at a server, for who checks what truly ran.
type Event struct {
	At   time.Time
	Kind string // came, ran, or started: the process, with no part
	ShardRequest
	FirstPass bool    // of a first pass
	Work      float64 // milliseconds of one core
}

// Counts are what a server was asked and did.
type Counts struct {
	Calls, Requests                int     // that came
	Answered, Rejected             int     // parts
	Failed, Cancelled              int     // parts
	FirstPassRequests              int     // parts of first passes that came; they count among the parts as well
	Handshakes                     int     // askings whether it knows first passes
	LoadReports                    int     // askings for its load
	Wasted                         int     // parts whose work was done though nobody waited for it any more
	WorkDone                       float64 // milliseconds of all cores together
	Connections, ConnectionsOpened int
}

// Server is one machine.
type Server struct {
	config  Config
	answer  func(ShardRequest) []byte
	summary func(ShardRequest) []byte // the value of a part of a first pass

	mu              sync.Mutex
	listener        net.Listener
	address         string
	random          *pcg.Source
	conns           map[*conn]bool
	queue           []*task
	busyCores       int
	slowdown        float64 // times that work takes
	failureShare    float64 // share of parts that fail at once
	garbledShare    float64 // share of first passes' parts that are answered by what can't be read
	draining        bool
	reportsLoad     bool    // it tells its load,
	reportedLatency float64 // and this as the latency of its calls
	hung            bool
	counts          Counts
	onEvent         func(Event)
	latencies       *hdrhistogram.Histogram // microseconds from a part's coming to its answer
	byOrigin        map[string]int          // parts by what stands before the first dash of their lookup's name
}

// task is a part that waits or is worked on.
type task struct {
	ShardRequest
	conn       *conn
	receivedAt time.Time
	work       float64
	firstPass  bool // of a first pass
	cancelled  bool
	started    bool
}

type conn struct {
	net.Conn
	server  *Server
	writeMu sync.Mutex
	tasks   map[string]*task
}

// Start starts a machine on a free port of loopback. Ran gives the value of a part when its work is done; nil
// gives the shard's number and the text.
func Start(terms Config, ran func(ShardRequest) []byte) (*Server, error) {
	if ran == nil {
		ran = func(p ShardRequest) []byte { return fmt.Appendf(nil, "%d:%s", p.Shard, p.Payload) }
	}
	some := func(ShardRequest) []byte { return []byte("some 1 1 v0") }
	s := &Server{config: terms, answer: ran, summary: some, random: pcg.New(terms.Seed), conns: map[*conn]bool{}, slowdown: 1, byOrigin: map[string]int{},
		latencies: hdrhistogram.New(1, 60_000_000, 3), address: "127.0.0.1:0"}
	return s, s.Restart()
}

// SetContent gives the machine's parts the values of a content, in first passes too.
func (s *Server) SetContent(c *Content) {
	s.update(func() { s.answer, s.summary = c.Answer, c.Summary })
}

// SetGarbledShare makes a share of the answers to first passes unreadable.
func (s *Server) SetGarbledShare(share float64) { s.update(func() { s.garbledShare = share }) }

// OnEvent has all that comes, runs and starts told, in its order; it must neither block nor call the server.
func (s *Server) OnEvent(seen func(Event)) { s.update(func() { s.onEvent = seen }) }

// notify tells what became of a part. The lock is held.
func (s *Server) notify(what string, p ShardRequest, brief bool, work float64) {
	if s.onEvent != nil {
		s.onEvent(Event{time.Now(), what, p, brief, work})
	}
}

// SetFirstPassWork makes it know first passes that take so much work, or none for 0: another build of it.
func (s *Server) SetFirstPassWork(brief float64) { s.update(func() { s.config.FirstPassWork = brief }) }

// ReportLoad makes it tell its load when it is asked: parts waiting, and what its calls took lately.
func (s *Server) ReportLoad(latency float64) {
	s.update(func() { s.reportsLoad, s.reportedLatency = true, latency })
}

// loadReport is its report.
func (s *Server) loadReport() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts.LoadReports++; !s.reportsLoad {
		return "-"
	}
	return fmt.Sprintf("queue=%d,latency_ms=%g", len(s.queue), s.reportedLatency)
}

// Restart starts a killed machine again at its old address.
func (s *Server) Restart() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.address = l, l.Addr().String()
	s.notify("started", ShardRequest{}, false, 0)
	s.mu.Unlock()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			c := &conn{Conn: nc, server: s, tasks: map[string]*task{}}
			s.mu.Lock()
			if s.listener != l {
				s.mu.Unlock()
				nc.Close()
				return
			}
			s.conns[c] = true
			s.counts.ConnectionsOpened++
			s.mu.Unlock()
			go c.serve()
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
	if s.listener == nil {
		return
	}
	s.listener.Close()
	s.listener = nil
	for c := range s.conns {
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
		for _, t := range c.tasks {
			t.cancelled = true
		}
	}
	s.conns, s.queue = map[*conn]bool{}, nil
}

// SetDraining lets it turn away what is new, or take it again.
func (s *Server) SetDraining(on bool) { s.update(func() { s.draining = on }) }

// SetHung lets it take parts and answer none, or go on.
func (s *Server) SetHung(on bool) { s.update(func() { s.hung = on }) }

// SetSlowdown makes all work that begins from now on take so many times as long.
func (s *Server) SetSlowdown(times float64) { s.update(func() { s.slowdown = times }) }

// SetFailureShare makes a share of the parts fail at once.
func (s *Server) SetFailureShare(share float64) { s.update(func() { s.failureShare = share }) }

func (s *Server) update(change func()) {
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

// RequestsByOrigin are its parts by what stands before the first dash of their lookup's name.
func (s *Server) RequestsByOrigin() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	of := map[string]int{}
	for name, n := range s.byOrigin {
		of[name] = n
	}
	return of
}

// TakeLatencies adds to a histogram the microseconds from each answered part's coming to its answer, and forgets them.
func (s *Server) TakeLatencies(into *hdrhistogram.Histogram) {
	s.mu.Lock()
	defer s.mu.Unlock()
	into.Merge(s.latencies)
	s.latencies.Reset()
}

// Close ends it.
func (s *Server) Close() { s.Kill() }

// maxFrameBytes bounds what one frame may hold.
const maxFrameBytes = 1 << 20

// serve takes frames until the connection ends.
func (c *conn) serve() {
	defer func() {
		c.server.mu.Lock()
		delete(c.server.conns, c)
		for _, t := range c.tasks {
			c.server.cancelTask(t)
		}
		c.server.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReaderSize(c, 32<<10)
	for {
		letter, body, err := ReadFrame(r)
		if err != nil {
			return
		}
		c.server.mu.Lock()
		speaks := c.server.config.FirstPassWork > 0
		if letter == 'H' {
			c.server.counts.Handshakes++
		}
		c.server.mu.Unlock()
		if (letter == 'S' || letter == 'H') && !speaks {
			letter = 0 // as one that has never heard of it
		}
		switch letter {
		case 'Q', 'S':
			parts, err := ParseShardRequests(body)
			if err != nil {
				c.send('E', err.Error())
				return
			}
			c.server.receive(c, parts, letter == 'S')
		case 'H':
			if body != FirstPassExtension {
				c.send('E', "an extension that is not known here")
				return
			}
			c.send('H', FirstPassExtension)
		case 'X':
			c.server.mu.Lock()
			if t := c.tasks[body]; t != nil {
				c.server.cancelTask(t)
			}
			c.server.mu.Unlock()
		case 'P':
			c.send('P', "ok")
		case 'L':
			c.send('L', c.server.loadReport())
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
	if n < 1 || n > maxFrameBytes {
		return 0, "", fmt.Errorf("a frame of %d bytes", n)
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(r, text); err != nil {
		return 0, "", err
	}
	return text[0], string(text[1:]), nil
}

// ParseShardRequests takes a call's body apart.
func ParseShardRequests(body string) (parts []ShardRequest, err error) {
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
		parts = append(parts, ShardRequest{ID: words[0], Shard: shard, Payload: rest[:length]})
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
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.SetWriteDeadline(time.Now().Add(5 * time.Second)) // against one that does not read
	c.Write(text)
}

// sendAnswer ends a part on the wire.
func (c *conn) sendAnswer(id, end string, value []byte) {
	c.send('A', id+" "+end+" 1 -\n"+string(value))
}

// receive takes the parts of a call. The call's own work is done with its first part.
func (s *Server) receive(c *conn, parts []ShardRequest, brief bool) {
	s.mu.Lock()
	s.counts.Calls++
	extra := s.config.CallWork
	var busy, failed []string
	for _, p := range parts {
		s.counts.Requests++
		if brief {
			s.counts.FirstPassRequests++
		}
		from, _, _ := strings.Cut(p.ID, "-")
		s.byOrigin[from]++
		switch {
		case s.draining || s.config.QueueLimit > 0 && len(s.queue) >= s.config.QueueLimit:
			s.counts.Rejected++
			busy = append(busy, p.ID)
			s.notify("came", p, brief, s.config.MeanWork)
		case s.failureShare > 0 && s.random.Float64() < s.failureShare:
			s.counts.Failed++
			failed = append(failed, p.ID)
			s.notify("came", p, brief, s.config.MeanWork)
			s.notify("ran", p, brief, 0) // it may have
		default:
			t := &task{ShardRequest: p, conn: c, receivedAt: time.Now(), work: extra + s.drawWork(brief), firstPass: brief}
			extra = 0
			c.tasks[p.ID] = t
			s.notify("came", p, brief, t.work)
			s.queue = append(s.queue, t)
		}
	}
	s.startTasks()
	s.mu.Unlock()
	for _, id := range busy {
		c.sendAnswer(id, "busy", nil)
	}
	for _, id := range failed {
		c.sendAnswer(id, "err", nil)
	}
}

// drawWork is the work of one part, lognormal by Box and Muller.
func (s *Server) drawWork(brief bool) float64 {
	work := s.config.MeanWork
	if brief {
		work = s.config.FirstPassWork
	}
	if s.config.WorkVariation == 0 {
		return work
	}
	sigma2 := math.Log(1 + s.config.WorkVariation*s.config.WorkVariation)
	z := math.Sqrt(-2*math.Log(1-s.random.Float64())) * math.Cos(2*math.Pi*s.random.Float64())
	return work * math.Exp(math.Sqrt(sigma2)*z-sigma2/2)
}

// startTasks begins work while cores are free. The lock is held.
func (s *Server) startTasks() {
	for s.busyCores < s.config.Cores && len(s.queue) > 0 && !s.hung {
		t := s.queue[0]
		s.queue = s.queue[1:]
		if t.cancelled {
			continue
		}
		t.started = true
		s.notify("ran", t.ShardRequest, t.firstPass, t.work)
		s.busyCores++
		took := t.work * s.slowdown
		time.AfterFunc(time.Duration(took*1e6), func() { s.finishTask(t, took) })
	}
}

// finishTask ends a part's work.
func (s *Server) finishTask(t *task, took float64) {
	s.mu.Lock()
	s.busyCores--
	s.counts.WorkDone += took
	s.startTasks()
	alive := s.conns[t.conn] && t.conn.tasks[t.ID] == t && !t.cancelled && !s.hung
	if alive {
		delete(t.conn.tasks, t.ID)
		s.counts.Answered++
		s.latencies.RecordValue(time.Since(t.receivedAt).Microseconds())
	} else {
		s.counts.Wasted++
	}
	value := s.answer
	if t.firstPass {
		value = s.summary
		if s.garbledShare > 0 && s.random.Float64() < s.garbledShare {
			value = func(ShardRequest) []byte { return []byte("some -3 7 v1") }
		}
	}
	s.mu.Unlock()
	if text := value(t.ShardRequest); alive {
		t.conn.sendAnswer(t.ID, "ok", text)
	}
}

// cancelTask takes a part off; work that has begun goes on. The lock is held.
func (s *Server) cancelTask(t *task) {
	if !t.cancelled {
		s.counts.Cancelled++
	}
	if t.cancelled = true; s.config.KeepsCancelledWork && !t.started {
		t.cancelled = false // it is worked on all the same, for nobody
	}
	delete(t.conn.tasks, t.ID)
}
