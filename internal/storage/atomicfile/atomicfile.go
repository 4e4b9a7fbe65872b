// Package atomicfile replaces files at once.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// temporaryPattern is the name of a file that is being written.
const temporaryPattern = ".writing-*"

// Write replaces a file, so that readers, also those after a crash, find its old content or its new one.
func Write(name string, content []byte) error {
	file, err := os.CreateTemp(filepath.Dir(name), temporaryPattern)
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(file.Name()) }() // unless it was renamed
	_, err = file.Write(content)
	if err = errors.Join(err, file.Chmod(0o644), file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(file.Name(), name); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(name))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
