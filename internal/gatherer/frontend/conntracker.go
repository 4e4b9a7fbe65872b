package frontend

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// firstByteTimeout is how long a new connection has to send its first byte before it is closed ahead of those
	// that have carried a request. A usual client sends right after connecting, but not in the same moment.
	firstByteTimeout = 200 * time.Millisecond

	// newConnGrace is how long a new connection is spared where no other one can be closed.
	newConnGrace = firstByteTimeout / 10

	// headroomShare is one over the share of connections beyond the bound that is tolerated, open or lingering.
	headroomShare = 8
)

// connTracker bounds the clients' connections, so that descriptors are left for shard servers and for the next
// client.
//
// Beyond the bound it closes a connection on which no request is arriving: first one that has had its time to send
// something and did not, or has sent half of a request for as long; then the one idle longest; then a new one. No
// connection is left waiting unaccepted, since what is written to such a one counts as taken.
type connTracker struct {
	maxOpen   int // connections on which a request may arrive
	maxUsed   int // connections that have carried a request, active or idle
	hardLimit int // of all; beyond it a new connection is closed at once, against running out of descriptors

	mu           sync.Mutex
	shuttingDown bool          // each connection is closed once it is idle
	allClosed    chan struct{} // closed once none is open; nil before the shutdown
	open         int
	unused       *list.List // have not carried a request yet, by age
	idle         *list.List // by the end of their last request
	active       *list.List // a request is arriving or being served
	entries      map[net.Conn]listEntry
	uncounted    map[net.Conn]bool // closed here, and not yet noticed by net/http

	lingering lingeringConns
}

// listEntry is a connection's place in one of the tracker's lists.
type listEntry struct {
	list    *list.List
	element *list.Element
	since   time.Time
}

func newConnTracker(maxOpen, maxUsed int) *connTracker {
	headroom := maxOpen/headroomShare + 1
	return &connTracker{
		maxOpen:   maxOpen,
		maxUsed:   maxUsed,
		hardLimit: maxOpen + headroom,
		unused:    list.New(),
		idle:      list.New(),
		active:    list.New(),
		entries:   map[net.Conn]listEntry{},
		uncounted: map[net.Conn]bool{},
		lingering: lingeringConns{limit: headroom},
	}
}

// onStateChange is the http.Server's ConnState hook.
func (c *connTracker) onStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeEntry(conn)
	switch state {
	case http.StateNew:
		c.open++
		c.addEntry(c.unused, conn)
	case http.StateActive:
		if !c.uncounted[conn] {
			c.addEntry(c.active, conn)
		}
	case http.StateIdle:
		c.onIdle(conn)
	case http.StateClosed, http.StateHijacked:
		if !c.uncounted[conn] {
			c.open--
		}
		delete(c.uncounted, conn)
	}
	if c.shuttingDown {
		c.notifyAllClosed()
	}
	now := time.Now()
	if c.open-c.unused.Len() > c.maxUsed { // against clients that hold what they do not use while others find no room
		c.closeOldest(c.idle, now)
	}
	if c.open > c.maxOpen {
		c.closeBeyondBound(conn, state, now)
	}
}

func (c *connTracker) onIdle(conn net.Conn) {
	if cc, ok := conn.(*clientConn); ok {
		cc.markIdle()
	}
	if c.uncounted[conn] {
		return
	}
	c.addEntry(c.idle, conn)
	if c.shuttingDown {
		c.closeIfUnused(conn)
	}
}

func (c *connTracker) addEntry(to *list.List, conn net.Conn) {
	c.entries[conn] = listEntry{to, to.PushBack(conn), time.Now()}
}

func (c *connTracker) removeEntry(conn net.Conn) {
	if entry, listed := c.entries[conn]; listed {
		entry.list.Remove(entry.element)
		delete(c.entries, conn)
	}
}

// closeBeyondBound closes the connection that can best be spared, the one whose state has just changed only where
// there is no other.
func (c *connTracker) closeBeyondBound(changed net.Conn, state http.ConnState, now time.Time) {
	slow := now.Add(-firstByteTimeout)
	switch {
	case c.closeOldest(c.unused, slow):
	case c.closeSlow(slow):
	case c.closeOldest(c.idle, now):
	case c.closeOldest(c.unused, now.Add(-newConnGrace)):
	case c.open <= c.hardLimit:
	case c.closeOldest(c.unused, now): // a client that has a request sends it at once, and in one piece
	case c.closeSlow(now):
	case state == http.StateNew: // whatever it has sent
		changed.Close()
		c.uncount(changed)
	}
}

// closeOldest closes the oldest connection of a list that is there since before a time and on which nothing has come
// that is not read yet. It reports whether there is one.
func (c *connTracker) closeOldest(of *list.List, before time.Time) bool {
	for e := of.Front(); e != nil; e = e.Next() {
		conn := e.Value.(net.Conn)
		if c.entries[conn].since.After(before) {
			return false
		}
		if c.closeIfUnused(conn) {
			return true
		}
	}
	return false
}

// closeSlow closes a connection on which a request has been arriving since before a time and is not complete, against
// clients that send half of one to hold their place. It reports whether there is one.
func (c *connTracker) closeSlow(before time.Time) bool {
	for _, of := range []*list.List{c.unused, c.active, c.idle} {
		for e := of.Front(); e != nil; e = e.Next() {
			if cc, ok := e.Value.(*clientConn); ok && cc.closeIfSlow(before) {
				c.uncount(cc)
				return true
			}
		}
	}
	return false
}

// shutDown closes each connection once it is idle; those that have not carried a request yet may still do so,
// until closeSilent. The channel is closed once none is open.
func (c *connTracker) shutDown() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shuttingDown = true
	c.allClosed = make(chan struct{})
	c.closeAllUnused(c.idle)
	c.notifyAllClosed()
	return c.allClosed
}

// closeSilent closes the connections on which nothing has come since they were made. shutDown has been
// called.
func (c *connTracker) closeSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAllUnused(c.unused)
	c.notifyAllClosed()
}

// closeAllUnused closes the connections of a list on which no request is arriving.
func (c *connTracker) closeAllUnused(of *list.List) {
	for e := of.Front(); e != nil; {
		next := e.Next()
		c.closeIfUnused(e.Value.(net.Conn))
		e = next
	}
}

// notifyAllClosed closes allClosed once no connection is open.
func (c *connTracker) notifyAllClosed() {
	select {
	case <-c.allClosed:
	default:
		if c.open == 0 {
			close(c.allClosed)
		}
	}
}

// closeIfUnused closes a connection on which no request is arriving or being served. It reports whether it did.
func (c *connTracker) closeIfUnused(conn net.Conn) bool {
	if cc, ok := conn.(*clientConn); ok {
		if !cc.closeIfIdle() {
			return false
		}
	} else {
		if hasUnreadBytes(conn) {
			return false
		}
		conn.Close()
	}
	c.uncount(conn)
	return true
}

// uncount takes a closed connection out of the count, before net/http notices that it is closed.
func (c *connTracker) uncount(conn net.Conn) {
	c.removeEntry(conn)
	c.uncounted[conn] = true
	c.open--
}

// overloaded reports whether too many requests are arriving or being served. Connections without a request do not
// count: where they fill the bound, a request is served all the same.
func (c *connTracker) overloaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active.Len() > c.maxOpen
}

// hasUnreadBytes reports whether bytes wait on a connection that nobody has read yet, without reading them.
func hasUnreadBytes(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
