// Package policyserver implements a policy server, one of the few servers that replicate the policies of a fleet. It
// uses the replicated log of hashicorp/raft, stored in bbolt. Package logic/policy defines what the log entries do and
// when a change commits. Gatherers and operators use the HTTP protocol of package policyapi. Gatherers are not members
// of the quorum, and no query of a gatherer waits for a policy server.
package policyserver

import (
	"fmt"
	"math"
	"slices"
	"time"

	"yokeroute/internal/millis"
)

// Default durations of a configuration, and the minimum ratio of the lease to the heartbeat interval.
const (
	defaultLease         = 10 * time.Second
	defaultChangeTimeout = time.Minute
	defaultHeartbeat     = 100 * time.Millisecond

	minHeartbeatsPerLease = 10
)

// Peer holds a policy server's name and the addresses at which another policy server reaches it.
type Peer struct{ Name, Raft, HTTP string }

// Config is the configuration of a policy server.
type Config struct {
	Name          string
	Folder        string // folder for stored state
	Listen        string // address for gatherers and operators
	RaftListen    string // address for the other policy servers
	Peers         []Peer // all policy servers, including this one
	Lease         time.Duration
	ChangeTimeout time.Duration
	FirstEpoch    uint64        // initial epoch of a newly created record
	Joins         bool          // whether the server waits to be added to an existing quorum instead of creating one
	Heartbeat     time.Duration // interval between heartbeats of the leader
}

// Read reads and validates a configuration file.
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

// validate checks the rules that involve several directives or missing ones.
func (c *Config) validate() error {
	switch {
	case c.Name == "":
		return fmt.Errorf("has no steward directive; add steward NAME in FOLDER listen ADDRESS raft ADDRESS")
	case !slices.ContainsFunc(c.Peers, func(p Peer) bool { return p.Name == c.Name }):
		return fmt.Errorf("policy server %s is not among the peers; add a peer directive for it", c.Name)
	case len(c.Peers)%2 == 0:
		return fmt.Errorf("has %d peers; use an odd number, as one server fewer tolerates as many failures", len(c.Peers))
	case c.Lease < minHeartbeatsPerLease*c.Heartbeat:
		return fmt.Errorf("lease of %g ms is too short for a heartbeat every %g ms; it must last ten heartbeats at least",
			millis.Of(c.Lease), millis.Of(c.Heartbeat))
	}
	return nil
}

// duration converts milliseconds to a time.Duration.
func duration(milliseconds float64) time.Duration {
	return time.Duration(math.Round(milliseconds * float64(time.Millisecond)))
}

// Reference returns the reference page for configuration files.
func Reference() string { return (&Config{}).Directives().Reference() }
