package simwire

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"testing"

	"yokeroute/internal/pcg"
)

// simulatedDay plays a short seeded day against Serve: instances, clients and shard servers that react to what the
// decision module writes. Times are microseconds. It records what it sent and what came back.
type simulatedDay struct {
	t      *testing.T
	site   site
	random *pcg.Source

	now       int64
	batch     int
	queue     []scheduledEvent // by time, then by the order in which they were scheduled
	instances []*simulatedInstance
	servers   []*simulatedServer
	nextRef   uint64
	listNo    int
	version   int

	toServe   io.Writer
	fromServe *bufio.Reader
	sent      bytes.Buffer
	received  bytes.Buffer
}

// site is what differs between the recorded days.
type site struct {
	name         string
	seed         uint64
	discovery    string
	loadReports  string
	secondCopies bool
	cancel       bool
	budget       bool
}

var sites = []site{
	{"pushed-piggyback", 1, "pushed", "piggyback", true, true, true},
	{"on-request-pull", 2, "on_request", "pull", true, true, true},
	{"silent-single-copy", 3, "pushed", "silent", false, true, false},
	{"no-cancel", 4, "on_request", "silent", true, false, true},
}

const (
	dayStart      = int64(8_412_250)
	dayLength     = int64(30_000_000)
	dayTick       = int64(5_000)
	dayInstances  = 4
	dayCells      = 4
	dayCellsInRow = 2
	dayServers    = 14
	attemptsCap   = 3
)

// scheduledEvent is something that happens at a time. It is skipped where its instance was killed in the meantime.
type scheduledEvent struct {
	at          int64
	instance    *simulatedInstance
	incarnation int
	happen      func()
}

type simulatedInstance struct {
	id          int
	incarnation int
	running     bool
	subscribed  bool
	queries     map[uint64]*simulatedQuery // by the id of the query
	parts       map[uint64]*simulatedPart
	queryNumber int
	lines       []string // of the batch that is being put together
}

type simulatedQuery struct {
	ref        uint64
	number     int
	class      class
	parts      []*simulatedPart
	giveUpAt   int64
	issuedAt   int64
	ended      bool
	secondStep bool
}

type simulatedPart struct {
	ref      uint64
	query    *simulatedQuery
	shard    int
	passed   bool
	attempts []*simulatedAttempt
}

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

// settings are those of an instance, in the form of the wire's page.
func (d *simulatedDay) settings(instance int) string {
	type object = map[string]any
	var listed []object
	domain := object{"cells": dayCells, "inARow": dayCellsInRow, "shards": 9, "call": 27000, "partsACall": 16,
		"warmKeys": false}
	var floors, needs, earns, seconds []float64
	for _, c := range classes {
		listed = append(listed, object{"name": c.name, "effect": c.effect, "group": "all", "goalTime": c.goalTime,
			"hardLimit": c.hardLimit, "lateValue": c.secondTry, "window": 900_000, "worth": 1.0, "streaming": false})
		floors, needs = append(floors, c.floor), append(needs, c.need)
		earns, seconds = append(earns, 0.9), append(seconds, float64(c.secondStep))
	}
	domain["classFloor"], domain["completeFrom"] = floors, needs
	domain["partialEarns"], domain["secondStep"] = earns, seconds
	rules := object{"answerSlack": 20000, "cold": 6_000_000, "coldShare": 0.18, "drainGrace": 250000, "fall": 2_000_000,
		"fallMultiple": 3.0, "mustAskIn": 10_000_000}
	if d.site.budget {
		rules["budgetShare"], rules["extraFloor"], rules["resendSpan"] = 0.1, 10.0, 2_000_000
	}
	text, err := json.Marshal(object{"balancers": dayInstances, "myNumber": instance, "tick": dayTick, "classes": listed,
		"countedBy": "work", "overShareWorth": 0.1, "discovery": d.site.discovery, "zone": "ktm-hall",
		"weightSource": "rough", "domain": domain, "rules": rules, "unheardOf": object{"x": 1},
		"tenants": []object{{"name": "mainline", "portion": 0.7, "quotaPerS": 21.0}, {"name": "edge", "portion": 0.3}},
		"limits": object{"attemptsCap": attemptsCap, "cancel": d.site.cancel, "connectTimeout": 250_000,
			"idleClose": 30_000_000, "maxRetryAfter": 1_000_000, "mostHeld": 131, "probes": true, "retryAfter": true,
			"secondCopies": d.site.secondCopies, "streamsPerConn": 100},
		"loadInfo": object{"how": d.site.loadReports, "fields": []string{"recent_ms", "backlog", "utilization"}}})
	if err != nil {
		d.t.Fatal(err)
	}
	return string(text)
}

