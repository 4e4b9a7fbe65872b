// Package directory is a stand-in for discovery: the platform's list of servers over HTTP, with watches, on loopback.
package discoveryserver

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Member is one entry of the list, as discovery words it.
type Member struct {
	ID         string  `json:"id"`
	HostPort   string  `json:"host_port"`
	Zone       string  `json:"locality"`
	Kind       string  `json:"flavor"`
	ReplicaSet int     `json:"cell"`
	Phase      string  `json:"phase"` // in_service, terminating or, among changes, terminated
	Size       float64 `json:"size"`
	StartedAt  float64 `json:"up_since_ms"`
}

// Server answers gatherers.
type Server struct {
	http     *http.Server
	listener net.Listener

	mu       sync.Mutex
	revision int64
	members  []Member
	changes  []change // every change, against watches that come late
	changed  chan struct{}
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
	s.http = &http.Server{Handler: s.handler(func(m Member) Member { return m })}
	go s.http.Serve(l)
	return s, nil
}

// ServeView answers on a listener of its own with entries as one gatherer has them: where it reaches a server may be its
// own affair. It ends with its listener.
func (s *Server) ServeView(l net.Listener, entry func(Member) Member) {
	go (&http.Server{Handler: s.handler(entry)}).Serve(l)
}

// Address is where it is reached.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends it.
func (s *Server) Close() { s.http.Close() }

// Update takes entries over: new ones, or what they are now. One that is terminated leaves the list.
func (s *Server) Update(members ...Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, m := range members {
		s.changes = append(s.changes, change{s.revision, m})
		at := slices.IndexFunc(s.members, func(o Member) bool { return o.ID == m.ID })
		switch {
		case m.Phase == "terminated" && at >= 0:
			s.members = slices.Delete(s.members, at, at+1)
		case m.Phase == "terminated":
		case at >= 0:
			s.members[at] = m
		default:
			s.members = append(s.members, m)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Members is the list as it stands.
func (s *Server) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.members)
}

// SetSilent makes it answer nothing, or answer again.
func (s *Server) SetSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
}

type reply struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

func (s *Server) handler(entry func(Member) Member) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, entry) })
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request, entry func(Member) Member) {
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	index, watch := strings.CutPrefix(r.URL.RawQuery, "index=")
	var after, wait int64
	if watch {
		index, rest, _ := strings.Cut(index, "&wait=")
		after, _ = strconv.ParseInt(index, 10, 64)
		wait, _ = strconv.ParseInt(rest, 10, 64)
	}
	until := time.NewTimer(time.Duration(min(wait, 60_000)) * time.Millisecond)
	defer until.Stop()
	for {
		s.mu.Lock()
		answer, news, silent := reply{Revision: s.revision, Members: []Member{}}, s.changed, s.silent
		if !watch || after > s.revision {
			answer.Complete, answer.Members = true, slices.Clone(s.members)
		} else {
			for _, c := range s.changes {
				if c.revision > after {
					answer.Members = append(answer.Members, c.Member)
				}
			}
		}
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		for i := range answer.Members {
			answer.Members[i] = entry(answer.Members[i])
		}
		if answer.Complete || len(answer.Members) > 0 {
			s.writeReply(w, answer)
			return
		}
		select {
		case <-news:
		case <-until.C:
			s.writeReply(w, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) writeReply(w http.ResponseWriter, answer reply) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answer) // an error is a gatherer that has gone
}
