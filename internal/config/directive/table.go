package directive

import (
	"fmt"
	"path/filepath"
	"strings"
)

// Table is what may stand in a kind of file.
type Table struct {
	Name       string // of the kind of file, such as "placement file"
	Intro      string // what it is for, for the reference page
	Directives []*Directive
}

// Directive is one kind of line.
type Directive struct {
	Name    string
	Args    []Field // in order
	Options []Field // by name, in any order
	Once    bool    // it may stand only once
	Help    string  // what it does, one sentence or two
	Example string  // a line that reads
	Apply   func(v *Values) error
}

// Field is an argument or an option.
type Field struct {
	Name     string
	Kind     Kind
	Choices  []string // of a Choice
	Optional bool     // of an argument: it may be left out, from the last on. Options always may
	Required bool     // of an option: it may not
	Min      float64  // of a number, in the unit of its kind
	Max      float64  // 0 for no bound
	Help     string
}

// Values are the words of one line, read.
type Values struct {
	Position Position // of the directive
	fields   map[string]*value
}

type value struct {
	words   []token
	numbers []float64
}

// Has reports whether the field was given.
func (v *Values) Has(name string) bool { return v.fields[name] != nil }

// Number is the field in the unit of its kind: parts a second, milliseconds, bytes, a share of 1, Unix milliseconds,
// or as it stands; otherwise where it was not given.
func (v *Values) Number(name string, otherwise float64) float64 {
	if f := v.fields[name]; f != nil {
		return f.numbers[0]
	}
	return otherwise
}

// IsShare reports whether a field that takes a rate or a share was given a share.
func (v *Values) IsShare(name string) bool { return strings.HasSuffix(v.Text(name), "%") }

// Rates are the names and numbers of a field that takes names with rates, in their order.
func (v *Values) Rates(name string) (names []string, rates []float64) {
	f := v.fields[name]
	if f == nil {
		return nil, nil
	}
	for _, w := range f.words {
		key, _, _ := strings.Cut(w.text, "=")
		names = append(names, key)
	}
	return names, f.numbers
}

// Text is the field's word, empty where it was not given.
func (v *Values) Text(name string) string {
	if f := v.fields[name]; f != nil {
		return f.words[0].text
	}
	return ""
}

// Bool reports whether a switch was given as on; otherwise where it was not given.
func (v *Values) Bool(name string, otherwise bool) bool {
	if f := v.fields[name]; f != nil {
		return f.numbers[0] != 0
	}
	return otherwise
}

// List are the words of a field that takes several.
func (v *Values) List(name string) []string {
	f := v.fields[name]
	if f == nil {
		return nil
	}
	list := make([]string, len(f.words))
	for i, w := range f.words {
		list[i] = w.text
	}
	return list
}

// Pos is where the field stands, or the i-th word of one that takes several; the directive's place where the field
// was not given.
func (v *Values) Pos(name string, i int) Position {
	if f := v.fields[name]; f != nil && i < len(f.words) {
		return f.words[i].Position
	}
	return v.Position
}

// RelativePath is the name of a file in a field, relative to the folder of the file that names it; empty where none is given.
func (v *Values) RelativePath(field string) string {
	name := v.Text(field)
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(v.Pos(field, 0).File), name)
}

// Errorf is a mistake in a field that only the directive itself can see.
func (v *Values) Errorf(name string, text string, args ...any) *Error {
	f := &Error{Position: v.Pos(name, 0), Message: fmt.Sprintf(text, args...)}
	if given := v.fields[name]; given != nil {
		f.Token = given.words[0].text
	}
	return f
}

// find returns the directive that a line begins with, nil where there is none.
func (t *Table) find(name token) *Directive {
	if name.quoted {
		return nil
	}
	for _, d := range t.Directives {
		if d.Name == name.text {
			return d
		}
	}
	return nil
}

func (t *Table) names() []string {
	names := []string{"include"}
	for _, d := range t.Directives {
		names = append(names, d.Name)
	}
	return names
}

// Usage is the form of a directive, such as `hall NAME [most RATE]`.
func (d *Directive) Usage() string {
	words := []string{d.Name}
	for _, f := range d.Args {
		word := f.placeholder()
		if f.Optional {
			word = "[" + word + "]"
		}
		words = append(words, word)
	}
	for _, f := range d.Options {
		word := f.Name
		if f.Kind != Flag {
			word += " " + f.placeholder()
		}
		if !f.Required {
			word = "[" + word + "]"
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}
