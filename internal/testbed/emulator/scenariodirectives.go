package emulator

import (
	"errors"
	"slices"

	"yokeroute/internal/config/directive"
	"yokeroute/internal/suggest"
)

// span is an option that takes a duration.
func span(name, help string) directive.Field {
	return directive.Field{Name: name, Kind: directive.Duration, Help: help}
}

// share is an option that takes a share.
func share(name, help string) directive.Field {
	return directive.Field{Name: name, Kind: directive.Share, Help: help}
}

// times is an option that takes a factor.
func times(name, help string) directive.Field {
	return directive.Field{Name: name, Kind: directive.Number, Max: 1000, Help: help}
}

// count is a field that takes a whole number.
func count(name string, least, most float64, help string) directive.Field {
	return directive.Field{Name: name, Kind: directive.Count, Min: least, Max: most, Help: help}
}

// checkHalls checks that a field names halls given above.
func (s *Scenario) checkHalls(v *directive.Values, field string) error {
	for i, hall := range v.List(field) {
		if !slices.Contains(s.Halls, hall) {
			fault := v.Errorf(field, "is no hall given above%s", suggest.Hint(hall, s.Halls))
			fault.Position, fault.Token = v.Pos(field, i), hall
			return fault
		}
	}
	return nil
}

// firstError is the first of joined errors, since a directive has one.
func firstError(err error) error {
	var f *directive.Error
	if errors.As(err, &f) {
		return f
	}
	return err
}

// scenarioDirective names the day.
func (s *Scenario) scenarioDirective() *directive.Directive {
	return &directive.Directive{
		Name:    "scenario",
		Once:    true,
		Args:    []directive.Field{{Name: "name", Kind: directive.Name}},
		Help:    "Names the day.",
		Example: "scenario crash-of-a-third",
		Apply: func(v *directive.Values) error {
			s.Name = v.Text("name")
			return nil
		},
	}
}

// timeDirective is how long the day is.
func (s *Scenario) timeDirective() *directive.Directive {
	return &directive.Directive{
		Name: "time",
		Once: true,
		Options: []directive.Field{
			{Name: "length", Kind: directive.Duration, Min: 1, Max: 86_400_000, Help: "in which clients ask; 40s"},
			span("warm-up", "of these, which do not count; 2s"),
			{
				Name: "tick",
				Kind: directive.Duration,
				Min:  0.1,
				Max:  1000,
				Help: "between a gatherer's rounds at least; 5ms",
			},
		},
		Help:    "How long the day is.",
		Example: "time length 60s warm-up 5s tick 5ms",
		Apply: func(v *directive.Values) error {
			s.Length = v.Number("length", s.Length)
			s.Warmup = v.Number("warm-up", s.Warmup)
			s.Tick = v.Number("tick", s.Tick)
			return nil
		},
	}
}

// hallDirective adds a hall.
func (s *Scenario) hallDirective() *directive.Directive {
	return &directive.Directive{
		Name:    "hall",
		Args:    []directive.Field{{Name: "name", Kind: directive.Name}},
		Help:    "A place for machines and gatherers.",
		Example: "hall north",
		Apply: func(v *directive.Values) error {
			if slices.Contains(s.Halls, v.Text("name")) {
				return v.Errorf("name", "is given twice")
			}
			s.Halls = append(s.Halls, v.Text("name"))
			return nil
		},
	}
}

// localDirective describes paths inside a hall.
func (s *Scenario) localDirective() *directive.Directive {
	return &directive.Directive{
		Name: "local",
		Once: true,
		Options: []directive.Field{
			{Name: "latency", Kind: directive.Duration, Required: true, Help: "one way, inside a hall; 0.1ms"},
		},
		Help:    "Paths inside a hall.",
		Example: "local latency 0.1ms",
		Apply: func(v *directive.Values) error {
			s.Local = v.Number("latency", 0)
			return nil
		},
	}
}

// linkDirective adds the path between two halls.
func (s *Scenario) linkDirective() *directive.Directive {
	return &directive.Directive{
		Name: "link",
		Args: []directive.Field{{Name: "from", Kind: directive.Name}, {Name: "to", Kind: directive.Name}},
		Options: []directive.Field{
			span("latency", "one way; 0.5ms"),
			{Name: "jitter", Kind: directive.Number, Max: 10, Help: "its standard deviation over the mean; 0.2"},
			share("loss", "of messages that have to be sent again; none"),
		},
		Help:    "The path between two halls, both ways.",
		Example: "link north south latency 0.6ms jitter 0.2 loss 0.1%",
		Apply: func(v *directive.Values) error {
			if err := errors.Join(s.checkHalls(v, "from"), s.checkHalls(v, "to")); err != nil {
				return firstError(err)
			}
			s.Links = append(s.Links, Link{
				v.Text("from"),
				v.Text("to"),
				v.Number("latency", 0.5),
				v.Number("jitter", 0.2),
				v.Number("loss", 0),
				v,
			})
			return nil
		},
	}
}

