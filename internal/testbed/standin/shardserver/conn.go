package shardserver

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
)

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 32 << 10

// The ends of shard requests on the wire.
const (
	endOK       = "ok"
	endRejected = "busy"
	endFailed   = "err"
)

// conn is one gatherer's connection.
type conn struct {
	net.Conn
	server  *Server
	writeMu sync.Mutex
	tasks   map[string]*task // by shard request; the server's lock guards it
}

// serve handles frames until the connection ends.
func (c *conn) serve() {
	defer c.close()
	r := bufio.NewReaderSize(c, readBufferBytes)
	for {
		frameType, body, err := ReadFrame(r)
		if err != nil {
			return
		}
		if err := c.handle(frameType, body); err != nil {
			c.send(frameError, err.Error())
			return
		}
	}
}

func (c *conn) close() {
	c.server.update(func() {
		delete(c.server.conns, c)
		for _, t := range c.tasks {
			c.server.cancelTask(t)
		}
	})
	c.Close()
}

// handle handles a frame. An error ends the connection.
func (c *conn) handle(frameType byte, body string) error {
	if frameType == frameHandshake {
		c.server.update(func() { c.server.counts.Handshakes++ })
	}
	if (frameType == frameFirstPass || frameType == frameHandshake) && !c.server.hasFirstPass() {
		frameType = 0 // unknown to a build without first passes
	}
	switch frameType {
	case frameCall, frameFirstPass:
		requests, err := ParseShardRequests(body)
		if err != nil {
			return err
		}
		c.server.receive(c, requests, frameType == frameFirstPass)
	case frameHandshake:
		if body != FirstPassExtension {
			return errors.New("an extension that is not known here")
		}
		c.send(frameHandshake, FirstPassExtension)
	case frameCancel:
		c.server.update(func() {
			if t := c.tasks[body]; t != nil {
				c.server.cancelTask(t)
			}
		})
	case framePing:
		c.send(framePing, "ok")
	case frameLoad:
		c.send(frameLoad, c.server.loadReport())
	default:
		return fmt.Errorf("a frame with the letter %q", frameType)
	}
	return nil
}

func (s *Server) hasFirstPass() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.FirstPassWork > 0
}

// loadReport returns the body of a load report.
func (s *Server) loadReport() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.LoadReports++
	if !s.reportsLoad {
		return "-"
	}
	return fmt.Sprintf("queue=%d,latency_ms=%g", len(s.queue), s.reportedLatency)
}

func (c *conn) send(frameType byte, body string) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	WriteFrame(c.Conn, frameType, body)
}

// sendAnswer ends a shard request on the wire.
func (c *conn) sendAnswer(id, end string, value []byte) {
	c.send(frameAnswer, id+" "+end+" 1 -\n"+string(value))
}
