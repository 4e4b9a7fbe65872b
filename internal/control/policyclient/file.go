// Package policy carries out what logic/policy decides for a gatherer: it reads policy files, asks the stewards, keeps
// what must outlast the process, hands what is acted by into the decisions' terms at a round's beginning, and checks
// each part call at its first byte. It decides nothing.
package policyclient

import (
	"fmt"
	"strings"

	"yokeroute/internal/config/directive"
	"yokeroute/logic/policy"
)

// Read reads a policy file.
func Read(file string) (policy.Policy, error) {
	return from(file, func(t *directive.Table) error { return t.Read(file) })
}

// Parse reads a policy's text; name stands in messages.
func Parse(name, text string) (policy.Policy, error) {
	return from(name, func(t *directive.Table) error { return t.Parse(name, text) })
}

func from(name string, read func(t *directive.Table) error) (policy.Policy, error) {
	var entries []policy.Entry
	if err := read(Directives(&entries)); err != nil {
		return nil, err
	}
	p, err := policy.New(entries)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p, nil
}

// Directives are a policy file's, for reading and for the reference page.
func Directives(to *[]policy.Entry) *directive.Table {
	put := func(kind policy.Kind, of string, value float64) {
		*to = append(*to, policy.Entry{Kind: kind, Subject: of, Value: value})
	}
	return &directive.Table{Name: "policy file", Intro: "What a fleet of gatherers may do less than the platform's settings allow: `yokeroute policy check | diff | propose FILE`, and the floor of a gatherer that is cut off. An empty file allows all that the platform does.", Directives: []*directive.Directive{
		{Name: "index", Args: []directive.Field{{Name: "name", Kind: directive.Name}}, Options: []directive.Field{{Name: "once-only", Kind: directive.Flag, Help: "its lookups may have an effect: no call is made that may be a second one"},
			{Name: "no-copies", Kind: directive.Flag, Help: "no two calls of a part at once"}, {Name: "least", Kind: directive.Share, Min: 0.0001, Max: 1, Help: "share of an answer under which none is given"}},
			Help: "What lookups of an index may not.", Example: "index resolve once-only no-copies least 80%",
			Apply: func(v *directive.Values) error {
				name := v.Text("name")
				if !v.Has("once-only") && !v.Has("no-copies") && !v.Has("least") {
					return v.Errorf("name", "wants one at least of once-only, no-copies and least")
				}
				if v.Has("once-only") {
					put(policy.NonIdempotent, name, 0)
				}
				if v.Has("no-copies") {
					put(policy.NoHedging, name, 0)
				}
				if v.Has("least") {
					put(policy.MinShare, name, v.Number("least", 0))
				}
				return nil
			}},
		{Name: "no-copies", Once: true, Help: "No two calls of a part at once, of any index.", Example: "no-copies",
			Apply: func(*directive.Values) error { put(policy.NoHedging, "", 0); return nil }},
		{Name: "further", Once: true, Options: []directive.Field{{Name: "share", Kind: directive.Share, Help: "of the lookups and parts taken"}, {Name: "free", Kind: directive.Number, Max: 1e6, Help: "and so many more"}},
			Help: "Budget of further part calls, in the platform's window.", Example: "further share 2% free 4",
			Apply: func(v *directive.Values) error {
				if !v.Has("share") && !v.Has("free") {
					return v.Errorf("further", "wants share, free or both")
				}
				if v.Has("share") {
					put(policy.RetryShare, "", v.Number("share", 0))
				}
				if v.Has("free") {
					put(policy.RetryAllowance, "", v.Number("free", 0))
				}
				return nil
			}},
		{Name: "cold", Once: true, Args: []directive.Field{{Name: "share", Kind: directive.Share, Help: "of what the platform's rule allows"}}, Help: "What cold servers are sent at most.", Example: "cold 50%",
			Apply: func(v *directive.Values) error { put(policy.WarmUpShare, "", v.Number("share", 0)); return nil }},
		{Name: "close", Options: []directive.Field{{Name: "zone", Kind: directive.Name, Required: true}, {Name: "host", Kind: directive.Name, Help: "of it; all of the zone unless told"}},
			Help: "Sends nothing new to a host or to a whole zone.", Example: "close zone north host s-5be2a07c",
			Apply: func(v *directive.Values) error { put(policy.Closed, v.Text("zone")+"/"+v.Text("host"), 0); return nil }},
		{Name: "turns", Args: []directive.Field{{Name: "host", Kind: directive.Name}, {Name: "share", Kind: directive.Share}},
			Help: "Part of its plain turns that a host gets. No rule hangs on it: a floor need not have it.", Example: "turns s-5be2a07c 50%",
			Apply: func(v *directive.Values) error {
				put(policy.HostWeight, v.Text("host"), v.Number("share", 1))
				return nil
			}},
	}}
}

// Text is a policy as a file has it.
func Text(p policy.Policy) string {
	var b strings.Builder
	for _, e := range p {
		switch e.Kind {
		case policy.NonIdempotent:
			fmt.Fprintf(&b, "index %s once-only\n", directive.Quote(e.Subject))
		case policy.NoHedging:
			if e.Subject == "" {
				b.WriteString("no-copies\n")
			} else {
				fmt.Fprintf(&b, "index %s no-copies\n", directive.Quote(e.Subject))
			}
		case policy.MinShare:
			fmt.Fprintf(&b, "index %s least %s\n", directive.Quote(e.Subject), directive.FormatShare(e.Value))
		case policy.RetryShare:
			fmt.Fprintf(&b, "further share %s", directive.FormatShare(e.Value))
			if p.Has(policy.RetryAllowance, "") {
				fmt.Fprintf(&b, " free %g", p.Value(policy.RetryAllowance, "", 0))
			}
			b.WriteByte('\n')
		case policy.RetryAllowance:
			if !p.Has(policy.RetryShare, "") {
				fmt.Fprintf(&b, "further free %g\n", e.Value)
			}
		case policy.WarmUpShare:
			fmt.Fprintf(&b, "cold %s\n", directive.FormatShare(e.Value))
		case policy.Closed:
			zone, host, _ := strings.Cut(e.Subject, "/")
			fmt.Fprintf(&b, "close zone %s", directive.Quote(zone))
			if host != "" {
				fmt.Fprintf(&b, " host %s", directive.Quote(host))
			}
			b.WriteByte('\n')
		case policy.HostWeight:
			fmt.Fprintf(&b, "turns %s %s\n", directive.Quote(e.Subject), directive.FormatShare(e.Value))
		default:
			fmt.Fprintf(&b, "# %s, of a kind that is not known here\n", e)
		}
	}
	return b.String()
}

// Reference is the page of a policy file's words.
func Reference() string { return Directives(nil).Reference() }
