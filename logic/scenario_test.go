package logic

import (
	"fmt"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"yokeroute/gather"
)

// The notation of testdata/*.txt, a line each:
//
//	set FIELD = VALUE               of gather.Settings, or CLASS/FIELD, before the first round; a number, yes, no or a word
//	at MS[: LINE]                   the next round begins; what follows comes in with it
//	list SERVER:GROUP[:STARTED][:draining][:brief][:zone=ZONE] ...      the full list; the first tells how many groups there are
//	nolist                          asking for the list has failed
//	lookup ID,ID.. INDEX PARTS GIVEUPAT [COST]   its parts are ID+1.. at shards 0.., of equal weight;
//	                                each part costs 10 more than the one before
//	again ...                       the same for lookups that a client repeats
//	first ID,ID.. INDEX PARTS GIVEUPAT LEAD       first passes
//	rest ID INDEX PARTS GIVEUPAT IN [again]       a second pass, so much weight of it in; its calls are further ones
//	second ID PARTS                 the parts of its second step, ID+101..
//	weights SERVER=SHARE ... / ...  weights by group, groups parted by a slash; none for plain turns again
//	end PART[/CALL],.. OUTCOME      part calls end
//	sample SERVER WAITING LATENCY [WAITED]       a probe is answered with a load; without one, it has failed
//	left ID                         the client has gone
//	+ MESSAGE                       the round has written it; * stands for any run of characters
//	- MESSAGE                       it has not
//	N MESSAGE                       it has, N times
//
// Every further line of a round comes in before any is checked.
type player struct {
	t        *testing.T
	settings *gather.Settings
	g        *Gatherer
	in       gather.Round
	pending  bool
	wrote    []string
	to       map[string]uint32
	sent     map[uint64]int
}

var outcomes = map[string]gather.Outcome{"answered": gather.Succeeded, "erred": gather.Failed, "full": gather.Rejected,
	"late": gather.TimedOut, "unreached": gather.ConnectFailed, "cut": gather.ConnectionReset, "off": gather.Cancelled,
	"over": gather.NotSent}

func (p *player) write(format string, args ...any) {
	p.wrote = append(p.wrote, fmt.Sprintf(format, args...))
}

func (p *player) Send(part uint64, server uint32, timeout float64) {
	p.to[fmt.Sprint(part, p.sent[part])] = server
	p.sent[part]++
	p.write("send %d %d %g", part, server, timeout)
}
func (p *player) Cancel(part uint64, call int)           { p.write("calloff %d %d", part, call) }
func (p *player) Answer(lookup uint64, whole bool)       { p.write("answer %d %t", lookup, whole) }
func (p *player) Reject(lookup uint64, comeBack float64) { p.write("nack %d %g", lookup, comeBack) }
func (p *player) Fail(lookup uint64)                     { p.write("abort %d", lookup) }
func (p *player) Wake(after float64)                     { p.write("wake %g", after) }
func (p *player) Subscribe()                             { p.write("subscribe") }
func (p *player) CheckHealth(server uint32)              { p.write("probe %d", server) }

func (p *player) play() {
	if !p.pending {
		return
	}
	if p.g == nil {
		p.g = New(7, p.settings)
	}
	p.wrote = nil
	p.g.Round(&p.in, p)
	p.in, p.pending = gather.Round{Now: p.in.Now}, false
}

