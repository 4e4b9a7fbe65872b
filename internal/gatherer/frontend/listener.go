package frontend

import "net"

// trackingListener wraps each accepted TCP connection in a clientConn.
type trackingListener struct {
	net.Listener
	tracker *connTracker
	memory  *memoryLimiter
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	l.tracker.awaitRoom()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	l.tracker.hold()
	return &clientConn{
		TCPConn:   tcp,
		tracker:   l.tracker,
		lingerFor: lingerTimeout,
		users:     1,
		head:      reservation{limiter: l.memory},
	}, nil
}
