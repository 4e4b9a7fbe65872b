package emulator

import (
	"slices"

	"yokeroute/internal/config/directive"
)

// effectIdempotent is the effect of an index whose parts may run twice.
const effectIdempotent = "idempotent"

// indexDirective adds an index of lookups.
func (s *Scenario) indexDirective() *directive.Directive {
	return &directive.Directive{
		Name: "index",
		Args: []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: []directive.Field{
			share("share", "of the lookups; all that is left, evenly"),
			count("parts", 1, 10_000, "4"),
			count("to", 1, 10_000, "parts at most; as many as at least"),
			span("work", "of a part, of one core at speed 1; 20ms"),
			times("spread", "of work among parts, standard deviation over the mean; 0.4"),
			{Name: "exponential", Kind: directive.Flag, Help: "work is distributed so, whatever the spread"},
			share("tail", "of parts with a Pareto tail (exponent 1.5); none"),
			times("tail-times", "its least over the mean; 4"),
			times("hint", "by how much hints of cost are off, standard deviation over the mean; 0.3"),
			{Name: "no-hint", Kind: directive.Flag, Help: "parts tell no cost"},
			share("need", "of the weight that makes a whole answer; 100%"),
			share("least", "under which no answer is given; as needed"),
			span("soft", "soft deadline; 400ms"),
			span("hard", "hard deadline; 2s"),
			share("late", "of the gain that a late answer earns; 10%"),
			share("partial", "of the gain that an answer in part earns, for what is in of what is needed; 0%"),
			times("gain", "of a lookup; 1"),
			{
				Name:    "effect",
				Kind:    directive.Choice,
				Choices: []string{effectIdempotent, "fingerprinted", "once-only"},
				Help:    "idempotent",
			},
			span("window", "of fingerprints; 1s"),
			share("prune", "of parts that hold nothing, for lookups that may go in two phases"),
			share("brief", "work of a first pass's part over one in full; 10%"),
			share("false", "of empty parts that a summary calls not empty; 1%"),
		},
		Help:    "An index of lookups.",
		Example: "index find parts 4 to 7 work 80ms spread 0.4 soft 1.2s hard 2.5s",
		Apply:   s.addIndex,
	}
}

// addIndex adds the index that an index directive describes.
func (s *Scenario) addIndex(v *directive.Values) error {
	index := parseIndex(v)
	known := slices.ContainsFunc(s.Indexes, func(other Index) bool { return other.Name == index.Name })
	switch {
	case known:
		return v.Errorf("name", "is given twice")
	case index.To < index.Parts:
		return v.Errorf("to", "is less than the %d parts that a lookup has at least", index.Parts)
	case index.Least > index.Need:
		return v.Errorf("least", "is more than the %s that make a whole answer", directive.FormatShare(index.Need))
	case index.Soft > index.Hard:
		return v.Errorf("soft", "is later than the hard deadline of %s", directive.FormatDuration(index.Hard))
	case !(index.Work > 0):
		return v.Errorf("work", "is no work at all")
	case index.Prune >= 0 && index.Effect != effectIdempotent:
		return v.Errorf("prune", "stands at an index that is %s: its parts may not run twice, "+
			"which two phases may make them", index.Effect)
	}
	s.Indexes = append(s.Indexes, index)
	return nil
}

// parseIndex returns what an index directive describes, unchecked.
func parseIndex(v *directive.Values) Index {
	index := Index{
		Name:      v.Text("name"),
		Share:     v.Number("share", -1),
		Parts:     int(v.Number("parts", 4)),
		Work:      v.Number("work", 20),
		Spread:    v.Number("spread", 0.4),
		Markov:    v.Has("exponential"),
		Tail:      v.Number("tail", 0),
		TailTimes: v.Number("tail-times", 4),
		Hint:      v.Number("hint", 0.3),
		Need:      v.Number("need", 1),
		Soft:      v.Number("soft", 400),
		Hard:      v.Number("hard", 2000),
		Late:      v.Number("late", 0.1),
		Partial:   v.Number("partial", 0),
		Gain:      v.Number("gain", 1),
		Effect:    effectIdempotent,
		Window:    v.Number("window", 1000),
		Prune:     v.Number("prune", -1),
		Brief:     v.Number("brief", 0.1),
		False:     v.Number("false", 0.01),
		line:      v,
	}
	index.To = int(v.Number("to", float64(index.Parts)))
	index.Least = v.Number("least", index.Need)
	if v.Has("effect") {
		index.Effect = v.Text("effect")
	}
	if v.Has("no-hint") {
		index.Hint = -1
	}
	return index
}

// customerDirective adds a customer.
func (s *Scenario) customerDirective() *directive.Directive {
	return &directive.Directive{
		Name:    "customer",
		Args:    []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: []directive.Field{{Name: "share", Kind: directive.Share, Required: true, Help: "of the lookups"}},
		Help:    "Who asks. Without any, one customer does.",
		Example: "customer mainline share 70%",
		Apply: func(v *directive.Values) error {
			s.Customers = append(s.Customers, Customer{v.Text("name"), v.Number("share", 0)})
			return nil
		},
	}
}

