// Package experiment runs gatherers against stand-ins on loopback and measures them.
package experiment

import (
	"slices"
	"sync"
	"time"

	"yokeroute/internal/testbed/standin/discoveryserver"
	"yokeroute/internal/testbed/standin/shardserver"
)

// Phases of a server on the list of discovery.
const (
	phaseInService  = "in_service"
	phaseTerminated = "terminated"
)

// Machine is one shard server of a fleet.
type Machine struct {
	Name, Zone, Kind string
	ReplicaSet       int
	shardserver.Config
}

// Fleet is a running fleet of shard servers with its discovery.
type Fleet struct {
	Machines  []Machine
	Servers   map[string]*shardserver.Server
	Discovery *discoveryserver.Server

	mu        sync.Mutex
	startedAt map[string]float64 // Unix milliseconds of a machine's last restart; a missing one is long ago
}

// StartFleet starts all machines and a discovery that lists them.
func StartFleet(machines []Machine) (*Fleet, error) {
	f := &Fleet{Machines: machines, Servers: map[string]*shardserver.Server{}, startedAt: map[string]float64{}}
	var members []discoveryserver.Member
	for _, m := range machines {
		s, err := shardserver.Start(m.Config, nil)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.Servers[m.Name] = s
		members = append(members, f.member(m, phaseInService))
	}
	var err error
	if f.Discovery, err = discoveryserver.Start(members); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) member(m Machine, phase string) discoveryserver.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return discoveryserver.Member{
		ID:         m.Name,
		HostPort:   f.Servers[m.Name].Address(),
		Zone:       m.Zone,
		Kind:       m.Kind,
		ReplicaSet: m.ReplicaSet,
		Phase:      phase,
		Size:       1,
		StartedAt:  f.startedAt[m.Name],
	}
}

// SetPhase changes the phase of machines on the list.
func (f *Fleet) SetPhase(phase string, names ...string) {
	var changed []discoveryserver.Member
	for _, m := range f.Machines {
		if slices.Contains(names, m.Name) {
			changed = append(changed, f.member(m, phase))
		}
	}
	f.Discovery.Update(changed...)
}

// AnnounceRestart puts a restarted machine on the list, as a process that has just started.
func (f *Fleet) AnnounceRestart(name string) {
	f.mu.Lock()
	f.startedAt[name] = float64(time.Now().UnixMilli())
	f.mu.Unlock()
	f.SetPhase(phaseInService, name)
}

// Close ends the machines and the discovery.
func (f *Fleet) Close() {
	for _, s := range f.Servers {
		s.Close()
	}
	if f.Discovery != nil {
		f.Discovery.Close()
	}
}
