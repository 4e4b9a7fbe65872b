package frontend

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// trackingListener returns each accepted connection as a clientConn. It can be drained: the kernel resets connections
// that are established and not accepted yet when their listener is closed, under requests that their clients have sent.
type trackingListener struct {
	net.Listener
	tracker  *connTracker
	draining atomic.Bool
}

// drainableListener is a listener on a socket of the kernel, as *net.TCPListener is.
type drainableListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(at time.Time) error
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &clientConn{TCPConn: tcp, lingerFor: lingerTimeout, lingering: &l.tracker.lingering}, nil
	}
	return c, nil
}

func (l *trackingListener) accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if l.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		return l.acceptWaiting()
	}
	return c, err
}

// drain has Accept return the connections that wait in the kernel's queue, and then net.ErrClosed with the listener
// closed. A listener that has no such queue is closed at once.
func (l *trackingListener) drain() {
	socket, ok := l.Listener.(drainableListener)
	if !ok {
		l.Close()
		return
	}
	l.draining.Store(true)
	if socket.SetDeadline(longAgo) != nil { // closed already
		l.Close()
	}
}

// acceptWaiting accepts a connection that waits in the queue. Once there is none it closes the listener.
func (l *trackingListener) acceptWaiting() (net.Conn, error) {
	raw, err := l.Listener.(drainableListener).SyscallConn()
	if err != nil {
		return nil, err
	}
	accepted := -1
	var acceptErr error
	if err := raw.Control(func(listening uintptr) { accepted, acceptErr = acceptOrStop(int(listening)) }); err != nil {
		return nil, err
	}
	switch {
	case errors.Is(acceptErr, syscall.EAGAIN):
		l.Close()
		return nil, net.ErrClosed
	case acceptErr != nil:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", acceptErr)}
	}
	file := os.NewFile(uintptr(accepted), "client connection")
	defer file.Close() // the connection has its own descriptor
	c, err := net.FileConn(file)
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return c, nil
}

// settleTime is a pause before the last look at the queue: a thread that has just been woken is the least likely to be
// preempted before its next system call.
const settleTime = 100 * time.Microsecond

// acceptOrStop accepts a connection without waiting for one. Where the queue is empty the socket stops listening in the
// same step, so that no connection is established behind the last look at the queue and reset by the close.
func acceptOrStop(listening int) (accepted int, err error) {
	accepted, err = acceptQueued(listening)
	if !errors.Is(err, syscall.EAGAIN) {
		return accepted, err
	}
	pause := syscall.NsecToTimespec(settleTime.Nanoseconds())
	_ = syscall.Nanosleep(&pause, nil) // in this thread; cut short by a signal it has been woken as well
	accepted, err = acceptQueued(listening)
	if errors.Is(err, syscall.EAGAIN) {
		_ = syscall.Shutdown(listening, syscall.SHUT_RD)
	}
	return accepted, err
}

// acceptQueued accepts a connection that waits in the queue.
func acceptQueued(listening int) (accepted int, err error) {
	for {
		accepted, _, err = syscall.Accept4(listening, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if !errors.Is(err, syscall.EINTR) && !errors.Is(err, syscall.ECONNABORTED) {
			return accepted, err
		}
	}
}
