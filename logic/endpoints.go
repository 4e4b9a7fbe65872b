package logic

import (
	"yokeroute/gather"
	"yokeroute/internal/pcg"
)

const (
	// subscribeIntervalMS is the least time between two requests for endpoint lists while no response arrives.
	subscribeIntervalMS = 1000.0
	// resubscribeDelayMS is the least delay of the next request after a failure. A random time of up to the
	// same length is added to it, so that gatherers do not all subscribe at once.
	resubscribeDelayMS = 500.0
)

// subscription is the state of the subscription to endpoint lists, for deployments in which discovery sends
// them only to subscribers.
type subscription struct {
	active bool
	nextAt float64 // time of the next request, at the earliest; 0 before the first request
}

// recordFailure marks the subscription as ended after a failed request or a lost subscription, and schedules
// the next request.
func (s *subscription) recordFailure(now float64, random *pcg.Source) {
	s.active = false
	s.nextAt = now + resubscribeDelayMS + resubscribeDelayMS*random.Float64()
}

// needsSubscription reports whether endpoint lists have to be subscribed to and no subscription is active.
func (g *Gatherer) needsSubscription() bool {
	return g.settings.EndpointsOnRequest && !g.discovery.active
}

// subscribe requests endpoint lists if a subscription is needed and due, so that decisions are not based on
// an outdated list.
func (g *Gatherer) subscribe() {
	if g.needsSubscription() && g.now >= g.discovery.nextAt {
		g.discovery.nextAt = g.now + subscribeIntervalMS
		g.writer.Subscribe()
	}
}

// applyEndpointList applies a full endpoint list or a delta. After a failure the last list remains in use.
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
		if !known || gather.Restarted(g.slowStart.StartedAt(index), e.StartedAt) {
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

// restartServer drops the statistics of a server's previous process and starts its slow start.
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

// replicaSetsOf returns the replica sets whose shards a server of the given set holds: its own and the ones
// before it, ReplicaSetsPerShard in all. It returns nil for a set that the settings do not have.
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
