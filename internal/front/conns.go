package front

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// conns keeps the clients' connections within their bound, so that shard servers can still be reached and no
// descriptor is missing for the next client. Where there are too many it closes one on which nothing is asked:
// first one that has had its time to say something and did not, then one that has asked before, the longest
// first, and one that is new only after them. None is left waiting unaccepted: what is written to such a one
// counts as taken.
type conns struct {
	most int // on which something may be asked
	kept int // that have asked, in use or idle; clients get no more than a third of all, the idle ones included
	full int // all told; above it what comes is closed at once, against running out of descriptors

	mu     sync.Mutex
	open   int
	fresh  *list.List // have not asked yet, by age
	idle   *list.List // have, by the end of their last request
	at     map[net.Conn]place
	closed map[net.Conn]bool // by us, and no longer counted, though net/http has not noticed yet
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
	return &conns{most: most, kept: kept, full: most + most/8 + 1, fresh: list.New(), idle: list.New(), at: map[net.Conn]place{},
		closed: map[net.Conn]bool{}}
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
	case http.StateIdle:
		if !c.closed[conn] {
			c.at[conn] = place{c.idle, c.idle.PushBack(conn), time.Now()}
		}
	case http.StateClosed, http.StateHijacked:
		if !c.closed[conn] {
			c.open--
		}
		delete(c.closed, conn)
	}
	now := time.Now()
	if c.open-c.fresh.Len() > c.kept { // against clients that hold what they no longer use, while others find no room
		c.makeRoom(c.idle, now)
	}
	if c.open <= c.most {
		return
	}
	switch {
	case c.makeRoom(c.fresh, now.Add(-firstByteTimeout)), c.makeRoom(c.idle, now), c.makeRoom(c.fresh, now.Add(-firstByteTimeout/10)):
	case state == http.StateNew && c.open > c.full:
		c.close(conn)
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
		if !asked(conn) {
			c.close(conn)
			return true
		}
	}
	return false
}

func (c *conns) close(conn net.Conn) {
	if p, waits := c.at[conn]; waits {
		p.in.Remove(p.e)
		delete(c.at, conn)
	}
	c.closed[conn] = true
	c.open--
	conn.Close()
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

// crowded reports whether there are too many though nothing could be closed.
func (c *conns) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open > c.most
}
