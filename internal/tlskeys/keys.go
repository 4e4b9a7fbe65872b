// Package tlskeys holds the keys of a listener, or of a client, with mutual TLS: certificates and bundles of trusted
// authorities read from files and checked before use, replaced in service when the files are, and the connections set
// up with them. Who may come in and what has to end is decided by logic/admission.
package tlskeys

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/rsa"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// Files are where one end's keys are, in PEM.
type Files struct {
	Cert  string // the certificate and behind it what leads to its authority
	Key   string // of the certificate
	Trust string // the authorities whose certificates the other end may show
}

// Use is which end a certificate is for.
type Use int

// The uses.
const (
	Server Use = iota
	Client
)

func (u Use) String() string { return [...]string{"server", "client"}[u] }

func (u Use) extKeyUsage() x509.ExtKeyUsage {
	return [...]x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}[u]
}

const (
	maxFileBytes  = 1 << 20             // bytes; bundles of a few hundred authorities fit
	minRSABits    = 2048                // bits
	expiryWarning = 14 * 24 * time.Hour // before its end a certificate is warned of
)

// Keys are one end's keys, read and checked. They are never changed.
type Keys struct {
	Certificate tls.Certificate
	Leaf        *x509.Certificate
	Trust       *x509.CertPool
	Authorities []*x509.Certificate
	Warnings    []string
	digest      [sha256.Size]byte
}

// FileError is what is wrong with a file of keys.
type FileError struct{ File, Problem string }

func (f *FileError) Error() string { return f.File + ": " + f.Problem }

func fileErrorf(file, format string, args ...any) error {
	return &FileError{file, fmt.Sprintf(format, args...)}
}

