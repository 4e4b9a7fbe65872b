package admission

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

// Limits holds the limits of a listener. Times are in milliseconds.
type Limits struct {
	MaxConns           int     // number of open connections
	MaxUnauthenticated int     // number of open connections that are not authenticated yet
	HandshakeTimeout   float64 // time in which a connection has to be authenticated
	// RotationPeriod is the time within which connections set up with older keys end after a key rotation. If
	// it is negative, they stay open.
	RotationPeriod float64
}

// Peer describes the remote end of a connection.
type Peer struct {
	Names   []string
	From    netip.Addr
	Expires float64 // expiry of the certificate, Unix milliseconds
}

// conn is an open connection.
type conn struct {
	from          netip.Addr
	acceptedAt    float64
	authenticated bool
	peer          Peer
	name          string
	roles         Role
	endsAt        float64 // time at which it ends after a key rotation, 0 if there was none
}

// Termination names a connection that has to end and the reason.
type Termination struct {
	Conn   uint64
	Reason string
}

// Controller tracks the connections of a listener and decides which are accepted, authenticated and ended.
// Times are Unix milliseconds. It is not safe for concurrent use.
type Controller struct {
	limits          Limits
	rules           *Rules
	conns           map[uint64]*conn
	unauthenticated int
	connsOf         map[string]int // number of authenticated connections by name
	keyGeneration   int
	lastID          uint64
	rejected        map[string]int // number of rejections by a short reason
}

// NewController returns a controller without connections.
func NewController(limits Limits, rules *Rules) *Controller {
	return &Controller{
		limits:   limits,
		rules:    rules,
		conns:    map[uint64]*conn{},
		connsOf:  map[string]int{},
		rejected: map[string]int{},
	}
}

// Counts holds the numbers of open connections and of those rejected so far.
type Counts struct {
	Open, Unauthenticated int
	Rejected              map[string]int // number of rejections by reason
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
		return 0, c.reject("address", "no rule admits connections from %s", from.Unmap())
	case len(c.conns) >= c.limits.MaxConns:
		return 0, c.reject("full", "%d connections are open, the limit is reached", len(c.conns))
	case c.unauthenticated >= c.limits.MaxUnauthenticated:
		return 0, c.reject("unauthenticated",
			"%d connections are unauthenticated, the limit is reached", c.unauthenticated)
	}
	c.lastID++
	c.unauthenticated++
	c.conns[c.lastID] = &conn{from: from, acceptedAt: now}
	return c.lastID, nil
}

// KeyGeneration returns the generation of the current keys. It grows by one with each RotateKeys.
func (c *Controller) KeyGeneration() int { return c.keyGeneration }

// Authenticate admits or rejects a connection whose peer's certificate was verified with the keys of a
// generation.
func (c *Controller) Authenticate(
	id uint64, peer Peer, keyGeneration int, now float64,
) (name string, roles Role, err error) {
	conn := c.conns[id]
	if conn == nil {
		return "", 0, c.reject("late", "the connection was closed before it was authenticated")
	}
	if keyGeneration != c.keyGeneration { // the current keys may no longer trust the certificate's authority
		return "", 0, c.reject("replaced", "the keys were rotated during the handshake")
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
		return "", 0, c.reject("too many",
			"%q has %d open connections, the limit is reached", name, c.connsOf[name])
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

// sortedIDs returns the IDs of the connections, oldest first.
func (c *Controller) sortedIDs() []uint64 { return slices.Sorted(maps.Keys(c.conns)) }

// RotateKeys records that the keys were replaced. It returns the connections whose peer's certificate the new
// keys do not trust; they have to end at once. The others end within the rotation period, oldest first and
// evenly spread, so that their peers do not all reconnect at the same time.
func (c *Controller) RotateKeys(trusted func(conn uint64) bool, now float64) (terminations []Termination) {
	c.keyGeneration++
	ids := c.sortedIDs()
	for i, id := range ids {
		conn := c.conns[id]
		switch {
		case !conn.authenticated:
		case !trusted(id):
			terminations = append(terminations,
				Termination{id, "the authority of its certificate is no longer trusted"})
		case c.limits.RotationPeriod >= 0 && conn.endsAt == 0:
			conn.endsAt = now + c.limits.RotationPeriod*float64(i+1)/float64(len(ids))
		}
	}
	return terminations
}

// Reconfigure applies new rules and limits. It returns the connections that have to end: those that the rules
// no longer admit, admit under another name, or admit with fewer roles.
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
			terminations = append(terminations, Termination{id,
				fmt.Sprintf("the rules now admit it as %q with roles: %s", name, roles.Text())})
		default:
			conn.roles = roles
		}
	}
	return terminations
}

// Expire returns the connections that have to end at the given time: those not authenticated within the
// handshake timeout, those whose certificate has expired, and those set up with older keys whose time has
// come after a key rotation.
func (c *Controller) Expire(now float64) (terminations []Termination) {
	for _, id := range c.sortedIDs() {
		switch conn := c.conns[id]; {
		case !conn.authenticated && now-conn.acceptedAt >= c.limits.HandshakeTimeout:
			terminations = append(terminations,
				Termination{id, "it was not authenticated within the handshake timeout"})
		case !conn.authenticated:
		case conn.peer.Expires <= now:
			terminations = append(terminations, Termination{id, "its certificate has expired"})
		case conn.endsAt > 0 && conn.endsAt <= now:
			terminations = append(terminations,
				Termination{id, "it was set up with keys that have been rotated since"})
		}
	}
	return terminations
}
