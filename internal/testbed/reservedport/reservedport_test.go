package reservedport

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// onlyPort restricts the ports that the kernel may choose from, for a socket that asks for any, to a single one.
func onlyPort(port uint16) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failure error
		err := c.Control(func(fd uintptr) {
			lowestAndHighest := int(port)<<16 | int(port)
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_LOCAL_PORT_RANGE, lowestAndHighest)
		})
		return errors.Join(err, failure)
	}
}

// TestReservedPortIsGivenToNoOtherSocket: of a listener and a connection that ask for any port, neither is given a
// reserved one, and its owner can listen on it, again and again. A port that was merely found free goes to either.
func TestReservedPortIsGivenToNoOtherSocket(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	port, err := Reserve("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	number := netip.MustParseAddrPort(port.Address()).Port()
	listener := net.ListenConfig{Control: onlyPort(number)}
	dialer := net.Dialer{Control: onlyPort(number)}
	for range 3 {
		if l, err := listener.Listen(t.Context(), "tcp", "127.0.0.1:0"); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("a listener is given the port: %v, %v", l, err)
		}
		if c, err := dialer.Dial("tcp", target.Addr().String()); !errors.Is(err, syscall.EADDRNOTAVAIL) {
			t.Errorf("a connection is given the port: %v, %v", c, err)
		}
		own, err := port.Listen()
		if err != nil {
			t.Fatal(err)
		}
		own.Close()
	}
	port.Release()
	l, err := listener.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("once it is released: %v", err)
	}
	l.Close()
	c, err := dialer.Dial("tcp", target.Addr().String())
	if err != nil {
		t.Fatalf("once it is released: %v", err)
	}
	c.Close()
}

// TestReserveRefusesWhatIsNoAddress: a host that is no IPv4 address of this machine is an error.
func TestReserveRefusesWhatIsNoAddress(t *testing.T) {
	for _, host := range []string{"", "localhost", "::1", "192.0.2.1"} {
		if port, err := Reserve(host); err == nil {
			t.Errorf("%q: %s", host, port.Address())
		}
	}
}
