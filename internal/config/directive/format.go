package directive

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// FormatRate writes a rate as it reads.
func FormatRate(r float64) string { return strconv.FormatFloat(r, 'f', -1, 64) + "/s" }

// FormatShare writes a share as it reads.
func FormatShare(s float64) string {
	return strconv.FormatFloat(math.Round(s*1e9)/1e7, 'f', -1, 64) + "%"
}

// FormatDuration writes a time span as it reads, in the largest unit that leaves it whole.
func FormatDuration(ms float64) string {
	for _, unit := range []string{"d", "h", "min", "s"} {
		if n := ms / durationUnits[unit]; n == math.Trunc(n) && n != 0 {
			return strconv.FormatFloat(n, 'f', -1, 64) + unit
		}
	}
	return strconv.FormatFloat(ms, 'f', -1, 64) + "ms"
}

// FormatSize writes a size as it reads, in the largest unit that leaves it whole.
func FormatSize(bytes float64) string {
	for _, unit := range []string{"GB", "MB", "KB"} {
		if n := bytes / sizeUnits[unit]; n == math.Trunc(n) && n != 0 {
			return strconv.FormatFloat(n, 'f', -1, 64) + unit
		}
	}
	return strconv.FormatFloat(bytes, 'f', -1, 64) + "B"
}

// FormatTimestamp writes a moment as it reads.
func FormatTimestamp(ms float64) string {
	return time.UnixMicro(int64(math.Round(ms * 1000))).UTC().Format(time.RFC3339Nano)
}

// Quote writes a word as it reads, in quotes where it needs them.
func Quote(word string) string {
	if word != "" && !strings.ContainsAny(word, " \t#\"'\\") {
		return word
	}
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(word) + `"`
}
