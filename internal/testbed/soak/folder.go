package soak

import (
	"errors"
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// ErrFolderInUse is a folder in which another process plays days.
var ErrFolderInUse = errors.New("another soak plays in this folder")

// LockFolder locks a folder for the days of one process: a day removes what an earlier one of its seed has
// left there. Closing the file releases the lock, and so does the end of the process.
func LockFolder(folder string) (*os.File, error) {
	file, err := os.Open(folder)
	if err != nil {
		return nil, err
	}
	err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if err == nil {
		return file, nil
	}
	file.Close()
	if errors.Is(err, unix.EWOULDBLOCK) {
		err = ErrFolderInUse
	}
	return nil, fmt.Errorf("%s: %w", folder, err)
}
