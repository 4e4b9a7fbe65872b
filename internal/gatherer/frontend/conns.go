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

// connTracker keeps the clients' connections within their bound, so that shard servers can still be reached and no
// descriptor is missing for the next client. Where there are too many it closes one on which nothing is asked:
// first one that has had its time to say something and did not, then one that has asked before, the longest
// first, and one that is new only after them; one that sends half a request goes as one that says nothing. None is
// left waiting unaccepted: what is written to such a one counts as taken.
type connTracker struct {
	maxOpen   int // on which something may be asked
	maxUsed   int // that have asked, in use or idle; clients get no more than a third of all, the idle ones included
	hardLimit int // all told; above it what comes is closed at once, against running out of descriptors

	mu           sync.Mutex
	shuttingDown bool          // each is ended once it rests
	allClosed    chan struct{} // closed once none is open, while somebody waits for that
	open         int
	unused       *list.List // have not asked yet, by age
	idle         *list.List // have, by the end of their last request
	active       *list.List // a request is arriving or in hand
	entries      map[net.Conn]listEntry
	uncounted    map[net.Conn]bool // by us, and no longer counted, though net/http has not noticed yet

	lingerMu     sync.Mutex
	lingering    []*clientConn  // ended, and not yet let go of, the oldest first
	maxLingering int            // of them at once
	lingerGroup  sync.WaitGroup // as many
}

type listEntry struct {
	list    *list.List
	element *list.Element
	since   time.Time
}

// firstByteTimeout is how long a new connection has to say something before it goes ahead of those that have asked. A
// usual client asks as soon as it is connected, but not in the same moment: closing new ones at once failed a
// fifth of all lookups where idle connections took up the bound.
const firstByteTimeout = 200 * time.Millisecond

func newConnTracker(most, kept int) *connTracker {
	spare := most/8 + 1
	return &connTracker{maxOpen: most, maxUsed: kept, hardLimit: most + spare, maxLingering: spare, unused: list.New(), idle: list.New(), active: list.New(),
		entries: map[net.Conn]listEntry{}, uncounted: map[net.Conn]bool{}}
}

// onStateChange is the hook that net/http calls at each change of a connection.
func (c *connTracker) onStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, waits := c.entries[conn]; waits {
		p.list.Remove(p.element)
		delete(c.entries, conn)
	}
	switch state {
	case http.StateNew:
		c.open++
		c.entries[conn] = listEntry{c.unused, c.unused.PushBack(conn), time.Now()}
	case http.StateActive:
		if !c.uncounted[conn] {
			c.entries[conn] = listEntry{c.active, c.active.PushBack(conn), time.Now()}
		}
	case http.StateIdle:
		if cc, ok := conn.(*clientConn); ok {
			cc.markIdle()
		}
		if !c.uncounted[conn] {
			c.entries[conn] = listEntry{c.idle, c.idle.PushBack(conn), time.Now()}
			if c.shuttingDown {
				c.closeIfUnused(conn)
			}
		}
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
	if c.open-c.unused.Len() > c.maxUsed { // against clients that hold what they no longer use, while others find no room
		c.closeOldest(c.idle, now)
	}
	if c.open <= c.maxOpen {
		return
	}
	switch slow := now.Add(-firstByteTimeout); {
	case c.closeOldest(c.unused, slow), c.closeSlow(slow), c.closeOldest(c.idle, now), c.closeOldest(c.unused, now.Add(-firstByteTimeout/10)):
	case c.open <= c.hardLimit:
	// The oldest that has not said a word, then the oldest whose request is not whole: who asks does so in the moment it
	// comes, and all at once.
	case c.closeOldest(c.unused, now), c.closeSlow(now):
	case state == http.StateNew: // whatever it has sent
		conn.Close()
		c.uncount(conn)
	}
}

// closeOldest closes the connection that has waited longest, if since before that time, but none on which something
// has come that is not read yet.
func (c *connTracker) closeOldest(in *list.List, before time.Time) bool {
	for e := in.Front(); e != nil; e = e.Next() {
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

// closeSlow closes a connection on which a request has been arriving since before that time and is not whole, against
// clients that send half of one and hold their place.
func (c *connTracker) closeSlow(before time.Time) bool {
	for _, in := range []*list.List{c.unused, c.active, c.idle} {
		for e := in.Front(); e != nil; e = e.Next() {
			if cc, ok := e.Value.(*clientConn); ok && cc.closeIfSlow(before) {
				c.uncount(cc)
				return true
			}
		}
	}
	return false
}

// shutDown ends each connection once it rests; those that have not asked yet may still do so. It gives what is closed once
// none is open.
func (c *connTracker) shutDown() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shuttingDown, c.allClosed = true, make(chan struct{})
	for e := c.idle.Front(); e != nil; {
		next := e.Next()
		c.closeIfUnused(e.Value.(net.Conn))
		e = next
	}
	c.notifyAllClosed()
	return c.allClosed
}

// notifyAllClosed tells who waits for it that none is open any more.
func (c *connTracker) notifyAllClosed() {
	select {
	case <-c.allClosed:
	default:
		if c.open == 0 {
			close(c.allClosed)
		}
	}
}

// addLingering notes a connection that is ended and whose descriptor is still held; where too many are, the oldest has
// lingered long enough.
func (c *connTracker) addLingering(conn *clientConn) {
	if c == nil {
		return
	}
	c.lingerMu.Lock()
	defer c.lingerMu.Unlock()
	c.lingering = append(c.lingering, conn)
	c.lingerGroup.Add(1)
	if len(c.lingering) > c.maxLingering {
		c.lingering[0].TCPConn.Close()
		c.lingering = slices.Delete(c.lingering, 0, 1)
	}
}

func (c *connTracker) removeLingering(conn *clientConn) {
	if c == nil {
		return
	}
	c.lingerMu.Lock()
	defer c.lingerMu.Unlock()
	c.lingering = slices.DeleteFunc(c.lingering, func(other *clientConn) bool { return other == conn })
	c.lingerGroup.Done()
}

// lingeringDone gives what is closed once each connection that was ended has let go of its descriptor.
func (c *connTracker) lingeringDone() <-chan struct{} {
	all := make(chan struct{})
	go func() {
		c.lingerGroup.Wait()
		close(all)
	}()
	return all
}

// closeIfUnused ends a connection on which nothing is asked; false where something is.
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

// uncount no longer counts a connection that was ended.
func (c *connTracker) uncount(conn net.Conn) {
	if p, waits := c.entries[conn]; waits {
		p.list.Remove(p.element)
		delete(c.entries, conn)
	}
	c.uncounted[conn] = true
	c.open--
}

// hasUnreadBytes reports whether bytes have come on a connection that nobody has read yet, without reading them.
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
	raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// overloaded reports whether too many requests are arriving or in hand. Connections that have not got so far do not count:
// where they fill the bound, who asks is served all the same.
func (c *connTracker) overloaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active.Len() > c.maxOpen
}
