package trace

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/logic/ownership"
	"yokeroute/logic/twopass"
)

// recordStart is the start time of the kept records, in Unix milliseconds.
const recordStart = 1_700_000_000_000.0

// scriptedModule is a decision module whose decisions in the next round are made by a function of the test.
type scriptedModule struct {
	next func(in *gather.Round, w gather.Writer)
}

func (s *scriptedModule) Round(in *gather.Round, w gather.Writer) {
	if s.next != nil {
		s.next(in, w)
	}
	s.next = nil
}

func (s *scriptedModule) RetryBudgetLeft() float64 { return 1000 }

// steppedPicker is a picker with a scripted module and a clock that only the test advances.
type steppedPicker struct {
	*dispatch.Picker
	module   *scriptedModule
	now      float64
	requests []uint64            // IDs of the shard requests that arrived in the last round
	attempts []*dispatch.Attempt // attempts that the last round decided
}

var keptSettings = &gather.Settings{
	RetryBudgetWindow: 2000.0, RetryBudgetFloor: 20.0, RetryBudgetRatio: 0.05, DrainGrace: 250.0,
	AnswerSlack: 50.0, ReplicaSets: 4, Tick: 1.0,
	Classes: []gather.Class{
		{Name: "any", Effect: gather.Idempotent, CompleteShare: 0.9, MinShare: 0.5, LatencyObjective: 400.0},
		{Name: "mark", Effect: gather.IdempotencyKeyed, IdempotencyWindow: 5000.0, CompleteShare: 1.0, MinShare: 1.0},
		{Name: "once", Effect: gather.NonIdempotent, CompleteShare: 1.0, MinShare: 1.0},
	},
}

func newSteppedPicker(settings *gather.Settings, observers ...any) *steppedPicker {
	p := &steppedPicker{module: &scriptedModule{}, now: recordStart}
	log := logrus.New()
	log.SetOutput(io.Discard)
	build := func(uint64, *gather.Settings) gather.Module { return p.module }
	p.Picker = dispatch.NewStepped(1, settings, build, func() float64 { return p.now }, log)
	for _, observer := range observers {
		if decisions, ok := observer.(dispatch.DecisionObserver); ok {
			p.ObserveDecisions(decisions)
		}
		if wire, ok := observer.(dispatch.WireObserver); ok {
			p.ObserveWire(wire)
		}
	}
	return p
}

// runRound runs a round 5 ms after the last one. Before script is called, p.requests is set to the IDs of the shard
// requests that arrive in the round.
func (p *steppedPicker) runRound(script func(w gather.Writer)) {
	p.now += 5
	p.module.next = func(in *gather.Round, w gather.Writer) {
		p.requests = p.requests[:0]
		for _, request := range in.Requests {
			p.requests = append(p.requests, request.ID)
		}
		if script != nil {
			script(w)
		}
	}
	p.attempts = p.RunRoundNow().Send
}

// submit submits a query and writes its shard requests to the servers 10, 11 and so on.
func (p *steppedPicker) submit(id, class string, shards ...int) (*dispatch.Query, []*dispatch.Attempt) {
	query := &dispatch.Query{ID: id, Class: class, Deadline: p.now + 1000.5}
	for _, shard := range shards {
		query.ShardRequests = append(query.ShardRequests, dispatch.ShardRequest{Shard: shard, Weight: 1 / float64(len(shards))})
	}
	p.Submit(query)
	p.runRound(func(w gather.Writer) {
		for i, request := range p.requests {
			w.Send(request, uint32(10+i), 100)
		}
	})
	return query, p.write()
}

// write writes the attempts of the last round.
func (p *steppedPicker) write() []*dispatch.Attempt {
	p.now += 0.25
	for _, attempt := range p.attempts {
		if attempt.BeginWrite() {
			attempt.EndWrite()
		}
	}
	return p.attempts
}

// wantKept checks that got is identical to the kept file.
func wantKept(t *testing.T, name string, got []byte) {
	t.Helper()
	file := filepath.Join("testdata", "kept", name)
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant the kept\n%s", name, got, want)
	}
}

var keptOutcomes = []gather.Outcome{
	gather.Succeeded, gather.Failed, gather.Rejected, gather.TimedOut, gather.ConnectFailed, gather.ConnectionReset,
	gather.Cancelled, gather.NotSent, gather.NotOwner,
}

