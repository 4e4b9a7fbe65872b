package directive

import (
	"fmt"
	"slices"
	"strings"
)

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