// clientsDirective is how clients ask.
func (s *Scenario) clientsDirective() *directive.Directive {
	return &directive.Directive{
		Name: "clients",
		Once: true,
		Options: []directive.Field{
			{Name: "rate", Kind: directive.Rate, Min: 0.001, Max: 1e6, Help: "lookups a second, all together; 20/s"},
			count("retries", 0, 100, "2"),
			span("wait", "before a retry that has no advice; 200ms"),
			share("impatient", "that come again at once, whatever the advice; none"),
			share("patience", "of the hard deadline after which a try is given up, at least; 80%"),
			count("keys", 1, 1e7, "distinct; 10000"),
			{Name: "zipf", Kind: directive.Number, Max: 5, Help: "exponent of their popularity; 0, all alike"},
			{Name: "scattered", Kind: directive.Flag, Help: "a lookup's shards are no neighbours"},
			span("latency", "one way to a gatherer; 0.2ms"),
			span("notice", "after which a client notices that its gatherer has died; 1s"),
		},
		Help:    "How clients ask: at random times, whether or not earlier lookups are answered.",
		Example: "clients rate 40/s retries 2 wait 100ms impatient 10% zipf 0.8",
		Apply: func(v *directive.Values) error {
			c := &s.Clients
			c.Rate = v.Number("rate", c.Rate)
			c.Retries = int(v.Number("retries", float64(c.Retries)))
			c.Wait = v.Number("wait", c.Wait)
			c.Impatient = v.Number("impatient", 0)
			c.Patience = v.Number("patience", c.Patience)
			c.Keys = int(v.Number("keys", float64(c.Keys)))
			c.Zipf = v.Number("zipf", 0)
			c.Neighbors = !v.Has("scattered")
			c.Latency = v.Number("latency", c.Latency)
			c.Notice = v.Number("notice", c.Notice)
			return nil
		},
	}
}

// discoveryDirective is how late the list of servers is.
func (s *Scenario) discoveryDirective() *directive.Directive {
	return &directive.Directive{
		Name: "discovery",
		Once: true,
		Options: []directive.Field{
			{
				Name:     "lag",
				Kind:     directive.Duration,
				Required: true,
				Help:     "until a gatherer hears of a change; 500ms",
			},
			span("to", "at most; 1.5s"),
		},
		Help:    "How late the list of servers is.",
		Example: "discovery lag 500ms to 2s",
		Apply: func(v *directive.Values) error {
			s.Discovery = Discovery{v.Number("lag", 0), v.Number("to", v.Number("lag", 0))}
			if s.Discovery.To < s.Discovery.Lag {
				return v.Errorf("to", "is less than the least lag")
			}
			return nil
		},
	}
}

// budgetDirective describes the retry budget, rule 6.
func (s *Scenario) budgetDirective() *directive.Directive {
	return &directive.Directive{
		Name: "budget",
		Once: true,
		Options: []directive.Field{
			{
				Name:     "free",
				Kind:     directive.Number,
				Required: true,
				Max:      1e6,
				Help:     "part calls beyond each part's first",
			},
			{
				Name:     "share",
				Kind:     directive.Share,
				Required: true,
				Help:     "more of them, of the lookups and parts taken",
			},
			{Name: "in", Kind: directive.Duration, Min: 1, Required: true, Help: "any window of this length"},
		},
		Help:    "Rule 6. Without it 10 and 5% in 2s.",
		Example: "budget free 10 share 5% in 2s",
		Apply: func(v *directive.Values) error {
			s.Rules.Free = v.Number("free", 0)
			s.Rules.Share = v.Number("share", 0)
			s.Rules.Span = v.Number("in", 0)
			return nil
		},
	}
}

// coldDirective is how servers start, rule 4.
func (s *Scenario) coldDirective() *directive.Directive {
	return &directive.Directive{
		Name: "cold",
		Once: true,
		Options: []directive.Field{
			share("from", "of its capacity that a server has when it starts; 20%"),
			{Name: "warms", Kind: directive.Duration, Min: 1, Help: "to all of it, evenly, in; 15s"},
			{
				Name: "falls",
				Kind: directive.Number,
				Min:  1,
				Max:  100,
				Help: "over when it is sent so many times what it can do; 3",
			},
			{Name: "in", Kind: directive.Duration, Min: 1, Help: "a window of; 2s"},
			span("back", "after having fallen over in; never"),
		},
		Help:    "Rule 4: how servers start.",
		Example: "cold from 18% warms 17s falls 3 in 2s",
		Apply: func(v *directive.Values) error {
			r := &s.Rules
			r.ColdFrom = v.Number("from", r.ColdFrom)
			r.ColdTime = v.Number("warms", r.ColdTime)
			r.FallTimes = v.Number("falls", r.FallTimes)
			r.FallSpan = v.Number("in", r.FallSpan)
			r.Restart = v.Number("back", 0)
			return nil
		},
	}
}

