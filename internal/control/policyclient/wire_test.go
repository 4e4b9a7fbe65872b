package policyclient

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/logic/policy"
)

// TestDocuments: what is no document of this form, or holds what no gatherer could keep, is refused with its field.
func TestDocuments(t *testing.T) {
	hello := `"hello":{"name":"g1","process":"1"}`
	for text, want := range map[string]string{
		`{`:                                     "unexpected end",
		`{"policy":2,` + hello + `}`:            "is of the form 2, this version takes 1",
		`{"policy":1}`:                          "hello.name",
		`{"policy":1,"hello":{"name":"g"}}`:     "hello.process",
		`{"policy":1,` + hello + `,"wait":1e9}`: "wait: 1e+09 ms",
		`{"policy":1,"hello":{"name":"g1","process":"1","floor":[{"kind":"least","of":"x","value":7}]}}`:                       "hello.floor: least x 7 is not within 0 and 1",
		`{"policy":1,"hello":{"name":"g1","process":"1","floor":[{"kind":"once-only","of":"x"},{"kind":"closed","of":"a/"}]}}`: "out of order",
		`{"policy":1,` + hello + `,"a-word-of-later":true}`:                                                                    "",
	} {
		_, err := ReadAsk(strings.NewReader(text))
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
	for text, want := range map[string]string{
		`{"policy":1,"word":{"epoch":3,"last":2}}`:                                  "word.last",
		`{"policy":1,"word":{"epoch":1,"last":1,"change":{"number":7}}}`:            "word.change: 7 does not follow 1",
		`{"policy":1,"word":{"epoch":1,"last":1,"lease":1e12}}`:                     "word.lease",
		`{"policy":1,"word":{"epoch":1,"last":1,"policy":[{"kind":"closed"}]}}`:     "closed lacks its place",
		`{"policy":1,"word":{"epoch":1,"last":1,"policy":[{"kind":"of-a-later"}]}}`: "",
	} {
		_, err := ReadAnswer(strings.NewReader(text))
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
	if _, err := ReadAsk(strings.NewReader(`{"policy":1,"x":"` + strings.Repeat("a", MostBytes) + `"}`)); err == nil || !strings.Contains(err.Error(), "bytes long") {
		t.Errorf("%v", err)
	}
}

// FuzzAnswer wants a reader that gives a whole word or an error, whatever comes, and a holder that stays within what it
// may whatever word it hears.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`{"policy":1,"word":{"epoch":1,"policy":[{"kind":"closed","of":"a/"}],"last":1,"change":{"number":2,"policy":[]},"lease":1000}}`))
	f.Add([]byte(`{"policy":1,"leader":"s2","error":"x"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		a, err := ReadAnswer(bytes.NewReader(text))
		if err != nil || a.Word == nil {
			return
		}
		h := policy.NewLeaseHolder(policy.Policy{{Kind: policy.NoHedging}}, policy.Revision{Epoch: 1, LastEnded: 1}, nil)
		_, _, taken := h.Handle(0, 1, *a.Word)
		acts, _ := h.Effective(1)
		if taken && a.Word.Lease > 1 && len(a.Word.Policy.UnknownKinds()) == 0 {
			if wrong := policy.Violations(acts, a.Word.Policy); len(wrong) > 0 {
				t.Fatalf("acts by %v, told %v", acts, a.Word.Policy)
			}
		}
		if again, err := json.Marshal(a); err != nil || len(again) == 0 {
			t.Fatal(err)
		}
	})
}

// TestFence: how far a gatherer had come is read again as it was kept; torn at any byte, of another form, or of nonsense
// it is told, and is a beginning.
func TestFence(t *testing.T) {
	folder := t.TempDir()
	want := policy.Revision{Epoch: 41, LastEnded: 43, Pending: 44}
	if got, err := OpenFence(folder); got != (policy.Revision{}) || err != nil {
		t.Errorf("%+v, %v", got, err)
	}
	if err := keepFence(folder, want); err != nil {
		t.Fatal(err)
	}
	if got, err := OpenFence(folder); got != want || err != nil {
		t.Errorf("%+v, %v", got, err)
	}
	file := filepath.Join(folder, fenceName)
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for n := range text {
		if err := os.WriteFile(file, text[:n], 0o644); err != nil {
			t.Fatal(err)
		}
		if got, err := OpenFence(folder); err == nil || got != (policy.Revision{}) {
			t.Fatalf("torn after %d bytes: %+v, %v", n, got, err)
		}
	}
	for _, bad := range []string{strings.Replace(string(text), "fence 1", "fence 2", 1), strings.Replace(string(text), "43", "40", 1)} {
		if err := os.WriteFile(file, []byte(bad), 0o644); err != nil {
			t.Fatal(err)
		}
		if got, err := OpenFence(folder); err == nil || got != (policy.Revision{}) {
			t.Errorf("%s: %+v, %v", bad, got, err)
		}
	}
	if err := keepFence("", want); err != nil {
		t.Error(err)
	}
	if err := keepFence(filepath.Join(folder, "nowhere"), want); err == nil {
		t.Error("kept where there is no folder")
	}
}

// TestFile: a policy is read as it was written, whatever is in it; bad lines are told with their place; the pages in docs
// are those that the tables give.
func TestFile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []policy.Entry
		some := func(n int) bool { return rapid.IntRange(0, n).Draw(t, "some") == 0 }
		share := func() float64 { return float64(rapid.IntRange(1, 20).Draw(t, "share")) / 20 }
		for _, e := range []policy.Entry{{Kind: policy.NonIdempotent, Subject: "a"}, {Kind: policy.NoHedging}, {Kind: policy.NoHedging, Subject: "b"}, {Kind: policy.MinShare, Subject: "a", Value: share()}, {Kind: policy.RetryShare, Value: share()}, {Kind: policy.RetryAllowance, Value: 7},
			{Kind: policy.WarmUpShare, Value: share()}, {Kind: policy.Closed, Subject: "north/"}, {Kind: policy.Closed, Subject: "south/s-1"}, {Kind: policy.HostWeight, Subject: "s-2", Value: share()}} {
			if some(1) {
				entries = append(entries, e)
			}
		}
		p, err := policy.New(entries)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse("p", Text(p))
		if err != nil || len(policy.Diff(p, again)) > 0 {
			t.Fatalf("%v, %v: %v", p, again, err)
		}
	})
	for text, want := range map[string]string{
		"index a\n":                            "p:1:7: \"a\": wants one at least",
		"no-copies\nno-copies\n":               "p:2:1",
		"further\n":                            "wants share, free or both",
		"cold 150%\n":                          "150%",
		"close host s1\n":                      "zone",
		"index a once-only\nindex a once-only": "once-only a is said twice",
		"indx a once-only\n":                   "did you mean index?",
	} {
		if _, err := Parse("p", text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
	page := filepath.Join("..", "..", "..", "docs", "operate", "reference-policy.md")
	if text, err := os.ReadFile(page); err != nil || string(text) != Reference() {
		t.Errorf("%s is not what yokeroute reference policy prints: %v", page, err)
	}
}

// governed is a governor that has heard a policy, and its settings.
func governed(t *testing.T, floor, p string) (*Governor, *float64) {
	t.Helper()
	settings := &gather.Settings{
		HedgingAllowed: true, RetryBudgetWindow: 1000.0, RetryBudgetRatio: 0.1,
		RetryBudgetFloor: 8.0, OverloadMultiple: 3.0,
		Classes: []gather.Class{
			{Name: "any", Effect: gather.Idempotent, MinShare: 0.5, CompleteShare: 0.75},
			{Name: "claim", Effect: gather.NonIdempotent},
		},
	}
	now := 0.0
	parse := func(text string) policy.Policy {
		p, err := Parse("p", text)
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	g := NewGovernor(settings, parse(floor), policy.Revision{}, func() float64 { return now }, func() {})
	g.Follow(gather.EndpointList{Full: true, Endpoints: []gather.Endpoint{{ID: 1, Zone: "north"}, {ID: 2, Zone: "south"}}}, []shardcall.Address{{ID: 1, Name: "s1"}, {ID: 2, Name: "s2"}})
	g.hear(0, policy.Update{Epoch: 1, LastEnded: 1, Policy: parse(p), Lease: 1000})
	return g, &now
}

// TestGovern: terms are those that the policy leaves; a call or an answer that was decided before a lease ran out goes only
// as far as the floor allows it.
func TestGovern(t *testing.T) {
	floor := "no-copies\nindex any once-only least 90%\nfurther share 1% free 1\ncold 10%\nclose zone north\nclose zone south host s2\n"
	g, now := governed(t, floor, "index any least 60%\nfurther free 4\ncold 50%\nclose zone south host s2\nturns s1 50%\n")
	way, settings := g.Effective(1)
	if settings.Class("any").MinShare != 0.6 || settings.Class("any").CompleteShare != 0.75 || settings.RetryBudgetFloor != 4 || settings.RetryBudgetRatio != 0.1 || settings.OverloadMultiple != 1.5 || !settings.HedgingAllowed ||
		g.base.OverloadMultiple != 3 || g.Weight(1) != 0.5 || g.Weight(2) != 1 || g.Blocked(1) || !g.Blocked(2) {
		t.Errorf("%v; %v", settings, g.closed)
	}
	call := dispatch.PolicyCheck{Generation: way, Class: "any", Server: 1, Repeated: true, Hedge: true, UsesRetryBudget: true}
	v := dispatch.Result{Kind: dispatch.Served}
	if !g.Permits(call, 500) || g.Permits(dispatch.PolicyCheck{Generation: way, Class: "any", Server: 2}, 500) || g.ReviewResult(call, v, 0.6, true, 500).Kind != dispatch.Served {
		t.Error("under the lease")
	}
	*now = 1000
	for _, a := range []dispatch.PolicyCheck{{Hedge: true}, {Repeated: true}, {UsesRetryBudget: true}} {
		a.Generation, a.Class, a.Server = way, "any", 9
		if g.Permits(a, 1000) {
			t.Errorf("%+v goes after the lease", a)
		}
	}
	if !g.Permits(dispatch.PolicyCheck{Generation: way, Class: "any", Server: 9}, 1000) || g.Permits(dispatch.PolicyCheck{Generation: way, Class: "any", Server: 1}, 1000) {
		t.Error("a first call goes, but not to a host that the floor closes")
	}
	for _, c := range []struct {
		v     dispatch.Result
		share float64
		ran   bool
		want  dispatch.ResultKind
	}{{v, 0.6, true, dispatch.Failed}, {v, 0.95, true, dispatch.Served}, {dispatch.Result{Kind: dispatch.Rejected}, 0, true, dispatch.Failed}, {dispatch.Result{Kind: dispatch.Rejected}, 0, false, dispatch.Rejected}} {
		if got := g.ReviewResult(call, c.v, c.share, c.ran, 1000).Kind; got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
	if s := g.State(); s.Until != 0 || s.ExpiredLeases != 1 || !strings.Contains(s.Acts, "close zone north\n") {
		t.Errorf("%+v", s)
	}
	own, _ := governed(t, "", "")
	if err := own.Hold(policy.Policy{{Kind: policy.Closed, Subject: "north/"}}, 2); err != nil || !own.Blocked(1) || own.Blocked(2) || own.h.ExpiresAt() != math.Inf(1) {
		t.Errorf("%v, %v", err, own.closed)
	}
	for text, want := range map[string]string{"index nowhere no-copies\n": "there is no index nowhere", "index any least 40%\n": "the platform's least share is 0.5", "further share 20%\n": "budget share is 0.1", "further free 9\n": "8 free further calls", "close zone north host s2\n": "s2 stands in south"} {
		p, err := Parse("p", text)
		if err != nil {
			t.Fatal(err)
		}
		if err := own.Hold(p, 3); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// BenchmarkMay is what a part call's first byte costs more where a policy is followed.
func BenchmarkMay(b *testing.B) {
	g := NewGovernor(&gather.Settings{Classes: []gather.Class{{Name: "any"}}}, nil, policy.Revision{}, func() float64 { return 0 }, func() {})
	g.hear(0, policy.Update{Epoch: 1, LastEnded: 1, Lease: 1e9})
	way, _ := g.Effective(0)
	for b.Loop() {
		g.Permits(dispatch.PolicyCheck{Generation: way, Class: "any", Server: 1}, 1)
	}
}
