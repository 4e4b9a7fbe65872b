// Package simwire puts the decision module on the simulator's wire: JSON lines, many instances that
// share nothing. It translates and keeps frames; it decides nothing.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"yokeroute/gather"
	"yokeroute/internal/config/settings"
	"yokeroute/logic"
)

// message holds the fields of every message that the wire may bring.
type message struct {
	Cmd      string          `json:"cmd"`
	Now      *float64        `json:"now"`
	Batch    *int64          `json:"batch"`
	Instance *int64          `json:"gathererId"`
	Seed     uint64          `json:"initSeed"`
	Info     json.RawMessage `json:"info"`
	Sheet    *int            `json:"sheet"`
	Members  []member        `json:"members"`
	Form     string          `json:"form"`
	Ref      *uint64         `json:"ref"`
	Class    string          `json:"cls"`
	Query    *uint64         `json:"query"`
	Customer json.RawMessage `json:"clientGroup"`
	Shard    *int            `json:"shard"`
	Hint     float64         `json:"hint"`
	Update   bool            `json:"update"`
	Amount   float64         `json:"amount"`
	Key      string          `json:"pathKey"`
	GiveUpAt float64         `json:"giveUpAt"`
	Retry    bool            `json:"retry"`
	Server   *uint32         `json:"server"`
	Wait     float64         `json:"waitTime"`
	Verdict  string          `json:"verdict"`
	SendNo   int             `json:"sendNo"`
	Closed   bool            `json:"closed"`
	Health   health          `json:"healthInfo"`
}

// health is a load report; it has more values at some sites.
type health struct {
	Waiting *float64 `json:"backlog"`
	Latency *float64 `json:"recent_ms"`
}

type member struct {
	Group     int     `json:"setNo"`
	Size      float64 `json:"scale"`
	Zone      string  `json:"rackZone"`
	Condition string  `json:"condition"`
	Server    *uint32 `json:"server"`
	Kind      string  `json:"familyType"`
	Started   float64 `json:"startedAt"`
}

var outcomes = map[string]gather.Outcome{
	"pass": gather.Succeeded, "fault": gather.Failed, "no_room": gather.Rejected, "too_slow": gather.TimedOut,
	"no_route": gather.ConnectFailed, "cut": gather.ConnectionReset, "undone": gather.Cancelled, "stale_send": gather.NotSent,
}

var states = map[string]gather.State{
	"Running": gather.Running, "Stopping": gather.Draining, "Deleted": gather.Removed,
}

func ms(us float64) float64 { return us / 1000 }

// instance is one gatherer with the round it is being told.
type instance struct {
	logic *logic.Gatherer
	round gather.Round
	heard bool
}

type host struct {
	out       *bufio.Writer
	instances map[int64]*instance
	order     []int64 // instances in the order of their first event of the batch
	sheets    map[int][]gather.Endpoint
	now       float64
	batch     int64
	open      bool
	speaking  int64
}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{
		out:       bufio.NewWriterSize(out, 1<<16),
		instances: map[int64]*instance{},
		sheets:    map[int][]gather.Endpoint{},
	}
	r := bufio.NewReaderSize(in, 1<<20)
	for line := 1; ; line++ {
		text, err := r.ReadBytes('\n')
		if len(bytes.TrimSpace(text)) > 0 {
			if err := h.take(text); err != nil {
				return fmt.Errorf("line %d: %w", line, err)
			}
		}
		if errors.Is(err, io.EOF) {
			if h.open {
				return fmt.Errorf("line %d: input ends inside batch %d", line, h.batch)
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
	}
}

func (h *host) take(text []byte) error {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		return fmt.Errorf("malformed message: %w", err)
	}
	switch {
	case m.Cmd == "":
		return errors.New("message without cmd")
	case m.Cmd == "BeginBatch":
		if h.open || m.Now == nil || m.Batch == nil {
			return errors.New("BeginBatch inside a batch, or without now or batch")
		}
		h.open, h.now, h.batch = true, ms(*m.Now), *m.Batch
		return nil
	case !h.open:
		return fmt.Errorf("%s outside a batch", m.Cmd)
	case m.Cmd == "YourTurn":
		return h.reply()
	case m.Cmd == "DefineList":
		return h.define(&m)
	}
	if err := h.event(&m); err != nil {
		return fmt.Errorf("%s: %w", m.Cmd, err)
	}
	return nil
}

func (h *host) define(m *message) error {
	if m.Sheet == nil {
		return errors.New("DefineList: no sheet")
	}
	list := make([]gather.Endpoint, 0, len(m.Members))
	for _, e := range m.Members {
		state, known := states[e.Condition]
		if !known || e.Server == nil {
			return fmt.Errorf("DefineList: entry without server or with condition %q", e.Condition)
		}
		list = append(list, gather.Endpoint{ID: *e.Server, ReplicaSet: e.Group, Zone: e.Zone, Kind: e.Kind,
			Size: e.Size, State: state, StartedAt: ms(e.Started)})
	}
	h.sheets[*m.Sheet] = list
	return nil
}

