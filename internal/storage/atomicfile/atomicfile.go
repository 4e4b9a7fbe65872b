// Package atomicfile writes files that readers see complete or not at all.
package atomicfile

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

// temporaryPattern is the name of a file that is being written.
const temporaryPattern = ".writing-*"

// Permissions of files.
const (
	PrivateMode os.FileMode = 0o600
	PublicMode  os.FileMode = 0o644
)

// File is a file that readers, also those after a crash, find with its old content or with its new one.
type File struct {
	Name string
	Mode os.FileMode
	// KeepExisting has a write fail where there is such a file, even if it came while the new one was being written.
	KeepExisting bool
}

// Write replaces a file that everybody may read.
func Write(name string, content []byte) error {
	return File{Name: name, Mode: PublicMode}.Write(content)
}

// Write writes the file with its whole content.
func (f File) Write(content []byte) error {
	return f.WriteFrom(func(w io.Writer) error {
		_, err := w.Write(content)
		return err
	})
}

// WriteFrom writes the file with the content that a function writes.
func (f File) WriteFrom(content func(w io.Writer) error) error {
	file, err := os.CreateTemp(filepath.Dir(f.Name), temporaryPattern)
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(file.Name()) }() // unless it was renamed
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
