package tlskeys

import (
	"bytes"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// maxFileBytes bounds a file of keys. A bundle of a few hundred authorities is smaller.
const maxFileBytes = 1 << 20

// Types of PEM blocks. Private keys are of several types with one ending.
const (
	certificateBlock = "CERTIFICATE"
	privateKeyBlock  = "PRIVATE KEY"
)

// FileError is a fault of a file of keys.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the file.
func (e *FileError) Unwrap() error { return e.Err }

func fileErrorf(file, format string, args ...any) error {
	return &FileError{File: file, Err: fmt.Errorf(format, args...)}
}

func readFile(file string) ([]byte, error) {
	if file == "" {
		return nil, errors.New("no file of keys is named")
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, &FileError{File: file, Err: withoutPath(err)}
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	switch {
	case err != nil:
		return nil, &FileError{File: file, Err: withoutPath(err)}
	case len(text) > maxFileBytes:
		return nil, fileErrorf(file, "is longer than %d bytes", maxFileBytes)
	case len(bytes.TrimSpace(text)) == 0:
		return nil, fileErrorf(file, "is empty")
	}
	return text, nil
}

// withoutPath returns the cause of an error, without the file's name that a FileError adds.
func withoutPath(err error) error {
	var path *os.PathError
	if errors.As(err, &path) {
		return path.Err
	}
	return err
}

// decodePEM returns all PEM blocks of a file, which must be of one kind.
func decodePEM(file string, text []byte, isKind func(blockType string) bool, wanted string) ([]*pem.Block, error) {
	var blocks []*pem.Block
	rest := text
	for {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil {
			break
		}
		if !isKind(block.Type) {
			return nil, fileErrorf(file, "holds a %s where %s is wanted", strings.ToLower(block.Type), wanted)
		}
		blocks = append(blocks, block)
	}
	if bytes.Contains(rest, []byte("-----BEGIN")) {
		return nil, fileErrorf(file, "a PEM block is cut off or garbled after %d good ones", len(blocks))
	}
	if len(blocks) == 0 {
		return nil, fileErrorf(file, "holds no PEM block; %s is wanted", wanted)
	}
	return blocks, nil
}

func parseCertificates(file string, text []byte) ([]*x509.Certificate, error) {
	isCertificate := func(blockType string) bool { return blockType == certificateBlock }
	blocks, err := decodePEM(file, text, isCertificate, "a certificate")
	if err != nil {
		return nil, err
	}
	var certificates []*x509.Certificate
	for i, block := range blocks {
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fileErrorf(file, "certificate %d: %w", i+1, err)
		}
		certificates = append(certificates, c)
	}
	return certificates, nil
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
