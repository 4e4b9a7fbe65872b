package policyserver

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// namedStreams connects policy servers for raft. They address each other by name, and each one's configuration has
// its own addresses for the names.
type namedStreams struct {
	net.Listener
	own       serverName
	addresses map[raft.ServerAddress]string

	mu       sync.Mutex
	accepted map[net.Conn]bool // open connections of peers; nil once they are disconnected for good
}

func newNamedStreams(c *Config, listener net.Listener) *namedStreams {
	addresses := make(map[raft.ServerAddress]string, len(c.Peers))
	for _, p := range c.Peers {
		addresses[raft.ServerAddress(p.Name)] = p.Raft
	}
	return &namedStreams{
		Listener:  listener,
		own:       serverName(c.Name),
		addresses: addresses,
		accepted:  map[net.Conn]bool{},
	}
}

// Accept waits for a connection of a peer.
func (s *namedStreams) Accept() (net.Conn, error) {
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		open := s.accepted != nil
		stream := &acceptedStream{Conn: conn, streams: s}
		if open {
			s.accepted[stream] = true
		}
		s.mu.Unlock()
		if open {
			return stream, nil
		}
		conn.Close()
	}
}

// disconnect closes the connections of peers, and those that come.
func (s *namedStreams) disconnect() {
	s.mu.Lock()
	accepted := s.accepted
	s.accepted = nil
	s.mu.Unlock()
	for conn := range accepted {
		conn.Close()
	}
}

// acceptedStream is a connection of a peer.
type acceptedStream struct {
	net.Conn
	streams *namedStreams
}

// Close closes the connection.
func (c *acceptedStream) Close() error {
	c.streams.mu.Lock()
	delete(c.streams.accepted, c)
	c.streams.mu.Unlock()
	return c.Conn.Close()
}

// serverName is a policy server's name as a net.Addr.
type serverName string

// Network returns the name of the address family.
func (n serverName) Network() string { return "steward" }

// String returns the name.
func (n serverName) String() string { return string(n) }

// Addr returns this server's name, by which the others address it.
func (s *namedStreams) Addr() net.Addr { return s.own }

// Dial connects to a server by its name.
func (s *namedStreams) Dial(name raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	address, known := s.addresses[name]
	if !known {
		return nil, fmt.Errorf("no policy server is named %s", name)
	}
	return net.DialTimeout("tcp", address, timeout)
}
