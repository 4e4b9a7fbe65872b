package directive

import (
	"fmt"
	"math"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"yokeroute/internal/suggest"
)

var (
	numberPattern   = regexp.MustCompile(`^-?[0-9]+(\.[0-9]+)?$`)
	quantityPattern = regexp.MustCompile(`^(-?[0-9]+(?:\.[0-9]+)?)([^0-9.].*)?$`)
	namePattern     = regexp.MustCompile(`^[\pL\pN_.:+*@-]+$`)

	durationUnits = map[string]float64{"us": 0.001, "ms": 1, "s": 1000, "min": 60_000, "h": 3_600_000, "d": 86_400_000}
	rateUnits     = map[string]float64{"/s": 1, "/min": 1.0 / 60, "/h": 1.0 / 3600}
	sizeUnits     = map[string]float64{"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}
)

// parse checks a word and returns its number, 0 for kinds without one. The problem says what is wrong with the word and
// what would be right; it is empty where nothing is.
func (f *Field) parse(text string) (number float64, problem string) {
	switch f.Kind {
	case Name, Names, Text, Words, Choice, Switch, Address, Timestamp:
		return f.parseWord(text)
	case RateOrShare:
		if strings.HasSuffix(text, "%") {
			return parseShare(text)
		}
	}
	number, problem = f.parseQuantity(text)
	if problem == "" {
		problem = f.checkBounds(number)
	}
	if problem != "" {
		return 0, problem
	}
	return number, ""
}

// parseWord checks a word of a kind that has no bounds.
func (f *Field) parseWord(text string) (number float64, problem string) {
	switch f.Kind {
	case Name, Names:
		if text == "" || !namePattern.MatchString(text) {
			return 0, "is no name; names are made of letters, digits and . : _ + * @ -"
		}
	case Text, Words:
		if text == "" {
			return 0, "is empty"
		}
	case Choice:
		i := slices.Index(f.Choices, text)
		if i < 0 {
			return 0, fmt.Sprintf("is not %s%s", strings.Join(f.Choices, " or "), suggest.Hint(text, f.Choices))
		}
		return float64(i), ""
	case Switch:
		if text != "on" && text != "off" {
			return 0, "is neither on nor off"
		}
		if text == "on" {
			return 1, ""
		}
	case Address:
		if !isAddress(text) {
			return 0, "is no address; write host:port, such as 127.0.0.1:8500"
		}
	case Timestamp:
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return 0, "is no moment; write it as 2026-12-01T10:00:00Z"
		}
		return float64(at.UnixMicro()) / 1000, ""
	}
	return 0, ""
}

// parseQuantity reads a number, with its unit where the kind has one.
func (f *Field) parseQuantity(text string) (number float64, problem string) {
	switch f.Kind {
	case Number:
		if !numberPattern.MatchString(text) {
			return 0, "is no number; write it as 12 or 0.5"
		}
		return parseNumber(text), ""
	case Count:
		if !numberPattern.MatchString(text) || strings.Contains(text, ".") {
			return 0, "is no whole number"
		}
		return parseNumber(text), ""
	case NamedRates:
		key, rate, found := strings.Cut(text, "=")
		if !found || !namePattern.MatchString(key) {
			return 0, "is no name with a rate; write it as s-01=60/s"
		}
		return parseWithUnit(rate, rateUnits, "a rate", key+"=120/s")
	case Rate:
		return parseWithUnit(text, rateUnits, "a rate", "120/s")
	case RateOrShare:
		return parseWithUnit(text, rateUnits, "a rate", "120/s, or a share as 10%")
	case Duration:
		return parseWithUnit(text, durationUnits, "a time", "250ms")
	case Size:
		return parseWithUnit(text, sizeUnits, "a size", "64MB")
	case Share:
		return parseShare(text)
	}
	return 0, ""
}

// checkBounds says which bound of the field a number breaks.
func (f *Field) checkBounds(number float64) (problem string) {
	switch {
	case number < 0 && f.Min >= 0:
		return "may not be negative"
	case math.IsInf(number, 0):
		return "is too large a number"
	case number < f.Min:
		return "is less than " + f.formatBound(f.Min) + ", the least that may stand here"
	case f.Max != 0 && number > f.Max:
		return "is more than " + f.formatBound(f.Max) + ", the most that may stand here"
	}
	return ""
}

func isAddress(text string) bool {
	const maxPort = 65535
	_, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n <= maxPort
}

func parseNumber(text string) float64 {
	n, _ := strconv.ParseFloat(text, 64) // too large a number comes out as infinite, which checkBounds rejects
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

// unitOrder is the order in which messages list units.
var unitOrder = []string{"us", "ms", "s", "min", "h", "d", "/s", "/min", "/h", "B", "KB", "MB", "GB"}

// parseWithUnit reads a number with its unit. Zero needs none.
func parseWithUnit(text string, units map[string]float64, what, example string) (float64, string) {
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
		for _, u := range unitOrder {
			if units[u] != 0 {
				names = append(names, u)
			}
		}
		return 0, fmt.Sprintf("has the unit %q, which is none of %s; write %s as %s",
			m[2], strings.Join(names, " "), what, example)
	}
	return parseNumber(m[1]) * unit, ""
}
