package processtest

import (
	"fmt"
	"net"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// reservedPort is a port of a loopback address that the kernel gives to no other socket that asks for any port. A
// socket is bound to it that does not listen: connections are refused unless something else listens there.
type reservedPort struct {
	socket  *os.File
	address string
}

// reservePort reserves a free port of a host, an IPv4 address. Other sockets may listen on it if they set SO_REUSEADDR,
// as those of net.Listen do.
func reservePort(host string) (*reservedPort, error) {
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	reserved := &reservedPort{socket: os.NewFile(uintptr(fd), "reserved port")}
	port, err := bindAnyPort(fd, ip)
	if err != nil {
		reserved.release()
		return nil, fmt.Errorf("reserve a port of %s: %w", host, err)
	}
	reserved.address = netip.AddrPortFrom(ip, port).String()
	return reserved, nil
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

// listen listens on the port.
func (r *reservedPort) listen() (net.Listener, error) { return net.Listen("tcp", r.address) }

// release gives the port back.
func (r *reservedPort) release() { r.socket.Close() }
