package shardcall

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"yokeroute/gather"
)

// The handshake of docs/protocol-two-phase.md determines whether a server supports first passes. It uses a separate
// connection, so that a server that does not know the frame does not close a connection that carries attempts.
const (
	firstPassExtension = "two-phase 1"
	handshakeTimeout   = 2 * time.Second
	handshakeRetry     = 5 * time.Second // delay before a failed handshake is retried
	maxHandshakes      = 4               // limit of concurrent handshakes
)

// handshake identifies the server process with which a handshake is in progress or done.
type handshake struct {
	address   string
	startedAt float64
}

// EnableFirstPass makes the pool determine whether each listed server supports first passes, once for each of its
// processes, and report it to onSupport. It must be called before SetEndpoints.
func (p *Pool) EnableFirstPass(onSupport func(server uint32, supported bool)) {
	p.onFirstPassSupport = onSupport
	p.handshakeSlots = make(chan struct{}, maxHandshakes)
	p.handshakeRetryDelay = handshakeRetry
}

// startHandshake starts the handshake with a server process unless it has already been started. The pool's lock must
// be held.
func (p *Pool) startHandshake(s *server) {
	if p.onFirstPassSupport == nil || s.State != gather.Running {
		return
	}
	if h := s.handshake; h != nil && h.address == s.HostPort && !gather.Restarted(h.startedAt, s.StartedAt) {
		return
	}
	s.handshake = &handshake{s.HostPort, s.StartedAt}
	go p.runHandshake(s, s.handshake, s.ID)
}

// runHandshake retries the handshake until it shows whether the server supports first passes, the server stops running,
// or another process replaces it.
func (p *Pool) runHandshake(s *server, h *handshake, id uint32) {
	log := p.log.WithField("server", h.address)
	for {
		p.handshakeSlots <- struct{}{}
		supported, err := p.performHandshake(h.address)
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
		log.WithError(err).Debug("first pass: handshake failed, retrying")
		time.Sleep(p.handshakeRetryDelay)
	}
}

// performHandshake makes one handshake. A server that rejects the frame, closes the connection because of it or sends
// a partial answer does not support first passes. A server that cannot be reached or does not answer is an error,
// because that does not show whether it supports them.
func (p *Pool) performHandshake(address string) (supported bool, err error) {
	nc, err := p.dial(address)
	if err != nil {
		return false, err
	}
	defer nc.Close()
	if err := nc.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return false, err
	}
	frame := append(beginFrame(nil, frameHandshake), firstPassExtension...)
	if _, err := nc.Write(finishFrame(frame, 0)); err != nil {
		return false, fmt.Errorf("write the handshake: %w", err)
	}
	letter, body, _, err := readFrame(bufio.NewReader(nc), nil)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() && !errors.Is(err, errTruncated) {
		return false, err
	}
	return err == nil && letter == frameHandshake && string(body) == firstPassExtension, nil
}

// revokeFirstPass repeats the handshake with a server that rejected a frame while a first pass was in flight, since
// the server may now run another version. Until the handshake is done the server gets no first passes.
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
