package policyclient

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

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
