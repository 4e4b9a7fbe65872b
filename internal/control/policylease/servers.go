package policylease

import (
	"fmt"
	"maps"
	"strings"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/logic/policy"
)

// location holds the zone and the host of a shard server.
type location struct{ zone, host string }

// UpdateEndpoints updates the shard servers' locations from an endpoint list, which has their zones, and from their
// addresses, which have their names.
func (l *Lease) UpdateEndpoints(list gather.EndpointList, addresses []shardcall.Address) {
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

// updateClosed derives the closed servers from the policy in effect. The caller holds the lock.
func (l *Lease) updateClosed() {
	closed := map[uint32]bool{}
	for id, loc := range l.locations {
		if l.effective.Closes(loc.zone, loc.host) {
			closed[id] = true
		}
	}
	if !maps.Equal(closed, l.closed) {
		l.closed = closed
		l.closedRevision++
	}
}

// BlockedRevision returns a number that changes whenever the set of closed servers changes.
func (l *Lease) BlockedRevision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closedRevision
}

// Blocked reports whether a server is closed, so that no new requests may be sent to it.
func (l *Lease) Blocked(server uint32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed[server]
}

// Weight returns the fraction of its usual traffic that a server receives.
func (l *Lease) Weight(server uint32) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.effective.Value(policy.HostWeight, l.locations[server].host, 1)
}

// validate returns an error if a policy cannot be applied: it conflicts with the platform's settings, or it closes a
// host in another zone than the endpoint list has it in, so that it would close nothing. The caller holds the lock.
func (l *Lease) validate(p policy.Policy) error {
	if err := Validate(l.platform, p); err != nil {
		return err
	}
	for _, e := range p {
		zone, host, _ := strings.Cut(e.Subject, "/")
		if e.Kind != policy.Closed || host == "" {
			continue
		}
		for _, loc := range l.locations {
			if loc.host == host && loc.zone != zone {
				return fmt.Errorf("%s: the endpoint list has host %s in zone %s", e, host, loc.zone)
			}
		}
	}
	return nil
}
