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

	"yokeroute/logic/admission"
)

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// yard is a folder with an authority, and what it signs.
type yard struct {
	t   *testing.T
	dir string
	ca  *Authority
}

func newYard(t *testing.T) *yard {
	y := &yard{t: t, dir: t.TempDir()}
	y.authority("yard")
	return y
}

func (y *yard) must(err error) {
	y.t.Helper()
	if err != nil {
		y.t.Fatal(err)
	}
}

// authority puts another one in the bundle's place.
func (y *yard) authority(name string) {
	var err error
	y.ca, err = NewAuthority(name, ValidFor(time.Hour))
	y.must(err)
	y.must(y.ca.Save(y.dir))
}

func (y *yard) issue(file string, life Validity, names []string, uses ...Use) Files {
	cert, key, err := y.ca.Issue(names, life, uses...)
	y.must(err)
	f, err := Save(y.dir, file, cert, key)
	y.must(err)
	return f
}

func (y *yard) put(name string, text []byte) string {
	file := filepath.Join(y.dir, name)
	y.must(os.WriteFile(file, text, 0o600))
	return file
}

// TestRead: what is wrong with keys is said with the file's name, before they are used.
func TestRead(t *testing.T) {
	y := newYard(t)
	names := []string{"127.0.0.1", "gate"}
	good := y.issue("good", ValidFor(time.Hour), names, Server, Client)
	other := y.issue("other", ValidFor(time.Hour), names, Server)
	text, err := os.ReadFile(good.Cert)
	y.must(err)
	ca := y.ca.PEM()
	old, err := NewAuthority("old", Validity{time.Now().Add(-2 * time.Hour), time.Now().Add(-time.Hour)})
	y.must(err)
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
		{"expired", y.issue("expired", Validity{time.Now().Add(-2 * time.Hour), time.Now().Add(-time.Hour)}, names, Server), Server, "expired.pem: the certificate has expired at"},
		{"early", y.issue("early", Validity{time.Now().Add(time.Hour), time.Now().Add(2 * time.Hour)}, names, Server), Server, "early.pem: the certificate is not valid before"},
		{"missing", Files{filepath.Join(y.dir, "none.pem"), good.Key, good.Trust}, Server, "none.pem: no such file"},
		{"unnamed", Files{good.Cert, "", good.Trust}, Server, "no file of keys is named"},
		{"empty", Files{y.put("empty.pem", nil), good.Key, good.Trust}, Server, "empty.pem: is empty"},
		{"long", Files{y.put("long.pem", bytes.Repeat([]byte("x"), maxFileBytes+1)), good.Key, good.Trust}, Server, "long.pem: is longer"},
		{"text", Files{y.put("text.pem", []byte("hello")), good.Key, good.Trust}, Server, "text.pem: holds no PEM block"},
		{"cut", Files{y.put("cut.pem", text[:len(text)/2]), good.Key, good.Trust}, Server, "cut.pem: a PEM block is cut off"},
		{"swapped", Files{good.Key, good.Cert, good.Trust}, Server, "good.key: holds a private key where a certificate is wanted"},
		{"an authority's", Files{good.Trust, filepath.Join(y.dir, "ca.key"), good.Trust}, Server, "is an authority's certificate"},
		{"bundle", Files{good.Cert, good.Key, good.Cert}, Server, "is no authority's"},
		{"dead bundle", Files{good.Cert, good.Key, y.put("dead.pem", old.PEM())}, Server, "has expired at"},
		{"half dead bundle", Files{good.Cert, good.Key, y.put("half.pem", append(old.PEM(), ca...))}, Server, ""},
		{"chain", Files{y.put("chain.pem", append(bytes.Clone(text), old.PEM()...)), good.Key, good.Trust}, Server, "certificate 2 has expired"},
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
	// Two faults are told at once.
	if _, err := Read(Files{good.Cert, other.Key, good.Cert}, Server, time.Now()); err == nil || !strings.Contains(err.Error(), "is not the key") || !strings.Contains(err.Error(), "no authority's") {
		t.Error(err)
	}
	y.must(os.Chmod(good.Key, 0o644))
	if k, err := Read(good, Server, time.Now()); err != nil || len(k.Warnings) != 1 || !strings.Contains(k.Warnings[0], "chmod") {
		t.Error(k, err)
	}
	later := time.Now().Add(50 * time.Minute)
	if k, err := Read(good, Server, later); err != nil || len(k.Warnings) != 2 {
		t.Error(k.Warnings, err)
	}
	if a, err := LoadAuthority(y.dir); err != nil || !a.Certificate.Equal(y.ca.Certificate) {
		t.Error(err)
	}
}

// gate is a door before a listener that echoes.
type gate struct {
	*yard
	store  *Store
	door   *AccessControl
	l      net.Listener
	who    chan string
	server Files
}

