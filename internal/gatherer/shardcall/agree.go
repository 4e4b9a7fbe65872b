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
	extension   = "two-phase 1"
	agreeTime   = 2 * time.Second
	agreeAgain  = 5 * time.Second // after a server that could not be reached
	agreeAtOnce = 4               // connections for it at a time, against a burst of them at a start
)

// agreement is what was found out of one process of a server.
type agreement struct {
	address string
	started float64
}

// Agree has it found out of each server on the list, once for each process, whether it answers first passes. It
// has to be called before Follow.
func (p *Pool) Agree(speaks func(server uint32, yes bool)) {
	p.speaks = speaks
	p.agreeing, p.again = make(chan struct{}, agreeAtOnce), agreeAgain
}

// agree asks a server that was not asked yet. The lock is held.
func (p *Pool) agree(s *server) {
	if p.speaks == nil || s.State != gather.Running {
		return
	}
	if a := s.agreed; a != nil && a.address == s.HostPort && a.started == s.Started {
		return
	}
	s.agreed = &agreement{s.HostPort, s.Started}
	go p.ask(s, s.agreed, s.ID)
}

// ask asks until it has been found out, or until the server has gone or is another process.
func (p *Pool) ask(s *server, a *agreement, id uint32) {
	for {
		p.agreeing <- struct{}{}
		known, yes, err := p.hello(a.address)
		<-p.agreeing
		p.mu.Lock()
		current := s.agreed == a && s.State == gather.Running
		p.mu.Unlock()
		switch {
		case !current:
			return
		case known:
			p.log.WithField("server", a.address).Debugf("first passes: %t", yes)
			p.speaks(id, yes)
			return
		}
		p.log.WithField("server", a.address).Debugf("first passes: not found out yet: %v", err)
		time.Sleep(p.again)
	}
}

// hello asks on a connection of its own. A server that answers E, or closes once it was asked, does not know the
// extension; one that cannot be reached or is silent has told nothing.
func (p *Pool) hello(address string) (known, yes bool, err error) {
	nc, err := p.dial(address)
	if err != nil {
		return false, false, err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(agreeTime))
	if _, err := nc.Write(finish(append(begin(nil, 'H'), extension...), 0)); err != nil {
		return false, false, err
	}
	letter, body, _, err := readFrame(bufio.NewReader(nc), nil)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return false, false, err
	}
	if err != nil {
		return true, false, nil
	}
	if letter == 'H' && string(body) == extension {
		return true, true, nil
	}
	return true, false, fmt.Errorf("answered %q", letter)
}

// unspoken takes back that a server answers first passes, where it could not use a frame while one was out: it
// may be another build by now. It is asked again.
func (p *Pool) unspoken(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range c.out {
		if a.call.FirstPass() && p.speaks != nil {
			p.speaks(c.srv.ID, false)
			c.srv.agreed = nil
			p.agree(c.srv)
			return
		}
	}
}
