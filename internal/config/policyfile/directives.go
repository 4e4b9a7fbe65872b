package policyfile

import (
	"yokeroute/internal/config/directive"
	"yokeroute/logic/policy"
)

const intro = "What a fleet of gatherers may do less than the platform's settings allow: " +
	"`yokeroute policy check | diff | propose FILE`, and the floor of a gatherer that is cut off. " +
	"An empty file allows all that the platform does."

// Bounds of values in a policy file.
const (
	leastMinShare     = 0.0001
	maxRetryAllowance = 1e6
)

// Directives returns the table of directives, which append the entries of a file.
func Directives(entries *[]policy.Entry) *directive.Table {
	return &directive.Table{Name: "policy file", Intro: intro, Directives: []*directive.Directive{
		classDirective(entries),
		noHedgingDirective(entries),
		retryBudgetDirective(entries),
		warmUpDirective(entries),
		closeDirective(entries),
		hostWeightDirective(entries),
	}}
}

// add appends an entry.
func add(entries *[]policy.Entry, kind policy.Kind, subject string, value float64) {
	*entries = append(*entries, policy.Entry{Kind: kind, Subject: subject, Value: value})
}

func classDirective(entries *[]policy.Entry) *directive.Directive {
	return &directive.Directive{
		Name: "index",
		Args: []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: []directive.Field{
			{Name: "once-only", Kind: directive.Flag,
				Help: "its lookups may have an effect: no call is made that may be a second one"},
			{Name: "no-copies", Kind: directive.Flag, Help: "no two calls of a part at once"},
			{Name: "least", Kind: directive.Share, Min: leastMinShare, Max: 1,
				Help: "share of an answer under which none is given"},
		},
		Help:    "What lookups of an index may not.",
		Example: "index resolve once-only no-copies least 80%",
		Apply: func(v *directive.Values) error {
			name := v.Text("name")
			if !v.Has("once-only") && !v.Has("no-copies") && !v.Has("least") {
				return v.Errorf("name", "wants one at least of once-only, no-copies and least")
			}
			if v.Has("once-only") {
				add(entries, policy.NonIdempotent, name, 0)
			}
			if v.Has("no-copies") {
				add(entries, policy.NoHedging, name, 0)
			}
			if v.Has("least") {
				add(entries, policy.MinShare, name, v.Number("least", 0))
			}
			return nil
		},
	}
}

func noHedgingDirective(entries *[]policy.Entry) *directive.Directive {
	return &directive.Directive{
		Name:    "no-copies",
		Once:    true,
		Help:    "No two calls of a part at once, of any index.",
		Example: "no-copies",
		Apply: func(*directive.Values) error {
			add(entries, policy.NoHedging, "", 0)
			return nil
		},
	}
}

func retryBudgetDirective(entries *[]policy.Entry) *directive.Directive {
	return &directive.Directive{
		Name: "further",
		Once: true,
		Options: []directive.Field{
			{Name: "share", Kind: directive.Share, Help: "of the lookups and parts taken"},
			{Name: "free", Kind: directive.Number, Max: maxRetryAllowance, Help: "and so many more"},
		},
		Help:    "Budget of further part calls, in the platform's window.",
		Example: "further share 2% free 4",
		Apply: func(v *directive.Values) error {
			if !v.Has("share") && !v.Has("free") {
				return v.Errorf("further", "wants share, free or both")
			}
			if v.Has("share") {
				add(entries, policy.RetryShare, "", v.Number("share", 0))
			}
			if v.Has("free") {
				add(entries, policy.RetryAllowance, "", v.Number("free", 0))
			}
			return nil
		},
	}
}

func warmUpDirective(entries *[]policy.Entry) *directive.Directive {
	return &directive.Directive{
		Name:    "cold",
		Once:    true,
		Args:    []directive.Field{{Name: "share", Kind: directive.Share, Help: "of what the platform's rule allows"}},
		Help:    "What cold servers are sent at most.",
		Example: "cold 50%",
		Apply: func(v *directive.Values) error {
			add(entries, policy.WarmUpShare, "", v.Number("share", 0))
			return nil
		},
	}
}

func closeDirective(entries *[]policy.Entry) *directive.Directive {
	return &directive.Directive{
		Name: "close",
		Options: []directive.Field{
			{Name: "zone", Kind: directive.Name, Required: true},
			{Name: "host", Kind: directive.Name, Help: "of it; all of the zone unless told"},
		},
		Help:    "Sends nothing new to a host or to a whole zone.",
		Example: "close zone north host s-5be2a07c",
		Apply: func(v *directive.Values) error {
			add(entries, policy.Closed, v.Text("zone")+"/"+v.Text("host"), 0)
			return nil
		},
	}
}

func hostWeightDirective(entries *[]policy.Entry) *directive.Directive {
	return &directive.Directive{
		Name:    "turns",
		Args:    []directive.Field{{Name: "host", Kind: directive.Name}, {Name: "share", Kind: directive.Share}},
		Help:    "Part of its plain turns that a host gets. No rule hangs on it: a floor need not have it.",
		Example: "turns s-5be2a07c 50%",
		Apply: func(v *directive.Values) error {
			add(entries, policy.HostWeight, v.Text("host"), v.Number("share", 1))
			return nil
		},
	}
}
