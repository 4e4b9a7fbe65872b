package logic

import (
	"os"
	"path"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"yokeroute/gather"
)

// scenario runs a scenario file of testdata/*.txt. A file has one directive per line:
//
//	set FIELD = VALUE               sets a field of gather.Settings, or CLASS/FIELD of a class, before the
//	                                first round; VALUE is a number, yes, no or a word
//	at MS[: LINE]                   starts the next round; the lines that follow add events to it
//	held-up MS                      delays the round by this time beyond its due time
//	list SERVER:SET[:STARTED][:draining][:first-pass][:zone=ZONE] ...
//	                                the full endpoint list; the first one sets the number of replica sets
//	list-failed                     a call to discovery has failed
//	query ID,ID.. CLASS REQUESTS DEADLINE [COST]
//	                                queries whose requests are ID+1.. at shards 0.., of equal weight; each
//	                                costs 10 more than the one before
//	client-retry ...                the same for queries that a client retries
//	first-pass ID,ID.. CLASS REQUESTS DEADLINE FULLCALLEXTRA
//	second-pass ID CLASS REQUESTS DEADLINE RECEIVEDWEIGHT [retry]
//	                                with retry, the first attempts of its requests count as retries
//	second-step ID REQUESTS         the requests of the query's second step, ID+101..
//	weights SERVER=SHARE ... / ...  weights by replica set, separated by a slash; none for plain round robin
//	result REQUEST[/ATTEMPT],.. OUTCOME
//	load SERVER [QUEUE LATENCY [ELAPSED]]
//	                                a health check succeeds with a load report; without one it fails
//	abandoned ID                    the client has disconnected
//	+ MESSAGE                       checks that the round has written MESSAGE; * matches any characters
//	- MESSAGE                       checks that the round has not written MESSAGE
//	N MESSAGE                       checks that the round has written MESSAGE N times
//
// A round runs at its first check or at the next "at", with all events read until then.
type scenario struct {
	t           *testing.T
	settings    *gather.Settings
	gatherer    *Gatherer
	round       gather.Round
	pending     bool // the round has not been run
	recorder    *recorder
	currentLine string // line that is being read
}

// directiveHandler handles the line of a directive, whose name is fields[0].
type directiveHandler func(s *scenario, fields []string)

var directiveHandlers map[string]directiveHandler

// The map is set in init since an initializer would refer to itself: the handler of "at" looks up the handler
// of the directive that follows in the same line.
func init() {
	directiveHandlers = map[string]directiveHandler{
		"set":          (*scenario).set,
		"at":           (*scenario).startRound,
		"held-up":      (*scenario).setWakeDelay,
		"list":         (*scenario).list,
		"list-failed":  (*scenario).listFailed,
		"query":        (*scenario).query,
		"client-retry": (*scenario).query,
		"first-pass":   (*scenario).firstPass,
		"second-pass":  (*scenario).secondPass,
		"second-step":  (*scenario).secondStep,
		"weights":      (*scenario).weights,
		"result":       (*scenario).result,
		"load":         (*scenario).load,
		"abandoned":    (*scenario).abandoned,
	}
}

var scenarioOutcomes = map[string]gather.Outcome{
	"succeeded":        gather.Succeeded,
	"failed":           gather.Failed,
	"rejected":         gather.Rejected,
	"timed-out":        gather.TimedOut,
	"connect-failed":   gather.ConnectFailed,
	"connection-reset": gather.ConnectionReset,
	"cancelled":        gather.Cancelled,
	"not-sent":         gather.NotSent,
}

// scenarioMessages holds the names of the messages that a line may check for.
var scenarioMessages = []string{"send", "cancel", "answer", "reject", "fail", "wake", "subscribe", "check"}

func newScenario(t *testing.T) *scenario {
	s := &scenario{t: t, recorder: newRecorder(scenarioFormats), settings: &gather.Settings{
		ReplicaSetsPerShard: 1, MaxAttempts: 3, CancelAllowed: true, HedgingAllowed: true, Tick: 5, Gatherers: 1,
		MaxRetryAfter: 1000,
	}}
	class := gather.Class{LatencyObjective: 1000, LateValue: 0.1, CompleteShare: 1, MinShare: 1,
		Effect: gather.Idempotent}
	for _, name := range []string{"any", "all", "non-idempotent", "keyed"} {
		class.Name = name
		s.settings.Classes = append(s.settings.Classes, class)
	}
	anyClass := s.settings.FindClass("any")
	anyClass.CompleteShare = 0.75
	anyClass.MinShare = 0.75
	s.settings.FindClass("non-idempotent").Effect = gather.NonIdempotent
	keyed := s.settings.FindClass("keyed")
	keyed.Effect = gather.IdempotencyKeyed
	keyed.IdempotencyWindow = 500
	return s
}

