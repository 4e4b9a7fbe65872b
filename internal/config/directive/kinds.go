package directive

import (
	"fmt"
	"math"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"

	"yokeroute/internal/suggest"
)

// Kind is what a word has to be.
type Kind int

// The kinds of words, with the unit in which a number is handed on.
const (
	Name        Kind = iota // a name without blanks or slashes
	Names                   // one or more names
	Text                    // any text
	Number                  // a number
	Count                   // a whole number
	Rate                    // a rate, in parts a second
	Duration                // a time span, in milliseconds
	Size                    // a size, in bytes
	Share                   // a share of 1
	Timestamp               // a moment, in Unix milliseconds
	Switch                  // on or off
	Choice                  // one of a few words
	Address                 // host:port
	Flag                    // an option that stands alone
	RateOrShare             // a rate, or a share of 1 where IsShare says so
	NamedRates              // one or more names with a rate each, such as s-01=60/s
	Words                   // one or more words of any text; quote one that is an option's name
)

func (k Kind) String() string {
	return [...]string{"a name", "names", "text", "a number", "a whole number", "a rate such as 120/s",
		"a time such as 250ms", "a size such as 64MB", "a share such as 10%", "a moment such as 2026-12-01T10:00:00Z",
		"on or off", "a word", "an address such as 127.0.0.1:8500", "nothing", "a rate such as 120/s or a share such as 10%", "names with rates such as s-01=60/s", "words"}[k]
}

// placeholder is how the field stands in a directive's form.
func (f *Field) placeholder() string {
	switch f.Kind {
	case Choice:
		return strings.Join(f.Choices, "|")
	case Switch:
		return "on|off"
	case Names, Words:
		return strings.ToUpper(f.Name) + " ..."
	case NamedRates:
		return strings.ToUpper(f.Name) + "=RATE ..."
	case Rate:
		return "RATE"
	case Duration:
		return "TIME"
	case Share:
		return "SHARE"
	case RateOrShare:
		return "RATE|SHARE"
	case Timestamp:
		return "MOMENT"
	case Size:
		return "SIZE"
	}
	return strings.ToUpper(f.Name)
}

// describe is what the field has to be, with its bounds.
func (f *Field) describe() string {
	text := f.Kind.String()
	if f.Kind == Choice {
		text = strings.Join(f.Choices, " or ")
	}
	if f.Min != 0 || f.Max != 0 {
		text += fmt.Sprintf(", from %s", f.formatBound(f.Min))
		if f.Max != 0 {
			text += " to " + f.formatBound(f.Max)
		}
	}
	return text
}

// formatBound writes a bound in the unit of the kind.
func (f *Field) formatBound(n float64) string {
	switch f.Kind {
	case Rate, RateOrShare:
		return FormatRate(n)
	case Duration:
		return FormatDuration(n)
	case Share:
		return FormatShare(n)
	case Size:
		return FormatSize(n)
	}
	return strconv.FormatFloat(n, 'f', -1, 64)
}

