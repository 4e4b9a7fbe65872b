package policyserver

import (
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/raft"
)

// namedStreams connects policy servers for raft. They address each other by name, and each one's configuration has
// its own addresses for the names.
type namedStreams struct {
	net.Listener
	own       serverName
	addresses map[raft.ServerAddress]string
}

func newNamedStreams(c *Config, listener net.Listener) namedStreams {
	addresses := make(map[raft.ServerAddress]string, len(c.Peers))
	for _, p := range c.Peers {
		addresses[raft.ServerAddress(p.Name)] = p.Raft
	}
	return namedStreams{Listener: listener, own: serverName(c.Name), addresses: addresses}
}

// serverName is a policy server's name as a net.Addr.
type serverName string

// Network returns the name of the address family.
func (n serverName) Network() string { return "steward" }

// String returns the name.
func (n serverName) String() string { return string(n) }

// Addr returns this server's name, by which the others address it.
func (s namedStreams) Addr() net.Addr { return s.own }

// Dial connects to a server by its name.
func (s namedStreams) Dial(name raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	address, known := s.addresses[name]
	if !known {
		return nil, fmt.Errorf("no policy server is named %s", name)
	}
	return net.DialTimeout("tcp", address, timeout)
}
