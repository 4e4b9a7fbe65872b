package rulecheck

import (
	"cmp"
	"fmt"
)

// The rules by their numbers in reports.
const (
	ruleFinalAnswer     = 1 // one final answer to each query, in time
	ruleDuplicateEffect = 2 // no effect twice
	ruleDraining        = 3 // no new attempts to a draining server
	ruleSlowStart       = 4 // no starting server overloaded
	ruleHonestAnswer    = 5 // an answer says truly what it is made of
	ruleRetryBudget     = 6 // a bounded number of retries and hedges
)

// maxViolations is how many violations a report holds in full; all are counted.
const maxViolations = 50

// Violation is one violation of a rule.
type Violation struct {
	Rule     int     `json:"rule"`
	At       float64 `json:"at"`
	Gatherer int     `json:"gatherer"`
	Query    uint64  `json:"lookup,omitempty"`
	Server   uint32  `json:"server,omitempty"`
	Message  string  `json:"words"`
}

func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %.3f ms, gatherer %d: %s", v.Rule, v.At, v.Gatherer, v.Message)
}

// Report is the result of a check.
type Report struct {
	Violations     []Violation       `json:"breaks"`
	Counts         map[int]int       `json:"counts"`     // violations by rule
	Unchecked      map[int]string    `json:"unchecked"`  // rules that the trace cannot show, and why
	Incomplete     string            `json:"incomplete"` // why the trace is incomplete, empty if it is complete
	ClosestToLimit map[int]LimitUse  `json:"near"`       // how close to its limit a rule came, if it has one
	Queries        int               `json:"lookups"`
	Attempts       int               `json:"calls"`
	FinalAnswers   map[EventKind]int `json:"finals"`
}

// LimitUse is the highest use of a limit that was seen, as a share of the limit.
type LimitUse struct {
	Share   float64 `json:"share"`
	At      float64 `json:"at"`
	Message string  `json:"words"`
}

// Passed reports whether the trace is complete and violates no rule. Rules that it cannot show do not count.
func (r *Report) Passed() bool { return len(r.Counts) == 0 && r.Incomplete == "" }

func newReport() Report {
	return Report{
		Counts:         map[int]int{},
		Unchecked:      map[int]string{},
		ClosestToLimit: map[int]LimitUse{},
		FinalAnswers:   map[EventKind]int{},
	}
}

// addViolation records a violation at an event.
func (r *Report) addViolation(rule int, e *Event, format string, args ...any) {
	r.Counts[rule]++
	if len(r.Violations) >= maxViolations {
		return
	}
	r.Violations = append(r.Violations, Violation{
		Rule:     rule,
		At:       e.At,
		Gatherer: e.Gatherer,
		Query:    e.Query,
		Server:   e.Server,
		Message:  fmt.Sprintf(format, args...),
	})
}

// addLimitUse records a use of a rule's limit if it is the highest so far. The message is made only then.
func (r *Report) addLimitUse(rule int, share, at float64, message func() string) {
	if share > r.ClosestToLimit[rule].Share {
		r.ClosestToLimit[rule] = LimitUse{Share: share, At: at, Message: message()}
	}
}

// markIncomplete records why the trace is incomplete. The first reason stays.
func (r *Report) markIncomplete(reason string) {
	r.Incomplete = cmp.Or(r.Incomplete, reason)
}
