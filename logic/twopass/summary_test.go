package twopass

import (
	"strings"
	"testing"
)

// TestParseSummaryNamesFaultOfInvalidSummary checks that valid summaries are parsed, and which fault the
// error for invalid ones names.
func TestParseSummaryNamesFaultOfInvalidSummary(t *testing.T) {
	for text, want := range map[string]string{
		"none v3":                          "",
		"some 12 0.5 v3":                   "",
		"none":                             "must be followed by a version",
		"none ":                            "must be followed by a version",
		"none v3 4":                        "must be followed by a version",
		"some 12 0.5":                      "must be followed by a count, a likelihood and a version",
		"some -1 0.5 v3":                   `count "-1" is not an integer from 1`,
		"some 0 0.5 v3":                    `count "0" is not an integer from 1`,
		"some 1e3 0.5 v3":                  `count "1e3"`,
		"some 99999999999999999999 0.5 v":  `: count "99999999999999999999"`,
		"some 2000000000000 0.5 v":         `: count "2000000000000"`,
		"some 3 1.5 v3":                    `likelihood "1.5" is not a number from 0 to 1`,
		"some 3 NaN v3":                    `likelihood "NaN"`,
		"some 3 -0.1 v3":                   `likelihood "-0.1"`,
		"":                                 "neither none nor some",
		"nope":                             "neither none nor some",
		"none " + strings.Repeat("v", 300): "305 bytes is longer than the maximum of 256",
	} {
		s, err := ParseSummary([]byte(text))
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%.30q: parsed as %+v, error %v; want error %q", text, s, err, want)
		}
		if err != nil && s != (Summary{}) {
			t.Errorf("%.30q: parsed as %+v although it is invalid", text, s)
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
			t.Errorf("%q: parsed as invalid summary %+v", text, s)
		}
		if err == nil && s.Empty != strings.HasPrefix(string(text), "none ") {
			t.Errorf("%q: wrong Empty in %+v", text, s)
		}
	})
}