var (
	numberPattern   = regexp.MustCompile(`^-?[0-9]+(\.[0-9]+)?$`)
	quantityPattern = regexp.MustCompile(`^(-?[0-9]+(?:\.[0-9]+)?)([^0-9.].*)?$`)
	namePattern     = regexp.MustCompile(`^[\pL\pN_.:+*@-]+$`)

	durationUnits = map[string]float64{"us": 0.001, "ms": 1, "s": 1000, "min": 60_000, "h": 3_600_000, "d": 86_400_000}
	rateUnits     = map[string]float64{"/s": 1, "/min": 1.0 / 60, "/h": 1.0 / 3600}
	sizeUnits     = map[string]float64{"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}
)

// parse checks a word and gives its number; wrong says what is wrong with it and what would be right.
func (f *Field) parse(text string) (number float64, wrong string) {
	switch f.Kind {
	case Name, Names:
		if text == "" || !namePattern.MatchString(text) {
			return 0, "is no name; names are made of letters, digits and . : _ + * @ -"
		}
		return 0, ""
	case Text, Words:
		if text == "" {
			return 0, "is empty"
		}
		return 0, ""
	case Choice:
		for i, c := range f.Choices {
			if c == text {
				return float64(i), ""
			}
		}
		return 0, fmt.Sprintf("is not %s%s", strings.Join(f.Choices, " or "), suggest.Hint(text, f.Choices))
	case Switch:
		if text != "on" && text != "off" {
			return 0, "is neither on nor off"
		}
		if text == "on" {
			number = 1
		}
		return number, ""
	case Address:
		_, port, err := net.SplitHostPort(text)
		if n, bad := strconv.Atoi(port); err != nil || bad != nil || n < 0 || n > 65535 {
			return 0, "is no address; write host:port, such as 127.0.0.1:8500"
		}
		return 0, ""
	case Timestamp:
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return 0, "is no moment; write it as 2026-12-01T10:00:00Z"
		}
		return float64(at.UnixMicro()) / 1000, ""
	case Number:
		if !numberPattern.MatchString(text) {
			return 0, "is no number; write it as 12 or 0.5"
		}
		number = parseNumber(text)
	case Count:
		if !numberPattern.MatchString(text) || strings.Contains(text, ".") {
			return 0, "is no whole number"
		}
		number = parseNumber(text)
	case NamedRates:
		key, rate, found := strings.Cut(text, "=")
		if !found || !namePattern.MatchString(key) {
			return 0, "is no name with a rate; write it as s-01=60/s"
		}
		number, wrong = parseQuantity(rate, rateUnits, "a rate", key+"=120/s")
	case Rate:
		number, wrong = parseQuantity(text, rateUnits, "a rate", "120/s")
	case Duration:
		number, wrong = parseQuantity(text, durationUnits, "a time", "250ms")
	case Size:
		number, wrong = parseQuantity(text, sizeUnits, "a size", "64MB")
	case Share:
		number, wrong = parseShare(text)
	case RateOrShare:
		if strings.HasSuffix(text, "%") {
			return parseShare(text)
		}
		number, wrong = parseQuantity(text, rateUnits, "a rate", "120/s, or a share as 10%")
	}
	if wrong != "" {
		return 0, wrong
	}
	switch {
	case number < 0 && f.Min >= 0:
		return 0, "may not be negative"
	case math.IsInf(number, 0):
		return 0, "is too large a number"
	case number < f.Min:
		return 0, "is less than " + f.formatBound(f.Min) + ", the least that may stand here"
	case f.Max != 0 && number > f.Max:
		return 0, "is more than " + f.formatBound(f.Max) + ", the most that may stand here"
	}
	return number, ""
}

func parseNumber(text string) float64 {
	n, _ := strconv.ParseFloat(text, 64) // too large a number comes out as infinite, which is seen above
	return n
}

func parseShare(text string) (float64, string) {
	of, percent := strings.CutSuffix(text, "%")
	if !numberPattern.MatchString(of) {
		return 0, "is no share; write it as 10% or 0.1"
	}
	n := parseNumber(of)
	if percent {
		n /= 100
	}
	if n < 0 || n > 1 {
		return 0, "is no share of a whole; it goes from 0% to 100%"
	}
	return n, ""
}

// parseQuantity reads a number with its unit.
func parseQuantity(text string, units map[string]float64, what, example string) (float64, string) {
	m := quantityPattern.FindStringSubmatch(text)
	if m == nil {
		return 0, fmt.Sprintf("is not %s; write it as %s", what, example)
	}
	if m[2] == "" {
		if parseNumber(m[1]) == 0 {
			return 0, ""
		}
		return 0, fmt.Sprintf("has no unit; write %s as %s", what, example)
	}
	unit, known := units[m[2]]
	if !known {
		names := make([]string, 0, len(units))
		for _, u := range []string{"us", "ms", "s", "min", "h", "d", "/s", "/min", "/h", "B", "KB", "MB", "GB"} {
			if units[u] != 0 {
				names = append(names, u)
			}
		}
		return 0, fmt.Sprintf("has the unit %q, which is none of %s; write %s as %s", m[2], strings.Join(names, " "), what, example)
	}
	return parseNumber(m[1]) * unit, ""
}
