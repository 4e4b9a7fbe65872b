// Package drainable has a listener that stops without a reset. The kernel establishes connections by itself
// and queues them; it resets those that are queued when their listener is closed, with the requests that
// clients have sent on them.
package drainable

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// noInterface is the index of a network interface that does not exist.
const noInterface = math.MaxInt32

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Listener is a listener that can be drained.
type Listener struct {
	net.Listener
	draining atomic.Bool
}

// socketListener is a listener on a socket of the kernel, as *net.TCPListener is.
type socketListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(at time.Time) error
}

// NewListener returns a listener that accepts the connections of another one.
func NewListener(l net.Listener) *Listener { return &Listener{Listener: l} }

// Drain has the kernel refuse new connections from now on. Accept goes on for handshakeTimeout, in which
// handshakes under way can be completed. Then it returns the connections that are queued still, and at last
// net.ErrClosed, with the listener closed. Drain does not wait for that. A listener without a socket of the
// kernel is closed at once.
func (l *Listener) Drain(handshakeTimeout time.Duration) {
	socket, ok := l.Listener.(socketListener)
	if !ok {
		l.Close()
		return
	}
	l.draining.Store(true)
	refuseNewConnections(socket)
	deadline := longAgo
	if handshakeTimeout > 0 {
		deadline = time.Now().Add(handshakeTimeout)
	}
	if socket.SetDeadline(deadline) != nil { // closed already
		l.Close()
	}
}

// refuseNewConnections binds the listening socket to an interface that does not exist. The kernel finds no
// listener for new connections then and refuses them. Handshakes under way belong to the socket already, and
// its queue stays.
//
// A kernel before Linux 5.7 wants CAP_NET_RAW for it. Without that, connections are accepted until the
// listener is closed, and one that is established between the last accept and the close is reset.
func refuseNewConnections(socket socketListener) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(listening uintptr) {
		_ = unix.SetsockoptInt(int(listening), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	})
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if l.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		return l.acceptQueued()
	}
	return c, err
}

// acceptQueued accepts a connection that is queued. Where there is none it closes the listener.
func (l *Listener) acceptQueued() (net.Conn, error) {
	raw, err := l.Listener.(socketListener).SyscallConn()
	if err != nil {
		return nil, err
	}
	accepted := -1
	var acceptErr error
	if err := raw.Control(func(listening uintptr) { accepted, acceptErr = acceptNow(int(listening)) }); err != nil {
		return nil, err
	}
	switch {
	case errors.Is(acceptErr, syscall.EAGAIN):
		l.Close()
		return nil, net.ErrClosed
	case acceptErr != nil:
		cause := os.NewSyscallError("accept4", acceptErr)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: cause}
	}
	file := os.NewFile(uintptr(accepted), "client connection")
	defer file.Close() // the connection has its own descriptor
	c, err := net.FileConn(file)
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return c, nil
}

// acceptNow accepts a connection without waiting for one.
func acceptNow(listening int) (accepted int, err error) {
	for {
		accepted, _, err = syscall.Accept4(listening, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if !errors.Is(err, syscall.EINTR) && !errors.Is(err, syscall.ECONNABORTED) {
			return accepted, err
		}
	}
}
