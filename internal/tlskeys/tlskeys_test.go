package tlskeys

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/storage/atomicfile"
	"yokeroute/logic/admission"
)

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// testAuthority is a folder with an authority, and the keys that it issues.
type testAuthority struct {
	t         *testing.T
	dir       string
	authority *Authority
}

func newTestAuthority(t *testing.T) *testAuthority {
	issuer := &testAuthority{t: t, dir: t.TempDir()}
	issuer.newAuthority("test")
	return issuer
}

func (issuer *testAuthority) noError(err error) {
	issuer.t.Helper()
	if err != nil {
		issuer.t.Fatal(err)
	}
}

// newAuthority replaces the authority and its bundle.
func (issuer *testAuthority) newAuthority(name string) {
	var err error
	issuer.authority, err = NewAuthority(name, ValidFor(time.Hour))
	issuer.noError(err)
	issuer.noError(issuer.authority.Save(issuer.dir))
}

func (issuer *testAuthority) issue(file string, validity Validity, names []string, uses ...Use) Files {
	cert, key, err := issuer.authority.Issue(names, validity, uses...)
	issuer.noError(err)
	f, err := Save(issuer.dir, file, cert, key)
	issuer.noError(err)
	return f
}

func (issuer *testAuthority) writeFile(name string, text []byte) string {
	file := filepath.Join(issuer.dir, name)
	issuer.noError(os.WriteFile(file, text, 0o600))
	return file
}

