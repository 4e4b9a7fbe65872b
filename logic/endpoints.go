package logic

import (
	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

const (
	subscribeIntervalMS = 1000.0
	// After a failure the next request waits this long, and up to as long again, so that gatherers spread
	// out.
	resubscribeDelayMS = 500.0
)

// subscription is the state of the subscription to endpoint lists, where discovery has to be asked for
// them.
type subscription struct {
	active bool
	nextAt float64 // when it may be requested again; 0 before it was requested at all
}

// recordFailure notes that a request failed or that the subscription has ended.
func (s *subscription) recordFailure(now float64, random *pcg.Source) {
	s.active = false
	s.nextAt = now + resubscribeDelayMS + resubscribeDelayMS*random.Float64()
}

// needsSubscription reports whether changes of the endpoint list would be missed.
func (g *Gatherer) needsSubscription() bool {
	return g.settings.EndpointsOnRequest && !g.discovery.active
}

// subscribe requests endpoint lists where they are not pushed, so that no decision rests on a list long out
// of date.
func (g *Gatherer) subscribe() {
	if g.needsSubscription() && g.now >= g.discovery.nextAt {
		g.discovery.nextAt = g.now + subscribeIntervalMS
		g.writer.Subscribe()
	}
}

// applyEndpointList takes over a list or a change of it. After a failed one the last list stays in force.
func (g *Gatherer) applyEndpointList(list *gather.EndpointList) {
	if list.Failed {
		g.discovery.recordFailure(g.now, g.random)
		return
	}
	g.discovery.active = g.discovery.nextAt > 0
	if list.Full {
		g.servers.removeUnlisted(list.Endpoints)
	}
	reusable := 0
	for i := range list.Endpoints {
		e := &list.Endpoints[i]
		index, known := g.servers.indexOf[e.ID]
		if !known {
			reusable = g.servers.nextReusable(reusable)
			index = reusable
			g.addServer(e.ID, index)
		}
		if !known || e.StartedAt != g.slowStart.StartedAt(index) {
			g.restartServer(e, index)
		}
		g.updateServer(e, index)
	}
	g.servers.rebuildReplicas()
	g.replicas.endpointsChanged()
	g.slowStart.FindWarming(g.now, g.servers.running)
}

func (g *Gatherer) addServer(id uint32, index int) {
	if g.servers.assign(id, index) {
		g.latencies.records.AddServer()
		g.slowStart.AddServer()
	}
}

// restartServer begins to judge a server's new process, and not by the one before it.
func (g *Gatherer) restartServer(e *gather.Endpoint, index int) {
	g.latencies.records.Reset(index)
	g.servers.restart(index)
	g.slowStart.Start(index, e.ID, e.StartedAt)
}

func (g *Gatherer) updateServer(e *gather.Endpoint, index int) {
	s := g.servers.get(index)
	s.state = e.State
	s.answersFirstPass = e.AnswersFirstPass
	s.inOtherZone = e.Zone != g.settings.Zone
	s.replicaSets = e.ReplicaSets
	if e.ReplicaSets == nil {
		s.replicaSets = g.replicaSetsOf(e.ReplicaSet)
	}
}

// replicaSetsOf are the sets whose shards a server of one set holds: its own and those before it. A server
// of a set that the settings do not have holds none.
func (g *Gatherer) replicaSetsOf(own int) []int {
	count := len(g.servers.replicas)
	if own < 0 || own >= count {
		return nil
	}
	var sets []int
	for offset := range g.settings.ReplicaSetsPerShard {
		sets = append(sets, ((own-offset)%count+count)%count)
	}
	return sets
}