func (h *host) event(m *message) error {
	if m.Instance == nil {
		return errors.New("no gathererId")
	}
	id := *m.Instance
	in := h.instances[id]
	switch m.Cmd {
	case "Hello":
		t, err := settings.Read(m.Info)
		if err != nil {
			return err
		}
		in = &instance{logic: logic.New(m.Seed, t)}
		h.instances[id] = in
	case "Kill":
		delete(h.instances, id)
		return nil
	}
	if in == nil {
		return fmt.Errorf("instance %d is not running", id)
	}
	if !in.heard {
		in.heard = true
		h.order = append(h.order, id)
	}
	r := &in.round
	switch m.Cmd {
	case "Hello", "DeadlineHit", "Started", "Peer":
		// A wake-up needs no more than the round itself; streams and peers are not used.
	case "Sampled":
		if m.Server == nil {
			return errors.New("no server")
		}
		s := gather.HealthCheckResult{Server: *m.Server, Elapsed: ms(m.Wait), Succeeded: m.Verdict == "pass", QueueLength: -1, Latency: -1}
		if m.Health.Waiting != nil {
			s.QueueLength = *m.Health.Waiting
		}
		if m.Health.Latency != nil {
			s.Latency = *m.Health.Latency
		}
		r.HealthChecks = append(r.HealthChecks, s)
	case "RosterChange":
		list := gather.EndpointList{Full: m.Form == "F" || m.Form == "C", Failed: m.Form == "X"}
		if !list.Full && !list.Failed && m.Form != "D" {
			return fmt.Errorf("unknown form %q", m.Form)
		}
		if !list.Failed {
			if m.Sheet == nil {
				return errors.New("no sheet")
			}
			servers, known := h.sheets[*m.Sheet]
			if !known {
				return fmt.Errorf("sheet %d was never defined", *m.Sheet)
			}
			list.Endpoints = servers
		}
		r.EndpointLists = append(r.EndpointLists, list)
	case "Accept":
		if m.Ref == nil || m.Query == nil || m.Shard == nil {
			return errors.New("no ref, query or shard")
		}
		if *m.Shard >= 0 {
			r.Requests = append(r.Requests, gather.ShardRequest{ID: *m.Ref, Number: *m.Query, Shard: *m.Shard,
				Weight: m.Amount, Cost: ms(m.Hint), Key: m.Key})
			return nil
		}
		var customer string
		if len(m.Customer) > 0 && m.Customer[0] == '"' {
			if err := json.Unmarshal(m.Customer, &customer); err != nil {
				return err
			}
		}
		r.Queries = append(r.Queries, gather.Query{ID: *m.Ref, Number: *m.Query, Class: m.Class,
			Tenant: customer, Cost: ms(m.Hint), Key: m.Key, Deadline: ms(m.GiveUpAt), Retry: m.Retry, Write: m.Update})
	case "ClosedAttempt":
		outcome, known := outcomes[m.Verdict]
		if m.Ref == nil || m.Server == nil || !known {
			return fmt.Errorf("no ref or server, or verdict %q", m.Verdict)
		}
		r.Results = append(r.Results, gather.AttemptResult{Request: *m.Ref, Server: *m.Server, Attempt: m.SendNo,
			Elapsed: ms(m.Wait), Outcome: outcome, Finished: m.Closed})
	case "CancelledByClient":
		if m.Ref == nil {
			return errors.New("no ref")
		}
		r.Abandoned = append(r.Abandoned, *m.Ref)
	default:
		return errors.New("unknown message")
	}
	return nil
}

// reply runs each instance that has heard something, then closes the batch.
func (h *host) reply() error {
	for _, id := range h.order {
		in := h.instances[id]
		if in == nil || !in.heard {
			continue // killed after its events, or run already when named twice by a restart
		}
		in.heard = false
		in.round.Now = h.now
		h.speaking = id
		h.run(in)
		r := &in.round
		*r = gather.Round{EndpointLists: r.EndpointLists[:0], Queries: r.Queries[:0], Requests: r.Requests[:0], Results: r.Results[:0],
			HealthChecks: r.HealthChecks[:0], Abandoned: r.Abandoned[:0]}
	}
	h.order = h.order[:0]
	h.open = false
	h.say(`{"cmd":"Ok","batch":`, strconv.FormatInt(h.batch, 10), "}\n")
	return h.out.Flush()
}

// run turns a panic of the module into the wire's own message, since a dead process tells nobody why.
func (h *host) run(in *instance) {
	defer func() {
		if p := recover(); p != nil {
			h.text("GiveIn", fmt.Sprint(p))
		}
	}()
	in.logic.Round(&in.round, h)
}
