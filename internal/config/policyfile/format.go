package policyfile

import (
	"fmt"
	"strings"

	"yokeroute/internal/config/directive"
	"yokeroute/logic/policy"
)

// Format returns a policy as the text of a policy file. Reading it results in the same policy.
func Format(p policy.Policy) string {
	var b strings.Builder
	for _, e := range p {
		if line := formatEntry(p, e); line != "" {
			b.WriteString(line)
			b.WriteByte('\n')
		}
	}
	return b.String()
}

// formatEntry returns an entry's line, empty where the line of another entry holds it.
func formatEntry(p policy.Policy, e policy.Entry) string {
	switch e.Kind {
	case policy.NonIdempotent:
		return fmt.Sprintf("index %s once-only", directive.Quote(e.Subject))
	case policy.NoHedging:
		if e.Subject == "" {
			return "no-copies"
		}
		return fmt.Sprintf("index %s no-copies", directive.Quote(e.Subject))
	case policy.MinShare:
		return fmt.Sprintf("index %s least %s", directive.Quote(e.Subject), directive.FormatShare(e.Value))
	case policy.RetryShare:
		line := "further share " + directive.FormatShare(e.Value)
		if p.Has(policy.RetryAllowance, "") {
			line += fmt.Sprintf(" free %g", p.Value(policy.RetryAllowance, "", 0))
		}
		return line
	case policy.RetryAllowance:
		if p.Has(policy.RetryShare, "") {
			return ""
		}
		return fmt.Sprintf("further free %g", e.Value)
	case policy.WarmUpShare:
		return "cold " + directive.FormatShare(e.Value)
	case policy.Closed:
		return formatClosed(e)
	case policy.HostWeight:
		return fmt.Sprintf("turns %s %s", directive.Quote(e.Subject), directive.FormatShare(e.Value))
	}
	return fmt.Sprintf("# %s, of a kind that is not known here", e)
}

func formatClosed(e policy.Entry) string {
	zone, host, _ := strings.Cut(e.Subject, "/")
	line := "close zone " + directive.Quote(zone)
	if host != "" {
		line += " host " + directive.Quote(host)
	}
	return line
}
