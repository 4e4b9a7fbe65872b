package logic

import (
	"math"

	"yokeroute/gather"
)

// class is a request class with what was observed of its queries.
type class struct {
	gather.Class
	meanCost        float64 // mean expected work of a shard request, 0 before there is any
	maxFirstTryTime float64 // longest time of late that clients gave a first try
}

// classTable holds the classes that queries have named. A query keeps its class when the settings are
// replaced.
type classTable struct {
	settings *gather.Settings
	byName   map[string]*class
}

// configure drops what was observed of the classes, whose settings may have changed.
func (t *classTable) configure(settings *gather.Settings) {
	t.settings = settings
	t.byName = map[string]*class{}
}

func (t *classTable) get(name string) *class {
	c := t.byName[name]
	if c == nil {
		c = &class{Class: t.settings.Class(name)}
		t.byName[name] = c
	}
	return c
}

// shortestObjective is the shortest latency objective of all classes, infinite where there is no class.
func (t *classTable) shortestObjective() float64 {
	shortest := math.Inf(1)
	for _, name := range t.settings.ClassNames() {
		shortest = min(shortest, t.get(name).LatencyObjective)
	}
	return shortest
}

// observeCost moves the mean cost by a hundredth of the difference; the first cost sets it.
func (c *class) observeCost(cost float64) {
	if cost <= 0 {
		return
	}
	if c.meanCost == 0 {
		c.meanCost = cost
	}
	c.meanCost += (cost - c.meanCost) / 100
}

// relativeCost is a request's cost as a multiple of its class's mean, at least 1.
func (c *class) relativeCost(cost float64) float64 { return max(1, cost/max(c.meanCost, 1)) }

// observeFirstTry notes how long a client gives a first try. The longest fades by a hundredth with each
// query, since some clients give less than others.
func (c *class) observeFirstTry(timeLeft float64) {
	c.maxFirstTryTime = max(timeLeft, c.maxFirstTryTime*0.99)
}
