package policyserver

import (
	"slices"

	"yokeroute/internal/config/directive"
	"yokeroute/internal/millis"
)

const intro = "Configuration of one policy server of a fleet: `yokeroute policy-server FILE`. " +
	"Each policy server has its own file. Three policy servers tolerate the loss of one, five the loss of two."

// Limits of durations in a configuration file, in milliseconds.
const (
	minLeaseMillis         = 200
	maxLeaseMillis         = 600_000
	minChangeTimeoutMillis = 200
	minHeartbeatMillis     = 5
	maxHeartbeatMillis     = 10_000
)

// Directives returns the table of directives. Applying a directive sets the fields of c.
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
			{Name: "in", Kind: directive.Text, Required: true, Help: "folder for stored state, on a persistent disk"},
			{Name: "listen", Kind: directive.Address, Required: true,
				Help: "address for gatherers and operators; every client that can connect to it may change policies"},
			{Name: "raft", Kind: directive.Address, Required: true, Help: "address for the other policy servers"},
		},
		Help:    "Sets the policy server's name, state folder and addresses.",
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
			{Name: "raft", Kind: directive.Address, Required: true,
				Help: "address at which this policy server reaches its raft port"},
			{Name: "http", Kind: directive.Address, Required: true,
				Help: "address at which this policy server reaches its HTTP port, for requests outside the replicated log"},
		},
		Help: "Declares a policy server of the fleet. Each file lists all policy servers, including its own; " +
			"the quorum is created with these members at the first start.",
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
				Help: "time after which a change that not all gatherers have prepared is abandoned; 60s by default"},
		},
		Help: "How long a gatherer applies a policy without hearing from the leader, 10s by default. " +
			"After that, a gatherer that is cut off applies its floor; a change waits that long for an absent gatherer.",
		Example: "lease 10s limit 1min",
		Apply: func(v *directive.Values) error {
			c.Lease = duration(v.Number("time", millis.Of(defaultLease)))
			c.ChangeTimeout = duration(v.Number("limit", millis.Of(defaultChangeTimeout)))
			return nil
		},
	}
}

func (c *Config) heartbeatDirective() *directive.Directive {
	return &directive.Directive{
		Name: "beat",
		Once: true,
		Args: []directive.Field{{Name: "time", Kind: directive.Duration, Min: minHeartbeatMillis, Max: maxHeartbeatMillis}},
		Help: "Interval between heartbeats of the leader, 100ms by default; " +
			"after ten missed heartbeats another leader is elected.",
		Example: "beat 100ms",
		Apply: func(v *directive.Values) error {
			c.Heartbeat = duration(v.Number("time", millis.Of(defaultHeartbeat)))
			return nil
		},
	}
}

func (c *Config) joinsDirective() *directive.Directive {
	return &directive.Directive{
		Name: "joins",
		Once: true,
		Help: "Makes this policy server join an existing quorum: it creates no log, " +
			"and waits until `yokeroute policy server add` adds it.",
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
		Help: "Number before the first change of a record that is created anew because the old one is lost. " +
			"It must be above every number that a gatherer has received, since gatherers never go back to a lower one.",
		Example: "begins 1000",
		Apply: func(v *directive.Values) error {
			c.FirstEpoch = uint64(v.Number("number", 0))
			return nil
		},
	}
}
