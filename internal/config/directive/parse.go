package directive

import (
	"errors"
	"slices"

	"yokeroute/internal/suggest"
)

// parseDirective reads one line.
func (p *parser) parseDirective(line []token) {
	name := line[0]
	d := p.table.find(name)
	if d == nil {
		p.errorf(name.Position, name.text, "is no directive of a %s%s", p.table.Name,
			suggest.Hint(name.text, p.table.names()))
		return
	}
	if first, again := p.firstUse[d.Name]; d.Once && again {
		p.errorf(name.Position, d.Name, "stands already at %v; keep one of them", first)
		return
	}
	p.firstUse[d.Name] = name.Position
	v := &Values{Position: name.Position, fields: map[string]*value{}}
	rest, ok := p.parseArguments(d, v, line[1:])
	if !ok || !p.parseOptions(d, v, rest) {
		return
	}
	for _, f := range d.Options {
		if f.Required && v.fields[f.Name] == nil {
			p.errorf(name.Position, d.Name, "lacks %q; the form is: %s", f.Name, d.Usage())
			return
		}
	}
	p.apply(d, v)
}

// parseArguments reads the arguments of a directive and returns the rest of its line.
func (p *parser) parseArguments(d *Directive, v *Values, rest []token) ([]token, bool) {
	before := len(p.errors)
	for i := range d.Args {
		rest = p.parseField(d, &d.Args[i], v, rest)
		if len(p.errors) > before {
			return nil, false
		}
	}
	return rest, true
}

// parseOptions reads the options of a directive, in any order.
func (p *parser) parseOptions(d *Directive, v *Values, rest []token) bool {
	before := len(p.errors)
	for len(rest) > 0 {
		name := rest[0]
		f := d.option(name)
		switch {
		case f == nil:
			p.errorf(name.Position, name.text, "is one word too many or no option; the form is: %s%s", d.Usage(),
				suggest.Hint(name.text, d.optionNames()))
		case v.fields[f.Name] != nil:
			p.errorf(name.Position, name.text, "is given twice on this line")
		case f.Kind == Flag:
			v.fields[f.Name] = &value{words: rest[:1], numbers: []float64{1}}
			rest = rest[1:]
		default:
			rest = p.parseField(d, f, v, rest[1:])
			if v.fields[f.Name] == nil && len(p.errors) == before {
				p.errorf(name.Position, name.text, "wants %s behind it", f.Kind)
			}
		}
		if len(p.errors) > before {
			return false
		}
	}
	return true
}

// apply hands the values of a line to its directive.
func (p *parser) apply(d *Directive, v *Values) {
	err := d.Apply(v)
	if err == nil {
		return
	}
	var located *Error
	if errors.As(err, &located) {
		p.errors = append(p.errors, located)
		return
	}
	p.errorf(v.Position, d.Name, "%v", err)
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
func (p *parser) parseField(d *Directive, f *Field, v *Values, rest []token) []token {
	n := 0
	if len(rest) > 0 && !f.Optional { // its word even where an option is named so: a hall may be called hall
		n = 1
	}
	for n < len(rest) && d.option(rest[n]) == nil && (n == 0 || f.Kind == Names || f.Kind == NamedRates || f.Kind == Words) {
		n++
	}
	if n == 0 {
		if !f.Optional && slices.ContainsFunc(d.Args, func(a Field) bool { return a.Name == f.Name }) {
			p.errorf(v.Position, d.Name, "lacks its %s; the form is: %s", f.Name, d.Usage())
		}
		return rest
	}
	read := &value{words: rest[:n]}
	for _, w := range rest[:n] {
		number, wrong := f.parse(w.text)
		if wrong != "" {
			p.errorf(w.Position, w.text, "%s", wrong)
			return rest[n:]
		}
		read.numbers = append(read.numbers, number)
	}
	v.fields[f.Name] = read
	return rest[n:]
}