// TestTraceDocumentsMatchKeptFiles runs queries that cover every outcome of an attempt, every result, both passes of a
// two-pass query and an attempt that is never written. The recorded file and the documents served at Path must be
// identical to the kept files.
func TestTraceDocumentsMatchKeptFiles(t *testing.T) {
	name := filepath.Join(t.TempDir(), "record")
	file, err := Create(FileConfig{
		Name: name, MaxBytes: 1 << 20, FlushEach: true, Settings: keptSettings, StartedAt: recordStart,
	})
	if err != nil {
		t.Fatal(err)
	}
	recorder := New(20, 1)
	recorder.SetServerNames([]shardcall.Address{{ID: 10, Name: "a:9000"}, {ID: 11, Name: "b:9000"}})
	p := newSteppedPicker(keptSettings, file, recorder)
	p.EnableTwoPass(map[string]twopass.Settings{
		"any": {LatencyObjective: 400, CompleteShare: 0.9, MinShare: 0.5, FirstPassShare: 0.3, TrialShare: 0.5},
	})
	updateEndpoints := func(l gather.EndpointList) {
		p.UpdateEndpoints(l)
		file.UpdateEndpoints(l, p.now)
		p.runRound(nil)
	}
	running := []gather.Endpoint{
		{ID: 10, ReplicaSet: 0}, {ID: 11, ReplicaSet: 1}, {ID: 12, ReplicaSet: 2}, {ID: 13, ReplicaSet: 3},
	}
	updateEndpoints(gather.EndpointList{Full: true, Endpoints: running})
	updateEndpoints(gather.EndpointList{Endpoints: []gather.Endpoint{
		{ID: 14, State: gather.Draining}, {ID: 13, ReplicaSet: 3, State: gather.Draining},
	}})
	updateEndpoints(gather.EndpointList{Endpoints: []gather.Endpoint{{ID: 14, State: gather.Removed}}})
	updateEndpoints(gather.EndpointList{Failed: true})
	updateEndpoints(gather.EndpointList{
		Full: true, Endpoints: append(running[:3:3], gather.Endpoint{ID: 14, State: gather.Removed}),
	})

	endQuery := func(query *dispatch.Query, decide func(w gather.Writer)) {
		p.runRound(decide)
		result, ended := query.Result()
		if !ended {
			t.Fatalf("query %s has no result", query.ID)
		}
		p.now += 0.125
		file.QueryAnswered(query, result, p.now)
	}
	for i, outcome := range keptOutcomes {
		query, attempts := p.submit(fmt.Sprint("outcome-", outcome), "mark", 0, 1)
		queryID := p.requests[0] - 1
		p.now += 10 + 1/3.0
		p.Report(attempts[0], outcome, []byte("5be2"))
		p.runRound(nil)
		endQuery(query, []func(w gather.Writer){
			func(w gather.Writer) { w.Answer(queryID, true) },
			func(w gather.Writer) { w.Answer(queryID, false) },
			func(w gather.Writer) { w.Reject(queryID, 0) },
			func(w gather.Writer) { w.Reject(queryID, 250) },
			func(w gather.Writer) { w.Fail(queryID) },
		}[i%5])
	}

	query, _ := p.submit("left", "mark", 2)
	p.Abandon(query)
	endQuery(query, nil)
	query, _ = p.submit("broken", "once", 0)
	endQuery(query, func(gather.Writer) { panic("the module fails") })

	query = &dispatch.Query{
		ID: "never-written", Class: "once", Deadline: p.now + 300,
		ShardRequests: []dispatch.ShardRequest{{Shard: 1, Weight: 1}},
	}
	p.Submit(query)
	p.runRound(func(w gather.Writer) { w.Send(p.requests[0], 11, 100) })
	p.Report(p.attempts[0], gather.NotSent, nil)
	queryID := p.requests[0] - 1
	endQuery(query, func(w gather.Writer) { w.Fail(queryID) })

	for _, s := range running {
		p.SetAnswersFirstPass(s.ID, true)
	}
	p.runRound(nil)
	for _, c := range []struct {
		id        string
		summaries []string
	}{
		{"two-passes", []string{"none v1", "some 3 0.25 v2", "garbled"}},
		{"one-pass-enough", []string{"none v1", "none v1", "none v7"}},
	} {
		query, attempts := p.submit(c.id, "any", 0, 1, 2)
		for i, attempt := range attempts {
			p.now++
			if !attempt.FirstPass() {
				t.Fatalf("query %s is served in one pass, want two", c.id)
			}
			p.Report(attempt, gather.Succeeded, []byte(c.summaries[i]))
		}
		firstPassID := p.requests[0] - 1
		p.runRound(func(w gather.Writer) { w.Answer(firstPassID, true) })
		if result, ended := query.Result(); ended {
			file.QueryAnswered(query, result, p.now)
			continue
		}
		p.runRound(func(w gather.Writer) {
			for _, request := range p.requests {
				w.Send(request, 12, 100)
			}
		})
		for _, attempt := range p.write() {
			p.Report(attempt, gather.Succeeded, []byte("7c01"))
		}
		secondPassID := p.requests[0] - 1
		endQuery(query, func(w gather.Writer) { w.Answer(secondPassID, true) })
	}

	query, _ = p.submit("many-calls", "mark", 3)
	request := p.requests[0]
	p.runRound(func(w gather.Writer) {
		for range maxAttempts + 2 {
			w.Send(request, 77, 100)
		}
	})
	endQuery(query, func(w gather.Writer) { w.Answer(request-1, true) })
	p.submit("open", "mark", 0)
	if err := file.Close(p.now); err != nil {
		t.Error(err)
	}
	recorded, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	wantKept(t, "one-of-each.record", recorded)

	served := func(path string) []byte {
		w := httptest.NewRecorder()
		recorder.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		return fmt.Appendf(nil, "%d %s\n%s", w.Code, w.Header().Get("Content-Type"), w.Body.Bytes())
	}
	wantKept(t, "list.answer", served(Path))
	wantKept(t, "unknown.answer", served(Path+"/unknown"))
	for _, q := range recorder.ring {
		wantKept(t, q.ID+".answer", served(Path+"/"+q.ID))
	}
}

