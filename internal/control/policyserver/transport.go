package policyserver

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// streamLayer connects policy servers for raft. It implements raft.StreamLayer with the servers' names as addresses;
// each server's configuration maps the names to network addresses.
type streamLayer struct {
	net.Listener
	own       serverName
	addresses map[raft.ServerAddress]string

	mu       sync.Mutex
	accepted map[net.Conn]bool // open connections from peers; nil after disconnect
}

func newStreamLayer(c *Config, listener net.Listener) *streamLayer {
	addresses := make(map[raft.ServerAddress]string, len(c.Peers))
	for _, p := range c.Peers {
		addresses[raft.ServerAddress(p.Name)] = p.Raft
	}
	return &streamLayer{
		Listener:  listener,
		own:       serverName(c.Name),
		addresses: addresses,
		accepted:  map[net.Conn]bool{},
	}
}

// Accept waits for a connection from a peer.
func (s *streamLayer) Accept() (net.Conn, error) {
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

// disconnect closes all connections from peers, and makes Accept close later ones.
func (s *streamLayer) disconnect() {
	s.mu.Lock()
	accepted := s.accepted
	s.accepted = nil
	s.mu.Unlock()
	for conn := range accepted {
		conn.Close()
	}
}

// acceptedStream is a connection from a peer.
type acceptedStream struct {
	net.Conn
	streams *streamLayer
}

// Close closes the connection.
func (c *acceptedStream) Close() error {
	c.streams.mu.Lock()
	delete(c.streams.accepted, c)
	c.streams.mu.Unlock()
	return c.Conn.Close()
}

// serverName is a policy server's name. It implements net.Addr.
type serverName string

// Network returns the name of the address family.
func (n serverName) Network() string { return "steward" }

// String returns the name.
func (n serverName) String() string { return string(n) }

// Addr returns this server's name, which is its address for the other servers.
func (s *streamLayer) Addr() net.Addr { return s.own }

// Dial connects to a server by its name.
func (s *streamLayer) Dial(name raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	address, known := s.addresses[name]
	if !known {
		return nil, fmt.Errorf("no peer is named %s", name)
	}
	return net.DialTimeout("tcp", address, timeout)
}
