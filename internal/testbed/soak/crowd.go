package soak

import (
	"context"
	"net"
	"time"

	"yokeroute/internal/testbed/processtest"
)

const (
	crowdConns    = 1200 // more than a gatherer of the rig has sockets for
	crowdInterval = 2 * time.Millisecond
	crowdDialTime = time.Second
)

// crowd opens connections to a gatherer that send nothing, and holds them until ctx ends.
func crowd(ctx context.Context, g *processtest.Gatherer) error {
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	dialer := net.Dialer{Timeout: crowdDialTime}
	for range crowdConns {
		if conn, err := dialer.DialContext(ctx, "tcp", g.Address); err == nil {
			conns = append(conns, conn)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(crowdInterval):
		}
	}
	<-ctx.Done()
	return nil
}
