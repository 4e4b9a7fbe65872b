package twopass

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Summary is what a shard server tells of a part in a first pass.
type Summary struct {
	Empty      bool
	MaxHits    int64   // hits that it may hold at most, where it may hold any
	Likelihood float64 // the chance that it holds any, where it may
	Version    string  // of the content that was looked at; not compared, kept for traces
}

// Bounds against a summary that cannot be one.
const (
	maxSummaryBytes = 256
	maxHitCount     = 1 << 40
)

// ParseSummary reads `none VERSION` or `some COUNT LIKELY VERSION`. What cannot be read proves nothing;
// the error says what is wrong with it.
func ParseSummary(text []byte) (Summary, error) {
	if len(text) > maxSummaryBytes {
		return Summary{}, fmt.Errorf("a summary of %d bytes, %d at most", len(text), maxSummaryBytes)
	}
	words := bytes.Split(text, []byte{' '})
	switch string(words[0]) {
	case "none":
		if len(words) != 2 || len(words[1]) == 0 {
			return Summary{}, fmt.Errorf("summary %q: none takes a version", text)
		}
		return Summary{Empty: true, Version: string(words[1])}, nil
	case "some":
		if len(words) != 4 || len(words[3]) == 0 {
			return Summary{}, fmt.Errorf("summary %q: some takes a count, a chance and a version", text)
		}
		count, err := strconv.ParseInt(string(words[1]), 10, 64)
		if err != nil || count < 1 || count > maxHitCount {
			return Summary{}, fmt.Errorf("summary %q: the count %q is not from 1 to %d",
				text, words[1], int64(maxHitCount))
		}
		likely, err := strconv.ParseFloat(string(words[2]), 64)
		if err != nil || !(likely >= 0 && likely <= 1) {
			return Summary{}, fmt.Errorf("summary %q: the chance %q is not from 0 to 1", text, words[2])
		}
		return Summary{MaxHits: count, Likelihood: likely, Version: string(words[3])}, nil
	}
	return Summary{}, errors.New("a summary that begins with neither none nor some")
}
