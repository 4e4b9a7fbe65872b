package policyfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"yokeroute/logic/policy"
)

// TestFormatRoundTrip: a policy is read as it was formatted, whatever entries it has.
func TestFormatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := func() float64 { return float64(rapid.IntRange(1, 20).Draw(t, "share")) / 20 }
		var entries []policy.Entry
		for _, e := range []policy.Entry{
			{Kind: policy.NonIdempotent, Subject: "a"},
			{Kind: policy.NoHedging},
			{Kind: policy.NoHedging, Subject: "b"},
			{Kind: policy.MinShare, Subject: "a", Value: share()},
			{Kind: policy.RetryShare, Value: share()},
			{Kind: policy.RetryAllowance, Value: 7},
			{Kind: policy.WarmUpShare, Value: share()},
			{Kind: policy.Closed, Subject: "north/"},
			{Kind: policy.Closed, Subject: "south/s-1"},
			{Kind: policy.HostWeight, Subject: "s-2", Value: share()},
		} {
			if rapid.IntRange(0, 1).Draw(t, "some") == 0 {
				entries = append(entries, e)
			}
		}
		p, err := policy.New(entries)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse("p", Format(p))
		if err != nil || len(policy.Diff(p, again)) > 0 {
			t.Fatalf("%v, %v: %v", p, again, err)
		}
	})
}

// TestParseReportsPlaceOfMistakes: an invalid line is reported with its place and what is wrong.
func TestParseReportsPlaceOfMistakes(t *testing.T) {
	for text, want := range map[string]string{
		"index a\n":                            "p:1:7: \"a\": wants one at least",
		"no-copies\nno-copies\n":               "p:2:1",
		"further\n":                            "wants share, free or both",
		"cold 150%\n":                          "150%",
		"close host s1\n":                      "zone",
		"index a once-only\nindex a once-only": "once-only a is given twice",
		"indx a once-only\n":                   "did you mean index?",
	} {
		if _, err := Parse("p", text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestReferencePage: the page in docs is the one that the table of directives gives.
func TestReferencePage(t *testing.T) {
	page := filepath.Join("..", "..", "..", "docs", "operate", "reference-policy.md")
	if text, err := os.ReadFile(page); err != nil || string(text) != Reference() {
		t.Errorf("%s is not what yokeroute reference policy prints: %v", page, err)
	}
}