// drainDirective describes the grace of a drain, rule 3.
func (s *Scenario) drainDirective() *directive.Directive {
	return &directive.Directive{
		Name: "drain",
		Once: true,
		Options: []directive.Field{
			{
				Name:     "grace",
				Kind:     directive.Duration,
				Required: true,
				Help:     "after being told, in which something may still go to a server; 250ms",
			},
		},
		Help:    "Rule 3.",
		Example: "drain grace 250ms",
		Apply: func(v *directive.Values) error {
			s.Rules.Grace = v.Number("grace", 0)
			return nil
		},
	}
}

// callsDirective is what calls to servers may do.
func (s *Scenario) callsDirective() *directive.Directive {
	return &directive.Directive{
		Name: "calls",
		Once: true,
		Options: []directive.Field{
			count("most", 1, 100, "of a part; 3"),
			{Name: "copies", Kind: directive.Switch, Help: "a second one while the first is out; on"},
			{
				Name:    "cancel",
				Kind:    directive.Choice,
				Choices: []string{"running", "waiting", "nothing"},
				Help:    "what a part given up stops; waiting",
			},
			count("together", 1, 1000, "parts of a call; 16"),
			{Name: "connect", Kind: directive.Duration, Min: 1, Help: "time for a new connection; 250ms"},
			{Name: "idle", Kind: directive.Duration, Min: 1, Help: "after which a connection closes; 15s"},
			span("come-back", "advice to a nacked client, at most; 1s"),
		},
		Help:    "What part calls may do.",
		Example: "calls most 3 copies on cancel waiting together 16",
		Apply: func(v *directive.Values) error {
			r := &s.Rules
			r.Calls = int(v.Number("most", float64(r.Calls)))
			r.Copies = v.Bool("copies", r.Copies)
			r.CallParts = int(v.Number("together", float64(r.CallParts)))
			r.Connect = v.Number("connect", r.Connect)
			r.Idle = v.Number("idle", r.Idle)
			r.ComeBack = v.Number("come-back", r.ComeBack)
			if v.Has("cancel") {
				r.Cancel = v.Text("cancel")
			}
			return nil
		},
	}
}

// segmentsDirective has segments of keys with owners of their own.
func (s *Scenario) segmentsDirective() *directive.Directive {
	return &directive.Directive{
		Name: "segments",
		Once: true,
		Args: []directive.Field{count("count", 1, 1e5, "at first, as many keys each")},
		Options: []directive.Field{
			count("most", 1, 1e5, "at any time; twice as many"),
			count("owners", 1, 100, "of each; 2"),
			span("every", "between two hand-overs; none"),
			span("takes", "a step of one; 20ms"),
			share("undone", "of hand-overs that are taken back before they are published; none"),
		},
		Help: "Segments of keys with owners of their own, split, merged and moved while lookups run. " +
			"The layout's sets say nothing then.",
		Example: "segments 24 owners 2 every 500ms takes 20ms undone 10%",
		Apply: func(v *directive.Values) error {
			n := int(v.Number("count", 0))
			s.Owned = Owned{
				n,
				int(v.Number("most", 2*float64(n))),
				int(v.Number("owners", 2)),
				v.Number("every", 0),
				v.Number("takes", 20),
				v.Number("undone", 0),
			}
			return nil
		},
	}
}

// seedDirective is the seed of a day that is kept.
func (s *Scenario) seedDirective() *directive.Directive {
	return &directive.Directive{
		Name:    "seed",
		Once:    true,
		Args:    []directive.Field{count("seed", 0, 1<<53, "")},
		Help:    "The seed of a day that is kept; 1.",
		Example: "seed 17",
		Apply: func(v *directive.Values) error {
			s.Seed = uint64(v.Number("seed", 1))
			return nil
		},
	}
}

// expectDirective adds what a day that is kept has to come to.
func (s *Scenario) expectDirective() *directive.Directive {
	return &directive.Directive{
		Name:    "expect",
		Args:    []directive.Field{{Name: "what", Kind: directive.Choice, Choices: Figures()}},
		Options: []directive.Field{{Name: "least", Kind: directive.Share, Required: true}},
		Help:    "What a day that is kept has to come to, with ours; that every rule is kept goes without saying.",
		Example: "expect gain least 90%",
		Apply: func(v *directive.Values) error {
			s.Expect = append(s.Expect, Expect{v.Text("what"), v.Number("least", 0)})
			return nil
		},
	}
}

// weightsDirective switches planned weights on.
func (s *Scenario) weightsDirective() *directive.Directive {
	return &directive.Directive{
		Name:    "weights",
		Once:    true,
		Args:    []directive.Field{{Name: "on", Kind: directive.Switch}},
		Help:    "Gatherers follow weights worked out from capacities and demand, as by `yokeroute plan`.",
		Example: "weights on",
		Apply: func(v *directive.Values) error {
			s.Planned = v.Bool("on", false)
			return nil
		},
	}
}