// run runs the pending round.
func (s *scenario) run() {
	if !s.pending {
		return
	}
	if s.gatherer == nil {
		s.gatherer = New(7, s.settings)
	}
	s.recorder.clear()
	s.gatherer.Round(&s.round, s.recorder)
	s.round = gather.Round{Now: s.round.Now}
	s.pending = false
}

func (s *scenario) runLine(text string) {
	s.currentLine = text
	fields := strings.Fields(text)
	if handle := directiveHandlers[fields[0]]; handle != nil {
		handle(s, fields)
		return
	}
	s.expect(fields)
}

// number parses the field at an index of the line. It returns 0 if the line is shorter.
func (s *scenario) number(fields []string, index int) float64 {
	if index >= len(fields) {
		return 0
	}
	return s.parse(fields[index])
}

func (s *scenario) parse(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.t.Fatalf("%q: %v", s.currentLine, err)
	}
	return v
}

func (s *scenario) id(text string) uint64 {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		s.t.Fatalf("%q: %v", s.currentLine, err)
	}
	return id
}

// set sets a field of the settings or of one of their classes.
func (s *scenario) set([]string) {
	name, value, _ := strings.Cut(strings.TrimPrefix(s.currentLine, "set "), " = ")
	target := reflect.ValueOf(s.settings).Elem()
	if class, field, found := strings.Cut(name, "/"); found {
		c := s.settings.FindClass(class)
		if c == nil {
			s.t.Fatalf("%q: unknown class %q", s.currentLine, class)
		}
		target = reflect.ValueOf(c).Elem()
		name = field
	}
	switch field := target.FieldByName(name); field.Kind() {
	case reflect.Float64:
		field.SetFloat(s.parse(value))
	case reflect.Int:
		field.SetInt(int64(s.parse(value)))
	case reflect.Bool:
		field.SetBool(value == "yes")
	case reflect.String:
		field.SetString(value)
	default:
		s.t.Fatalf("%q: no field %q that can be set", s.currentLine, name)
	}
}

func (s *scenario) startRound([]string) {
	s.run()
	now, nextDirective, _ := strings.Cut(strings.TrimPrefix(s.currentLine, "at "), ":")
	s.round.Now = s.parse(now)
	s.pending = true
	if nextDirective != "" {
		s.runLine(strings.TrimSpace(nextDirective))
	}
}

func (s *scenario) setWakeDelay(fields []string) { s.round.WakeDelay = s.number(fields, 1) }

func (s *scenario) list(fields []string) {
	list := gather.EndpointList{Full: true}
	for _, entry := range fields[1:] {
		e := s.endpoint(entry)
		list.Endpoints = append(list.Endpoints, e)
		if s.gatherer == nil {
			s.settings.ReplicaSets = max(s.settings.ReplicaSets, e.ReplicaSet+1)
		}
	}
	s.round.EndpointLists = append(s.round.EndpointLists, list)
}

func (s *scenario) endpoint(entry string) gather.Endpoint {
	parts := strings.Split(entry, ":")
	set, err := strconv.Atoi(parts[1])
	if err != nil {
		s.t.Fatalf("%q: %v", s.currentLine, err)
	}
	e := gather.Endpoint{ID: uint32(s.id(parts[0])), ReplicaSet: set}
	for _, part := range parts[2:] {
		zone, isZone := strings.CutPrefix(part, "zone=")
		switch {
		case isZone:
			e.Zone = zone
		case part == "draining":
			e.State = gather.Draining
		case part == "first-pass":
			e.AnswersFirstPass = true
		default:
			e.StartedAt = s.parse(part)
		}
	}
	return e
}

func (s *scenario) listFailed([]string) {
	s.round.EndpointLists = append(s.round.EndpointLists, gather.EndpointList{Failed: true})
}

