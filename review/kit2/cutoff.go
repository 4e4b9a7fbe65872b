package kit2

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// CutOffListener is a listener whose machine can be cut off: then new connections never come up, as the queue of
// connections to accept is full and the system drops what asks for one. Only this socket is touched.
type CutOffListener struct {
	*net.TCPListener

	mu      sync.Mutex
	open    chan struct{} // closed while connections are accepted
	conns   []net.Conn
	fillers []net.Conn
}

// ListenCutOff listens on a free port.
func ListenCutOff() (*CutOffListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	open := make(chan struct{})
	close(open)
	return &CutOffListener{TCPListener: l.(*net.TCPListener), open: open}, nil
}

// Accept implements net.Listener.
func (l *CutOffListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
	l.mu.Lock()
	l.conns = append(l.conns, c)
	l.mu.Unlock()
	return c, nil
}

func (l *CutOffListener) setBacklog(n int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}

// CutOff makes new connections hang. It fails if they still come up.
func (l *CutOffListener) CutOff() error {
	l.mu.Lock()
	l.open = make(chan struct{})
	l.mu.Unlock()
	if err := l.setBacklog(0); err != nil {
		return err
	}
	failed := 0
	for range 16 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
		if err == nil {
			l.fillers = append(l.fillers, c)
			failed = 0
		} else if failed++; failed == 3 { // the goroutine that accepts has taken its last one by now
			return nil
		}
	}
	return fmt.Errorf("connections to a full queue still come up")
}

// Restore lets connections come up again, and resets those from before.
func (l *CutOffListener) Restore() error {
	for _, c := range l.fillers {
		c.Close()
	}
	l.fillers = nil
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	l.conns = nil
	err := l.setBacklog(128)
	close(l.open)
	return err
}
