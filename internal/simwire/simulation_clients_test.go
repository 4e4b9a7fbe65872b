package simwire

import (
	"fmt"
)

type simulatedInstance struct {
	id              int
	incarnation     int
	running         bool
	subscribed      bool
	queries         map[uint64]*simulatedQuery // keyed by the query's ID
	requests        map[uint64]*simulatedRequest
	lastQueryNumber int
}

type simulatedQuery struct {
	id         uint64
	number     int
	class      class
	requests   []*simulatedRequest
	deadline   int64
	issuedAt   int64
	ended      bool
	secondStep bool
}

type simulatedRequest struct {
	id        uint64
	query     *simulatedQuery
	shard     int
	succeeded bool
	attempts  []*simulatedAttempt
}

type class struct {
	name, effect                       string
	latencyObjective, hardLimit        int64
	minShare, completeShare, lateValue float64
	secondStepRequests                 int
}

var classes = []class{
	{"dep-resolve", "pure", 400_000, 1_500_000, 0.5, 0.75, 0.1, 0},
	{"file-search", "pure", 500_000, 1_500_000, 1, 1, 0.1, 0},
	{"build-claim", "side_effect", 400_000, 1_200_000, 1, 1, 0, 0},
	{"tag-write", "token", 450_000, 1_400_000, 1, 1, 0.1, 0},
	{"two-steps", "pure", 600_000, 1_800_000, 0.5, 0.8, 0.2, 2},
}

// startInstance starts an instance and sends it an endpoint list that is marked as possibly out of date.
func (sim *simulation) startInstance(in *simulatedInstance) {
	if in.running {
		return
	}
	in.running, in.subscribed = true, sim.config.discovery == "pushed"
	in.incarnation++
	in.queries, in.requests, in.lastQueryNumber = map[uint64]*simulatedQuery{}, map[uint64]*simulatedRequest{}, 0
	sim.sendEvent(in, "Hello", `,"initSeed":%d,"info":%s`, sim.random.Uint32(), sim.settings(in.id))
	sim.sendEndpointList(in, "C", sim.servers)
	sim.schedule(in, sim.exponential(200_000), func() { sim.generateQuery(in) })
	sim.schedule(in, 3_000_000, func() { sim.sendEvent(in, "Peer", `,"srcPeer":1,"raw":"aGkgNw=="`) })
	sim.schedule(in, 5_000_000, func() { sim.sendEndpointList(in, "F", sim.servers) })
}

func (sim *simulation) killInstance(in *simulatedInstance) {
	if in.running {
		in.running = false
		sim.sendEvent(in, "Kill", "")
	}
}

// generateQuery submits one query and schedules the next one. The load is higher during a part of the simulation.
func (sim *simulation) generateQuery(in *simulatedInstance) {
	mean := 220_000.0
	if elapsed := sim.now - simulationStart; elapsed > 12_000_000 && elapsed < 16_000_000 {
		mean = 40_000
	}
	sim.schedule(in, sim.exponential(mean), func() { sim.generateQuery(in) })
	c := classes[int(sim.random.Uint32())%len(classes)]
	timeout := c.hardLimit
	if sim.chance(0.3) {
		timeout = c.latencyObjective + int64(sim.random.Uint32()%300_000)
	}
	sim.submitQuery(in, c, sim.now, sim.now+timeout, false)
}

// submitQuery sends a query and its shard requests, and schedules the client's disconnection at the deadline. Some
// clients disconnect earlier.
func (sim *simulation) submitQuery(in *simulatedInstance, c class, issuedAt, deadline int64, retry bool) {
	in.lastQueryNumber++
	q := &simulatedQuery{id: sim.newID(), number: in.lastQueryNumber, class: c, issuedAt: issuedAt, deadline: deadline}
	in.queries[q.id] = q
	count := 1 + int(sim.random.Uint32()%5)
	fields := fmt.Sprintf(`,"cls":"%s","query":%d,"clientGroup":"mainline","giveUpAt":%d`, c.name, q.number, deadline)
	if sim.chance(0.2) {
		fields = fmt.Sprintf(`,"cls":"%s","query":%d,"clientGroup":0,"giveUpAt":%d`, c.name, q.number, deadline)
	}
	if retry {
		fields += `,"retry":true`
	}
	if sim.chance(0.1) {
		fields += `,"update":true`
	}
	hasHint := sim.chance(0.6)
	hint := func(cost int) string {
		if !hasHint {
			return ""
		}
		return fmt.Sprintf(`,"hint":%d`, cost)
	}
	sim.sendEvent(in, "Accept", `,"ref":%d%s,"shard":-1,"amount":%d%s,"pathKey":"set:%d"`, q.id, fields, count,
		hint(12000*count), q.number)
	for range count {
		r := sim.newRequest(in, q, int(sim.random.Uint32()%9))
		sim.sendEvent(in, "Accept", `,"ref":%d%s,"shard":%d,"amount":%.6g%s,"pathKey":"set:%d"`, r.id, fields, r.shard,
			1/float64(count), hint(6000+int(sim.random.Uint32()%12000)), q.number)
	}
	sim.schedule(in, deadline-sim.now, func() { sim.abandonQuery(in, q) })
	if sim.chance(0.04) {
		sim.schedule(in, int64(sim.random.Uint32()%200_000), func() { sim.abandonQuery(in, q) })
	}
}

func (sim *simulation) newRequest(in *simulatedInstance, q *simulatedQuery, shard int) *simulatedRequest {
	r := &simulatedRequest{id: sim.newID(), query: q, shard: shard}
	q.requests = append(q.requests, r)
	in.requests[r.id] = r
	return r
}

func (sim *simulation) abandonQuery(in *simulatedInstance, q *simulatedQuery) {
	if !q.ended {
		q.ended = true
		sim.sendEvent(in, "CancelledByClient", `,"ref":%d`, q.id)
	}
}

// finishQuery ends a query, or starts its second step at shards that have answered in the first.
func (sim *simulation) finishQuery(in *simulatedInstance, q *simulatedQuery) {
	var succeeded []*simulatedRequest
	for _, r := range q.requests {
		if r.succeeded {
			succeeded = append(succeeded, r)
		}
	}
	if q.class.secondStepRequests == 0 || q.secondStep || q.ended {
		q.ended = true
		return
	}
	q.secondStep = true
	count := min(q.class.secondStepRequests, len(succeeded))
	sim.schedule(in, simulationTick, func() {
		for _, first := range succeeded[:count] {
			second := sim.newRequest(in, q, first.shard)
			sim.sendEvent(in, "Accept", `,"ref":%d,"cls":"%s","query":%d,"shard":%d,"amount":%.6g,"giveUpAt":%d`, second.id,
				q.class.name, q.number, second.shard, 1/float64(count), q.deadline)
		}
	})
}