func (s *scenario) query(fields []string) {
	for _, name := range strings.Split(fields[1], ",") {
		s.addQuery(gather.Query{ID: s.id(name), Class: fields[2], Deadline: s.number(fields, 4),
			Retry: fields[0] == "client-retry"})
		s.addRequests(s.id(name), s.id(name)+1, int(s.number(fields, 3)), s.number(fields, 5))
	}
}

func (s *scenario) firstPass(fields []string) {
	for _, name := range strings.Split(fields[1], ",") {
		s.addQuery(gather.Query{ID: s.id(name), Class: fields[2], Deadline: s.number(fields, 4),
			Pass: gather.FirstPass, FullRequestExtra: s.number(fields, 5)})
		s.addRequests(s.id(name), s.id(name)+1, int(s.number(fields, 3)), 0)
	}
}

func (s *scenario) secondPass(fields []string) {
	id, received := s.id(fields[1]), s.number(fields, 5)
	s.addQuery(gather.Query{ID: id, Class: fields[2], Deadline: s.number(fields, 4), Pass: gather.SecondPass,
		ArrivedAt: 1, ReceivedWeight: received})
	added := len(s.round.Requests)
	s.addRequests(id, id+1, int(s.number(fields, 3)), 0)
	for i := range s.round.Requests[added:] {
		r := &s.round.Requests[added+i]
		r.Weight *= 1 - received
		r.Retry = len(fields) > 6 && fields[6] == "retry"
	}
}

func (s *scenario) secondStep(fields []string) {
	s.addRequests(s.id(fields[1]), s.id(fields[1])+101, int(s.number(fields, 2)), 0)
}

func (s *scenario) addQuery(q gather.Query) {
	q.Number = q.ID
	s.round.Queries = append(s.round.Queries, q)
}

func (s *scenario) addRequests(number, first uint64, count int, cost float64) {
	for i := range count {
		r := gather.ShardRequest{ID: first + uint64(i), Number: number, Shard: i, Weight: 1 / float64(count)}
		if cost > 0 {
			r.Cost = cost + 10*float64(i)
		}
		s.round.Requests = append(s.round.Requests, r)
	}
}

func (s *scenario) weights(fields []string) {
	s.round.Weights = [][]gather.Weight{nil}
	for _, field := range fields[1:] {
		if field == "/" {
			s.round.Weights = append(s.round.Weights, nil)
			continue
		}
		server, share, _ := strings.Cut(field, "=")
		set := &s.round.Weights[len(s.round.Weights)-1]
		*set = append(*set, gather.Weight{Server: uint32(s.id(server)), Share: s.parse(share)})
	}
}

func (s *scenario) result(fields []string) {
	outcome, known := scenarioOutcomes[fields[2]]
	if !known {
		s.t.Fatalf("%q: unknown outcome", s.currentLine)
	}
	for _, name := range strings.Split(fields[1], ",") {
		request, attempt, _ := strings.Cut(name, "/")
		key := attemptKey{request: s.id(request)}
		if attempt != "" {
			key.attempt = int(s.id(attempt))
		}
		server, sent := s.recorder.servers[key]
		if !sent {
			s.t.Fatalf("at %g: %q: the attempt was not sent; the last round wrote %q", s.round.Now, s.currentLine,
				s.recorder.lines)
		}
		s.round.Results = append(s.round.Results, gather.AttemptResult{Request: key.request, Server: server,
			Attempt: key.attempt, Outcome: outcome, NoFurtherAttempts: outcome == gather.NotSent})
	}
}

func (s *scenario) load(fields []string) {
	s.round.HealthChecks = append(s.round.HealthChecks, gather.HealthCheckResult{
		Server:      uint32(s.id(fields[1])),
		Succeeded:   len(fields) > 2,
		QueueLength: s.number(fields, 2),
		Latency:     s.number(fields, 3),
		Elapsed:     s.number(fields, 4),
	})
}

func (s *scenario) abandoned(fields []string) {
	s.round.Abandoned = append(s.round.Abandoned, s.id(fields[1]))
}

