package report

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/logic/rollout"
)

type pool struct{}

func (pool) Connections() (int, int64) { return 3, 7 }

func terms() *gather.Settings {
	return &gather.Settings{
		ReplicaSets: 1, Tick: 1.0, Zone: "a",
		Classes: []gather.Class{
			{Name: "any", LatencyObjective: 100.0, LateValue: 0.1, CompleteShare: 0.75, PartialValue: 0.5},
			{Name: "once", LatencyObjective: 100.0, CompleteShare: 1.0},
		},
	}
}

func counter(now *float64) *Counter {
	return NewCounter("g", terms(), func() float64 { return *now }, pool{})
}

var halves = []dispatch.ShardRequest{{Shard: 0, Weight: 0.5}, {Shard: 1, Weight: 0.5}}

// TestCounts: each ending counts where it belongs, with the value that it earned; a report since a mark has what came
// after it, and one since a mark that is not known has all, and says so.
func TestCounts(t *testing.T) {
	now := 1000.0
	c := counter(&now)
	lk := func(index string) *dispatch.Query { return &dispatch.Query{Class: index, ShardRequests: halves} }
	c.QueryDecided(lk("any"), dispatch.Result{Kind: dispatch.Served, Complete: true}, 50)
	c.QueryDecided(lk("any"), dispatch.Result{Kind: dispatch.Served, Complete: true}, 150) // late
	c.QueryDecided(lk("any"), dispatch.Result{Kind: dispatch.Served, Hits: []dispatch.Hit{{Shard: 1}}}, 50)
	first := c.Document("", true)
	ix := first.Indexes["any"]
	if want := 1 + 0.1 + 0.5*0.5/0.75; ix.Ended != 3 || ix.Satisfied != 2 || ix.Partial != 1 || ix.InAim != 2 || ix.Value < want-1e-9 || ix.Value > want+1e-9 || ix.Took.TotalCount() != 3 || ix.Parts != 6 {
		t.Errorf("%+v, value %g", ix, ix.Value)
	}
	for _, kind := range []dispatch.ResultKind{dispatch.Rejected, dispatch.Failed, dispatch.InternalError, dispatch.Abandoned} {
		c.QueryDecided(lk("once"), dispatch.Result{Kind: kind}, 10)
	}
	c.QueryDecided(lk("none such"), dispatch.Result{}, 10)
	now = 3000
	next := c.Document(first.Mark, true)
	if o := next.Indexes["once"]; o.Ended != 4 || o.Nacked != 1 || o.Aborted != 1 || o.Broken != 1 || o.Left != 1 || o.Value != 0 {
		t.Errorf("%+v", o)
	}
	if a := next.Indexes["any"]; a.Ended != 0 || a.Took.TotalCount() != 0 || next.Since != first.Mark || next.Span != 2000 || next.Opened != 0 {
		t.Errorf("since a mark: %+v, %+v", a, next)
	}
	for range marks {
		c.Document("", true)
	}
	if old := c.Document(first.Mark, true); old.Since != "" || old.Indexes["any"].Ended != 3 || old.Span != 2000 {
		t.Errorf("a mark that is forgotten: %+v", old)
	}
}

// TestServer: the document and the metrics are told over HTTP, a claim holds for its time and against others, and what
// is no question is refused.
func TestServer(t *testing.T) {
	now := 1000.0
	c := counter(&now)
	c.InForce("operator", "abc")
	c.QueryDecided(&dispatch.Query{Class: "any", ShardRequests: halves}, dispatch.Result{Kind: dispatch.Served, Complete: true}, 50)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := Listen("127.0.0.1:0", c, func() bool { return true }, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	defer func() { stop(); <-done }()
	client := &http.Client{Timeout: 10 * time.Second}
	ask := func(method, path, body string) (int, string) {
		t.Helper()
		req, err := http.NewRequest(method, "http://"+s.Address()+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
	status, text := ask("GET", Path, "")
	d, err := Read(strings.NewReader(text))
	if status != 200 || err != nil || d.Files["operator"] != "abc" || !d.Ready || d.Connections != 3 || d.Indexes["any"].Took.Quantile(0.5) < 49 || d.Indexes["any"].Took.Quantile(0.5) > 51 {
		t.Errorf("%d, %v, %s", status, err, text)
	}
	if _, text := ask("GET", MetricPath, ""); !strings.Contains(text, `yokeroute_lookups_total{end="satisfied",index="any"} 1`) || !strings.Contains(text, `yokeroute_lookup_seconds_count{index="any"} 1`) {
		t.Errorf("%s", text)
	}
	for _, c := range []struct {
		body   string
		status int
		holder string
	}{{`{"run":"a","fence":2,"for":1000}`, 200, "a"}, {`{"run":"b","fence":9,"for":1000}`, 409, "a"}, {`{"run":"a","fence":1,"for":1000}`, 409, "a"}, {`{"run":"a","fence":3,"for":1000}`, 200, "a"},
		{`{"run":"a"}`, 400, ""}, {`{"run":"a","for":1e12}`, 400, ""}, {`no`, 400, ""}} {
		status, text := ask("POST", ClaimPath, c.body)
		var held rollout.Claim
		json.Unmarshal([]byte(text), &held)
		if status != c.status || held.Run != c.holder {
			t.Errorf("%s: %d, %s", c.body, status, text)
		}
	}
	now = 2500 // the claim has run out
	if status, _ := ask("POST", ClaimPath, `{"run":"b","fence":1,"for":1000}`); status != 200 {
		t.Errorf("after a claim's time: %d", status)
	}
	if status, _ := ask("DELETE", ClaimPath+"?run=b&fence=1", ""); status != 204 || c.Document("", true).Claim != nil {
		t.Errorf("given back: %d", status)
	}
}

// TestHuge: a report that does not end is not read to its end.
func TestHuge(t *testing.T) {
	huge := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 2 * MostBytes / 1024 {
			if _, err := w.Write(make([]byte, 1024)); err != nil {
				return
			}
		}
	}))
	defer huge.Close()
	resp, err := http.Get(huge.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := Read(resp.Body); err == nil || !strings.Contains(err.Error(), "more than 4 MB") {
		t.Errorf("%v", err)
	}
}

// BenchmarkLookup is what counting one lookup with its end takes.
func BenchmarkLookup(b *testing.B) {
	now := 0.0
	c := counter(&now)
	lk := &dispatch.Query{Class: "any", ShardRequests: halves}
	v := dispatch.Result{Kind: dispatch.Served, Complete: true}
	b.ReportAllocs()
	for b.Loop() {
		c.QueryDecided(lk, v, 50)
	}
}

// BenchmarkDocument is one report since a mark.
func BenchmarkDocument(b *testing.B) {
	now := 0.0
	c := counter(&now)
	lk := &dispatch.Query{Class: "any", ShardRequests: halves}
	mark := ""
	b.ReportAllocs()
	for b.Loop() {
		c.QueryDecided(lk, dispatch.Result{Kind: dispatch.Served, Complete: true}, 50)
		now += 1000
		mark = c.Document(mark, true).Mark
	}
}
