package frontend

import (
	"container/list"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// conns keeps the clients' connections within their bound, so that shard servers can still be reached and no
// descriptor is missing for the next client. Where there are too many it closes one on which nothing is asked:
// first one that has had its time to say something and did not, then one that has asked before, the longest
// first, and one that is new only after them; one that sends half a request goes as one that says nothing. None is
// left waiting unaccepted: what is written to such a one counts as taken.
type conns struct {
	most int // on which something may be asked
	kept int // that have asked, in use or idle; clients get no more than a third of all, the idle ones included
	full int // all told; above it what comes is closed at once, against running out of descriptors

	mu     sync.Mutex
	leave  bool          // each is ended once it rests
	none   chan struct{} // closed once none is open, while somebody waits for that
	open   int
	fresh  *list.List // have not asked yet, by age
	idle   *list.List // have, by the end of their last request
	active *list.List // a request is arriving or in hand
	at     map[net.Conn]place
	closed map[net.Conn]bool // by us, and no longer counted, though net/http has not noticed yet

	lingering sync.Mutex
	ending    []*clientConn  // ended, and not yet let go of, the oldest first
	spare     int            // of them at once
	held      sync.WaitGroup // as many
}

type place struct {
	in   *list.List
	e    *list.Element
	from time.Time
}

// firstByteTimeout is how long a new connection has to say something before it goes ahead of those that have asked. A
// usual client asks as soon as it is connected, but not in the same moment: closing new ones at once failed a
// fifth of all lookups where idle connections took up the bound.
const firstByteTimeout = 200 * time.Millisecond

func newConns(most, kept int) *conns {
	spare := most/8 + 1
	return &conns{most: most, kept: kept, full: most + spare, spare: spare, fresh: list.New(), idle: list.New(), active: list.New(),
		at: map[net.Conn]place{}, closed: map[net.Conn]bool{}}
}

// state is the hook that net/http calls at each change of a connection.
func (c *conns) state(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, waits := c.at[conn]; waits {
		p.in.Remove(p.e)
		delete(c.at, conn)
	}
	switch state {
	case http.StateNew:
		c.open++
		c.at[conn] = place{c.fresh, c.fresh.PushBack(conn), time.Now()}
	case http.StateActive:
		if !c.closed[conn] {
			c.at[conn] = place{c.active, c.active.PushBack(conn), time.Now()}
		}
	case http.StateIdle:
		if cc, ok := conn.(*clientConn); ok {
			cc.rest()
		}
		if !c.closed[conn] {
			c.at[conn] = place{c.idle, c.idle.PushBack(conn), time.Now()}
			if c.leave {
				c.close(conn)
			}
		}
	case http.StateClosed, http.StateHijacked:
		if !c.closed[conn] {
			c.open--
		}
		delete(c.closed, conn)
	}
	if c.leave {
		c.left()
	}
	now := time.Now()
	if c.open-c.fresh.Len() > c.kept { // against clients that hold what they no longer use, while others find no room
		c.makeRoom(c.idle, now)
	}
	if c.open <= c.most {
		return
	}
	switch slow := now.Add(-firstByteTimeout); {
	case c.makeRoom(c.fresh, slow), c.endSlow(slow), c.makeRoom(c.idle, now), c.makeRoom(c.fresh, now.Add(-firstByteTimeout/10)):
	case c.open <= c.full:
	// The oldest that has not said a word, then the oldest whose request is not whole: who asks does so in the moment it
	// comes, and all at once.
	case c.makeRoom(c.fresh, now), c.endSlow(now):
	case state == http.StateNew: // whatever it has sent
		conn.Close()
		c.drop(conn)
	}
}

// makeRoom closes the connection that has waited longest, if since before that time, but none on which something
// has come that is not read yet.
func (c *conns) makeRoom(in *list.List, before time.Time) bool {
	for e := in.Front(); e != nil; e = e.Next() {
		conn := e.Value.(net.Conn)
		if c.at[conn].from.After(before) {
			return false
		}
		if c.close(conn) {
			return true
		}
	}
	return false
}

// endSlow closes a connection on which a request has been arriving since before that time and is not whole, against
// clients that send half of one and hold their place.
func (c *conns) endSlow(before time.Time) bool {
	for _, in := range []*list.List{c.fresh, c.active, c.idle} {
		for e := in.Front(); e != nil; e = e.Next() {
			if cc, ok := e.Value.(*clientConn); ok && cc.endSlow(before) {
				c.drop(cc)
				return true
			}
		}
	}
	return false
}

// quit ends each connection once it rests; those that have not asked yet may still do so. It gives what is closed once
// none is open.
func (c *conns) quit() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leave, c.none = true, make(chan struct{})
	for e := c.idle.Front(); e != nil; {
		next := e.Next()
		c.close(e.Value.(net.Conn))
		e = next
	}
	c.left()
	return c.none
}

// left tells who waits for it that none is open any more.
func (c *conns) left() {
	select {
	case <-c.none:
	default:
		if c.open == 0 {
			close(c.none)
		}
	}
}

// lingers notes a connection that is ended and whose descriptor is still held; where too many are, the oldest has
// lingered long enough.
func (c *conns) lingers(conn *clientConn) {
	if c == nil {
		return
	}
	c.lingering.Lock()
	defer c.lingering.Unlock()
	c.ending = append(c.ending, conn)
	c.held.Add(1)
	if len(c.ending) > c.spare {
		c.ending[0].TCPConn.Close()
		c.ending = slices.Delete(c.ending, 0, 1)
	}
}

func (c *conns) let(conn *clientConn) {
	if c == nil {
		return
	}
	c.lingering.Lock()
	defer c.lingering.Unlock()
	c.ending = slices.DeleteFunc(c.ending, func(other *clientConn) bool { return other == conn })
	c.held.Done()
}

// lingered gives what is closed once each connection that was ended has let go of its descriptor.
func (c *conns) lingered() <-chan struct{} {
	all := make(chan struct{})
	go func() {
		c.held.Wait()
		close(all)
	}()
	return all
}

// close ends a connection on which nothing is asked; false where something is.
func (c *conns) close(conn net.Conn) bool {
	if cc, ok := conn.(*clientConn); ok {
		if !cc.endResting() {
			return false
		}
	} else {
		if asked(conn) {
			return false
		}
		conn.Close()
	}
	c.drop(conn)
	return true
}

// drop no longer counts a connection that was ended.
func (c *conns) drop(conn net.Conn) {
	if p, waits := c.at[conn]; waits {
		p.in.Remove(p.e)
		delete(c.at, conn)
	}
	c.closed[conn] = true
	c.open--
}

// asked reports whether bytes have come on a connection that nobody has read yet, without reading them.
func asked(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// crowded reports whether too many requests are arriving or in hand. Connections that have not got so far do not count:
// where they fill the bound, who asks is served all the same.
func (c *conns) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active.Len() > c.most
}
