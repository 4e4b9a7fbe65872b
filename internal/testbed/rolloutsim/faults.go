package rolloutsim

import "math"

// fault is one of the fleet's own, for a time.
type fault struct {
	kind     string
	from, to float64
	zone     int
	size     float64 // from 0 to 1
}

var faultKinds = []string{"slow", "zone-lost", "burst", "die", "hidden", "cut", "one-sided"}

// drawFaults draws the faults of a scenario, some on top of each other.
func (f *fleet) drawFaults() {
	const meanInterval = 10 * millisPerMinute // of a rate of 1
	at := 0.0
	for {
		at += -math.Log(1-f.random.Float64()) * meanInterval / max(f.scenario.FaultRate, 1e-9)
		if at > f.scenario.TimeLimit {
			return
		}
		f.faults = append(f.faults, fault{
			kind: faultKinds[f.random.Uint32()%uint32(len(faultKinds))],
			from: at,
			to:   at + millisPerSecond*(4+26*f.random.Float64()),
			zone: int(f.random.Uint32()) % f.scenario.Zones,
			size: f.random.Float64(),
		})
	}
}

// conditions are those of a zone's servers in an interval.
type conditions struct {
	load    float64 // of their capacity
	loss    float64 // share of the queries
	latency float64 // factor
}

// applyFaults returns the zones' conditions in the interval that began before, and the factor of all traffic.
func (f *fleet) applyFaults(before float64) (zones []conditions, traffic float64) {
	traffic = 1 + 0.2*math.Sin(f.dayPhase+f.now/400_000)
	zones = make([]conditions, f.scenario.Zones)
	for z := range zones {
		zones[z] = conditions{load: 0.5, latency: 1}
	}
	for i := range f.faults {
		fault := &f.faults[i]
		if fault.from > f.now || fault.to < before {
			continue
		}
		f.applyToZones(fault, zones)
		if fault.kind == "burst" {
			traffic *= 1.2 + 0.5*fault.size
		}
		if fault.from > before {
			f.applyToGatherers(fault)
		}
	}
	return zones, traffic
}

// applyToZones applies what a fault does to servers.
func (f *fleet) applyToZones(fault *fault, zones []conditions) {
	zone := &zones[fault.zone]
	switch fault.kind {
	case "slow":
		zone.latency *= 1.5 + 2*fault.size
		zone.loss += 0.02 + 0.1*fault.size
	case "zone-lost":
		zone.loss += 0.3 + 0.3*fault.size
		for z := range zones {
			zones[z].load += 0.25 / float64(max(f.scenario.Zones-1, 1))
		}
	case "cut":
		zone.loss += 0.15 * fault.size
	}
}

// applyToGatherers applies what a fault that begins does to gatherers.
func (f *fleet) applyToGatherers(fault *fault) {
	for i := range f.gatherers {
		g := &f.gatherers[i]
		inZone := g.zone == fault.zone
		switch fault.kind {
		case "die":
			if f.random.Float64() < 0.02+0.08*fault.size {
				f.crash(g, 1000+8000*f.random.Float64())
			}
		case "hidden":
			if f.random.Float64() < 0.05+0.15*fault.size {
				g.unreachableUntil = fault.to
			}
		case "one-sided":
			if inZone && f.random.Float64() < 0.1+0.3*fault.size {
				g.lossyUntil = fault.to
			}
		case "cut":
			if inZone {
				g.unreachableUntil = fault.to
			}
		}
	}
}
