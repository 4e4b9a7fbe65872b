package directive

import (
	"fmt"
	"strings"
)

// Position is a place in a file; lines and columns (in letters) count from 1.
type Position struct {
	File         string
	Line, Column int
}

func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column) }

// Error is one mistake in a file.
type Error struct {
	Position
	Token   string // at fault, empty where it is the lack of one
	Message string // what is wrong and what would be right
}

func (e *Error) Error() string {
	if e.Token == "" {
		return fmt.Sprintf("%v: %s", e.Position, e.Message)
	}
	return fmt.Sprintf("%v: %q: %s", e.Position, e.Token, e.Message)
}

// ErrorList holds all mistakes of a file and of what it includes, in their order. It is nil where there are none.
type ErrorList []*Error

func (l ErrorList) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}
