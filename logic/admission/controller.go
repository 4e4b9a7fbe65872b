package admission

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

// Limits are the limits of a listener. Times are in milliseconds.
type Limits struct {
	MaxConns           int     // open connections
	MaxUnauthenticated int     // of these, before they are authenticated
	HandshakeTimeout   float64 // until they are
	RotationPeriod     float64 // connections of older keys end within it; negative: they stay
}

// Peer is the other end of a connection.
type Peer struct {
	Names   []string
	From    netip.Addr
	Expires float64 // of the certificate, Unix milliseconds
}

// conn is an open connection.
type conn struct {
	from          netip.Addr
	acceptedAt    float64
	authenticated bool
	peer          Peer
	name          string
	roles         Role
	endsAt        float64 // 0 while no key rotation ends it
}

// Termination is a connection that has to end.
type Termination struct {
	Conn   uint64
	Reason string
}

// Controller tracks the connections of a listener and decides about each. Times are Unix milliseconds. It is
// not safe for concurrent use.
type Controller struct {
	limits          Limits
	rules           *Rules
	conns           map[uint64]*conn
	unauthenticated int
	connsOf         map[string]int // by name
	keyGeneration   int
	lastID          uint64
	rejected        map[string]int // by reason, in a few words
}

// NewController makes a controller without connections.
func NewController(limits Limits, rules *Rules) *Controller {
	return &Controller{
		limits:   limits,
		rules:    rules,
		conns:    map[uint64]*conn{},
		connsOf:  map[string]int{},
		rejected: map[string]int{},
	}
}

// Counts are the open connections and those rejected so far.
type Counts struct {
	Open, Unauthenticated int
	Rejected              map[string]int // by reason
}

// Counts returns the current counts.
func (c *Controller) Counts() Counts {
	return Counts{
		Open:            len(c.conns),
		Unauthenticated: c.unauthenticated,
		Rejected:        maps.Clone(c.rejected),
	}
}

func (c *Controller) reject(reason string, text string, args ...any) error {
	c.rejected[reason]++
	return Rejection(fmt.Sprintf(text, args...))
}

// Accept adds a new connection and returns its ID, or rejects it.
func (c *Controller) Accept(from netip.Addr, now float64) (uint64, error) {
	switch {
	case !c.rules.AdmitsAddress(from):
		return 0, c.reject("address", "no rule admits anybody from %s", from.Unmap())
	case len(c.conns) >= c.limits.MaxConns:
		return 0, c.reject("full", "%d connections are open", len(c.conns))
	case c.unauthenticated >= c.limits.MaxUnauthenticated:
		return 0, c.reject("unauthenticated", "%d connections have not shown who they are", c.unauthenticated)
	}
	c.lastID++
	c.unauthenticated++
	c.conns[c.lastID] = &conn{from: from, acceptedAt: now}
	return c.lastID, nil
}

// KeyGeneration is the generation of the keys in force. It grows with each RotateKeys.
func (c *Controller) KeyGeneration() int { return c.keyGeneration }

// Authenticate admits a connection whose peer's certificate was verified by the keys of a generation, or
// rejects it.
func (c *Controller) Authenticate(
	id uint64, peer Peer, keyGeneration int, now float64,
) (name string, roles Role, err error) {
	conn := c.conns[id]
	if conn == nil {
		return "", 0, c.reject("late", "the connection was given up")
	}
	if keyGeneration != c.keyGeneration { // the keys in force may no longer hold the certificate's authority
		return "", 0, c.reject("replaced", "keys were replaced meanwhile")
	}
	peer.From = conn.from
	name, roles, maxConns, err := c.rules.Admit(peer.Names, peer.From)
	switch {
	case err != nil:
		c.rejected["name"]++
		return "", 0, err
	case peer.Expires <= now:
		return "", 0, c.reject("expired", "the certificate of %q has expired", name)
	case maxConns > 0 && c.connsOf[name] >= maxConns && !conn.authenticated:
		return "", 0, c.reject("too many", "%q has %d connections already", name, c.connsOf[name])
	}
	if !conn.authenticated {
		c.unauthenticated--
		c.connsOf[name]++
	}
	conn.authenticated, conn.peer, conn.name, conn.roles = true, peer, name, roles
	return name, roles, nil
}

// Remove removes a connection that has ended.
func (c *Controller) Remove(id uint64) {
	conn := c.conns[id]
	if conn == nil {
		return
	}
	delete(c.conns, id)
	if !conn.authenticated {
		c.unauthenticated--
	} else if c.connsOf[conn.name]--; c.connsOf[conn.name] == 0 {
		delete(c.connsOf, conn.name)
	}
}

// Identity returns the name and the roles under which a connection was admitted.
func (c *Controller) Identity(id uint64) (name string, roles Role) {
	if conn := c.conns[id]; conn != nil && conn.authenticated {
		return conn.name, conn.roles
	}
	return "", 0
}

// sortedIDs returns the IDs of the connections, the oldest first.
func (c *Controller) sortedIDs() []uint64 { return slices.Sorted(maps.Keys(c.conns)) }

// RotateKeys takes note of new keys. Connections whose peer's certificate they do not trust are returned, to
// end at once. The others end within the rotation period, the oldest first and evenly spread, so that their
// peers do not all reconnect together.
func (c *Controller) RotateKeys(trusted func(conn uint64) bool, now float64) (terminations []Termination) {
	c.keyGeneration++
	ids := c.sortedIDs()
	for i, id := range ids {
		conn := c.conns[id]
		switch {
		case !conn.authenticated:
		case !trusted(id):
			terminations = append(terminations, Termination{id, "its authority is trusted no longer"})
		case c.limits.RotationPeriod >= 0 && conn.endsAt == 0:
			conn.endsAt = now + c.limits.RotationPeriod*float64(i+1)/float64(len(ids))
		}
	}
	return terminations
}

// Reconfigure applies new rules and limits. It returns the connections that they no longer admit as before.
func (c *Controller) Reconfigure(limits Limits, rules *Rules) (terminations []Termination) {
	c.limits, c.rules = limits, rules
	for _, id := range c.sortedIDs() {
		conn := c.conns[id]
		if !conn.authenticated {
			continue
		}
		name, roles, _, err := rules.Admit(conn.peer.Names, conn.from)
		switch {
		case err != nil:
			terminations = append(terminations, Termination{id, err.Error()})
		case name != conn.name || roles&conn.roles != conn.roles:
			terminations = append(terminations, Termination{id, fmt.Sprintf("%q is %s now", name, roles.Text())})
		default:
			conn.roles = roles
		}
	}
	return terminations
}

// Expire returns the connections that have to end by now: those not authenticated in time, those whose
// certificate has expired, and those of older keys.
func (c *Controller) Expire(now float64) (terminations []Termination) {
	for _, id := range c.sortedIDs() {
		switch conn := c.conns[id]; {
		case !conn.authenticated && now-conn.acceptedAt >= c.limits.HandshakeTimeout:
			terminations = append(terminations, Termination{id, "it has not shown who it is in time"})
		case !conn.authenticated:
		case conn.peer.Expires <= now:
			terminations = append(terminations, Termination{id, "its certificate has expired"})
		case conn.endsAt > 0 && conn.endsAt <= now:
			terminations = append(terminations, Termination{id, "it was set up with keys since replaced"})
		}
	}
	return terminations
}
