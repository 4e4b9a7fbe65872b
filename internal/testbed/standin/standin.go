// Package standin is what the tests put in place of shard servers and discovery, on loopback.
package standin

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
)

// ShardRequest is one part of a call as it came.
type ShardRequest struct {
	ID, Attributes, Payload string
	Shard                   int
}

// Frame is one frame as it came.
type Frame struct {
	Type     byte
	Body     string
	Requests []ShardRequest
}

// Shard is a listener that a test drives by hand.
type Shard struct {
	net.Listener
	t *testing.T
}

// Conn is one connection that it has accepted.
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
	return &Shard{l, t}
}

// Address is where it is reached.
func (s *Shard) Address() string { return s.Addr().String() }

// Take waits for the next connection.
func (s *Shard) Take() *Conn {
	nc, err := s.Accept()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { nc.Close() })
	return &Conn{nc, s.t, bufio.NewReader(nc)}
}

// NewConn takes a connection that something else has accepted.
func NewConn(t *testing.T, nc net.Conn) *Conn { return &Conn{nc, t, bufio.NewReader(nc)} }

// Read waits for the next frame; at the connection's end its letter is 0.
func (c *Conn) Read() Frame {
	var head [4]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return Frame{}
	}
	body := make([]byte, binary.LittleEndian.Uint32(head[:]))
	if _, err := io.ReadFull(c.r, body); err != nil {
		return Frame{}
	}
	f := Frame{Type: body[0], Body: string(body[1:])}
	for rest := f.Body; f.Type == 'Q' && rest != ""; {
		line, after, _ := strings.Cut(rest, "\n")
		words := strings.Fields(line)
		if len(words) != 4 {
			c.t.Errorf("a part's line: %q", line)
			return f
		}
		length, _ := strconv.Atoi(words[3])
		shard, _ := strconv.Atoi(words[1])
		f.Requests = append(f.Requests, ShardRequest{ID: words[0], Attributes: words[2], Payload: after[:length], Shard: shard})
		rest = after[length:]
	}
	return f
}

// Write sends a frame.
func (c *Conn) Write(letter byte, body string) {
	text := binary.LittleEndian.AppendUint32(nil, uint32(1+len(body)))
	if _, err := c.Conn.Write(append(append(text, letter), body...)); err != nil {
		c.t.Log(err)
	}
}

// Answer ends a part.
func (c *Conn) Answer(id, end, value string) {
	c.Write('A', fmt.Sprintf("%s %s 1 -\n%s", id, end, value))
}

// Reset breaks the connection the hard way.
func (c *Conn) Reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}
