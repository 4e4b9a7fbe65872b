// Package standin is a shard server for tests that drive each frame by hand, on loopback. Its folders hold stand-ins
// that run by themselves.
package standin

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"testing"

	"yokeroute/internal/testbed/standin/shardserver"
)

// ShardRequest is one shard request of a call.
type ShardRequest struct {
	ID         string
	Attributes string // the third field of its line
	Payload    string
	Shard      int
}

// Frame is one frame of a gatherer.
type Frame struct {
	Type     byte // 0 at the end of the connection
	Body     string
	Requests []ShardRequest // of a call
}

// Shard is a listener whose connections a test drives.
type Shard struct {
	net.Listener
	t *testing.T
}

// Conn is one accepted connection.
type Conn struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

// NewShard listens on loopback until the test ends.
func NewShard(t *testing.T) *Shard {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return &Shard{Listener: l, t: t}
}

// Address returns the address that it listens on.
func (s *Shard) Address() string { return s.Addr().String() }

// Take waits for the next connection. It is closed when the test ends.
func (s *Shard) Take() *Conn {
	nc, err := s.Accept()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { nc.Close() })
	return NewConn(s.t, nc)
}

// NewConn returns a connection that something else has accepted.
func NewConn(t *testing.T, nc net.Conn) *Conn { return &Conn{Conn: nc, t: t, r: bufio.NewReader(nc)} }

// Read waits for the next frame. At the end of the connection its type is 0.
func (c *Conn) Read() Frame {
	frameType, body, err := shardserver.ReadFrame(c.r)
	if err != nil {
		return Frame{}
	}
	f := Frame{Type: frameType, Body: body}
	if f.Type != 'Q' {
		return f
	}
	err = shardserver.VisitShardRequests(body, func(fields [4]string, payload string) error {
		shard, _ := strconv.Atoi(fields[1])
		f.Requests = append(f.Requests, ShardRequest{ID: fields[0], Attributes: fields[2], Payload: payload, Shard: shard})
		return nil
	})
	if err != nil {
		c.t.Errorf("call: %v", err)
	}
	return f
}

// Write sends a frame.
func (c *Conn) Write(frameType byte, body string) {
	if _, err := c.Conn.Write(shardserver.EncodeFrame(frameType, body)); err != nil {
		c.t.Log(err)
	}
}

// Answer ends a shard request.
func (c *Conn) Answer(id, end, value string) {
	c.Write('A', fmt.Sprintf("%s %s 1 -\n%s", id, end, value))
}

// Reset resets the connection.
func (c *Conn) Reset() {
	shardserver.ResetOnClose(c.Conn)
	c.Close()
}
