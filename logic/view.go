package logic

import "yokeroute/gather"

// View returns the state of the listed servers, for display.
func (g *Gatherer) View() []gather.EndpointView {
	var views []gather.EndpointView
	for i := range g.servers.servers {
		s := g.servers.get(i)
		if s.state == gather.Removed {
			continue
		}
		view := gather.EndpointView{
			Server:        s.id,
			ReplicaSet:    -1,
			State:         s.state,
			Latency:       g.latencies.latency(i),
			FailureShare:  s.estimate.failureShare,
			ExtraLatency:  s.estimate.extraLatency,
			Rate:          g.servers.attemptCounts[i] / measuringWindowMS * 1000,
			InFlight:      len(s.inFlight),
			CapacityShare: g.slowStart.Share(i, g.now),
		}
		if len(s.replicaSets) > 0 {
			view.ReplicaSet = s.replicaSets[0]
		}
		views = append(views, view)
	}
	return views
}
