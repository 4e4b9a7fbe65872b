package socket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// States of a TCP connection, as the kernel numbers them.
const (
	stateEstablished = 1
	stateFinWait1    = 4
	stateFinWait2    = 5
	stateCloseWait   = 8
)

// Peer is what the kernel knows about the other end of a connection.
type Peer struct {
	// Connected is set until the other end has closed or reset the connection, even if bytes of it are still unread.
	Connected bool
	// Closed is set once the other end has closed the connection and this end has not.
	Closed bool
	// BytesReceived is how many bytes have arrived from it. Less than has been read shows that the kernel does not tell
	// about this connection, as on a platform that stands in for its sockets.
	BytesReceived uint64
	// SinceReceived is how long ago the last bytes arrived from it, whether they have been read or not.
	SinceReceived time.Duration
}

// ExaminePeer returns what the kernel knows about the other end of a connection. It returns false if the kernel does not
// tell, for instance because the connection is not a TCP socket.
func ExaminePeer(conn net.Conn) (peer Peer, ok bool) {
	sc, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return Peer{}, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Peer{}, false
	}
	err = raw.Control(func(fd uintptr) { peer, ok = ExaminePeerOf(int(fd)) })
	return peer, ok && err == nil
}

// ExaminePeerOf is ExaminePeer for a descriptor.
func ExaminePeerOf(fd int) (peer Peer, ok bool) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return Peer{}, false
	}
	return Peer{
		Connected:     info.State == stateEstablished || info.State == stateFinWait1 || info.State == stateFinWait2,
		Closed:        info.State == stateCloseWait,
		BytesReceived: info.Bytes_received,
		SinceReceived: time.Duration(info.Last_data_recv) * time.Millisecond,
	}, true
}