// TestReadNamesFaultyFile: Read names the file and what is wrong with it.
func TestReadNamesFaultyFile(t *testing.T) {
	issuer := newTestAuthority(t)
	names := []string{"127.0.0.1", "gate"}
	good := issuer.issue("good", ValidFor(time.Hour), names, Server, Client)
	other := issuer.issue("other", ValidFor(time.Hour), names, Server)
	text, err := os.ReadFile(good.Cert)
	issuer.noError(err)
	ca := issuer.authority.PEM()
	old, err := NewAuthority("old", Validity{time.Now().Add(-2 * time.Hour), time.Now().Add(-time.Hour)})
	issuer.noError(err)
	for _, c := range []struct {
		name  string
		files Files
		use   Use
		want  string // empty for none
	}{
		{"good", good, Server, ""},
		{"good for a client", good, Client, ""},
		{"pair", Files{good.Cert, other.Key, good.Trust}, Server, "other.key: is not the key of the certificate in"},
		{"use", other, Client, "other.pem: may not be used for a client"},
		{"expired", issuer.issue("expired", Validity{time.Now().Add(-2 * time.Hour), time.Now().Add(-time.Hour)}, names, Server), Server, "expired.pem: the certificate has expired at"},
		{"early", issuer.issue("early", Validity{time.Now().Add(time.Hour), time.Now().Add(2 * time.Hour)}, names, Server), Server, "early.pem: the certificate is not valid before"},
		{"missing", Files{filepath.Join(issuer.dir, "none.pem"), good.Key, good.Trust}, Server, "none.pem: no such file"},
		{"unnamed", Files{good.Cert, "", good.Trust}, Server, "no file of keys is named"},
		{"empty", Files{issuer.writeFile("empty.pem", nil), good.Key, good.Trust}, Server, "empty.pem: is empty"},
		{"long", Files{issuer.writeFile("long.pem", bytes.Repeat([]byte("x"), maxFileBytes+1)), good.Key, good.Trust}, Server, "long.pem: is longer"},
		{"text", Files{issuer.writeFile("text.pem", []byte("hello")), good.Key, good.Trust}, Server, "text.pem: holds no PEM block"},
		{"cut", Files{issuer.writeFile("cut.pem", text[:len(text)/2]), good.Key, good.Trust}, Server, "cut.pem: a PEM block is cut off"},
		{"swapped", Files{good.Key, good.Cert, good.Trust}, Server, "good.key: holds a private key where a certificate is wanted"},
		{"an authority's", Files{good.Trust, filepath.Join(issuer.dir, "ca.key"), good.Trust}, Server, "is an authority's certificate"},
		{"bundle", Files{good.Cert, good.Key, good.Cert}, Server, "is no authority's"},
		{"dead bundle", Files{good.Cert, good.Key, issuer.writeFile("dead.pem", old.PEM())}, Server, "has expired at"},
		{"half dead bundle", Files{good.Cert, good.Key, issuer.writeFile("half.pem", append(old.PEM(), ca...))}, Server, ""},
		{"chain", Files{issuer.writeFile("chain.pem", append(bytes.Clone(text), old.PEM()...)), good.Key, good.Trust}, Server, "certificate 2 has expired"},
	} {
		k, err := Read(c.files, c.use, time.Now())
		switch {
		case c.want == "" && err != nil:
			t.Errorf("%s: %v", c.name, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		case c.name == "half dead bundle" && (len(k.Authorities) != 1 || !strings.Contains(strings.Join(k.Warnings, " "), "left out")):
			t.Errorf("%s: %v", c.name, k.Warnings)
		}
	}
	// Two faults are reported at once.
	if _, err := Read(Files{good.Cert, other.Key, good.Cert}, Server, time.Now()); err == nil || !strings.Contains(err.Error(), "is not the key") || !strings.Contains(err.Error(), "no authority's") {
		t.Error(err)
	}
	issuer.noError(os.Chmod(good.Key, 0o644))
	if k, err := Read(good, Server, time.Now()); err != nil || len(k.Warnings) != 1 || !strings.Contains(k.Warnings[0], "chmod") {
		t.Error(k, err)
	}
	later := time.Now().Add(50 * time.Minute)
	if k, err := Read(good, Server, later); err != nil || len(k.Warnings) != 2 {
		t.Error(k.Warnings, err)
	}
	if a, err := LoadAuthority(issuer.dir); err != nil || !a.Certificate.Equal(issuer.authority.Certificate) {
		t.Error(err)
	}
}

// testServer is an echo server under access control.
type testServer struct {
	*testAuthority
	store    *Store
	control  *AccessControl
	listener net.Listener
	admitted chan string
	files    Files
}

func (issuer *testAuthority) startServer(terms admission.Limits, rules ...admission.Rule) *testServer {
	server := &testServer{testAuthority: issuer, admitted: make(chan string, 100), files: issuer.issue("server", ValidFor(time.Hour), []string{"127.0.0.1"}, Server)}
	var err error
	server.store, err = Open(server.files, Server, discardLog())
	issuer.noError(err)
	server.control = NewAccessControl(server.store, terms, admission.NewRules(rules), discardLog())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	issuer.noError(err)
	server.listener = server.control.Wrap(l)
	ctx, cancel := context.WithCancel(context.Background())
	go server.control.Run(ctx)
	go server.store.Watch(ctx)
	done := make(chan bool)
	go func() {
		defer close(done)
		for {
			nc, err := server.listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				c := tls.Server(nc, server.control.TLSConfig("echo"))
				if c.Handshake() != nil {
					return
				}
				name, roles := server.control.Identity(c)
				server.admitted <- name + " " + roles.Text()
				io.Copy(c, c)
			}()
		}
	}()
	issuer.t.Cleanup(func() { cancel(); server.listener.Close(); <-done })
	return server
}

// dial connects and sends something. It returns the error that the connection ended with.
func (server *testServer) dial(config *tls.Config) (*tls.Conn, error) {
	c, err := tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", server.listener.Addr().String(), config)
	if err != nil {
		return nil, err
	}
	server.t.Cleanup(func() { c.Close() })
	return c, echo(c)
}

func echo(c net.Conn) error {
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, "hello"); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 5))
	return err
}

// expectClosed waits until the other side closes a connection.
func expectClosed(t *testing.T, c net.Conn, what string) {
	t.Helper()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	var timeout net.Error
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("%s: it is still open: %v", what, err)
	}
}

func (server *testServer) client(f Files) *tls.Config {
	s, err := Open(f, Client, discardLog())
	server.noError(err)
	return s.ClientConfig("127.0.0.1", "echo")
}

var limits = admission.Limits{MaxConns: 50, MaxUnauthenticated: 10, HandshakeTimeout: 300, RotationPeriod: -1}