// kindDirective adds a kind of machines.
func (s *Scenario) kindDirective() *directive.Directive {
	return &directive.Directive{
		Name: "kind",
		Args: []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: []directive.Field{
			count("cores", 1, 1024, "4"),
			{Name: "speed", Kind: directive.Number, Min: 0.01, Max: 100, Help: "of a core; 1"},
			count("queue", 1, 1e6, "parts that wait; 200"),
			count("connections", 0, 1e6, "held at once; any number"),
			span("setup", "work of a new connection; 1ms"),
			span("call", "work of a call beside its parts'; 0"),
			{
				Name: "crowding",
				Kind: directive.Number,
				Max:  10,
				Help: "by so much slower for each time that its cores' number of parts waits; 0",
			},
			{Name: "old", Kind: directive.Flag, Help: "knows no first passes"},
		},
		Help:    "A kind of machines.",
		Example: "kind big cores 4 speed 1 queue 200 call 2ms",
		Apply: func(v *directive.Values) error {
			if slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Name == v.Text("name") }) {
				return v.Errorf("name", "is given twice")
			}
			s.Kinds = append(s.Kinds, Kind{
				Name:     v.Text("name"),
				Cores:    int(v.Number("cores", 4)),
				Speed:    v.Number("speed", 1),
				Queue:    int(v.Number("queue", 200)),
				Conns:    int(v.Number("connections", 0)),
				Setup:    v.Number("setup", 1),
				Call:     v.Number("call", 0),
				Crowding: v.Number("crowding", 0),
				Brief:    !v.Has("old"),
			})
			return nil
		},
	}
}

// serversDirective adds machines of a kind.
func (s *Scenario) serversDirective() *directive.Directive {
	return &directive.Directive{
		Name: "servers",
		Args: []directive.Field{count("count", 1, 1e5, "")},
		Options: []directive.Field{
			{Name: "kind", Kind: directive.Name, Required: true},
			{Name: "in", Kind: directive.Names, Help: "halls; all, in turns"},
		},
		Help:    "So many machines, dealt out over the sets and halls in turns.",
		Example: "servers 12 kind big in north south",
		Apply: func(v *directive.Values) error {
			if !slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Name == v.Text("kind") }) {
				return v.Errorf("kind", "is no kind given above")
			}
			if err := s.checkHalls(v, "in"); err != nil {
				return err
			}
			s.Groups = append(s.Groups, Group{int(v.Number("count", 0)), v.Text("kind"), v.List("in"), v})
			return nil
		},
	}
}

// layoutDirective is which servers hold which shards.
func (s *Scenario) layoutDirective() *directive.Directive {
	return &directive.Directive{
		Name: "layout",
		Once: true,
		Options: []directive.Field{
			count("sets", 1, 1e5, "whose servers hold the same shards; 1"),
			count("row", 1, 100, "sets in a row that hold a shard; 1"),
			count("shards", 1, 1e6, "six a set"),
		},
		Help:    "Which servers hold which shards: shard s is held by the sets from s modulo their number on.",
		Example: "layout sets 3 shards 18",
		Apply: func(v *directive.Values) error {
			s.Layout = Layout{int(v.Number("sets", 1)), int(v.Number("row", 1)), int(v.Number("shards", 0))}
			return nil
		},
	}
}

// gatherersDirective describes the gatherers.
func (s *Scenario) gatherersDirective() *directive.Directive {
	return &directive.Directive{
		Name: "gatherers",
		Once: true,
		Args: []directive.Field{count("count", 1, 10_000, "")},
		Options: []directive.Field{
			{
				Name: "skew",
				Kind: directive.Number,
				Min:  1,
				Max:  100,
				Help: "the busiest has so many times the mean's load; 1",
			},
			span("clock", "by which their clocks are off, either way; 0"),
			count("held", 1, 1e7, "lookups and parts that one may hold; any number"),
			span("lag", "from a decision to its bytes; 0"),
		},
		Help:    "The gatherers, dealt out over the halls in turns.",
		Example: "gatherers 5 skew 2 clock 20ms",
		Apply: func(v *directive.Values) error {
			s.Gatherers = Gatherers{
				int(v.Number("count", 0)),
				v.Number("skew", 1),
				v.Number("clock", 0),
				int(v.Number("held", 0)),
				v.Number("lag", 0),
			}
			return nil
		},
	}
}
