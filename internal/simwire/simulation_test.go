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

// simulation runs a short seeded simulation against Serve: instances, clients and shard servers that react to the
// decisions of the module. Times are in microseconds. It records the messages sent to Serve and the replies.
type simulation struct {
	t      *testing.T
	config simulationConfig
	random *pcg.Source

	now        int64
	batch      int
	queue      []scheduledEvent // ordered by time, then by the order of scheduling
	instances  []*simulatedInstance
	servers    []*simulatedServer
	nextID     uint64
	listNumber int
	version    int

	toServe   io.Writer
	fromServe *bufio.Reader
	sent      bytes.Buffer
	received  bytes.Buffer
}

// simulationConfig holds what differs between the recorded simulations.
type simulationConfig struct {
	name        string
	seed        uint64
	discovery   string // how endpoint lists are delivered: pushed or on_request
	loadReports string // how load reports are obtained: piggyback, pull or silent
	hedging     bool
	cancel      bool
	retryBudget bool
}

var simulationConfigs = []simulationConfig{
	{"pushed-piggyback", 1, "pushed", "piggyback", true, true, true},
	{"on-request-pull", 2, "on_request", "pull", true, true, true},
	{"silent-single-copy", 3, "pushed", "silent", false, true, false},
	{"no-cancel", 4, "on_request", "silent", true, false, true},
}

const (
	simulationStart     = int64(8_412_250)
	simulationLength    = int64(30_000_000)
	simulationTick      = int64(5_000)
	instanceCount       = 4
	replicaSetCount     = 4
	replicaSetsPerShard = 2
	serverCount         = 14
	maxAttempts         = 3
)

// scheduledEvent is a function to run at a given time. It is skipped if its instance has been killed since it was
// scheduled.
type scheduledEvent struct {
	at          int64
	instance    *simulatedInstance
	incarnation int
	run         func()
}

// settings returns the settings of an instance, as sent in the info field of Hello.
func (sim *simulation) settings(instance int) string {
	type object = map[string]any
	var classList []object
	domain := object{"cells": replicaSetCount, "inARow": replicaSetsPerShard, "shards": 9, "call": 27000, "partsACall": 16,
		"warmKeys": false}
	var minShares, completeShares, partialValues, secondSteps []float64
	for _, c := range classes {
		classList = append(classList, object{"name": c.name, "effect": c.effect, "group": "all",
			"goalTime": c.latencyObjective, "hardLimit": c.hardLimit, "lateValue": c.lateValue,
			"window": 900_000, "worth": 1.0, "streaming": false})
		minShares, completeShares = append(minShares, c.minShare), append(completeShares, c.completeShare)
		partialValues, secondSteps = append(partialValues, 0.9), append(secondSteps, float64(c.secondStepRequests))
	}
	domain["classFloor"], domain["completeFrom"] = minShares, completeShares
	domain["partialEarns"], domain["secondStep"] = partialValues, secondSteps
	rules := object{"answerSlack": 20000, "cold": 6_000_000, "coldShare": 0.18, "drainGrace": 250000, "fall": 2_000_000,
		"fallMultiple": 3.0, "mustAskIn": 10_000_000}
	if sim.config.retryBudget {
		rules["budgetShare"], rules["extraFloor"], rules["resendSpan"] = 0.1, 10.0, 2_000_000
	}
	text, err := json.Marshal(object{"balancers": instanceCount, "myNumber": instance, "tick": simulationTick,
		"classes": classList, "countedBy": "work", "overShareWorth": 0.1, "discovery": sim.config.discovery,
		"zone": "ktm-hall", "weightSource": "rough", "domain": domain, "rules": rules, "unheardOf": object{"x": 1},
		"tenants": []object{{"name": "mainline", "portion": 0.7, "quotaPerS": 21.0}, {"name": "edge", "portion": 0.3}},
		"limits": object{"attemptsCap": maxAttempts, "cancel": sim.config.cancel, "connectTimeout": 250_000,
			"idleClose": 30_000_000, "maxRetryAfter": 1_000_000, "mostHeld": 131, "probes": true, "retryAfter": true,
			"secondCopies": sim.config.hedging, "streamsPerConn": 100},
		"loadInfo": object{"how": sim.config.loadReports, "fields": []string{"recent_ms", "backlog", "utilization"}}})
	if err != nil {
		sim.t.Fatal(err)
	}
	return string(text)
}

