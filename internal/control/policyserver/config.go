// Package policyserver is one of the few servers that replicate the policies of a fleet. The replicated log is that of
// hashicorp/raft, stored in bbolt; logic/policy decides what its entries do and when a change commits. Gatherers and
// operators use HTTP, as package policyapi has it. Gatherers take no part in the quorum, and no query of a gatherer
// waits for a policy server.
package policyserver

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Defaults and multiples of the times in a configuration.
const (
	defaultLease         = 10 * time.Second
	defaultChangeTimeout = time.Minute
	defaultHeartbeat     = 100 * time.Millisecond

	minHeartbeatsInLease = 10
)

// Peer is a policy server as another one reaches it.
type Peer struct{ Name, Raft, HTTP string }

// Config is the configuration of a policy server.
type Config struct {
	Name          string
	Folder        string // of stored state
	Listen        string // address for gatherers and operators
	RaftListen    string // address for the other policy servers
	Peers         []Peer // all policy servers, including this one
	Lease         time.Duration
	ChangeTimeout time.Duration
	FirstEpoch    uint64        // epoch of a record that is created anew
	Joins         bool          // waits to be added to an existing quorum instead of creating one
	Heartbeat     time.Duration // between heartbeats of the leader
}

// Read reads a configuration file.
func Read(file string) (*Config, error) {
	c := &Config{Lease: defaultLease, ChangeTimeout: defaultChangeTimeout, Heartbeat: defaultHeartbeat}
	if err := c.Directives().Read(file); err != nil {
		return nil, err
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("%s:1:1: %w", file, err)
	}
	return c, nil
}

// validate checks what no single line of a file shows.
func (c *Config) validate() error {
	switch {
	case c.Name == "":
		return fmt.Errorf("has no line that names it; write steward NAME in FOLDER listen ADDRESS raft ADDRESS")
	case !slices.ContainsFunc(c.Peers, func(p Peer) bool { return p.Name == c.Name }):
		return fmt.Errorf("policy server %s is not among the peers; write a peer line for it as for the others", c.Name)
	case len(c.Peers)%2 == 0:
		return fmt.Errorf("names %d policy servers; an even number bears no more losses than one less", len(c.Peers))
	case c.Lease < minHeartbeatsInLease*c.Heartbeat:
		return fmt.Errorf("a lease of %g ms is too short for heartbeats of %g ms: ten of them at least",
			milliseconds(c.Lease), milliseconds(c.Heartbeat))
	}
	return nil
}

// milliseconds returns a duration as files and decisions have it.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// duration returns the duration of a number of milliseconds.
func duration(milliseconds float64) time.Duration {
	return time.Duration(math.Round(milliseconds * float64(time.Millisecond)))
}

// Reference returns the reference page of configuration files.
func Reference() string { return (&Config{}).Directives().Reference() }
