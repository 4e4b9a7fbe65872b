package directive

import (
	"fmt"
	"strconv"
	"strings"
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