// schedule runs a function after a delay; in is nil for an event that concerns no single instance.
func (sim *simulation) schedule(in *simulatedInstance, delay int64, run func()) {
	e := scheduledEvent{at: sim.now + max(delay, 0), instance: in, run: run}
	if in != nil {
		e.incarnation = in.incarnation
	}
	index, _ := slices.BinarySearchFunc(sim.queue, e.at, func(o scheduledEvent, at int64) int {
		if o.at <= at {
			return -1
		}
		return 1
	})
	sim.queue = slices.Insert(sim.queue, index, e)
}

// chance returns true with the given probability.
func (sim *simulation) chance(probability float64) bool { return sim.random.Float64() < probability }

// exponential returns an exponentially distributed random number.
func (sim *simulation) exponential(mean float64) int64 {
	return int64(-mean * math.Log(1-sim.random.Float64()))
}

// newID returns a new ID for a query or shard request. IDs increase in random steps.
func (sim *simulation) newID() uint64 {
	sim.nextID += 1 + uint64(sim.random.Uint32()%7)
	return sim.nextID
}

// run runs the simulation and returns the messages sent to Serve and the replies.
func (sim *simulation) run() (sent, received []byte) {
	inRead, inWrite := io.Pipe()
	outRead, outWrite := io.Pipe()
	served := make(chan error, 1)
	go func() {
		err := Serve(inRead, outWrite)
		outWrite.CloseWithError(io.EOF)
		served <- err
	}()
	sim.toServe, sim.fromServe = inWrite, bufio.NewReader(outRead)
	sim.now, sim.nextID, sim.random = simulationStart, 954_068_419_383_748, pcg.New(sim.config.seed)
	sim.setUp()
	for sim.now < simulationStart+simulationLength {
		sim.runBatch()
	}
	if err := inWrite.Close(); err != nil {
		sim.t.Fatal(err)
	}
	if err := <-served; err != nil {
		sim.t.Fatal(err)
	}
	return sim.sent.Bytes(), sim.received.Bytes()
}

// setUp creates the servers and instances and schedules their faults, replacements and restarts.
func (sim *simulation) setUp() {
	zones := []string{"ktm-hall", "patan-hall"}
	for i := range serverCount {
		sim.servers = append(sim.servers, &simulatedServer{id: 51_530_247 + sim.random.Uint32()%1_000_000_000,
			replicaSet: i % replicaSetCount, zone: zones[i/replicaSetCount%2], condition: "Running",
			latency: 12_000 + 40_000*sim.random.Float64()})
	}
	for id := range instanceCount {
		in := &simulatedInstance{id: id}
		sim.instances = append(sim.instances, in)
		sim.schedule(nil, int64(id)*40_000, func() { sim.startInstance(in) })
	}
	behaviours := []string{"silent", "errs", "full", "unreachable", "slow", "cuts", "slow"}
	for i, behaviour := range behaviours {
		server := sim.servers[sim.random.Uint32()%serverCount]
		sim.schedule(nil, int64(3+4*i)*1_000_000, func() { server.behaviour = behaviour })
		sim.schedule(nil, int64(6+4*i)*1_000_000, func() { server.behaviour = "" })
	}
	for i := range 7 {
		server := sim.servers[sim.random.Uint32()%serverCount]
		sim.schedule(nil, int64(2+4*i)*1_000_000, func() { sim.setCondition(server, "Stopping") })
		sim.schedule(nil, int64(3+4*i)*1_000_000, func() { sim.setCondition(server, "Deleted") })
		sim.schedule(nil, int64(4+4*i)*1_000_000, func() { sim.setCondition(server, "Running") })
	}
	for _, at := range []int64{9, 17, 26} {
		in := sim.instances[sim.random.Uint32()%instanceCount]
		sim.schedule(nil, at*1_000_000, func() { sim.killInstance(in) })
		wait := int64(sim.random.Uint32()%3) * 300_000 // with 0, the instance is killed and restarted in the same batch
		sim.schedule(nil, at*1_000_000+wait, func() { sim.startInstance(in) })
	}
}

