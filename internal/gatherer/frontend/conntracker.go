package frontend

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"yokeroute/internal/socket"
)

const (
	// firstByteTimeout is how long a new connection may take to send its first byte. While more connections are open
	// than the limit allows, one that has taken longer is closed before those that have carried a request. Most clients
	// send shortly after connecting, but not at the same instant.
	firstByteTimeout = 200 * time.Millisecond

	// newConnGrace is how long a new connection is kept although no other one can be closed.
	newConnGrace = firstByteTimeout / 10

	// headroomDivisor is the number by which the limit is divided to get the number of connections that are tolerated
	// beyond it. As many may linger, and as many may be closed and still in use by their goroutines.
	headroomDivisor = 8

	// headroomUses is how many kinds of connections beyond the limit have the headroom each.
	headroomUses = 3
)

// headroom returns how many connections of each kind may be held beyond a limit.
func headroom(maxConns int) int { return maxConns/headroomDivisor + 1 }

// HeldConns returns how many connections a server may hold at once, including those that are being closed, if at most
// maxConns of them may carry a request. Each takes a descriptor.
func HeldConns(maxConns int) int { return maxConns + headroomUses*headroom(maxConns) }

// MaxConnsWithin returns the largest limit on connections that may carry a request with which at most held are held.
func MaxConnsWithin(held int) int {
	maxConns := held * headroomDivisor / (headroomDivisor + headroomUses)
	for maxConns > 1 && HeldConns(maxConns) > held {
		maxConns--
	}
	return max(maxConns, 1)
}

// connTracker limits the clients' connections, so that descriptors remain for shard servers and for the next client.
//
// Beyond the limit it closes one connection on which no request is being served, in this order of preference: one that
// has sent no complete request for firstByteTimeout; the one that has been idle longest; a new one. A new connection is
// always accepted first, even if it is then closed, since clients consider a request sent once it is written to an
// established connection.
type connTracker struct {
	maxUsed int // connections that have carried a request, active or idle

	mu             sync.Mutex
	maxOpen        int        // connections on which a request may arrive
	hardLimit      int        // all open connections; beyond it a new one is closed at once, so that descriptors do not run out
	held           int        // connections that are open, or closed and still in use by a goroutine
	room           *sync.Cond // signalled when held falls; uses mu
	listenerClosed bool       // nothing is accepted any more

	shuttingDown bool          // each connection is closed when it becomes idle
	allClosed    chan struct{} // closed once no connection is open; nil before the shutdown
	open         int
	unused       *list.List // have not carried a request yet, the oldest first
	idle         *list.List // between requests, the longest idle first
	active       *list.List // a request is arriving or being served
	entries      map[net.Conn]listEntry
	uncounted    map[net.Conn]bool // closed by the tracker, before net/http has reported them as closed

	lingering lingeringConns
}

// listEntry records which of the tracker's lists a connection is in, and since when.
type listEntry struct {
	list    *list.List
	element *list.Element
	since   time.Time
}

func newConnTracker(maxOpen, maxUsed int) *connTracker {
	c := &connTracker{
		maxUsed:   maxUsed,
		unused:    list.New(),
		idle:      list.New(),
		active:    list.New(),
		entries:   map[net.Conn]listEntry{},
		uncounted: map[net.Conn]bool{},
	}
	c.room = sync.NewCond(&c.mu)
	c.setMaxOpen(maxOpen)
	return c
}

// setMaxOpen sets the limits that follow from the number of connections on which a request may arrive. Connections
// beyond a smaller limit are closed as others come.
func (c *connTracker) setMaxOpen(maxOpen int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxOpen = maxOpen
	c.hardLimit = maxOpen + headroom(maxOpen)
	c.lingering.setLimit(headroom(maxOpen))
	c.room.Broadcast()
}

// awaitRoom waits until another connection may be held. Connections are closed at the limit, but their goroutines end
// only when they run: clients that connect again at once would otherwise make them pile up.
func (c *connTracker) awaitRoom() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.held >= HeldConns(c.maxOpen) && !c.listenerClosed {
		c.room.Wait()
	}
}

// stopAwaitingRoom ends awaitRoom, since the listener is closed.
func (c *connTracker) stopAwaitingRoom() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listenerClosed = true
	c.room.Broadcast()
}

// hold counts an accepted connection as held, until release is called.
func (c *connTracker) hold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held++
}

func (c *connTracker) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held--
	c.room.Signal()
}

