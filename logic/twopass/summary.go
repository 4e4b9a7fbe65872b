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
	MaxHits    int64   // bound of its hits, where the shard may hold any
	Likelihood float64 // that the shard holds any, where it may
	Version    string  // of the content looked at; for traces, it is not compared
}

// Bounds of a valid summary.
const (
	maxSummaryBytes = 256
	maxHitCount     = 1 << 40
)

// ParseSummary parses `none VERSION` or `some COUNT LIKELY VERSION`. The error says what is wrong with a
// text that is neither; it proves nothing.
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