func (y *yard) gate(terms admission.Terms, rules ...admission.Rule) *gate {
	g := &gate{yard: y, who: make(chan string, 100), server: y.issue("server", ValidFor(time.Hour), []string{"127.0.0.1"}, Server)}
	var err error
	g.store, err = Open(g.server, Server, quiet())
	y.must(err)
	g.door = NewAccessControl(g.store, terms, admission.NewRules(rules), quiet())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	y.must(err)
	g.l = g.door.Wrap(l)
	ctx, cancel := context.WithCancel(context.Background())
	go g.door.Run(ctx)
	go g.store.Watch(ctx)
	done := make(chan bool)
	go func() {
		defer close(done)
		for {
			nc, err := g.l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				c := tls.Server(nc, g.door.TLSConfig("echo"))
				if c.Handshake() != nil {
					return
				}
				name, roles := g.door.Identity(c)
				g.who <- name + " " + roles.Text()
				io.Copy(c, c)
			}()
		}
	}()
	y.t.Cleanup(func() { cancel(); g.l.Close(); <-done })
	return g
}

// call sets a connection up and says something; an error is what it ended with.
func (g *gate) call(config *tls.Config) (*tls.Conn, error) {
	c, err := tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", g.l.Addr().String(), config)
	if err != nil {
		return nil, err
	}
	g.t.Cleanup(func() { c.Close() })
	return c, say(c)
}

func say(c net.Conn) error {
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, "hello"); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 5))
	return err
}

// ends waits until a connection is ended by the other side.
func ends(t *testing.T, c net.Conn, what string) {
	t.Helper()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	var timeout net.Error
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("%s: it is still open: %v", what, err)
	}
}

func (g *gate) client(f Files) *tls.Config {
	s, err := Open(f, Client, quiet())
	g.must(err)
	return s.ClientConfig("127.0.0.1", "echo")
}

var open = admission.Terms{Most: 50, Unproven: 10, Prove: 300, Ageing: -1}

// TestStrangers: without a certificate, with one expired, of another authority or for another use, under a name that no
// rule admits, in plain text, or saying nothing, nobody comes in, and nothing of it stays.
func TestStrangers(t *testing.T) {
	y := newYard(t)
	g := y.gate(open, admission.Rule{Name: "p1", Roles: admission.Subscriber})
	fine := g.client(y.issue("p1", ValidFor(time.Hour), []string{"p1"}, Client))
	if _, err := g.call(fine); err != nil {
		t.Fatal(err)
	}
	if who := <-g.who; who != "p1 subscriber" {
		t.Error(who)
	}
	show := func(f Files) *tls.Config { // shows whatever there is, unchecked
		pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		y.must(err)
		c := fine.Clone()
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
		return c
	}
	none := fine.Clone()
	none.GetClientCertificate = nil
	old := fine.Clone()
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	other := &yard{t: t, dir: t.TempDir()}
	other.authority("other")
	for name, config := range map[string]*tls.Config{
		"none":    none,
		"expired": show(y.issue("e", Validity{time.Now().Add(-2 * time.Hour), time.Now().Add(-time.Hour)}, []string{"p1"}, Client)),
		"early":   show(y.issue("f", Validity{time.Now().Add(time.Hour), time.Now().Add(2 * time.Hour)}, []string{"p1"}, Client)),
		"use":     show(y.issue("u", ValidFor(time.Hour), []string{"p1"}, Server)),
		"other":   show(other.issue("p1", ValidFor(time.Hour), []string{"p1"}, Client)),
		"name":    show(y.issue("n", ValidFor(time.Hour), []string{"p2"}, Client)),
		"old TLS": old,
	} {
		if _, err := g.call(config); err == nil {
			t.Errorf("%s: let in", name)
		}
	}
	for name, text := range map[string]string{"plain": "GET / HTTP/1.1\r\n\r\n", "huge": "\x16\x03\x01\xff\xff" + strings.Repeat("x", 70000), "silent": ""} {
		c, err := net.Dial("tcp", g.l.Addr().String())
		y.must(err)
		io.WriteString(c, text)
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: still open", name)
		}
		c.Close()
	}
	// The right server for the client, too.
	impostor := other.gate(open, admission.Rule{Name: "*", Roles: admission.Subscriber})
	if _, err := impostor.call(fine); !errors.Is(err, errUntrusted) {
		t.Errorf("a server of another authority: %v", err)
	}
	named, err := Open(y.issue("p1", ValidFor(time.Hour), []string{"p1"}, Client), Client, quiet())
	y.must(err)
	if _, err := g.call(named.ClientConfig("gate", "echo")); err == nil || !strings.Contains(err.Error(), "gate") {
		t.Errorf("a server of another name: %v", err)
	}
	until := time.Now().Add(5 * time.Second)
	for g.door.Counts().Open != 1 && time.Now().Before(until) {
		time.Sleep(5 * time.Millisecond)
	}
	if c := g.door.Counts(); c.Open != 1 || c.Unproven != 0 || c.Refused["name"] != 1 {
		t.Errorf("%+v", c)
	}
}

