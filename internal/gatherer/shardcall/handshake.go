package shardcall

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"yokeroute/gather"
)

// The handshake of docs/protocol-two-phase.md finds out whether a server answers first passes. It goes by a
// connection of its own, so that a server that does not know the frame closes none with attempts.
const (
	firstPassExtension = "two-phase 1"
	handshakeTimeout   = 2 * time.Second
	handshakeRetry     = 5 * time.Second // after a server that could not be reached
	maxHandshakes      = 4               // at a time
)

// handshake is the handshake with one process of a server, under way or done.
type handshake struct {
	address   string
	startedAt float64
}

// EnableFirstPass has the pool find out of each listed server, once for each of its processes, whether it answers
// first passes. It must be called before SetEndpoints.
func (p *Pool) EnableFirstPass(onSupport func(server uint32, supported bool)) {
	p.onFirstPassSupport = onSupport
	p.handshakeSlots = make(chan struct{}, maxHandshakes)
	p.handshakeRetryDelay = handshakeRetry
}

// startHandshake begins the handshake with a server's process, unless that has one. The lock must be held.
func (p *Pool) startHandshake(s *server) {
	if p.onFirstPassSupport == nil || s.State != gather.Running {
		return
	}
	if h := s.handshake; h != nil && h.address == s.HostPort && h.startedAt == s.StartedAt {
		return
	}
	s.handshake = &handshake{s.HostPort, s.StartedAt}
	go p.runHandshake(s, s.handshake, s.ID)
}

// runHandshake retries the handshake until it succeeds, or the server is removed or another process.
func (p *Pool) runHandshake(s *server, h *handshake, id uint32) {
	log := p.log.WithField("server", h.address)
	for {
		p.handshakeSlots <- struct{}{}
		supported, err := p.shakeHands(h.address)
		<-p.handshakeSlots
		p.mu.Lock()
		current := s.handshake == h && s.State == gather.Running
		p.mu.Unlock()
		switch {
		case !current:
			return
		case err == nil:
			log.WithField("supported", supported).Debug("first pass: handshake done")
			p.onFirstPassSupport(id, supported)
			return
		}
		log.WithError(err).Debug("first pass: handshake failed, to be retried")
		time.Sleep(p.handshakeRetryDelay)
	}
}

// shakeHands makes one handshake. A server that refuses the frame, closes the connection over it or answers half a
// frame supports no first passes. One that can't be reached or does not answer is an error, since that shows nothing.
func (p *Pool) shakeHands(address string) (supported bool, err error) {
	nc, err := p.dial(address)
	if err != nil {
		return false, err
	}
	defer nc.Close()
	if err := nc.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return false, err
	}
	hello := append(beginFrame(nil, frameHandshake), firstPassExtension...)
	if _, err := nc.Write(finishFrame(hello, 0)); err != nil {
		return false, fmt.Errorf("handshake not written: %w", err)
	}
	letter, body, _, err := readFrame(bufio.NewReader(nc), nil)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() && !errors.Is(err, errTruncated) {
		return false, err
	}
	return err == nil && letter == frameHandshake && string(body) == firstPassExtension, nil
}

// revokeFirstPass repeats the handshake with a server that refused a frame while a first pass was in flight: it may
// be of another version by now. Until then it gets no first passes.
func (p *Pool) revokeFirstPass(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.onFirstPassSupport == nil {
		return
	}
	for _, a := range c.inFlight {
		if a.decision.FirstPass() {
			p.onFirstPassSupport(c.server.ID, false)
			c.server.handshake = nil
			p.startHandshake(c.server)
			return
		}
	}
}
