package frontend

import "net"

// trackingListener wraps each accepted TCP connection in a clientConn.
type trackingListener struct {
	net.Listener
	tracker *connTracker
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return &clientConn{TCPConn: tcp, lingerFor: lingerTimeout, lingering: &l.tracker.lingering}, nil
	}
	return c, nil
}
