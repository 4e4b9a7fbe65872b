// Package tlskeys holds the keys of a listener, or of a client, with mutual TLS: certificates and bundles of trusted
// authorities read from files and checked before use, replaced in service when the files change, and the connections
// that are set up with them. Package logic/admission decides which connections are admitted and when they end.
package tlskeys

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

// Files names the files of one end's keys, in PEM.
type Files struct {
	Cert  string // the certificate, followed by the chain to its authority
	Key   string // of the certificate
	Trust string // the authorities whose certificates the other end may present
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

// Keys are one end's keys, read and checked. They are never changed.
type Keys struct {
	Certificate tls.Certificate
	Leaf        *x509.Certificate
	Trust       *x509.CertPool
	Authorities []*x509.Certificate // of Trust
	Warnings    []string
	digest      [sha256.Size]byte // of the files
}

// Read reads keys and checks them for a use at a time. Its errors are FileErrors that name the file at fault; where
// several files are, the errors are joined.
func Read(files Files, use Use, at time.Time) (*Keys, error) {
	contents, err := readContents(files)
	if err != nil {
		return nil, err
	}
	k := &Keys{digest: contents.digest()}
	leafErr := k.loadPair(files, contents)
	if leafErr == nil {
		leafErr = k.checkLeaf(files.Cert, use, at)
	}
	bundleErr := k.loadBundle(files.Trust, contents.trust, at)
	if err := errors.Join(leafErr, bundleErr); err != nil {
		return nil, err
	}
	const othersMask = 0o077 // permissions of the group and of everybody
	if info, err := os.Stat(files.Key); err == nil && info.Mode().Perm()&othersMask != 0 {
		k.warnf("%s: others than its owner may read the key (%v); chmod 600 it", files.Key, info.Mode().Perm())
	}
	return k, nil
}

// fileContents are the texts of Files.
type fileContents struct{ cert, key, trust []byte }

func readContents(files Files) (c fileContents, err error) {
	var errCert, errKey, errTrust error
	c.cert, errCert = readFile(files.Cert)
	c.key, errKey = readFile(files.Key)
	c.trust, errTrust = readFile(files.Trust)
	return c, errors.Join(errCert, errKey, errTrust)
}

// digest tells contents apart. Lengths are part of it, so that no text can move from one file to the next unnoticed.
func (c *fileContents) digest() (sum [sha256.Size]byte) {
	h := sha256.New()
	for _, text := range [][]byte{c.cert, c.key, c.trust} {
		fmt.Fprintf(h, "%d:", len(text))
		h.Write(text)
	}
	h.Sum(sum[:0])
	return sum
}

func (k *Keys) warnf(format string, args ...any) {
	k.Warnings = append(k.Warnings, fmt.Sprintf(format, args...))
}

// loadPair takes over the certificate and its key.
func (k *Keys) loadPair(files Files, contents fileContents) error {
	if _, err := parseCertificates(files.Cert, contents.cert); err != nil {
		return err
	}
	isPrivateKey := func(blockType string) bool { return strings.HasSuffix(blockType, privateKeyBlock) }
	if _, err := decodePEM(files.Key, contents.key, isPrivateKey, "a private key"); err != nil {
		return err
	}
	pair, err := tls.X509KeyPair(contents.cert, contents.key)
	if err != nil {
		if strings.Contains(err.Error(), "does not match") {
			return fileErrorf(files.Key, "is not the key of the certificate in %s", files.Cert)
		}
		return fileErrorf(files.Key, "%s", strings.TrimPrefix(err.Error(), "tls: "))
	}
	k.Certificate = pair
	k.Leaf = pair.Leaf
	return nil
}

// Names returns what a certificate proves its holder to be: URIs, host names, addresses, and the common name where
// there is none of these.
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

// Chain returns the certificate and the intermediate ones behind it in its file.
func (k *Keys) Chain() []*x509.Certificate {
	chain := []*x509.Certificate{k.Leaf}
	for _, der := range k.Certificate.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil { // checkLeaf has parsed them before
			chain = append(chain, c)
		}
	}
	return chain
}

// Trusts reports whether a chain that a peer has presented is trusted, for the peer's use, at a time.
func (k *Keys) Trusts(chain []*x509.Certificate, use Use, at time.Time) bool {
	if len(chain) == 0 {
		return false
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         k.Trust,
		Intermediates: intermediates,
		CurrentTime:   at,
		KeyUsages:     []x509.ExtKeyUsage{use.extKeyUsage()},
	})
	return err == nil
}
