package logic

import "yokeroute/gather"

// View is what the gatherer knows of the servers on its list, for people who look on. It decides nothing.
func (g *Gatherer) View() []gather.EndpointView {
	var views []gather.EndpointView
	for shd, id := range g.ids {
		if g.state[shd] == gather.Removed {
			continue
		}
		group := -1
		if len(g.holds[shd]) > 0 {
			group = g.holds[shd][0]
		}
		views = append(views, gather.EndpointView{Server: id, ReplicaSet: group, State: g.state[shd], Latency: g.latency(shd),
			FailureShare: g.f[shd], ExtraLatency: g.r[shd], Rate: g.rate[shd] / span * 1000, InFlight: len(g.out[shd]),
			CapacityShare: g.slow.Share(shd, g.now)})
	}
	return views
}
