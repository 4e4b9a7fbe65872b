package logic

import (
	"math"

	"yokeroute/gather"
)

// class is a request class with statistics of its queries.
type class struct {
	gather.Class
	meanCost        float64 // mean expected work of a shard request, 0 before there is any
	maxFirstTryTime float64 // longest recent time between arrival and deadline of a client's first try
}

// classTable holds the classes that were looked up so far. An open query keeps its class when the settings
// are replaced.
type classTable struct {
	settings *gather.Settings
	byName   map[string]*class
}

// configure replaces the settings and drops all classes with their statistics, since the settings of a class
// may have changed.
func (t *classTable) configure(settings *gather.Settings) {
	t.settings = settings
	t.byName = map[string]*class{}
}

// get returns the class of a name, and adds it to the table when it is looked up first.
func (t *classTable) get(name string) *class {
	c := t.byName[name]
	if c == nil {
		c = &class{Class: t.settings.Class(name)}
		t.byName[name] = c
	}
	return c
}

// shortestObjective returns the shortest latency objective of all classes, +Inf if there is no class.
func (t *classTable) shortestObjective() float64 {
	shortest := math.Inf(1)
	for _, name := range t.settings.ClassNames() {
		shortest = min(shortest, t.get(name).LatencyObjective)
	}
	return shortest
}

// observeCost updates the moving average of the cost by a hundredth of the difference. The first cost
// initializes it.
func (c *class) observeCost(cost float64) {
	if cost <= 0 {
		return
	}
	if c.meanCost == 0 {
		c.meanCost = cost
	}
	c.meanCost += (cost - c.meanCost) / 100
}

// relativeCost returns a request's cost as a multiple of its class's mean, at least 1.
func (c *class) relativeCost(cost float64) float64 { return max(1, cost/max(c.meanCost, 1)) }

// observeFirstTry records the time between arrival and deadline of a client's first try. The maximum decays
// by a hundredth with each query, since some clients allow less time than others.
func (c *class) observeFirstTry(timeLeft float64) {
	c.maxFirstTryTime = max(timeLeft, c.maxFirstTryTime*0.99)
}
