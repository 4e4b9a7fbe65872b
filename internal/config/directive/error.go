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

func (f *Error) Error() string {
	if f.Token == "" {
		return fmt.Sprintf("%v: %s", f.Position, f.Message)
	}
	return fmt.Sprintf("%v: %q: %s", f.Position, f.Token, f.Message)
}

// ErrorList are all mistakes of a file and of what it includes, in their order. It is nil where there are none.
type ErrorList []*Error

func (f ErrorList) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}
