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

	"yokeroute/logic/admission"
)

var errUntrusted = errors.New("its certificate is of no authority that is trusted")

// sweepInterval is how often a door looks for connections whose time is up.
const sweepInterval = 250 * time.Millisecond

// AccessControl is what stands before a listener: it lets in who the rules admit, by address before a byte is read and by name
// once a certificate is proven, and ends connections whose time is up.
type AccessControl struct {
	store *Store
	log   *logrus.Logger

	mu    sync.Mutex
	state *admission.Door
	conns map[uint64]*Conn
}

// NewAccessControl makes a door for the keys of a store.
func NewAccessControl(store *Store, terms admission.Terms, rules *admission.Rules, log *logrus.Logger) *AccessControl {
	d := &AccessControl{store: store, log: log, state: admission.NewDoor(terms, rules), conns: map[uint64]*Conn{}}
	store.OnReplace(func(k *Keys) {
		at := time.Now()
		d.mu.Lock()
		ends := d.state.Replace(func(id uint64) bool { return k.Trusts(d.conns[id].chain, Client, at) }, unixMilliseconds(at))
		d.mu.Unlock()
		d.close(ends)
	})
	return d
}

func unixMilliseconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }

// UpdateRules takes over other rules and limits. Who may no longer do what it came in for is put out.
func (d *AccessControl) UpdateRules(terms admission.Terms, rules *admission.Rules) {
	d.mu.Lock()
	ends := d.state.Rule(terms, rules)
	d.mu.Unlock()
	d.close(ends)
}

// Counts tells who is inside and who was refused.
func (d *AccessControl) Counts() admission.Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Counts()
}

// Run ends connections whose time is up, until ctx ends.
func (d *AccessControl) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.mu.Lock()
			ends := d.state.Sweep(unixMilliseconds(time.Now()))
			d.mu.Unlock()
			d.close(ends)
		}
	}
}

func (d *AccessControl) close(ends []admission.End) {
	for _, e := range ends {
		d.mu.Lock()
		c := d.conns[e.Conn]
		name, _ := d.state.Who(e.Conn)
		d.mu.Unlock()
		if c == nil {
			continue
		}
		d.log.WithFields(logrus.Fields{"from": c.RemoteAddr().String(), "name": name}).Info("connection ended: " + e.Why)
		c.Close()
	}
}

// Conn is a connection that has come through a door, under TLS.
type Conn struct {
	net.Conn
	control   *AccessControl
	id        uint64
	chain     []*x509.Certificate // guarded by the door's lock
	closeOnce sync.Once
}

// Close ends it.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.control.mu.Lock()
		c.control.state.Leave(c.id)
		delete(c.control.conns, c.id)
		c.control.mu.Unlock()
	})
	return c.Conn.Close()
}

// listener refuses who may not even knock.
type listener struct {
	net.Listener
	control *AccessControl
}

// Wrap puts the door before a listener. What Accept gives has still to be spoken TLS with, by Config.
func (d *AccessControl) Wrap(l net.Listener) net.Listener { return &listener{l, d} }

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
		l.control.log.WithError(err).WithField("from", nc.RemoteAddr().String()).Debug("connection refused")
		nc.Close()
	}
}

func (d *AccessControl) accept(nc net.Conn) (*Conn, error) {
	var from netip.Addr
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		from = a.AddrPort().Addr()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	id, err := d.state.Knock(from, unixMilliseconds(time.Now()))
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, control: d, id: id}
	d.conns[id] = c
	return c, nil
}

// TLSConfig is the server's end of TLS on what Listen accepts. Each handshake uses the keys in force when it begins.
func (d *AccessControl) TLSConfig(protocols ...string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			c, ok := hello.Conn.(*Conn)
			if !ok {
				return nil, errors.New("a connection that has not come through the door")
			}
			d.mu.Lock()
			generation, k := d.state.Keys(), d.store.Keys()
			d.mu.Unlock()
			return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols, Certificates: []tls.Certificate{k.Certificate},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: k.Trust,
				SessionTicketsDisabled: true, // each connection proves itself by the bundle in force
				VerifyConnection:       func(cs tls.ConnectionState) error { return d.authenticate(c, cs.PeerCertificates, generation) }}, nil
		}}
}

func (d *AccessControl) authenticate(c *Conn, chain []*x509.Certificate, generation int) error {
	leaf := chain[0]
	d.mu.Lock()
	name, _, err := d.state.Prove(c.id, admission.Peer{Names: Names(leaf), Expires: unixMilliseconds(leaf.NotAfter)}, generation, unixMilliseconds(time.Now()))
	c.chain = chain
	d.mu.Unlock()
	entry := d.log.WithFields(logrus.Fields{"from": c.RemoteAddr().String(), "name": name})
	if err != nil {
		entry.WithError(err).Warn("connection refused")
		return err
	}
	entry.Debug("connection let in")
	return nil
}

// Identity is the name and the roles under which a connection was let in: what net/http and others hand on as a *tls.Conn,
// or a *Conn itself. Nothing is known of others.
func (d *AccessControl) Identity(nc net.Conn) (name string, roles admission.Role) {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, ok := nc.(*Conn)
	if !ok || c.control != d {
		return "", 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Who(c.id)
}