func (d *simulatedDay) schedule(in *simulatedInstance, after int64, happen func()) {
	e := scheduledEvent{at: d.now + max(after, 0), instance: in, happen: happen}
	if in != nil {
		e.incarnation = in.incarnation
	}
	place, _ := slices.BinarySearchFunc(d.queue, e.at, func(o scheduledEvent, at int64) int {
		if o.at <= at {
			return -1
		}
		return 1
	})
	d.queue = slices.Insert(d.queue, place, e)
}

func (d *simulatedDay) chance(of float64) bool { return d.random.Float64() < of }

func (d *simulatedDay) exponential(mean float64) int64 {
	return int64(-mean * math.Log(1-d.random.Float64()))
}

func (d *simulatedDay) ref() uint64 {
	d.nextRef += 1 + uint64(d.random.Uint32()%7)
	return d.nextRef
}

// play runs the day and returns what was sent to Serve and what came back.
func (d *simulatedDay) play() (sent, received []byte) {
	inRead, inWrite := io.Pipe()
	outRead, outWrite := io.Pipe()
	served := make(chan error, 1)
	go func() {
		err := Serve(inRead, outWrite)
		outWrite.CloseWithError(io.EOF)
		served <- err
	}()
	d.toServe, d.fromServe = inWrite, bufio.NewReader(outRead)
	d.now, d.nextRef, d.random = dayStart, 954_068_419_383_748, pcg.New(d.site.seed)
	d.start()
	for d.now < dayStart+dayLength {
		d.runBatch()
	}
	inWrite.Close()
	if err := <-served; err != nil {
		d.t.Fatal(err)
	}
	return d.sent.Bytes(), d.received.Bytes()
}

// start sets the servers, the instances and the course of the day up.
func (d *simulatedDay) start() {
	zones := []string{"ktm-hall", "patan-hall"}
	for i := range dayServers {
		d.servers = append(d.servers, &simulatedServer{id: 51_530_247 + d.random.Uint32()%1_000_000_000, cell: i % dayCells,
			zone: zones[i/dayCells%2], condition: "Running", latency: 12_000 + 40_000*d.random.Float64()})
	}
	for id := range dayInstances {
		in := &simulatedInstance{id: id}
		d.instances = append(d.instances, in)
		d.schedule(nil, int64(id)*40_000, func() { d.hello(in) })
	}
	behaviours := []string{"silent", "errs", "full", "unreachable", "slow", "cuts", "slow"}
	for i, behaviour := range behaviours {
		server := d.servers[d.random.Uint32()%dayServers]
		d.schedule(nil, int64(3+4*i)*1_000_000, func() { server.behaviour = behaviour })
		d.schedule(nil, int64(6+4*i)*1_000_000, func() { server.behaviour = "" })
	}
	for i := range 7 {
		server := d.servers[d.random.Uint32()%dayServers]
		d.schedule(nil, int64(2+4*i)*1_000_000, func() { d.change(server, "Stopping") })
		d.schedule(nil, int64(3+4*i)*1_000_000, func() { d.change(server, "Deleted") })
		d.schedule(nil, int64(4+4*i)*1_000_000, func() { d.change(server, "Running") })
	}
	for _, at := range []int64{9, 17, 26} {
		in := d.instances[d.random.Uint32()%dayInstances]
		d.schedule(nil, at*1_000_000, func() { d.kill(in) })
		wait := int64(d.random.Uint32()%3) * 300_000 // some start again in the same batch
		d.schedule(nil, at*1_000_000+wait, func() { d.hello(in) })
	}
}

