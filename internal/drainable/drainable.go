// Package drainable provides a listener that can be closed without resetting client connections. The kernel completes
// handshakes by itself and queues the established connections for accept. Closing the listener resets the queued
// connections, and requests that clients have already sent on them are lost.
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

// noInterface is an interface index that no network interface has.
const noInterface = math.MaxInt32

// pastDeadline is a deadline that has already passed.
var pastDeadline = time.Unix(1, 0)

// Listener is a net.Listener that can be drained.
type Listener struct {
	net.Listener

	// OnFailure, if it is set, is called with each failure of Accept that may pass.
	OnFailure func(err error)

	draining atomic.Bool
	accept4  func(listenFD int) (connFD int, err error) // acceptNonblocking, unless a test replaces it
}

// socketListener is a listener that is backed by a kernel socket, such as *net.TCPListener.
type socketListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(deadline time.Time) error
}

// NewListener returns a Listener that accepts the connections of l.
func NewListener(l net.Listener) *Listener { return &Listener{Listener: l, accept4: acceptNonblocking} }

// Drain makes the kernel refuse new connections and returns at once. Accept continues for handshakeTimeout, so that
// handshakes in progress can complete. After that it returns the connections that are still queued, then closes the
// listener and returns net.ErrClosed. A listener that is not backed by a kernel socket is closed immediately.
func (l *Listener) Drain(handshakeTimeout time.Duration) {
	socket, ok := l.Listener.(socketListener)
	if !ok {
		l.Close()
		return
	}
	l.draining.Store(true)
	refuseNewConnections(socket)
	deadline := pastDeadline
	if handshakeTimeout > 0 {
		deadline = time.Now().Add(handshakeTimeout)
	}
	if socket.SetDeadline(deadline) != nil { // the socket is already closed
		l.Close()
	}
}

// refuseNewConnections binds the listening socket to an interface that does not exist. The kernel then finds no
// listener for new connections and refuses them. Handshakes in progress already belong to the socket, and its accept
// queue is kept.
//
// Kernels before Linux 5.7 require CAP_NET_RAW for this. Without it, connections are accepted until the listener is
// closed, and one that is established between the last accept and the close is reset.
func refuseNewConnections(socket socketListener) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(listenFD uintptr) {
		_ = unix.SetsockoptInt(int(listenFD), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	})
}

// Accept implements net.Listener. It tries again after a failure that may pass.
func (l *Listener) Accept() (net.Conn, error) {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		c, err := l.acceptOnce()
		if err == nil || !mayPass(err) {
			return c, err
		}
		if l.OnFailure != nil {
			l.OnFailure(err)
		}
		time.Sleep(delay)
	}
}

func (l *Listener) acceptOnce() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if l.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		return l.acceptQueued()
	}
	return c, err
}

// acceptQueued accepts a queued connection. If there is none, it closes the listener and returns net.ErrClosed.
func (l *Listener) acceptQueued() (net.Conn, error) {
	c, err := l.AcceptQueued(nil, 1)
	if err == nil && c == nil {
		l.Close()
		return nil, net.ErrClosed
	}
	return c, err
}

// AcceptQueued accepts a queued connection without waiting, and returns nil if there is none. It closes those for whose
// descriptors skip returns true, at most limit of them, which takes much less than to return them.
func (l *Listener) AcceptQueued(skip func(fd int) bool, limit int) (net.Conn, error) {
	socket, ok := l.Listener.(socketListener)
	if !ok {
		return nil, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	connFD := -1
	var acceptErr error
	err = raw.Control(func(listenFD uintptr) { connFD, acceptErr = l.acceptSkipping(int(listenFD), skip, limit) })
	switch {
	case err != nil:
		return nil, err
	case errors.Is(acceptErr, syscall.EAGAIN):
		return nil, nil
	case acceptErr != nil:
		cause := os.NewSyscallError("accept4", acceptErr)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: cause}
	}
	return wrap(connFD)
}

// wrap returns the connection of a descriptor, which it takes over. While there is no descriptor for the duplicate that
// this takes, it waits: a client may have sent a request on the connection.
func wrap(connFD int) (net.Conn, error) {
	file := os.NewFile(uintptr(connFD), "client connection")
	defer file.Close()
	for waited := time.Duration(0); ; waited += maxRetryDelay {
		c, err := net.FileConn(file)
		if err == nil {
			return c, nil
		}
		if !mayPass(err) || waited >= maxWrapWait {
			return nil, fmt.Errorf("wrap the accepted connection: %w", err)
		}
		time.Sleep(maxRetryDelay)
	}
}

// acceptSkipping accepts a connection for which skip returns false, without blocking. It closes the others, at most limit
// of them.
func (l *Listener) acceptSkipping(listenFD int, skip func(fd int) bool, limit int) (connFD int, err error) {
	for range limit {
		connFD, err = l.accept4(listenFD)
		if err != nil || skip == nil || !skip(connFD) {
			return connFD, err
		}
		_ = syscall.Close(connFD)
	}
	return -1, syscall.EAGAIN
}

// acceptNonblocking accepts a connection without blocking. It fails with EAGAIN if none is queued.
func acceptNonblocking(listenFD int) (connFD int, err error) {
	for {
		connFD, _, err = syscall.Accept4(listenFD, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if !errors.Is(err, syscall.EINTR) && !errors.Is(err, syscall.ECONNABORTED) {
			return connFD, err
		}
	}
}
