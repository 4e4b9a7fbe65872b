package frontend

import (
	"slices"
	"sync"
	"time"
)

// lingerTimeout is how long a connection that the server has closed is still read, and what comes is dropped, before
// its descriptor is released: the response's last bytes and the client's next ones may cross. net/http waits as long
// where it waits at all.
const lingerTimeout = 500 * time.Millisecond

// lingeringConns are the closed connections whose descriptors are still held.
type lingeringConns struct {
	limit int // of connections lingering at once

	mu    sync.Mutex
	conns []*clientConn // the oldest first
	all   sync.WaitGroup
}

// add counts a connection in. Beyond the limit the oldest one is released.
func (l *lingeringConns) add(conn *clientConn) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	l.all.Add(1)
	if len(l.conns) > l.limit {
		_ = l.conns[0].TCPConn.Close()
		l.conns = slices.Delete(l.conns, 0, 1)
	}
}

// remove counts a connection out whose descriptor is released.
func (l *lingeringConns) remove(conn *clientConn) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = slices.DeleteFunc(l.conns, func(other *clientConn) bool { return other == conn })
	l.all.Done()
}

// released returns a channel that is closed once no connection lingers.
func (l *lingeringConns) released() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		l.all.Wait()
		close(done)
	}()
	return done
}
