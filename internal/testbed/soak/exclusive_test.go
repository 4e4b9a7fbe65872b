package soak

import (
	"testing"

	"yokeroute/internal/testbed/processtest"
)

// TestSendsOutOfTurnAreFound guards against a soak that does not see gatherers act by policies that exclude each other.
func TestSendsOutOfTurnAreFound(t *testing.T) {
	opened := []string{"s4", "s1", "s1", "s4"}
	for name, c := range map[string]struct {
		servers []string
		found   bool
	}{
		"in order":                         {[]string{"s4", "s4", "s1", "s4", "s4"}, false},
		"a policy by which nothing went":   {[]string{"s4", "s4"}, false},
		"from the second policy on":        {[]string{"s1", "s4"}, false},
		"one send by the policy before":    {[]string{"s4", "s1", "s4", "s1", "s4"}, true},
		"by a policy that was not yet":     {[]string{"s1", "s4", "s1"}, true},
		"by turns, more than the policies": {[]string{"s4", "s1", "s4", "s1"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var sends []processtest.Send
			for i, server := range c.servers {
				sends = append(sends, processtest.Send{At: float64(i), Gatherer: "g1", Server: server})
			}
			if err := checkTurns(sends, opened); (err != nil) != c.found {
				t.Error(err)
			}
		})
	}
}
