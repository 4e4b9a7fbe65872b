package simwire

import (
	"encoding/json"
	"fmt"
	"math"
)

type simulatedAttempt struct {
	server uint32
	sentAt int64
	ended  bool
	undone bool
}

type simulatedServer struct {
	id        uint32
	cell      int
	zone      string
	condition string
	startedAt int64
	latency   float64 // mean, in microseconds
	behaviour string
}

// change tells the instances that a server's condition has changed.
func (d *simulatedDay) change(s *simulatedServer, condition string) {
	s.condition = condition
	if condition == "Running" {
		s.startedAt, s.latency = d.now, 12_000+40_000*d.random.Float64()
		if d.chance(0.3) { // a machine replaced
			s.id++
		}
	}
	for _, in := range d.instances {
		if in.running && in.subscribed {
			d.schedule(in, d.exponential(50_000), func() { d.roster(in, "D", []*simulatedServer{s}) })
		}
	}
}

func (d *simulatedDay) roster(in *simulatedInstance, form string, servers []*simulatedServer) {
	d.version++
	if form == "X" {
		d.event(in, "RosterChange", `,"form":"X","index":%d`, d.version)
		return
	}
	d.listNo = (d.listNo + 1) % 16
	var members []map[string]any
	for _, s := range servers {
		if form != "D" && s.condition == "Deleted" {
			continue
		}
		member := map[string]any{"setNo": s.cell, "scale": 1.5, "rackZone": s.zone, "condition": s.condition,
			"server": s.id, "familyType": "gen-a"}
		if s.startedAt > 0 {
			member["startedAt"] = s.startedAt
		}
		members = append(members, member)
	}
	text, err := json.Marshal(members)
	if err != nil {
		d.t.Fatal(err)
	}
	d.write(`{"cmd":"DefineList","sheet":%d,"members":%s}`, d.listNo, text)
	d.event(in, "RosterChange", `,"form":"%s","sheet":%d,"index":%d`, form, d.listNo, d.version)
}

func (d *simulatedDay) server(id uint32) *simulatedServer {
	for _, s := range d.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// send decides how an attempt ends, and when.
func (d *simulatedDay) send(in *simulatedInstance, r *simulatedRequest, server uint32, timeout int64) {
	number := len(r.attempts)
	r.attempts = append(r.attempts, &simulatedAttempt{server: server, sentAt: d.now})
	after := d.exponential(8000) + dayTick
	verdict := d.rareVerdict(number >= attemptsCap || r.passed)
	switch s := d.server(server); {
	case verdict == "cut":
		after = d.exponential(30_000)
	case verdict != "pass":
	case s == nil || s.behaviour == "unreachable" || s.condition == "Deleted":
		after, verdict = 250_000, "no_route"
	case s.behaviour == "full" || s.condition == "Stopping":
		verdict = "no_room"
	case s.behaviour == "errs" && d.chance(0.8):
		verdict = "fault"
	case s.behaviour == "cuts" && d.chance(0.5):
		after, verdict = d.exponential(60_000), "cut"
	case s.behaviour == "silent":
		after = math.MaxInt32
	default:
		after = d.exponential(s.latency) + 6000
		if s.behaviour == "slow" {
			after *= 8
		}
		if d.chance(0.01) {
			after *= 20
		}
		if busy := d.now - dayStart; busy > 12_500_000 && busy < 15_500_000 {
			after *= 5
		}
	}
	if timeout > 0 && after > timeout {
		after, verdict = timeout, "too_slow"
	}
	if d.chance(0.005) {
		d.schedule(in, after/2, func() {
			d.event(in, "Started", `,"ref":%d,"server":%d,"waitTime":9250,"sendNo":%d`, r.ref, server, number)
		})
	}
	d.schedule(in, after, func() { d.end(in, r, number, verdict) })
}

// rareVerdict is the verdict of an attempt unless its server decides.
func (d *simulatedDay) rareVerdict(tooLate bool) string {
	const share = 0.004 // of each
	if tooLate || d.chance(share) {
		return "stale_send"
	}
	if d.chance(share) {
		return "fault"
	}
	if d.chance(share) {
		return "cut"
	}
	return "pass"
}

// end tells how an attempt ended, once.
func (d *simulatedDay) end(in *simulatedInstance, r *simulatedRequest, number int, verdict string) {
	a := r.attempts[number]
	if a.ended {
		return
	}
	a.ended = true
	r.passed = r.passed || verdict == "pass"
	fields := fmt.Sprintf(`,"ref":%d,"server":%d,"waitTime":%d,"verdict":"%s"`, r.ref, a.server, d.now-a.sentAt, verdict)
	if number > 0 {
		fields += fmt.Sprintf(`,"sendNo":%d`, number)
	}
	if r.passed || r.query.ended || verdict == "stale_send" {
		fields += `,"closed":true`
	}
	if d.site.loadReports == "piggyback" && verdict == "pass" {
		fields += `,"healthInfo":{"recent_ms":14.5,"utilization":0.5}`
	}
	d.event(in, "ClosedAttempt", "%s", fields)
}

func (d *simulatedDay) inspect(in *simulatedInstance, server uint32) {
	s, sentAt := d.server(server), d.now
	after, verdict, report := 1000+d.exponential(4000), "pass", ""
	switch {
	case s == nil || s.behaviour == "unreachable":
		after, verdict = 250_000, "no_route"
	case s.behaviour == "silent":
		after, verdict = 400_000, "too_slow"
	default:
		report = fmt.Sprintf(`,"healthInfo":{"recent_ms":%.3g,"backlog":%d}`, s.latency/1000, d.random.Uint32()%4)
		if d.chance(0.1) {
			report = `,"healthInfo":{"utilization":0.3}`
		}
	}
	d.schedule(in, after, func() {
		d.event(in, "Sampled", `,"server":%d,"waitTime":%d,"verdict":"%s"%s`, server, d.now-sentAt, verdict, report)
	})
}

// follow answers a subscription, which fails now and then or is broken later.
func (d *simulatedDay) follow(in *simulatedInstance) {
	d.schedule(in, 5000+d.exponential(20_000), func() {
		if d.chance(0.3) {
			d.roster(in, "X", nil)
			return
		}
		in.subscribed = true
		d.roster(in, "D", d.servers)
		d.schedule(in, d.exponential(6_000_000), func() {
			in.subscribed = false
			d.roster(in, "X", nil)
		})
	})
}
