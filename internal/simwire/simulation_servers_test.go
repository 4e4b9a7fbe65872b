package simwire

import (
	"encoding/json"
	"fmt"
	"math"
)

type simulatedAttempt struct {
	server    uint32
	sentAt    int64
	ended     bool
	cancelled bool
}

type simulatedServer struct {
	id         uint32
	replicaSet int
	zone       string
	condition  string  // as in an endpoint list: Running, Stopping or Deleted
	startedAt  int64   // 0 until the first restart
	latency    float64 // mean latency in microseconds
	behaviour  string  // simulated fault, "" for none
}

// setCondition changes a server's condition and notifies the subscribed instances. A server that starts may have a new
// ID.
func (sim *simulation) setCondition(s *simulatedServer, condition string) {
	s.condition = condition
	if condition == "Running" {
		s.startedAt, s.latency = sim.now, 12_000+40_000*sim.random.Float64()
		if sim.chance(0.3) { // simulates a replaced machine
			s.id++
		}
	}
	for _, in := range sim.instances {
		if in.running && in.subscribed {
			sim.schedule(in, sim.exponential(50_000), func() { sim.sendEndpointList(in, "D", []*simulatedServer{s}) })
		}
	}
}

// sendEndpointList sends an instance an endpoint list of the given form, or the failure of its subscription, form X.
func (sim *simulation) sendEndpointList(in *simulatedInstance, form string, servers []*simulatedServer) {
	sim.version++
	if form == "X" {
		sim.sendEvent(in, "RosterChange", `,"form":"X","index":%d`, sim.version)
		return
	}
	sim.listNumber = (sim.listNumber + 1) % 16
	var members []map[string]any
	for _, s := range servers {
		if form != "D" && s.condition == "Deleted" {
			continue
		}
		member := map[string]any{"setNo": s.replicaSet, "scale": 1.5, "rackZone": s.zone, "condition": s.condition,
			"server": s.id, "familyType": "gen-a"}
		if s.startedAt > 0 {
			member["startedAt"] = s.startedAt
		}
		members = append(members, member)
	}
	text, err := json.Marshal(members)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.write(`{"cmd":"DefineList","sheet":%d,"members":%s}`, sim.listNumber, text)
	sim.sendEvent(in, "RosterChange", `,"form":"%s","sheet":%d,"index":%d`, form, sim.listNumber, sim.version)
}

func (sim *simulation) findServer(id uint32) *simulatedServer {
	for _, s := range sim.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// startAttempt records an attempt, determines how and when it ends, and schedules its end.
func (sim *simulation) startAttempt(in *simulatedInstance, r *simulatedRequest, server uint32, timeout int64) {
	number := len(r.attempts)
	r.attempts = append(r.attempts, &simulatedAttempt{server: server, sentAt: sim.now})
	delay := sim.exponential(8000) + simulationTick
	verdict := sim.rareVerdict(number >= maxAttempts || r.succeeded)
	switch s := sim.findServer(server); {
	case verdict == "cut":
		delay = sim.exponential(30_000)
	case verdict != "pass":
	case s == nil || s.behaviour == "unreachable" || s.condition == "Deleted":
		delay, verdict = 250_000, "no_route"
	case s.behaviour == "full" || s.condition == "Stopping":
		verdict = "no_room"
	case s.behaviour == "errs" && sim.chance(0.8):
		verdict = "fault"
	case s.behaviour == "cuts" && sim.chance(0.5):
		delay, verdict = sim.exponential(60_000), "cut"
	case s.behaviour == "silent":
		delay = math.MaxInt32
	default:
		delay = sim.exponential(s.latency) + 6000
		if s.behaviour == "slow" {
			delay *= 8
		}
		if sim.chance(0.01) {
			delay *= 20
		}
		if elapsed := sim.now - simulationStart; elapsed > 12_500_000 && elapsed < 15_500_000 {
			delay *= 5
		}
	}
	if timeout > 0 && delay > timeout {
		delay, verdict = timeout, "too_slow"
	}
	if sim.chance(0.005) {
		sim.schedule(in, delay/2, func() {
			sim.sendEvent(in, "Started", `,"ref":%d,"server":%d,"waitTime":9250,"sendNo":%d`, r.id, server, number)
		})
	}
	sim.schedule(in, delay, func() { sim.endAttempt(in, r, number, verdict) })
}

// rareVerdict returns the verdict of a rare event that does not depend on the server, or pass if none occurs. If stale
// is set, it returns stale_send.
func (sim *simulation) rareVerdict(stale bool) string {
	const share = 0.004 // probability of each verdict
	if stale || sim.chance(share) {
		return "stale_send"
	}
	if sim.chance(share) {
		return "fault"
	}
	if sim.chance(share) {
		return "cut"
	}
	return "pass"
}

// endAttempt reports how an attempt ended, unless that has been reported already.
func (sim *simulation) endAttempt(in *simulatedInstance, r *simulatedRequest, number int, verdict string) {
	a := r.attempts[number]
	if a.ended {
		return
	}
	a.ended = true
	r.succeeded = r.succeeded || verdict == "pass"
	fields := fmt.Sprintf(`,"ref":%d,"server":%d,"waitTime":%d,"verdict":"%s"`, r.id, a.server, sim.now-a.sentAt, verdict)
	if number > 0 {
		fields += fmt.Sprintf(`,"sendNo":%d`, number)
	}
	if r.succeeded || r.query.ended || verdict == "stale_send" {
		fields += `,"closed":true`
	}
	if sim.config.loadReports == "piggyback" && verdict == "pass" {
		fields += `,"healthInfo":{"recent_ms":14.5,"utilization":0.5}`
	}
	sim.sendEvent(in, "ClosedAttempt", "%s", fields)
}

// answerHealthCheck schedules the result of a health check.
func (sim *simulation) answerHealthCheck(in *simulatedInstance, server uint32) {
	s, sentAt := sim.findServer(server), sim.now
	delay, verdict, report := 1000+sim.exponential(4000), "pass", ""
	switch {
	case s == nil || s.behaviour == "unreachable":
		delay, verdict = 250_000, "no_route"
	case s.behaviour == "silent":
		delay, verdict = 400_000, "too_slow"
	default:
		report = fmt.Sprintf(`,"healthInfo":{"recent_ms":%.3g,"backlog":%d}`, s.latency/1000, sim.random.Uint32()%4)
		if sim.chance(0.1) {
			report = `,"healthInfo":{"utilization":0.3}`
		}
	}
	sim.schedule(in, delay, func() {
		sim.sendEvent(in, "Sampled", `,"server":%d,"waitTime":%d,"verdict":"%s"%s`, server, sim.now-sentAt, verdict, report)
	})
}

// answerSubscription answers an instance's subscription to endpoint changes. Some subscriptions fail at once, others
// break later.
func (sim *simulation) answerSubscription(in *simulatedInstance) {
	sim.schedule(in, 5000+sim.exponential(20_000), func() {
		if sim.chance(0.3) {
			sim.sendEndpointList(in, "X", nil)
			return
		}
		in.subscribed = true
		sim.sendEndpointList(in, "D", sim.servers)
		sim.schedule(in, sim.exponential(6_000_000), func() {
			in.subscribed = false
			sim.sendEndpointList(in, "X", nil)
		})
	})
}
