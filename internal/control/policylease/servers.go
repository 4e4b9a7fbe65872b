package policylease

import (
	"fmt"
	"maps"
	"strings"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/logic/policy"
)

// location is where a shard server runs.
type location struct{ zone, host string }

// Follow takes over an endpoint list with the servers' zones; addresses have the servers' names.
func (l *Lease) Follow(list gather.EndpointList, addresses []shardcall.Address) {
	if list.Failed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make(map[uint32]string, len(addresses))
	for _, a := range addresses {
		names[a.ID] = a.Name
	}
	if list.Full {
		clear(l.locations)
	}
	for _, s := range list.Endpoints {
		if s.State == gather.Removed {
			delete(l.locations, s.ID)
			continue
		}
		l.locations[s.ID] = location{zone: s.Zone, host: names[s.ID]}
	}
	l.updateClosed()
}

// updateClosed derives the closed servers from the policy in effect. The lock is held.
func (l *Lease) updateClosed() {
	closed := map[uint32]bool{}
	for id, at := range l.locations {
		if l.effective.Closes(at.zone, at.host) {
			closed[id] = true
		}
	}
	if !maps.Equal(closed, l.closed) {
		l.closed = closed
		l.closedRev++
	}
}

// BlockedRevision returns a number that changes whenever the set of closed servers does.
func (l *Lease) BlockedRevision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closedRev
}

// Blocked reports whether a server may get no new requests.
func (l *Lease) Blocked(server uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed[server]
}

// Weight returns the share of its usual traffic that a server is sent.
func (l *Lease) Weight(server uint32) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.effective.Value(policy.HostWeight, l.locations[server].host, 1)
}

// validate reports why a policy cannot be applied: the platform's settings rule it out, or it names a host in another
// zone than the endpoint list does, and would close nothing. The lock is held.
func (l *Lease) validate(p policy.Policy) error {
	if err := Validate(l.platform, p); err != nil {
		return err
	}
	for _, e := range p {
		zone, host, _ := strings.Cut(e.Subject, "/")
		if e.Kind != policy.Closed || host == "" {
			continue
		}
		for _, at := range l.locations {
			if at.host == host && at.zone != zone {
				return fmt.Errorf("%s: %s stands in %s", e, host, at.zone)
			}
		}
	}
	return nil
}