func (d *simulatedDay) runBatch() {
	due := d.now + dayTick
	if len(d.queue) > 0 {
		due = max(due, (d.queue[0].at+dayTick-1)/dayTick*dayTick+dayStart%dayTick)
	}
	d.now = due
	d.batch++
	d.write(`{"cmd":"BeginBatch","now":%d,"batch":%d}`, d.now, d.batch)
	for len(d.queue) > 0 && d.queue[0].at <= d.now {
		e := d.queue[0]
		d.queue = slices.Delete(d.queue, 0, 1)
		if e.instance == nil || e.instance.running && e.incarnation == e.instance.incarnation {
			e.happen()
		}
	}
	d.write(`{"cmd":"YourTurn"}`)
	for {
		line, err := d.fromServe.ReadBytes('\n')
		if err != nil {
			d.t.Fatalf("batch %d: %v", d.batch, err)
		}
		d.received.Write(line)
		var a action
		if err := json.Unmarshal(line, &a); err != nil {
			d.t.Fatalf("batch %d: %q: %v", d.batch, line, err)
		}
		if a.Cmd == "Ok" {
			return
		}
		d.act(&a)
	}
}

func (d *simulatedDay) write(format string, args ...any) {
	line := fmt.Sprintf(format, args...) + "\n"
	d.sent.WriteString(line)
	if _, err := io.WriteString(d.toServe, line); err != nil {
		d.t.Fatal(err)
	}
}

func (d *simulatedDay) event(in *simulatedInstance, cmd, format string, args ...any) {
	d.write(`{"cmd":"%s","gathererId":%d%s}`, cmd, in.id, fmt.Sprintf(format, args...))
}

// hello starts an instance, whose first list may be out of date.
func (d *simulatedDay) hello(in *simulatedInstance) {
	if in.running {
		return
	}
	in.running, in.subscribed = true, d.site.discovery == "pushed"
	in.incarnation++
	in.queries, in.parts, in.queryNumber = map[uint64]*simulatedQuery{}, map[uint64]*simulatedPart{}, 0
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
		p := d.part(in, q, int(d.random.Uint32()%9))
		d.event(in, "Accept", `,"ref":%d%s,"shard":%d,"amount":%.6g%s,"pathKey":"set:%d"`, p.ref, fields, p.shard,
			1/float64(count), hint(6000+int(d.random.Uint32()%12000)), q.number)
	}
	d.schedule(in, giveUpAt-d.now, func() { d.leave(in, q) })
	if d.chance(0.04) {
		d.schedule(in, int64(d.random.Uint32()%200_000), func() { d.leave(in, q) })
	}
}

func (d *simulatedDay) part(in *simulatedInstance, q *simulatedQuery, shard int) *simulatedPart {
	p := &simulatedPart{ref: d.ref(), query: q, shard: shard}
	q.parts = append(q.parts, p)
	in.parts[p.ref] = p
	return p
}

func (d *simulatedDay) leave(in *simulatedInstance, q *simulatedQuery) {
	if !q.ended {
		q.ended = true
		d.event(in, "CancelledByClient", `,"ref":%d`, q.ref)
	}
}

// action is one line of a reply.
type action struct {
	Cmd      string `json:"cmd"`
	Instance int    `json:"gathererId"`
	Ref      uint64 `json:"ref"`
	Server   uint32 `json:"server"`
	Cap      int64  `json:"cap"`
	SendNo   int    `json:"sendNo"`
	Pause    int64  `json:"pause"`
	SleepFor int64  `json:"sleepFor"`
}