func (p *player) line(text string) {
	w := strings.Fields(text)
	num := func(i int) float64 {
		if i >= len(w) {
			return 0
		}
		v, err := strconv.ParseFloat(w[i], 64)
		if err != nil {
			p.t.Fatalf("%q: %v", text, err)
		}
		return v
	}
	times, err := strconv.Atoi(w[0])
	switch {
	case w[0] == "set":
		name, value, _ := strings.Cut(strings.TrimPrefix(text, "set "), " = ")
		p.set(name, value)
	case w[0] == "at":
		p.play()
		when, rest, _ := strings.Cut(strings.TrimPrefix(text, "at "), ":")
		p.in.Now, _ = strconv.ParseFloat(when, 64)
		if p.pending = true; rest != "" {
			p.line(strings.TrimSpace(rest))
		}
	case w[0] == "list":
		list := gather.EndpointList{Full: true}
		for _, entry := range w[1:] {
			f := append(strings.Split(entry, ":"), "0", "")
			id, _ := strconv.Atoi(f[0])
			group, _ := strconv.Atoi(f[1])
			started, _ := strconv.ParseFloat(f[2], 64)
			s := gather.Endpoint{ID: uint32(id), ReplicaSet: group, StartedAt: started}
			if strings.HasSuffix(entry, ":draining") {
				s.State = gather.Draining
			}
			s.AnswersFirstPass = strings.HasSuffix(entry, ":brief")
			_, s.Zone, _ = strings.Cut(entry, "zone=")
			list.Endpoints = append(list.Endpoints, s)
			if p.g == nil {
				p.settings.ReplicaSets = max(p.settings.ReplicaSets, group+1)
			}
		}
		p.in.EndpointLists = append(p.in.EndpointLists, list)
	case w[0] == "lookup", w[0] == "again":
		for _, name := range strings.Split(w[1], ",") {
			id, _ := strconv.ParseUint(name, 10, 64)
			p.in.Queries = append(p.in.Queries, gather.Query{ID: id, Number: id, Class: w[2], Deadline: num(4),
				Retry: w[0] == "again"})
			p.parts(id, id+1, int(num(3)), num(5))
		}
	case w[0] == "first":
		for _, name := range strings.Split(w[1], ",") {
			id, _ := strconv.ParseUint(name, 10, 64)
			p.in.Queries = append(p.in.Queries, gather.Query{ID: id, Number: id, Class: w[2], Deadline: num(4), Pass: gather.FirstPass, FullCallExtra: num(5)})
			p.parts(id, id+1, int(num(3)), 0)
		}
	case w[0] == "rest":
		id := uint64(num(1))
		p.in.Queries = append(p.in.Queries, gather.Query{ID: id, Number: id, Class: w[2], Deadline: num(4), Pass: gather.SecondPass, ArrivedAt: 1, ReceivedWeight: num(5)})
		from := len(p.in.Requests)
		p.parts(id, id+1, int(num(3)), 0)
		for i := range p.in.Requests[from:] {
			p.in.Requests[from+i].Weight *= 1 - num(5)
			p.in.Requests[from+i].Retry = len(w) > 6
		}
	case w[0] == "second":
		p.parts(uint64(num(1)), uint64(num(1))+101, int(num(2)), 0)
	case w[0] == "weights":
		p.in.Weights = [][]gather.Weight{nil}
		for _, word := range w[1:] {
			if word == "/" {
				p.in.Weights = append(p.in.Weights, nil)
				continue
			}
			id, share, _ := strings.Cut(word, "=")
			server, _ := strconv.Atoi(id)
			v, err := strconv.ParseFloat(share, 64)
			if err != nil {
				p.t.Fatalf("%q: %v", text, err)
			}
			group := &p.in.Weights[len(p.in.Weights)-1]
			*group = append(*group, gather.Weight{Server: uint32(server), Share: v})
		}
	case w[0] == "end":
		for _, name := range strings.Split(w[1], ",") {
			part, call, _ := strings.Cut(name+"/0", "/")
			p.end(part, strings.TrimSuffix(call, "/0"), outcomes[w[2]])
		}
	case w[0] == "nolist":
		p.in.EndpointLists = append(p.in.EndpointLists, gather.EndpointList{Failed: true})
	case w[0] == "sample":
		p.in.HealthChecks = append(p.in.HealthChecks, gather.HealthCheckResult{Server: uint32(num(1)), Succeeded: len(w) > 2, QueueLength: num(2),
			Latency: num(3), Elapsed: num(4)})
	case w[0] == "left":
		p.in.Abandoned = append(p.in.Abandoned, uint64(num(1)))
	default:
		p.play()
		want, got := strings.Join(w[1:], " "), 0
		for _, line := range p.wrote {
			if ok, err := path.Match(want, line); err != nil {
				p.t.Fatalf("%q: %v", text, err)
			} else if ok {
				got++
			}
		}
		if w[0] != "+" && w[0] != "-" && err != nil {
			p.t.Fatalf("unknown line %q", text)
		}
		if w[0] == "+" && got == 0 || w[0] == "-" && got > 0 || err == nil && got != times {
			p.t.Errorf("at %g: %q, but written was %q", p.in.Now, text, p.wrote)
		}
	}
}

// set sets a field of the settings, or of a class of them.
func (p *player) set(name, value string) {
	p.t.Helper()
	of := reflect.ValueOf(p.settings).Elem()
	if class, field, found := strings.Cut(name, "/"); found {
		c := p.settings.FindClass(class)
		if c == nil {
			p.t.Fatalf("set %s: there is no class %s", name, class)
		}
		of, name = reflect.ValueOf(c).Elem(), field
	}
	field := of.FieldByName(name)
	var err error
	switch field.Kind() {
	case reflect.Float64:
		var v float64
		v, err = strconv.ParseFloat(value, 64)
		field.SetFloat(v)
	case reflect.Int:
		var v int64
		v, err = strconv.ParseInt(value, 10, 64)
		field.SetInt(v)
	case reflect.Bool:
		field.SetBool(value == "yes")
	case reflect.String:
		field.SetString(value)
	default:
		p.t.Fatalf("set %s: there is no such field", name)
	}
	if err != nil {
		p.t.Fatalf("set %s = %s: %v", name, value, err)
	}
}

