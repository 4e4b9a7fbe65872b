// Package socket examines the sockets of connections.
package socket

import (
	"net"
	"syscall"
)

// HasUnreadBytes reports whether bytes have arrived on a connection that were not read yet, without consuming them. It
// returns false for a connection that is no socket.
func HasUnreadBytes(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
