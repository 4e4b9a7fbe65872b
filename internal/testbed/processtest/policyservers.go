package processtest

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"yokeroute/internal/control/policyclient"
	"yokeroute/internal/millis"
	"yokeroute/internal/process"
)

const (
	// Policy servers have addresses of the fleet from this host number on.
	firstPolicyHost = 230
	policyHTTPPort  = 8700
	policyRaftPort  = 8701

	leaderTimeout = 100 * time.Second // for the election of a leader after a start
	statusTimeout = 2 * time.Second

	policyServerFile   = "steward.conf"
	policyStateFolder  = "state"
	fallbackPolicyFile = "floor.conf"
)

// PolicyConfig configures the policy servers of a fleet.
type PolicyConfig struct {
	Servers       int    // 0 for a fleet without policies
	Fallback      string // text of the gatherers' fallback policy
	Lease         time.Duration
	ChangeTimeout time.Duration
	Heartbeat     time.Duration
}

// PolicyServer is one policy server of a fleet, through all of its processes. Connections to it go through links: those
// of gatherers are named G:W1, those of policy servers W1:W2 for raft and W1:W2.http for the protocol.
type PolicyServer struct {
	Name   string
	Folder string
	Binary string
	HTTP   string // its own address, for operators
	Raft   string

	fleet     *Fleet
	mu        sync.Mutex
	process   *process.Process
	processes []*process.Process
	started   int
}

// layPolicyServers assigns addresses to the policy servers and lays the links between them, before anything starts.
func (f *Fleet) layPolicyServers() error {
	for i := range f.terms.Policy.Servers {
		host := fmt.Sprintf("%s.%d", f.base, firstPolicyHost+i)
		name := fmt.Sprint("w", i+1)
		s := &PolicyServer{
			Name:   name,
			Folder: filepath.Join(f.terms.Folder, name),
			Binary: f.terms.Binary,
			HTTP:   fmt.Sprintf("%s:%d", host, policyHTTPPort),
			Raft:   fmt.Sprintf("%s:%d", host, policyRaftPort),
			fleet:  f,
		}
		if err := os.MkdirAll(s.Folder, 0o755); err != nil {
			return err
		}
		f.PolicyServers = append(f.PolicyServers, s)
	}
	for _, from := range f.PolicyServers {
		for _, to := range f.PolicyServers {
			if from == to {
				continue
			}
			if _, err := f.link(from.Name, to.Name, to.Raft); err != nil {
				return err
			}
			if _, err := f.link(from.Name, to.Name+".http", to.HTTP); err != nil {
				return err
			}
		}
	}
	return nil
}

// startPolicyServers starts all policy servers side by side, as none serves before another has answered.
func (f *Fleet) startPolicyServers(ctx context.Context) error {
	for _, s := range f.PolicyServers {
		if err := s.Start(); err != nil {
			return err
		}
	}
	return f.AwaitLeader(ctx)
}

// AwaitLeader waits until a policy server is the leader, where the fleet has any.
func (f *Fleet) AwaitLeader(ctx context.Context) error {
	if len(f.PolicyServers) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	var last error
	err := process.WaitUntil(ctx, "a policy server leads", func() bool {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		_, last = f.PolicyClient().Status(ctx)
		return last == nil
	})
	return errors.Join(err, last)
}

// PolicyClient returns a client of all policy servers.
func (f *Fleet) PolicyClient() *policyclient.Client {
	c := &policyclient.Client{}
	for _, s := range f.PolicyServers {
		c.Servers = append(c.Servers, s.HTTP)
	}
	return c
}

// Leader returns the policy server that is the leader, nil where none is known to be.
func (f *Fleet) Leader(ctx context.Context) *PolicyServer {
	status, err := f.PolicyClient().Status(ctx)
	if err != nil {
		return nil
	}
	for _, s := range f.PolicyServers {
		if s.Name == status.Server {
			return s
		}
	}
	return nil
}

