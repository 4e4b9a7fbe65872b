package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

// Permissions of the files that commands write.
const (
	privateFileMode os.FileMode = 0o600
	publicFileMode  os.FileMode = 0o644
)

// atomicFile is a file that readers see complete or not at all.
type atomicFile struct {
	name string
	mode os.FileMode
	// publish moves the written file to its name: os.Rename replaces an existing file, os.Link fails where there
	// is one, even if it came while the new one was being written.
	publish func(from, to string) error
}

// write writes the file beside its name, syncs it, and publishes it.
func (a atomicFile) write(content func(io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(a.name), filepath.Base(a.name)+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // it is gone already where it was renamed
	if err := errors.Join(content(f), f.Chmod(a.mode), f.Sync(), f.Close()); err != nil {
		return err
	}
	return a.publish(f.Name(), a.name)
}
