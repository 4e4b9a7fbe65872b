package socket

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// discarded is where discarded bytes may go. One buffer suffices for all connections, as nothing reads it.
var discarded struct {
	sync.Mutex
	buf [64 << 10]byte
}

// Discard reads and discards what has arrived on a connection, up to about limit bytes, without waiting. It reports
// whether the other end has closed or reset the connection. It returns false for a connection that is no socket.
func Discard(conn net.Conn, limit int) (ended bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true // closed by this end
	}
	err = raw.Control(func(fd uintptr) { ended = discard(int(fd), limit) })
	return ended || err != nil
}

func discard(fd, limit int) (ended bool) {
	discarded.Lock()
	defer discarded.Unlock()
	for total := 0; total < limit; {
		n, _, err := syscall.Recvfrom(fd, discarded.buf[:], syscall.MSG_DONTWAIT|syscall.MSG_TRUNC)
		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return false
		case err != nil || n == 0:
			return true
		}
		total += max(n, 0)
	}
	return false
}
