package logic

import "yokeroute/gather"

// View is what the gatherer knows of the servers on its list, for people who look on. It decides nothing.
func (g *Gatherer) View() []gather.View {
	var views []gather.View
	for shd, id := range g.ids {
		if g.state[shd] == gather.Gone {
			continue
		}
		group := -1
		if len(g.holds[shd]) > 0 {
			group = g.holds[shd][0]
		}
		views = append(views, gather.View{Server: id, Group: group, State: g.state[shd], S: g.latency(shd),
			F: g.f[shd], R: g.r[shd], Rate: g.rate[shd] / span * 1000, Out: len(g.out[shd]),
			Warm: g.slow.Share(shd, g.now)})
	}
	return views
}