// runBatch sends the events that are due as one batch and handles the reply.
func (sim *simulation) runBatch() {
	dueAt := sim.now + simulationTick
	if len(sim.queue) > 0 {
		dueAt = max(dueAt, (sim.queue[0].at+simulationTick-1)/simulationTick*simulationTick+simulationStart%simulationTick)
	}
	sim.now = dueAt
	sim.batch++
	sim.write(`{"cmd":"BeginBatch","now":%d,"batch":%d}`, sim.now, sim.batch)
	for len(sim.queue) > 0 && sim.queue[0].at <= sim.now {
		e := sim.queue[0]
		sim.queue = slices.Delete(sim.queue, 0, 1)
		if e.instance == nil || e.instance.running && e.incarnation == e.instance.incarnation {
			e.run()
		}
	}
	sim.write(`{"cmd":"YourTurn"}`)
	for {
		line, err := sim.fromServe.ReadBytes('\n')
		if err != nil {
			sim.t.Fatalf("batch %d: reading the reply: %v", sim.batch, err)
		}
		sim.received.Write(line)
		var a action
		if err := json.Unmarshal(line, &a); err != nil {
			sim.t.Fatalf("batch %d: reply line %q: %v", sim.batch, line, err)
		}
		if a.Cmd == "Ok" {
			return
		}
		sim.handleAction(&a)
	}
}

// write sends a message to Serve and records it.
func (sim *simulation) write(format string, args ...any) {
	line := fmt.Sprintf(format, args...) + "\n"
	sim.sent.WriteString(line)
	if _, err := io.WriteString(sim.toServe, line); err != nil {
		sim.t.Fatal(err)
	}
}

// sendEvent sends an event of an instance; format gives its other fields, each after a comma.
func (sim *simulation) sendEvent(in *simulatedInstance, cmd, format string, args ...any) {
	sim.write(`{"cmd":"%s","gathererId":%d%s}`, cmd, in.id, fmt.Sprintf(format, args...))
}

// action is one message of a reply.
type action struct {
	Cmd        string `json:"cmd"`
	Instance   int    `json:"gathererId"`
	ID         uint64 `json:"ref"`
	Server     uint32 `json:"server"`
	Timeout    int64  `json:"cap"`
	Attempt    int    `json:"sendNo"`
	RetryAfter int64  `json:"pause"`
	WakeAfter  int64  `json:"sleepFor"`
}

// handleAction simulates the reaction to an instance's message.
func (sim *simulation) handleAction(a *action) {
	in := sim.instances[a.Instance]
	switch a.Cmd {
	case "PassOn":
		sim.startAttempt(in, in.requests[a.ID], a.Server, a.Timeout)
	case "UndoSend":
		r := in.requests[a.ID]
		r.attempts[a.Attempt].cancelled = true
		sim.schedule(in, 2*simulationTick, func() { sim.endAttempt(in, r, a.Attempt, "undone") })
	case "Schedule":
		sim.schedule(in, a.WakeAfter, func() { sim.sendEvent(in, "DeadlineHit", `,"ctx":"round"`) })
	case "Inspect":
		sim.answerHealthCheck(in, a.Server)
	case "Follow":
		sim.answerSubscription(in)
	case "SettleQuery":
		sim.finishQuery(in, in.queries[a.ID])
	case "PushBack":
		q := in.queries[a.ID]
		q.ended = true
		retryAt := sim.now + max(a.RetryAfter, 50_000)
		if deadline := q.issuedAt + q.class.hardLimit; retryAt < deadline {
			sim.schedule(in, retryAt-sim.now, func() { sim.submitQuery(in, q.class, q.issuedAt, deadline, true) })
		}
	case "EndFailed":
		in.queries[a.ID].ended = true
	default:
		sim.t.Fatalf("batch %d: unexpected message %+v", sim.batch, a)
	}
}

// countLinesByKind counts the lines of a recording by command and, if present, form or verdict.
func countLinesByKind(t *testing.T, text []byte) map[string]int {
	counts := map[string]int{}
	for line := range bytes.Lines(text) {
		var m struct{ Cmd, Form, Verdict string }
		if err := json.Unmarshal(line, &m); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		kind := m.Cmd
		if detail := cmp.Or(m.Form, m.Verdict); detail != "" {
			kind += " " + detail
		}
		counts[kind]++
	}
	return counts
}
