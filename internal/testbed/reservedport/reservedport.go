// Package reservedport reserves ports of loopback addresses for processes that listen on them later, or again.
package reservedport

import (
	"fmt"
	"net"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// Port is a port of a loopback address that the kernel gives to no other socket that asks for any port. A socket is
// bound to it that does not listen: connections are refused unless something else listens there.
type Port struct {
	socket  *os.File
	address string
}

// Reserve reserves a free port of a host, an IPv4 address. Other sockets may listen on it if they set SO_REUSEADDR, as
// those of net.Listen do.
func Reserve(host string) (*Port, error) {
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return nil, err
	}
	if !ip.Is4() {
		return nil, fmt.Errorf("reserve a port: %s is no IPv4 address", host)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	reserved := &Port{socket: os.NewFile(uintptr(fd), "reserved port")}
	port, err := bindAnyPort(fd, ip)
	if err != nil {
		reserved.Release()
		return nil, fmt.Errorf("reserve a port of %s: %w", host, err)
	}
	reserved.address = netip.AddrPortFrom(ip, port).String()
	return reserved, nil
}

// Test is what ForTest needs of a test: testing.T has it, and programs of the testbed don't link package testing.
type Test interface {
	Helper()
	Fatal(args ...any)
	Cleanup(f func())
}

// ForTest reserves a port of 127.0.0.1 until a test has ended, and returns its address.
func ForTest(t Test) (address string) {
	t.Helper()
	port, err := Reserve("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(port.Release)
	return port.Address()
}

// bindAnyPort binds a socket to a free port and returns it.
func bindAnyPort(fd int, ip netip.Addr) (port uint16, err error) {
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return 0, os.NewSyscallError("setsockopt", err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: ip.As4()}); err != nil {
		return 0, os.NewSyscallError("bind", err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return 0, os.NewSyscallError("getsockname", err)
	}
	return uint16(bound.(*unix.SockaddrInet4).Port), nil
}

// Address is the address with the port.
func (p *Port) Address() string { return p.address }

// Listen listens on the port.
func (p *Port) Listen() (net.Listener, error) { return net.Listen("tcp", p.address) }

// Release gives the port back.
func (p *Port) Release() { p.socket.Close() }
