package tlskeys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"path/filepath"
	"strings"
	"time"

	"yokeroute/internal/storage/atomicfile"
)

const (
	authorityCertFile = "ca.pem"
	authorityKeyFile  = "ca.key"

	clockSkew  = time.Minute // by which the clocks of two machines may differ
	serialBits = 120
)

// Authority signs certificates for tests and demonstrations. Its key is in a file or in memory: it is not for use
// where keys matter.
type Authority struct {
	Certificate *x509.Certificate
	key         crypto.Signer
}

// Validity is the time during which a certificate is valid.
type Validity struct{ NotBefore, NotAfter time.Time }

// ValidFor returns a validity that ends after d. It starts a little before now, for machines whose clocks are behind.
func ValidFor(d time.Duration) Validity {
	now := time.Now()
	return Validity{NotBefore: now.Add(-clockSkew), NotAfter: now.Add(d)}
}

func randomSerial() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
}

// newTemplate returns what the certificates of authorities and of their subjects have in common.
func newTemplate(commonName string, validity Validity) (*x509.Certificate, error) {
	serial, err := randomSerial()
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: commonName},
		NotBefore:             validity.NotBefore,
		NotAfter:              validity.NotAfter,
		BasicConstraintsValid: true,
	}, nil
}

// NewAuthority makes an authority with a key of its own.
func NewAuthority(name string, validity Validity) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate(name, validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	signed, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{Certificate: signed, key: key}, nil
}

// PEM returns the authority's certificate, for a bundle.
func (a *Authority) PEM() []byte { return encodePEM(certificateBlock, a.Certificate.Raw) }

// Issue signs a certificate for names, which are host names, addresses or URIs. It returns the certificate and its
// new key in PEM.
func (a *Authority) Issue(names []string, validity Validity, uses ...Use) (cert, key []byte, err error) {
	if len(names) == 0 {
		return nil, nil, errors.New("a certificate without a name")
	}
	template, err := newTemplate(names[0], validity)
	if err != nil {
		return nil, nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	if err := addNames(template, names); err != nil {
		return nil, nil, err
	}
	for _, use := range uses {
		template.ExtKeyUsage = append(template.ExtKeyUsage, use.extKeyUsage())
	}
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.Certificate, private.Public(), a.key)
	if err != nil {
		return nil, nil, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, err
	}
	return encodePEM(certificateBlock, der), encodePEM(privateKeyBlock, keyDER), nil
}

// addNames adds subject alternative names, each by its kind.
func addNames(c *x509.Certificate, names []string) error {
	for _, name := range names {
		ip := net.ParseIP(name)
		switch {
		case ip != nil:
			c.IPAddresses = append(c.IPAddresses, ip)
		case strings.Contains(name, "://"):
			u, err := url.Parse(name)
			if err != nil {
				return fmt.Errorf("name %q: %w", name, err)
			}
			c.URIs = append(c.URIs, u)
		default:
			c.DNSNames = append(c.DNSNames, name)
		}
	}
	return nil
}

// Save writes the authority into a folder, as ca.pem and ca.key.
func (a *Authority) Save(dir string) error {
	der, err := x509.MarshalPKCS8PrivateKey(a.key)
	if err != nil {
		return err
	}
	key := encodePEM(privateKeyBlock, der)
	if err := writePrivate(filepath.Join(dir, authorityKeyFile), key); err != nil {
		return err
	}
	return atomicfile.Write(filepath.Join(dir, authorityCertFile), a.PEM())
}

// LoadAuthority reads an authority from a folder.
func LoadAuthority(dir string) (*Authority, error) {
	certFile := filepath.Join(dir, authorityCertFile)
	text, err := readFile(certFile)
	if err != nil {
		return nil, err
	}
	certificates, err := parseCertificates(certFile, text)
	if err != nil {
		return nil, err
	}
	key, err := loadSigner(filepath.Join(dir, authorityKeyFile))
	if err != nil {
		return nil, err
	}
	return &Authority{Certificate: certificates[0], key: key}, nil
}

func loadSigner(file string) (crypto.Signer, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	isPKCS8 := func(blockType string) bool { return blockType == privateKeyBlock }
	blocks, err := decodePEM(file, text, isPKCS8, "a private key")
	if err != nil {
		return nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(blocks[0].Bytes)
	if err != nil {
		return nil, &FileError{File: file, Err: err}
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, fileErrorf(file, "is no key that signs")
	}
	return signer, nil
}

// Save writes a certificate and its key into a folder, as NAME.pem and NAME.key. It returns their files, with the
// folder's ca.pem as the bundle. Each file is replaced atomically, the key first.
func Save(dir, name string, cert, key []byte) (Files, error) {
	f := Files{
		Cert:  filepath.Join(dir, name+".pem"),
		Key:   filepath.Join(dir, name+".key"),
		Trust: filepath.Join(dir, authorityCertFile),
	}
	if err := writePrivate(f.Key, key); err != nil {
		return f, err
	}
	return f, atomicfile.Write(f.Cert, cert)
}

// writePrivate replaces a file that nobody else may read.
func writePrivate(file string, text []byte) error {
	return atomicfile.File{Name: file, Mode: atomicfile.PrivateMode}.Write(text)
}
