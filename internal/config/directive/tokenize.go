package directive

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// token is one word of a line.
type token struct {
	Position
	text   string
	quoted bool
}

// tokenize takes a line apart.
func tokenize(file string, number int, line string) ([]token, *Error) {
	var words []token
	fault := func(col int, w, text string) *Error { return &Error{Position{file, number, col}, w, text} }
	if !utf8.ValidString(line) {
		return nil, fault(1, "", "is no UTF-8 text")
	}
	letters := []rune(line)
	for i := 0; i < len(letters); {
		switch c := letters[i]; {
		case c == '#':
			return words, nil
		case unicode.IsSpace(c):
			i++
		case c == '"' || c == '\'':
			from := i
			var text strings.Builder
			for i++; i < len(letters) && letters[i] != c; i++ {
				if letters[i] == '\\' && i+1 < len(letters) && (letters[i+1] == c || letters[i+1] == '\\') {
					i++
				}
				text.WriteRune(letters[i])
			}
			if i == len(letters) {
				return nil, fault(from+1, string(letters[from:]), "has no closing quote on this line")
			}
			if i++; i < len(letters) && !unicode.IsSpace(letters[i]) && letters[i] != '#' {
				return nil, fault(i+1, string(letters[i:]), "follows a quote; put a blank between them")
			}
			words = append(words, token{Position{file, number, from + 1}, text.String(), true})
		default:
			from := i
			for i < len(letters) && !unicode.IsSpace(letters[i]) && letters[i] != '#' && letters[i] != '"' {
				i++
			}
			if at := slices.IndexFunc(letters[from:i], unicode.IsControl); at >= 0 {
				return nil, fault(from+at+1, string(letters[from+at]), "is a control character; take it out")
			}
			if i < len(letters) && letters[i] == '"' {
				return nil, fault(i+1, string(letters[i:]), "is a quote inside a word; quote the whole word")
			}
			words = append(words, token{Position{file, number, from + 1}, string(letters[from:i]), false})
		}
	}
	return words, nil
}
