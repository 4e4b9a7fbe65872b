package segmentserver

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"yokeroute/internal/testbed/reservedport"
	"yokeroute/internal/testbed/standin/shardserver"
	"yokeroute/logic/ownership"
)

// ErrUnreachable is the error of a command of the authority to a host that it cannot reach.
var ErrUnreachable = errors.New("the host can't be reached")

// Host is one machine.
type Host struct {
	Name     string
	WorkTime time.Duration // of a shard request

	logs *SegmentLogs
	port *reservedport.Port // its own while it is killed too

	mu                    sync.Mutex
	listener              net.Listener // nil while it is killed
	conns                 map[net.Conn]bool
	owned                 ownership.Host
	draining              bool
	authorityDisconnected bool
	logsDisconnected      bool
	answersToDrop         int
	seenClaims            map[uint64]string // claims that it has seen itself, for logs without fencing
	notOwnerCount         int

	running sync.WaitGroup // goroutines that accept and serve connections
}

// NewHost starts a host that owns nothing.
func NewHost(name string, logs *SegmentLogs, workTime time.Duration) (*Host, error) {
	port, err := reservedport.Reserve("127.0.0.1")
	if err != nil {
		return nil, err
	}
	h := &Host{
		Name:       name,
		WorkTime:   workTime,
		logs:       logs,
		port:       port,
		seenClaims: map[uint64]string{},
	}
	if err := h.Restart(); err != nil {
		port.Release()
		return nil, err
	}
	return h, nil
}

// Restart starts a killed host at its old address. It believes that it owns what it owned before.
func (h *Host) Restart() error {
	l, err := h.port.Listen()
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listener = l
	h.conns = map[net.Conn]bool{}
	h.running.Go(func() { h.accept(l) })
	return nil
}

// accept accepts connections until the listener is closed.
func (h *Host) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if !h.addConn(l, c) {
			c.Close()
			return
		}
	}
}

// addConn has a connection served, unless the host was killed since the connection was accepted.
func (h *Host) addConn(l net.Listener, c net.Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != l {
		return false
	}
	h.conns[c] = true
	h.running.Go(func() { h.serve(c) })
	return true
}

// Address returns the address that it listens on.
func (h *Host) Address() string { return h.port.Address() }

// Kill ends it: connections are reset, and what it works on is lost or runs without an answer.
func (h *Host) Kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener == nil {
		return
	}
	h.listener.Close()
	h.listener = nil
	for c := range h.conns {
		shardserver.ResetOnClose(c)
		c.Close()
	}
	h.conns = nil
}

// Close kills it and waits for its connections to end.
func (h *Host) Close() {
	h.Kill()
	h.running.Wait()
	h.port.Release()
}

func (h *Host) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// SetAuthorityDisconnected sets whether the authority cannot reach it.
func (h *Host) SetAuthorityDisconnected(disconnected bool) {
	h.update(func() { h.authorityDisconnected = disconnected })
}

// SetLogsDisconnected sets whether it cannot reach the logs.
func (h *Host) SetLogsDisconnected(disconnected bool) {
	h.update(func() { h.logsDisconnected = disconnected })
}

// SetDraining sets whether it rejects new shard requests.
func (h *Host) SetDraining(draining bool) { h.update(func() { h.draining = draining }) }

// DropAnswers has its next answers dropped.
func (h *Host) DropAnswers(answers int) { h.update(func() { h.answersToDrop = answers }) }

// NotOwnerCount returns how many shard requests it refused because it did not own their keys.
func (h *Host) NotOwnerCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.notOwnerCount
}

// OwnedSegments returns the segments that it believes to own.
func (h *Host) OwnedSegments() []ownership.OwnedSegment {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.owned.Segments)
}

// command applies a command of the authority.
func (h *Host) command(apply func(owned *ownership.Host)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.authorityDisconnected || h.listener == nil {
		return ErrUnreachable
	}
	apply(&h.owned)
	return nil
}