// TestAddresses: who comes from elsewhere is refused before a byte is read, however good the key.
func TestAddresses(t *testing.T) {
	y := newYard(t)
	g := y.gate(open, admission.Rule{Name: "p1", Roles: admission.Subscriber, From: []netip.Prefix{netip.MustParsePrefix("192.0.2.0/24")}})
	if _, err := g.call(g.client(y.issue("p1", ValidFor(time.Hour), []string{"p1"}, Client))); err == nil {
		t.Error("let in")
	}
	if c := g.door.Counts(); c.Refused["address"] != 1 {
		t.Errorf("%+v", c)
	}
}

// TestReplaced: keys replaced in service are used by the next connection; those open stay where the setting keeps them
// and their authority is still in the bundle; without it they end at once. Halves and faulty ones change nothing.
func TestReplaced(t *testing.T) {
	y := newYard(t)
	g := y.gate(open, admission.Rule{Name: "*", Roles: admission.Subscriber})
	first := g.client(y.issue("p1", ValidFor(time.Hour), []string{"p1"}, Client))
	c, err := g.call(first)
	y.must(err)
	before := g.store.Keys()
	// A certificate whose key has not come yet.
	cert, key, err := y.ca.Issue([]string{"127.0.0.1"}, ValidFor(time.Hour), Server)
	y.must(err)
	y.must(replaceFile(g.server.Cert, cert, 0o644))
	if err := g.store.Reload(nil); err == nil || g.store.Keys() != before {
		t.Fatal("half of a pair is in force")
	}
	y.must(replaceFile(g.server.Key, key, 0o600))
	until := time.Now().Add(10 * time.Second)
	for g.store.Keys() == before && time.Now().Before(until) { // the watch finds it
		time.Sleep(5 * time.Millisecond)
	}
	if g.store.Keys() == before {
		t.Fatal("replaced, and not seen")
	}
	y.must(say(c))
	// Both authorities for a while, then the new one alone.
	old := y.ca
	y.authority("next")
	y.put("ca.pem", append(old.PEM(), y.ca.PEM()...))
	y.must(g.store.Reload(nil))
	second, err := g.call(g.client(y.issue("p2", ValidFor(time.Hour), []string{"p2"}, Client)))
	y.must(err)
	y.must(say(c))
	y.put("ca.pem", y.ca.PEM())
	y.must(g.store.Reload(nil))
	ends(t, c, "its authority was dropped")
	y.must(say(second))
	if _, err := g.call(first); err == nil {
		t.Error("let in by an authority that was dropped")
	}
}

// TestAgeing: where old connections are to go, they go, and one whose certificate expires goes then.
func TestAgeing(t *testing.T) {
	y := newYard(t)
	terms := open
	terms.Ageing = 200
	g := y.gate(terms, admission.Rule{Name: "*", Roles: admission.Subscriber})
	config := g.client(y.issue("p1", ValidFor(time.Hour), []string{"p1"}, Client))
	c, err := g.call(config)
	y.must(err)
	y.issue("server", ValidFor(time.Hour), []string{"127.0.0.1"}, Server)
	y.must(g.store.Reload(nil))
	ends(t, c, "aged")
	c, err = g.call(config)
	y.must(err)
	g.door.UpdateRules(terms, admission.NewRules([]admission.Rule{{Name: "q", Roles: admission.Subscriber}}))
	ends(t, c, "ruled out")
	g.door.UpdateRules(terms, admission.NewRules([]admission.Rule{{Name: "*", Roles: admission.Administrator}}))
	brief, err := g.call(g.client(y.issue("brief", ValidFor(2*time.Second), []string{"brief"}, Client)))
	y.must(err)
	ends(t, brief, "expired")
}

// TestFlood: connections that prove nothing shut nobody out who is known for longer than they may take.
func TestFlood(t *testing.T) {
	y := newYard(t)
	g := y.gate(open, admission.Rule{Name: "*", Roles: admission.Subscriber})
	config := g.client(y.issue("p1", ValidFor(time.Hour), []string{"p1"}, Client))
	known, err := g.call(config)
	y.must(err)
	for range 60 {
		c, err := net.Dial("tcp", g.l.Addr().String())
		y.must(err)
		t.Cleanup(func() { c.Close() })
	}
	y.must(say(known))
	until := time.Now().Add(5 * time.Second)
	for {
		if _, err = g.call(config); err == nil || time.Now().After(until) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	y.must(err)
	if c := g.door.Counts(); c.Refused["unproven"] == 0 || c.Open > 50 {
		t.Errorf("%+v", c)
	}
}
