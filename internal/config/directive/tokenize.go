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

// tokenizer splits one line into tokens.
type tokenizer struct {
	file    string
	line    int
	letters []rune
	next    int
	tokens  []token
}

// tokenize splits a line into tokens, up to its comment.
func tokenize(file string, number int, line string) ([]token, *Error) {
	t := &tokenizer{file: file, line: number, letters: []rune(line)}
	if !utf8.ValidString(line) {
		return nil, t.errorAt(0, "", "is no UTF-8 text")
	}
	for t.next < len(t.letters) {
		var err *Error
		switch c := t.letters[t.next]; {
		case c == '#':
			return t.tokens, nil
		case unicode.IsSpace(c):
			t.next++
		case c == '"' || c == '\'':
			err = t.quoted(c)
		default:
			err = t.plain()
		}
		if err != nil {
			return nil, err
		}
	}
	return t.tokens, nil
}

// quoted takes a token in quotes, in which a backslash before a quote or a backslash takes it as it is.
func (t *tokenizer) quoted(quote rune) *Error {
	start := t.next
	var text strings.Builder
	i := start + 1
	for ; i < len(t.letters) && t.letters[i] != quote; i++ {
		if t.letters[i] == '\\' && i+1 < len(t.letters) && (t.letters[i+1] == quote || t.letters[i+1] == '\\') {
			i++
		}
		text.WriteRune(t.letters[i])
	}
	if i == len(t.letters) {
		return t.errorAt(start, string(t.letters[start:]), "has no closing quote on this line")
	}
	i++
	if i < len(t.letters) && !unicode.IsSpace(t.letters[i]) && t.letters[i] != '#' {
		return t.errorAt(i, string(t.letters[i:]), "follows a quote; put a blank between them")
	}
	t.add(start, text.String(), true)
	t.next = i
	return nil
}

// plain takes a token that ends at a blank or a comment.
func (t *tokenizer) plain() *Error {
	start, end := t.next, t.next
	for end < len(t.letters) && !endsPlainToken(t.letters[end]) {
		end++
	}
	if i := slices.IndexFunc(t.letters[start:end], unicode.IsControl); i >= 0 {
		return t.errorAt(start+i, string(t.letters[start+i]), "is a control character; take it out")
	}
	if end < len(t.letters) && t.letters[end] == '"' {
		return t.errorAt(end, string(t.letters[end:]), "is a quote inside a word; quote the whole word")
	}
	t.add(start, string(t.letters[start:end]), false)
	t.next = end
	return nil
}

func endsPlainToken(c rune) bool { return unicode.IsSpace(c) || c == '#' || c == '"' }

func (t *tokenizer) add(start int, text string, quoted bool) {
	t.tokens = append(t.tokens, token{t.positionAt(start), text, quoted})
}

func (t *tokenizer) positionAt(letter int) Position { return Position{t.file, t.line, letter + 1} }

func (t *tokenizer) errorAt(letter int, text, message string) *Error {
	return &Error{t.positionAt(letter), text, message}
}