// expect checks the messages that the round has written.
func (s *scenario) expect(fields []string) {
	if len(fields) < 2 || !slices.Contains(scenarioMessages, fields[1]) {
		s.t.Fatalf("%q: unknown directive", s.currentLine)
	}
	s.run()
	want, got := strings.Join(fields[1:], " "), 0
	for _, line := range s.recorder.lines {
		if matched, err := path.Match(want, line); err != nil {
			s.t.Fatalf("%q: %v", s.currentLine, err)
		} else if matched {
			got++
		}
	}
	passed := false
	switch fields[0] {
	case "+":
		passed = got > 0
	case "-":
		passed = got == 0
	default:
		times, err := strconv.Atoi(fields[0])
		if err != nil {
			s.t.Fatalf("%q: unknown directive, want one that starts with +, - or a number", s.currentLine)
		}
		passed = got == times
	}
	if !passed {
		s.t.Errorf("at %g: check %q failed; the round wrote %q", s.round.Now, s.currentLine, s.recorder.lines)
	}
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenario files in testdata:", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			runScenario(t, string(text))
		})
	}
}

func runScenario(t *testing.T, text string) {
	s := newScenario(t)
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			s.runLine(line)
		}
	}
	s.run()
}

// TestQueriesAreNotAllShedBecauseOfOldRecords guards against a gatherer that rejects all queries for up to 25
// s while the servers are idle: it was slow itself when it measured them, and sends no attempts that would
// bring newer records.
func TestQueriesAreNotAllShedBecauseOfOldRecords(t *testing.T) {
	runScenario(t, `
		at 0: list 1:0 2:1 3:2 4:3
		query 10,20,30,40 all 4 1000
		at 950: result 11,12,13,14,21,22,23,24,31,32,33,34,41,42,43,44 succeeded
		+ answer 10 true
		at 1000: query 50 all 4 2000
		+ reject 50 *
		# No attempt is in flight, and the records are older than the window of 5 s.
		at 7000: query 60 all 2 8000
		+ send 61 *
		at 7012: result 61,62 succeeded
		+ answer 60 true
		at 7100: query 70 all 4 8100
		+ send 71 *
		+ send 73 *
	`)
}

// TestTrialQueriesAreRateLimited guards against sending all queries to servers that are still slow, as soon
// as the records that justified shedding are older than the window.
func TestTrialQueriesAreRateLimited(t *testing.T) {
	runScenario(t, `
		at 0: list 1:0 2:1 3:2 4:3
		query 10,20,30,40 all 4 1000
		at 950: result 11,12,13,14,21,22,23,24,31,32,33,34,41,42,43,44 succeeded
		# Only server 1 gets a new record.
		at 6500: query 50 all 1 7500
		at 6512: result 51 succeeded
		at 7000: query 60 all 2 8000
		+ send 62 *
		at 7012: result 61,62 succeeded
		# The next trial is admitted 100 ms after the last one, and only one of two queries that arrive together.
		at 7050: query 70 all 4 8050
		+ reject 70 *
		at 7100: query 80,90 all 4 8100
		4 send 8? *
		- send 9? *
		+ reject 90 *
		# While the trial is in flight, no other query is admitted.
		at 7250: query 100 all 4 8250
		+ reject 100 *
		# The servers are still slow.
		at 8000: result 81,82,83,84 succeeded
		+ answer 80 true
		at 8200: query 110 all 4 9200
		+ reject 110 *
		at 12500: query 120 all 4 13500
		+ reject 120 *
	`)
}

// TestLostRequestIsRetriedWhileExtraRequestWaits guards against a lost request that is not retried because an
// extra request of its query, which waits for a busy server, counts as expected.
func TestLostRequestIsRetriedWhileExtraRequestWaits(t *testing.T) {
	runScenario(t, `
		at 0: list 1:0 2:1 3:2 4:3 5:1
		query 10,20 all 4 3000 100
		at 100: result 11,12,13,14,21,22 succeeded
		at 800: result 23,24 failed
		at 802: query 40,50 all 4 4000 100
		# Server 4 has attempts of this gatherer in flight, and does not respond from now on.
		at 810: query 30 any 4 2000 100
		+ send 31 1 *
		+ send 32 5 *
		+ send 33 3 *
		- send 34 *
		at 850: result 31,33,41,42,43,51,52,53 succeeded
		result 32 failed
		+ send 32 2 *
		at 890: result 32/1 succeeded
		+ answer 30 true
	`)
}
