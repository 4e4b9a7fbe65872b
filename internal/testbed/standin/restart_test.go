package standin

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"yokeroute/internal/testbed/standin/segmentserver"
	"yokeroute/internal/testbed/standin/shardserver"
)

// restartable is a stand-in that is killed and comes back.
type restartable interface {
	Address() string
	Kill()
	Restart() error
	Close()
}

// TestKilledServersKeepTheirPorts: while a stand-in is killed, its port is given to no other socket and refuses
// connections; it comes back at its address.
func TestKilledServersKeepTheirPorts(t *testing.T) {
	shard, err := shardserver.Start(shardserver.Config{Cores: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	host, err := segmentserver.NewHost("h", &segmentserver.SegmentLogs{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	target := NewShard(t)
	for name, server := range map[string]restartable{"shard server": shard, "segment host": host} {
		defer server.Close()
		address := server.Address()
		server.Kill()
		if c, err := net.Dial("tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("%s: %v, %v", name, c, err)
		}
		own, err := net.ResolveTCPAddr("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		other := net.Dialer{LocalAddr: own}
		if c, err := other.Dial("tcp", target.Address()); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("%s: another socket is given the port: %v, %v", name, c, err)
		}
		if err := server.Restart(); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		c.Close()
	}
}
