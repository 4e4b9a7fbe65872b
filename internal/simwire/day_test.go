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
	if err := inWrite.Close(); err != nil {
		d.t.Fatal(err)
	}
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
		d.send(in, in.requests[a.Ref], a.Server, a.Cap)
	case "UndoSend":
		r := in.requests[a.Ref]
		r.attempts[a.SendNo].undone = true
		d.schedule(in, 2*dayTick, func() { d.end(in, r, a.SendNo, "undone") })
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