// Read reads keys and checks them for a use at a time. Its errors name the file at fault; several are joined.
func Read(files Files, use Use, at time.Time) (*Keys, error) {
	k := &Keys{}
	sum := sha256.New()
	var faults []error
	take := func(file string) []byte {
		text, err := readFile(file)
		if err != nil {
			faults = append(faults, err)
		}
		fmt.Fprintf(sum, "%d:", len(text))
		sum.Write(text)
		return text
	}
	cert, key, trust := take(files.Cert), take(files.Key), take(files.Trust)
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	sum.Sum(k.digest[:0])
	if err := k.loadPair(files, cert, key); err != nil {
		faults = append(faults, err)
	} else if err := k.checkLeaf(files.Cert, use, at); err != nil {
		faults = append(faults, err)
	}
	if err := k.loadBundle(files.Trust, trust, at); err != nil {
		faults = append(faults, err)
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	if info, err := os.Stat(files.Key); err == nil && info.Mode().Perm()&0o077 != 0 {
		k.Warnings = append(k.Warnings, fmt.Sprintf("%s: others than its owner may read the key (%v); chmod 600 it", files.Key, info.Mode().Perm()))
	}
	return k, nil
}

func readFile(file string) ([]byte, error) {
	if file == "" {
		return nil, errors.New("no file of keys is named")
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, fileErrorf(file, "%v", withoutPath(err))
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	switch {
	case err != nil:
		return nil, fileErrorf(file, "%v", withoutPath(err))
	case len(text) > maxFileBytes:
		return nil, fileErrorf(file, "is longer than %d bytes", maxFileBytes)
	case len(bytes.TrimSpace(text)) == 0:
		return nil, fileErrorf(file, "is empty")
	}
	return text, nil
}

// withoutPath is an error without the file's name, which is said already.
func withoutPath(err error) error {
	var path *os.PathError
	if errors.As(err, &path) {
		return path.Err
	}
	return err
}

// decodePEM reads all PEM blocks of a file, which must be of one kind.
func decodePEM(file string, text []byte, kind func(string) bool, want string) ([]*pem.Block, error) {
	var all []*pem.Block
	for rest := text; ; {
		var b *pem.Block
		if b, rest = pem.Decode(rest); b == nil {
			if bytes.Contains(rest, []byte("-----BEGIN")) {
				return nil, fileErrorf(file, "a PEM block is cut off or garbled after %d good ones", len(all))
			}
			break
		}
		if !kind(b.Type) {
			return nil, fileErrorf(file, "holds a %s where %s is wanted", strings.ToLower(b.Type), want)
		}
		all = append(all, b)
	}
	if len(all) == 0 {
		return nil, fileErrorf(file, "holds no PEM block; %s is wanted", want)
	}
	return all, nil
}

func parseCertificates(file string, text []byte) (all []*x509.Certificate, err error) {
	pems, err := decodePEM(file, text, func(kind string) bool { return kind == "CERTIFICATE" }, "a certificate")
	if err != nil {
		return nil, err
	}
	for i, b := range pems {
		c, err := x509.ParseCertificate(b.Bytes)
		if err != nil {
			return nil, fileErrorf(file, "certificate %d: %v", i+1, err)
		}
		all = append(all, c)
	}
	return all, nil
}

func (k *Keys) loadPair(files Files, cert, key []byte) error {
	if _, err := parseCertificates(files.Cert, cert); err != nil {
		return err
	}
	if _, err := decodePEM(files.Key, key, func(kind string) bool { return strings.HasSuffix(kind, "PRIVATE KEY") }, "a private key"); err != nil {
		return err
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		if strings.Contains(err.Error(), "does not match") {
			return fileErrorf(files.Key, "is not the key of the certificate in %s", files.Cert)
		}
		return fileErrorf(files.Key, "%s", strings.TrimPrefix(err.Error(), "tls: "))
	}
	k.Certificate, k.Leaf = pair, pair.Leaf
	return nil
}

// checkLeaf checks the certificate that is shown, and what leads to its authority.
func (k *Keys) checkLeaf(file string, use Use, at time.Time) error {
	c := k.Leaf
	if err := checkValidity(file, "the certificate", c, at); err != nil {
		return err
	}
	if left := c.NotAfter.Sub(at); left < expiryWarning && left < c.NotAfter.Sub(c.NotBefore)/4 {
		k.Warnings = append(k.Warnings, fmt.Sprintf("%s: expires at %s", file, formatTime(c.NotAfter)))
	}
	switch {
	case c.IsCA:
		return fileErrorf(file, "is an authority's certificate; one for a %s is wanted", use)
	case !slices.Contains(c.ExtKeyUsage, use.extKeyUsage()) && !slices.Contains(c.ExtKeyUsage, x509.ExtKeyUsageAny):
		return fileErrorf(file, "may not be used for a %s: its extended key usage lacks %s authentication", use, use)
	case c.KeyUsage != 0 && c.KeyUsage&x509.KeyUsageDigitalSignature == 0:
		return fileErrorf(file, "its key usage lacks digital signature")
	case len(Names(c)) == 0:
		return fileErrorf(file, "proves no name")
	case use == Server && len(c.DNSNames)+len(c.IPAddresses)+len(c.URIs) == 0:
		return fileErrorf(file, "has no subject alternative name, by which clients know a server")
	}
	if err := checkKeyStrength(file, c); err != nil {
		return err
	}
	for i, der := range k.Certificate.Certificate[1:] {
		over, err := x509.ParseCertificate(der)
		if err != nil {
			return fileErrorf(file, "certificate %d: %v", i+2, err)
		}
		if err := checkValidity(file, fmt.Sprintf("certificate %d", i+2), over, at); err != nil {
			return err
		}
		if err := c.CheckSignatureFrom(over); err != nil {
			return fileErrorf(file, "certificate %d has not signed the one before it", i+2)
		}
		c = over
	}
	return nil
}

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04 MST") }

func checkValidity(file, what string, c *x509.Certificate, at time.Time) error {
	switch {
	case at.Before(c.NotBefore):
		return fileErrorf(file, "%s is not valid before %s", what, formatTime(c.NotBefore))
	case !at.Before(c.NotAfter):
		return fileErrorf(file, "%s has expired at %s", what, formatTime(c.NotAfter))
	}
	return nil
}

// checkKeyStrength refuses keys that Go's TLS would use though they can be broken.
func checkKeyStrength(file string, c *x509.Certificate) error {
	switch key := c.PublicKey.(type) {
	case *rsa.PublicKey:
		if key.N.BitLen() < minRSABits {
			return fileErrorf(file, "its RSA key has %d bits, %d are the least", key.N.BitLen(), minRSABits)
		}
	case *ecdsa.PublicKey, ed25519.PublicKey:
	default:
		return fileErrorf(file, "its key is of a kind that TLS does not know")
	}
	return nil
}

// loadBundle checks the authorities. One that has expired is left out with a warning while others are there: bundles
// carry the old beside the new when authorities change.
func (k *Keys) loadBundle(file string, text []byte, at time.Time) error {
	all, err := parseCertificates(file, text)
	if err != nil {
		return err
	}
	k.Trust = x509.NewCertPool()
	var dead error
	for i, c := range all {
		what := fmt.Sprintf("certificate %d (%s)", i+1, c.Subject)
		if !c.IsCA || !c.BasicConstraintsValid {
			return fileErrorf(file, "%s is no authority's", what)
		}
		if c.KeyUsage != 0 && c.KeyUsage&x509.KeyUsageCertSign == 0 {
			return fileErrorf(file, "%s may not sign certificates", what)
		}
		if err := checkKeyStrength(file, c); err != nil {
			return err
		}
		if err := checkValidity(file, what, c, at); err != nil {
			dead = err
			k.Warnings = append(k.Warnings, err.Error()+"; left out")
			continue
		}
		k.Trust.AddCert(c)
		k.Authorities = append(k.Authorities, c)
	}
	if len(k.Authorities) == 0 {
		return dead
	}
	return nil
}

// Names are what a certificate proves its holder to be: URIs, host names, addresses, and the common name where there
// is none of these.
func Names(c *x509.Certificate) (names []string) {
	for _, u := range c.URIs {
		names = append(names, u.String())
	}
	names = append(names, c.DNSNames...)
	for _, ip := range c.IPAddresses {
		names = append(names, ip.String())
	}
	if len(names) == 0 && c.Subject.CommonName != "" {
		names = append(names, c.Subject.CommonName)
	}
	return names
}

// Chain is the certificate and what leads to its authority.
func (k *Keys) Chain() []*x509.Certificate {
	chain := []*x509.Certificate{k.Leaf}
	for _, der := range k.Certificate.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil { // they were read once
			chain = append(chain, c)
		}
	}
	return chain
}

// Trusts reports whether a chain that a peer has shown is trusted, for the peer's use, at a time.
func (k *Keys) Trusts(chain []*x509.Certificate, use Use, at time.Time) bool {
	if len(chain) == 0 {
		return false
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{Roots: k.Trust, Intermediates: between, CurrentTime: at, KeyUsages: []x509.ExtKeyUsage{use.extKeyUsage()}})
	return err == nil
}
