package tlskeys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Authority signs certificates for tests and demonstrations. Its key lies in a file or in memory: it is not for use
// where keys matter.
type Authority struct {
	Certificate *x509.Certificate
	key         crypto.Signer
}

// Validity is when a certificate holds.
type Validity struct{ NotBefore, NotAfter time.Time }

// ValidFor is a life from a little before now, against clocks that differ.
func ValidFor(d time.Duration) Validity {
	now := time.Now()
	return Validity{now.Add(-time.Minute), now.Add(d)}
}

func randomSerial() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
}

// NewAuthority makes one.
func NewAuthority(name string, life Validity) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	number, err := randomSerial()
	if err != nil {
		return nil, err
	}
	c := &x509.Certificate{SerialNumber: number, Subject: pkix.Name{CommonName: name}, NotBefore: life.NotBefore, NotAfter: life.NotAfter,
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	if err != nil {
		return nil, err
	}
	signed, err := x509.ParseCertificate(der)
	return &Authority{signed, key}, err
}

// PEM is the authority's certificate, for a bundle.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.Certificate.Raw})
}

// Issue signs a certificate for names (host names, addresses, or URIs) and gives it and its key in PEM.
func (a *Authority) Issue(names []string, life Validity, uses ...Use) (cert, key []byte, err error) {
	if len(names) == 0 {
		return nil, nil, errors.New("a certificate without a name")
	}
	number, err := randomSerial()
	if err != nil {
		return nil, nil, err
	}
	c := &x509.Certificate{SerialNumber: number, Subject: pkix.Name{CommonName: names[0]}, NotBefore: life.NotBefore, NotAfter: life.NotAfter,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature}
	for _, n := range names {
		if ip := net.ParseIP(n); ip != nil {
			c.IPAddresses = append(c.IPAddresses, ip)
		} else if strings.Contains(n, "://") {
			u, err := url.Parse(n)
			if err != nil {
				return nil, nil, fmt.Errorf("name %q: %w", n, err)
			}
			c.URIs = append(c.URIs, u)
		} else {
			c.DNSNames = append(c.DNSNames, n)
		}
	}
	for _, use := range uses {
		c.ExtKeyUsage = append(c.ExtKeyUsage, use.extKeyUsage())
	}
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.Certificate, private.Public(), a.key)
	if err != nil {
		return nil, nil, err
	}
	text, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: text}), nil
}

// Save puts the authority into a folder, as ca.pem and ca.key.
func (a *Authority) Save(dir string) error {
	text, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return err
	}
	if err := replaceFile(filepath.Join(dir, "ca.key"), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: text}), 0o600); err != nil {
		return err
	}
	return replaceFile(filepath.Join(dir, "ca.pem"), a.PEM(), 0o644)
}

// LoadAuthority reads one from a folder.
func LoadAuthority(dir string) (*Authority, error) {
	file := filepath.Join(dir, "ca.pem")
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	all, err := parseCertificates(file, text)
	if err != nil {
		return nil, err
	}
	file = filepath.Join(dir, "ca.key")
	if text, err = readFile(file); err != nil {
		return nil, err
	}
	keys, err := decodePEM(file, text, func(kind string) bool { return kind == "PRIVATE KEY" }, "a private key")
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(keys[0].Bytes)
	if err != nil {
		return nil, fileErrorf(file, "%v", err)
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, fileErrorf(file, "is no key that signs")
	}
	return &Authority{all[0], signer}, nil
}

// Save puts a certificate and its key into a folder, as NAME.pem and NAME.key, and gives their files with the
// folder's ca.pem as the bundle. Each file is replaced whole.
func Save(dir, name string, cert, key []byte) (Files, error) {
	f := Files{Cert: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"), Trust: filepath.Join(dir, "ca.pem")}
	if err := replaceFile(f.Key, key, 0o600); err != nil {
		return f, err
	}
	return f, replaceFile(f.Cert, cert, 0o644)
}

// replaceFile puts a file in place of another whole.
func replaceFile(file string, text []byte, mode os.FileMode) error {
	temporary := file + ".new"
	if err := os.WriteFile(temporary, text, mode); err != nil {
		return err
	}
	return os.Rename(temporary, file)
}