// TestUnauthenticatedPeersAreNotAdmitted: a peer is rejected that has no certificate, or one that is expired, of
// another authority, for another use or under a name that no rule admits, and so is one that speaks plain text or
// sends nothing. None of their connections stays open.
func TestUnauthenticatedPeersAreNotAdmitted(t *testing.T) {
	issuer := newTestAuthority(t)
	server := issuer.startServer(limits, admission.Rule{Name: "p1", Roles: admission.Subscriber})
	valid := server.client(issuer.issue("p1", ValidFor(time.Hour), []string{"p1"}, Client))
	if _, err := server.dial(valid); err != nil {
		t.Fatal(err)
	}
	if name := <-server.admitted; name != "p1 subscriber" {
		t.Error(name)
	}
	present := func(f Files) *tls.Config { // without any check
		pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		issuer.noError(err)
		c := valid.Clone()
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
		return c
	}
	none := valid.Clone()
	none.GetClientCertificate = nil
	old := valid.Clone()
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	other := &testAuthority{t: t, dir: t.TempDir()}
	other.newAuthority("other")
	for name, config := range map[string]*tls.Config{
		"none":    none,
		"expired": present(issuer.issue("e", Validity{time.Now().Add(-2 * time.Hour), time.Now().Add(-time.Hour)}, []string{"p1"}, Client)),
		"early":   present(issuer.issue("f", Validity{time.Now().Add(time.Hour), time.Now().Add(2 * time.Hour)}, []string{"p1"}, Client)),
		"use":     present(issuer.issue("u", ValidFor(time.Hour), []string{"p1"}, Server)),
		"other":   present(other.issue("p1", ValidFor(time.Hour), []string{"p1"}, Client)),
		"name":    present(issuer.issue("n", ValidFor(time.Hour), []string{"p2"}, Client)),
		"old TLS": old,
	} {
		if _, err := server.dial(config); err == nil {
			t.Errorf("%s: admitted", name)
		}
	}
	for name, text := range map[string]string{"plain": "GET / HTTP/1.1\r\n\r\n", "huge": "\x16\x03\x01\xff\xff" + strings.Repeat("x", 70000), "silent": ""} {
		c, err := net.Dial("tcp", server.listener.Addr().String())
		issuer.noError(err)
		io.WriteString(c, text)
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: still open", name)
		}
		c.Close()
	}
	// The client verifies the server, too.
	impostor := other.startServer(limits, admission.Rule{Name: "*", Roles: admission.Subscriber})
	if _, err := impostor.dial(valid); !errors.Is(err, errUntrusted) {
		t.Errorf("a server of another authority: %v", err)
	}
	named, err := Open(issuer.issue("p1", ValidFor(time.Hour), []string{"p1"}, Client), Client, discardLog())
	issuer.noError(err)
	if _, err := server.dial(named.ClientConfig("gate", "echo")); err == nil || !strings.Contains(err.Error(), "gate") {
		t.Errorf("a server of another name: %v", err)
	}
	until := time.Now().Add(5 * time.Second)
	for server.control.Counts().Open != 1 && time.Now().Before(until) {
		time.Sleep(5 * time.Millisecond)
	}
	if c := server.control.Counts(); c.Open != 1 || c.Unauthenticated != 0 || c.Rejected["name"] != 1 {
		t.Errorf("%+v", c)
	}
}

// TestAddressIsCheckedBeforeTheCertificate: a connection from an address that no rule admits is closed before a byte
// is read, whatever its certificate.
func TestAddressIsCheckedBeforeTheCertificate(t *testing.T) {
	issuer := newTestAuthority(t)
	server := issuer.startServer(limits, admission.Rule{Name: "p1", Roles: admission.Subscriber, From: []netip.Prefix{netip.MustParsePrefix("192.0.2.0/24")}})
	if _, err := server.dial(server.client(issuer.issue("p1", ValidFor(time.Hour), []string{"p1"}, Client))); err == nil {
		t.Error("admitted")
	}
	if c := server.control.Counts(); c.Rejected["address"] != 1 {
		t.Errorf("%+v", c)
	}
}

