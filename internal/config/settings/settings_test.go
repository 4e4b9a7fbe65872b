package settings

import (
	"reflect"
	"strings"
	"testing"

	"yokeroute/gather"
)

// full is a document with all keys that are read, and one that is not known.
const full = `{"balancers":3,"myNumber":2,"tick":5000,"countedBy":"work","overShareWorth":0.1,"discovery":"on_request",
"zone":"north","weightSource":"rough","unknown":{"x":[1]},
"classes":[
 {"name":"a","effect":"pure","group":"all","goalTime":300000,"hardLimit":900000,"lateValue":0.2,"window":1,"worth":2},
 {"name":"b","effect":"token","goalTime":400000,"hardLimit":800000,"window":700000},
 {"name":"c","effect":"side_effect","goalTime":400000,"hardLimit":800000}],
"tenants":[{"name":"t","portion":0.7,"quotaPerS":21}],
"domain":{"cells":4,"inARow":2,"shards":9,"call":1500,"partsACall":16,"classFloor":[0.5],"completeFrom":[0.75,0.9],
 "partialEarns":[0.8],"secondStep":[2]},
"limits":{"attemptsCap":3,"cancel":true,"connectTimeout":250000,"maxRetryAfter":1000000,"idleClose":30000000,
 "mostHeld":131,"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":100},
"loadInfo":{"how":"pull"},
"rules":{"answerSlack":20000,"budgetShare":0.05,"cold":17000000,"coldShare":0.18,"drainGrace":250000,"extraFloor":10,
 "fall":2000000,"fallMultiple":3,"mustAskIn":10000000,"resendSpan":2500000}}`

func TestReadMapsEveryKeyAndConvertsTimes(t *testing.T) {
	want := &gather.Settings{
		Gatherers: 3, GathererIndex: 2, Tick: 5, Zone: "north",
		EndpointsOnRequest: true, DiscoveryInterval: 10_000, WeightSource: "rough", LoadReports: "pull",
		ReplicaSets: 4, ReplicaSetsPerShard: 2, Shards: 9,
		CallCost: 1.5, RequestsPerCall: 16, MaxAttempts: 3, MaxOpenRequests: 131, CancelAllowed: true,
		HedgingAllowed: true, HealthChecksAllowed: true, ConnectTimeout: 250, IdleTimeout: 30_000,
		StreamsPerConnection: 100, MaxRetryAfter: 1000,
		AnswerSlack: 20, DrainGrace: 250,
		WarmupTime: 17_000, InitialCapacityShare: 0.18, OverloadWindow: 2000, OverloadMultiple: 3,
		RetryBudgetWindow: 2500, RetryBudgetFloor: 10, RetryBudgetRatio: 0.05,
		CountedBy: "work", OverQuotaWeight: 0.1,
		Classes: []gather.Class{
			{Name: "a", LatencyObjective: 300, Deadline: 900, LateValue: 0.2, Effect: gather.Idempotent,
				IdempotencyWindow: 0.001, PriorityWeight: 2, CompleteShare: 0.75, MinShare: 0.5, PartialValue: 0.8,
				FollowUpRequests: 2},
			{Name: "b", LatencyObjective: 400, Deadline: 800, Effect: gather.IdempotencyKeyed, IdempotencyWindow: 700,
				CompleteShare: 0.9, MinShare: 0.9},
			{Name: "c", LatencyObjective: 400, Deadline: 800, Effect: gather.NonIdempotent, CompleteShare: 1, MinShare: 1},
		},
		Tenants: []gather.Tenant{{Name: "t", CapacityShare: 0.7, Quota: 21}},
	}
	got, err := Read([]byte(full))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v\nwant\n%+v", got, want)
	}
	for value, i := reflect.ValueOf(want).Elem(), 0; i < value.NumField(); i++ {
		if value.Field(i).IsZero() {
			t.Errorf("%s is not in the document", value.Type().Field(i).Name)
		}
	}
}

func TestReadLeavesOutWhatDoesNotApply(t *testing.T) {
	text := strings.NewReplacer(`"budgetShare":0.05,`, "", `"retryAfter":true`, `"retryAfter":false`).Replace(full)
	got, err := Read([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if got.RetryBudgetWindow != 0 || got.RetryBudgetFloor != 0 || got.RetryBudgetRatio != 0 {
		t.Errorf("without a ratio the retry budget is %v ms, %v, %v, want none", got.RetryBudgetWindow,
			got.RetryBudgetFloor, got.RetryBudgetRatio)
	}
	if got.MaxRetryAfter != 0 {
		t.Errorf("clients that get no advice may be advised to wait %v ms", got.MaxRetryAfter)
	}
}

func TestReadRejects(t *testing.T) {
	for _, c := range []struct{ name, from, to, want string }{
		{"a value of the wrong type", `"tick":5000`, `"tick":"5ms"`, "settings: json: "},
		{"no layout", `"cells":4`, `"cells":0`, "no layout of shards"},
		{"no shards in the layout", `"inARow":2`, `"inARow":0`, "no layout of shards"},
		{"an unknown way of discovery", "on_request", "sometimes", `settings.discovery: "sometimes"`},
		{"unknown load reports", `"how":"pull"`, `"how":"push"`, `settings.loadInfo.how: "push"`},
		{"a negative objective", `"goalTime":300000`, `"goalTime":-1`, `settings.classes: "a"`},
		{"a negative deadline", `"hardLimit":900000`, `"hardLimit":-1`, `settings.classes: "a"`},
		{"an unknown effect", "side_effect", "none", `class "c" has effect "none"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(full, c.from) {
				t.Fatalf("the document does not hold %s", c.from)
			}
			_, err := Read([]byte(strings.Replace(full, c.from, c.to, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}