// configText returns the text of the server's configuration file.
func (s *PolicyServer) configText() string {
	c := s.fleet.terms.Policy
	var b strings.Builder
	fmt.Fprintf(&b, "steward %s in %s listen %s raft %s\n", s.Name, policyStateFolder, s.HTTP, s.Raft)
	fmt.Fprintf(&b, "lease %s limit %s\n", millisecondsText(c.Lease), millisecondsText(c.ChangeTimeout))
	fmt.Fprintf(&b, "beat %s\n", millisecondsText(c.Heartbeat))
	for _, peer := range s.fleet.PolicyServers {
		raft, http := peer.Raft, peer.HTTP
		if peer != s {
			raft = s.fleet.Link(s.Name + ":" + peer.Name).Address()
			http = s.fleet.Link(s.Name + ":" + peer.Name + ".http").Address()
		}
		fmt.Fprintf(&b, "peer %s raft %s http %s\n", peer.Name, raft, http)
	}
	return b.String()
}

func millisecondsText(d time.Duration) string {
	return fmt.Sprintf("%gms", millis.Of(d))
}

// Start starts a process of the server and does not wait for it.
func (s *PolicyServer) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	file := filepath.Join(s.Folder, policyServerFile)
	if err := os.WriteFile(file, []byte(s.configText()), 0o644); err != nil {
		return err
	}
	name := fmt.Sprintf("%s.%d", s.Name, s.started)
	p, err := process.Start(name, s.Binary, []string{"policy-server", file}, nil)
	if err != nil {
		return err
	}
	s.process = p
	s.processes = append(s.processes, p)
	return nil
}

// Process returns the server's latest process.
func (s *PolicyServer) Process() *process.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process
}

// StateFolder returns the folder of the server's stored state.
func (s *PolicyServer) StateFolder() string { return filepath.Join(s.Folder, policyStateFolder) }

// CopyState copies the server's stored state to a folder. The server must not be running.
func (s *PolicyServer) CopyState(to string) error { return os.CopyFS(to, os.DirFS(s.StateFolder())) }

// RestoreState replaces the server's stored state by a copy.
func (s *PolicyServer) RestoreState(from string) error {
	if err := os.RemoveAll(s.StateFolder()); err != nil {
		return err
	}
	return os.CopyFS(s.StateFolder(), os.DirFS(from))
}

// Isolate cuts the server off from the other policy servers, and from the gatherers where that is wanted.
func (s *PolicyServer) Isolate(gatherers bool) error {
	f := s.fleet
	links := append(f.Links(s.Name+":*"), f.Links("w*:"+s.Name)...)
	links = append(links, f.Links("w*:"+s.Name+".http")...)
	if gatherers {
		links = append(links, f.Links("g*:"+s.Name)...)
	}
	var errs []error
	for _, link := range links {
		errs = append(errs, link.Cut(true))
	}
	return errors.Join(errs...)
}

// MendPolicyServers restores all links of policy servers.
func (f *Fleet) MendPolicyServers() error {
	var errs []error
	for _, link := range append(f.Links("w*:*"), f.Links("g*:w*")...) {
		errs = append(errs, link.Mend())
	}
	return errors.Join(errs...)
}

// policyDirectives returns the directives by which a gatherer polls the policy servers, and writes its fallback policy.
func (g *Gatherer) policyDirectives() (string, error) {
	f := g.fleet
	if len(f.PolicyServers) == 0 {
		return "", nil
	}
	var b strings.Builder
	for _, s := range f.PolicyServers {
		link, err := f.link(g.Name, s.Name, s.HTTP)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "steward %s %s\n", s.Name, link.Address())
	}
	fmt.Fprintf(&b, "policy floor %s\n", fallbackPolicyFile)
	file := filepath.Join(g.Folder, fallbackPolicyFile)
	return b.String(), os.WriteFile(file, []byte(f.terms.Policy.Fallback), 0o644)
}
