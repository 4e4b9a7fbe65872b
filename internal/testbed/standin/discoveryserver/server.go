// Package discoveryserver is a stand-in for discovery on loopback: it serves the platform's list of servers over HTTP,
// with watches.
package discoveryserver

import (
	"net"
	"net/http"
	"slices"
	"sync"
)

// phaseTerminated is the phase of a member that leaves the list.
const phaseTerminated = "terminated"

// Member is one entry of the list.
type Member struct {
	ID         string  `json:"id"`
	HostPort   string  `json:"host_port"`
	Zone       string  `json:"locality"`
	Kind       string  `json:"flavor"` // of its machine
	ReplicaSet int     `json:"cell"`
	Phase      string  `json:"phase"` // in_service, terminating or, in changes only, terminated
	Size       float64 `json:"size"`
	StartedAt  float64 `json:"up_since_ms"` // Unix milliseconds
}

// Server serves the list to gatherers.
type Server struct {
	listener net.Listener
	serving  sync.WaitGroup
	servers  []*http.Server // of the list, and of its views

	mu       sync.Mutex
	revision int64
	members  []Member
	changes  []change      // all since the start, as a watch may resume from any revision
	changed  chan struct{} // closed at the next change
	silent   bool
}

type change struct {
	revision int64
	Member
}

// Start starts it on a free port of loopback with a list.
func Start(members []Member) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, revision: 1, members: slices.Clone(members), changed: make(chan struct{})}
	s.ServeView(l, func(m Member) Member { return m })
	return s, nil
}

// ServeView serves the list on another listener with its entries as one gatherer sees them: it may reach a server at an
// address of its own. It ends with its listener; closing the server that is returned ends its connections too.
func (s *Server) ServeView(l net.Listener, view func(Member) Member) *http.Server {
	server := &http.Server{Handler: s.handler(view)}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	s.serving.Go(func() { _ = server.Serve(l) }) // ends with the listener
	return server
}

// Address returns the address that it listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends it, with all views.
func (s *Server) Close() {
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	for _, server := range servers {
		server.Close()
	}
	s.serving.Wait()
}

// Update adds entries to the list or replaces them. A terminated one leaves the list.
func (s *Server) Update(members ...Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, m := range members {
		s.changes = append(s.changes, change{revision: s.revision, Member: m})
		i := slices.IndexFunc(s.members, func(other Member) bool { return other.ID == m.ID })
		switch {
		case m.Phase == phaseTerminated && i >= 0:
			s.members = slices.Delete(s.members, i, i+1)
		case m.Phase == phaseTerminated:
		case i >= 0:
			s.members[i] = m
		default:
			s.members = append(s.members, m)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Members returns the list.
func (s *Server) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.members)
}

// SetSilent sets whether it answers nobody.
func (s *Server) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}
