package front

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// conns keeps the clients' connections within their bound, so that shard servers can still be reached. It
// closes the one that has been idle longest, as clients expect of a connection between requests, and never
// leaves one waiting unaccepted: what is written to such a one counts as taken.
type conns struct {
	most int

	mu     sync.Mutex
	open   int
	idle   *list.List
	at     map[net.Conn]*list.Element
	closed map[net.Conn]bool // by us, and no longer counted, though net/http has not noticed yet
}

func newConns(most int) *conns {
	return &conns{most: most, idle: list.New(), at: map[net.Conn]*list.Element{}, closed: map[net.Conn]bool{}}
}

// state is the hook that net/http calls at each change of a connection.
func (c *conns) state(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.at[conn]; e != nil {
		c.idle.Remove(e)
		delete(c.at, conn)
	}
	switch state {
	case http.StateNew:
		c.open++
	case http.StateIdle:
		if !c.closed[conn] {
			c.at[conn] = c.idle.PushBack(conn)
		}
	case http.StateClosed, http.StateHijacked:
		if !c.closed[conn] {
			c.open--
		}
		delete(c.closed, conn)
	}
	if first := c.idle.Front(); c.open > c.most && first != nil {
		oldest := c.idle.Remove(first).(net.Conn)
		delete(c.at, oldest)
		c.closed[oldest] = true
		c.open--
		oldest.Close()
	}
}

// crowded reports whether there are too many though none is idle.
func (c *conns) crowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open > c.most
}
