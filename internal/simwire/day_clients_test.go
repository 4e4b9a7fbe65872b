package simwire

import (
	"fmt"
)

type simulatedInstance struct {
	id          int
	incarnation int
	running     bool
	subscribed  bool
	queries     map[uint64]*simulatedQuery // by the id of the query
	requests    map[uint64]*simulatedRequest
	queryNumber int
}

type simulatedQuery struct {
	ref        uint64
	number     int
	class      class
	requests   []*simulatedRequest
	giveUpAt   int64
	issuedAt   int64
	ended      bool
	secondStep bool
}

type simulatedRequest struct {
	ref      uint64
	query    *simulatedQuery
	shard    int
	passed   bool
	attempts []*simulatedAttempt
}

type class struct {
	name, effect           string
	goalTime, hardLimit    int64
	floor, need, secondTry float64
	secondStep             int
}

var classes = []class{
	{"dep-resolve", "pure", 400_000, 1_500_000, 0.5, 0.75, 0.1, 0},
	{"file-search", "pure", 500_000, 1_500_000, 1, 1, 0.1, 0},
	{"build-claim", "side_effect", 400_000, 1_200_000, 1, 1, 0, 0},
	{"tag-write", "token", 450_000, 1_400_000, 1, 1, 0.1, 0},
	{"two-steps", "pure", 600_000, 1_800_000, 0.5, 0.8, 0.2, 2},
}

// hello starts an instance, whose first list may be out of date.
func (d *simulatedDay) hello(in *simulatedInstance) {
	if in.running {
		return
	}
	in.running, in.subscribed = true, d.site.discovery == "pushed"
	in.incarnation++
	in.queries, in.requests, in.queryNumber = map[uint64]*simulatedQuery{}, map[uint64]*simulatedRequest{}, 0
	d.event(in, "Hello", `,"initSeed":%d,"info":%s`, d.random.Uint32(), d.settings(in.id))
	d.roster(in, "C", d.servers)
	d.schedule(in, d.exponential(200_000), func() { d.arrival(in) })
	d.schedule(in, 3_000_000, func() { d.event(in, "Peer", `,"srcPeer":1,"raw":"aGkgNw=="`) })
	d.schedule(in, 5_000_000, func() { d.roster(in, "F", d.servers) })
}

func (d *simulatedDay) kill(in *simulatedInstance) {
	if in.running {
		in.running = false
		d.event(in, "Kill", "")
	}
}

// arrival brings one query and schedules the next one. The load doubles for a part of the day.
func (d *simulatedDay) arrival(in *simulatedInstance) {
	mean := 220_000.0
	if at := d.now - dayStart; at > 12_000_000 && at < 16_000_000 {
		mean = 40_000
	}
	d.schedule(in, d.exponential(mean), func() { d.arrival(in) })
	c := classes[int(d.random.Uint32())%len(classes)]
	waits := c.hardLimit
	if d.chance(0.3) {
		waits = c.goalTime + int64(d.random.Uint32()%300_000)
	}
	d.accept(in, c, d.now, d.now+waits, false)
}

func (d *simulatedDay) accept(in *simulatedInstance, c class, issuedAt, giveUpAt int64, repeats bool) {
	in.queryNumber++
	q := &simulatedQuery{ref: d.ref(), number: in.queryNumber, class: c, issuedAt: issuedAt, giveUpAt: giveUpAt}
	in.queries[q.ref] = q
	count := 1 + int(d.random.Uint32()%5)
	fields := fmt.Sprintf(`,"cls":"%s","query":%d,"clientGroup":"mainline","giveUpAt":%d`, c.name, q.number, giveUpAt)
	if d.chance(0.2) {
		fields = fmt.Sprintf(`,"cls":"%s","query":%d,"clientGroup":0,"giveUpAt":%d`, c.name, q.number, giveUpAt)
	}
	if repeats {
		fields += `,"retry":true`
	}
	if d.chance(0.1) {
		fields += `,"update":true`
	}
	hinted := d.chance(0.6)
	hint := func(of int) string {
		if !hinted {
			return ""
		}
		return fmt.Sprintf(`,"hint":%d`, of)
	}
	d.event(in, "Accept", `,"ref":%d%s,"shard":-1,"amount":%d%s,"pathKey":"set:%d"`, q.ref, fields, count, hint(12000*count),
		q.number)
	for range count {
		r := d.newRequest(in, q, int(d.random.Uint32()%9))
		d.event(in, "Accept", `,"ref":%d%s,"shard":%d,"amount":%.6g%s,"pathKey":"set:%d"`, r.ref, fields, r.shard,
			1/float64(count), hint(6000+int(d.random.Uint32()%12000)), q.number)
	}
	d.schedule(in, giveUpAt-d.now, func() { d.leave(in, q) })
	if d.chance(0.04) {
		d.schedule(in, int64(d.random.Uint32()%200_000), func() { d.leave(in, q) })
	}
}

func (d *simulatedDay) newRequest(in *simulatedInstance, q *simulatedQuery, shard int) *simulatedRequest {
	r := &simulatedRequest{ref: d.ref(), query: q, shard: shard}
	q.requests = append(q.requests, r)
	in.requests[r.ref] = r
	return r
}

func (d *simulatedDay) leave(in *simulatedInstance, q *simulatedQuery) {
	if !q.ended {
		q.ended = true
		d.event(in, "CancelledByClient", `,"ref":%d`, q.ref)
	}
}

// settle ends a query, or brings its second step at shards that have answered.
func (d *simulatedDay) settle(in *simulatedInstance, q *simulatedQuery) {
	var passed []*simulatedRequest
	for _, r := range q.requests {
		if r.passed {
			passed = append(passed, r)
		}
	}
	if q.class.secondStep == 0 || q.secondStep || q.ended {
		q.ended = true
		return
	}
	q.secondStep = true
	count := min(q.class.secondStep, len(passed))
	d.schedule(in, dayTick, func() {
		for _, first := range passed[:count] {
			r := d.newRequest(in, q, first.shard)
			d.event(in, "Accept", `,"ref":%d,"cls":"%s","query":%d,"shard":%d,"amount":%.6g,"giveUpAt":%d`, r.ref,
				q.class.name, q.number, r.shard, 1/float64(count), q.giveUpAt)
		}
	})
}
