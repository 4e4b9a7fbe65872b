// Package atomicfile writes files atomically: readers see a file complete or not at all.
package atomicfile

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

// temporaryPattern is the os.CreateTemp pattern for the name of a file while it is being written.
const temporaryPattern = ".writing-*"

// Permissions of files.
const (
	PrivateMode os.FileMode = 0o600
	PublicMode  os.FileMode = 0o644
)

// File describes a file that is written atomically: at any time, also after a crash, it has either its old or its new
// content.
type File struct {
	Name string
	Mode os.FileMode
	// KeepExisting makes a write fail if a file of this name exists, even if it was created during the write.
	KeepExisting bool
}

// Write atomically writes content to the named file, with PublicMode.
func Write(name string, content []byte) error {
	return File{Name: name, Mode: PublicMode}.Write(content)
}

// Write atomically writes the file with the given content.
func (f File) Write(content []byte) error {
	return f.WriteFrom(func(w io.Writer) error {
		_, err := w.Write(content)
		return err
	})
}

// WriteFrom atomically writes the file with what content writes to w.
func (f File) WriteFrom(content func(w io.Writer) error) error {
	file, err := os.CreateTemp(filepath.Dir(f.Name), temporaryPattern)
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(file.Name()) }() // has no effect once the file has been renamed
	err = content(file)
	if err = errors.Join(err, file.Chmod(f.Mode), file.Sync(), file.Close()); err != nil {
		return err
	}
	publish := os.Rename
	if f.KeepExisting {
		publish = os.Link
	}
	if err := publish(file.Name(), f.Name); err != nil {
		return err
	}
	folder, err := os.Open(filepath.Dir(f.Name))
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