// TestKeysAreReplacedInService: the next connection uses replaced keys. Open connections stay while their authority
// is in the bundle, and end once it is not. Incomplete or faulty keys change nothing.
func TestKeysAreReplacedInService(t *testing.T) {
	issuer := newTestAuthority(t)
	server := issuer.startServer(limits, admission.Rule{Name: "*", Roles: admission.Subscriber})
	first := server.client(issuer.issue("p1", ValidFor(time.Hour), []string{"p1"}, Client))
	c, err := server.dial(first)
	issuer.noError(err)
	before := server.store.Keys()
	// A certificate whose key has not come yet.
	cert, key, err := issuer.authority.Issue([]string{"127.0.0.1"}, ValidFor(time.Hour), Server)
	issuer.noError(err)
	issuer.noError(atomicfile.Write(server.files.Cert, cert))
	if err := server.store.Reload(nil); err == nil || server.store.Keys() != before {
		t.Fatal("half of a pair is in force")
	}
	issuer.noError(writePrivate(server.files.Key, key))
	until := time.Now().Add(10 * time.Second)
	for server.store.Keys() == before && time.Now().Before(until) { // the watch finds it
		time.Sleep(5 * time.Millisecond)
	}
	if server.store.Keys() == before {
		t.Fatal("replaced, and not seen")
	}
	issuer.noError(echo(c))
	// Both authorities for a while, then the new one alone. The bundle is replaced in one step each time, since the watch
	// may read it at any moment.
	old := issuer.authority
	issuer.authority, err = NewAuthority("next", ValidFor(time.Hour))
	issuer.noError(err)
	issuer.noError(atomicfile.Write(server.files.Trust, append(old.PEM(), issuer.authority.PEM()...)))
	issuer.noError(server.store.Reload(nil))
	second, err := server.dial(server.client(issuer.issue("p2", ValidFor(time.Hour), []string{"p2"}, Client)))
	issuer.noError(err)
	issuer.noError(echo(c))
	issuer.noError(atomicfile.Write(server.files.Trust, issuer.authority.PEM()))
	issuer.noError(server.store.Reload(nil))
	expectClosed(t, c, "its authority was dropped")
	issuer.noError(echo(second))
	if _, err := server.dial(first); err == nil {
		t.Error("admitted by an authority that was dropped")
	}
}

// TestConnectionsEndWhenTheirTimeIsUp: a connection ends after the ageing time of replaced keys, when the rules no
// longer admit it, and when its certificate expires.
func TestConnectionsEndWhenTheirTimeIsUp(t *testing.T) {
	issuer := newTestAuthority(t)
	terms := limits
	terms.RotationPeriod = 200
	server := issuer.startServer(terms, admission.Rule{Name: "*", Roles: admission.Subscriber})
	config := server.client(issuer.issue("p1", ValidFor(time.Hour), []string{"p1"}, Client))
	c, err := server.dial(config)
	issuer.noError(err)
	issuer.issue("server", ValidFor(time.Hour), []string{"127.0.0.1"}, Server)
	issuer.noError(server.store.Reload(nil))
	expectClosed(t, c, "aged")
	c, err = server.dial(config)
	issuer.noError(err)
	server.control.UpdateRules(terms, admission.NewRules([]admission.Rule{{Name: "q", Roles: admission.Subscriber}}))
	expectClosed(t, c, "ruled out")
	server.control.UpdateRules(terms, admission.NewRules([]admission.Rule{{Name: "*", Roles: admission.Administrator}}))
	brief, err := server.dial(server.client(issuer.issue("brief", ValidFor(2*time.Second), []string{"brief"}, Client)))
	issuer.noError(err)
	expectClosed(t, brief, "expired")
}

// TestUnprovenConnectionsDoNotLockOutPeers: connections that prove nothing hold up a peer for no longer than they may
// take to prove themselves.
func TestUnprovenConnectionsDoNotLockOutPeers(t *testing.T) {
	issuer := newTestAuthority(t)
	server := issuer.startServer(limits, admission.Rule{Name: "*", Roles: admission.Subscriber})
	config := server.client(issuer.issue("p1", ValidFor(time.Hour), []string{"p1"}, Client))
	known, err := server.dial(config)
	issuer.noError(err)
	for range 60 {
		c, err := net.Dial("tcp", server.listener.Addr().String())
		issuer.noError(err)
		t.Cleanup(func() { c.Close() })
	}
	issuer.noError(echo(known))
	until := time.Now().Add(5 * time.Second)
	for {
		if _, err = server.dial(config); err == nil || time.Now().After(until) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	issuer.noError(err)
	if c := server.control.Counts(); c.Rejected["unauthenticated"] == 0 || c.Open > 50 {
		t.Errorf("%+v", c)
	}
}
