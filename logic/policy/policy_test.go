package policy

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func mustNew(t interface{ Fatal(...any) }, entries ...Entry) Policy {
	p, err := New(entries)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// drawPolicy draws a random policy of known kinds.
func drawPolicy(t *rapid.T, name string) Policy {
	subjects := map[subjectKind][]string{
		noSubject:    {""},
		classSubject: {"find", "claim"},
		placeSubject: {"north/", "north/s1", "south/s2"},
		hostSubject:  {"s1", "s2"},
	}
	var entries []Entry
	for _, kind := range Kinds() {
		kindTraits := traits[kind]
		for _, subject := range subjects[kindTraits.subject] {
			if rapid.IntRange(0, 2).Draw(t, name) != 0 {
				continue
			}
			e := Entry{Kind: kind, Subject: subject}
			if !kindTraits.flag {
				e.Value = kindTraits.maxValue * float64(rapid.IntRange(0, 4).Draw(t, name)) / 4
			}
			entries = append(entries, e)
		}
	}
	return mustNew(t, entries...)
}

// TestNewRejectsInvalidEntries tests that New rejects entries that no gatherer could apply, with an error
// that names the entry.
func TestNewRejectsInvalidEntries(t *testing.T) {
	for want, entries := range map[string][]Entry{
		"given twice":             {{Kind: NonIdempotent, Subject: "a"}, {Kind: NonIdempotent, Subject: "a"}},
		"lacks its index":         {{Kind: NonIdempotent}},
		"applies to everything":   {{Kind: RetryShare, Subject: "a", Value: 0.1}},
		"not between 0 and 1":     {{Kind: MinShare, Subject: "a", Value: 1.5}},
		"needs a zone":            {{Kind: Closed, Subject: "s1"}},
		"takes no value, not 1":   {{Kind: Closed, Subject: "north/", Value: 1}},
		"least a -1 is not":       {{Kind: MinShare, Subject: "a", Value: -1}},
		"needs a zone and option": {{Kind: Closed, Subject: "/s1"}},
	} {
		if _, err := New(entries); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: error %v, want one with %q", entries, err, want)
		}
	}
}
