package frontend

import (
	"net"

	"yokeroute/internal/drainable"
	"yokeroute/internal/socket"
)

// maxSkippedAtOnce is how many connections that their clients have closed are dropped in a turn.
const maxSkippedAtOnce = 64

// trackingListener wraps each accepted TCP connection in a clientConn.
type trackingListener struct {
	*drainable.Listener
	tracker    *connTracker
	memory     *memoryLimiter
	turns      *turnQueue
	rejections *rejectionLog

	skipping turn // for dropping connections
}

// Accept implements net.Listener. It returns a connection once it has a turn, which lasts until the connection waits for
// bytes or is closed: connections must not be accepted faster than they are served. It drops those that their clients
// have closed by now. A client that connects and closes again and again would otherwise fill the queue of connections
// to accept.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		l.tracker.awaitRoom()
		c, err := l.Listener.Accept()
		for err == nil && closedByClient(c) {
			_ = c.Close()
			c = l.acceptNextOpen()
		}
		if err != nil {
			return nil, err
		}
		if c == nil { // wait for the next one
			continue
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		l.tracker.hold()
		conn := l.newConn(tcp)
		conn.turn.awaitLong()
		return conn, nil
	}
}

// closedByClient reports whether the client of a connection is known to have closed it.
func closedByClient(c net.Conn) bool {
	if c == nil {
		return false
	}
	peer, known := socket.ExaminePeer(c)
	return known && peer.Closed
}

// acceptNextOpen returns the next connection in the queue that its client has not closed, or nil if there is none.
func (l *trackingListener) acceptNextOpen() net.Conn {
	l.rejections.add(droppedClosed)
	l.skipping.awaitLong()
	defer l.skipping.end()
	c, err := l.AcceptQueued(func(fd int) bool {
		peer, known := socket.ExaminePeerOf(fd)
		return known && peer.Closed
	}, maxSkippedAtOnce)
	if err != nil { // Accept tries again
		return nil
	}
	return c
}

func (l *trackingListener) newConn(tcp *net.TCPConn) *clientConn {
	return &clientConn{
		TCPConn:    tcp,
		tracker:    l.tracker,
		rejections: l.rejections,
		lingerFor:  lingerTimeout,
		users:      1,
		head:       reservation{limiter: l.memory},
		turn:       turn{queue: l.turns},
	}
}
