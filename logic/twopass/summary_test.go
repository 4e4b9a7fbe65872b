package twopass

import (
	"strings"
	"testing"
)

// TestParseSummary parses valid summaries and names what is wrong with others.
func TestParseSummary(t *testing.T) {
	for text, want := range map[string]string{
		"none v3":                          "",
		"some 12 0.5 v3":                   "",
		"none":                             "takes a version",
		"none ":                            "takes a version",
		"none v3 4":                        "takes a version",
		"some 12 0.5":                      "takes a count, a chance and a version",
		"some -1 0.5 v3":                   `the count "-1" is not from 1`,
		"some 0 0.5 v3":                    `the count "0" is not from 1`,
		"some 1e3 0.5 v3":                  `the count "1e3"`,
		"some 99999999999999999999 0.5 v":  `the count`,
		"some 2000000000000 0.5 v":         `the count`,
		"some 3 1.5 v3":                    `the chance "1.5" is not from 0 to 1`,
		"some 3 NaN v3":                    `the chance "NaN"`,
		"some 3 -0.1 v3":                   `the chance "-0.1"`,
		"":                                 "neither none nor some",
		"nope":                             "neither none nor some",
		"none " + strings.Repeat("v", 300): "305 bytes, 256 at most",
	} {
		s, err := ParseSummary([]byte(text))
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%.30q: %+v, %v; want %q", text, s, err, want)
		}
		if err != nil && s != (Summary{}) {
			t.Errorf("%.30q: %+v though it cannot be read", text, s)
		}
	}
}

func FuzzParseSummary(f *testing.F) {
	f.Add([]byte("none v3"))
	f.Add([]byte("some 12 0.5 v3"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := ParseSummary(text)
		invalid := !s.Empty && (s.MaxHits < 1 || !(s.Likelihood >= 0 && s.Likelihood <= 1))
		if err == nil && (invalid || s.Version == "") {
			t.Errorf("%q reads as %+v", text, s)
		}
		if err == nil && s.Empty != strings.HasPrefix(string(text), "none ") {
			t.Errorf("%q reads as %+v", text, s)
		}
	})
}
