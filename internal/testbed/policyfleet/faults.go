package policyfleet

import "yokeroute/logic/policy"

// Times and shares of faults, in milliseconds where they are times.
const (
	millisecondsPerDay = 86_400_000.0

	downWithin = 0.1 // share of the duration in which a gatherer goes down for good

	firstFlap   = 1000.0
	minFlapTime = 700.0 // between two restarts of a flapping gatherer,
	flapRange   = 600.0 // and up to so much longer

	minFaultTime   = 100.0
	faultTimeRange = 15_000.0

	minDowntime   = 1000.0 // of a gatherer that restarts,
	downtimeRange = 4000.0 // and up to so much longer

	lossProbability = 0.002 // of a message
	minDelay        = 0.3   // of a message,
	meanDelay       = 1.5   // and on average so much longer
	maxSlowDelay    = 4000.0
)

// scheduleFaults draws the faults of a gatherer.
func (f *fleet) scheduleFaults(g *gatherer, i int) {
	if float64(i) < f.config.DownShare*float64(f.config.Gatherers) {
		f.schedule(f.config.Duration*downWithin*f.random.Float64(), g.stop)
		return
	}
	if i >= f.config.Gatherers-f.config.Flapping {
		f.schedule(firstFlap, func() { f.flap(g) })
	}
	meanInterval := f.config.Duration / max(f.config.Faults, 1e-9)
	for at := f.exponential(meanInterval); at < f.config.Duration; at += f.exponential(meanInterval) {
		kind := f.random.Uint32() % 6
		length := minFaultTime + faultTimeRange*f.random.Float64()*f.random.Float64()
		f.schedule(at, func() { f.injectFault(g, kind, length) })
	}
}

// flap restarts a gatherer again and again.
func (f *fleet) flap(g *gatherer) {
	f.start(g, g.stored)
	f.schedule(minFlapTime+flapRange*f.random.Float64(), func() { f.flap(g) })
}

// injectFault injects one fault of a kind.
func (f *fleet) injectFault(g *gatherer, kind uint32, length float64) {
	switch kind {
	case 0, 1:
		f.crash(g, length/3)
	case 2:
		g.suspendedUntil = max(g.suspendedUntil, f.now+length)
	case 3: // cut off, in both directions or in one
		g.cutUntil = [directions]float64{f.now + length, f.now + length}
		if side := f.random.Uint32() % 3; side < directions {
			g.cutUntil[side] = 0
		}
	default:
		g.slowUntil = f.now + length
	}
}

// crash kills a gatherer and starts it again some time later, with its disk or without.
func (f *fleet) crash(g *gatherer, downtime float64) {
	if !g.up {
		return
	}
	g.stop()
	stored := policy.Revision{}
	if f.random.Uint32()%3 == 0 {
		stored = g.stored
	}
	f.schedule(downtime, func() {
		if !g.up {
			f.start(g, stored)
		}
	})
}

// restartOne kills one gatherer of the fleet, starts it again with its disk, and schedules the next restart.
func (f *fleet) restartOne() {
	f.schedule(f.exponential(millisecondsPerDay/f.config.RestartsPerDay), f.restartOne)
	g := f.gatherers[int(f.random.Uint32()>>1)%len(f.gatherers)]
	if !g.up {
		return
	}
	g.stop()
	f.schedule(minDowntime+downtimeRange*f.random.Float64(), func() {
		if !g.up {
			f.start(g, g.stored)
		}
	})
}

// delay returns how long a message takes, and whether it arrives.
func (f *fleet) delay(g *gatherer, direction int) (milliseconds float64, arrives bool) {
	if f.now < g.cutUntil[direction] || f.random.Float64() < lossProbability {
		return 0, false
	}
	if f.now < g.slowUntil {
		return maxSlowDelay * f.random.Float64(), true
	}
	return minDelay + f.exponential(meanDelay), true
}

// reachable reports whether a gatherer runs and has fast messages in both directions.
func (g *gatherer) reachable(now float64) bool {
	return g.up && now >= g.suspendedUntil && now >= g.slowUntil &&
		now >= g.cutUntil[toServers] && now >= g.cutUntil[toGatherer]
}
