package policyapi

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"yokeroute/logic/policy"
)

// TestReadRejectsInvalidDocuments checks that a document of another format, or with a value that no gatherer could
// apply, is rejected with an error that names the field.
func TestReadRejectsInvalidDocuments(t *testing.T) {
	heartbeat := `"hello":{"name":"g1","process":"1"}`
	for text, want := range map[string]string{
		`{`:                                 "unexpected end",
		`{"policy":2,` + heartbeat + `}`:    "is of the form 2, this version takes 1",
		`{"policy":1}`:                      "hello.name",
		`{"policy":1,"hello":{"name":"g"}}`: "hello.process",
		`{"policy":1,` + heartbeat + `,"wait":1e9}`: "wait: 1e+09 ms",
		`{"policy":1,"hello":{"name":"g1","process":"1",` +
			`"floor":[{"kind":"least","of":"x","value":7}]}}`: "hello.floor: least x 7 is not between 0 and 1",
		`{"policy":1,"hello":{"name":"g1","process":"1",` +
			`"floor":[{"kind":"once-only","of":"x"},{"kind":"closed","of":"a/"}]}}`: "out of order",
		`{"policy":1,` + heartbeat + `,"a-word-of-later":true}`: "",
	} {
		_, err := ReadPollRequest(strings.NewReader(text))
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
	}
	for text, want := range map[string]string{
		`{"policy":1,"word":{"epoch":3,"last":2}}`:                                  "word.last",
		`{"policy":1,"word":{"epoch":1,"last":1,"change":{"number":7}}}`:            "word.change: 7 does not follow 1",
		`{"policy":1,"word":{"epoch":1,"last":1,"lease":1e12}}`:                     "word.lease",
		`{"policy":1,"word":{"epoch":1,"last":1,"policy":[{"kind":"closed"}]}}`:     "closed lacks its place",
		`{"policy":1,"word":{"epoch":1,"last":1,"policy":[{"kind":"of-a-later"}]}}`: "",
	} {
		_, err := ReadPollResponse(strings.NewReader(text))
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
	}
	tooLong := `{"policy":1,"x":"` + strings.Repeat("a", MaxBytes) + `"}`
	if _, err := ReadPollRequest(strings.NewReader(tooLong)); err == nil || !strings.Contains(err.Error(), "bytes long") {
		t.Errorf("document over %d bytes: error %v", MaxBytes, err)
	}
}

// FuzzPollResponse checks that for any input the reader returns a valid response or an error, and that a lease holder
// that handles the response permits no more than the response's policy.
func FuzzPollResponse(f *testing.F) {
	f.Add([]byte(`{"policy":1,"word":{"epoch":1,"policy":[{"kind":"closed","of":"a/"}],"last":1,` +
		`"change":{"number":2,"policy":[]},"lease":1000}}`))
	f.Add([]byte(`{"policy":1,"leader":"s2","error":"x"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := ReadPollResponse(bytes.NewReader(text))
		if err != nil || r.Update == nil {
			return
		}
		fallback := policy.Policy{{Kind: policy.NoHedging}}
		h := policy.NewLeaseHolder(fallback, policy.Revision{Epoch: 1, LastEnded: 1}, nil)
		_, _, accepted := h.Handle(0, 1, *r.Update)
		effective, _ := h.Effective(1)
		if accepted && r.Update.Lease > 1 && len(r.Update.Policy.UnknownKinds()) == 0 {
			if violations := policy.Violations(effective, r.Update.Policy); len(violations) > 0 {
				t.Fatalf("effective policy %v is less strict than the update's %v", effective, r.Update.Policy)
			}
		}
		if again, err := json.Marshal(r); err != nil || len(again) == 0 {
			t.Fatal(err)
		}
	})
}
