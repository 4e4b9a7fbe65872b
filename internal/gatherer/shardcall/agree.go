package shardcall

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"yokeroute/gather"
)

// Agreeing on two phases (docs/protocol-two-phase.md): a frame H that names the extension, on a connection of its
// own without any call, so that a shard server that does not know it closes nothing that matters.
const (
	firstPassExtension  = "two-phase 1"
	handshakeTimeout    = 2 * time.Second
	handshakeRetryDelay = 5 * time.Second // after a server that could not be reached
	maxHandshakes       = 4               // connections for it at a time, against a burst of them at a start
)

// handshake is what was found out of one process of a server.
type handshake struct {
	address   string
	startedAt float64
}

// EnableFirstPass has it found out of each server on the list, once for each process, whether it answers first passes. It
// has to be called before Follow.
func (p *Pool) EnableFirstPass(speaks func(server uint32, yes bool)) {
	p.onFirstPassSupport = speaks
	p.handshakeSlots, p.handshakeRetryDelay = make(chan struct{}, maxHandshakes), handshakeRetryDelay
}

// startHandshake asks a server that was not asked yet. The lock is held.
func (p *Pool) startHandshake(s *server) {
	if p.onFirstPassSupport == nil || s.State != gather.Running {
		return
	}
	if a := s.handshake; a != nil && a.address == s.HostPort && a.startedAt == s.StartedAt {
		return
	}
	s.handshake = &handshake{s.HostPort, s.StartedAt}
	go p.runHandshake(s, s.handshake, s.ID)
}

// runHandshake asks until it has been found out, or until the server has gone or is another process.
func (p *Pool) runHandshake(s *server, a *handshake, id uint32) {
	for {
		p.handshakeSlots <- struct{}{}
		known, yes, err := p.handshake(a.address)
		<-p.handshakeSlots
		p.mu.Lock()
		current := s.handshake == a && s.State == gather.Running
		p.mu.Unlock()
		switch {
		case !current:
			return
		case known:
			p.log.WithField("server", a.address).Debugf("first passes: %t", yes)
			p.onFirstPassSupport(id, yes)
			return
		}
		p.log.WithField("server", a.address).Debugf("first passes: not found out yet: %v", err)
		time.Sleep(p.handshakeRetryDelay)
	}
}

// handshake asks on a connection of its own. A server that answers E, or closes once it was asked, does not know the
// extension; one that cannot be reached or is silent has told nothing.
func (p *Pool) handshake(address string) (known, yes bool, err error) {
	nc, err := p.dial(address)
	if err != nil {
		return false, false, err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(handshakeTimeout))
	if _, err := nc.Write(finishFrame(append(beginFrame(nil, 'H'), firstPassExtension...), 0)); err != nil {
		return false, false, err
	}
	letter, body, _, err := readFrame(bufio.NewReader(nc), nil)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return false, false, err
	}
	if err != nil {
		return true, false, nil
	}
	if letter == 'H' && string(body) == firstPassExtension {
		return true, true, nil
	}
	return true, false, fmt.Errorf("answered %q", letter)
}

// revokeFirstPass takes back that a server answers first passes, where it could not use a frame while one was out: it
// may be another build by now. It is asked again.
func (p *Pool) revokeFirstPass(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range c.inFlight {
		if a.decision.FirstPass() && p.onFirstPassSupport != nil {
			p.onFirstPassSupport(c.server.ID, false)
			c.server.handshake = nil
			p.startHandshake(c.server)
			return
		}
	}
}
