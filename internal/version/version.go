// Package version identifies this program, by its release and by a checksum of its file.
package version

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Set is the version that a release is built with: -ldflags "-X yokeroute/internal/version.Set=1.4.0". Without it the
// build's own record stands in.
var Set string

// Name returns the release of the program.
func Name() string {
	if Set != "" {
		return Set
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}

// Program returns the checksum of the running program's file, which tells two builds of one version apart.
var Program = sync.OnceValue(func() string {
	sum, err := FileChecksum("/proc/self/exe")
	if err != nil {
		return "unknown"
	}
	return sum
})

// FileChecksum returns the checksum of a file's contents.
func FileChecksum(name string) (string, error) {
	f, err := os.Open(name)
	if err != nil {
		return "", err
	}
	defer f.Close()
	h := xxhash.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", err
	}
	return fmt.Sprintf("%016x", h.Sum64()), nil
}

// Checksum returns the checksum of a text.
func Checksum(text []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(text)) }