func (d *simulatedDay) act(a *action) {
	in := d.instances[a.Instance]
	switch a.Cmd {
	case "PassOn":
		d.send(in, in.parts[a.Ref], a.Server, a.Cap)
	case "UndoSend":
		p := in.parts[a.Ref]
		p.attempts[a.SendNo].undone = true
		d.schedule(in, 2*dayTick, func() { d.end(in, p, a.SendNo, "undone") })
	case "Schedule":
		d.schedule(in, a.SleepFor, func() { d.event(in, "DeadlineHit", `,"ctx":"round"`) })
	case "Inspect":
		d.inspect(in, a.Server)
	case "Follow":
		d.follow(in)
	case "SettleQuery":
		d.settle(in, in.queries[a.Ref])
	case "PushBack":
		q := in.queries[a.Ref]
		q.ended = true
		again := d.now + max(a.Pause, 50_000)
		if limit := q.issuedAt + q.class.hardLimit; again < limit {
			d.schedule(in, again-d.now, func() { d.accept(in, q.class, q.issuedAt, limit, true) })
		}
	case "EndFailed":
		in.queries[a.Ref].ended = true
	default:
		d.t.Fatalf("batch %d: %+v", d.batch, a)
	}
}

// settle ends a query, or brings its second step at shards that have answered.
func (d *simulatedDay) settle(in *simulatedInstance, q *simulatedQuery) {
	var passed []*simulatedPart
	for _, p := range q.parts {
		if p.passed {
			passed = append(passed, p)
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
			p := d.part(in, q, first.shard)
			d.event(in, "Accept", `,"ref":%d,"cls":"%s","query":%d,"shard":%d,"amount":%.6g,"giveUpAt":%d`, p.ref,
				q.class.name, q.number, p.shard, 1/float64(count), q.giveUpAt)
		}
	})
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
func (d *simulatedDay) send(in *simulatedInstance, p *simulatedPart, server uint32, timeout int64) {
	number := len(p.attempts)
	p.attempts = append(p.attempts, &simulatedAttempt{server: server, sentAt: d.now})
	after, verdict := d.exponential(8000)+dayTick, "pass"
	switch s := d.server(server); {
	case number >= attemptsCap || p.passed || d.chance(0.004):
		verdict = "stale_send"
	case d.chance(0.004):
		verdict = "fault"
	case d.chance(0.004):
		after, verdict = d.exponential(30_000), "cut"
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
			d.event(in, "Started", `,"ref":%d,"server":%d,"waitTime":9250,"sendNo":%d`, p.ref, server, number)
		})
	}
	d.schedule(in, after, func() { d.end(in, p, number, verdict) })
}

// end tells how an attempt ended, once.
func (d *simulatedDay) end(in *simulatedInstance, p *simulatedPart, number int, verdict string) {
	a := p.attempts[number]
	if a.ended {
		return
	}
	a.ended = true
	p.passed = p.passed || verdict == "pass"
	fields := fmt.Sprintf(`,"ref":%d,"server":%d,"waitTime":%d,"verdict":"%s"`, p.ref, a.server, d.now-a.sentAt, verdict)
	if number > 0 {
		fields += fmt.Sprintf(`,"sendNo":%d`, number)
	}
	if p.passed || p.query.ended || verdict == "stale_send" {
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

// linesByKind counts the lines of a recording by the command and, where there is one, the form or verdict.
func linesByKind(t *testing.T, text []byte) map[string]int {
	counts := map[string]int{}
	for line := range bytes.Lines(text) {
		var m struct{ Cmd, Form, Verdict string }
		if err := json.Unmarshal(line, &m); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		kind := m.Cmd
		if sub := cmp.Or(m.Form, m.Verdict); sub != "" {
			kind += " " + sub
		}
		counts[kind]++
	}
	return counts
}
