package directive

import (
	"slices"

	"yokeroute/internal/suggest"
)

// parseDirective reads one line.
func (r *parser) parseDirective(words []token) {
	var d *Directive
	for _, one := range r.table.Directives {
		if one.Name == words[0].text && !words[0].quoted {
			d = one
		}
	}
	if d == nil {
		r.errorf(words[0].Position, words[0].text, "is no directive of a %s%s", r.table.Name, suggest.Hint(words[0].text, r.table.names()))
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
			r.errorf(rest[0].Position, rest[0].text, "is one word too many or no option; the form is: %s%s", d.Usage(), suggest.Hint(rest[0].text, d.optionNames()))
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