// TestRecordOfSegmentsMatchesKeptFile compares a record with a segment map to the kept file.
func TestRecordOfSegmentsMatchesKeptFile(t *testing.T) {
	const maxSegments, shards = 16, 4
	name := filepath.Join(t.TempDir(), "record")
	file, err := Create(FileConfig{
		Name: name, MaxBytes: 1 << 20, Settings: keptSettings, Shards: shards, StartedAt: recordStart,
	})
	if err != nil {
		t.Fatal(err)
	}
	p := newSteppedPicker(dispatch.OwnershipSettings(keptSettings, maxSegments), file)
	p.EnableOwnership(maxSegments, shards)
	p.SetServerNames(map[uint32]string{10: "h0", 11: "h1"})
	m, err := ownership.NewMap(1, []ownership.Segment{
		{Name: "s0", Range: ownership.Range{Lo: 0, Hi: 1<<63 - 1}, Owners: []string{"h0"}},
		{Name: "s1", Range: ownership.Range{Lo: 1 << 63, Hi: math.MaxUint64}, Owners: []string{"h1"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	p.SetMap(m)
	p.UpdateEndpoints(gather.EndpointList{Full: true, Endpoints: []gather.Endpoint{{ID: 10}, {ID: 11}}})
	p.runRound(nil)
	query, attempts := p.submit("a", "once", 1, 2)
	queryID := p.requests[0] - 3
	p.Report(attempts[0], gather.Succeeded, []byte("5be2"))
	p.Report(attempts[1], gather.NotOwner, nil)
	p.runRound(nil)
	p.runRound(func(w gather.Writer) { w.Answer(queryID, false) })
	result, ended := query.Result()
	if !ended {
		t.Fatal("the query has no result")
	}
	file.QueryAnswered(query, result, p.now)
	if err := file.Close(p.now); err != nil {
		t.Error(err)
	}
	recorded, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	wantKept(t, "segments.record", recorded)
}

// TestRestartWithoutDrainIsRecorded guards against a slow start that the checker cannot attribute: a list reports the new
// process of a server that was running before. A start that has become long ago is no restart.
func TestRestartWithoutDrainIsRecorded(t *testing.T) {
	name := filepath.Join(t.TempDir(), "record")
	file, err := Create(FileConfig{Name: name, MaxBytes: 1 << 20, Settings: keptSettings, StartedAt: recordStart})
	if err != nil {
		t.Fatal(err)
	}
	for i, startedAt := range []float64{5, 5, 0, 5, 7, 0, 7} {
		list := gather.EndpointList{Full: i%2 == 0, Endpoints: []gather.Endpoint{{ID: 10, StartedAt: startedAt}}}
		file.UpdateEndpoints(list, recordStart+float64(i))
	}
	if err := file.Close(recordStart + 10); err != nil {
		t.Error(err)
	}
	recorded, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if n := bytes.Count(recorded, []byte(`"told"`)); n != 2 {
		t.Errorf("%d states were recorded, want 2, one for each process:\n%s", n, recorded)
	}
}

// TestFullRecordMatchesKeptFile compares a record that reaches its maximum size to the kept file.
func TestFullRecordMatchesKeptFile(t *testing.T) {
	name := filepath.Join(t.TempDir(), "record")
	file, err := Create(FileConfig{
		Name: name, MaxBytes: 700, FlushEach: true, Settings: &gather.Settings{DrainGrace: 250}, StartedAt: recordStart,
	})
	if err != nil {
		t.Fatal(err)
	}
	p := newSteppedPicker(keptSettings, file)
	for i := range 5 {
		p.submit(strings.Repeat("a", 40)+fmt.Sprint(i), "mark", 0)
	}
	if err := file.Close(p.now); err != nil {
		t.Error(err)
	}
	recorded, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	wantKept(t, "full.record", recorded)
}