func (p *player) parts(number, first uint64, k int, cost float64) {
	for i := range k {
		pt := gather.ShardRequest{ID: first + uint64(i), Number: number, Shard: i, Weight: 1 / float64(k)}
		if cost > 0 {
			pt.Cost = cost + 10*float64(i)
		}
		p.in.Requests = append(p.in.Requests, pt)
	}
}

func (p *player) end(part, call string, o gather.Outcome) {
	id, _ := strconv.ParseUint(part, 10, 64)
	no, _ := strconv.Atoi(call)
	server, sent := p.to[part+" "+call]
	if !sent {
		p.t.Fatalf("at %g: call %s of part %s was never sent; written was %q", p.in.Now, call, part, p.wrote)
	}
	p.in.Results = append(p.in.Results, gather.AttemptResult{Request: id, Server: server, Attempt: no, Outcome: o,
		Finished: o == gather.NotSent})
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			p := &player{t: t, to: map[string]uint32{}, sent: map[uint64]int{}, settings: &gather.Settings{
				ReplicaSetsPerShard: 1, MaxAttempts: 3, CancelAllowed: true, HedgingAllowed: true, Tick: 5.0,
				Gatherers: 1, MaxRetryAfter: 1000.0,
			}}
			for _, name := range []string{"any", "all", "once", "marked"} {
				p.settings.Classes = append(p.settings.Classes, gather.Class{Name: name, LatencyObjective: 1000, LateValue: 0.1,
					CompleteShare: 1, MinShare: 1, Effect: gather.Idempotent})
			}
			anyClass, marked := p.settings.FindClass("any"), p.settings.FindClass("marked")
			anyClass.CompleteShare, anyClass.MinShare = 0.75, 0.75
			p.settings.FindClass("once").Effect = gather.NonIdempotent
			marked.Effect, marked.IdempotencyWindow = gather.IdempotencyKeyed, 500
			for _, line := range strings.Split(string(text), "\n") {
				if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
					p.line(line)
				}
			}
			p.play()
		})
	}
}

// TestFullWindow guards against garbage in each round by the number of records in the window, of which a busy
// gatherer has thousands: on part of a core and 32 MB it took most of what there is.
func TestFullWindow(t *testing.T) {
	g := New(1, &gather.Settings{
		ReplicaSets: 1, ReplicaSetsPerShard: 1, MaxAttempts: 1, Tick: 5.0,
		Classes: []gather.Class{
			{Name: "i", LatencyObjective: 1000.0, CompleteShare: 1.0, MinShare: 1.0, Effect: gather.NonIdempotent},
		},
	})
	p := &player{t: t, to: map[string]uint32{}, sent: map[uint64]int{}}
	round := func(in gather.Round) {
		p.wrote = p.wrote[:0]
		g.Round(&in, p)
	}
	round(gather.Round{Now: 1000, EndpointLists: []gather.EndpointList{{Full: true, Endpoints: []gather.Endpoint{{ID: 1}, {ID: 2}}}}})
	now := 1000.0
	for id := uint64(10); id < 4000; id += 2 {
		now++
		round(gather.Round{Now: now, Queries: []gather.Query{{ID: id, Number: id, Class: "i", Deadline: now + 900}},
			Requests: []gather.ShardRequest{{ID: id + 1, Number: id, Weight: 1}}})
		now++
		round(gather.Round{Now: now, Results: []gather.AttemptResult{{Request: id + 1, Outcome: gather.Succeeded, Finished: true}}})
	}
	if n := g.records.Len(0) + g.records.Len(1); n < 1900 {
		t.Fatalf("%d records are too few to tell", n)
	}
	if n := testing.AllocsPerRun(20, func() { now++; round(gather.Round{Now: now}) }); n > 2 {
		t.Errorf("%v allocations in a round with nothing in it", n)
	}
}

// TestReplaced guards against arrays and maps that grow where each server is replaced by one of a new id.
func TestReplaced(t *testing.T) {
	g := New(1, &gather.Settings{ReplicaSets: 1, ReplicaSetsPerShard: 1, Classes: []gather.Class{{Name: "i", LatencyObjective: 1000.0}}})
	p := &player{t: t, to: map[string]uint32{}, sent: map[uint64]int{}}
	for i := range uint32(1000) {
		g.Round(&gather.Round{Now: 1000 + float64(i), EndpointLists: []gather.EndpointList{{Endpoints: []gather.Endpoint{{ID: i, State: gather.Removed}, {ID: i + 1}}}}}, p)
	}
	if len(g.ids) > 3 || len(g.dense) > 3 || len(g.out) > 3 {
		t.Errorf("%d ids, %d in the map, %d rows of calls", len(g.ids), len(g.dense), len(g.out))
	}
}
