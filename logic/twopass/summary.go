package twopass

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Summary is a shard server's answer in a first pass.
type Summary struct {
	Empty      bool
	MaxHits    int64   // upper bound of the number of hits, unless Empty
	Likelihood float64 // probability that the shard holds a hit, unless Empty
	Version    string  // version of the shard's content; shown in traces, not compared
}

// Limits of a valid summary.
const (
	maxSummaryBytes = 256
	maxHitCount     = 1 << 40
)

// ParseSummary parses a summary of the form `none VERSION` or `some COUNT LIKELIHOOD VERSION`. An invalid
// summary proves nothing about the shard.
func ParseSummary(text []byte) (Summary, error) {
	if len(text) > maxSummaryBytes {
		return Summary{}, fmt.Errorf("summary of %d bytes is longer than the maximum of %d",
			len(text), maxSummaryBytes)
	}
	words := bytes.Split(text, []byte{' '})
	switch string(words[0]) {
	case "none":
		if len(words) != 2 || len(words[1]) == 0 {
			return Summary{}, fmt.Errorf("summary %q: none must be followed by a version", text)
		}
		return Summary{Empty: true, Version: string(words[1])}, nil
	case "some":
		if len(words) != 4 || len(words[3]) == 0 {
			return Summary{}, fmt.Errorf("summary %q: some must be followed by a count, a likelihood and a version",
				text)
		}
		count, err := strconv.ParseInt(string(words[1]), 10, 64)
		if err != nil || count < 1 || count > maxHitCount {
			return Summary{}, fmt.Errorf("summary %q: count %q is not an integer from 1 to %d",
				text, words[1], int64(maxHitCount))
		}
		likely, err := strconv.ParseFloat(string(words[2]), 64)
		if err != nil || !(likely >= 0 && likely <= 1) {
			return Summary{}, fmt.Errorf("summary %q: likelihood %q is not a number from 0 to 1", text, words[2])
		}
		return Summary{MaxHits: count, Likelihood: likely, Version: string(words[3])}, nil
	}
	return Summary{}, errors.New("summary begins with neither none nor some")
}