// onStateChange is the http.Server's ConnState hook.
func (c *connTracker) onStateChange(conn net.Conn, state http.ConnState) {
	cc, isClientConn := conn.(*clientConn)
	ended := state == http.StateClosed || state == http.StateHijacked
	if isClientConn && (ended || state == http.StateIdle) {
		cc.turn.endRequest()
	}
	c.recordState(conn, state)
	if isClientConn && ended {
		cc.endRequests()
		cc.release()
	}
}

// recordState moves a connection to the list of its state, and closes connections beyond the limits.
func (c *connTracker) recordState(conn net.Conn, state http.ConnState) {
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
	if c.open-c.unused.Len() > c.maxUsed { // idle clients must not keep new ones from connecting
		c.closeOldest(c.idle, now)
	}
	if c.open > c.maxOpen {
		c.closeBeyondLimit(conn, state, now)
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
		c.closeIfNoRequest(conn)
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

// closeBeyondLimit closes the connection whose loss matters least. It closes the one whose state has just changed only
// if no other one can be closed.
func (c *connTracker) closeBeyondLimit(changed net.Conn, state http.ConnState, now time.Time) {
	cutoff := now.Add(-firstByteTimeout)
	switch {
	case c.closeOldest(c.unused, cutoff):
	case c.closeSlow(cutoff):
	case c.closeOldest(c.idle, now):
	case c.closeOldest(c.unused, now.Add(-newConnGrace)):
	case c.open <= c.hardLimit:
	case c.closeOldest(c.unused, now): // a client that has a request sends it at once and in one piece
	case c.closeSlow(now):
	case state == http.StateNew: // closed even if it has an unread request
		if cc, ok := changed.(*clientConn); ok {
			cc.closeNew()
		} else {
			changed.Close()
		}
		c.uncount(changed)
	}
}

// closeOldest closes the oldest connection that was added to a list no later than cutoff and on which no request is
// arriving or being served. It reports whether it closed one.
func (c *connTracker) closeOldest(conns *list.List, cutoff time.Time) bool {
	for e := conns.Front(); e != nil; e = e.Next() {
		conn := e.Value.(net.Conn)
		if c.entries[conn].since.After(cutoff) {
			return false
		}
		if c.closeIfNoRequest(conn) {
			return true
		}
	}
	return false
}

// closeSlow closes a connection on which an incomplete request has been arriving since before cutoff, because clients
// must not keep a connection by sending only part of a request. It reports whether it closed one.
func (c *connTracker) closeSlow(cutoff time.Time) bool {
	for _, conns := range []*list.List{c.unused, c.active, c.idle} {
		for e := conns.Front(); e != nil; e = e.Next() {
			if cc, ok := e.Value.(*clientConn); ok && cc.closeIfSlow(cutoff) {
				c.uncount(cc)
				return true
			}
		}
	}
	return false
}

// shutDown closes each connection when it is or becomes idle. Connections that have not carried a request yet may still
// do so until closeSilent is called. The returned channel is closed once no connection is open.
func (c *connTracker) shutDown() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shuttingDown = true
	c.allClosed = make(chan struct{})
	c.closeAllWithoutRequest(c.idle)
	c.notifyAllClosed()
	return c.allClosed
}

// closeSilent closes the connections on which nothing has arrived since they were established. shutDown must have been
// called.
func (c *connTracker) closeSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAllWithoutRequest(c.unused)
	c.notifyAllClosed()
}

// closeAllWithoutRequest closes the connections of a list on which no request is arriving or being served.
func (c *connTracker) closeAllWithoutRequest(conns *list.List) {
	for e := conns.Front(); e != nil; {
		next := e.Next()
		c.closeIfNoRequest(e.Value.(net.Conn))
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

// closeIfNoRequest closes a connection on which no request is arriving or being served. It reports whether it did.
func (c *connTracker) closeIfNoRequest(conn net.Conn) bool {
	if cc, ok := conn.(*clientConn); ok {
		if !cc.closeIfIdle() {
			return false
		}
	} else {
		if socket.HasUnreadBytes(conn) {
			return false
		}
		conn.Close()
	}
	c.uncount(conn)
	return true
}

// uncount removes a closed connection from the count, before net/http reports that it is closed.
func (c *connTracker) uncount(conn net.Conn) {
	c.removeEntry(conn)
	c.uncounted[conn] = true
	c.open--
}

// overloaded reports whether more requests are arriving or being served than the limit allows. Connections without a
// request do not count: even if they reach the limit, a request is served.
func (c *connTracker) overloaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active.Len() > c.maxOpen
}
