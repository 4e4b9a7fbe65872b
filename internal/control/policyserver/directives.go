package policyserver

import (
	"slices"

	"yokeroute/internal/config/directive"
)

const intro = "What one policy server of a fleet needs to know: `yokeroute policy-server FILE`. " +
	"Each has a file of its own; three policy servers bear the loss of one, five of two."

// Bounds of times in a configuration file, in milliseconds.
const (
	minLeaseMillis         = 200
	maxLeaseMillis         = 600_000
	minChangeTimeoutMillis = 200
	minHeartbeatMillis     = 5
	maxHeartbeatMillis     = 10_000
)

// Directives returns the table of directives, which fill the configuration.
func (c *Config) Directives() *directive.Table {
	return &directive.Table{Name: "policy server's file", Intro: intro, Directives: []*directive.Directive{
		c.serverDirective(),
		c.peerDirective(),
		c.leaseDirective(),
		c.heartbeatDirective(),
		c.joinsDirective(),
		c.firstEpochDirective(),
	}}
}

func (c *Config) serverDirective() *directive.Directive {
	return &directive.Directive{
		Name: "steward",
		Once: true,
		Args: []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: []directive.Field{
			{Name: "in", Kind: directive.Text, Required: true, Help: "folder on a lasting disk"},
			{Name: "listen", Kind: directive.Address, Required: true,
				Help: "for gatherers and operators; whoever reaches it may change policies"},
			{Name: "raft", Kind: directive.Address, Required: true, Help: "for the other policy servers"},
		},
		Help:    "Names the policy server.",
		Example: "steward s1 in steward-s1 listen 127.0.0.1:8700 raft 127.0.0.1:8701",
		Apply: func(v *directive.Values) error {
			c.Name = v.Text("name")
			c.Folder = v.RelativePath("in")
			c.Listen = v.Text("listen")
			c.RaftListen = v.Text("raft")
			return nil
		},
	}
}

func (c *Config) peerDirective() *directive.Directive {
	return &directive.Directive{
		Name: "peer",
		Args: []directive.Field{{Name: "name", Kind: directive.Name}},
		Options: []directive.Field{
			{Name: "raft", Kind: directive.Address, Required: true, Help: "where this policy server reaches it"},
			{Name: "http", Kind: directive.Address, Required: true,
				Help: "the same, for what policy servers ask each other beside their log"},
		},
		Help: "A policy server of the fleet. All of them stand in each file, this one as well; " +
			"who they are is settled at the first start.",
		Example: "peer s2 raft 127.0.0.1:8711 http 127.0.0.1:8710",
		Apply: func(v *directive.Values) error {
			if slices.ContainsFunc(c.Peers, func(p Peer) bool { return p.Name == v.Text("name") }) {
				return v.Errorf("name", "is given twice; keep one of these lines")
			}
			c.Peers = append(c.Peers, Peer{Name: v.Text("name"), Raft: v.Text("raft"), HTTP: v.Text("http")})
			return nil
		},
	}
}

func (c *Config) leaseDirective() *directive.Directive {
	return &directive.Directive{
		Name: "lease",
		Once: true,
		Args: []directive.Field{{Name: "time", Kind: directive.Duration, Min: minLeaseMillis, Max: maxLeaseMillis}},
		Options: []directive.Field{
			{Name: "limit", Kind: directive.Duration, Min: minChangeTimeoutMillis,
				Help: "after which a change that not all have prepared is given up; 60s"},
		},
		Help: "For how long a gatherer goes by what it has heard, 10s unless told: " +
			"one that is cut off acts within its floor after it, and a change waits for one that is away as long.",
		Example: "lease 10s limit 1min",
		Apply: func(v *directive.Values) error {
			c.Lease = duration(v.Number("time", milliseconds(defaultLease)))
			c.ChangeTimeout = duration(v.Number("limit", milliseconds(defaultChangeTimeout)))
			return nil
		},
	}
}

func (c *Config) heartbeatDirective() *directive.Directive {
	return &directive.Directive{
		Name: "beat",
		Once: true,
		Args: []directive.Field{{Name: "time", Kind: directive.Duration, Min: minHeartbeatMillis, Max: maxHeartbeatMillis}},
		Help: "Between two heartbeats of the leader, 100ms unless told; " +
			"after ten of them unheard another is elected.",
		Example: "beat 100ms",
		Apply: func(v *directive.Values) error {
			c.Heartbeat = duration(v.Number("time", milliseconds(defaultHeartbeat)))
			return nil
		},
	}
}

func (c *Config) joinsDirective() *directive.Directive {
	return &directive.Directive{
		Name: "joins",
		Once: true,
		Help: "This policy server is new among others that run: it begins no log, " +
			"and waits until `yokeroute policy server add` takes it in.",
		Example: "joins",
		Apply: func(*directive.Values) error {
			c.Joins = true
			return nil
		},
	}
}

func (c *Config) firstEpochDirective() *directive.Directive {
	return &directive.Directive{
		Name: "begins",
		Once: true,
		Args: []directive.Field{{Name: "number", Kind: directive.Count}},
		Help: "Number before the first change of a record that is made anew because the old one is lost: " +
			"above every number that a gatherer has heard, since none goes back.",
		Example: "begins 1000",
		Apply: func(v *directive.Values) error {
			c.FirstEpoch = uint64(v.Number("number", 0))
			return nil
		},
	}
}
