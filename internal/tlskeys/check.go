package tlskeys

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/rsa"
	"crypto/x509"
	"fmt"
	"slices"
	"time"
)

const (
	minRSABits    = 2048
	expiryWarning = 14 * 24 * time.Hour // before its end a certificate is warned of
	expiryShare   = 4                   // but only in the last quarter of its validity
)

// checkLeaf checks the certificate that is presented, and the chain to its authority.
func (k *Keys) checkLeaf(file string, use Use, at time.Time) error {
	c := k.Leaf
	if err := checkValidity(file, "the certificate", c, at); err != nil {
		return err
	}
	left := c.NotAfter.Sub(at)
	if left < expiryWarning && left < c.NotAfter.Sub(c.NotBefore)/expiryShare {
		k.warnf("%s: expires at %s", file, formatTime(c.NotAfter))
	}
	if err := checkUse(file, c, use); err != nil {
		return err
	}
	if err := checkKeyStrength(file, c); err != nil {
		return err
	}
	return checkChain(file, c, k.Certificate.Certificate[1:], at)
}

// checkUse checks that a certificate is for one end of a connection and names its holder.
func checkUse(file string, c *x509.Certificate, use Use) error {
	isForUse := slices.Contains(c.ExtKeyUsage, use.extKeyUsage()) ||
		slices.Contains(c.ExtKeyUsage, x509.ExtKeyUsageAny)
	switch {
	case c.IsCA:
		return fileErrorf(file, "is an authority's certificate; one for a %s is wanted", use)
	case !isForUse:
		return fileErrorf(file, "may not be used for a %s: its extended key usage lacks %s authentication", use, use)
	case c.KeyUsage != 0 && c.KeyUsage&x509.KeyUsageDigitalSignature == 0:
		return fileErrorf(file, "its key usage lacks digital signature")
	case len(Names(c)) == 0:
		return fileErrorf(file, "proves no name")
	case use == Server && len(c.DNSNames)+len(c.IPAddresses)+len(c.URIs) == 0:
		return fileErrorf(file, "has no subject alternative name, by which clients know a server")
	}
	return nil
}

// checkChain checks that each certificate of a chain has signed the one before it.
func checkChain(file string, leaf *x509.Certificate, issuers [][]byte, at time.Time) error {
	signed := leaf
	for i, der := range issuers {
		number := i + 2 // in the file, whose first is the leaf
		issuer, err := x509.ParseCertificate(der)
		if err != nil {
			return fileErrorf(file, "certificate %d: %w", number, err)
		}
		if err := checkValidity(file, fmt.Sprintf("certificate %d", number), issuer, at); err != nil {
			return err
		}
		if err := signed.CheckSignatureFrom(issuer); err != nil {
			return fileErrorf(file, "certificate %d has not signed the one before it", number)
		}
		signed = issuer
	}
	return nil
}

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04 MST") }

func checkValidity(file, subject string, c *x509.Certificate, at time.Time) error {
	switch {
	case at.Before(c.NotBefore):
		return fileErrorf(file, "%s is not valid before %s", subject, formatTime(c.NotBefore))
	case !at.Before(c.NotAfter):
		return fileErrorf(file, "%s has expired at %s", subject, formatTime(c.NotAfter))
	}
	return nil
}

// checkKeyStrength refuses keys that Go's TLS accepts though they can be broken.
func checkKeyStrength(file string, c *x509.Certificate) error {
	switch key := c.PublicKey.(type) {
	case *rsa.PublicKey:
		if bits := key.N.BitLen(); bits < minRSABits {
			return fileErrorf(file, "its RSA key has %d bits, %d are the least", bits, minRSABits)
		}
	case *ecdsa.PublicKey, ed25519.PublicKey:
	default:
		return fileErrorf(file, "its key is of a kind that TLS does not know")
	}
	return nil
}

// loadBundle takes over the authorities. An expired one is left out with a warning while others remain, since a
// bundle carries the old authority beside the new one while authorities change.
func (k *Keys) loadBundle(file string, text []byte, at time.Time) error {
	certificates, err := parseCertificates(file, text)
	if err != nil {
		return err
	}
	k.Trust = x509.NewCertPool()
	var expired error
	for i, c := range certificates {
		subject := fmt.Sprintf("certificate %d (%s)", i+1, c.Subject)
		if err := checkAuthority(file, subject, c); err != nil {
			return err
		}
		if err := checkValidity(file, subject, c, at); err != nil {
			expired = err
			k.warnf("%v; left out", err)
			continue
		}
		k.Trust.AddCert(c)
		k.Authorities = append(k.Authorities, c)
	}
	if len(k.Authorities) == 0 {
		return expired
	}
	return nil
}

func checkAuthority(file, subject string, c *x509.Certificate) error {
	if !c.IsCA || !c.BasicConstraintsValid {
		return fileErrorf(file, "%s is no authority's", subject)
	}
	if c.KeyUsage != 0 && c.KeyUsage&x509.KeyUsageCertSign == 0 {
		return fileErrorf(file, "%s may not sign certificates", subject)
	}
	return checkKeyStrength(file, c)
}
