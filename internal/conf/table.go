package conf

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"yokeroute/internal/spell"
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

// parseDirective reads one line.
func (r *parser) parseDirective(words []token) {
	var d *Directive
	for _, one := range r.table.Directives {
		if one.Name == words[0].text && !words[0].quoted {
			d = one
		}
	}
	if d == nil {
		r.errorf(words[0].Position, words[0].text, "is no directive of a %s%s", r.table.Name, spell.Hint(words[0].text, r.table.names()))
		return
	}
	if first, again := r.firstUse[d.Name]; d.Once && again {
		r.errorf(words[0].Position, d.Name, "stands already at %v; keep one of them", first)
		return
	}
	r.firstUse[d.Name] = words[0].Position
	before := len(r.errors)
	v := &Values{Position: words[0].Position, fields: map[string]*value{}}
	rest := words[1:]
	for i := range d.Args {
		rest = r.parseField(d, &d.Args[i], v, rest)
		if len(r.errors) > before {
			return
		}
	}
	for len(rest) > 0 {
		f := d.option(rest[0])
		switch {
		case f == nil:
			r.errorf(rest[0].Position, rest[0].text, "is one word too many or no option; the form is: %s%s", d.Usage(), spell.Hint(rest[0].text, d.optionNames()))
			return
		case v.fields[f.Name] != nil:
			r.errorf(rest[0].Position, rest[0].text, "is given twice on this line")
			return
		case f.Kind == Flag:
			v.fields[f.Name] = &value{words: rest[:1], numbers: []float64{1}}
			rest = rest[1:]
		default:
			name := rest[0]
			if rest = r.parseField(d, f, v, rest[1:]); v.fields[f.Name] == nil && len(r.errors) == before {
				r.errorf(name.Position, name.text, "wants %s behind it", f.Kind)
			}
		}
		if len(r.errors) > before {
			return
		}
	}
	for _, f := range d.Options {
		if f.Required && v.fields[f.Name] == nil {
			r.errorf(words[0].Position, d.Name, "lacks %q; the form is: %s", f.Name, d.Usage())
			return
		}
	}
	if err := d.Apply(v); err != nil {
		if f, ok := err.(*Error); ok {
			r.errors = append(r.errors, f)
			return
		}
		r.errorf(words[0].Position, d.Name, "%v", err)
	}
}

func (d *Directive) option(w token) *Field {
	if !w.quoted {
		for i := range d.Options {
			if d.Options[i].Name == w.text {
				return &d.Options[i]
			}
		}
	}
	return nil
}

func (d *Directive) optionNames() []string {
	var names []string
	for _, f := range d.Options {
		names = append(names, f.Name)
	}
	return names
}

// parseField reads a field's word, or words, and gives the rest.
func (r *parser) parseField(d *Directive, f *Field, v *Values, rest []token) []token {
	n := 0
	if len(rest) > 0 && !f.Optional { // its word even where an option is named so: a hall may be called hall
		n = 1
	}
	for n < len(rest) && d.option(rest[n]) == nil && (n == 0 || f.Kind == Names || f.Kind == NamedRates || f.Kind == Words) {
		n++
	}
	if n == 0 {
		if !f.Optional && slices.ContainsFunc(d.Args, func(a Field) bool { return a.Name == f.Name }) {
			at := v.Position
			r.errorf(at, d.Name, "lacks its %s; the form is: %s", f.Name, d.Usage())
		}
		return rest
	}
	val := &value{words: rest[:n]}
	for _, w := range rest[:n] {
		number, wrong := f.parse(w.text)
		if wrong != "" {
			r.errorf(w.Position, w.text, "%s", wrong)
			return rest[n:]
		}
		val.numbers = append(val.numbers, number)
	}
	v.fields[f.Name] = val
	return rest[n:]
}

// Reference is the page about this kind of file, in Markdown.
func (t *Table) Reference() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# The %s\n\n%s\n\n", t.Name, t.Intro)
	b.WriteString("One directive a line; `#` begins a comment; quotes hold a word with blanks together. `include FILE` reads another file, or all that\nmatch a pattern, where it stands; names are relative to the file that includes them. This page is written from the table that reads the file.\n\n")
	for _, d := range t.Directives {
		fmt.Fprintf(&b, "## %s\n\n    %s\n\n%s", d.Name, d.Usage(), d.Help)
		if d.Once {
			b.WriteString(" It may stand once.")
		}
		b.WriteString("\n\n")
		if len(d.Args)+len(d.Options) > 0 {
			b.WriteString("| word | is | meaning |\n| --- | --- | --- |\n")
		}
		for _, f := range append(slices.Clone(d.Args), d.Options...) {
			fmt.Fprintf(&b, "| `%s` | %s | %s |\n", f.Name, f.describe(), f.Help)
		}
		fmt.Fprintf(&b, "\nExample: `%s`\n\n", d.Example)
	}
	return strings.TrimSuffix(b.String(), "\n")
}
