package tlskeys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/millis"
	"yokeroute/logic/admission"
)

// sweepInterval is how often connections are looked through for those whose time is up.
const sweepInterval = 250 * time.Millisecond

// AccessControl guards a listener. It admits connections that the rules allow, by address before a byte is read and
// by name once the peer's certificate is verified, and closes connections whose time is up.
type AccessControl struct {
	store *Store
	log   *logrus.Logger

	mu    sync.Mutex
	state *admission.Controller
	conns map[uint64]*Conn
}

// NewAccessControl returns an access control that uses the keys of a store.
func NewAccessControl(
	store *Store, limits admission.Limits, rules *admission.Rules, log *logrus.Logger) *AccessControl {
	a := &AccessControl{
		store: store,
		log:   log,
		state: admission.NewController(limits, rules),
		conns: map[uint64]*Conn{},
	}
	store.OnReplace(a.replaceKeys)
	return a
}

// replaceKeys closes the connections whose peers new keys do not trust.
func (a *AccessControl) replaceKeys(k *Keys) {
	now := time.Now()
	trusted := func(id uint64) bool { return k.Trusts(a.conns[id].chain, Client, now) }
	a.mu.Lock()
	ends := a.state.RotateKeys(trusted, unixMilliseconds(now))
	a.mu.Unlock()
	a.close(ends)
}

func unixMilliseconds(t time.Time) float64 {
	return millis.Of(time.Duration(t.UnixNano()))
}

// UpdateRules applies other limits and rules. Connections that the new rules would not admit as they were admitted
// are closed.
func (a *AccessControl) UpdateRules(limits admission.Limits, rules *admission.Rules) {
	a.mu.Lock()
	ends := a.state.Reconfigure(limits, rules)
	a.mu.Unlock()
	a.close(ends)
}

// Counts returns how many connections are open, and how many were rejected by reason.
func (a *AccessControl) Counts() admission.Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Counts()
}

// Run closes connections whose time is up, until ctx ends.
func (a *AccessControl) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			a.mu.Lock()
			ends := a.state.Expire(unixMilliseconds(time.Now()))
			a.mu.Unlock()
			a.close(ends)
		}
	}
}

// close closes connections. The lock must not be held, since Conn.Close takes it.
func (a *AccessControl) close(ends []admission.Termination) {
	for _, e := range ends {
		a.mu.Lock()
		c := a.conns[e.Conn]
		name, _ := a.state.Identity(e.Conn)
		a.mu.Unlock()
		if c == nil {
			continue
		}
		a.log.WithFields(logrus.Fields{
			"from":   c.RemoteAddr().String(),
			"name":   name,
			"reason": e.Reason,
		}).Info("access control: connection closed")
		_ = c.Close() // the peer may have closed it before
	}
}

// Conn is an accepted connection under access control, below TLS.
type Conn struct {
	net.Conn
	control   *AccessControl
	id        uint64
	chain     []*x509.Certificate // of the peer; guarded by the control's lock
	closeOnce sync.Once
}

// Close closes the connection, and frees its place in the limits.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.control.mu.Lock()
		defer c.control.mu.Unlock()
		c.control.state.Remove(c.id)
		delete(c.control.conns, c.id)
	})
	return c.Conn.Close()
}

// listener closes connections from addresses that no rule admits.
type listener struct {
	net.Listener
	control *AccessControl
}

// Wrap puts a listener under access control. Accept returns connections before their handshake, which the caller
// does with TLSConfig.
func (a *AccessControl) Wrap(l net.Listener) net.Listener { return &listener{l, a} }

// Accept returns the next connection whose address is admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, err := l.control.accept(nc)
		if err == nil {
			return c, nil
		}
		l.control.log.WithError(err).WithField("from", nc.RemoteAddr().String()).
			Debug("access control: connection rejected")
		nc.Close()
	}
}

func (a *AccessControl) accept(nc net.Conn) (*Conn, error) {
	var from netip.Addr
	if address, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		from = address.AddrPort().Addr()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	id, err := a.state.Accept(from, unixMilliseconds(time.Now()))
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, control: a, id: id}
	a.conns[id] = c
	return c, nil
}

// TLSConfig returns the server's end of TLS for accepted connections. Each handshake uses the keys that are in force
// when it starts.
func (a *AccessControl) TLSConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			c, ok := hello.Conn.(*Conn)
			if !ok {
				return nil, errors.New("the connection was not accepted by a listener under access control")
			}
			return a.handshakeConfig(c, protocols), nil
		},
	}
}

// handshakeConfig returns the configuration of one handshake.
func (a *AccessControl) handshakeConfig(c *Conn, protocols []string) *tls.Config {
	a.mu.Lock()
	generation := a.state.KeyGeneration()
	k := a.store.Keys()
	a.mu.Unlock()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             protocols,
		Certificates:           []tls.Certificate{k.Certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              k.Trust,
		SessionTicketsDisabled: true, // a resumed session would not be verified by the bundle in force
		VerifyConnection: func(state tls.ConnectionState) error {
			return a.authenticate(c, state.PeerCertificates, generation)
		},
	}
}

// authenticate admits a connection by its peer's verified certificate.
func (a *AccessControl) authenticate(c *Conn, chain []*x509.Certificate, generation int) error {
	leaf := chain[0]
	peer := admission.Peer{Names: Names(leaf), Expires: unixMilliseconds(leaf.NotAfter)}
	a.mu.Lock()
	name, _, err := a.state.Authenticate(c.id, peer, generation, unixMilliseconds(time.Now()))
	c.chain = chain
	a.mu.Unlock()
	entry := a.log.WithFields(logrus.Fields{"from": c.RemoteAddr().String(), "name": name})
	if err != nil {
		entry.WithError(err).Warn("access control: connection rejected")
		return err
	}
	entry.Debug("access control: connection admitted")
	return nil
}

// Identity returns the name and the roles under which a connection was admitted. It takes a *tls.Conn, which is what
// net/http hands on, or a *Conn; other connections have neither name nor role.
func (a *AccessControl) Identity(nc net.Conn) (name string, roles admission.Role) {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, ok := nc.(*Conn)
	if !ok || c.control != a {
		return "", 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Identity(c.id)
}
