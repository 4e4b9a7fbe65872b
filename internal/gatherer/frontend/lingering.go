package frontend

import (
	"slices"
	"sync"
	"time"
)

// lingerTimeout is how long the server reads and discards what arrives on a connection that it has closed, before it
// releases the descriptor: the last bytes of the response and the next ones of the client may cross.
const lingerTimeout = 500 * time.Millisecond

// lingeringConns holds the connections that the server has closed but whose descriptors are not yet released.
type lingeringConns struct {
	mu    sync.Mutex
	limit int           // maximum number of connections lingering at once
	conns []*clientConn // the oldest first
	all   sync.WaitGroup
}

// setLimit sets the maximum number of connections lingering at once.
func (l *lingeringConns) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// add adds a connection. Beyond the limit it releases the oldest one.
func (l *lingeringConns) add(conn *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	l.all.Add(1)
	if len(l.conns) > l.limit {
		_ = l.conns[0].TCPConn.Close()
		l.conns = slices.Delete(l.conns, 0, 1)
	}
}

// remove removes a connection whose descriptor has been released.
func (l *lingeringConns) remove(conn *clientConn) {
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
